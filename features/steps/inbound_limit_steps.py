"""Test which connections are closed at the limits of a listener."""

from __future__ import annotations

from typing import Any, Final

import gevent
from behave import given, then, when
from gevent import socket

from driftstall.helpers.inbound import Inbound, InboundLimits

MAX_HELD_BYTES: Final = 100
SIZES: Final = (30, 60, 5)
WAIT_S: Final = 5.0


@given("connections that hold 30, 60 and 5 of at most 100 bytes")
def hold(context: Any) -> None:
    """Open as many connections as the limit allows."""
    context.limits = InboundLimits(len(SIZES), MAX_HELD_BYTES)
    context.pairs = {}
    for size in SIZES:
        near, far = socket.socketpair()
        inbound = Inbound(near, context.limits)
        context.pairs[size] = (inbound, near, far)
        assert context.limits.admit(inbound)
        inbound.expect(WAIT_S, WAIT_S)
        inbound.hold(size)


@given("connections that hold 30, 60 and 5 of at most 100 bytes, and wait")
def hold_and_wait(context: Any) -> None:
    """Open the connections, and wait for more on each."""
    hold(context)
    for inbound, _, _ in context.pairs.values():
        job = gevent.spawn(receive, inbound)
        context.add_cleanup(job.kill)
    gevent.idle()
    assert all(inbound.is_waiting for inbound, _, _ in context.pairs.values())


def receive(inbound: Inbound) -> None:
    """Wait for bytes until the connection is closed."""
    try:
        inbound.receive_into(bytearray(1))
    except OSError:
        return


@given("the connection with {size:d} bytes is authenticated")
def authenticated(context: Any, size: int) -> None:
    """Mark the connection."""
    context.pairs[size][0].is_trusted = True


@when("one more holds 20 bytes")
def hold_more(context: Any) -> None:
    """Exceed the limit of bytes."""
    near, _ = socket.socketpair()
    Inbound(near, context.limits).hold(20)


@when("one more is opened than the limit of connections allows")
def open_more(context: Any) -> None:
    """Exceed the limit of connections."""
    near, _ = socket.socketpair()
    context.is_admitted = context.limits.admit(Inbound(near, context.limits))


@then("only the connection with {size:d} bytes is closed")
def only_closed(context: Any, size: int) -> None:
    """Check which connections are open, and what is counted."""
    gevent.idle()
    closed = [own for own, (_, near, _) in context.pairs.items() if near.closed]
    assert closed == [size], closed


@then("it is admitted, and only the connection with {size:d} bytes is closed")
def admitted(context: Any, size: int) -> None:
    """Check that it was admitted in place of another one."""
    assert context.is_admitted
    only_closed(context, size)


@then("it is not admitted, and none is closed")
def not_admitted(context: Any) -> None:
    """Check that it was refused."""
    assert not context.is_admitted
    assert not any(near.closed for _, near, _ in context.pairs.values())
