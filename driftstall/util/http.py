"""Make one HTTP exchange on a connection of its own, and never send twice.

The pooled client of the HTTP library sends idempotent methods again by itself
when a connection breaks. A call that may not be repeated must not go that way,
so here each exchange has one connection and one send.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from gevent import socket
from geventhttpclient.response import HTTPConnectionClosed, HTTPParseError, HTTPSocketResponse

from driftstall.exceptions import UpstreamError
from driftstall.util.addresses import split_address

CONNECT_TIMEOUT_S: Final = 1.0
DEAD_AFTER_MS: Final = 1_500
"""A peer that acknowledges nothing for so long is given up; a cut link says nothing."""
PROBE_AFTER_S: Final = 1
"""A connection that rests for so long is probed, so that a cut is noticed while waiting."""
PROBES: Final = 2
READ_FAULTS: Final = (OSError, HTTPConnectionClosed, HTTPParseError, ValueError)


class Exchange:
    """Hold one sent request and its answer."""

    def __init__(self, connection: socket.socket, response: HTTPSocketResponse) -> None:
        """Take the connection and the answer, whose headers were read."""
        self._connection = connection
        self._response = response

    @classmethod
    def open(
        cls,
        address: str,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> Exchange:
        """Send a request once and read the answer's headers.

        Raises UpstreamError; its sent flag is false only if no byte had left.
        """
        try:
            connection = socket.create_connection(split_address(address), CONNECT_TIMEOUT_S)
        except OSError as fault:
            detail = f"no connection to {address}: {type(fault).__name__}"
            refused = isinstance(fault, ConnectionRefusedError)
            raise UpstreamError(detail, sent=False, refused=refused) from fault
        try:
            configure_socket(connection)
            connection.settimeout(timeout_s)
            connection.sendall(_head(address, method, path, headers, len(body)) + body)
            return cls(connection, HTTPSocketResponse(connection, method=method))
        except READ_FAULTS as fault:
            connection.close()
            detail = f"no answer from {address}: {type(fault).__name__}"
            raise UpstreamError(detail, sent=True) from fault
        except BaseException:
            # Whoever called has given the exchange up from outside.
            connection.close()
            raise

    @property
    def status(self) -> int:
        """Return the answer's status."""
        return int(self._response.status_code)

    @property
    def content_type(self) -> str:
        """Return the answer's content type."""
        return str(self._response.get("content-type", ""))

    @property
    def headers(self) -> dict[bytes, bytes]:
        """Return the answer's headers by their names in lower case."""
        return {
            str(name).lower().encode("latin-1"): str(value).strip().encode("latin-1")
            for name, value in self._response.items()
        }

    def header(self, name: str) -> str:
        """Return one of the answer's headers, or empty."""
        return str(self._response.get(name, ""))

    def read(self) -> bytes:
        """Return the whole body, or raise UpstreamError."""
        try:
            body = bytes(self._response.read())
            if not self._response.message_complete:
                raise UpstreamError("the answer ended early", sent=True)
            return body
        except READ_FAULTS as fault:
            raise UpstreamError(f"the answer broke: {type(fault).__name__}", sent=True) from fault
        finally:
            self.close()

    def read_event(self) -> bytes:
        """Return the next server-sent event; empty at the end."""
        try:
            return bytes(self._response.readline(b"\n\n"))
        except READ_FAULTS as fault:
            raise UpstreamError(f"the stream broke: {type(fault).__name__}", sent=True) from fault

    def has_event(self) -> bool:
        """Tell whether a whole server-sent event has already arrived."""
        return b"\n\n" in self._response._body_buffer

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


def configure_socket(connection: socket.socket) -> None:
    """Send at once, and notice within seconds that the other end is cut off."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_AFTER_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, DEAD_AFTER_MS)


def _head(address: str, method: str, path: str, headers: Mapping[str, str], length: int) -> bytes:
    """Return the request's head."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", "Connection: close"]
    if length or method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {length}")
    lines += [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join(lines)
    if "\n" in head.replace("\r\n", ""):
        raise UpstreamError("a header holds a line break", sent=False)
    return (head + "\r\n\r\n").encode("latin-1")
