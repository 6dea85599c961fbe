"""Stop an instance without cutting off a request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from functools import singledispatchmethod


class DrainPhase(StrEnum):
    """Name the phases of a planned stop."""

    SERVING = "serving"
    WITHDRAWN = "withdrawn"
    """Not located any more; callers that kept the address are still served."""
    FINISHING = "finishing"
    """The time that callers keep an answer has passed; open requests go on."""
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class StopAsked:
    """Begin a planned stop."""


@dataclass(frozen=True, slots=True)
class DrainPeriod:
    """Let time pass; open counts the requests still served here."""

    open_requests: int


DrainEvent = StopAsked | DrainPeriod


@dataclass(frozen=True, slots=True)
class AnnounceLeaving:
    """Tell peers and the platform that this instance is leaving."""


@dataclass(frozen=True, slots=True)
class StopProcess:
    """End the process; nothing is open any more."""


DrainAction = AnnounceLeaving | StopProcess


class DrainController:
    """Walk through a planned stop."""

    def __init__(self, keep_s: float) -> None:
        """Take the seconds for which callers keep an address."""
        self._keep_s = keep_s
        self._phase = DrainPhase.SERVING
        self._since = 0.0

    @property
    def phase(self) -> DrainPhase:
        """Return the current phase."""
        return self._phase

    @property
    def is_located(self) -> bool:
        """Tell whether callers may be sent here."""
        return self._phase is DrainPhase.SERVING

    def handle(self, event: DrainEvent, now: float) -> list[DrainAction]:
        """Take one event and return the actions it leads to."""
        return self._on(event, now)

    @singledispatchmethod
    def _on(self, event: DrainEvent, now: float) -> list[DrainAction]:
        """Handle one event."""
        raise TypeError(f"no handler for {type(event).__name__}")

    @_on.register
    def _(self, event: StopAsked, now: float) -> list[DrainAction]:
        if self._phase is not DrainPhase.SERVING:
            return []
        self._phase = DrainPhase.WITHDRAWN
        self._since = now
        return [AnnounceLeaving()]

    @_on.register
    def _(self, event: DrainPeriod, now: float) -> list[DrainAction]:
        if self._phase is DrainPhase.WITHDRAWN and now - self._since >= self._keep_s:
            self._phase = DrainPhase.FINISHING
        if self._phase is DrainPhase.FINISHING and event.open_requests == 0:
            self._phase = DrainPhase.STOPPED
            return [StopProcess()]
        return []
