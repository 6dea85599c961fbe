"""Upstreams that frame responses in each way, and end some of them early."""

from __future__ import annotations

import random
import time
from dataclasses import replace
from enum import StrEnum
from typing import Any, Final

import gevent
from gevent import socket

from driftstall.gateway.ingress import CallerConnection, CallerRequest, encode_head
from soak.fleet import LAPSE_S, RecordingUpstream, UpstreamSlot
from soak.ledger import ENGINE_SERVICE, Arrival, Ledger, ResponseEnd
from soak.proxy import Proxy
from stand_ins.endings import (
    CALL_PIECES,
    EVENTS,
    Ending,
    EndingPlan,
    EndingUpstream,
    Framing,
    Place,
)
from stand_ins.routed import ReceivedRequest

HEALTH_PATH: Final = "/health"
TRUNCATED_SHARE: Final = 0.4
"""Share of the responses that end early while upstreams truncate responses."""
STREAM_PAUSE_S: Final = 0.055
"""Pause before each event of a stream, so that a whole one lasts longer than its backup takes."""
CLOSED_STREAM_SHARE: Final = 0.7
"""Share of the streams that end early after whole events, by the close of the connection: nothing
tells such an end from that of a whole stream without framing."""
PIECE_PAUSE_S: Final = 0.001
"""Pause before each piece of a response to a call."""
FLUSH_S: Final = 0.01
"""Time for the proxy to forward what was sent before the process ends."""
ODD_STATUSES: Final = (0, 99, 600, 999)
ODD_STATUS_SHARE: Final = 0.08
"""Share of the other responses that have one of these statuses meanwhile."""
AFTER_CLOSE_S: Final = 1.0
"""Time for which a process that closed a response early answers health checks as drawn."""
PROBE_PATHS: Final = (HEALTH_PATH, "/api/report")


FULL_SHARE: Final = 0.3
"""Share of the processes that have no room for copies."""


class NoCopies(dict[str, int]):
    """The copies of an engine that has no room for any."""

    def __setitem__(self, _: str, __: int) -> None:
        """Keep nothing."""


class HealthAnswer(StrEnum):
    """How a process answers probes after it has closed a response early."""

    WELL = "200"
    UNWELL = "503"
    NONE = "none"
    """The connection stays open."""


class TruncatingUpstream(EndingUpstream):
    """A stand-in whose framing and early ends are drawn at random."""

    def __init__(self, upstream_id: str, slot: TruncatingSlot, born: int) -> None:
        """Start to listen."""
        ledger = slot.ledger
        super().__init__(upstream_id, self._draw_plan)
        self.arrival_records = ledger.received[upstream_id]
        self._draw = random.Random(upstream_id)
        has_room = self._draw.random() >= FULL_SHARE
        if not has_room:
            self.copies = NoCopies()
        self.drops_copies = True
        self.report = {"state": "ready", "born": born}
        assert ledger.sent_pieces is not None
        self.sent = ledger.sent_pieces
        self._ledger = ledger
        self._slot = slot
        is_unframed = slot.place % 2 == 0
        if slot.service == ENGINE_SERVICE:
            is_unframed = is_unframed or ledger.is_engine_unframed
        self._framing = Framing.CLOSE if is_unframed else self._draw.choice(list(Framing))
        self._after_close = HealthAnswer.WELL
        self._closed_at = float("-inf")

    @property
    def _health(self) -> HealthAnswer:
        """Return how probes are answered now."""
        is_after = time.monotonic() < self._closed_at + AFTER_CLOSE_S
        return self._after_close if is_after else HealthAnswer.WELL

    def record_request(self, seen: ReceivedRequest) -> None:
        """Record the arrival of a request, and draw how its response ends."""
        now = time.monotonic()
        self._ledger.arrivals.append(
            Arrival(seen.request_id, self.upstream_id, seen.target, now, seen.is_resumed)
        )
        super().record_request(seen)

    def _draw_plan(self, seen: ReceivedRequest) -> EndingPlan:
        """Draw how the response to a request ends."""
        is_stream = seen.target.startswith("/stream/")
        pause_s = STREAM_PAUSE_S if is_stream else PIECE_PAUSE_S
        last = int(seen.headers.get("last-event-id") or 0)
        pieces = EVENTS - last if is_stream else CALL_PIECES
        is_truncating = self._slot.is_truncating and pieces > 1
        if is_truncating and self._draw.random() < ODD_STATUS_SHARE:
            status = self._draw.choice(ODD_STATUSES)
            self._ledger.truncations[f"status {status:03}"] += 1
            return EndingPlan(self._framing, pause_s=pause_s, status=status)
        if not is_truncating or self._draw.random() >= TRUNCATED_SHARE:
            return EndingPlan(self._framing, pause_s=pause_s)
        plan = EndingPlan.draw(self._draw, self._framing, pieces, pause_s=pause_s)
        if is_stream and self._draw.random() < CLOSED_STREAM_SHARE:
            ending = self._draw.choice((Ending.CLOSED, Ending.GONE_LATE))
            plan = replace(plan, ending=ending, place=Place.EVENT)
        self._ledger.truncations[f"{plan.framing}, {plan.ending}"] += 1
        return plan

    def _answer(
        self, raw: socket.socket, connection: CallerConnection, call: CallerRequest
    ) -> None:
        """Answer a health check with the id of this process, and other requests by their plans."""
        health = self._health
        if call.path in PROBE_PATHS and health is HealthAnswer.NONE:
            raw.settimeout(None)
            raw.recv(1)
            return
        if call.path != HEALTH_PATH and (
            call.path not in PROBE_PATHS or health is HealthAnswer.WELL
        ):
            super()._answer(raw, connection, call)
            return
        name = (b"X-Driftstall-Instance-Id", self.upstream_id.encode())
        connection.write(encode_head(int(health), (name,), (b"Content-Length: 0",)))

    def _end(
        self, raw: socket.socket, connection: CallerConnection, plan: EndingPlan, request_id: str
    ) -> None:
        """End a response by its plan, and record it."""
        now = time.monotonic()
        end = ResponseEnd(self.upstream_id, plan, now)
        self._ledger.response_ends[request_id].append(end)
        if plan.ending is not Ending.WHOLE:
            self._ledger.disturb(self.upstream_id, now, now)
        if end.is_early_close:
            self._after_close, self._closed_at = self._draw.choice(list(HealthAnswer)), now
        if plan.ending is Ending.RESTARTED:
            gevent.sleep(FLUSH_S)
            self._slot.restart_process(self)
            return
        super()._end(raw, connection, plan, request_id)

    def stop_responses(self) -> None:
        """Send and record nothing more of the open responses: the process has ended."""
        self.stopped.update(self._plans)

    def _stop_process(self) -> None:
        """End the process."""
        gevent.sleep(FLUSH_S)
        self._slot.end_process(self)
        super()._stop_process()


class TruncatingSlot(UpstreamSlot):
    """A place in a fleet whose upstreams end responses early."""

    truncates_until = float("-inf")
    """Time until which TRUNCATED_SHARE of the responses end early, by the monotonic clock."""

    @property
    def ledger(self) -> Ledger:
        """Return the record of the run."""
        return self._ledger

    @property
    def is_truncating(self) -> bool:
        """Return True if some responses end early now."""
        return time.monotonic() < self.truncates_until

    def _create_upstream(self, name: str) -> RecordingUpstream:
        """Create an upstream."""
        upstream: Any = TruncatingUpstream(name, self, self._born)
        return upstream  # type: ignore[no-any-return]

    def truncate(self, for_s: float) -> None:
        """Let all upstreams of the service end some responses early for some seconds."""
        for slot in self.all:
            assert isinstance(slot, TruncatingSlot)
            slot.truncates_until = time.monotonic() + for_s

    def _record_end(self, upstream_id: str) -> None:
        """Record that the process of an upstream ends now."""
        super()._record_end(upstream_id)
        self._ledger.process_ends.setdefault(upstream_id, time.monotonic())

    def end_process(self, old: TruncatingUpstream) -> None:
        """End an upstream's process: its port refuses, and its connections close in order."""
        proxy = self._proxies.pop(old.upstream_id, None)
        if not isinstance(proxy, Proxy):
            return
        self._record_end(old.upstream_id)
        old.stop_responses()
        proxy.end_target()
        if self.upstream is old:
            gevent.spawn(self._start_new)
            gevent.spawn_later(LAPSE_S, self._delete, old.upstream_id)

    def restart_process(self, old: TruncatingUpstream) -> None:
        """Replace an upstream's process by another one at its address, with another id."""
        proxy = self._proxies.get(old.upstream_id)
        if self.upstream is not old or not isinstance(proxy, Proxy):
            self.end_process(old)
            return
        del self._proxies[old.upstream_id]
        self._record_end(old.upstream_id)
        old.stop_responses()
        self._born += 1
        name = f"{self.service}-{self.place}-{next(self._starts)}"
        self._ledger.services[name] = self.service
        self.upstream = self._create_upstream(name)
        self._proxies[name] = proxy
        proxy.replace_target(self.upstream.address)
        self.connect_peers()
        gevent.spawn(self._write, name, self._spec("ready"))
        gevent.spawn_later(LAPSE_S, self._delete, old.upstream_id)
        gevent.spawn_later(LAPSE_S, old.stop)
