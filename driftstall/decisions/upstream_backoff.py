"""Keep requests from upstreams that have rejected one with a time to back off.

Pattern: an upstream sheds load by rejecting requests of one instance, and states for how long it
wants none of it. Ejection with times of our own (see outcomes) would try it again and again
meanwhile. The back-off holds between one instance and one upstream: others, which it has not
asked, go on. A further rejection may lengthen it; nothing shortens it.

Where all upstreams of a service back off, callers are refused at once and return one after the
other from the moment at which the first upstream takes requests again.
"""

from __future__ import annotations

from typing import Final

MAX_BACKOFF_S: Final = 300.0
RETRY_SPREAD_S: Final = 1.0
"""Time over which refused callers return."""
MIN_RETRY_S: Final = 0.05
CALLS_PER_SLOT_S: Final = 4.0
"""Calls a second that a place of an upstream is assumed to serve."""


class UpstreamBackoff:
    """Hold until when each upstream wants no requests of this instance."""

    def __init__(self) -> None:
        """Start with none."""
        self._until: dict[str, float] = {}

    def request(self, upstream_id: str, for_s: float, now: float) -> float:
        """Add a back-off that an upstream requests; return what is left of it, in seconds."""
        until = now + min(MAX_BACKOFF_S, for_s)
        self._until[upstream_id] = max(until, self._until.get(upstream_id, until))
        return self._until[upstream_id] - now

    def remaining_s(self, upstream_id: str, now: float) -> float:
        """Return for how long an upstream still wants no requests; zero if it takes them."""
        return max(0.0, self._until.get(upstream_id, now) - now)

    def active(self, now: float) -> frozenset[str]:
        """Return the upstreams that want no requests now."""
        return frozenset(one for one, until in self._until.items() if until > now)

    def forget_ended(self, now: float) -> None:
        """Forget back-offs that are over."""
        for upstream_id in [one for one, until in self._until.items() if until <= now]:
            del self._until[upstream_id]


class StaggeredRetries:
    """Give refused callers of a service times to return, one after the other."""

    def __init__(self) -> None:
        """Start with nobody refused."""
        self._last: dict[str, float] = {}

    def next_s(self, service: str, first_s: float, per_s: float, now: float) -> float:
        """Return when the next caller is to return, in seconds.

        First is when an upstream takes requests again, per_s how many of this instance it is
        assumed to serve a second.
        """
        first_at = now + first_s
        at = self._last.get(service, float("-inf")) + 1.0 / per_s
        if not first_at <= at <= first_at + RETRY_SPREAD_S:
            at = first_at
        self._last[service] = at
        return max(MIN_RETRY_S, at - now)
