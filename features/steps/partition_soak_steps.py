"""Test the partitions of the fault soak."""

from __future__ import annotations

from typing import Any

from behave import then, when
from gevent import socket

from driftstall.util.addresses import split_address
from features.steps.soak_steps import passes
from soak.plan import PartitionFault

NOT_ESTABLISHED_S = 0.2


def try_connect(context: Any) -> type[OSError] | None:
    """Open a new connection through the proxy; return the type of the error, if any."""
    try:
        address = split_address(context.proxy.address)
        socket.create_connection(address, NOT_ESTABLISHED_S).close()
    except OSError as error:
        return type(error)
    return None


@when('it partitions by "{fault}"')
def partition(context: Any, fault: str) -> None:
    """Cut the links."""
    context.proxy.partition(PartitionFault(fault))


@when("the partition ends")
def heal(context: Any) -> None:
    """Restore the links."""
    context.proxy.heal()


@then("a new connection is not established")
def not_established(context: Any) -> None:
    """Check that a connection times out."""
    assert try_connect(context) is TimeoutError


@then("a new connection is refused")
def refused(context: Any) -> None:
    """Check that a connection is refused."""
    assert try_connect(context) is ConnectionRefusedError


@then("the open connection passes everything")
def open_passes(context: Any) -> None:
    """Check the connection that was opened before."""
    assert passes(context.open)
