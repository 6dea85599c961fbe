"""Track the recent number of instances, to divide shared budgets by."""

from __future__ import annotations

from typing import Final

PEAK_RETENTION_S: Final = 30.0
"""How long the highest number of instances seen counts; longer than any restart."""


class InstanceCount:
    """Hold the highest recent number of instances."""

    def __init__(self, retention_s: float = PEAK_RETENTION_S) -> None:
        """Initialize with this instance alone."""
        self._retention_s = retention_s
        self._peak = 1
        self._peak_at = 0.0

    def record(self, count: int, now: float) -> None:
        """Record the number of instances that are known now."""
        if count >= self._peak or now - self._peak_at > self._retention_s:
            self._peak = max(1, count)
            self._peak_at = now

    @property
    def value(self) -> int:
        """Return the number by which to divide."""
        return self._peak
