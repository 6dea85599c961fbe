"""JSON over gevent's WSGI server, for the fakes."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import orjson
from gevent import socket
from gevent.pywsgi import WSGIHandler, WSGIServer

StartResponse = Callable[..., Any]
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 429: "Too Many Requests"}


ENVIRON_SOCKET = "stand_in.socket"


class _Handler(WSGIHandler):
    """WSGI handler that passes the socket to the app, so that a script can close it."""

    def get_environ(self) -> dict[str, Any]:
        """Add the socket to the environment."""
        environ: dict[str, Any] = super().get_environ()
        environ[ENVIRON_SOCKET] = self.socket
        return environ


def close_unanswered(environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
    """Close the connection before any byte of the answer is sent."""
    environ[ENVIRON_SOCKET].shutdown(socket.SHUT_RDWR)
    return answer(start, 200, {})


def truncate_answer(environ: dict[str, Any], start: StartResponse, value: Any) -> Iterable[bytes]:
    """Send half of an answer that has neither a length nor chunks, and close the connection."""
    body = orjson.dumps(value)
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
    environ[ENVIRON_SOCKET].sendall(head + body[: len(body) // 2])
    return close_unanswered(environ, start)


@dataclass(slots=True)
class Signals:
    """What a fake upstream signals about itself with its responses."""

    rate_limit: float | None = None
    """Requests per second that it accepts; None to send no limit."""
    leaves: bool = False
    backoff_s: float = 0.0
    """Back-off in seconds with which it rejects all requests; zero to reject none."""
    signalled_at: list[float] = field(default_factory=list)
    """Times at which it signalled that it leaves or rejected a request, by the monotonic clock."""

    def script(self, script: dict[str, Any]) -> None:
        """Apply the fields of a script that concern signals."""
        self.rate_limit = script.get("rate_limit", self.rate_limit)
        self.leaves = script.get("leaves", self.leaves)
        self.backoff_s = script.get("backoff_s", self.backoff_s)

    def headers(self) -> list[tuple[str, str]]:
        """Return the signal headers of a response, and record that they were sent."""
        found = [] if self.rate_limit is None else [("X-Rate-Limit", f"{self.rate_limit:g}")]
        if self.leaves:
            found.append(("X-Leaving", "1"))
            self.signalled_at.append(time.monotonic())
        return found

    def reject(self, start: StartResponse) -> Iterable[bytes]:
        """Reject a request with the back-off."""
        self.signalled_at.append(time.monotonic())
        headers = [*self.headers(), ("Retry-After", f"{self.backoff_s:g}")]
        return answer(start, 503, {"error": "not run"}, headers)


def answer(
    start: StartResponse, status: int, value: Any, more: Iterable[tuple[str, str]] = ()
) -> Iterable[bytes]:
    """Send a JSON response."""
    return answer_bytes(start, status, orjson.dumps(value), more)


def answer_bytes(
    start: StartResponse, status: int, body: bytes, more: Iterable[tuple[str, str]] = ()
) -> Iterable[bytes]:
    """Send a response with encoded JSON."""
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    headers += more
    start(f"{status} {REASONS.get(status, 'Status')}", headers)
    return [body]


def read_json(environ: dict[str, Any]) -> Any:
    """Decode a JSON body; an empty body is read as an empty object."""
    raw = environ["wsgi.input"].read()
    return orjson.loads(raw) if raw else {}


def query(environ: dict[str, Any]) -> dict[str, str]:
    """Return the first value of each query parameter."""
    return {name: values[0] for name, values in parse_qs(environ["QUERY_STRING"]).items()}


def serve(port: int, app: Callable[..., Iterable[bytes]]) -> WSGIServer:
    """Return a started server on the loopback address."""
    server = WSGIServer(("127.0.0.1", port), app, log=None, error_log=None, handler_class=_Handler)
    server.start()
    return server
