"""Stand in for the upstreams of the gateway: plain calls and streams, with scripted faults.

It runs inside the test process. Each request id may be given a script; without one a
request is answered whole. Streams count events from one and can be copied to another
stand-in and gone on with there.
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

from driftstall.gateway.ingress import CallerConnection, CallerRequest, encode_chunk, encode_head
from driftstall.gateway.model import Limits

STREAM_TYPE: Final = (b"Content-Type", b"text/event-stream")
SEAL: Final = (b"X-Driftstall-Response-Seal", b"seal")
RESET: Final = b"\x01\x00\x00\x00\x00\x00\x00\x00"
"""Linger for no time, so that a close resets the connection."""


@dataclass(slots=True)
class Script:
    """Say what happens to one request, once."""

    status: int = 200
    body: bytes = b"whole"
    not_run: bool = False
    misdirected: bool = False
    """Say by the status alone that another upstream was meant."""
    reset: bool = False
    """Close without an answer, after the request was read and before a copy was looked for."""
    reset_after_head: bool = False
    """Close a stream after its head, before any event."""
    crash: bool = False
    """Stop to listen, and close without an answer."""
    hang: bool = False
    unframed: bool = False
    """Answer without a length; the answer ends with its connection."""
    cut_after: int | None = None
    """Break off after so many bytes of the body."""
    surplus_before: bool = False
    """Answer another request first."""
    only_another: bool = False
    """Answer another request without a length, and close."""
    surplus_after: bool = False
    """Send more bytes after the whole answer."""
    events: int = 5
    break_after: int | None = None
    """Break a stream off after so many events."""
    repeat_event: int | None = None
    skip_event: int | None = None
    coalesce_from: int | None = None
    """Send all events of a stream from this one on together."""
    half_event: bool = False
    """Break off inside the next event."""
    pause_after: int | None = None
    """Wait for the script's gate after so many events."""
    event_pause_s: float = 0.0
    """Pause before each event."""
    work_s: float = 0.0
    """Time before the answer of a plain call."""
    paused: Event = field(default_factory=Event)
    """Set when a stream waits for the gate."""
    gate: Event = field(default_factory=Event)
    late: Event = field(default_factory=Event)
    """Set when an answer that comes late may be given."""
    ended: Event = field(default_factory=Event)
    """Set when the request's connection has ended here."""

    def with_new_events(self) -> Script:
        """Return the same script with events of its own."""
        return replace(self, gate=Event(), paused=Event(), late=Event(), ended=Event())


@dataclass(slots=True)
class ReceivedRequest:
    """Hold one request as it arrived."""

    request_id: str
    headers: dict[str, str]
    method: str
    target: str
    body: bytes
    is_resumed: bool = False
    """Whether it goes on from a copy that is here; else it is a run of its own."""


@dataclass(frozen=True, slots=True)
class SignalRecord:
    """Hold one response by which a stand-in has signalled something about itself."""

    at: float
    """By the steady clock."""
    request_id: str
    for_s: float = 0.0
    """The back-off that it requested."""


class RoutedUpstream:
    """Serve one upstream at a loopback address."""

    def __init__(self, upstream_id: str, default_script: Callable[[], Script] = Script) -> None:
        """Start to listen; usual makes the script of a request that was given none."""
        self.upstream_id = upstream_id
        self._default_script = default_script
        self.seen: list[ReceivedRequest] = []
        self.scripts: dict[str, list[Script]] = defaultdict(list)
        self.copies: dict[str, int] = {}
        """Copies held here, by name, with the events that they contain."""
        self.running: dict[str, int] = {}
        self.stopped: set[str] = set()
        self.move_answers: list[Callable[[dict[str, Any]], tuple[int, dict[str, Any]]]] = []
        self.peers: dict[str, RoutedUpstream] = {}
        self.report: dict[str, Any] = {"state": "ready"}
        """What it says of itself when it is asked."""
        self.rate_limit: float | None = None
        """The requests a second that it names with its answers; None to name none."""
        self.leaves = False
        """Whether it signals with all responses that it leaves."""
        self.extra_headers: tuple[tuple[bytes, bytes], ...] = ()
        """Further headers of all responses."""
        self.backoff = ""
        """The time of back-off that it requests where it rejects a request, as it is written."""
        self.rejected_share = 0.0
        """Share of requests that it rejects."""
        self.source = random.Random(upstream_id)
        self.signalled_leaving: list[SignalRecord] = []
        self.rejections: list[SignalRecord] = []
        self.arrivals: list[float] = []
        """When callers' requests arrived, by the steady clock; also those turned away."""
        self.arrival_records: list[SignalRecord] = []
        """The same with their ids."""
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """Return where it listens."""
        return f"127.0.0.1:{self._server.server_port}"

    def stop(self) -> None:
        """Stop to listen."""
        self._server.stop(timeout=0)

    def record_request(self, seen: ReceivedRequest) -> None:
        """Keep a request that is run here."""
        self.seen.append(seen)

    def runs(self, request_id: str) -> int:
        """Return how often a request was run here."""
        return sum(one.request_id == request_id for one in self.seen)

    def _serve(self, raw: socket.socket, _: tuple[str, int]) -> None:
        """Serve one connection."""
        connection = CallerConnection(raw, Limits())
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
        """Answer one request as its script says."""
        headers = {k.decode().lower(): v.decode() for k, v in call.headers}
        if "x-driftstall-request-id" in headers:
            self.arrivals.append(time.monotonic())
            request_id = headers["x-driftstall-request-id"]
            self.arrival_records.append(SignalRecord(self.arrivals[-1], request_id))
        if call.path == "/api/report":
            self._write_json(connection, 200, self.report)
            return
        if call.path == "/api/kv-move":
            self._move(connection, orjson.loads(call.body))
            return
        if call.path.startswith("/api/kv-handle/"):
            for one in (self, *self.peers.values()):
                one.copies.pop(call.path.rpartition("/")[2], None)
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
        script = scripts.pop(0) if scripts else self._default_script()
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
        try:
            if call.path.startswith("/stream/"):
                self._stream(raw, connection, request_id, headers, script)
            else:
                self._whole(raw, connection, request_id, script)
        finally:
            script.ended.set()

    def _signal_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        """Return the headers by which it signals something about itself."""
        named = [(b"Server-Leaving", b"1")] if self.leaves else []
        if self.rate_limit is not None:
            named.append((b"Server-Limit", f"{self.rate_limit:g}".encode()))
        return (*named, *self.extra_headers)

    def _record_leaving_signal(self, request_id: str) -> None:
        """Note a response that signals that it leaves."""
        if self.leaves:
            self.signalled_leaving.append(SignalRecord(time.monotonic(), request_id))

    def _reject(self, connection: CallerConnection, request_id: str) -> None:
        """Turn a request away, and request a back-off."""
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
        """Turn a request away without running it."""
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
        if script.hang:
            raw.settimeout(None)
            raw.recv(1)
            return
        if script.only_another:
            another = (_id("another"), SEAL, *self._signal_headers())
            connection.write(encode_head(200, another, ()) + b"other")
            return
        if script.surplus_before:
            other = (_id("another"), SEAL)
            named = (*other, *self._signal_headers())
            connection.write(encode_head(200, named, (b"Content-Length: 5",)) + b"other")
        gevent.sleep(script.work_s)
        headers = (_id(request_id), SEAL, *self._signal_headers())
        length = () if script.unframed else (b"Content-Length: %d" % len(script.body),)
        connection.write(encode_head(script.status, headers, length))
        self._record_leaving_signal(request_id)
        if script.cut_after is not None:
            connection.write(script.body[: script.cut_after])
            reset(raw)
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
        """Answer with a stream of events, from the one after the last that the caller has."""
        if script.reset:
            reset(raw)
            return
        first = int(headers.get("last-event-id") or 0) + 1
        extra = () if script.unframed else (b"Transfer-Encoding: chunked",)
        framed = _unframed if script.unframed else encode_chunk
        answer = (_id(request_id), SEAL, STREAM_TYPE, *self._signal_headers())
        if not connection.write(encode_head(script.status, answer, extra)):
            return
        self._record_leaving_signal(request_id)
        if script.reset_after_head:
            reset(raw)
            return
        self.running[request_id] = first - 1
        self.stopped.discard(request_id)
        backup = self.peers.get(headers.get("kv-backup", ""))
        for number in range(first, script.events + 1):
            if number == script.skip_event:
                continue
            gevent.sleep(script.event_pause_s)
            if request_id in self.stopped:
                return
            if number == script.coalesce_from:
                rest = [n for n in range(number, script.events + 1) if n != script.skip_event]
                connection.write(framed(b"".join(event_bytes(n) for n in rest)))
                break
            if not connection.write(framed(event_bytes(number))):
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
                return
            if number == script.break_after:
                if script.half_event:
                    connection.write(framed(event_bytes(number + 1)[:4]))
                return
        connection.write(b"" if script.unframed else b"0\r\n\r\n")

    def _write_json(self, connection: CallerConnection, status: int, body: dict[str, Any]) -> None:
        """Answer a call of the system's own."""
        data = orjson.dumps(body)
        length = (b"Content-Length: %d" % len(data),)
        connection.write(encode_head(status, self._signal_headers(), length) + data)

    def _move(self, connection: CallerConnection, wanted: dict[str, Any]) -> None:
        """Answer a call that copies a run."""
        answer = self.move_answers.pop(0) if self.move_answers else self.copy_run
        self._write_json(connection, *answer(wanted))

    def copy_run(self, wanted: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Copy a run to another stand-in; with last, the run stops."""
        run_id = wanted["id"]
        if run_id not in self.running:
            return 404, {}
        handle = f"copy-{run_id}"
        made = self.running[run_id]
        target = self.peers.get(wanted["targetVersion"])
        if target is None:
            return 503, {}
        target.copies[handle] = made
        if wanted.get("last"):
            self.stopped.add(run_id)
        return 200, {"handle": handle, "made": made}


def event_bytes(number: int) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def _unframed(data: bytes) -> bytes:
    """Return a piece of an answer that ends with its connection."""
    return data


def _id(request_id: str) -> tuple[bytes, bytes]:
    """Return the header that echoes a request's id."""
    return (b"X-Driftstall-Request-Id", request_id.encode())


def reset(raw: socket.socket) -> None:
    """Close a connection with a reset."""
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    raw.close()
