"""Perform the ordered copies of one instance's streams, and notice when orders stop."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import gevent

from driftstall.gateway.scheduling.evacuation_messages import CopyEnded, CopyOrdered
from driftstall.gateway.state import GatewayState

FIRST_ORDER_TIMEOUT_S: Final = 0.15
"""How long an instance waits for an order after its request: the head start of runs with a replica,
a hop each way, and 0.05 s for the placer to answer."""
ORDERS_TIMEOUT_S: Final = 0.5
"""Time without orders after which an instance continues alone; the placer repeats them sooner."""
REQUEST_VALID_S: Final = 10.0
"""Age from which a request or an order is disregarded; orders for an engine end by then."""
MAX_KEPT_RESULTS: Final = 64
"""Ended copies that an instance remembers to answer a repeated order."""


class CopyPerformer:
    """Request orders, perform those for this instance's streams, and notice when they stop."""

    def __init__(self, state: GatewayState, *, send: Callable[[str, CopyEnded], None]) -> None:
        """Initialize with the shared state and a sender."""
        self._state = state
        self._own_id = state.settings.instance_id
        self._send = send
        self._requested_at: dict[str, float] = {}
        self._last_order_at: dict[str, float] = {}
        self._under_way: dict[str, list[tuple[str, int]]] = {}
        """Placers and numbers of the orders for each copy that is under way, by request."""
        self._results: dict[tuple[str, int, str], CopyEnded] = {}
        self.move: Callable[[CopyOrdered], bool] = _move_nothing
        """Performs an ordered copy; returns whether the stream moved."""

    def record_request(self, upstream_id: str) -> None:
        """Record that the orders for an engine were requested just now."""
        self._requested_at[upstream_id] = self._state.now()
        self._expire()

    def waits_for_orders(self, upstream_id: str) -> bool:
        """Return True while orders for an engine are being given, or may still come."""
        until = self._last_order_at.get(upstream_id, float("-inf")) + ORDERS_TIMEOUT_S
        if upstream_id in self._requested_at:
            until = max(until, self._requested_at[upstream_id] + FIRST_ORDER_TIMEOUT_S)
        return self._state.now() < until

    def handle_order(self, order: CopyOrdered) -> None:
        """Perform an order; one copy of a stream at a time, whoever orders it.

        The order may come before the notice, which pauses periodic copies to keep the link free.
        """
        now = self._state.now()
        self._last_order_at[order.upstream_id] = now
        self._expire()
        self._state.notice_at = max(self._state.notice_at, now)
        if not order.request_id:
            return
        result = self._results.get((order.sender, order.number, order.request_id))
        if result is not None:
            self._send(order.sender, result)
            return
        key = (order.sender, order.number)
        under_way = self._under_way.get(order.request_id)
        if under_way is None:
            self._under_way[order.request_id] = [key]
            gevent.spawn(self._perform, order)
        elif key not in under_way:
            under_way.append(key)

    def _expire(self) -> None:
        """Discard old times; an instance may receive orders without requesting any."""
        now = self._state.now()
        for times in (self._requested_at, self._last_order_at):
            for key in [key for key, at in times.items() if now - at > REQUEST_VALID_S]:
                del times[key]

    def _perform(self, order: CopyOrdered) -> None:
        """Perform a copy, and report its end to all who ordered it."""
        moved = False
        try:
            moved = self.move(order)
        finally:
            for sender, number in self._under_way.pop(order.request_id):
                ended = CopyEnded(self._own_id, number, order.request_id, moved)
                self._results[sender, number, order.request_id] = ended
                self._send(sender, ended)
            while len(self._results) > MAX_KEPT_RESULTS:
                del self._results[next(iter(self._results))]


def _move_nothing(_: CopyOrdered) -> bool:
    """Return False until an evacuation is connected."""
    return False
