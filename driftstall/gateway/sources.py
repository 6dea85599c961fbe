"""Listeners of the platform's feeds that apply routing, policies, upstreams and instances."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import replace
from functools import singledispatchmethod
from typing import Final, Protocol

import gevent

from driftstall.const import PREFIX_CONFIGURATION, PREFIX_MEMBERSHIP, PREFIX_ROUTING
from driftstall.core import Instance
from driftstall.decisions.store_versions import NO_VERSION, StoreVersion
from driftstall.exceptions import DriftstallError, PolicyError
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
from driftstall.gateway.model import PolicyText, RoutingText, Upstream
from driftstall.gateway.routes import RouteTable
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event

MAX_SUPERSEDED_POLICIES: Final = 8
"""Superseded policies that are remembered: a restored copy of the store is some seconds old and may
hold one of them."""
TIMER_MARGIN_S: Final = 0.01
"""A timer of the event loop may fire early by the age of the loop's cached time."""
PLATFORM: Final = "platform"
PEER: Final = "peer"
UPSTREAM: Final = "upstream"
"""Sources of routing documents and upstreams, as logged."""


class PublishAction(Protocol):
    """Publishes to peers that an upstream joined or leaves."""

    def __call__(self, action: FleetAction, *, from_peer: bool) -> None:
        """Publish an action; from_peer is set if a peer reported it."""


class PublishRouting(Protocol):
    """Publishes the routing document in force to peers."""

    def __call__(self, *, from_peer: bool) -> None:
        """Publish the document; from_peer is set if a peer sent it."""


class RoutingSource:
    """Puts the newest routing document in force; versions never go back."""

    def __init__(self, state: GatewayState, announce: PublishRouting) -> None:
        """Initialize with the shared state and the publisher to peers."""
        self._state = state
        self._announce = announce
        self._text = ""

    @property
    def version(self) -> int:
        """Return the version in force; zero if no document is in force."""
        return self._state.route_table.version if self._state.route_table else 0

    @property
    def text(self) -> str:
        """Return the document in force in the form sent to peers."""
        return self._text

    def handle_list(self, items: tuple[RoutingText, ...], at: StoreVersion) -> None:
        """Handle the stored documents."""
        for item in items:
            self._apply_if_newer(item, PLATFORM)

    def handle_change(self, change: ItemChange[RoutingText]) -> None:
        """Handle a changed document; a removed document stays in force."""
        if not change.removed:
            self._apply_if_newer(change.item, PLATFORM)

    def handle_peer_document(self, text: str) -> None:
        """Handle a document sent by a peer."""
        try:
            document = self._state.dialect.read_routing(text)
        except (DriftstallError, ValueError) as error:
            log_event(PREFIX_CONFIGURATION, f"Invalid routing document from a peer: {error}")
            return
        self._apply_if_newer(RoutingText(document, text), PEER)

    def handle_platform_unreachable(self, cause: str) -> None:
        """Log that the platform doesn't answer."""
        log_event(PREFIX_CONFIGURATION, f"The platform's configuration is unreachable: {cause}")

    def handle_platform_reachable(self) -> None:
        """Log that the platform answers again."""
        log_event(
            PREFIX_CONFIGURATION,
            "The platform's configuration is reachable again",
            version=self.version,
        )

    def _apply_if_newer(self, item: RoutingText, source: str) -> None:
        """Put a document in force if it is newer."""
        if item.document.version <= self.version:
            return
        before, document = self.version, item.document
        if not document.workspaces and not self._state.settings.uses_workspaces:
            document = replace(document, workspaces=None)
        self._state.route_table = RouteTable.from_document(document)
        self._text = item.text
        self._state.notify_if_configured()
        log_event(
            PREFIX_CONFIGURATION,
            f"Routing version {item.document.version} is in force",
            before=before,
            source=source,
            routes=len(document.routes),
            workspaces=len(document.workspaces or ()),
            queued=sorted(self._state.route_table.queued_services),
        )
        self._announce(from_peer=source == PEER)


class PolicySource:
    """Puts the newest submitted policy in force; the default applies if none was submitted."""

    def __init__(self, state: GatewayState) -> None:
        """Initialize with the shared state."""
        self._state = state
        self._revision = NO_VERSION
        self._submitted: PolicyText | None = None
        self._superseded: deque[PolicyText] = deque(maxlen=MAX_SUPERSEDED_POLICIES)
        """Policies that were in force before; a restored store may hold one of them."""

    @property
    def submitted(self) -> PolicyText | None:
        """Return the latest submitted policy; None if none was submitted."""
        return self._submitted

    def is_superseded(self, item: PolicyText) -> bool:
        """Return True if a stored policy was superseded, and stems from an older store copy."""
        return any(
            policy.text == item.text and policy.revision.revision == item.revision.revision
            for policy in self._superseded
        )

    @property
    def revision(self) -> StoreVersion:
        """Return the store version of the latest submitted policy; zero if none was submitted."""
        return self._revision

    def handle_list(self, items: tuple[PolicyText, ...], at: StoreVersion) -> None:
        """Handle the stored policies."""
        for item in items:
            self._apply_if_newer(item)

    def handle_change(self, change: ItemChange[PolicyText]) -> None:
        """Handle a changed policy."""
        if not change.removed:
            self._apply_if_newer(change.item)

    def handle_platform_unreachable(self, cause: str) -> None:
        """Log that the platform doesn't answer."""
        log_event(PREFIX_CONFIGURATION, f"The platform's policies are unreachable: {cause}")

    def handle_platform_reachable(self) -> None:
        """Log that the platform answers again."""
        log_event(
            PREFIX_CONFIGURATION,
            "The platform's policies are reachable again",
            revision=self._revision,
        )

    def _apply_if_newer(self, item: PolicyText) -> None:
        """Put a policy in force if it is newer and valid."""
        if item.revision <= self._revision:
            return
        if self.is_superseded(item):
            log_event(
                PREFIX_CONFIGURATION,
                "The store holds a superseded policy; the policy in force stays",
                revision=item.revision,
                in_force=self._revision,
            )
            return
        if self._submitted is not None:
            if self._submitted.text == item.text:
                # The policy in force was rewritten after the store was restored.
                self._submitted, self._revision = item, item.revision
                return
            self._superseded.append(self._submitted)
        self._submitted = item
        # Imported only when there is a policy to parse: the import would slow down every start.
        from driftstall.policy.parse import parse_policy

        self._revision = item.revision
        try:
            self._state.policy = parse_policy(item.text)
        except PolicyError as error:
            log_event(PREFIX_CONFIGURATION, f"Invalid stored policy is not used: {error}")
            return
        log_event(
            PREFIX_CONFIGURATION,
            f"Policy {self._state.policy.name!r} is in force",
            revision=item.revision,
        )


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


class InstanceSource:
    """Passes the instances that the platform lists to the membership."""

    def __init__(self, on_listed: Callable[[tuple[Instance, ...]], None]) -> None:
        """Initialize with the callback for the listed instances."""
        self._on_listed = on_listed

    def handle_list(self, items: tuple[Instance, ...]) -> None:
        """Handle the whole list."""
        log_event(PREFIX_MEMBERSHIP, f"The platform lists {len(items)} instances")
        self._on_listed(items)
