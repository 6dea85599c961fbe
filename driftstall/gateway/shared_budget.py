"""Limit the retries that all instances together send to a service.

Instances report their requests and retries to each other, so any instance can use the shared
retry budget where retries are needed. An even part of the budget is kept for each instance
without a fresh report, and an isolated instance takes no more than its part; so both sides of a
network partition together stay within the budget.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Final

from driftstall.decisions.instance_count import InstanceCount
from driftstall.gateway.model import Bounds

USABLE_SHARE: Final = 0.8
"""Share of the budget that is used; the remainder covers instances not yet known."""
UNREPORTED_PER_INSTANCE: Final = 2
"""Retries that each other instance may have sent since its last report."""
MAX_UNREPORTED_SHARE: Final = 0.25
"""Upper bound of the share of the budget that is reserved for such retries."""
REPORT_VALID_S: Final = 2.5
"""Age at which a report expires; a live peer repeats it each second."""


@dataclass(frozen=True, slots=True)
class RepeatCount:
    """Count the requests and retries sent to a service within the window."""

    service: str
    requests: int
    repeats: int


@dataclass(frozen=True, slots=True)
class _PeerCount:
    """Hold a reported count and its time of arrival."""

    count: RepeatCount
    at: float
    instances: int
    """Number of instances whose counts are summed."""


@dataclass(frozen=True, slots=True)
class PeerTotals:
    """Sum the valid counts of peers, and state how old the oldest of them is."""

    requests: int
    repeats: int
    oldest_s: float


class SharedRetryBudget:
    """Limit the retries of one service by its requests, over a sliding window."""

    def __init__(self, service: str, bounds: Bounds, instances: InstanceCount) -> None:
        """Initialize with the site's bounds and the number of instances that share them."""
        self._service = service
        self._bounds = bounds
        self._instances = instances
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()
        self._peers: dict[str, _PeerCount] = {}

    def count(self, now: float) -> RepeatCount:
        """Return the requests and retries that this instance has sent within the window."""
        self._drop_expired(now)
        return RepeatCount(self._service, len(self._requests), len(self._repeats))

    def record_peer(self, peer: str, count: RepeatCount, now: float, *, instances: int = 1) -> None:
        """Record the count of a peer, or the sum of several peers."""
        self._peers[peer] = _PeerCount(count, now, instances)

    def peer_totals(self, now: float) -> PeerTotals:
        """Return what peers have reported lately, for the log."""
        valid = [peer for peer in self._peers.values() if now - peer.at <= REPORT_VALID_S]
        return PeerTotals(
            sum(peer.count.requests for peer in valid),
            sum(peer.count.repeats for peer in valid),
            max((now - peer.at for peer in valid), default=0.0),
        )

    def forget_peers(self) -> None:
        """Discard peers' counts: they will arrive in other sums and must not count twice."""
        self._peers.clear()

    def record_request(self, now: float) -> None:
        """Count one request, at its first send."""
        self._requests.append(now)
        self._drop_expired(now)

    def try_take(self, now: float) -> bool:
        """Count one retry and return True if the budget allows it, else return False."""
        self._drop_expired(now)
        if len(self._repeats) + 1 > self.max_retries(now):
            return False
        self._repeats.append(now)
        return True

    def max_retries(self, now: float) -> float:
        """Return how many retries this instance may have sent within the window."""
        bounds = self._bounds
        fresh = [peer for peer in self._peers.values() if now - peer.at <= REPORT_VALID_S]
        even_part = bounds.retry_extra / self._instances.value
        if not fresh:
            return USABLE_SHARE * (bounds.retry_ratio * len(self._requests) + even_part)
        others = sum(peer.instances for peer in fresh)
        requests = len(self._requests) + sum(peer.count.requests for peer in fresh)
        silent_instances = max(0, self._instances.value - 1 - others)
        total = bounds.retry_ratio * requests + bounds.retry_extra - silent_instances * even_part
        usable = USABLE_SHARE * total
        reserved = min(UNREPORTED_PER_INSTANCE * others, MAX_UNREPORTED_SHARE * usable)
        return usable - reserved - sum(peer.count.repeats for peer in fresh)

    def _drop_expired(self, now: float) -> None:
        """Remove timestamps from before the window."""
        oldest = now - self._bounds.retry_window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest:
                times.popleft()
