"""Schedule the retries of refused requests and reserve their places in the queue.

A refusal names a time to retry (Retry-After). Until the caller returns or that time has passed,
its reservation counts as backlog, so later refusals name later times and the returning caller
finds room.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from typing import Final

MIN_RETRY_S: Final = 0.5
MAX_RETRY_S: Final = 600.0
JITTER: Final = 0.1
"""Share of the time that is added at random, so that callers do not return at once."""
RESERVATION_GRACE_S: Final = 5.0
"""Seconds after its retry time for which a reservation is still held."""
RATE_HALF_LIFE_S: Final = 20.0
MIN_TOKENS_PER_S: Final = 50.0
"""Minimum rate that is assumed, in granted tokens a second."""


class ServiceRate:
    """Estimate a rate a second (of tokens or arrivals) as a decayed mean."""

    def __init__(self, floor: float = 0.0) -> None:
        """Initialize without history; the estimate never falls below the floor."""
        self._floor = floor
        self._sum = 0.0
        self._span_s = 0.0
        self._at: float | None = None

    def add(self, tokens: float, now: float) -> None:
        """Count tokens or arrivals at this time."""
        self._advance(now)
        self._sum += tokens

    def _advance(self, now: float) -> None:
        """Decay older counts."""
        if self._at is None:
            self._at = now
        elapsed_s = max(0.0, now - self._at)
        decay = 0.5 ** (elapsed_s / RATE_HALF_LIFE_S)
        self._sum *= decay
        self._span_s = self._span_s * decay + elapsed_s
        self._at = now

    def value(self, now: float) -> float:
        """Return the estimated rate a second."""
        self._advance(now)
        return max(self._floor, self._sum / max(1.0, self._span_s))


class QueueReservations:
    """Hold the queue places reserved for refused requests of one rank."""

    def __init__(self) -> None:
        """Initialize without reservations."""
        self._places: OrderedDict[str, tuple[str, float, float]] = OrderedDict()
        self._cost = 0.0
        self._by_workspace: dict[str, float] = {}

    @property
    def cost(self) -> float:
        """Return the expected tokens of all reservations."""
        return self._cost

    @property
    def active(self) -> int:
        """Return the number of workspaces with a reservation."""
        return len(self._by_workspace)

    def cost_of(self, workspace: str) -> float:
        """Return the expected tokens reserved for one workspace."""
        return self._by_workspace.get(workspace, 0.0)

    def reserve(self, ticket: str, workspace: str, cost: float, until: float) -> None:
        """Reserve a place for a ticket until a time."""
        self.release(ticket)
        self._places[ticket] = (workspace, cost, until)
        self._cost += cost
        self._by_workspace[workspace] = self._by_workspace.get(workspace, 0.0) + cost

    def release(self, ticket: str) -> bool:
        """Release the place of a ticket; return True if it was reserved."""
        place = self._places.pop(ticket, None)
        if place is None:
            return False
        workspace, cost, _ = place
        self._cost = max(0.0, self._cost - cost)
        remaining = self._by_workspace[workspace] - cost
        if remaining > 0.5:
            self._by_workspace[workspace] = remaining
        else:
            del self._by_workspace[workspace]
        return True

    def expire(self, now: float) -> None:
        """Release the oldest places whose time has passed."""
        while self._places:
            ticket, (_, _, until) = next(iter(self._places.items()))
            if until > now:
                return
            self.release(ticket)


def forecast_wait(*, own: float, total: float, active: int, cost: float, rate: float) -> float:
    """Return the seconds until a request is granted, under fair shares.

    A workspace waits for its own queue times the number of workspaces that share the service, and
    never longer than the whole queue takes.
    """
    fair_share = (own + cost) * max(1, active)
    return min(total + cost, fair_share) / rate


def retry_after(wait_s: float, source: random.Random) -> float:
    """Return the time after which to retry, in seconds, with jitter."""
    bounded_s = min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))
    return bounded_s * (1.0 + JITTER * source.random())
