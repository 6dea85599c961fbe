"""Bound the bytes of unfinished responses that an instance holds altogether."""

from __future__ import annotations

from typing import Final, Generic, TypeVar

MAX_HELD_BYTES: Final = 32_000_000
"""Limit of the bytes of all unfinished responses: beyond it the largest one is ended."""

Holder = TypeVar("Holder")


class ResponseBuffers(Generic[Holder]):
    """Record how many bytes each unfinished response holds."""

    def __init__(self, max_bytes: int = MAX_HELD_BYTES) -> None:
        """Start with no response."""
        self._max_bytes = max_bytes
        self._held: dict[Holder, int] = {}
        self._total = 0

    @property
    def total(self) -> int:
        """Return the bytes that all responses hold."""
        return self._total

    def resize(self, holder: Holder, size: int) -> Holder | None:
        """Record the bytes of a response; return the one that has to be ended, or None."""
        self._total += size - self._held.get(holder, 0)
        self._held[holder] = size
        if self._total <= self._max_bytes:
            return None
        return max(self._held, key=self._held.__getitem__)

    def release(self, holder: Holder) -> None:
        """Forget a response that has ended."""
        self._total -= self._held.pop(holder, 0)
