"""Graceful shutdown: drain an instance without interrupting a request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from functools import singledispatchmethod


class DrainPhase(StrEnum):
    """Phases of a planned stop."""

    SERVING = "serving"
    WITHDRAWN = "withdrawn"
    """No longer located; callers that cached the address are still served."""
    FINISHING = "finishing"
    """Callers have dropped the cached address; open requests are completed."""
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class StopAsked:
    """Begin a planned stop."""


@dataclass(frozen=True, slots=True)
class DrainPeriod:
    """Trigger the periodic work, with the number of requests still being served."""

    open_requests: int


DrainEvent = StopAsked | DrainPeriod


@dataclass(frozen=True, slots=True)
class AnnounceLeaving:
    """Announce to peers and the platform that this instance is leaving."""


@dataclass(frozen=True, slots=True)
class StopProcess:
    """End the process, since no request is open."""


DrainAction = AnnounceLeaving | StopProcess


class DrainController:
    """State machine of a planned stop."""

    def __init__(self, keep_s: float) -> None:
        """Initialize as serving; keep_s is how long callers cache an address, in seconds."""
        self._keep_s = keep_s
        self._phase = DrainPhase.SERVING
        self._since = 0.0

    @property
    def phase(self) -> DrainPhase:
        """Return the current phase."""
        return self._phase

    @property
    def is_located(self) -> bool:
        """Return True if callers may be directed to this instance."""
        return self._phase is DrainPhase.SERVING

    def handle(self, event: DrainEvent, now: float) -> list[DrainAction]:
        """Apply one event and return the resulting actions."""
        return self._handle_event(event, now)

    @singledispatchmethod
    def _handle_event(self, event: DrainEvent, now: float) -> list[DrainAction]:
        """Handle one event."""
        raise TypeError(f"no handler for {type(event).__name__}")

    @_handle_event.register
    def _(self, event: StopAsked, now: float) -> list[DrainAction]:
        if self._phase is not DrainPhase.SERVING:
            return []
        self._phase = DrainPhase.WITHDRAWN
        self._since = now
        return [AnnounceLeaving()]

    @_handle_event.register
    def _(self, event: DrainPeriod, now: float) -> list[DrainAction]:
        if self._phase is DrainPhase.WITHDRAWN and now - self._since >= self._keep_s:
            self._phase = DrainPhase.FINISHING
        if self._phase is DrainPhase.FINISHING and event.open_requests == 0:
            self._phase = DrainPhase.STOPPED
            return [StopProcess()]
        return []
