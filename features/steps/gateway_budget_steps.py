"""Check the retry budget shared by all instances."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from driftstall.decisions.instance_count import InstanceCount
from driftstall.gateway.model import (
    Bounds,
)
from driftstall.gateway.retry_budget.shared_budget import SharedRetryBudget
from features.worlds.retry_budget_world import connect, take, take_or_borrow


@given("8 instances that share a budget of 50 repeats and a fifth of the requests")
def shared_budget(context: Any) -> None:
    """Create one budget per instance."""
    context.budgets = []
    for _ in range(8):
        count = InstanceCount()
        count.record(8, 0.0)
        bounds = Bounds(retry_ratio=0.2, retry_extra=50.0, retry_window_s=10.0)
        context.budgets.append(SharedRetryBudget("s", bounds, count))


def send_requests(context: Any) -> None:
    """Record ten requests at each instance."""
    for budget in context.budgets:
        for index in range(10):
            budget.record_request(float(index) / 2)


@when("each has 10 requests and wants 100 repeats within 10 s, and none hears of others")
def want_repeats(context: Any) -> None:
    """Request more retries than are allowed, at each instance."""
    send_requests(context)
    context.made = 0
    for budget in context.budgets:
        context.made += sum(take(budget, 5.0 + index / 25) for index in range(100))


@when("each has 10 requests and hears of the others, and one wants 100 repeats")
def one_wants(context: Any) -> None:
    """Request all retries at one instance."""
    send_requests(context)
    context.brokers = connect(context.budgets)
    context.made = sum(take_or_borrow(context.budgets, context.brokers, 0, 5.1) for _ in range(100))


@then("it makes more than twice its even part")
def more_than_even(context: Any) -> None:
    """Check that an instance may exceed an eighth of the budget."""
    assert context.made > 2 * 66 / 8, context.made


@then("the others, once they hear of it, make no more than the budget in all")
def others_keep(context: Any) -> None:
    """Request retries at the other instances in turn."""
    for place in range(1, len(context.budgets)):
        for _ in range(100):
            context.made += take_or_borrow(context.budgets, context.brokers, place, 5.2)
    assert context.made <= 66, context.made


@when("each half hears only of itself and all want 100 repeats")
def halves(context: Any) -> None:
    """Partition the instances into halves; within each, instances borrow from each other."""
    send_requests(context)
    context.made = 0
    for half in (context.budgets[:4], context.budgets[4:]):
        brokers = connect(half)
        for index in range(100):
            for place in range(len(half)):
                context.made += take_or_borrow(half, brokers, place, 5.0 + index / 25)


@then("at most 66 repeats are made in all")
def repeats_bounded(context: Any) -> None:
    """Check the bound: a fifth of 80 requests plus 50."""
    assert 20 <= context.made <= 66, context.made


@given("8 instances are known and then 1")
def fewer_known(context: Any) -> None:
    """Record that seven of eight instances have disappeared."""
    context.count = InstanceCount()
    context.count.record(8, 0.0)
    context.count.record(1, 1.0)


@then("the budget is still divided by 8, and by 1 after 31 s")
def divided(context: Any) -> None:
    """Check the number of instances at both times."""
    assert context.count.value == 8
    context.count.record(1, 31.0)
    assert context.count.value == 1
