"""Check that limits on memory and connections spare callers inside the limits."""

from __future__ import annotations

from typing import Any, Final

import gevent
from behave import given, then, when
from gevent import socket

from driftstall.decisions.buffer_budget import BufferBudget
from driftstall.gateway.callers.auxiliary import AuxiliaryListener
from driftstall.gateway.callers.connections import ConnectionTable
from driftstall.gateway.callers.refusals import refuse
from driftstall.gateway.ingress import CallerConnection, CallerRequest, OverloadRefusal
from driftstall.gateway.listeners import ReadinessHandler
from driftstall.gateway.model import Limits
from driftstall.gateway.stats import GatewayStats
from driftstall.helpers.inbound import InboundLimits
from driftstall.peers.codec import message_types_of
from driftstall.peers.gateway_messages import GatewayMessage, UpstreamDoubted
from driftstall.peers.link import PeerLinks
from driftstall.peers.tunnel_messages import TunnelRequested
from features.worlds.gateway_world import GatewayWorld, read_response, wait_for
from measures.bench import free_port

WAIT_S: Final = 10.0
HEAD: Final = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
SOON_S: Final = 0.05
SILENT_S: Final = 1.2


def connect(context: Any) -> tuple[socket.socket, socket.socket]:
    """Return the caller's and the instance's end of a connection."""
    listener = socket.create_server(("127.0.0.1", 0))
    near = socket.create_connection(listener.getsockname(), WAIT_S)
    far, _ = listener.accept()
    listener.close()
    context.add_cleanup(near.close)
    return near, far


def open_caller(
    context: Any, limits: Limits | None = None, budget: BufferBudget | None = None
) -> tuple[socket.socket, CallerConnection]:
    """Return a caller's socket and the instance's connection."""
    near, far = connect(context)
    connection = CallerConnection(far, lambda: limits or Limits(), budget)
    context.add_cleanup(connection.close)
    return near, connection


def hold(budget: BufferBudget, size: int) -> None:
    """Take bytes as a request in progress does."""
    account = budget.open(lambda: None)
    assert account.grow(size)
    account.protect()


@given("a budget of 1,000,000 bytes of which requests in progress hold 950,000")
def held_budget(context: Any) -> None:
    """Hold most of the budget."""
    budget = BufferBudget(1_000_000)
    hold(budget, 950_000)
    context.near, context.connection = open_caller(context, budget=budget)
    context.budget = budget


@when("a response of 100,000 bytes is written")
def write_response(context: Any) -> None:
    """Write in a greenlet, while the caller reads."""
    context.written = gevent.spawn(context.connection.write, b"x" * 100_000)


@then("its caller receives it whole")
def receives_whole(context: Any) -> None:
    """Read all bytes; the budget is as before afterwards."""
    got = b""
    while len(got) < 100_000 and (piece := context.near.recv(65_536)):
        got += piece
    assert len(got) == 100_000 and context.written.get(timeout=WAIT_S)
    assert context.budget.used_bytes == 950_000, context.budget.used_bytes


@given("a budget of 100,000 bytes, and a caller that has sent 60,000 bytes of a body")
def unfinished_body(context: Any) -> None:
    """Wait until the bytes were read and the connection waits for more."""
    context.budget = BufferBudget(100_000)
    context.near, connection = open_caller(context, budget=context.budget)

    def serve() -> Any:
        result = connection.next()
        if isinstance(result, OverloadRefusal):
            refuse(connection, result, GatewayStats())
            connection.finish_writing()
        connection.close()
        return result

    context.first = gevent.spawn(serve)
    context.near.sendall(HEAD % 90_000 + b"x" * 60_000)
    wait_for("the bytes were read", lambda: context.budget.used_bytes > 60_000)
    gevent.sleep(SOON_S)


@when("another caller sends a whole request of 50,000 bytes")
def other_request(context: Any) -> None:
    """Read it with the same budget."""
    near, connection = open_caller(context, budget=context.budget)
    context.second = gevent.spawn(connection.next)
    near.sendall(HEAD % 50_000 + b"x" * 50_000)


@then("the first caller gets a whole 503 with a Retry-After, and the second request is read")
def evicted_refused(context: Any) -> None:
    """Check both."""
    assert isinstance(context.second.get(timeout=WAIT_S), CallerRequest)
    answer = read_response(context.near)
    assert (answer.status, answer.whole) == (503, True), answer
    assert "retry-after" in answer.headers, answer


@given("4 connections that have been used and are idle, which is the limit")
def idle_connections(context: Any) -> None:
    """Let each send one request and read it."""
    context.open_table = ConnectionTable(4, lambda: None)
    context.idle = []
    for _ in range(4):
        near, connection = open_caller(context)
        assert context.open_table.add(connection)
        near.sendall(HEAD % 0)
        assert isinstance(connection.next(), CallerRequest)
        reader = gevent.spawn(connection.next)
        context.idle.append(reader)
    gevent.sleep(SILENT_S)


@when("4 callers connect and send a request soon after")
def new_callers(context: Any) -> None:
    """Connect all, and then send."""
    callers = [open_caller(context) for _ in range(4)]
    context.readers = []
    for _, connection in callers:
        assert context.open_table.add(connection)
        context.readers.append(gevent.spawn(connection.next))
    gevent.sleep(SOON_S)
    for near, _ in callers:
        near.sendall(HEAD % 0)


@then("all 4 requests are read, and the idle connections are closed")
def all_read(context: Any) -> None:
    """Check the results of the readers."""
    assert all(isinstance(r.get(timeout=WAIT_S), CallerRequest) for r in context.readers)
    gevent.joinall(context.idle, timeout=WAIT_S)
    assert all(reader.ready() for reader in context.idle)


@given("a gateway whose budget is held by requests in progress")
def busy_gateway(context: Any) -> None:
    """Hold the whole budget, and start a readiness listener."""
    world = GatewayWorld()
    context.add_cleanup(world.close)
    hold(world.state.buffers, world.state.buffers.capacity_bytes)
    context.address = f"127.0.0.1:{free_port()}"
    AuxiliaryListener(context.address, ReadinessHandler(world.state), world.state).start()


@then("a readiness check is answered")
def readiness_answered(context: Any) -> None:
    """Send a check."""
    host, port = context.address.split(":")
    near = socket.create_connection((host, int(port)), WAIT_S)
    near.sendall(b"GET /api/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
    answer = read_response(near)
    assert answer.status in (200, 503) and "retry-after" not in answer.headers, answer


@given("a connection whose requests have 0.5 s, with one and a half requests sent")
def one_and_a_half(context: Any) -> None:
    """Send one whole request, and the head's first half of another."""
    context.near, context.connection = open_caller(context, Limits(header_timeout_s=0.5))
    context.near.sendall(HEAD % 0 + HEAD[:20])


@when("the first one is served for 0.7 s, and the rest of the second one is sent")
def serve_first(context: Any) -> None:
    """Read the first request, and the second one later."""
    assert isinstance(context.connection.next(), CallerRequest)
    gevent.sleep(0.7)
    context.second = gevent.spawn(context.connection.next)
    gevent.sleep(SOON_S)
    context.near.sendall((HEAD % 0)[20:])


@then("the second request is read")
def second_read(context: Any) -> None:
    """Check the result."""
    result = context.second.get(timeout=WAIT_S)
    assert isinstance(result, CallerRequest), result


@given("a connection with a budget of 6,000 bytes")
def small_budget(context: Any) -> None:
    """Hold most of the budget elsewhere."""
    budget = BufferBudget(6_000)
    hold(budget, 5_000)
    context.near, context.connection = open_caller(context, budget=budget)


@when("3 whole requests of 500 bytes arrive at once")
def three_requests(context: Any) -> None:
    """Send them in one piece."""
    context.near.sendall((HEAD % 500 + b"x" * 500) * 3)
    gevent.sleep(SOON_S)


@then("all 3 are read")
def three_read(context: Any) -> None:
    """Read them."""
    results = [context.connection.next() for _ in range(3)]
    assert all(isinstance(result, CallerRequest) for result in results), results


@given("a peers' port that takes 2 connections, both of which are tunnels now")
def tunnels(context: Any) -> None:
    """Request two tunnels that last until the end of the scenario."""
    context.key, types = b"key", message_types_of(GatewayMessage)
    context.types, context.received = types, []
    context.peer = f"127.0.0.1:{free_port()}"
    receiver = PeerLinks(
        "far",
        context.peer,
        context.key,
        types,
        lambda _, message: context.received.append(message),
        InboundLimits(2, 1_000_000),
    )
    served: list[Any] = []

    def serve(connection: Any, _: TunnelRequested) -> None:
        """Keep the tunnel open."""
        served.append(connection)
        gevent.sleep(WAIT_S)

    receiver.serve_tunnel = serve
    receiver.start()
    context.add_cleanup(receiver.stop)
    for number in range(2):
        sender = PeerLinks(f"near-{number}", "127.0.0.1:1", context.key, types, lambda *_: None)
        sender.send("far", context.peer, TunnelRequested(f"near-{number}", "u1", 1_000, ""))
    wait_for("both are tunnels", lambda: len(served) == 2)


@then("a message of another peer is received")
def message_received(context: Any) -> None:
    """Send a message."""
    sender = PeerLinks("near-9", "127.0.0.1:1", context.key, context.types, lambda *_: None)
    sender.send("far", context.peer, UpstreamDoubted("near-9", "u1"))
    wait_for("it is received", lambda: bool(context.received))
