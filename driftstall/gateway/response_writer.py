"""Write the response to one request of a caller."""

from __future__ import annotations

from typing import Final

from driftstall.gateway.ingress import SMALL_WRITE_BYTES, CallerConnection, DisconnectWatch

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

    def write_response(self, head: bytes, body: bytes | bytearray) -> bool:
        """Write a head and a body, without a copy of a large body."""
        if len(body) <= SMALL_WRITE_BYTES:
            return self.write(head + body)
        return self.write(head) and self.write(body)

    def watch_disconnect(self) -> DisconnectWatch:
        """Return a watch that detects a disconnect of the caller."""
        return self._connection.watch_disconnect()
