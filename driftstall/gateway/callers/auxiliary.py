"""Listener for small requests outside the callers' interface."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from gevent import socket

from driftstall.const import PREFIX_RELAY
from driftstall.decisions.buffer_budget import BufferBudget
from driftstall.gateway.callers.connections import (
    ConnectionLimits,
    ConnectionTable,
    make_server,
)
from driftstall.gateway.callers.refusals import refuse
from driftstall.gateway.ingress import (
    CallerConnection,
    CallerRequest,
    ConnectionClosed,
)
from driftstall.gateway.model import Limits
from driftstall.gateway.response_writer import ResponseWriter
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event
from driftstall.util.pacing import DenseInputPacer

AUXILIARY_LIMITS: Final = Limits(header_bytes=8_192, body_bytes=1_024)
"""Limits of the listeners that take no generation requests."""

AUXILIARY_BUFFER_BYTES: Final = 1 << 20


class AuxiliaryListener:
    """Listener for small requests outside the callers' interface."""

    def __init__(
        self, address: str, answer: Callable[[CallerRequest], bytes], state: GatewayState
    ) -> None:
        """Initialize with the address, the handler that answers a request and the shared state."""
        self._answer = answer
        self._state = state
        limits = ConnectionLimits.from_max_fds(state.settings.max_fds)
        self._connections = ConnectionTable(limits.auxiliary, self._count_eviction)
        # Of its own: callers' requests must not keep the platform from checking the instance.
        self._buffers = BufferBudget(AUXILIARY_BUFFER_BYTES)
        self._pacer = DenseInputPacer()
        self._server = make_server(address, self._serve)

    def bind(self) -> None:
        """Bind the address; raises OSError. Connections wait until the start."""
        self._server.init_socket()

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def _serve(self, raw: socket.socket, _: object) -> None:
        """Serve one connection until it ends."""
        connection = CallerConnection(raw, lambda: AUXILIARY_LIMITS, self._buffers, self._pacer)
        try:
            if self._connections.add(connection):
                self._serve_requests(connection)
        except Exception as error:
            # A defect ends this connection alone, and is logged as no caller reports it.
            log_event(PREFIX_RELAY, f"Request failed with {type(error).__name__}: {error}")
        finally:
            self._connections.remove(connection)
            connection.close()

    def _serve_requests(self, connection: CallerConnection) -> None:
        """Answer the requests of one connection."""
        while True:
            call = connection.next()
            if isinstance(call, ConnectionClosed):
                return
            if not isinstance(call, CallerRequest):
                refuse(connection, call, self._state.stats)
                connection.finish_writing()
                return
            writer = ResponseWriter(connection, is_for_head=call.method == b"HEAD")
            if not writer.write(self._answer(call)) or not call.keep_alive:
                return

    def _count_eviction(self) -> None:
        """Count a connection that is closed for a new one."""
        self._state.stats.connections_evicted += 1
