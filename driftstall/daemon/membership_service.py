"""Run the membership controller with its SWIM-style probes, and read the platform's member list."""

from __future__ import annotations

from typing import Final

from driftstall.const import PREFIX_MEMBERSHIP
from driftstall.controllers.membership import (
    Ack,
    Leave,
    MembershipAction,
    MembershipController,
    MembershipEvent,
    Period,
    Ping,
    PingRequest,
    Seeds,
    SendTo,
)
from driftstall.core import Instance
from driftstall.daemon.hub import Hub
from driftstall.decisions.locate import weight
from driftstall.exceptions import PlatformUnavailable
from driftstall.helpers.log import log_event
from driftstall.peers.messages import RunnerLeaving
from driftstall.platform.client import ListedMember

PROTOCOL_PERIOD_S: Final = 0.1
LIST_READ_PERIOD_S: Final = 1.0
MAX_ALL_READERS: Final = 16
"""Fleet size up to which all instances read the platform's list; in a larger one LIST_READERS do.
"""
LIST_READERS: Final = 3
LIST_KEY: Final = "list"
ROLE_ENTRY: Final = "entry"
ROLE_RUNNER: Final = "runner"


class MembershipService:
    """Maintain this instance's view of live members and of runners listed as leaving."""

    def __init__(self, hub: Hub) -> None:
        """Initialize the controller, with an incarnation that grows with each start."""
        self._hub = hub
        incarnation = int(hub.wall_time() * 1000)
        self._controller = MembershipController(hub.own, incarnation, hub.rng)
        self._listed_runners: dict[str, bool] = {}
        self._has_read_list = False
        hub.set_address_lookup(self._controller.address_of)
        for message_type in (Ping, Ack, PingRequest):
            hub.on_message(message_type, self._handle_message)

    @property
    def live(self) -> tuple[Instance, ...]:
        """Return the instances that are not dead."""
        return self._controller.live

    def start(self) -> None:
        """Start the probes and the reads of the platform's list."""
        self._hub.run_periodically(PROTOCOL_PERIOD_S, self._run_period, PREFIX_MEMBERSHIP)
        self._hub.run_periodically(LIST_READ_PERIOD_S, self._read_list, PREFIX_MEMBERSHIP)

    def leave(self) -> None:
        """Announce to peers that this instance is leaving."""
        self._apply(Leave())

    def is_listed_leaving(self, runner_id: str) -> bool:
        """Return whether the platform's list shows a runner as leaving."""
        return self._listed_runners.get(runner_id, False)

    def _run_period(self) -> None:
        """Run one protocol period of the controller."""
        self._apply(Period())

    def _handle_message(self, _: str, message: Ping | Ack | PingRequest) -> None:
        """Pass a peer's message to the controller."""
        self._apply(message)

    def _read_list(self) -> None:
        """Read the platform's list and apply it; in a large fleet only a few instances do so."""
        if self._has_read_list and not self._is_reader():
            return
        try:
            listed = self._hub.platform.members()
        except PlatformUnavailable:
            return
        self._has_read_list = True
        seeds = tuple(_build_instance(member) for member in listed if member.role == ROLE_ENTRY)
        self._apply(Seeds(tuple(seed for seed in seeds if not seed.leaving)))
        runners = {
            member.member_id: member.leaving for member in listed if member.role == ROLE_RUNNER
        }
        if runners != self._listed_runners:
            self._publish_changes(runners)
            self._listed_runners = runners
            self._hub.notify_members()

    def _is_reader(self) -> bool:
        """Return whether this instance reads the list for the fleet."""
        live = self._controller.live
        if len(live) <= MAX_ALL_READERS:
            return True
        own = weight(LIST_KEY, self._hub.own.instance_id)
        return sum(weight(LIST_KEY, member.instance_id) > own for member in live) < LIST_READERS

    def _publish_changes(self, runners: dict[str, bool]) -> None:
        """Publish which runners are leaving or back to instances that do not read the list."""
        live = self._controller.live
        if len(live) <= MAX_ALL_READERS:
            return
        for runner_id, leaving in runners.items():
            if leaving == self._listed_runners.get(runner_id, False):
                continue
            for instance in live:
                if instance.instance_id != self._hub.own.instance_id:
                    self._hub.send(instance.instance_id, RunnerLeaving(runner_id, leaving))

    def _apply(self, event: MembershipEvent) -> None:
        """Pass an event to the controller and carry out the resulting actions."""
        actions = self._controller.handle(event, self._hub.now())
        changed = [action for action in actions if not self._carry_out(action)]
        if changed:
            self._hub.notify_members()

    def _carry_out(self, action: MembershipAction) -> bool:
        """Send a message or log a change of membership; return whether it was a message."""
        if isinstance(action, SendTo):
            self._hub.send(action.recipient, action.message)
            return True
        if action.instance_id != self._hub.own.instance_id:
            log_event(PREFIX_MEMBERSHIP, f"Instance {action.instance_id} is {action.health}")
        return False


def _build_instance(listed: ListedMember) -> Instance:
    """Build an instance from a row of the platform's list."""
    return Instance(
        listed.member_id, listed.address, listed.peer_address, listed.zone, listed.leaving
    )
