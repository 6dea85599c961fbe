"""Listeners of the platform's feeds that apply routing, policies and instances."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import replace
from typing import Final, Protocol

from driftstall.const import PREFIX_CONFIGURATION, PREFIX_MEMBERSHIP
from driftstall.core import Instance
from driftstall.decisions.store_versions import NO_VERSION, StoreVersion
from driftstall.exceptions import DriftstallError, PolicyError
from driftstall.gateway.feeds import ItemChange
from driftstall.gateway.model import PolicyText, RoutingText
from driftstall.gateway.routes import RouteTable
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event

MAX_SUPERSEDED_POLICIES: Final = 8
"""Superseded policies that are remembered: a restored copy of the store is some seconds old and may
hold one of them."""
PLATFORM: Final = "platform"
PEER: Final = "peer"
"""Sources of routing documents and upstreams, as logged."""


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


class InstanceSource:
    """Passes the instances that the platform lists to the membership."""

    def __init__(self, on_listed: Callable[[tuple[Instance, ...]], None]) -> None:
        """Initialize with the callback for the listed instances."""
        self._on_listed = on_listed

    def handle_list(self, items: tuple[Instance, ...]) -> None:
        """Handle the whole list."""
        log_event(PREFIX_MEMBERSHIP, f"The platform lists {len(items)} instances")
        self._on_listed(items)
