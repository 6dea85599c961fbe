"""Simulation of membership among instances on a lossy network."""

from __future__ import annotations

import random
from typing import Final

from driftstall.controllers.membership import (
    Leave,
    MembershipController,
    MembershipEvent,
    Period,
    Seeds,
    SendTo,
)
from driftstall.core import Instance
from features.worlds.faults import Script

STEPS: Final = (
    "Ping",
    "Ack",
    "PingRequest",
    "Seeds",
    "Period",
    "Leave",
    "SendTo",
    "MembersChanged",
)
FAULTS: Final = (
    "message lost",
    "message late",
    "message twice",
    "instance dies",
    "instance paused",
    "instance restarts",
    "link cut",
)
COUNT: Final = 5
TURN_S: Final = 0.1
SECONDS: Final = 20.0
"""An instance leaves after a third of this; after a pause at that time, NOTICE_S remains for it to
be known again."""
PAUSE_S: Final = 5.0
NOTICE_S: Final = 8.0
"""Time within which all instances must have detected a failed one."""


class MembershipWorld:
    """Simulate a few instances and the network between them."""

    def __init__(self, script: Script) -> None:
        """Initialize with the faults to inject."""
        self._script = script
        self._now = 0.0
        self._in_flight: list[tuple[float, str, MembershipEvent]] = []
        self._dead: dict[str, float] = {}
        self._paused: dict[str, float] = {}
        self._cut: frozenset[str] = frozenset()
        self._cut_until = 0.0
        self._own = [Instance(f"i{n}", f"a{n}", f"p{n}", "z") for n in range(COUNT)]
        self._nodes = {
            instance.instance_id: self._new_controller(instance, 1) for instance in self._own
        }
        self._leaving = ""
        self._next_send_fault = ""

    def _new_controller(self, own: Instance, incarnation: int) -> MembershipController:
        """Return a controller that knows only its own instance."""
        seed = random.Random(f"{own.instance_id}-{incarnation}")
        return MembershipController(own, incarnation, seed)

    def run(self) -> None:
        """Run for SECONDS; one instance leaves after a third of the time."""
        for name in self._nodes:
            self._feed(name, Seeds(tuple(self._own)))
        turns = int(SECONDS / TURN_S)
        for turn in range(turns):
            self._now += TURN_S
            if turn == turns // 3:
                self._leave()
            self._deliver()
            for name in list(self._nodes):
                self._feed(name, Period())

    def check(self) -> None:
        """Check that the live instances agree on the live and the leaving ones."""
        wanted = {name for name in self._nodes if name not in self._dead}
        for name in sorted(wanted):
            live = {peer.instance_id: peer.leaving for peer in self._nodes[name].live}
            just_died = {dead for dead, at in self._dead.items() if self._now - at < NOTICE_S}
            assert wanted <= set(live), f"{name} does not know {wanted - set(live)}"
            extra = set(live) - wanted - just_died
            assert not extra, f"{name} still holds {extra} for live"
            if self._leaving in wanted:
                assert live[self._leaving], f"{name} does not know that one is leaving"

    def _leave(self) -> None:
        """Let the first live instance that is not paused announce that it is leaving."""
        awake = [name for name in self._nodes if self._paused.get(name, -1.0) <= self._now]
        self._leaving = next(name for name in awake if name not in self._dead)
        self._feed(self._leaving, Leave())
        if self._paused.get(self._leaving, -1.0) > self._now:
            self._leaving = ""

    def _feed(self, name: str, event: MembershipEvent) -> None:
        """Pass an event to an instance and carry out its actions."""
        if name in self._dead or self._paused.get(name, -1.0) > self._now:
            return
        self._inject_faults(type(event).__name__, name)
        if name in self._dead or self._paused.get(name, -1.0) > self._now:
            return
        for action in self._nodes[name].handle(event, self._now):
            self._inject_faults(type(action).__name__, name)
            if isinstance(action, SendTo):
                self._send(name, action)

    def _inject_faults(self, step: str, name: str) -> None:
        """Inject the faults planned for a step."""
        for fault in self._script.at(step):
            if fault == "instance dies":
                self._dead.setdefault(name, self._now)
            elif fault == "instance paused":
                self._paused[name] = self._now + PAUSE_S
            elif fault == "instance restarts" and name != self._leaving:
                own = next(instance for instance in self._own if instance.instance_id == name)
                self._nodes[name] = self._new_controller(own, 2 + int(self._now * 1000))
                self._nodes[name].handle(Seeds(tuple(self._own)), self._now)
            elif fault == "link cut":
                self._cut, self._cut_until = frozenset({"i0", "i1"}), self._now + 1.0
            else:
                self._next_send_fault = fault

    def _send(self, sender: str, action: SendTo) -> None:
        """Send a message, as the network's faults allow."""
        fault, self._next_send_fault = self._next_send_fault, ""
        if fault == "message lost":
            return
        if self._now < self._cut_until and {sender, action.recipient} == self._cut:
            return
        at = self._now + (1.0 if fault == "message late" else 0.002)
        for _ in range(2 if fault == "message twice" else 1):
            self._in_flight.append((at, action.recipient, action.message))

    def _deliver(self) -> None:
        """Deliver the messages that are due; replies may be due at once as well."""
        for _ in range(4):
            due = [delivery for delivery in self._in_flight if delivery[0] <= self._now]
            if not due:
                return
            self._in_flight = [delivery for delivery in self._in_flight if delivery[0] > self._now]
            for _, recipient, message in due:
                if self._paused.get(recipient, -1.0) > self._now:
                    self._in_flight.append((self._paused[recipient], recipient, message))
                else:
                    self._feed(recipient, message)


def run_membership(script: Script) -> None:
    """Run the instances with the faults of a script, and check that they agree."""
    world = MembershipWorld(script)
    world.run()
    world.check()
