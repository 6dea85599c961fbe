"""Test the soak's plan of truncated responses: its record, its links and its upstreams."""

from __future__ import annotations

import itertools
import random
import time
from typing import Any, Final

import gevent
from behave import given, then, when
from gevent import socket
from gevent.server import StreamServer

from driftstall.exceptions import PlatformUnavailable
from driftstall.util.addresses import split_address
from features.steps.soak_steps import RacedStore, passes
from soak.caller import CallerConnection
from soak.draw import CALM_LAST_S, draw_steps
from soak.ledger import ENGINE_SERVICE, Ledger, RequestKind, SentRequest
from soak.plan import Kind, Plan
from soak.truncation import HEALTH_PATH, ODD_STATUSES, PROBE_PATHS, HealthAnswer, TruncatingSlot
from stand_ins.endings import (
    BODY,
    CALL_PIECES,
    DRAWN_STOPS_S,
    EVENTS,
    Ending,
    EndingPlan,
    Framing,
    Place,
)
from stand_ins.routed import ReceivedRequest, reset

DRAWN_PLANS: Final = 8_000
CLOSE_S: Final = 2.0
"""Time within which a link passes the end of a connection on."""
SILENT_S: Final = 0.3
"""Time for which a probe stays without an answer."""


RESPONSES: Final = {
    "has a length and is whole": (b"Content-Length: 3\r\n\r\n", False),
    "has a length and is closed early": (b"Content-Length: 4\r\n\r\n", False),
    "has chunks and is closed early": (b"Transfer-Encoding: chunked\r\n\r\n3\r\n", False),
    "is close-delimited and closed": (b"Connection: close\r\n\r\n", False),
    "is close-delimited and reset": (b"Connection: close\r\n\r\n", True),
}
"""Headers of responses, and whether their connection is reset, by what they are."""


class PresetChoice(random.Random):
    """A source that makes one choice."""

    def __init__(self, value: Any) -> None:
        """Initialize with the choice."""
        super().__init__(0)
        self._value = value

    def choice(self, seq: Any) -> Any:
        """Return the preset choice."""
        assert self._value in seq
        return self._value


@then("seed 7 gives that plan early ends of responses, kills and notices, and always the same")
def truncated_plan(context: Any) -> None:
    """Check the kinds of steps in a plan of one minute, and that no short plan lacks the first."""
    steps, same = (
        draw_steps(7, instances=4, upstreams=5, seconds=60.0, plan=Plan.TRUNCATED) for _ in range(2)
    )
    for seed in range(300):
        short = draw_steps(seed, instances=4, upstreams=5, seconds=12.0, plan=Plan.TRUNCATED)
        assert {step.target for step in short if step.kind is Kind.TRUNCATE} >= {0, 4}, seed
    kinds = {step.kind for step in steps}
    assert steps == same
    assert {Kind.TRUNCATE, Kind.KILL, Kind.LEAVE} <= kinds, kinds
    assert all(step.at_s + step.for_s <= 60.0 - CALM_LAST_S + 0.5 for step in steps)


@given("an upstream of the soak that truncates responses")
def truncating_upstream(context: Any) -> None:
    """Start an upstream in a place of the fleet."""
    store = context.store = RacedStore()
    ledger = Ledger(EVENTS, sent_pieces={})
    slot = context.slot = TruncatingSlot(1, ENGINE_SERVICE, store, ledger, random.Random(1))
    slot.all = [slot]
    slot.connect_peers()
    slot.truncate(60.0)
    context.upstream, context.address = slot.upstream, slot.proxy.address
    context.add_cleanup(slot.upstream.stop)
    context.add_cleanup(slot.proxy.stop)


@when(
    "it writes that it is ready to a silent store, and that it is draining once the store answers"
)
def write_twice(context: Any) -> None:
    """Begin the first write while the store is silent, and the second one when it answers."""
    slot, states, is_silent = context.slot, [], True

    def replace(_: str, __: str, spec: dict[str, Any]) -> bool:
        if is_silent:
            raise PlatformUnavailable("silent")
        states.append(spec["state"])
        return True

    context.store.replace = replace
    name = slot.upstream.upstream_id
    first = gevent.spawn(slot._write, name, slot._spec("ready"))
    gevent.sleep(0)
    is_silent = False
    slot._write(name, slot._spec("draining"))
    first.join()
    context.states = states


@then("its entry stays draining")
def stays_draining(context: Any) -> None:
    """Check the states that the entry has had."""
    assert context.states == ["draining"], context.states


def draw_plans(upstream: Any, target: str, last: int) -> set[EndingPlan]:
    """Return drawn plans of the responses to a request."""
    seen = ReceivedRequest("r", {"last-event-id": str(last)}, "POST", target, b"")
    return {upstream._draw_plan(seen) for _ in range(DRAWN_PLANS)}


@then("its plans end responses in each way, and some have odd statuses")
def drawn_plans(context: Any) -> None:
    """Draw plans of each framing, for calls, streams and resumed streams."""
    for framing in Framing:
        context.upstream._framing = framing
        for target, last in (("/safe/x", 0), ("/stream/x", 0), ("/stream/x", 12)):
            plans = draw_plans(context.upstream, target, last)
            early = {plan for plan in plans if plan.ending is not Ending.WHOLE}
            assert {plan.framing for plan in plans} == {framing}
            assert len(early) < len(plans)
            assert {plan.status for plan in plans} == {200, *ODD_STATUSES}
            ways = {(plan.ending, plan.place) for plan in early}
            wanted = itertools.product({*Ending} - {Ending.WHOLE}, Place)
            assert ways == {*wanted}, (framing, target)
            stops = {plan.stop_after_s for plan in early if plan.ending is Ending.GONE_LATE}
            assert stops == {*DRAWN_STOPS_S}, stops
            assert max(plan.pieces for plan in early) < EVENTS - last, (framing, target, last)
        assert not any(
            plan.ending is not Ending.WHOLE
            for plan in draw_plans(context.upstream, "/stream/x", EVENTS - 1)
        )


@given("two open connections to it")
def two_open(context: Any) -> None:
    """Open two connections, each with a request that is in progress."""
    context.open = []
    context.upstream._draw_plan = None
    context.upstream._plan_for = lambda _: EndingPlan(Framing.CLOSE, pause_s=60.0)
    for number in range(2):
        connection = socket.create_connection(split_address(context.address))
        context.add_cleanup(connection.close)
        connection.settimeout(CLOSE_S)
        head = f"POST /stream/x HTTP/1.1\r\nHost: a\r\nX-Driftstall-Request-Id: r{number}\r\n"
        connection.sendall(f"{head}Content-Length: 0\r\n\r\n".encode())
        assert connection.recv(65_536).startswith(b"HTTP/1.1 200")
        context.open.append(connection)


def ask(context: Any, path: str, timeout_s: float = CLOSE_S) -> bytes:
    """Send a request to the upstream, and return all of its answer."""
    with socket.create_connection(split_address(context.address), CLOSE_S) as connection:
        connection.settimeout(timeout_s)
        head = f"POST {path} HTTP/1.1\r\nHost: a\r\nX-Driftstall-Request-Id: a\r\n"
        connection.sendall(f"{head}Content-Length: 0\r\n\r\n".encode())
        answer: bytes = connection.makefile("rb").read()
        return answer


@when("it closes a close-delimited response early, and answers probes with {health} then")
def close_and_live(context: Any, health: str) -> None:
    """Send a request whose response is closed early by a process that lives on."""
    plan = EndingPlan(Framing.CLOSE, Ending.CLOSED, Place.EVENT, 3)
    context.upstream._plan_for = lambda _: plan
    context.upstream._draw = PresetChoice(HealthAnswer(health))
    context.answer = ask(context, "/safe/x")


@then('the response is closed in order after its pieces, and probes are answered "{status}"')
def closed_and_probed(context: Any, status: str) -> None:
    """Compare the response, its record and the answers to both kinds of probes."""
    body = context.answer.partition(b"\r\n\r\n")[2]
    assert body == BODY[: 3 * len(BODY) // CALL_PIECES], body
    [end] = context.slot.ledger.response_ends["a"]
    assert context.slot.ledger.living_close(end)
    context.upstream._closed_at += 60.0
    for path in PROBE_PATHS:
        timeout_s = SILENT_S if status == "none" else CLOSE_S
        try:
            answer = ask(context, path, timeout_s).split(b" ")[1].decode()
        except TimeoutError:
            answer = "none"
        assert answer == status, (path, answer)


@when("it sends a head with the status {status:d}")
def send_odd_status(context: Any, status: int) -> None:
    """Send a request whose response has an odd status."""
    plan = EndingPlan(Framing.LENGTH, status=status)
    context.upstream._plan_for = lambda _: plan
    context.answer = ask(context, "/safe/x")


@then('its status line begins with "{line}"')
def begins_with(context: Any, line: str) -> None:
    """Compare the begin of the response."""
    assert context.answer.startswith(line.encode()), context.answer[:40]


@given("a caller of the soak, and a server whose response {what}")
def caller_and_server(context: Any, what: str) -> None:
    """Start a server that sends a response and ends the connection."""
    head, ends_by_reset = RESPONSES[what]

    def serve(connection: socket.socket, _: Any) -> None:
        connection.recv(65_536)
        connection.sendall(b"HTTP/1.1 200 OK\r\n" + head + b"abc")
        if ends_by_reset:
            gevent.sleep(0.05)
            reset(connection)
        connection.close()

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    context.add_cleanup(server.stop)
    request = context.request = SentRequest("r", RequestKind.SAFE, "/safe/x", "i", 0.0, CLOSE_S)
    request.sent_at = time.monotonic()
    CallerConnection().send(f"127.0.0.1:{server.server_port}", request)


@then('the caller records "{states}"')
def caller_records(context: Any, states: str) -> None:
    """Compare what the caller recorded of the response."""
    names = ("is_framed", "complete", "is_closed", "is_cut")
    found = [name for name in names if getattr(context.request, name)]
    assert found == states.split(), found
    assert (context.request.status, context.request.body) == (200, b"abc")


@when("its process {what} there")
def process_ends(context: Any, what: str) -> None:
    """End the process, or replace it by another one at its address."""
    slot = context.slot
    (slot.end_process if what == "ends" else slot.restart_process)(context.upstream)


@then("both connections are closed in order")
def closed_in_order(context: Any) -> None:
    """Read the end of each connection; a reset would raise an error."""
    for connection in context.open:
        assert connection.recv(1) == b""


@then("its address refuses connections")
def refuses(context: Any) -> None:
    """Check that no connection is accepted."""
    try:
        socket.create_connection(split_address(context.address), CLOSE_S).close()
    except ConnectionRefusedError:
        return
    raise AssertionError("a connection was accepted")


@then("another process answers at its address, and its entry names the address")
def other_answers(context: Any) -> None:
    """Compare the ids of the health check and of the new entry."""
    with socket.create_connection(split_address(context.address), CLOSE_S) as connection:
        connection.settimeout(CLOSE_S)
        connection.sendall(f"GET {HEALTH_PATH} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        answer = connection.makefile("rb").read()
    name = context.slot.upstream.upstream_id
    assert name != context.upstream.upstream_id
    assert f"X-Driftstall-Instance-Id: {name}\r\n".encode() in answer, answer
    with gevent.Timeout(CLOSE_S):
        while name not in context.store.entries:
            gevent.sleep(0.01)
    assert context.store.entries[name]["address"] == context.address


@when("its target is replaced by another one")
def replace_target(context: Any) -> None:
    """Replace the target by a second proxy to the same listener."""
    context.proxy.replace_target(context.proxy.target)


@then("the open connection is closed in order")
def one_closed_in_order(context: Any) -> None:
    """Read the end of the connection."""
    context.open.settimeout(CLOSE_S)
    assert context.open.recv(1) == b""
    assert passes(socket.create_connection(split_address(context.proxy.address)))
