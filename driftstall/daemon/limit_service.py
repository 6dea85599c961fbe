"""Enforce the rate limits that runners announce, shared by all instances through permits."""

from __future__ import annotations

from typing import Final

import gevent

from driftstall.const import PREFIX_ROUTING
from driftstall.daemon.fleet_service import FleetService
from driftstall.daemon.hub import Hub
from driftstall.daemon.membership_service import MembershipService
from driftstall.decisions.instance_count import InstanceCount
from driftstall.decisions.permits import scaled_limit
from driftstall.helpers.permits import PermitCoordinator
from driftstall.helpers.rate_limiting import RateLimiter
from driftstall.peers.permit_messages import (
    PermitAsked,
    PermitCharged,
    PermitGiven,
    RateLimitsTold,
)

OWNERSHIP_PERIOD_S: Final = 0.15
PUBLISH_PERIOD_S: Final = 1.0
"""Interval at which the known limits are published, so that an instance that was partitioned or has
just started knows them within three seconds."""


class LimitService:
    """Track the rate limits of runners, and coordinate permits and reports with peers."""

    def __init__(self, hub: Hub, members: MembershipService, fleet: FleetService) -> None:
        """Initialize without known limits and register the message handlers."""
        self._hub = hub
        self._members = members
        self._instance_count = InstanceCount()
        self.limits = RateLimiter(
            hub.stats, instances=lambda: self._instance_count.value, now=hub.now, pause=gevent.sleep
        )
        self._permits = PermitCoordinator(
            hub.own.instance_id,
            self.limits,
            now=hub.now,
            live=lambda: members.live,
            upstreams=lambda: set(fleet.runners),
            send=hub.send,
        )
        self.limits.ask_permit = self._permits.ask
        self.limits.charge_permit = self._permits.charge
        self.limits.publish = self._publish
        hub.on_message(PermitAsked, lambda _, message: self._permits.handle_request(message))
        hub.on_message(PermitGiven, lambda _, message: self._permits.handle_answer(message))
        hub.on_message(PermitCharged, lambda _, message: self._permits.handle_charge(message))
        hub.on_message(RateLimitsTold, self._handle_peer_limits)

    def start(self) -> None:
        """Start the periodic ownership updates and reports to peers."""
        self._hub.run_periodically(OWNERSHIP_PERIOD_S, self._update_ownership, PREFIX_ROUTING)
        self._hub.run_periodically(PUBLISH_PERIOD_S, self._publish, PREFIX_ROUTING)

    def per_s(self, runner_id: str) -> float | None:
        """Return how many requests per second a group's owner can start on a runner, if limited."""
        per_s = self.limits.per_s(runner_id)
        if per_s is None:
            return None
        return scaled_limit(per_s, len(self._members.live), self._instance_count.value)

    def _update_ownership(self) -> None:
        """Record the number of live instances, and update the runners whose permits it owns."""
        self._instance_count.record(len(self._members.live), self._hub.now())
        self._permits.update_ownership()

    def _publish(self) -> None:
        """Publish the known limits, if any, to all peers."""
        report = RateLimitsTold(self._hub.own.instance_id, self.limits.reports)
        if not report.rate_limits:
            return
        for instance in self._members.live:
            if instance.instance_id != self._hub.own.instance_id:
                self._hub.send(instance.instance_id, report)

    def _handle_peer_limits(self, _: str, message: RateLimitsTold) -> None:
        """Record the limits that a peer reports."""
        self.limits.record_peer_limits(message.rate_limits, message.sender)
