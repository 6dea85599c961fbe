"""Placement of models on engines, under a lease whose version is the fencing token.

The holder checks its lease on the monotonic clock right before each order, with a margin
for the network delay. A runner that does not check fencing tokens gets orders only after
both the previous lease and the longest possible order have expired.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Final

LEASE_S: Final = 6.0
RENEW_S: Final = 2.0
"""Time after its last write at which the holder renews the lease."""
WIRE_MARGIN_S: Final = 1.0
"""Margin for the network delay: no order is sent this shortly before the lease expires."""
MAX_ORDER_DELAY_S: Final = 3.0
"""Maximum time after its sending in which an order to a runner can take effect."""
MAX_LOADS_PER_PERIOD: Final = 2
"""Maximum loads ordered at once, since the weights store is rate-limited."""


@dataclass(frozen=True, slots=True)
class LeaseObject:
    """The lease as stored in the platform's store."""

    holder: str
    term: int
    duration_s: float


@dataclass(frozen=True, slots=True)
class WantedModel:
    """The model that a runner should serve, and the one that it last reported."""

    runner_id: str
    wanted: str
    loaded: str
    checks_fences: bool


@dataclass(frozen=True, slots=True)
class LeaseRead:
    """Receive the stored lease; version zero means that there is none."""

    version: int
    lease: LeaseObject | None


@dataclass(frozen=True, slots=True)
class LeaseWritten:
    """Report that the lease was acquired or renewed."""

    version: int


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """Report that a lease write conflicted or that its response was lost."""


@dataclass(frozen=True, slots=True)
class PlacementPeriod:
    """Trigger the periodic work; first is True if this instance ranks first for the group."""

    first: bool
    wanted: tuple[WantedModel, ...]


PlacementEvent = LeaseRead | LeaseWritten | LeaseLost | PlacementPeriod


@dataclass(frozen=True, slots=True)
class ReadLease:
    """Read the stored lease."""


@dataclass(frozen=True, slots=True)
class WriteLease:
    """Write the lease if its version is still the expected one."""

    expected: int
    lease: LeaseObject


@dataclass(frozen=True, slots=True)
class OrderLoad:
    """Order a runner to serve a model; the order is idempotent."""

    runner_id: str
    model: str
    fence: int
    not_after: float
    """Monotonic time after which the order must no longer be sent."""


PlacementAction = ReadLease | WriteLease | OrderLoad


class PlacementController:
    """Hold the lease of one placement group and give its orders."""

    def __init__(self, holder: str) -> None:
        """Initialize without the lease."""
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
        """Return True if the lease certainly outlasts the delivery of an order."""
        return now + WIRE_MARGIN_S < self._held_until

    def handle(self, event: PlacementEvent, now: float) -> list[PlacementAction]:
        """Apply one event and return the resulting actions."""
        return self._handle_event(event, now)

    @singledispatchmethod
    def _handle_event(self, event: PlacementEvent, now: float) -> list[PlacementAction]:
        """Handle one event."""
        raise TypeError(f"no handler for {type(event).__name__}")

    @_handle_event.register
    def _(self, event: PlacementPeriod, now: float) -> list[PlacementAction]:
        actions: list[PlacementAction] = []
        if event.first and not self._has_pending_io and now >= self._held_until - LEASE_S + RENEW_S:
            self._has_pending_io = True
            actions.append(ReadLease())
        if self.has_lease(now):
            actions += self._pending_orders(event.wanted, now)
        return actions

    @_handle_event.register
    def _(self, event: LeaseRead, now: float) -> list[PlacementAction]:
        self._has_pending_io = False
        lease = event.lease
        if event.version != self._seen_version:
            self._seen_version = event.version
            self._seen_at = now
        is_foreign = lease is not None and (
            lease.holder != self._holder or event.version != self._version
        )
        if is_foreign and lease is not None and now - self._seen_at < lease.duration_s:
            return []
        if is_foreign or lease is None:
            # A new term: runners without fence checks get no orders until old ones have expired.
            previous_lease_s = lease.duration_s if lease is not None else 0.0
            orders_expire_in_s = previous_lease_s + MAX_ORDER_DELAY_S if lease is not None else 0.0
            self._unfenced_from = max(now, self._seen_at + orders_expire_in_s)
        self._term = (lease.term if lease else 0) + 1
        self._lease_requested_at = now
        self._has_pending_io = True
        return [WriteLease(event.version, LeaseObject(self._holder, self._term, LEASE_S))]

    @_handle_event.register
    def _(self, event: LeaseWritten, now: float) -> list[PlacementAction]:
        self._has_pending_io = False
        self._version = event.version
        self._seen_version = event.version
        self._seen_at = now
        # The lease starts when its write was sent, not when the response arrived.
        self._held_until = self._lease_requested_at + LEASE_S
        return []

    @_handle_event.register
    def _(self, event: LeaseLost, now: float) -> list[PlacementAction]:
        self._has_pending_io = False
        return []

    def _pending_orders(self, wanted: tuple[WantedModel, ...], now: float) -> list[PlacementAction]:
        """Order the wanted models that are not loaded, at most MAX_LOADS_PER_PERIOD at a time."""
        orders: list[PlacementAction] = []
        for target in wanted:
            if target.wanted == target.loaded or len(orders) >= MAX_LOADS_PER_PERIOD:
                continue
            if not target.checks_fences and now < self._unfenced_from:
                continue
            not_after = self._held_until - WIRE_MARGIN_S
            orders.append(OrderLoad(target.runner_id, target.wanted, self._version, not_after))
        return orders
