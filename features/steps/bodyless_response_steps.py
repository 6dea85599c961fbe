"""Test how responses without a body are framed."""

from __future__ import annotations

from typing import Any, Final

from behave import given, then, when
from gevent import socket

from features.worlds.gateway_world import (
    Received,
    parse_answer,
    request_bytes,
    script_upstreams,
    world_of,
)
from stand_ins.routed import Script

HEAD_END: Final = b"\r\n\r\n"
BODY_BYTES: Final = 4
"""Bytes of the body of the world's requests."""
LENGTHS: Final = {"no length": b"", "a length of zero": b"0", "another's length": b"5"}


@given("its upstreams answer with status {status:d}, no body and {fields}")
def upstreams_answer(context: Any, status: int, fields: str) -> None:
    """Script the first response."""
    world, length = world_of(context), LENGTHS[fields]
    headers = ((b"Content-Length", length),) if length else ()
    script = Script(status=status, body=b"", events=0, unframed=True, more_headers=headers)
    script_upstreams(world, "r1", [script])


@when('{method} "{first}" and then POST "{second}" are asked on one kept connection')
def ask_both(context: Any, method: str, first: str, second: str) -> None:
    """Send a request, and another one after the head of its response."""
    connection = world_of(context).connect()
    kept = {"Connection": "keep-alive"}
    if method == "HEAD":
        request = request_bytes(first, "r1", method, Content_Length="", **kept)[:-BODY_BYTES]
    else:
        request = request_bytes(first, "r1", method, **kept)
    connection.sendall(request)
    data = b""
    while HEAD_END not in data:
        data += _receive(connection)
    connection.sendall(request_bytes(second, "r2"))
    while piece := _receive(connection):
        data += piece
    connection.close()
    head, _, rest = data.partition(HEAD_END)
    context.first, context.rest = parse_answer(head + HEAD_END), rest


def _receive(connection: socket.socket) -> bytes:
    """Receive some bytes; none at the end of the connection."""
    return bytes(connection.recv(65_536))


@then(
    "the first response is a head with status {status:d} and without any framing, "
    "and the second is whole"
)
def has_no_framing(context: Any, status: int) -> None:
    """Check both responses."""
    first = _check_both(context, status)
    assert "content-length" not in first.headers, first
    assert "transfer-encoding" not in first.headers, first


@then(
    "the first response is a head with status {status:d} and a length of zero, "
    "and the second is whole"
)
def has_length(context: Any, status: int) -> None:
    """Check both responses."""
    assert _check_both(context, status).headers["content-length"] == "0", context.first


def _check_both(context: Any, status: int) -> Received:
    """Return the first response, whose connection was kept and carried the second."""
    first: Received = context.first
    assert first.status == status, (first, context.rest)
    assert first.headers["connection"] == "keep-alive", first
    second = parse_answer(context.rest)
    assert (second.status, second.body, second.whole) == (200, b"whole", True), context.rest
    return first
