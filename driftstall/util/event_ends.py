"""Find the ends of server-sent events in a stream that arrives in pieces.

A line ends with LF, CRLF or CR, and an event with an empty line (WHATWG HTML, 9.2.5).
"""

from __future__ import annotations

import re
from typing import Final

EMPTY_LINE: Final = re.compile(rb"\n\n|\r\r|\n\r\n|\n\r(?=[^\n])")
"""The line ends of a line and of the empty one after it. A CR after LF is the first half of CRLF
until another byte follows. An event ends at once with two CRs, since no byte may follow the last
event of a stream whose lines end with CR; an LF that follows them belongs to the second CR."""
MAX_UNDECIDED_BYTES: Final = 2
"""Bytes at the end of a piece that may begin an empty line."""
LF: Final = b"\n"
CR: Final = b"\r"


def find_event_end(buffer: bytes | bytearray, start: int = 0, searched_to: int = 0) -> int | None:
    """Return the position after the first event that begins at start, or None if it is not whole.

    Up to the position searched_to, an earlier search has found no end.
    """
    found = EMPTY_LINE.search(buffer, max(start, searched_to - MAX_UNDECIDED_BYTES))
    return None if found is None else found.end()
