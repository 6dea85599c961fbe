"""Order the copies of streams off a leaving engine, one at a time, for the whole fleet.

The placer orders the copies (`copy_orderer.py`). Each instance performs those of its own streams
(`copy_performer.py`); instances that receive no orders continue alone.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatchmethod

from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.model import Upstream
from driftstall.gateway.scheduling.copy_orderer import CopyOrderer
from driftstall.gateway.scheduling.copy_performer import CopyPerformer
from driftstall.gateway.scheduling.evacuation_messages import (
    CopyEnded,
    CopyOrdered,
    EvacuationRequested,
)
from driftstall.gateway.scheduling.memory_queue import MemoryQueue
from driftstall.gateway.state import GatewayState
from driftstall.peers.gateway_messages import GatewayMessage

EvacuationMessage = EvacuationRequested | CopyOrdered | CopyEnded


class EvacuationOrders:
    """Assemble both sides of one instance, and dispatch their messages."""

    def __init__(
        self,
        state: GatewayState,
        queue: MemoryQueue,
        *,
        roles: Callable[[], FleetRoles],
        send: Callable[[str, GatewayMessage], None],
    ) -> None:
        """Initialize with the shared state, the queue, the roles and a sender."""
        self._state = state
        self._own_id = state.settings.instance_id
        self._queue = queue
        self._roles = roles
        self._send = send
        self.orderer = CopyOrderer(state, queue, send=self._deliver)
        self.performer = CopyPerformer(state, send=self._deliver)

    def applies_to(self, upstream: Upstream) -> bool:
        """Return True if the copies off an engine are ordered by the placer."""
        table = self._state.route_table
        return self._roles().is_large and table is not None and table.queues(upstream.service)

    def handle_notice(self, upstream: Upstream) -> None:
        """Start to order copies if this instance is the placer."""
        if self._queue.placer == self._own_id:
            self.orderer.start(upstream, self._notice_age_s(upstream))

    def request(self, upstream: Upstream) -> None:
        """Request orders for this instance's streams on a leaving engine."""
        placer = self._queue.placer
        if placer is None:
            return
        self.performer.record_request(upstream.upstream_id)
        age_s = self._notice_age_s(upstream)
        self._deliver(placer, EvacuationRequested(self._own_id, upstream.upstream_id, age_s))

    @singledispatchmethod
    def handle(self, message: EvacuationMessage) -> None:
        """Handle one message of a peer."""
        raise TypeError(f"no handler for {type(message).__name__}")

    @handle.register
    def _(self, message: EvacuationRequested) -> None:
        self.orderer.handle_request(message)

    @handle.register
    def _(self, message: CopyOrdered) -> None:
        self.performer.handle_order(message)

    @handle.register
    def _(self, message: CopyEnded) -> None:
        self.orderer.handle_ended(message)

    def _deliver(self, recipient: str, message: EvacuationMessage) -> None:
        """Send a message, which may be for this instance itself."""
        if recipient == self._own_id:
            self.handle(message)
        else:
            self._send(recipient, message)

    def _notice_age_s(self, upstream: Upstream) -> float:
        """Return the time since an engine's notice, in seconds."""
        now = self._state.now()
        since = self._state.fleet.leaving_since(upstream.upstream_id)
        return max(0.0, now - since) if since is not None else 0.0
