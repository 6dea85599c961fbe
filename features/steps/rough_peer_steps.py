"""Send what exhausts memory or descriptors to the port for peers."""

from __future__ import annotations

from contextlib import suppress
from typing import Any, Final
from unittest.mock import patch

import gevent
from behave import given, then, when
from gevent import socket

from driftstall.peers import link
from driftstall.peers.codec import HEADER, MAX_FRAME_BYTES, message_types_of
from driftstall.peers.gateway_messages import GatewayMessage, UpstreamDoubted
from features.steps.gateway_node_steps import start_gated, wait_for_processes
from features.worlds.crowd import Crowd, count_descriptors, descriptor_limit, peak_memory_mb
from measures.bench import free_port

BLOCK_BYTES: Final = 100_000
SEND_WAIT_S: Final = 15.0
TRICKLE_PAUSE_S: Final = 0.2


def attacked(context: Any) -> Any:
    """Return the instance that learns from its peer alone."""
    return context.nodes[1]


def start_crowd(context: Any, count: int, prefix: bytes, blocks: int) -> None:
    """Start a crowd at the peers' port."""
    address = attacked(context).listen["control"]
    context.crowd = Crowd(address, count, prefix, b"x" * BLOCK_BYTES, blocks)
    context.add_cleanup(context.crowd.close)


@given("two gateway processes with {limit:d} descriptors, one behind a gate")
def start_limited(context: Any, limit: int) -> None:
    """Start two processes under a lower limit of descriptors."""
    with descriptor_limit(limit):
        start_gated(context)


@when("{count:d} connections to the peers' port each send a frame of 4 MB but its last bytes")
def hold_frames(context: Any, count: int) -> None:
    """Announce the largest frames, and send all but the last block of each."""
    start_crowd(context, count, HEADER.pack(MAX_FRAME_BYTES), MAX_FRAME_BYTES // BLOCK_BYTES - 1)
    context.crowd.join(SEND_WAIT_S)


@when("{count:d} connections to the peers' port each send a frame byte by byte")
def trickle(context: Any, count: int) -> None:
    """Announce frames, and send a byte of each now and then."""
    start_crowd(context, count, HEADER.pack(MAX_FRAME_BYTES), 0)
    context.crowd.join(SEND_WAIT_S)
    context.crowd.keep_sending(b"x", TRICKLE_PAUSE_S)


@when("{count:d} connections to the peers' port each send {frames:d} false frames of 100 kB")
def send_false(context: Any, count: int, frames: int) -> None:
    """Send frames without the key, each on a connection of its own."""
    host, port = attacked(context).listen["control"].split(":")
    frame = HEADER.pack(BLOCK_BYTES) + b"x" * BLOCK_BYTES

    def send() -> None:
        for _ in range(frames):
            with suppress(OSError), socket.create_connection((host, int(port)), SEND_WAIT_S) as own:
                own.sendall(frame)
                own.recv(1)

    context.jobs = [gevent.spawn(send) for _ in range(count)]
    context.add_cleanup(gevent.killall, context.jobs)


@when("{count:d} silent connections to the peers' port are opened")
def open_silent(context: Any, count: int) -> None:
    """Open connections and send nothing."""
    start_crowd(context, count, b"", 0)
    context.crowd.join(SEND_WAIT_S)


@then("the peers' port closes the connections of the crowd")
def crowd_closed(context: Any) -> None:
    """Wait until each connection has been closed by the process."""
    wait_for_processes("all are closed", lambda: context.crowd.open_count == 0)


@then("the instance with this peers' port has used at most {memory:d} MB and {most:d} descriptors")
def peers_used(context: Any, memory: int, most: int) -> None:
    """Check the peak memory and the descriptors."""
    pid = attacked(context).process.pid
    peak_mb, descriptors = peak_memory_mb(pid), count_descriptors(pid)
    print(f"peak {peak_mb:.0f} MB, {descriptors} descriptors")
    assert peak_mb <= memory, f"{peak_mb:.0f} MB"
    assert descriptors <= most, descriptors
    assert "Traceback" not in attacked(context).log.read_text()


@given("two linked instances, one of which raises on its first message")
def raising(context: Any) -> None:
    """Link two instances; the handler of the receiving one fails once."""
    context.handled = 0

    def handle(_sender: str, _message: Any) -> None:
        context.handled += 1
        if context.handled == 1:
            raise AttributeError("no such field")

    key, message_types = b"key", message_types_of(GatewayMessage)
    context.peer_address = f"127.0.0.1:{free_port()}"
    receiver = link.PeerLinks("far", context.peer_address, key, message_types, handle)
    receiver.start()
    context.add_cleanup(receiver.stop)
    own = f"127.0.0.1:{free_port()}"
    context.links = link.PeerLinks("near", own, key, message_types, lambda *_: None)


@when("messages are sent over that link until one has been handled")
def send_until_handled(context: Any) -> None:
    """Keep sending, as instances do, and record the log."""
    context.logged = []
    record = patch.object(link, "log_event", lambda *line, **_: context.logged.append(line))
    with record, gevent.Timeout(SEND_WAIT_S, AssertionError("no message was handled")):
        while context.handled < 2:
            context.links.send("far", context.peer_address, UpstreamDoubted("near", "u1"))
            gevent.sleep(TRICKLE_PAUSE_S)


@then("the log names the exception of the handler")
def named(context: Any) -> None:
    """Check that one line has the exception's type."""
    assert any("AttributeError" in line[1] for line in context.logged), context.logged
