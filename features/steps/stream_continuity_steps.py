"""Test streams whose resumed runs do not continue them."""

from __future__ import annotations

import pickle
from collections.abc import Callable
from typing import Any, Final

import gevent
from behave import given, then, when
from hypothesis import given as given_drawn
from hypothesis import settings
from hypothesis import strategies as st

from driftstall.decisions.sends import BACKUP_READY_AFTER_S
from driftstall.gateway.events import Event, EventContinuity, EventSequence
from driftstall.gateway.ingress import LAST_CHUNK, encode_chunk
from driftstall.gateway.response_ends import silence
from features.steps.gateway_stream_steps import await_copy
from features.worlds.gateway_world import (
    document,
    runs,
    script_upstreams,
    wait_for,
    world_of,
)
from stand_ins.routed import Script, event_bytes

END: Final = "end"
NONE: Final = "none"
BEFORE_RESUMED: Final[dict[str, Callable[[int], list[str]]]] = {
    "nothing": lambda _: [],
    "the last event": lambda after: [str(after)],
    "all events": lambda after: [str(number) for number in range(1, after + 1)],
    "another run": lambda after: [f"{number}*" for number in range(1, after + 1)],
}
"""Events that a resumed run sends before the first one that its caller lacks."""


def _event_data(word: str) -> bytes:
    """Return the bytes of an event."""
    if word == "X":
        return b"data: piece without id\n\n"
    if word == ":":
        return b": alive\n\n"
    if word.endswith("*"):
        number = int(word[:-1])
        return b"id: %d\ndata: another piece %d\n\n" % (number, number)
    event_id, _, data = word.partition("=")
    return b"id: %d\ndata: piece %d\n\n" % (int(event_id), int(data or event_id))


def _piece(word: str) -> bytes:
    """Return an event, or the last chunk, as a chunked response sends it."""
    return LAST_CHUNK if word == END else encode_chunk(_event_data(word))


def _raw_script(words: str) -> Script:
    """Return the script of a stream that sends some events, and its end if they name it."""
    return Script(raw_body=tuple(map(_piece, words.split())))


@given('the engine of "{request_id}" will break off after 3 events, and the next one sends {words}')
def breaks_and_continues(context: Any, request_id: str, words: str) -> None:
    """Break a stream off once its backup is ready, and script the resumed run."""
    context.script = Script(break_after=3)
    later = [Script(not_run=True) for _ in world_of(context).engines]
    script_upstreams(world_of(context), request_id, [context.script, _raw_script(words), *later])
    await_copy(context, 3)


@given(
    'the engine of "{request_id}" will break off after events {first}, and the next one sends'
    " {following}"
)
def breaks_after_events(context: Any, request_id: str, first: str, following: str) -> None:
    """Script a run that breaks off, and the resumed one; the gateway's clock passes meanwhile."""
    world = world_of(context)
    script = _raw_script(first)
    script.raw_gate_before = len(first.split()) - 1
    script_upstreams(world, request_id, [script, _raw_script(following)])

    def pass_time() -> None:
        wait_for("an event", lambda: any(run.events for run in world.state.runs.all))
        world.pass_time(BACKUP_READY_AFTER_S)
        script.gate.set()

    gevent.spawn(pass_time)


@given('the only run of "{request_id}" sends {words}')
def sends(context: Any, request_id: str, words: str) -> None:
    """Script the only run of a stream; no engine keeps a backup."""
    world = world_of(context)
    for engine in world.engines:
        engine.peers = {}
    script_upstreams(world, request_id, [_raw_script(words)])


@then('{count:d} events of "{request_id}" came, in order, and the end')
def all_events(context: Any, count: int, request_id: str) -> None:
    """Check the events of a complete stream."""
    expected = b"".join(event_bytes(number) for number in range(1, count + 1))
    answer = context.answer
    assert (answer.status, answer.body, answer.whole) == (200, expected, True), answer


@when("streams of drawn events are checked")
def check_drawn(context: Any) -> None:
    """Check streams of ids with the data of one of two runs."""
    context.pairs = []
    drawn = st.lists(st.tuples(st.integers(0, 6), st.booleans()), max_size=12)

    @settings(max_examples=300, derandomize=True, database=None)
    @given_drawn(drawn)
    def check(events: list[tuple[int, bool]]) -> None:
        sequence = EventSequence()
        context.pairs.append((events, [sequence.check(_event(*each)) for each in events]))

    check()


@then("each event counts as next, repeated, missing or in conflict as its id and data say")
def as_ids_say(context: Any) -> None:
    """Compare the results with those of a model that keeps all relayed events."""
    for events, results in context.pairs:
        relayed: dict[int, bool] = {}
        for (number, is_other), result in zip(events, results, strict=True):
            assert result is _expected(relayed, number, is_other=is_other), (events, results)
            if result is EventContinuity.NEXT:
                relayed[number] = is_other


def _event(number: int, is_other: bool) -> Event:
    """Return an event with the data of one of two runs."""
    return Event(b"id: %d\ndata: %d %d\n\n" % (number, is_other, number), str(number))


def _expected(relayed: dict[int, bool], number: int, *, is_other: bool) -> EventContinuity:
    """Return how an event follows the relayed ones."""
    if not relayed or number == max(relayed) + 1:
        return EventContinuity.NEXT
    if number > max(relayed):
        return EventContinuity.GAP
    is_same = relayed.get(number) is is_other
    return EventContinuity.REPEATED if is_same else EventContinuity.CONFLICT


@when("a stream of {count:d} events is checked")
def check_long(context: Any, count: int) -> None:
    """Check a long stream."""
    context.sequence, context.count = EventSequence(), count
    for number in range(1, count + 1):
        assert context.sequence.check(_event(number, False)) is EventContinuity.NEXT


@then("its last {count:d} events can be verified, and less than {kilobytes:d} kB are kept")
def verified(context: Any, count: int, kilobytes: int) -> None:
    """Repeat events at the end of the stream, and one whose checksum is no longer kept."""
    last = context.count
    for number in range(last - count + 1, last + 1):
        assert context.sequence.check(_event(number, False)) is EventContinuity.REPEATED
        assert context.sequence.check(_event(number, True)) is EventContinuity.CONFLICT
    assert context.sequence.check(_event(1, False)) is EventContinuity.CONFLICT
    assert len(pickle.dumps(context.sequence)) < kilobytes * 1000


@then('events {words} of "{request_id}" came and {end}')
def events_came(context: Any, words: str, request_id: str, end: str) -> None:
    """Check the events, and whether the stream is complete."""
    expected = b"".join(_event_data(word) for word in words.split() if word != NONE)
    answer = context.answer
    assert (answer.status, answer.body, answer.whole) == (200, expected, end == "the end"), answer


@given("callers may resume streams")
def resumable(context: Any) -> None:
    """Apply a routing document whose streams callers may resume."""
    routes = [each | {"streamResume": True} for each in document()["routes"]]
    world_of(context).use(document(routes=routes))


@when('stream "{request_id}" is asked by a caller that has received event {number:d}')
def ask_after(context: Any, request_id: str, number: int) -> None:
    """Request the rest of a stream."""
    context.answer = world_of(context).ask("/stream/a", request_id, Last_Event_Id=str(number))


@then("the upstream was told of event {number:d}")
def was_told(context: Any, number: int) -> None:
    """Check the header of the only run."""
    (seen,) = [each for engine in world_of(context).engines for each in engine.seen]
    assert seen.headers["last-event-id"] == str(number), seen.headers


@given("its next runs send events up to 4, 6 and 9, and before them {again}")
def next_runs(context: Any, again: str) -> None:
    """Script the runs that resume after events 2, 4 and 6; the last one ends the stream."""
    context.later = []
    for after, until in ((2, 4), (4, 6), (6, 9)):
        before = BEFORE_RESUMED[again](after)
        words = [*before, *map(str, range(after + 1, until + 1))]
        script = _raw_script(" ".join([*words, END] if until == 9 else words))
        if until != 9:
            script.raw_gate_before = len(words) - 1
        context.later.append(script)
    script_upstreams(world_of(context), "s1", list(context.later))


def _wait_for_events(context: Any, events: int) -> None:
    """Wait until some events have come, or the stream has ended."""
    all_runs = world_of(context).state.runs
    wait_for(
        "the events",
        lambda: context.asked.ready() or any(run.events >= events for run in all_runs.all),
    )


@when("each of its runs but the last is copied, and then breaks off")
def copy_and_break(context: Any) -> None:
    """Copy each run to another engine before its last event."""
    world = world_of(context)
    context.script.break_after = 2
    for script, events in zip((context.script, *context.later[:2]), (2, 3, 5), strict=True):
        _wait_for_events(context, events)
        for run in world.state.runs.all:
            # Fake engines name their copies of a run alike, so that each one may copy it only once.
            run_at = {each.upstream_id for each in runs(world, "s1")}
            avoid = frozenset(run_at if len(run_at) < len(world.engines) else ())
            target = world.mover.choose_target(run, avoid, max_memory_share=1.0)
            assert target is not None
            world.mover.copy(run, target)
        script.gate.set()
    context.answer = context.asked.get(timeout=5.0)


@then('"{request_id}" has resumed {count:d} times, after events 2, 4 and 6')
def resumed_after(context: Any, request_id: str, count: int) -> None:
    """Check the resume headers."""
    seen = [each for engine in world_of(context).engines for each in engine.seen]
    told = [each.headers.get("last-event-id", "") for each in seen if each.request_id == request_id]
    assert sorted(told) == ["", "2", "4", "6"] and count == 3, told


@given(
    'the engine of "{request_id}" falls silent after event 3 with a backup, and answers no probes'
)
def falls_silent(context: Any, request_id: str) -> None:
    """Pause the stream after event 3 for longer than it waits at a silent engine."""
    for name, value in (("SILENCE_TIMEOUT_S", 0.5), ("PROBE_AFTER_S", 0.4)):
        context.add_cleanup(setattr, silence, name, getattr(silence, name))
        setattr(silence, name, value)
    context.script = Script(pause_after=3, event_pause_s=0.26)
    script_upstreams(world_of(context), request_id, [context.script])
    for engine in world_of(context).engines:
        engine.answers_probes = False


@when('stream "{request_id}" is asked, and the silent engine goes on after the resume')
def goes_on_after(context: Any, request_id: str) -> None:
    """Let the first engine send the rest once the second one has the request."""
    world = world_of(context)
    asked = world.ask_later("/stream/a", request_id)
    wait_for("it has resumed", lambda: len(runs(world, request_id)) == 2)
    context.script.gate.set()
    context.answer = asked.get(timeout=5.0)
    assert context.script.ended.wait(5.0)
