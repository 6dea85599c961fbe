"""Test the soak's plan of truncated responses: its record, its links and its upstreams."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Final

import gevent
from behave import given, then, when
from gevent import socket

from driftstall.util.addresses import split_address
from features.steps.soak_steps import LATER, RacedStore, good, passes
from soak.checks import find_violations
from soak.draw import CALM_LAST_S, draw_steps
from soak.ledger import ENGINE_SERVICE, Ledger, RequestKind
from soak.plan import Kind, Plan
from soak.truncation import HEALTH_PATH, TruncatingSlot
from stand_ins.endings import BODY, CALL_PIECES, EVENTS, Ending, EndingPlan, Framing, Place
from stand_ins.routed import ReceivedRequest, event_bytes

DRAWN_PLANS: Final = 2_000
CLOSE_S: Final = 2.0
"""Time within which a link passes the end of a connection on."""


def whole_stream(events: int = EVENTS) -> bytes:
    """Return the body of a stream with its first events."""
    return b"".join(event_bytes(number) for number in range(1, events + 1))


@given("the record of a run of truncated responses in which all was well")
def truncated_record(context: Any) -> None:
    """Record requests of each kind that were served whole, and one stream that was broken off."""
    pieces: dict[str, list[int]] = {}
    ledger = context.ledger = Ledger(EVENTS, body=BODY, sent_pieces=pieces)
    ledger.truncations["neither, process gone"] = 1
    for index in range(60):
        kind = (RequestKind.SAFE, RequestKind.ONCE, RequestKind.STREAM)[index % 3]
        asked = good(ledger, f"r{index}", kind, LATER - 60.0 + index)
        is_stream = kind is RequestKind.STREAM
        asked.body = whole_stream() if is_stream else BODY
        pieces[asked.request_id] = list(range(1, (EVENTS if is_stream else CALL_PIECES) + 1))
    context.call, context.stream = ledger.requests["r0"], ledger.requests["r2"]
    broken = ledger.requests["r5"]
    broken.complete, broken.body = False, whole_stream(7) + event_bytes(8)[:4]
    pieces["r5"] = list(range(1, 8))


def change_stream(context: Any, body: bytes) -> None:
    """Replace the body of the whole stream."""
    context.stream.body = body


def cut_call(context: Any, body: bytes) -> None:
    """Replace the body of the call and mark it as broken off."""
    context.call.body, context.call.complete = body, False


CHANGES: Final[dict[str, Callable[[Any], Any]]] = {
    "a stream is complete after 7 events": lambda c: change_stream(c, whole_stream(7)),
    "a stream is complete without an event": lambda c: change_stream(c, b""),
    "a stream is complete though its last event was not sent": lambda c: c.ledger.sent_pieces[
        "r2"
    ].remove(EVENTS),
    "a stream has an event that was not sent": lambda c: c.ledger.sent_pieces["r2"].remove(7),
    "a stream has an event with other bytes": lambda c: change_stream(
        c, whole_stream().replace(b"piece 7\n", b"piece 8\n")
    ),
    "a stream was joined inside an event": lambda c: change_stream(
        c, whole_stream(7) + event_bytes(8)[:4] + whole_stream()[len(whole_stream(7)) :]
    ),
    "a call is complete after half of its body": lambda c: setattr(
        c.call, "body", BODY[: len(BODY) // 2]
    ),
    "a call is complete with an empty body": lambda c: setattr(c.call, "body", b""),
    "a call is complete though its body was not sent to the end": lambda c: c.ledger.sent_pieces[
        "r0"
    ].remove(CALL_PIECES),
    "a part of a call has other bytes": lambda c: cut_call(c, b"other"),
    "no close-delimited response has ended early": lambda c: c.ledger.truncations.clear(),
}


@when("in that record {what}")
def change_record(context: Any, what: str) -> None:
    """Apply the change that the step names."""
    CHANGES[what](context)


@then('it shows "{line}", and a whole record shows nothing')
def shows(context: Any, line: str) -> None:
    """Compare the violations of the changed record with those of a new one."""
    found = find_violations(context.ledger)
    assert any(line in each for each in found), found
    truncated_record(context)
    assert not find_violations(context.ledger)


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


def draw_plans(upstream: Any, target: str, last: int) -> set[EndingPlan]:
    """Return drawn plans of the responses to a request."""
    seen = ReceivedRequest("r", {"last-event-id": str(last)}, "POST", target, b"")
    return {upstream._draw_plan(seen) for _ in range(DRAWN_PLANS)}


@then("its plans end responses in each way that shows that they are not whole")
def drawn_plans(context: Any) -> None:
    """Draw plans of each framing, for calls, streams and resumed streams."""
    for framing in Framing:
        context.upstream._framing = framing
        for target, last in (("/safe/x", 0), ("/stream/x", 0), ("/stream/x", 12)):
            plans = draw_plans(context.upstream, target, last)
            early = {plan for plan in plans if plan.ending is not Ending.WHOLE}
            assert {plan.framing for plan in plans} == {framing}
            assert len(early) < len(plans)
            wanted = {*Ending} - {Ending.WHOLE, Ending.GONE_LATE}
            hidden = {plan.place for plan in early if plan.ending is Ending.CLOSED}
            if framing is Framing.CLOSE:
                is_stream = target.startswith("/stream/")
                assert hidden == ({Place.INSIDE} if is_stream else set()), hidden
                wanted -= set() if is_stream else {Ending.CLOSED}
            assert {plan.ending for plan in early} == wanted, (framing, target)
            assert {plan.place for plan in early} == {*Place}
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
