"""Choose who collects the reports of a large fleet, and sum them up.

In a small fleet everyone reports to everyone. Beyond that the number of messages would
grow with the square of the fleet, so a few instances collect all reports and send their
sum to everyone, several times a second.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Final

from driftstall.core import Instance
from driftstall.decisions.locate import weight
from driftstall.gateway.loads import Use
from driftstall.gateway.shared_budget import RepeatCount

FULL_MESH: Final = 16
"""Up to so many instances all report to all."""
COLLECTORS: Final = 3
"""Collectors of a large fleet; any one of them is enough."""
MIN_LINK_MBPS: Final = 50
"""A collector of some hundred instances sends about ten megabits a second."""
COLLECTOR_KEY: Final = "collectors"
KEPT_REPORTS: Final = 40
"""Own reports remembered until a summary has taken them in."""


def is_large(live: Iterable[Instance]) -> bool:
    """Tell whether a fleet needs collectors."""
    return sum(1 for _ in live) > FULL_MESH


def collectors_of(live: Iterable[Instance]) -> tuple[Instance, ...]:
    """Return the collectors of a fleet: the same everywhere, while all know the same fleet."""
    staying = [one for one in live if not one.leaving]
    strong = [one for one in staying if one.link_mbps >= MIN_LINK_MBPS]
    ranked = sorted(strong or staying, key=lambda one: -weight(COLLECTOR_KEY, one.instance_id))
    return tuple(ranked[:COLLECTORS])


def summed(counts: Iterable[RepeatCount]) -> tuple[RepeatCount, ...]:
    """Return the counts of many instances, added up by service."""
    sums: dict[str, RepeatCount] = {}
    for count in counts:
        known = sums.get(count.service, RepeatCount(count.service, 0, 0))
        sums[count.service] = RepeatCount(
            count.service, known.requests + count.requests, known.repeats + count.repeats
        )
    return tuple(sums.values())


class OwnReports:
    """Remember what was reported, so that a summary can be read without the own part."""

    def __init__(self) -> None:
        """Start with no report."""
        self._reports: deque[tuple[int, tuple[Use, ...], tuple[RepeatCount, ...]]] = deque(
            maxlen=KEPT_REPORTS
        )
        self._number = 0

    def add(self, uses: tuple[Use, ...], repeats: tuple[RepeatCount, ...]) -> int:
        """Remember a report and return its number."""
        self._number += 1
        self._reports.append((self._number, uses, repeats))
        return self._number

    def others(
        self, number: int, uses: tuple[Use, ...], repeats: tuple[RepeatCount, ...]
    ) -> tuple[tuple[Use, ...], tuple[RepeatCount, ...]]:
        """Return a summary's sums without the own report that it has taken in."""
        own_uses, own_repeats = self._find(number)
        by_upstream = {use.upstream_id: use for use in own_uses}
        by_service = {count.service: count for count in own_repeats}
        other_uses = tuple(
            use.minus(by_upstream.get(use.upstream_id, Use(use.upstream_id))) for use in uses
        )
        return other_uses, tuple(_without(count, by_service) for count in repeats)

    def _find(self, number: int) -> tuple[tuple[Use, ...], tuple[RepeatCount, ...]]:
        """Return a report by its number; nothing if it is not known any more."""
        for known, uses, repeats in self._reports:
            if known == number:
                return uses, repeats
        return (), ()


def _without(count: RepeatCount, own: dict[str, RepeatCount]) -> RepeatCount:
    """Return a count without the own part."""
    part = own.get(count.service, RepeatCount(count.service, 0, 0))
    return RepeatCount(
        count.service, max(0, count.requests - part.requests), max(0, count.repeats - part.repeats)
    )
