"""Check gateway processes beside engines whose streams never end."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

import gevent
from behave import given, then, when
from gevent import socket

from features.steps.endless_upstream_steps import ROUTE_TIMEOUT_MS, add_upstream, send_crowd
from features.worlds.gateway_world import request_bytes
from stand_ins.endless import ENDLESS_STREAMS, EndlessUpstream

RECEIVE_BYTES: Final = 65_536
LAST_CHUNK: Final = b"0\r\n\r\n"
CHUNKED: Final = b"transfer-encoding: chunked"
HEAD_END: Final = b"\r\n\r\n"
STREAM_HEAD: Final = b"HTTP/1.1 200 "
STREAM_PATIENCE_S: Final = 6.0
READ_BYTES: Final = 10_000_000
"""Bytes after which a caller leaves a stream that goes on."""


@dataclass(slots=True)
class DiscardedStream:
    """What a caller keeps of a stream."""

    first: bytes = b""
    last: bytes = b""
    received_bytes: int = 0
    has_ended: bool = False
    is_reset: bool = False
    """Whether its connection was reset; otherwise it was closed in order."""
    is_framed: bool = False

    @property
    def is_whole(self) -> bool:
        """Return True if the stream has its last chunk, or was closed in order without framing."""
        if not self.is_framed:
            return self.has_ended and not self.is_reset
        return self.has_ended and self.last.endswith(LAST_CHUNK)

    def add(self, data: bytes) -> None:
        """Count received bytes."""
        if not self.first:
            self.first = data[: len(STREAM_HEAD)]
            self.is_framed = CHUNKED in data.partition(HEAD_END)[0].lower()
        self.last = (self.last + data)[-len(LAST_CHUNK) :]
        self.received_bytes += len(data)


def read_stream(context: Any, path: str, request_id: str) -> DiscardedStream:
    """Read a stream until its end, or until the caller has enough."""
    stream = DiscardedStream()
    host, port = context.node.listen["front"].split(":")
    with gevent.Timeout(STREAM_PATIENCE_S, False), socket.socket() as connection:
        connection.connect((host, int(port)))
        more = {"X_Driftstall_Deadline_Ms": str(ROUTE_TIMEOUT_MS)}
        connection.sendall(request_bytes(path, request_id, **more))
        while stream.received_bytes < READ_BYTES:
            try:
                data = connection.recv(RECEIVE_BYTES)
            except ConnectionResetError:
                stream.has_ended = stream.is_reset = True
                break
            if not data:
                stream.has_ended = True
                break
            stream.add(data)
    return stream


@given("an engine whose streams contain {data} without end")
def endless_streams(context: Any, data: str) -> None:
    """Register an engine."""
    upstream = EndlessUpstream("endless-1", ENDLESS_STREAMS[data])
    add_upstream(context, "endless-engines", upstream)


@when("{count:d} callers read its streams, and {others:d} call others")
def read_streams_of(context: Any, count: int, others: int) -> None:
    """Send streams whose callers discard what they read."""
    send_crowd(context, ["/stream/endless/a"] * count, others, read_stream)


@then("the streams are broken off visibly")
def broken_off(context: Any) -> None:
    """Check that the streams have ended without their last chunk, or were refused."""
    for stream in [call.get() for call in context.calls]:
        assert stream.has_ended and not (stream.is_whole and stream.first == STREAM_HEAD), stream


@then("the streams end whole")
def end_whole(context: Any) -> None:
    """Check for the last chunk of each stream."""
    for stream in [call.get() for call in context.calls]:
        assert stream.is_whole and stream.first == STREAM_HEAD, stream


@then("the streams go on until their callers leave")
def go_on(context: Any) -> None:
    """Check that no stream has ended."""
    for stream in [call.get() for call in context.calls]:
        assert not stream.has_ended and stream.first == STREAM_HEAD, stream
