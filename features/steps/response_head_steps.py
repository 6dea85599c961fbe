"""Test response heads that are cut short or malformed."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from functools import partial
from typing import Any, Final

from behave import given, then, when
from gevent.pool import Pool
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from driftstall.exceptions import UpstreamError
from driftstall.gateway.exchange import ResponseHead, ResponsePart, UpstreamExchange
from driftstall.gateway.ingress import encode_chunk
from driftstall.gateway.response_buffers import ResponseBuffers
from driftstall.util.pacing import DenseInputPacer
from features.steps.kept_connection_steps import CHUNKED, LAST_CHUNK, head_bytes, use_raw_upstreams
from features.worlds.gateway_world import Received, world_of
from stand_ins.raw import RawEnding, RawResponse
from stand_ins.routed import event_bytes

CALLERS: Final = 50
SHORT_DEADLINE_MS: Final = "150"
MAX_ROUNDS: Final = 5
"""Rounds in which requests are sent again whose time was over before they reached an upstream."""
PATHS: Final = {
    "a safe call": "/safe/a",
    "a call that may run only once": "/once/a",
    "a stream": "/stream/a",
}
TYPE: Final = "Content-Type: text/event-stream"
DATE: Final = "Date: Sun, 06 Nov 1994"
LENGTH: Final = "Content-Length: 500"
NOT_EXECUTED: Final = "X-Driftstall-Not-Executed: 1"
UNAVAILABLE: Final = "503 Service Unavailable"
OTHER: Final = "another"
OWN: Final = "own"
Case = Callable[[str], RawResponse]
"""Returns the response to a request with an id."""


def _heads(name: str) -> tuple[bytes, ...]:
    """Return heads of each framing, and of a rejection."""
    return (
        head_bytes(name, DATE, LENGTH),
        head_bytes(name, DATE, CHUNKED, TYPE),
        head_bytes(name, DATE),
        head_bytes(name, NOT_EXECUTED, "Content-Length: 0", status=UNAVAILABLE),
    )


BEFORE: Final = {
    "nothing": b"",
    "an interim response": b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
    "a response with a length": head_bytes(OTHER, "Content-Length: 5") + b"other",
    "a response in chunks": head_bytes(OTHER, CHUNKED) + encode_chunk(b"other") + LAST_CHUNK,
}
SECOND: Final = {
    "a server error without a body": b"HTTP/1.1 500 Internal Server Error\r\n"
    b"Content-Length: 0\r\n\r\n",
    "a server error with a body": b"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain"
    b"\r\nContent-Length: 5\r\n\r\nerror",
    "a response to another request": head_bytes(OTHER, CHUNKED, TYPE)
    + encode_chunk(event_bytes(1))
    + LAST_CHUNK,
}


CUT_BODY: Final = {LENGTH: b"x" * 200, CHUNKED: encode_chunk(event_bytes(1))}
FRAMINGS: Final = {"a length": LENGTH, "chunks": CHUNKED}
CUT_AT_LENGTH: Final = b"x" * 200
MALFORMED: Final[tuple[tuple[str, ...], ...]] = (
    (LENGTH, "Content-Length: 200"),
    ("Content-Length: 200", LENGTH),
    (LENGTH, LENGTH),
    ("Content-Length: 500, 200",),
    ("Content-Length: 200", CHUNKED),
    (CHUNKED, "Content-Length: 200"),
    (CHUNKED, CHUNKED),
    ("Transfer-Encoding: chunked, chunked",),
    ("Transfer-Encoding: gzip",),
    ("Transfer-Encoding: gzip", "Content-Length: 200"),
    ("Transfer-Encoding: identity",),
    ("Transfer-Encoding: gzip, chunked",),
    ("Transfer-Encoding: chunked, gzip",),
    ("Transfer-Encoding: ",),
    ("Transfer-Encoding: chunke",),
    ("Transfer-Encoding: xchunked",),
    (CHUNKED, "Transfer-Encoding: gzip"),
    ("Content-Length: 2\r\n 00",),
    ("Content-Length:\r\n 200",),
    ("Transfer-Encoding: chun\r\n ked",),
    ("Date: today\r\n Content-Length: 500",),
    ("Date: today\r\n\tContent-Length: 500",),
    ("Date: to\0day", LENGTH),
    ("Da\0te: today", LENGTH),
    ("Date: today\nContent-Length: 500",),
    ("Date: today\rContent-Length: 500",),
    ("Content-Length : 500",),
    ("Content-Length: ",),
    ("Content-Length: +200",),
    ("Content-Length: 0xc8",),
    ("Content-Length: 20 0",),
    ("Content-Length: 18446744073709551816",),
    ("Content-Length 500",),
    ("ContentLength500",),
)
"""Header lines that frame the response ambiguously, or not at all."""
FIRST_LINES: Final = (
    "HTTP/1.1 20",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 000 OK",
    "HTTP/1.2 200 OK",
    "HTTP/1.1200 OK",
    "http/1.1 200 OK",
    "<html>200 OK</html>",
    "200 OK",
)
"""First lines that are no status line."""
UNUSUAL: Final[dict[str, Callable[[str], bytes]]] = {
    "has no reason phrase": lambda name: head_bytes(name, "Content-Length: 5", status="200"),
    "names a protocol in a value": lambda name: head_bytes(
        name, "Via: HTTP/1.1 edge", "Server: HTTP/1.1 engine", "Content-Length: 5"
    ),
    "names framing fields in a value": lambda name: head_bytes(
        name, "Access-Control-Expose-Headers: Content-Length, Transfer-Encoding"
    ),
    "has an upgrade that is not made": lambda name: head_bytes(
        name, "Connection: Upgrade", "Upgrade: h2c", "Content-Length: 5"
    ),
    "has no framing, and HTTP/1.0": lambda name: head_bytes(name, version="HTTP/1.0"),
}

THEN_MALFORMED: Final[dict[str, Callable[[str], bytes]]] = {
    "another response, then no HTTP": lambda _: (
        BEFORE["a response with a length"] + b"no status line\r\n\r\n"
    ),
    "a piece of a body, then no chunk": lambda name: (
        head_bytes(name, CHUNKED) + encode_chunk(b"piece") + b"no chunk\r\n"
    ),
    "an event, then no chunk": lambda name: (
        head_bytes(name, CHUNKED, TYPE) + encode_chunk(event_bytes(1)) + b"no chunk\r\n"
    ),
}


class ScriptedConnection:
    """A connection that returns pieces of given bytes, and is then closed in order."""

    def __init__(self, data: bytes, sizes: list[int]) -> None:
        """Initialize with the bytes, and the sizes of the pieces, which are repeated."""
        self._data = data
        self._sizes = sizes
        self._reads = 0

    def fileno(self) -> int:
        """Return a descriptor that is not used."""
        return -1

    def settimeout(self, timeout_s: float | None) -> None:
        """Ignore the timeout: no read waits."""

    def sendall(self, data: bytes) -> None:
        """Ignore the request."""

    def send(self, data: memoryview) -> int:
        """Ignore the request."""
        return len(data)

    def recv(self, size: int) -> bytes:
        """Return the next piece; empty after the last one."""
        piece = min(size, self._sizes[self._reads % len(self._sizes)]) if self._sizes else size
        self._reads += 1
        data, self._data = self._data[:piece], self._data[piece:]
        return data

    def close(self) -> None:
        """Do nothing."""


def read_parts(data: bytes, sizes: list[int]) -> Iterator[ResponsePart]:
    """Yield the parts of responses that are read from some bytes, until an error."""
    connection = ScriptedConnection(data, sizes)
    exchange = UpstreamExchange(connection, ResponseBuffers.from_memory(0), DenseInputPacer())
    try:
        while True:
            yield exchange.next(lambda: 1.0)
    except UpstreamError:
        return


def is_own_head(part: ResponsePart) -> bool:
    """Return True if a part is a head with the request's id."""
    if not isinstance(part, ResponseHead):
        return False
    ids = [value for name, value in part.headers if name == b"X-Driftstall-Request-Id"]
    return ids[:1] == [OWN.encode()]


def ask_cases(context: Any, request: str, cases: Sequence[Case]) -> None:
    """Make a request for each case, whose upstream responds as the case states."""
    by_id = {f"r{number:04}": case for number, case in enumerate(cases)}
    use_raw_upstreams(context, lambda seen: by_id[seen.request_id](seen.request_id))
    world = world_of(context)

    def ask(name: str) -> Received:
        return world.ask(PATHS[request], name, X_Driftstall_Deadline_Ms=deadline)

    is_silent = by_id["r0000"]("r0000").ending is RawEnding.KEPT
    deadline = SHORT_DEADLINE_MS if is_silent else "3000"
    context.answers = dict(zip(by_id, Pool(CALLERS).map(ask, by_id), strict=True))
    for _ in range(MAX_ROUNDS):
        unsent = by_id.keys() - _received_ids(context)
        for name in unsent:
            # The time of a request may be over before it is sent, which its answer has to state.
            answer = context.answers[name]
            assert answer.status == 504 and b'"ran":"not run"' in answer.body, (name, answer)
        context.answers |= dict(zip(unsent, Pool(CALLERS).map(ask, unsent), strict=True))
    context.cases = {name: case(name) for name, case in by_id.items()}


def _received_ids(context: Any) -> set[str]:
    """Return the ids of the requests that have reached an upstream."""
    return {seen.request_id for upstream in context.raw for seen in upstream.seen}


def _cut_head(variant: int, size: int, second: bytes, ending: RawEnding, name: str) -> RawResponse:
    """Return the response that is the first bytes of a head, and what follows them."""
    return RawResponse(_heads(name)[variant][:size] + second, ending)


def _cut_cases(ending: RawEnding, second: bytes = b"", variants: int = 4) -> list[Case]:
    """Return a case for each head and each byte at which it can be cut."""
    return [
        partial(_cut_head, variant, size, second, ending)
        for variant in range(variants)
        for size in range(len(_heads("r0000")[variant]))
    ]


@when("heads cut at each byte, then {ending}, answer {request}")
def cut_at_each_byte(context: Any, request: str, ending: str) -> None:
    """Cut heads of each framing and of a rejection."""
    ask_cases(context, request, _cut_cases(RawEnding(ending)))


@when("heads cut at each byte and followed by {second} answer {request}")
def followed_by(context: Any, request: str, second: str) -> None:
    """Cut heads of a success, and send another response where the rest is due."""
    ask_cases(context, request, _cut_cases(RawEnding.CLOSED, SECOND[second], 3))


def _check_answers(context: Any, is_right: Callable[[Received], bool]) -> None:
    """Check each answer, and that each request reached an upstream."""
    asked = _received_ids(context)
    assert asked == set(context.answers), len(asked)
    wrong = {
        name: (context.cases[name].data, answer)
        for name, answer in context.answers.items()
        if not is_right(answer)
    }
    assert not wrong, f"{len(wrong)} of {len(asked)}, such as {list(wrong.values())[:2]}"


def _is_error(answer: Received) -> bool:
    """Return True if an answer is an error and states that the request may have run."""
    return answer.status in (502, 504) and b'"ran":"unknown"' in answer.body


@then("all are answered with an error, and may have run")
def all_errors(context: Any) -> None:
    """Check that no answer is a success or promises anything."""
    _check_answers(context, _is_error)


@then("none of the answers looks complete or promises anything")
def none_complete(context: Any) -> None:
    """Check for errors, and for streams that had begun, for a visible break."""
    _check_answers(context, lambda each: _is_error(each) or (each.status == 200 and not each.whole))


@when("heads after {before} are cut at each byte and arrive in drawn pieces")
def read_cut_heads(context: Any, before: str) -> None:
    """Read every prefix of the bytes, in pieces of drawn sizes."""
    context.own = []
    whole = [BEFORE[before] + head for head in _heads(OWN)]

    @settings(max_examples=4, deadline=None, database=None, derandomize=True)
    @drawn(st.lists(st.integers(1, 64), max_size=8))
    def read(sizes: list[int]) -> None:
        for data in whole:
            assert any(map(is_own_head, read_parts(data, sizes))), data
            context.own += [
                data[:size]
                for size in range(len(data))
                if any(map(is_own_head, read_parts(data[:size], sizes)))
            ]

    read()


@then("none of them was read as a response to the request")
def none_own(context: Any) -> None:
    """Check that only whole heads were read."""
    assert not context.own, context.own[:3]


def _lose_line_end(framing: str, line: int, name: str) -> RawResponse:
    """Return a truncated response in whose head a line lost its end."""
    lines = head_bytes(name, DATE, framing, TYPE).split(b"\r\n")
    lines[line : line + 2] = [lines[line] + lines[line + 1]]
    return RawResponse(b"\r\n".join(lines) + CUT_BODY[framing], RawEnding.CLOSED)


@when("heads with {framing}, in each of which a line lost its end, answer {request}")
def lost_line_ends(context: Any, framing: str, request: str) -> None:
    """Respond with a head for each of its lines, but the empty one."""
    line = FRAMINGS[framing]
    count = head_bytes("", DATE, line, TYPE).count(b"\r\n") - 1
    cases = [partial(_lose_line_end, line, number) for number in range(count)]
    ask_cases(context, request, cases)


def _respond_malformed(lines: tuple[str, ...], first: str, name: str) -> RawResponse:
    """Return a truncated response with a malformed head."""
    head = head_bytes(name, *lines, TYPE)
    if first:
        head = first.encode() + head[head.index(b"\r\n") :]
    return RawResponse(head + CUT_AT_LENGTH, RawEnding.CLOSED)


@when("malformed heads of truncated responses answer {request}")
def malformed_heads(context: Any, request: str) -> None:
    """Respond with malformed framing fields and first lines, and 200 bytes of a body."""
    cases: list[Case] = [partial(_respond_malformed, lines, "") for lines in MALFORMED]
    cases += [partial(_respond_malformed, (LENGTH,), first) for first in FIRST_LINES]
    cases += [lambda _: RawResponse(b"<html>HTTP/0.9</html>", RawEnding.CLOSED)]
    ask_cases(context, request, cases)


@given("upstreams whose head {is_unusual}")
def unusual_head(context: Any, is_unusual: str) -> None:
    """Use upstreams that send a whole response with an unusual head."""
    build = UNUSUAL[is_unusual]
    use_raw_upstreams(
        context, lambda seen: RawResponse(build(seen.request_id) + b"whole", RawEnding.CLOSED)
    )


@given("upstreams that send {what} and are silent")
def malformed_and_silent(context: Any, what: str) -> None:
    """Use upstreams that keep the connection open after malformed bytes."""
    build = THEN_MALFORMED[what]
    use_raw_upstreams(context, lambda seen: RawResponse(build(seen.request_id)))


@then("the answer came within a second")
def came_soon(context: Any) -> None:
    """Check the time to the end of the answer."""
    assert context.answer_s < 1.0, context.answer_s
