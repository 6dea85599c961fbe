"""Bound the repeats that all instances together send to a service.

Each instance takes its part of the common budget: the share that follows its own
requests, and an even part of the fixed rest. Instances that are not known make the
part too large; so a margin is kept, and the number of instances only falls slowly.
"""

from __future__ import annotations

from collections import deque
from typing import Final

from driftstall.gateway.model import Bounds

MARGIN: Final = 0.8
"""The part of the common budget that is used; the rest covers instances not yet known."""
FALL_S: Final = 30.0
"""How long the highest number of instances seen counts; longer than any restart."""


class InstanceCount:
    """Hold the highest number of instances seen lately."""

    def __init__(self) -> None:
        """Start with oneself."""
        self._peak = 1
        self._peak_at = 0.0

    def seen(self, count: int, now: float) -> None:
        """Take in how many instances are known now."""
        if count >= self._peak or now - self._peak_at > FALL_S:
            self._peak = max(1, count)
            self._peak_at = now

    @property
    def value(self) -> int:
        """Return the number to divide by."""
        return self._peak


class SharedRetryBudget:
    """Count requests and repeats of one service over a sliding window."""

    def __init__(self, bounds: Bounds, instances: InstanceCount) -> None:
        """Take the common bounds and the number of instances that share them."""
        self._bounds = bounds
        self._instances = instances
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def request(self, now: float) -> None:
        """Count one request, at its first send."""
        self._requests.append(now)
        self._forget(now)

    def take(self, now: float) -> bool:
        """Count one repeat if the budget allows it; return whether it does."""
        self._forget(now)
        extra = self._bounds.retry_extra * MARGIN / self._instances.value
        allowed = self._bounds.retry_ratio * MARGIN * len(self._requests) + extra
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        """Drop what lies before the window."""
        oldest = now - self._bounds.retry_window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest:
                times.popleft()
