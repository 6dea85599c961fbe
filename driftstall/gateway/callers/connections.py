"""Bound the open connections of a listener, so that descriptors remain for all else."""

from __future__ import annotations

import resource
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from gevent import socket
from gevent.server import StreamServer

from driftstall.gateway.ingress import CallerConnection
from driftstall.util.addresses import split_address

BACKLOG: Final = 512
"""Connections that may wait to be accepted; a full queue delays callers by seconds."""
ACCEPT_BATCH: Final = 8
"""Connections accepted before others are closed for them."""
CALLER_SHARE: Final = 3 / 8
"""Share of the descriptors for callers: each request takes one more for its upstream, and a quarter
remains for the other listeners, peers and the store."""
AUXILIARY_SHARE: Final = 1 / 32
MIN_AUXILIARY_CONNECTIONS: Final = 16


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Hold the largest number of connections of each kind of listener."""

    callers: int
    auxiliary: int

    @classmethod
    def from_max_fds(cls, max_fds: int) -> ConnectionLimits:
        """Return the limits for a number of descriptors; zero for that of the process alone."""
        own = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        usable = min(max_fds or own, own)
        auxiliary = max(MIN_AUXILIARY_CONNECTIONS, int(usable * AUXILIARY_SHARE))
        return cls(callers=max(1, int(usable * CALLER_SHARE)), auxiliary=auxiliary)


class ConnectionTable:
    """Hold the open connections of one listener."""

    def __init__(self, max_connections: int, on_evicted: Callable[[], None]) -> None:
        """Start empty; the function is called for each connection that is closed for another."""
        self._max_connections = max_connections
        self._on_evicted = on_evicted
        self._open: dict[CallerConnection, None] = {}

    def add(self, connection: CallerConnection) -> bool:
        """Add a connection; at the limit close the idle one that has waited longest for it.

        Returns False if all others are being served.
        """
        if len(self._open) >= self._max_connections:
            self._on_evicted()
            waiting = [each for each in self._open if not each.is_served]
            if not waiting:
                return False
            evicted = min(waiting, key=lambda each: each.eviction_order)
            del self._open[evicted]
            evicted.evict()
        self._open[connection] = None
        return True

    def remove(self, connection: CallerConnection) -> None:
        """Remove a connection that has ended, unless it was evicted before."""
        self._open.pop(connection, None)


def make_server(address: str, serve: Callable[[socket.socket, object], None]) -> StreamServer:
    """Return a server that gives others a turn after few connections."""
    server = StreamServer(split_address(address), serve, backlog=BACKLOG)
    server.max_accept = ACCEPT_BATCH
    return server
