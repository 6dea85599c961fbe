"""Remember the limits that upstreams name: requests a second, from all instances together.

An upstream in need names its limit with each answer, for as long as it needs one.
"""

from __future__ import annotations


class RateLimitBook:
    """Hold the limits in force, by upstream."""

    def __init__(self) -> None:
        """Start with none."""
        self._limits: dict[str, float] = {}

    def per_s(self, upstream_id: str) -> float | None:
        """Return the requests a second that an upstream takes; None if it names no limit."""
        return self._limits.get(upstream_id)

    def told(self, upstream_id: str, per_s: float | None) -> bool:
        """Take in what an answer has named; return whether that is new."""
        before = self._limits.get(upstream_id)
        if per_s is None:
            self._limits.pop(upstream_id, None)
        else:
            self._limits[upstream_id] = per_s
        return before != per_s

    @property
    def limited(self) -> dict[str, float]:
        """Return all limits in force."""
        return dict(self._limits)
