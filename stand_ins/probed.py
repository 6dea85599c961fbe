"""Fake upstream whose process is probed."""

from __future__ import annotations

from enum import Enum

from gevent import socket
from gevent.server import StreamServer

from stand_ins.routed import reset

REQUEST_BYTES = 65_536
REPORT_PATH = b" /api/report "


class ProbeReply(Enum):
    """How a process replies to a probe other than with an answer."""

    RESET = "resets its connections"
    CLOSE = "closes its connections"
    NOTHING = "does not answer"
    NOTHING_AND_STOP = "does not answer and stops listening"
    """The connection of the probe stays open, as while its reset has not been read."""
    RESET_AT_ONCE = "resets its connections at once"
    CLOSE_AT_ONCE = "closes its connections at once"
    """A proxy does so before a process that has ended."""


class ProbedUpstream:
    """A listener that gives the same reply to each probe."""

    def __init__(self, reply: bytes | ProbeReply, report: bytes | None = None) -> None:
        """Start listening; the report is the answer to requests for it, else the reply."""
        self._reply = reply
        self._report = report
        self.requests: list[bytes] = []
        self.connections = 0
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """Return the address it listens at."""
        return f"127.0.0.1:{self._server.server_port}"

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop(timeout=0)

    def _serve(self, raw: socket.socket, _: tuple[str, int]) -> None:
        """Reply to one probe."""
        self.connections += 1
        if self._reply is ProbeReply.CLOSE_AT_ONCE:
            return
        if self._reply is ProbeReply.RESET_AT_ONCE:
            reset(raw)
            return
        request = raw.recv(REQUEST_BYTES)
        if not request:
            return
        self.requests.append(request)
        if self._report is not None and REPORT_PATH in request:
            raw.sendall(self._report)
        elif isinstance(self._reply, bytes):
            raw.sendall(self._reply)
        elif self._reply is ProbeReply.RESET:
            reset(raw)
        elif self._reply is ProbeReply.NOTHING:
            raw.recv(1)
        elif self._reply is ProbeReply.NOTHING_AND_STOP:
            self.stop()
            raw.recv(1)
