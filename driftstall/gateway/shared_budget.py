"""Bound the repeats that all instances together send to a service.

Each instance tells its peers what it has sent, so the common budget is used where the
repeats are needed. An instance that is not heard of may use an even part of it, and
takes no more by itself; so both sides of a cut stay within the budget together.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Final

from driftstall.decisions.instance_count import InstanceCount
from driftstall.gateway.model import Bounds

MARGIN: Final = 0.8
"""The part of the common budget that is used; the rest covers instances not yet known."""
IN_FLIGHT: Final = 2
"""Repeats that each other instance may have sent since its last report."""
IN_FLIGHT_SHARE: Final = 0.25
"""Share of the budget that is held back for such repeats at the most."""
HEARD_S: Final = 2.5
"""A report counts for so long; a live peer repeats it each second."""


@dataclass(frozen=True, slots=True)
class RepeatCount:
    """Tell what one instance has sent to a service within the window."""

    service: str
    requests: int
    repeats: int


@dataclass(frozen=True, slots=True)
class _Heard:
    """Hold a count and when it came."""

    count: RepeatCount
    at: float
    instances: int
    """How many instances it stands for."""


class SharedRetryBudget:
    """Count requests and repeats of one service over a sliding window."""

    def __init__(self, service: str, bounds: Bounds, instances: InstanceCount) -> None:
        """Take the common bounds and the number of instances that share them."""
        self._service = service
        self._bounds = bounds
        self._instances = instances
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()
        self._peers: dict[str, _Heard] = {}

    def count(self, now: float) -> RepeatCount:
        """Return what this instance has sent within the window."""
        self._forget(now)
        return RepeatCount(self._service, len(self._requests), len(self._repeats))

    def record_peer(self, peer: str, count: RepeatCount, now: float, *, instances: int = 1) -> None:
        """Take in what a peer has sent, or several peers together."""
        self._peers[peer] = _Heard(count, now, instances)

    def forget_peers(self) -> None:
        """Forget what peers have told: it will come in other sums, and must not count twice."""
        self._peers.clear()

    def record_request(self, now: float) -> None:
        """Count one request, at its first send."""
        self._requests.append(now)
        self._forget(now)

    def try_take(self, now: float) -> bool:
        """Count one repeat if the budget allows it; return whether it does."""
        self._forget(now)
        if len(self._repeats) + 1 > self.allowed(now):
            return False
        self._repeats.append(now)
        return True

    def allowed(self, now: float) -> float:
        """Return the repeats that this instance may have sent within the window."""
        bounds = self._bounds
        heard = [one for one in self._peers.values() if now - one.at <= HEARD_S]
        even_part = bounds.retry_extra / self._instances.value
        if not heard:
            return MARGIN * (bounds.retry_ratio * len(self._requests) + even_part)
        others = sum(one.instances for one in heard)
        requests = len(self._requests) + sum(one.count.requests for one in heard)
        unheard = max(0, self._instances.value - 1 - others)
        whole = bounds.retry_ratio * requests + bounds.retry_extra - unheard * even_part
        common = MARGIN * whole
        reserved = min(IN_FLIGHT * others, IN_FLIGHT_SHARE * common)
        return common - reserved - sum(one.count.repeats for one in heard)

    def _forget(self, now: float) -> None:
        """Drop what lies before the window."""
        oldest = now - self._bounds.retry_window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest:
                times.popleft()
