"""Test how callers are told of the ends of close-delimited responses."""

from __future__ import annotations

from dataclasses import replace
from http import HTTPStatus
from typing import Any, Final

import gevent
from behave import then, when
from gevent import socket

from driftstall.decisions.buffer_budget import BufferBudget
from driftstall.gateway.fleet_events import UpstreamChanged
from driftstall.gateway.model import UpstreamState
from features.steps.call_ending_steps import WHOLE, _use_plans
from features.steps.overload_fairness_steps import hold, open_caller
from features.worlds.ending_world import ALL_EVENTS, EndingWorld
from features.worlds.gateway_world import WAIT_S, GatewayWorld, Received, wait_for
from features.worlds.unframed_world import UnframedWorld
from stand_ins.endings import BODY, CALL_PIECES, EVENTS, Ending, EndingPlan, Framing, Place
from stand_ins.routed import event_bytes

SENT_EVENTS: Final = 7
EVENT_PAUSE_S: Final = 0.01
PATHS: Final = {"safe": "/safe/a", "unsafe": "/once/a"}
LARGE_BODY_BYTES: Final = 50_000_000
HEAD: Final = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


def closed_early(later: str, **more: Any) -> EndingPlan:
    """Return the plan of a response that is closed early, by a process that ends later."""
    if later == "never":
        return EndingPlan(Framing.CLOSE, Ending.CLOSED, **more)
    stop_after_s = float(later.removesuffix(" s later"))
    return EndingPlan(Framing.CLOSE, Ending.GONE_LATE, stop_after_s=stop_after_s, **more)


def _start(context: Any, plans: list[EndingPlan], *, has_backups: bool) -> EndingWorld:
    """Start a gateway whose engines answer by plans, and stop it after the scenario."""
    world = EndingWorld()
    context.add_cleanup(world.close)
    world.plans, world.has_backups = plans, has_backups
    context.ending_world = world
    return world


def _stream(context: Any, *plans: EndingPlan, has_backups: bool = False) -> None:
    """Send a stream whose runs are answered by plans."""
    world = _start(context, list(plans), has_backups=has_backups)
    context.answer = world.stream("s1")


@when("a stream without framing is closed early {backups} a backup, by a process that ends {later}")
def stream_closed_early(context: Any, backups: str, later: str) -> None:
    """Close a stream early; its process ends later."""
    _stream(context, closed_early(later), has_backups=backups == "with")


@when("a stream in chunks resumes at an upstream without framing, which closes it early {place}")
def chunks_then_closed(context: Any, place: str) -> None:
    """Break off a run in chunks, and close the resumed one before its backup is ready."""
    plan = EndingPlan(Framing.CLOSE, Ending.CLOSED, Place(place), pieces=1)
    _stream(context, EndingPlan(ending=Ending.RESET), plan, has_backups=True)
    sent = SENT_EVENTS + (0 if plan.place is Place.HEAD else 1)
    context.sent = b"".join(event_bytes(number) for number in range(1, sent + 1))


@when("a stream in chunks resumes at an upstream without framing, and at one with chunks")
def chunks_then_both(context: Any) -> None:
    """Break off a run in chunks, and close the resumed one early once its backup is ready."""
    plan = EndingPlan(Framing.CLOSE, Ending.CLOSED)
    _stream(context, EndingPlan(ending=Ending.RESET), plan, has_backups=True)


@when("a stream without framing resumes at an upstream with chunks, which is whole")
def closed_then_chunks(context: Any) -> None:
    """Break off a run without framing; the resumed one has chunks."""
    _stream(context, EndingPlan(Framing.CLOSE, Ending.RESET), has_backups=True)


@when("a sound stream is sent without framing")
def sound_stream(context: Any) -> None:
    """Send a stream that is whole."""
    _stream(context, EndingPlan(Framing.CLOSE))


@when('a stream without framing and without a backup that is "{ending}" early')
@when('a stream without framing and without a backup is "{ending}" early')
def stream_ends_early(context: Any, ending: str) -> None:
    """End a stream in a way that shows that it is truncated."""
    _stream(context, EndingPlan(Framing.CLOSE, Ending(ending)))


def _leave(world: EndingWorld, states: str) -> None:
    """Let all engines that run the stream state that they leave."""
    (engine,) = [each for each in world.ending_engines if each.runs("s1")]
    if states == "reports that it is draining":
        engine.report = engine.report | {"state": "draining"}
    elif states == "reports when it ends":
        engine.report = engine.report | {"leaves_ms": 900}
    else:
        leaving = replace(world.entry(engine), state=UpstreamState.LEAVING)
        world.state.fleet.handle(UpstreamChanged(leaving, False), world.state.now())


def _stream_of_leaving(context: Any, plan: EndingPlan, states: str) -> None:
    """Send a stream whose engine states that it leaves before it ends the run."""
    world = _start(context, [plan], has_backups=True)
    original = world._handle_sent

    def handle_sent(request_id: str, number: int) -> None:
        original(request_id, number)
        if number == SENT_EVENTS:
            _leave(world, states)

    for engine in world.ending_engines:
        engine.on_sent = handle_sent
    context.answer = world.stream("s1")


@when("a stream without framing is closed early by an upstream that {states}")
def leaving_closes_early(context: Any, states: str) -> None:
    """Close a stream early at an upstream that leaves."""
    _stream_of_leaving(context, EndingPlan(Framing.CLOSE, Ending.CLOSED), states)


@when("a sound stream is sent without framing, by an upstream that {states}")
def leaving_is_sound(context: Any, states: str) -> None:
    """Send a whole stream by an upstream that leaves; its backup is dropped with its end."""
    world = UnframedWorld()
    context.add_cleanup(world.close)
    world.plans, world.drops_copies_after = [EndingPlan(Framing.CLOSE)], EVENTS
    context.ending_world = world
    original = world._handle_sent

    def handle_sent(request_id: str, number: int) -> None:
        original(request_id, number)
        if number == SENT_EVENTS:
            _leave(world, states)

    for engine in world.ending_engines:
        engine.on_sent = handle_sent
    context.answer = world.stream("s1")


@when('a caller of HTTP/1.0 sends a stream that is "{ending}" in chunks')
def old_caller(context: Any, ending: str) -> None:
    """Send a stream by a caller that knows no chunks."""
    world = _start(context, [EndingPlan(Framing.CHUNKED, Ending(ending))], has_backups=False)
    world.http_version = "1.0"
    context.answer = world.stream("s1")


@when("an unexpected error ends a stream without framing")
def error_ends_stream(context: Any) -> None:
    """Let a defect of the gateway end a stream after some events."""
    plan = EndingPlan(Framing.CLOSE, pause_s=EVENT_PAUSE_S)
    world = _start(context, [plan], has_backups=False)
    original = world.state.lengths.record_progress

    def fail_later(request: Any, before: int, tokens: int) -> None:
        if before:
            raise RuntimeError("defect")
        original(request, before, tokens)

    world.state.lengths.record_progress = fail_later  # type: ignore[assignment,method-assign]
    context.answer = world.stream("s1", reads_events=False)


@when("an error response without framing answers a stream")
def error_answers(context: Any) -> None:
    """Answer a stream with an error."""
    status = HTTPStatus.INTERNAL_SERVER_ERROR
    world = _start(context, [EndingPlan(Framing.CLOSE, status=status)], has_backups=False)
    context.answer = world.stream("s1", reads_events=False)


def _call(context: Any, kind: str, plan: EndingPlan) -> None:
    """Make a call; the first response of the upstreams has a plan."""
    context.world = GatewayWorld()
    context.add_cleanup(context.world.close)
    _use_plans(context, plan, WHOLE)
    context.answer = context.world.ask(PATHS[kind], "r1")


@when("a {kind:w} call without framing is closed early, by a process that ends {later}")
def call_closed_early(context: Any, kind: str, later: str) -> None:
    """Close the response to a call early."""
    _call(context, kind, closed_early(later))


@when("an unsafe call without framing is closed right after its head")
def call_without_body(context: Any) -> None:
    """Close the response to a call before its body."""
    _call(context, "unsafe", EndingPlan(Framing.CLOSE, Ending.CLOSED, Place.HEAD))


@when("a sound call without framing is made")
def sound_call(context: Any) -> None:
    """Make a call whose response is whole."""
    _call(context, "unsafe", EndingPlan(Framing.CLOSE))


@when("the output of a stream without framing is dropped as its memory is needed")
def drop_output(context: Any) -> None:
    """Write more than the caller reads, and take the memory for others."""
    budget = BufferBudget(LARGE_BODY_BYTES)
    near, connection = open_caller(context, budget=budget)
    connection.reset_when_closed()
    context.near, context.reader = near, connection
    writing = gevent.spawn(connection.write, HEAD + b"x" * (LARGE_BODY_BYTES - 1_000))
    wait_for("the output waits", lambda: bool(near.recv(1, socket.MSG_PEEK)))
    gevent.idle()
    hold(budget, 1_000_000)
    assert not writing.get(timeout=WAIT_S)
    connection.close()


def _assert_unstated(answer: Received) -> None:
    """Check that no framing states that a response is complete."""
    assert answer.status == 200, answer
    assert not answer.is_framed, answer


@then("its caller got what was sent, and no framing states that this is all")
def stream_not_stated(context: Any) -> None:
    """Check the events and the framing."""
    answer = context.answer
    _assert_unstated(answer)
    assert ALL_EVENTS.startswith(answer.body), answer
    assert answer.body.count(b"\n\n") >= SENT_EVENTS, answer


@then("its caller got what was sent, without the end of its framing")
def no_end_of_framing(context: Any) -> None:
    """Check the events of both runs, and that the last chunk is missing."""
    answer = context.answer
    assert (answer.status, answer.body) == (200, context.sent), answer
    assert answer.is_framed and not answer.whole, answer


@then("its caller gets the whole stream in chunks")
def whole_in_chunks(context: Any) -> None:
    """Check all events and the last chunk, which the last run has stated."""
    answer = context.answer
    expected = (ALL_EVENTS, True, True)
    assert (answer.body, answer.is_framed, answer.whole) == expected, answer


@then("its caller gets the whole stream, which ends with its connection")
def whole_stream(context: Any) -> None:
    """Check all events, and that the connection was closed in order."""
    answer = context.answer
    _assert_unstated(answer)
    assert (answer.body, answer.whole) == (ALL_EVENTS, True), answer
    assert answer.headers["connection"] == "close", answer


@then("its caller got what was sent, and its connection was reset")
def stream_reset(context: Any) -> None:
    """Check the events, and that the connection was not closed in order."""
    answer = context.answer
    _assert_unstated(answer)
    assert ALL_EVENTS.startswith(answer.body) and answer.body != ALL_EVENTS, answer
    assert not answer.whole, answer


@then("it has run on {count:d} engines")
def run_on(context: Any, count: int) -> None:
    """Count the runs."""
    runs = [engine.runs("s1") for engine in context.ending_world.ending_engines]
    assert sum(runs) == count, runs


@then("its response has no framing, and is {told}")
def old_caller_told(context: Any, told: str) -> None:
    """Check the framing and the end for a caller of HTTP/1.0."""
    answer = context.answer
    _assert_unstated(answer)
    is_closed = told == "closed in order"
    assert answer.whole == is_closed, answer
    assert (answer.body == ALL_EVENTS) == is_closed and ALL_EVENTS.startswith(answer.body), answer


@then("its caller got a part of the body, and no framing states that this is all")
def part_not_stated(context: Any) -> None:
    """Check the body and the framing; a safe call may have been repeated, and is whole then."""
    answer = context.answer
    if answer.body == BODY and answer.is_framed:
        assert answer.status == 200 and answer.whole, answer
        return
    _assert_unstated(answer)
    size = len(BODY) // CALL_PIECES
    assert answer.body == BODY[: SENT_EVENTS * size], answer


@then("its caller got an empty body that ends with its connection")
def empty_body(context: Any) -> None:
    """Check that no length is stated."""
    _assert_unstated(context.answer)
    assert (context.answer.body, context.answer.whole) == (b"", True), context.answer


@then("its caller got the whole body, which ends with its connection")
def whole_body(context: Any) -> None:
    """Check the body, and that the connection was closed in order."""
    _assert_unstated(context.answer)
    assert (context.answer.body, context.answer.whole) == (BODY, True), context.answer


@then("its caller got the error, which ends with its connection")
def error_passed_on(context: Any) -> None:
    """Check the upstream's status and body, and that no length is stated."""
    answer = context.answer
    expected = (HTTPStatus.INTERNAL_SERVER_ERROR, ALL_EVENTS, True, False)
    assert (answer.status, answer.body, answer.whole, answer.is_framed) == expected, answer


@then("the connection of its caller is reset")
def output_reset(context: Any) -> None:
    """Read what had arrived, up to the reset."""
    context.near.settimeout(WAIT_S)
    try:
        while context.near.recv(65_536):
            pass
    except ConnectionResetError:
        return
    raise AssertionError("the connection was closed in order")
