"""Serve JSON over gevent's WSGI for the stand-ins."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

import orjson
from gevent import socket
from gevent.pywsgi import WSGIHandler, WSGIServer

StartResponse = Callable[..., Any]
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 429: "Too Many Requests"}


ENVIRON_SOCKET = "stand_in.socket"


class _Handler(WSGIHandler):
    """Show the socket to the app, so that a script can cut it."""

    def get_environ(self) -> dict[str, Any]:
        """Add the socket to the environment."""
        environ: dict[str, Any] = super().get_environ()
        environ[ENVIRON_SOCKET] = self.socket
        return environ


def cut(environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
    """Lose the answer: close the connection before any byte of it leaves."""
    environ[ENVIRON_SOCKET].shutdown(socket.SHUT_RDWR)
    return answer(start, 200, {})


def named_limit(per_s: float | None) -> list[tuple[str, str]]:
    """Return the header that names how many requests a second are taken, if there is a limit."""
    return [] if per_s is None else [("X-Rate-Limit", f"{per_s:g}")]


def answer(
    start: StartResponse, status: int, value: Any, rate_limit: float | None = None
) -> Iterable[bytes]:
    """Answer with JSON."""
    body = orjson.dumps(value)
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    headers += named_limit(rate_limit)
    start(f"{status} {REASONS.get(status, 'Status')}", headers)
    return [body]


def read_json(environ: dict[str, Any]) -> Any:
    """Read a JSON body; an empty one is an empty object."""
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
