"""Keep the waiting requests of all ranks, their bounds and promised places."""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from driftstall.core import Request, Verdict
from driftstall.decisions.fairness import FairQueue, Waiting
from driftstall.decisions.limits import TokenBucket
from driftstall.decisions.retry_schedule import (
    FLOOR_RATE,
    QueueReservations,
    ServiceRate,
    forecast_wait,
)

AFTER_ALL_RANKS = 99
"""Comes after every rank that a policy can give."""


class RankQueues:
    """Hold one fair queue, one service rate and the promised places for each rank."""

    def __init__(self) -> None:
        """Start empty."""
        self._queues: dict[int, FairQueue] = {}
        self._rates: dict[int, ServiceRate] = {}
        self._promises: dict[int, QueueReservations] = {}
        self._waiting: dict[str, Waiting] = {}
        self._expiry: list[tuple[float, str]] = []

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    def __contains__(self, request_id: str) -> bool:
        """Tell whether a request waits."""
        return request_id in self._waiting

    @property
    def first_waiting_rank(self) -> int:
        """Return the best rank of which a request waits, or one behind all ranks."""
        return min(
            (rank for rank, queue in self._queues.items() if len(queue)), default=AFTER_ALL_RANKS
        )

    def queues_by_rank(self) -> Iterator[tuple[int, FairQueue]]:
        """Yield the queues, best rank first."""
        for rank in sorted(self._queues):
            yield rank, self._queues[rank]

    def requests_of_entry(self, entry: str) -> list[str]:
        """Return the requests that wait for one entry."""
        return [one for one, item in self._waiting.items() if item.entry == entry]

    def push(self, item: Waiting) -> None:
        """Let a request wait, until its bound or deadline."""
        request, verdict = item.request, item.verdict
        self._waiting[request.request_id] = item
        self._queues.setdefault(verdict.rank, FairQueue()).push(item)
        until = item.since + verdict.wait_s if verdict.may_refuse else request.deadline
        heapq.heappush(self._expiry, (min(until, request.deadline), request.request_id))

    def serve(self, item: Waiting, now: float) -> None:
        """Take out a request that is granted, and charge its workspace."""
        rank = item.verdict.rank
        self._queues[rank].serve(item)
        self._rates.setdefault(rank, ServiceRate(FLOOR_RATE)).add(item.cost, now)
        del self._waiting[item.request.request_id]

    def discard(self, request_id: str) -> Waiting | None:
        """Take out a request that no longer waits, if it does."""
        item = self._waiting.pop(request_id, None)
        if item is not None:
            self._queues[item.verdict.rank].discard(item)
        return item

    def pop_expired(self, now: float) -> Iterator[Waiting]:
        """Take out and yield what has waited as long as it may."""
        while self._expiry and self._expiry[0][0] <= now:
            _, request_id = heapq.heappop(self._expiry)
            item = self.discard(request_id)
            if item is not None:
                yield item

    def release_place(self, rank: int, ticket: str) -> bool:
        """Give up a promised place on its holder's return; return whether it was kept."""
        return bool(ticket) and rank in self._promises and self._promises[rank].take(ticket)

    def reserve_place(
        self, rank: int, ticket: str, workspace: str, cost: float, until: float
    ) -> None:
        """Promise a place until a time."""
        self._promises.setdefault(rank, QueueReservations()).make(ticket, workspace, cost, until)

    def forecast(self, request: Request, verdict: Verdict, cost: float, now: float) -> float:
        """Forecast the wait of a newcomer, in seconds."""
        promises = self._promises.setdefault(verdict.rank, QueueReservations())
        promises.expire(now)
        queue = self._queues.setdefault(verdict.rank, FairQueue())
        if not len(queue) and not promises.cost:
            return 0.0
        rates = [rate.value(now) for rank, rate in self._rates.items() if rank >= verdict.rank]
        own = queue.cost_of(request.workspace) + promises.cost_of(request.workspace)
        return forecast_wait(
            own=own,
            total=queue.cost + promises.cost,
            active=max(queue.active, promises.active),
            cost=cost,
            rate=max(sum(rates), FLOOR_RATE),
        )


class WorkspaceLimits:
    """Hold the token limits of workspaces."""

    def __init__(self) -> None:
        """Start with full buckets."""
        self._buckets: dict[str, TokenBucket] = {}

    def reserve(self, request: Request, verdict: Verdict, cost: float, now: float) -> float:
        """Reserve tokens and return zero, or return the seconds to wait."""
        if not verdict.limit_tokens_per_s:
            return 0.0
        bucket = self._buckets.get(request.workspace)
        if bucket is None or bucket.rate != verdict.limit_tokens_per_s:
            bucket = TokenBucket.full(verdict.limit_tokens_per_s, now)
            self._buckets[request.workspace] = bucket
        return bucket.reserve(cost, now)

    def settle(self, request: Request, reserved: float, used: float) -> None:
        """Give back what a request reserved and did not use."""
        bucket = self._buckets.get(request.workspace)
        if bucket is not None:
            bucket.settle(reserved, used)
