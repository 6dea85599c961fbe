"""Queue waiting requests by rank, with fair shares among workspaces.

Within a rank the workspace with the least service so far, divided by its share,
goes next (start-time fair queueing, counted in tokens). A workspace that floods
only lengthens its own line.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from driftstall.core import Request, Verdict
from driftstall.decisions.memory import MemoryForecast

LOOK_AHEAD: Final = 4
"""Workspaces behind a blocked one that may go before it."""


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """Hold a request that waits for a grant."""

    entry: str
    request: Request
    verdict: Verdict
    cost: float
    """Expected tokens, input and output."""
    since: float
    output: float
    """Expected output tokens."""
    hold: MemoryForecast
    """Forecast memory once it is granted."""
    avoid: tuple[str, ...] = ()


@dataclass(slots=True)
class _Line:
    """Hold the waiting requests of one workspace."""

    served: float = 0.0
    cost: float = 0.0
    waiting: list[tuple[float, int, WaitingRequest]] = field(default_factory=list)


class FairQueue:
    """Order the requests of one rank."""

    def __init__(self) -> None:
        """Start empty."""
        self._lines: dict[str, _Line] = {}
        self._order: list[tuple[float, str]] = []
        self._count = 0
        self._sequence = 0
        self._virtual = 0.0
        self._cost = 0.0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return self._count

    @property
    def cost(self) -> float:
        """Return the expected tokens of all that wait."""
        return self._cost

    @property
    def active(self) -> int:
        """Return how many workspaces wait."""
        return len(self._lines)

    def cost_of(self, workspace: str) -> float:
        """Return the expected tokens that wait in one workspace."""
        line = self._lines.get(workspace)
        return line.cost if line else 0.0

    def push(self, item: WaitingRequest) -> None:
        """Add a request; within a workspace the oldest asked goes first."""
        line = self._lines.get(item.request.workspace)
        if line is None:
            line = self._lines[item.request.workspace] = _Line(served=self._virtual)
            heapq.heappush(self._order, (line.served, item.request.workspace))
        self._sequence += 1
        heapq.heappush(line.waiting, (item.request.asked_at, self._sequence, item))
        line.cost += item.cost
        self._cost += item.cost
        self._count += 1

    def candidates(self) -> Iterator[WaitingRequest]:
        """Yield the next requests in fair order, one for each workspace."""
        for _, workspace in heapq.nsmallest(LOOK_AHEAD, self._order):
            yield self._lines[workspace].waiting[0][2]

    def serve(self, item: WaitingRequest) -> None:
        """Take out a request that was granted, and charge its workspace."""
        line = self._lines[item.request.workspace]
        self._virtual = max(self._virtual, line.served)
        self._remove(line, item, charge=item.cost / item.verdict.share)

    def discard(self, item: WaitingRequest) -> bool:
        """Take out a request that no longer waits; return whether it did."""
        line = self._lines.get(item.request.workspace)
        if line is None or all(entry[2] is not item for entry in line.waiting):
            return False
        self._remove(line, item, charge=0.0)
        return True

    def _remove(self, line: _Line, item: WaitingRequest, *, charge: float) -> None:
        """Take a request out of its line and put the line where it now belongs."""
        workspace = item.request.workspace
        line.waiting = [entry for entry in line.waiting if entry[2] is not item]
        heapq.heapify(line.waiting)
        line.cost = max(0.0, line.cost - item.cost)
        self._cost = max(0.0, self._cost - item.cost)
        self._count -= 1
        self._order.remove((line.served, workspace))
        line.served += charge
        if line.waiting:
            self._order.append((line.served, workspace))
        else:
            del self._lines[workspace]
        heapq.heapify(self._order)

    def items(self) -> Iterator[WaitingRequest]:
        """Yield all that wait, in no order."""
        for line in self._lines.values():
            for _, _, item in line.waiting:
                yield item
