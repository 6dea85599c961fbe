"""Read callers' HTTP requests from a connection, with strict parsing, and write responses.

The parser rejects input that two HTTP implementations could interpret as different requests
(request smuggling): two lengths, a length together with chunked coding, folded or malformed
headers, wrong line ends.
"""

from __future__ import annotations

import contextlib
import struct
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Final

import gevent
import httptools
from gevent import socket

from driftstall.const import PREFIX_RELAY
from driftstall.decisions.buffer_budget import BufferBudget
from driftstall.gateway.callers.requests import CallerRequest, MalformedRequest, RequestBuilder
from driftstall.gateway.model import Headers, Limits
from driftstall.helpers.log import log_event
from driftstall.util import clock
from driftstall.util.pacing import DenseInputPacer

__all__ = [
    "CallerConnection",
    "CallerRequest",
    "ConnectionClosed",
    "DisconnectWatch",
    "MalformedRequest",
    "OverloadRefusal",
    "encode_chunk",
    "encode_head",
]

RECEIVE_BYTES: Final = 8_192
"""Bytes that are parsed at once: a chunk of one byte costs as much time as a large one."""
YIELD_BYTES: Final = 16_384
"""Bytes after which other greenlets get a turn."""
SMALL_WRITE_BYTES: Final = 65_536
"""Outputs up to this size are not counted: the kernel takes most of them at once."""
SILENT_S: Final = 1.0
"""Time without a byte after which a new connection counts as silent."""
LINGER_S: Final = 0.1
"""How long a refused caller may pause before its connection is closed."""
LINGER_READS: Final = 32
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
CLOSE_IN_ORDER: Final = struct.pack("ii", 0, 0)
"""Values of SO_LINGER."""
OVERLOAD_RETRY_S: Final = 1.0
CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK: Final = b"0\r\n\r\n"
MIN_BODY_BYTES_PER_S: Final = 10_000.0
"""A body that arrives more slowly is refused, so that slow senders do not occupy memory."""
WRITE_TIMEOUT_S: Final = 10.0
"""A connection whose caller reads nothing for this time is closed."""


@dataclass(frozen=True, slots=True)
class ConnectionClosed:
    """The connection has been closed or has been idle for too long."""


@dataclass(frozen=True, slots=True)
class OverloadRefusal:
    """The request was discarded unfinished, as the instance needs its memory for others."""

    detail: str = "the instance has no memory for the request"
    retry_after_s: float = OVERLOAD_RETRY_S


EVICTED: Final = OSError("the unfinished request was discarded")
"""Wakes up the greenlet that waits for more of a request."""
ABORTED: Final = OSError("the connection was aborted")
"""Wakes up the greenlet that waits until more of a response can be written."""
ReadResult = CallerRequest | MalformedRequest | OverloadRefusal | ConnectionClosed


class CallerConnection:
    """Read requests from one caller's connection, and write responses to it."""

    def __init__(
        self,
        connection: socket.socket,
        read_limits: Callable[[], Limits],
        buffers: BufferBudget | None = None,
        pacer: DenseInputPacer | None = None,
    ) -> None:
        """Initialize with the accepted connection, the limits of requests, and what is shared.

        The limits are read for each request, since a connection may outlast a configuration.
        Connections share the budget of memory and the pacer of input that is costly to parse.
        """
        self._connection = connection
        self._read_limits = read_limits
        self._builder = RequestBuilder(read_limits)
        self._builder.parser = httptools.HttpRequestParser(self._builder)
        self._buffers = buffers or BufferBudget.from_memory(0)
        self._pacer = pacer or DenseInputPacer()
        self._account = self._buffers.open(self._handle_evicted)
        self._unfinished_bytes = 0
        """Bytes of the account for the request that is not complete."""
        self._served_bytes = 0
        """Bytes of the account for the request that is served."""
        self._unyielded_bytes = 0
        """Bytes read since other greenlets were last given a turn."""
        self._is_input_ended = False
        self._is_evicted = False
        self._is_served = False
        self._has_sent = False
        self._is_reset_when_closed = False
        self._is_output_ended = False
        self._waits_since = clock.now()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def is_idle(self) -> bool:
        """Return True if no byte of a further request has arrived."""
        return self._builder.begun_at is None and not self._builder.requests

    @property
    def is_served(self) -> bool:
        """Return True while a request of the connection is in progress or about to be."""
        return self._is_served or bool(self._builder.requests)

    @property
    def eviction_order(self) -> tuple[bool, bool, float]:
        """Return a key that is least for a caller that is silent or has rested longest.

        A caller that has just connected is about to send, and no silent one.
        """
        is_silent = not self._has_sent and clock.now() - self._waits_since > SILENT_S
        return (not is_silent, not self.is_idle, self._waits_since)

    def evict(self) -> None:
        """End the connection at once, so that its descriptor can be used for another one."""
        self._is_input_ended = True
        self._account.close()
        self._builder.discard()
        self._abort()
        self._connection.close()

    def next(self) -> ReadResult:
        """Wait for and return the next request, an error, or the end of the connection."""
        self._account.shrink(self._served_bytes)
        self._served_bytes = 0
        self._is_served = False
        self._waits_since = clock.now()
        # Nothing was read while the request before was served.
        self._builder.restart_clock()
        if self._builder.requests:
            # A pipelined request has already arrived, so reading it does not wait.
            self._yield_turn(YIELD_BYTES)
        while True:
            if self._builder.requests:
                return self._take_request()
            if self._builder.error is not None:
                return self._builder.error
            if self._is_evicted:
                return OverloadRefusal()
            if self._is_input_ended:
                return ConnectionClosed()
            self._send_continue()
            end = self._receive()
            if end is not None:
                return end

    def _take_request(self) -> CallerRequest:
        """Return the next whole request, whose memory is protected while it is served."""
        built = self._builder.requests.popleft()
        self._served_bytes = built.held_bytes
        self._is_served = True
        self._account.protect()
        return built.request

    def _receive(self) -> MalformedRequest | ConnectionClosed | None:
        """Read once; return an error or the end of the connection, or None to continue."""
        remaining_s = self._read_deadline() - clock.now()
        if remaining_s <= 0:
            return self._timeout_result()
        self._account.expose()
        self._connection.settimeout(remaining_s)
        try:
            data = self._connection.recv(RECEIVE_BYTES)
        except TimeoutError:
            # The limits may have changed meanwhile, so the deadline is determined again.
            return None
        except OSError:
            return None if self._is_evicted else ConnectionClosed()
        if self._is_evicted or self._is_input_ended:
            return None
        if not data:
            return ConnectionClosed()
        self._has_sent = True
        begun_at, events = clock.now(), self._builder.progress
        self._feed(data)
        self._charge()
        if not self._builder.requests:
            self._pacer.rest(self._builder.progress - events, clock.now() - begun_at)
        self._yield_turn(len(data))
        return None

    def _read_deadline(self) -> float:
        """Return the time by which the next bytes must arrive."""
        begun_at = self._builder.begun_at
        if begun_at is None:
            limits, input_at = self._read_limits(), self._builder.input_at
            if input_at is None:
                return self._waits_since + limits.idle_timeout_s
            return input_at + limits.header_timeout_s
        until = begun_at + self._builder.limits.header_timeout_s
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
            self._builder.feed(data)
        except httptools.HttpParserUpgrade:
            # Upgrades are not supported: the request is answered, and nothing more is read.
            self._is_input_ended = True
        except (httptools.HttpParserError, httptools.HttpParserCallbackError) as error:
            known = self._builder.error
            detail = f"the request is malformed: {error}"
            self._builder.error = known or MalformedRequest(HTTPStatus.BAD_REQUEST, detail)

    def _charge(self) -> None:
        """Take the memory of what has been read from the budget; without room, drop the request."""
        queued = sum(built.held_bytes for built in self._builder.requests)
        held = queued + self._builder.held_bytes
        change = held - self._unfinished_bytes
        self._unfinished_bytes = self._builder.held_bytes
        if change <= 0:
            self._account.shrink(-change)
        elif not self._account.grow(change):
            self._account.close()
            self._builder.discard_unfinished()
            self._is_evicted = True
        if self._builder.requests:
            self._account.protect()

    def _handle_evicted(self) -> None:
        """Free the unfinished request, and wake up the greenlet that waits for its next bytes."""
        self._is_evicted = True
        self._builder.discard_unfinished()
        socket.cancel_wait(self._connection._read_event, EVICTED)

    def _yield_turn(self, size: int) -> None:
        """Give other greenlets a turn: reading what has already arrived does not wait."""
        self._unyielded_bytes += size
        if self._unyielded_bytes >= YIELD_BYTES:
            self._unyielded_bytes = 0
            gevent.sleep(0)

    def _send_continue(self) -> None:
        """Send 100 Continue if the caller waits for it."""
        if self._builder.wants_continue and self._builder.is_head_complete:
            self._builder.wants_continue = False
            self.write(CONTINUE)

    def write(self, data: bytes | bytearray) -> bool:
        """Write to the caller; return False if it has disconnected or reads too slowly."""
        if len(data) <= SMALL_WRITE_BYTES:
            return self._send(data)
        account = self._buffers.open(self._cut_output)
        # A new output displaces those whose callers have not read them so far. It is sent in any
        # case: its memory is taken already, and its request may have run.
        account.protect()
        try:
            if not account.grow(len(data)):
                account.overdraw(len(data))
            account.expose()
            return self._send(data)
        finally:
            account.close()

    def _send(self, data: bytes | bytearray) -> bool:
        """Send all data; return False if that fails."""
        try:
            self._connection.settimeout(WRITE_TIMEOUT_S)
            self._connection.sendall(data)
            return True
        except OSError:
            return False

    def _cut_output(self) -> None:
        """End a connection whose caller does not read what the instance holds for it."""
        log_event(
            PREFIX_RELAY, "Response cut off: its memory is needed and its caller reads slowly"
        )
        self._abort()

    def _abort(self) -> None:
        """End input and output, which wakes up the greenlet that waits for the connection."""
        if self._is_reset_when_closed:
            # Shutting the output down would close the connection in order.
            socket.cancel_wait(self._connection._write_event, ABORTED)
            return
        with contextlib.suppress(OSError):
            self._connection.shutdown(socket.SHUT_RDWR)

    def reset_when_closed(self) -> None:
        """Let any close reset the connection, until close_in_order() is called.

        While a response ends with the connection, closing it in order would state its end. The
        kernel closes it in order when the process is killed.
        """
        self._set_reset_when_closed(True)

    def close_in_order(self) -> None:
        """State the end of a response that ends with the connection."""
        self._set_reset_when_closed(False)
        self._end_output()

    def _set_reset_when_closed(self, is_reset: bool) -> None:
        """Set whether a close discards the output and resets the connection."""
        self._is_reset_when_closed = is_reset
        with contextlib.suppress(OSError):
            linger = RESET_ON_CLOSE if is_reset else CLOSE_IN_ORDER
            self._connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def finish_writing(self) -> None:
        """End the output, and discard the input that has arrived."""
        self._end_output()
        self.discard_input()

    def _end_output(self) -> None:
        """Close the connection in order, for this direction."""
        self._is_output_ended = True
        with contextlib.suppress(OSError):
            self._connection.shutdown(socket.SHUT_WR)

    def discard_input(self) -> None:
        """Discard the input that has arrived after the output has ended, until the caller closes.

        Unread input resets the connection, which would discard what the caller has not read yet.
        """
        if not self._is_output_ended:
            return
        with contextlib.suppress(OSError):
            self._connection.settimeout(LINGER_S)
            for _ in range(LINGER_READS):
                if not self._connection.recv(RECEIVE_BYTES):
                    return

    def close(self) -> None:
        """Close the connection, and give back its memory."""
        self._account.close()
        self._builder.close()
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
