"""Test what follows the end of a close-delimited response."""

from __future__ import annotations

import signal
from http import HTTPStatus
from typing import Any, Final

import gevent
from behave import then, when
from gevent import socket

from driftstall.gateway.ingress import CallerRequest
from driftstall.util import clock
from features.steps.call_ending_steps import WHOLE, _use_plans
from features.steps.close_delimited_end_steps import SENT_EVENTS, _leave, _start
from features.steps.gateway_node_steps import wait_for_processes
from features.steps.overload_fairness_steps import open_caller
from features.steps.stream_end_process_steps import EVENT_BEFORE_KILL, send_streams
from features.worlds.ending_world import EndingWorld
from features.worlds.gateway_world import (
    GatewayWorld,
    read_response,
    request_bytes,
    wait_for,
    world_of,
)
from stand_ins.endings import BODY, EVENTS, Ending, EndingPlan, Framing, Place
from stand_ins.routed import Script

FRAMINGS: Final = {"without framing": Framing.CLOSE, "in chunks": Framing.CHUNKED}
LARGE_BYTES: Final = 3_000_000


def _start_draining(context: Any) -> EndingWorld:
    """Start a gateway whose first engine reports that it is draining before the end of a run."""
    world = _start(context, [EndingPlan(Framing.CLOSE)], has_backups=True)
    original = world._handle_sent

    def handle_sent(request_id: str, number: int) -> None:
        original(request_id, number)
        if number == SENT_EVENTS:
            _leave(world, "reports that it is draining")
        if number == EVENTS:
            context.last_event_at = clock.now()

    for engine in world.ending_engines:
        engine.on_sent = handle_sent
    return world


def _hang_when_resumed(world: EndingWorld) -> None:
    """Let the second run of a stream wait without an answer."""
    scripts = [Script(), Script(hang=True)]
    for engine in world.ending_engines:
        engine.scripts["s1"] = scripts


@when(
    "a sound stream of a draining upstream resumes at a backup that has nothing to add, {framing}"
)
def nothing_to_add(context: Any, framing: str) -> None:
    """Keep the backup of a run that is whole."""
    world = _start_draining(context)
    world.whole_framing = FRAMINGS[framing]
    context.answer = world.stream("s1")


@when('a stream that a draining upstream closes early is "{ending}" at its backup before any event')
def broken_at_backup(context: Any, ending: str) -> None:
    """Resume a truncated stream at a backup that fails at once."""
    world = _start_draining(context)
    first = EndingPlan(Framing.CLOSE, Ending.CLOSED)
    world.plans = [first, EndingPlan(Framing.CLOSE, Ending(ending), Place.HEAD)]
    context.answer = world.stream("s1")


@when("a sound stream of a draining upstream resumes at a backup that does not answer")
def silent_backup(context: Any) -> None:
    """Resume a whole stream at a backup that takes the request and is silent."""
    world = _start_draining(context)
    _hang_when_resumed(world)
    context.answer = world.stream("s1")
    context.ended_at = clock.now()


@then("the end came at most {max_s:g} s after the last event")
def end_in_time(context: Any, max_s: float) -> None:
    """Check the time from the last event to the end."""
    waited_s = context.ended_at - context.last_event_at
    assert waited_s <= max_s, waited_s


@when("the caller of a sound stream of a draining upstream leaves while it resumes")
def leave_while_resuming(context: Any) -> None:
    """Close the caller's connection once the stream is sent to its backup."""
    world = _start_draining(context)
    _hang_when_resumed(world)
    sending = gevent.spawn(world.stream, "s1")
    wait_for("the stream resumes", lambda: sum(e.runs("s1") for e in world.ending_engines) == 2)
    assert world.caller is not None
    world.caller.connection.shutdown(socket.SHUT_WR)
    sending.join()
    wait_for("the request is over", lambda: not world.state.open_requests)


@then("no stream counts as completed")
def none_completed(context: Any) -> None:
    """Check the counter of completed requests."""
    stats = context.ending_world.state.stats
    assert stats.completed == 0, stats.completed


@when("a safe call gets an error without framing, and then a response with a length")
def error_then_whole(context: Any) -> None:
    """Repeat a call after an error response."""
    context.world = GatewayWorld()
    context.add_cleanup(context.world.close)
    error = EndingPlan(Framing.CLOSE, status=HTTPStatus.INTERNAL_SERVER_ERROR)
    _use_plans(context, error, EndingPlan(Framing.LENGTH))
    context.answer = context.world.ask("/safe/a", "r1")


@then("its caller got the whole body with a length")
def whole_with_length(context: Any) -> None:
    """Check the body and its framing."""
    answer = context.answer
    assert (answer.status, answer.body, answer.is_framed) == (200, BODY, True), answer


@then("no close-delimited end counts as relayed")
def none_relayed(context: Any) -> None:
    """Check the counter of relayed ends."""
    counts = world_of(context).state.stats.relayed_ends.get_all()
    assert not [labels for labels, _ in counts if labels["framing"] == "close"], counts


def _call_world(context: Any) -> GatewayWorld:
    """Start a gateway whose plain upstreams frame nothing."""
    context.world = GatewayWorld()
    context.add_cleanup(context.world.close)
    _use_plans(context, EndingPlan(Framing.CLOSE), WHOLE)
    return world_of(context)


@when("a sound call without framing is made, followed by {count:d} further requests")
def pipelined_call(context: Any, count: int) -> None:
    """Send further requests behind the first one, on a connection that is meant to be kept."""
    world = _call_world(context)
    connection = world.connect()
    kept = {"Connection": ""}
    later = b"".join(request_bytes("/once/a", f"l{n}", **kept) for n in range(count))
    connection.sendall(request_bytes("/once/a", "r1", **kept) + later)
    context.answer = read_response(connection)
    connection.close()


@when("a large call without framing is made, and its response is read {later_s:g} s later")
def read_late(context: Any, later_s: float) -> None:
    """Read nothing until the gateway has closed the connection."""
    context.world = world = GatewayWorld()
    context.add_cleanup(world.close)
    for upstream in world.plain:
        upstream.scripts["r1"] = [Script(body=b"x" * LARGE_BYTES, unframed=True)]
    connection = world.connect()
    connection.sendall(request_bytes("/once/a", "r1"))
    gevent.sleep(later_s)
    context.answer = read_response(connection)
    connection.close()


@then("its caller got the large body, which ends with its connection")
def large_body(context: Any) -> None:
    """Check the size of the body, and that the connection was closed in order."""
    answer = context.answer
    found = (answer.status, len(answer.body), answer.whole, answer.is_framed)
    assert found == (200, LARGE_BYTES, True, False), found


@when("a request of HTTP/{version} is read")
def read_version(context: Any, version: str) -> None:
    """Read a request with a version of HTTP."""
    near, connection = open_caller(context)
    near.sendall(f"GET / HTTP/{version}\r\nHost: a\r\n\r\n".encode())
    context.read = connection.next()


@then("its caller {accepts} chunks")
def check_version(context: Any, accepts: str) -> None:
    """Check whether the response may have chunks."""
    assert isinstance(context.read, CallerRequest), context.read
    assert context.read.accepts_chunks == (accepts == "accepts"), context.read


@when("{count:d} streams are under way, and the gateway process is asked to stop")
def stop_gateway(context: Any, count: int) -> None:
    """Ask the gateway to stop once each stream has some events."""
    send_streams(context, count)
    wait_for_processes(
        "all streams have events",
        lambda: all(caller.has_event(EVENT_BEFORE_KILL) for caller in context.callers),
    )
    context.nodes[0].signal(signal.SIGTERM)
