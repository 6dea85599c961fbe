"""Run the membership controller: probes, the platform's list and its own row."""

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
LIST_PERIOD_S: Final = 1.0
MAX_ALL_READERS: Final = 16
"""Up to so many instances all read the platform's list; then only the readers."""
LIST_READERS: Final = 3
LIST_KEY: Final = "list"
ROLE_ENTRY: Final = "entry"
ROLE_RUNNER: Final = "runner"


class MembershipService:
    """Keep the member list of this instance."""

    def __init__(self, hub: Hub) -> None:
        """Build the controller; its incarnation grows with each start."""
        self._hub = hub
        incarnation = int(hub.wall_time() * 1000)
        self._controller = MembershipController(hub.own, incarnation, hub.rng)
        self._listed_runners: dict[str, bool] = {}
        self._has_read_list = False
        hub.set_address_lookup(self._controller.address_of)
        for kind in (Ping, Ack, PingRequest):
            hub.on_message(kind, self._handle_message)

    @property
    def live(self) -> tuple[Instance, ...]:
        """Return the instances that are not dead."""
        return self._controller.live

    def start(self) -> None:
        """Start to probe and to read the platform's list."""
        self._hub.run_periodically(PROTOCOL_PERIOD_S, self._run_period, PREFIX_MEMBERSHIP)
        self._hub.run_periodically(LIST_PERIOD_S, self._read_list, PREFIX_MEMBERSHIP)

    def leave(self) -> None:
        """Tell peers that this instance is leaving."""
        self._apply(Leave())

    def is_listed_leaving(self, runner_id: str) -> bool:
        """Tell whether the platform's list shows a runner as leaving."""
        return self._listed_runners.get(runner_id, False)

    def _run_period(self) -> None:
        """Let time pass in the controller."""
        self._apply(Period())

    def _handle_message(self, _: str, message: Ping | Ack | PingRequest) -> None:
        """Take a peer's message."""
        self._apply(message)

    def _read_list(self) -> None:
        """Take over what the platform's list shows; in a large fleet a few do so for all."""
        if self._has_read_list and not self._is_reader():
            return
        try:
            listed = self._hub.platform.members()
        except PlatformUnavailable:
            return
        self._has_read_list = True
        seeds = tuple(_instance(one) for one in listed if one.role == ROLE_ENTRY)
        self._apply(Seeds(tuple(one for one in seeds if not one.leaving)))
        runners = {one.member_id: one.leaving for one in listed if one.role == ROLE_RUNNER}
        if runners != self._listed_runners:
            self._publish_changes(runners)
            self._listed_runners = runners
            self._hub.notify_members()

    def _is_reader(self) -> bool:
        """Tell whether this instance reads the list for the fleet."""
        live = self._controller.live
        if len(live) <= MAX_ALL_READERS:
            return True
        own = weight(LIST_KEY, self._hub.own.instance_id)
        return sum(weight(LIST_KEY, one.instance_id) > own for one in live) < LIST_READERS

    def _publish_changes(self, runners: dict[str, bool]) -> None:
        """Tell those that do not read the list which runners leave or are back."""
        live = self._controller.live
        if len(live) <= MAX_ALL_READERS:
            return
        for runner_id, leaving in runners.items():
            if leaving == self._listed_runners.get(runner_id, False):
                continue
            for one in live:
                if one.instance_id != self._hub.own.instance_id:
                    self._hub.send(one.instance_id, RunnerLeaving(runner_id, leaving))

    def _apply(self, event: MembershipEvent) -> None:
        """Hand an event to the controller and carry out its actions."""
        actions = self._controller.handle(event, self._hub.now())
        changed = [one for one in actions if not self._carry_out(one)]
        if changed:
            self._hub.notify_members()

    def _carry_out(self, action: MembershipAction) -> bool:
        """Carry out one action; return whether it was a message."""
        if isinstance(action, SendTo):
            self._hub.send(action.recipient, action.message)
            return True
        if action.instance_id != self._hub.own.instance_id:
            log_event(PREFIX_MEMBERSHIP, f"Instance {action.instance_id} is {action.health}")
        return False


def _instance(listed: ListedMember) -> Instance:
    """Return an instance from a row of the platform's list."""
    return Instance(
        listed.member_id, listed.address, listed.peer_address, listed.zone, listed.leaving
    )
