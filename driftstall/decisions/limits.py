"""Limit the tokens of a workspace with a token bucket: reserve the forecast, settle the use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

BURST_S: Final = 60.0
"""Capacity of the bucket, in seconds of the limit."""


@dataclass(slots=True)
class TokenBucket:
    """Hold the tokens that a workspace may still use."""

    rate: float
    """Tokens a second."""
    level: float
    """Tokens available at the time `at`."""
    at: float

    @classmethod
    def full(cls, rate: float, now: float) -> TokenBucket:
        """Return a full bucket."""
        return cls(rate, rate * BURST_S, now)

    def reserve(self, tokens: float, now: float) -> float:
        """Take tokens and return zero, or return the seconds until they are available.

        A request above the whole capacity is allowed on a full bucket, and the level becomes
        negative: otherwise it could never run.
        """
        self._refill(now)
        required = min(tokens, self.rate * BURST_S)
        if self.level + 1e-6 < required:
            return (required - self.level) / self.rate
        self.level -= tokens
        return 0.0

    def settle(self, reserved: float, used: float) -> None:
        """Return the tokens that were reserved and not used."""
        self.level = min(self.rate * BURST_S, self.level + reserved - used)

    def _refill(self, now: float) -> None:
        """Add the tokens of the elapsed time."""
        elapsed_s = max(0.0, now - self.at)
        self.level = min(self.rate * BURST_S, self.level + elapsed_s * self.rate)
        self.at = max(self.at, now)
