"""Test the choice of collectors and followers in a large fleet, and the use of their sums."""

from __future__ import annotations

import random
from typing import Any

from behave import given, then, when

from driftstall.core import Instance
from driftstall.decisions.instance_count import InstanceCount
from driftstall.gateway.collectors import FleetRoles, OwnReportHistory, is_large, sum_by_service
from driftstall.gateway.loads import Use
from driftstall.gateway.model import Bounds
from driftstall.gateway.retry_budget.shared_budget import RepeatCount, SharedRetryBudget
from features.worlds.retry_budget_world import connect, take, take_or_borrow


def instance_of(index: int, link_mbps: int = 100, zone: str = "a") -> Instance:
    """Return a fleet member with the given link capacity and zone."""
    name = f"instance-{index}"
    return Instance(name, f"10.0.0.{index}:1", f"10.0.0.{index}:2", zone, link_mbps=link_mbps)


@then("16 instances need no collectors and 17 do")
def small_and_large(context: Any) -> None:
    """Check the fleet sizes on both sides of the threshold."""
    assert not is_large([instance_of(index) for index in range(16)])
    assert is_large([instance_of(index) for index in range(17)])


@given("78 instances in 3 zones, of which a third have links of 100 Mbit/s and the others of 5")
def unequal_fleet(context: Any) -> None:
    """Create a fleet with fast and slow links in every zone."""
    context.fleet = [
        instance_of(index, 100 if index // 3 % 3 == 0 else 5, "abc"[index % 3])
        for index in range(78)
    ]


def ids(instances: Any) -> set[str]:
    """Return the ids of the instances."""
    return {instance.instance_id for instance in instances}


@then("all see the same 2 strong collectors in each zone, whatever the order of their lists")
def same_two(context: Any) -> None:
    """Compare the roles that every instance computes from a shuffled list."""
    context.collectors = {}
    for seed, own in enumerate(context.fleet):
        shuffled = list(context.fleet)
        random.Random(seed).shuffle(shuffled)
        roles = FleetRoles.from_fleet(own, shuffled)
        assert roles.is_large
        of_zone = ids(roles.own_collectors) | ({own.instance_id} if roles.is_collector else set())
        assert context.collectors.setdefault(own.zone, of_zone) == of_zone
        assert len(of_zone) == 2 and len(roles.remote_collectors) == 4, roles
        assert not ids(roles.zone_members) & of_zone
        assert all(
            collector.link_mbps == 100
            for collector in (*roles.own_collectors, *roles.remote_collectors)
        )


@then("3 of them follow the platform, of 3 zones")
def three_follow(context: Any) -> None:
    """Check that there is one follower per zone, and that followers are collectors."""
    followers = [
        instance
        for instance in context.fleet
        if FleetRoles.from_fleet(instance, context.fleet).is_follower
    ]
    assert len(followers) == 3 and {instance.zone for instance in followers} == set("abc"), (
        followers
    )
    assert all(
        FleetRoles.from_fleet(instance, context.fleet).is_collector for instance in followers
    )


@then("each instance is told by a collector of its zone")
def all_reached(context: Any) -> None:
    """Check that each instance is a collector or a zone member that a collector publishes to."""
    reached: set[str] = set()
    for own in context.fleet:
        roles = FleetRoles.from_fleet(own, context.fleet)
        if roles.is_collector:
            reached |= ids(roles.zone_members) | {own.instance_id}
    assert reached == ids(context.fleet)


@then("when one collector leaves the other one stays and a third takes its place")
def others_stay(context: Any) -> None:
    """Remove one collector of a zone and compute the roles of the remaining fleet."""
    removed, kept = sorted(context.collectors["a"])
    fleet = [instance for instance in context.fleet if instance.instance_id != removed]
    observer = next(instance for instance in fleet if instance.zone == "b")
    of_a = {
        instance.instance_id
        for instance in FleetRoles.from_fleet(observer, fleet).remote_collectors
    }
    of_a = {name for name in of_a if name in ids(member for member in fleet if member.zone == "a")}
    assert kept in of_a and len(of_a) == 2, of_a


@given('an instance that reported 700 tokens on "u1" and then 900')
def two_reports(context: Any) -> None:
    """Record two own reports."""
    context.reports = OwnReportHistory()
    context.number = context.reports.add((Use("u1", 1, 700),), ())
    context.reports.add((Use("u1", 1, 900),), ())


@when('a summary that has taken in its first report tells of 1500 tokens on "u1"')
def summary(context: Any) -> None:
    """Subtract the own share from a summary that includes only the first report."""
    counts = sum_by_service([RepeatCount("s", 10, 1), RepeatCount("s", 5, 2)])
    context.others = context.reports.subtract_own(context.number, (Use("u1", 3, 1500),), counts)


@then("the others have 800 tokens there")
def without_own(context: Any) -> None:
    """Check the load and the retry counts of the other instances."""
    uses, repeats = context.others
    assert uses == (Use("u1", 2, 800),), uses
    assert repeats == (RepeatCount("s", 15, 3),), repeats


@given("77 other instances made 20 repeats of a budget of 196")
def large_budget(context: Any) -> None:
    """Take retries at some of 78 instances."""
    count = InstanceCount()
    count.record(78, 0.0)
    bounds = Bounds(retry_extra=196.0)
    context.budgets = [SharedRetryBudget("s", bounds, count) for _ in range(78)]
    assert sum(take(budget, 1.0) for budget in context.budgets[1:21]) == 20


@then("this instance may make more than its even part, and not all that is left")
def more_than_even(context: Any) -> None:
    """Take retries until the budget refuses, and compare with the even share."""
    brokers = connect(context.budgets)
    made = sum(take_or_borrow(context.budgets, brokers, 0, 1.5) for _ in range(500))
    assert 0.6 * (196 - 20) < made < 196 - 20, made
