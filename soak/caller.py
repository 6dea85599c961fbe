"""Ask as callers do: keep the located addresses a while, and use open connections."""

from __future__ import annotations

import time
from typing import Any, Final

import httptools
from gevent import socket

from features.worlds.gateway_world import request_bytes
from soak.ledger import SentRequest

CONNECT_S: Final = 1.0
SPARE_S: Final = 2.0
"""How much longer than its time a caller waits for an answer, so that late ones are seen."""
PIECE_BYTES: Final = 65_536


class _Answer:
    """Collect one answer; httptools calls the on_ methods."""

    def __init__(self) -> None:
        """Start before the answer."""
        self.parser: Any = httptools.HttpResponseParser(self)
        self.sealed = False
        self.begun = False
        self.complete = False
        self.body = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Look for the mark of an upstream."""
        self.sealed |= name.lower() == b"x-driftstall-response-seal"

    def on_headers_complete(self) -> None:
        """Note that there is an answer."""
        self.begun = True

    def on_body(self, data: bytes) -> None:
        """Collect a piece of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Note the end."""
        self.complete = True


class CallerConnection:
    """Hold one caller's connection; it is used until it breaks or is closed."""

    def __init__(self) -> None:
        """Start without one."""
        self._connection: socket.socket | None = None
        self._address = ""

    def ask(self, address: str, asked: SentRequest) -> None:
        """Send one request and fill in how it ended."""
        try:
            self._open(address)
            assert self._connection is not None
            self._connection.sendall(
                request_bytes(
                    asked.path,
                    asked.request_id,
                    Connection="keep-alive",
                    X_Driftstall_Deadline_Ms=str(int(asked.timeout_s * 1000)),
                )
            )
            self._read(asked)
        except OSError:
            self.close()
        asked.ended_at = time.monotonic()

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _open(self, address: str) -> None:
        """Open a connection unless there is one to the address."""
        if self._connection is not None and self._address == address:
            return
        self.close()
        host, port = address.split(":")
        self._connection = socket.create_connection((host, int(port)), CONNECT_S)
        self._address = address

    def _read(self, asked: SentRequest) -> None:
        """Read one answer to its end, or to the connection's."""
        assert self._connection is not None
        answer = _Answer()
        until = asked.sent_at + asked.timeout_s + SPARE_S
        try:
            while not answer.complete:
                self._connection.settimeout(max(0.001, until - time.monotonic()))
                data = self._connection.recv(PIECE_BYTES)
                if not data:
                    break
                answer.parser.feed_data(data)
        finally:
            asked.status = answer.parser.get_status_code() if answer.begun else 0
            asked.sealed, asked.complete = answer.sealed, answer.complete
            asked.body = answer.body
        if not answer.complete or not answer.parser.should_keep_alive():
            self.close()
