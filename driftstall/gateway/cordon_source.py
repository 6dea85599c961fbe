"""Listener that applies cordons read from the platform and sent by peers."""

from __future__ import annotations

from collections.abc import Callable

from driftstall.const import PREFIX_ROUTING
from driftstall.decisions.store_versions import StoreVersion
from driftstall.gateway.cordons import Cordon, Cordons, CordonsChanged
from driftstall.gateway.feeds import ItemChange
from driftstall.gateway.sources import PEER, PLATFORM
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event


class CordonSource:
    """Keeps the cordons up to date, and passes changes to the fleet and the peers."""

    def __init__(
        self,
        state: GatewayState,
        *,
        on_changed: Callable[[CordonsChanged], None],
        announce: Callable[[], None],
    ) -> None:
        """Initialize with the shared state and the callbacks for the fleet and the peers."""
        self._state = state
        self._on_changed = on_changed
        self._announce = announce

    def handle_list(self, items: tuple[Cordon, ...], at: StoreVersion) -> None:
        """Handle the whole list, as of a version."""
        self._handle_change(
            self._state.cordons.merge(
                Cordons(at, items), keeps_missing=self._may_store_lack_cordons()
            ),
            PLATFORM,
        )
        self._state.notify_if_configured()

    def handle_change(self, change: ItemChange[Cordon]) -> None:
        """Handle one change read from the platform."""
        changed = self._state.cordons.apply_change(change.item, lifted=change.removed)
        self._handle_change(changed, PLATFORM)

    def handle_peer_report(self, report: Cordons) -> None:
        """Handle the cordons known to a peer."""
        was_loaded = self._state.cordons.is_loaded
        self._handle_change(
            self._state.cordons.merge(report, keeps_missing=self._may_store_lack_cordons()), PEER
        )
        if not was_loaded:
            self._state.notify_if_configured()

    def handle_platform_unreachable(self, cause: str) -> None:
        """Log that the platform does not answer."""
        log_event(PREFIX_ROUTING, f"The platform's list of cordoned zones is unreachable: {cause}")

    def handle_platform_reachable(self) -> None:
        """Log that the platform answers again."""
        log_event(PREFIX_ROUTING, "The platform's list of cordoned zones is reachable again")

    def _may_store_lack_cordons(self) -> bool:
        """Return True if the restored store may still lack cordons written by operators."""
        return self._state.eras.is_incomplete(self._state.now())

    def _handle_change(self, changed: CordonsChanged, source: str) -> None:
        """Put changed cordons in force, and publish them."""
        if not changed:
            return
        log_event(
            PREFIX_ROUTING,
            "The cordoned zones have changed",
            cordoned=sorted(changed.cordoned),
            lifted=sorted(changed.lifted),
            source=source,
            at=self._state.cordons.snapshot.at,
        )
        self._on_changed(changed)
        self._announce()
