"""Build callers' requests from the events of the HTTP parser, within limits of size."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Final

import httptools

from driftstall.gateway.callers.body_parser import BodyParser
from driftstall.gateway.model import Header, Headers, Limits
from driftstall.util import clock

CHUNKED: Final = b"chunked"
VERSIONS_WITHOUT_CHUNKS: Final = frozenset({"0.9", "1.0"})
LINE_END: Final = b"\r\n"
"""Some callers send one after a body; it begins no request."""
HEADER_OBJECT_BYTES: Final = 200
"""Memory of a header's objects in addition to its text."""
REQUEST_OBJECT_BYTES: Final = 1_000
"""Memory of a request's objects in addition to its headers and body."""
FRAMING_SLACK_BYTES: Final = 8_192
"""Input beyond the limit of a head before it counts as excessive: spaces, line ends and the first
line are no part of what the limit counts."""


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Hold one whole request from a caller."""

    method: bytes
    target: bytes
    headers: Headers
    host: str
    body: bytes
    keep_alive: bool
    read_at: float
    """Time when the last byte was read, in seconds on the monotonic clock."""
    accepts_chunks: bool = True
    """Whether the caller's version of HTTP has the chunked transfer coding."""

    @property
    def path(self) -> str:
        """Return the path without the query string."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclass(frozen=True, slots=True)
class MalformedRequest:
    """Describe malformed input: it is answered with an error and the connection is closed."""

    status: HTTPStatus
    detail: str


@dataclass(frozen=True, slots=True)
class BuiltRequest:
    """Hold a whole request and the memory that it takes."""

    request: CallerRequest
    held_bytes: int


class RequestBuilder:
    """Build requests from the parser's callbacks; httptools calls the on_ methods."""

    def __init__(self, read_limits: Callable[[], Limits]) -> None:
        """Start before the first request; read_limits returns the limits now in force."""
        self._read_limits = read_limits
        self._limits = read_limits()
        self.requests: deque[BuiltRequest] = deque()
        self.error: MalformedRequest | None = None
        self.parser: Any = None
        self.wants_continue = False
        self.begun_at: float | None = None
        self.input_at: float | None = None
        """Time of the first byte before a request, such as that of an empty line."""
        self.is_head_complete = False
        self._progress = 0
        """Counts the events after which input is no longer excessive."""
        self._reset()

    def _reset(self) -> None:
        """Start the next request."""
        self._target = b""
        self._headers: list[Header] = []
        self._head_bytes = 0
        self._body = bytearray()
        self._framing_bytes = 0
        self._skipped_framing: tuple[bytes, bytes] | None = None
        """Header that frames a body which the parser skips, as its request offers an upgrade."""
        self.is_head_complete = False
        self.begun_at = None
        self.input_at = None

    @property
    def limits(self) -> Limits:
        """Return the limits of the request in progress: those that were in force when it began."""
        return self._limits

    @property
    def body_bytes(self) -> int:
        """Return the size of the body so far."""
        return len(self._body)

    @property
    def held_bytes(self) -> int:
        """Return the memory that the unfinished request takes."""
        headers = HEADER_OBJECT_BYTES * len(self._headers)
        return self._framing_bytes + self._head_bytes + headers + len(self._body)

    @property
    def progress(self) -> int:
        """Return the number of events so far after which input is not excessive."""
        return self._progress

    def feed(self, data: bytes) -> None:
        """Parse some bytes; raise the parser's errors, and record excessive framing as an error.

        The parser collects a header until it is whole, and reports neither empty lines nor chunk
        extensions. So all bytes without another event count.
        """
        before = self._progress
        self._parse(data)
        if self._progress != before:
            self._framing_bytes = 0
            return
        self._framing_bytes += len(data)
        if self.input_at is None and self._framing_bytes > len(LINE_END):
            self.input_at = clock.now()
        if self._framing_bytes <= self._limits.header_bytes + FRAMING_SLACK_BYTES:
            return
        if self.begun_at is None or self.is_head_complete:
            self._set_error(HTTPStatus.BAD_REQUEST, "the request's framing is too large")
        else:
            self._refuse_head()

    def _parse(self, data: bytes) -> None:
        """Parse some bytes; read a body that the parser has skipped with another one."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as offer:
            if self._skipped_framing is None or self.error is not None:
                raise
            framing, self._skipped_framing = self._skipped_framing, None
            parser = self.parser
            version = parser.get_http_version()
            self.parser = BodyParser(self, parser.get_method(), version, framing)
            self.parser.feed_data(data[offer.args[0] :])

    def restart_clock(self) -> None:
        """Count the time of an unfinished request from now."""
        now = clock.now()
        self.begun_at = None if self.begun_at is None else now
        self.input_at = None if self.input_at is None else now

    def discard(self) -> None:
        """Free the memory of the requests that are not served yet."""
        self.requests.clear()
        self.discard_unfinished()

    def discard_unfinished(self) -> None:
        """Free the memory of the request that is not complete."""
        self._headers = []
        self._body = bytearray()

    def close(self) -> None:
        """Free all memory at once: the parser and the builder refer to each other."""
        self.discard()
        self.parser = None

    def on_message_begin(self) -> None:
        """Record when a request began, and the limits that hold for it."""
        self.begun_at = self.begun_at or clock.now()
        self._limits = self._read_limits()

    def on_url(self, url: bytes) -> None:
        """Collect a part of the request target."""
        self._count_head(len(url))
        if self.error is None:
            self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are dropped."""
        self._count_head(len(name) + len(value) + 4)
        if not self.is_head_complete and self.error is None:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Validate the head: Host, transfer coding and length."""
        self.is_head_complete = True
        self._progress += 1
        values: dict[bytes, list[bytes]] = {}
        for name, value in self._headers:
            values.setdefault(name.lower(), []).append(value.strip())
        if len(values.get(b"host", ())) != 1:
            self._set_error(HTTPStatus.BAD_REQUEST, "one Host header is needed")
        codings = values.get(b"transfer-encoding", [CHUNKED])
        if [coding.lower() for coding in codings] != [CHUNKED]:
            self._set_error(HTTPStatus.BAD_REQUEST, "only the chunked transfer coding is known")
        length = values.get(b"content-length", [b"0"])[0]
        if not length.isdigit() or int(length) > self._limits.body_bytes:
            self._set_error(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
        if self.parser.should_upgrade():
            self._skipped_framing = _body_framing(values)
        self.wants_continue = [v.lower() for v in values.get(b"expect", ())] == [b"100-continue"]

    def on_body(self, data: bytes) -> None:
        """Collect a chunk of the body."""
        self._progress += 1
        if len(self._body) + len(data) > self._limits.body_bytes:
            self._set_error(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
        if self.error is None:
            self._body += data

    def on_message_complete(self) -> None:
        """Queue a whole request, unless its body has been skipped."""
        self._progress += 1
        if self._skipped_framing is not None:
            return
        if self.error is None:
            held_bytes = self.held_bytes + REQUEST_OBJECT_BYTES
            self.requests.append(BuiltRequest(self._build(), held_bytes))
        self.wants_continue = False
        self._reset()

    def _build(self) -> CallerRequest:
        """Return the request that is complete."""
        host = next(value for name, value in self._headers if name.lower() == b"host")
        return CallerRequest(
            method=self.parser.get_method(),
            target=self._target,
            headers=tuple(self._headers),
            host=host.strip().decode("latin-1"),
            body=bytes(self._body),
            keep_alive=self.parser.should_keep_alive(),
            read_at=clock.now(),
            accepts_chunks=self.parser.get_http_version() not in VERSIONS_WITHOUT_CHUNKS,
        )

    def _count_head(self, size: int) -> None:
        """Enforce the size limit of the head."""
        self._head_bytes += size
        if self._head_bytes > self._limits.header_bytes:
            self._refuse_head()

    def _refuse_head(self) -> None:
        """Record that the head is too large."""
        self._set_error(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the header is too large")

    def _set_error(self, status: HTTPStatus, detail: str) -> None:
        """Record the first error; later ones are ignored."""
        self.error = self.error or MalformedRequest(status, detail)


def _body_framing(values: dict[bytes, list[bytes]]) -> tuple[bytes, bytes] | None:
    """Return the header that frames a request's body, or None if it has no body."""
    if b"transfer-encoding" in values:
        return b"Transfer-Encoding", CHUNKED
    length = values.get(b"content-length", [b"0"])[0]
    return (b"Content-Length", length) if length.strip(b"0") else None
