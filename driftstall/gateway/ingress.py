"""Read callers' HTTP requests from a connection, with strict parsing, and write responses.

The parser rejects input that two HTTP implementations could interpret as different requests
(request smuggling): two lengths, a length together with chunked coding, folded or malformed
headers, wrong line ends.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Final

import gevent
import httptools
from gevent import socket

from driftstall.gateway.model import Header, Headers, Limits
from driftstall.util import clock

RECEIVE_BYTES: Final = 65_536
CHUNKED: Final = b"chunked"
CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK: Final = b"0\r\n\r\n"
MIN_BODY_BYTES_PER_S: Final = 10_000.0
"""A body that arrives more slowly is refused, so that slow senders do not occupy memory."""
WRITE_TIMEOUT_S: Final = 10.0
"""A connection whose caller reads nothing for this time is closed."""


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Hold one whole request from a caller."""

    method: bytes
    target: bytes
    headers: Headers
    host: str
    body: bytes
    keep_alive: bool
    read_at: float
    """Time when the last byte was read, in seconds on the monotonic clock."""

    @property
    def path(self) -> str:
        """Return the path without the query string."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclass(frozen=True, slots=True)
class MalformedRequest:
    """Describe malformed input: it is answered with an error and the connection is closed."""

    status: HTTPStatus
    detail: str


@dataclass(frozen=True, slots=True)
class ConnectionClosed:
    """The connection has been closed or has been idle for too long."""


class _RequestBuilder:
    """Build requests from the parser's callbacks; httptools calls the on_ methods."""

    def __init__(self, limits: Limits) -> None:
        """Start before the first request."""
        self._limits = limits
        self.requests: deque[CallerRequest] = deque()
        self.error: MalformedRequest | None = None
        self.parser: Any = None
        self.wants_continue = False
        self.begun_at: float | None = None
        self.is_head_complete = False
        self._reset()

    def _reset(self) -> None:
        """Start the next request."""
        self._target = b""
        self._headers: list[Header] = []
        self._head_bytes = 0
        self._body: list[bytes] = []
        self.body_bytes = 0
        self.is_head_complete = False
        self.begun_at = None

    def on_message_begin(self) -> None:
        """Record when a request began."""
        self.begun_at = clock.now()

    def on_url(self, url: bytes) -> None:
        """Collect a part of the request target."""
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are dropped."""
        self._count_head(len(name) + len(value) + 4)
        if not self.is_head_complete:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Validate the head: Host, transfer coding and length."""
        self.is_head_complete = True
        values: dict[bytes, list[bytes]] = {}
        for name, value in self._headers:
            values.setdefault(name.lower(), []).append(value.strip())
        if len(values.get(b"host", ())) != 1:
            self._set_error(HTTPStatus.BAD_REQUEST, "one Host header is needed")
        codings = values.get(b"transfer-encoding", [CHUNKED])
        if [coding.lower() for coding in codings] != [CHUNKED]:
            self._set_error(HTTPStatus.BAD_REQUEST, "only the chunked transfer coding is known")
        length = values.get(b"content-length", [b"0"])[0]
        if not length.isdigit() or int(length) > self._limits.body_bytes:
            self._set_error(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
        self.wants_continue = [v.lower() for v in values.get(b"expect", ())] == [b"100-continue"]

    def on_body(self, data: bytes) -> None:
        """Collect a chunk of the body."""
        self.body_bytes += len(data)
        if self.body_bytes > self._limits.body_bytes:
            self._set_error(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
            return
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Queue a whole request."""
        if self.error is None:
            host = next(value for name, value in self._headers if name.lower() == b"host")
            request = CallerRequest(
                method=self.parser.get_method(),
                target=self._target,
                headers=tuple(self._headers),
                host=host.strip().decode("latin-1"),
                body=b"".join(self._body),
                keep_alive=self.parser.should_keep_alive(),
                read_at=clock.now(),
            )
            self.requests.append(request)
        self.wants_continue = False
        self._reset()

    def _count_head(self, size: int) -> None:
        """Enforce the size limit of the head."""
        self._head_bytes += size
        if self._head_bytes > self._limits.header_bytes:
            self._set_error(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the header is too large")

    def _set_error(self, status: HTTPStatus, detail: str) -> None:
        """Record the first error; later ones are ignored."""
        self.error = self.error or MalformedRequest(status, detail)


class CallerConnection:
    """Read requests from one caller's connection, and write responses to it."""

    def __init__(self, connection: socket.socket, limits: Limits) -> None:
        """Initialize with the accepted connection and the limits of its requests."""
        self._connection = connection
        self._limits = limits
        self._builder = _RequestBuilder(limits)
        self._parser = httptools.HttpRequestParser(self._builder)
        self._builder.parser = self._parser
        self._is_input_ended = False
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def is_idle(self) -> bool:
        """Return True if no byte of a further request has arrived."""
        return self._builder.begun_at is None and not self._builder.requests

    def next(self) -> CallerRequest | MalformedRequest | ConnectionClosed:
        """Wait for and return the next request, an error, or the end of the connection."""
        idle_until = clock.now() + self._limits.idle_timeout_s
        while True:
            if self._builder.requests:
                return self._builder.requests.popleft()
            if self._builder.error is not None:
                return self._builder.error
            if self._is_input_ended:
                return ConnectionClosed()
            self._send_continue()
            end = self._receive(idle_until)
            if end is not None:
                return end

    def _receive(self, idle_until: float) -> MalformedRequest | ConnectionClosed | None:
        """Read once; return an error or the end of the connection, or None to continue."""
        until = self._read_deadline(idle_until)
        remaining_s = until - clock.now()
        if remaining_s <= 0:
            return self._timeout_result()
        self._connection.settimeout(remaining_s)
        try:
            data = self._connection.recv(RECEIVE_BYTES)
        except TimeoutError:
            return self._timeout_result()
        except OSError:
            return ConnectionClosed()
        if not data:
            return ConnectionClosed()
        self._feed(data)
        return None

    def _read_deadline(self, idle_until: float) -> float:
        """Return the time by which the next bytes must arrive."""
        begun_at = self._builder.begun_at
        if begun_at is None:
            return idle_until
        until = begun_at + self._limits.header_timeout_s
        if self._builder.is_head_complete:
            until += self._builder.body_bytes / MIN_BODY_BYTES_PER_S + WRITE_TIMEOUT_S
        return until

    def _timeout_result(self) -> MalformedRequest | ConnectionClosed:
        """Return the result of a read timeout: an error only if a request had begun."""
        if self._builder.begun_at is None:
            return ConnectionClosed()
        return MalformedRequest(HTTPStatus.REQUEST_TIMEOUT, "the request did not arrive in time")

    def _feed(self, data: bytes) -> None:
        """Parse some bytes; an error is reported after the whole requests before it."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Upgrades are not supported: the request is answered, and nothing more is read.
            self._is_input_ended = True
        except (httptools.HttpParserError, httptools.HttpParserCallbackError) as error:
            known = self._builder.error
            detail = f"the request is malformed: {error}"
            self._builder.error = known or MalformedRequest(HTTPStatus.BAD_REQUEST, detail)

    def _send_continue(self) -> None:
        """Send 100 Continue if the caller waits for it."""
        if self._builder.wants_continue and self._builder.is_head_complete:
            self._builder.wants_continue = False
            self.write(CONTINUE)

    def write(self, data: bytes) -> bool:
        """Write to the caller; return False if it has disconnected."""
        try:
            self._connection.settimeout(WRITE_TIMEOUT_S)
            self._connection.sendall(data)
            return True
        except OSError:
            return False

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()

    def watch_disconnect(self) -> DisconnectWatch:
        """Return a watch that detects a disconnect of the caller."""
        return DisconnectWatch(self._connection)


class DisconnectWatch:
    """Detect that a caller closes its connection while its request is served."""

    def __init__(self, connection: socket.socket) -> None:
        """Initialize with the caller's connection."""
        self._connection = connection
        self._watcher = gevent.get_hub().loop.io(connection.fileno(), 1)
        self._on_disconnect: Any = None
        self.is_disconnected = False

    def start(self, on_disconnect: Any) -> None:
        """Watch the connection, and call the function once when the caller disconnects."""
        self._on_disconnect = on_disconnect
        self._watcher.start(self._handle_readable)

    def stop(self) -> None:
        """Stop watching."""
        self._watcher.stop()
        self._watcher.close()

    def _handle_readable(self) -> None:
        """Distinguish a close from the first bytes of a further request."""
        try:
            raw = self._connection._sock
            is_closed = raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return
        except OSError:
            is_closed = True
        self._watcher.stop()
        if is_closed:
            self.is_disconnected = True
            self._on_disconnect()


def encode_head(status: int, headers: Headers, extra: tuple[bytes, ...]) -> bytes:
    """Return the bytes of a response head; extra holds further header lines."""
    reason = HTTPStatus(status).phrase if status in _KNOWN_STATUSES else "Status"
    lines = [b"HTTP/1.1 %d %s" % (status, reason.encode())]
    lines += [name + b": " + value for name, value in headers]
    lines += extra
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk of a body in chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


_KNOWN_STATUSES: Final = frozenset(int(status) for status in HTTPStatus)
