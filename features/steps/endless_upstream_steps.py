"""Check gateway processes beside upstreams and a store that send without end."""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import gevent
from behave import given, then, when
from gevent import socket

from driftstall.platform.names import KIND_CONFIG, KIND_UPSTREAMS, NAME_CONFIG
from driftstall.util import clock
from features.steps.gateway_node_steps import Node, StoreProxy, wait_for_processes
from features.worlds.gateway_world import (
    ENGINE,
    Received,
    document,
    parse_answer,
    request_bytes,
    route,
)
from features.worlds.upstream_samples import entry_spec
from stand_ins.endless import ENDLESS, HTTP, REPORT_PATH, EndlessSender, EndlessUpstream
from stand_ins.routed import RoutedUpstream, Script

ROUTE_TIMEOUT_MS: Final = 30_000
CALLER_PATIENCE_S: Final = 12.0
MEGABYTE: Final = 1_000_000
PATHS: Final = ("/endless/safe/a", "/endless/once/a")


class EndlessStoreProxy(StoreProxy):
    """Proxy of the store that later answers without end."""

    sender: EndlessSender | None = None

    def start_endless(self, sender: EndlessSender) -> None:
        """Close all connections, and answer all later ones without end."""
        self.sender = sender
        self.shut_down()
        self.shut = False

    def _serve(self, near: socket.socket, address: tuple[str, int]) -> None:
        """Serve one connection."""
        if self.sender is None:
            super()._serve(near, address)
            return
        near.recv(65_536)
        self.sender.send(near, HTTP)
        near.close()


def broken_stream() -> Script:
    """Return the script of a stream that breaks off before its first event."""
    return Script(reset_after_head=True)


def add_upstream(context: Any, service: str, upstream: EndlessUpstream) -> None:
    """Configure routes to a service, and register its only upstream."""
    context.endless = upstream
    configure_endless(context)
    register(context, service, upstream)


def register(context: Any, service: str, upstream: RoutedUpstream, **more: Any) -> None:
    """Store the entry of an upstream, and stop it at the end."""
    context.add_cleanup(upstream.stop)
    spec = entry_spec(upstream.address, service, **more)
    context.store.create(KIND_UPSTREAMS, upstream.upstream_id, spec)


def configure_endless(context: Any) -> None:
    """Configure routes to upstreams that send without end."""
    newer = document(4)
    newer["services"] += [{"name": "endless"}, {"name": "endless-engines", "engine": ENGINE}]
    timeout = {"timeoutMs": ROUTE_TIMEOUT_MS}
    newer["routes"] += [
        route("endless-safe", "/endless/safe/", "safe", "endless", **timeout),
        route("endless-once", "/endless/once/", "unsafe", "endless", **timeout),
        route("endless-chat", "/stream/endless/", "streaming", "endless-engines", **timeout),
    ]
    assert context.store.replace(KIND_CONFIG, NAME_CONFIG, newer) is not None


def _start_node(context: Any, megabytes: int, store: str) -> None:
    """Start a gateway process, and wait until it is ready and serves a call."""
    context.megabytes = megabytes
    folder = Path(tempfile.mkdtemp(prefix="driftstall-"))
    settings = {"limits": {"memoryMb": megabytes, "maxFds": 256}}
    node = context.node = Node(1, store, folder, settings)
    context.add_cleanup(lambda: node.process.wait())
    context.add_cleanup(lambda: node.process.kill())
    wait_for_processes("it is ready", node.is_ready)


def _ask(context: Any, path: str, request_id: str) -> Received:
    """Send a request and read until the end; without an answer in time the status is zero."""
    host, port = context.node.listen["front"].split(":")
    data = b""
    with gevent.Timeout(CALLER_PATIENCE_S, False), socket.socket() as connection:
        connection.connect((host, int(port)))
        more = {"X_Driftstall_Deadline_Ms": str(ROUTE_TIMEOUT_MS)}
        connection.sendall(request_bytes(path, request_id, **more))
        while piece := connection.recv(65_536):
            data += piece
        return parse_answer(data)
    return Received(0, {}, data, whole=False)


@given("an upstream that answers calls with {data} without end")
def endless_upstream(context: Any, data: str) -> None:
    """Register an upstream for plain calls."""
    add_upstream(context, "endless", EndlessUpstream("endless-1", ENDLESS[data]))


@given("an engine that answers streams with {data} without end")
def endless_engine(context: Any, data: str) -> None:
    """Register an engine."""
    add_upstream(context, "endless-engines", EndlessUpstream("endless-1", ENDLESS[data]))


@given("an engine that breaks streams off and answers probes with {data} without end")
def endless_report(context: Any, data: str) -> None:
    """Register an engine whose reports never end."""
    engine = EndlessUpstream("endless-1", ENDLESS[data], REPORT_PATH, broken_stream)
    add_upstream(context, "endless-engines", engine)


@given("a gateway process with {megabytes:d} MB of memory")
def start_process(context: Any, megabytes: int) -> None:
    """Start a process that uses the store."""
    _start_node(context, megabytes, context.store_address)


@given("a gateway process with {megabytes:d} MB of memory behind a proxy of the store")
def start_behind_proxy(context: Any, megabytes: int) -> None:
    """Start a process that reaches the store through a proxy."""
    context.proxy = EndlessStoreProxy(context.store_address)
    context.add_cleanup(context.proxy.stop)
    _start_node(context, megabytes, context.proxy.address)


def spawn_crowd(context: Any, paths: list[str], ask: Callable[[Any, str, str], Any] = _ask) -> None:
    """Send requests; the callable ask sends one with a path and an id, and returns its answer."""
    context.calls = [
        gevent.spawn(ask, context, path, f"endless-{number}") for number, path in enumerate(paths)
    ]


def send_crowd(
    context: Any,
    paths: list[str],
    others: int,
    ask: Callable[[Any, str, str], Any] = _ask,
) -> None:
    """Send calls to the endless upstream and to others, and wait until it has begun to answer."""
    spawn_crowd(context, paths, ask)
    for number in range(others):
        gevent.spawn(_ask, context, "/once/a", f"other-{number}")
    wait_for_processes("an answer has begun", lambda: context.endless.sender.started)


@when("{count:d} calls to that upstream and {others:d} to others are sent")
def send_calls(context: Any, count: int, others: int) -> None:
    """Send safe calls and calls that may run only once."""
    send_crowd(context, [PATHS[number % len(PATHS)] for number in range(count)], others)


@when("{count:d} streams from that engine and {others:d} calls to others are sent")
def send_streams(context: Any, count: int, others: int) -> None:
    """Send streams."""
    send_crowd(context, ["/stream/endless/a"] * count, others)


@when("the store begins to answer with {data} without end")
def endless_store(context: Any, data: str) -> None:
    """Have the store's proxy answer without end, and wait for the first such answer."""
    context.sender = EndlessSender(ENDLESS[data])
    context.proxy.start_endless(context.sender)
    wait_for_processes("an answer has begun", lambda: context.sender.started)


@when("a stream from that engine is broken off")
def break_stream(context: Any) -> None:
    """Send a stream, and wait for the probe of its engine."""
    context.sender = context.endless.sender
    context.calls = [gevent.spawn(_ask, context, "/stream/endless/a", "broken")]
    wait_for_processes("a report has begun", lambda: context.sender.started)


@then("another call is served {when}")
def another_served(context: Any, when: str) -> None:
    """Send an ordinary call."""
    began_at = clock.now()
    answer = _ask(context, "/safe/a", f"another-{when}")
    context.waited_s = clock.now() - began_at
    if context.config.userdata.getbool("peaks"):
        print(f"PEAK {context.scenario.name} {when}: {context.waited_s:.2f} s")
    assert (answer.status, answer.body) == (200, b"whole"), answer


@then("it has waited less than {seconds:g} s")
def has_waited(context: Any, seconds: float) -> None:
    """Check the time of the last other call."""
    assert context.waited_s < seconds, f"{context.waited_s:.2f} s"


@then("each call to that upstream is answered before its caller gives up")
def all_answered(context: Any) -> None:
    """Check for whole answers that promise no more than is true: the requests have run."""
    answers = [call.get() for call in context.calls]
    assert all(answer.whole for answer in answers), answers
    assert {answer.status for answer in answers} <= {502, 504}, answers


@then("the gateway gives up {count:d} such answers")
@then("the gateway gives up {count:d} such report")
def gives_up(context: Any, count: int) -> None:
    """Wait until the gateway has closed connections while bytes still came."""
    wait_for_processes("connections are closed", lambda: context.sender.closed >= count)


@then("the process has kept within its memory and {descriptors:d} descriptors")
def within_bounds(context: Any, descriptors: int) -> None:
    """Check the process's peak of resident memory and its open descriptors."""
    process = context.node.process
    assert process.poll() is None, process.returncode
    folder = Path(f"/proc/{process.pid}")
    status = (folder / "status").read_text()
    peak = int(status.partition("VmHWM:")[2].split()[0]) * 1024
    context.peak_mb = peak / MEGABYTE
    if context.config.userdata.getbool("peaks"):
        print(f"PEAK {context.scenario.name}: {context.peak_mb:.0f} MB")
    assert peak < context.megabytes * MEGABYTE, f"{context.peak_mb:.0f} MB"
    assert len(list((folder / "fd").iterdir())) < descriptors
