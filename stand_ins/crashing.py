"""Fake upstreams that some requests crash, which ends all requests that run there."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Final

import gevent
from gevent import socket

from stand_ins.routed import ReceivedRequest, RoutedUpstream, Script, reset

CRASH_DELAY_S: Final = 0.1
"""Time from the start of a fatal request until its upstream crashes."""
HALF_EVENT: Final = b"id: 1\ndat"
REPLACEMENT_DELAY_S: Final = 1.2
"""Time until a crashed upstream is replaced by another one."""


class CrashingUpstream(RoutedUpstream):
    """A fake upstream that crashes soon after it has started to run a fatal request."""

    def __init__(
        self,
        upstream_id: str,
        default_script: Callable[[], Script],
        is_fatal: Callable[[ReceivedRequest], bool],
        on_crashed: Callable[[CrashingUpstream], None],
    ) -> None:
        """Start listening; `on_crashed` is called after a crash, which resets all connections."""
        super().__init__(upstream_id, default_script)
        self._is_fatal = is_fatal
        self._on_crashed = on_crashed
        self._connections: set[socket.socket] = set()
        self.is_down = False
        self.ends_inside_event = False
        """Whether a crash closes connections in the middle of an event; otherwise it resets them.
        """

    def record_request(self, seen: ReceivedRequest) -> None:
        """Record a request that is run here, and schedule a crash if it is fatal."""
        super().record_request(seen)
        if self._is_fatal(seen):
            gevent.spawn_later(CRASH_DELAY_S, self.crash)

    def crash(self) -> None:
        """Stop listening and end all connections."""
        if self.is_down:
            return
        self.is_down = True
        self.stop()
        for connection in self._connections:
            if self.ends_inside_event:
                _end_inside_event(connection)
            else:
                reset(connection)
        self._on_crashed(self)

    def _serve(self, raw: socket.socket, address: tuple[str, int]) -> None:
        """Serve one connection."""
        self._connections.add(raw)
        try:
            super()._serve(raw, address)
        finally:
            self._connections.discard(raw)


def _end_inside_event(connection: socket.socket) -> None:
    """Send the first half of an event, and close the connection without a reset."""
    with suppress(OSError):
        connection.sendall(HALF_EVENT)
        connection.shutdown(socket.SHUT_RDWR)


class CrashingFleet:
    """Upstreams of a service, in which each crashed one is replaced by another."""

    def __init__(
        self,
        count: int,
        default_script: Callable[[], Script],
        is_fatal: Callable[[ReceivedRequest], bool],
        *,
        on_joined: Callable[[CrashingUpstream], None],
        on_removed: Callable[[CrashingUpstream], None],
    ) -> None:
        """Start a number of upstreams.

        `on_joined` lists an upstream that has started, `on_removed` unlists one that has crashed.
        """
        self._default_script = default_script
        self._is_fatal = is_fatal
        self._on_joined = on_joined
        self._on_removed = on_removed
        self.all: list[CrashingUpstream] = []
        for _ in range(count):
            self._start()

    @property
    def crashed(self) -> list[CrashingUpstream]:
        """Return the upstreams that have crashed."""
        return [upstream for upstream in self.all if upstream.is_down]

    @property
    def seen(self) -> Iterable[ReceivedRequest]:
        """Return all requests that were run by any upstream."""
        return (seen for upstream in self.all for seen in upstream.seen)

    def stop(self) -> None:
        """Stop all upstreams."""
        for upstream in self.all:
            upstream.is_down = True
            upstream.stop()

    def _start(self) -> None:
        """Start an upstream and list it."""
        name = f"engine-{len(self.all) + 1}"
        upstream = CrashingUpstream(name, self._default_script, self._is_fatal, self._replace)
        self.all.append(upstream)
        peers = {peer.address: peer for peer in self.all if not peer.is_down}
        for member in self.all:
            member.peers = dict(peers)
        self._on_joined(upstream)

    def _replace(self, crashed: CrashingUpstream) -> None:
        """Schedule the removal of a crashed upstream and the start of another one."""
        gevent.spawn_later(REPLACEMENT_DELAY_S, self._on_removed, crashed)
        gevent.spawn_later(REPLACEMENT_DELAY_S, self._start)
