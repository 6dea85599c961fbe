"""Check what follows from what engines say of themselves."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

import gevent
from behave import given, then, when

from driftstall.core import Instance
from driftstall.decisions.upstream_probes import PROBERS_PER_UPSTREAM, ReportedState, should_probe
from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.crash_detector import CrashDetector
from driftstall.gateway.dialect import MoveFailed
from driftstall.gateway.fleet_events import Changed, Period, UpstreamLeaving, UpstreamSuspected
from driftstall.gateway.model import Upstream
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

DOUBTED_AT = 1.0
ENDS_SOON = {"state": "draining", "leaves_ms": 1200}
DRAINS = {"state": "draining"}
OWN = Instance("instance-1", "127.0.0.1:1", "127.0.0.1:2", "a")


@when('"{name}" says itself that it leaves')
def says_itself(context: Any, name: str) -> None:
    """Tell the fleet twice, as two instances ask."""
    for _ in range(2):
        apply_event(context, UpstreamSuspected(name), DOUBTED_AT)


@when('the platform lists "{name}" as ready, with a newer revision')
def listed_as_ready(context: Any, name: str) -> None:
    """Tell an entry that does not know of the notice."""
    apply_event(context, Changed(upstream_of(name, 7), False), DOUBTED_AT + 1.0)


@then('after {seconds:g} s of silence "{name}" takes requests again')
def takes_again(context: Any, seconds: float, name: str) -> None:
    """Let a doubt run out."""
    apply_event(context, Period(), DOUBTED_AT + seconds - 0.1)
    takes_none(context, name)
    apply_event(context, Period(), DOUBTED_AT + seconds)
    takes_some(context, name)


@then('after {seconds:g} s of silence "{name}" takes no requests')
def takes_none_again(context: Any, seconds: float, name: str) -> None:
    """Let the time of a doubt pass."""
    apply_event(context, Period(), DOUBTED_AT + seconds)
    takes_none(context, name)


def askers_of(context: Any, engine_id: str, zone: str) -> list[Instance]:
    """Return the instances that ask an engine, by what each of them decides alone."""
    return [
        one for one in context.fleet if should_probe(one, reversed(context.fleet), engine_id, zone)
    ]


@then("each of 30 engines is asked by 2 instances of its zone, whoever is asked about it")
def asked_by_two(context: Any) -> None:
    """Let every instance decide for itself."""
    for number in range(30):
        zone = "abc"[number % 3]
        found = askers_of(context, f"engine-{number}", zone)
        assert len(found) == PROBERS_PER_UPSTREAM and {one.zone for one in found} == {zone}, found


@then("each of 30 engines of a zone without instances is asked by 2 all the same")
def asked_from_afar(context: Any) -> None:
    """Ask for a zone in which nobody lives."""
    for number in range(30):
        assert len(askers_of(context, f"engine-{number}", "far")) == PROBERS_PER_UPSTREAM


@then("no instance asks more than 6 of 30 engines")
def none_asks_all(context: Any) -> None:
    """Count the engines of each instance."""
    for one in context.fleet:
        asked = [
            n for n in range(30) if should_probe(one, context.fleet, f"engine-{n}", "abc"[n % 3])
        ]
        assert len(asked) <= 6, (one, asked)


def prober_of(world: GatewayWorld) -> UpstreamProber:
    """Return who asks the engines, as the only instance."""

    def doubt(upstream_id: str) -> None:
        for action in world.state.fleet.handle(UpstreamSuspected(upstream_id), world.state.now()):
            if isinstance(action, UpstreamLeaving):
                world.evacuation.start(action.upstream)

    return UpstreamProber(
        world.state,
        OWN,
        probers=lambda: (OWN,),
        is_platform_silent=lambda: True,
        on_suspected=doubt,
        publish=lambda _: None,
    )


def takes(world: GatewayWorld, engine: RoutedUpstream) -> bool:
    """Tell whether an engine takes requests, as far as the gateway knows."""
    return world.state.fleet.accepts_requests(engine.upstream_id)


@when("its engine says that it ends soon, and engines are asked")
def engine_ends_soon(context: Any) -> None:
    """Ask all engines, of which one will end."""
    context.engine.report = ENDS_SOON
    prober_of(world_of(context)).probe_all()


@when("its run there was stopped")
def run_stopped(context: Any) -> None:
    """Let the engine end the run once it was moved."""
    wait_for("the run is stopped", lambda: bool(context.engine.stopped))
    context.script.gate.set()


@when("an engine says that it drains, and engines are asked")
def engine_drains(context: Any) -> None:
    """Ask all engines, of which one has told no time."""
    world = world_of(context)
    world.engines[0].report = DRAINS
    asked: list[str] = []
    ask = world.state.dialect.probe_state

    def noting(engine: Upstream) -> ReportedState:
        word = ask(engine)
        asked.append(engine.upstream_id)
        return word

    world.state.dialect.probe_state = noting  # type: ignore[method-assign,assignment]
    prober_of(world).probe_all()
    wait_for("all were asked", lambda: len(asked) == len(world.engines))
    gevent.idle()


@then("all three engines take requests")
def all_take(context: Any) -> None:
    """Look at the fleet."""
    world = world_of(context)
    assert all(takes(world, one) for one in world.engines)


@when("two engines have ended, and engines are asked")
def two_ended(context: Any) -> None:
    """Stop two engines without a word to the platform."""
    world = world_of(context)
    for one in world.engines[:2]:
        one.stop()
    prober_of(world).probe_all()
    wait_for("both are known", lambda: not any(takes(world, one) for one in world.engines[:2]))


@then("streams are placed on the third one, without a copy")
def placed_on_third(context: Any) -> None:
    """Ask for some streams."""
    world = world_of(context)
    for number in range(5):
        assert world.ask("/stream/a", f"s-{number}").whole
    assert len(world.engines[2].seen) == 5
    assert not any("kv-backup" in seen.headers for seen in world.engines[2].seen)


@given("engines are asked where a stream breaks off")
def asked_on_break(context: Any) -> None:
    """Have the relays' suspicions, and what breaks off, followed up."""
    world = world_of(context)
    prober = prober_of(world)
    world.state.on_upstream_suspected = prober.probe_soon
    watch = CrashDetector(
        world.state,
        on_crash=lambda upstream: prober.handle_bad_state(upstream, ReportedState.TERMINATED),
        publish_evidence=lambda: None,
        on_quarantined=lambda _: None,
    )
    world.state.on_run_broken = watch.handle_broken_run


@then("its engine takes no requests")
def its_engine_takes_none(context: Any) -> None:
    """Find the engine that ran the stream, and wait until it is known to be gone."""
    world = world_of(context)
    (engine,) = [one for one in world.engines if one.runs("s1")]
    wait_for("it is known", lambda: not takes(world, engine))


@dataclass
class Feed:
    """Stand for a feed's follower and its pace."""

    is_current: bool = True
    is_unanswered: bool = False
    is_delegated: bool = False
    age_s: float = 0.0


@given("an instance of a small fleet whose feeds are answered")
def answered_instance(context: Any) -> None:
    """Let it live with three others."""
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
    """Let it be one of three, and all rely on them."""
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
    """Look."""
    assert not context.reach.is_silent


@then("it asks engines at once, though the fleet still relies on what it told")
def large_asks(context: Any) -> None:
    """Look."""
    assert context.reach.is_silent


@then("it asks all of them by itself")
def large_asks_alone(context: Any) -> None:
    """Look who shares the questions."""
    assert context.reach.probers() == ()


@when("the fleet would have noticed by itself, and still relies on another follower")
def large_noticed(context: Any) -> None:
    """Let the platform's last answer to this instance be old."""
    context.list.age_s = MAX_ANSWER_AGE_S + COLLECTOR_TIMEOUT_S + 0.1


@then("it asks no engines, and would share the questions with all that live")
def asks_none(context: Any) -> None:
    """Look."""
    assert not context.reach.is_silent
    assert context.reach.probers() == context.others


@when("its newest question for routes gets no answer")
def routes_unanswered(context: Any) -> None:
    """Note it; the feed counts as lost only after the second one."""
    context.routes.is_unanswered = True


@then("it asks engines by itself, though its list of upstreams is not lost yet")
def asks_alone(context: Any) -> None:
    """Look who is to ask."""
    assert context.list.is_current and context.routes.is_current
    assert context.reach.is_silent
    assert context.reach.probers() == ()


@when("a peer says that the platform does not answer it either")
def peer_lacks(context: Any) -> None:
    """Take its word."""
    context.lacking = ("other-2",)


@then("the two share the questions")
def two_share(context: Any) -> None:
    """Look who is to ask besides."""
    assert [one.instance_id for one in context.reach.probers()] == ["other-2"]


@when("its question for routes is answered again")
def routes_answered(context: Any) -> None:
    """Note it."""
    context.routes.is_unanswered = False


def pace_of(seed: int, roles: FleetRoles) -> DelegatedWatchPacing:
    """Return the pace of one feed of one instance."""
    delegation = WatchDelegation(random.Random(seed))
    return DelegatedWatchPacing(delegation, lambda: roles, lambda: 0.0, max_watch_s=lambda: 1.6)


@given("6 instances of a small fleet that follow two feeds each")
def twelve_feeds(context: Any) -> None:
    """Make the paces."""
    context.paces = [pace_of(seed, FleetRoles()) for seed in range(12)]


@when("all their questions begin at one moment, 100 times")
def questions_begin(context: Any) -> None:
    """Ask each for how long it waits."""
    context.waits = [[pace.watch_timeout_s() for pace in context.paces] for _ in range(100)]


@then("the first of them ends after 1.0 s on average, and none later than after 1.6 s")
def ends_apart(context: Any) -> None:
    """Look at the first and the last of each moment."""
    firsts = [min(waits) for waits in context.waits]
    assert sum(firsts) / len(firsts) < 1.0, firsts
    assert max(max(waits) for waits in context.waits) <= 1.6


@then("a collector of a large fleet waits for 0.8 s each time")
def collector_waits(context: Any) -> None:
    """Ask it."""
    pace = pace_of(1, FleetRoles(is_large=True, is_collector=True, is_follower=True))
    assert {pace.watch_timeout_s() for _ in range(10)} == {0.8}


@when("its engine takes no copy to an engine that says that it ends soon")
def copy_refused(context: Any) -> None:
    """Let one engine be about to end, and have a copy made there."""
    world = world_of(context)
    (run,) = world.state.runs.all
    context.refusing = next(
        one for one in world.engines if one.upstream_id != run.upstream.upstream_id
    )
    context.refusing.report = ENDS_SOON
    context.engine.move_answers = [lambda _: (503, {})]
    result = world.mover.copy(run, world.entry(context.refusing))
    assert isinstance(result, MoveFailed) and result.target_refused, result


@then("the engine that refused takes no requests")
def refusing_takes_none(context: Any) -> None:
    """Wait until it is known, and let the stream end."""
    world = world_of(context)
    wait_for("it is known", lambda: not takes(world, context.refusing))
    context.script.gate.set()


@given("two engines in the store")
def engines_in_store(context: Any) -> None:
    """Add two engines to the store."""
    context.engines = [RoutedUpstream(f"engine-{index}") for index in (1, 2)]
    for one in context.engines:
        context.add_cleanup(one.stop)
        context.store.create(KIND_UPSTREAMS, one.upstream_id, entry_spec(one.address))


@when("the store is down, and the first engine says that it ends soon")
def down_and_ends(context: Any) -> None:
    """Take the store down for longer than the scenario."""
    context.store_bench.platform.control({"down_s": 60.0})
    context.engines[0].report = ENDS_SOON


@then("both know that it leaves")
def both_know(context: Any) -> None:
    """Look for the log line."""
    for node in context.nodes:
        wait_for_processes(
            f"{node.name} knows",
            lambda one=node: "Upstream engine-1 is leaving" in one.log.read_text(),
        )


@then("{count:d} streams of each run on the other engine")
def on_the_other(context: Any, count: int) -> None:
    """Ask both processes for streams."""
    before = len(context.engines[0].seen)
    for node in context.nodes:
        for index in range(count):
            assert node.ask("/stream/a", f"{node.name}-{index}").whole
    assert len(context.engines[0].seen) == before
