"""Test requests whose callers cut them, or send them in pieces."""

from __future__ import annotations

from typing import Any, Final

import gevent
from behave import then, when
from gevent import select, socket

from features.worlds.gateway_world import (
    HOST,
    KEY,
    Received,
    document,
    read_response,
    runs,
    wait_for,
    world_of,
)
from stand_ins.routed import reset

PATH: Final = "/once/a"
SLOW_HEAD_MS: Final = 5_000
"""Time limit of a head that is sent byte by byte, which takes half a second on a busy machine."""
BODY: Final = b"the whole body"
CLOSE: Final = ("Connection: close",)
LENGTH: Final = (f"Content-Length: {len(BODY)}",)
CHUNKED: Final = ("Transfer-Encoding: chunked",)
UPGRADE: Final = (
    "Connection: Upgrade, HTTP2-Settings, close",
    "Upgrade: h2c",
    "HTTP2-Settings: AAMA",
)
CHUNKS: Final = b"4\r\nthe \r\na\r\nwhole body\r\n0\r\n"
EXTENDED_CHUNKS: Final = b'4;a=b\r\nthe \r\na;c="d"\r\nwhole body\r\n0;e\r\n\r\n'
FORMS: Final[dict[str, tuple[tuple[str, ...], bytes]]] = {
    "a length": (LENGTH + CLOSE, BODY),
    "chunks": (CHUNKED + CLOSE, CHUNKS + b"\r\n"),
    "chunks and a trailer": (CHUNKED + CLOSE, CHUNKS + b"X-Sum: 12\r\n\r\n"),
    "chunks with extensions": (CHUNKED + CLOSE, EXTENDED_CHUNKS),
    "a length that waits for a 100": ((*LENGTH, *CLOSE, "Expect: 100-continue"), BODY),
    "a length and an offer of an upgrade": ((*LENGTH, *UPGRADE), BODY),
    "chunks and an offer of an upgrade": ((*CHUNKED, *UPGRADE), CHUNKS + b"\r\n"),
    "an offer of an upgrade alone": (UPGRADE, b""),
}
INTERIM: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


def _encode(form: str, request_id: str) -> tuple[bytes, bytes]:
    """Return the head and the framed body of a request."""
    headers, body = FORMS[form]
    lines = (
        f"POST {PATH} HTTP/1.1",
        f"Host: {HOST}",
        f"Authorization: Bearer {KEY}",
        f"X-Driftstall-Request-Id: {request_id}",
        "X-Driftstall-Deadline-Ms: 3000",
        *headers,
    )
    return "\r\n".join((*lines, "", "")).encode(), body


def _send_cut(context: Any, request_id: str, data: bytes, ending: str) -> Received:
    """Send a part of a request and end the connection; return what comes back."""
    connection = world_of(context).connect()
    connection.sendall(data)
    if ending == "reset":
        reset(connection)
        connection.close()
    elif ending == "closed":
        connection.close()
    elif ending == "half-closed":
        connection.shutdown(socket.SHUT_WR)
        return _receive(connection)
    else:
        context.add_cleanup(connection.close)
        context.left_open.append(connection)
    return Received(0, {}, b"", whole=False)


def _receive(connection: socket.socket) -> Received:
    """Read a response up to the end of its connection, after an interim one."""
    connection.settimeout(None)
    if connection.recv(len(INTERIM), socket.MSG_PEEK) == INTERIM:
        connection.recv(len(INTERIM))
    try:
        return read_response(connection)
    finally:
        connection.close()


@when("a request with {form} is cut at each byte after its head, and its connection is {ending:S}")
def cut_everywhere(context: Any, form: str, ending: str) -> None:
    """Send each part of the request from its head on, all at once."""
    head, body = _encode(form, "cut")
    parts = [head + body[:count] for count in range(len(body))]
    context.left_open = []
    callers = [gevent.spawn(_send_cut, context, "cut", part, ending) for part in parts]
    context.answers = [caller.get(timeout=5) for caller in callers]
    # The cut requests are read before the next one, which has come last.
    answer = world_of(context).ask("/safe/a", "after")
    assert answer.status == 200, answer
    connections = world_of(context).listener._connections
    wait_for(
        "the other connections have ended", lambda: len(connections._open) == len(context.left_open)
    )


@then("no upstream has received it")
def nothing_received(context: Any) -> None:
    """Check the upstreams."""
    assert not runs(world_of(context), "cut"), [each.seen for each in world_of(context).plain]


@then("no caller has got a success")
def no_success(context: Any) -> None:
    """Check the answers."""
    assert not select.select(context.left_open, [], [], 0)[0]
    assert not [each for each in context.answers if 200 <= each.status < 300], context.answers


@when("a request with {form} is sent in pieces of {size:d} bytes")
def send_pieces(context: Any, form: str, size: int) -> None:
    """Send a whole request, its body after an interim response if it waits for that."""
    world = world_of(context)
    limits = document(2)["limits"] | {"headerTimeoutMs": SLOW_HEAD_MS}
    world.use(document(2, limits=limits))
    head, body = _encode(form, "whole")
    connection = world.connect()
    _send_slowly(connection, head, size)
    if "Expect: 100-continue" in FORMS[form][0]:
        wait_for("an interim response", lambda: len(connection.recv(9, socket.MSG_PEEK)) == 9)
    _send_slowly(connection, body, size)
    context.has_body = bool(body)
    context.answers = [_receive(connection)]


@when("a request with {form} is followed by another one")
def send_two(context: Any, form: str) -> None:
    """Send two requests at once."""
    connection = world_of(context).connect()
    connection.sendall(b"".join((*_encode(form, "whole"), *_encode("a length", "cut"))))
    context.has_body = True
    context.answers = [_receive(connection)]


@then("one upstream has received its method, path and whole body once")
def received_whole(context: Any) -> None:
    """Check the only request that was run."""
    world = world_of(context)
    seen = [request for upstream in world.plain for request in upstream.seen]
    body = BODY if context.has_body else b""
    assert [(each.request_id, each.method, each.target, each.body) for each in seen] == [
        ("whole", "POST", PATH, body)
    ], (seen, context.answers)
    answer = context.answers[0]
    assert (answer.status, answer.body, answer.whole) == (200, b"whole", True), answer


def _send_slowly(connection: socket.socket, data: bytes, size: int) -> None:
    """Send data in pieces that arrive one by one."""
    for start in range(0, len(data), size):
        connection.sendall(data[start : start + size])
        gevent.sleep(0.001)
