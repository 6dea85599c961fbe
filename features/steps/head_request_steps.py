"""Test responses to HEAD requests on connections that are kept."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Final

from behave import given, then, when
from gevent import socket

from driftstall.daemon.http_responses import StartResponse, send_body
from driftstall.daemon.http_server import build_server
from driftstall.daemon.settings import Settings
from driftstall.gateway.callers.auxiliary import AuxiliaryListener
from driftstall.gateway.responses import encode_response
from features.worlds.gateway_world import WAIT_S, parse_answer, request_bytes, world_of
from measures.bench import free_port

HEAD_END: Final = b"\r\n\r\n"
SECRET: Final = "a secret for tests only"
BODY_BYTES: Final = 4
"""Bytes of the body of the world's requests."""


@when('HEAD "{first}" and then POST "{second}" are asked on one connection')
def ask_both(context: Any, first: str, second: str) -> None:
    """Send both requests, the second after the head of the first response."""
    connection = world_of(context).connect()
    head = request_bytes(first, "r1", method="HEAD", Connection="keep-alive", Content_Length="")
    _ask_both(context, connection, head[:-BODY_BYTES], request_bytes(second, "r2"))


@given('an auxiliary listener of it that answers "{body}"')
def auxiliary_listener(context: Any, body: str) -> None:
    """Start a listener."""
    context.address = f"127.0.0.1:{free_port()}"
    listener = AuxiliaryListener(
        context.address,
        lambda call: encode_response(200, (), body.encode(), keep_alive=call.keep_alive),
        world_of(context).state,
    )
    listener.start()
    context.add_cleanup(listener._server.stop)


@given('the own interface\'s server before an application that answers "{body}"')
def own_interface(context: Any, body: str) -> None:
    """Start a server."""

    def app(_: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        return send_body(start, 200, body.encode(), "text/plain")

    argv = ["--instance-id=a", "--zone=a", f"--operator-token={SECRET}", f"--peer-key={SECRET}"]
    context.address = f"127.0.0.1:{free_port()}"
    server = build_server(
        Settings.from_args(argv, {}), context.address, app, max_body=1_000, descriptor_share=0.3
    )
    server.start()
    context.add_cleanup(server.stop)


@when('HEAD "{first}" and then GET "{second}" are asked of the auxiliary listener')
@when('HEAD "{first}" and then GET "{second}" are asked of the own interface')
def ask_both_of_listener(context: Any, first: str, second: str) -> None:
    """Send both requests to a listener."""
    host, port = context.address.split(":")
    connection = socket.create_connection((host, int(port)), WAIT_S)
    lines = f"HEAD {first} HTTP/1.1\r\nHost: a\r\n\r\n"
    more = f"GET {second} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    _ask_both(context, connection, lines.encode(), more.encode())


def _ask_both(context: Any, connection: socket.socket, first: bytes, second: bytes) -> None:
    """Send a request, and another one after the head of the response to the first."""
    connection.sendall(first)
    context.data = b""
    while HEAD_END not in context.data:
        context.data += _receive(connection)
    connection.sendall(second)
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
