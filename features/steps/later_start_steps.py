"""Test that a later start of an upstream counts as a different upstream."""

from __future__ import annotations

from dataclasses import replace
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import seed, settings
from hypothesis import strategies as st

from driftstall.decisions.sends import BACKUP_READY_AFTER_S
from driftstall.decisions.store_versions import StoreVersion
from driftstall.decisions.upstream_probes import ReportedState
from driftstall.gateway.fleet import FleetController
from driftstall.gateway.fleet_events import (
    UpstreamChanged,
    UpstreamReplaced,
    UpstreamsListed,
    UpstreamsListedByPeer,
    UpstreamSuspected,
)
from driftstall.gateway.loads import Use
from driftstall.gateway.model import Upstream
from driftstall.gateway.outcomes import Outcome
from driftstall.platform import engine_calls
from driftstall.platform.documents import removed_upstream
from features.worlds.gateway_world import (
    GatewayWorld,
    runs,
    script_upstreams,
    wait_for,
    world_of,
)
from features.worlds.upstream_samples import upstream_of
from stand_ins.routed import RoutedUpstream, Script

ORDERS = 800
DRAIN_S = 2.0
FIRST_START, LATER_START = 1000, 2000
NAME = "u1"


class StartsWorld:
    """The platform's entry of one upstream over time, and a fleet that receives updates of it.

    A start writes its entry; heartbeats rewrite it, also late ones of the previous start.
    """

    def __init__(self) -> None:
        """Begin with the first start, which is listed."""
        self._writes: list[Upstream] = [replace(upstream_of(NAME, 1), born=1)]
        self._born = 1
        self._latest_born = 1
        self.fleet = FleetController()
        self.fleet.handle(UpstreamsListed((self._writes[-1],), StoreVersion(1)), 0.0)

    def start(self) -> None:
        """Start the upstream again and write its entry."""
        self._born += 1
        self._write(self._born)

    def heartbeat(self, late: bool) -> None:
        """Write a heartbeat of the newest start, or a late one of the previous start."""
        self._write(max(1, self._born - late))

    def _write(self, born: int) -> None:
        entry = replace(upstream_of(NAME, len(self._writes) + 1), born=born)
        self._writes.append(entry)

    def watch(self) -> None:
        """Apply the newest entry as a change."""
        self._apply(UpstreamChanged(self._writes[-1], False), self._writes[-1])

    def list(self) -> None:
        """Apply a list with the newest entry."""
        newest = self._writes[-1]
        self._apply(UpstreamsListed((newest,), newest.revision), newest)

    def peer_change(self, back: int, removed: bool) -> None:
        """Apply a peer's change of an older entry, or of its removal if the start is outdated."""
        entry = self._writes[max(0, len(self._writes) - 1 - back)]
        if removed and entry.born >= self._latest_born:
            return
        self._apply(UpstreamChanged(entry, removed, from_peer=True), entry)

    def peer_list(self, back: int) -> None:
        """Apply a peer's list with an older entry."""
        entry = self._writes[max(0, len(self._writes) - 1 - back)]
        self._apply(UpstreamsListedByPeer((entry,), entry.revision), entry)

    def suspect(self, back: int) -> None:
        """Apply a peer's suspicion of an older start."""
        entry = self._writes[max(0, len(self._writes) - 1 - back)]
        if entry.born < self._latest_born:
            self._apply(UpstreamSuspected(entry.upstream_id), None)

    def _apply(self, event: Any, entry: Upstream | None) -> None:
        if entry is not None:
            self._latest_born = max(self._latest_born, entry.born)
        self.fleet.handle(event, 0.0)

    def check(self) -> None:
        """Check that only the latest applied start is known and that it accepts requests."""
        known = [upstream.born for upstream in self.fleet.upstreams]
        assert known == [self._latest_born], (known, self._latest_born)
        assert self.fleet.accepts_requests(f"{NAME}@{self._latest_born}")


def play_orders(number: int) -> None:
    """Generate orders of updates and check them; a seed always generates the same."""
    back = st.integers(0, 5)
    steps = st.one_of(
        st.tuples(st.just("start")),
        st.tuples(st.just("heartbeat"), st.booleans()),
        st.tuples(st.just("watch")),
        st.tuples(st.just("list")),
        st.tuples(st.just("peer_change"), back, st.booleans()),
        st.tuples(st.just("peer_list"), back),
        st.tuples(st.just("suspect"), back),
    )

    @seed(number)
    @settings(max_examples=ORDERS, deadline=None, database=None)
    @for_all(st.lists(steps, max_size=12))
    def check(order: list[tuple[Any, ...]]) -> None:
        world = StartsWorld()
        for name, *values in order:
            getattr(world, name)(*values)
            world.check()

    check()


@then("no drawn order of true words about starts lets an older start return, from seed {number:d}")
def drawn_starts(context: Any, number: int) -> None:
    """Check the generated orders."""
    play_orders(number)


@then(
    "with starts that are not compared some drawn order lets an older start return,"
    " from seed {number:d}"
)
def mutant(context: Any, number: int) -> None:
    """Disable the comparison of starts, and check that some of the same orders fails."""
    with patch.object(FleetController, "_latest_start", lambda self, name: 0):
        try:
            play_orders(number)
        except AssertionError:
            return
    raise AssertionError("the generated orders do not detect the missing comparison")


@given('a fleet that knows of the start at 1000 of "u1", whose entry then lapses')
def lapsed(context: Any) -> None:
    """List it, then remove it; the removal contains only the name."""
    context.fleet = FleetController()
    first = replace(upstream_of(NAME, 1), born=FIRST_START)
    context.fleet.handle(UpstreamsListed((first,), StoreVersion(1)), 0.0)
    context.fleet.handle(UpstreamChanged(removed_upstream(NAME, StoreVersion(2)), True), 1.0)
    assert context.fleet.can_still_serve(first.upstream_id, 1.5, DRAIN_S)


@when('"u1" is listed with the start at 2000')
def listed_later(context: Any) -> None:
    """List the later start and keep the resulting actions."""
    later = replace(upstream_of(NAME, 3), born=LATER_START)
    context.actions = context.fleet.handle(UpstreamsListed((later,), StoreVersion(3)), 1.5)


@then("the start at 1000 is replaced, and may be sent nothing even within the time to drain")
def replaced(context: Any) -> None:
    """Check the fleet's state and the resulting actions."""
    old_id = f"{NAME}@{FIRST_START}"
    assert context.fleet.is_replaced(old_id)
    assert not context.fleet.can_still_serve(old_id, 1.6, DRAIN_S)
    replaced_ids = [
        action.upstream.upstream_id
        for action in context.actions
        if isinstance(action, UpstreamReplaced)
    ]
    assert replaced_ids == [old_id], context.actions
    assert context.fleet.accepts_requests(f"{NAME}@{LATER_START}")


# One gateway inside the test process.


def relist(context: Any, born: dict[str, int]) -> None:
    """List all upstreams with their start times, and execute the resulting actions."""
    world = world_of(context)
    entries = tuple(
        replace(world.entry(upstream), born=born.get(upstream.upstream_id, FIRST_START))
        for upstream in (*world.plain, *world.engines)
    )
    event = UpstreamsListed(entries, StoreVersion(world.revision))
    for action in world.state.fleet.handle(event, world.state.now()):
        if isinstance(action, UpstreamReplaced):
            world.state.exchanges.close_all(action.upstream.upstream_id)


@given("a gateway with an engine that was started at 1000, and a stream of 8 events there")
def stream_at_start(context: Any) -> None:
    """List all upstreams with their start times, and start a stream that pauses after 3 events."""
    world = context.world = GatewayWorld()
    context.add_cleanup(world.close)
    relist(context, {})
    (context.script,) = script_upstreams(
        world, "s1", [Script(events=8, pause_after=3, event_pause_s=0.1)]
    )
    context.asked = world.ask_later("/stream/a", "s1", Length_Hint="1500")
    wait_for("three events", lambda: any(run.events >= 3 for run in world.state.runs.all))
    (context.run,) = world.state.runs.all
    (context.engine,) = runs(world, "s1")


@given("the copy of the stream is kept up at another engine")
def copy_kept_up(context: Any) -> None:
    """Let the backup become ready, which takes some time and one more event."""
    assert context.run.backup is not None
    context.holder = holder_of(context, context.run.backup)
    script_upstreams(world_of(context), "s1", [Script(events=8)])
    world_of(context).pass_time(BACKUP_READY_AFTER_S)
    context.script.gate.set()
    wait_for("one more event", lambda: context.run.events >= 4)


def holder_of(context: Any, upstream: Upstream) -> RoutedUpstream:
    """Return the stand-in of an upstream."""
    (found,) = [each for each in world_of(context).engines if each.upstream_id == upstream.name]
    return found


@given("a copy of the stream that its engine has named")
def copy_named(context: Any) -> None:
    """Copy the run once, without a backup."""
    world = world_of(context)
    context.run.backup = None
    target = world.mover.choose_target(context.run, frozenset(), max_memory_share=1.0)
    assert target is not None
    world.mover.copy(context.run, target)
    assert context.run.replica is not None
    context.holder = holder_of(context, target)


@when("the engine is known to have started again at 2000")
def started_again(context: Any) -> None:
    """Record outcomes and loads of the old start, then list the later start."""
    world = world_of(context)
    old_id = f"{context.engine.upstream_id}@{FIRST_START}"
    world.state.record_outcome(old_id, "engines", Outcome.UNREACHABLE, 0.0)
    world.state.loads.record_peer("peer", (Use(old_id, running=3, tokens=9000),), world.state.now())
    relist(context, {context.engine.upstream_id: LATER_START})
    context.script.gate.set()


@then("nothing runs on the later start, it does not rest, and sums of the older one do not count")
def nothing_known(context: Any) -> None:
    """Check the later start's load, ejection and penalty."""
    world = world_of(context)
    later_id = f"{context.engine.upstream_id}@{LATER_START}"
    (option,) = [
        each for each in world.state.options("engines") if each.upstream.upstream_id == later_id
    ]
    assert option.use == Use(later_id), option
    assert not option.is_ejected and option.penalty == 0.0, option
    assert not world.state.fleet.accepts_requests(f"{context.engine.upstream_id}@{FIRST_START}")


@then("the caller gets all 8 events from two engines, and the later start got nothing")
def got_all(context: Any) -> None:
    """Check the complete stream and the engines that ran it."""
    answer = context.asked.get(timeout=5.0)
    assert answer.whole and answer.body.count(b"piece") == 8, answer
    assert len(context.engine.seen) == 1
    assert [request.is_resumed for request in context.holder.seen] == [True]


@when("the engine of the copy is known to have started again, and that of the stream breaks off")
def copy_died(context: Any) -> None:
    """List the later start of the replica's engine, then break the stream off."""
    relist(context, {context.holder.upstream_id: LATER_START})
    context.script.break_after = 6
    context.script.gate.set()


@then("the stream is broken off, and nothing was sent to the engine of the copy")
def broken_off(context: Any) -> None:
    """Check the broken stream and that the replica's engine received nothing."""
    answer = context.asked.get(timeout=5.0)
    assert not answer.whole and answer.body.count(b"piece") < 8, answer
    assert context.holder.seen == []


@given("a gateway whose plain upstream that gets a call is silent")
def silent_upstream(context: Any) -> None:
    """Send a call that may run only once, and wait until it runs."""
    world = context.world = GatewayWorld()
    context.add_cleanup(world.close)
    relist(context, {})
    script_upstreams(world, "c1", [Script(hang=True)])
    context.asked = world.ask_later("/once/a", "c1")
    wait_for("it runs", lambda: bool(runs(world, "c1")))
    (context.engine,) = runs(world, "c1")


@when("that upstream is known to have started again")
def plain_started_again(context: Any) -> None:
    """List the upstream's later start."""
    relist(context, {context.engine.upstream_id: LATER_START})


@then("the call is answered 502 at once, and no other upstream has run it")
def not_repeated(context: Any) -> None:
    """Check the response and the number of upstreams that ran the call."""
    answer = context.asked.get(timeout=1.0)
    assert answer.status == 502, answer
    assert len(runs(world_of(context), "c1")) == 1


@given("an engine that was started at 1000 and reports that it was started at 2000")
def reports_later(context: Any) -> None:
    """Script the engine's report of its start time."""
    engine = RoutedUpstream("e1")
    context.add_cleanup(engine.stop)
    engine.report = {"state": "ready", "born": LATER_START}
    entry = replace(upstream_of("e1"), address=engine.address)
    context.asked_of = replace(entry, born=FIRST_START)
    context.same = replace(entry, born=LATER_START)


@then("its word is that the start that was asked for is gone")
def probed_start_terminated(context: Any) -> None:
    """Probe the engine as each of both starts."""
    assert engine_calls.probe_state(context.asked_of) is ReportedState.TERMINATED
    assert engine_calls.probe_state(context.same) is ReportedState.SERVING
