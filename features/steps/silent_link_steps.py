"""Test connections whose other end falls silent."""

from __future__ import annotations

import struct
import time
from collections.abc import Callable
from typing import Any, Final

import gevent
from behave import given, then, when
from gevent import socket
from gevent.server import StreamServer

from driftstall.gateway.outcomes import Outcome, OutlierDetector
from driftstall.util import http
from driftstall.util.addresses import split_address
from features.steps.partition_steps import ask_and
from features.worlds.gateway_world import runs, wait_for, world_of

SO_ATTACH_FILTER: Final = 26
SO_DETACH_FILTER: Final = 27
DROP_ALL: Final = struct.pack("HBBI", 0x06, 0, 0, 0)
"""A classic BPF program of one instruction, which accepts no byte of any packet."""
MAX_WAIT_S: Final = 6.0
KINDS: Final[dict[str, Callable[[socket.socket], None]]] = {
    "to an upstream": http.configure_socket,
    "of a tunnel": http.configure_tunnel_socket,
}


def drop_packets(connection: socket.socket) -> None:
    """Drop all packets that arrive for a socket, so that nothing is acknowledged."""
    import ctypes

    program = ctypes.create_string_buffer(DROP_ALL)
    filters = struct.pack("HxxxxxxP", 1, ctypes.addressof(program))
    connection.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, filters)


def accept_packets(connection: socket.socket) -> None:
    """Let packets arrive again."""
    connection.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)


@given("a connection {kind}")
def open_connection(context: Any, kind: str) -> None:
    """Open a connection with the options of its kind, and keep both ends."""
    accepted: list[socket.socket] = []

    def hold(connection: socket.socket, _: tuple[str, int]) -> None:
        accepted.append(connection)
        gevent.sleep(MAX_WAIT_S * 2)

    server = StreamServer(("127.0.0.1", 0), hold)
    server.start()
    context.add_cleanup(server.stop, timeout=0)
    address = split_address(f"127.0.0.1:{server.server_port}")
    context.connection = socket.create_connection(address)
    KINDS[kind](context.connection)
    while not accepted:
        gevent.sleep(0.001)
    context.other = accepted[0]
    context.other.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)


@when("its other end falls silent")
def fall_silent(context: Any) -> None:
    """Drop all packets at the other end."""
    drop_packets(context.other)
    context.silent_at = time.monotonic()


@when("its other end falls silent and a byte is sent")
def fall_silent_and_send(context: Any) -> None:
    """Drop all packets at the other end, and send something that is not acknowledged."""
    fall_silent(context)
    context.connection.sendall(b"x")


@when("its other end falls silent for {seconds:g} s")
def silent_for(context: Any, seconds: float) -> None:
    """Drop all packets at the other end for a while."""
    drop_packets(context.other)
    gevent.spawn_later(seconds, accept_packets, context.other)
    gevent.spawn_later(seconds + 1.5, context.other.sendall, b"x")


@then("it ends between {least:g} s and {most:g} s later")
def ends_between(context: Any, least: float, most: float) -> None:
    """Wait for the error of the connection."""
    context.connection.settimeout(MAX_WAIT_S)
    try:
        context.connection.recv(1)
        raise AssertionError("the connection has not failed")
    except TimeoutError as error:
        took_s = time.monotonic() - context.silent_at
        assert error.errno is not None, "the connection is still open"
    assert least <= took_s <= most, took_s


@then("a byte passes afterwards")
def byte_passes(context: Any) -> None:
    """Read a byte from the connection."""
    context.connection.settimeout(MAX_WAIT_S)
    assert context.connection.recv(1) == b"x"


@when("its other end reads nothing for {seconds:g} s while it is written to")
def reads_nothing(context: Any, seconds: float) -> None:
    """Fill the buffers of the connection, and wait."""
    context.connection.settimeout(seconds)
    context.error = None
    try:
        while True:
            context.connection.sendall(b"x" * 1_000_000)
    except TimeoutError as error:
        context.error = error


@then("it has not ended")
def has_not_ended(context: Any) -> None:
    """Check that the write has timed out here, and that the connection has no error."""
    assert context.error is not None and context.error.errno is None, context.error
    assert context.connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0


@when('"{path}" is asked as "{request_id}", and its engine goes on after {seconds:g} s')
def goes_on(context: Any, path: str, request_id: str, seconds: float) -> None:
    """Let the engine of a stream be silent at its pause."""
    ask_and(context, path, request_id, lambda: gevent.sleep(seconds))


@when(
    '"{path}" is asked as "{request_id}", and its engine answers {count:d} probes before it goes on'
)
def goes_on_after_probes(context: Any, path: str, request_id: str, count: int) -> None:
    """Let the engine of a stream be silent until it has been probed."""

    def await_probes() -> None:
        (engine,) = runs(world_of(context), request_id)
        wait_for("the engine is probed", lambda: engine.probes == count)

    ask_and(context, path, request_id, await_probes)


@when('"{path}" is asked as "{request_id}", and its engine answers no probe')
def answers_no_probe(context: Any, path: str, request_id: str) -> None:
    """Let the engine of a stream be silent, also to probes, until another one runs it."""

    def fall_silent() -> None:
        (engine,) = runs(world_of(context), request_id)
        engine.answers_probes = False
        wait_for("it goes on elsewhere", lambda: len(runs(world_of(context), request_id)) == 2)

    ask_and(context, path, request_id, fall_silent)


@given("an upstream to which {count:d} connections fail within {seconds:g} s")
def connections_fail(context: Any, count: int, seconds: float) -> None:
    """Record the failures."""
    context.outcomes, context.now = OutlierDetector(), 100.0
    for _ in range(count):
        context.now += seconds / count
        context.outcomes.record_outcome("u1", "s", Outcome.UNREACHABLE, context.now, 0.35)


@then("it is ejected for {seconds:g} s at most")
def ejected_briefly(context: Any, seconds: float) -> None:
    """Check the end of the ejection."""
    assert context.outcomes.is_ejected("u1", context.now)
    assert not context.outcomes.is_ejected("u1", context.now + seconds)


@then("a failure after that ejects it for longer")
def ejected_longer(context: Any) -> None:
    """Record a failure after the ejection; its time doubles."""
    context.now += 0.5
    context.outcomes.record_outcome("u1", "s", Outcome.UNREACHABLE, context.now, 0.35)
    assert context.outcomes.is_ejected("u1", context.now + 0.5)
