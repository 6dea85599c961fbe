"""Test tunnels whose upstream resets its connection while the request is passed to it."""

from __future__ import annotations

from typing import Any, Final, cast

import gevent
from behave import given, then, when
from gevent import socket

from driftstall.gateway.forwarding.connector import UpstreamConnector
from driftstall.gateway.forwarding.tunnel import TunnelConnection
from driftstall.gateway.forwarding.tunnel_server import TunnelServer
from driftstall.gateway.model import Upstream
from driftstall.gateway.stats import GatewayStats
from driftstall.peers.tunnel_messages import TunnelRequested
from features.worlds.gateway_world import WAIT_S, wait_for
from features.worlds.upstream_samples import upstream_of
from stand_ins.routed import reset

BUFFER_BYTES: Final = 4_096
"""Size of the tunnel's buffers, so that it is full while the response is not read."""
UNFRAMED_HEAD: Final = b"HTTP/1.1 200 OK\r\n\r\n"
BODY: Final = b"x" * 60_000
HEAD_WITH_LENGTH: Final = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY)
MORE: Final = b"more of the request"


def _connected() -> tuple[socket.socket, socket.socket]:
    """Return both ends of a connection with small buffers."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        near = socket.socket()
        near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        near.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        near.connect(listener.getsockname())
        far, _ = listener.accept()
        far.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    return near, far


class OneUpstream:
    """A connector whose upstream is the far end of an open connection."""

    def __init__(self) -> None:
        """Open the connection."""
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            self._near = socket.create_connection(listener.getsockname())
            self.far, _ = listener.accept()

    def connect_for_peer(self, _: Upstream, __: float) -> socket.socket:
        """Return the near end."""
        return self._near


def _open(context: Any, response: bytes) -> None:
    """Open a tunnel, send a response that fills it, and reset the upstream's connection."""
    connector, context.stats = OneUpstream(), GatewayStats()
    server = TunnelServer(
        cast(UpstreamConnector, connector),
        context.stats,
        find=upstream_of,
        accepts=lambda: True,
        answer=lambda *_: None,
    )
    near, far = _connected()
    request = TunnelRequested("near", "upstream-1", 1000, "r1")
    context.serving = gevent.spawn(server.serve, far, request)
    context.add_cleanup(context.serving.kill)
    context.tunnel = TunnelConnection(near, lambda: None)
    context.add_cleanup(context.tunnel.close)
    context.tunnel.settimeout(WAIT_S)
    context.tunnel.sendall(b"request")
    assert connector.far.recv(100) == b"request"
    context.response = response
    connector.far.sendall(response)
    wait_for("the tunnel passes the response", lambda: context.stats.tunnels_served == 1)
    reset(connector.far)


@given("a tunnel to an upstream that resets its connection after a part of its response")
def resets(context: Any) -> None:
    """Send a part of a response without framing."""
    _open(context, UNFRAMED_HEAD + BODY)


@given("a tunnel to an upstream that answers with a length and resets its connection")
def answers_and_resets(context: Any) -> None:
    """Send a whole response."""
    _open(context, HEAD_WITH_LENGTH + BODY)


@when("more of the request is sent through the tunnel, and then its response is read")
def send_more(context: Any) -> None:
    """Send until the upstream's reset has been reported to the sender, then read."""
    context.tunnel.sendall(MORE)
    wait_for("sending fails", lambda: context.stats.tunnel_send_errors == 1)
    context.body, context.is_in_order = b"", True
    try:
        while piece := context.tunnel.recv(65_536):
            context.body += piece
    except ConnectionResetError:
        context.is_in_order = False


@then("the part of the response has come, and the tunnel has not ended in order")
def broken_off(context: Any) -> None:
    """Check the bytes and the end."""
    assert context.response.startswith(context.body), len(context.body)
    assert not context.is_in_order, len(context.body)


@then("the response is whole by its length")
def whole_by_length(context: Any) -> None:
    """Check the bytes."""
    assert context.body == context.response, len(context.body)
