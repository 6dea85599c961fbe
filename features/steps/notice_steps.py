"""Check that an instance learns in time who leaves, whatever becomes of its connections."""

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
    """Pass connections on; let those that are open fall silent at a chosen question."""

    def __init__(self, target: str) -> None:
        """Start to listen."""
        super().__init__(target)
        self.silenced_at = 0.0
        self.has_silenced = Event()
        self._marker: bytes | None = None
        self._mute: set[socket.socket] = set()

    def silence_at(self, kind: str) -> None:
        """Silence all open connections once changes of a kind are asked for."""
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
        """Let what is open say nothing more."""
        self._marker = None
        self._mute.update(self._connections)
        self.silenced_at = time.monotonic()
        self.has_silenced.set()


@given("a gateway process whose way to the store is a gate")
def start_behind_gate(context: Any) -> None:
    """Start one process behind a gate, and wait until it serves."""
    context.gate = SilencingProxy(context.store_address)
    context.add_cleanup(context.gate.stop)
    bounds = {"contactMs": 3000, "drainMs": 2000, "graceS": 2, "ttl_max_s": 1}
    start_node(context, context.gate.address, bounds=bounds)
    wait_for_processes("it is ready", context.nodes[0].ready)


@given("a time of {seconds:g} s in which an instance must have caught up after a disturbance")
def catch_up_time(context: Any, seconds: float) -> None:
    """Keep the time."""
    context.catch_up_s = seconds


@when('its connections to the store fall silent just as it asks for changes of "{kind}"')
def fall_silent_at(context: Any, kind: str) -> None:
    """Silence them right after the question: no later moment leaves the instance blind longer."""
    context.gate.silence_at(KINDS[kind])
    assert context.gate.has_silenced.wait(30.0), "it never asks"


@when('upstream "{name}" gives notice')
def give_notice(context: Any, name: str) -> None:
    """Write the notice."""
    stored = context.store.get(KIND_UPSTREAMS, name)
    assert context.store.replace(KIND_UPSTREAMS, name, stored.spec | {"state": "draining"})


@then('it sends "{name}" nothing more within that time')
def sends_nothing_more(context: Any, name: str) -> None:
    """Ask until calls go to the other upstream alone, by the instance's log, in time."""
    (node,) = context.nodes
    line = f"Upstream {name} takes no more requests"
    took_s = _seconds_until(context, lambda: line in node.log.read_text())
    left = next(one for one in context.upstreams if one.upstream_id == name)
    before = len(left.seen)
    for index in range(10):
        assert node.ask("/once/a", f"after-{index}").status == 200
    assert len(left.seen) == before
    assert took_s <= context.catch_up_s, f"{took_s:.2f} s"


@then("its log tells that it had heard nothing of the platform for at least {seconds:g} s")
def log_tells_silence(context: Any, seconds: float) -> None:
    """Read the line of the notice."""
    text = context.nodes[0].log.read_text()
    (line,) = [one for one in text.splitlines() if "takes no more requests" in one]
    found = re.search(r'platform_silence_ms"?[:=] ?(\d+)', line)
    assert found and int(found.group(1)) >= seconds * 1000, line


@then("it serves the new route within that time")
def serves_in_time(context: Any) -> None:
    """Ask for the route that was added."""
    (node,) = context.nodes
    took_s = _seconds_until(context, lambda: node.ask("/added/a", "added").status == 200)
    assert took_s <= context.catch_up_s, f"{took_s:.2f} s"


def _seconds_until(context: Any, check: Any) -> float:
    """Return how long after the silence a condition holds, in seconds."""
    with gevent.Timeout(40.0, AssertionError("not reached in 40 s")):
        while not check():
            gevent.sleep(POLL_S)
    return float(time.monotonic() - context.gate.silenced_at)
