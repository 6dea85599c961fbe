"""Persistence of quarantined requests and prompt parts in the platform, read at each start.

Peers send their evidence to a new instance. If all instances end at once that evidence is lost, and
a poison request may be sent again: so an instance that has noticed a crash of what is quarantined
stores the evidence.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Protocol

import gevent

from driftstall.const import PREFIX_ROUTING
from driftstall.decisions.poison_evidence import PoisonReport
from driftstall.exceptions import PlatformUnavailable
from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event

READ_AFTER_S: Final = 1.0
"""Time after which the member list is known: in a large fleet only the collectors read."""
RETRY_PAUSE_S: Final = 0.5
MAX_ATTEMPTS: Final = 60
"""Attempts while the platform is unavailable, half a minute in all; peers know the evidence too."""


class CrashStore(Protocol):
    """Access to the stored evidence; each call may raise PlatformUnavailable."""

    def read(self) -> tuple[PoisonReport, ...]:
        """Return the stored evidence on all subjects."""

    def write(self, report: PoisonReport) -> None:
        """Store the evidence on one subject."""

    def remove(self, subject: str) -> None:
        """Remove the stored evidence on a subject."""


class CrashPersistence:
    """Writes and reads the evidence stored in the platform."""

    def __init__(
        self, state: GatewayState, store: CrashStore, roles: Callable[[], FleetRoles]
    ) -> None:
        """Initialize with the shared state, the access to the store and a reader of the roles."""
        self._state = state
        self._store = store
        self._roles = roles

    def start(self) -> None:
        """Schedule the read of the stored evidence."""
        gevent.spawn_later(READ_AFTER_S, self._read)

    def handle_quarantined(self, subject: str) -> None:
        """Store the evidence on a subject that was quarantined."""
        gevent.spawn(self._run_with_retries, lambda: self._store_evidence(subject))

    def handle_cleared(self, subject: str) -> None:
        """Remove the stored evidence on a subject that has succeeded."""
        gevent.spawn(self._run_with_retries, lambda: self._store.remove(subject))

    def rewrite_all(self) -> None:
        """Store the evidence on all quarantined subjects again: the store may have lost it."""
        for subject in self._state.poison.tracker.quarantined(self._state.now()):
            self.handle_quarantined(subject)

    def _read(self) -> None:
        """Read the stored evidence if that is this instance's duty."""
        roles = self._roles()
        if not roles.is_large or roles.is_collector:
            self._run_with_retries(self._load)

    def _load(self) -> None:
        """Merge the evidence stored in the platform, and publish it to peers if it is new."""
        reports = self._store.read()
        if self._state.poison.tracker.merge(reports, self._state.now()):
            log_event(
                PREFIX_ROUTING,
                f"The platform lists {len(reports)} requests and prompt parts that crash upstreams",
            )
            self._state.poison.on_evidence_changed()

    def _store_evidence(self, subject: str) -> None:
        """Store the current evidence on a subject."""
        report = self._state.poison.tracker.report_for(subject, self._state.now())
        if report is not None:
            self._store.write(report)

    @staticmethod
    def _run_with_retries(work: Callable[[], None]) -> None:
        """Perform work at the platform, and retry while the platform is unavailable."""
        for attempt in range(MAX_ATTEMPTS):
            try:
                work()
                return
            except PlatformUnavailable as error:
                if not attempt:
                    log_event(PREFIX_ROUTING, f"Crashes under requests are not stored yet: {error}")
                gevent.sleep(RETRY_PAUSE_S)
        log_event(
            PREFIX_ROUTING, "Crashes under requests are not stored: the platform stays unavailable"
        )
