"""Read a response whose sender may never stop, within limits of size."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

import gevent
from geventhttpclient.response import HTTPConnectionClosed, HTTPSocketResponse

from driftstall.exceptions import OversizedAnswer
from driftstall.util.response_overhead import PARSE_BYTES, ResponseOverhead

EVENT_END: Final = b"\n\n"
YIELD_BYTES: Final = 65_536
"""Bytes after which other greenlets get a turn, and timeouts are noticed: reading what has already
arrived does not wait."""


@dataclass(frozen=True, slots=True)
class ResponseLimits:
    """Limits of what is read of a response's body."""

    held_bytes: int = 16_000_000
    """Bytes that are held: of a whole body, or of an event of a stream."""
    body_timeout_s: float | None = None
    """Time for a whole body, or for each event of a stream; None for that of the headers."""


DEFAULT_LIMITS: Final = ResponseLimits()


class LimitedResponse(HTTPSocketResponse):
    """A response that is read within limits, for any sender."""

    def __init__(self, connection: Any, method: str, limits: ResponseLimits) -> None:
        """Read the headers of a response from a connection."""
        self._limits = limits
        self._overhead = ResponseOverhead()
        self._unyielded_bytes = 0
        self._is_close_delimited = False
        super().__init__(connection, block_size=PARSE_BYTES, method=method)

    @property
    def is_close_delimited(self) -> bool:
        """Return True if the message has ended with its connection, as its framing allows.

        A truncated body ends in the same way.
        """
        return self._is_close_delimited

    def feed(self, data: str | bytes) -> None:
        """Parse received bytes, or the end of the connection if there are none.

        Raises OversizedAnswer if they exceed a limit.
        """
        self._overhead.record_received(len(data))
        super().feed(data)
        self._is_close_delimited |= self.message_complete and not data
        if self._overhead.check():
            raise OversizedAnswer("too many bytes besides the body")
        if len(self._body_buffer) > self._limits.held_bytes:
            raise OversizedAnswer("the body is too large")
        self._unyielded_bytes += len(data)
        if self._unyielded_bytes >= YIELD_BYTES:
            self._unyielded_bytes = 0
            gevent.sleep(0)

    def has_event(self) -> bool:
        """Return True if a whole server-sent event is buffered."""
        return EVENT_END in self._body_buffer

    def read_event(self) -> bytes:
        """Return the next server-sent event; empty at the end of the stream."""
        searched_bytes = 0
        while (end := self._body_buffer.find(EVENT_END, max(0, searched_bytes - 1))) < 0:
            if self.message_complete:
                return b""
            if self._sock is None:
                raise HTTPConnectionClosed("connection closed.")
            searched_bytes = len(self._body_buffer)
            self.feed(self._sock.recv(self.block_size))
        length = end + len(EVENT_END)
        event = bytes(self._body_buffer[:length])
        del self._body_buffer[:length]
        return event

    def _on_body(self, buf: bytearray) -> None:
        """Count bytes of the body."""
        self._overhead.record_body(len(buf))
        super()._on_body(buf)

    def _flush_header(self) -> None:
        """Count a header."""
        self._overhead.record_header()
        super()._flush_header()
