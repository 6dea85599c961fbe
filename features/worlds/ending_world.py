"""Run one gateway whose engines frame their streams and end them by plans."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Final

import gevent
from gevent import socket
from gevent.event import AsyncResult

from driftstall.decisions.sends import BACKUP_READY_AFTER_S
from driftstall.gateway.loads import Use
from driftstall.gateway.model import Upstream
from features.worlds.gateway_world import (
    WAIT_S,
    GatewayWorld,
    Received,
    parse_answer,
    request_bytes,
    wait_for,
)
from stand_ins.endings import EVENTS, Ending, EndingPlan, EndingUpstream, Framing
from stand_ins.routed import ReceivedRequest, RoutedUpstream, event_bytes

DEADLINE_MS: Final = 3_000
SILENT_DEADLINE_MS: Final = 700
"""Deadline of the callers of a silent upstream, which ends their streams no sooner."""
COPIED_EVENTS: Final = 2
"""Events of a run after which its backup becomes ready."""
ALL_EVENTS: Final = b"".join(event_bytes(number) for number in range(1, EVENTS + 1))


@dataclass(slots=True)
class StreamCaller:
    """A caller that reads a stream as it arrives."""

    connection: socket.socket
    data: bytes = b""
    received: AsyncResult = field(default_factory=AsyncResult)

    @classmethod
    def send(
        cls, connection: socket.socket, request_id: str, deadline_ms: int, version: str = "1.1"
    ) -> StreamCaller:
        """Send the request of a stream, and read its response from another greenlet."""
        more = {"X_Driftstall_Deadline_Ms": str(deadline_ms)}
        request = request_bytes("/stream/a", request_id, **more)
        connection.sendall(request.replace(b"HTTP/1.1", b"HTTP/" + version.encode(), 1))
        caller = cls(connection)
        gevent.spawn(caller._read)
        return caller

    def has_event(self, number: int) -> bool:
        """Return True if an event has arrived."""
        return event_bytes(number) in self.data

    def _read(self) -> None:
        """Read until the connection is closed."""
        self.connection.settimeout(None)
        is_closed = True
        try:
            while piece := self.connection.recv(65_536):
                self.data += piece
        except ConnectionError:
            is_closed = False
        self.connection.close()
        self.received.set(parse_answer(self.data, is_closed=is_closed))


class EndingWorld(GatewayWorld):
    """A gateway whose engines answer each run of a stream by the next of its plans."""

    def __init__(self) -> None:
        """Start a gateway, and replace its engines."""
        super().__init__()
        self.plans: list[EndingPlan] = []
        """Plans of the runs, in their order; later runs are whole."""
        self.whole_framing = Framing.CHUNKED
        """Framing of the runs without a plan."""
        self.has_backups = True
        self._sent_by_run = 0
        self.reads_events = True
        self.deadline_ms = DEADLINE_MS
        self.http_version = "1.1"
        """Version of HTTP of the callers."""
        self.caller: StreamCaller | None = None
        self.ending_engines = [
            EndingUpstream(engine.upstream_id, self._take_plan) for engine in self.engines
        ]
        for engine in self.engines:
            engine.stop()
        self.engines = list(self.ending_engines)
        for engine in self.ending_engines:
            engine.peers = {other.address: other for other in self.engines}
            engine.report["born"] = 1
            engine.on_sent = self._handle_sent
        self.list_upstreams()

    def entry(self, upstream: RoutedUpstream) -> Upstream:
        """Return the platform's entry of an upstream, with its start."""
        return replace(super().entry(upstream), born=1)

    def stream(self, request_id: str, *, reads_events: bool = True) -> Received:
        """Send a stream, and return its response; with reads_events it is no error response."""
        self.reads_events = reads_events
        if not self.has_backups:
            full = [Use(self.entry(each).upstream_id, copies=30_000) for each in self.engines]
            self.state.loads.record_peer("peer", full, self.state.now())
        is_silent = any(plan.ending is Ending.SILENT for plan in self.plans)
        deadline_ms = SILENT_DEADLINE_MS if is_silent else self.deadline_ms
        self.caller = StreamCaller.send(self.connect(), request_id, deadline_ms, self.http_version)
        received: Received = self.caller.received.get(timeout=WAIT_S)
        return received

    def _take_plan(self, _: ReceivedRequest) -> EndingPlan:
        """Return the plan of the next run."""
        self._sent_by_run = 0
        return self.plans.pop(0) if self.plans else EndingPlan(self.whole_framing)

    def _handle_sent(self, request_id: str, number: int) -> None:
        """Wait until an event has reached its caller, and let the backups become ready."""
        caller = self.caller
        if not self.reads_events:
            return
        assert caller is not None
        wait_for(f"event {number} has arrived", lambda: caller.has_event(number))
        self._sent_by_run += 1
        if self.has_backups and self._sent_by_run == COPIED_EVENTS:
            self.pass_time(BACKUP_READY_AFTER_S)
