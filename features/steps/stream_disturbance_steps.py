"""Test streams that are disturbed in the middle, by this instance or by their upstream."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

from behave import given, then, when
from gevent import socket
from hypothesis import given as given_drawn
from hypothesis import settings
from hypothesis import strategies as st

from driftstall.exceptions import UpstreamError
from driftstall.gateway import ingress, streams
from driftstall.gateway.events import EventSequence
from driftstall.gateway.exchange import ResponseEnd, UpstreamExchange
from driftstall.gateway.ingress import LAST_CHUNK, encode_chunk
from driftstall.gateway.response_buffers import ResponseBuffers
from driftstall.util.pacing import DenseInputPacer
from features.steps.gateway_stream_steps import stream_script
from features.worlds.gateway_world import (
    GatewayWorld,
    parse_answer,
    request_bytes,
    script_upstreams,
    wait_for,
    world_of,
)
from stand_ins.routed import Script, event_bytes

READ_WAIT_S: Final = 5.0
DEADLINE_S: Final = 30.0
BUFFER_BYTES: Final = 1_000_000
BIG_EVENTS: Final = 250
BIG_EVENT_BYTES: Final = 64_000
OTHER_HEAD: Final = b"HTTP/1.1 200 OK\r\nX-Driftstall-Request-Id: other\r\n"
INSERTS: Final = {
    "an interim response": b"HTTP/1.1 100 Continue\r\n\r\n",
    "early hints": b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
    "many interim responses": b"HTTP/1.1 102 Processing\r\n\r\n" * 5,
    "a surplus response with a length": OTHER_HEAD + b"Content-Length: 5\r\n\r\nother",
    "a surplus response in chunks": (
        OTHER_HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n"
    ),
    "a surplus response without framing": OTHER_HEAD + b"\r\nother",
    "a cut surplus response with a length": OTHER_HEAD + b"Content-Length: 100000\r\n\r\nother",
    "its own head": (
        b"HTTP/1.1 200 OK\r\nX-Driftstall-Request-Id: s1\r\nX-Driftstall-Response-Seal: seal\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    ),
    "a zero and an x": b"0x",
    "a zero and a line feed": b"0\n\n",
    "a negative size": b"-0\r\n\r\n",
    "an empty line": b"\r\n",
}
"""Bytes that an upstream sends besides those of a response."""


def _fail(*_: Any, **__: Any) -> Any:
    """Raise an error that no code expects."""
    raise RuntimeError("defect")


def _patch(context: Any, owner: Any, name: str, value: Any) -> None:
    """Replace an attribute until the end of the scenario."""
    context.add_cleanup(setattr, owner, name, getattr(owner, name))
    setattr(owner, name, value)


def _evict(context: Any) -> None:
    """End the response to free memory."""
    (run,) = world_of(context).state.runs.all
    assert run.exchange is not None
    run.exchange.evict()


def _close_all(context: Any) -> None:
    """Close the exchanges with the stream's upstream."""
    world = world_of(context)
    (run,) = world.state.runs.all
    assert world.state.exchanges.close_all(run.upstream.upstream_id) == 1


def _fail_log(context: Any) -> None:
    """Let the log of the stream's end fail."""

    def log(prefix: str, text: str, **fields: Any) -> None:
        if text == "A stream has ended whole":
            _fail()

    _patch(context, streams, "log_event", log)


def _pass_deadline(context: Any) -> None:
    """Let the deadline pass, and wait until the stream has ended."""
    world = world_of(context)
    world.pass_time(DEADLINE_S)
    wait_for("the stream has ended", lambda: not world.state.runs.all)


FAULTS: Final[dict[str, Callable[[Any], None]]] = {
    "its response is ended to free memory": _evict,
    "its deadline passes": _pass_deadline,
    "its connections to the upstream are closed": _close_all,
    "the check of the next event fails unexpectedly": lambda context: _patch(
        context, EventSequence, "check", _fail
    ),
    "the record of the next event fails unexpectedly": lambda context: _patch(
        context, world_of(context).state.lengths, "record_progress", _fail
    ),
    "the record of its end fails unexpectedly": lambda context: _patch(
        context, world_of(context).state.lengths, "record_finish", _fail
    ),
    "the log of its end fails unexpectedly": _fail_log,
}


@given('stream "{request_id}" pauses after event {number:d} of {count:d}')
def paused_stream(context: Any, request_id: str, number: int, count: int) -> None:
    """Start a stream on a connection that has a further request waiting."""
    world = world_of(context)
    stream_script(context, request_id, Script(pause_after=number, events=count))
    context.connection = world.connect()
    first = request_bytes("/stream/a", request_id, Connection="keep-alive")
    context.connection.sendall(first + request_bytes("/once/a", "next"))
    wait_for("the events", lambda: any(run.events >= number for run in world.state.runs.all))


@when("{fault}, and the stream continues")
def disturb(context: Any, fault: str) -> None:
    """Disturb the stream, let its engine send the rest, and read until the connection ends."""
    FAULTS[fault](context)
    context.script.gate.set()
    context.data = _read_all(context.connection)
    context.answer = parse_answer(context.data)


@then("nothing follows on its connection")
def nothing_follows(context: Any) -> None:
    """Check that the waiting request was not answered after a stream that is not complete."""
    assert context.data.count(b"HTTP/1.1") == 1, context.data


def _read_to_end(connection: socket.socket) -> tuple[bytes, bool]:
    """Read until the end of a connection; return what came, and whether it was reset."""
    data = b""
    connection.settimeout(READ_WAIT_S)
    try:
        while piece := connection.recv(1_000_000):
            data += piece
    except ConnectionError:
        return data, True
    return data, False


def _read_all(connection: socket.socket) -> bytes:
    """Read until the end of a connection."""
    return _read_to_end(connection)[0]


@given("the time-out of writes is {seconds:g} s")
def short_writes(context: Any, seconds: float) -> None:
    """Shorten the time for which a caller may read nothing."""
    _patch(context, ingress, "WRITE_TIMEOUT_S", seconds)


@given('the engine of "{request_id}" sends {count:d} events of 64 kB')
def sends_much(context: Any, request_id: str, count: int) -> None:
    """Script a stream that is larger than all buffers on its way."""
    assert count == BIG_EVENTS
    stream_script(context, request_id, Script(events=count, filler=b"x" * BIG_EVENT_BYTES))


@given('the engine of "{request_id}" sends {count:d} events of 64 kB without framing')
def sends_much_unframed(context: Any, request_id: str, count: int) -> None:
    """Script a stream that is larger than all buffers on its way, and ends with its connection."""
    assert count == BIG_EVENTS
    script = Script(events=count, filler=b"x" * BIG_EVENT_BYTES, unframed=True)
    stream_script(context, request_id, script)


@then("the events that came are the first ones, and the connection was reset")
def first_events_and_reset(context: Any) -> None:
    """Check what was received, and that the connection was not closed in order."""
    _, _, body = context.data.partition(b"\r\n\r\n")
    whole = b"".join(
        event_bytes(number, b"x" * BIG_EVENT_BYTES) for number in range(1, BIG_EVENTS + 1)
    )
    assert whole.startswith(body) and len(body) < len(whole), len(body)
    assert context.is_reset


@when('"{path}" is asked as "{request_id}", and nothing is read until the stream has ended')
def read_nothing(context: Any, path: str, request_id: str) -> None:
    """Wait until the gateway has given the stream up, then read what is left."""
    world = world_of(context)
    connection = world.connect()
    connection.sendall(request_bytes(path, request_id))
    wait_for("it runs", lambda: bool(world.state.runs.all))
    wait_for("it has ended", lambda: not world.state.open_requests)
    context.data, context.is_reset = _read_to_end(connection)


@then("the events that came are the first ones, in order, and there is no end")
def first_events(context: Any) -> None:
    """Check what was received: the last chunk may be cut."""
    _, _, body = context.data.partition(b"\r\n\r\n")
    whole = b"".join(
        encode_chunk(event_bytes(number, b"x" * BIG_EVENT_BYTES))
        for number in range(1, BIG_EVENTS + 1)
    )
    content = _without_sizes(body)
    assert _without_sizes(whole).startswith(content) and len(content) < len(whole)
    assert not body.endswith(LAST_CHUNK)


def _without_sizes(body: bytes) -> bytes:
    """Return the content of chunks, of which the last one may be cut."""
    content = b""
    while body:
        size_text, _, following = body.partition(b"\r\n")
        size = int(size_text or b"0", 16)
        content, body = content + following[:size], following[size + 2 :]
    return content


@given('the engine of "{request_id}" sends {what} before its head')
def sends_before(context: Any, request_id: str, what: str) -> None:
    """Script bytes before the head of a stream."""
    stream_script(context, request_id, Script(before_head=INSERTS[what]))


@then("the answer is whole")
def answer_whole(context: Any) -> None:
    """Check that all events came."""
    expected = b"".join(event_bytes(number) for number in range(1, 6))
    answer = context.answer
    assert (answer.status, answer.body, answer.whole) == (200, expected, True), answer


@then("the answer is a failure")
def answer_failure(context: Any) -> None:
    """Check that no stream was begun, and that the request was not run again."""
    world: GatewayWorld = world_of(context)
    assert context.answer.status == 502, context.answer
    assert sum(engine.runs("s1") for engine in world.engines) == 1


@given(
    'the engine of "{request_id}" sends 3 events in {framing}, then {what}, and then 2 events and'
    " an end"
)
def sends_between(context: Any, request_id: str, framing: str, what: str) -> None:
    """Script bytes between the events of a stream."""
    is_unframed = framing == "no framing"
    events = [event_bytes(number) for number in range(1, 6)]
    chunks = events if is_unframed else [encode_chunk(event) for event in events]
    end = b"" if is_unframed else LAST_CHUNK
    pieces: tuple[bytes, ...] = (*chunks[:3], INSERTS[what], *chunks[3:], end)
    if framing == "chunks at once":
        pieces = (b"".join(pieces),)
    script = Script(raw_body=pieces, unframed=is_unframed)
    script_upstreams(world_of(context), request_id, [script])


@then("the stream is not whole, and its events are those of the run")
def not_whole(context: Any) -> None:
    """Check that the events are the first ones of the run."""
    expected = b"".join(event_bytes(number) for number in range(1, 4))
    answer = context.answer
    assert (answer.status, answer.body, answer.whole) == (200, expected, False), answer


def _chunked(pieces: list[bytes], extension: bytes = b"", trailer: bytes = b"") -> bytes:
    """Return a chunked body."""
    chunks = [b"%x%b\r\n%b\r\n" % (len(piece), extension, piece) for piece in pieces]
    return b"".join(chunks) + b"0%b\r\n%b\r\n" % (extension, trailer)


CHUNKED_HEAD: Final = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
FORMS: Final[dict[str, Callable[[list[bytes]], bytes]]] = {
    "in chunks": lambda pieces: CHUNKED_HEAD + _chunked(pieces),
    "in chunks with extensions and a trailer": lambda pieces: (
        CHUNKED_HEAD + _chunked(pieces, b";a=b", b"X-Sum: 1\r\n")
    ),
    "with a length": lambda pieces: (
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % sum(map(len, pieces)) + b"".join(pieces)
    ),
    "in chunks after an interim response": lambda pieces: (
        INSERTS["an interim response"] + CHUNKED_HEAD + _chunked(pieces)
    ),
    "in chunks after a surplus response": lambda pieces: (
        INSERTS["a surplus response in chunks"] + CHUNKED_HEAD + _chunked(pieces)
    ),
}
"""Responses with a body of some pieces."""


class CutConnection:
    """A connection that returns pieces of some bytes, and then its end."""

    def __init__(self, data: bytes, size: int) -> None:
        """Initialize with the bytes and the size of the pieces."""
        self._data = data
        self._size = size

    def recv(self, _: int) -> bytes:
        """Return the next piece."""
        piece, self._data = self._data[: self._size], self._data[self._size :]
        return piece

    def settimeout(self, _: float) -> None:
        """Ignore the timeout: all bytes have arrived."""

    def close(self) -> None:
        """Ignore the end."""


def _read_cut(data: bytes, size: int, responses: int) -> bool:
    """Return whether a number of responses have all ended."""
    connection: Any = CutConnection(data, size)
    exchange = UpstreamExchange(connection, ResponseBuffers(BUFFER_BYTES), DenseInputPacer())
    try:
        while responses:
            responses -= isinstance(exchange.next(lambda: READ_WAIT_S), ResponseEnd)
    except UpstreamError:
        return False
    return True


@when("responses {form} of drawn bodies are cut at each byte, and arrive in drawn pieces")
def cut_responses(context: Any, form: str) -> None:
    """Read every prefix of responses; the bodies look like the framing itself."""
    context.cuts = []
    responses = 2 if "surplus" in form else 1
    bodies = st.lists(
        st.sampled_from([b"0\r\n\r\n", b"\r\n0\r\n\r\n", b"HTTP/1.1 200 OK\r\n\r\n", b"\n\n"])
        | st.binary(min_size=1, max_size=20),
        min_size=1,
        max_size=4,
    )

    @settings(max_examples=40, derandomize=True, database=None, deadline=None)
    @given_drawn(bodies, st.integers(1, 60))
    def cut(pieces: list[bytes], size: int) -> None:
        data = FORMS[form](pieces)
        for end in range(len(data) + 1):
            has_ended = _read_cut(data[:end], size, responses)
            context.cuts.append((data, end, size, has_ended))

    cut()


@then("only those with all bytes have an end, and all others break off")
def whole_only(context: Any) -> None:
    """Check the ends."""
    assert context.cuts
    for data, end, size, has_ended in context.cuts:
        assert has_ended == (end == len(data)), (data, end, size)
