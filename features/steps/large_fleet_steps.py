"""Check a large fleet as real processes before the store's stand-in."""

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
"""Many processes start on few cores."""
SLACK_S = 1.0
"""They also share these cores while they are asked one after another."""
NUMBERS = itertools.count(1)


def wait_start(what: str, check: Any) -> None:
    """Wait for what many starting processes do."""
    with gevent.Timeout(START_WAIT_S, AssertionError(f"not reached: {what}")):
        while not check():
            gevent.sleep(0.1)


@given("{count:d} gateway processes in 2 zones")
def start_many(context: Any, count: int) -> None:
    """Start the processes; the first three are the seeds of all."""
    folder = Path(tempfile.mkdtemp(prefix="driftstall-"))
    for number in range(1, count + 1):
        seeds = [one.listen["control"] for one in context.nodes[:3]]
        more = {"zone": "ab"[number % 2], "seeds": seeds, "limits": {"linkMbps": 100}}
        node = Node(number, context.store_address, folder, more)
        context.nodes.append(node)
        context.add_cleanup(node.process.wait)
        context.add_cleanup(node.process.kill)


@then("all become ready and each is located with the others of its zone")
def all_ready(context: Any) -> None:
    """Wait until each names all ready instances of the asked zone."""
    wait_start("all are ready", lambda: all(one.ready() for one in context.nodes))
    of_b = {one.listen["front"] for one in context.nodes if one.settings["zone"] == "b"}
    for node in context.nodes:
        wait_start(f"{node.name} locates zone b", lambda one=node: one.located(HOST) == of_b)


def collects(node: Node) -> bool:
    """Tell whether a process says that it collects."""
    try:
        return b"driftstall_gateway_collects 1" in node.get("metrics", "/metrics")[1]
    except UpstreamError:
        return False


@then("{count:d} of them collect")
def some_collect(context: Any, count: int) -> None:
    """Count the collectors."""
    wait_start(f"{count} collect", lambda: sum(collects(one) for one in context.nodes) == count)


@then("in {seconds:d} s without changes the store gets fewer than {most:d} calls")
def few_calls(context: Any, seconds: int, most: int) -> None:
    """Count the store's calls over a while; without collectors each instance has watches open."""
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
    """Ask all at once until each serves a path; each must do so in time."""

    def first_served(node: Node) -> float:
        while node.ask(path, f"large-{next(NUMBERS)}").status != 200:
            gevent.sleep(0.05)
        return time.monotonic() - context.stored_at

    jobs = [gevent.spawn(first_served, node) for node in nodes]
    gevent.joinall(jobs, timeout=START_WAIT_S, raise_error=True)
    took = {node.name: job.value for node, job in zip(nodes, jobs, strict=True)}
    assert all(one is not None and one <= seconds + SLACK_S for one in took.values()), took


@then("all serve its new route within {seconds:d} s")
def all_serve(context: Any, seconds: int) -> None:
    """Ask all for the route that was added."""
    context.stored_at = time.monotonic()
    assert_serve(context, context.nodes, "/added/a", seconds)


@when("the collectors are killed and a further routing configuration is stored at once")
def kill_collectors(context: Any) -> None:
    """Kill all collectors within milliseconds, then store."""
    kill_collecting(context)
    store_route(context, 12, "/further/")


@when("the collectors are killed at once")
def kill_collecting(context: Any) -> None:
    """Kill all collectors within milliseconds."""
    collecting = [one for one in context.nodes if collects(one)]
    for one in collecting:
        one.process.send_signal(signal.SIGKILL)
    context.nodes = [one for one in context.nodes if one not in collecting]


@then("the others serve its new route within {seconds:d} s")
def others_serve(context: Any, seconds: int) -> None:
    """Ask the others."""
    assert_serve(context, context.nodes, "/further/a", seconds)
    wait_for_processes(
        "there are collectors again", lambda: any(collects(one) for one in context.nodes)
    )
