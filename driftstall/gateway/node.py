"""Put one gateway instance together and run it until its planned stop."""

from __future__ import annotations

import signal
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import gevent

from driftstall.const import PREFIX_CONFIGURATION, PREFIX_DRAIN, PREFIX_MEMBERSHIP
from driftstall.decisions.leaving_signals import LeavingRecord
from driftstall.decisions.upstream_probes import ReportedState
from driftstall.decisions.watch_timeouts import max_watch_wait_s
from driftstall.exceptions import SettingsError
from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.cordon_source import CordonSource
from driftstall.gateway.cordons import Cordon
from driftstall.gateway.crash_detector import CrashDetector
from driftstall.gateway.crash_persistence import CrashPersistence, StoredCrashes
from driftstall.gateway.dialect import Dialect
from driftstall.gateway.drain import Drain
from driftstall.gateway.evacuation import Evacuation
from driftstall.gateway.feeds import Feed, Follower, ItemChange, WatchPacing
from driftstall.gateway.fleet_events import FleetAction
from driftstall.gateway.listeners import (
    AuxiliaryListener,
    CallerListener,
    LocateHandler,
    MetricsHandler,
    ReadinessHandler,
)
from driftstall.gateway.model import GatewaySettings, PolicyText, RoutingText, Upstream
from driftstall.gateway.moves import Mover
from driftstall.gateway.peering import Peering
from driftstall.gateway.policy_persistence import PolicyPersistence, StoredPolicy
from driftstall.gateway.protection import RunProtection
from driftstall.gateway.registration import InstanceEntries, Registration
from driftstall.gateway.reports import MAX_AGE_S, MS, PlatformStatus
from driftstall.gateway.sharing import PeerUpdateHandlers
from driftstall.gateway.sources import (
    PolicySource,
    RoutingSource,
    UpstreamSource,
)
from driftstall.gateway.state import GatewayState
from driftstall.gateway.store_reachability import FeedReachability, StoreReachability
from driftstall.gateway.store_recovery import StoreRecovery
from driftstall.gateway.upstream_prober import UpstreamProber
from driftstall.gateway.watch_delegation import (
    STARTUP_SETTLE_S,
    DelegatedWatchPacing,
    RevisionWatchPacing,
    WatchDelegation,
)
from driftstall.helpers.log import BoundedWriter, log_event
from driftstall.helpers.tasks import keep_running
from driftstall.policy.model import Policy
from driftstall.util import clock

PERIOD_S: Final = 0.2
"""How often the node looks for what time alone brings; each look is a wake-up."""
CORDONS: Final = "cordons"
LOGGED_SUSPENSION_S: Final = 0.1
"""The two clocks are read one after the other, and differ by some microseconds."""
SETTINGS_CHECK_S: Final = 0.5
"""The settings file may change without a signal."""


@dataclass(frozen=True, slots=True)
class PlatformAccess:
    """Hold what the adapter gives: feeds, own entries, and how the address changes."""

    dialect: Dialect
    upstreams: Feed[Upstream]
    cordons: Feed[Cordon]
    routing: Feed[RoutingText]
    policies: Feed[PolicyText]
    instances: InstanceEntries
    crashes: StoredCrashes
    policy: StoredPolicy
    subscribe_store_eras: Callable[[Callable[[int], None]], None]
    """Has somebody told of each new era of the platform's store."""
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
        """Take the settings, their file, the platform's access, the default policy, the log."""
        self._log = log
        self._path = path
        self._access = access
        self.state = GatewayState(settings, access.dialect, policy)
        self._routing = RoutingSource(self.state, self._pass_routing)
        mover = Mover(self.state)
        self._protection = RunProtection(self.state, mover)
        self._policies = PolicySource(self.state)
        self._upstreams = UpstreamSource(
            self.state,
            on_leaving=Evacuation(self.state, mover).start,
            publish_change=self._pass_change,
            publish_action=self._pass_action,
            announce=self._announce,
            store_silence_s=lambda: self._upstream_pace.silence_s,
        )
        self._cordons = CordonSource(
            self.state,
            on_changed=self._upstreams.handle_cordons_changed,
            announce=lambda: self._peering.publish_cordons(),
        )
        delegation = WatchDelegation(self.state.rng)
        intake = PeerUpdateHandlers(
            read_routing=lambda: (self._routing.version, self._routing.text),
            apply_routing=self._routing.handle_peer_document,
            apply_upstream_change=self._upstreams.handle_peer_change,
            mark_suspected=self._upstreams.handle_suspected,
            apply_fleet=self._upstreams.handle_peer_list,
            apply_cordons=self._cordons.handle_peer_report,
            record_leaving=self._take_leaving,
        )
        self._peering = Peering(
            self.state, intake, platform_status=self._platform_status, delegation=delegation
        )
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
        self.state.signals.leaving = self._signalled_leaving
        self._crash_persistence = CrashPersistence(self.state, access.crashes, self._roles)
        watch = CrashDetector(
            self.state,
            on_crash=lambda upstream: self._upstream_prober.handle_bad_state(
                upstream, ReportedState.TERMINATED
            ),
            publish_evidence=self._peering.publish_poison_evidence,
            on_quarantined=self._crash_persistence.handle_quarantined,
        )
        self.state.on_quarantine_cleared = self._crash_persistence.handle_cleared
        self.state.on_run_broken = watch.handle_broken_run
        self.state.on_poison_evidence_changed = self._peering.publish_poison_evidence
        self._routing_pace = self._fleet_pace()
        self._upstream_pace = self._fleet_pace()
        policy_pace = RevisionWatchPacing(
            self._roles, lambda: self._peering.policy_revision > self._policies.revision
        )
        source = self.state.rng
        self._routing_follower = Follower(access.routing, self._routing, source, self._routing_pace)
        self._upstream_follower = Follower(
            access.upstreams, self._upstreams, source, self._upstream_pace
        )
        self._policy_follower = Follower(access.policies, self._policies, source, policy_pace)
        self._cordon_follower = Follower(
            access.cordons, self._cordons, source, self._cordon_pace(settings)
        )
        self._routing_reach = FeedReachability(self._routing_follower, self._routing_pace)
        self._upstream_reach = FeedReachability(self._upstream_follower, self._upstream_pace)
        self._store_reachability = StoreReachability(
            self._routing_reach,
            self._upstream_reach,
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
            on_restored=self._upstreams.store_returned,
            on_settled=self._list_again,
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
        self._callers = CallerListener(self.state, mover, self._drain, self._is_current)
        self._ready = AuxiliaryListener(settings.ready_listen, ReadinessHandler(self.state))
        locate = LocateHandler(self.state, self._peering.locatable_instances)
        self._locate = AuxiliaryListener(settings.locate_listen, locate)
        metrics = MetricsHandler(self.state, self._gauges)
        self._metrics = AuxiliaryListener(settings.metrics_listen, metrics)
        self._settings_seen = self._settings_time()

    def run(self) -> None:
        """Run until a planned stop has ended."""
        gevent.signal_handler(signal.SIGTERM, self._drain.begin)
        gevent.signal_handler(signal.SIGINT, self._drain.begin)
        gevent.signal_handler(signal.SIGHUP, self._reload)
        for part in (
            self._callers,
            self._ready,
            self._locate,
            self._metrics,
            self._peering,
            self._protection,
            self._upstream_prober,
            self._crash_persistence,
        ):
            part.start()
        for follower in (
            self._routing_follower,
            self._upstream_follower,
            self._cordon_follower,
            self._policy_follower,
        ):
            gevent.spawn(follower.run)
        keep_running(PREFIX_MEMBERSHIP, self._registration.maintain)
        log_event(PREFIX_MEMBERSHIP, f"Instance {self.state.settings.instance_id} has started")
        self._run_periods()
        log_event(PREFIX_DRAIN, f"Instance {self.state.settings.instance_id} has stopped")

    def _run_periods(self) -> None:
        """Let time pass until the stop has ended."""
        checked_at = self.state.now()
        suspended_s = clock.suspended_s()
        told_stop = False
        while not self._drain.is_finished:
            gevent.sleep(PERIOD_S)
            self._upstreams.period()
            suspended_s = _log_suspension(suspended_s)
            self.state.stats.platform_calls = self._access.call_count()
            if self.state.stopping_since is not None and not told_stop:
                told_stop = True
                self._leave()
            if self.state.now() - checked_at >= SETTINGS_CHECK_S:
                checked_at = self.state.now()
                if self._settings_time() != self._settings_seen:
                    self._reload()

    def _leave(self) -> None:
        """Tell peers and the platform that this instance takes nothing more."""
        self._peering.leave()
        gevent.spawn(self._registration.withdraw)

    def _list_again(self) -> None:
        """Read all lists anew: what the store lacks by now is gone."""
        for follower in (
            self._routing_follower,
            self._upstream_follower,
            self._cordon_follower,
            self._policy_follower,
        ):
            follower.request_relist()

    def _gauges(self) -> dict[str, float]:
        """Return what has a value now, for the metrics page."""
        return {
            "open_requests": self.state.open_requests,
            "open_streams": len(self.state.runs.all),
            "routing_version": self._routing.version,
            "instances": self.state.instances.value,
            "upstreams": len(self.state.fleet.upstreams),
            "upstreams_with_rate_limit": len(self.state.rate_limiting.limited),
            "upstreams_leaving_by_signal": len(self.state.fleet.leaving_records(self.state.now())),
            "upstreams_in_backoff": len(self.state.backoff.active(self.state.now())),
            "cordoned_zones": len(self.state.cordons.zones),
            "upstreams_age_seconds": min(MAX_AGE_S, self._upstream_pace.age_s),
            "routing_age_seconds": min(MAX_AGE_S, self._routing_pace.age_s),
            "platform_ok": float(self._upstream_reach.is_followed),
            "requests_refused_for_crashes": len(
                self.state.poison_tracker.quarantined(self.state.now())
            ),
            "store_era": self.state.eras.era,
            "store_returns": self.state.eras.returns,
            "collects": float(self._roles().is_collector),
            "log_lines_dropped": self._log.dropped_in_all,
        }

    def _fleet_pace(self, feed: str = "") -> DelegatedWatchPacing:
        """Return the pace of a feed on which it depends who gets requests."""
        return DelegatedWatchPacing(
            self._delegation,
            self._roles,
            self.state.now,
            max_watch_s=self._longest_wait,
            settle_s=STARTUP_SETTLE_S,
            feed=feed,
        )

    def _cordon_pace(self, settings: GatewaySettings) -> WatchPacing:
        """Return the pace at which cordoned zones are followed.

        Where the site sets no bound for them, none are expected: a look now and then is enough.
        """
        if settings.bounds.cordon_s:
            # Beside the others in an outage: three feeds by turns would each wait for too long.
            return self._fleet_pace(CORDONS)
        return RevisionWatchPacing(self._roles, lambda: False)

    def _longest_wait(self) -> float:
        """Return how long a question to the platform may wait, by the settings in force."""
        return max_watch_wait_s(self.state.settings.bounds.catch_up_s)

    def _announce(self) -> None:
        """Have peers told soon that something has changed."""
        self.state.loads_changed.set()

    def _signalled_leaving(self, upstream_id: str) -> None:
        """Take in that an upstream has signalled that it leaves, and tell peers at once."""
        if self._upstreams.signalled_leaving(upstream_id):
            self._peering.publish_signals()

    def _take_leaving(self, record: LeavingRecord) -> bool:
        """Take in what an upstream has signalled to a peer; return whether it was new."""
        return self._upstreams.signalled_leaving(record.upstream_id, record.ago_ms / MS)

    def _pass_routing(self, *, from_peer: bool) -> None:
        """Pass the routing document in force on to peers."""
        self._peering.publish_routing(from_peer=from_peer)

    def _pass_change(self, change: ItemChange[Upstream]) -> None:
        """Tell a change to the peers that the platform does not answer."""
        self._peering.publish_change(change)

    def _pass_action(self, action: FleetAction, *, from_peer: bool) -> None:
        """Tell the zone who joined or leaves, if this instance collects for it."""
        self._peering.publish_action(action, from_peer=from_peer)

    def _roles(self) -> FleetRoles:
        """Return who collects."""
        return self._peering.roles

    def _platform_status(self) -> PlatformStatus:
        """Return what this instance knows of the platform."""
        return PlatformStatus(
            self._routing.version,
            self._policies.revision,
            self._store_reachability.is_answered,
            self._upstream_pace.age_s,
        )

    def _is_current(self) -> bool:
        """Tell whether the routing in force is the newest, as far as can be known."""
        newest = self._peering.newest_version
        return self._routing_reach.is_followed and newest <= self._routing.version

    def _settings_time(self) -> tuple[int, int]:
        """Return what changes when the settings file does."""
        try:
            found = self._path.stat()
        except OSError:
            return (0, 0)
        return (found.st_mtime_ns, found.st_size)

    def _reload(self) -> None:
        """Read the settings again; wrong ones are logged and the old ones stay."""
        self._settings_seen = self._settings_time()
        try:
            settings = self._access.read_settings(self._path)
        except SettingsError as fault:
            log_event(PREFIX_CONFIGURATION, f"The changed settings are not used: {fault}")
            return
        self.state.settings = settings
        self._access.use_address(settings.platform_address)
        log_event(PREFIX_CONFIGURATION, "The settings were read again")


def _log_suspension(before_s: float) -> float:
    """Log a suspension of the machine since the last look; return all there were, in seconds."""
    suspended_s = clock.suspended_s()
    if suspended_s - before_s < LOGGED_SUSPENSION_S:
        return before_s
    for_s = round(suspended_s - before_s, 2)
    log_event(PREFIX_MEMBERSHIP, f"The machine was suspended for {for_s} s", for_s=for_s)
    return suspended_s
