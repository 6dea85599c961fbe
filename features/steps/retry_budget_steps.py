"""Check the shared retry budget in simulated fleets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from behave import given, then, when

from driftstall.decisions.instance_count import InstanceCount
from driftstall.gateway.model import Bounds
from driftstall.gateway.retry_budget.shared_budget import SharedRetryBudget
from features.worlds.gateway_world import world_of
from features.worlds.retry_budget_world import Disturbance, FleetSize, RetryBudgetWorld
from stand_ins.routed import RoutedUpstream

MESSAGES = {"some messages are late or lost": True, "all messages arrive": False}


@given(
    "fleets of {instances:d} instances that share {extra:d} retries and a fifth of "
    "{per_s:d} requests a second"
)
def fleets(context: Any, instances: int, extra: int, per_s: int) -> None:
    """Set the size of the fleets."""
    context.size = FleetSize(instances, float(per_s), float(extra))


@when("{seeds:d} of them play {disturbance}, and {messages}")
def play(context: Any, seeds: int, disturbance: str, messages: str) -> None:
    """Play one run a seed, and keep the worst window of each."""
    is_lossy = MESSAGES[messages]
    context.worst = {
        seed: RetryBudgetWorld(
            seed, context.size, Disturbance(disturbance), is_lossy=is_lossy
        ).play()
        for seed in range(1, seeds + 1)
    }


@then("no window of 10 s holds more than {most:f} of the allowed retries")
def kept(context: Any, most: float) -> None:
    """Check the upper bound in each run."""
    broken = {seed: found for seed, found in context.worst.items() if found.used_share > most}
    assert not broken, broken


@then("some window of 10 s holds at least {least:f} of the allowed retries")
def usable(context: Any, least: float) -> None:
    """Check in each run that the budget can be used."""
    unused = {seed: found for seed, found in context.worst.items() if found.used_share < least}
    assert not unused, unused


@given("all upstreams have stopped listening")
def all_stopped(context: Any) -> None:
    """Let every connection to an upstream fail."""
    world = world_of(context)
    for upstream in (*world.plain, *world.engines):
        upstream.stop()


@then('the budget of "{service}" has counted {requests:d} request')
def counted(context: Any, service: str, requests: int) -> None:
    """Check the requests that the budget rests on."""
    state = world_of(context).state
    count = state.retries.of(service).count(state.now())
    assert count.requests == requests, count


@given('the first upstream of "{request_id}" turns it away, and all others stop listening by then')
def others_stop(context: Any, request_id: str) -> None:
    """Stop all upstreams but the first one as it rejects the request."""
    world = world_of(context)
    upstreams = (*world.plain, *world.engines)

    def reject(upstream: RoutedUpstream, original: Callable[..., None]) -> Callable[..., None]:
        """Return a rejection that stops the other upstreams first."""

        def stop_others(*arguments: Any) -> None:
            for other in upstreams:
                if other is not upstream:
                    other.stop()
            original(*arguments)

        return stop_others

    for upstream in upstreams:
        upstream.rejected_share = 1.0
        upstream._reject = reject(upstream, upstream._reject)  # type: ignore[method-assign]


@then('the budget of "{service}" has counted no retry and has its whole share left')
def nothing_used(context: Any, service: str) -> None:
    """Check that all reservations were released."""
    state = world_of(context).state
    budget, now = state.retries.of(service), state.now()
    assert budget.count(now).repeats == 0, budget.count(now)
    assert abs(budget.available(now) - budget.share(now)) < 1e-6, budget.available(now)


@given("a retry budget of 4 retries for one instance")
def small_budget(context: Any) -> None:
    """Create a budget that does not depend on requests: 0.9 of it may be used."""
    bounds = Bounds(retry_ratio=0.0, retry_extra=4 / 0.9, retry_window_s=10.0)
    context.budget = SharedRetryBudget("s", bounds, InstanceCount())


@when("a retry is reserved at 100 s and sent at 103 s")
def reserve_and_send(context: Any) -> None:
    """Reserve two retries, and send one of them."""
    context.left = {}
    first = context.budget.try_reserve(100.0)
    second = context.budget.try_reserve(100.0)
    context.left[100.0] = context.budget.available(100.0)
    context.budget.confirm(first, 103.0)
    context.left[112.9] = context.budget.available(112.9)
    context.left[113.1] = context.budget.available(113.1)
    assert second is not None


@then("2 retries are left from 100 s to 112.9 s, and 3 at 113.1 s")
def left_by_time(context: Any) -> None:
    """Check that the sent retry counts for the window after it was sent, and the other still."""
    rounded = {at: round(left, 6) for at, left in context.left.items()}
    assert rounded == {100.0: 2.0, 112.9: 2.0, 113.1: 3.0}, rounded
