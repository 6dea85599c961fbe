"""Remember how many instances there were lately, for what is shared by all of them."""

from __future__ import annotations

from typing import Final

FALL_S: Final = 30.0
"""How long the highest number of instances seen counts; longer than any restart."""


class InstanceCount:
    """Hold the highest number of instances seen lately."""

    def __init__(self) -> None:
        """Start with oneself."""
        self._peak = 1
        self._peak_at = 0.0

    def record(self, count: int, now: float) -> None:
        """Take in how many instances are known now."""
        if count >= self._peak or now - self._peak_at > FALL_S:
            self._peak = max(1, count)
            self._peak_at = now

    @property
    def value(self) -> int:
        """Return the number to divide by."""
        return self._peak
