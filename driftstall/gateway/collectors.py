"""Selection of the collectors of a large fleet by rendezvous hashing, and sums of reports.

In a small fleet every instance reports to every other one (full mesh) and follows the platform by
itself. In a larger one messages would grow with the square of the fleet, and calls to the platform
with the fleet. So in each availability zone two instances collect the reports of their zone. They
exchange the sums of the zones and forward them to their zone several times a second. Three
collectors of different zones follow the platform for the whole fleet.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from driftstall.core import Instance
from driftstall.decisions.locate import weight
from driftstall.decisions.store_following import order_candidates
from driftstall.gateway.loads import Use
from driftstall.gateway.retry_budget.shared_budget import RepeatCount

MAX_FULL_MESH_INSTANCES: Final = 16
"""Size up to which every instance of a fleet reports to every other one."""
COLLECTORS_PER_ZONE: Final = 2
"""Collectors of an availability zone; one is enough, the second is redundant."""
MAX_FOLLOWERS: Final = 3
"""Collectors that follow the platform; each calls it several times a second. With a third of all
instances cut off from it, all three are cut off in one case of 25; the other instances notice that
and call the platform themselves."""
MAX_PLACERS: Final = 3
"""Instances that may place streams for the fleet: the first one does, and the others replace it
while it does not reply."""
MIN_LINK_MBPS: Final = 50
"""A collector sends its zone some megabits a second; weaker links are chosen last."""
COLLECTOR_KEY: Final = "collectors"
MAX_KEPT_REPORTS: Final = 40
"""Own reports that are kept until a summary includes them."""


@dataclass(frozen=True, slots=True)
class FleetRoles:
    """Duties of the instances in the fleet, as seen by one instance."""

    is_large: bool = False
    """Whether the fleet needs collectors."""
    is_collector: bool = False
    """Whether this instance is a collector."""
    is_follower: bool = True
    """Whether this instance follows the platform regardless of the collectors."""
    own_collectors: tuple[Instance, ...] = ()
    """The other collectors of this instance's zone, best first."""
    remote_collectors: tuple[Instance, ...] = ()
    """The collectors of the other zones."""
    zone_members: tuple[Instance, ...] = ()
    """The other instances of this zone that aren't collectors."""
    placers: tuple[str, ...] = ()
    """Ids of the instances that may place streams, best first: first collectors of some zones."""
    followers: tuple[str, ...] = ()
    """Ids of the instances that follow the platform regardless of the collectors."""
    standbys: tuple[str, ...] = ()
    """Ids of the other collectors, in the order in which they replace silent followers."""

    @classmethod
    def from_fleet(cls, own: Instance, live: Iterable[Instance]) -> FleetRoles:
        """Return the roles in a fleet; instances that know the same fleet get the same result."""
        fleet = tuple(live)
        if not is_large(fleet):
            return cls()
        zones: dict[str, list[Instance]] = {}
        for instance in fleet:
            zones.setdefault(instance.zone, []).append(instance)
        by_zone = {zone: _collectors_of(members) for zone, members in zones.items()}
        local = by_zone.get(own.zone, ())
        ids = {collector.instance_id for collector in local} | {own.instance_id}
        firsts = sorted((collectors[0] for collectors in by_zone.values() if collectors), key=_rank)
        followers = tuple(first.instance_id for first in firsts[:MAX_FOLLOWERS])
        collectors = [one.instance_id for members in by_zone.values() for one in members]
        return cls(
            is_large=True,
            is_collector=any(collector.instance_id == own.instance_id for collector in local),
            is_follower=own.instance_id in followers,
            own_collectors=tuple(
                collector for collector in local if collector.instance_id != own.instance_id
            ),
            remote_collectors=tuple(
                collector
                for zone, collectors in sorted(by_zone.items())
                if zone != own.zone
                for collector in collectors
            ),
            zone_members=tuple(
                member for member in zones.get(own.zone, ()) if member.instance_id not in ids
            ),
            placers=tuple(first.instance_id for first in firsts[:MAX_PLACERS]),
            followers=followers,
            standbys=order_candidates([[one for one in collectors if one not in followers]]),
        )

    def forward_recipients(self, live: tuple[Instance, ...]) -> tuple[Instance, ...]:
        """Return the recipients of news that collectors forward to the others."""
        if not self.is_large:
            return live
        if self.is_collector:
            return (*self.zone_members, *self.own_collectors, *self.remote_collectors)
        return self.own_collectors


def is_large(live: Iterable[Instance]) -> bool:
    """Return True if a fleet needs collectors."""
    return sum(1 for _ in live) > MAX_FULL_MESH_INSTANCES


def _collectors_of(members: list[Instance]) -> tuple[Instance, ...]:
    """Return the collectors of one zone, best first."""
    staying = [member for member in members if not member.leaving] or members
    return tuple(sorted(staying, key=_rank)[:COLLECTORS_PER_ZONE])


def _rank(instance: Instance) -> tuple[bool, int]:
    """Return the sort key for choosing collectors: strong links first, then rendezvous weight."""
    return (instance.link_mbps < MIN_LINK_MBPS, -weight(COLLECTOR_KEY, instance.instance_id))


def sum_by_service(counts: Iterable[RepeatCount]) -> tuple[RepeatCount, ...]:
    """Return the counts of many instances, summed by service."""
    sums: dict[str, RepeatCount] = {}
    for count in counts:
        total = sums.get(count.service, RepeatCount(count.service, 0, 0))
        sums[count.service] = RepeatCount(
            count.service, total.requests + count.requests, total.repeats + count.repeats
        )
    return tuple(sums.values())


class OwnReportHistory:
    """History of own reports, used to subtract the own part from a summary."""

    def __init__(self) -> None:
        """Initialize an empty history."""
        self._reports: deque[tuple[int, tuple[Use, ...], tuple[RepeatCount, ...]]] = deque(
            maxlen=MAX_KEPT_REPORTS
        )
        self._number = 0

    def add(self, uses: tuple[Use, ...], repeats: tuple[RepeatCount, ...]) -> int:
        """Add a report and return its number."""
        self._number += 1
        self._reports.append((self._number, uses, repeats))
        return self._number

    def subtract_own(
        self, number: int, uses: tuple[Use, ...], repeats: tuple[RepeatCount, ...]
    ) -> tuple[tuple[Use, ...], tuple[RepeatCount, ...]]:
        """Return a summary's sums without the own report that it includes, given by number."""
        own_uses, own_repeats = self._find(number)
        by_upstream = {use.upstream_id: use for use in own_uses}
        by_service = {count.service: count for count in own_repeats}
        other_uses = tuple(
            use.minus(by_upstream.get(use.upstream_id, Use(use.upstream_id))) for use in uses
        )
        return other_uses, tuple(_subtract(count, by_service) for count in repeats)

    def _find(self, number: int) -> tuple[tuple[Use, ...], tuple[RepeatCount, ...]]:
        """Return a report by its number; empty if it is no longer kept."""
        for report_number, uses, repeats in self._reports:
            if report_number == number:
                return uses, repeats
        return (), ()


def _subtract(count: RepeatCount, own: dict[str, RepeatCount]) -> RepeatCount:
    """Return a count without the own part, never below zero."""
    part = own.get(count.service, RepeatCount(count.service, 0, 0))
    return RepeatCount(
        count.service, max(0, count.requests - part.requests), max(0, count.repeats - part.repeats)
    )
