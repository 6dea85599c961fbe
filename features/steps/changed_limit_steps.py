"""Test limits of requests that change while callers keep their connections open."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, Final

import gevent
from behave import given, then, when

from driftstall.gateway.ingress import CallerConnection, CallerRequest
from driftstall.gateway.model import Limits
from features.steps.overload_fairness_steps import connect
from features.worlds.gateway_world import HOST, KEY, WAIT_S, document, wait_for, world_of

LIMITS: Final = document()["limits"]
IDLE_S: Final = 0.2
HEAD: Final = (
    f"POST /once/a HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
    "X-Driftstall-Request-Id: "
)
SMALL: Final = f"{HEAD}small\r\nContent-Length: 0\r\n\r\n".encode()


def request_of(part: str) -> bytes:
    """Return a request with a header or a body of some size."""
    kind, size = part.split()[1], int(part.split()[3])
    if kind == "header":
        return f"{HEAD}large\r\nA: {'a' * size}\r\nContent-Length: 0\r\n\r\n".encode()
    return f"{HEAD}large\r\nContent-Length: {size}\r\n\r\n{'x' * size}".encode()


def read_head(context: Any) -> bytes:
    """Read until the end of the next response's head."""
    data = b""
    while b"\r\n\r\n" not in data and (piece := context.caller.recv(65_536)):
        data += piece
    return data


def open_caller(context: Any) -> None:
    """Connect to the gateway, which has accepted the connection afterwards."""
    world = world_of(context)
    context.caller = world.connect()
    context.add_cleanup(context.caller.close)
    context.caller.settimeout(WAIT_S)
    wait_for("it is accepted", lambda: bool(world.listener._connections._open))


@given("a caller's connection that is open without a request")
def open_connection(context: Any) -> None:
    """Connect, and send nothing."""
    open_caller(context)


@given("a caller's connection that is idle after a served request")
def idle_connection(context: Any) -> None:
    """Send a request, and read its response."""
    open_caller(context)
    context.caller.sendall(SMALL)
    assert read_head(context).startswith(b"HTTP/1.1 200 ")


@given("a caller's connection that has sent half of a request with a body of 30000 bytes")
def half_request(context: Any) -> None:
    """Send the head and half of the body, and wait until they were read."""
    open_caller(context)
    data = request_of("a body of 30000 bytes")
    context.rest = data[15_000:]
    buffers = world_of(context).state.buffers
    context.caller.sendall(data[:15_000])
    wait_for("half of the body was read", lambda: buffers.used_bytes >= 14_000)


@when("the limits are raised fourfold")
def raise_limits(context: Any) -> None:
    """Apply a newer configuration."""
    sizes = {name: LIMITS[name] * 4 for name in ("maxHeaderBytes", "maxBodyBytes")}
    world_of(context).use(document(2, limits=LIMITS | sizes))


@when("the limits are lowered to a quarter")
def lower_limits(context: Any) -> None:
    """Apply a newer configuration."""
    sizes = {name: LIMITS[name] // 4 for name in ("maxHeaderBytes", "maxBodyBytes")}
    world_of(context).use(document(2, limits=LIMITS | sizes))


@when("a request with {part} is sent on that connection")
def send_large(context: Any, part: str) -> None:
    """Send the request in a greenlet, as a refused one is not read to its end."""
    context.add_cleanup(gevent.spawn(context.caller.sendall, request_of(part)).kill)


@when("the rest of the request is sent")
def send_rest(context: Any) -> None:
    """Send the rest."""
    context.caller.sendall(context.rest)


@then("it is answered {status:d} on that connection")
def answered(context: Any, status: int) -> None:
    """Check the status of the next response."""
    answer = read_head(context)
    assert answer.startswith(b"HTTP/1.1 %d " % status), answer


@given("an idle connection that has 0.2 s")
def short_idle(context: Any) -> None:
    """Wait for a request with limits that can be replaced."""
    context.limits = replace(Limits(), idle_timeout_s=IDLE_S)
    context.near, far = connect(context)
    connection = CallerConnection(far, lambda: context.limits)
    context.add_cleanup(connection.close)
    context.waiting = gevent.spawn(connection.next)


@when("its idle time is raised to 20 s")
def raise_idle(context: Any) -> None:
    """Replace the limits once the connection waits."""
    gevent.sleep(0)
    context.limits = replace(context.limits, idle_timeout_s=20.0)


@then("it is still open once 0.2 s have passed, and its next request is read")
def still_open(context: Any) -> None:
    """Send a request after the earlier limit has passed."""
    context.waiting.join(timeout=2 * IDLE_S)
    assert not context.waiting.ready(), context.waiting.value
    context.near.sendall(SMALL)
    assert isinstance(context.waiting.get(timeout=WAIT_S), CallerRequest)
