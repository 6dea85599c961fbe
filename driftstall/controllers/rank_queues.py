"""Queues of waiting requests by rank, with wait bounds, reservations and token limits."""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from driftstall.core import Request, Verdict
from driftstall.decisions.fairness import FairQueue, WaitingRequest
from driftstall.decisions.limits import TokenBucket
from driftstall.decisions.retry_schedule import (
    MIN_TOKENS_PER_S,
    QueueReservations,
    ServiceRate,
    forecast_wait,
)

AFTER_ALL_RANKS = 99
"""Sorts after every rank that a policy can assign."""


class RankQueues:
    """Keep a fair queue, a service rate and the queue reservations of each rank."""

    def __init__(self) -> None:
        """Initialize without requests."""
        self._queues: dict[int, FairQueue] = {}
        self._rates: dict[int, ServiceRate] = {}
        self._reservations: dict[int, QueueReservations] = {}
        self._waiting: dict[str, WaitingRequest] = {}
        self._expiry: list[tuple[float, str]] = []

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def __contains__(self, request_id: str) -> bool:
        """Return True if a request waits."""
        return request_id in self._waiting

    @property
    def first_waiting_rank(self) -> int:
        """Return the best rank with a waiting request, or AFTER_ALL_RANKS."""
        return min(
            (rank for rank, queue in self._queues.items() if len(queue)), default=AFTER_ALL_RANKS
        )

    def by_rank(self) -> Iterator[tuple[int, FairQueue]]:
        """Yield the queues, best rank first."""
        for rank in sorted(self._queues):
            yield rank, self._queues[rank]

    def requests_of_entry(self, entry: str) -> list[str]:
        """Return the ids of the waiting requests of one entry."""
        return [request_id for request_id, item in self._waiting.items() if item.entry == entry]

    def push(self, item: WaitingRequest) -> None:
        """Queue a request until its maximum wait or its deadline passes."""
        request, verdict = item.request, item.verdict
        self._waiting[request.request_id] = item
        self._queues.setdefault(verdict.rank, FairQueue()).push(item)
        until = item.since + verdict.wait_s if verdict.may_refuse else request.deadline
        heapq.heappush(self._expiry, (min(until, request.deadline), request.request_id))

    def serve(self, item: WaitingRequest, now: float) -> None:
        """Remove a granted request and charge its workspace."""
        rank = item.verdict.rank
        self._queues[rank].serve(item)
        self._rates.setdefault(rank, ServiceRate(MIN_TOKENS_PER_S)).add(item.cost, now)
        del self._waiting[item.request.request_id]

    def discard(self, request_id: str) -> WaitingRequest | None:
        """Remove and return a request, or return None if it does not wait."""
        item = self._waiting.pop(request_id, None)
        if item is not None:
            self._queues[item.verdict.rank].discard(item)
        return item

    def pop_expired(self, now: float) -> Iterator[WaitingRequest]:
        """Remove and yield the requests whose maximum wait has passed."""
        while self._expiry and self._expiry[0][0] <= now:
            _, request_id = heapq.heappop(self._expiry)
            item = self.discard(request_id)
            if item is not None:
                yield item

    def release_place(self, rank: int, ticket: str) -> bool:
        """Release the reservation of a ticket; return True if it was still held."""
        return (
            bool(ticket) and rank in self._reservations and self._reservations[rank].release(ticket)
        )

    def reserve_place(
        self, rank: int, ticket: str, workspace: str, cost: float, until: float
    ) -> None:
        """Reserve a place in a rank's queue for a ticket until a time."""
        self._reservations.setdefault(rank, QueueReservations()).reserve(
            ticket, workspace, cost, until
        )

    def forecast(self, request: Request, verdict: Verdict, cost: float, now: float) -> float:
        """Forecast the wait of a new request, in seconds."""
        reservations = self._reservations.setdefault(verdict.rank, QueueReservations())
        reservations.expire(now)
        queue = self._queues.setdefault(verdict.rank, FairQueue())
        if not len(queue) and not reservations.cost:
            return 0.0
        rates = [rate.value(now) for rank, rate in self._rates.items() if rank >= verdict.rank]
        own = queue.cost_of(request.workspace) + reservations.cost_of(request.workspace)
        return forecast_wait(
            own=own,
            total=queue.cost + reservations.cost,
            active=max(queue.active, reservations.active),
            cost=cost,
            rate=max(sum(rates), MIN_TOKENS_PER_S),
        )


class WorkspaceLimits:
    """Token buckets that enforce the token limits of workspaces."""

    def __init__(self) -> None:
        """Initialize without buckets; each starts full."""
        self._buckets: dict[str, TokenBucket] = {}

    def reserve(self, request: Request, verdict: Verdict, cost: float, now: float) -> float:
        """Reserve tokens and return zero, or return the time to wait in seconds."""
        if not verdict.limit_tokens_per_s:
            return 0.0
        bucket = self._buckets.get(request.workspace)
        if bucket is None or bucket.rate != verdict.limit_tokens_per_s:
            bucket = TokenBucket.full(verdict.limit_tokens_per_s, now)
            self._buckets[request.workspace] = bucket
        return bucket.reserve(cost, now)

    def settle(self, request: Request, reserved: float, used: float) -> None:
        """Return the tokens that a request reserved and did not use."""
        bucket = self._buckets.get(request.workspace)
        if bucket is not None:
            bucket.settle(reserved, used)
