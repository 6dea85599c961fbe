"""Bound retries to a share of recent requests, so that an outage makes no storm."""

from __future__ import annotations

from typing import Final

RETRY_SHARE: Final = 0.1
MIN_RETRIES: Final = 5.0
MAX_RETRIES: Final = 100.0


class RetryBudget:
    """Earn a share of a retry with each request; spend one for each retry."""

    def __init__(self) -> None:
        """Start with a few retries, for a quiet instance."""
        self._left = MIN_RETRIES

    @property
    def left(self) -> float:
        """Return the retries that are left."""
        return self._left

    def earn(self) -> None:
        """Count a first try."""
        self._left = min(MAX_RETRIES, self._left + RETRY_SHARE)

    def spend(self) -> bool:
        """Take one retry, if there is one left."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
