"""Test timeouts on connections that transfer nothing, or hardly anything."""

from __future__ import annotations

import time
from contextlib import suppress
from typing import Any

import gevent
from behave import given, then, when
from gevent import socket
from gevent.server import StreamServer

from driftstall.exceptions import PlatformUnavailable
from driftstall.peers.codec import message_types_of
from driftstall.peers.gateway_messages import GatewayMessage, UpstreamDoubted
from driftstall.peers.link import PeerLinks
from driftstall.platform.store import Store
from measures.bench import free_port
from soak.proxy import Proxy

SEND_INTERVAL_S = 0.05
SEND_DURATION_S = 6.0


@given("a store that sends one byte every 50 ms")
def trickling_store(context: Any) -> None:
    """Start a server that sends a response head one byte at a time for some seconds."""

    def trickle(connection: socket.socket, _address: tuple[str, int]) -> None:
        with suppress(OSError):
            connection.sendall(b"HTTP/1.1 200 OK\r\nX-Slow: ")
            for _ in range(int(SEND_DURATION_S / SEND_INTERVAL_S)):
                connection.sendall(b"x")
                gevent.sleep(SEND_INTERVAL_S)

    server = StreamServer(("127.0.0.1", 0), trickle)
    server.start()
    context.add_cleanup(server.stop, timeout=0)
    context.store = Store(f"127.0.0.1:{server.server_port}")


@then("a call of it fails within {seconds:g} s")
def fails_in_time(context: Any, seconds: float) -> None:
    """Call the store and check the time until PlatformUnavailable is raised."""
    started_at = time.monotonic()
    try:
        context.store.list("k")
    except PlatformUnavailable:
        took_s = time.monotonic() - started_at
        assert took_s <= seconds, f"{took_s:.2f} s"
        return
    raise AssertionError("an endless response was accepted")


@given("two instances that exchange messages through a proxy")
def linked(context: Any) -> None:
    """Link two instances in one direction, and wait for a first message."""
    key, message_types = b"key", message_types_of(GatewayMessage)
    address = f"127.0.0.1:{free_port()}"
    context.received = []
    sender = PeerLinks("near", f"127.0.0.1:{free_port()}", key, message_types, lambda *_: None)
    receiver = PeerLinks(
        "far", address, key, message_types, lambda *message: context.received.append(message)
    )
    receiver.start()
    context.add_cleanup(receiver.stop)
    context.proxy = Proxy(address)
    context.add_cleanup(context.proxy.stop)
    context.links = sender
    send_until_received(context, 2.0)


@when("the open connections between them fall silent")
def links_fall_silent(context: Any) -> None:
    """Silence the proxy's open connections."""
    context.proxy.silence_open()
    context.received.clear()


@then("messages arrive again within {seconds:g} s")
def received_again(context: Any, seconds: float) -> None:
    """Keep sending, as instances do, until a message arrives."""
    send_until_received(context, seconds)


def send_until_received(context: Any, seconds: float) -> None:
    """Send messages repeatedly until one arrives."""
    with gevent.Timeout(seconds, AssertionError(f"nothing was received for {seconds:g} s")):
        while not context.received:
            context.links.send("far", context.proxy.address, UpstreamDoubted("near", "u1"))
            gevent.sleep(SEND_INTERVAL_S)
