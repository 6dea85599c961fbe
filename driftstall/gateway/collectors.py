"""Choose who collects the reports of a large fleet, and sum them up.

In a small fleet everyone reports to everyone and follows the platform by itself. Beyond
that messages would grow with the square of the fleet, and calls to the platform with the
fleet. So in each availability zone two instances collect the reports of their zone. They
exchange the sums of the zones and pass all on to their zone several times a second. Three
of them, of different zones, follow the platform for all.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from driftstall.core import Instance
from driftstall.decisions.locate import weight
from driftstall.gateway.loads import Use
from driftstall.gateway.shared_budget import RepeatCount

MAX_FULL_MESH_INSTANCES: Final = 16
"""Up to so many instances all report to all."""
COLLECTORS_PER_ZONE: Final = 2
"""Collectors of an availability zone; either one is enough."""
MAX_FOLLOWERS: Final = 3
"""Collectors that follow the platform; each calls it several times a second. With a third
of all machines cut off from it, all three are in one case of 25; the others notice then."""
MAX_PLACERS: Final = 3
"""Instances that may place streams for the fleet; one does, and the others while it is silent."""
MIN_LINK_MBPS: Final = 50
"""A collector sends its zone some megabits a second; a weaker link is chosen last."""
COLLECTOR_KEY: Final = "collectors"
MAX_KEPT_REPORTS: Final = 40
"""Own reports remembered until a summary has taken them in."""


@dataclass(frozen=True, slots=True)
class FleetRoles:
    """Tell who collects, as one instance sees the fleet."""

    is_large: bool = False
    """Whether the fleet needs collectors."""
    is_collector: bool = False
    """Whether this instance is a collector."""
    is_follower: bool = True
    """Whether this instance follows the platform whatever others say."""
    own_collectors: tuple[Instance, ...] = ()
    """The collectors of this instance's zone, best first, itself left out."""
    remote_collectors: tuple[Instance, ...] = ()
    """The collectors of the other zones."""
    zone_members: tuple[Instance, ...] = ()
    """The other instances of this zone that do not collect."""
    placers: tuple[str, ...] = ()
    """Who places streams for the fleet, best first: the first collectors of some zones."""

    @classmethod
    def from_fleet(cls, own: Instance, live: Iterable[Instance]) -> FleetRoles:
        """Return the roles in a fleet; the same everywhere while all know the same fleet."""
        fleet = tuple(live)
        if not is_large(fleet):
            return cls()
        zones: dict[str, list[Instance]] = {}
        for one in fleet:
            zones.setdefault(one.zone, []).append(one)
        chosen = {zone: _collectors_of(members) for zone, members in zones.items()}
        of_zone = chosen.get(own.zone, ())
        ids = {one.instance_id for one in of_zone} | {own.instance_id}
        firsts = sorted((some[0] for some in chosen.values() if some), key=_rank)
        followers = {one.instance_id for one in firsts[:MAX_FOLLOWERS]}
        return cls(
            is_large=True,
            is_collector=any(one.instance_id == own.instance_id for one in of_zone),
            is_follower=own.instance_id in followers,
            own_collectors=tuple(one for one in of_zone if one.instance_id != own.instance_id),
            remote_collectors=tuple(
                one for zone, some in sorted(chosen.items()) if zone != own.zone for one in some
            ),
            zone_members=tuple(
                one for one in zones.get(own.zone, ()) if one.instance_id not in ids
            ),
            placers=tuple(one.instance_id for one in firsts[:MAX_PLACERS]),
        )


def is_large(live: Iterable[Instance]) -> bool:
    """Tell whether a fleet needs collectors."""
    return sum(1 for _ in live) > MAX_FULL_MESH_INSTANCES


def _collectors_of(members: list[Instance]) -> tuple[Instance, ...]:
    """Return the collectors of one zone."""
    staying = [one for one in members if not one.leaving] or members
    return tuple(sorted(staying, key=_rank)[:COLLECTORS_PER_ZONE])


def _rank(one: Instance) -> tuple[bool, int]:
    """Return the order in which instances are chosen: strong links first, then by a fixed lot."""
    return (one.link_mbps < MIN_LINK_MBPS, -weight(COLLECTOR_KEY, one.instance_id))


def sum_by_service(counts: Iterable[RepeatCount]) -> tuple[RepeatCount, ...]:
    """Return the counts of many instances, added up by service."""
    sums: dict[str, RepeatCount] = {}
    for count in counts:
        known = sums.get(count.service, RepeatCount(count.service, 0, 0))
        sums[count.service] = RepeatCount(
            count.service, known.requests + count.requests, known.repeats + count.repeats
        )
    return tuple(sums.values())


class OwnReportHistory:
    """Remember what was reported, so that a summary can be read without the own part."""

    def __init__(self) -> None:
        """Start with no report."""
        self._reports: deque[tuple[int, tuple[Use, ...], tuple[RepeatCount, ...]]] = deque(
            maxlen=MAX_KEPT_REPORTS
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
