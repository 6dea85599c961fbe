"""Check what becomes of connections that pass nothing on, or hardly anything."""

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

SEND_EVERY_S = 0.05
SENDS_FOR_S = 6.0


@given("a store that sends one byte every 50 ms")
def trickling_store(context: Any) -> None:
    """Send an answer's head as slowly, for some seconds."""

    def trickle(connection: socket.socket, _address: tuple[str, int]) -> None:
        with suppress(OSError):
            connection.sendall(b"HTTP/1.1 200 OK\r\nX-Slow: ")
            for _ in range(int(SENDS_FOR_S / SEND_EVERY_S)):
                connection.sendall(b"x")
                gevent.sleep(SEND_EVERY_S)

    server = StreamServer(("127.0.0.1", 0), trickle)
    server.start()
    context.add_cleanup(server.stop, timeout=0)
    context.store = Store(f"127.0.0.1:{server.server_port}")


@then("a call of it fails within {seconds:g} s")
def fails_in_time(context: Any, seconds: float) -> None:
    """Call it."""
    began = time.monotonic()
    try:
        context.store.list("k")
    except PlatformUnavailable:
        took_s = time.monotonic() - began
        assert took_s <= seconds, f"{took_s:.2f} s"
        return
    raise AssertionError("an answer without an end was taken")


@given("two instances that exchange messages through a proxy")
def linked(context: Any) -> None:
    """Link two instances one way, and wait for a first message."""
    key, kinds = b"key", message_types_of(GatewayMessage)
    address = f"127.0.0.1:{free_port()}"
    context.heard = []
    near = PeerLinks("near", f"127.0.0.1:{free_port()}", key, kinds, lambda *_: None)
    far = PeerLinks("far", address, key, kinds, lambda *message: context.heard.append(message))
    far.start()
    context.add_cleanup(far.stop)
    context.proxy = Proxy(address)
    context.add_cleanup(context.proxy.stop)
    context.links = near
    send_until_heard(context, 2.0)


@when("the open connections between them fall silent")
def links_fall_silent(context: Any) -> None:
    """Silence the proxy's connections."""
    context.proxy.silence_open()
    context.heard.clear()


@then("messages arrive again within {seconds:g} s")
def heard_again(context: Any, seconds: float) -> None:
    """Go on to send, as instances do."""
    send_until_heard(context, seconds)


def send_until_heard(context: Any, seconds: float) -> None:
    """Send again and again until something arrives."""
    with gevent.Timeout(seconds, AssertionError(f"nothing was heard for {seconds:g} s")):
        while not context.heard:
            context.links.send("far", context.proxy.address, UpstreamDoubted("near", "u1"))
            gevent.sleep(SEND_EVERY_S)
