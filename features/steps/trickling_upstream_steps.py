"""Check that responses which trickle in end with the deadlines of their requests."""

from __future__ import annotations

from typing import Any, Final

import gevent
from behave import given, then, when
from gevent import socket

from driftstall.util import clock
from features.steps.endless_stream_steps import LAST_CHUNK, RECEIVE_BYTES, STREAM_HEAD
from features.steps.endless_upstream_steps import add_upstream
from features.worlds.gateway_world import request_bytes
from stand_ins.endless import DRIPS, EndlessUpstream

DEADLINE_MS: Final = 1_200
SPARE_S: Final = 1.5
KINDS: Final = {"calls": "endless", "streams": "endless-engines"}
PATHS: Final = {"calls": ("/endless/safe/a", "/endless/once/a"), "streams": ("/stream/endless/a",)}


@given("an upstream whose answers to {kind} trickle in with {data} without end")
def trickling_upstream(context: Any, kind: str, data: str) -> None:
    """Register an upstream."""
    add_upstream(context, KINDS[kind], EndlessUpstream("endless-1", DRIPS[data]))


def _ask(context: Any, path: str, request_id: str) -> tuple[bytes, float]:
    """Send a request, and return its answer and how long it took."""
    began_at, data = clock.now(), b""
    host, port = context.node.listen["front"].split(":")
    with gevent.Timeout(4 * SPARE_S, False), socket.create_connection((host, int(port))) as caller:
        more = {"X_Driftstall_Deadline_Ms": str(DEADLINE_MS)}
        caller.sendall(request_bytes(path, request_id, **more))
        while piece := caller.recv(RECEIVE_BYTES):
            data += piece
    return data, clock.now() - began_at


@when("{count:d} callers send it {kind} that may take 1.2 s")
def send_trickling(context: Any, count: int, kind: str) -> None:
    """Send requests, and read the answers until their end."""
    paths = PATHS[kind]
    asked = [
        gevent.spawn(_ask, context, paths[number % len(paths)], f"trickle-{number}")
        for number in range(count)
    ]
    context.answers = [each.get() for each in asked]


@then("each of them ends within 1.5 s of its deadline, and none as complete")
def ends_in_time(context: Any) -> None:
    """Check times and ends."""
    for data, seconds in context.answers:
        assert data and seconds < DEADLINE_MS / 1000 + SPARE_S, (data[:80], seconds)
        is_success = data.startswith(STREAM_HEAD)
        assert not (is_success and data.endswith(LAST_CHUNK)), data[-80:]
