"""Test the limit on the bytes of all unfinished responses."""

from __future__ import annotations

from typing import Any, Final

from behave import given, then, when
from gevent import socket
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from driftstall.exceptions import InvalidResponse
from driftstall.gateway.exchange import BodyChunk, UpstreamExchange
from driftstall.gateway.response_body import ResponseBody
from driftstall.gateway.response_buffers import ResponseBuffers
from driftstall.util.pacing import DenseInputPacer
from features.worlds.gateway_world import GatewayWorld, script_upstreams
from stand_ins.routed import Script, event_bytes

LIMIT: Final = 100
EVENTS: Final = 4_000
MANY_EVENTS: Final = 100
STEPS: Final = st.lists(st.tuples(st.integers(0, 9), st.integers(0, 60)), max_size=60)
"""Responses by number, and the bytes by which they grow; they end with zero bytes."""


@when("responses of drawn sizes grow and end in a drawn order")
def draw(context: Any) -> None:
    """Record the bytes held after each step, and each ended response with the others' sizes."""
    context.held, context.ended = [], []

    @settings(max_examples=300, deadline=None, database=None, derandomize=True)
    @drawn(STEPS)
    def play(steps: list[tuple[int, int]]) -> None:
        buffers: ResponseBuffers[int] = ResponseBuffers(LIMIT)
        sizes: dict[int, int] = {}
        for number, growth in steps:
            if not growth:
                buffers.release(number)
                sizes.pop(number, None)
                continue
            sizes[number] = sizes.get(number, 0) + growth
            largest = buffers.resize(number, sizes[number])
            if largest is not None:
                context.ended.append((sizes.pop(largest), dict(sizes)))
                buffers.release(largest)
            context.held.append((buffers.total, sum(sizes.values())))

    play()


@then("they never hold more than the limit, and only the largest ones were ended")
def check(context: Any) -> None:
    """Check the totals, and the sizes of ended responses."""
    assert context.ended
    assert all(total == held <= LIMIT for total, held in context.held)
    for size, others in context.ended:
        assert size >= max(others.values(), default=0)
        assert size + sum(others.values()) > LIMIT


def _open_body(context: Any, size: int) -> tuple[UpstreamExchange, ResponseBody]:
    """Read a response up to its end, which has arrived as well, and hold its body."""
    near, far = socket.socketpair()
    context.add_cleanup(far.close)
    far.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b"x" * size)
    exchange = UpstreamExchange(near, context.buffers, DenseInputPacer())
    context.add_cleanup(exchange.close)
    body = ResponseBody(exchange)
    while not isinstance(item := exchange.next(lambda: 1.0), BodyChunk):
        pass
    body.add(item.data)
    return exchange, body


@given("two responses whose bodies are held")
def hold_two(context: Any) -> None:
    """Hold bodies that have room together."""
    context.buffers = ResponseBuffers(LIMIT)
    context.larger = _open_body(context, LIMIT * 6 // 10)
    context.smaller = _open_body(context, LIMIT * 3 // 10)


@when("both together exceed the memory for responses")
def exceed(context: Any) -> None:
    """Let the smaller one grow, without a turn for the reader of the larger one."""
    _, body = context.smaller
    body.add(b"x" * (LIMIT * 2 // 10))


@then("the larger one is freed before its reader runs")
def freed(context: Any) -> None:
    """Check what is held."""
    assert context.larger[1].take() == b""
    assert len(context.smaller[1].take()) == context.buffers.total == LIMIT * 5 // 10


@then("its reader gets an error in place of its end")
def gets_error(context: Any) -> None:
    """Read on."""
    try:
        item = context.larger[0].next(lambda: 1.0)
    except InvalidResponse:
        return
    raise AssertionError(item)


class EvictingPacer(DenseInputPacer):
    """A pacer in whose rests all open responses are ended for want of memory."""

    def __init__(self, world: GatewayWorld) -> None:
        """Initialize with the gateway whose responses are ended."""
        super().__init__()
        self._world = world

    def rest(self, events: int, spent_s: float) -> None:
        """End the open responses, if there were many events."""
        if events > MANY_EVENTS:
            for exchanges in self._world.state.exchanges._open.values():
                for exchange in list(exchanges):
                    exchange.evict()


@given("a gateway whose streams are ended for want of memory after a piece of many events")
def evicting_gateway(context: Any) -> None:
    """Start a gateway."""
    world = context.world = GatewayWorld()
    context.add_cleanup(world.close)
    world.state.response_pacer = EvictingPacer(world)


@when("a stream of many events is read")
def read_many(context: Any) -> None:
    """Read a stream whose events are sent at once."""
    script = Script(events=EVENTS, coalesce_from=1)
    script_upstreams(context.world, "many", [script])
    context.answer = context.world.ask("/stream/a", "many")


@then("its caller has got its first events unchanged, and no end")
def first_unchanged(context: Any) -> None:
    """Compare with the whole stream."""
    whole = b"".join(event_bytes(number) for number in range(1, EVENTS + 1))
    answer = context.answer
    assert answer.status == 200 and not answer.whole, (answer.status, answer.whole)
    assert answer.body and len(answer.body) < len(whole)
    assert whole.startswith(answer.body), answer.body[-200:]
