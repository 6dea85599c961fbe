"""Listener of the updates of upstreams by the platform and by peers, which changes the fleet."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Final, Protocol

import gevent

from driftstall.const import PREFIX_ROUTING
from driftstall.decisions.store_versions import StoreVersion
from driftstall.gateway.cordons import CordonsChanged
from driftstall.gateway.feeds import ItemChange
from driftstall.gateway.fleet import LAPSE_GRACE_S
from driftstall.gateway.fleet_events import (
    CordonedZonesChanged,
    FleetAction,
    FleetEvent,
    PlatformReachable,
    PlatformUnreachable,
    SignalledLeaving,
    StoreRestored,
    TimerFired,
    UpstreamChanged,
    UpstreamCold,
    UpstreamJoined,
    UpstreamLeaving,
    UpstreamMissing,
    UpstreamReplaced,
    UpstreamsListed,
    UpstreamsListedByPeer,
    UpstreamSuspected,
)
from driftstall.gateway.model import Upstream
from driftstall.gateway.sources import PEER, PLATFORM
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event

UPSTREAM: Final = "upstream"
"""Source of a leaving upstream, as logged, if it has stated that itself."""
TIMER_MARGIN_S: Final = 0.01
"""A timer of the event loop may fire early by the age of the loop's cached time."""


class PublishAction(Protocol):
    """Publishes to peers that an upstream joined or leaves."""

    def __call__(self, action: FleetAction, *, from_peer: bool) -> None:
        """Publish an action; from_peer is set if a peer reported it."""


class UpstreamSource:
    """Feeds platform and peer updates to the fleet controller, and performs its actions."""

    def __init__(
        self,
        state: GatewayState,
        *,
        on_leaving: Callable[[Upstream], None],
        publish_change: Callable[[ItemChange[Upstream]], None],
        publish_action: PublishAction,
        announce: Callable[[], None],
        store_silence_s: Callable[[], float],
    ) -> None:
        """Initialize with the shared state and the callbacks.

        The callable on_leaving evacuates a leaving upstream; announce schedules a report to peers;
        store_silence_s returns how long the platform had not answered before its last answer.
        """
        self._state = state
        self._on_leaving = on_leaving
        self._publish_change = publish_change
        self._publish_action = publish_action
        self._announce = announce
        self._store_silence_s = store_silence_s

    def handle_list(self, items: tuple[Upstream, ...], at: StoreVersion) -> None:
        """Handle the whole list, as of a version."""
        self._apply(UpstreamsListed(items, at, self._store_silence_s()))
        self._state.notify_if_configured()
        known = {upstream.upstream_id for upstream in self._state.fleet.upstreams}
        self._state.outcomes.keep_only(known)
        self._state.upstream_loads.keep_only(known)
        self._state.cold_gate.keep_only(known)
        self._state.brittle.keep_only(known)
        self._state.connector.reachability.keep_only(known)

    def handle_change(self, change: ItemChange[Upstream]) -> None:
        """Handle one change read from the platform."""
        self._apply(
            UpstreamChanged(change.item, change.removed, store_silence_s=self._store_silence_s())
        )
        if change.removed and self._state.fleet.is_awaited(change.item.name):
            # Peers take a removal as certain, and this entry may only have lapsed. If it stays
            # missing, that the upstream leaves is published at the end of the wait.
            return
        self._publish_change(change)

    def handle_peer_change(self, change: ItemChange[Upstream]) -> None:
        """Handle one change sent by a peer."""
        self._apply(UpstreamChanged(change.item, change.removed, from_peer=True), from_peer=True)

    def handle_peer_list(self, items: tuple[Upstream, ...], at: StoreVersion) -> None:
        """Handle a peer's list of all upstreams that accept requests, as of a version."""
        self._apply(UpstreamsListedByPeer(items, at), from_peer=True)
        self._state.notify_if_configured()

    def handle_suspected(self, upstream_id: str) -> None:
        """Handle an upstream that a probe found to be leaving or terminated."""
        self._apply(UpstreamSuspected(upstream_id))

    def handle_leaving_signal(self, upstream_id: str, ago_s: float = 0.0) -> bool:
        """Handle an upstream's signal that it is leaving; return True if the signal was new.

        The age of the response, ago_s, is in seconds; it is set if a peer received the response.
        """
        fleet = self._state.fleet
        if fleet.has_signalled_leaving(upstream_id):
            return False
        self._apply(SignalledLeaving(upstream_id, ago_s))
        return fleet.has_signalled_leaving(upstream_id)

    def handle_cordons_changed(self, changed: CordonsChanged) -> None:
        """Apply a change of the cordoned zones to the fleet."""
        self._apply(CordonedZonesChanged(self._state.cordons.zones, changed.lifted))

    def handle_platform_unreachable(self, cause: str) -> None:
        """Log that the platform doesn't answer, and notify the fleet and the peers."""
        log_event(PREFIX_ROUTING, f"The platform's list of upstreams is unreachable: {cause}")
        self._apply(PlatformUnreachable())
        self._announce()

    def handle_platform_reachable(self) -> None:
        """Log that the platform answers again, and notify the fleet and the peers."""
        log_event(
            PREFIX_ROUTING,
            "The platform's list of upstreams is reachable again",
            platform_silence_ms=int(self._store_silence_s() * 1000),
        )
        self._apply(PlatformReachable())
        self._announce()
        # Entries that stay missing count as removed at once then, not at the next periodic check.
        gevent.spawn_later(LAPSE_GRACE_S + TIMER_MARGIN_S, self.handle_timer)

    def handle_store_restored(self) -> None:
        """Handle that the store was restored from an older copy."""
        self._apply(StoreRestored())
        self._announce()

    def handle_timer(self) -> None:
        """Handle the periodic timer: expire entries and back-offs."""
        self._apply(TimerFired())
        self._state.cold.forget_ended(self._state.now())
        self._state.backoff.forget_ended(self._state.now())
        self._state.exchanges.forget_ended()

    def _apply(self, event: FleetEvent, *, from_peer: bool = False) -> None:
        """Pass an event to the fleet, then publish and perform the resulting actions."""
        actions = self._state.fleet.handle(event, self._state.now())
        for action in actions:
            self._publish_action(action, from_peer=from_peer)
            self._perform(action, from_peer=from_peer)
        if actions:
            self._state.fleet_changed.set()
            self._state.fleet_changed.clear()

    @singledispatchmethod
    def _perform(self, action: FleetAction, *, from_peer: bool) -> None:
        """Log one action and perform it on this instance."""
        raise TypeError(f"no handler for {type(action).__name__}")

    @_perform.register
    def _(self, action: UpstreamLeaving, *, from_peer: bool) -> None:
        upstream = action.upstream
        log_event(
            PREFIX_ROUTING,
            f"Upstream {upstream.upstream_id} takes no more requests",
            source=_source_of(action, from_peer=from_peer),
            # The notice may be that old; requests were sent to the upstream meanwhile.
            platform_silence_ms=int(self._store_silence_s() * 1000),
            missing_ms=int(action.missing_s * 1000),
            revision=upstream.revision,
        )
        self._on_leaving(upstream)

    @_perform.register
    def _(self, action: UpstreamMissing, *, from_peer: bool) -> None:
        upstream = action.upstream
        log_event(
            PREFIX_ROUTING,
            f"The entry of upstream {upstream.upstream_id} is missing after an outage, and awaited",
            service=upstream.service,
            platform_silence_ms=int(self._store_silence_s() * 1000),
            revision=upstream.revision,
        )

    @_perform.register
    def _(self, action: UpstreamJoined, *, from_peer: bool) -> None:
        upstream = action.upstream
        log_event(
            PREFIX_ROUTING,
            f"Upstream {upstream.upstream_id} takes requests",
            service=upstream.service,
            address=upstream.address,
            zone=upstream.zone,
            revision=upstream.revision,
        )

    @_perform.register
    def _(self, action: UpstreamReplaced, *, from_peer: bool) -> None:
        # Open exchanges will get no response; their requests may have run until the restart.
        upstream = action.upstream
        given_up = self._state.exchanges.close_all(upstream.upstream_id)
        log_event(
            PREFIX_ROUTING,
            f"Upstream {upstream.upstream_id} has restarted",
            source=PEER if from_peer else PLATFORM,
            given_up=given_up,
            revision=upstream.revision,
        )

    @_perform.register
    def _(self, action: UpstreamCold, *, from_peer: bool) -> None:
        upstream, now = action.upstream, self._state.now()
        if action.is_assumed:
            self._state.cold.assume(upstream.upstream_id, action.for_s, now)
        else:
            self._state.cold.record_cold(upstream.upstream_id, action.for_s, now)
        log_event(
            PREFIX_ROUTING,
            f"Upstream {upstream.upstream_id} is cold for {action.for_s:.1f} s",
            assumed=action.is_assumed,
            source=PEER if from_peer else PLATFORM,
            rate=self._state.cold_rate(upstream.service),
            revision=upstream.revision,
        )


def _source_of(action: UpstreamLeaving, *, from_peer: bool) -> str:
    """Return the source that reported an upstream as leaving."""
    if action.is_suspected or action.has_signalled:
        return UPSTREAM
    return PEER if from_peer else PLATFORM
