"""Test upstreams that keep their connections open after a response."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import gevent
from behave import given, then, when
from gevent.pool import Pool

from driftstall.gateway.ingress import encode_chunk
from driftstall.platform.names import KIND_CONFIG, KIND_UPSTREAMS, NAME_CONFIG
from features.steps.gateway_node_steps import wait_for_processes
from features.worlds.gateway_world import GatewayWorld, document, route, wait_for, world_of
from features.worlds.partition_world import PartitionWorld
from features.worlds.upstream_samples import entry_spec
from stand_ins.raw import RawEnding, RawResponse, RawUpstream
from stand_ins.routed import ReceivedRequest, event_bytes

LAST_CHUNK: Final = b"0\r\n\r\n"
SOON_S: Final = 1.0
CALLS: Final = 500

Respond = Callable[[ReceivedRequest], RawResponse]


def use_raw_upstreams(context: Any, respond: Respond) -> None:
    """Replace the world's upstreams by ones that respond with given bytes."""
    world: GatewayWorld = world_of(context)
    for upstream in (*world.plain, *world.engines):
        upstream.stop()
    world.plain[:] = [RawUpstream(old.upstream_id, respond) for old in world.plain]
    world.engines[:] = [RawUpstream(old.upstream_id, respond) for old in world.engines]
    world.list_upstreams()
    if isinstance(world, PartitionWorld):
        world.replace_peers()
    context.raw = [*world.plain, *world.engines]


def head_bytes(
    request_id: str, *lines: str, status: str = "200 OK", version: str = "HTTP/1.1"
) -> bytes:
    """Return the head of a signed response with further header lines."""
    first = (f"{version} {status}", f"X-Driftstall-Request-Id: {request_id}")
    seal = "X-Driftstall-Response-Seal: seal"
    return "\r\n".join((*first, seal, *lines, "", "")).encode()


CHUNKED: Final = "Transfer-Encoding: chunked"
WHOLE: Final = encode_chunk(b"whole") + LAST_CHUNK
RESPONSES: Final[dict[str, Callable[[str], bytes]]] = {
    "a length": lambda name: head_bytes(name, "Content-Length: 5") + b"whole",
    "chunks": lambda name: head_bytes(name, CHUNKED) + WHOLE,
    "chunks with a trailer": lambda name: (
        head_bytes(name, CHUNKED, "Trailer: Sum") + encode_chunk(b"whole") + b"0\r\nSum: 1\r\n\r\n"
    ),
    "a length of zero": lambda name: head_bytes(name, "Content-Length: 0"),
    "status 204": lambda name: head_bytes(name, status="204 No Content"),
    "status 304": lambda name: head_bytes(name, status="304 Not Modified"),
    "status 304 with a length": lambda name: head_bytes(
        name, "Content-Length: 5", status="304 Not Modified"
    ),
    "HTTP/1.0 and a length": lambda name: (
        head_bytes(name, "Content-Length: 5", version="HTTP/1.0") + b"whole"
    ),
    "a length, and more bytes after it": lambda name: (
        head_bytes(name, "Content-Length: 5") + b"wholeHTTP/1.1 200"
    ),
    "a length, and another response after it": lambda name: (
        head_bytes(name, "Content-Length: 5") + b"whole" + head_bytes("another", CHUNKED) + WHOLE
    ),
    "another response before it": lambda name: (
        head_bytes("another", "Content-Length: 5")
        + b"other"
        + head_bytes(name, "Content-Length: 5")
        + b"whole"
    ),
    "an interim response before it": lambda name: (
        b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head_bytes(name, CHUNKED) + WHOLE
    ),
    "a keep-alive time": lambda name: (
        head_bytes(name, "Content-Length: 5", "Connection: keep-alive", "Keep-Alive: timeout=9")
        + b"whole"
    ),
    "two events in chunks": lambda name: (
        head_bytes(name, CHUNKED, "Content-Type: text/event-stream")
        + encode_chunk(event_bytes(1))
        + encode_chunk(event_bytes(2))
        + LAST_CHUNK
    ),
}


HEADS: Final[dict[str, Callable[[str], bytes]]] = {
    "a length": lambda name: head_bytes(name, "Content-Length: 5"),
    "chunks": lambda name: head_bytes(name, CHUNKED),
    "neither": lambda name: head_bytes(name),
    "a length, after the response to another": lambda name: (
        head_bytes("another", CHUNKED) + WHOLE + head_bytes(name, "Content-Length: 5")
    ),
}


@given("upstreams that send the head of {framing} and keep the connection open")
def keeping_open_after_head(context: Any, framing: str) -> None:
    """Use upstreams that respond with a head alone, as to a HEAD request."""
    build = HEADS[framing]
    use_raw_upstreams(context, lambda seen: RawResponse(build(seen.request_id)))


@when('HEAD "{path}" is asked of them as "{request_id}"')
def ask_head(context: Any, path: str, request_id: str) -> None:
    """Send a HEAD request and measure the time to the end of its answer."""
    begun_at = time.monotonic()
    context.answer = world_of(context).ask(path, request_id, method="HEAD")
    context.answer_s = time.monotonic() - begun_at


@given("upstreams that frame responses only if their connection stays open, and break off")
def framing_on_open_connections(context: Any) -> None:
    """Use upstreams that send one event or piece, and then close the connection."""

    def respond(seen: ReceivedRequest) -> RawResponse:
        is_stream = seen.target.startswith("/stream/")
        piece = event_bytes(1) if is_stream else b"half of it"
        lines = ("Content-Type: text/event-stream",) if is_stream else ()
        if seen.headers.get("connection") == "close":
            data = head_bytes(seen.request_id, *lines) + piece
        else:
            data = head_bytes(seen.request_id, CHUNKED, *lines) + encode_chunk(piece)
        return RawResponse(data, RawEnding.CLOSED)

    use_raw_upstreams(context, respond)


@given("upstreams that send {response} and keep the connection open")
def keeping_open(context: Any, response: str) -> None:
    """Use upstreams that keep the connection open after a response."""
    build = RESPONSES[response]
    use_raw_upstreams(context, lambda seen: RawResponse(build(seen.request_id)))


@when('"{path}" is asked of them as "{request_id}"')
def ask(context: Any, path: str, request_id: str) -> None:
    """Send a request and measure the time to the end of its answer."""
    begun_at = time.monotonic()
    context.answer = world_of(context).ask(path, request_id)
    context.answer_s = time.monotonic() - begun_at


@then("no success was received that looks complete")
def no_success(context: Any) -> None:
    """Check that an upstream was asked, and that the caller can tell the answer from a whole."""
    assert any(upstream.seen for upstream in context.raw)
    assert not (context.answer.status == 200 and context.answer.whole), context.answer


@then('the answer is {status:d} "{body}", within a second')
@then('the answer is {status:d} "", within a second')
def answered_soon(context: Any, status: int, body: str = "") -> None:
    """Check the answer and its time."""
    answer = context.answer
    assert (answer.status, answer.body, answer.whole) == (status, body.encode(), True), answer
    assert context.answer_s < SOON_S, context.answer_s


@then("the stream of {events:d} events is whole, within a second")
def stream_soon(context: Any, events: int) -> None:
    """Check the stream and its time."""
    answer = context.answer
    assert answer.status == 200 and answer.whole, answer
    assert answer.body == b"".join(event_bytes(number + 1) for number in range(events)), answer
    assert context.answer_s < SOON_S, context.answer_s


@then("the connection was closed without another byte")
def released(context: Any) -> None:
    """Check that the kept connection was closed, and carried one request."""
    used = [upstream for upstream in context.raw if upstream.seen]
    assert len(used) == 1, used
    (upstream,) = used
    wait_for("the connection is closed", lambda: upstream.released == upstream.kept == 1)
    assert not upstream.further_bytes


@when("{calls:d} calls are asked of them at once")
def ask_at_once(context: Any, calls: int) -> None:
    """Send calls at the same time, and measure the time to the end of the last answer."""
    begun_at = time.monotonic()
    asked = [world_of(context).ask_later("/once/a", f"r{number}") for number in range(calls)]
    context.answers = [call.get() for call in asked]
    context.answer_s = time.monotonic() - begun_at


@then('they are all answered 200 "{body}", within a second')
def all_answered_soon(context: Any, body: str) -> None:
    """Check the answers and their time."""
    answers = {(answer.status, answer.body, answer.whole) for answer in context.answers}
    assert answers == {(200, body.encode(), True)}, context.answers
    assert context.answer_s < SOON_S, context.answer_s


@then("the peers' tunnels and their connections are closed within {seconds:g} s")
def tunnels_closed(context: Any, seconds: float) -> None:
    """Wait until neither the peers nor the upstreams hold a connection."""
    world: PartitionWorld = context.world
    assert sum(peer.state.stats.tunnels_served for peer in world.peers) == len(context.answers)
    with gevent.Timeout(seconds, AssertionError("tunnels stay open")):
        while any(peer.server.open_tunnels for peer in world.peers):
            gevent.sleep(0.005)
        while any(upstream.released < upstream.kept for upstream in context.raw):
            gevent.sleep(0.005)
    assert sum(upstream.kept for upstream in context.raw) == len(context.answers)


@given("an upstream that keeps its connections open")
def register_keeping(context: Any) -> None:
    """Register an upstream for a route of its own."""
    build = RESPONSES["a length"]
    upstream = RawUpstream("kept-1", lambda seen: RawResponse(build(seen.request_id)))
    context.kept = upstream
    context.add_cleanup(upstream.stop)
    newer = document(4)
    newer["services"] += [{"name": "kept"}]
    newer["routes"] += [route("kept", "/kept/", "safe", "kept")]
    assert context.store.replace(KIND_CONFIG, NAME_CONFIG, newer) is not None
    context.store.create(KIND_UPSTREAMS, upstream.upstream_id, entry_spec(upstream.address, "kept"))


def _count_descriptors(context: Any) -> int:
    """Return the number of open descriptors of the gateway process."""
    return len(list(Path(f"/proc/{context.nodes[0].process.pid}/fd").iterdir()))


@when("{calls:d} calls to it are served by {callers:d} callers")
def serve_calls(context: Any, calls: int, callers: int) -> None:
    """Send calls, and note the descriptors before them."""
    node = context.nodes[0]
    assert node.ask("/kept/a", "first").status == 200
    wait_for_processes("it is released", lambda: context.kept.released == 1)
    context.descriptors = _count_descriptors(context)
    answers = Pool(callers).map(lambda number: node.ask("/kept/a", f"k-{number}"), range(calls))
    assert {(answer.status, answer.body) for answer in answers} == {(200, b"whole")}, answers


@then("it was released by all connections")
def all_released(context: Any) -> None:
    """Wait until the gateway has closed each connection."""
    wait_for_processes(
        "all are released", lambda: context.kept.released == context.kept.kept == CALLS + 1
    )
    assert not context.kept.further_bytes


@then("the process has at most {more:d} descriptors more than before them")
def same_descriptors(context: Any, more: int) -> None:
    """Wait until the process has closed its descriptors; it may be about other work meanwhile."""
    limit = context.descriptors + more
    wait_for_processes("descriptors are closed", lambda: _count_descriptors(context) <= limit)
