"""Fake upstreams of the gateway that serve plain calls and streams, with scripted faults.

They run inside the test process. A request id may be given a script; without one the default script
answers the whole request. Streams number their events from one, and can be copied to another fake
upstream and resumed there.
"""

from __future__ import annotations

import contextlib
import random
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, Final

import gevent
import orjson
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from driftstall.gateway.ingress import (
    LAST_CHUNK,
    CallerConnection,
    CallerRequest,
    encode_chunk,
    encode_head,
)
from driftstall.gateway.model import Limits

STREAM_TYPE: Final = (b"Content-Type", b"text/event-stream")
SEAL: Final = (b"X-Driftstall-Response-Seal", b"seal")
RESET: Final = b"\x01\x00\x00\x00\x00\x00\x00\x00"
"""SO_LINGER option with a zero timeout, with which a close resets the connection."""


@dataclass(slots=True)
class Script:
    """How one request is answered."""

    status: int = 200
    body: bytes = b"whole"
    not_run: bool = False
    misdirected: bool = False
    """Answer with status 421 (misdirected request) and no header that says so."""
    reset: bool = False
    """Reset the connection without an answer, whether or not the named replica exists."""
    reset_after_head: bool = False
    """Reset a stream's connection after the response head, before any event."""
    crash: bool = False
    """Stop listening, and reset the connection without an answer."""
    ends_upstream: bool = False
    """Stop listening just before the connection of the response is closed."""
    hang: bool = False
    spoiled: tuple[tuple[bytes, bytes], ...] | None = None
    """Headers that replace the signature; None for a response with the signature alone."""
    unframed: bool = False
    """Answer without a length; the response ends when the connection is closed."""
    cut_after: int | None = None
    """Reset the connection after this many bytes of the body."""
    surplus_before: bool = False
    """Send the response of another request first."""
    only_another: bool = False
    """Send only the response of another request, without a length, and close."""
    surplus_after: bool = False
    """Send more bytes after the complete response."""
    more_headers: tuple[tuple[bytes, bytes], ...] = ()
    """Further headers of the response, as they are."""
    events: int = 5
    break_after: int | None = None
    """Close a stream after this event."""
    repeat_event: int | None = None
    skip_event: int | None = None
    coalesce_from: int | None = None
    """Send all events of a stream from this one on in a single write."""
    is_end_false: bool = False
    """Send the last chunk of a stream whose run a final copy stops."""
    half_event: bool = False
    """With `break_after`: close the stream in the middle of the next event."""
    pause_after: int | None = None
    """Wait for the script's gate after this event."""
    event_pause_s: float = 0.0
    """Pause before each event."""
    work_s: float = 0.0
    """Time before the response to a plain call."""
    hold: bool = False
    """Answer a plain call only once the script's gate is open."""
    hold_body: bool = False
    """Send half of a plain call's body, and the rest once the script's gate is open."""
    filler: bytes = b""
    """More data of each event of a stream."""
    before_head: bytes = b""
    """Bytes before the head of a stream."""
    raw_body: tuple[bytes, ...] | None = None
    """Pieces that follow the head of a stream as they are, instead of events; then its connection
    is closed."""
    raw_gate_before: int | None = None
    """Wait for the script's gate before the piece with this index."""
    paused: Event = field(default_factory=Event)
    """Set when a stream is waiting for the gate."""
    gate: Event = field(default_factory=Event)
    late: Event = field(default_factory=Event)
    """Set by a test when a delayed answer may be sent."""
    ended: Event = field(default_factory=Event)
    """Set when the fake upstream has finished with the request."""

    @property
    def signature(self) -> tuple[tuple[bytes, bytes], ...]:
        """Return the headers in the place of the signature."""
        return (SEAL,) if self.spoiled is None else self.spoiled

    @property
    def stopped_end(self) -> bytes:
        """Return the end of a stream whose run has been stopped."""
        return LAST_CHUNK if self.is_end_false else b""

    def with_new_events(self) -> Script:
        """Return a copy of the script with its own gevent events."""
        return replace(self, gate=Event(), paused=Event(), late=Event(), ended=Event())


@dataclass(slots=True)
class ReceivedRequest:
    """A request as it was received."""

    request_id: str
    headers: dict[str, str]
    method: str
    target: str
    body: bytes
    is_resumed: bool = False
    """Whether it was resumed from a replica held here; otherwise it is a run of its own."""


@dataclass(frozen=True, slots=True)
class SignalRecord:
    """An arrival of a request, or a response with which a fake upstream sent a signal."""

    at: float
    """Time by the monotonic clock."""
    request_id: str
    for_s: float = 0.0
    """Back-off in seconds that the upstream requested."""


class RoutedUpstream:
    """A fake upstream at a loopback address."""

    def __init__(self, upstream_id: str, default_script: Callable[[], Script] = Script) -> None:
        """Start listening; `default_script` returns the script of requests without their own."""
        self.upstream_id = upstream_id
        self._default_script = default_script
        self.seen: list[ReceivedRequest] = []
        self.scripts: dict[str, list[Script]] = defaultdict(list)
        self.copies: dict[str, int] = {}
        """Number of events in each replica held here, by the replica's name."""
        self.running: dict[str, int] = {}
        self.stopped: set[str] = set()
        self.move_answers: list[Callable[[dict[str, Any]], tuple[int, dict[str, Any]]]] = []
        self.peers: dict[str, RoutedUpstream] = {}
        self.report: dict[str, Any] = {"state": "ready"}
        """Report that it answers probes with."""
        self.answers_probes = True
        self.probes = 0
        """Probes that it has received."""
        self.rate_limit: float | None = None
        """Rate limit (requests per second) in its response headers; None to send none."""
        self.leaves = False
        """Whether it signals in all responses that it leaves."""
        self.load_slots = 0
        """Slots in the load that its responses report; zero to report no load."""
        self.pace_percent: int | None = None
        """How long work takes, also reported as fourth figure of the load; None for 100 and three
        figures."""
        self.in_progress = 0
        """Callers' requests that it is running."""
        self.extra_headers: tuple[tuple[bytes, bytes], ...] = ()
        """Further headers of all responses."""
        self.backoff = ""
        """Text of the Retry-After header with which it rejects requests; empty to send none."""
        self.rejected_share = 0.0
        """Share of requests that it rejects, chosen at random."""
        self.source = random.Random(upstream_id)
        self.signalled_leaving: list[SignalRecord] = []
        self.rejections: list[SignalRecord] = []
        self.arrivals: list[float] = []
        """Times at which callers' requests arrived, including refused ones, by the monotonic
        clock."""
        self.arrival_records: list[SignalRecord] = []
        """The same arrivals with their request ids."""
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """Return the address it listens at."""
        return f"127.0.0.1:{self._server.server_port}"

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop(timeout=0)

    def record_request(self, seen: ReceivedRequest) -> None:
        """Record a request that is run here."""
        self.seen.append(seen)

    def script_for(self, path: str) -> Script:
        """Return the script of a request that has none of its own."""
        return self._default_script()

    def runs(self, request_id: str) -> int:
        """Return the number of times that a request was run here."""
        return sum(request.request_id == request_id for request in self.seen)

    def _serve(self, raw: socket.socket, _: tuple[str, int]) -> None:
        """Serve one connection."""
        connection = CallerConnection(raw, Limits)
        try:
            call = connection.next()
            if isinstance(call, CallerRequest):
                self._answer(raw, connection, call)
        except OSError:
            return
        finally:
            connection.close()

    def _answer(
        self, raw: socket.socket, connection: CallerConnection, call: CallerRequest
    ) -> None:
        """Answer a request according to its script."""
        headers = {name.decode().lower(): value.decode() for name, value in call.headers}
        if "x-driftstall-request-id" in headers:
            self.arrivals.append(time.monotonic())
            request_id = headers["x-driftstall-request-id"]
            self.arrival_records.append(SignalRecord(self.arrivals[-1], request_id))
        if call.path == "/api/report":
            self.probes += 1
            if not self.answers_probes:
                raw.settimeout(None)
                raw.recv(1)
                return
            self._write_json(connection, 200, self.report)
            return
        if call.path == "/api/kv-move":
            self._move(connection, orjson.loads(call.body))
            return
        if call.path.startswith("/api/kv-handle/"):
            for holder in (self, *self.peers.values()):
                holder.copies.pop(call.path.rpartition("/")[2], None)
            self._write_json(connection, 200, {})
            return
        request_id = headers.get("x-driftstall-request-id", "")
        if headers.get("x-driftstall-expect-instance", self.upstream_id) != self.upstream_id:
            self._refuse(connection, request_id, 421)
            return
        if self.source.random() < self.rejected_share:
            self._reject(connection, request_id)
            return
        scripts = self.scripts[request_id]
        script = scripts.pop(0) if scripts else self.script_for(call.path)
        copy_of = headers.get("kv-from", "").rpartition("/")[2]
        if script.misdirected:
            misdirected = (_id(request_id), *self._signal_headers())
            connection.write(encode_head(421, misdirected, (b"Content-Length: 0",)))
            self._record_leaving_signal(request_id)
            return
        has_copy = copy_of in self.copies
        if script.not_run or (copy_of and not has_copy and not script.reset):
            self._refuse(connection, request_id, 503)
            return
        self.copies.pop(copy_of, None)
        method, target = call.method.decode(), call.target.decode()
        self.record_request(
            ReceivedRequest(request_id, headers, method, target, call.body, is_resumed=has_copy)
        )
        if script.crash:
            self.stop()
            reset(raw)
            return
        self.in_progress += 1
        try:
            if script.hang:
                raw.settimeout(None)
                raw.recv(1)
            elif call.path.startswith("/stream/"):
                self._stream(raw, connection, request_id, headers, script)
            else:
                self._whole(raw, connection, request_id, script)
        finally:
            self.in_progress -= 1
            if script.ends_upstream:
                self.stop()
            script.ended.set()

    def _signal_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        """Return the headers with which it signals its leaving, its rate limit and its load."""
        signals = [(b"Server-Leaving", b"1")] if self.leaves else []
        if self.load_slots:
            waiting = max(0, self.in_progress - self.load_slots)
            figures = [self.in_progress - waiting, waiting, self.load_slots]
            figures += [] if self.pace_percent is None else [self.pace_percent]
            value = ",".join(map(str, figures)).encode()
            signals.append((b"X-Driftstall-Server-Load", value))
        if self.rate_limit is not None:
            signals.append((b"Server-Limit", f"{self.rate_limit:g}".encode()))
        return (*signals, *self.extra_headers)

    def _record_leaving_signal(self, request_id: str) -> None:
        """Record a response, if it signals that the upstream leaves."""
        if self.leaves:
            self.signalled_leaving.append(SignalRecord(time.monotonic(), request_id))

    def _reject(self, connection: CallerConnection, request_id: str) -> None:
        """Reject a request and request a back-off."""
        backoff = ((b"Retry-After", self.backoff.encode()),) if self.backoff else ()
        self._refuse(connection, request_id, 503, backoff)
        with contextlib.suppress(ValueError):
            self.rejections.append(SignalRecord(time.monotonic(), request_id, float(self.backoff)))

    def _refuse(
        self,
        connection: CallerConnection,
        request_id: str,
        status: int,
        more: tuple[tuple[bytes, bytes], ...] = (),
    ) -> None:
        """Reject a request without running it."""
        headers = (
            _id(request_id),
            (b"X-Driftstall-Not-Executed", b"1"),
            *self._signal_headers(),
            *more,
        )
        connection.write(encode_head(status, headers, (b"Content-Length: 0",)))
        self._record_leaving_signal(request_id)

    def _whole(
        self, raw: socket.socket, connection: CallerConnection, request_id: str, script: Script
    ) -> None:
        """Answer a plain call."""
        if script.reset:
            reset(raw)
            return
        if script.only_another:
            another = (_id("another"), SEAL, *self._signal_headers())
            connection.write(encode_head(200, another, ()) + b"other")
            return
        if script.surplus_before:
            other = (_id("another"), SEAL)
            other_headers = (*other, *self._signal_headers())
            connection.write(encode_head(200, other_headers, (b"Content-Length: 5",)) + b"other")
        gevent.sleep(script.work_s * (self.pace_percent or 100) / 100)
        if script.hold:
            script.gate.wait()
        headers = (
            _id(request_id),
            *script.signature,
            *self._signal_headers(),
            *script.more_headers,
        )
        length = () if script.unframed else (b"Content-Length: %d" % len(script.body),)
        connection.write(encode_head(script.status, headers, length))
        self._record_leaving_signal(request_id)
        if script.cut_after is not None:
            connection.write(script.body[: script.cut_after])
            reset(raw)
            return
        if script.hold_body:
            connection.write(script.body[: len(script.body) // 2])
            script.paused.set()
            script.gate.wait()
            connection.write(script.body[len(script.body) // 2 :])
            return
        connection.write(script.body + (b"HTTP/1.1 200 OK\r\n" if script.surplus_after else b""))

    def _stream(
        self,
        raw: socket.socket,
        connection: CallerConnection,
        request_id: str,
        headers: dict[str, str],
        script: Script,
    ) -> None:
        """Answer with a stream of events, starting after the caller's last event."""
        if script.reset:
            reset(raw)
            return
        first = int(headers.get("last-event-id") or 0) + 1
        extra = () if script.unframed else (b"Transfer-Encoding: chunked",)
        framed = _unframed if script.unframed else encode_chunk
        signature = script.signature
        answer = (_id(request_id), *signature, STREAM_TYPE, *self._signal_headers())
        answer = (*answer, *script.more_headers)
        head = script.before_head + encode_head(script.status, answer, extra)
        if not connection.write(head):
            return
        self._record_leaving_signal(request_id)
        if script.reset_after_head:
            reset(raw)
            return
        self.running[request_id] = first - 1
        self.stopped.discard(request_id)
        backup = self.peers.get(headers.get("kv-backup", ""))
        if script.raw_body is not None:
            self._send_raw(connection, request_id, script, backup)
            return
        for number in range(first, script.events + 1):
            if number == script.skip_event:
                continue
            gevent.sleep(script.event_pause_s)
            if request_id in self.stopped:
                connection.write(script.stopped_end)
                return
            if number == script.coalesce_from:
                remaining = [n for n in range(number, script.events + 1) if n != script.skip_event]
                connection.write(framed(b"".join(event_bytes(n) for n in remaining)))
                break
            if not connection.write(framed(event_bytes(number, script.filler))):
                return
            if number == script.repeat_event:
                connection.write(framed(event_bytes(number)))
            self.running[request_id] = number
            if backup is not None:
                backup.copies[request_id] = number
            if number == script.pause_after:
                script.paused.set()
                script.gate.wait()
            if request_id in self.stopped:
                connection.write(script.stopped_end)
                return
            if number == script.break_after:
                if script.half_event:
                    connection.write(framed(event_bytes(number + 1)[:4]))
                return
        connection.write(b"" if script.unframed else LAST_CHUNK)

    def _send_raw(
        self,
        connection: CallerConnection,
        request_id: str,
        script: Script,
        backup: RoutedUpstream | None,
    ) -> None:
        """Send the pieces of a script's raw body, of which a backup holds as many."""
        for index, piece in enumerate(script.raw_body or ()):
            gevent.sleep(script.event_pause_s)
            if index == script.raw_gate_before:
                script.gate.wait()
            connection.write(piece)
            if backup is not None:
                backup.copies[request_id] = index + 1

    def _write_json(self, connection: CallerConnection, status: int, body: dict[str, Any]) -> None:
        """Answer an internal call of the system with JSON."""
        data = orjson.dumps(body)
        length = (b"Content-Length: %d" % len(data),)
        connection.write(encode_head(status, self._signal_headers(), length) + data)

    def _move(self, connection: CallerConnection, order: dict[str, Any]) -> None:
        """Answer an order to copy a run to another upstream."""
        answer = self.move_answers.pop(0) if self.move_answers else self.copy_run
        self._write_json(connection, *answer(order))

    def copy_run(self, order: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Copy a run to another fake upstream; with `last`, the run stops here."""
        run_id = order["id"]
        if run_id not in self.running:
            return 404, {}
        handle = f"copy-{run_id}"
        made = self.running[run_id]
        target = self.peers.get(order["targetVersion"])
        if target is None:
            return 503, {}
        target.copies[handle] = made
        if order.get("last"):
            self.stopped.add(run_id)
        return 200, {"handle": handle, "made": made}


def event_bytes(number: int, filler: bytes = b"") -> bytes:
    """Encode an event of a stream."""
    return b"id: %d\ndata: piece %d%b\n\n" % (number, number, filler)


def _unframed(data: bytes) -> bytes:
    """Return data unchanged: a response without a length is not chunked."""
    return data


def _id(request_id: str) -> tuple[bytes, bytes]:
    """Return the header that echoes a request's id."""
    return (b"X-Driftstall-Request-Id", request_id.encode())


def reset(raw: socket.socket) -> None:
    """Close a connection with a reset."""
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    raw.close()
