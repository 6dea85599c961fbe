"""Test that back-offs requested by upstreams are respected."""

from __future__ import annotations

import itertools
import time
from typing import Any

from behave import given, then, when
from eliot import add_destinations, remove_destination

from driftstall.core import Instance
from driftstall.decisions.sends import BACKUP_READY_AFTER_S
from driftstall.decisions.upstream_backoff import StaggeredRetries, UpstreamBackoff
from driftstall.decisions.upstream_signals import BackoffSignal
from driftstall.gateway.dialect import MoveFailed
from driftstall.gateway.model import Upstream
from driftstall.gateway.runs import Replica, ReplicaRef
from driftstall.gateway.upstream_prober import UpstreamProber
from driftstall.peers.gateway_messages import PlacementAsked
from features.worlds.gateway_world import runs, script_upstreams, wait_for, world_of
from stand_ins.routed import Script


@given('"{name}" requests a back-off of {for_s:g} s at {at:g} s')
@when('"{name}" requests a back-off of {for_s:g} s at {at:g} s')
def requests_backoff(context: Any, name: str, for_s: float, at: float) -> None:
    """Record a requested back-off."""
    if not hasattr(context, "backoff"):
        context.backoff = UpstreamBackoff()
    context.backoff.request(name, for_s, at)


@then('"{name}" wants no requests for {for_s:g} s at {at:g} s')
def wants_none(context: Any, name: str, for_s: float, at: float) -> None:
    """Check the remaining time of the back-off."""
    assert abs(context.backoff.remaining_s(name, at) - for_s) < 1e-6
    assert (name in context.backoff.active(at)) == (for_s > 0)


@when(
    "{count:d} callers of a service that serves {per_s:g} calls a second are refused {first_s:g} s"
    " before it takes calls"
)
def callers_refused(context: Any, count: int, per_s: float, first_s: float) -> None:
    """Schedule a retry for each caller, all at the same moment."""
    retries = context.retries = StaggeredRetries()
    context.per_s, context.first_s = per_s, first_s
    context.times = [retries.next_s("portal", first_s, per_s, 10.0) for _ in range(count)]


@then("each returns {gap_s:g} s after the one before, the first of them in {first_s:g} s")
def evenly(context: Any, gap_s: float, first_s: float) -> None:
    """Check the gaps between the retries."""
    gaps = [later - earlier for earlier, later in itertools.pairwise(context.times)]
    assert context.times[0] == first_s
    assert all(abs(gap - gap_s) < 1e-6 for gap in gaps), context.times


@then("{count:d} further callers return within {most_s:g} s of the first")
def bounded(context: Any, count: int, most_s: float) -> None:
    """Check that the retries of many callers are spread over a bounded time."""
    first_s, retries = context.first_s, context.retries
    times = [retries.next_s("portal", first_s, context.per_s, 10.0) for _ in range(count)]
    assert first_s <= min(times) and max(times) <= first_s + most_s + 1e-6, times


@when('all upstreams reject once with "Retry-After: {value}"')
def reject_with(context: Any, value: str) -> None:
    """Let all upstreams reject a call with that header value."""
    world = world_of(context)
    context.logged = []
    add_destinations(context.logged.append)
    context.add_cleanup(remove_destination, context.logged.append)
    for upstream in world.plain:
        upstream.backoff, upstream.rejected_share = value, 1.0
    context.answer = world.ask("/once/a", "r1")


@then('the log names the value "{value}", and no upstream backs off')
def value_logged(context: Any, value: str) -> None:
    """Check the log lines, the counter, and that no back-off is active."""
    state = world_of(context).state
    lines = [line for line in context.logged if line.get("header") == "retry-after"]
    assert lines and {line["value"] for line in lines} == {value}, context.logged
    assert state.stats.unreadable_signals == len(lines)
    assert not state.backoff.active(state.now())
    assert context.answer.status == 503, context.answer


def back_off(context: Any, upstream: Upstream, for_s: float) -> None:
    """Apply a response of an upstream that requests a back-off."""
    state = world_of(context).state
    state.signals.handle_response(upstream, (BackoffSignal(for_s),), state.now())


def engine_entries(context: Any) -> list[Upstream]:
    """Return the engines' entries."""
    fleet = world_of(context).state.fleet
    return [upstream for upstream in fleet.upstreams if upstream.service == "engines"]


def start_stream(context: Any) -> None:
    """Start a stream that pauses after its fourth event."""
    world = world_of(context)
    context.script = script_upstreams(
        world, "s1", [Script(events=8, pause_after=4, break_after=4), Script(events=8)]
    )[0]
    context.asked = world.ask_later("/stream/a", "s1", Length_Hint="1500")
    wait_for("four events", lambda: any(run.events >= 4 for run in world.state.runs.all))
    (context.run,) = world.state.runs.all
    (context.engine,) = runs(world, "s1")
    context.others = [
        entry
        for entry in engine_entries(context)
        if entry.upstream_id != context.run.upstream.upstream_id
    ]


@when("a stream runs on an engine and all other engines but one back off")
def others_back_off(context: Any) -> None:
    """Start a stream without a backup, and let all but one of the other engines back off."""
    start_stream(context)
    context.run.backup = None
    context.free, *backing_off = context.others
    for upstream in backing_off:
        back_off(context, upstream, 30.0)


@then("copies and moves of the stream go to that one")
def go_there(context: Any) -> None:
    """Check the chosen target 20 times."""
    mover = world_of(context).mover
    for _ in range(20):
        target = mover.choose_target(context.run, frozenset(), max_memory_share=1.0)
        assert target == context.free, target


@when("the stream's engine backs off, too")
def source_backs_off(context: Any) -> None:
    """Let the stream's engine request a back-off."""
    back_off(context, context.run.upstream, 30.0)


@then("it is asked for no copy, no move and no state")
def nothing_asked(context: Any) -> None:
    """Try each operation, and check that no call is made to the engine."""
    world = world_of(context)
    calls: list[str] = []
    dialect = world.state.dialect
    for name in ("move", "probe_state", "drop_replica"):
        setattr(dialect, name, lambda *_, name=name, **__: calls.append(name))
    assert isinstance(world.mover.copy(context.run, context.free), MoveFailed)
    assert not world.mover.make_final_copy(context.run, context.free)
    context.run.pending_final_copy = None
    ref = ReplicaRef(context.free, "x/y", named_by=context.run.upstream.upstream_id)
    context.run.replica = Replica(ref, world.state.now(), 10)
    world.mover.drop_replica(context.run)
    prober = UpstreamProber(
        world.state,
        Instance("instance-1", "", "", "a"),
        probers=tuple,
        is_platform_silent=lambda: True,
        on_suspected=lambda _: None,
        publish=lambda _: None,
    )
    prober._probe(context.run.upstream)
    assert not calls, calls
    context.script.gate.set()


@when("a stream breaks off, and its newest copy is on an engine that backs off for {for_s:g} s")
def copy_backs_off(context: Any, for_s: float) -> None:
    """Give the stream a backup on one engine and a replica on a second, and break it off."""
    world = world_of(context)
    start_stream(context)
    first, second = context.others
    context.run.backup = first
    by_id = {engine.upstream_id: engine for engine in world.engines}
    by_id[second.upstream_id].copies["named"] = 4
    ref = ReplicaRef(second, f"{second.address}/named", named_by=context.run.upstream.upstream_id)
    context.run.replica = Replica(ref, world.state.now(), 10)
    world.pass_time(BACKUP_READY_AFTER_S)
    context.run.generating_s = 2 * BACKUP_READY_AFTER_S
    context.run.replica = Replica(ref, world.state.now(), 10)
    back_off(context, first, for_s)
    context.started_at, context.expected = time.monotonic(), by_id[second.upstream_id]
    context.for_s = for_s
    context.script.gate.set()


@then("it goes on at its other copy at once")
def goes_on_at_once(context: Any) -> None:
    """Check the engine on which the stream resumed, and the time to its end."""
    answer = context.asked.get(timeout=5.0)
    took_s = time.monotonic() - context.started_at
    assert (answer.status, answer.whole) == (200, True), answer
    assert context.expected.runs("s1") == 1, runs(world_of(context), "s1")
    assert took_s < context.for_s, took_s


@when("an engine backs off from this instance")
def one_backs_off(context: Any) -> None:
    """Let one engine request a back-off."""
    context.backing_off = engine_entries(context)[0]
    back_off(context, context.backing_off, 30.0)


@then("it is left out of choices of its own, and is in those for a peer")
def left_out(context: Any) -> None:
    """Compare the options of own requests with those for a peer's requests."""
    state = world_of(context).state
    own = {option.upstream for option in state.options("engines")}
    peers = {option.upstream for option in state.options("engines", respects_backoff=False)}
    assert peers - own == {context.backing_off}, (own, peers)


@then("a question to the placer names it as one to avoid")
def placer_informed(context: Any) -> None:
    """Request a stream, and check the placement request."""
    world = world_of(context)
    requests: list[PlacementAsked] = []

    def record_request(asked: PlacementAsked) -> None:
        requests.append(asked)

    world.state.request_placement = record_request
    assert world.ask("/stream/a", "s1").status == 200
    assert requests and context.backing_off.upstream_id in requests[0].avoid, requests
