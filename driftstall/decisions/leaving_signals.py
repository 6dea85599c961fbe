"""Remember which upstreams have signalled in a response that they leave.

Pattern: the notice of an upstream stands in the store, which may be silent or behind, while the
upstream itself states with each response that it leaves. Such a signal is final for one start of
an upstream: no entry, no list, no peer and no response without the signal ends it. Each instance
hears it from the upstream or from a peer, with its age, so that the time to drain runs from the
first response wherever it was received.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

SIGNAL_RETENTION_S: Final = 60.0
"""How long the signal of an upstream without an entry is kept: peers may tell of it before the
store does, and an entry may come back after its removal."""
MS: Final = 1000
LONGEST_AGE_MS: Final = 3_600_000


@dataclass(frozen=True, slots=True)
class LeavingRecord:
    """Tell a peer that an upstream has signalled that it leaves."""

    upstream_id: str
    ago_ms: int
    """Age of the first such response that the sender knows of."""


class LeavingRegistry:
    """Hold the first signal of each upstream, by its id."""

    def __init__(self) -> None:
        """Start with none."""
        self._since: dict[str, float] = {}

    @property
    def upstream_ids(self) -> frozenset[str]:
        """Return the upstreams that have signalled."""
        return frozenset(self._since)

    def since(self, upstream_id: str) -> float | None:
        """Return when an upstream first signalled; None if it has not."""
        return self._since.get(upstream_id)

    def add(self, upstream_id: str, since: float) -> bool:
        """Add a signal; return whether it is the first of its upstream."""
        if upstream_id in self._since:
            return False
        self._since[upstream_id] = since
        return True

    def records(self, now: float) -> tuple[LeavingRecord, ...]:
        """Return all signals for peers."""
        return tuple(
            LeavingRecord(upstream_id, min(LONGEST_AGE_MS, int(max(0.0, now - since) * MS)))
            for upstream_id, since in self._since.items()
        )

    def forget_old(self, known_ids: Iterable[str], now: float) -> None:
        """Forget old signals of upstreams that are not known."""
        known = frozenset(known_ids)
        for upstream_id, since in list(self._since.items()):
            if upstream_id not in known and now - since > SIGNAL_RETENTION_S:
                del self._since[upstream_id]
