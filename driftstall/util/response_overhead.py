"""Count the bytes of a response that are not its body, as they arrive."""

from __future__ import annotations

from typing import Final

MAX_OVERHEAD_BYTES: Final = 262_144
"""Limit of a response's bytes besides its body: heads, interim responses, chunk framing, trailers.
Framing counts only as far as it exceeds the body that it carries."""
HEADER_BYTES: Final = 32
"""Counted for each header besides its own bytes, as a short one takes more memory than these."""
MAX_RESPONSES: Final = 16
"""Limit of responses in an exchange: all but one are surplus, to other requests."""
PARSE_BYTES: Final = 16_384
"""Bytes that are parsed at a time. In chunks of one byte they take a few milliseconds."""


class ResponseOverhead:
    """Count the overhead of one exchange; once it is excessive it stays so."""

    def __init__(self) -> None:
        """Start before the first byte."""
        self._bytes = 0
        self._responses = 0
        self._is_excessive = False

    @property
    def is_excessive(self) -> bool:
        """Return True if a limit has been exceeded."""
        return self._is_excessive

    def record_header(self) -> None:
        """Count a header."""
        self._bytes += HEADER_BYTES

    def record_response(self) -> None:
        """Count the head of a response that is no interim one."""
        self._responses += 1

    def record_body(self, size: int) -> None:
        """Subtract bytes of the body, and as many bytes of framing."""
        self._bytes = max(0, self._bytes - 2 * size)

    def record_received(self, size: int) -> None:
        """Count received bytes before they are parsed."""
        self._bytes += size

    def check(self) -> bool:
        """Return True if the overhead is excessive after the received bytes were parsed."""
        if self._bytes > MAX_OVERHEAD_BYTES or self._responses > MAX_RESPONSES:
            self._is_excessive = True
        return self._is_excessive
