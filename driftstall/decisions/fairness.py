"""Queue waiting requests by rank, with fair shares among workspaces.

Within a rank the workspace with the least service so far, divided by its share, goes next
(start-time fair queueing, counted in tokens). A workspace that floods only lengthens its own
queue.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from driftstall.core import Request, Verdict
from driftstall.decisions.memory import MemoryForecast

MAX_CANDIDATES: Final = 4
"""Workspaces that may overtake one whose first request is blocked."""


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """Describe a request that waits for a grant."""

    entry: str
    request: Request
    verdict: Verdict
    cost: float
    """Expected tokens, input and output."""
    since: float
    output: float
    """Expected output tokens."""
    forecast: MemoryForecast
    """Forecast memory once it is granted."""
    avoid: tuple[str, ...] = ()


@dataclass(slots=True)
class _WorkspaceQueue:
    """Hold the waiting requests of one workspace."""

    served: float = 0.0
    cost: float = 0.0
    waiting: list[tuple[float, int, WaitingRequest]] = field(default_factory=list)


class FairQueue:
    """Order the requests of one rank."""

    def __init__(self) -> None:
        """Initialize an empty queue."""
        self._queues: dict[str, _WorkspaceQueue] = {}
        self._order: list[tuple[float, str]] = []
        self._count = 0
        self._sequence = 0
        self._virtual_time = 0.0
        self._cost = 0.0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._count

    @property
    def cost(self) -> float:
        """Return the expected tokens of all waiting requests."""
        return self._cost

    @property
    def active(self) -> int:
        """Return the number of workspaces with waiting requests."""
        return len(self._queues)

    def cost_of(self, workspace: str) -> float:
        """Return the expected tokens of one workspace's waiting requests."""
        queue = self._queues.get(workspace)
        return queue.cost if queue else 0.0

    def push(self, item: WaitingRequest) -> None:
        """Add a request; within a workspace the earliest request goes first."""
        queue = self._queues.get(item.request.workspace)
        if queue is None:
            queue = self._queues[item.request.workspace] = _WorkspaceQueue(
                served=self._virtual_time
            )
            heapq.heappush(self._order, (queue.served, item.request.workspace))
        self._sequence += 1
        heapq.heappush(queue.waiting, (item.request.asked_at, self._sequence, item))
        queue.cost += item.cost
        self._cost += item.cost
        self._count += 1

    def candidates(self) -> Iterator[WaitingRequest]:
        """Yield the next requests in fair order, one for each workspace."""
        for _, workspace in heapq.nsmallest(MAX_CANDIDATES, self._order):
            yield self._queues[workspace].waiting[0][2]

    def serve(self, item: WaitingRequest) -> None:
        """Remove a granted request, and charge its workspace."""
        queue = self._queues[item.request.workspace]
        self._virtual_time = max(self._virtual_time, queue.served)
        self._remove(queue, item, charge=item.cost / item.verdict.share)

    def discard(self, item: WaitingRequest) -> bool:
        """Remove a request that no longer waits; return True if it did."""
        queue = self._queues.get(item.request.workspace)
        if queue is None or all(entry[2] is not item for entry in queue.waiting):
            return False
        self._remove(queue, item, charge=0.0)
        return True

    def _remove(self, queue: _WorkspaceQueue, item: WaitingRequest, *, charge: float) -> None:
        """Remove a request from its workspace's queue and reorder the queue."""
        workspace = item.request.workspace
        queue.waiting = [entry for entry in queue.waiting if entry[2] is not item]
        heapq.heapify(queue.waiting)
        queue.cost = max(0.0, queue.cost - item.cost)
        self._cost = max(0.0, self._cost - item.cost)
        self._count -= 1
        self._order.remove((queue.served, workspace))
        queue.served += charge
        if queue.waiting:
            self._order.append((queue.served, workspace))
        else:
            del self._queues[workspace]
        heapq.heapify(self._order)

    def items(self) -> Iterator[WaitingRequest]:
        """Yield all waiting requests, in no particular order."""
        for queue in self._queues.values():
            for _, _, item in queue.waiting:
                yield item
