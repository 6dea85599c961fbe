"""Order engines to load models, under a lease whose version fences old holders.

The holder checks its lease on the monotonic clock, with a margin for the time on
the wire, right before each order. A runner that does not check fences gets
orders only after the previous lease and the longest order have both run out.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Final

LEASE_S: Final = 6.0
RENEW_S: Final = 2.0
WIRE_MARGIN_S: Final = 1.0
MAX_ORDER_S: Final = 3.0
LOADS_PER_PERIOD: Final = 2
"""Loads ordered at once: the weights store is rate-limited."""


@dataclass(frozen=True, slots=True)
class LeaseObject:
    """Hold the lease as stored in the platform."""

    holder: str
    term: int
    duration_s: float


@dataclass(frozen=True, slots=True)
class WantedModel:
    """State which model a runner is to serve, and what it last reported."""

    runner_id: str
    wanted: str
    loaded: str
    checks_fences: bool


@dataclass(frozen=True, slots=True)
class LeaseRead:
    """Receive the stored lease; version zero stands for none."""

    version: int
    lease: LeaseObject | None


@dataclass(frozen=True, slots=True)
class LeaseWritten:
    """Learn that the lease was taken or renewed."""

    version: int


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """Learn that a lease write conflicted or its answer was lost."""


@dataclass(frozen=True, slots=True)
class PlacementPeriod:
    """Let time pass, with what is wanted now and whether this instance ranks first."""

    first: bool
    wanted: tuple[WantedModel, ...]


PlacementEvent = LeaseRead | LeaseWritten | LeaseLost | PlacementPeriod


@dataclass(frozen=True, slots=True)
class ReadLease:
    """Read the stored lease."""


@dataclass(frozen=True, slots=True)
class WriteLease:
    """Write the lease, if its version is still the expected one."""

    expected: int
    lease: LeaseObject


@dataclass(frozen=True, slots=True)
class OrderLoad:
    """Order a runner to serve a model; it states the wanted end."""

    runner_id: str
    model: str
    fence: int
    not_after: float
    """Monotonic time after which the order must not be sent any more."""


PlacementAction = ReadLease | WriteLease | OrderLoad


class PlacementController:
    """Hold the lease for one placement group and give its orders."""

    def __init__(self, holder: str) -> None:
        """Start without the lease."""
        self._holder = holder
        self._version = 0
        self._term = 0
        self._held_until = -1e9
        self._unfenced_from = float("inf")
        self._lease_requested_at = 0.0
        self._seen_version = -1
        self._seen_at = 0.0
        self._has_pending_io = False

    def has_lease(self, now: float) -> bool:
        """Tell whether the lease surely holds until an order has arrived."""
        return now + WIRE_MARGIN_S < self._held_until

    def handle(self, event: PlacementEvent, now: float) -> list[PlacementAction]:
        """Take one event and return the actions it leads to."""
        return self._on(event, now)

    @singledispatchmethod
    def _on(self, event: PlacementEvent, now: float) -> list[PlacementAction]:
        """Handle one event."""
        raise TypeError(f"no handler for {type(event).__name__}")

    @_on.register
    def _(self, event: PlacementPeriod, now: float) -> list[PlacementAction]:
        actions: list[PlacementAction] = []
        if event.first and not self._has_pending_io and now >= self._held_until - LEASE_S + RENEW_S:
            self._has_pending_io = True
            actions.append(ReadLease())
        if self.has_lease(now):
            actions += self._pending_orders(event.wanted, now)
        return actions

    @_on.register
    def _(self, event: LeaseRead, now: float) -> list[PlacementAction]:
        self._has_pending_io = False
        lease = event.lease
        if event.version != self._seen_version:
            self._seen_version = event.version
            self._seen_at = now
        foreign = lease is not None and (
            lease.holder != self._holder or event.version != self._version
        )
        if foreign and lease is not None and now - self._seen_at < lease.duration_s:
            return []
        if foreign or lease is None:
            # A new term: those that check no fence wait until old orders have run out.
            previous = lease.duration_s if lease is not None else 0.0
            settled = previous + MAX_ORDER_S if lease is not None else 0.0
            self._unfenced_from = max(now, self._seen_at + settled)
        self._term = (lease.term if lease else 0) + 1
        self._lease_requested_at = now
        self._has_pending_io = True
        return [WriteLease(event.version, LeaseObject(self._holder, self._term, LEASE_S))]

    @_on.register
    def _(self, event: LeaseWritten, now: float) -> list[PlacementAction]:
        self._has_pending_io = False
        self._version = event.version
        self._seen_version = event.version
        self._seen_at = now
        # The lease runs from when it was asked for, not from when the answer came.
        self._held_until = self._lease_requested_at + LEASE_S
        return []

    @_on.register
    def _(self, event: LeaseLost, now: float) -> list[PlacementAction]:
        self._has_pending_io = False
        return []

    def _pending_orders(self, wanted: tuple[WantedModel, ...], now: float) -> list[PlacementAction]:
        """Order what differs from what is wanted, a few at a time."""
        orders: list[PlacementAction] = []
        for one in wanted:
            if one.wanted == one.loaded or len(orders) >= LOADS_PER_PERIOD:
                continue
            if not one.checks_fences and now < self._unfenced_from:
                continue
            not_after = self._held_until - WIRE_MARGIN_S
            orders.append(OrderLoad(one.runner_id, one.wanted, self._version, not_after))
        return orders
