"""Track which upstreams have signalled in a response that they are leaving.

The notice of an upstream stands in the store, which may be silent or behind, while the upstream
itself states with each response that it is leaving. Such a signal is final for one start of an
upstream: no entry, list, peer or response without the signal revokes it. Each instance receives
the signal from the upstream or from a peer, with its age, so that the time to drain runs from the
first response regardless of which instance received it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

SIGNAL_RETENTION_S: Final = 60.0
"""How long the signal of an upstream without an entry is kept: peers may report it before the
store does, and an entry may come back after its removal."""
MS_PER_S: Final = 1000
MAX_AGE_MS: Final = 3_600_000


@dataclass(frozen=True, slots=True)
class LeavingRecord:
    """Report to a peer that an upstream has signalled that it is leaving."""

    upstream_id: str
    ago_ms: int
    """Age of the first such response known to the sender."""


class LeavingRegistry:
    """Hold the first leaving signal of each upstream, by its id."""

    def __init__(self) -> None:
        """Initialize without signals."""
        self._since: dict[str, float] = {}

    @property
    def upstream_ids(self) -> frozenset[str]:
        """Return the upstreams that have signalled."""
        return frozenset(self._since)

    def since(self, upstream_id: str) -> float | None:
        """Return when an upstream first signalled; None if it has not."""
        return self._since.get(upstream_id)

    def add(self, upstream_id: str, since: float) -> bool:
        """Add a signal; return True if it is the first of its upstream."""
        if upstream_id in self._since:
            return False
        self._since[upstream_id] = since
        return True

    def records(self, now: float) -> tuple[LeavingRecord, ...]:
        """Return all signals, to be published to peers."""
        return tuple(
            LeavingRecord(upstream_id, min(MAX_AGE_MS, int(max(0.0, now - since) * MS_PER_S)))
            for upstream_id, since in self._since.items()
        )

    def forget_old(self, known_ids: Iterable[str], now: float) -> None:
        """Forget expired signals of upstreams that are not known."""
        known = frozenset(known_ids)
        for upstream_id, since in list(self._since.items()):
            if upstream_id not in known and now - since > SIGNAL_RETENTION_S:
                del self._since[upstream_id]
