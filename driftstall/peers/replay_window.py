"""Anti-replay window for messages that arrive on several connections in any order."""

from __future__ import annotations

from typing import Final

WINDOW: Final = 4_096
"""Sequence numbers below the highest one that are still accepted, once each."""


class ReplayWindow:
    """Accept each sequence number of one sender once."""

    def __init__(self) -> None:
        """Initialize without accepted numbers."""
        self._highest = 0
        self._seen: set[int] = set()

    def accept(self, sequence: int) -> bool:
        """Return True if a number has not been seen and is not too old, and record it."""
        if sequence <= self._highest - WINDOW or sequence in self._seen:
            return False
        self._seen.add(sequence)
        if sequence > self._highest:
            self._highest = sequence
            self._seen = {each for each in self._seen if each > sequence - WINDOW}
        return True
