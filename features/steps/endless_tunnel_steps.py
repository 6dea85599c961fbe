"""Check a gateway process that serves tunnels to an upstream that sends without end."""

from __future__ import annotations

from typing import Any, Final

import gevent
from behave import given, then, when

from driftstall.exceptions import InvalidResponse, UpstreamError
from driftstall.gateway.events import EventSplitter
from driftstall.gateway.exchange import BodyChunk, UpstreamExchange
from driftstall.gateway.forwarding.tunnel import MAX_FRAME_BYTES, TunnelConnection
from driftstall.gateway.response_buffers import ResponseBuffers
from driftstall.peers.codec import message_types_of
from driftstall.peers.gateway_messages import GatewayMessage
from driftstall.peers.link import PeerLinks
from driftstall.peers.tunnel_messages import TunnelOutcome, TunnelRequested
from driftstall.platform.settings import DEFAULT_PEER_KEY
from driftstall.util import clock
from driftstall.util.pacing import DenseInputPacer
from features.steps.endless_upstream_steps import add_upstream
from features.steps.gateway_node_steps import wait_for_processes
from measures.bench import free_port
from stand_ins.endless import ENDLESS_STREAMS, EndlessUpstream

READ_S: Final = 2.0
BUFFER_BYTES: Final = 4_000_000
HEADERS: Final = ((b"Host", b"x"), (b"X-Driftstall-Request-Id", b"r1"))


@given("an upstream that sends tunnels {data} without end")
def endless_behind_tunnel(context: Any, data: str) -> None:
    """Register an upstream that is reached through tunnels."""
    add_upstream(context, "endless", EndlessUpstream("endless-1", ENDLESS_STREAMS[data]))


def _open_tunnel(context: Any, links: PeerLinks) -> bool:
    """Open one more tunnel, and send a request through it."""
    request = TunnelRequested("near", "endless-1", 1000, "r1")
    address = context.node.listen["control"]
    connection, outcome = links.open_tunnel(context.node.name, address, request, 1.2)
    if outcome is not TunnelOutcome.OPENED:
        connection.close()
        return False
    tunnel = TunnelConnection(connection, lambda: None)
    exchange = UpstreamExchange(tunnel, context.near_buffers, context.pacer)
    context.add_cleanup(exchange.close)
    exchange.send(b"POST", b"/stream/a", HEADERS, b"body", READ_S)
    context.tunnels.append((tunnel, exchange))
    return True


@when("a peer opens {count:d} tunnels to it")
def open_tunnels(context: Any, count: int) -> None:
    """Open tunnels once the process knows the upstream, and wait until bytes come."""
    types = message_types_of(GatewayMessage)
    own = f"127.0.0.1:{free_port()}"
    links = PeerLinks("near", own, DEFAULT_PEER_KEY.encode(), types, lambda *_: None)
    context.near_buffers = ResponseBuffers(BUFFER_BYTES)
    context.pacer, context.tunnels = DenseInputPacer(), []
    wait_for_processes("a tunnel is open", lambda: _open_tunnel(context, links))
    for _ in range(count - 1):
        assert _open_tunnel(context, links)
    wait_for_processes("bytes come", lambda: context.endless.sender.started == count)


def _read(context: Any, tunnel: TunnelConnection, exchange: UpstreamExchange) -> None:
    """Read as a stream is read, and record the most that the tunnel holds."""
    splitter = EventSplitter()
    exchange.on_evicted = splitter.discard
    until = clock.now() + READ_S
    try:
        while True:
            item = exchange.next(lambda: until - clock.now())
            if isinstance(item, BodyChunk):
                splitter.feed(item.data)
                exchange.hold(splitter.buffered_bytes)
            context.most_held = max(context.most_held, len(tunnel._buffer))
    except InvalidResponse:
        context.evicted += 1
    except (UpstreamError, TimeoutError):
        return


@when("the peer reads them all")
def read_all(context: Any) -> None:
    """Read at all near ends."""
    context.most_held = context.evicted = 0
    gevent.joinall([gevent.spawn(_read, context, *each) for each in context.tunnels])


@then("its tunnels hold no more than two frames each, and its buffers end some responses")
def near_bounds(context: Any) -> None:
    """Check the near ends."""
    assert 0 < context.most_held <= 2 * MAX_FRAME_BYTES, context.most_held
    assert context.evicted and context.near_buffers.total <= BUFFER_BYTES
