"""Test the client that reads answers whose sender never stops."""

from __future__ import annotations

from typing import Any, Final

import gevent
from behave import given, then, when
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from driftstall.exceptions import UpstreamError
from driftstall.util.http import Exchange

HEAD: Final = b"HTTP/1.1 200 OK\r\n"
STARTS: Final = {
    "headers": HEAD + b"X-Filler: ",
    "body": HEAD + b"\r\n",
    "event": HEAD + b"\r\nid: 1\ndata: ",
}
PAUSE_S: Final = 0.02
PATIENCE_S: Final = 8.0


def _start_peer(context: Any, part: str, piece: bytes, pause_s: float) -> None:
    """Listen, and answer each connection with pieces until it is closed."""
    context.part = part
    closed = context.closed = Event()

    def serve(connection: socket.socket, _: tuple[str, int]) -> None:
        try:
            connection.sendall(STARTS[part])
            while True:
                connection.sendall(piece)
                gevent.sleep(pause_s)
        except OSError:
            closed.set()

    context.server = StreamServer(("127.0.0.1", 0), serve)
    context.server.start()
    context.add_cleanup(context.server.stop, 0)


@given("a peer whose {part} trickles in without end")
def trickles(context: Any, part: str) -> None:
    """Start a peer that sends a byte at a time."""
    _start_peer(context, part, b"x", PAUSE_S)


@given("a peer whose {part} never stops")
def never_stops(context: Any, part: str) -> None:
    """Start a peer that sends as fast as it can."""
    _start_peer(context, part, b"x" * 65_536, 0.0)


@when("its answer is read within {seconds:g} s")
def read(context: Any, seconds: float) -> None:
    """Read the answer, or the first event; without an end of the read the error is None."""
    context.error = None
    address = f"127.0.0.1:{context.server.server_port}"
    try:
        with gevent.Timeout(PATIENCE_S, False):
            exchange = Exchange.open(address, "GET", "/", {}, b"", seconds)
            try:
                exchange.read_event() if context.part == "event" else exchange.read()
            finally:
                exchange.close()
    except UpstreamError as error:
        context.error = error


@then("the client gives up and closes the connection")
def gives_up(context: Any) -> None:
    """Check the error, and that the peer can send no more."""
    assert context.error is not None and context.error.sent, context.error
    assert context.closed.wait(PATIENCE_S)
