"""Test upstreams whose entries are missing once the platform answers again."""

from __future__ import annotations

import time
from typing import Any

import gevent
from behave import given, then, when

from driftstall.decisions.store_versions import StoreVersion
from driftstall.gateway.feeds import ItemChange
from driftstall.gateway.fleet_events import (
    FleetEvent,
    PlatformReachable,
    PlatformUnreachable,
    StoreRestored,
    TimerFired,
    UpstreamChanged,
    UpstreamLeaving,
    UpstreamMissing,
    UpstreamsListed,
)
from features.steps.known_upstream_steps import LISTED_AT
from features.worlds.gateway_world import GatewayWorld, world_of
from features.worlds.upstream_samples import upstream_of


def apply_event(world: GatewayWorld, event: FleetEvent) -> None:
    """Apply an event to the fleet now."""
    world.state.fleet.handle(event, world.state.now())


@given("the platform was away, and on its return {missing:d} of 3 engines is missing")
@given("the platform was away, and on its return {missing:d} of 3 engines are missing")
def return_without(context: Any, missing: int) -> None:
    """End an outage with a list that lacks some engines."""
    return_after(context, 0.0, missing)


@given(
    "the platform was away for {seconds:g} s, and on its return {missing:d} of 3 engines is missing"
)
def return_after(context: Any, seconds: float, missing: int) -> None:
    """End an outage that lasted some seconds with a list that lacks some engines."""
    world = world_of(context)
    context.missing = world.engines[:missing]
    listed = (*world.plain, *world.engines[missing:])
    entries = tuple(world.entry(upstream) for upstream in listed)
    apply_event(world, PlatformUnreachable())
    apply_event(world, PlatformReachable())
    listing = UpstreamsListed(entries, StoreVersion(world.revision), seconds)
    apply_event(world, listing)


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


@when("its entry stays missing for {seconds:g} s")
@when("their entries stay missing for {seconds:g} s")
def stays_missing(context: Any, seconds: float) -> None:
    """Let time pass, and check for timeouts."""
    world = world_of(context)
    context.now = world.state.now() + seconds
    world.state.fleet.handle(TimerFired(), context.now)


@then("a stream may not be resumed there")
def not_resumed(context: Any) -> None:
    """Check that the missing engine is sent nothing, not even for the replicas that it holds."""
    world = world_of(context)
    drain_s = world.state.settings.bounds.drain_s
    upstream_id = context.missing[0].upstream_id
    assert not world.state.fleet.can_still_serve(upstream_id, context.now, drain_s)


@when('the platform fails, and its list lacks "u1" on its return')
def list_lacks(context: Any) -> None:
    """End an outage with a list that lacks one upstream."""
    context.source.handle_platform_unreachable("no answer")
    context.source.handle_platform_reachable()
    context.returned_at = time.monotonic()
    context.source.handle_list((upstream_of("u2", 5),), StoreVersion(LISTED_AT + 1))


@then('{least:g} to {most:g} s after the return "u1" takes no requests, without a periodic check')
def removed_in_time(context: Any, least: float, most: float) -> None:
    """Wait until the upstream is excluded."""
    with gevent.Timeout(2 * most):
        while context.fleet.accepts_requests("u1"):
            gevent.sleep(0.01)
    took_s = time.monotonic() - context.returned_at
    assert least <= took_s <= most, took_s


@when('the platform fails, and tells on its return that the entry of "u1" is gone')
def tells_gone(context: Any) -> None:
    """End an outage with a change that removes an entry."""
    context.source.handle_platform_unreachable("no answer")
    context.source.handle_platform_reachable()
    context.returned_at = time.monotonic()
    context.published.clear()
    context.source.handle_change(ItemChange(upstream_of("u1", 6), True))


@then('no peer is told that "u1" is gone')
def not_told(context: Any) -> None:
    """Check that no change and no action for peers tells of the removal."""
    (action,) = context.published
    assert isinstance(action, UpstreamMissing), action


@then('the peers are told that "u1" leaves')
def told(context: Any) -> None:
    """Check that the action for peers names the upstream."""
    action = context.published[-1]
    assert isinstance(action, UpstreamLeaving) and action.upstream.name == "u1", action
