"""Test how the fleet reacts to states that engines report when probed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

import gevent
from behave import given, then, when

from driftstall.core import Instance
from driftstall.decisions.upstream_probes import PROBERS_PER_UPSTREAM, ReportedState, should_probe
from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.dialect import MoveFailed
from driftstall.gateway.fleet_events import (
    TimerFired,
    UpstreamChanged,
    UpstreamLeaving,
    UpstreamSuspected,
)
from driftstall.gateway.model import Upstream
from driftstall.gateway.poison.crash_detector import CrashDetector
from driftstall.gateway.store_reachability import FeedReachability, StoreReachability
from driftstall.gateway.upstream_prober import UpstreamProber
from driftstall.gateway.watch_delegation import (
    COLLECTOR_TIMEOUT_S,
    MAX_ANSWER_AGE_S,
    DelegatedWatchPacing,
    WatchDelegation,
)
from driftstall.platform.names import KIND_UPSTREAMS
from features.steps.gateway_fleet_steps import apply_event, takes_none, takes_some
from features.steps.gateway_node_steps import wait_for_processes
from features.worlds.gateway_world import GatewayWorld, wait_for, world_of
from features.worlds.upstream_samples import entry_spec, upstream_of
from stand_ins.routed import RoutedUpstream

SUSPECTED_AT = 1.0
ENDS_SOON = {"state": "draining", "leaves_ms": 1200}
DRAINS = {"state": "draining"}
OWN = Instance("instance-1", "127.0.0.1:1", "127.0.0.1:2", "a")


@when('"{name}" says itself that it leaves')
def says_itself(context: Any, name: str) -> None:
    """Apply the suspicion twice, as two instances probe each upstream."""
    for _ in range(2):
        apply_event(context, UpstreamSuspected(name), SUSPECTED_AT)


@when('the platform lists "{name}" as ready, with a newer revision')
def listed_as_ready(context: Any, name: str) -> None:
    """Apply a newer entry that does not include the notice."""
    apply_event(context, UpstreamChanged(upstream_of(name, 7), False), SUSPECTED_AT + 1.0)


@then('after {seconds:g} s of silence "{name}" takes requests again')
def takes_again(context: Any, seconds: float, name: str) -> None:
    """Check both sides of the end of the suspicion."""
    apply_event(context, TimerFired(), SUSPECTED_AT + seconds - 0.1)
    takes_none(context, name)
    apply_event(context, TimerFired(), SUSPECTED_AT + seconds)
    takes_some(context, name)


@then('after {seconds:g} s of silence "{name}" takes no requests')
def takes_none_again(context: Any, seconds: float, name: str) -> None:
    """Check that the upstream is still excluded after a suspicion's duration."""
    apply_event(context, TimerFired(), SUSPECTED_AT + seconds)
    takes_none(context, name)


def probers_for(context: Any, engine_id: str, zone: str) -> list[Instance]:
    """Return the instances that probe an engine, as each of them decides by itself."""
    return [
        instance
        for instance in context.fleet
        if should_probe(instance, reversed(context.fleet), engine_id, zone)
    ]


@then("each of 30 engines is asked by 2 instances of its zone, whoever is asked about it")
def asked_by_two(context: Any) -> None:
    """Check that exactly the required number of instances of its zone probe each engine."""
    for number in range(30):
        zone = "abc"[number % 3]
        found = probers_for(context, f"engine-{number}", zone)
        assert len(found) == PROBERS_PER_UPSTREAM and {instance.zone for instance in found} == {
            zone
        }, found


@then("each of 30 engines of a zone without instances is asked by 2 all the same")
def asked_from_afar(context: Any) -> None:
    """Check the engines of a zone without instances."""
    for number in range(30):
        assert len(probers_for(context, f"engine-{number}", "far")) == PROBERS_PER_UPSTREAM


@then("no instance asks more than 6 of 30 engines")
def none_asks_all(context: Any) -> None:
    """Check the number of engines that each instance probes."""
    for instance in context.fleet:
        probed = [
            n
            for n in range(30)
            if should_probe(instance, context.fleet, f"engine-{n}", "abc"[n % 3])
        ]
        assert len(probed) <= 6, (instance, probed)


def prober_of(world: GatewayWorld) -> UpstreamProber:
    """Return the prober of the only instance, with suspicions applied to the fleet."""

    def apply_suspicion(upstream_id: str) -> None:
        for action in world.state.fleet.handle(UpstreamSuspected(upstream_id), world.state.now()):
            if isinstance(action, UpstreamLeaving):
                world.evacuation.start(action.upstream)

    return UpstreamProber(
        world.state,
        OWN,
        probers=lambda: (OWN,),
        is_platform_silent=lambda: True,
        on_suspected=apply_suspicion,
        publish=lambda _: None,
    )


def takes(world: GatewayWorld, engine: RoutedUpstream) -> bool:
    """Return True if the gateway's fleet considers that the engine accepts requests."""
    return world.state.fleet.accepts_requests(engine.upstream_id)


@when("its engine says that it ends soon, and engines are asked")
def engine_ends_soon(context: Any) -> None:
    """Probe all engines, one of which reports that it terminates soon."""
    context.engine.report = ENDS_SOON
    prober_of(world_of(context)).probe_all()


@when("its run there was stopped")
def run_stopped(context: Any) -> None:
    """Wait until the run was moved, and let the engine end it."""
    wait_for("the run is stopped", lambda: bool(context.engine.stopped))
    context.script.gate.set()


@when("an engine says that it drains, and engines are asked")
def engine_drains(context: Any) -> None:
    """Probe all engines, one of which reports draining without a time."""
    world = world_of(context)
    world.engines[0].report = DRAINS
    probed: list[str] = []
    probe_state = world.state.dialect.probe_state

    def record_probe(engine: Upstream) -> ReportedState:
        state = probe_state(engine)
        probed.append(engine.upstream_id)
        return state

    world.state.dialect.probe_state = record_probe  # type: ignore[method-assign,assignment]
    prober_of(world).probe_all()
    wait_for("all were probed", lambda: len(probed) == len(world.engines))
    gevent.idle()


@then("all three engines take requests")
def all_take(context: Any) -> None:
    """Check that the fleet excludes no engine."""
    world = world_of(context)
    assert all(takes(world, engine) for engine in world.engines)


@when("two engines have ended, and engines are asked")
def two_ended(context: Any) -> None:
    """Stop two engines without a change of their entries, and probe all."""
    world = world_of(context)
    for engine in world.engines[:2]:
        engine.stop()
    prober_of(world).probe_all()
    wait_for("both are known", lambda: not any(takes(world, each) for each in world.engines[:2]))


@then("streams are placed on the third one, without a copy")
def placed_on_third(context: Any) -> None:
    """Request some streams, and check their engine and that they have no backup."""
    world = world_of(context)
    for number in range(5):
        assert world.ask("/stream/a", f"s-{number}").whole
    assert len(world.engines[2].seen) == 5
    assert not any("kv-backup" in seen.headers for seen in world.engines[2].seen)


@given("engines are asked where a stream breaks off")
def asked_on_break(context: Any) -> None:
    """Let suspicions and broken runs trigger probes."""
    world = world_of(context)
    prober = prober_of(world)
    world.state.on_upstream_suspected = prober.probe_soon
    detector = CrashDetector(
        world.state,
        on_crash=lambda upstream: prober.handle_bad_state(upstream, ReportedState.TERMINATED),
        publish_evidence=lambda: None,
    )
    world.state.on_run_broken = detector.handle_broken_run


@then("its engine takes no requests")
def its_engine_takes_none(context: Any) -> None:
    """Wait until the engine that ran the stream is excluded."""
    world = world_of(context)
    (engine,) = [each for each in world.engines if each.runs("s1")]
    wait_for("it is known", lambda: not takes(world, engine))


@dataclass
class Feed:
    """A stand-in of a feed's follower and its pacing."""

    is_current: bool = True
    is_unanswered: bool = False
    is_delegated: bool = False
    age_s: float = 0.0


@given("an instance of a small fleet whose feeds are answered")
def answered_instance(context: Any) -> None:
    """Create an instance with three peers and two answered feeds."""
    context.routes, context.list, context.lacking = Feed(), Feed(), ()
    context.others = tuple(
        Instance(f"other-{number}", f"127.0.0.1:{number}", f"127.0.0.1:{number + 9}", "a")
        for number in range(1, 4)
    )
    context.reach = StoreReachability(
        FeedReachability(context.routes, context.routes),
        FeedReachability(context.list, context.list),
        WatchDelegation(random.Random(1)),
        now=lambda: 0.0,
        roles=FleetRoles,
        live=lambda: context.others,
        peers_without_platform=lambda: context.lacking,
    )


@given("an instance that follows the platform for a large fleet, and whose feeds are answered")
def large_follower(context: Any) -> None:
    """Create a follower whose fleet has delegated the watch."""
    answered_instance(context)
    delegation = WatchDelegation(random.Random(1))
    delegation.record_collector_report(0.0, 0.0)
    context.reach = StoreReachability(
        FeedReachability(context.routes, context.routes),
        FeedReachability(context.list, context.list),
        delegation,
        now=lambda: 0.1,
        roles=lambda: FleetRoles(is_large=True, is_collector=True, is_follower=True),
        live=lambda: context.others,
        peers_without_platform=lambda: (),
    )


@then("it asks no engines")
def large_asks_none(context: Any) -> None:
    """Check that the store does not count as silent."""
    assert not context.reach.is_silent


@then("it asks engines at once, though the fleet still relies on what it told")
def large_asks(context: Any) -> None:
    """Check that the store counts as silent."""
    assert context.reach.is_silent


@then("it asks all of them by itself")
def large_asks_alone(context: Any) -> None:
    """Check that no peer shares the probes."""
    assert context.reach.probers() == ()


@when("the fleet would have noticed by itself, and still relies on another follower")
def large_noticed(context: Any) -> None:
    """Set an age of the platform's last answer at which collectors no longer count as served."""
    context.list.age_s = MAX_ANSWER_AGE_S + COLLECTOR_TIMEOUT_S + 0.1


@then("it asks no engines, and would share the questions with all that live")
def asks_none(context: Any) -> None:
    """Check that the store does not count as silent, and who would share the probes."""
    assert not context.reach.is_silent
    assert context.reach.probers() == context.others


@when("its newest question for routes gets no answer")
def routes_unanswered(context: Any) -> None:
    """Mark the newest request as unanswered; a feed is lost only after the second one."""
    context.routes.is_unanswered = True


@then("it asks engines by itself, though its list of upstreams is not lost yet")
def asks_alone(context: Any) -> None:
    """Check that the store counts as silent and that no peer shares the probes."""
    assert context.list.is_current and context.routes.is_current
    assert context.reach.is_silent
    assert context.reach.probers() == ()


@when("a peer says that the platform does not answer it either")
def peer_lacks(context: Any) -> None:
    """Add the peer to those without the platform."""
    context.lacking = ("other-2",)


@then("the two share the questions")
def two_share(context: Any) -> None:
    """Check which peer shares the probes."""
    assert [peer.instance_id for peer in context.reach.probers()] == ["other-2"]


@when("its question for routes is answered again")
def routes_answered(context: Any) -> None:
    """Mark the newest request as answered."""
    context.routes.is_unanswered = False


def pace_of(seed: int, roles: FleetRoles) -> DelegatedWatchPacing:
    """Return the watch pacing of one feed of an instance."""
    delegation = WatchDelegation(random.Random(seed))
    return DelegatedWatchPacing(delegation, lambda: roles, lambda: 0.0, max_watch_s=lambda: 1.6)


@given("6 instances of a small fleet that follow two feeds each")
def twelve_feeds(context: Any) -> None:
    """Create the pacing of each feed."""
    context.paces = [pace_of(seed, FleetRoles()) for seed in range(12)]


@when("all their questions begin at one moment, 100 times")
def questions_begin(context: Any) -> None:
    """Draw the watch timeout of each feed, 100 times."""
    context.waits = [[pace.watch_timeout_s() for pace in context.paces] for _ in range(100)]


@then("the first of them ends after 1.0 s on average, and none later than after 1.6 s")
def ends_apart(context: Any) -> None:
    """Check the shortest and the longest timeout of each draw."""
    firsts = [min(waits) for waits in context.waits]
    assert sum(firsts) / len(firsts) < 1.0, firsts
    assert max(max(waits) for waits in context.waits) <= 1.6


@then("a collector of a large fleet waits for 0.8 s each time")
def collector_waits(context: Any) -> None:
    """Check the constant watch timeout of a collector."""
    pace = pace_of(1, FleetRoles(is_large=True, is_collector=True, is_follower=True))
    assert {pace.watch_timeout_s() for _ in range(10)} == {0.8}


@when("its engine takes no copy to an engine that says that it ends soon")
def copy_refused(context: Any) -> None:
    """Copy the run to an engine that is about to terminate and refuses it."""
    world = world_of(context)
    (run,) = world.state.runs.all
    context.refusing = next(
        engine for engine in world.engines if engine.upstream_id != run.upstream.upstream_id
    )
    context.refusing.report = ENDS_SOON
    context.engine.move_answers = [lambda _: (503, {})]
    result = world.mover.copy(run, world.entry(context.refusing))
    assert isinstance(result, MoveFailed) and result.target_rejected, result


@then("the engine that refused takes no requests")
def refusing_takes_none(context: Any) -> None:
    """Wait until the refusing engine is excluded, and let the stream end."""
    world = world_of(context)
    wait_for("it is known", lambda: not takes(world, context.refusing))
    context.script.gate.set()


@given("two engines in the store")
def engines_in_store(context: Any) -> None:
    """Add two engines to the store."""
    context.engines = [RoutedUpstream(f"engine-{index}") for index in (1, 2)]
    for engine in context.engines:
        context.add_cleanup(engine.stop)
        context.store.create(KIND_UPSTREAMS, engine.upstream_id, entry_spec(engine.address))


@when("the store is down, and the first engine says that it ends soon")
def down_and_ends(context: Any) -> None:
    """Take the store down for longer than the scenario."""
    context.store_bench.platform.control({"down_s": 60.0})
    context.engines[0].report = ENDS_SOON


@then("both know that it leaves")
def both_know(context: Any) -> None:
    """Wait for the log line at both processes."""
    for node in context.nodes:
        wait_for_processes(
            f"{node.name} knows",
            lambda node=node: "Upstream engine-1 is leaving" in node.log.read_text(),
        )


@then("{count:d} streams of each run on the other engine")
def on_the_other(context: Any, count: int) -> None:
    """Request streams at both processes, and check that the leaving engine received none."""
    before = len(context.engines[0].seen)
    for node in context.nodes:
        for index in range(count):
            assert node.ask("/stream/a", f"{node.name}-{index}").whole
    assert len(context.engines[0].seen) == before
