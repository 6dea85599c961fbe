"""Dispatch the messages of peers to their handlers, and follow the member list.

Reports (reports.py) carry the load of each instance; sharing (sharing.py) distributes data
from the platform. The collectors of each zone follow from the member list (collectors.py).
"""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Final

import gevent

from driftstall.const import PREFIX_MEMBERSHIP
from driftstall.controllers.membership import (
    Ack,
    Leave,
    Period,
    Ping,
    PingRequest,
    Seeds,
)
from driftstall.core import Instance
from driftstall.decisions.leaving_signals import LeavingRecord
from driftstall.decisions.rate_limits import RateLimit
from driftstall.decisions.store_versions import NO_VERSION
from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.feeds import ItemChange
from driftstall.gateway.fleet_events import FleetAction
from driftstall.gateway.follow_messages import FollowMessage
from driftstall.gateway.forwarding.peer_tunnels import PeerTunnels
from driftstall.gateway.member_messenger import MemberMessenger
from driftstall.gateway.model import Upstream
from driftstall.gateway.reports import MS_PER_S, PlatformStatus, Reporting
from driftstall.gateway.retry_budget.messages import RetryLoanAsked, RetryLoanGiven
from driftstall.gateway.scheduling.evacuation_orders import EvacuationMessage, EvacuationOrders
from driftstall.gateway.scheduling.memory_queue import MemoryQueue, QueueMessage
from driftstall.gateway.scheduling.stream_placer import StreamPlacer
from driftstall.gateway.sharing import (
    DataMessage,
    PeerUpdateHandlers,
    PlatformDataSharing,
    RoutingNotice,
)
from driftstall.gateway.state import GatewayState
from driftstall.gateway.store_following import StoreFollowing
from driftstall.gateway.watch_delegation import MAX_ANSWER_AGE_S, WatchDelegation
from driftstall.helpers.log import log_event
from driftstall.helpers.permits import PermitCoordinator
from driftstall.helpers.poison_sharing import PeerTransport, PoisonSharing
from driftstall.helpers.tasks import keep_running
from driftstall.peers.gateway_messages import (
    BlamesTold,
    FleetSummary,
    GatewayMessage,
    GatewayReport,
    PlacementAsked,
    PlacementGiven,
    UpstreamDoubted,
    ZoneSummary,
)
from driftstall.peers.permit_messages import PermitAsked, PermitCharged, PermitGiven

PERIOD_S: Final = 0.15
"""Interval at which timeouts of the failure detection are checked: twice per ping timeout."""


class Peering:
    """Exchange messages with the other instances."""

    def __init__(
        self,
        state: GatewayState,
        handlers: PeerUpdateHandlers,
        *,
        platform_status: Callable[[], PlatformStatus],
        delegation: WatchDelegation,
    ) -> None:
        """Initialize with the shared state, the handlers of peers' updates and the delegation."""
        settings = state.settings
        self._state = state
        self._handlers = handlers
        self._delegation = delegation
        self.own = Instance(
            settings.instance_id,
            settings.caller_listen,
            settings.peer_listen,
            settings.zone,
            link_mbps=settings.link_mbps,
        )
        self._messenger = MemberMessenger(state, self.own, receive=self._handle)
        self._roles = FleetRoles()
        self._reporting = Reporting(
            state,
            self.own,
            roles=lambda: self._roles,
            live=lambda: self._messenger.live,
            platform_status=platform_status,
            broadcast=self._messenger.broadcast,
            follows=lambda: self.following.follows,
        )
        self.following = StoreFollowing(
            settings.instance_id,
            state.stats,
            self._reporting.answers,
            now=state.now,
            roles=lambda: self._roles,
            live=lambda: self._messenger.live,
            send=self._messenger.send,
            publish_age=self._reporting.publish_platform_age,
            is_stopping=lambda: state.is_stopping,
        )
        self._sharing = PlatformDataSharing(
            state,
            handlers,
            roles=lambda: self._roles,
            live=lambda: self._messenger.live,
            send=self._messenger.send,
            broadcast=self._messenger.broadcast,
            follows_for_others=lambda: self.following.follows_for_others,
        )
        transport = PeerTransport(
            live=lambda: self._messenger.live,
            recipients=lambda: self._roles.forward_recipients(self._messenger.live),
            forwards=lambda: self._roles.is_collector,
            send=self._messenger.send,
            broadcast=self._messenger.broadcast,
        )
        self._poison_sharing = PoisonSharing(
            state.poison.tracker,
            self.own.instance_id,
            transport,
            now=state.now,
            source=state.rng,
            on_quarantined=lambda subject: state.poison.on_quarantined(subject),
        )
        self._placer = StreamPlacer(state, roles=lambda: self._roles, send=self._messenger.send)
        state.request_placement = self._placer.place
        self.queue = MemoryQueue(
            state,
            roles=lambda: self._roles,
            send=self._messenger.send,
            placer_gate=self._placer.cold_gate,
        )
        self.evacuation_orders = EvacuationOrders(
            state, self.queue, roles=lambda: self._roles, send=self._messenger.send
        )
        self._permits = PermitCoordinator(
            self.own.instance_id,
            state.rate_limiting,
            now=state.now,
            live=lambda: self._messenger.live,
            upstreams=lambda: {upstream.upstream_id for upstream in state.fleet.upstreams},
            send=self._messenger.send,
        )
        state.rate_limiting.ask_permit = self._permits.ask
        state.rate_limiting.charge_permit = self._permits.charge
        state.rate_limiting.publish = self._reporting.publish_now
        self.tunnels = PeerTunnels(
            state,
            self.own,
            self._messenger.links,
            ready=self.ready_instances,
            instances_without=self._reporting.instances_without,
        )
        state.live_instance_ids = lambda: tuple(each.instance_id for each in self._messenger.live)
        state.on_reachability_changed = self._reporting.publish_now
        state.retries.send = self._messenger.send
        self.policy_revision = NO_VERSION
        """The newest revision of the policy that a collector has reported."""

    @property
    def roles(self) -> FleetRoles:
        """Return the roles that follow from the current member list."""
        return self._roles

    @property
    def live(self) -> tuple[Instance, ...]:
        """Return the live instances by the member list."""
        return self._messenger.live

    @property
    def newest_version(self) -> int:
        """Return the newest routing version that any peer has reported."""
        return self._reporting.newest_version

    @property
    def peers_without_platform(self) -> tuple[str, ...]:
        """Return the peers that report that they can't reach the platform."""
        return self._reporting.peers_without_platform

    def bind(self) -> None:
        """Bind the address; raises OSError."""
        self._messenger.bind()

    def start(self) -> None:
        """Start listening, failure detection and reporting, and ping the seeds."""
        self._messenger.start()
        keep_running(PREFIX_MEMBERSHIP, self._run_timeouts)
        self._reporting.start()
        self._poison_sharing.start()
        self.queue.start()
        self.following.start()
        self._state.connector.detector.start()
        self._messenger.ping_seeds()

    def add_listed_instances(self, instances: tuple[Instance, ...]) -> None:
        """Add the instances that the platform lists to the member list."""
        self._messenger.apply(Seeds(instances))
        self._state.retries.record_instances(len(instances))
        self._state.loads_changed.set()

    def locatable_instances(self) -> tuple[Instance, ...]:
        """Return the ready instances that callers should use: those that reach all services.

        Partitioned instances are left out while others are ready; they still serve callers that
        keep an earlier answer.
        """
        ready = self.ready_instances()
        partitioned = self._reporting.partitioned_instances
        return tuple(each for each in ready if each.instance_id not in partitioned) or ready

    def ready_instances(self) -> tuple[Instance, ...]:
        """Return the live and ready instances."""
        live = self._messenger.live
        ready = self._reporting.ready_peers()
        if ready is None:
            # A large fleet without a fresh summary of a collector: live instances that are not
            # leaving count as ready.
            ready = {instance.instance_id for instance in live if not instance.leaving}
            ready.discard(self.own.instance_id)
        if self._state.is_ready:
            ready.add(self.own.instance_id)
        return tuple(instance for instance in live if instance.instance_id in ready)

    def leave(self) -> None:
        """Announce to peers that this instance stops.

        A collector also announces it in the membership, so that its successor takes over at once.
        """
        self._reporting.report_now()
        if self._roles.is_collector:
            self._messenger.apply(Leave())

    def publish_change(self, change: ItemChange[Upstream]) -> None:
        """Forward a change read from the platform to peers that can't reach the platform."""
        self._sharing.publish_change(change, self._reporting.peers_without_platform)

    def publish_action(self, action: FleetAction, *, from_peer: bool) -> None:
        """Publish that an upstream joined or leaves."""
        self._sharing.publish_action(action, from_peer=from_peer)

    def publish_suspicion(self, upstream_id: str) -> None:
        """Publish that a probed upstream has reported to be leaving or has terminated."""
        self._messenger.broadcast(
            self._messenger.live, UpstreamDoubted(self.own.instance_id, upstream_id)
        )

    def publish_signals(self) -> None:
        """Publish upstreams' signals at once; each report and summary repeats them."""
        self._reporting.publish_now()

    def publish_poison_evidence(self) -> None:
        """Schedule publishing which requests were running during crashes."""
        self._poison_sharing.publish_soon()

    def publish_routing(self, *, from_peer: bool) -> None:
        """Publish the routing document in force."""
        self._state.loads_changed.set()
        self._sharing.publish_routing(from_peer=from_peer)

    def publish_cordons(self) -> None:
        """Publish the cordoned zones at once; each report and summary repeats them."""
        self._reporting.publish_now()

    def _run_timeouts(self) -> None:
        """Run the timeouts of the membership and the permits, and follow member changes."""
        last_live: tuple[Instance, ...] = ()
        while True:
            self._messenger.apply(Period())
            self._permits.update_ownership()
            live = self._messenger.live
            self._state.instances.record(len(live), self._state.now())
            self._state.retries.record_instances(len(live))
            if live is not last_live:
                last_live = live
                if self._state.rate_limiting.limited or self._state.fleet.has_leaving_records:
                    # A newly started instance needs upstreams' signals before it is ready.
                    self._state.loads_changed.set()
                self._update_roles(FleetRoles.from_fleet(self.own, live))
            gevent.sleep(PERIOD_S)

    def _update_roles(self, roles: FleetRoles) -> None:
        """Set the roles; discard received sums if they now come from other senders."""
        before, self._roles = self._roles, roles
        if (before.is_large, before.is_collector) == (roles.is_large, roles.is_collector):
            return
        log_event(
            PREFIX_MEMBERSHIP,
            "This instance collects for its zone"
            if roles.is_collector
            else "This instance does not collect for its zone",
            large=roles.is_large,
            collectors=[collector.instance_id for collector in roles.own_collectors],
        )
        self._reporting.discard_reports()
        self._state.set_load_pooling(roles.is_large)
        self._state.loads_changed.set()

    @singledispatchmethod
    def _handle(self, message: GatewayMessage) -> None:
        """Handle one kind of message; raise TypeError if it has no handler."""
        raise TypeError(f"no handler for {type(message).__name__}")

    @_handle.register(Ping)
    @_handle.register(Ack)
    @_handle.register(PingRequest)
    def _(self, message: Ping | Ack | PingRequest) -> None:
        self._messenger.apply(message)

    @_handle.register
    def _(self, message: DataMessage) -> None:
        self._sharing.handle(message)

    @_handle.register
    def _(self, message: FollowMessage) -> None:
        self.following.handle(message)

    @_handle.register
    def _(self, message: PlacementAsked) -> None:
        self._placer.handle_request(message)

    @_handle.register
    def _(self, message: PlacementGiven) -> None:
        self._placer.handle_placement(message)

    @_handle.register
    def _(self, message: QueueMessage) -> None:
        self.queue.handle(message)

    @_handle.register
    def _(self, message: EvacuationMessage) -> None:
        self.evacuation_orders.handle(message)

    @_handle.register
    def _(self, message: PermitAsked) -> None:
        self._permits.handle_request(message)

    @_handle.register
    def _(self, message: PermitGiven) -> None:
        self._permits.handle_answer(message)

    @_handle.register
    def _(self, message: PermitCharged) -> None:
        self._permits.handle_charge(message)

    @_handle.register
    def _(self, message: RetryLoanAsked) -> None:
        self._state.retries.handle_request(message)

    @_handle.register
    def _(self, message: RetryLoanGiven) -> None:
        self._state.retries.handle_answer(message)

    @_handle.register
    def _(self, message: BlamesTold) -> None:
        self._poison_sharing.handle_message(message)

    @_handle.register
    def _(self, report: GatewayReport) -> None:
        self._state.on_store_era(report.store_era)
        self._handle_signals(report.rate_limits, report.leaving)
        self._sharing.handle_cordons(report.cordons)
        self._placer.handle_report(report.sender)
        if self._roles.is_collector and report.platform_age_ms:
            age_s = report.platform_age_ms / MS_PER_S
            self._delegation.record_collector_report(age_s, self._state.now())
        if self._reporting.record_report(report):
            self._sharing.resend_changes(report.sender)
        self._sharing.request_newer_routing(RoutingNotice(report.sender, report.routing_version))
        if report.platform_ok:
            self._sharing.request_fleet_if_unknown(report.sender)

    @_handle.register
    def _(self, summary: ZoneSummary) -> None:
        self._state.on_store_era(summary.store_era)
        self._handle_signals(summary.rate_limits, summary.leaving)
        self._sharing.handle_cordons(summary.cordons)
        age_s = summary.platform_age_ms / MS_PER_S
        self._reporting.record_zone_summary(summary)
        self._delegation.record_collector_report(age_s, self._state.now())
        self._sharing.request_newer_routing(RoutingNotice(summary.sender, summary.routing_version))
        # A follower watches the platform itself, so its list is newer than any collector's.
        if not self._roles.is_follower and age_s <= MAX_ANSWER_AGE_S:
            self._sharing.compare_fleet(summary)

    @_handle.register
    def _(self, summary: FleetSummary) -> None:
        self._state.on_store_era(summary.store_era)
        self._handle_signals(summary.rate_limits, summary.leaving)
        self._sharing.handle_cordons(summary.cordons)
        if self._roles.is_collector:
            # The sender does not know yet that this instance has become a collector.
            return
        self._reporting.record_fleet_summary(summary)
        self._delegation.record_collector_report(
            summary.platform_age_ms / MS_PER_S, self._state.now()
        )
        self.policy_revision = max(self.policy_revision, summary.policy_revision)
        self._sharing.request_newer_routing(RoutingNotice(summary.sender, summary.routing_version))
        if self._delegation.is_delegated(self._state.now()):
            self._sharing.compare_fleet(summary)

    def _handle_signals(
        self, limits: tuple[RateLimit, ...], leaving: tuple[LeavingRecord, ...]
    ) -> None:
        """Record the signals that peers report; a collector publishes new ones at once."""
        has_new_signal = self._state.rate_limiting.record_peer_limits(limits)
        for record in leaving:
            has_new_signal |= self._handlers.record_leaving(record)
        if has_new_signal and self._roles.is_collector:
            self._reporting.publish_now()
