"""Keep in the platform which requests have crashed upstreams, and read it at the start.

Peers tell a fresh instance what they know. Where all end at once nobody knows any more, and the
request comes back: so who has seen the crash that convicts it writes that down.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Protocol

import gevent

from driftstall.const import PREFIX_ROUTING
from driftstall.decisions.poison_detection import BlameTold
from driftstall.exceptions import PlatformUnavailable
from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event

READ_AFTER_S: Final = 1.0
"""Time in which the member list is known: in a large fleet the collectors alone read."""
TRY_AGAIN_S: Final = 0.5
TRIES: Final = 60
"""Tries while the platform is away, half a minute in all; peers know it besides."""


class StoredCrashes(Protocol):
    """Hold what the platform keeps; each call may raise PlatformUnavailable."""

    def read(self) -> tuple[BlameTold, ...]:
        """Return all that is kept."""

    def write(self, told: BlameTold) -> None:
        """Write what is known of one request."""

    def remove(self, fingerprint: str) -> None:
        """Remove what is kept of a request."""


class CrashPersistence:
    """Write and read what the platform keeps."""

    def __init__(
        self, state: GatewayState, kept: StoredCrashes, roles: Callable[[], FleetRoles]
    ) -> None:
        """Take the shared state, the platform's access and who collects."""
        self._state = state
        self._kept = kept
        self._roles = roles

    def start(self) -> None:
        """Read what is kept, soon."""
        gevent.spawn_later(READ_AFTER_S, self._read)

    def handle_quarantined(self, fingerprint: str) -> None:
        """Write down a request that is sent to no upstream from now on."""
        gevent.spawn(self._try, lambda: self._keep(fingerprint))

    def handle_cleared(self, fingerprint: str) -> None:
        """Remove what is kept of a request that has ended well."""
        gevent.spawn(self._try, lambda: self._kept.remove(fingerprint))

    def rewrite_all(self) -> None:
        """Write down all requests that are sent to no upstream: the store may have lost them."""
        for fingerprint in self._state.poison_tracker.quarantined(self._state.now()):
            self.handle_quarantined(fingerprint)

    def _read(self) -> None:
        """Take in what is kept."""
        roles = self._roles()
        if not roles.is_large or roles.is_collector:
            self._try(self._take)

    def _take(self) -> None:
        """Take in what the platform keeps, and have peers told."""
        told = self._kept.read()
        if self._state.poison_tracker.merge(told, self._state.now()):
            log_event(
                PREFIX_ROUTING, f"The platform keeps {len(told)} requests that crash upstreams"
            )
            self._state.on_poison_evidence_changed()

    def _keep(self, fingerprint: str) -> None:
        """Write what is known now."""
        told = self._state.poison_tracker.report_for(fingerprint, self._state.now())
        if told is not None:
            self._kept.write(told)

    @staticmethod
    def _try(work: Callable[[], None]) -> None:
        """Do something at the platform, again and again while it is away."""
        for tried in range(TRIES):
            try:
                work()
                return
            except PlatformUnavailable as fault:
                if not tried:
                    log_event(PREFIX_ROUTING, f"Crashes under requests are not kept yet: {fault}")
                gevent.sleep(TRY_AGAIN_S)
        log_event(PREFIX_ROUTING, "Crashes under requests are not kept: the platform stays away")
