"""Assemble one gateway instance and run it until its planned stop."""

from __future__ import annotations

import signal
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import gevent

from driftstall.const import PREFIX_CONFIGURATION, PREFIX_DRAIN, PREFIX_MEMBERSHIP
from driftstall.decisions.leaving_signals import LeavingRecord
from driftstall.decisions.loop_stalls import LoopStalls
from driftstall.decisions.upstream_probes import ReportedState
from driftstall.decisions.watch_timeouts import max_watch_wait_s
from driftstall.exceptions import SettingsError
from driftstall.gateway.callers.auxiliary import AuxiliaryListener
from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.cordon_source import CordonSource
from driftstall.gateway.cordons import Cordon
from driftstall.gateway.dialect import Dialect
from driftstall.gateway.drain import Drain
from driftstall.gateway.evacuation import Evacuation
from driftstall.gateway.feeds import Feed, Follower, ItemChange, WatchPacing
from driftstall.gateway.fleet_events import FleetAction
from driftstall.gateway.listeners import (
    CallerListener,
    LocateHandler,
    MetricsHandler,
    ReadinessHandler,
)
from driftstall.gateway.model import GatewaySettings, PolicyText, RoutingText, Upstream
from driftstall.gateway.moves import Mover
from driftstall.gateway.peering import Peering
from driftstall.gateway.poison.crash_detector import CrashDetector
from driftstall.gateway.poison.crash_persistence import CrashPersistence, CrashStore
from driftstall.gateway.policy_persistence import PolicyPersistence, StoredPolicyAccess
from driftstall.gateway.protection import RunProtection
from driftstall.gateway.registration import InstanceEntries, Registration
from driftstall.gateway.reports import MAX_AGE_S, MS_PER_S, PlatformStatus
from driftstall.gateway.sharing import PeerUpdateHandlers
from driftstall.gateway.sources import (
    PolicySource,
    RoutingSource,
)
from driftstall.gateway.state import GatewayState
from driftstall.gateway.store_reachability import FeedReachability, StoreReachability
from driftstall.gateway.store_recovery import StoreRecovery
from driftstall.gateway.upstream_prober import UpstreamProber
from driftstall.gateway.upstream_source import UpstreamSource
from driftstall.gateway.watch_delegation import (
    CORDON_FEED,
    ROUTING_FEED,
    STARTUP_SETTLE_S,
    UPSTREAM_FEED,
    DelegatedWatchPacing,
    RevisionWatchPacing,
    WatchDelegation,
)
from driftstall.helpers.listening import bind_when_free
from driftstall.helpers.log import BoundedWriter, log_event
from driftstall.helpers.start_signals import StartSignals
from driftstall.helpers.tasks import keep_running, run_guarded
from driftstall.policy.model import Policy
from driftstall.util import clock
from driftstall.util.limited_response import limit_held_bytes

PERIOD_S: Final = 0.2
"""Interval of the periodic checks for timeouts; each check wakes up the process."""
MIN_LOGGED_SUSPENSION_S: Final = 0.1
"""Shorter differences are no suspension: the two clocks are read microseconds apart."""
SETTINGS_CHECK_S: Final = 0.5
"""Interval of checks for a changed settings file, which may change without a SIGHUP."""


@dataclass(frozen=True, slots=True)
class PlatformAccess:
    """Hold the platform adapter's feeds, stored objects, dialect and functions."""

    dialect: Dialect
    upstreams: Feed[Upstream]
    cordons: Feed[Cordon]
    routing: Feed[RoutingText]
    policies: Feed[PolicyText]
    instances: InstanceEntries
    crashes: CrashStore
    policy: StoredPolicyAccess
    subscribe_store_eras: Callable[[Callable[[int], None]], None]
    """Registers a callback for each new era of the platform's store."""
    use_address: Callable[[str], None]
    call_count: Callable[[], int]
    read_settings: Callable[[Path], GatewaySettings]


class GatewayNode:
    """Run one gateway instance."""

    def __init__(
        self,
        settings: GatewaySettings,
        path: Path,
        access: PlatformAccess,
        policy: Policy,
        log: BoundedWriter,
    ) -> None:
        """Initialize with the settings and their file, the platform, the policy and the log."""
        self._log = log
        self._path = path
        self._access = access
        self.state = GatewayState(settings, access.dialect, policy)
        limit_held_bytes(settings.memory_mb)
        self._routing = RoutingSource(self.state, self._publish_routing)
        mover = Mover(self.state)
        evacuation = Evacuation(self.state, mover)
        self._protection = RunProtection(self.state, mover)
        self._policies = PolicySource(self.state)
        self._upstreams = UpstreamSource(
            self.state,
            on_leaving=evacuation.start,
            publish_change=self._publish_change,
            publish_action=self._publish_action,
            announce=self._announce,
            store_silence_s=lambda: self._upstream_pacing.silence_s,
        )
        self._cordons = CordonSource(
            self.state,
            on_changed=self._upstreams.handle_cordons_changed,
            announce=lambda: self._peering.publish_cordons(),
        )
        delegation = WatchDelegation(self.state.rng)
        handlers = PeerUpdateHandlers(
            read_routing=lambda: (self._routing.version, self._routing.text),
            apply_routing=self._routing.handle_peer_document,
            apply_upstream_change=self._upstreams.handle_peer_change,
            mark_suspected=self._upstreams.handle_suspected,
            apply_fleet=self._upstreams.handle_peer_list,
            apply_cordons=self._cordons.handle_peer_report,
            record_leaving=self._record_leaving_report,
        )
        self._peering = Peering(
            self.state, handlers, platform_status=self._platform_status, delegation=delegation
        )
        evacuation.use_orders(self._peering.evacuation_orders)
        self._delegation = delegation
        self._upstream_prober = UpstreamProber(
            self.state,
            self._peering.own,
            probers=lambda: self._store_reachability.probers(),
            is_platform_silent=lambda: self._store_reachability.is_silent,
            on_suspected=self._upstreams.handle_suspected,
            publish=self._peering.publish_suspicion,
        )
        self.state.on_upstream_suspected = self._upstream_prober.probe_soon
        self.state.signals.on_leaving = self._handle_leaving_signal
        self._crash_persistence = CrashPersistence(self.state, access.crashes, self._roles)
        crash_detector = CrashDetector(
            self.state,
            on_crash=lambda upstream: self._upstream_prober.handle_bad_state(
                upstream, ReportedState.TERMINATED
            ),
            publish_evidence=self._peering.publish_poison_evidence,
        )
        self.state.on_run_broken = crash_detector.handle_broken_run
        self.state.poison.on_evidence_changed = self._peering.publish_poison_evidence
        self.state.poison.on_quarantined = self._crash_persistence.handle_quarantined
        self.state.poison.on_cleared = self._crash_persistence.handle_cleared
        self._routing_pacing = self._delegated_pacing(ROUTING_FEED)
        self._upstream_pacing = self._delegated_pacing(UPSTREAM_FEED)
        policy_pacing = RevisionWatchPacing(
            self._roles, lambda: self._peering.policy_revision > self._policies.revision
        )
        rng, sleeper = self.state.rng, self._peering.following.sleeper
        self._routing_follower = Follower(
            access.routing, self._routing, rng, self._routing_pacing, sleeper(ROUTING_FEED)
        )
        self._upstream_follower = Follower(
            access.upstreams, self._upstreams, rng, self._upstream_pacing, sleeper(UPSTREAM_FEED)
        )
        self._policy_follower = Follower(access.policies, self._policies, rng, policy_pacing)
        self._cordon_follower = Follower(
            access.cordons,
            self._cordons,
            rng,
            self._cordon_pacing(settings),
            sleeper(CORDON_FEED),
        )
        self._routing_reachability = FeedReachability(self._routing_follower, self._routing_pacing)
        self._upstream_reachability = FeedReachability(
            self._upstream_follower, self._upstream_pacing
        )
        self._store_reachability = StoreReachability(
            self._routing_reachability,
            self._upstream_reachability,
            delegation,
            now=self.state.now,
            roles=self._roles,
            live=lambda: self._peering.live,
            peers_without_platform=lambda: self._peering.peers_without_platform,
        )
        self._registration = Registration(
            self.state, self._peering.own, access.instances, self._peering.add_listed_instances
        )
        self._store_recovery = StoreRecovery(
            self.state,
            own_id=settings.instance_id,
            live=lambda: self._peering.live,
            on_restored=self._upstreams.handle_store_restored,
            on_settled=self._relist_all,
        )
        self._policy_persistence = PolicyPersistence(self._policies, access.policy)
        self.state.on_store_era = self._store_recovery.handle_era
        access.subscribe_store_eras(self._store_recovery.handle_era)
        self._store_recovery.register_own_write(self._registration.write)
        self._store_recovery.register_shared_write(
            "policy", self._policy_persistence.rewrite_if_lost
        )
        self._store_recovery.register_shared_write("crashes", self._crash_persistence.rewrite_all)
        self._drain = Drain(self.state)
        self._stalls = LoopStalls(PERIOD_S)
        self.state.has_ready_peer = self._has_ready_peer
        self._callers = CallerListener(self.state, mover, self._is_current)
        self._ready = AuxiliaryListener(
            settings.ready_listen, ReadinessHandler(self.state), self.state
        )
        locate = LocateHandler(self.state, self._peering.locatable_instances)
        self._locate = AuxiliaryListener(settings.locate_listen, locate, self.state)
        metrics = MetricsHandler(self.state, self._gauges, self._peering.queue.status)
        self._metrics = AuxiliaryListener(settings.metrics_listen, metrics, self.state)
        self._settings_signature = self._read_settings_signature()

    def run(self, start_signals: StartSignals) -> None:
        """Run until a planned stop is complete; raise ListenError if an address stays in use."""
        gevent.signal_handler(signal.SIGTERM, self._begin_stop)
        gevent.signal_handler(signal.SIGINT, self._begin_stop)
        gevent.signal_handler(signal.SIGHUP, self._reload)
        if start_signals.is_reload_requested:
            self._reload()
        if start_signals.is_stop_requested:
            self._drain.begin()
        # All addresses are bound before any is served, so that an instance that gives up its start
        # has accepted nothing, and neither peers nor callers have heard of it.
        listeners = (self._callers, self._ready, self._locate, self._metrics, self._peering)
        for listener in listeners:
            bind_when_free(listener.bind, lambda: self.state.is_stopping)
        if self.state.is_stopping:
            log_event(PREFIX_DRAIN, "Stopped before the start was complete")
            return
        for component in (
            *listeners,
            self._protection,
            self._upstream_prober,
            self._crash_persistence,
        ):
            component.start()
        for follower in (
            self._routing_follower,
            self._upstream_follower,
            self._cordon_follower,
            self._policy_follower,
        ):
            gevent.spawn(follower.run)
        keep_running(PREFIX_MEMBERSHIP, self._registration.maintain)
        log_event(PREFIX_MEMBERSHIP, f"Instance {self.state.settings.instance_id} has started")
        self._run_periodic_checks()
        log_event(PREFIX_DRAIN, f"Instance {self.state.settings.instance_id} has stopped")

    def _run_periodic_checks(self) -> None:
        """Run the periodic checks until the stop is complete."""
        self._stalls.record_turn(self.state.now())
        checked_at = self.state.now()
        suspended_s = clock.suspended_s()
        has_announced_stop = False
        while not self._drain.is_finished:
            gevent.sleep(PERIOD_S)
            self._stalls.record_turn(self.state.now())
            run_guarded(PREFIX_MEMBERSHIP, self._upstreams.handle_timer)
            suspended_s = _log_suspension(suspended_s)
            self.state.stats.platform_calls = self._access.call_count()
            if self.state.is_stopping and not has_announced_stop:
                has_announced_stop = True
                run_guarded(PREFIX_DRAIN, self._announce_stop)
            if self.state.now() - checked_at >= SETTINGS_CHECK_S:
                checked_at = self.state.now()
                if self._read_settings_signature() != self._settings_signature:
                    run_guarded(PREFIX_CONFIGURATION, self._reload)

    def _begin_stop(self) -> None:
        """Begin a planned stop; its signal may have arrived while the event loop was stalled."""
        self._drain.begin(self._stalls.max_delay_s(self.state.now()))

    def _announce_stop(self) -> None:
        """Announce to peers and the platform that this instance accepts no more requests."""
        self._peering.leave()
        gevent.spawn(self._registration.withdraw)

    def _has_ready_peer(self) -> bool:
        """Return True if another instance is ready to take callers."""
        own_id = self.state.settings.instance_id
        return any(each.instance_id != own_id for each in self._peering.ready_instances())

    def _relist_all(self) -> None:
        """List all feeds again; objects that the store no longer has count as removed."""
        for follower in (
            self._routing_follower,
            self._upstream_follower,
            self._cordon_follower,
            self._policy_follower,
        ):
            follower.request_relist()

    def _gauges(self) -> dict[str, float]:
        """Return the values of the gauges for the metrics page."""
        return {
            "open_requests": self.state.open_requests,
            "open_streams": len(self.state.runs.all),
            "routing_version": self._routing.version,
            "instances": self.state.instances.value,
            "retries_in_window": self.state.retries.sent,
            "retries_available": self.state.retries.least_available,
            "retry_share_full": float(self.state.retries.is_share_full),
            "upstreams": len(self.state.fleet.upstreams),
            "upstreams_missing": len(self.state.fleet.missing_ids),
            "upstreams_unreachable": len(self.state.connector.reachability.unreachable),
            "services_unreachable": len(self.state.connector.reachability.unreachable_services),
            "tunnels_open": self._peering.tunnels.opened,
            "tunnels_open_for_peers": self._peering.tunnels.served,
            "upstreams_with_rate_limit": len(self.state.rate_limiting.limited),
            "upstreams_leaving_by_signal": len(self.state.fleet.leaving_records(self.state.now())),
            "upstreams_in_backoff": len(self.state.backoff.active(self.state.now())),
            "upstream_pace": self.state.upstream_loads.max_pace(self.state.now()),
            "cordoned_zones": len(self.state.cordons.zones),
            "upstreams_age_seconds": min(MAX_AGE_S, self._upstream_pacing.age_s),
            "routing_age_seconds": min(MAX_AGE_S, self._routing_pacing.age_s),
            "platform_ok": float(self._upstream_reachability.is_followed),
            "requests_refused_for_crashes": len(
                self.state.poison.tracker.quarantined(self.state.now())
            ),
            "queue_waiting": self._peering.queue.waiting,
            "store_era": self.state.eras.era,
            "store_returns": self.state.eras.returns,
            "collects": float(self._roles().is_collector),
            "follows_store": float(self._peering.following.follows),
            "buffered_bytes": self.state.buffers.used_bytes,
            "buffer_evictions": self.state.buffers.evictions,
            "log_lines_dropped": self._log.total_dropped,
        }

    def _delegated_pacing(self, name: str, feed: str = "") -> DelegatedWatchPacing:
        """Return the pacing of a feed that decides which upstreams get requests."""
        return DelegatedWatchPacing(
            self._delegation,
            self._roles,
            self.state.now,
            max_watch_s=self._max_watch_s,
            settle_s=STARTUP_SETTLE_S,
            feed=feed,
            name=name,
            following=self._peering.following,
        )

    def _cordon_pacing(self, settings: GatewaySettings) -> WatchPacing:
        """Return the pacing of the feed of cordons.

        A site that sets no bound for cordons is not expected to use them, so occasional reads are
        enough.
        """
        if settings.bounds.cordon_s:
            # A feed name of its own gives this feed a separate retry schedule in an outage: three
            # feeds that take turns in one schedule would each wait too long.
            return self._delegated_pacing(CORDON_FEED, CORDON_FEED)
        return RevisionWatchPacing(self._roles, lambda: False)

    def _max_watch_s(self) -> float:
        """Return the longest duration of a watch request in seconds, by the settings in force."""
        return max_watch_wait_s(self.state.settings.bounds.catch_up_s)

    def _announce(self) -> None:
        """Trigger a report to peers after a change."""
        self.state.loads_changed.set()

    def _handle_leaving_signal(self, upstream_id: str) -> None:
        """Record that an upstream has signalled that it is leaving, and publish that at once."""
        if self._upstreams.handle_leaving_signal(upstream_id):
            self._peering.publish_signals()

    def _record_leaving_report(self, record: LeavingRecord) -> bool:
        """Record a leaving signal that a peer reports; return whether it was new."""
        return self._upstreams.handle_leaving_signal(record.upstream_id, record.ago_ms / MS_PER_S)

    def _publish_routing(self, *, from_peer: bool) -> None:
        """Publish the routing document in force to peers."""
        self._peering.publish_routing(from_peer=from_peer)

    def _publish_change(self, change: ItemChange[Upstream]) -> None:
        """Publish a change of an upstream to peers that can't reach the platform."""
        self._peering.publish_change(change)

    def _publish_action(self, action: FleetAction, *, from_peer: bool) -> None:
        """Publish that an upstream joined or leaves, as the roles require."""
        self._peering.publish_action(action, from_peer=from_peer)

    def _roles(self) -> FleetRoles:
        """Return the current roles in the fleet."""
        return self._peering.roles

    def _platform_status(self) -> PlatformStatus:
        """Return what this instance reports about its data from the platform."""
        return PlatformStatus(
            self._routing.version,
            self._policies.revision,
            self._store_reachability.is_answered,
            self._upstream_pacing.age_s,
        )

    def _is_current(self) -> bool:
        """Return True if no newer routing document is known here or at any peer."""
        newest = self._peering.newest_version
        return self._routing_reachability.is_followed and newest <= self._routing.version

    def _read_settings_signature(self) -> tuple[int, int]:
        """Return the settings file's modification time in ns and its size in bytes."""
        try:
            status = self._path.stat()
        except OSError:
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)

    def _reload(self) -> None:
        """Reload the settings; invalid ones are logged and the old ones stay in force."""
        self._settings_signature = self._read_settings_signature()
        try:
            settings = self._access.read_settings(self._path)
        except SettingsError as error:
            log_event(PREFIX_CONFIGURATION, f"The changed settings are not used: {error}")
            return
        self.state.settings = settings
        self._access.use_address(settings.platform_address)
        log_event(PREFIX_CONFIGURATION, "Settings reloaded")


def _log_suspension(before_s: float) -> float:
    """Log a suspension of the machine since the last check; return the total in seconds."""
    suspended_s = clock.suspended_s()
    if suspended_s - before_s < MIN_LOGGED_SUSPENSION_S:
        return before_s
    for_s = round(suspended_s - before_s, 2)
    log_event(PREFIX_MEMBERSHIP, f"The machine was suspended for {for_s} s", for_s=for_s)
    return suspended_s
