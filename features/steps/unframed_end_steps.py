"""Test which evidence lets a stream without framing end in order."""

from __future__ import annotations

import time
from dataclasses import replace
from http import HTTPStatus
from typing import Any, Final

from behave import then, when

from features.steps.close_delimited_end_steps import SENT_EVENTS, closed_early
from features.worlds.ending_world import ALL_EVENTS
from features.worlds.unframed_world import DEADLINE_MS, UnframedWorld
from stand_ins.endings import EVENTS, Ending, EndingPlan, Framing, Place
from stand_ins.raw import RawEnding, RawResponse
from stand_ins.routed import SEAL, event_bytes

CLOSED: Final = EndingPlan(Framing.CLOSE, Ending.CLOSED)
CLOSED_LATE: Final = replace(CLOSED, pieces=12)
WHOLE: Final = EndingPlan(Framing.CLOSE)
PING: Final = b"event: ping\ndata: {}\n\n"
NO_EVENT: Final = b"no event\n\n"


def _start(context: Any, *plans: EndingPlan, has_backups: bool = False) -> UnframedWorld:
    """Start a gateway whose engines answer by plans, and stop it after the scenario."""
    world = UnframedWorld()
    context.add_cleanup(world.close)
    world.plans, world.has_backups = list(plans), has_backups
    context.ending_world = world
    return world


def _silent(world: UnframedWorld) -> None:
    """Let no engine answer checks."""
    for engine in world.ending_engines:
        engine.answers_probes = False


def _framed_before(world: UnframedWorld) -> None:
    """Send a stream in chunks first."""
    plans, world.plans = world.plans, []
    assert world.stream("framed").whole
    world.plans = plans


def _head(request_id: str, *lines: bytes) -> bytes:
    """Return the head of a success with further lines."""
    own = (b"X-Driftstall-Request-Id: " + request_id.encode(), b": ".join(SEAL))
    return b"\r\n".join([b"HTTP/1.1 200 OK", *own, *lines, b"", b""])


def _raw(request_id: str) -> RawResponse:
    """Return the head and some events of a stream, and bytes that are none."""
    events = b"".join(event_bytes(number) for number in range(1, SENT_EVENTS + 1))
    return RawResponse(_head(request_id) + events + NO_EVENT, RawEnding.CLOSED)


def _with_pings() -> bytes:
    """Return events, each after a ping without an id."""
    return b"".join(PING + event_bytes(number) for number in range(1, SENT_EVENTS + 1))


def _pings(request_id: str) -> RawResponse:
    """Return a head and half of the events of a stream, each with a ping."""
    return RawResponse(_head(request_id) + _with_pings(), RawEnding.CLOSED)


def _empty(request_id: str) -> RawResponse:
    """Return an empty success with a length, which states no type."""
    return RawResponse(_head(request_id, b"Content-Length: 0"), RawEnding.CLOSED)


@when("a stream without framing and without a backup is closed early, by a process that {ends}")
def closed_by_ending(context: Any, ends: str) -> None:
    """Close a stream early; its process ends later."""
    world = _start(context, closed_early(ends.removeprefix("ends ")))
    context.answer = world.stream("s1")


@when("a stream without framing and without a backup is closed early")
def closed_alone(context: Any) -> None:
    """Close a stream early; its process lives on."""
    context.answer = _start(context, CLOSED).stream("s1")


@when("a stream without framing and without a backup is closed early, by a silent process")
def closed_by_silent(context: Any) -> None:
    """Close a stream early; checks are not answered."""
    world = _start(context, CLOSED)
    _silent(world)
    context.answer = world.stream("s1")


@when("a stream without framing and without a backup is closed early, beside upstreams that {use}")
def closed_beside_framed(context: Any, use: str) -> None:
    """Close a stream early after one in chunks."""
    world = _start(context, CLOSED)
    _framed_before(world)
    context.answer = world.stream("s1")


@when("a stream without framing and without a backup is closed early, after bytes that {are}")
def closed_after_bytes(context: Any, are: str) -> None:
    """Close a stream early after a part that is no event."""
    world = _start(context, EndingPlan(Framing.CLOSE, build_raw=_raw))
    context.answer = world.stream("s1", reads_events=False)


@when("a stream without framing and without a backup is closed early, {left} before its deadline")
def closed_at_deadline(context: Any, left: str) -> None:
    """Close a stream just before its deadline."""
    world = _start(context, CLOSED)
    left_s = float(left.removesuffix(" s"))
    world.pauses = {SENT_EVENTS: DEADLINE_MS / 1000 - 0.5 - left_s}
    context.answer = world.stream("s1")


@when("a stream without framing and without a backup is whole")
def whole_alone(context: Any) -> None:
    """Send a whole stream."""
    context.answer = _start(context, WHOLE).stream("s1")


@when(
    "a stream without framing is closed early at {count:d} engines, and the next one sends the rest"
    " in chunks"
)
def closed_at_engines(context: Any, count: int) -> None:
    """Close some runs early; the last one is whole."""
    world = _start(context, *[CLOSED] * count, has_backups=True)
    context.answer = world.stream("s1")


@when(
    "a stream without framing is closed early by a silent process, and its backup sends the rest in"
    " chunks"
)
def closed_by_silent_resumes(context: Any) -> None:
    """Close a stream early at engines that answer no checks, and measure its time."""
    world = _start(context, CLOSED, has_backups=True)
    _silent(world)
    began_at = time.monotonic()
    context.answer = world.stream("s1")
    context.took_s = time.monotonic() - began_at


@then("it took at most {seconds:g} s")
def took(context: Any, seconds: float) -> None:
    """Check the time of a stream."""
    assert context.took_s <= seconds, context.took_s


RESTS: Final = {
    "the rest": WHOLE,
    "a part of the rest": EndingPlan(Framing.CLOSE, Ending.CLOSED, pieces=2),
    "nothing": EndingPlan(Framing.CLOSE, Ending.CLOSED, pieces=0),
}


@when("a stream without framing is closed early, and its backup sends {rest} without framing")
def resumes_unframed(context: Any, rest: str) -> None:
    """Resume a stream without framing; the resumed run has no backup that would know it."""
    world = _start(context, CLOSED, RESTS[rest], has_backups=True)
    world.whole_framing = Framing.CLOSE
    context.answer = world.stream("s1")


def _refused(context: Any, plan: EndingPlan, last: int, framing: Framing = Framing.CLOSE) -> None:
    """Send a stream whose backup drops its copy with the last event of a run."""
    world = _start(context, plan, has_backups=True)
    world.whole_framing = framing
    world.drops_copies_after = last
    context.answer = world.stream("s1")


@when("a whole stream without framing ends, and its backup refuses it")
def whole_and_refused(context: Any) -> None:
    """Send a whole stream."""
    _refused(context, WHOLE, EVENTS)


@when("a stream without framing is closed early, and its backup refuses it")
def closed_and_refused(context: Any) -> None:
    """Close a stream early whose backup holds no copy of it."""
    _refused(context, CLOSED_LATE, CLOSED_LATE.pieces)


@when("a stream in chunks resumes without framing and is whole, and its backup refuses it")
def resumed_and_refused(context: Any) -> None:
    """Break off a run in chunks; the resumed one is whole."""
    _refused(context, EndingPlan(ending=Ending.RESET), EVENTS)


@when(
    "a stream without framing is closed early, and its backup answers with an empty success that is"
    " no stream"
)
def empty_resumed(context: Any) -> None:
    """Close a stream early; its backup sends a head with a length of zero."""
    world = _start(context, CLOSED, EndingPlan(build_raw=_empty), has_backups=True)
    context.answer = world.stream("s1")


@when(
    "a stream without framing and without a backup sends 7 of 14 events, each with a ping, and is"
    " closed"
)
def closed_with_pings(context: Any) -> None:
    """Close a stream early whose pings and events are as many as its tokens."""
    world = _start(context, EndingPlan(Framing.CLOSE, build_raw=_pings))
    world.reads_events, world.pauses = False, {}
    context.answer = world.ask("/stream/a", "s1", X_Driftstall_Token_Count="1000,14")


@then("its caller got that, and its connection was reset")
def got_pings(context: Any) -> None:
    """Check the bytes, and how the connection ended."""
    answer = context.answer
    assert (answer.status, answer.body, answer.whole) == (200, _with_pings(), False), answer


@when("a stream with status {status:d} without framing is closed early")
def other_status(context: Any, status: int) -> None:
    """Close a stream early whose status is another success."""
    world = _start(context, replace(CLOSED, status=status))
    context.answer = world.stream("s1", reads_events=False)


@then("its caller gets no truncated success that ends in order")
def no_truncated_success(context: Any) -> None:
    """Check that the response is no success, or did not end in order."""
    answer = context.answer
    assert answer.status >= HTTPStatus.BAD_REQUEST or not answer.whole, answer


@when("a stream without framing of 20 events is sent for a request of at most {tokens:d} tokens")
def limited_tokens(context: Any, tokens: int) -> None:
    """Send a whole stream for a request with a limit."""
    world = _start(context, WHOLE)
    world.reads_events, world.pauses = False, {}
    context.answer = world.ask("/stream/a", "s1", X_Driftstall_Token_Count=f"1000,{tokens}")


@when(
    "a caller of HTTP/1.0 gets a stream that breaks off in chunks, and that resumes without"
    " framing up to event 18"
)
def old_caller_resumed(context: Any) -> None:
    """Break off a run in chunks; the resumed one is closed early, without framing."""
    rest = EndingPlan(Framing.CLOSE, Ending.CLOSED, pieces=11)
    nothing = EndingPlan(Framing.CLOSE, Ending.CLOSED, Place.HEAD)
    world = _start(context, EndingPlan(ending=Ending.RESET), rest, nothing, has_backups=True)
    world.http_version = "1.0"
    world.pauses = {}
    context.answer = world.stream("s1")


@then("its caller got every event, and its connection was {told}")
def every_event(context: Any, told: str) -> None:
    """Check the events, and how the connection ended."""
    answer = context.answer
    assert (answer.status, answer.body, answer.is_framed) == (200, ALL_EVENTS, False), answer
    assert answer.whole == (told == "closed in order"), answer


@then("its caller got every event, without the end of its framing")
def every_event_unfinished(context: Any) -> None:
    """Check the events, and that the last chunk is missing."""
    answer = context.answer
    found = (answer.status, answer.body, answer.is_framed, answer.whole)
    assert found == (200, ALL_EVENTS, True, False), answer


@then("its caller got these bytes after event 7, and its connection was reset")
def bytes_after_events(context: Any) -> None:
    """Check the bytes, and that the connection was reset."""
    answer = context.answer
    sent = b"".join(event_bytes(number) for number in range(1, SENT_EVENTS + 1)) + NO_EVENT
    assert (answer.status, answer.body, answer.whole) == (200, sent, False), answer


@then("its caller got events 1 to {last:d}, and its connection was reset")
def some_events(context: Any, last: int) -> None:
    """Check the events, and that the connection was reset."""
    answer = context.answer
    expected = b"".join(event_bytes(number) for number in range(1, last + 1))
    assert (answer.status, answer.body, answer.is_framed) == (200, expected, False), answer
    assert not answer.whole, answer


@then("it counts as {count:d} run without a crash")
def count_sound(context: Any, count: int) -> None:
    """Check what the poison detection was told."""
    assert context.ending_world.sound_runs == count, context.ending_world.sound_runs


@then("the lengths of {count:d} runs are learned")
def count_lengths(context: Any, count: int) -> None:
    """Check what the forecasts of lengths were told."""
    found = context.ending_world.learned_lengths
    assert found == count, found
