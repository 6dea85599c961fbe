"""Create and connect the services of one instance."""

from __future__ import annotations

from driftstall.const import PREFIX_DRAIN, PREFIX_ROUTING
from driftstall.controllers.drain import (
    AnnounceLeaving,
    DrainController,
    DrainEvent,
    DrainPeriod,
    DrainPhase,
    StopAsked,
)
from driftstall.core import Instance
from driftstall.daemon.claims_service import ClaimsService
from driftstall.daemon.config_service import ConfigService
from driftstall.daemon.fleet_service import FleetService
from driftstall.daemon.grant_client import GrantClient
from driftstall.daemon.grants_service import GrantsService
from driftstall.daemon.hub import Hub
from driftstall.daemon.limit_service import LimitService
from driftstall.daemon.membership_service import MembershipService
from driftstall.daemon.ownership import Ownership
from driftstall.daemon.placement_service import PlacementService
from driftstall.daemon.poison_service import PoisonService
from driftstall.daemon.relay_service import RelayService
from driftstall.daemon.service_calls import ServiceCalls
from driftstall.daemon.settings import Settings
from driftstall.daemon.signal_service import SignalService
from driftstall.helpers.log import log_event

DRAIN_PERIOD_S = 0.2
SERVICE_POLL_PERIOD_S = 1.0


class Node:
    """One instance of the daemon, with its services."""

    def __init__(self, settings: Settings) -> None:
        """Create the services without starting them."""
        self.hub = Hub(settings)
        self.members = MembershipService(self.hub)
        self.config = ConfigService(self.hub, self.members)
        self.fleet = FleetService(self.hub, self.members)
        self.ownership = Ownership(self.hub, self.members, self.fleet)
        self.limits = LimitService(self.hub, self.members, self.fleet)
        self.grants = GrantsService(
            self.hub, self.members, self.config, self.fleet, self.ownership, self.limits
        )
        self.grant_client = GrantClient(self.hub, self.members, self.fleet, self.ownership)
        self.claims = ClaimsService(self.hub, self.members)
        self.placement = PlacementService(self.hub, self.members, self.fleet)
        self.poison = PoisonService(self.hub, self.members)
        self.signals = SignalService(self.hub, self.fleet, self.limits.limits)
        self.relay = RelayService(
            self.hub, self.fleet, self.grant_client, self.poison, self.signals
        )
        self.services = ServiceCalls(
            self.hub, self.fleet, self.claims, self.poison, self.limits.limits, self.signals
        )
        self._drain = DrainController(settings.locate_keep)

    @property
    def is_ready(self) -> bool:
        """Return whether requests can be served."""
        return self.config.is_ready

    @property
    def drain_phase(self) -> DrainPhase:
        """Return the phase of a graceful shutdown."""
        return self._drain.phase

    @property
    def is_stopped(self) -> bool:
        """Return whether a graceful shutdown has completed."""
        return self._drain.phase is DrainPhase.STOPPED

    def start(self) -> None:
        """Start all services."""
        self.hub.links.start()
        self.members.start()
        self.config.start()
        self.grants.start()
        self.grant_client.start()
        self.claims.start()
        self.placement.start()
        self.poison.start()
        self.limits.start()
        self.hub.run_periodically(SERVICE_POLL_PERIOD_S, self.fleet.poll_services, PREFIX_ROUTING)
        self.hub.run_periodically(DRAIN_PERIOD_S, self._run_drain_period, PREFIX_DRAIN)

    def locatable_instances(self) -> tuple[Instance, ...]:
        """Return the instances that callers can be directed to; not this one once it drains."""
        own = self.hub.own.instance_id
        return tuple(
            instance
            for instance in self.members.live
            if instance.instance_id != own or self._drain.is_located
        )

    def request_stop(self) -> None:
        """Begin a graceful shutdown."""
        self._run_drain(StopAsked())

    def _run_drain_period(self) -> None:
        """Run the timer of the drain controller."""
        self._run_drain(DrainPeriod(self.hub.stats.open_requests))

    def _run_drain(self, event: DrainEvent) -> None:
        """Pass an event to the drain controller and carry out the resulting actions."""
        for action in self._drain.handle(event, self.hub.now()):
            if isinstance(action, AnnounceLeaving):
                log_event(PREFIX_DRAIN, "This instance is leaving")
                self.members.leave()
            else:
                log_event(PREFIX_DRAIN, "All requests have ended, stopping this instance")
