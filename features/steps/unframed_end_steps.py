"""Test which evidence lets a stream without framing end in order."""

from __future__ import annotations

import time
from typing import Any, Final

from behave import then, when

from driftstall.decisions.end_evidence import Objection
from driftstall.gateway.callers.framing import CallerFraming
from driftstall.gateway.response_ends import stream_ends
from driftstall.gateway.response_writer import ResponseWriter
from features.steps.close_delimited_end_steps import SENT_EVENTS, closed_early
from features.worlds.ending_world import ALL_EVENTS
from features.worlds.unframed_world import DEADLINE_MS, KEPT_S, Act, UnframedWorld
from stand_ins.endings import EVENTS, Ending, EndingPlan, Framing, Place
from stand_ins.raw import RawEnding, RawResponse
from stand_ins.routed import SEAL, event_bytes

CLOSED: Final = EndingPlan(Framing.CLOSE, Ending.CLOSED)
WHOLE: Final = EndingPlan(Framing.CLOSE)
SHORT_DEADLINE_MS: Final = 3_300
"""Deadline of a stream that is whole 2.5 s after it was sent, by the clock of its gateway."""
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


def _raw(request_id: str) -> RawResponse:
    """Return the head and some events of a stream, and bytes that are none."""
    lines = [b"X-Driftstall-Request-Id: " + request_id.encode(), b": ".join(SEAL)]
    head = b"\r\n".join([b"HTTP/1.1 200 OK", *lines, b"", b""])
    events = b"".join(event_bytes(number) for number in range(1, SENT_EVENTS + 1))
    return RawResponse(head + events + NO_EVENT, RawEnding.CLOSED)


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


def _show_copies(world: UnframedWorld) -> None:
    """Send a stream that is closed early, and that its backup resumes without framing."""
    plans, world.plans = world.plans, [CLOSED, WHOLE, RESTS["nothing"]]
    answer = world.stream("first")
    assert (answer.body, answer.whole) == (ALL_EVENTS, False), answer
    world.plans = plans


def _end_whole(
    context: Any, act: Act, plan: EndingPlan = WHOLE, *, shows_copies: bool = True
) -> UnframedWorld:
    """Send a whole stream whose backup drops its copy with the last event."""
    world = _start(context, plan, has_backups=True)
    if shows_copies:
        _show_copies(world)
    world.drops_copies_after = EVENTS
    world.at_end = act
    return world


@when("a whole stream without framing ends, and its backup refuses it")
def refused(context: Any) -> None:
    """Send a whole stream."""
    context.answer = _end_whole(context, lambda _: None).stream("s1")


@when("a stream in chunks resumes without framing and is whole, and its backup refuses it")
def resumed_and_refused(context: Any) -> None:
    """Break off a run in chunks; the resumed one is whole, and long enough for its backup."""
    world = _end_whole(context, lambda _: None, EndingPlan(ending=Ending.RESET))
    world.whole_framing = Framing.CLOSE
    world.pauses = {number: 0.5 for number in (3, 4, 10, 11, 12)}
    context.answer = world.stream("s1")


@when("a whole stream without framing ends, and no retry is left")
def no_retry(context: Any) -> None:
    """Send a whole stream, and allow no retry."""
    world = _end_whole(context, lambda _: None)
    world.state.retries.try_reserve = lambda *_: None  # type: ignore[method-assign]
    context.answer = world.stream("s1")


def _report(world: UnframedWorld, **fields: Any) -> None:
    """Change the reports of the engines that have not run the stream."""
    for engine in world.others():
        engine.report = engine.report | fields


def _without_memory(world: UnframedWorld) -> None:
    """Let reports state no memory."""
    for engine in world.others():
        engine.report = {"state": "ready", "born": 1}


def _no_answer(world: UnframedWorld) -> None:
    """Let the engines that have not run the stream answer no report."""
    for engine in world.others():
        engine.answers_probes = False


def _back_off(world: UnframedWorld) -> None:
    """Let the engines that have not run the stream reject all requests with a back-off."""
    for engine in world.others():
        engine.rejected_share, engine.backoff = 1.0, "0.2"


def _end_process(world: UnframedWorld) -> None:
    """End the process of the run."""
    world.runner().stop()


def _silence(world: UnframedWorld) -> None:
    """Let the process of the run answer no checks."""
    world.runner().answers_probes = False


OBJECTIONS: Final[dict[str, Act]] = {
    "its report has no memory": _without_memory,
    "its report can't be read": _no_answer,
    "it has no room for a copy": lambda world: _report(world, kvUsed=34_000),
    "its slots are taken": lambda world: _report(world, running=64),
    "requests wait there": lambda world: _report(world, queued=1),
    "it is draining": lambda world: _report(world, state="draining"),
    "it requests a back-off": _back_off,
    "the run ended 0.8 s after its last event": lambda world: world.pass_time(0.8),
    "the process of the run is silent": _silence,
    "the process of the run has ended": _end_process,
}
PAUSES: Final[dict[str, dict[int, float]]] = {
    "the run produced events for 0.7 s only": {3: 0.2},
    "a pause of the run was longer than copies are kept": {3: KEPT_S + 0.5, 4: 0.5},
}


@when("a stream without framing ends, and its backup refuses it, but {objection}")
def refused_with_objection(context: Any, objection: str) -> None:
    """Send a whole stream whose backup may have refused it for another reason."""
    unseen = "no backup was seen to keep a copy"
    act = OBJECTIONS.get(objection, lambda _: None)
    world = _end_whole(context, act, shows_copies=objection != unseen)
    world.pauses = PAUSES.get(objection, world.pauses)
    if objection == "the run ended less than 1 s before its deadline":
        world.deadline_ms = SHORT_DEADLINE_MS
    if objection == "other streams of the service are framed":
        _framed_before(world)
    if objection == "it is not known how long copies are kept":
        world.use_engine(handleS=0)
    if objection == "its caller reads slowly":
        _write_slowly(context, world)
    _record_objections(context)
    context.answer = world.stream("s1")


def _write_slowly(context: Any, world: UnframedWorld) -> None:
    """Let each write of a piece take a tenth of a second on the gateway's clock."""
    write_piece = ResponseWriter.write_piece

    def write(self: ResponseWriter, framing: CallerFraming, data: bytes) -> bool:
        world.pass_time(0.1)
        return write_piece(self, framing, data)

    context.add_cleanup(setattr, ResponseWriter, "write_piece", write_piece)
    ResponseWriter.write_piece = write  # type: ignore[method-assign]


def _record_objections(context: Any) -> None:
    """Record what is found against the refusals of backups."""
    context.objections = []
    find_objection = stream_ends.find_objection

    def find(*args: Any) -> Objection | None:
        objection = find_objection(*args)
        context.objections.append(objection)
        return objection

    context.add_cleanup(setattr, stream_ends, "find_objection", find_objection)
    stream_ends.find_objection = find  # type: ignore[assignment]


@then("it counts as {count:d} run without a crash")
def count_sound(context: Any, count: int) -> None:
    """Check what the poison detection was told."""
    assert context.ending_world.sound_runs == count, context.ending_world.sound_runs


@then("the lengths of {count:d} runs are learned")
def count_lengths(context: Any, count: int) -> None:
    """Check what the forecasts of lengths were told."""
    found = context.ending_world.learned_lengths
    assert found == count, found


@then("the refusal shows nothing because of {name}")
def shows_nothing(context: Any, name: str) -> None:
    """Check the only objection."""
    assert context.objections == [Objection[name]], context.objections


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
