"""Test the validation of upstreams' responses."""

from __future__ import annotations

from typing import Any, Final

from behave import given, then, when
from eliot import add_destinations, remove_destination
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from driftstall.gateway.events import (
    Event,
    EventContinuity,
    EventSequence,
    EventSplitter,
)
from features.worlds.gateway_world import runs, script_upstreams, wait_for, world_of
from stand_ins.routed import SEAL, Script

EVENT_END: Final = b"\n\n"
SPOILED = {
    "with an empty signature": ((SEAL[0], b" "),),
    "with a content coding": (SEAL, (b"Content-Encoding", b"gzip")),
    "with the identity content coding": (SEAL, (b"Content-Encoding", b"identity")),
    "with its signature named hop-by-hop": (SEAL, (b"Connection", b"close, " + SEAL[0])),
}
SIGNALS = ((b"Retry-After", b"5"), (b"Server-Limit", b"1"), (b"Server-Leaving", b"1"))


def _spoil(context: Any, request_id: str, script: Script) -> None:
    """Script the first run of a request, and record runs that count as crash evidence."""
    world = world_of(context)
    script_upstreams(world, request_id, [script])
    context.broken = []
    world.state.on_run_broken = lambda _, run: context.broken.append(run)
    world.state.on_upstream_suspected = context.broken.append


@given('the first upstream of "{request_id}" will answer {status:d} unsigned')
@given('the engine of "{request_id}" will answer {status:d} unsigned')
def unsigned(context: Any, request_id: str, status: int) -> None:
    """Script a response with the request's id, another body and no signature."""
    body = b"" if status == 204 else b"<html>starting</html>"
    _spoil(context, request_id, Script(status=status, body=body, spoiled=()))


@given('the first upstream of "{request_id}" will answer {status:d} without a statement')
def signed_failure(context: Any, request_id: str, status: int) -> None:
    """Script a signed response without the statement that the request was not executed."""
    _spoil(context, request_id, Script(status=status))


for description, headers in SPOILED.items():

    @given(f'the first upstream of "{{request_id}}" will answer {description}')
    def spoiled(context: Any, request_id: str, headers: Any = headers) -> None:
        """Script a response with other headers in the place of the signature."""
        _spoil(context, request_id, Script(spoiled=headers))


@given(
    'the first upstream of "{request_id}" will answer 503 unsigned,'
    " with a back-off, a limit and a leaving signal"
)
def unsigned_signals(context: Any, request_id: str) -> None:
    """Script an unsigned response that carries signals."""
    _spoil(context, request_id, Script(status=503, spoiled=SIGNALS))


@given('stream "{request_id}" breaks off after {events:d} events, and its replica answers unsigned')
def unsigned_replica(context: Any, request_id: str, events: int) -> None:
    """Script a stream with events for long enough that its replica is used."""
    first = Script(break_after=events, event_pause_s=0.35)
    script_upstreams(world_of(context), request_id, [first, Script(spoiled=())])


@given("log lines are recorded")
def record_log(context: Any) -> None:
    """Record the log lines."""
    context.logged = []
    add_destinations(context.logged.append)
    context.add_cleanup(remove_destination, context.logged.append)


@then("the stream has {events:d} events and does not look complete")
def broken_off(context: Any, events: int) -> None:
    """Check that the stream ended early and visibly."""
    answer = context.answer
    assert answer.status == 200 and not answer.whole, answer
    assert answer.body.count(b"\n\n") == events, answer


@then("no upstream is in back-off, limited or leaving")
def no_signals(context: Any) -> None:
    """Check that no signal was applied."""
    state = world_of(context).state
    assert not state.backoff.active(state.now())
    assert not state.rate_limiting.limited
    assert not state.fleet.leaving_records(state.now())


@then('the unsigned response of "{request_id}" is logged and counted')
def logged_and_counted(context: Any, request_id: str) -> None:
    """Check the log line and the counter."""
    lines = [line for line in context.logged if "Invalid response" in line.get("message", "")]
    assert [(line["request"], line["status"]) for line in lines] == [(request_id, 200)], lines
    assert world_of(context).state.stats.invalid_responses == 1


@then('no upstream is ejected, suspected or held against "{request_id}"')
def not_ejected(context: Any, request_id: str) -> None:
    """Check that the upstream is not avoided, and that no crash evidence was recorded."""
    state = world_of(context).state
    (upstream,) = runs(world_of(context), request_id)
    assert not state.outcomes.is_ejected(upstream.upstream_id, state.now())
    assert not context.broken, context.broken


@given('the engine of "{request_id}" will send an event of {megabytes:d} MB')
def large_event(context: Any, request_id: str, megabytes: int) -> None:
    """Script a stream with one large event."""
    context.script = Script(events=1, filler=b"x" * (megabytes * 1_000_000))
    _spoil(context, request_id, context.script)


@then('the engine of "{request_id}" could not send all of it')
def not_all_sent(context: Any, request_id: str) -> None:
    """Check that the connection was closed before the end of the event."""
    (engine,) = runs(world_of(context), request_id)
    wait_for("the engine has finished", context.script.ended.is_set)
    assert engine.running[request_id] == 0


@when("streams of drawn bytes arrive in drawn pieces")
def draw_pieces(context: Any) -> None:
    """Split streams of event ends and other bytes, in pieces of any size."""
    context.pairs = []
    pieces = st.lists(st.text("\na", max_size=6).map(str.encode), max_size=12)

    @settings(max_examples=300, deadline=None, database=None, derandomize=True)
    @drawn(pieces)
    def split(pieces: list[bytes]) -> None:
        splitter = EventSplitter()
        events = [event.data for piece in pieces for event in splitter.feed(piece)]
        context.pairs.append((b"".join(pieces), events, splitter.is_inside_event))

    split()


@then("the events are those of the whole streams")
def same_events(context: Any) -> None:
    """Compare the events with those of the undivided bytes."""
    for whole, events, is_inside_event in context.pairs:
        *complete, remaining = whole.split(EVENT_END)
        assert events == [part + EVENT_END for part in complete], whole
        assert is_inside_event == bool(remaining), whole


@when("an event with the id {event_id} arrives")
def event_arrives(context: Any, event_id: str) -> None:
    """Check the continuity of an event."""
    figure, _, times = event_id.partition(" repeated ")
    event = Event(b"", figure * int(times.split()[0] if times else 1))
    context.continuity = EventSequence().check(event)


@then("it is relayed as the next one")
def relayed_next(context: Any) -> None:
    """Check that the event counts as the next one."""
    assert context.continuity is EventContinuity.NEXT
