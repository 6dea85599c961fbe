"""Test each reader of answers with answers that are framed and end in each way."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Final

import gevent
import orjson
from behave import given, then, when
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st

from driftstall.core import Runner
from driftstall.decisions.store_versions import StoreVersion
from driftstall.exceptions import PlatformUnavailable, UpstreamError
from driftstall.gateway.dialect import MoveDone
from driftstall.gateway.model import Upstream, UpstreamState
from driftstall.platform import engine_calls
from driftstall.platform.json_rows import decode_answer
from driftstall.platform.store import Store
from driftstall.runners.engine import (
    EngineEnd,
    fetch_cache_events,
    fetch_report,
    open_stream,
)
from driftstall.runners.service import call_service
from stand_ins.endings import Ending, Framing
from stand_ins.routed import event_bytes, reset

READ_S: Final = 0.25
"""Time after which a call of a silent service is given up."""
WHOLE_READ_S: Final = 1.0
"""Time within which a whole answer is read; no reader waits for more."""
OBJECT: Final = {"metadata": {"name": "a", "revision": 3}, "spec": {"n": [1, 2]}}
ITEMS: Final = [OBJECT, OBJECT | {"metadata": {"name": "b", "revision": 4}}]
LIST: Final = {"items": ITEMS, "more": False, "at": 4}
WATCH: Final = {"events": [{"object": item, "gone": False} for item in ITEMS], "at": 4}
REPORT: Final = {"used_tokens": 120, "memory_tokens": 480, "waiting": 12, "model": "m"}
CACHE_EVENTS: Final = {"next": 12, "stored": [[[7, 12]], [[8, 16]]], "evicted": [5, 6]}
TOKENS: Final = b"".join(b'id: g:%d\ndata: {"t":%d}\n\n' % (n, n) for n in range(4))
STREAM: Final = TOKENS + b'event: end\nid: g:4\ndata: {"usage":{}}\n\n'
MOVED: Final = {"handle": "h-12", "made": 12}
STATE: Final = {"state": "ready", "born": 12}
BORN: Final = 12
CHUNK_BYTES: Final = 24
HEAD_END: Final = b"\r\n\r\n"
CHUNKED_END: Final = b"\r\n0\r\n\r\n"
SPARSE_CUTS: Final = 7
FEWEST_CUTS: Final = 9


@dataclass(frozen=True, slots=True)
class Reader:
    """A reader of answers, with the body of a whole answer."""

    body: bytes
    read: Callable[[str], Any]
    """Returns what it has read from an address, or None if the answer is not whole."""
    has_end_event: bool = False
    """Whether the body ends with an event of its own that says so."""


def _runner(address: str) -> Runner:
    """Return a runner at an address."""
    return Runner("r1", address, "a", "m")


def _upstream(address: str) -> Upstream:
    """Return an engine at an address."""
    version = StoreVersion.of(0, 1)
    return Upstream("u1", "engines", address, "a", 4, UpstreamState.READY, version, born=BORN)


def _read_stream(address: str) -> Any:
    """Return the events of a stream, or None without its end event."""
    events = [
        event
        for batch in open_stream(_runner(address), "g", {"messages": []}, 0)
        for event in batch[:]
    ]
    return events[1:] if isinstance(events[-1], EngineEnd) else None


def _read_move(address: str) -> Any:
    """Return the result of a move that is done, or None."""
    source = _upstream(address)
    result = engine_calls.move(source, "r", _upstream("127.0.0.1:1"), last=True)
    if isinstance(result, MoveDone):
        return result.copy_of.rpartition("/")[2]
    assert result.may_have_stopped and not result.no_such_run, result
    return None


def _read_state(address: str) -> Any:
    """Return the state that an engine reports, or None if it is unknown."""
    state = engine_calls.probe_state(_upstream(address))
    assert state is not engine_calls.ReportedState.TERMINATED, state
    return None if state is engine_calls.ReportedState.UNKNOWN else state


READERS: Final = {
    "a service call": Reader(
        event_bytes(1) * 4,
        lambda address: call_service(_runner(address), "POST", "/x", {}, b"x", READ_S).body,
    ),
    "a generation": Reader(STREAM, _read_stream, has_end_event=True),
    "a load report": Reader(orjson.dumps(REPORT), lambda address: fetch_report(_runner(address))),
    "cache events": Reader(
        orjson.dumps(CACHE_EVENTS), lambda address: fetch_cache_events(_runner(address), 0)
    ),
    "a list of the store": Reader(orjson.dumps(LIST), lambda address: Store(address).list("k")),
    "a watch of the store": Reader(
        orjson.dumps(WATCH), lambda address: Store(address).watch("k", StoreVersion.of(0, 1), 0.1)
    ),
    "an object of the store": Reader(
        orjson.dumps(OBJECT), lambda address: Store(address).get("k", "a")
    ),
    "a write to the store": Reader(
        orjson.dumps(OBJECT), lambda address: Store(address).replace("k", "a", {})
    ),
    "a move": Reader(orjson.dumps(MOVED), _read_move),
    "an engine's state": Reader(orjson.dumps(STATE), _read_state),
}


@dataclass(slots=True)
class Cut:
    """An answer that is sent up to a byte and then ends."""

    framing: Framing
    ending: Ending
    sent: int
    answer: bytes

    @property
    def has_body(self) -> bool:
        """Return True if all bytes of the body are sent, though not of its framing."""
        unsent = self.answer[self.sent :]
        return self.framing is Framing.CHUNKED and CHUNKED_END.endswith(unsent)


def _encode(framing: Framing, body: bytes) -> bytes:
    """Return an answer with a body."""
    if framing is Framing.LENGTH:
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    if framing is Framing.CLOSE:
        return b"HTTP/1.1 200 OK\r\n\r\n" + body
    pieces = [body[at : at + CHUNK_BYTES] for at in range(0, len(body), CHUNK_BYTES)]
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


class CuttingPeer:
    """A peer whose next answer is cut as it is told to."""

    def __init__(self) -> None:
        """Start listening."""
        self._start()

    def _start(self) -> None:
        """Listen at a port of its own."""
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """Return its address."""
        return f"127.0.0.1:{self._server.server_port}"

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop(0)

    def prepare(self, cut: Cut) -> None:
        """Answer the next request with a cut answer."""
        self._cut = cut
        if not self._server.started:
            self._start()

    def _serve(self, connection: socket.socket, _: tuple[str, int]) -> None:
        """Answer a request with the cut answer."""
        cut = self._cut
        try:
            connection.recv(65_536)
            if cut.ending is Ending.GONE:
                self._server.close()
            connection.sendall(cut.answer[: cut.sent])
            if cut.ending is Ending.RESET:
                reset(connection)
            elif cut.ending is Ending.SILENT:
                connection.recv(1)
        except OSError:
            return


def _read(reader: Reader, address: str) -> Any:
    """Return what a reader has read, or None if it says that the answer is broken."""
    try:
        return reader.read(address)
    except (UpstreamError, PlatformUnavailable) as fault:
        assert fault.sent, fault
        return None


def _cuts(reader: Reader, ending: Ending) -> Iterator[Cut]:
    """Yield answers that end in a way: at each byte if closed, at some places otherwise."""
    for framing in Framing:
        answer = _encode(framing, reader.body)
        steps = {Ending.CLOSED: 1, Ending.SILENT: len(answer)}
        step = steps.get(ending, len(answer) // SPARSE_CUTS)
        places = {*range(0, len(answer), step), answer.index(HEAD_END) + len(HEAD_END)}
        places.add(len(answer) - 1)
        for sent in sorted(places):
            yield Cut(framing, ending, sent, answer)


@given("a peer that cuts its answers")
def cutting_peer(context: Any) -> None:
    """Start the peer."""
    context.peer = CuttingPeer()
    context.add_cleanup(context.peer.stop)


@given("a peer that frames its answers only if it is to keep the connection")
def framing_peer(context: Any) -> None:
    """Start a peer that closes the connection after an answer only if it is asked to."""
    context.is_closed = Event()

    def serve(connection: socket.socket, _: tuple[str, int]) -> None:
        asks_to_close = b"\r\nconnection: close\r\n" in connection.recv(65_536).lower()
        framing = Framing.CLOSE if asks_to_close else Framing.CHUNKED
        connection.sendall(_encode(framing, READERS["a service call"].body))
        if not asks_to_close and connection.recv(1) == b"":
            context.is_closed.set()

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    context.add_cleanup(server.stop, 0)
    context.address = f"127.0.0.1:{server.server_port}"


@when("a service call is sent to it")
def call_framing_peer(context: Any) -> None:
    """Make a call and keep what was read."""
    context.value = _read(READERS["a service call"], context.address)


@then("the connection is closed by the caller")
def closed_by_caller(context: Any) -> None:
    """Wait for the end of the connection at the peer."""
    assert context.is_closed.wait(WHOLE_READ_S)


@when('{name} is read whose answer ends early by "{ending}"')
def read_cut(context: Any, name: str, ending: str) -> None:
    """Read cut answers of each framing, and keep those that were taken for whole."""
    reader = READERS[name]
    context.taken_for_whole = []
    context.read = 0
    for cut in _cuts(reader, Ending(ending)):
        context.peer.prepare(cut)
        value = _read(reader, context.peer.address)
        context.read += 1
        if value is not None and not (reader.has_end_event and cut.has_body):
            context.taken_for_whole.append((cut.framing.value, cut.sent, value))


@when('{name} is read whose answer ends whole, framed by "{framing}"')
def read_whole(context: Any, name: str, framing: str) -> None:
    """Read a whole answer."""
    reader = READERS[name]
    answer = _encode(Framing(framing), reader.body)
    context.peer.prepare(Cut(Framing(framing), Ending.CLOSED, len(answer), answer))
    with gevent.Timeout(WHOLE_READ_S):
        context.value = _read(reader, context.peer.address)


@then("no truncated answer is taken for a whole one")
def none_taken(context: Any) -> None:
    """Check that no cut answer was read as a whole one."""
    taken = context.taken_for_whole
    assert context.read >= FEWEST_CUTS, context.read
    assert not taken, (len(taken), context.read, taken[:3], taken[-1])


@then("it is read")
def is_read(context: Any) -> None:
    """Check that a value was read."""
    assert context.value is not None


@then("it is broken")
def is_broken(context: Any) -> None:
    """Check that the answer was taken for a broken one."""
    assert context.value is None, context.value


@then("no part of a document that the store may answer with is a document")
def no_part_decodes(context: Any) -> None:
    """Draw documents, and cut each at each byte."""
    scalars = st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text()
    values = st.recursive(
        scalars,
        lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
        max_leaves=6,
    )

    @settings(max_examples=200, deadline=None, derandomize=True, database=None)
    @given_values(st.dictionaries(st.text(), values, min_size=1, max_size=3))
    def check(document: dict[str, Any]) -> None:
        raw = json.dumps(document).encode()
        assert decode_answer(raw) == document
        for end in range(len(raw)):
            try:
                decoded = decode_answer(raw[:end])
            except ValueError:
                continue
            raise AssertionError((raw, end, decoded))

    check()
