"""Check that a later start of an upstream is taken for another upstream."""

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
    Changed,
    Listed,
    ListedByPeer,
    UpstreamReplaced,
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
    """Hold what the platform's entry of one upstream says, and a fleet that is told of it.

    A start writes its entry; heartbeats write it anew, late ones of the start before as well.
    """

    def __init__(self) -> None:
        """Begin with the first start, which the fleet knows."""
        self._writes: list[Upstream] = [replace(upstream_of(NAME, 1), born=1)]
        self._born = 1
        self._told_born = 1
        self.fleet = FleetController()
        self.fleet.handle(Listed((self._writes[-1],), StoreVersion(1)), 0.0)

    def start(self) -> None:
        """Start again."""
        self._born += 1
        self._write(self._born)

    def beat(self, late: bool) -> None:
        """Write a heartbeat of the newest start, or a late one of the start before."""
        self._write(max(1, self._born - late))

    def _write(self, born: int) -> None:
        entry = replace(upstream_of(NAME, len(self._writes) + 1), born=born)
        self._writes.append(entry)

    def watch(self) -> None:
        """Tell the newest entry."""
        self._tell(Changed(self._writes[-1], False), self._writes[-1])

    def list(self) -> None:
        """List the newest entry."""
        newest = self._writes[-1]
        self._tell(Listed((newest,), newest.revision), newest)

    def news(self, back: int, gone: bool) -> None:
        """Let a peer tell of an older entry, perhaps of its end as it took it."""
        entry = self._writes[max(0, len(self._writes) - 1 - back)]
        if gone and entry.born >= self._told_born:
            return
        self._tell(Changed(entry, gone, from_peer=True), entry)

    def offer(self, back: int) -> None:
        """Let a peer offer its list of then."""
        entry = self._writes[max(0, len(self._writes) - 1 - back)]
        self._tell(ListedByPeer((entry,), entry.revision), entry)

    def doubt(self, back: int) -> None:
        """Let a peer doubt an older start."""
        entry = self._writes[max(0, len(self._writes) - 1 - back)]
        if entry.born < self._told_born:
            self._tell(UpstreamSuspected(entry.upstream_id), None)

    def _tell(self, event: Any, entry: Upstream | None) -> None:
        if entry is not None:
            self._told_born = max(self._told_born, entry.born)
        self.fleet.handle(event, 0.0)

    def check(self) -> None:
        """Only the latest start that was told of is known, and it takes requests."""
        known = [one.born for one in self.fleet.upstreams]
        assert known == [self._told_born], (known, self._told_born)
        assert self.fleet.accepts_requests(f"{NAME}@{self._told_born}")


def play_orders(number: int) -> None:
    """Draw orders; the same seed draws the same."""
    back = st.integers(0, 5)
    steps = st.one_of(
        st.tuples(st.just("start")),
        st.tuples(st.just("beat"), st.booleans()),
        st.tuples(st.just("watch")),
        st.tuples(st.just("list")),
        st.tuples(st.just("news"), back, st.booleans()),
        st.tuples(st.just("offer"), back),
        st.tuples(st.just("doubt"), back),
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
    """Draw them."""
    play_orders(number)


@then(
    "with starts that are not compared some drawn order lets an older start return,"
    " from seed {number:d}"
)
def mutant(context: Any, number: int) -> None:
    """Let the fleet know of no later start, and draw the same orders."""
    with patch.object(FleetController, "_latest_start", lambda self, name: 0):
        try:
            play_orders(number)
        except AssertionError:
            return
    raise AssertionError("the drawn orders do not tell the difference")


@given('a fleet that knows of the start at 1000 of "u1", whose entry then lapses')
def lapsed(context: Any) -> None:
    """List it, then remove it; the removal tells only the name."""
    context.fleet = FleetController()
    first = replace(upstream_of(NAME, 1), born=FIRST_START)
    context.fleet.handle(Listed((first,), StoreVersion(1)), 0.0)
    context.fleet.handle(Changed(removed_upstream(NAME, StoreVersion(2)), True), 1.0)
    assert context.fleet.can_still_serve(first.upstream_id, 1.5, DRAIN_S)


@when('"u1" is listed with the start at 2000')
def listed_later(context: Any) -> None:
    """List it."""
    later = replace(upstream_of(NAME, 3), born=LATER_START)
    context.told = context.fleet.handle(Listed((later,), StoreVersion(3)), 1.5)


@then("the start at 1000 is replaced, and may be sent nothing even within the time to drain")
def replaced(context: Any) -> None:
    """Ask, and look at what follows."""
    old_id = f"{NAME}@{FIRST_START}"
    assert context.fleet.is_replaced(old_id)
    assert not context.fleet.can_still_serve(old_id, 1.6, DRAIN_S)
    told = [one.upstream.upstream_id for one in context.told if isinstance(one, UpstreamReplaced)]
    assert told == [old_id], context.told
    assert context.fleet.accepts_requests(f"{NAME}@{LATER_START}")


# One gateway inside the test process.


def relist(context: Any, born: dict[str, int]) -> None:
    """List all upstreams, some with the time of their start, and do what follows."""
    world = world_of(context)
    entries = tuple(
        replace(world.entry(one), born=born.get(one.upstream_id, FIRST_START))
        for one in (*world.plain, *world.engines)
    )
    event = Listed(entries, StoreVersion(world.revision))
    for action in world.state.fleet.handle(event, world.state.now()):
        if isinstance(action, UpstreamReplaced):
            world.state.exchanges.close_all(action.upstream.upstream_id)


@given("a gateway with an engine that was started at 1000, and a stream of 8 events there")
def stream_at_start(context: Any) -> None:
    """Let all have told their start, and begin a stream that pauses after three events."""
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
    """Let the copy count, which takes a further event after a while."""
    assert context.run.backup is not None
    context.holder = holder_of(context, context.run.backup)
    script_upstreams(world_of(context), "s1", [Script(events=8)])
    world_of(context).pass_time(BACKUP_READY_AFTER_S)
    context.script.gate.set()
    wait_for("one more event", lambda: context.run.events >= 4)


def holder_of(context: Any, upstream: Upstream) -> RoutedUpstream:
    """Return the stand-in of an upstream."""
    (found,) = [one for one in world_of(context).engines if one.upstream_id == upstream.name]
    return found


@given("a copy of the stream that its engine has named")
def copy_named(context: Any) -> None:
    """Have one made, and none kept up."""
    world = world_of(context)
    context.run.backup = None
    target = world.mover.choose_target(context.run, frozenset(), max_memory_share=1.0)
    assert target is not None
    world.mover.copy(context.run, target)
    assert context.run.replica is not None
    context.holder = holder_of(context, target)


@when("the engine is known to have started again at 2000")
def started_again(context: Any) -> None:
    """List it anew."""
    world = world_of(context)
    old_id = f"{context.engine.upstream_id}@{FIRST_START}"
    world.state.record_outcome(old_id, "engines", Outcome.UNREACHABLE, 0.0)
    world.state.loads.record_peer("peer", (Use(old_id, running=3, tokens=9000),), world.state.now())
    relist(context, {context.engine.upstream_id: LATER_START})
    context.script.gate.set()


@then("nothing runs on the later start, it does not rest, and sums of the older one do not count")
def nothing_known(context: Any) -> None:
    """Look at its option."""
    world = world_of(context)
    later_id = f"{context.engine.upstream_id}@{LATER_START}"
    (option,) = [
        one for one in world.state.options("engines") if one.upstream.upstream_id == later_id
    ]
    assert option.use == Use(later_id), option
    assert not option.is_ejected and option.penalty == 0.0, option
    assert not world.state.fleet.accepts_requests(f"{context.engine.upstream_id}@{FIRST_START}")


@then("the caller gets all 8 events from two engines, and the later start got nothing")
def got_all(context: Any) -> None:
    """Look at the answer and where it ran."""
    answer = context.asked.get(timeout=5.0)
    assert answer.whole and answer.body.count(b"piece") == 8, answer
    assert len(context.engine.seen) == 1
    assert [one.is_resumed for one in context.holder.seen] == [True]


@when("the engine of the copy is known to have started again, and that of the stream breaks off")
def copy_died(context: Any) -> None:
    """List it anew, then break the stream off."""
    relist(context, {context.holder.upstream_id: LATER_START})
    context.script.break_after = 6
    context.script.gate.set()


@then("the stream is broken off, and nothing was sent to the engine of the copy")
def broken_off(context: Any) -> None:
    """Look at the answer and at what was seen there."""
    answer = context.asked.get(timeout=5.0)
    assert not answer.whole and answer.body.count(b"piece") < 8, answer
    assert context.holder.seen == []


@given("a gateway whose plain upstream that gets a call is silent")
def silent_upstream(context: Any) -> None:
    """Ask one call that may run only once, and wait until it runs."""
    world = context.world = GatewayWorld()
    context.add_cleanup(world.close)
    relist(context, {})
    script_upstreams(world, "c1", [Script(hang=True)])
    context.asked = world.ask_later("/once/a", "c1")
    wait_for("it runs", lambda: bool(runs(world, "c1")))
    (context.engine,) = runs(world, "c1")


@when("that upstream is known to have started again")
def plain_started_again(context: Any) -> None:
    """List it anew."""
    relist(context, {context.engine.upstream_id: LATER_START})


@then("the call is answered 502 at once, and no other upstream has run it")
def not_repeated(context: Any) -> None:
    """Look at the answer and where it ran."""
    answer = context.asked.get(timeout=1.0)
    assert answer.status == 502, answer
    assert len(runs(world_of(context), "c1")) == 1


@given("an engine that was started at 1000 and reports that it was started at 2000")
def reports_later(context: Any) -> None:
    """Script its report."""
    engine = RoutedUpstream("e1")
    context.add_cleanup(engine.stop)
    engine.report = {"state": "ready", "born": LATER_START}
    entry = replace(upstream_of("e1"), address=engine.address)
    context.asked_of = replace(entry, born=FIRST_START)
    context.same = replace(entry, born=LATER_START)


@then("its word is that the start that was asked for is gone")
def word_gone(context: Any) -> None:
    """Ask of both starts."""
    assert engine_calls.probe_state(context.asked_of) is ReportedState.TERMINATED
    assert engine_calls.probe_state(context.same) is ReportedState.SERVING
