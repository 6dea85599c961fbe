"""Read a response whose sender may never stop, within limits of size."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final
from weakref import WeakMethod, finalize

import gevent
from geventhttpclient.response import HTTPConnectionClosed, HTTPSocketResponse

from driftstall.decisions.buffer_budget import BYTES_PER_MB, BufferAccount, BufferBudget
from driftstall.exceptions import OversizedAnswer
from driftstall.util import clock
from driftstall.util.http_status import check_status
from driftstall.util.pacing import DenseInputPacer
from driftstall.util.response_overhead import PARSE_BYTES, ResponseOverhead

EVENT_END: Final = b"\n\n"
YIELD_BYTES: Final = 65_536
"""Bytes after which other greenlets get a turn, and timeouts are noticed: reading what has already
arrived does not wait."""
MAX_HELD_BYTES: Final = 32_000_000
"""Limit of the bytes that all unfinished responses of the process hold together: beyond it the
largest one is given up."""
HELD_SHARE: Final = 0.05
"""Share of the machine's memory for these bytes, where it is known."""

_held: Final = BufferBudget(MAX_HELD_BYTES)
_pacer: Final = DenseInputPacer()


def limit_held_bytes(memory_mb: float) -> None:
    """Fit the limit of all responses to a machine with this memory in MB; zero if not known."""
    if memory_mb:
        _held.set_capacity(min(MAX_HELD_BYTES, int(memory_mb * BYTES_PER_MB * HELD_SHARE)))


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
        self._callbacks = 0
        """Calls of the parser so far; tiny chunks cause many."""
        self._is_close_delimited = False
        self._account: BufferAccount | None = None
        """Account of the bytes held; None before the first byte of the body."""
        self._is_discarded = False
        super().__init__(connection, block_size=PARSE_BYTES, method=method)

    @property
    def is_close_delimited(self) -> bool:
        """Return True if the message has ended with its connection, as its framing allows.

        A truncated body ends in the same way.
        """
        return self._is_close_delimited

    def feed(self, data: str | bytes) -> None:
        """Parse received bytes, or the end of the connection if there are none.

        Raises OversizedAnswer if they exceed a limit, and InvalidResponse for an unknown status.
        """
        try:
            self._feed(data)
        except BaseException:
            # The error may outlive its handling, and refers to this response.
            self.discard()
            raise

    def _feed(self, data: str | bytes) -> None:
        """Parse received bytes and give other greenlets a turn."""
        self._check_discarded()
        callbacks, began_at = self._callbacks, clock.now()
        self._overhead.record_received(len(data))
        super().feed(data)
        self._is_close_delimited |= self.message_complete and not data
        if self._overhead.check():
            raise OversizedAnswer("too many bytes besides the body")
        if len(self._body_buffer) > self._limits.held_bytes:
            raise OversizedAnswer("the body is too large")
        self._charge()
        spent_s = clock.now() - began_at
        self._unyielded_bytes += len(data)
        if self._unyielded_bytes >= YIELD_BYTES:
            self._unyielded_bytes = 0
            gevent.sleep(0)
        if not self.message_complete:
            _pacer.rest(self._callbacks - callbacks, spent_s)
        self._check_discarded()

    def discard(self) -> None:
        """Drop what is held of the body; it can't be read any further."""
        self._is_discarded = True
        self._body_buffer.clear()
        if self._account is not None:
            self._account.close()

    def _charge(self) -> None:
        """Account for the bytes held; raise OversizedAnswer if there is no memory for them."""
        size = len(self._body_buffer)
        if self._account is None:
            if not size:
                return
            self._account = _held.open(_weak_callback(self._handle_evicted))
            # A reader may drop a stream without closing it.
            finalize(self, self._account.close).atexit = False
        change = size - self._account.held_bytes
        if change <= 0:
            self._account.shrink(-change)
        elif not self._account.grow(change):
            raise OversizedAnswer("all answers hold too much memory")

    def _handle_evicted(self) -> None:
        """Free the memory at once, and wake up a reader that waits for the connection."""
        self._is_discarded = True
        self._body_buffer.clear()
        if self._sock is not None:
            self._sock.close()

    def _check_discarded(self) -> None:
        """Raise OversizedAnswer if bytes of the response were dropped to free memory."""
        if self._is_discarded:
            raise OversizedAnswer("all answers hold too much memory")

    def has_event(self) -> bool:
        """Return True if a whole server-sent event is buffered."""
        return EVENT_END in self._body_buffer

    def read_event(self) -> bytes:
        """Return the next server-sent event; empty at the end of the stream."""
        self._check_discarded()
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

    def _on_headers_complete(self) -> int | bool | None:
        """Reject a status that HTTP does not know; one below 100 would pass for an interim one."""
        check_status(self.get_code())
        return super()._on_headers_complete()

    def _on_body(self, buf: bytearray) -> None:
        """Count bytes of the body."""
        self._callbacks += 1
        self._overhead.record_body(len(buf))
        super()._on_body(buf)

    def _flush_header(self) -> None:
        """Count a header."""
        self._callbacks += 1
        self._overhead.record_header()
        super()._flush_header()


def _weak_callback(method: Callable[[], None]) -> Callable[[], None]:
    """Return a function that calls a method while its object lives."""
    weak = WeakMethod(method)

    def call() -> None:
        alive = weak()
        if alive is not None:
            alive()

    return call
