"""Report this instance's load to its peers and aggregate their reports.

In a small fleet each instance reports to all others. In a large fleet reports are aggregated
hierarchically: an instance reports to the collectors of its availability zone, collectors
exchange the sums of their zones, and each sends the sum of the fleet to its own zone.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

import gevent

from driftstall.const import PREFIX_MEMBERSHIP
from driftstall.core import Instance
from driftstall.decisions.store_following import StoreAnswers
from driftstall.decisions.store_versions import StoreVersion
from driftstall.decisions.upstream_load import LoadSource
from driftstall.gateway.collectors import FleetRoles, OwnReportHistory, sum_by_service
from driftstall.gateway.forwarding.partition_records import instances_without, records_of
from driftstall.gateway.loads import FLEET_KEY, POOLED_PREFIX
from driftstall.gateway.retry_budget.shared_budget import RepeatCount
from driftstall.gateway.state import GatewayState
from driftstall.helpers.tasks import keep_running
from driftstall.peers.gateway_messages import (
    FleetSummary,
    GatewayMessage,
    GatewayReport,
    PartitionRecord,
    ReportAck,
    ZoneSummary,
)

REPORT_INTERVAL_S: Final = 1.0
REPORT_PAUSE_S: Final = 0.03
"""Changes within this time are sent in one report."""
LARGE_FLEET_REPORT_PAUSE_S: Final = 0.2
"""REPORT_PAUSE_S of a large fleet, where sums are sent only a few times a second anyway."""
SUMMARY_INTERVAL_S: Final = 0.5
"""Interval at which a collector sends sums; a zone with two collectors gets four a second."""
MIN_ZONE_SUMMARY_GAP_S: Final = 0.25
"""A periodic zone summary is left out if one was sent within this time, as the platform answered:
bytes between zones cost."""
REPORT_VALID_S: Final = 2.3
"""Callers aren't directed to a peer whose report is older, that is after two missed reports."""
MAX_AGE_S: Final = 60.0
"""Reported ages are capped at this value; no decision depends on longer ones."""
MS_PER_S: Final = 1000

Broadcast = Callable[[Iterable[Instance], GatewayMessage], None]


@dataclass(frozen=True, slots=True)
class PlatformStatus:
    """Hold the versions of this instance's data from the platform and its reachability."""

    routing_version: int
    policy_revision: StoreVersion
    platform_ok: bool
    platform_age_s: float
    """Time since the platform last answered, in seconds."""


@dataclass(frozen=True, slots=True)
class _ReceivedReport:
    """Hold a peer's newest report and its time of arrival."""

    report: GatewayReport
    at: float


@dataclass(frozen=True, slots=True)
class _ReceivedZoneSummary:
    """Hold the newest summary of another zone and its time of arrival."""

    summary: ZoneSummary
    at: float


class Reporting:
    """Send this instance's reports and aggregate those of its peers."""

    def __init__(
        self,
        state: GatewayState,
        own: Instance,
        *,
        roles: Callable[[], FleetRoles],
        live: Callable[[], tuple[Instance, ...]],
        platform_status: Callable[[], PlatformStatus],
        broadcast: Broadcast,
        follows: Callable[[], bool] = lambda: False,
    ) -> None:
        """Initialize with the shared state, getters of fleet and platform state, and a sender.

        The callable follows returns whether this instance follows the platform for the fleet.
        """
        self._state = state
        self._own = own
        self._roles = roles
        self._live = live
        self._platform_status = platform_status
        self._broadcast = broadcast
        self._follows = follows
        self.answers = StoreAnswers()
        """When the platform last answered the instances that follow it."""
        self._zone_summary_at = float("-inf")
        self._peers: dict[str, _ReceivedReport] = {}
        self._zones: dict[str, _ReceivedZoneSummary] = {}
        self._summary: FleetSummary | None = None
        self._summary_at = float("-inf")
        self._reported_at = float("-inf")
        self._own_reports = OwnReportHistory()

    def start(self) -> None:
        """Start the tasks that send reports and summaries."""
        keep_running(PREFIX_MEMBERSHIP, self._run_reports)
        keep_running(PREFIX_MEMBERSHIP, self._run_summaries)

    @property
    def newest_version(self) -> int:
        """Return the newest routing version that any peer has reported; zero if none has."""
        versions = [received.report.routing_version for received in self._peers.values()]
        versions += [received.summary.routing_version for received in self._zones.values()]
        if self._summary is not None:
            versions.append(self._summary.routing_version)
        return max(versions, default=0)

    @property
    def peers_without_platform(self) -> tuple[str, ...]:
        """Return the peers that report that they can't reach the platform."""
        return tuple(
            peer for peer, received in self._peers.items() if not received.report.platform_ok
        )

    def ready_peers(self) -> set[str] | None:
        """Return the peers that report to be ready; None if no fresh summary is available."""
        now = self._state.now()
        roles = self._roles()
        if roles.is_large and not roles.is_collector:
            if self._summary is None or now - self._summary_at > REPORT_VALID_S:
                return None
            return set(self._summary.ready) - {self._own.instance_id}
        ready = {
            received.report.sender for received in self._fresh_reports() if received.report.ready
        }
        if roles.is_large:
            ready |= {name for zone in self._fresh_zones() for name in zone.ready}
        return ready

    @property
    def partitioned_instances(self) -> set[str]:
        """Return the instances that can't reach some service."""
        return {record.instance_id for record in self._known_partitions()}

    def instances_without(self, service: str) -> set[str]:
        """Return the instances that can't reach a service."""
        return instances_without(self._known_partitions(), service)

    def _known_partitions(self) -> tuple[PartitionRecord, ...]:
        """Return which services instances can't reach, as far as this instance knows."""
        roles = self._roles()
        if roles.is_large and not roles.is_collector:
            return self._summary.partitions if self._summary else ()
        return self._partitions()

    def report_now(self) -> None:
        """Send a report at once, to all instances or to the zone's collectors."""
        self._reported_at = self._state.now()
        uses, repeats = self._state.loads.own, self._state.retries.counts
        number = self._own_reports.add(uses, repeats)
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
            self._state.rate_limiting.reports,
            self._state.eras.era,
            self._state.fleet.leaving_records(self._state.now()),
            upstream_loads=self._state.upstream_loads.reported(
                self._state.now(), LoadSource.RESPONSE
            ),
            # At least 1: zero means that this instance does not follow the platform.
            platform_age_ms=(
                max(1, _milliseconds(platform_status.platform_age_s)) if self._follows() else 0
            ),
            unreachable_services=self._state.connector.reachability.unreachable_services,
        )
        roles = self._roles()
        self._broadcast(roles.own_collectors if roles.is_large else self._live(), report)

    def publish_now(self) -> None:
        """Send a report and, as a collector, the summaries at once."""
        self.report_now()
        self._send_summaries()

    def publish_platform_age(self) -> None:
        """Report at once how long ago the platform answered; standby collectors rely on it."""
        self.report_now()
        if self._roles().is_collector:
            self._send_zone_summary()

    def record_report(self, report: GatewayReport) -> bool:
        """Record a peer's report; return True if the platform has just become unreachable to it."""
        now = self._state.now()
        before = self._peers.get(report.sender)
        self._peers[report.sender] = _ReceivedReport(report, now)
        self._state.loads.record_peer(report.sender, report.uses, now)
        self._state.record_peer_loads(report.upstream_loads, LoadSource.REPORT)
        if report.platform_age_ms:
            self.answers.record(report.sender, report.platform_age_ms / MS_PER_S, now)
        for count in report.repeats:
            self._state.retries.of(count.service).record_peer(report.sender, count, now)
        return not report.platform_ok and (before is None or before.report.platform_ok)

    def record_zone_summary(self, summary: ZoneSummary) -> None:
        """Record the summary of another zone."""
        now = self._state.now()
        name = f"{POOLED_PREFIX}{summary.zone}"
        self._zones[summary.zone] = _ReceivedZoneSummary(summary, now)
        self.answers.record(summary.sender, summary.platform_age_ms / MS_PER_S, now)
        self._state.loads.record_peer(name, summary.uses, now)
        self._state.record_peer_loads(summary.upstream_loads, LoadSource.SUMMARY)
        for count in summary.repeats:
            budget = self._state.retries.of(count.service)
            budget.record_peer(name, count, now)

    def record_fleet_summary(self, summary: FleetSummary) -> None:
        """Record the summary of the fleet, less this instance's own part in it.

        The own current load is known here; the summary contains the load of an earlier report,
        which the acknowledged report number identifies.
        """
        now = self._state.now()
        self._summary, self._summary_at = summary, now
        own_id = self._own.instance_id
        number = next((ack.number for ack in summary.acks if ack.instance_id == own_id), 0)
        uses, repeats = self._own_reports.subtract_own(number, summary.uses, summary.repeats)
        self._state.loads.record_peer(FLEET_KEY, uses, now)
        self._state.record_peer_loads(summary.upstream_loads, LoadSource.SUMMARY)
        for count in repeats:
            budget = self._state.retries.of(count.service)
            budget.record_peer(FLEET_KEY, count, now)

    def discard_reports(self) -> None:
        """Discard received reports: after a change of roles, sums come from other senders."""
        self._peers.clear()
        self._zones.clear()
        self._state.forget_peers()

    def _send_summaries(self, *, min_gap_s: float = 0.0) -> None:
        """Send the zone's summary to other zones' collectors, and the fleet's to this zone."""
        roles = self._roles()
        if not roles.is_collector:
            return
        if self._state.now() - self._zone_summary_at >= min_gap_s:
            self._send_zone_summary()
        self._broadcast(roles.zone_members, self._fleet_summary())

    def _send_zone_summary(self) -> None:
        """Send the zone's summary to other zones' collectors."""
        self._zone_summary_at = self._state.now()
        self._broadcast(self._roles().remote_collectors, self._zone_summary())

    def _zone_summary(self) -> ZoneSummary:
        """Aggregate the reports of this zone's instances, including this one."""
        fresh = self._fresh_reports()
        platform_status = self._platform_status()
        return ZoneSummary(
            self._own.instance_id,
            self._own.zone,
            platform_status.routing_version,
            _milliseconds(self._zone_platform_age_s(fresh, platform_status)),
            self._state.fleet.digest,
            len(fresh) + 1,
            self._own_id_if_ready()
            + tuple(received.report.sender for received in fresh if received.report.ready),
            self._state.loads.sorted_totals(self._state.now(), pooled=False),
            sum_by_service([*self._reported_repeats(fresh), *self._state.retries.counts]),
            self._state.cordons.snapshot,
            self._state.rate_limiting.reports,
            self._state.eras.era,
            self._state.fleet.leaving_records(self._state.now()),
            upstream_loads=self._state.upstream_loads.reported(
                self._state.now(), LoadSource.REPORT
            ),
            partitions=self._zone_partitions(fresh),
        )

    def _fleet_summary(self) -> FleetSummary:
        """Aggregate the reports of all instances and the versions of the platform's data."""
        fresh, zones = self._fresh_reports(), self._fresh_zones()
        counts = [*self._reported_repeats(fresh), *self._state.retries.counts]
        counts += [count for zone in zones for count in zone.repeats]
        ready = self.ready_peers() or set()
        platform_status = self._platform_status()
        return FleetSummary(
            self._own.instance_id,
            platform_status.routing_version,
            platform_status.policy_revision,
            _milliseconds(self._min_platform_age_s(platform_status)),
            self._state.fleet.digest,
            len(fresh) + 1 + sum(zone.instances for zone in zones),
            tuple(sorted(ready.union(self._own_id_if_ready()))),
            self._state.loads.sorted_totals(self._state.now()),
            sum_by_service(counts),
            tuple(ReportAck(received.report.sender, received.report.number) for received in fresh),
            self._state.cordons.snapshot,
            self._state.rate_limiting.reports,
            self._state.eras.era,
            self._state.fleet.leaving_records(self._state.now()),
            upstream_loads=self._state.upstream_loads.reported(
                self._state.now(), LoadSource.SUMMARY
            ),
            partitions=self._partitions(),
        )

    def _zone_partitions(self, fresh: Iterable[_ReceivedReport]) -> tuple[PartitionRecord, ...]:
        """Return which services this instance and others of its zone can't reach."""
        own = PartitionRecord(
            self._own.instance_id, self._state.connector.reachability.unreachable_services
        )
        records = records_of(received.report for received in fresh)
        return (*records, own) if own.services else records

    def _partitions(self) -> tuple[PartitionRecord, ...]:
        """Return which services instances can't reach, as far as they report to this one."""
        zones = [record for zone in self._fresh_zones() for record in zone.partitions]
        return (*self._zone_partitions(self._fresh_reports()), *zones)

    def _min_platform_age_s(self, platform_status: PlatformStatus) -> float:
        """Return how long ago the platform last answered any instance that follows it."""
        return min(platform_status.platform_age_s, self.answers.youngest_age_s(self._state.now()))

    def _zone_platform_age_s(
        self, fresh: Iterable[_ReceivedReport], platform_status: PlatformStatus
    ) -> float:
        """Return how long ago the platform last answered this instance or a zone's member.

        The other collector of the zone reports its own answers to all collectors: a standby tells
        answers to earlier standbys from those to later ones by the sender.
        """
        now = self._state.now()
        collectors = {one.instance_id for one in self._roles().own_collectors}
        ages = [
            now - received.at + received.report.platform_age_ms / MS_PER_S
            for received in fresh
            if received.report.platform_age_ms and received.report.sender not in collectors
        ]
        return min([platform_status.platform_age_s, *ages])

    def _own_id_if_ready(self) -> tuple[str, ...]:
        """Return this instance's id if it accepts requests, else an empty tuple."""
        return (self._own.instance_id,) if self._state.is_ready else ()

    @staticmethod
    def _reported_repeats(fresh: Iterable[_ReceivedReport]) -> list[RepeatCount]:
        """Return the retry counts in peers' reports."""
        return [count for received in fresh for count in received.report.repeats]

    def _fresh_reports(self) -> list[_ReceivedReport]:
        """Return the peers' reports that are still valid."""
        now = self._state.now()
        return [
            received for received in self._peers.values() if now - received.at <= REPORT_VALID_S
        ]

    def _fresh_zones(self) -> list[ZoneSummary]:
        """Return the summaries of other zones that are still valid."""
        now = self._state.now()
        zones = self._zones.values()
        return [received.summary for received in zones if now - received.at <= REPORT_VALID_S]

    def _run_summaries(self) -> None:
        """Send summaries periodically."""
        while True:
            gevent.sleep(SUMMARY_INTERVAL_S)
            self._send_summaries(min_gap_s=MIN_ZONE_SUMMARY_GAP_S)

    def _run_reports(self) -> None:
        """Send a report after each change, and at least once per interval."""
        while True:
            remaining_s = self._reported_at + REPORT_INTERVAL_S - self._state.now()
            self._state.loads_changed.wait(max(0.0, remaining_s))
            gevent.sleep(LARGE_FLEET_REPORT_PAUSE_S if self._roles().is_large else REPORT_PAUSE_S)
            self._state.loads_changed.clear()
            self.report_now()


def _milliseconds(age_s: float) -> int:
    """Return an age in milliseconds, capped, as messages carry it."""
    return int(min(age_s, MAX_AGE_S) * MS_PER_S)
