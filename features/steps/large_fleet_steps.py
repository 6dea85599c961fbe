"""Test a large fleet of real processes with the store's stand-in."""

from __future__ import annotations

import itertools
import signal
import tempfile
import time
from pathlib import Path
from typing import Any

import gevent
from behave import given, then, when

from driftstall.exceptions import UpstreamError
from driftstall.platform.names import KIND_CONFIG, NAME_CONFIG
from features.steps.gateway_node_steps import Node, wait_for_processes
from features.worlds.gateway_world import HOST, document, route

START_WAIT_S = 60.0
"""Time limit for the start of many processes on few cores."""
SLACK_S = 1.0
"""Tolerance, as the processes share few cores while requests are sent to them."""
NUMBERS = itertools.count(1)


def wait_start(what: str, check: Any) -> None:
    """Wait for a condition while many processes start."""
    with gevent.Timeout(START_WAIT_S, AssertionError(f"not reached: {what}")):
        while not check():
            gevent.sleep(0.1)


@given("{count:d} gateway processes in 2 zones")
def start_many(context: Any, count: int) -> None:
    """Start the processes; the first three are the seeds of all."""
    folder = Path(tempfile.mkdtemp(prefix="driftstall-"))
    for number in range(1, count + 1):
        seeds = [node.listen["control"] for node in context.nodes[:3]]
        more = {"zone": "ab"[number % 2], "seeds": seeds, "limits": {"linkMbps": 100}}
        node = Node(number, context.store_address, folder, more)
        context.nodes.append(node)
        context.add_cleanup(node.process.wait)
        context.add_cleanup(node.process.kill)


@then("all become ready and each is located with the others of its zone")
def all_ready(context: Any) -> None:
    """Wait until each instance locates all ready instances of a zone."""
    wait_start("all are ready", lambda: all(node.is_ready() for node in context.nodes))
    of_b = {node.listen["front"] for node in context.nodes if node.settings["zone"] == "b"}
    for node in context.nodes:
        wait_start(f"{node.name} locates zone b", lambda node=node: node.locate(HOST) == of_b)


def is_collector(node: Node) -> bool:
    """Return True if a process's metrics state that it is a collector."""
    try:
        return b"driftstall_gateway_collects 1" in node.get("metrics", "/metrics")[1]
    except UpstreamError:
        return False


@then("{count:d} of them collect")
def some_collect(context: Any, count: int) -> None:
    """Wait until that many processes are collectors."""
    wait_start(
        f"{count} collect", lambda: sum(is_collector(node) for node in context.nodes) == count
    )


@then("in {seconds:d} s without changes the store gets fewer than {most:d} calls")
def few_calls(context: Any, seconds: int, most: int) -> None:
    """Count the store's calls; without collectors each instance would keep watches open."""
    before = context.store_bench.platform.stats()
    gevent.sleep(seconds)
    after = context.store_bench.platform.stats()
    calls = sum(after[name] - before[name] for name in ("reads", "writes"))
    assert calls < most, calls


def store_route(context: Any, version: int, prefix: str) -> None:
    """Store a configuration with one more route."""
    newer = document(version)
    newer["routes"].append(route("added", prefix, "safe", "portal"))
    assert context.store.replace(KIND_CONFIG, NAME_CONFIG, newer) is not None
    context.stored_at = time.monotonic()


def assert_serve(context: Any, nodes: list[Node], path: str, seconds: float) -> None:
    """Send calls to all instances until each serves the path, and check the time of each."""

    def first_served(node: Node) -> float:
        while node.ask(path, f"large-{next(NUMBERS)}").status != 200:
            gevent.sleep(0.05)
        return time.monotonic() - context.stored_at

    jobs = [gevent.spawn(first_served, node) for node in nodes]
    gevent.joinall(jobs, timeout=START_WAIT_S, raise_error=True)
    took_s = {node.name: job.value for node, job in zip(nodes, jobs, strict=True)}
    assert all(each is not None and each <= seconds + SLACK_S for each in took_s.values()), took_s


@then("all serve its new route within {seconds:d} s")
def all_serve(context: Any, seconds: int) -> None:
    """Check the added route at all instances."""
    context.stored_at = time.monotonic()
    assert_serve(context, context.nodes, "/added/a", seconds)


@when("the collectors are killed and a further routing configuration is stored at once")
def kill_collectors(context: Any) -> None:
    """Kill all collectors within milliseconds, then store a configuration."""
    kill_collecting(context)
    store_route(context, 12, "/further/")


@when("the collectors are killed at once")
def kill_collecting(context: Any) -> None:
    """Kill all collectors within milliseconds."""
    collectors = [node for node in context.nodes if is_collector(node)]
    for node in collectors:
        node.process.send_signal(signal.SIGKILL)
    context.nodes = [node for node in context.nodes if node not in collectors]


@then("the others serve its new route within {seconds:d} s")
def others_serve(context: Any, seconds: int) -> None:
    """Check the route at the remaining instances, and that new collectors exist."""
    assert_serve(context, context.nodes, "/further/a", seconds)
    wait_for_processes(
        "there are collectors again", lambda: any(is_collector(node) for node in context.nodes)
    )
