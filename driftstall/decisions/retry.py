"""Limit retries to a share of recent requests, so that an outage causes no retry storm."""

from __future__ import annotations

from typing import Final

RETRY_SHARE: Final = 0.1
MIN_RETRIES: Final = 5.0
MAX_RETRIES: Final = 100.0


class RetryBudget:
    """Earn a share of a retry with each request; spend one for each retry."""

    def __init__(self) -> None:
        """Initialize with a few retries, for an instance with little traffic."""
        self._remaining = MIN_RETRIES

    @property
    def remaining(self) -> float:
        """Return the remaining retries."""
        return self._remaining

    def earn(self) -> None:
        """Count a first attempt."""
        self._remaining = min(MAX_RETRIES, self._remaining + RETRY_SHARE)

    def spend(self) -> bool:
        """Take one retry; return True if one was available."""
        if self._remaining < 1.0:
            return False
        self._remaining -= 1.0
        return True
