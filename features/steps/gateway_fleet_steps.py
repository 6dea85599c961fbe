"""Check what the gateway knows of its upstreams."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from driftstall.decisions.store_versions import StoreVersion
from driftstall.gateway.fleet import FleetController
from driftstall.gateway.fleet_events import (
    Changed,
    FleetAction,
    Listed,
    Period,
    PlatformReachable,
    PlatformUnreachable,
    UpstreamLeaving,
)
from driftstall.gateway.model import (
    UpstreamState,
)
from features.worlds.upstream_samples import upstream_of

NOTICE_AT = 1.0
DRAIN_S = 2.0


def apply_event(context: Any, event: Any, at: float) -> None:
    """Hand the fleet an event and keep what it tells."""
    context.told += context.fleet.handle(event, at)


@given("a fleet of 3 upstreams")
def fleet_of_three(context: Any) -> None:
    """Start a fleet."""
    context.fleet = FleetController()
    context.told = []
    apply_event(context, Listed(tuple(upstream_of(f"u{index}") for index in (1, 2, 3))), 0.0)


@when('upstream "{name}" gives notice twice')
def notice_twice(context: Any, name: str) -> None:
    """Tell of a notice twice."""
    for revision in (5, 6):
        leaving = upstream_of(name, revision, UpstreamState.LEAVING)
        apply_event(context, Changed(leaving, False), 1.0)


@when('upstream "{name}" gives notice, and {seconds:g} s later its entry is removed, twice')
def notice_then_removal(context: Any, name: str, seconds: float) -> None:
    """Tell of a notice, then of the removal by the platform and by a peer."""
    apply_event(context, Changed(upstream_of(name, 5, UpstreamState.LEAVING), False), NOTICE_AT)
    for revision in (6, 7):
        gone = Changed(upstream_of(name, revision, UpstreamState.LEAVING), True)
        apply_event(context, gone, NOTICE_AT + seconds)


@then('{seconds:g} s after the notice "{name}" may be sent what has run there')
def still_serves(context: Any, seconds: float, name: str) -> None:
    """Ask within the time to drain."""
    assert context.fleet.can_still_serve(name, NOTICE_AT + seconds, DRAIN_S)


@then('{seconds:g} s after the notice "{name}" may be sent nothing')
def serves_no_more(context: Any, seconds: float, name: str) -> None:
    """Ask after the time to drain."""
    assert not context.fleet.can_still_serve(name, NOTICE_AT + seconds, DRAIN_S)


@when('the entry of "{name}" is removed')
def entry_removed(context: Any, name: str) -> None:
    """Remove an entry."""
    apply_event(context, Changed(upstream_of(name, 5), True), 1.0)


@when('old news say that "{name}" is ready')
def old_news(context: Any, name: str) -> None:
    """Tell what was true before."""
    apply_event(context, Changed(upstream_of(name, 4), False), 1.1)


@then('it is told once that "{name}" is leaving')
def told_once(context: Any, name: str) -> None:
    """Count the notices."""
    leaving: list[FleetAction] = [one for one in context.told if isinstance(one, UpstreamLeaving)]
    assert [one.upstream.upstream_id for one in leaving] == [name], leaving


@then('"{name}" takes no requests')
def takes_none(context: Any, name: str) -> None:
    """Look at the fleet."""
    assert not context.fleet.accepts_requests(name)
    assert name not in {one.upstream_id for one in context.fleet.ready("engines")}


@then('"{name}" takes requests')
def takes_some(context: Any, name: str) -> None:
    """Look at the fleet."""
    assert context.fleet.accepts_requests(name)


@when('the platform was away and lists only "{first}" and "{second}" on its return')
def lists_less(context: Any, first: str, second: str) -> None:
    """Let an outage end."""
    apply_event(context, PlatformUnreachable(), 1.0)
    apply_event(context, PlatformReachable(), 6.0)
    apply_event(context, Listed((upstream_of(first), upstream_of(second)), StoreVersion(9)), 6.0)
    context.back_at = 6.0


@when('the platform is away and a peer tells that "{name}" is gone')
def peer_tells(context: Any, name: str) -> None:
    """Let a peer pass a removal on during an outage."""
    apply_event(context, PlatformUnreachable(), 1.0)
    apply_event(context, Changed(upstream_of(name, 5), True, from_peer=True), 1.5)


@when('the entry of "{name}" is back after {seconds:g} s')
def entry_back(context: Any, name: str, seconds: float) -> None:
    """List the entry again."""
    apply_event(context, Changed(upstream_of(name, 9), False), context.back_at + seconds)


@when('the entry of "{name}" is removed {seconds:g} s after the return')
def removed_late(context: Any, name: str, seconds: float) -> None:
    """Remove an entry once the platform is back."""
    apply_event(context, Changed(upstream_of(name, 5), True), context.back_at + seconds)


@then('after {seconds:g} s without its entry "{name}" takes no requests')
def missed(context: Any, seconds: float, name: str) -> None:
    """Let the grace time pass."""
    apply_event(context, Period(), context.back_at + seconds)
    takes_none(context, name)


@then('after {seconds:g} s "{name}" takes requests')
def not_missed(context: Any, seconds: float, name: str) -> None:
    """Let the grace time pass."""
    apply_event(context, Period(), context.back_at + seconds)
    takes_some(context, name)
