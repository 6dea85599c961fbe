"""Check request heads, which the server's parser reads leniently."""

from __future__ import annotations

from http.client import HTTPMessage
from typing import Any, Final

from driftstall.exceptions import MalformedHeadError, TruncatedHeadError

CHUNKED: Final = "chunked"


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


def check_framing(headers: HTTPMessage) -> None:
    """Raise MalformedHeadError for headers that do not frame the body in one known way.

    The server would take the body, or its rest, for the next request.
    """
    lengths = headers.get_all("Content-Length", [])
    codings = headers.get_all("Transfer-Encoding", [])
    if headers.defects:
        raise MalformedHeadError("a header line is malformed")
    if [coding.strip().lower() for coding in codings] not in ([], [CHUNKED]):
        raise MalformedHeadError("only the chunked transfer coding is known")
    if len(lengths) + len(codings) > 1:
        raise MalformedHeadError("the body has more than one framing")
