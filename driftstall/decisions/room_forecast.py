"""Forecast when engine memory becomes free, and reserve some for urgent short work.

The load: long generations would fill all memory, and short urgent ones that arrive a moment later
would wait for seconds. A short generation holds a twentieth of a long one's memory times time, so
room for those that are expected within the next moments costs the long ones little.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from driftstall.decisions.engine_queue import QueuedRequest, QueueOrder

RATE_TIME_CONSTANT_S: Final = 5.0
"""Time over which arrivals are averaged: bursts last some seconds."""
BURST_FACTOR: Final = 1.5
"""Memory reserved for urgent work, relative to what it holds on average."""
MAX_RESERVE_SHARE: Final = 0.15
"""Largest share of the memory that is reserved for more urgent work."""
FILL_LIMIT: Final = 0.98
"""Memory share up to which engines are filled: the sums already contain half of the expected
growth, and a request that waits longer than it has to misses its target just as a preempted one."""
URGENT_FILL_LIMIT: Final = 1.02
"""The same for the most urgent requests beside less urgent ones, which are preempted first."""


@dataclass(frozen=True, slots=True)
class Release:
    """Describe memory that is expected to be released."""

    at: float
    tokens: int


@dataclass(frozen=True, slots=True)
class ExpectedReturn:
    """Describe a refused request whose caller is expected to return."""

    at: float
    request: QueuedRequest


@dataclass(frozen=True, slots=True)
class RoomForecast:
    """Hold the free memory of a service's engines, and when more is released."""

    free_tokens: int
    """Tokens free below the fill limit, on engines that take requests."""
    total_tokens: int
    releases: tuple[Release, ...]
    used_tokens: int
    """Tokens of runs and replicas; what is kept free above the fill limit is not in use."""

    @property
    def used_share(self) -> float:
        """Return the share of the memory that is in use."""
        return self.used_tokens / max(1, self.total_tokens)

    def starts(
        self,
        requests: Sequence[QueuedRequest],
        now: float,
        returns: Iterable[ExpectedReturn] = (),
    ) -> dict[str, float]:
        """Return when each request is expected to start; infinity if never.

        The requests are given in the order in which they are granted. A returning caller comes
        before requests of its rank and later ones that would start after its return.
        """
        room = _FutureRoom(self, now)
        expected = sorted(returns, key=lambda item: item.at)
        starts: dict[str, float] = {}
        for request in requests:
            tokens = request.tokens
            if tokens > room.capacity:
                starts[request.request_id] = math.inf
                continue
            room.wait_for(tokens)
            while (first := _first_due(expected, request, room.at)) is not None:
                expected.remove(first)
                room.take(first.request.tokens, first.request.hold_s)
                room.wait_for(tokens)
            room.take(tokens, request.hold_s)
            starts[request.request_id] = room.at
        return starts


class _FutureRoom:
    """Play the future of the free memory."""

    def __init__(self, forecast: RoomForecast, now: float) -> None:
        """Initialize with the free memory and the releases of running requests."""
        self.at = now
        self._free = forecast.free_tokens
        self._releases = [(max(now, release.at), release.tokens) for release in forecast.releases]
        self.capacity = self._free + sum(tokens for _, tokens in self._releases)
        """Tokens that are free once everything is released."""
        heapq.heapify(self._releases)

    def wait_for(self, tokens: int) -> None:
        """Advance the time until this memory is free; it must be within the capacity."""
        while self._free < tokens:
            self.at, released = heapq.heappop(self._releases)
            self._free += released

    def take(self, tokens: int, hold_s: float) -> None:
        """Take memory as soon as it is free, if it ever is, and release it after some time."""
        if tokens <= self.capacity:
            self.wait_for(tokens)
            self._free -= tokens
            heapq.heappush(self._releases, (self.at + hold_s, tokens))


def _first_due(
    expected: Sequence[ExpectedReturn], request: QueuedRequest, at: float
) -> ExpectedReturn | None:
    """Return the first expected return that comes before a request; None if there is none."""
    for item in expected:
        if item.at > at:
            return None
        if item.request.order <= request.order:
            return item
    return None


class _ArrivalRate:
    """Estimate the memory that arriving requests of one order hold on average."""

    def __init__(self) -> None:
        """Initialize without arrivals."""
        self._token_seconds = 0.0
        self._at = -math.inf

    def record(self, request: QueuedRequest, now: float) -> None:
        """Record an arrival."""
        self._decay(now)
        self._token_seconds += request.tokens * request.hold_s

    def tokens(self, now: float) -> float:
        """Return the memory that is held on average, in tokens (Little's law)."""
        self._decay(now)
        return self._token_seconds / RATE_TIME_CONSTANT_S

    def _decay(self, now: float) -> None:
        """Let older arrivals count less."""
        elapsed_s = max(0.0, now - self._at)
        self._token_seconds *= math.exp(-elapsed_s / RATE_TIME_CONSTANT_S)
        self._at = now


class DemandForecast:
    """Forecast the memory that requests of each order are about to need."""

    def __init__(self) -> None:
        """Initialize without arrivals."""
        self._rates: dict[QueueOrder, _ArrivalRate] = {}

    def record(self, request: QueuedRequest, now: float) -> None:
        """Record the arrival of a request."""
        self._rates.setdefault(request.order, _ArrivalRate()).record(request, now)

    def limits(self, total_tokens: int, now: float) -> ReservingLimits:
        """Return the fill limits of all orders, for engines with this memory together."""
        held = {order: rate.tokens(now) for order, rate in self._rates.items()}
        return ReservingLimits.from_demand(held, total_tokens)


@dataclass(frozen=True, slots=True)
class ReservingLimits:
    """Limit how far requests fill an engine's memory: what more urgent ones need is kept free."""

    by_order: dict[QueueOrder, float]

    @classmethod
    def from_demand(cls, held: dict[QueueOrder, float], total_tokens: int) -> ReservingLimits:
        """Return the limits, by the memory that the requests of each order hold on average."""
        limits: dict[QueueOrder, float] = {}
        more_urgent = 0.0
        for order in sorted(held):
            reserve = min(MAX_RESERVE_SHARE, BURST_FACTOR * more_urgent / max(1, total_tokens))
            limits[order] = FILL_LIMIT - reserve
            more_urgent += held[order]
        if len(limits) > 1:
            limits[min(limits)] = URGENT_FILL_LIMIT
        return cls(limits)

    def limit(self, order: QueueOrder) -> float:
        """Return the memory share up to which requests of an order may fill an engine."""
        return self.by_order.get(order, FILL_LIMIT)
