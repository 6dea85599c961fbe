"""Simulation of model placement on two engines by two lease holders, one of them paused."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from driftstall.controllers.placement import (
    MAX_ORDER_DELAY_S,
    LeaseLost,
    LeaseObject,
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
from features.worlds.faults import Script

STEPS: Final = (
    "LeaseRead",
    "LeaseWritten",
    "LeaseLost",
    "PlacementPeriod",
    "ReadLease",
    "WriteLease",
    "OrderLoad",
)
FAULTS: Final = (
    "holder paused",
    "holder dies",
    "platform down",
    "answer lost",
    "order late",
    "two first",
)
TURN_S: Final = 0.5
TURNS: Final = 120
PAUSE_TURNS: Final = 20


class PlacementWorld:
    """Simulate the lease, two holders and two engines, of which one checks fencing tokens."""

    def __init__(self, script: Script) -> None:
        """Initialize with the faults to inject."""
        self._script = script
        self._now = 0.0
        self._holders = [PlacementController("a"), PlacementController("b")]
        self._paused_until = -1.0
        self._stored: tuple[int, LeaseObject | None] = (0, None)
        self._down = 0
        self._lose = False
        self._two_first = 0
        self._late_order = False
        self._wanted = "model-1"
        self._loaded = {"checking": "", "trusting": ""}
        self._fence = {"checking": 0, "trusting": 0}
        self._in_flight: list[tuple[float, OrderLoad]] = []
        self._deferred: list[Callable[[], None]] = []
        """Work that a paused holder does first when it resumes."""

    def run(self) -> None:
        """Run all turns; the wanted model changes halfway."""
        for turn in range(TURNS):
            self._now += TURN_S
            if turn == TURNS // 2:
                self._wanted = "model-2"
            self._deliver_due()
            if not self._is_paused(0):
                deferred, self._deferred = self._deferred, []
                for work in deferred:
                    work()
            for index in range(2):
                if not self._is_paused(index):
                    first = index == self._first() or self._two_first > 0
                    self._feed(index, PlacementPeriod(first, self._rows()))
            self._two_first = max(0, self._two_first - 1)

    def check(self) -> None:
        """Check that both engines serve the wanted model in the end."""
        assert self._loaded == {"checking": "model-2", "trusting": "model-2"}, str(self._loaded)

    def _first(self) -> int:
        """Return the holder that ranks first: the second one while the first is paused."""
        return 1 if self._now < self._paused_until else 0

    def _is_paused(self, index: int) -> bool:
        """Return True if a holder is paused."""
        return index == 0 and self._now < self._paused_until

    def _rows(self) -> tuple[WantedModel, ...]:
        """Return the wanted and the loaded model of each engine."""
        return tuple(
            WantedModel(name, self._wanted, loaded or "none", name == "checking")
            for name, loaded in self._loaded.items()
        )

    def _feed(self, index: int, event: PlacementEvent) -> None:
        """Pass an event to a holder and carry out its actions."""
        holder = self._holders[index]
        paused = self._inject_faults(type(event).__name__, index)
        if self._holders[index] is not holder:
            return
        if paused:
            self._deferred.append(lambda: self._feed(index, event))
            return
        for action in holder.handle(event, self._now):
            # A holder that is paused right before a call makes it when it resumes.
            paused = self._inject_faults(type(action).__name__, index) or self._is_paused(index)
            if self._holders[index] is not holder:
                return
            if paused:
                self._deferred.append(lambda deferred=action: self._act(index, deferred))  # type: ignore[misc]
            else:
                self._act(index, action)

    def _act(self, index: int, action: PlacementAction) -> None:
        """Carry out one action and pass its result back."""
        follow_up = self._carry_out(action)
        if follow_up is not None:
            self._feed(index, follow_up)

    def _inject_faults(self, step: str, index: int) -> bool:
        """Inject the faults planned for a step; return True if they pause the holder."""
        paused = False
        for fault in self._script.at(step):
            if fault == "holder paused" and index == 0:
                self._paused_until = self._now + PAUSE_TURNS * TURN_S
                paused = True
            elif fault == "holder dies":
                self._holders[index] = PlacementController("ab"[index])
            elif fault == "platform down":
                self._down = 6
            elif fault == "answer lost":
                self._lose = True
            elif fault == "order late":
                self._late_order = True
            elif fault == "two first":
                self._two_first = 30
        return paused

    def _carry_out(self, action: PlacementAction) -> PlacementEvent | None:
        """Carry out one action; as in the service, an order after its not_after is dropped."""
        if isinstance(action, OrderLoad):
            delay = 0.0
            if self._late_order:
                self._late_order = False
                delay = MAX_ORDER_DELAY_S
            if self._now < action.not_after:
                self._in_flight.append((self._now + delay, action))
                self._deliver_due()
            return None
        if self._down:
            self._down -= 1
            return LeaseLost()
        if isinstance(action, ReadLease):
            return LeaseRead(*self._stored)
        return self._write(action)

    def _write(self, action: WriteLease) -> PlacementEvent:
        """Apply a conditional write of the lease."""
        if action.expected != self._stored[0]:
            return LeaseLost()
        self._stored = (action.expected + 1, action.lease)
        if self._lose:
            self._lose = False
            return LeaseLost()
        return LeaseWritten(self._stored[0])

    def _deliver_due(self) -> None:
        """Deliver the orders that are due."""
        due = [delivery for delivery in self._in_flight if delivery[0] <= self._now]
        self._in_flight = [delivery for delivery in self._in_flight if delivery[0] > self._now]
        for _, order in due:
            self._deliver(order)

    def _deliver(self, order: OrderLoad) -> None:
        """Deliver one order to its engine."""
        name = order.runner_id
        if name == "checking" and order.fence < self._fence[name]:
            return
        stale = order.fence < self._fence[name] and order.model != self._wanted
        assert not stale, f"an old order changed {name} back to {order.model}"
        self._fence[name] = max(self._fence[name], order.fence)
        self._loaded[name] = order.model


def run_placement(script: Script) -> None:
    """Run two holders with the faults of a script, and check the guarantees."""
    world = PlacementWorld(script)
    world.run()
    world.check()
