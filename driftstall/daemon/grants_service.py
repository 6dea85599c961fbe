"""Run the grants controllers of the runner groups that this instance owns."""

from __future__ import annotations

from dataclasses import replace
from typing import Final

import gevent

from driftstall.const import (
    PREFIX_ADMISSION,
    PREFIX_ROUTING,
    PREFIX_YIELDING,
)
from driftstall.controllers.configuration import ConfigDocument
from driftstall.controllers.grant_messages import (
    Announce,
    Ask,
    CacheEvents,
    Close,
    EntryLost,
    GrantAction,
    Granted,
    GrantEvent,
    Refused,
    RunnerReport,
    RunnersChanged,
    RunnersLimited,
    Tick,
    YieldAsked,
)
from driftstall.controllers.grants import GrantsController
from driftstall.daemon.config_service import ConfigService
from driftstall.daemon.fleet_service import POLL_PERIOD_S, FleetService
from driftstall.daemon.hub import Hub
from driftstall.daemon.limit_service import LimitService
from driftstall.daemon.membership_service import MembershipService
from driftstall.daemon.ownership import Ownership
from driftstall.helpers.log import log_event
from driftstall.helpers.trace import TraceRecorder, build_controller
from driftstall.peers.messages import ProgressBatch

TICK_S: Final = 0.05


class GrantsService:
    """Pass messages, timer ticks and runners' reports to the controllers of owned groups."""

    def __init__(
        self,
        hub: Hub,
        members: MembershipService,
        config: ConfigService,
        fleet: FleetService,
        ownership: Ownership,
        limits: LimitService,
    ) -> None:
        """Initialize without owned groups and register the message handlers."""
        self._limits = limits
        self._sent_limits: dict[str, tuple[tuple[str, float], ...]] = {}
        self._hub = hub
        self._members = members
        self._config = config
        self._fleet = fleet
        self._owned: dict[str, GrantsController] = {}
        self._known_instances: set[str] = set()
        self._ownership = ownership
        self._trace: TraceRecorder | None = None
        if hub.settings.trace:
            self._trace = TraceRecorder.to_path(hub.settings.trace)
        hub.on_config(self._handle_config)
        hub.on_members(self._update_ownership)
        for message_type in (Ask, Announce, Close):
            hub.on_message(message_type, self._handle_entry_event)
        hub.on_message(ProgressBatch, self._handle_progress_batch)

    @property
    def owned_controllers(self) -> dict[str, GrantsController]:
        """Return the controllers of the owned groups, by group."""
        return self._owned

    def start(self) -> None:
        """Start the controllers' timer and the polls of runners."""
        self._hub.run_periodically(TICK_S, self._tick, PREFIX_ADMISSION)
        self._hub.run_periodically(POLL_PERIOD_S, self._poll, PREFIX_ROUTING)

    def load(self) -> float:
        """Return the mean forecast share of engine memory in use over the owned groups."""
        now = self._hub.now()
        shares = [controller.load(now) for controller in self._owned.values()]
        return sum(shares) / len(shares) if shares else 0.0

    def _get_or_create_controller(self, group: str) -> GrantsController | None:
        """Return the controller of a group, created on demand; None for an unknown group."""
        existing = self._owned.get(group)
        if existing is not None or group not in self._fleet.groups:
            return existing
        controller = build_controller(group)
        self._owned[group] = controller
        self._sent_limits.pop(group, None)
        self._set_runners(group, controller)
        self._set_policy(controller)
        log_event(PREFIX_ADMISSION, f"This instance owns group {group}")
        return controller

    def _set_runners(self, group: str, controller: GrantsController) -> None:
        """Send a controller the runners of its group that can get new work."""
        runners = tuple(
            (runner.runner_id, runner.memory_tokens, runner.zone)
            for runner in self._fleet.groups[group]
            if self._fleet.can_get_work(runner.runner_id)
        )
        self._dispatch(controller, RunnersChanged(group, runners))

    def _set_policy(self, controller: GrantsController) -> None:
        """Configure a controller with the policy's weights and overflow bound."""
        policy = self._config.policy
        if policy is not None:
            controller.configure(policy.weights, policy.overflow)
            if self._trace is not None:
                self._trace.record_weights(controller.group, policy.weights, policy.overflow)

    def _handle_config(self, _: ConfigDocument) -> None:
        """Apply the policy of a new configuration."""
        for controller in self._owned.values():
            self._set_policy(controller)

    def _handle_entry_event(self, _: str, message: Ask | Announce | Close) -> None:
        """Handle an entry's message as the group's owner."""
        controller = self._get_or_create_controller(message.group)
        if controller is not None:
            self._dispatch(controller, message)

    def _handle_progress_batch(self, _: str, message: ProgressBatch) -> None:
        """Handle an entry's progress reports as the group's owner."""
        for item in message.items:
            controller = self._owned.get(item.group)
            if controller is not None:
                self._dispatch(controller, item)

    def _tick(self) -> None:
        """Run the timer of all owned groups."""
        for controller in list(self._owned.values()):
            self._update_limits(controller)
            self._dispatch(controller, Tick())

    def _update_limits(self, controller: GrantsController) -> None:
        """Send a controller the rate limits of its runners if they have changed."""
        rates = ((name, self._limits.per_s(name)) for name in sorted(controller.runners))
        limits = tuple((name, per_s) for name, per_s in rates if per_s is not None)
        if limits != self._sent_limits.get(controller.group, ()):
            self._sent_limits[controller.group] = limits
            self._dispatch(controller, RunnersLimited(controller.group, limits))

    def _poll(self) -> None:
        """Poll the runners of all owned groups."""
        jobs = [
            gevent.spawn(self._fleet.poll, group, self._handle_poll_result) for group in self._owned
        ]
        gevent.joinall(jobs)

    def _handle_poll_result(self, event: RunnerReport | CacheEvents) -> None:
        """Handle a runner's report or cache events as the group's owner."""
        controller = self._owned.get(event.group)
        if controller is not None:
            self._dispatch(controller, event)

    def _update_ownership(self) -> None:
        """Acquire and release groups after a change of instances or runners.

        A former owner keeps a group until its open grants and waiting requests have ended.
        """
        own = self._hub.own.instance_id
        live = {instance.instance_id for instance in self._members.live}
        lost = self._known_instances - live
        self._known_instances = live
        for group in list(self._owned):
            controller = self._owned[group]
            if group not in self._fleet.groups:
                del self._owned[group]
                continue
            for entry in lost:
                self._dispatch(controller, EntryLost(entry))
            self._set_runners(group, controller)
            if (
                self._ownership.owner_for(group) != own
                and not controller.open_grants + controller.waiting
            ):
                del self._owned[group]
        for group in self._fleet.groups:
            if self._ownership.owner_for(group) == own:
                self._get_or_create_controller(group)

    def _dispatch(self, controller: GrantsController, event: GrantEvent) -> None:
        """Pass an event to a controller and send the resulting actions to the entries."""
        now = self._hub.now()
        actions = controller.handle(event, now)
        if self._trace is not None:
            self._trace.record_event(controller.group, event, now, actions)
        for action in actions:
            self._log(action, controller.group)
            if isinstance(action, Granted):
                # The reason of a grant is only logged here, so it is not sent.
                action = replace(action, reason="")
            self._hub.send(action.entry, action)

    def _log(self, action: GrantAction, group: str) -> None:
        """Log one decision with its reason."""
        request_id = action.request_id
        if isinstance(action, Granted):
            message = f"Request {request_id} routed to {action.runner_id}: {action.reason}"
            log_event(PREFIX_ROUTING, message, group=group, runner=action.runner_id)
        elif isinstance(action, Refused):
            message = (
                f"Request {request_id} refused, retry after {action.retry_after_s:.1f} s: "
                f"{action.reason}"
            )
            log_event(PREFIX_ADMISSION, message, group=group, code=action.code)
        else:
            verb = "must yield" if isinstance(action, YieldAsked) else "can resume"
            log_event(PREFIX_YIELDING, f"Request {request_id} {verb}: {action.reason}", group=group)
