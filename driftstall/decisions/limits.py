"""Limit the tokens of a workspace: reserve the forecast, settle the actual use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

BURST_S: Final = 60.0
"""Seconds of the limit that may be used at once."""


@dataclass(slots=True)
class TokenBucket:
    """Count the tokens that a workspace may still use."""

    rate: float
    """Tokens a second."""
    level: float
    at: float

    @classmethod
    def full(cls, rate: float, now: float) -> TokenBucket:
        """Return a full bucket."""
        return cls(rate, rate * BURST_S, now)

    def reserve(self, tokens: float, now: float) -> float:
        """Take tokens and return zero, or return the seconds until they are there.

        A request above the whole burst is let through on a full bucket, and the
        bucket goes below zero: else it could never run.
        """
        self._refill(now)
        need = min(tokens, self.rate * BURST_S)
        if self.level + 1e-6 < need:
            return (need - self.level) / self.rate
        self.level -= tokens
        return 0.0

    def settle(self, reserved: float, used: float) -> None:
        """Give back what was reserved and not used."""
        self.level = min(self.rate * BURST_S, self.level + reserved - used)

    def _refill(self, now: float) -> None:
        """Add the tokens of the time passed."""
        passed = max(0.0, now - self.at)
        self.level = min(self.rate * BURST_S, self.level + passed * self.rate)
        self.at = max(self.at, now)
