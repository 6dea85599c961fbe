"""Stand in for upstreams that some requests crash: the process ends with all that runs there."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

import gevent
from gevent import socket

from stand_ins.routed import ReceivedRequest, RoutedUpstream, Script, reset

CRASH_DELAY_S: Final = 0.1
"""Time from when a request begins to run until its upstream ends."""
REPLACEMENT_DELAY_S: Final = 1.2
"""Time until another upstream takes the place of one that has crashed."""


class CrashingUpstream(RoutedUpstream):
    """Serve as a stand-in that ends soon after it has begun to run some requests."""

    def __init__(
        self,
        upstream_id: str,
        default_script: Callable[[], Script],
        is_fatal: Callable[[ReceivedRequest], bool],
        crashed: Callable[[CrashingUpstream], None],
    ) -> None:
        """Start to listen; crashed is told of the end, which all connections notice."""
        super().__init__(upstream_id, default_script)
        self._is_fatal = is_fatal
        self._on_crashed = crashed
        self._open: set[socket.socket] = set()
        self.is_down = False

    def record_request(self, seen: ReceivedRequest) -> None:
        """Keep a request that is run here, and end of it if it is fatal."""
        super().record_request(seen)
        if self._is_fatal(seen):
            gevent.spawn_later(CRASH_DELAY_S, self.crash)

    def crash(self) -> None:
        """End with all that runs here."""
        if self.is_down:
            return
        self.is_down = True
        self.stop()
        for one in self._open:
            reset(one)
        self._on_crashed(self)

    def _serve(self, raw: socket.socket, address: tuple[str, int]) -> None:
        """Serve one connection."""
        self._open.add(raw)
        try:
            super()._serve(raw, address)
        finally:
            self._open.discard(raw)


class CrashingFleet:
    """Hold upstreams of one service; another one comes for each that has crashed."""

    def __init__(
        self,
        count: int,
        default_script: Callable[[], Script],
        is_fatal: Callable[[ReceivedRequest], bool],
        *,
        on_joined: Callable[[CrashingUpstream], None],
        on_removed: Callable[[CrashingUpstream], None],
    ) -> None:
        """Start so many; joined lists one that has come, lapsed takes off one that has crashed."""
        self._default_script = default_script
        self._is_fatal = is_fatal
        self._on_joined = on_joined
        self._on_removed = on_removed
        self.all: list[CrashingUpstream] = []
        for _ in range(count):
            self._start()

    @property
    def crashed(self) -> list[CrashingUpstream]:
        """Return those that have crashed."""
        return [one for one in self.all if one.is_down]

    @property
    def seen(self) -> Iterable[ReceivedRequest]:
        """Return all requests that were run."""
        return (seen for one in self.all for seen in one.seen)

    def stop(self) -> None:
        """Stop all."""
        for one in self.all:
            one.is_down = True
            one.stop()

    def _start(self) -> None:
        """Start one and list it."""
        name = f"engine-{len(self.all) + 1}"
        upstream = CrashingUpstream(name, self._default_script, self._is_fatal, self._replace)
        self.all.append(upstream)
        peers = {one.address: one for one in self.all if not one.is_down}
        for one in self.all:
            one.peers = dict(peers)
        self._on_joined(upstream)

    def _replace(self, crashed: CrashingUpstream) -> None:
        """Have another one come for one that has crashed."""
        gevent.spawn_later(REPLACEMENT_DELAY_S, self._on_removed, crashed)
        gevent.spawn_later(REPLACEMENT_DELAY_S, self._start)
