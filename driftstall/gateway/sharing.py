"""Distribute data from the platform among the instances.

In a small fleet each instance watches the platform, and peers only forward changes to those
that can't reach it. In a large fleet the collectors publish each new routing document and each
change of the upstreams that accept requests. As anti-entropy, a collector's summaries carry a
hash of these upstreams; an instance whose hash differs requests the full list.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Final

import gevent

from driftstall.const import PREFIX_CONFIGURATION, PREFIX_ROUTING
from driftstall.core import Instance
from driftstall.decisions.leaving_signals import LeavingRecord
from driftstall.decisions.store_versions import StoreVersion
from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.cordons import Cordons
from driftstall.gateway.feeds import ItemChange
from driftstall.gateway.fleet_events import (
    FleetAction,
    UpstreamCold,
    UpstreamLeaving,
    UpstreamMissing,
    UpstreamReplaced,
)
from driftstall.gateway.model import Upstream, UpstreamState
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event
from driftstall.peers.gateway_messages import (
    FleetAsked,
    FleetOffered,
    FleetSummary,
    GatewayMessage,
    RoutingAsked,
    RoutingOffered,
    UpstreamDoubted,
    UpstreamNews,
    ZoneSummary,
)

DataMessage = (
    RoutingAsked | RoutingOffered | FleetAsked | FleetOffered | UpstreamNews | UpstreamDoubted
)
"""Messages that request or forward data from the platform."""
RECENT_S: Final = 6.0
"""How long changes are kept to be sent again.

A peer notices within about four seconds that it is cut off from the platform.
"""
ROUTING_REQUEST_DELAY_S: Final = 0.25
"""Delay before a newer routing document is requested from a peer.

If the platform's watch or a collector works, it delivers the document sooner.
"""
MISMATCHES_BEFORE_REQUEST: Final = 2
"""Consecutive summaries with another hash before the full list is requested.

A single mismatch is expected, as updates overtake summaries.
"""


@dataclass(frozen=True, slots=True)
class RoutingNotice:
    """Hold the routing version that a peer reports."""

    peer: str
    version: int


@dataclass(frozen=True, slots=True)
class PeerUpdateHandlers:
    """Hold the functions that read shared data here and apply updates from peers."""

    read_routing: Callable[[], tuple[int, str]]
    """Returns the routing version in force and its text."""
    apply_routing: Callable[[str], None]
    apply_upstream_change: Callable[[ItemChange[Upstream]], None]
    mark_suspected: Callable[[str], None]
    apply_fleet: Callable[[tuple[Upstream, ...], StoreVersion], None]
    """Applies a full list of the upstreams that accept requests, as of a store revision."""
    apply_cordons: Callable[[Cordons], None]
    record_leaving: Callable[[LeavingRecord], bool]
    """Records that an upstream has signalled that it is leaving; returns whether that is new."""


class PlatformDataSharing:
    """Exchange routing documents, upstreams and cordons with peers."""

    def __init__(
        self,
        state: GatewayState,
        handlers: PeerUpdateHandlers,
        *,
        roles: Callable[[], FleetRoles],
        live: Callable[[], tuple[Instance, ...]],
        send: Callable[[str, GatewayMessage], None],
        broadcast: Callable[[Iterable[Instance], GatewayMessage], None],
        follows_for_others: Callable[[], bool] = lambda: False,
    ) -> None:
        """Initialize with the shared state, the update handlers, the fleet and the senders.

        The callable follows_for_others returns whether this instance follows the platform in
        place of a follower whose calls fail.
        """
        self._state = state
        self._handlers = handlers
        self._roles = roles
        self._live = live
        self._send = send
        self._broadcast = broadcast
        self._follows_for_others = follows_for_others
        self._own_id = state.settings.instance_id
        self._requested_at: dict[str, float] = {}
        self._recent_changes: list[tuple[float, ItemChange[Upstream]]] = []
        """Changes that a peer may have missed before it noticed that it is cut off."""
        self._decoding_version = 0
        """The routing version being decoded; several collectors may offer the same one."""
        self._mismatches = 0
        """Consecutive summaries whose hash of upstreams differs from the local one."""

    # Outgoing updates

    def publish_change(self, change: ItemChange[Upstream], peers: Iterable[str]) -> None:
        """Send a change from the platform to peers that can't reach it.

        In a large fleet nothing is sent: there collectors publish changes.
        """
        if self._roles().is_large:
            return
        now = self._state.now()
        self._recent_changes = [
            (at, recent) for at, recent in self._recent_changes if now - at <= RECENT_S
        ]
        self._recent_changes.append((now, change))
        for peer in peers:
            self._send(peer, UpstreamNews(self._own_id, change.item, change.removed))

    def resend_changes(self, peer: str) -> None:
        """Send recent changes to a peer that can no longer reach the platform and may miss them."""
        for _, change in self._recent_changes:
            self._send(peer, UpstreamNews(self._own_id, change.item, change.removed))

    def publish_action(self, action: FleetAction, *, from_peer: bool) -> None:
        """Publish that an upstream joined or leaves.

        In a large fleet a collector publishes to its zone, and to other zones' collectors if the
        change came from the platform. In a small fleet each instance publishes each leaving
        upstream once to all: a peer whose connection to the platform has gone silent does not
        notice it for some seconds.
        """
        roles = self._roles()
        is_leaving = isinstance(action, UpstreamLeaving)
        if isinstance(action, UpstreamLeaving) and (action.is_suspected or action.has_signalled):
            # The platform has not reported this: the instance that the upstream told publishes it.
            return
        if isinstance(action, UpstreamReplaced | UpstreamMissing) or (
            isinstance(action, UpstreamCold) and action.is_assumed
        ):
            # Peers derive the action from other updates: a later start, the end of a cordon, or
            # the removal if the entry stays missing.
            return
        if not roles.is_large and is_leaving and not from_peer:
            # Peers watch the platform too, and learn of the upstream's removal there later.
            # If its last entry still says READY, it leaves because that entry is missing.
            is_removed = action.upstream.state is UpstreamState.READY
            self._broadcast(self._live(), UpstreamNews(self._own_id, action.upstream, is_removed))
        update = UpstreamNews(self._own_id, action.upstream, is_leaving)
        if not roles.is_collector:
            self._send_to_collectors(roles, update, from_peer=from_peer)
            return
        self._broadcast((*roles.zone_members, *roles.own_collectors), update)
        if not from_peer:
            self._broadcast(roles.remote_collectors, update)

    def publish_routing(self, *, from_peer: bool) -> None:
        """As a collector, send the routing document in force to the zone.

        A document that did not come from a peer is also sent to all other collectors. Who follows
        the platform in place of another instance sends it to the collectors.
        """
        roles = self._roles()
        version, text = self._handlers.read_routing()
        offer = RoutingOffered(self._own_id, version, text)
        if not roles.is_collector:
            self._send_to_collectors(roles, offer, from_peer=from_peer)
            return
        others = () if from_peer else (*roles.own_collectors, *roles.remote_collectors)
        self._broadcast((*roles.zone_members, *others), offer)

    def _send_to_collectors(
        self, roles: FleetRoles, update: GatewayMessage, *, from_peer: bool
    ) -> None:
        """Send what was read from the platform in place of a follower to all collectors.

        Each collector passes it on to its zone.
        """
        if not from_peer and self._follows_for_others():
            self._broadcast((*roles.own_collectors, *roles.remote_collectors), update)

    # Incoming updates and requests

    @singledispatchmethod
    def handle(self, message: DataMessage) -> None:
        """Handle one message of a peer."""
        raise TypeError(f"no handler for {type(message).__name__}")

    @handle.register
    def _(self, message: RoutingAsked) -> None:
        self.handle_routing_request(message)

    @handle.register
    def _(self, message: RoutingOffered) -> None:
        self.handle_routing_offer(message)

    @handle.register
    def _(self, message: FleetAsked) -> None:
        self.handle_fleet_request(message)

    @handle.register
    def _(self, message: FleetOffered) -> None:
        self.handle_fleet_offer(message)

    @handle.register
    def _(self, message: UpstreamNews) -> None:
        self.handle_upstream_update(message)

    @handle.register
    def _(self, message: UpstreamDoubted) -> None:
        self.handle_suspicion(message)

    def request_newer_routing(self, notice: RoutingNotice) -> None:
        """Request a peer's newer routing document after a delay, unless it arrives meanwhile."""
        if notice.version > self._handlers.read_routing()[0]:
            delay_s = ROUTING_REQUEST_DELAY_S * (1 + self._state.rng.random())
            gevent.spawn_later(delay_s, self._send_routing_request, notice)

    def compare_fleet(self, summary: FleetSummary | ZoneSummary) -> None:
        """Request a collector's list of upstreams if its hash differs repeatedly."""
        if summary.fleet_digest == self._state.fleet.digest:
            self._mismatches = 0
            return
        self._mismatches += 1
        if self._mismatches >= MISMATCHES_BEFORE_REQUEST:
            self._mismatches = 0
            self._send(summary.sender, FleetAsked(self._own_id))

    def request_fleet_if_unknown(self, peer: str) -> None:
        """Request a peer's list of upstreams if none has been loaded since the start."""
        if not self._state.fleet.is_loaded:
            self._send(peer, FleetAsked(self._own_id))

    def handle_routing_request(self, request: RoutingAsked) -> None:
        """Send the routing document to a peer that has an older one."""
        version, text = self._handlers.read_routing()
        if version > request.version:
            self._send(request.sender, RoutingOffered(self._own_id, version, text))

    def handle_routing_offer(self, offer: RoutingOffered) -> None:
        """Apply a peer's routing document if it is newer."""
        if offer.version <= max(self._handlers.read_routing()[0], self._decoding_version):
            return
        log_event(
            PREFIX_CONFIGURATION,
            f"Received routing version {offer.version} from a peer",
            peer=offer.sender,
        )
        self._decoding_version = offer.version
        try:
            self._handlers.apply_routing(offer.text)
        finally:
            self._decoding_version = 0

    def handle_fleet_request(self, request: FleetAsked) -> None:
        """Send all upstreams that accept requests to a peer."""
        fleet = self._state.fleet
        self._send(request.sender, FleetOffered(self._own_id, fleet.at, fleet.accepting))

    def handle_fleet_offer(self, offer: FleetOffered) -> None:
        """Apply a peer's full list of upstreams."""
        log_event(
            PREFIX_ROUTING,
            f"Received a list of {len(offer.upstreams)} upstreams from a peer",
            peer=offer.sender,
            revision=offer.at,
        )
        self._handlers.apply_fleet(offer.upstreams, offer.at)

    def handle_cordons(self, cordons: Cordons) -> None:
        """Apply the cordons that a peer reports."""
        self._handlers.apply_cordons(cordons)

    def handle_upstream_update(self, update: UpstreamNews) -> None:
        """Apply one change of an upstream."""
        self._handlers.apply_upstream_change(ItemChange(update.upstream, update.gone))

    def handle_suspicion(self, message: UpstreamDoubted) -> None:
        """Mark an upstream that a peer has probed and found leaving or terminated."""
        self._handlers.mark_suspected(message.upstream_id)

    def _send_routing_request(self, notice: RoutingNotice) -> None:
        """Request a newer routing document unless it has arrived or was just requested."""
        now = self._state.now()
        version = self._handlers.read_routing()[0]
        if (
            version >= notice.version
            or now - self._requested_at.get(notice.peer, 0.0) < ROUTING_REQUEST_DELAY_S
        ):
            return
        self._requested_at[notice.peer] = now
        self._send(notice.peer, RoutingAsked(self._own_id, version))
