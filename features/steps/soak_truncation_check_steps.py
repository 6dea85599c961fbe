"""Test the soak's checks of truncated responses on records of runs."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any, Final

from behave import given, then, when

from features.steps.soak_steps import LATER, good
from soak.checks import find_violations
from soak.ledger import KNOWN_END_S, Arrival, Ledger, RequestKind, ResponseEnd, Window
from stand_ins.endings import BODY, CALL_PIECES, EVENTS, Ending, EndingPlan, Framing
from stand_ins.routed import event_bytes


def whole_stream(events: int = EVENTS) -> bytes:
    """Return the body of a stream with its first events."""
    return b"".join(event_bytes(number) for number in range(1, events + 1))


@given("the record of a run of truncated responses in which all was well")
def truncated_record(context: Any) -> None:
    """Record requests of each kind that were served whole, and one stream that was broken off."""
    pieces: dict[str, list[int]] = {}
    ledger = context.ledger = Ledger(EVENTS, body=BODY, sent_pieces=pieces)
    ledger.truncations["neither, process gone"] = 1
    ended = EndingPlan(Framing.CHUNKED)
    for index in range(60):
        kind = (RequestKind.SAFE, RequestKind.ONCE, RequestKind.STREAM)[index % 3]
        asked = good(ledger, f"r{index}", kind, LATER - 60.0 + index)
        is_stream = kind is RequestKind.STREAM
        asked.body = whole_stream() if is_stream else BODY
        asked.has_head = asked.is_framed = True
        pieces[asked.request_id] = list(range(1, (EVENTS if is_stream else CALL_PIECES) + 1))
        end = ResponseEnd("u1", ended, asked.ended_at)
        ledger.response_ends[asked.request_id].append(end)
    context.call, context.stream = ledger.requests["r0"], ledger.requests["r2"]
    broken = ledger.requests["r5"]
    broken.complete, broken.body = False, whole_stream(7) + event_bytes(8)[:4]
    pieces["r5"] = list(range(1, 8))
    for name, ending in (("r6", Ending.CLOSED), ("r7", Ending.GONE_LATE)):
        close_early(context, name, ending)
    close_early(context, "r8", Ending.CLOSED)
    ledger.requests["r8"].is_closed, ledger.requests["r8"].is_cut = False, True
    ledger.process_ends["u2"] = ledger.response_ends["r7"][0].at + KNOWN_END_S
    unseen = EndingPlan(Framing.CLOSE, Ending.GONE)
    ledger.response_ends["r6"].append(ResponseEnd("u9", unseen, LATER))
    for name in ("r9", "r57", "r58"):
        close_early(context, name, Ending.WHOLE)
        ledger.requests[name].body, pieces[name] = BODY, list(range(1, CALL_PIECES + 1))


def close_early(context: Any, name: str, ending: Ending) -> None:
    """Let an upstream close a response after 7 pieces, and its caller see exactly that."""
    ledger = context.ledger
    request = ledger.requests[name]
    is_stream = request.kind is RequestKind.STREAM
    request.complete, request.is_framed, request.is_closed = False, False, True
    request.body = whole_stream(7) if is_stream else BODY[: 7 * len(BODY) // CALL_PIECES]
    ledger.sent_pieces[name] = list(range(1, 8))
    upstream_id = "u2" if ending is Ending.GONE_LATE else "u1"
    ledger.arrivals = [
        replace(arrival, upstream_id=upstream_id) if arrival.request_id == name else arrival
        for arrival in ledger.arrivals
    ]
    plan = EndingPlan(Framing.CLOSE, ending)
    ledger.response_ends[name] = [ResponseEnd(upstream_id, plan, request.ended_at)]


def change_stream(context: Any, body: bytes) -> None:
    """Replace the body of the whole stream."""
    context.stream.body = body


def cut_call(context: Any, body: bytes) -> None:
    """Replace the body of the call and mark it as broken off."""
    context.call.body, context.call.complete = body, False


def end_process(context: Any, after_s: float) -> None:
    """Record that a process ended some time after it closed a response early."""
    context.ledger.process_ends["u2"] = context.ledger.response_ends["r7"][0].at + after_s


def shorten(context: Any, name: str) -> None:
    """Remove the end of a body."""
    request = context.ledger.requests[name]
    request.body = request.body[: len(request.body) // 2]


def set_ends(context: Any, name: str, *plans: EndingPlan) -> None:
    """Replace the ends of upstreams' responses to a request."""
    at = context.ledger.requests[name].ended_at
    context.ledger.response_ends[name] = [ResponseEnd("u1", plan, at) for plan in plans]


def set_other_upstream(context: Any, name: str) -> None:
    """Let another upstream than that of the last run have closed a response."""
    [end] = context.ledger.response_ends[name]
    context.ledger.response_ends[name] = [replace(end, upstream_id="u9")]


def run_again(context: Any, name: str) -> None:
    """Record another run of a request, which began after the end of the first one."""
    request = context.ledger.requests[name]
    arrival = Arrival(name, "u3", request.path, request.ended_at + 0.01, is_resumed=True)
    context.ledger.arrivals.append(arrival)


def close_whole(context: Any) -> None:
    """Let a whole stream end in order without framing, and no upstream have sent its last event."""
    context.stream.complete, context.stream.is_framed, context.stream.is_closed = False, False, True
    context.ledger.sent_pieces["r2"].remove(EVENTS)


def cut_in_stop(context: Any, framing: Framing, events: int = EVENTS) -> None:
    """Cut a stream whose upstream has sent all of it, in a planned stop."""
    stream = context.stream
    set_ends(context, "r2", EndingPlan(framing))
    stream.body, stream.complete, stream.is_cut = whole_stream(events), False, True
    stream.is_framed = framing is not Framing.CLOSE
    stop = Window(stream.ended_at - 1.0, stream.ended_at + 1.0)
    context.ledger.planned_stops[stream.instance].append(stop)
    context.ledger.disturbed[stream.instance].append(stop)


def close_last_calls(context: Any) -> None:
    """Let living processes close the last calls early."""
    for name in ("r57", "r58"):
        close_early(context, name, Ending.CLOSED)


def set_other_plan(context: Any) -> None:
    """Make the record that of a plan whose upstreams close no response early."""
    context.ledger.sent_pieces = None
    context.ledger.requests["r8"].is_closed = True


def set_status(context: Any, status: int) -> None:
    """Replace the status of a response."""
    context.call.status = status


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
    "no living process has closed a response early": lambda c: c.ledger.response_ends.clear(),
    "no living process has closed a stream early": lambda c: set_ends(
        c, "r8", EndingPlan(Framing.CLOSE, Ending.RESET)
    ),
    "a call is complete though its upstream framed nothing": lambda c: set_ends(
        c, "r0", EndingPlan(Framing.CLOSE)
    ),
    "a stream is complete though its upstream framed nothing": lambda c: set_ends(
        c, "r2", EndingPlan(Framing.CLOSE)
    ),
    "a call is complete though its framed response was cut": lambda c: set_ends(
        c, "r0", EndingPlan(Framing.LENGTH, Ending.CLOSED)
    ),
    "a call is complete though its upstream's status was odd": lambda c: set_ends(
        c, "r0", EndingPlan(Framing.LENGTH, status=600)
    ),
    "a call is closed early though its upstream reset it": lambda c: set_ends(
        c, "r6", EndingPlan(Framing.CLOSE, Ending.RESET)
    ),
    "a call is closed early though its process was gone": lambda c: set_ends(
        c, "r6", EndingPlan(Framing.CLOSE, Ending.GONE)
    ),
    "a call is closed early though its process restarted": lambda c: set_ends(
        c, "r6", EndingPlan(Framing.CLOSE, Ending.RESTARTED)
    ),
    "a call is closed early though its upstream ended nothing": lambda c: set_ends(c, "r6"),
    "a call is closed early though its upstream framed it": lambda c: set_ends(
        c, "r6", EndingPlan(Framing.CHUNKED, Ending.CLOSED)
    ),
    "a call is closed early though its process ended at once": lambda c: end_process(
        c, KNOWN_END_S - 0.01
    ),
    "a call is closed early though it ran again since": lambda c: run_again(c, "r7"),
    "a call is closed early though another upstream did so": lambda c: set_other_upstream(c, "r7"),
    "a call is closed before what its upstream sent": lambda c: shorten(c, "r6"),
    "a stream is closed in order after 7 events": lambda c: setattr(
        c.ledger.requests["r8"], "is_closed", True
    ),
    "a whole stream is closed in order though its last event was not sent": close_whole,
    "a stopping instance resets a whole stream without framing": lambda c: cut_in_stop(
        c, Framing.CLOSE
    ),
    "a stopping instance resets a stream without framing before its last event": lambda c: (
        cut_in_stop(c, Framing.CLOSE, EVENTS - 1)
    ),
    "a stopping instance cuts a stream in chunks after its last event": lambda c: cut_in_stop(
        c, Framing.CHUNKED
    ),
    "the last calls are closed early": close_last_calls,
    "calls and streams are closed early in another plan": set_other_plan,
    "an answer has the status 600": lambda c: set_status(c, 600),
    "an answer has the status 99": lambda c: set_status(c, 99),
    "an answer has the status 0": lambda c: set_status(c, 0),
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
