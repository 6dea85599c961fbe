"""Share a bounded amount of memory among the requests and responses that an instance holds.

Each holder opens an account and grows it before it buffers more bytes. When the budget is used up,
the account that holds most is evicted, so a few large holders cannot displace many small ones.
Accounts of requests in progress are protected from that.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

BYTES_PER_MB: Final = 1 << 20
DEFAULT_MEMORY_MB: Final = 256.0
"""Memory of the machine if the settings name none."""
MEMORY_SHARE: Final = 0.2
"""Share of the machine's memory for buffers. A request in progress exists twice while it is sent to
an upstream, and the process itself needs about half of a small machine."""


class BufferBudget:
    """Bound the bytes that all accounts hold together."""

    def __init__(self, capacity_bytes: int) -> None:
        """Start with no account."""
        self._capacity_bytes = capacity_bytes
        self._used_bytes = 0
        self._evictable: dict[BufferAccount, None] = {}
        self._evictions = 0

    @classmethod
    def from_memory(cls, memory_mb: float) -> BufferBudget:
        """Return the budget of a machine with this memory in MB; zero if it is not known."""
        return cls(int((memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB * MEMORY_SHARE))

    @property
    def capacity_bytes(self) -> int:
        """Return the bytes that all accounts may hold together."""
        return self._capacity_bytes

    @property
    def used_bytes(self) -> int:
        """Return the bytes that all accounts hold."""
        return self._used_bytes

    @property
    def evictions(self) -> int:
        """Return the number of accounts that were evicted or refused more bytes."""
        return self._evictions

    def set_capacity(self, capacity_bytes: int) -> None:
        """Change the capacity; accounts beyond it are evicted when one grows."""
        self._capacity_bytes = capacity_bytes

    def open(self, on_evicted: Callable[[], None]) -> BufferAccount:
        """Return a new account; the function is called if it is evicted while others grow."""
        account = BufferAccount(self, on_evicted)
        self._evictable[account] = None
        return account

    def _take(self, account: BufferAccount, size: int) -> bool:
        """Take bytes for an account, and evict others that hold more; return whether it worked."""
        while self._used_bytes + size > self._capacity_bytes:
            largest = self._find_largest(account, account.held_bytes + size)
            self._evictions += 1
            if largest is None:
                return False
            largest.evict()
        self._used_bytes += size
        return True

    def _overdraw(self, size: int) -> None:
        """Take bytes beyond the capacity."""
        self._used_bytes += size

    def _find_largest(self, growing: BufferAccount, size: int) -> BufferAccount | None:
        """Return the oldest of the largest accounts to evict; None for the growing one itself."""
        others = (account for account in self._evictable if account is not growing)
        largest = max(others, key=lambda account: account.held_bytes, default=None)
        if largest is None or not largest.held_bytes:
            return None
        if growing in self._evictable and size > largest.held_bytes:
            return None
        return largest

    def _give_back(self, size: int) -> None:
        """Return bytes to the budget."""
        self._used_bytes -= size

    def _set_evictable(self, account: BufferAccount, *, is_evictable: bool) -> None:
        """Add an account to those that may be evicted, or remove it."""
        if is_evictable:
            self._evictable[account] = None
        else:
            self._evictable.pop(account, None)


class BufferAccount:
    """Hold bytes of the budget for one request or response."""

    def __init__(self, budget: BufferBudget, on_evicted: Callable[[], None]) -> None:
        """Start with no bytes; BufferBudget.open creates accounts."""
        self._budget = budget
        self._on_evicted = on_evicted
        self._held_bytes = 0
        self._is_closed = False

    @property
    def held_bytes(self) -> int:
        """Return the bytes that the account holds."""
        return self._held_bytes

    def grow(self, size: int) -> bool:
        """Take bytes; return False if there is no room for them or the account is closed."""
        if self._is_closed or not self._budget._take(self, size):
            return False
        self._held_bytes += size
        return True

    def overdraw(self, size: int) -> None:
        """Take bytes that exist already, even if there is no room for them."""
        if not self._is_closed:
            self._budget._overdraw(size)
            self._held_bytes += size

    def shrink(self, size: int) -> None:
        """Give back some bytes."""
        size = min(size, self._held_bytes)
        self._held_bytes -= size
        self._budget._give_back(size)

    def protect(self) -> None:
        """Exclude the account from eviction: its request is in progress."""
        self._budget._set_evictable(self, is_evictable=False)

    def expose(self) -> None:
        """Let the account be evicted again."""
        if not self._is_closed:
            self._budget._set_evictable(self, is_evictable=True)

    def evict(self) -> None:
        """Close the account and notify its holder, who must free its buffers at once."""
        self.close()
        self._on_evicted()

    def close(self) -> None:
        """Give back all bytes; the account cannot grow any more."""
        self.shrink(self._held_bytes)
        self._is_closed = True
        self.protect()
