"""Writes that never wait, to descriptors that other processes may share.

O_NONBLOCK belongs to the open file description, so setting it on standard output would also make
the writes of other processes fail. A pipe or a terminal is therefore opened once more, with a
description of its own; a socket is told with each send. A file never makes a write wait.
"""

from __future__ import annotations

import fcntl
import os
import stat
from typing import Final, Protocol

from gevent.monkey import get_original

DESCRIPTOR_PATH: Final = "/proc/self/fd/{}"


class NonblockingWriter(Protocol):
    """A descriptor that is written without waiting."""

    def write(self, data: bytes) -> int:
        """Write what fits at once, and return its size; raise OSError if nothing does."""


class _DescriptorWriter:
    """Write to a descriptor whose own description does not block."""

    def __init__(self, descriptor: int) -> None:
        """Initialize with the descriptor."""
        self._descriptor = descriptor

    def write(self, data: bytes) -> int:
        """Write what fits at once."""
        return os.write(self._descriptor, data)


class _SocketWriter:
    """Write to a socket, without waiting in this process alone."""

    def __init__(self, descriptor: int) -> None:
        """Initialize with the descriptor of a socket."""
        native = get_original("socket", "socket")
        self._socket = native(fileno=os.dup(descriptor))
        self._flags = get_original("socket", "MSG_DONTWAIT")

    def write(self, data: bytes) -> int:
        """Send what fits at once."""
        return int(self._socket.send(data, self._flags))


def open_nonblocking(descriptor: int) -> NonblockingWriter:
    """Return a writer for a descriptor that may be shared."""
    mode = os.fstat(descriptor).st_mode
    if stat.S_ISSOCK(mode):
        return _SocketWriter(descriptor)
    if stat.S_ISREG(mode):
        return _DescriptorWriter(descriptor)
    try:
        own = os.open(DESCRIPTOR_PATH.format(descriptor), os.O_WRONLY | os.O_NONBLOCK)
    except OSError:
        # A stalled log must not stall this process, even if others share the description.
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)
        return _DescriptorWriter(descriptor)
    return _DescriptorWriter(own)
