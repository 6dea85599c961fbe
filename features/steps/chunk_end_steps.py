"""Test that only a last chunk ends a chunked response."""

from __future__ import annotations

import re
from functools import partial
from typing import Any, Final

from behave import then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from driftstall.gateway.exchange import ResponseEnd
from driftstall.gateway.ingress import encode_chunk
from features.steps.kept_connection_steps import CHUNKED, LAST_CHUNK, head_bytes
from features.steps.response_head_steps import OWN, TYPE, Case, ask_cases, read_parts
from stand_ins.raw import RawEnding, RawResponse
from stand_ins.routed import event_bytes

EXAMPLES: Final = 1_500
EXTENSION: Final = rb"(?:[ \t]*;[^\r\n]*)?"
CHUNK: Final = re.compile(rb"([0-9A-Fa-f]+)" + EXTENSION + rb"\r\n")
TRAILER: Final = re.compile(rb"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n]*\r\n)*\r\n")
WHOLE_END: Final = encode_chunk(b"12345") + LAST_CHUNK
SECOND: Final = head_bytes("another", CHUNKED) + encode_chunk(b"other") + LAST_CHUNK
NO_LAST_CHUNK: Final = (
    b"",
    b"0",
    b"0\r",
    b"0\r\n",
    b"0\r\n\r",
    b"0\n\n",
    b"0\r\nSum: 1\r\n",
    b"0\r\nSum 1\r\n\r\n",
    b"00x\r\n\r\n",
    b"-0\r\n\r\n",
    b"+0\r\n\r\n",
    b"0x0\r\n\r\n",
    b" 0\r\n\r\n",
    b"0;\n\r\n\r\n",
    b"\r\n0\r\n\r\n",
    b"\r\n\r\n",
    b"g\r\n\r\n",
    b"10000000000000000\r\n\r\n",
    b"ffffffffffffffff\r\n0\r\n\r\n",
    b"5\r\n0\r\n\r\n",
    b"5\r\n12345",
    b"5\r\n12345\r\n",
    b"5\r\n123456\r\n0\r\n\r\n",
    b"0" * 20 + b"1\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
)

header_bytes = st.lists(
    st.sampled_from([b"0", b"1", b"5", b"a", b"F", b"x", b"-", b"+", b" ", b";", b"=", b"\r\n"])
    | st.sampled_from([b"\r", b"\n", b"\t", b"\0", b'"', b":", b"A: b", b"0\r\n", b"\r\n\r\n"]),
    max_size=10,
).map(b"".join)


def _change(data: bytes, changes: list[tuple[int, bytes]]) -> bytes:
    """Return bytes with some of them replaced by others, or removed."""
    changed = bytearray(data)
    for at, new in changes:
        index = at % max(1, len(changed))
        changed[index : index + 1] = new
    return bytes(changed)


changes = st.lists(st.tuples(st.integers(0, 64), st.binary(max_size=2)), min_size=1, max_size=3)
DRAWN: Final[dict[str, st.SearchStrategy[bytes]]] = {
    "any bytes": st.binary(max_size=16),
    "bytes of chunk headers": header_bytes,
    "a last chunk with changed bytes": st.builds(_change, st.just(LAST_CHUNK), changes),
    "a chunk with changed bytes": st.builds(_change, st.just(WHOLE_END), changes),
    "a cut chunk and another response": st.integers(0, len(WHOLE_END) - 1).map(
        lambda size: WHOLE_END[:size] + SECOND
    ),
}


def is_whole(data: bytes) -> bool:
    """Return True if chunks begin with chunks that end with a last chunk and its trailer."""
    while (match := CHUNK.match(data)) is not None:
        size, data = int(match[1], 16), data[match.end() :]
        if size == 0:
            return TRAILER.match(data) is not None
        if data[size : size + 2] != b"\r\n":
            return False
        data = data[size + 2 :]
    return False


@when("responses with {what} after a chunk are read")
def read_drawn(context: Any, what: str) -> None:
    """Read responses that begin with a chunk, and note those that ended."""
    context.ended = []
    context.read = 0
    head = head_bytes(OWN, CHUNKED) + encode_chunk(b"whole")

    @settings(max_examples=EXAMPLES, deadline=None, database=None, derandomize=True)
    @drawn(DRAWN[what], st.lists(st.integers(1, 64), max_size=4))
    def read(data: bytes, sizes: list[int]) -> None:
        context.read += 1
        if any(isinstance(part, ResponseEnd) for part in read_parts(head + data, sizes)):
            context.ended.append(data)

    read()


@then("those that ended have a last chunk")
def ended_by_last_chunk(context: Any) -> None:
    """Check the bytes of each response that ended by a reader of its own."""
    wrong = [data for data in context.ended if not is_whole(data)]
    assert not wrong, f"{len(wrong)} of {context.read}, such as {wrong[:5]}"
    assert context.read


def _respond(data: bytes, name: str) -> RawResponse:
    """Return a response in whose body an event is followed by other bytes."""
    head = head_bytes(name, CHUNKED, TYPE)
    return RawResponse(head + encode_chunk(event_bytes(1)) + data, RawEnding.CLOSED)


@when("chunks that are followed by what is no last chunk answer {request}")
def no_last_chunk(context: Any, request: str) -> None:
    """Respond with one chunk and other bytes, and close the connection."""
    assert not any(map(is_whole, NO_LAST_CHUNK))
    cases: list[Case] = [partial(_respond, data) for data in NO_LAST_CHUNK]
    ask_cases(context, request, cases)
