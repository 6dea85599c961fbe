"""Hold the body of a response until it is whole."""

from __future__ import annotations

from typing import Final

from driftstall.gateway.exchange import UpstreamExchange

MAX_RESPONSE_BYTES: Final = 16_000_000
"""Limit of the body of a response that is held until it is whole."""


class ResponseBody:
    """Buffer the body of one response; surplus responses before it count for the limit."""

    def __init__(self, exchange: UpstreamExchange) -> None:
        """Initialize with the exchange that the response is read from."""
        self._exchange = exchange
        exchange.on_evicted = self.clear
        self._buffer = bytearray()
        self._received_bytes = 0
        """Bytes of this response and of surplus ones before it."""

    def add(self, data: bytes) -> None:
        """Add bytes; raise InvalidResponse if the body is too large."""
        self._buffer += data
        self._received_bytes += len(data)
        if self._received_bytes > MAX_RESPONSE_BYTES:
            raise self._exchange.reject("its body is too large")
        self._exchange.hold(len(self._buffer))

    def clear(self) -> None:
        """Drop the bytes: another response follows, or the response is ended."""
        self._buffer = bytearray()

    def take(self) -> bytearray:
        """Return the whole body, which is not copied, and release the buffer."""
        body, self._buffer = self._buffer, bytearray()
        return body
