"""Test streams whose lines end with LF, CRLF or CR."""

from __future__ import annotations

import re
from typing import Any, Final

import gevent
from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from driftstall.decisions.sends import BACKUP_READY_AFTER_S
from driftstall.gateway.events import EventSplitter
from driftstall.gateway.ingress import encode_chunk
from features.worlds.gateway_world import (
    WAIT_S,
    parse_answer,
    request_bytes,
    script_upstreams,
    wait_for,
    world_of,
)
from stand_ins.routed import Script, event_bytes

LAST_CHUNK: Final = b"0\r\n\r\n"
LINE_ENDS: Final = {"LF": b"\n", "CRLF": b"\r\n", "CR": b"\r"}


def events_with(line_end: str, first: int, last: int) -> bytes:
    """Return some events whose lines end in one way."""
    events = b"".join(event_bytes(number) for number in range(first, last + 1))
    return events.replace(b"\n", LINE_ENDS[line_end])


def send_only(context: Any, request_id: str, *pieces: bytes) -> Script:
    """Script the only run of a stream, of which no engine keeps a backup."""
    world = world_of(context)
    for engine in world.engines:
        engine.peers = {}
    script = Script(raw_body=(*map(encode_chunk, pieces), LAST_CHUNK))
    script_upstreams(world, request_id, [script])
    context.sent = b"".join(pieces)
    return script


@given('"{request_id}" will be sent {count:d} events with {line_end} in pieces of {size:d} bytes')
def in_pieces(context: Any, request_id: str, count: int, line_end: str, size: int) -> None:
    """Cut the events into pieces of one size."""
    data = events_with(line_end, 1, count)
    send_only(context, request_id, *(data[at : at + size] for at in range(0, len(data), size)))


@given(
    '"{request_id}" will be sent 2 events with {line_end}, the second one after the first has'
    " arrived"
)
def one_by_one(context: Any, request_id: str, line_end: str) -> None:
    """Hold back the second event."""
    context.first = events_with(line_end, 1, 1)
    second = events_with(line_end, 2, 2)
    context.script = send_only(context, request_id, context.first, second)
    context.script.raw_gate_before = 1
    context.add_cleanup(context.script.gate.set)


@given('"{request_id}" will be sent 2 events with {line_end} without the last byte')
def cut_event(context: Any, request_id: str, line_end: str) -> None:
    """Leave out the last byte of the last event."""
    send_only(context, request_id, events_with(line_end, 1, 2)[:-1])


@when('a caller reads "{request_id}" and reports its first event')
def read_one_by_one(context: Any, request_id: str) -> None:
    """Read a stream, and let the engine send its second event once the first has arrived."""
    connection = world_of(context).connect()
    context.add_cleanup(connection.close)
    connection.settimeout(WAIT_S)
    connection.sendall(request_bytes("/stream/a", request_id))
    data = b""
    while piece := connection.recv(65_536):
        data += piece
        if context.first in data:
            context.script.gate.set()
    context.answer = parse_answer(data, is_closed=True)


@then('all bytes of "{request_id}" came unchanged, and the end')
def unchanged(context: Any, request_id: str) -> None:
    """Check that the stream is complete."""
    answer = context.answer
    assert (answer.status, answer.body, answer.whole) == (200, context.sent, True), answer


@then("the stream has 1 event with {line_end} and does not look complete")
def one_event(context: Any, line_end: str) -> None:
    """Check that the stream was broken off after its first event."""
    answer = context.answer
    assert answer.body == events_with(line_end, 1, 1) and not answer.whole, answer


@given(
    '"{request_id}" breaks off after 3 events with {first}, and is repeated and continued with'
    " {second}"
)
def other_run(context: Any, request_id: str, first: str, second: str) -> None:
    """Script a run that breaks off once its backup is ready, and one that repeats its events."""
    world = world_of(context)
    pieces = [encode_chunk(events_with(first, number, number)) for number in (1, 2, 3)]
    broken = Script(raw_body=tuple(pieces), raw_gate_before=2)
    resumed = Script(raw_body=(encode_chunk(events_with(second, 1, 5)), LAST_CHUNK))
    script_upstreams(world, request_id, [broken, resumed])

    def pass_time() -> None:
        wait_for("two events", lambda: any(run.events == 2 for run in world.state.runs.all))
        world.pass_time(BACKUP_READY_AFTER_S)
        broken.gate.set()

    gevent.spawn(pass_time)


@then("3 events with {first} and 2 with {second} came, and the end")
def both_came(context: Any, first: str, second: str) -> None:
    """Check that no event is missing or came twice."""
    answer = context.answer
    expected = events_with(first, 1, 3) + events_with(second, 4, 5)
    assert (answer.status, answer.body, answer.whole) == (200, expected, True), answer


@when("streams of drawn line ends arrive in drawn pieces")
def draw_pieces(context: Any) -> None:
    """Split streams of line ends and other bytes, in pieces of any size."""
    context.splits = []
    pieces = st.lists(st.text("\r\na", max_size=6).map(str.encode), max_size=12)

    @settings(max_examples=1000, deadline=None, database=None, derandomize=True)
    @drawn(pieces)
    def split(pieces: list[bytes]) -> None:
        splitter = EventSplitter()
        events = [event.data for piece in pieces for event in splitter.feed(piece)]
        context.splits.append((b"".join(pieces), events, splitter))

    split()


@then("the events are those that the format defines")
def as_defined(context: Any) -> None:
    """Compare the lines of each event with those that lie between two empty lines."""
    for whole, events, _ in context.splits:
        # Whether a CR after LF is a line end, or half of CRLF, shows with the next byte.
        decided = whole.removesuffix(b"\r") if whole.endswith(b"\n\r") else whole
        expected: list[list[bytes]] = [[]]
        for line in re.findall(rb"([^\r\n]*)(?:\r\n|\n|\r)", decided):
            if line:
                expected[-1].append(line)
            else:
                expected.append([])
        found = [[line for line in event.splitlines() if line] for event in events]
        assert [each for each in found if each] == [each for each in expected[:-1] if each], whole


@then("all their bytes are kept in order")
def all_kept(context: Any) -> None:
    """Check that only the bytes of an unfinished event are held back."""
    for whole, events, splitter in context.splits:
        relayed = b"".join(events)
        assert whole.startswith(relayed), whole
        remaining = whole[len(relayed) :]
        assert splitter.buffered_bytes == len(remaining), whole
        is_line_end = relayed.endswith(b"\r") and remaining == b"\n"
        assert splitter.is_inside_event == (bool(remaining) and not is_line_end), whole
