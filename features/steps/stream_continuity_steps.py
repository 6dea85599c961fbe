"""Test streams whose resumed runs do not continue them."""

from __future__ import annotations

import pickle
from typing import Any, Final

import gevent
from behave import given, then, when
from hypothesis import given as given_drawn
from hypothesis import settings
from hypothesis import strategies as st

from driftstall.decisions.sends import BACKUP_READY_AFTER_S
from driftstall.gateway.events import Event, EventContinuity, EventSequence
from driftstall.gateway.ingress import LAST_CHUNK, encode_chunk
from features.steps.gateway_stream_steps import await_copy
from features.worlds.gateway_world import document, script_upstreams, wait_for, world_of
from stand_ins.routed import Script, event_bytes

END: Final = "end"
NONE: Final = "none"


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
