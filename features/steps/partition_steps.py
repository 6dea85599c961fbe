"""Test a partitioned gateway, and the tunnels through its peers."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Final

import gevent
from behave import given, then, when
from gevent import socket

from driftstall.decisions.poison_subjects import PoisonSubjects
from driftstall.gateway.drain import Drain
from driftstall.gateway.poison.crash_detector import CrashDetector
from driftstall.gateway.runs import BrokenRun
from driftstall.peers.tunnel_messages import TunnelRequested
from driftstall.util.addresses import split_address
from features.worlds.gateway_world import (
    document,
    parse_answer,
    read_response,
    request_bytes,
    runs,
    script_upstreams,
    wait_for,
)
from features.worlds.partition_world import PartitionWorld, links_of
from soak.plan import PartitionFault
from stand_ins.routed import Script, event_bytes

BIG_EVENTS: Final = 250
BIG_EVENT_BYTES: Final = 64_000
FAULTS: Final = {"reset": PartitionFault.RESET, "hang": PartitionFault.HANG}
ANSWERS: Final[dict[str, Callable[[], Script]]] = {
    "without an end": lambda: Script(unframed=True, hold_body=True),
    "only when told": lambda: Script(hold=True),
    "without a length": lambda: Script(unframed=True),
    "without a length, as its upstream ends": lambda: Script(unframed=True, ends_upstream=True),
}


def world_of(context: Any) -> PartitionWorld:
    """Return the scenario's world."""
    world: PartitionWorld = context.world
    return world


def send(context: Any, path: str, request_id: str) -> socket.socket:
    """Send a request on a new connection, and return the connection."""
    connection = world_of(context).connect()
    connection.sendall(request_bytes(path, request_id, X_Driftstall_Deadline_Ms="15000"))
    return connection


def wait_until_running(context: Any, request_id: str) -> None:
    """Wait until an upstream has received a request through a tunnel."""
    wait_for("it runs", lambda: bool(runs(world_of(context), request_id)))


@given("a gateway with two peers that reach its upstreams")
def start_world(context: Any) -> None:
    """Start the world, and stop it after the scenario."""
    context.world = PartitionWorld()
    context.add_cleanup(context.world.close)


@given("its connections to upstreams {fault}")
def partitioned(context: Any, fault: str) -> None:
    """Partition the gateway."""
    world_of(context).dialer.fault = FAULTS[fault]


@given("a call has been served")
def call_served(context: Any) -> None:
    """Send a call, so that the partition is known."""
    assert world_of(context).ask("/once/first", "first").status == 200


@given("a stream has been served")
def stream_served(context: Any) -> None:
    """Send a stream, so that the partition from the engines is known."""
    assert world_of(context).ask("/stream/first", "first").whole


@given("one plain upstream has crashed")
def plain_crashed(context: Any) -> None:
    """Stop an upstream that is still listed."""
    world_of(context).plain[0].stop()


@given('the answer to "{request_id}" will come "{how}"')
def will_answer(context: Any, request_id: str, how: str) -> None:
    """Script the upstream."""
    context.script = ANSWERS[how]()
    script_upstreams(world_of(context), request_id, [context.script])


@given('stream "{request_id}" will bring 16 MB')
def will_send_much(context: Any, request_id: str) -> None:
    """Script a stream larger than all buffers on its way, on a route with enough time."""
    routes = [route | {"timeoutMs": 15_000} for route in document()["routes"]]
    world_of(context).use(document(routes=routes))
    script = Script(events=BIG_EVENTS, filler=b"x" * BIG_EVENT_BYTES)
    script_upstreams(world_of(context), request_id, [script])


@given('stream "{request_id}" has a backup and pauses after event {number:d}')
def pauses(context: Any, request_id: str, number: int) -> None:
    """Script a stream that has run long enough to have a backup, and then pauses."""
    context.script = Script(pause_after=number, event_pause_s=0.3)
    script_upstreams(world_of(context), request_id, [context.script])


@given("its peers report that they can't reach the upstreams")
def peers_report(context: Any) -> None:
    """Let the reports of the peers name the services."""
    world = world_of(context)
    world.without = {peer.settings.instance_id for peer in world.peers}


@given("its peers are partitioned as well, which nobody knows yet")
def peers_partitioned(context: Any) -> None:
    """Partition all peers."""
    for peer in world_of(context).peers:
        peer.dialer.fault = PartitionFault.RESET


@given("one peer is partitioned as well, which nobody knows yet")
def peer_partitioned(context: Any) -> None:
    """Partition a peer."""
    world_of(context).peers[0].dialer.fault = PartitionFault.RESET


@given("only one peer reaches the upstreams")
def one_reaching_peer(context: Any) -> None:
    """Let the other peer report that it can't reach them; the crashed upstream is not listed."""
    world = world_of(context)
    world.without = {world.peers[0].settings.instance_id}
    gone = world.plain[0].upstream_id
    world.peers[1].server._find = lambda upstream_id: next(
        (each for each in world.state.fleet.upstreams if each.upstream_id == upstream_id != gone),
        None,
    )


@given("one peer is stopping")
def peer_stopping(context: Any) -> None:
    """Begin the planned stop of a peer."""
    state = world_of(context).peers[0].state
    Drain(state).begin()


@when("{count:d} calls are asked one after the other")
def ask_many(context: Any, count: int) -> None:
    """Send calls."""
    world = world_of(context)
    context.answers = [world.ask("/once/a", f"many-{number}") for number in range(count)]


@then("all of them are served")
def all_served(context: Any) -> None:
    """Check the answers."""
    assert {answer.status for answer in context.answers} == {200}, context.answers


@then("the stopping peer has opened no tunnel")
def stopping_opened_none(context: Any) -> None:
    """Check the peer's counter."""
    assert world_of(context).peers[0].state.stats.tunnels_served == 0


@when('"{path}" is asked as "{request_id}" and its peer dies')
def peer_dies(context: Any, path: str, request_id: str) -> None:
    """End the peers while the upstream works."""
    connection = send(context, path, request_id)
    wait_until_running(context, request_id)
    if context.script.hold_body:
        context.script.paused.wait(5.0)
    for peer in world_of(context).peers:
        peer.die()
    context.answer = read_response(connection)


@when('"{path}" is asked as "{request_id}" and its upstream resets')
def upstream_resets(context: Any, path: str, request_id: str) -> None:
    """Reset the upstream's connection while it works."""
    connection = send(context, path, request_id)
    wait_until_running(context, request_id)
    context.script.cut_after = 0
    context.script.gate.set()
    context.answer = read_response(connection)


@then("the whole answer comes")
def whole(context: Any) -> None:
    """Check the body."""
    assert (context.answer.status, context.answer.body) == (200, b"whole"), context.answer


@then("the stream has events 1 to {last:d} and its end")
def whole_stream(context: Any, last: int) -> None:
    """Check that each event came once, in order."""
    expected = b"".join(event_bytes(number) for number in range(1, last + 1))
    assert (context.answer.body, context.answer.whole) == (expected, True), context.answer


@then("the stream has events 1 to {last:d}, and no end")
def broken_stream(context: Any, last: int) -> None:
    """Check that each event came once, in order, and that the last chunk is missing."""
    expected = b"".join(event_bytes(number) for number in range(1, last + 1))
    assert (context.answer.body, context.answer.whole) == (expected, False), context.answer


@when('"{path}" is asked as "{request_id}" and its caller leaves')
def caller_leaves(context: Any, path: str, request_id: str) -> None:
    """Close the caller's connection while the upstream works."""
    connection = send(context, path, request_id)
    wait_until_running(context, request_id)
    assert sum(peer.server.open_tunnels for peer in world_of(context).peers) == 1
    connection.close()
    context.left_at = time.monotonic()


@then("within {seconds:g} s the peers hold no tunnel any more")
def no_tunnels(context: Any, seconds: float) -> None:
    """Wait until the tunnel has ended, and with it the connection to the upstream."""
    peers = world_of(context).peers
    wait_for("no tunnel", lambda: not any(peer.server.open_tunnels for peer in peers))
    assert time.monotonic() - context.left_at <= seconds


@when('"{path}" is asked as "{request_id}" and its caller reads nothing for {seconds:g} s')
def slow_reader(context: Any, path: str, request_id: str, seconds: float) -> None:
    """Leave the answer unread for a while, and count what the upstream's connections took."""
    world = world_of(context)
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
    connection.connect(split_address(world.state.settings.caller_listen))
    connection.sendall(request_bytes(path, request_id, X_Driftstall_Deadline_Ms="15000"))
    wait_until_running(context, request_id)
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        gevent.sleep(0.05)
    context.sent_early = sum(peer.state.stats.tunnel_bytes for peer in world.peers)
    pieces = []
    connection.settimeout(5.0)
    while piece := connection.recv(1_000_000):
        pieces.append(piece)
    context.answer = parse_answer(b"".join(pieces))


@then("less than {megabytes:d} MB had passed the peers by then")
def held_back(context: Any, megabytes: int) -> None:
    """Check how much had passed the peers."""
    assert context.sent_early < megabytes * 1_000_000, context.sent_early


@then("the caller then gets all 16 MB")
def gets_all(context: Any) -> None:
    """Check that all events have come."""
    assert context.answer.whole
    assert context.answer.body.count(b"\n\n") == BIG_EVENTS


def ask_and(context: Any, path: str, request_id: str, fault: Callable[[], None]) -> None:
    """Send a stream's request; let the fault happen at its pause, and read the rest."""
    connection = send(context, path, request_id)
    data = b""
    connection.settimeout(5.0)
    while event_bytes(3) not in data:
        data += connection.recv(65_536)
    fault()
    context.script.gate.set()
    while piece := connection.recv(65_536):
        data += piece
    context.answer = parse_answer(data)


@when('"{path}" is asked as "{request_id}" and its peer dies once event 3 has come')
def peer_dies_midway(context: Any, path: str, request_id: str) -> None:
    """End the peer through which the stream comes."""
    world = world_of(context)

    def die() -> None:
        next(peer for peer in world.peers if peer.server.open_tunnels).die()

    ask_and(context, path, request_id, die)


@when(
    '"{path}" is asked as "{request_id}" and its instance is partitioned by "{fault}" once event 3'
    " has come"
)
def partitioned_midway(context: Any, path: str, request_id: str, fault: str) -> None:
    """Partition the instance, which resets the open connection of the stream."""
    world = world_of(context)

    def partition() -> None:
        world.dialer.fault = FAULTS[fault]
        for run in world.state.runs.all:
            assert run.exchange is not None
            run.exchange._connection.shutdown(socket.SHUT_RDWR)  # type: ignore[attr-defined]

    ask_and(context, path, request_id, partition)


@then('"{request_id}" has run on {count:d} upstreams from the start')
def started_once(context: Any, request_id: str, count: int) -> None:
    """Check the runs that were not resumed at a replica."""
    world = world_of(context)
    fresh = [
        seen
        for upstream in (*world.plain, *world.engines)
        for seen in upstream.seen
        if seen.request_id == request_id and not seen.is_resumed
    ]
    assert len(fresh) == count, fresh


@then("peers have opened {count:d} tunnels")
def tunnels_opened(context: Any, count: int) -> None:
    """Check the peers' counters."""
    assert world_of(context).served == count, world_of(context).served


@when("the partition of the instance ends")
def partition_ends(context: Any) -> None:
    """Restore the links."""
    world_of(context).dialer.fault = None
    context.ended_at = time.monotonic()


@when("it is partitioned again")
def partitioned_again(context: Any) -> None:
    """Cut the links again."""
    world_of(context).dialer.fault = PartitionFault.RESET


@then("within {seconds:g} s its sends are direct")
def direct_again(context: Any, seconds: float) -> None:
    """Wait until the service counts as reachable."""
    tracker = world_of(context).state.connector.reachability
    wait_for("direct sends", lambda: not tracker.unreachable_services)
    assert time.monotonic() - context.ended_at <= seconds


@when("a run at each upstream breaks off")
def runs_break_off(context: Any) -> None:
    """Report a broken run at each upstream to the crash detector, all at once."""
    state = world_of(context).state
    context.crashed = []
    context.detector = CrashDetector(
        state,
        on_crash=lambda upstream: context.crashed.append(upstream.upstream_id),
        publish_evidence=lambda: None,
    )
    for number, upstream in enumerate(state.fleet.upstreams):
        run = BrokenRun(f"broken-{number}", PoisonSubjects("fingerprint"), under_way=True)
        context.detector.handle_broken_run(upstream, run)
    wait_for("all are investigated", lambda: not context.detector._suspicions)


@then("no upstream is found to have crashed")
def none_crashed(context: Any) -> None:
    """Check the detector's findings and the evidence against the request."""
    state = world_of(context).state
    assert not context.crashed, context.crashed
    assert not state.poison.tracker.verdict("fingerprint", state.now()).upstream_ids


@then("an upstream that has crashed while others are reachable still is")
def crash_found(context: Any) -> None:
    """End the partition and stop an upstream."""
    world = world_of(context)
    world.dialer.fault = None
    wait_for("reachable", lambda: not world.state.connector.reachability.unreachable_services)
    world.plain[0].stop()
    crashed = next(
        upstream
        for upstream in world.state.fleet.upstreams
        if upstream.upstream_id == world.plain[0].upstream_id
    )
    context.detector.handle_broken_run(
        crashed, BrokenRun("last", PoisonSubjects("other"), under_way=True)
    )
    wait_for("found", lambda: context.crashed == [crashed.upstream_id])


@then("no upstream is ejected or assumed to be cold")
def none_ejected(context: Any) -> None:
    """Check the records of all upstreams."""
    state = world_of(context).state
    for upstream in state.fleet.upstreams:
        assert not state.outcomes.is_ejected(upstream.upstream_id, state.now())
        assert not state.cold.remaining_s(upstream.upstream_id, state.now())


@when("a tunnel is requested {how}")
def request_tunnel(context: Any, how: str) -> None:
    """Request a tunnel of a peer in a way that it must not accept."""
    world = world_of(context)
    peer = world.peers[0]
    upstream_id = world.plain[0].upstream_id
    settings = replace(world.state.settings, instance_id="another")
    if how == "with another key":
        settings = replace(settings, peer_key="another key")
    if how == "to an upstream that is unknown":
        upstream_id = "unknown"
    recipient = "instance-9" if how == "for another instance" else peer.settings.instance_id
    request = TunnelRequested("another", upstream_id, 300, "r1")
    frame = links_of(settings)._frame(recipient, request)
    if how == "by a caller's HTTP request":
        frame = request_bytes("/once/a", "r1")
    times = 2 if how == "a second time, as recorded" else 1
    for _ in range(times):
        with socket.create_connection(split_address(peer.settings.peer_listen)) as connection:
            connection.settimeout(1.0)
            connection.sendall(frame)
            context.replied = _reply_of(connection)
    context.allowed = times - 1


def _reply_of(connection: socket.socket) -> bytes:
    """Return what comes back within a moment; empty if the connection is closed."""
    connection.settimeout(0.3)
    try:
        return bytes(connection.recv(100))
    except OSError:
        return b""


@then("no connection to an upstream is opened")
def none_opened(context: Any) -> None:
    """Check the peer's connections; a replay opens no more than the recorded request did."""
    assert world_of(context).peers[0].dialer.opened == context.allowed
