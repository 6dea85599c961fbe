"""Test the validation of upstreams' responses."""

from __future__ import annotations

from typing import Any

from behave import given, then
from eliot import add_destinations, remove_destination

from features.worlds.gateway_world import runs, script_upstreams, world_of
from stand_ins.routed import SEAL, Script

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
