"""Test upstreams whose entries are missing once the platform answers again."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from driftstall.decisions.store_versions import StoreVersion
from driftstall.gateway.fleet_events import (
    FleetEvent,
    PlatformReachable,
    PlatformUnreachable,
    StoreRestored,
    UpstreamChanged,
    UpstreamsListed,
)
from features.worlds.gateway_world import GatewayWorld, world_of


def apply_event(world: GatewayWorld, event: FleetEvent) -> None:
    """Apply an event to the fleet now."""
    world.state.fleet.handle(event, world.state.now())


@given("the platform was away, and on its return {missing:d} of 3 engines is missing")
@given("the platform was away, and on its return {missing:d} of 3 engines are missing")
def return_without(context: Any, missing: int) -> None:
    """End an outage with a list that lacks some engines."""
    world = world_of(context)
    context.missing = world.engines[:missing]
    listed = (*world.plain, *world.engines[missing:])
    entries = tuple(world.entry(upstream) for upstream in listed)
    apply_event(world, PlatformUnreachable())
    apply_event(world, PlatformReachable())
    apply_event(world, UpstreamsListed(entries, StoreVersion(world.revision)))


@when("its entry is written again")
def written_again(context: Any) -> None:
    """Apply the entry of the engine that was missing."""
    world = world_of(context)
    apply_event(world, UpstreamChanged(world.entry(context.missing[0]), False))


@when("the store turns out to be restored from an older copy")
def restored(context: Any) -> None:
    """Apply the restore."""
    apply_event(world_of(context), StoreRestored())


@when("{count:d} streams are asked for")
def ask_streams(context: Any, count: int) -> None:
    """Ask for streams one after the other."""
    world = world_of(context)
    context.answers = [world.ask("/stream/a", f"s{number}") for number in range(count)]


@then("all of them are served, and none by an engine that is missing")
def served_by_others(context: Any) -> None:
    """Check the answers, and the requests that the missing engine received."""
    assert all(answer.status == 200 and answer.whole for answer in context.answers)
    assert not [engine.seen for engine in context.missing if engine.seen]


@then("all 3 engines may be chosen")
def all_chosen(context: Any) -> None:
    """Check the options of a request."""
    world = world_of(context)
    options = {option.upstream.upstream_id for option in world.state.options("engines")}
    assert options == {engine.upstream_id for engine in world.engines}, options


@then("it may be chosen by a request that avoids the others")
def chosen_last(context: Any) -> None:
    """Check the options of a request that has tried the listed engines."""
    world = world_of(context)
    avoid = frozenset(engine.upstream_id for engine in world.engines[1:])
    (option,) = world.state.options("engines", avoid)
    assert option.upstream.upstream_id == context.missing[0].upstream_id
