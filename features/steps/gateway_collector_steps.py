"""Check who collects the reports of a large fleet, and how sums are read."""

from __future__ import annotations

import random
from typing import Any

from behave import given, then, when

from driftstall.core import Instance
from driftstall.gateway.collectors import OwnReports, collectors_of, is_large, summed
from driftstall.gateway.loads import Use
from driftstall.gateway.model import Bounds
from driftstall.gateway.shared_budget import InstanceCount, RepeatCount, SharedRetryBudget


def instance_of(index: int, link_mbps: int = 100) -> Instance:
    """Return an instance."""
    name = f"instance-{index}"
    return Instance(name, f"10.0.0.{index}:1", f"10.0.0.{index}:2", "a", link_mbps=link_mbps)


@then("16 instances need no collectors and 17 do")
def small_and_large(context: Any) -> None:
    """Compare both sides of the limit."""
    assert not is_large([instance_of(index) for index in range(16)])
    assert is_large([instance_of(index) for index in range(17)])


@given("78 instances, of which a third have links of 100 Mbit/s and the others of 5")
def unequal_fleet(context: Any) -> None:
    """Make a fleet."""
    context.fleet = [instance_of(index, 100 if index % 3 == 0 else 5) for index in range(78)]


@then("in any order the same 3 of the strong ones collect")
def same_three(context: Any) -> None:
    """Choose from shuffled lists."""
    first = collectors_of(context.fleet)
    assert len(first) == 3 and all(one.link_mbps == 100 for one in first), first
    for seed in range(5):
        shuffled = list(context.fleet)
        random.Random(seed).shuffle(shuffled)
        assert collectors_of(shuffled) == first
    context.first = first


@then("when one of them leaves the other two stay")
def others_stay(context: Any) -> None:
    """Take one collector away."""
    left = [one for one in context.fleet if one != context.first[0]]
    assert set(context.first[1:]) < set(collectors_of(left))


@given('an instance that reported 700 tokens on "u1" and then 900')
def two_reports(context: Any) -> None:
    """Report twice."""
    context.reports = OwnReports()
    context.number = context.reports.add((Use("u1", 1, 700),), ())
    context.reports.add((Use("u1", 1, 900),), ())


@when('a summary that has taken in its first report tells of 1500 tokens on "u1"')
def summary(context: Any) -> None:
    """Read a summary."""
    counts = summed([RepeatCount("s", 10, 1), RepeatCount("s", 5, 2)])
    context.others = context.reports.others(context.number, (Use("u1", 3, 1500),), counts)


@then("the others have 800 tokens there")
def without_own(context: Any) -> None:
    """Compare the sums."""
    uses, repeats = context.others
    assert uses == (Use("u1", 2, 800),), uses
    assert repeats == (RepeatCount("s", 15, 3),), repeats


@given("a collector tells that 77 other instances made 20 repeats of a budget of 196")
def large_budget(context: Any) -> None:
    """Let a collector tell of all others."""
    count = InstanceCount()
    count.seen(78, 0.0)
    context.budget = SharedRetryBudget("s", Bounds(retry_extra=196.0), count)
    context.budget.told("fleet", RepeatCount("s", 200, 20), 1.0, instances=77)


@then("this instance may make more than its even part, and not all that is left")
def more_than_even(context: Any) -> None:
    """Take as many as are allowed."""
    made = sum(context.budget.take(1.5) for _ in range(500))
    assert 196 / 78 < made < 196 - 20, made
