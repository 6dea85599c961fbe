"""A connection to an upstream through a peer.

Bytes to the upstream pass unchanged. Bytes from it are framed, each frame with its length in front;
an empty frame marks the end of the upstream's connection, and nothing follows it. A response may be
framed by the end of its connection alone, so any other end of a tunnel is an error.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import Final

from gevent import socket

FRAME_HEADER: Final = struct.Struct(">I")
MAX_FRAME_BYTES: Final = 65_536
END_FRAME: Final = FRAME_HEADER.pack(0)


def encode_frame(data: bytes) -> bytes:
    """Return some bytes of the upstream as a frame."""
    return FRAME_HEADER.pack(len(data)) + data


class TunnelConnection:
    """The near end of a tunnel, with the methods of a socket that an exchange uses."""

    def __init__(self, connection: socket.socket, on_close: Callable[[], None]) -> None:
        """Initialize with the connection to the peer, on which the tunnel is open."""
        self._connection = connection
        self._on_close = on_close
        self._is_closed = False
        self._is_end_marked = False
        """Whether the end mark has arrived; the end of the tunnel has to follow."""
        self._has_ended = False
        self._buffer = bytearray()
        """Received bytes that were not returned yet, from the rest of the current frame on."""
        self._frame_bytes = 0
        """Bytes of the current frame that were not returned yet; zero before a frame's header."""

    def fileno(self) -> int:
        """Return the file descriptor of the connection to the peer."""
        return self._connection.fileno()

    def settimeout(self, timeout_s: float | None) -> None:
        """Set the timeout of the following calls."""
        self._connection.settimeout(timeout_s)

    def sendall(self, data: bytes) -> None:
        """Send all bytes."""
        self._connection.sendall(data)

    def send(self, data: memoryview) -> int:
        """Send some bytes; return their number."""
        return int(self._connection.send(data))

    def recv(self, size: int) -> bytes:
        """Return bytes of the upstream; empty at the end of its connection.

        Raises ConnectionResetError if the tunnel ends before the upstream's connection.
        """
        while not self._has_ended:
            if not self._frame_bytes and not self._is_end_marked:
                self._read_header()
            if self._is_end_marked and self._buffer:
                raise ConnectionResetError("bytes follow the end mark of the tunnel")
            if self._frame_bytes and self._buffer:
                return self._take(min(size, self._frame_bytes))
            self._fill()
        return b""

    def close(self) -> None:
        """Close the tunnel; the peer then closes its connection to the upstream."""
        if not self._is_closed:
            self._is_closed = True
            self._on_close()
        self._connection.close()

    def _read_header(self) -> None:
        """Read the header of the next frame, if it has arrived."""
        if len(self._buffer) < FRAME_HEADER.size:
            return
        (self._frame_bytes,) = FRAME_HEADER.unpack(self._buffer[: FRAME_HEADER.size])
        del self._buffer[: FRAME_HEADER.size]
        if self._frame_bytes > MAX_FRAME_BYTES:
            raise ConnectionResetError("a frame of the tunnel is too long")
        self._is_end_marked = self._frame_bytes == 0

    def _take(self, size: int) -> bytes:
        """Remove and return up to `size` bytes of the current frame."""
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        self._frame_bytes -= len(data)
        return data

    def _fill(self) -> None:
        """Receive more bytes from the peer, or the end of the tunnel."""
        data = self._connection.recv(MAX_FRAME_BYTES)
        if not data and not self._is_end_marked:
            raise ConnectionResetError("the tunnel ended early")
        self._has_ended = not data
        self._buffer += data
