"""Fake upstreams of a gateway that send without end."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import gevent
from gevent import socket

from driftstall.gateway.ingress import CallerConnection, CallerRequest
from stand_ins.routed import SEAL, RoutedUpstream, Script

PIECE_BYTES: Final = 65_536
MAX_SENT_BYTES: Final = 96_000_000
"""Bytes after which a peer falls silent, so that a gateway without bounds spares the machine."""
REPORT_PATH: Final = "/api/report"
MOVE_PATH: Final = "/api/kv-move"
CALLER_PATHS: Final = ("/endless/", "/stream/")
CHUNKED: Final = b"Transfer-Encoding: chunked\r\n"
HTTP: Final = b"HTTP/1.1 200 OK\r\n"

OTHER_RESPONSE: Final = (
    HTTP
    + b"X-Driftstall-Request-Id: other\r\n%b: %b\r\n" % SEAL
    + b"Content-Length: 200\r\n\r\n"
    + b"x" * 200
)


@dataclass(frozen=True, slots=True)
class EndlessData:
    """The bytes of a response that never ends."""

    before: bytes
    """Bytes after the first headers of the response."""
    repeated: bytes
    has_head: bool = True
    """Whether the status line and the request's id and signature are sent first."""
    status_line: bytes = HTTP
    pause_s: float = 0.0
    """Pause after each repetition; without one, many are sent at once."""


ENDLESS: Final = {
    "a header's value": EndlessData(b"X-Filler: ", b"x"),
    "a header's name": EndlessData(b"", b"x"),
    "header lines": EndlessData(b"", b"X-Filler: x\r\n"),
    "chunks of one byte": EndlessData(CHUNKED + b"\r\n", b"1\r\nx\r\n"),
    "chunks of two bytes": EndlessData(CHUNKED + b"\r\n", b"2\r\nxx\r\n"),
    "interim responses": EndlessData(b"", b"HTTP/1.1 100 Continue\r\n\r\n", has_head=False),
    "a chunk extension": EndlessData(CHUNKED + b"\r\n1;", b"x"),
    "a trailer": EndlessData(CHUNKED + b"\r\n0\r\nX-Filler: ", b"x"),
    "trailer lines": EndlessData(CHUNKED + b"\r\n0\r\n", b"X-Filler: x\r\n"),
    "a status line": EndlessData(b"HTTP/1.1 200 ", b"x", has_head=False),
    "a body without length": EndlessData(b"\r\n", b"x"),
    "responses to another": EndlessData(b"", OTHER_RESPONSE, has_head=False),
    "an error": EndlessData(b"\r\n", b"x", status_line=b"HTTP/1.1 500 Fault\r\n"),
    "bytes that are no HTTP": EndlessData(b"", b"\x16\x03\x00", has_head=False),
}

STREAM: Final = b"Content-Type: text/event-stream\r\n"
CHUNKED_STREAM: Final = STREAM + CHUNKED + b"\r\n"
EVENT: Final = b"data: x\n\n"
LARGE_EVENT: Final = b"data: " + b"x" * 3_000_000 + b"\n\n"
INTERIM: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


def as_chunk(data: bytes) -> bytes:
    """Return data as a chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


ENDLESS_STREAMS: Final = {
    "an event": EndlessData(CHUNKED_STREAM, as_chunk(b"x" * 16_384)),
    "an event without framing": EndlessData(STREAM + b"\r\n", b"x"),
    "an event in chunks of one byte": EndlessData(CHUNKED_STREAM, as_chunk(b"x")),
    "an event in chunks of two bytes": EndlessData(CHUNKED_STREAM, as_chunk(b"xx")),
    "an event of lines": EndlessData(CHUNKED_STREAM, as_chunk(b"data: x\n" * 2_048)),
    "comment lines": EndlessData(CHUNKED_STREAM, as_chunk(b":\n" * 8_192)),
    "comments": EndlessData(CHUNKED_STREAM, as_chunk(b":\n\n" * 4_096)),
    "events": EndlessData(CHUNKED_STREAM, as_chunk(EVENT)),
    "many events in each chunk": EndlessData(CHUNKED_STREAM, as_chunk(EVENT * 2_048)),
    "events without framing": EndlessData(STREAM + b"\r\n", EVENT),
    "large events": EndlessData(CHUNKED_STREAM, as_chunk(LARGE_EVENT)),
    "large events without framing": EndlessData(STREAM + b"\r\n", LARGE_EVENT),
    "repeated events": EndlessData(CHUNKED_STREAM, as_chunk(b"id: 1\n" + EVENT)),
    "a chunk extension after an event": EndlessData(CHUNKED_STREAM + as_chunk(EVENT) + b"1;", b"x"),
    "a trailer after an event": EndlessData(
        CHUNKED_STREAM + as_chunk(EVENT) + b"0\r\nX-Filler: ", b"x"
    ),
    "interim responses after an event": EndlessData(CHUNKED_STREAM + as_chunk(EVENT), INTERIM),
    "bytes after its end": EndlessData(CHUNKED_STREAM + as_chunk(EVENT) + b"0\r\n\r\n", b"x"),
    "interim responses after its end": EndlessData(
        CHUNKED_STREAM + as_chunk(EVENT) + b"0\r\n\r\n", INTERIM
    ),
}
"""Streams whose head is complete."""

DRIP_PAUSE_S: Final = 0.1
DRIPS: Final = {
    "a header's value": EndlessData(b"X-Filler: ", b"x", pause_s=DRIP_PAUSE_S),
    "a body without length": EndlessData(b"\r\n", b"x", pause_s=DRIP_PAUSE_S),
    "a body in chunks": EndlessData(CHUNKED + b"\r\n", as_chunk(b"x"), pause_s=DRIP_PAUSE_S),
    "interim responses": EndlessData(b"", INTERIM, has_head=False, pause_s=DRIP_PAUSE_S),
    "an event": EndlessData(CHUNKED_STREAM, as_chunk(b"x"), pause_s=DRIP_PAUSE_S),
    "a trailer": EndlessData(
        CHUNKED_STREAM + as_chunk(EVENT) + b"0\r\nX-Filler: ", b"x", pause_s=DRIP_PAUSE_S
    ),
    "comments": EndlessData(CHUNKED_STREAM, as_chunk(b":\n\n"), pause_s=DRIP_PAUSE_S),
}
"""Responses that trickle in."""


@dataclass(slots=True)
class EndlessSender:
    """Send without end, and count the connections that the gateway has closed meanwhile."""

    data: EndlessData
    started: int = 0
    closed: int = 0

    def send(self, connection: socket.socket, head: bytes) -> None:
        """Send until the connection is closed."""
        self.started += 1
        connection.settimeout(None)
        pause_s = self.data.pause_s
        times = 1 if pause_s else max(1, PIECE_BYTES // len(self.data.repeated))
        repeated = self.data.repeated * times
        try:
            connection.sendall((head if self.data.has_head else b"") + self.data.before)
            for _ in range(MAX_SENT_BYTES // len(repeated)):
                connection.sendall(repeated)
                # Writing to a connection that is read fast does not wait.
                gevent.sleep(pause_s)
            connection.recv(1)
        except OSError:
            pass
        self.closed += 1


class EndlessUpstream(RoutedUpstream):
    """A fake upstream that answers callers' requests, or an instance's own, without end."""

    def __init__(
        self,
        upstream_id: str,
        data: EndlessData,
        own_path: str = "",
        script: Callable[[], Script] = Script,
    ) -> None:
        """Start listening.

        With own_path, requests for paths that start with it are answered without end, and callers'
        requests by the script; otherwise callers' requests are answered without end.
        """
        super().__init__(upstream_id, script)
        self.sender = EndlessSender(data)
        self._own_path = own_path

    def _answer(
        self, raw: socket.socket, connection: CallerConnection, call: CallerRequest
    ) -> None:
        """Answer without end, unless the request is to be answered as by other upstreams."""
        if not call.path.startswith(self._own_path or CALLER_PATHS):
            super()._answer(raw, connection, call)
            return
        ids = [value for name, value in call.headers if name.lower() == b"x-driftstall-request-id"]
        request_id = ids[0] if ids else b""
        seal = b"%b: %b\r\n" % SEAL
        line = self.sender.data.status_line
        self.sender.send(raw, line + b"X-Driftstall-Request-Id: %b\r\n" % request_id + seal)
