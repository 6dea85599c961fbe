"""HTTP client that sends each request at most once, on a connection of its own.

The pooled client of the HTTP library retries idempotent methods on its own when a connection
breaks. Requests that must not be repeated can't use it, so each exchange here opens one connection
and sends once.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

import gevent
from gevent import socket
from geventhttpclient.response import HTTPConnectionClosed, HTTPParseError

from driftstall.exceptions import UpstreamError, UpstreamTimeout
from driftstall.util.addresses import split_address
from driftstall.util.limited_response import DEFAULT_LIMITS, LimitedResponse, ResponseLimits

CONNECT_TIMEOUT_S: Final = 1.0
UNACKNOWLEDGED_TIMEOUT_MS: Final = 2_500
"""A connection is closed if the peer acknowledges nothing for this long: a cut link sends no error.
While the connection is idle this also decides when keep-alive probes give up, whatever their
number: at the first probe that is due later. A peer that is silent for a second or two goes on."""
KEEPALIVE_INTERVAL_S: Final = 1
"""An idle connection is probed at this interval, so that a cut link is detected while waiting."""
KEEPALIVE_PROBES: Final = 2
"""Probes without an answer after which an idle connection without TCP_USER_TIMEOUT is closed."""
READ_FAULTS: Final = (OSError, HTTPConnectionClosed, HTTPParseError, ValueError)


class Exchange:
    """A sent request and its response."""

    def __init__(
        self, connection: socket.socket, response: LimitedResponse, timeout_s: float
    ) -> None:
        """Initialize with the connection and the response, whose headers have been read.

        The timeout is that of the body, and of each event of a stream.
        """
        self._connection = connection
        self._response = response
        self._timeout_s = timeout_s

    @classmethod
    def open(
        cls,
        address: str,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
        limits: ResponseLimits = DEFAULT_LIMITS,
    ) -> Exchange:
        """Send a request once and read the response's headers.

        Raises UpstreamError, whose `sent` is false only if no byte was sent.
        """
        connection = connect(address, CONNECT_TIMEOUT_S)
        return cls.open_on(connection, address, method, path, headers, body, timeout_s, limits)

    @classmethod
    def open_on(
        cls,
        connection: Any,
        address: str,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
        limits: ResponseLimits = DEFAULT_LIMITS,
    ) -> Exchange:
        """Send a request on an open connection, and read the response's headers."""
        try:
            connection.settimeout(timeout_s)
            # The connection's timeout starts anew with each read, and the answer may trickle in.
            with gevent.Timeout(timeout_s, UpstreamTimeout("no answer in time")):
                connection.sendall(_head(address, method, path, headers, len(body)) + body)
                response = LimitedResponse(connection, method, limits)
            return cls(connection, response, limits.body_timeout_s or timeout_s)
        except TimeoutError as fault:
            connection.close()
            raise UpstreamTimeout(f"no answer from {address} in time") from fault
        except READ_FAULTS as fault:
            connection.close()
            detail = f"no answer from {address}: {type(fault).__name__}"
            raise UpstreamError(detail, sent=True) from fault
        except BaseException:
            # The calling greenlet was interrupted by a timeout or killed.
            connection.close()
            raise

    @property
    def status(self) -> int:
        """Return the response's status code."""
        return int(self._response.status_code)

    @property
    def content_type(self) -> str:
        """Return the response's content type, or an empty string."""
        return str(self._response.get("content-type", ""))

    @property
    def headers(self) -> dict[bytes, bytes]:
        """Return the response's headers by their lower-case names."""
        return {
            str(name).lower().encode("latin-1"): str(value).strip().encode("latin-1")
            for name, value in self._response.items()
        }

    def header(self, name: str) -> str:
        """Return a header of the response, or an empty string."""
        return str(self._response.get(name, ""))

    def read(self) -> bytes:
        """Return the whole body and close the connection; raise UpstreamError if it is truncated.

        A close-delimited body counts as truncated: it ends in the same way if its sender ends.
        """
        body = self.read_document()
        if self._response.is_close_delimited:
            raise UpstreamError("the answer ended with its connection", sent=True)
        return body

    def read_document(self) -> bytes:
        """Return a body that shows its own end, as a JSON object does, and close the connection.

        Unlike read() it accepts a close-delimited body, which may be truncated, also to nothing.
        """
        try:
            with gevent.Timeout(self._timeout_s, UpstreamError("the answer is late", sent=True)):
                body = bytes(self._response.read())
            if not self._response.message_complete:
                raise UpstreamError("the answer ended early", sent=True)
            return body
        except READ_FAULTS as fault:
            raise UpstreamError(f"the answer broke: {type(fault).__name__}", sent=True) from fault
        finally:
            self.close()

    def read_event(self) -> bytes:
        """Return the next server-sent event; empty at the end of the stream."""
        if self.has_event():
            return self._response.read_event()
        try:
            with gevent.Timeout(self._timeout_s, UpstreamError("the stream is late", sent=True)):
                return self._response.read_event()
        except READ_FAULTS as fault:
            raise UpstreamError(f"the stream broke: {type(fault).__name__}", sent=True) from fault

    def has_event(self) -> bool:
        """Return True if a whole server-sent event has been received but not read."""
        return self._response.has_event()

    def close(self) -> None:
        """Close the connection, and drop what is held of the response."""
        self._connection.close()
        self._response.discard()


def connect(address: str, timeout_s: float) -> socket.socket:
    """Open a connection; raise UpstreamError, with whether the address refused it."""
    try:
        connection = socket.create_connection(split_address(address), timeout_s)
    except OSError as fault:
        detail = f"no connection to {address}: {type(fault).__name__}"
        refused = isinstance(fault, ConnectionRefusedError)
        raise UpstreamError(detail, sent=False, refused=refused) from fault
    configure_socket(connection)
    return connection


def configure_socket(connection: socket.socket) -> None:
    """Disable Nagle's algorithm, and detect a cut link within seconds."""
    configure_tunnel_socket(connection)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)


def configure_tunnel_socket(connection: socket.socket) -> None:
    """Configure a connection whose reader may stall: a full receive window is no cut link.

    TCP_USER_TIMEOUT would end it, although the reader acknowledges the probes of its window.
    """
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def _head(address: str, method: str, path: str, headers: Mapping[str, str], length: int) -> bytes:
    """Encode the request line and headers; raise UpstreamError if one contains a line break."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}"]
    if length or method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {length}")
    lines += [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join(lines)
    if "\n" in head.replace("\r\n", ""):
        raise UpstreamError("a header holds a line break", sent=False)
    return (head + "\r\n\r\n").encode("latin-1")
