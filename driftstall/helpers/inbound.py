"""Limits on what open connections may hold: descriptors, bytes, and time for one message."""

from __future__ import annotations

import io
import math
import resource
from typing import Any, Final

import gevent

from driftstall.exceptions import InboundOverloadError, InboundTooLongError
from driftstall.util import clock

TURN_BYTES: Final = 16_384
"""Bytes that a connection receives before other greenlets run: its peer may send without a pause,
and then no receive call ever waits."""
MAX_ACCEPTED_AT_ONCE: Final = 16
"""Connections that a listener accepts before the limit of connections applies to them."""


def connections_within_descriptors(share: float, max_fds: int = 0) -> float:
    """Return how many connections use at most a share of the descriptors.

    These are those of the process, or of the settings if they name fewer; zero for none named.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    own = math.inf if soft == resource.RLIM_INFINITY else soft
    usable = min(own, max_fds or math.inf)
    return usable if usable == math.inf else max(1, int(usable * share))


class InboundLimits:
    """Bound the connections of a listener, and the bytes that they hold together."""

    def __init__(self, max_connections: float, max_held_bytes: int) -> None:
        """Initialize with the limits."""
        self._max_connections = max_connections
        self._max_held_bytes = max_held_bytes
        self._held_bytes = 0
        self._open: set[Inbound] = set()

    @property
    def held_bytes(self) -> int:
        """Return the bytes that all connections hold."""
        return self._held_bytes

    def admit(self, inbound: Inbound) -> bool:
        """Add a connection; return False if there is no room.

        At the limit the connection that has waited longest for its peer is closed, and one whose
        peer has authenticated itself only if there is no other.
        """
        if len(self._open) >= self._max_connections:
            waiting = [each for each in self._open if each.is_waiting]
            if not waiting:
                return False
            self._evict(min(waiting, key=lambda each: (each.is_trusted, each.expected_at)))
        self._open.add(inbound)
        return True

    def remove(self, inbound: Inbound) -> None:
        """Remove a connection with the bytes that it holds."""
        self.release(inbound)
        self._open.discard(inbound)

    def hold(self, inbound: Inbound, size: int) -> None:
        """Count more bytes for a connection; raise InboundOverloadError if there is no room.

        At the limit the connection that holds most of an unfinished message is closed, and one
        whose peer has authenticated itself only if there is no other.
        """
        self._held_bytes += size
        inbound.held_bytes += size
        while self._held_bytes > self._max_held_bytes:
            unfinished = [each for each in self._open if each.is_waiting and each.held_bytes]
            largest = max(
                [*unfinished, inbound], key=lambda each: (not each.is_trusted, each.held_bytes)
            )
            if largest is inbound:
                raise InboundOverloadError("open connections hold as many bytes as they may")
            self._evict(largest)

    def release(self, inbound: Inbound) -> None:
        """Count no bytes for a connection any more."""
        self._held_bytes -= inbound.held_bytes
        inbound.held_bytes = 0

    def _evict(self, inbound: Inbound) -> None:
        """Close a connection whose message is unfinished."""
        self.remove(inbound)
        inbound.close()


class Inbound:
    """An accepted connection, with a limit on the bytes and the time of each message."""

    def __init__(self, connection: Any, limits: InboundLimits, farewell: bytes = b"") -> None:
        """Initialize with the socket; farewell is sent if the connection is closed for others."""
        self._connection = connection
        self._limits = limits
        self._farewell = farewell
        self._idle_s = 0.0
        self._within_s = 0.0
        self._deadline: float | None = None
        self._max_bytes = math.inf
        self._received = 0
        self._since_turn = 0
        self._can_refuse = True
        self._is_waiting = False
        self._expected_at = 0.0
        self.held_bytes = 0
        self.is_trusted = False
        """Whether the peer has authenticated itself."""

    @property
    def is_waiting(self) -> bool:
        """Return True while a receive call waits for the peer."""
        return self._is_waiting

    @property
    def expected_at(self) -> float:
        """Return the time from which the message is expected."""
        return self._expected_at

    def expect(self, idle_s: float, within_s: float, max_bytes: float = math.inf) -> None:
        """Expect a message: its first byte within idle_s, all of it within_s after that."""
        self._expected_at = clock.now()
        self._idle_s, self._within_s = idle_s, within_s
        self._max_bytes = max_bytes
        self._received = 0
        self._can_refuse = True
        self._deadline = None

    def receive_into(self, buffer: Any) -> int:
        """Receive bytes of the expected message; return their number, 0 at the end.

        Raises TimeoutError, InboundTooLongError, or OSError if the connection is closed.
        """
        now = clock.now()
        left_s = self._idle_s if self._deadline is None else self._deadline - now
        if left_s <= 0:
            raise TimeoutError("the message takes too long")
        self._connection.settimeout(left_s)
        self._is_waiting = True
        try:
            count = int(self._connection.recv_into(buffer))
        finally:
            self._is_waiting = False
            # Responses are sent with this timeout.
            self._connection.settimeout(self._idle_s)
        if self._deadline is None:
            self._deadline = clock.now() + self._within_s
        self._received += count
        if self._received > self._max_bytes:
            raise InboundTooLongError("the message is too long")
        self._give_turn(count)
        return count

    def hold(self, size: int) -> None:
        """Count bytes that are kept; raises InboundOverloadError."""
        self._limits.hold(self, size)

    def release(self) -> None:
        """Count no bytes any more."""
        self._limits.release(self)

    def begin_response(self) -> None:
        """Send no farewell any more, as a response to the message has begun."""
        self._can_refuse = False

    def close(self) -> None:
        """Close the connection, after the farewell if a message has begun."""
        if self._received and self._can_refuse:
            self.send_farewell()
        self._connection.close()

    def send_farewell(self) -> None:
        """Send the farewell if that can be done at once."""
        try:
            self._connection.settimeout(0.0)
            self._connection.send(self._farewell)
        except OSError:
            # The peer has closed the connection, or reads nothing.
            return

    def _give_turn(self, count: int) -> None:
        """Let other greenlets run after TURN_BYTES."""
        self._since_turn += count
        if self._since_turn >= TURN_BYTES:
            self._since_turn = 0
            gevent.sleep(0)


class InboundStream(io.RawIOBase):
    """The bytes of a connection, for a buffered reader."""

    def __init__(self, inbound: Inbound) -> None:
        """Initialize with the connection."""
        self._inbound = inbound

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Any) -> int:
        """Receive bytes into a buffer."""
        return self._inbound.receive_into(buffer)


def open_stream(inbound: Inbound) -> io.BufferedReader:
    """Return a buffered reader of a connection."""
    return io.BufferedReader(InboundStream(inbound))
