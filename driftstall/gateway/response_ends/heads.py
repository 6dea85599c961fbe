"""Detect response heads that are not the head of one response.

An upstream that stops inside a head and then sends another response leaves bytes that parse as one
head: the status and first headers of one response with the framing and body of another. A line
that lost its end becomes part of the field before it, and a response that lost its framing in this
way would be taken for one that ends with its connection.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Final

STATUS_LINE: Final = re.compile(rb"HTTP/\d\.\d [1-9]\d\d(?: |\Z)")
FRAMING_FIELD: Final = re.compile(rb"(?:content-length|transfer-encoding)[ \t]*:", re.IGNORECASE)


def contains_status_line(reason: bytes, values: Iterable[bytes]) -> bool:
    """Return True if a reason phrase or a header value contains the start of another response."""
    return any(STATUS_LINE.search(text) is not None for text in (reason, *values))


def contains_framing_field(reason: bytes, values: Iterable[bytes]) -> bool:
    """Return True if a reason phrase or a header value contains a header that frames the body."""
    return any(FRAMING_FIELD.search(text) is not None for text in (reason, *values))
