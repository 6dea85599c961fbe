"""Test planned stops whose signal is handled late."""

from __future__ import annotations

import signal
from pathlib import Path
from typing import Any

import gevent
from behave import given, then, when

from driftstall.decisions.loop_stalls import LoopStalls
from features.steps.gateway_node_steps import start_node, wait_for_processes


@given("a gateway process with a grace time of {grace:g} s")
def start_with_grace(context: Any, grace: float) -> None:
    """Start a process, and wait until it is ready."""
    start_node(context, context.store_address, bounds={"graceS": grace, "ttl_max_s": 1})
    wait_for_processes("it is ready", context.nodes[0].is_ready)


@when("it is suspended for {seconds:g} s, and gets SIGTERM meanwhile")
def suspend_and_stop(context: Any, seconds: float) -> None:
    """Send SIGTERM to a stopped process, continue it later, and wait for its stop to begin."""
    node = context.nodes[0]
    node.signal(signal.SIGSTOP)
    status = Path(f"/proc/{node.process.pid}/status")
    wait_for_processes("it is suspended", lambda: "State:\tT" in status.read_text())
    node.signal(signal.SIGTERM)
    gevent.sleep(seconds)
    node.signal(signal.SIGCONT)
    wait_for_processes("it stops", lambda: "Stop requested" in node.log.read_text())


@then("a call of at most 3 s is refused and reaches no upstream")
def refused(context: Any) -> None:
    """Check that the call is refused as a whole and has not run."""
    answer = context.nodes[0].ask("/once/a", "late")
    assert (answer.status, answer.whole) == (503, True), answer
    assert not any(upstream.runs("late") for upstream in context.upstreams)


@given("a periodic task of {period:g} s that ran at {turns} s")
def turns_of_task(context: Any, period: float, turns: str) -> None:
    """Record the turns."""
    context.stalls = LoopStalls(period)
    for turn in turns.split(","):
        context.stalls.record_turn(float(turn))


@then("a signal that is handled at {handled:g} s arrived at most {delay:g} s before")
def bounded_delay(context: Any, handled: float, delay: float) -> None:
    """Compare the bound."""
    assert abs(context.stalls.max_delay_s(handled) - delay) < 1e-6, context.stalls.max_delay_s(
        handled
    )
