"""Tell the other instances what runs where from here, and sum up what they tell.

In a small fleet each instance reports to all. In a large one it reports to the
collectors of its availability zone; these exchange the sums of their zones and send the
sum of all to the instances of their own.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

import gevent

from driftstall.const import PREFIX_MEMBERSHIP
from driftstall.core import Instance
from driftstall.decisions.store_versions import StoreVersion
from driftstall.gateway.collectors import FleetRoles, OwnReportHistory, sum_by_service
from driftstall.gateway.loads import FLEET_KEY, POOLED_PREFIX
from driftstall.gateway.shared_budget import RepeatCount
from driftstall.gateway.state import GatewayState
from driftstall.helpers.tasks import keep_running
from driftstall.peers.gateway_messages import (
    FleetSummary,
    GatewayMessage,
    GatewayReport,
    ReportAck,
    ZoneSummary,
)

REPORT_INTERVAL_S: Final = 1.0
REPORT_PAUSE_S: Final = 0.03
"""Changes within this time travel together."""
LARGE_PAUSE_S: Final = 0.2
"""The same in a large fleet, where sums are made several times a second anyway."""
SUMMARY_EVERY_S: Final = 0.5
"""How often a collector sends sums; with two collectors a zone hears four a second."""
REPORT_VALID_S: Final = 2.3
"""A peer that has not reported for two periods is not located any more."""
MAX_AGE_S: Final = 60.0
"""Ages beyond this make no difference."""
MS_PER_S: Final = 1000

Broadcast = Callable[[Iterable[Instance], GatewayMessage], None]


@dataclass(frozen=True, slots=True)
class PlatformStatus:
    """Hold what this instance knows of the platform, for its reports."""

    routing_version: int
    policy_revision: StoreVersion
    platform_ok: bool
    platform_age_s: float
    """How long ago the platform last answered."""


@dataclass(frozen=True, slots=True)
class _Heard:
    """Hold a peer's newest report."""

    report: GatewayReport
    at: float


@dataclass(frozen=True, slots=True)
class _HeardZone:
    """Hold the newest sum of another zone."""

    summary: ZoneSummary
    at: float


class Reporting:
    """Report what runs from here, and add up what others report."""

    def __init__(
        self,
        state: GatewayState,
        own: Instance,
        *,
        roles: Callable[[], FleetRoles],
        live: Callable[[], tuple[Instance, ...]],
        platform_status: Callable[[], PlatformStatus],
        broadcast: Broadcast,
    ) -> None:
        """Take the shared state, readers of the fleet and of the standing, and how to send."""
        self._state = state
        self._own = own
        self._roles = roles
        self._live = live
        self._platform_status = platform_status
        self._broadcast = broadcast
        self._heard: dict[str, _Heard] = {}
        self._zones: dict[str, _HeardZone] = {}
        self._summary: FleetSummary | None = None
        self._summary_at = float("-inf")
        self._reported_at = float("-inf")
        self._reports = OwnReportHistory()

    def start(self) -> None:
        """Start to report."""
        keep_running(PREFIX_MEMBERSHIP, self._run_reports)
        keep_running(PREFIX_MEMBERSHIP, self._run_summaries)

    @property
    def newest_version(self) -> int:
        """Return the newest routing version that any peer has told of."""
        versions = [one.report.routing_version for one in self._heard.values()]
        versions += [one.summary.routing_version for one in self._zones.values()]
        if self._summary is not None:
            versions.append(self._summary.routing_version)
        return max(versions, default=0)

    @property
    def peers_without_platform(self) -> tuple[str, ...]:
        """Return the peers that the platform does not answer, as they say."""
        return tuple(peer for peer, one in self._heard.items() if not one.report.platform_ok)

    def ready_peers(self) -> set[str] | None:
        """Return the peers that say they are ready; None where nobody can tell."""
        now = self._state.now()
        roles = self._roles()
        if roles.is_large and not roles.is_collector:
            if self._summary is None or now - self._summary_at > REPORT_VALID_S:
                return None
            return set(self._summary.ready) - {self._own.instance_id}
        ready = {one.report.sender for one in self._fresh() if one.report.ready}
        if roles.is_large:
            ready |= {name for zone in self._fresh_zones() for name in zone.ready}
        return ready

    def report_now(self) -> None:
        """Report at once."""
        self._reported_at = self._state.now()
        uses, repeats = self._state.loads.own, self._state.repeat_counts()
        number = self._reports.add(uses, repeats)
        platform_status = self._platform_status()
        report = GatewayReport(
            self._own.instance_id,
            self._state.is_ready,
            platform_status.platform_ok,
            platform_status.routing_version,
            uses,
            repeats,
            number,
            self._state.cordons.snapshot,
            self._state.rate_limiting.told,
            self._state.eras.era,
            self._state.fleet.leaving_records(self._state.now()),
        )
        roles = self._roles()
        self._broadcast(roles.own_collectors if roles.is_large else self._live(), report)

    def publish_now(self) -> None:
        """Tell at once what this instance knows, to all who hear it."""
        self.report_now()
        self._summarize()

    def record_report(self, report: GatewayReport) -> bool:
        """Take in a peer's report; return whether the platform has just been lost to it."""
        now = self._state.now()
        before = self._heard.get(report.sender)
        self._heard[report.sender] = _Heard(report, now)
        self._state.loads.record_peer(report.sender, report.uses, now)
        for count in report.repeats:
            self._state.budget(count.service).record_peer(report.sender, count, now)
        return not report.platform_ok and (before is None or before.report.platform_ok)

    def record_zone_summary(self, summary: ZoneSummary) -> None:
        """Take in the sum of another zone."""
        now = self._state.now()
        name = f"{POOLED_PREFIX}{summary.zone}"
        self._zones[summary.zone] = _HeardZone(summary, now)
        self._state.loads.record_peer(name, summary.uses, now)
        for count in summary.repeats:
            budget = self._state.budget(count.service)
            budget.record_peer(name, count, now, instances=summary.instances)

    def record_fleet_summary(self, summary: FleetSummary) -> None:
        """Take in the sum of all reports; what is ours in it is known better here."""
        now = self._state.now()
        self._summary, self._summary_at = summary, now
        own_id = self._own.instance_id
        number = next((one.number for one in summary.acks if one.instance_id == own_id), 0)
        uses, repeats = self._reports.subtract_own(number, summary.uses, summary.repeats)
        self._state.loads.record_peer(FLEET_KEY, uses, now)
        others = max(1, summary.instances - 1)
        for count in repeats:
            budget = self._state.budget(count.service)
            budget.record_peer(FLEET_KEY, count, now, instances=others)

    def discard_reports(self) -> None:
        """Forget the sums: after a change of roles they come from others."""
        self._heard.clear()
        self._zones.clear()
        self._state.forget_peers()

    def _summarize(self) -> None:
        """Send the zone's sum to other zones and the sum of all to this one."""
        roles = self._roles()
        if not roles.is_collector:
            return
        self._broadcast(roles.remote_collectors, self._zone_summary())
        self._broadcast(roles.zone_members, self._fleet_summary())

    def _zone_summary(self) -> ZoneSummary:
        """Sum up what the instances of this zone report, with the own part."""
        fresh = self._fresh()
        platform_status = self._platform_status()
        return ZoneSummary(
            self._own.instance_id,
            self._own.zone,
            platform_status.routing_version,
            _milliseconds(platform_status.platform_age_s),
            self._state.fleet.digest,
            len(fresh) + 1,
            self._own_ready() + tuple(one.report.sender for one in fresh if one.report.ready),
            self._state.loads.all_sums(self._state.now(), pooled=False),
            sum_by_service([*self._reported_repeats(fresh), *self._state.repeat_counts()]),
            self._state.cordons.snapshot,
            self._state.rate_limiting.told,
            self._state.eras.era,
            self._state.fleet.leaving_records(self._state.now()),
        )

    def _fleet_summary(self) -> FleetSummary:
        """Sum up what all instances report, and what the platform says."""
        fresh, zones = self._fresh(), self._fresh_zones()
        counts = [*self._reported_repeats(fresh), *self._state.repeat_counts()]
        counts += [count for zone in zones for count in zone.repeats]
        ready = self.ready_peers() or set()
        platform_status = self._platform_status()
        return FleetSummary(
            self._own.instance_id,
            platform_status.routing_version,
            platform_status.policy_revision,
            _milliseconds(self._least_age(platform_status)),
            self._state.fleet.digest,
            len(fresh) + 1 + sum(zone.instances for zone in zones),
            tuple(sorted(ready.union(self._own_ready()))),
            self._state.loads.all_sums(self._state.now()),
            sum_by_service(counts),
            tuple(ReportAck(one.report.sender, one.report.number) for one in fresh),
            self._state.cordons.snapshot,
            self._state.rate_limiting.told,
            self._state.eras.era,
            self._state.fleet.leaving_records(self._state.now()),
        )

    def _least_age(self, platform_status: PlatformStatus) -> float:
        """Return how long ago the platform last answered any collector, in seconds."""
        now = self._state.now()
        ages = [
            now - one.at + one.summary.platform_age_ms / MS_PER_S for one in self._zones.values()
        ]
        return min([platform_status.platform_age_s, *ages])

    def _own_ready(self) -> tuple[str, ...]:
        """Return the own name if this instance takes requests."""
        return (self._own.instance_id,) if self._state.is_ready else ()

    @staticmethod
    def _reported_repeats(fresh: Iterable[_Heard]) -> list[RepeatCount]:
        """Return the repeats that peers have reported."""
        return [count for one in fresh for count in one.report.repeats]

    def _fresh(self) -> list[_Heard]:
        """Return the reports that still count."""
        now = self._state.now()
        return [one for one in self._heard.values() if now - one.at <= REPORT_VALID_S]

    def _fresh_zones(self) -> list[ZoneSummary]:
        """Return the sums of other zones that still count."""
        now = self._state.now()
        heard = self._zones.values()
        return [one.summary for one in heard if now - one.at <= REPORT_VALID_S]

    def _run_summaries(self) -> None:
        """Sum up again and again."""
        while True:
            gevent.sleep(SUMMARY_EVERY_S)
            self._summarize()

    def _run_reports(self) -> None:
        """Report when something changed, and at least once a period."""
        while True:
            left = self._reported_at + REPORT_INTERVAL_S - self._state.now()
            self._state.loads_changed.wait(max(0.0, left))
            gevent.sleep(LARGE_PAUSE_S if self._roles().is_large else REPORT_PAUSE_S)
            self._state.loads_changed.clear()
            self.report_now()


def _milliseconds(age_s: float) -> int:
    """Return an age as it travels."""
    return int(min(age_s, MAX_AGE_S) * MS_PER_S)
