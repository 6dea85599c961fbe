"""Run one gateway inside the test process, with stand-ins as its upstreams."""

from __future__ import annotations

import itertools
import os
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Final

import gevent
from gevent import socket

from driftstall.decisions.store_versions import StoreVersion
from driftstall.gateway.drain import Drain
from driftstall.gateway.evacuation import Evacuation
from driftstall.gateway.fleet_events import (
    FleetEvent,
    SignalledLeaving,
    UpstreamChanged,
    UpstreamLeaving,
    UpstreamsListed,
)
from driftstall.gateway.listeners import CallerListener
from driftstall.gateway.model import Bounds, GatewaySettings, Upstream, UpstreamState
from driftstall.gateway.moves import Mover
from driftstall.gateway.routes import RouteTable
from driftstall.gateway.state import GatewayState
from driftstall.platform.dialect import PlatformDialect
from driftstall.platform.documents import read_routing
from driftstall.policy.default import default_policy
from driftstall.util import clock
from measures.bench import free_port
from stand_ins.routed import RoutedUpstream, Script

HOST: Final = "desk.example"
KEY: Final = "key-of-north"
WAIT_S: Final = 5.0
WORLDS: Final = itertools.count(1)
"""Sequence numbers of the worlds in this process."""
ENGINE: Final = {
    "slots": 64,
    "kvCacheTokens": 34_545,
    "kvTokenBytes": 18_432,
    "linkMbps": 2700.0,
    "moves": True,
    "backups": True,
    "stride": 4,
}


def route(name: str, prefix: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route in the platform's format."""
    fields = {
        "name": name,
        "hostname": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 1500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2 if kind == "safe" else 1,
    }
    return fields | more


def document(version: int = 1, **more: Any) -> dict[str, Any]:
    """Return a routing document in the platform's format."""
    fields = {
        "version": version,
        "routes": [
            route("safe", "/safe/", "safe", "portal"),
            route("once", "/once/", "unsafe", "portal"),
            route("quick", "/safe/quick/", "safe", "portal", timeoutMs=150),
            route("open", "/open/", "safe", "portal", allowAnonymous=True),
            route("chat", "/stream/", "streaming", "engines", gap_aim_ms=180),
        ],
        "services": [{"name": "portal"}, {"name": "engines", "engine": ENGINE}],
        "tenants": [
            {"name": "north", "apiKeys": [KEY], "priority": 0},
            {"name": "plains", "apiKeys": ["key-of-plains"]},
        ],
        "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 65_536, "headerTimeoutMs": 500},
    }
    return fields | more


@dataclass(frozen=True, slots=True)
class Received:
    """A response as a caller received it."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool
    """Whether its end has arrived: by its length, by its final chunk, or without either by its
    connection, which was closed in order."""

    @property
    def is_framed(self) -> bool:
        """Return True if its end states that it is complete; the end of a connection does not."""
        return "content-length" in self.headers or "transfer-encoding" in self.headers


class GatewayWorld:
    """A gateway with its upstreams and callers."""

    def __init__(self) -> None:
        """Start a gateway with two plain upstreams and three engines."""
        # Another test process may reuse the port of an upstream that has stopped here. Unique
        # names let that upstream reject requests that were meant for this one.
        suffix = f"{os.getpid()}-{next(WORLDS)}"
        self.plain = [RoutedUpstream(f"plain-{suffix}-{index}") for index in (1, 2)]
        self.engines = [RoutedUpstream(f"engine-{suffix}-{index}") for index in (1, 2, 3)]
        for engine in self.engines:
            engine.peers = {other.address: other for other in self.engines}
        settings = GatewaySettings(
            instance_id="instance-1",
            zone="a",
            caller_listen=f"127.0.0.1:{free_port()}",
            ready_listen=f"127.0.0.1:{free_port()}",
            locate_listen=f"127.0.0.1:{free_port()}",
            peer_listen=f"127.0.0.1:{free_port()}",
            metrics_listen=f"127.0.0.1:{free_port()}",
            link_mbps=100,
            platform_address="127.0.0.1:1",
            seeds=(),
            bounds=Bounds(),
            peer_key="peer key for tests only",
            is_first_start=True,
        )
        self.state = GatewayState(settings, PlatformDialect(), default_policy())
        self._ahead_s = 0.0
        self.state.now = lambda: clock.now() + self._ahead_s  # type: ignore[method-assign]
        self.state.signals.on_leaving = self.handle_leaving_signal
        self.current = True
        self.mover = Mover(self.state)
        self.evacuation = Evacuation(self.state, self.mover)
        self.drain = Drain(self.state)
        self.use(document())
        self.revision = 0
        self.list_upstreams()
        self.state.notify_if_configured()
        self.listener = CallerListener(self.state, self.mover, lambda: self.current)
        self.listener.start()

    def close(self) -> None:
        """Stop the gateway and all upstreams."""
        self.listener.stop()
        for upstream in (*self.plain, *self.engines):
            upstream.stop()

    def pass_time(self, seconds: float) -> None:
        """Advance the gateway's clock."""
        self._ahead_s += seconds

    def stop_clock(self) -> None:
        """Stop the gateway's clock, which then only advances by pass_time."""
        stopped_at = clock.now()
        self.state.now = lambda: stopped_at + self._ahead_s  # type: ignore[method-assign]

    def use(self, raw: dict[str, Any]) -> None:
        """Apply a routing document."""
        self.state.route_table = RouteTable.from_document(read_routing(raw))

    def entry(self, upstream: RoutedUpstream) -> Upstream:
        """Return the platform's entry of an upstream, with a new revision."""
        self.revision += 1
        service = "engines" if upstream in self.engines else "portal"
        return Upstream(
            upstream.upstream_id,
            service,
            upstream.address,
            "a",
            8,
            UpstreamState.READY,
            StoreVersion(self.revision),
        )

    def list_upstreams(self) -> None:
        """Send the fleet a list of all upstreams."""
        entries = tuple(self.entry(upstream) for upstream in (*self.plain, *self.engines))
        self.state.fleet.handle(UpstreamsListed(entries), self.state.now())

    def give_notice(self, upstream: RoutedUpstream) -> None:
        """Set an upstream to leaving in the platform's list, which starts its evacuation."""
        leaving = replace(self.entry(upstream), state=UpstreamState.LEAVING)
        self._apply_fleet_event(UpstreamChanged(leaving, False))

    def handle_leaving_signal(self, upstream_id: str) -> None:
        """Apply the signal of an upstream that it leaves."""
        self._apply_fleet_event(SignalledLeaving(upstream_id))

    def _apply_fleet_event(self, event: FleetEvent) -> None:
        """Apply an event to the fleet and evacuate upstreams that leave."""
        for action in self.state.fleet.handle(event, self.state.now()):
            if isinstance(action, UpstreamLeaving):
                self.evacuation.start(action.upstream)

    def connect(self) -> socket.socket:
        """Open a connection as a caller."""
        host, port = self.state.settings.caller_listen.split(":")
        return socket.create_connection((host, int(port)), WAIT_S)

    def ask(self, path: str, request_id: str, **more: str) -> Received:
        """Send one request on a new connection and return the response."""
        connection = self.connect()
        try:
            connection.sendall(request_bytes(path, request_id, **more))
            return read_response(connection)
        finally:
            connection.close()

    def ask_later(self, path: str, request_id: str, **more: str) -> gevent.Greenlet:
        """Send one request from another greenlet."""
        return gevent.spawn(self.ask, path, request_id, **more)


def request_bytes(path: str, request_id: str, method: str = "POST", **more: str) -> bytes:
    """Return a request as a caller sends it."""
    headers = {
        "Host": HOST,
        "X-Driftstall-Request-Id": request_id,
        "X-Driftstall-Deadline-Ms": "3000",
        "X-Driftstall-Model": "m",
        "X-Driftstall-Token-Count": "1000,2000",
        "Authorization": f"Bearer {KEY}",
        "Content-Length": "4",
        "Connection": "close",
    }
    headers |= {name.replace("_", "-"): value for name, value in more.items()}
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items() if value]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + b"body"


def read_response(connection: socket.socket) -> Received:
    """Read one response until the connection is closed."""
    data, is_closed = b"", True
    connection.settimeout(WAIT_S)
    try:
        while piece := connection.recv(65_536):
            data += piece
    except ConnectionError:
        is_closed = False
    return parse_answer(data, is_closed=is_closed)


def parse_answer(data: bytes, *, is_closed: bool = False) -> Received:
    """Parse an HTTP response; an empty one has status 0.

    With is_closed, its connection was closed in order after it.
    """
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    if not first:
        return Received(0, {}, b"", whole=False)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    status = int(first.split(" ")[1])
    if headers.get("transfer-encoding") == "chunked":
        return Received(status, headers, *_unchunked(body))
    if "content-length" not in headers:
        return Received(status, headers, body, is_closed)
    return Received(status, headers, body, len(body) == int(headers["content-length"]))


def _unchunked(body: bytes) -> tuple[bytes, bool]:
    """Return the content of a chunked body, and whether it has its final chunk."""
    content = b""
    while body:
        size_text, _, following = body.partition(b"\r\n")
        size = int(size_text, 16)
        if size == 0:
            return content, True
        content, body = content + following[:size], following[size + 2 :]
    return content, False


def wait_for(what: str, check: Callable[[], bool]) -> None:
    """Wait until a condition holds; fail after WAIT_S seconds."""
    until = time.monotonic() + WAIT_S
    while not check():
        assert time.monotonic() < until, f"not reached in {WAIT_S:g} s: {what}"
        gevent.sleep(0.005)


def world_of(context: Any) -> GatewayWorld:
    """Return the scenario's world."""
    world: GatewayWorld = context.world
    return world


def script_upstreams(world: GatewayWorld, request_id: str, scripts: list[Script]) -> list[Script]:
    """Share the scripts of a request among all upstreams; each run consumes the next one."""
    for upstream in (*world.plain, *world.engines):
        upstream.scripts[request_id] = scripts
    return scripts


def runs(world: GatewayWorld, request_id: str) -> list[RoutedUpstream]:
    """Return the upstreams that have run a request, once per run."""
    return [
        upstream
        for upstream in (*world.plain, *world.engines)
        for _ in range(upstream.runs(request_id))
    ]


def assert_refused_with_retry_after(answer: Received) -> None:
    """Check that a request was refused with 503 and a Retry-After below 2 s."""
    assert answer.status == 503, answer
    assert 0 < float(answer.headers["retry-after"]) < 2, answer
