"""Fake upstreams that send given bytes as a response, and keep or end the connection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from gevent import socket

from driftstall.gateway.ingress import CallerConnection
from stand_ins.routed import ReceivedRequest, RoutedUpstream, Script, reset

HEALTH_PATH: Final = "/health"
HEALTHY: Final = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
NEAR_CLOSE_S: Final = 5.0
"""Longest time that a kept connection waits for the other end to close it."""


class RawEnding(StrEnum):
    """What happens to the connection after the bytes of a response."""

    KEPT = "kept"
    """The connection stays open until the other end closes it."""
    CLOSED = "closed"
    RESET = "reset"
    GONE = "process gone"
    """The process ends: its port refuses connections, and the connection is closed in order."""


@dataclass(frozen=True, slots=True)
class RawResponse:
    """The bytes of a response, and what happens to the connection after them."""

    data: bytes
    ending: RawEnding = RawEnding.KEPT


class RawUpstream(RoutedUpstream):
    """A fake upstream that answers calls and streams with given bytes."""

    def __init__(self, upstream_id: str, respond: Callable[[ReceivedRequest], RawResponse]) -> None:
        """Start listening; respond returns the response to a request that is run here."""
        super().__init__(upstream_id)
        self._respond = respond
        self._responses: dict[str, RawResponse] = {}
        self.answers_health = True
        self.kept = 0
        """Connections that were kept open after a response."""
        self.released = 0
        """Kept connections that the other end has closed."""
        self.further_bytes = 0
        """Bytes received after the request on connections that were kept."""

    def record_request(self, seen: ReceivedRequest) -> None:
        """Record a request that is run here, and build its response."""
        if seen.target == HEALTH_PATH:
            healthy = RawResponse(HEALTHY, RawEnding.CLOSED)
            self._responses[seen.request_id] = healthy if self.answers_health else RawResponse(b"")
            return
        super().record_request(seen)
        self._responses[seen.request_id] = self._respond(seen)

    def _whole(
        self, raw: socket.socket, connection: CallerConnection, request_id: str, script: Script
    ) -> None:
        """Answer a plain call."""
        self._send(raw, request_id)

    def _stream(
        self,
        raw: socket.socket,
        connection: CallerConnection,
        request_id: str,
        headers: dict[str, str],
        script: Script,
    ) -> None:
        """Answer a stream's request."""
        self._send(raw, request_id)

    def _send(self, raw: socket.socket, request_id: str) -> None:
        """Send the response's bytes; the caller of this closes the connection."""
        response = self._responses.pop(request_id)
        raw.settimeout(NEAR_CLOSE_S)
        raw.sendall(response.data)
        if response.ending is RawEnding.RESET:
            reset(raw)
        elif response.ending is RawEnding.GONE:
            self.stop()
        elif response.ending is RawEnding.KEPT:
            self.kept += 1
            while data := raw.recv(65_536):
                self.further_bytes += len(data)
            self.released += 1
