"""Send one request to an upstream and read its answer piece by piece.

An exchange has a connection of its own, so no answer can stand in another's place
and no rested connection can break under a request that may run only once.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Final
from weakref import WeakSet

import httptools
from gevent import select, socket

from driftstall.exceptions import UpstreamError
from driftstall.gateway.model import Header, Headers
from driftstall.util import clock
from driftstall.util.addresses import split_address
from driftstall.util.http import tune

RECEIVE_BYTES: Final = 65_536
SEND_PIECE_BYTES: Final = 16_384
BODYLESS: Final = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})
FIRST_FINAL_STATUS: Final = 200


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Hold the status and headers of an answer."""

    status: int
    headers: Headers
    framed: bool
    """Whether the answer tells where it ends; else it ends with its connection."""


@dataclass(frozen=True, slots=True)
class BodyChunk:
    """Hold some bytes of an answer's body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class ResponseEnd:
    """Mark the end of an answer that has arrived whole."""


Item = ResponseHead | BodyChunk | ResponseEnd


class _ResponseBuilder:
    """Collect what the parser finds; httptools calls these methods."""

    def __init__(self) -> None:
        """Start before the first answer."""
        self.items: deque[Item] = deque()
        self.new_heads: list[ResponseHead] = []
        """Heads that no observer has been given."""
        self.parser: Any = None
        self._headers: list[Header] = []
        self._in_body = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; what follows the body is no header of the answer."""
        if not self._in_body:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass on the head, unless it is only an interim one."""
        status = self.parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            return
        names = {name.lower() for name, _ in self._headers}
        framed = bool(names & {b"content-length", b"transfer-encoding"}) or status in BODYLESS
        head = ResponseHead(status, tuple(self._headers), framed)
        self.items.append(head)
        self.new_heads.append(head)
        self._in_body = True

    def on_body(self, data: bytes) -> None:
        """Pass on a piece of the body."""
        self.items.append(BodyChunk(data))

    def on_message_complete(self) -> None:
        """Pass on the end."""
        if self._in_body:
            self.items.append(ResponseEnd())
        self._headers = []
        self._in_body = False


class UpstreamExchange:
    """Hold one request to an upstream; reading raises UpstreamError when it breaks."""

    def __init__(self, connection: socket.socket) -> None:
        """Take the open connection."""
        self._connection = connection
        self._builder = _ResponseBuilder()
        self._parser = httptools.HttpResponseParser(self._builder)
        self._builder.parser = self._parser
        self._framed = True
        self._at_end = False
        self.sent_at = 0.0
        """When the first byte of the request left, in seconds."""
        self.observe: Callable[[ResponseHead], None] = _ignore
        """Takes each head as it arrives, also one of a response that nobody reads."""

    @property
    def framed(self) -> bool:
        """Tell whether the answer says where it ends; else it ends with its connection."""
        return self._framed

    @classmethod
    def connect(cls, address: str, timeout_s: float) -> UpstreamExchange:
        """Open a connection; raise UpstreamError if it does not come up."""
        try:
            connection = socket.create_connection(split_address(address), timeout_s)
            tune(connection)
            return cls(connection)
        except OSError as fault:
            detail = f"no connection to {address}: {type(fault).__name__}"
            raise UpstreamError(detail, sent=False) from fault

    def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes, timeout_s: float
    ) -> None:
        """Send the request; stop early where the upstream already answers."""
        lines = [method + b" " + target + b" HTTP/1.1"]
        lines += [name + b": " + value for name, value in headers]
        if body or method not in (b"GET", b"HEAD", b"DELETE"):
            lines.append(b"Content-Length: %d" % len(body))
        lines.append(b"Connection: close")
        data = b"\r\n".join(lines) + b"\r\n\r\n" + body
        until = clock.now() + timeout_s
        self.sent_at = clock.now()
        try:
            self._send_pieces(data, until)
        except OSError as fault:
            raise UpstreamError(f"the send broke: {type(fault).__name__}", sent=True) from fault

    def _send_pieces(self, data: bytes, until: float) -> None:
        """Send piece by piece, unless the answer comes before all is sent."""
        if len(data) <= SEND_PIECE_BYTES:
            self._connection.settimeout(max(0.001, until - clock.now()))
            self._connection.sendall(data)
            return
        view = memoryview(data)
        self._connection.settimeout(0.0)
        while view:
            left = until - clock.now()
            if left <= 0:
                raise TimeoutError("the upstream does not read")
            wait_s = min(left, clock.LONGEST_WAIT_S)
            readable, writable, _ = select.select(
                [self._connection], [self._connection], [], wait_s
            )
            if readable:
                return
            if not writable:
                continue
            view = view[self._connection.send(view[:SEND_PIECE_BYTES]) :]

    def next(self, timeout_s: float) -> Item:
        """Return the next part of the answer; raise UpstreamError when it breaks.

        A timeout raises TimeoutError and leaves the exchange as it was.
        """
        until = clock.now() + timeout_s
        while not self._builder.items:
            left = until - clock.now()
            if left <= 0:
                raise TimeoutError("nothing arrived in time")
            self._connection.settimeout(min(left, clock.LONGEST_WAIT_S))
            self._receive()
        item = self._builder.items.popleft()
        if isinstance(item, ResponseHead):
            self._framed = item.framed
        return item

    def close(self) -> None:
        """Close the connection; most upstreams then give the request up."""
        self._connection.close()

    def _receive(self) -> None:
        """Read once and parse; nothing may have come in time."""
        try:
            data = self._connection.recv(RECEIVE_BYTES)
        except TimeoutError:
            return
        except OSError as fault:
            raise UpstreamError(f"the answer broke: {type(fault).__name__}", sent=True) from fault
        if not data:
            self._ended()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as fault:
            if not self._builder.items:
                detail = f"the answer is none of the protocol: {type(fault).__name__}"
                raise UpstreamError(detail, sent=True) from fault
        finally:
            heads, self._builder.new_heads = self._builder.new_heads, []
            for head in heads:
                self.observe(head)

    def _ended(self) -> None:
        """Take the connection's end for the answer's, where it says no other end.

        A closed connection is read as empty again and again: it ends only one answer.
        """
        if self._framed or self._at_end:
            raise UpstreamError("the answer ended early", sent=True)
        self._at_end = True
        self._builder.items.append(ResponseEnd())


def _ignore(_: ResponseHead) -> None:
    """Take a head that nobody observes."""


class OpenExchanges:
    """Hold the open exchanges by upstream, so that all with one can be given up together."""

    def __init__(self) -> None:
        """Start with none."""
        self._open: dict[str, WeakSet[UpstreamExchange]] = {}

    def add(self, upstream_id: str, exchange: UpstreamExchange) -> None:
        """Add an exchange; it is forgotten with its last user."""
        self._open.setdefault(upstream_id, WeakSet()).add(exchange)

    def close_all(self, upstream_id: str) -> int:
        """Close all exchanges with an upstream, so that their readers go on; return how many."""
        found = list(self._open.pop(upstream_id, ()))
        for one in found:
            one.close()
        return len(found)

    def forget_ended(self) -> None:
        """Forget upstreams with which there is no exchange any more."""
        for upstream_id in [one for one, open_ones in self._open.items() if not open_ones]:
            del self._open[upstream_id]
