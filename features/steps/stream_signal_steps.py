"""Test streams of a gateway process that gets signals or loses its store."""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import Any, Final

import gevent
from behave import given, then, when
from gevent import socket

from driftstall.platform.names import KIND_CONFIG, KIND_UPSTREAMS, NAME_CONFIG
from features.steps.gateway_node_steps import PROCESS_WAIT_S, Node, wait_for_processes
from features.worlds.gateway_world import document, parse_answer, request_bytes
from features.worlds.upstream_samples import entry_spec
from stand_ins.routed import RoutedUpstream, Script, event_bytes

DEADLINE_MS: Final = 15_000
STOPPED_S: Final = 1.0
GRACE_S: Final = 2.0
"""Grace time of the process in its settings."""


@given("an engine whose stream pauses after event {number:d} of {count:d}")
def pausing_engine(context: Any, number: int, count: int) -> None:
    """Register an engine, and give streams enough time."""
    raw = document(4)
    raw["routes"] = [each | {"timeoutMs": DEADLINE_MS} for each in raw["routes"]]
    assert context.store.replace(KIND_CONFIG, NAME_CONFIG, raw) is not None
    context.script = Script(pause_after=number, events=count)
    engine = RoutedUpstream("engine-1", lambda: context.script)
    context.add_cleanup(engine.stop)
    context.add_cleanup(context.script.gate.set)
    context.store.create(KIND_UPSTREAMS, "engine-1", entry_spec(engine.address, "engines"))


@given("its response ends with its connection")
def close_delimited(context: Any) -> None:
    """Let the engine frame nothing."""
    context.script.unframed = True


def _ask(context: Any) -> None:
    """Request the stream, and read until its pause."""
    context.node = context.nodes[0]
    context.data = b""

    def has_paused() -> bool:
        host, port = context.node.listen["front"].split(":")
        context.connection = socket.create_connection((host, int(port)), PROCESS_WAIT_S)
        more = {"X_Driftstall_Deadline_Ms": str(DEADLINE_MS)}
        context.connection.sendall(request_bytes("/stream/a", "s1", **more))
        context.data = context.connection.recv(65_536)
        return bool(context.data.startswith(b"HTTP/1.1 200"))

    wait_for_processes("the stream has begun", has_paused)
    while event_bytes(3) not in context.data:
        context.data += context.connection.recv(65_536)


def _read_rest(context: Any) -> None:
    """Read until the end of the connection."""
    is_closed = True
    try:
        while piece := context.connection.recv(65_536):
            context.data += piece
    except ConnectionError:
        is_closed = False
    context.answer = parse_answer(context.data, is_closed=is_closed)


@when("the stream pauses, and the process gets {name} and ends")
def end_process(context: Any, name: str) -> None:
    """Send a signal, wait until the process has ended, and read what it has sent."""
    _ask(context)
    context.node.process.send_signal(signal.Signals[name])
    context.node.process.wait(timeout=PROCESS_WAIT_S)
    _read_rest(context)


@when("the stream pauses, the process gets SIGTERM, its grace time passes, and it is killed")
def stop_and_kill(context: Any) -> None:
    """Check that nothing comes during the grace time, then kill the process."""
    _ask(context)
    _stop(context.node, context)
    context.connection.settimeout(GRACE_S)
    try:
        piece = context.connection.recv(65_536)
    except TimeoutError:
        piece = None
    assert piece is None, piece
    context.node.process.kill()
    context.node.process.wait(timeout=PROCESS_WAIT_S)
    _read_rest(context)


def _stop(node: Node, _: Any) -> None:
    """Begin a planned stop."""
    node.signal(signal.SIGTERM)
    wait_for_processes("it stops", lambda: "Stop requested" in node.log.read_text())


def _reload(node: Node, _: Any) -> None:
    """Reload the same settings."""
    node.signal(signal.SIGHUP)
    wait_for_processes("it reloads", lambda: "Settings reloaded" in node.log.read_text())


def _reload_wrong(node: Node, _: Any) -> None:
    """Reload settings that are not valid."""
    node.write(node.settings | {"listen": {}})
    node.signal(signal.SIGHUP)
    wait_for_processes("it says so", lambda: "settings are not used" in node.log.read_text())


def _lose_store(_: Node, context: Any) -> None:
    """Stop the store's service."""
    context.store_bench.platform.control({"down_s": 30.0})


def _suspend(node: Node, _: Any) -> None:
    """Suspend the process for a while."""
    node.signal(signal.SIGSTOP)
    gevent.sleep(STOPPED_S)
    node.signal(signal.SIGCONT)


DISTURBANCES: Final[dict[str, Callable[[Node, Any], None]]] = {
    "a SIGTERM": _stop,
    "a SIGHUP": _reload,
    "a SIGHUP of wrong settings": _reload_wrong,
    "an outage of the store": _lose_store,
    "a stop of the process for 1 s": _suspend,
}


@when("the stream pauses, there is {disturbance}, and the stream goes on")
def disturb_process(context: Any, disturbance: str) -> None:
    """Disturb the process, then let the engine send the rest."""
    _ask(context)
    DISTURBANCES[disturbance](context.node, context)
    context.script.gate.set()
    _read_rest(context)


@then("no framing states the end")
def states_no_end(context: Any) -> None:
    """Check that the end of the connection is all that the caller was told."""
    assert not context.answer.is_framed, context.answer


@then("{count:d} events came, and {end}")
def events_and_end(context: Any, count: int, end: str) -> None:
    """Check the events, and whether the stream is complete."""
    expected = b"".join(event_bytes(number) for number in range(1, count + 1))
    answer = context.answer
    assert (answer.status, answer.body, answer.whole) == (200, expected, end == "the end"), answer
