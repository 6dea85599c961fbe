"""Test responses to HEAD requests on connections that are kept."""

from __future__ import annotations

from typing import Any, Final

from behave import then, when
from gevent import socket

from features.worlds.gateway_world import parse_answer, request_bytes, world_of

HEAD_END: Final = b"\r\n\r\n"
BODY_BYTES: Final = 4
"""Bytes of the body of the world's requests."""


@when('HEAD "{first}" and then POST "{second}" are asked on one connection')
def ask_both(context: Any, first: str, second: str) -> None:
    """Send both requests, the second after the head of the first response."""
    connection = world_of(context).connect()
    head = request_bytes(first, "r1", method="HEAD", Connection="keep-alive", Content_Length="")
    connection.sendall(head[:-BODY_BYTES])
    context.data = b""
    while HEAD_END not in context.data:
        context.data += _receive(connection)
    connection.sendall(request_bytes(second, "r2"))
    while piece := _receive(connection):
        context.data += piece
    connection.close()


def _receive(connection: socket.socket) -> bytes:
    """Receive some bytes; none at the end of the connection."""
    return bytes(connection.recv(65_536))


@then("the responses are a head with status {first:d}, and a whole one with status {second:d}")
def both_answered(context: Any, first: int, second: int) -> None:
    """Check that nothing is between the head and the second response."""
    head, _, rest = context.data.partition(HEAD_END)
    assert parse_answer(head + HEAD_END).status == first, context.data
    assert rest.startswith(b"HTTP/1.1 "), context.data
    answer = parse_answer(rest)
    assert (answer.status, answer.body, answer.whole) == (second, b"whole", True), context.data
