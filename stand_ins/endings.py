"""Fake upstreams that frame a response in each way, and end it in each way."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

import gevent
from gevent import socket

from driftstall.gateway.ingress import CallerConnection, encode_chunk, encode_head
from stand_ins.raw import RawEnding, RawResponse
from stand_ins.routed import (
    SEAL,
    STREAM_TYPE,
    ReceivedRequest,
    RoutedUpstream,
    Script,
    event_bytes,
    reset,
)

EVENTS: Final = 20
BODY: Final = bytes(range(97, 117)) * 25
"""Body of a whole response to a call."""
CALL_PIECES: Final = 20
LATE_STOP_S: Final = 0.03
"""Usual time for which a process that closes its connections first still listens."""
DRAWN_STOPS_S: Final = (0.0, 0.01, 0.03, 0.06, 0.15, 0.5, 1.5)
"""Drawn ones: before and after the end of the connection is verified."""
LAST_CHUNK: Final = b"0\r\n\r\n"


class Framing(StrEnum):
    """How a response is framed."""

    LENGTH = "a length"
    CHUNKED = "chunks"
    CLOSE = "neither"


class Ending(StrEnum):
    """How a response ends."""

    WHOLE = "whole"
    CLOSED = "closed"
    """The connection is closed in order, and the process lives on."""
    RESET = "reset"
    GONE = "process gone"
    """The process ends: its port refuses connections, and its connections are closed in order."""
    GONE_LATE = "process gone, connections first"
    RESTARTED = "process restarted"
    """The connections are closed in order, and another process answers at the address."""
    SILENT = "silent"
    """The connection stays open without another byte."""


DRAWN_ENDINGS: Final = (
    Ending.CLOSED,
    Ending.CLOSED,
    Ending.CLOSED,
    Ending.RESET,
    Ending.RESET,
    Ending.SILENT,
    Ending.GONE,
    Ending.GONE_LATE,
    Ending.GONE_LATE,
    Ending.GONE_LATE,
    Ending.RESTARTED,
)
"""Endings that are drawn, each as often as it is listed."""


class Place(StrEnum):
    """Where a response that is not whole ends."""

    HEAD = "right after its head"
    EVENT = "after whole events"
    INSIDE = "inside an event"


@dataclass(frozen=True, slots=True)
class EndingPlan:
    """How a response is framed, and how and where it ends."""

    framing: Framing = Framing.CHUNKED
    ending: Ending = Ending.WHOLE
    place: Place = Place.EVENT
    pieces: int = 7
    """Events, or pieces of a body, that are sent of a response that is not whole."""
    pause_s: float = 0.0
    """Pause before each piece."""
    status: int = 200
    stop_after_s: float = LATE_STOP_S
    """Time from the close of the connection to the end of a process that closes it first."""
    build_raw: Callable[[str], RawResponse] | None = None
    """Returns the bytes of the response to a request id, in place of a framed one."""

    @classmethod
    def draw(
        cls,
        source: random.Random,
        framing: Framing,
        pieces: int,
        *,
        pause_s: float = 0.0,
    ) -> EndingPlan:
        """Draw the plan of a response of some pieces that is not whole."""
        return cls(
            framing,
            source.choice(DRAWN_ENDINGS),
            source.choice(list(Place)),
            source.randrange(1, pieces),
            pause_s,
            stop_after_s=source.choice(DRAWN_STOPS_S),
        )

    @property
    def sent_pieces(self) -> int | None:
        """Return how many pieces are sent whole; None for all."""
        if self.ending is Ending.WHOLE:
            return None
        return 0 if self.place is Place.HEAD else self.pieces


class EndingUpstream(RoutedUpstream):
    """A fake upstream whose responses are framed and end by plans."""

    def __init__(
        self,
        upstream_id: str,
        plan_for: Callable[[ReceivedRequest], EndingPlan],
        default_script: Callable[[], Script] = Script,
    ) -> None:
        """Start listening; plan_for returns the plan of a request that is run here."""
        super().__init__(upstream_id, default_script)
        self._plan_for = plan_for
        self._plans: dict[str, EndingPlan] = {}
        self.is_gone = False
        self.drops_copies = False
        """Whether the backup of a run drops its copy once the run has ended whole."""
        self.on_sent: Callable[[str, int], None] = lambda request_id, number: None
        """Called after each piece, with its number, before the next one or the end is sent."""
        self.sent: dict[str, list[int]] = {}
        """Numbers of the events, or pieces of a body, sent for each request id."""

    def record_request(self, seen: ReceivedRequest) -> None:
        """Record a request that is run here, and choose its plan."""
        super().record_request(seen)
        self._plans[seen.request_id] = self._plan_for(seen)

    def _whole(
        self, raw: socket.socket, connection: CallerConnection, request_id: str, script: Script
    ) -> None:
        """Answer a plain call by its plan."""
        size = len(BODY) // CALL_PIECES
        pieces = {n + 1: BODY[n * size : (n + 1) * size] for n in range(CALL_PIECES)}
        self._answer_pieces(raw, connection, request_id, pieces, ())

    def _stream(
        self,
        raw: socket.socket,
        connection: CallerConnection,
        request_id: str,
        headers: dict[str, str],
        script: Script,
    ) -> None:
        """Answer with a stream by its plan, starting after the caller's last event."""
        first = int(headers.get("last-event-id") or 0) + 1
        pieces = {number: event_bytes(number) for number in range(first, EVENTS + 1)}
        self.running[request_id] = first - 1
        backup = self.peers.get(headers.get("kv-backup", ""))
        self._answer_pieces(raw, connection, request_id, pieces, (STREAM_TYPE,), backup)

    def _answer_pieces(
        self,
        raw: socket.socket,
        connection: CallerConnection,
        request_id: str,
        pieces: dict[int, bytes],
        more: tuple[tuple[bytes, bytes], ...],
        backup: RoutedUpstream | None = None,
    ) -> None:
        """Send a head and the pieces that the plan allows, and end the response."""
        plan = self._plans[request_id]
        if plan.build_raw is not None:
            _send_raw(raw, plan.build_raw(request_id))
            return
        headers = ((b"X-Driftstall-Request-Id", request_id.encode()), SEAL, *more)
        connection.write(_encode_head(plan, headers, pieces))
        sent = self.sent.setdefault(request_id, [])
        last = min(pieces, default=1) - 1
        for number, piece in _sent_pieces(plan, pieces):
            gevent.sleep(plan.pause_s)
            if request_id in self.stopped:
                return
            connection.write(_frame(plan.framing, piece))
            sent.append(number)
            last = number
            self.running[request_id] = number
            if backup is not None:
                backup.copies[request_id] = number
            self.on_sent(request_id, number)
        if plan.ending is not Ending.WHOLE and plan.place is Place.INSIDE:
            # A chunk that promises a whole piece, and a part of the piece.
            framed = _frame(plan.framing, pieces[last + 1])
            connection.write(framed[: len(framed) // 2])
        if self.drops_copies and backup is not None and plan.ending is Ending.WHOLE:
            backup.copies.pop(request_id, None)
        self._end(raw, connection, plan, request_id)

    def _end(
        self, raw: socket.socket, connection: CallerConnection, plan: EndingPlan, request_id: str
    ) -> None:
        """End a response by its plan; the caller of this closes the connection."""
        if plan.ending is Ending.WHOLE and plan.framing is Framing.CHUNKED:
            connection.write(LAST_CHUNK)
        elif plan.ending is Ending.RESET:
            reset(raw)
        elif plan.ending is Ending.GONE:
            self._stop_process()
        elif plan.ending is Ending.GONE_LATE:
            gevent.spawn_later(plan.stop_after_s, self._stop_process)
        elif plan.ending is Ending.RESTARTED:
            self.upstream_id += "-restarted"
            self.report = self.report | {"born": self.report.get("born", 1) + 1}
        elif plan.ending is Ending.SILENT:
            raw.settimeout(None)
            raw.recv(1)

    def _stop_process(self) -> None:
        """Stop listening, as a process that has ended."""
        self.is_gone = True
        self.stop()


def _send_raw(raw: socket.socket, response: RawResponse) -> None:
    """Send the bytes of a response; the caller of this closes the connection."""
    raw.sendall(response.data)
    if response.ending is RawEnding.KEPT:
        raw.settimeout(None)
        raw.recv(1)


def _encode_head(
    plan: EndingPlan, headers: tuple[tuple[bytes, bytes], ...], pieces: dict[int, bytes]
) -> bytes:
    """Return the bytes of a head; a status that HTTP does not know has three digits as well."""
    head = encode_head(plan.status, headers, _framing_headers(plan.framing, pieces))
    version, _, rest = head.split(b" ", 2)
    return b"%b %03d %b" % (version, plan.status, rest)


def _framing_headers(framing: Framing, pieces: dict[int, bytes]) -> tuple[bytes, ...]:
    """Return the header lines that frame a body of some pieces."""
    if framing is Framing.CHUNKED:
        return (b"Transfer-Encoding: chunked",)
    if framing is Framing.LENGTH:
        return (b"Content-Length: %d" % sum(map(len, pieces.values())),)
    return ()


def _frame(framing: Framing, piece: bytes) -> bytes:
    """Return a piece as it is sent."""
    return encode_chunk(piece) if framing is Framing.CHUNKED else piece


def _sent_pieces(plan: EndingPlan, pieces: dict[int, bytes]) -> Iterator[tuple[int, bytes]]:
    """Yield the numbered pieces that are sent whole."""
    yield from list(pieces.items())[: plan.sent_pieces]
