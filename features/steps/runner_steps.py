"""Test how a runner's rejection of a generation is interpreted."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from gevent import socket
from gevent.server import StreamServer

from driftstall.core import Runner
from driftstall.exceptions import UpstreamError
from driftstall.runners.engine import open_stream


@given("a runner that answers {status:d}")
def runner_answers(context: Any, status: int) -> None:
    """Send the same response to each request."""

    def serve(connection: socket.socket, _: tuple[str, int]) -> None:
        connection.recv(65_536)
        connection.sendall(b"HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n" % status)

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    context.add_cleanup(server.stop)
    context.runner = Runner("r1", f"127.0.0.1:{server.server_port}", "a", "m")


@when("a generation is started there")
def generation_started(context: Any) -> None:
    """Start a generation and keep its error."""
    try:
        next(open_stream(context.runner, "g1", {"messages": []}, 0))
    except UpstreamError as fault:
        context.fault = fault


@then("it has not run")
def not_run(context: Any) -> None:
    """Check that the error excludes a run."""
    assert not context.fault.sent, context.fault


@then("it may have run")
def may_have_run(context: Any) -> None:
    """Check that the error leaves a run possible."""
    assert context.fault.sent, context.fault
