"""Disturb the start of real gateway processes with signals, addresses in use and cut settings."""

from __future__ import annotations

import signal
import time
from pathlib import Path
from typing import Any, Final

import gevent
import orjson
from behave import given, then, when
from gevent import socket

from driftstall.platform.names import KIND_INSTANCES
from features.steps.gateway_node_steps import PROCESS_WAIT_S, start_node, wait_for_processes
from features.worlds.gateway_world import HOST

SIGNALS: Final = {"SIGHUP": signal.SIGHUP, "SIGTERM": signal.SIGTERM}


def end_node(node: Any) -> None:
    """End the process, so that a restart is the start under test."""
    node.process.kill()
    node.process.wait()


@given('a gateway process that is loading "{module}"')
def loading(context: Any, module: str) -> None:
    """Start a process, and wait until it has mapped a native library of a package."""
    start_node(context, context.store_address)
    mapped = Path(f"/proc/{context.nodes[0].process.pid}/maps")
    while f"/{module}/" not in mapped.read_text():
        assert context.nodes[0].process.poll() is None


@given('a gateway process whose "{listener}" address is in use')
def address_in_use(context: Any, listener: str) -> None:
    """Start a process after another socket has bound one of its addresses."""
    start_node(context, context.store_address)
    hold_address(context, context.nodes[0], listener)


@given('one more whose "{listener}" address is in use')
def second_address_in_use(context: Any, listener: str) -> None:
    """Start a second process that knows the first one, after a socket has bound its address."""
    seeds = [context.nodes[0].listen["control"]]
    start_node(context, context.store_address, seeds=seeds)
    end_node(context.nodes[1])
    context.store.delete(KIND_INSTANCES, context.nodes[1].name)
    wait_for_processes(
        "the first one locates itself alone",
        lambda: context.nodes[0].locate(HOST) == {context.nodes[0].listen["front"]},
    )
    context.nodes[0].log.write_bytes(b"")
    hold_address(context, context.nodes[1], listener)


def hold_address(context: Any, node: Any, listener: str) -> None:
    """Bind an address of a process, and start that process again."""
    end_node(node)
    host, port = (node.listen.get(listener) or f"{node.settings['ip']}:9464").split(":")
    context.holder = socket.socket()
    context.add_cleanup(context.holder.close)
    context.holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    context.holder.bind((host, int(port)))
    context.holder.listen(1)
    node.log.write_bytes(b"")
    node.restart()


def spoil_settings(node: Any, state: str) -> None:
    """Replace the settings file by one that cannot be used."""
    whole = orjson.dumps(node.settings)
    if state == "missing":
        node.path.unlink()
    elif state == "empty":
        node.path.write_bytes(b"")
    elif state == "cut":
        node.path.write_bytes(whole[: len(whole) // 2])
    else:
        node.write(node.settings | {"limits": {"linkMbps": "inf"}})


@given("a gateway process whose settings file is {state}")
def spoiled_settings(context: Any, state: str) -> None:
    """Start a process while its settings file is spoiled."""
    start_node(context, context.store_address)
    node = context.nodes[0]
    end_node(node)
    node.log.write_bytes(b"")
    spoil_settings(node, state)
    node.process = node.launch()


@when("its settings file becomes {state}, without a signal")
def settings_become(context: Any, state: str) -> None:
    """Spoil the settings of a running process."""
    spoil_settings(context.nodes[0], state)


@when("it gets SIGHUP")
def gets_sighup(context: Any) -> None:
    """Send a reload."""
    context.nodes[0].signal(signal.SIGHUP)


@when("it gets SIGHUP, SIGHUP, SIGTERM and SIGHUP")
def gets_series(context: Any) -> None:
    """Send reloads and a stop in series."""
    for number in (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
        context.nodes[0].signal(number)


@when("it gets SIGTERM, and SIGHUP and SIGTERM in turn until it has ended")
def gets_signals_until_end(context: Any) -> None:
    """Send signals without a pause; the last ones reach the process while it exits."""
    node = context.nodes[0]
    while node.process.poll() is None:
        node.signal(signal.SIGTERM)
        node.signal(signal.SIGHUP)


def wait_for_log(context: Any, sentence: str, at: int = 0) -> None:
    """Wait for a log line of a process."""
    node = context.nodes[at]
    wait_for_processes(f"logged: {sentence}", lambda: sentence in node.log.read_text())


@when("it waits for the address, which then becomes free")
def release_address(context: Any) -> None:
    """Release the address once the process waits for it."""
    wait_for_log(context, "Waiting for an address to become free")
    context.holder.close()


@when("it waits for the address, and gets SIGTERM")
def stop_while_waiting(context: Any) -> None:
    """Stop the process while it waits."""
    wait_for_log(context, "Waiting for an address to become free")
    context.nodes[0].signal(signal.SIGTERM)


@when("it waits for the settings, which are then written")
def write_settings(context: Any) -> None:
    """Write the whole settings once the process waits for them."""
    wait_for_log(context, "Waiting for the settings")
    context.nodes[0].write(context.nodes[0].settings)


@then("it becomes ready and serves a call")
def becomes_ready(context: Any) -> None:
    """Wait until the process is ready, and send a call."""
    node = context.nodes[0]
    wait_for_processes(f"{node.name} is ready", node.is_ready)
    assert node.ask("/once/a", "after-start").status == 200
    assert node.process.poll() is None, node.process.returncode


@then("the store holds no instance")
def no_instance(context: Any) -> None:
    """Check that the process has left no entry of its own."""
    listed = context.store.list(KIND_INSTANCES).objects
    assert not listed, listed


@when("the second one waits for the address")
def second_waits(context: Any) -> None:
    """Wait for its log line."""
    wait_for_log(context, "Waiting for an address to become free", at=1)


@then("the second one is not ready, and the first does not locate it for {seconds:g} s")
def not_located(context: Any, seconds: float) -> None:
    """Look again and again."""
    first, second = context.nodes
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        assert not second.is_ready()
        assert first.locate(HOST) == {first.listen["front"]}
        gevent.sleep(0.1)


@when("the second one gets SIGTERM")
def stop_second(context: Any) -> None:
    """Stop the process that waits."""
    context.nodes[1].signal(signal.SIGTERM)


@then("it has ended with 0, and the first has never heard of it")
def never_heard(context: Any) -> None:
    """Check the exit code, and the log of the first process."""
    first, second = context.nodes
    assert second.process.wait(timeout=PROCESS_WAIT_S) == 0
    assert f"Instance {second.name} is" not in first.log.read_text(), first.log.read_text()
