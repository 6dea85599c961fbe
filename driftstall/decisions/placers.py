"""Select the instance that places streams for a large fleet, and track its placements.

In a large fleet each instance sees hardly a request a second, and the summed loads are half a
second old when they arrive. Prompts that several instances place meanwhile land on the same engine
without the instances knowing, and are prefilled one after another; with one placer for each zone
they still collide on an engine that has just joined. So one instance, the placer, places all
streams in order. The other instances ask it, and it asks no other instance.

Any instance places by itself where no placer answers in time. A silent placer is excluded for a
while.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

MAX_COMPARED_UPSTREAMS: Final = 64
"""Engines compared for one stream; where there are more, this many are sampled at random."""
PLACEMENT_TIMEOUT_S: Final = 0.05
"""How long to wait for an answer: a hop within a zone takes 1.4 ms one way; a stream that waits in
vain loses a thirtieth of its target of 1.5 s."""
EXCLUSION_S: Final = 1.0
"""How long a placer that gave no answer is not asked. About as long as it takes the member list to
drop a failed instance."""
MAX_EXCLUSION_S: Final = 8.0
"""Upper bound for a placer that stays silent: it is slow, or cut off from this instance alone, and
each unanswered question costs a stream PLACEMENT_TIMEOUT_S."""
PENDING_S: Final = 1.0
"""How long a placement counts without a report that confirms it: the longest time between two
reports."""
REPORT_DELAY_S: Final = 0.01
"""Network delay of a placement and of a report; a report does not show placements made within this
time before its arrival."""


@dataclass(frozen=True, slots=True)
class _Exclusion:
    """Describe until when a placer is excluded, and for how long in total."""

    until: float
    for_s: float


class PlacerSelector:
    """Select the placer to ask among the candidates."""

    def __init__(self) -> None:
        """Initialize without exclusions."""
        self._exclusions: dict[str, _Exclusion] = {}

    def select(self, placers: Iterable[str], now: float) -> str | None:
        """Return the first placer that is not excluded."""
        return next((placer for placer in placers if not self._is_excluded(placer, now)), None)

    def record_timeout(self, placer: str, now: float) -> None:
        """Exclude a placer that gave no answer in time; longer if it has just been excluded."""
        before = self._exclusions.get(placer)
        if before is not None and now < before.until:
            # This is one of several queries that were under way at the same time.
            return
        for_s = EXCLUSION_S
        if before is not None and now - before.until <= before.for_s:
            for_s = min(MAX_EXCLUSION_S, 2 * before.for_s)
        self._exclusions[placer] = _Exclusion(now + for_s, for_s)

    def _is_excluded(self, placer: str, now: float) -> bool:
        """Return True if a placer is excluded now."""
        exclusion = self._exclusions.get(placer)
        return exclusion is not None and now < exclusion.until


@dataclass(frozen=True, slots=True)
class _Pending:
    """Describe one placement that no report shows yet."""

    member: str
    at: float


class PendingPlacements:
    """Track placements until the member they were made for reports them."""

    def __init__(self) -> None:
        """Initialize without placements."""
        self._pending: dict[str, _Pending] = {}

    def add(self, member: str, request_id: str, now: float) -> None:
        """Track a placement; a later one for the same request replaces it."""
        self._pending[request_id] = _Pending(member, now)

    def reported(self, member: str, now: float) -> tuple[str, ...]:
        """Remove and return the requests that a member's report confirms."""
        return self._remove(
            request_id
            for request_id, placement in self._pending.items()
            if placement.member == member and placement.at <= now - REPORT_DELAY_S
        )

    def expired(self, now: float) -> tuple[str, ...]:
        """Remove and return the requests that no member has reported in time."""
        return self._remove(
            request_id
            for request_id, placement in self._pending.items()
            if now - placement.at > PENDING_S
        )

    def _remove(self, request_ids: Iterable[str]) -> tuple[str, ...]:
        """Remove requests and return them."""
        removed = tuple(request_ids)
        for request_id in removed:
            del self._pending[request_id]
        return removed
