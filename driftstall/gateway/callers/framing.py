"""How the response to a caller is framed."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import Final

from driftstall.gateway.ingress import encode_chunk
from driftstall.gateway.response_ends.framing import ResponseFraming

CLOSE_HEADER: Final = b"Connection: close"
KEEP_ALIVE_HEADER: Final = b"Connection: keep-alive"


@dataclass(frozen=True, slots=True)
class LengthFraming:
    """The length of the body is stated before it."""

    body_bytes: int
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class EmptyFraming:
    """There is no body, and its length is not stated: RFC 9110 (8.6) forbids that with status 204.

    In a response to HEAD or with status 304 it would be the length of another response.
    """

    keep_alive: bool


@dataclass(frozen=True, slots=True)
class ChunkedFraming:
    """The body is sent in chunks, and the last one states that it is whole."""

    keep_alive: bool


@dataclass(frozen=True, slots=True)
class CloseFraming:
    """The body ends with the connection, which states nothing about whether it is whole."""


CallerFraming = LengthFraming | EmptyFraming | ChunkedFraming | CloseFraming


@singledispatch
def framing_headers(framing: object) -> tuple[bytes, ...]:
    """Return the header lines for a framing and for what becomes of the connection."""
    raise TypeError(f"no framing: {framing!r}")


@framing_headers.register
def _(framing: LengthFraming) -> tuple[bytes, ...]:
    """Return the length of the body."""
    return b"Content-Length: %d" % framing.body_bytes, _connection_header(framing.keep_alive)


@framing_headers.register
def _(framing: EmptyFraming) -> tuple[bytes, ...]:
    """Return only what becomes of the connection."""
    return (_connection_header(framing.keep_alive),)


@framing_headers.register
def _(framing: ChunkedFraming) -> tuple[bytes, ...]:
    """Return the transfer coding."""
    return b"Transfer-Encoding: chunked", _connection_header(framing.keep_alive)


@framing_headers.register
def _(framing: CloseFraming) -> tuple[bytes, ...]:
    """Return that the connection ends with the body."""
    return (CLOSE_HEADER,)


@singledispatch
def encode_piece(framing: object, data: bytes) -> bytes:
    """Return a piece of the body as it is sent."""
    return data


@encode_piece.register
def _(framing: ChunkedFraming, data: bytes) -> bytes:
    """Return a chunk."""
    return encode_chunk(data)


def stream_framing(
    received: ResponseFraming, *, accepts_chunks: bool, keep_alive: bool
) -> CallerFraming:
    """Return the framing of a stream, by that of its first run's response.

    It is in chunks only if that response is framed, and the caller knows that coding.
    """
    if received is ResponseFraming.EMPTY:
        return EmptyFraming(keep_alive)
    if received is ResponseFraming.CLOSE or not accepts_chunks:
        return CloseFraming()
    return ChunkedFraming(keep_alive)


def _connection_header(keep_alive: bool) -> bytes:
    """Return the header that states whether the connection is kept."""
    return KEEP_ALIVE_HEADER if keep_alive else CLOSE_HEADER
