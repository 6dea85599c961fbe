"""HTTP client that reuses its connection, as callers of the gateway do."""

from __future__ import annotations

import time
from select import POLLIN
from typing import Any, Final

import httptools
from gevent import socket
from gevent.select import poll

from features.worlds.gateway_world import request_bytes
from soak.ledger import SentRequest

CONNECT_S: Final = 1.0
SPARE_S: Final = 2.0
"""Wait beyond a request's timeout, so that late responses are recorded."""
PIECE_BYTES: Final = 65_536
FRAMING_HEADERS: Final = frozenset({b"content-length", b"transfer-encoding"})


class _Response:
    """Collect one response; httptools calls the on_ methods."""

    def __init__(self) -> None:
        """Initialize before the first byte of the response."""
        self.parser: Any = httptools.HttpResponseParser(self)
        self.sealed = False
        self.has_head = False
        self.is_framed = False
        self.keeps_alive = False
        self.complete = False
        self.body = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Look for the seal header of an upstream, and for headers that frame the body."""
        self.sealed |= name.lower() == b"x-driftstall-response-seal"
        self.is_framed |= name.lower() in FRAMING_HEADERS

    def on_headers_complete(self) -> None:
        """Record that the head of the response has arrived."""
        self.has_head = True

    def on_body(self, data: bytes) -> None:
        """Collect a piece of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Record that the response is complete, and whether the connection may be reused.

        The parser answers that only before it returns: afterwards it expects a new response.
        """
        self.complete = True
        self.keeps_alive = self.parser.should_keep_alive()


class CallerConnection:
    """A caller's connection, reused until it breaks or is closed."""

    def __init__(self) -> None:
        """Initialize without an open connection."""
        self._connection: socket.socket | None = None
        self._address = ""

    def send(self, address: str, request: SentRequest, token_count: str = "") -> None:
        """Send one request, and record its result in it.

        The token count names prompt and output tokens; empty for those of an ordinary request.
        """
        more = {"X_Driftstall_Token_Count": token_count} if token_count else {}
        if request.prompt:
            more["X_Driftstall_Prompt_Prefix"] = request.prompt
        try:
            self._open(address)
            assert self._connection is not None
            self._connection.sendall(
                request_bytes(
                    request.path,
                    request.request_id,
                    Connection="keep-alive",
                    X_Driftstall_Deadline_Ms=str(int(request.timeout_s * 1000)),
                    **more,
                )
            )
            self._read(request)
        except OSError:
            self.close()
        request.ended_at = time.monotonic()

    @property
    def is_open(self) -> bool:
        """Return True if the connection is open; one that the other side has closed is not."""
        if self._connection is not None:
            poller = poll()
            poller.register(self._connection, POLLIN)
            if poller.poll(0):
                self.close()
        return self._connection is not None

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _open(self, address: str) -> None:
        """Open a connection to the address unless one is open already."""
        if self.is_open and self._address == address:
            return
        self.close()
        host, port = address.split(":")
        self._connection = socket.create_connection((host, int(port)), CONNECT_S)
        self._address = address

    def _read(self, request: SentRequest) -> None:
        """Read one response until it is complete or the connection ends."""
        assert self._connection is not None
        response = _Response()
        until = request.sent_at + request.timeout_s + SPARE_S
        try:
            while not response.complete:
                self._connection.settimeout(max(0.001, until - time.monotonic()))
                data = self._connection.recv(PIECE_BYTES)
                if not data:
                    request.is_closed = response.has_head and not response.is_framed
                    request.is_cut = not request.is_closed
                    break
                response.parser.feed_data(data)
        except ConnectionError:
            request.is_cut = True
            raise
        finally:
            request.status = response.parser.get_status_code() if response.has_head else 0
            request.has_head, request.is_framed = response.has_head, response.is_framed
            request.sealed, request.complete = response.sealed, response.complete
            request.body = response.body
        if not response.keeps_alive:
            self.close()


class CallerConnections:
    """A caller's connections to several instances, each kept until the instance closes it."""

    def __init__(self) -> None:
        """Initialize without connections."""
        self._connections: dict[str, CallerConnection] = {}

    @property
    def open_names(self) -> set[str]:
        """Return the names of the instances to which connections are open."""
        return {name for name, connection in self._connections.items() if connection.is_open}

    def to(self, name: str) -> CallerConnection:
        """Return the connection to an instance."""
        return self._connections.setdefault(name, CallerConnection())

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.close()
