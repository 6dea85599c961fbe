"""Remember which services frame their streams."""

from __future__ import annotations

from typing import Final

from driftstall.gateway.response_ends.framing import ResponseFraming

MAX_SERVICES: Final = 1_024
VALID_S: Final = 600.0
"""Time after which a framed stream says nothing about later ones: upstreams get new software."""


class FramedServices:
    """Services of which a stream was framed lately."""

    def __init__(self) -> None:
        """Initialize without services."""
        self._framed_at: dict[str, float] = {}

    def record(self, service: str, framing: ResponseFraming, now: float) -> None:
        """Record how a stream of a service is framed."""
        if framing not in (ResponseFraming.LENGTH, ResponseFraming.CHUNKED):
            return
        self._framed_at.pop(service, None)
        self._framed_at[service] = now
        if len(self._framed_at) > MAX_SERVICES:
            del self._framed_at[next(iter(self._framed_at))]

    def is_framed(self, service: str, now: float) -> bool:
        """Return True if a stream of the service was framed lately."""
        framed_at = self._framed_at.get(service)
        return framed_at is not None and now - framed_at <= VALID_S
