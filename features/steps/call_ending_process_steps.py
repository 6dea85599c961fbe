"""Test upstream processes that end within responses without framing."""

from __future__ import annotations

import subprocess
import sys
from typing import Any, Final

from behave import given, then, when
from gevent import socket
from gevent.pool import Pool

from driftstall.platform.names import KIND_CONFIG, KIND_UPSTREAMS, NAME_CONFIG
from features.steps.gateway_node_steps import wait_for_processes
from features.worlds.gateway_world import document, route
from features.worlds.upstream_samples import entry_spec
from measures.bench import free_port
from stand_ins.mortal import BODY
from stand_ins.raw import HEALTH_PATH

PATHS: Final = {
    "that may run only once": "/mortal/once/",
    "that may be repeated": "/mortal/safe/",
}


def _is_listening(port: int) -> bool:
    """Return True if a process accepts connections on a port."""
    with socket.socket() as connection:
        return connection.connect_ex(("127.0.0.1", port)) == 0


def _start(context: Any, number: int, what: str) -> None:
    """Start an upstream process, wait until it listens, and register it."""
    port = free_port()
    command = [sys.executable, "-m", "stand_ins.mortal", str(port), what]
    process = subprocess.Popen(command)
    context.mortals.append(process)
    context.add_cleanup(process.wait)
    context.add_cleanup(process.kill)
    wait_for_processes("it listens", lambda: _is_listening(port))
    spec = entry_spec(f"127.0.0.1:{port}", "mortal")
    context.store.create(KIND_UPSTREAMS, f"mortal-{number}", spec)


@given(
    "{ending:d} upstream processes that end within their first response, and {living:d} that live"
)
def start_mortals(context: Any, ending: int, living: int) -> None:
    """Start the processes, and configure routes to them."""
    newer = document(4)
    newer["services"] += [{"name": "mortal", "healthPath": HEALTH_PATH}]
    newer["routes"] += [
        route("mortal-safe", "/mortal/safe/", "safe", "mortal"),
        route("mortal-once", "/mortal/once/", "unsafe", "mortal"),
    ]
    assert context.store.replace(KIND_CONFIG, NAME_CONFIG, newer) is not None
    context.mortals = []
    for number in range(ending + living):
        _start(context, number, "ends" if number < ending else "lives")


@when("{calls:d} calls {kind} are made to them, {callers:d} at once")
def make_calls(context: Any, calls: int, kind: str, callers: int) -> None:
    """Make calls at the gateway process; equal ones would be held to end their upstreams."""
    node = context.nodes[0]
    context.answers = Pool(callers).map(
        lambda number: node.ask(f"{PATHS[kind]}{number}", f"m-{number}"), range(calls)
    )


@then("each was answered whole, or {status:d} if it ran at a process that ended")
def whole_or_error(context: Any, status: int) -> None:
    """Check that no answer is a truncated success."""
    wrong = [
        answer
        for answer in context.answers
        if (answer.status, answer.body) != (200, BODY) and answer.status != status
    ]
    assert not wrong, f"{len(wrong)} of {len(context.answers)}: {wrong[0]}"
    assert any(answer.status == 200 for answer in context.answers), context.answers


@then("both of the first processes have ended")
def both_ended(context: Any) -> None:
    """Check that the processes have ended within responses, and that no other has."""
    ended = [process.poll() is not None for process in context.mortals]
    assert ended == [True, True, *[False] * (len(ended) - 2)], ended
