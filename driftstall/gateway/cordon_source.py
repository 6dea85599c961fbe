"""Keep which zones are cordoned, as the platform and the peers tell it."""

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
    """Keep which zones are cordoned, and tell the fleet and the peers."""

    def __init__(
        self,
        state: GatewayState,
        *,
        apply: Callable[[CordonsChanged], None],
        announce: Callable[[], None],
    ) -> None:
        """Take the shared state, who applies what has changed, and how peers are told."""
        self._state = state
        self._apply = apply
        self._announce = announce

    def listed(self, items: tuple[Cordon, ...], at: StoreVersion) -> None:
        """Take in the whole list, as of a revision."""
        self._take(self._state.cordons.merge(Cordons(at, items), keeps=self._keeps()), PLATFORM)
        self._state.notify_if_configured()

    def changed(self, change: ItemChange[Cordon]) -> None:
        """Take in one change from the platform."""
        found = self._state.cordons.apply_change(change.item, lifted=change.gone)
        self._take(found, PLATFORM)

    def handle_peer_report(self, told: Cordons) -> None:
        """Take in what a peer knows."""
        knew = self._state.cordons.is_loaded
        self._take(self._state.cordons.merge(told, keeps=self._keeps()), PEER)
        if not knew:
            self._state.notify_if_configured()

    def platform_unreachable(self, cause: str) -> None:
        """Log that the platform does not answer."""
        log_event(PREFIX_ROUTING, f"The platform's list of cordoned zones is out of reach: {cause}")

    def platform_reachable(self) -> None:
        """Log that the platform answers again."""
        log_event(PREFIX_ROUTING, "The platform's list of cordoned zones is in reach")

    def _keeps(self) -> bool:
        """Tell whether the store may still lack what operators have written."""
        return self._state.eras.is_incomplete(self._state.now())

    def _take(self, changed: CordonsChanged, source: str) -> None:
        """Put in force what has changed."""
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
        self._apply(changed)
        self._announce()
