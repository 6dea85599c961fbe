"""Check gateway processes beside processes whose streams end with their connections."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from typing import Any, Final

from behave import given, then, when

from driftstall.platform.names import KIND_UPSTREAMS
from features.steps.gateway_node_steps import wait_for_processes
from features.steps.stream_end_process_steps import EVENT_BEFORE_KILL, PAUSE_S, TimedCaller
from features.worlds.ending_world import ALL_EVENTS
from features.worlds.upstream_samples import entry_spec

CHECKS: Final = {"with 200": "200", "with 503": "503", "never": "0"}
NEVER: Final = "-1"


@given(
    "{count:d} engine processes that close their streams early and end {later}, with checks"
    " answered {checks}"
)
def start_stopping(context: Any, count: int, later: str, checks: str) -> None:
    """Start processes, and register them in the store."""
    stop_after_s = NEVER if later == "never" else later.removesuffix(" s later")
    for number in range(count):
        name = f"stopping-{os.getpid()}-{number}"
        command = [sys.executable, "-m", "stand_ins.stopping_process", name, str(PAUSE_S)]
        command += [stop_after_s, CHECKS[checks]]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        context.add_cleanup(process.wait)
        context.add_cleanup(process.kill)
        assert process.stdout is not None
        address = process.stdout.readline().strip()
        context.store.create(KIND_UPSTREAMS, name, entry_spec(address))


def _send(context: Any, count: int) -> None:
    """Send streams at once."""
    address = context.nodes[0].listen["front"]
    context.callers = [TimedCaller(address, f"s-{number}") for number in range(count)]


@when("{count:d} streams are sent to stopping processes")
def send_streams(context: Any, count: int) -> None:
    """Send streams to the gateway, and wait for their ends."""
    _send(context, count)
    context.answers = [caller.received for caller in context.callers]


@when("{count:d} streams are under way, and the gateway process is killed")
def kill_gateway(context: Any, count: int) -> None:
    """Kill the gateway once each stream has some events."""
    _send(context, count)
    wait_for_processes(
        "all streams have events",
        lambda: all(caller.has_event(EVENT_BEFORE_KILL) for caller in context.callers),
    )
    context.nodes[0].signal(signal.SIGKILL)
    context.answers = [caller.received for caller in context.callers]


@then("none of them ends in order, and each has only what was sent")
def none_in_order(context: Any) -> None:
    """Check that no stream ends in order, and that there are streams."""
    streams = [answer for answer in context.answers if answer.status == 200]
    assert streams, context.answers
    for answer in streams:
        assert ALL_EVENTS.startswith(answer.body) and answer.body != ALL_EVENTS, answer
        assert not answer.whole, answer


@then("the connection of each caller is reset")
def all_reset(context: Any) -> None:
    """Check that no stream ends in order."""
    for answer in context.answers:
        assert (answer.status, answer.whole, answer.is_framed) == (200, False, False), answer
