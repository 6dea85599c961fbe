"""Check the shared retry budget in simulated fleets."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from features.worlds.gateway_world import world_of
from features.worlds.retry_budget_world import Disturbance, FleetSize, RetryBudgetWorld

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
