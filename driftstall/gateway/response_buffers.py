"""Bound the bytes of unfinished responses that an instance holds altogether."""

from __future__ import annotations

from typing import Final, Generic, TypeVar

MAX_HELD_BYTES: Final = 32_000_000
"""Limit of the bytes of all unfinished responses: beyond it the largest one is ended."""

HELD_SHARE: Final = 0.15
"""Share of the machine's memory for these bytes, where it is known."""
BYTES_PER_MB: Final = 1 << 20

Holder = TypeVar("Holder")


class ResponseBuffers(Generic[Holder]):
    """Record how many bytes each unfinished response holds."""

    def __init__(self, max_bytes: int = MAX_HELD_BYTES) -> None:
        """Start with no response."""
        self._max_bytes = max_bytes
        self._held: dict[Holder, int] = {}
        self._total = 0

    @classmethod
    def from_memory(cls, memory_mb: float) -> ResponseBuffers[Holder]:
        """Return the buffers of a machine with this memory in MB; zero if it is not known."""
        if not memory_mb:
            return cls()
        return cls(min(MAX_HELD_BYTES, int(memory_mb * BYTES_PER_MB * HELD_SHARE)))

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
