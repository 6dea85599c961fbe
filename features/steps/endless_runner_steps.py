"""Check the own interface beside a plain service whose answers never end."""

from __future__ import annotations

from pathlib import Path
from typing import Any, Final

import gevent
from behave import given, then, when
from gevent import socket
from gevent.server import StreamServer

from driftstall.util.http import Exchange
from features.steps.rough_own_caller_steps import call
from features.worlds.crowd import count_descriptors
from features.worlds.process_world import KEY
from measures.bench import wait_until
from stand_ins.endless import ENDLESS, EndlessSender

CALLER_PATIENCE_S: Final = 15.0
HEAD: Final = b"HTTP/1.1 200 OK\r\n"
RECEIVE_BYTES: Final = 65_536


@given("a plain service that answers with {data} without end")
def endless_service(context: Any, data: str) -> None:
    """Listen, and list the service beside the sound one."""
    sender = context.sender = EndlessSender(ENDLESS[data])

    def serve(connection: socket.socket, _: tuple[str, int]) -> None:
        connection.recv(RECEIVE_BYTES)
        sender.send(connection, HEAD)
        connection.close()

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    context.add_cleanup(server.stop, 0)
    address = f"127.0.0.1:{server.server_port}"
    row = {"runner_id": "endless-1", "address": address, "zone": "zone-a", "service": "endless"}
    bench = context.crowd_bench
    bench.runners.append(row)
    assert bench.submit(Path("examples/both.policy").read_text(), ("north",)).status == 200


def _call_endless(context: Any, number: int) -> int:
    """Call the service, and return the status."""
    address = context.crowd_bench.instances[0].address
    headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": f"endless-{number}"}
    path = f"/services/endless/{number}"
    exchange = Exchange.open(address, "POST", path, headers, b"{}", CALLER_PATIENCE_S)
    exchange.read()
    return exchange.status


@when("{count:d} callers of the own interface call that service")
def call_endless(context: Any, count: int) -> None:
    """Wait until all calls have reached the service, or the first ones were given up."""
    wait_until("the service is known", lambda: _call_endless(context, -1) != 503)
    context.calls = [gevent.spawn(_call_endless, context, number) for number in range(count)]
    wait_until("answers have begun", lambda: context.sender.started > 1)


@then("the own interface answers an ordinary call beside them")
def ordinary_beside(context: Any) -> None:
    """Call the sound service."""
    assert call(context, b"{}") == 200


@then("it answers each of them with an error")
def answers_errors(context: Any) -> None:
    """Check the statuses: the service may have run the calls."""
    assert {each.get() for each in context.calls} <= {500, 502, 504}
    context.peak_descriptors = count_descriptors(context.crowd_bench.instances[0].popen.pid)
