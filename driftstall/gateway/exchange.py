"""Send one request to an upstream and read its response part by part.

Each exchange has a connection of its own. A response can therefore not be taken for that of
another request, and no idle pooled connection can break under a request that may run only once.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final, Protocol

import gevent
import httptools
from gevent import select

from driftstall.exceptions import InvalidResponse, UpstreamError
from driftstall.gateway.model import Header, Headers
from driftstall.gateway.response_buffers import ResponseBuffers
from driftstall.gateway.response_ends.framing import ResponseEndCause, ResponseFraming
from driftstall.gateway.response_ends.heads import contains_framing_field, contains_status_line
from driftstall.util import clock
from driftstall.util.http_status import check_status, is_interim_status
from driftstall.util.pacing import DenseInputPacer
from driftstall.util.response_overhead import PARSE_BYTES, ResponseOverhead

RECEIVE_BYTES: Final = 65_536
SEND_PIECE_BYTES: Final = 16_384
YIELD_BYTES: Final = 65_536
"""Bytes after which other greenlets get a turn. Reading what has already arrived does not wait, so
a fast upstream would otherwise hold up all other requests."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Hold the status and headers of a response."""

    status: int
    headers: Headers
    framing: ResponseFraming

    @property
    def is_framed(self) -> bool:
        """Return True if the response is framed; otherwise it ends with its connection."""
        return self.framing is not ResponseFraming.CLOSE


@dataclass(frozen=True, slots=True)
class BodyChunk:
    """Hold some bytes of a response body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class ResponseEnd:
    """Mark the end of a response that has arrived whole."""


ResponsePart = ResponseHead | BodyChunk | ResponseEnd


class _ResponseBuilder:
    """Build response parts from the parser's callbacks; httptools calls the on_ methods."""

    def __init__(self) -> None:
        """Start before the first response."""
        self.items: deque[ResponsePart] = deque()
        self.new_heads: list[ResponseHead] = []
        """Heads that the observer has not received yet."""
        self.parser: Any = None
        self.overhead = ResponseOverhead()
        self.is_for_head = False
        """Whether the responses are to a HEAD request: they have no body."""
        self.callbacks = 0
        """Calls of the parser so far; tiny chunks cause many."""
        self._body = bytearray()
        """Bytes of the body that are not among the items yet."""
        self._reason = b""
        self._headers: list[Header] = []
        self._in_body = False

    def on_status(self, reason: bytes) -> None:
        """Collect the reason phrase, which may arrive in pieces."""
        self.callbacks += 1
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers after the body are dropped."""
        self.callbacks += 1
        self.overhead.record_header()
        if not self._in_body:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Add the head, unless it is an interim (1xx) response; the parser wraps errors."""
        values = [value for _, value in self._headers]
        if contains_status_line(self._reason, values):
            raise InvalidResponse("a head contains another one")
        status = self.parser.get_status_code()
        check_status(status)
        if is_interim_status(status):
            return
        self.overhead.record_response()
        framing = ResponseFraming.EMPTY
        if not self.is_for_head:
            framing = ResponseFraming.from_head(status, (name.lower() for name, _ in self._headers))
        if framing is ResponseFraming.CLOSE and contains_framing_field(self._reason, values):
            raise InvalidResponse("a line of a head lost its end")
        head = ResponseHead(status, tuple(self._headers), framing)
        self.items.append(head)
        self.new_heads.append(head)
        if self.is_for_head:
            self.items.append(ResponseEnd())
        self._in_body = True

    def on_body(self, data: bytes) -> None:
        """Collect bytes of the body; an upstream may send them in very small chunks."""
        self.callbacks += 1
        self.overhead.record_body(len(data))
        self._body += data

    def flush_body(self) -> None:
        """Add the collected bytes of the body as one chunk."""
        if self._body:
            self.items.append(BodyChunk(bytes(self._body)))
            self._body.clear()

    def on_message_complete(self) -> None:
        """Add the end, unless the message was an interim response."""
        self.flush_body()
        if self._in_body and not self.is_for_head:
            self.items.append(ResponseEnd())
        self._reason = b""
        self._headers = []
        self._in_body = False


class Connection(Protocol):
    """An open connection to an upstream: a socket, or a tunnel through a peer."""

    def fileno(self) -> int:
        """Return the file descriptor, to wait until the connection can be read or written."""

    def settimeout(self, timeout_s: float | None) -> None:
        """Set the timeout of the following calls."""

    def sendall(self, data: bytes) -> None:
        """Send all bytes."""

    def send(self, data: memoryview) -> int:
        """Send some bytes; return their number."""

    def recv(self, size: int) -> bytes:
        """Receive some bytes; empty at the end of the connection."""

    def close(self) -> None:
        """Close the connection."""


class UpstreamExchange:
    """One request to an upstream; reading raises UpstreamError if the connection breaks."""

    def __init__(
        self,
        connection: Connection,
        buffers: ResponseBuffers[UpstreamExchange],
        pacer: DenseInputPacer,
    ) -> None:
        """Initialize with the open connection, and what all responses share.

        These are the buffers of unfinished ones, and the pacer of those that are costly to read.
        """
        self._connection = connection
        self._buffers = buffers
        self._pacer = pacer
        self._is_closed = False
        self._is_evicted = False
        self._builder = _ResponseBuilder()
        self._parser = httptools.HttpResponseParser(self._builder)
        self._builder.parser = self._parser
        self._framing = ResponseFraming.UNKNOWN
        self._has_ended = False
        self._malformation: UpstreamError | None = None
        """Raised once the parts before the malformed bytes have been read."""
        self._end_cause: ResponseEndCause | None = None
        """How the response ended; None until then."""
        self._unyielded_bytes = 0
        """Bytes received since other greenlets were last given a turn."""
        self.sent_at = 0.0
        """Time when sending the request began, in seconds."""
        self.observe: Callable[[ResponseHead], None] = _ignore
        """Called with each head as it arrives, even if no reader takes the response."""
        self.on_evicted: Callable[[], None] = _do_nothing
        """Called when the response ends for want of memory: its reader frees what it holds."""
        self.on_oversized: Callable[[str], None] = _ignore
        """Called with the defect of a response that exceeds a limit."""
        self.on_ended: Callable[[ResponseFraming, ResponseEndCause], None] = _ignore_end
        """Called once, with how the latest response on the connection was framed and ended."""

    @property
    def framing(self) -> ResponseFraming:
        """Return how the latest response that was read is framed."""
        return self._framing

    @property
    def is_framed(self) -> bool:
        """Return True if the response is framed; otherwise it ends with its connection."""
        return self._framing is not ResponseFraming.CLOSE

    def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes, timeout_s: float
    ) -> None:
        """Send the request; stop early if the upstream already responds.

        It does not ask the upstream to close the connection: some servers then leave out the
        framing of their response, and end it with the connection.
        """
        lines = [method + b" " + target + b" HTTP/1.1"]
        lines += [name + b": " + value for name, value in headers]
        if body or method not in (b"GET", b"HEAD", b"DELETE"):
            lines.append(b"Content-Length: %d" % len(body))
        data = b"\r\n".join(lines) + b"\r\n\r\n" + body
        self._builder.is_for_head = method == b"HEAD"
        until = clock.now() + timeout_s
        self.sent_at = clock.now()
        try:
            self._send_data(data, until)
        except OSError as error:
            raise UpstreamError(f"sending failed: {type(error).__name__}", sent=True) from error

    def _send_data(self, data: bytes, until: float) -> None:
        """Send the data, a large request in pieces until the upstream responds."""
        if len(data) <= SEND_PIECE_BYTES:
            self._connection.settimeout(max(0.001, until - clock.now()))
            self._connection.sendall(data)
            return
        view = memoryview(data)
        self._connection.settimeout(0.0)
        while view:
            remaining_s = until - clock.now()
            if remaining_s <= 0:
                raise TimeoutError("the upstream does not read the request")
            wait_s = min(remaining_s, clock.MAX_WAIT_SLICE_S)
            readable, writable, _ = select.select(
                [self._connection], [self._connection], [], wait_s
            )
            if readable:
                return
            if not writable:
                continue
            view = view[self._connection.send(view[:SEND_PIECE_BYTES]) :]

    def next(self, remaining_s: Callable[[], float]) -> ResponsePart:
        """Return the next part of the response; raise UpstreamError if the connection breaks.

        The function returns the seconds left to wait; it is called repeatedly, since a planned
        stop shortens the wait. A timeout raises TimeoutError; the exchange can still be read
        afterwards.
        """
        if self._is_evicted:
            self._check_limits()
        while not self._builder.items:
            wait_s = remaining_s()
            if wait_s <= 0:
                raise TimeoutError("the response timed out")
            self._connection.settimeout(min(wait_s, clock.MAX_WAIT_SLICE_S))
            self._receive()
        if self._is_evicted:
            # It was evicted while it was read, and bytes before this part are lost.
            self._check_limits()
        item = self._builder.items.popleft()
        if isinstance(item, ResponseHead):
            self._framing, self._end_cause = item.framing, None
        elif isinstance(item, ResponseEnd) and self._end_cause is None:
            self._end_cause = ResponseEndCause.COMPLETE
        return item

    def hold(self, size: int) -> None:
        """Record how many bytes the reader holds; raise InvalidResponse if it has to end.

        If all unfinished responses hold too much, the largest one ends.
        """
        largest = None if self._is_closed else self._buffers.resize(self, size)
        if largest is not None:
            largest.evict()
        self._check_limits()

    def rest(self, events: int, spent_s: float) -> None:
        """Let other requests go first, if the response has taken much time for its size."""
        self._pacer.rest(events, spent_s)

    def evict(self) -> None:
        """Free what is held and close the connection; the reader gets an InvalidResponse.

        The reader may be waiting, and so would free its memory only after others have taken more.
        """
        self._is_evicted = True
        self._builder.items.clear()
        self.on_evicted()
        self.close()

    def _check_limits(self) -> None:
        """Raise InvalidResponse if the response has exceeded a limit."""
        if self._is_evicted:
            raise self.reject("unfinished responses hold too much memory")
        if self._builder.overhead.is_excessive:
            raise self.reject("there are too many bytes besides its body")

    def reject(self, defect: str) -> InvalidResponse:
        """Report that the response exceeds a limit, and return the error to raise."""
        self.on_oversized(defect)
        return InvalidResponse(defect)

    def close(self) -> None:
        """Close the connection; most upstreams then abort the request."""
        if not self._is_closed and self.sent_at:
            self.on_ended(self._framing, self._end_cause or ResponseEndCause.ABANDONED)
        self._is_closed = True
        self._buffers.release(self)
        self._connection.close()

    def _receive(self) -> None:
        """Read once and parse the data; return without data after a timeout."""
        self._check_limits()
        if self._malformation is not None:
            self._end_cause = ResponseEndCause.MALFORMED
            raise self._malformation
        try:
            data = self._connection.recv(RECEIVE_BYTES)
        except TimeoutError:
            return
        except OSError as error:
            self._check_limits()
            self._end_cause = ResponseEndCause.RESET
            raise UpstreamError(f"receiving failed: {type(error).__name__}", sent=True) from error
        if not data:
            self._check_limits()
            self._handle_connection_end()
            return
        self._unyielded_bytes += len(data)
        if self._unyielded_bytes >= YIELD_BYTES:
            self._unyielded_bytes = 0
            gevent.sleep(0)
        callbacks, began_at = self._builder.callbacks, clock.now()
        try:
            self._parse(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            detail = f"invalid HTTP response: {type(error).__name__}"
            self._malformation = UpstreamError(detail, sent=True)
        finally:
            heads, self._builder.new_heads = self._builder.new_heads, []
            for head in heads:
                self.observe(head)
        self.rest(self._builder.callbacks - callbacks, clock.now() - began_at)

    def _parse(self, data: bytes) -> None:
        """Parse received data until its overhead is excessive."""
        overhead, view = self._builder.overhead, memoryview(data)
        try:
            for start in range(0, len(data), PARSE_BYTES):
                piece = view[start : start + PARSE_BYTES]
                overhead.record_received(len(piece))
                self._parser.feed_data(piece)
                if overhead.check():
                    return
        finally:
            self._builder.flush_body()

    def _handle_connection_end(self) -> None:
        """Handle the end of the connection: it ends an unframed response, and breaks a framed one.

        A closed connection returns empty reads forever, so it ends only one response.
        """
        self._end_cause = ResponseEndCause.CLOSED
        if self.is_framed or self._has_ended:
            raise UpstreamError("the response ended early", sent=True)
        self._has_ended = True
        self._builder.items.append(ResponseEnd())


def _ignore(_: object) -> None:
    """Ignore a head or a defect; the default of the callbacks."""


def _do_nothing() -> None:
    """Do nothing; the default of the callback."""


def _ignore_end(_: ResponseFraming, __: ResponseEndCause) -> None:
    """Ignore the end of a response; the default of the callback."""
