"""Check the gateway's registry of upstreams against reordered and repeated updates."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from driftstall.decisions.store_versions import StoreVersion
from driftstall.gateway.fleet import FleetController
from driftstall.gateway.fleet_events import (
    FleetAction,
    PlatformReachable,
    PlatformUnreachable,
    TimerFired,
    UpstreamChanged,
    UpstreamLeaving,
    UpstreamsListed,
)
from driftstall.gateway.model import (
    UpstreamState,
)
from features.worlds.upstream_samples import upstream_of

NOTICE_AT = 1.0
DRAIN_S = 2.0


def apply_event(context: Any, event: Any, at: float) -> None:
    """Apply an event to the fleet and collect its actions."""
    context.actions += context.fleet.handle(event, at)


@given("a fleet of 3 upstreams")
def fleet_of_three(context: Any) -> None:
    """Create a fleet and list three upstreams."""
    context.fleet = FleetController()
    context.actions = []
    apply_event(
        context, UpstreamsListed(tuple(upstream_of(f"u{index}") for index in (1, 2, 3))), 0.0
    )


@when('upstream "{name}" gives notice twice')
def notice_twice(context: Any, name: str) -> None:
    """Apply a notice of leaving twice."""
    for revision in (5, 6):
        leaving = upstream_of(name, revision, UpstreamState.LEAVING)
        apply_event(context, UpstreamChanged(leaving, False), 1.0)


@when('upstream "{name}" gives notice, and {seconds:g} s later its entry is removed, twice')
def notice_then_removal(context: Any, name: str, seconds: float) -> None:
    """Apply a notice of leaving, then the removal twice."""
    apply_event(
        context, UpstreamChanged(upstream_of(name, 5, UpstreamState.LEAVING), False), NOTICE_AT
    )
    for revision in (6, 7):
        removal = UpstreamChanged(upstream_of(name, revision, UpstreamState.LEAVING), True)
        apply_event(context, removal, NOTICE_AT + seconds)


@then('{seconds:g} s after the notice "{name}" may be sent what has run there')
def still_serves(context: Any, seconds: float, name: str) -> None:
    """Check that the upstream still serves within its drain time."""
    assert context.fleet.can_still_serve(name, NOTICE_AT + seconds, DRAIN_S)


@then('{seconds:g} s after the notice "{name}" may be sent nothing')
def serves_no_more(context: Any, seconds: float, name: str) -> None:
    """Check that the upstream serves nothing after its drain time."""
    assert not context.fleet.can_still_serve(name, NOTICE_AT + seconds, DRAIN_S)


@when('the entry of "{name}" is removed')
def entry_removed(context: Any, name: str) -> None:
    """Apply the removal of an entry."""
    apply_event(context, UpstreamChanged(upstream_of(name, 5), True), 1.0)


@when('old news say that "{name}" is ready')
def stale_update(context: Any, name: str) -> None:
    """Apply a stale update."""
    apply_event(context, UpstreamChanged(upstream_of(name, 4), False), 1.1)


@then('it is told once that "{name}" is leaving')
def reported_once(context: Any, name: str) -> None:
    """Check that one leaving action was returned for the upstream."""
    leaving: list[FleetAction] = [
        action for action in context.actions if isinstance(action, UpstreamLeaving)
    ]
    assert [action.upstream.upstream_id for action in leaving] == [name], leaving


@then('"{name}" takes no requests')
def takes_none(context: Any, name: str) -> None:
    """Check that the upstream is excluded from selection."""
    assert not context.fleet.accepts_requests(name)
    assert name not in {upstream.upstream_id for upstream in context.fleet.ready("engines")}


@then('"{name}" takes requests')
def takes_some(context: Any, name: str) -> None:
    """Check that the upstream accepts requests."""
    assert context.fleet.accepts_requests(name)


@when('the platform was away and lists only "{first}" and "{second}" on its return')
def lists_less(context: Any, first: str, second: str) -> None:
    """End an outage of the platform with an incomplete list."""
    apply_event(context, PlatformUnreachable(), 1.0)
    apply_event(context, PlatformReachable(), 6.0)
    apply_event(
        context, UpstreamsListed((upstream_of(first), upstream_of(second)), StoreVersion(9)), 6.0
    )
    context.back_at = 6.0


@when('the platform is away and a peer tells that "{name}" is gone')
def peer_tells(context: Any, name: str) -> None:
    """Apply a removal from a peer during an outage of the platform."""
    apply_event(context, PlatformUnreachable(), 1.0)
    apply_event(context, UpstreamChanged(upstream_of(name, 5), True, from_peer=True), 1.5)


@when('the entry of "{name}" is back after {seconds:g} s')
def entry_back(context: Any, name: str, seconds: float) -> None:
    """Apply an update that restores the entry."""
    apply_event(context, UpstreamChanged(upstream_of(name, 9), False), context.back_at + seconds)


@when('the entry of "{name}" is removed {seconds:g} s after the return')
def removed_late(context: Any, name: str, seconds: float) -> None:
    """Apply a removal after the platform is reachable again."""
    apply_event(context, UpstreamChanged(upstream_of(name, 5), True), context.back_at + seconds)


@then('after {seconds:g} s without its entry "{name}" takes no requests')
def missed(context: Any, seconds: float, name: str) -> None:
    """Check that the entry counts as removed after the grace time."""
    apply_event(context, TimerFired(), context.back_at + seconds)
    takes_none(context, name)


@then('after {seconds:g} s "{name}" takes requests')
def not_missed(context: Any, seconds: float, name: str) -> None:
    """Check that the entry still counts within the grace time."""
    apply_event(context, TimerFired(), context.back_at + seconds)
    takes_some(context, name)
