"""Check request heads, which the server's parser reads leniently."""

from __future__ import annotations

from typing import Any

from driftstall.exceptions import TruncatedHeadError


class HeadReader:
    """Read the lines of a head; the server's parser takes the end of the connection for its end."""

    def __init__(self, source: Any) -> None:
        """Initialize with the buffered bytes of the connection."""
        self._source = source

    def readline(self, size: int) -> bytes:
        """Return the next line of up to `size` bytes; raise TruncatedHeadError if it is cut."""
        line = bytes(self._source.readline(size))
        if len(line) < size and not line.endswith(b"\n"):
            raise TruncatedHeadError("the request's head ended early")
        return line
