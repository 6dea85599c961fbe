"""How a response is framed, and how it ended."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from http import HTTPStatus
from typing import Final

BODYLESS: Final = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})


class ResponseFraming(StrEnum):
    """How the headers of a response frame its body."""

    UNKNOWN = "unknown"
    """The head has not arrived."""
    LENGTH = "length"
    CHUNKED = "chunked"
    """Framed by its transfer coding."""
    EMPTY = "empty"
    """The status or the method of the request allows no body, whatever the headers say."""
    CLOSE = "close"
    """Neither a length nor a transfer coding: the body ends with its connection."""

    @classmethod
    def from_head(cls, status: int, names: Iterable[bytes]) -> ResponseFraming:
        """Return the framing of a response with a status and header names in lower case."""
        if status in BODYLESS:
            return cls.EMPTY
        present = frozenset(names)
        if b"transfer-encoding" in present:
            return cls.CHUNKED
        return cls.LENGTH if b"content-length" in present else cls.CLOSE


class ResponseEndCause(StrEnum):
    """How the reading of a response ended."""

    COMPLETE = "complete"
    """Its framing states that it is whole."""
    CLOSED = "closed"
    """The connection was closed in order: a truncated response, unless it is framed by that."""
    RESET = "reset"
    """The connection broke."""
    MALFORMED = "malformed"
    ABANDONED = "abandoned"
    """This instance closed the connection first: after a timeout, or for its caller."""
