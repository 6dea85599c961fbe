"""Withhold requests from upstreams that have rejected one with a back-off time.

An upstream sheds load by rejecting requests of one instance, and states for how long it wants none
from it. Outlier ejection with this instance's own times (see outcomes) would retry it again and
again meanwhile. The back-off holds between one instance and one upstream: other instances, to
which it has not been stated, continue to send. A further rejection may lengthen it; nothing
shortens it.

Where all upstreams of a service back off, callers are refused at once and told to retry one after
the other from the moment at which the first upstream accepts requests again.
"""

from __future__ import annotations

from typing import Final

MAX_BACKOFF_S: Final = 300.0
RETRY_SPREAD_S: Final = 1.0
"""Time over which the retries of refused callers are spread."""
MIN_RETRY_S: Final = 0.05
CALLS_PER_SLOT_S: Final = 4.0
"""Assumed calls a second that one slot of an upstream serves."""


class UpstreamBackoff:
    """Hold until when each upstream wants no requests from this instance."""

    def __init__(self) -> None:
        """Initialize without back-offs."""
        self._until: dict[str, float] = {}

    def request(self, upstream_id: str, for_s: float, now: float) -> float:
        """Add a back-off that an upstream requests; return its remaining seconds."""
        until = now + min(MAX_BACKOFF_S, for_s)
        self._until[upstream_id] = max(until, self._until.get(upstream_id, until))
        return self._until[upstream_id] - now

    def remaining_s(self, upstream_id: str, now: float) -> float:
        """Return the seconds until an upstream accepts requests; zero if it does."""
        return max(0.0, self._until.get(upstream_id, now) - now)

    def active(self, now: float) -> frozenset[str]:
        """Return the upstreams that want no requests now."""
        return frozenset(upstream_id for upstream_id, until in self._until.items() if until > now)

    def forget_ended(self, now: float) -> None:
        """Forget back-offs that have ended."""
        for upstream_id in [known_id for known_id, until in self._until.items() if until <= now]:
            del self._until[upstream_id]


class StaggeredRetries:
    """Give refused callers of a service times to retry, one after the other."""

    def __init__(self) -> None:
        """Initialize without refused callers."""
        self._last_at: dict[str, float] = {}

    def next_s(self, service: str, first_s: float, per_s: float, now: float) -> float:
        """Return the seconds after which the next caller is to retry.

        `first_s`: seconds until an upstream accepts requests again. `per_s`: requests a second of
        this instance that the upstream is assumed to serve.
        """
        first_at = now + first_s
        at = self._last_at.get(service, float("-inf")) + 1.0 / per_s
        if not first_at <= at <= first_at + RETRY_SPREAD_S:
            at = first_at
        self._last_at[service] = at
        return max(MIN_RETRY_S, at - now)
