"""Decide who places streams for a large fleet, and what it remembers of its choices.

Pattern: in a large fleet each instance sees hardly a request a second, and the sums of what runs
where are half a second old when they arrive. Prompts that several instances place meanwhile meet
on one engine, unseen by each other, and are read one after another; with one that places for each
zone they still meet on an engine that has just joined. So one instance places for all, in order;
it is asked, and asks nobody.

Any instance places by itself where nobody answers in time. Who is silent is left out for a while.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

MAX_COMPARED_UPSTREAMS: Final = 64
"""Engines that are compared for one stream; where there are more, as many are drawn by lot."""
PLACEMENT_TIMEOUT_S: Final = 0.05
"""How long an answer is waited for: a hop within a zone takes 1.4 ms one way; a stream that
waits in vain loses a thirtieth of its target of 1.5 s."""
EXCLUSION_S: Final = 1.0
"""How long one that gave no answer is not asked. About as long as it takes the member list to
find out that an instance is gone."""
MAX_EXCLUSION_S: Final = 8.0
"""The same for one that is silent again and again: it is slow, or cut off from here alone, and each
question to it costs a stream its patience."""
PENDING_S: Final = 1.0
"""How long a choice counts that no report confirms: the longest time between two reports."""
REPORT_DELAY_S: Final = 0.01
"""What a choice and a report take on their ways; a report does not tell of later choices."""


@dataclass(frozen=True, slots=True)
class _LeftOut:
    """Hold until when one is not asked, and how long that is in all."""

    until: float
    for_s: float


class PlacerSelector:
    """Say who of those that may place is asked."""

    def __init__(self) -> None:
        """Start with nobody left out."""
        self._left_out: dict[str, _LeftOut] = {}

    def select(self, placers: Iterable[str], now: float) -> str | None:
        """Return the first that is not left out."""
        return next((one for one in placers if not self._is_left_out(one, now)), None)

    def record_timeout(self, placer: str, now: float) -> None:
        """Leave one out that gave no answer in time; longer if it has hardly been asked again."""
        before = self._left_out.get(placer)
        if before is not None and now < before.until:
            # One of several questions that it was asked at the same time.
            return
        for_s = EXCLUSION_S
        if before is not None and now - before.until <= before.for_s:
            for_s = min(MAX_EXCLUSION_S, 2 * before.for_s)
        self._left_out[placer] = _LeftOut(now + for_s, for_s)

    def _is_left_out(self, placer: str, now: float) -> bool:
        """Tell whether one is not asked now."""
        left_out = self._left_out.get(placer)
        return left_out is not None and now < left_out.until


@dataclass(frozen=True, slots=True)
class _Pending:
    """Hold one choice that no report shows yet."""

    member: str
    at: float


class PendingPlacements:
    """Remember choices until the member they were made for reports what it runs."""

    def __init__(self) -> None:
        """Start with none."""
        self._pending: dict[str, _Pending] = {}

    def add(self, member: str, request_id: str, now: float) -> None:
        """Remember a choice; a later one for the same request stands in its place."""
        self._pending[request_id] = _Pending(member, now)

    def reported(self, member: str, now: float) -> tuple[str, ...]:
        """Return the requests that a member's report has just confirmed, and forget them."""
        return self._take(
            request_id
            for request_id, one in self._pending.items()
            if one.member == member and one.at <= now - REPORT_DELAY_S
        )

    def expired(self, now: float) -> tuple[str, ...]:
        """Return the requests that nobody has reported in time, and forget them."""
        return self._take(
            request_id for request_id, one in self._pending.items() if now - one.at > PENDING_S
        )

    def _take(self, found: Iterable[str]) -> tuple[str, ...]:
        """Forget requests and return them."""
        taken = tuple(found)
        for request_id in taken:
            del self._pending[request_id]
        return taken
