"""Check gateway processes that use a stand-in of the platform's store."""

from __future__ import annotations

import signal
import tempfile
from pathlib import Path
from typing import Any

import gevent
from behave import given, then, when
from gevent import socket
from gevent.server import StreamServer

from driftstall.cli.main import main as command
from driftstall.platform.names import KIND_CONFIG, KIND_UPSTREAMS, NAME_CONFIG
from driftstall.platform.store import Store
from features.worlds.gateway_world import (
    HOST,
    Received,
    document,
    read_response,
    request_bytes,
    route,
    wait_for,
)
from features.worlds.upstream_samples import entry_spec
from measures.bench import Bench
from measures.gateway_process import GatewayProcess
from stand_ins.routed import RoutedUpstream

PROCESS_WAIT_S = 15.0


class StoreProxy:
    """Proxy connections to the store until it is shut down or silenced."""

    def __init__(self, target: str) -> None:
        """Start listening."""
        self._target = target
        self._connections: list[socket.socket] = []
        self.shut = False
        self.silent = False
        """Whether connections stay open but data is discarded."""
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """Return the proxy's address."""
        return f"127.0.0.1:{self._server.server_port}"

    def shut_down(self) -> None:
        """Close all connections and reject new ones."""
        self.shut = True
        for connection in self._connections:
            connection.close()

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop(timeout=0)

    def _serve(self, near: socket.socket, _: tuple[str, int]) -> None:
        """Forward one connection in both directions."""
        if self.shut:
            near.close()
            return
        host, port = self._target.split(":")
        far = socket.create_connection((host, int(port)))
        self._connections += [near, far]
        back = gevent.spawn(self._copy, far, near)
        self._copy(near, far)
        back.join()
        near.close()
        far.close()

    def _copy(self, source: socket.socket, target: socket.socket) -> None:
        """Copy data until the end of the stream."""
        try:
            while data := source.recv(65_536):
                if not self.silent:
                    target.sendall(data)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            return


class Node(GatewayProcess):
    """Run one gateway process with short grace and cache times."""

    def __init__(
        self, number: int, store: str, folder: Path, more: dict[str, Any] | None = None
    ) -> None:
        """Start the process; `more` holds additional settings."""
        bounds = {"graceS": 2, "ttl_max_s": 1}
        settings = {"bounds": bounds} | (more or {})
        super().__init__(f"node-{number}", number, store, folder, settings)

    def ask(self, path: str, request_id: str, **more: str) -> Received:
        """Send a request as a caller and return the response."""
        host, port = self.listen["front"].split(":")
        connection = socket.create_connection((host, int(port)), 3.0)
        connection.sendall(request_bytes(path, request_id, **more))
        answer = read_response(connection)
        connection.close()
        return answer


def wait_for_processes(what: str, check: Any) -> None:
    """Wait until a condition holds; the limit allows for the start of processes."""
    with gevent.Timeout(PROCESS_WAIT_S, AssertionError(f"not reached: {what}")):
        while not check():
            gevent.sleep(0.05)


@given("the store's stand-in with a routing configuration and 2 upstreams")
def start_store(context: Any) -> None:
    """Start the store and write the configuration and the upstreams."""
    bench = context.store_bench = Bench()
    context.add_cleanup(bench.close)
    address = bench.start_platform().address
    context.store = Store(address)
    context.store_address = address
    context.store.create(KIND_CONFIG, NAME_CONFIG, document(3))
    context.upstreams = [RoutedUpstream(f"i-{index}") for index in (1, 2)]
    for upstream in context.upstreams:
        context.add_cleanup(upstream.stop)
        spec = entry_spec(upstream.address, "portal", slots=6)
        context.store.create(KIND_UPSTREAMS, upstream.upstream_id, spec)
    context.nodes = []


def start_node(context: Any, store: str, **more: Any) -> None:
    """Start another gateway process."""
    folder = Path(tempfile.mkdtemp(prefix="driftstall-"))
    node = Node(len(context.nodes) + 1, store, folder, more)
    context.nodes.append(node)
    # A restart replaces the process, and the one that runs at the end has to be ended.
    context.add_cleanup(lambda: node.process.wait())
    context.add_cleanup(lambda: node.process.kill())


@given("2 gateway processes")
def start_two(context: Any) -> None:
    """Start two processes that use the store."""
    for _ in range(2):
        start_node(context, context.store_address)


@given("a gateway process, and one more that reaches the store through a gate")
def start_gated(context: Any) -> None:
    """Start two processes, one of them behind a proxy."""
    context.gate = StoreProxy(context.store_address)
    context.add_cleanup(context.gate.stop)
    start_node(context, context.store_address)
    start_node(context, context.gate.address)


@given("a gateway process")
def start_one(context: Any) -> None:
    """Start one process that uses the store, and wait until it is ready."""
    start_node(context, context.store_address)
    wait_for_processes("it is ready", context.nodes[0].is_ready)


@given("one more that reaches the store through a gate that is shut")
def start_shut(context: Any) -> None:
    """Start one process that can only reach a seed peer."""
    context.gate = StoreProxy(context.store_address)
    context.gate.shut_down()
    context.add_cleanup(context.gate.stop)
    start_node(context, context.gate.address, seeds=[context.nodes[0].listen["control"]])


@then("both become ready and each is located with the other")
def both_ready(context: Any) -> None:
    """Wait until both are ready and each locates both."""
    addresses = {node.listen["front"] for node in context.nodes}
    for node in context.nodes:
        wait_for_processes(f"{node.name} is ready", node.is_ready)
        wait_for_processes(
            f"{node.name} locates both", lambda process=node: process.locate(HOST) == addresses
        )


@then("both serve calls and show metrics")
def both_serve(context: Any) -> None:
    """Send a call to each and read its metrics."""
    for node in context.nodes:
        answer = node.ask("/once/a", f"r-{node.name}")
        assert (answer.status, answer.body) == (200, b"whole"), answer
        status, body = node.get("metrics", "/metrics")
        assert status == 200 and b"driftstall_gateway_requests_total" in body, body
        assert b"driftstall_gateway_upstream_pace" in body, body


@when("a newer routing configuration is stored")
def store_newer(context: Any) -> None:
    """Store a newer version with an additional route."""
    newer = document(9)
    newer["routes"].append(route("added", "/added/", "safe", "portal"))
    assert context.store.replace(KIND_CONFIG, NAME_CONFIG, newer) is not None


@when("the gate falls silent")
def fall_silent(context: Any) -> None:
    """Discard all data without closing connections."""
    context.gate.silent = True


@when("the gate is shut and a newer routing configuration is stored")
def shut_and_store(context: Any) -> None:
    """Disconnect one process from the store, then change the configuration."""
    context.gate.shut_down()
    store_newer(context)


@when("the gate is shut and a newer routing configuration of {count:d} routes is stored")
def shut_and_store_large(context: Any, count: int) -> None:
    """Disconnect one process, then store a configuration that it can only get from its peer."""
    context.gate.shut_down()
    newer = document(9)
    newer["routes"] += [route(f"r-{n}", f"/many{n}/", "safe", "portal") for n in range(count)]
    newer["routes"].append(route("added", "/added/", "safe", "portal"))
    assert context.store.replace(KIND_CONFIG, NAME_CONFIG, newer) is not None


@then("both processes still run")
def still_run(context: Any) -> None:
    """Check that no process has exited."""
    for node in context.nodes:
        assert node.process.poll() is None, (node.process.returncode, node.log.read_text()[-500:])


@then("both serve its new route")
def new_route(context: Any) -> None:
    """Send a call to the added route."""
    for index, node in enumerate(context.nodes):
        wait_for_processes(
            f"{node.name} serves the new route",
            lambda process=node, n=index: process.ask("/added/a", f"added-{n}").status == 200,
        )


@when("a policy is submitted on the store")
def submit_policy(context: Any) -> None:
    """Run the operator's command."""
    arguments = ["policy", "submit", "examples/both.policy", f"--store={context.store_address}"]
    assert command(arguments) == 0


@then("both have it in force")
def policy_in_force(context: Any) -> None:
    """Wait for the log line."""
    for node in context.nodes:
        wait_for_processes(
            f"{node.name} has the policy",
            lambda process=node: "Policy 'both' is in force" in process.log.read_text(),
        )


@when("the first one's settings change to wrong ones")
def wrong_settings(context: Any) -> None:
    """Write invalid settings and have the process reload them."""
    node = context.nodes[0]
    node.write(node.settings | {"listen": {}})
    node.process.send_signal(signal.SIGHUP)


@then("it says so and serves on")
def says_so(context: Any) -> None:
    """Wait for the log line, then send a call."""
    node = context.nodes[0]
    wait_for_processes(
        "it says so", lambda: "The changed settings are not used" in node.log.read_text()
    )
    assert node.ask("/once/a", "after-hup").status == 200


@when("the store goes down and the first one is told to stop")
def down_and_stop(context: Any) -> None:
    """Stop the store's service, then one process."""
    context.store_bench.platform.control({"down_s": 30.0})
    context.nodes[0].process.send_signal(signal.SIGTERM)


@then("it is not ready at once and the second one locates only itself")
def not_ready(context: Any) -> None:
    """Check the readiness of the first and the directory of the second."""
    first, second = context.nodes
    wait_for("it is not ready", lambda: not first.is_ready())
    wait_for_processes(
        "the second locates itself", lambda: second.locate(HOST) == {second.listen["front"]}
    )


@then("it ends by itself with 0")
def ends(context: Any) -> None:
    """Wait for the process and check its exit code."""
    assert context.nodes[0].process.wait(timeout=PROCESS_WAIT_S) == 0


@when("an upstream is removed from the store")
def remove_upstream(context: Any) -> None:
    """Remove one entry; the process behind the proxy gets the change from its peer."""
    context.store.delete(KIND_UPSTREAMS, "i-1")
    for node in context.nodes:
        wait_for_processes(
            f"{node.name} knows",
            lambda process=node: "Upstream i-1 is leaving" in process.log.read_text(),
        )


@then("neither sends it any call within 10 calls")
def no_calls(context: Any) -> None:
    """Send calls and check that the removed upstream gets none."""
    before = len(context.upstreams[0].seen)
    for node in context.nodes:
        for index in range(10):
            assert node.ask("/once/a", f"late-{node.name}-{index}").status == 200
    assert len(context.upstreams[0].seen) == before
