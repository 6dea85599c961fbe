"""Test the rate limit on requests to cold upstreams."""

from __future__ import annotations

import bisect
import random
import time
from dataclasses import replace
from typing import Any

import gevent
from behave import given, then, when

from driftstall.decisions.cold_starts import ASSUMED_COLD_S, ColdPart, ColdSlots, ColdStarts
from driftstall.decisions.store_versions import StoreVersion
from driftstall.gateway.fleet import FleetController
from driftstall.gateway.fleet_events import (
    CordonedZonesChanged,
    UpstreamChanged,
    UpstreamCold,
    UpstreamsListed,
    UpstreamsListedByPeer,
)
from driftstall.gateway.loads import Use
from driftstall.gateway.scheduling.selection import (
    Option,
    Sampler,
    choose_backup,
    choose_migration_target,
)
from features.worlds.gateway_world import GatewayWorld, document, world_of
from features.worlds.upstream_samples import ENGINE, NEED, upstream_of

TICK_S = 0.01
RATE = 25.0
SEED = 7


@given("{count:d} instances, each with its even part of 25 requests a second")
def even_parts(context: Any, count: int) -> None:
    """Create the slots of instances that place their own requests."""
    part = ColdPart.of_instance(RATE, count, placed=False)
    context.sharers = [(ColdSlots(random.Random(f"{SEED} {n}")), part) for n in range(count)]


@given("{placers:d} placers and {count:d} instances that share 25 requests a second")
def with_placers(context: Any, placers: int, count: int) -> None:
    """Create the slots of placers and of the instances that they place for."""
    instance_part = ColdPart.of_instance(RATE, count, placed=True)
    placer_part = ColdPart.of_placer(RATE, placers)
    parts = [instance_part] * count + [placer_part] * placers
    context.sharers = [
        (ColdSlots(random.Random(f"{SEED} {n}")), part) for n, part in enumerate(parts)
    ]


@when("each sends whatever it may to a cold upstream for {seconds:d} s, {how}")
def all_send(context: Any, seconds: int, how: str) -> None:
    """Simulate in steps of 10 ms; with pauses, no instance sends in 4 s of every 5 s."""
    context.sent_at = []
    context.seconds = seconds
    for tick in range(int(seconds / TICK_S)):
        now = tick * TICK_S
        if how.startswith("after") and now % 5.0 < 4.0:
            continue
        for slots, part in context.sharers:
            if not slots.wait_s("u1", part, now):
                slots.take("u1", part)
                context.sent_at.append(now)


def most_in_a_second(times: list[float]) -> int:
    """Return the largest number of the sorted times that fall into one second."""
    return max(bisect.bisect_left(times, at + 1.0) - index for index, at in enumerate(times))


@then("it gets at most {most:d} requests in any second")
def at_most(context: Any, most: int) -> None:
    """Check the peak rate over any second."""
    found = most_in_a_second(context.sent_at)
    assert found <= most, found


@then("it gets at least {least:d} requests in a second on average")
def at_least(context: Any, least: int) -> None:
    """Check the average rate."""
    assert len(context.sent_at) / context.seconds >= least, len(context.sent_at)


@given("an instance that has just started, and a cold upstream beside a warm one")
def just_started(context: Any) -> None:
    """Mark one of two plain upstreams as cold."""
    world = context.world = GatewayWorld()
    context.add_cleanup(world.close)
    use_cold_rate(world, RATE)
    cold, warm = (upstream.upstream_id for upstream in world.plain)
    world.state.cold.record_cold(cold, 60.0, world.state.now())
    context.warm = warm


def use_cold_rate(world: GatewayWorld, rate: float) -> None:
    """Configure the rate that all services allow for cold upstreams."""
    raw = document()
    raw["services"] = [
        service | {"coldPerS": rate, "coldStartS": 1.0} for service in raw["services"]
    ]
    world.use(raw)


@then("it chooses the warm one alone, however busy that is")
def warm_alone(context: Any) -> None:
    """Check which upstreams are open right after the start and a few seconds later."""
    world = world_of(context)
    gate = world.state.cold_gate

    def chosen() -> set[str]:
        return {
            option.upstream.upstream_id
            for option in gate.select_open(world.state.options("portal"))
        }

    assert chosen() == {context.warm}
    world.pass_time(1.6)
    for _ in range(100):
        world.pass_time(0.01)
        if len(chosen()) == 2:
            return
    raise AssertionError("the cold upstream is never chosen")


@given("an upstream that says it is cold for {seconds:g} s")
def says_cold(context: Any, seconds: float) -> None:
    """Record the reported time."""
    context.cold = ColdStarts()
    context.cold.record_cold("u1", seconds, 0.0)
    assert context.cold.remaining_s("u1", 0.5) == seconds - 0.5


@when("it says {seconds:g} s later that it is not")
def says_warm(context: Any, seconds: float) -> None:
    """Record a report of 0 s."""
    context.now = seconds
    context.cold.record_cold("u1", 0.0, seconds)


@then("it is cold no more")
def warm(context: Any) -> None:
    """Check that no cold time remains."""
    assert context.cold.remaining_s("u1", context.now) == 0.0


@then("one whose zone's cordon was just lifted is cold for {seconds:g} s whatever it says")
def assumed(context: Any, seconds: float) -> None:
    """Lift a cordon, and record the upstream's report that it is warm."""
    fleet = FleetController()
    fleet.handle(
        UpstreamsListed((upstream_of("u2", zone="z"), upstream_of("u3")), StoreVersion(1)), 0.0
    )
    fleet.handle(CordonedZonesChanged(frozenset({"z"})), 0.0)
    (action,) = fleet.handle(CordonedZonesChanged(frozenset(), frozenset({"z"})), 1.0)
    assert isinstance(action, UpstreamCold) and action.is_assumed, action
    assert (action.upstream.upstream_id, action.for_s) == ("u2", ASSUMED_COLD_S)
    context.cold.assume("u2", action.for_s, 1.0)
    context.cold.record_cold("u2", 0.0, 1.1)
    assert context.cold.remaining_s("u2", 1.0) == seconds


@given("a fleet that knows an upstream which was cold for 1 s")
def was_cold(context: Any) -> None:
    """List its entry as cold, then as warm."""
    context.fleet = FleetController()
    context.entry = replace(upstream_of("u1", 2), cold_s=1.0)
    actions = context.fleet.handle(UpstreamsListed((context.entry,), StoreVersion(2)), 0.0)
    assert any(isinstance(each, UpstreamCold) and each.for_s == 1.0 for each in actions), actions
    actions = context.fleet.handle(UpstreamChanged(upstream_of("u1", 3), False), 1.0)
    assert any(isinstance(each, UpstreamCold) and each.for_s == 0.0 for each in actions), actions


@when("a peer offers its entry of then once more")
def offered_again(context: Any) -> None:
    """Apply a peer's list with the outdated entry."""
    context.actions = context.fleet.handle(
        UpstreamsListedByPeer((context.entry,), StoreVersion(2)), 1.5
    )


@then("nobody is told that it is cold")
def not_reported(context: Any) -> None:
    """Check that the stale entry causes no action."""
    assert context.actions == [], context.actions


@given("a gateway whose upstreams of plain calls are all cold and bear 1 request in 4 s")
def all_cold(context: Any) -> None:
    """Mark both plain upstreams as cold for a minute."""
    world = context.world = GatewayWorld()
    context.add_cleanup(world.close)
    use_cold_rate(world, 0.25)
    world.pass_time(2.0)
    for upstream in world.plain:
        world.state.cold.record_cold(upstream.upstream_id, 60.0, world.state.now())


@when("{count:d} calls come at once")
def many_calls(context: Any, count: int) -> None:
    """Send the calls concurrently and measure each."""

    def timed(number: int) -> tuple[Any, float]:
        started_at = time.monotonic()
        return world_of(context).ask("/once/a", f"c{number}"), time.monotonic() - started_at

    jobs = [gevent.spawn(timed, number) for number in range(count)]
    gevent.joinall(jobs, raise_error=True)
    context.answers = [job.value for job in jobs]


@then("most are refused within {seconds:g} s with a time to come back, and none waits longer")
def refused(context: Any, seconds: float) -> None:
    """Check the refusals, and the time of all calls; a served call may have waited for a slot."""
    refusals = [(answer, took) for answer, took in context.answers if answer.status == 503]
    assert len(refusals) >= 6, context.answers
    for answer, took in refusals:
        assert took < seconds and float(answer.headers["retry-after"]) > 0, (answer, took)
    assert all(took < 1.0 for _, took in context.answers)


@then("each upstream got at most 1 of them")
def got_few(context: Any) -> None:
    """Count the requests of each upstream."""
    assert all(len(upstream.seen) <= 1 for upstream in world_of(context).plain)


@then("of a cold empty engine and a warm one a quarter full the warm one gets copies and moves")
def no_cold_copies(context: Any) -> None:
    """Choose a backup and a migration target."""
    full = Use("warm", tokens=ENGINE.memory_tokens // 4)
    options = [
        Option(upstream_of("cold"), Use("cold"), 0.0, False, cold_s=1.0),
        Option(upstream_of("warm"), full, 0.0, False),
    ]
    sampler, primary = Sampler(random.Random(1)), upstream_of("primary")
    backup = choose_backup(options, ENGINE, NEED, primary, sampler)
    target = choose_migration_target(options, ENGINE, NEED, primary, sampler, max_memory_share=1.0)
    for chosen in (backup, target):
        assert chosen is not None and chosen.upstream.upstream_id == "warm", chosen
