"""Put in force what the platform's feeds bring: routes, policies, upstreams, instances."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Final, Protocol

from driftstall.const import PREFIX_CONFIGURATION, PREFIX_MEMBERSHIP, PREFIX_ROUTING
from driftstall.core import Instance
from driftstall.decisions.store_versions import NO_VERSION, StoreVersion
from driftstall.exceptions import DriftstallError, PolicyError
from driftstall.gateway.cordons import CordonsChanged
from driftstall.gateway.feeds import ItemChange
from driftstall.gateway.fleet_events import (
    Changed,
    Cordoned,
    FleetAction,
    FleetEvent,
    Listed,
    ListedByPeer,
    Period,
    PlatformReachable,
    PlatformUnreachable,
    SignalledLeaving,
    StoreRestored,
    UpstreamCold,
    UpstreamJoined,
    UpstreamLeaving,
    UpstreamReplaced,
    UpstreamSuspected,
)
from driftstall.gateway.model import PolicyText, RoutingText, Upstream
from driftstall.gateway.routes import RouteTable
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event

EARLIER_KEPT: Final = 8
"""Policies remembered that others have followed: a copy of the store is some seconds old."""
PLATFORM: Final = "platform"
PEER: Final = "peer"
UPSTREAM: Final = "upstream"
"""Who tells of routing documents and upstreams."""


class PassAction(Protocol):
    """Pass on to peers that an upstream joined or leaves."""

    def __call__(self, action: FleetAction, *, from_peer: bool) -> None:
        """Take what follows for an upstream, and whether a peer told it."""


class PassRouting(Protocol):
    """Pass the routing document in force on to peers."""

    def __call__(self, *, from_peer: bool) -> None:
        """Take whether a peer gave it."""


class RoutingSource:
    """Keep the newest routing document; it only moves forward."""

    def __init__(self, state: GatewayState, announce: PassRouting) -> None:
        """Take the shared state, and how peers are told."""
        self._state = state
        self._announce = announce
        self._text = ""

    @property
    def version(self) -> int:
        """Return the version in force; zero if there is none."""
        return self._state.table.version if self._state.table else 0

    @property
    def text(self) -> str:
        """Return the document in force as it is passed on."""
        return self._text

    def listed(self, items: tuple[RoutingText, ...], at: StoreVersion) -> None:
        """Take in the stored documents."""
        for item in items:
            self._take(item, PLATFORM)

    def changed(self, change: ItemChange[RoutingText]) -> None:
        """Take in a changed document; one that is gone stays in force."""
        if not change.gone:
            self._take(change.item, PLATFORM)

    def offered(self, text: str) -> None:
        """Take in a document from a peer."""
        try:
            document = self._state.dialect.read_routing(text)
        except (DriftstallError, ValueError) as fault:
            log_event(PREFIX_CONFIGURATION, f"A peer's routing document cannot be read: {fault}")
            return
        self._take(RoutingText(document, text), PEER)

    def platform_unreachable(self, cause: str) -> None:
        """Log that the platform does not answer."""
        log_event(PREFIX_CONFIGURATION, f"The platform's configuration is out of reach: {cause}")

    def platform_reachable(self) -> None:
        """Log that the platform answers again."""
        log_event(
            PREFIX_CONFIGURATION, "The platform's configuration is in reach", version=self.version
        )

    def _take(self, item: RoutingText, source: str) -> None:
        """Put a newer document in force."""
        if item.document.version <= self.version:
            return
        before = self.version
        self._state.table = RouteTable.from_document(item.document)
        self._text = item.text
        self._state.notify_if_configured()
        log_event(
            PREFIX_CONFIGURATION,
            f"Routing version {item.document.version} is in force",
            before=before,
            source=source,
            routes=len(item.document.routes),
            workspaces=len(item.document.workspaces),
        )
        self._announce(from_peer=source == PEER)


class PolicySource:
    """Keep the newest submitted policy in force; without one the default stays."""

    def __init__(self, state: GatewayState) -> None:
        """Take the shared state."""
        self._state = state
        self._revision = NO_VERSION
        self._held: PolicyText | None = None
        self._earlier: deque[PolicyText] = deque(maxlen=EARLIER_KEPT)
        """Policies that were in force before; a copy of the store may hold one of them."""

    @property
    def held(self) -> PolicyText | None:
        """Return the submitted policy that holds; None if none was submitted."""
        return self._held

    def is_earlier(self, item: PolicyText) -> bool:
        """Tell whether a stored policy is one that another one has followed, from an older copy."""
        return any(
            one.text == item.text and one.revision.revision == item.revision.revision
            for one in self._earlier
        )

    @property
    def revision(self) -> StoreVersion:
        """Return the version in force; zero if none was submitted."""
        return self._revision

    def listed(self, items: tuple[PolicyText, ...], at: StoreVersion) -> None:
        """Take in the stored policies."""
        for item in items:
            self._take(item)

    def changed(self, change: ItemChange[PolicyText]) -> None:
        """Take in a changed policy."""
        if not change.gone:
            self._take(change.item)

    def platform_unreachable(self, cause: str) -> None:
        """Log that the platform does not answer."""
        log_event(PREFIX_CONFIGURATION, f"The platform's policies are out of reach: {cause}")

    def platform_reachable(self) -> None:
        """Log that the platform answers again."""
        log_event(
            PREFIX_CONFIGURATION, "The platform's policies are in reach", revision=self._revision
        )

    def _take(self, item: PolicyText) -> None:
        """Put a newer policy in force, if it is a right one."""
        if item.revision <= self._revision:
            return
        if self.is_earlier(item):
            log_event(
                PREFIX_CONFIGURATION,
                "The store holds an earlier policy again; the one in force stays",
                revision=item.revision,
                in_force=self._revision,
            )
            return
        if self._held is not None:
            if self._held.text == item.text:
                # Written again after the store's return.
                self._held, self._revision = item, item.revision
                return
            self._earlier.append(self._held)
        self._held = item
        # Loaded only where there is a policy to parse: it would slow each start down.
        from driftstall.policy.parse import parse_policy

        self._revision = item.revision
        try:
            self._state.policy = parse_policy(item.text)
        except PolicyError as fault:
            log_event(PREFIX_CONFIGURATION, f"A stored policy is not used: {fault}")
            return
        log_event(
            PREFIX_CONFIGURATION,
            f"Policy {self._state.policy.name!r} is in force",
            revision=item.revision,
        )


class UpstreamSource:
    """Keep the fleet as the platform lists it, and tell who leaves."""

    def __init__(
        self,
        state: GatewayState,
        *,
        leaving: Callable[[Upstream], None],
        publish_change: Callable[[ItemChange[Upstream]], None],
        publish_action: PassAction,
        announce: Callable[[], None],
        silence: Callable[[], float],
    ) -> None:
        """Take the shared state, who moves streams, and how peers are told.

        Silence tells for how long the platform had not answered before its last answer, in seconds.
        """
        self._state = state
        self._leaving = leaving
        self._pass_change = publish_change
        self._pass_action = publish_action
        self._announce = announce
        self._silence = silence

    def listed(self, items: tuple[Upstream, ...], at: StoreVersion) -> None:
        """Take in the whole list, as of a revision."""
        self._apply(Listed(items, at, self._silence()))
        self._state.notify_if_configured()
        known = {one.upstream_id for one in self._state.fleet.upstreams}
        self._state.outcomes.keep_only(known)
        self._state.cold_gate.keep_only(known)

    def changed(self, change: ItemChange[Upstream]) -> None:
        """Take in one change from the platform."""
        self._apply(Changed(change.item, change.gone, store_silence_s=self._silence()))
        self._pass_change(change)

    def told(self, change: ItemChange[Upstream]) -> None:
        """Take in one change from a peer."""
        self._apply(Changed(change.item, change.gone, from_peer=True), from_peer=True)

    def offered(self, items: tuple[Upstream, ...], at: StoreVersion) -> None:
        """Take in a peer's list of all that take requests, as of a revision."""
        self._apply(ListedByPeer(items, at), from_peer=True)
        self._state.notify_if_configured()

    def doubted(self, upstream_id: str) -> None:
        """Take in that an upstream says itself that it leaves, or that it is gone."""
        self._apply(UpstreamSuspected(upstream_id))

    def signalled_leaving(self, upstream_id: str, ago_s: float = 0.0) -> bool:
        """Take in that an upstream has signalled that it leaves; return whether it was new.

        The age is that of the response, in seconds, where a peer has received it.
        """
        fleet = self._state.fleet
        if fleet.has_signalled_leaving(upstream_id):
            return False
        self._apply(SignalledLeaving(upstream_id, ago_s))
        return fleet.has_signalled_leaving(upstream_id)

    def cordoned(self, changed: CordonsChanged) -> None:
        """Take in which zones are cordoned now."""
        self._apply(Cordoned(self._state.cordons.zones, changed.lifted))

    def platform_unreachable(self, cause: str) -> None:
        """Learn that the platform does not answer."""
        log_event(PREFIX_ROUTING, f"The platform's list of upstreams is out of reach: {cause}")
        self._apply(PlatformUnreachable())
        self._announce()

    def platform_reachable(self) -> None:
        """Learn that the platform answers again."""
        log_event(PREFIX_ROUTING, "The platform's list of upstreams is in reach")
        self._apply(PlatformReachable())
        self._announce()

    def store_returned(self) -> None:
        """Learn that the store has come back from an older copy."""
        self._apply(StoreRestored())
        self._announce()

    def period(self) -> None:
        """Let time pass."""
        self._apply(Period())
        self._state.cold.forget_ended(self._state.now())
        self._state.backoff.forget_ended(self._state.now())
        self._state.exchanges.forget_ended()

    def _apply(self, event: FleetEvent, *, from_peer: bool = False) -> None:
        """Hand an event to the fleet and tell what follows."""
        actions = self._state.fleet.handle(event, self._state.now())
        for action in actions:
            self._pass_action(action, from_peer=from_peer)
            self._tell(action, from_peer=from_peer)
        if actions:
            self._state.fleet_changed.set()
            self._state.fleet_changed.clear()

    @singledispatchmethod
    def _tell(self, action: FleetAction, *, from_peer: bool) -> None:
        """Log one action, and do what follows from it here."""
        raise TypeError(f"no handler for {type(action).__name__}")

    @_tell.register
    def _(self, action: UpstreamLeaving, *, from_peer: bool) -> None:
        upstream = action.upstream
        log_event(
            PREFIX_ROUTING,
            f"Upstream {upstream.upstream_id} takes no more requests",
            source=_source_of(action, from_peer=from_peer),
            # The notice may be as old; requests went there meanwhile.
            platform_silence_ms=int(self._silence() * 1000),
            revision=upstream.revision,
        )
        self._leaving(upstream)

    @_tell.register
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

    @_tell.register
    def _(self, action: UpstreamReplaced, *, from_peer: bool) -> None:
        # Whoever waits there for an answer waits in vain; it may have run until the new start.
        upstream = action.upstream
        given_up = self._state.exchanges.close_all(upstream.upstream_id)
        log_event(
            PREFIX_ROUTING,
            f"Upstream {upstream.upstream_id} has started again",
            source=PEER if from_peer else PLATFORM,
            given_up=given_up,
            revision=upstream.revision,
        )

    @_tell.register
    def _(self, action: UpstreamCold, *, from_peer: bool) -> None:
        upstream, now = action.upstream, self._state.now()
        if action.is_assumed:
            self._state.cold.assume(upstream.upstream_id, action.for_s, now)
        else:
            self._state.cold.told(upstream.upstream_id, action.for_s, now)
        log_event(
            PREFIX_ROUTING,
            f"Upstream {upstream.upstream_id} is cold for {action.for_s:.1f} s",
            assumed=action.is_assumed,
            source=PEER if from_peer else PLATFORM,
            rate=self._state.cold_rate(upstream.service),
            revision=upstream.revision,
        )


def _source_of(action: UpstreamLeaving, *, from_peer: bool) -> str:
    """Return who tells that an upstream leaves."""
    if action.doubted or action.signalled:
        return UPSTREAM
    return PEER if from_peer else PLATFORM


class InstanceSource:
    """Tell the member list which instances the platform knows."""

    def __init__(self, found: Callable[[tuple[Instance, ...]], None]) -> None:
        """Take who wants to know."""
        self._found = found

    def listed(self, items: tuple[Instance, ...]) -> None:
        """Take in the whole list."""
        log_event(PREFIX_MEMBERSHIP, f"The platform lists {len(items)} instances")
        self._found(items)
