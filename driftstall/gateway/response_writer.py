"""Write the response to one request of a caller."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Final

from driftstall.gateway.callers.framing import (
    CallerFraming,
    ChunkedFraming,
    CloseFraming,
    EmptyFraming,
    LengthFraming,
    encode_piece,
    framing_headers,
)
from driftstall.gateway.ingress import (
    LAST_CHUNK,
    SMALL_WRITE_BYTES,
    CallerConnection,
    DisconnectWatch,
    encode_head,
)
from driftstall.gateway.model import Headers

HEAD_END: Final = b"\r\n\r\n"


class ResponseWriter:
    """Write the response to one request, and record whether any of it may have been sent."""

    def __init__(self, connection: CallerConnection, *, is_for_head: bool = False) -> None:
        """Initialize with the connection that the request came on, and whether that is HEAD."""
        self._connection = connection
        self._is_for_head = is_for_head
        self._has_begun = False

    @property
    def has_begun(self) -> bool:
        """Return True if a part of the response may have been sent."""
        return self._has_begun

    def write(self, data: bytes | bytearray) -> bool:
        """Write to the caller; return False if it has disconnected.

        The first write has the whole head. A response to HEAD ends with it.
        """
        if self._is_for_head:
            if self._has_begun:
                return True
            data = data[: data.index(HEAD_END) + len(HEAD_END)]
        self._has_begun = True
        return self._connection.write(data)

    def begin(self, status: int, headers: Headers, framing: CallerFraming) -> bool:
        """Write the head of a response; return False if the caller has disconnected."""
        return self.write(self._encode_head(status, headers, framing))

    def write_piece(self, framing: CallerFraming, data: bytes) -> bool:
        """Write a piece of the body; return False if the caller has disconnected."""
        return self.write(encode_piece(framing, data))

    def write_whole(
        self, status: int, headers: Headers, framing: CallerFraming, body: bytes | bytearray
    ) -> bool:
        """Write a response whose body needs no coding; return whether the connection is kept.

        A large body is not copied.
        """
        head = self._encode_head(status, headers, framing)
        if len(body) <= SMALL_WRITE_BYTES:
            return self.write(head + body) and self.finish(framing)
        return self.write(head) and self.write(body) and self.finish(framing)

    def _encode_head(self, status: int, headers: Headers, framing: CallerFraming) -> bytes:
        """Return the head of a response, and prepare the connection for its end."""
        if isinstance(framing, CloseFraming):
            self._connection.reset_when_closed()
        return encode_head(status, headers, framing_headers(framing))

    @singledispatchmethod
    def finish(self, framing: object) -> bool:
        """State the end of the response; return whether the connection is kept."""
        raise TypeError(f"no framing: {framing!r}")

    @finish.register
    def _(self, framing: LengthFraming) -> bool:
        """State nothing more: the length was stated before the body."""
        return framing.keep_alive

    @finish.register
    def _(self, framing: EmptyFraming) -> bool:
        """State nothing more: there is no body."""
        return framing.keep_alive

    @finish.register
    def _(self, framing: ChunkedFraming) -> bool:
        """Write the last chunk."""
        return self.write(LAST_CHUNK) and framing.keep_alive

    @finish.register
    def _(self, framing: CloseFraming) -> bool:
        """Close the connection in order."""
        self._connection.close_in_order()
        return False

    def watch_disconnect(self) -> DisconnectWatch:
        """Return a watch that detects a disconnect of the caller."""
        return self._connection.watch_disconnect()
