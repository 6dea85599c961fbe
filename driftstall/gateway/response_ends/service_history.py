"""Remember what was seen of services, as evidence for the ends of their streams."""

from __future__ import annotations

from typing import Final

MAX_SERVICES: Final = 1_024
VALID_S: Final = 600.0
"""Time after which an observation says nothing about later streams: upstreams get new software."""


class RecentServices:
    """Services of which something was seen lately."""

    def __init__(self) -> None:
        """Initialize without services."""
        self._seen_at: dict[str, float] = {}

    def record(self, service: str, now: float) -> None:
        """Record that it was seen of a service."""
        self._seen_at.pop(service, None)
        self._seen_at[service] = now
        if len(self._seen_at) > MAX_SERVICES:
            del self._seen_at[next(iter(self._seen_at))]

    def has(self, service: str, now: float) -> bool:
        """Return True if it was seen of a service lately."""
        seen_at = self._seen_at.get(service)
        return seen_at is not None and now - seen_at <= VALID_S


class ServiceHistory:
    """What this instance has seen of the streams of each service."""

    def __init__(self) -> None:
        """Initialize without services."""
        self._framed = RecentServices()
        self._copying = RecentServices()

    @property
    def framed(self) -> RecentServices:
        """Return the services of which a stream was framed."""
        return self._framed

    @property
    def copying(self) -> RecentServices:
        """Return the services that kept the copy of a run whose response was closed early."""
        return self._copying
