"""Test requests to the own interface whose callers cut them, or frame them in other ways."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Final

import gevent
from behave import given, then, when
from gevent import socket

from driftstall.core import Problem
from driftstall.daemon.http_responses import StartResponse, send_body, send_problem
from driftstall.daemon.http_server import build_server
from driftstall.daemon.request_body import read_checked_body
from driftstall.daemon.settings import Settings
from features.worlds.gateway_world import wait_for

MAX_BODY: Final = 10_000
BODY: Final = b"the whole body"
CHUNKS: Final = b"4\r\nthe \r\na\r\nwhole body\r\n0\r\n"
SMUGGLED: Final = b"POST /smuggled HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
LENGTH: Final = f"Content-Length: {len(BODY)}"
CHUNKED: Final = "Transfer-Encoding: chunked"
CLOSE: Final = "Connection: close"
UPGRADE: Final = "Connection: Upgrade\r\nUpgrade: h2c"
WEB_SOCKET: Final = "Connection: keep-alive, Upgrade\r\nUpgrade: websocket"
FORMS: Final = {
    "no body": (CLOSE, b""),
    "a length": (f"{LENGTH}\r\n{CLOSE}", BODY),
    "chunks": (f"{CHUNKED}\r\n{CLOSE}", CHUNKS + b"\r\n"),
    "chunks and a trailer": (f"{CHUNKED}\r\n{CLOSE}", CHUNKS + b"X-Sum: 12\r\n\r\n"),
    "a length and an offer of an upgrade": (f"{LENGTH}\r\n{UPGRADE}", BODY),
    "chunks and an offer of an upgrade": (f"{CHUNKED}\r\n{UPGRADE}", CHUNKS + b"\r\n"),
    "a length and an offer of a web socket": (f"{LENGTH}\r\n{WEB_SOCKET}", BODY),
    "chunks and an offer of a web socket": (f"{CHUNKED}\r\n{WEB_SOCKET}", CHUNKS + b"\r\n"),
    "a coding that is not known": ("Transfer-Encoding: identity", SMUGGLED),
    "two codings": ("Transfer-Encoding: gzip, chunked", SMUGGLED),
    "a coding in two headers": (f"Transfer-Encoding: gzip\r\n{CHUNKED}", SMUGGLED),
    "two lengths": (f"Content-Length: 0\r\n{LENGTH}", SMUGGLED),
    "a length after a broken line": (f"X-Broken\r\n{LENGTH}", SMUGGLED),
    "chunks and a length": (f"{CHUNKED}\r\n{LENGTH}", CHUNKS + b"\r\n" + SMUGGLED),
}
ANSWERED_S: Final = 2.0


def _encode(form: str) -> bytes:
    """Return a request."""
    headers, body = FORMS[form]
    return f"POST /svc HTTP/1.1\r\nHost: a\r\n{headers}\r\nX-Last: 1\r\n\r\n".encode() + body


@given("the own interface's server before an application that records requests")
def serve(context: Any) -> None:
    """Start a server whose application reads bodies as that of the callers does."""
    context.taken = []

    def app(environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        body = read_checked_body(environ, MAX_BODY)
        if isinstance(body, Problem):
            return send_problem(start, body)
        context.taken.append((environ["PATH_INFO"], body))
        return send_body(start, 200, b"ok", "text/plain")

    settings = Settings.from_args(
        [
            "--instance-id=a",
            "--zone=a",
            "--operator-token=operator token for tests",
            "--peer-key=peer key for tests only",
        ],
        {},
    )
    context.server = build_server(
        settings, "127.0.0.1:0", app, max_body=MAX_BODY, descriptor_share=0.3
    )
    context.server.start()
    context.add_cleanup(context.server.stop)


def _connect(context: Any) -> socket.socket:
    """Open a connection."""
    return socket.create_connection(("127.0.0.1", context.server.server_port), ANSWERED_S)


def _send_part(context: Any, part: bytes, ending: str) -> None:
    """Send a part of a request and end the connection."""
    connection = _connect(context)
    connection.sendall(part)
    if ending == "half-closed":
        connection.shutdown(socket.SHUT_WR)
        _read_all(connection)
    connection.close()


def _read_all(connection: socket.socket) -> bytes:
    """Read up to the end of the connection."""
    data = b""
    try:
        while piece := connection.recv(65_536):
            data += piece
    except ConnectionError:
        pass
    return data


@when("an own request with {form} is cut at each byte, and its connection is {ending:S}")
def cut(context: Any, form: str, ending: str) -> None:
    """Send each part of the request, all at once."""
    data = _encode(form)
    parts = [data[:count] for count in range(1, len(data))]
    senders = [gevent.spawn(_send_part, context, part, ending) for part in parts]
    gevent.joinall(senders, raise_error=True)
    wait_for("all connections have ended", lambda: not context.server.pool)


@when("an own request with {form} is sent")
def send(context: Any, form: str) -> None:
    """Send a request and read all answers."""
    connection = _connect(context)
    connection.sendall(_encode(form))
    context.form = form
    if "an offer of" in form:
        # The connection is kept open.
        context.answer = connection.recv(65_536)
    else:
        context.answer = _read_all(connection)
    connection.close()


@then("the application has taken no request for whole")
def none_taken(context: Any) -> None:
    """Check what was read as a request."""
    assert context.taken == [], context.taken


@then("the application has taken it for whole, and nothing else")
def one_taken(context: Any) -> None:
    """Check the body."""
    expected = BODY if FORMS[context.form][1] else b""
    assert context.taken == [("/svc", expected)], (context.taken, context.answer)
    assert context.answer.startswith(b"HTTP/1.1 200 "), context.answer


@then("it is answered with 400 once")
def rejected(context: Any) -> None:
    """Check the only answer."""
    assert context.answer.startswith(b"HTTP/1.1 400 "), context.answer
    assert context.answer.count(b"HTTP/1.1 ") == 1, context.answer
