"""Run the placement controller: hold the placer's lease and instruct engines to load models."""

from __future__ import annotations

from typing import Final

import gevent

from driftstall.const import KEY_LEASE, PREFIX_PLACEMENT
from driftstall.controllers.placement import (
    LeaseLost,
    LeaseRead,
    LeaseWritten,
    OrderLoad,
    PlacementAction,
    PlacementController,
    PlacementEvent,
    PlacementPeriod,
    ReadLease,
    WantedModel,
    WriteLease,
)
from driftstall.daemon.fleet_service import FleetService
from driftstall.daemon.hub import Hub
from driftstall.daemon.membership_service import MembershipService
from driftstall.daemon.wire import lease_from_json, lease_to_json
from driftstall.decisions.locate import owner_of
from driftstall.exceptions import PlatformUnavailable, UpstreamError
from driftstall.helpers.log import log_event
from driftstall.platform.client import WriteState
from driftstall.runners.engine import fetch_report, order_load

PLACEMENT_PERIOD_S: Final = 1.0
LEASE_KEY: Final = f"{KEY_LEASE}/placement"


class PlacementService:
    """Instruct engines to load the configured models while this instance holds the lease."""

    def __init__(self, hub: Hub, members: MembershipService, fleet: FleetService) -> None:
        """Initialize without the lease."""
        self._hub = hub
        self._members = members
        self._fleet = fleet
        self._controller = PlacementController(hub.own.instance_id)

    def start(self) -> None:
        """Start the periodic placement."""
        self._hub.run_periodically(PLACEMENT_PERIOD_S, self._run_period, PREFIX_PLACEMENT)

    def _run_period(self) -> None:
        """Renew the lease, and instruct engines to load the configured model if theirs differs."""
        first = owner_of("placement", self._members.live)
        is_first = first is not None and first.instance_id == self._hub.own.instance_id
        if not is_first and not self._controller.has_lease(self._hub.now()):
            return
        self._dispatch(PlacementPeriod(is_first, self._read_wanted_models() if is_first else ()))

    def _read_wanted_models(self) -> tuple[WantedModel, ...]:
        """Return the configured and the loaded model of each model runner that responds."""
        wanted = []
        for runner in self._fleet.runners.values():
            if not runner.model:
                continue
            try:
                loaded = fetch_report(runner).model
            except UpstreamError:
                continue
            if loaded:
                wanted.append(
                    WantedModel(runner.runner_id, runner.model, loaded, runner.checks_fences)
                )
        return tuple(wanted)

    def _dispatch(self, event: PlacementEvent) -> None:
        """Pass an event to the controller and carry out the resulting actions."""
        for action in self._controller.handle(event, self._hub.now()):
            follow_up = self._carry_out(action)
            if follow_up is not None:
                self._dispatch(follow_up)

    def _carry_out(self, action: PlacementAction) -> PlacementEvent | None:
        """Read or write the lease, or send an order; return the resulting event if any."""
        if isinstance(action, OrderLoad):
            self._send_order(action)
            return None
        try:
            if isinstance(action, ReadLease):
                stored = self._hub.platform.get(LEASE_KEY)
                return LeaseRead(stored.version, lease_from_json(stored.value))
            assert isinstance(action, WriteLease)
            value = lease_to_json(action.lease)
            result = self._hub.platform.put(LEASE_KEY, value, action.expected)
        except PlatformUnavailable:
            return LeaseLost()
        if result.state is WriteState.DONE:
            return LeaseWritten(result.version)
        return LeaseLost()

    def _send_order(self, order: OrderLoad) -> None:
        """Send one order, unless the lease has expired in the meantime."""
        runner = self._fleet.runners.get(order.runner_id)
        if runner is None or self._hub.now() >= order.not_after:
            return
        message = f"Ordering runner {order.runner_id} to load {order.model}"
        log_event(PREFIX_PLACEMENT, message, fence=order.fence)
        gevent.spawn(order_load, runner, order.model, order.fence)
