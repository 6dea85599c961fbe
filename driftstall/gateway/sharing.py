"""Pass on to other instances what the platform has told this one.

In a small fleet each instance follows the platform; peers only fill in for one that the
platform does not answer. In a large fleet the collectors pass everything on: each new
routing document, and which upstreams take requests. A collector's word carries a hash of
these upstreams; who holds others asks for the whole list.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
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

RECENT_S: Final = 6.0
"""Changes are told again for so long; a cut is noticed within about four seconds."""
ASK_AFTER_S: Final = 0.25
"""The platform's own watch, or a collector, brings a newer document sooner, if it works."""
DIFFERENT_BEFORE_ASKED: Final = 2
"""Summaries in a row that tell of another fleet before it is asked for: news overtake them."""


@dataclass(frozen=True, slots=True)
class RoutingNotice:
    """Hold that a peer has a newer routing document."""

    peer: str
    version: int


@dataclass(frozen=True, slots=True)
class PeerUpdateHandlers:
    """Hold how this instance reads and takes in what is shared."""

    read_routing: Callable[[], tuple[int, str]]
    """Return the version in force and its text."""
    apply_routing: Callable[[str], None]
    apply_upstream_change: Callable[[ItemChange[Upstream]], None]
    mark_suspected: Callable[[str], None]
    apply_fleet: Callable[[tuple[Upstream, ...], StoreVersion], None]
    """Take in all upstreams that take requests, as of a revision."""
    apply_cordons: Callable[[Cordons], None]
    record_leaving: Callable[[LeavingRecord], bool]
    """Take in that an upstream has signalled that it leaves; return whether it was new."""


class PlatformDataSharing:
    """Share routing documents and upstreams with peers."""

    def __init__(
        self,
        state: GatewayState,
        intake: PeerUpdateHandlers,
        *,
        roles: Callable[[], FleetRoles],
        live: Callable[[], tuple[Instance, ...]],
        send: Callable[[str, GatewayMessage], None],
        broadcast: Callable[[Iterable[Instance], GatewayMessage], None],
    ) -> None:
        """Take the shared state, how things are taken in, the fleet, and how to send."""
        self._state = state
        self._intake = intake
        self._roles = roles
        self._live = live
        self._send = send
        self._broadcast = broadcast
        self._own_id = state.settings.instance_id
        self._asked_at: dict[str, float] = {}
        self._recent: list[tuple[float, ItemChange[Upstream]]] = []
        """Changes that a peer may have missed before it noticed that it is cut off."""
        self._taking = 0
        """The version that is being decoded; several collectors offer the same."""
        self._different = 0
        """Summaries in a row whose upstreams are not those known here."""

    # What this instance passes on.

    def publish_change(self, change: ItemChange[Upstream], peers: Iterable[str]) -> None:
        """Tell a change from the platform to peers that the platform does not answer."""
        if self._roles().is_large:
            return
        now = self._state.now()
        self._recent = [(at, one) for at, one in self._recent if now - at <= RECENT_S]
        self._recent.append((now, change))
        for peer in peers:
            self._send(peer, UpstreamNews(self._own_id, change.item, change.removed))

    def resend_changes(self, peer: str) -> None:
        """Tell a peer that has just lost the platform what it may have missed."""
        for _, change in self._recent:
            self._send(peer, UpstreamNews(self._own_id, change.item, change.removed))

    def publish_action(self, action: FleetAction, *, from_peer: bool) -> None:
        """Tell who joined or leaves.

        In a large fleet a collector tells its zone, and other zones if the platform told it.
        In a small one everyone tells all who leaves, once: a peer whose path to the platform
        has fallen silent does not know so itself for some seconds.
        """
        roles = self._roles()
        leaving = isinstance(action, UpstreamLeaving)
        if isinstance(action, UpstreamLeaving) and (action.is_suspected or action.has_signalled):
            # No word of the platform: whoever had it from the upstream tells all by itself.
            return
        if (
            isinstance(action, UpstreamReplaced)
            or isinstance(action, UpstreamCold)
            and (action.is_assumed)
        ):
            # Follows from what is passed on besides: the later start, or a cordon's end.
            return
        if not roles.is_large and leaving and not from_peer:
            # Peers follow the platform too, which tells them of its removal later.
            gone = action.upstream.state is UpstreamState.READY
            self._broadcast(self._live(), UpstreamNews(self._own_id, action.upstream, gone))
        if not roles.is_collector:
            return
        news = UpstreamNews(self._own_id, action.upstream, leaving)
        self._broadcast((*roles.zone_members, *roles.own_collectors), news)
        if not from_peer:
            self._broadcast(roles.remote_collectors, news)

    def publish_routing(self, *, from_peer: bool) -> None:
        """Send the routing document in force to the zone, and to other collectors if it is new."""
        roles = self._roles()
        if not roles.is_collector:
            return
        version, text = self._intake.read_routing()
        others = () if from_peer else (*roles.own_collectors, *roles.remote_collectors)
        offered = RoutingOffered(self._own_id, version, text)
        self._broadcast((*roles.zone_members, *others), offered)

    # What others tell this instance.

    def request_newer_routing(self, notice: RoutingNotice) -> None:
        """Ask for a newer document that a peer has, unless it comes by itself."""
        if notice.version > self._intake.read_routing()[0]:
            pause_s = ASK_AFTER_S * (1 + self._state.rng.random())
            gevent.spawn_later(pause_s, self._ask_routing, notice)

    def compare_fleet(self, summary: FleetSummary | ZoneSummary) -> None:
        """Ask for a collector's upstreams if they are not those known here."""
        if summary.fleet_digest == self._state.fleet.digest:
            self._different = 0
            return
        self._different += 1
        if self._different >= DIFFERENT_BEFORE_ASKED:
            self._different = 0
            self._send(summary.sender, FleetAsked(self._own_id))

    def request_fleet_if_unknown(self, peer: str) -> None:
        """Ask a peer for the upstreams if the platform has never told this instance any."""
        if not self._state.fleet.is_loaded:
            self._send(peer, FleetAsked(self._own_id))

    def handle_routing_request(self, asked: RoutingAsked) -> None:
        """Give a peer the routing document, if it is newer than the peer's."""
        version, text = self._intake.read_routing()
        if version > asked.version:
            self._send(asked.sender, RoutingOffered(self._own_id, version, text))

    def handle_routing_offer(self, offered: RoutingOffered) -> None:
        """Take in a peer's routing document if it is newer."""
        if offered.version <= max(self._intake.read_routing()[0], self._taking):
            return
        log_event(
            PREFIX_CONFIGURATION,
            f"A peer passes routing version {offered.version} on",
            peer=offered.sender,
        )
        self._taking = offered.version
        try:
            self._intake.apply_routing(offered.text)
        finally:
            self._taking = 0

    def handle_fleet_request(self, asked: FleetAsked) -> None:
        """Give a peer all upstreams that take requests."""
        fleet = self._state.fleet
        self._send(asked.sender, FleetOffered(self._own_id, fleet.at, fleet.accepting))

    def handle_fleet_offer(self, offered: FleetOffered) -> None:
        """Take in a collector's upstreams."""
        log_event(
            PREFIX_ROUTING,
            f"A peer passes {len(offered.upstreams)} upstreams on",
            peer=offered.sender,
            revision=offered.at,
        )
        self._intake.apply_fleet(offered.upstreams, offered.at)

    def handle_cordons(self, told: Cordons) -> None:
        """Take in which zones a peer knows to be cordoned."""
        self._intake.apply_cordons(told)

    def handle_upstream_update(self, news: UpstreamNews) -> None:
        """Take in one change of an upstream."""
        self._intake.apply_upstream_change(ItemChange(news.upstream, news.gone))

    def handle_suspicion(self, told: UpstreamDoubted) -> None:
        """Take in that a peer has asked an upstream, which leaves or is gone."""
        self._intake.mark_suspected(told.upstream_id)

    def _ask_routing(self, notice: RoutingNotice) -> None:
        """Ask for a newer routing document that has not come meanwhile."""
        now = self._state.now()
        version = self._intake.read_routing()[0]
        if version >= notice.version or now - self._asked_at.get(notice.peer, 0.0) < ASK_AFTER_S:
            return
        self._asked_at[notice.peer] = now
        self._send(notice.peer, RoutingAsked(self._own_id, version))
