"""Test what the near end of a tunnel reports about the end of the upstream's response."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from typing import Any, Final

from behave import given, then, when
from hypothesis import given as given_drawn
from hypothesis import settings
from hypothesis import strategies as st

from driftstall.exceptions import UpstreamError
from driftstall.gateway.exchange import BodyChunk, ResponseEnd, UpstreamExchange
from driftstall.gateway.forwarding import tunnel_server
from driftstall.gateway.forwarding.tunnel import (
    END_FRAME,
    TunnelConnection,
    encode_frame,
)
from driftstall.gateway.response_buffers import ResponseBuffers
from driftstall.peers.codec import message_types_of
from driftstall.peers.gateway_messages import GatewayMessage
from driftstall.peers.link import PeerLinks
from driftstall.peers.tunnel_messages import TunnelOutcome, TunnelRequested
from driftstall.platform.names import KIND_UPSTREAMS
from driftstall.platform.settings import DEFAULT_PEER_KEY
from driftstall.util import clock
from driftstall.util.pacing import DenseInputPacer
from features.steps.gateway_node_steps import start_one, wait_for_processes
from features.steps.partition_steps import (
    BIG_EVENT_BYTES,
    BIG_EVENTS,
    send,
    wait_until_running,
    will_send_much,
)
from features.worlds.gateway_world import read_response, script_upstreams, wait_for
from features.worlds.upstream_samples import entry_spec
from measures.bench import free_port
from stand_ins.endings import Ending, EndingPlan, EndingUpstream, Framing
from stand_ins.routed import ReceivedRequest, Script, event_bytes

READ_WAIT_S: Final = 3.0
BUFFER_BYTES: Final = 1_000_000
UPSTREAM_ID: Final = "ending-1"


@given('an upstream that frames with {framing} and ends "{ending}" after 7 of 20 events')
def ending_upstream(context: Any, framing: str, ending: str) -> None:
    """Register an upstream whose responses end by a plan."""
    plan = EndingPlan(Framing(framing), Ending(ending), pause_s=0.01)
    context.upstream = EndingUpstream(UPSTREAM_ID, lambda _: plan)
    context.add_cleanup(context.upstream.stop)
    spec = entry_spec(context.upstream.address, "portal", slots=6)
    context.store.create(KIND_UPSTREAMS, UPSTREAM_ID, spec)


@given("a gateway process that serves a tunnel to it")
def serve_tunnel(context: Any) -> None:
    """Start a process, and open a tunnel through it once it knows the upstream."""
    start_one(context)
    node = context.nodes[0]
    own = f"127.0.0.1:{free_port()}"
    types = message_types_of(GatewayMessage)
    links = PeerLinks("near", own, DEFAULT_PEER_KEY.encode(), types, lambda *_: None)

    def is_open() -> bool:
        request = TunnelRequested("near", UPSTREAM_ID, 1000, "r1")
        address = node.listen["control"]
        connection, outcome = links.open_tunnel(node.name, address, request, 1.2)
        if outcome is not TunnelOutcome.OPENED:
            connection.close()
            return False
        tunnel = TunnelConnection(connection, lambda: None)
        context.exchange = UpstreamExchange(
            tunnel, ResponseBuffers(BUFFER_BYTES), DenseInputPacer()
        )
        return True

    wait_for_processes("a tunnel is open", is_open)
    context.add_cleanup(context.exchange.close)
    headers = ((b"Host", b"x"), (b"X-Driftstall-Request-Id", b"r1"))
    context.exchange.send(b"POST", b"/stream/a", headers, b"body", READ_WAIT_S)


def _read(context: Any, events: int | None = None) -> str:
    """Read until the end or some events; return how the response ended."""
    until = clock.now() + READ_WAIT_S
    while events is None or context.body.count(b"\n\n") < events:
        try:
            item = context.exchange.next(lambda: until - clock.now())
        except (UpstreamError, TimeoutError):
            return "broken off"
        if isinstance(item, ResponseEnd):
            return "whole"
        if isinstance(item, BodyChunk):
            context.body += item.data
    return "unfinished"


@when("a stream is read through the tunnel to its end")
def read_to_end(context: Any) -> None:
    """Read the response."""
    context.body = b""
    context.result = _read(context)


@when("a stream is read through the tunnel until event {count:d}, and the process gets {name}")
def read_and_signal(context: Any, count: int, name: str) -> None:
    """Read some events, send a signal to the peer, and read the rest."""
    context.body = b""
    assert _read(context, count) == "unfinished"
    context.nodes[0].process.send_signal(signal.Signals[name])
    context.result = _read(context)


@then("it has {count:d} events and is {result}")
def check_end(context: Any, count: int, result: str) -> None:
    """Check the events and the end."""
    seen = (context.body.count(b"\n\n"), context.result)
    assert seen == (count, result), seen


@given(
    'stream "{request_id}" will bring 16 MB {framing}, through peers that wait for {seconds:g} s'
)
def much_with_stalls(context: Any, request_id: str, framing: str, seconds: float) -> None:
    """Script a stream larger than all buffers, and shorten the peers' wait for a reader."""
    will_send_much(context, request_id)
    for engine in context.world.engines:
        # A run that resumed at a copy would follow no script, and state an end after five events.
        engine.peers = {}
    script = Script(
        events=BIG_EVENTS,
        filler=b"x" * BIG_EVENT_BYTES,
        unframed=framing == "without framing",
    )
    script_upstreams(context.world, request_id, [script])
    context.add_cleanup(setattr, tunnel_server, "STALL_TIMEOUT_S", tunnel_server.STALL_TIMEOUT_S)
    tunnel_server.STALL_TIMEOUT_S = seconds  # type: ignore[misc]


@when(
    '"{path}" is asked as "{request_id}", and nothing is read until its peer has closed the tunnel'
)
def closed_while_unread(context: Any, path: str, request_id: str) -> None:
    """Wait until the peer has served and closed the tunnel, then read all."""
    world = context.world
    connection = send(context, path, request_id)
    wait_until_running(context, request_id)
    wait_for("the tunnel is open", lambda: any(p.server.open_tunnels for p in world.peers))
    wait_for("it is closed", lambda: not any(p.server.open_tunnels for p in world.peers))
    context.answer = read_response(connection)


@then("its first events came in order, and no end")
def first_events_came(context: Any) -> None:
    """Check that the events are the first ones of the stream, and not all."""
    whole = b"".join(event_bytes(n, b"x" * BIG_EVENT_BYTES) for n in range(1, BIG_EVENTS + 1))
    answer = context.answer
    runs = [(each.is_resumed, each.headers.get("last-event-id")) for each in _seen(context)]
    assert answer.status == 200 and not answer.whole, (answer.status, answer.whole, runs)
    assert whole.startswith(answer.body) and len(answer.body) < len(whole), len(answer.body)


def _seen(context: Any) -> list[ReceivedRequest]:
    """Return the runs at all engines."""
    return [each for engine in context.world.engines for each in engine.seen]


class PiecesConnection:
    """A connection that returns given pieces, and then its end."""

    def __init__(self, pieces: Iterator[bytes]) -> None:
        """Initialize with the pieces."""
        self._pieces = pieces

    def recv(self, _: int) -> bytes:
        """Return the next piece."""
        return next(self._pieces, b"")


def _read_tunnel(data: bytes, size: int) -> tuple[bytes, bool]:
    """Return the bytes that a tunnel returns, and whether it ends in order."""
    pieces = (data[at : at + size] for at in range(0, len(data), size))
    tunnel = TunnelConnection(PiecesConnection(pieces), lambda: None)  # type: ignore[arg-type]
    body = b""
    try:
        while piece := tunnel.recv(5):
            body += piece
    except ConnectionResetError:
        return body, False
    return body, True


FRAMES: Final = st.lists(st.binary(min_size=1, max_size=12), max_size=5)
"""Contents of the frames of a tunnel."""


@when("tunnels of drawn bytes are cut at each byte, in drawn pieces")
def cut_tunnels(context: Any) -> None:
    """Read every prefix of the bytes of a tunnel."""
    context.cuts = []

    @settings(max_examples=150, derandomize=True, database=None)
    @given_drawn(FRAMES, st.integers(1, 20))
    def cut(frames: list[bytes], size: int) -> None:
        data = b"".join(map(encode_frame, frames)) + END_FRAME
        for end in range(len(data) + 1):
            is_whole = end == len(data)
            context.cuts.append((b"".join(frames), is_whole, _read_tunnel(data[:end], size)))

    cut()


@then("only the whole ones end, and the others return what came before")
def only_whole(context: Any) -> None:
    """Check the results."""
    for sent, is_whole, (body, has_ended) in context.cuts:
        assert has_ended == is_whole, (sent, body)
        assert body == sent if is_whole else sent.startswith(body), (sent, body)


@when("tunnels of drawn bytes with an end mark before their last frame are read, in drawn pieces")
def early_marks(context: Any) -> None:
    """Insert an end mark before the last frame."""
    context.cuts = []

    @settings(max_examples=300, derandomize=True, database=None)
    @given_drawn(FRAMES, st.binary(min_size=1, max_size=12), st.integers(1, 40))
    def read(frames: list[bytes], last: bytes, size: int) -> None:
        data = b"".join(map(encode_frame, frames)) + END_FRAME + encode_frame(last) + END_FRAME
        context.cuts.append((b"".join(frames), False, _read_tunnel(data, size)))

    read()


@then("none of them ends in order")
def none_ends(context: Any) -> None:
    """Check the results."""
    for sent, _, (body, has_ended) in context.cuts:
        assert (body, has_ended) == (sent, False), (sent, body)
