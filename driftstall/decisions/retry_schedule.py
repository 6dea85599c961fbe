"""Forecast when a refused request would be granted, and keep its place.

A refusal names a time to come back. The promise is a place in the line: until
the caller returns or its time has passed, the promised tokens count as backlog,
so later refusals name later times and the returning caller finds room.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from typing import Final

MIN_RETRY_S: Final = 0.5
MAX_RETRY_S: Final = 600.0
JITTER: Final = 0.1
"""Share of the time that is added at random, so that callers do not return at once."""
GRACE_S: Final = 5.0
"""Seconds after its time that a place is kept."""
RATE_HALF_LIFE_S: Final = 20.0
FLOOR_RATE: Final = 50.0
"""Tokens granted a second that are assumed at least."""


class ServiceRate:
    """Estimate what happens a second (tokens, arrivals), as a decayed mean."""

    def __init__(self, floor: float = 0.0) -> None:
        """Start with no history; the estimate never falls below the floor."""
        self._floor = floor
        self._sum = 0.0
        self._span = 0.0
        self._at: float | None = None

    def add(self, tokens: float, now: float) -> None:
        """Count what happens now."""
        self._advance(now)
        self._sum += tokens

    def _advance(self, now: float) -> None:
        """Let older counts fade."""
        if self._at is None:
            self._at = now
        passed = max(0.0, now - self._at)
        fade = 0.5 ** (passed / RATE_HALF_LIFE_S)
        self._sum *= fade
        self._span = self._span * fade + passed
        self._at = now

    def value(self, now: float) -> float:
        """Return the estimate a second."""
        self._advance(now)
        return max(self._floor, self._sum / max(1.0, self._span))


class QueueReservations:
    """Keep the places promised to refused requests of one rank."""

    def __init__(self) -> None:
        """Start with no place promised."""
        self._places: OrderedDict[str, tuple[str, float, float]] = OrderedDict()
        self._cost = 0.0
        self._by_workspace: dict[str, float] = {}

    @property
    def cost(self) -> float:
        """Return the expected tokens of all promised places."""
        return self._cost

    @property
    def active(self) -> int:
        """Return how many workspaces hold a promised place."""
        return len(self._by_workspace)

    def cost_of(self, workspace: str) -> float:
        """Return the expected tokens promised to one workspace."""
        return self._by_workspace.get(workspace, 0.0)

    def reserve(self, ticket: str, workspace: str, cost: float, until: float) -> None:
        """Keep a place until a time."""
        self.release(ticket)
        self._places[ticket] = (workspace, cost, until)
        self._cost += cost
        self._by_workspace[workspace] = self._by_workspace.get(workspace, 0.0) + cost

    def release(self, ticket: str) -> bool:
        """Give a place up; return whether it was kept."""
        place = self._places.pop(ticket, None)
        if place is None:
            return False
        workspace, cost, _ = place
        self._cost = max(0.0, self._cost - cost)
        left = self._by_workspace[workspace] - cost
        if left > 0.5:
            self._by_workspace[workspace] = left
        else:
            del self._by_workspace[workspace]
        return True

    def expire(self, now: float) -> None:
        """Give up the oldest places whose time has passed."""
        while self._places:
            ticket, (_, _, until) = next(iter(self._places.items()))
            if until > now:
                return
            self.release(ticket)


def forecast_wait(*, own: float, total: float, active: int, cost: float, rate: float) -> float:
    """Return the seconds until a request is granted, under fair shares.

    A workspace waits for its own line times the workspaces that share the
    service, and never longer than the whole line takes.
    """
    fair = (own + cost) * max(1, active)
    return min(total + cost, fair) / rate


def retry_after(wait_s: float, source: random.Random) -> float:
    """Return when to come back, in seconds, with jitter."""
    bounded = min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))
    return bounded * (1.0 + JITTER * source.random())
