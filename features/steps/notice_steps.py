"""Test that an instance learns of a leaving upstream in time when its connections fall silent."""

from __future__ import annotations

import re
import time
from typing import Any

import gevent
from behave import given, then, when
from gevent import socket
from gevent.event import Event

from driftstall.platform.names import KIND_CONFIG, KIND_UPSTREAMS
from features.steps.gateway_node_steps import StoreProxy, start_node, wait_for_processes

POLL_S = 0.02
KINDS = {"servers": KIND_UPSTREAMS, "config": KIND_CONFIG}


class SilencingProxy(StoreProxy):
    """A proxy whose open connections fall silent at a chosen watch request."""

    def __init__(self, target: str) -> None:
        """Start listening."""
        super().__init__(target)
        self.silenced_at = 0.0
        self.has_silenced = Event()
        self._marker: bytes | None = None
        self._mute: set[socket.socket] = set()

    def silence_at(self, kind: str) -> None:
        """Silence all open connections once a watch of that kind is requested."""
        self._marker = f"/{kind}?watch=".encode()

    def _copy(self, source: socket.socket, target: socket.socket) -> None:
        """Copy bytes until the end, or until the connection has fallen silent."""
        try:
            while data := source.recv(65_536):
                if source in self._mute:
                    continue
                target.sendall(data)
                if self._marker is not None and self._marker in data:
                    self._silence()
            if source not in self._mute:
                target.shutdown(socket.SHUT_WR)
        except OSError:
            return

    def _silence(self) -> None:
        """Stop forwarding data on all open connections."""
        self._marker = None
        self._mute.update(self._connections)
        self.silenced_at = time.monotonic()
        self.has_silenced.set()


@given("a gateway process whose way to the store is a gate")
def start_behind_gate(context: Any) -> None:
    """Start a process behind a proxy, and wait until it is ready."""
    context.gate = SilencingProxy(context.store_address)
    context.add_cleanup(context.gate.stop)
    bounds = {"contactMs": 3000, "drainMs": 2000, "graceS": 2, "ttl_max_s": 1}
    start_node(context, context.gate.address, bounds=bounds)
    wait_for_processes("it is ready", context.nodes[0].is_ready)


@given("a time of {seconds:g} s in which an instance must have caught up after a disturbance")
def catch_up_time(context: Any, seconds: float) -> None:
    """Set the time limit."""
    context.catch_up_s = seconds


@when('its connections to the store fall silent just as it asks for changes of "{kind}"')
def fall_silent_at(context: Any, kind: str) -> None:
    """Silence them right after the watch request, the worst case for the time to notice."""
    context.gate.silence_at(KINDS[kind])
    assert context.gate.has_silenced.wait(30.0), "no watch was requested"


@when('upstream "{name}" gives notice')
def give_notice(context: Any, name: str) -> None:
    """Write the notice to the upstream's entry."""
    stored = context.store.get(KIND_UPSTREAMS, name)
    assert context.store.replace(KIND_UPSTREAMS, name, stored.spec | {"state": "draining"})


@then('it sends "{name}" nothing more within that time')
def sends_nothing_more(context: Any, name: str) -> None:
    """Wait for the instance's log line, then check that calls reach the other upstream only."""
    (node,) = context.nodes
    line = f"Upstream {name} takes no more requests"
    took_s = _seconds_until(context, lambda: line in node.log.read_text())
    leaving = next(upstream for upstream in context.upstreams if upstream.upstream_id == name)
    before = len(leaving.seen)
    for index in range(10):
        assert node.ask("/once/a", f"after-{index}").status == 200
    assert len(leaving.seen) == before
    assert took_s <= context.catch_up_s, f"{took_s:.2f} s"


@then("its log tells that it had heard nothing of the platform for at least {seconds:g} s")
def log_tells_silence(context: Any, seconds: float) -> None:
    """Check the platform's silence in the log line of the notice."""
    text = context.nodes[0].log.read_text()
    (line,) = [line for line in text.splitlines() if "takes no more requests" in line]
    found = re.search(r'platform_silence_ms"?[:=] ?(\d+)', line)
    assert found and int(found.group(1)) >= seconds * 1000, line


@then("it serves the new route within that time")
def serves_in_time(context: Any) -> None:
    """Send calls to the added route until they are served."""
    (node,) = context.nodes
    took_s = _seconds_until(context, lambda: node.ask("/added/a", "added").status == 200)
    assert took_s <= context.catch_up_s, f"{took_s:.2f} s"


def _seconds_until(context: Any, check: Any) -> float:
    """Return the time from the silence until a condition holds, in seconds."""
    with gevent.Timeout(40.0, AssertionError("not reached in 40 s")):
        while not check():
            gevent.sleep(POLL_S)
    return float(time.monotonic() - context.gate.silenced_at)
