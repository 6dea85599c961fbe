"""Assemble the queue for engine memory of one instance, and dispatch its messages."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatchmethod

from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.scheduling.cold_gate import ColdGate
from driftstall.gateway.scheduling.engine_ledger import EngineLedger
from driftstall.gateway.scheduling.queue_client import QueueClient, RunReporter
from driftstall.gateway.scheduling.queue_messages import (
    QueueAnswered,
    QueueAsked,
    QueueLeft,
    RunsReported,
)
from driftstall.gateway.scheduling.queue_service import QueueService
from driftstall.gateway.scheduling.queue_status import QueueStatus
from driftstall.gateway.scheduling.selection import Option
from driftstall.gateway.state import GatewayState
from driftstall.peers.gateway_messages import GatewayMessage

QueueMessage = QueueAsked | QueueAnswered | QueueLeft | RunsReported


class MemoryQueue:
    """Hold the parts of the queue: the service, its client and the reporter of runs."""

    def __init__(
        self,
        state: GatewayState,
        *,
        roles: Callable[[], FleetRoles],
        send: Callable[[str, GatewayMessage], None],
        placer_gate: ColdGate,
    ) -> None:
        """Initialize with the shared state, the roles, a sender, and the placer's cold gate."""
        self._state = state
        self._own_id = state.settings.instance_id
        self._send = send
        self._service = QueueService(
            state,
            cold_gate=lambda: placer_gate if roles().is_large else state.cold_gate,
            is_large=lambda: roles().is_large,
            answer=self._answer,
        )
        self._client = QueueClient(state, self._service, roles=roles, send=send)
        self._reporter = RunReporter(state, self._service, self._client, roles=roles, send=send)
        state.acquire_memory = self._client.acquire
        state.leave_queue = self._client.leave

    @property
    def ledger(self) -> EngineLedger:
        """Return the runs of all instances, as known here."""
        return self._service.ledger

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait in this instance's queue."""
        return self._service.waiting

    @property
    def placer(self) -> str | None:
        """Return the instance that holds the queue; None if no placer answers."""
        return self._client.placer

    def options(self, service: str) -> list[Option]:
        """Return the engines of a service that take requests, with the loads known here."""
        return self._service.options(service)

    def status(self) -> QueueStatus:
        """Return the state of the queues, if this instance holds them."""
        placer, table = self.placer, self._state.route_table
        queued = sorted(table.queued_services) if table and placer == self._own_id else ()
        services = [self._service.status(name) for name in queued]
        return QueueStatus(
            self._own_id, placer, tuple([service for service in services if service is not None])
        )

    def start(self) -> None:
        """Start the passes over the queue and the reports."""
        self._service.start()
        self._reporter.start()

    @singledispatchmethod
    def handle(self, message: QueueMessage) -> None:
        """Handle one message of a peer."""
        raise TypeError(f"no handler for {type(message).__name__}")

    @handle.register
    def _(self, message: QueueAsked) -> None:
        self._service.handle_asked(message)

    @handle.register
    def _(self, message: QueueAnswered) -> None:
        self._client.handle_answer(message)

    @handle.register
    def _(self, message: QueueLeft) -> None:
        self._service.handle_left(message)

    @handle.register
    def _(self, message: RunsReported) -> None:
        self._service.handle_runs(message)

    def _answer(self, recipient: str, answer: QueueAnswered) -> None:
        """Send an answer to the instance that asked."""
        if recipient == self._own_id:
            self._client.handle_answer(answer)
        else:
            self._send(recipient, answer)
