"""Test that an upstream's own leaving signal takes precedence over all other updates."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, Final

from behave import given, then, when

from driftstall.decisions.store_versions import StoreVersion
from driftstall.gateway.fleet_events import (
    FleetEvent,
    SignalledLeaving,
    StoreRestored,
    TimerFired,
    UpstreamChanged,
    UpstreamsListed,
    UpstreamsListedByPeer,
    UpstreamSuspected,
)
from driftstall.gateway.model import UpstreamState
from features.steps.gateway_fleet_steps import DRAIN_S, apply_event
from features.worlds.gateway_world import world_of
from features.worlds.upstream_samples import upstream_of
from stand_ins.routed import Script

NAMES: Final = ("u1", "u2", "u3")
LATER_START: Final = replace(upstream_of("u1", 30), born=30)


def listed(revision: int) -> UpstreamsListed:
    """Return a list event with all upstreams ready at that revision."""
    entries = tuple(upstream_of(name, revision) for name in NAMES)
    return UpstreamsListed(entries, StoreVersion(revision))


def events_of(news: str) -> list[FleetEvent]:
    """Return the fleet events that a step names."""
    events: dict[str, list[FleetEvent]] = {
        "a newer entry that is ready": [UpstreamChanged(upstream_of("u1", 20), False)],
        "the same list again": [listed(1)],
        "a newer list": [listed(20)],
        "a peer's list": [UpstreamsListedByPeer(listed(20).upstreams, StoreVersion(20))],
        "a peer's entry": [UpstreamChanged(upstream_of("u1", 20), False, from_peer=True)],
        "a list after the store's return": [StoreRestored(), listed(20)],
        "its entry that is leaving": [
            UpstreamChanged(upstream_of("u1", 20, UpstreamState.LEAVING), False),
        ],
        "its entry's removal": [UpstreamChanged(upstream_of("u1", 20), True)],
        'an entry of "u9"': [UpstreamChanged(upstream_of("u9", 20), False)],
    }
    return events[news]


@given('"{name}" has signalled at {at:g} s that it leaves')
def has_signalled(context: Any, name: str, at: float) -> None:
    """Apply the signal and keep the fleet's digest."""
    apply_event(context, SignalledLeaving(name), at)
    context.digest = context.fleet.digest


@when("the fleet takes in {news} at {at:g} s")
def takes_in(context: Any, news: str, at: float) -> None:
    """Apply the events and a periodic check."""
    for event in events_of(news):
        apply_event(context, event, at)
    apply_event(context, TimerFired(), at)


@when('a probe finds "{name}" leaving at {at:g} s')
def probe_finds(context: Any, name: str, at: float) -> None:
    """Apply the result of a probe."""
    apply_event(context, UpstreamSuspected(name), at)


@when("time passes until {at:g} s")
def time_passes(context: Any, at: float) -> None:
    """Apply periodic checks up to that time."""
    for step in range(1, 5):
        apply_event(context, TimerFired(), at - 4 + step)


@when('a later start of "u1" is listed at {at:g} s')
def later_start(context: Any, at: float) -> None:
    """Apply an entry of a later start of the same name."""
    apply_event(context, UpstreamChanged(LATER_START, False), at)


@when('a peer tells at {at:g} s of the signal of "{name}", {ago:g} s old')
def peer_tells(context: Any, at: float, name: str, ago: float) -> None:
    """Apply a peer's report of an old signal."""
    apply_event(context, SignalledLeaving(name, ago), at)


@then('"{name}" may be sent what has run there at {before:g} s, and nothing at {after:g} s')
def serves_until(context: Any, name: str, before: float, after: float) -> None:
    """Check both sides of the end of the drain time."""
    assert context.fleet.can_still_serve(name, before, DRAIN_S)
    assert not context.fleet.can_still_serve(name, after, DRAIN_S)


@then('"{name}" may be sent nothing at {at:g} s')
def serves_nothing(context: Any, name: str, at: float) -> None:
    """Check that nothing may be sent after the drain time."""
    assert not context.fleet.can_still_serve(name, at, DRAIN_S)


@then("the later start takes requests")
def later_takes(context: Any) -> None:
    """Check that the later start accepts requests."""
    assert context.fleet.accepts_requests(LATER_START.upstream_id)


@then('the end of "{name}" counts as announced, that of "{other}" does not')
def announced(context: Any, name: str, other: str) -> None:
    """Check which departure counts as announced."""
    assert context.fleet.is_departure_announced(name)
    assert not context.fleet.is_departure_announced(other)


@then("no signal is known")
def none_known(context: Any) -> None:
    """Check the records that are published to peers."""
    assert context.fleet.leaving_records(140.0) == (), context.fleet.leaving_records(140.0)


@then("the hash of the listed upstreams is another one than before")
def hash_changed(context: Any) -> None:
    """Check that the digest has changed."""
    assert context.fleet.digest != context.digest


@given("one plain upstream has signalled that it leaves, and the other one answers 500")
def one_leaves_one_fails(context: Any) -> None:
    """Signal that the first plain upstream leaves, and let the second fail once."""
    world = world_of(context)
    leaving, failing = world.plain
    world.handle_leaving_signal(leaving.upstream_id)
    failing.scripts["r1"] = [Script(status=500, body=b"failed")]
