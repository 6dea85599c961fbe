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


def _start_runner(context: Any, data: str) -> str:
    """Listen and answer each request without end; return the address."""
    sender = context.sender

    def serve(connection: socket.socket, _: tuple[str, int]) -> None:
        connection.recv(RECEIVE_BYTES)
        sender.send(connection, HEAD)
        connection.close()

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    context.add_cleanup(server.stop, 0)
    return f"127.0.0.1:{server.server_port}"


def _submit(context: Any, rows: list[dict[str, Any]]) -> None:
    """Submit a configuration with more runners."""
    bench = context.crowd_bench
    bench.runners += rows
    assert bench.submit(Path("examples/both.policy").read_text(), ("north",)).status == 200


@given("a plain service that answers with {data} without end")
def endless_service(context: Any, data: str) -> None:
    """Add the service beside the sound one."""
    context.sender = EndlessSender(ENDLESS[data])
    row = {"runner_id": "endless-1", "zone": "zone-a", "service": "endless"}
    _submit(context, [row | {"address": _start_runner(context, data)}])


@given("{count:d} engines whose answers have {data} without end")
def endless_engines(context: Any, count: int, data: str) -> None:
    """Add engines, whose reports the instance reads."""
    context.sender = EndlessSender(ENDLESS[data])
    rows = [
        {
            "runner_id": f"endless-{number}",
            "address": _start_runner(context, data),
            "zone": "zone-a",
            "model": "small",
            "memory_tokens": 10_000,
            "checks_fences": True,
        }
        for number in range(count)
    ]
    _submit(context, rows)


@when("the instance has given up {count:d} of their answers")
def has_given_up(context: Any, count: int) -> None:
    """Wait until so many connections were closed while bytes came."""
    wait_until("answers are given up", lambda: context.sender.closed >= count)
    context.peak_descriptors = count_descriptors(context.crowd_bench.instances[0].popen.pid)


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
