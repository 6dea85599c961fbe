"""Send runners that name a limit no more than it allows."""

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
"""How often what is known of limits is told again: who was cut off, and who has just started, is
to know within three seconds."""


class LimitService:
    """Know the limits that runners name, here and at peers, and share what they take."""

    def __init__(self, hub: Hub, members: MembershipService, fleet: FleetService) -> None:
        """Start with no limit known."""
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
        """Start to look after what falls to this instance, and to tell peers."""
        self._hub.run_periodically(OWNERSHIP_PERIOD_S, self._update_ownership, PREFIX_ROUTING)
        self._hub.run_periodically(PUBLISH_PERIOD_S, self._publish, PREFIX_ROUTING)

    def per_s(self, runner_id: str) -> float | None:
        """Return what the owner of a runner's group may have it begin in a second."""
        per_s = self.limits.per_s(runner_id)
        if per_s is None:
            return None
        return scaled_limit(per_s, len(self._members.live), self._instance_count.value)

    def _update_ownership(self) -> None:
        """Look at who lives, and for which runners this instance is asked."""
        self._instance_count.record(len(self._members.live), self._hub.now())
        self._permits.update_ownership()

    def _publish(self) -> None:
        """Tell all peers what is known, if anything is."""
        told = RateLimitsTold(self._hub.own.instance_id, self.limits.reports)
        if not told.rate_limits:
            return
        for one in self._members.live:
            if one.instance_id != self._hub.own.instance_id:
                self._hub.send(one.instance_id, told)

    def _handle_peer_limits(self, _: str, message: RateLimitsTold) -> None:
        """Take in what a peer knows."""
        self.limits.record_peer_limits(message.rate_limits, message.sender)
