"""Decode the headers of callers and upstreams, and write our own."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from http import HTTPStatus
from typing import Final

from driftstall.decisions.upstream_signals import (
    BackoffSignal,
    LeavingSignal,
    RateLimitSignal,
    Signal,
    UnknownSignal,
    UnreadableSignal,
    parse_seconds,
)
from driftstall.gateway.dialect import BadHeaders
from driftstall.gateway.model import (
    CallerMetadata,
    Header,
    Headers,
    PromptPart,
    ResponseMetadata,
    SendMetadata,
    UpstreamLoad,
)
from driftstall.platform import names

BEARER: Final = b"bearer "
SINGLE_VALUE_HEADERS: Final = (names.HEADER_REQUEST_ID, names.HEADER_DEADLINE_MS, names.HEADER_KEY)
CONNECTION_CLOSE: Final = b"close"
SET: Final = b"1"
NOT_SET: Final = b"0"
BACKOFF_STATUSES: Final = frozenset({HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE})
INTERNAL_RESPONSE_HEADERS: Final = frozenset(
    {names.HEADER_LOAD, names.HEADER_NOT_EXECUTED, names.HEADER_RATE_LIMIT}
)
"""Headers of an upstream's answer that do not go on to the caller."""


def read_request(headers: Headers) -> CallerMetadata:
    """Decode a caller's headers; raise BadHeaders where they contradict themselves."""
    counts = Counter(name.lower() for name, _ in headers)
    if any(counts[name] > 1 for name in SINGLE_VALUE_HEADERS):
        raise BadHeaders("a header that may stand once stands twice")
    first = {name.lower(): value.strip() for name, value in reversed(headers)}
    input_tokens, max_tokens = _token_counts(first.get(names.HEADER_TOKENS, b""))
    return CallerMetadata(
        request_id=_text(first.get(names.HEADER_REQUEST_ID, b"")),
        deadline_s=_seconds(first.get(names.HEADER_DEADLINE_MS)),
        key=_bearer(first.get(names.HEADER_KEY, b"")),
        model=_text(first.get(names.HEADER_MODEL, b"")),
        input_tokens=input_tokens,
        max_tokens=max_tokens,
        length_hint=_whole(first.get(names.HEADER_LENGTH_HINT, b"")),
        prompt=_prompt(first.get(names.HEADER_PROMPT, b"")),
        last_event_id=_text(first.get(names.HEADER_LAST_EVENT_ID, b"")),
        forwarded_headers=_passed(headers, first),
    )


def write_request(passed: Headers, send: SendMetadata) -> Headers:
    """Return the headers of a request to an upstream."""
    own: list[Header] = [
        (b"X-Driftstall-Deadline-Ms", b"%d" % max(1, int(send.remaining_s * 1000))),
        (b"X-Driftstall-Expect-Instance", send.upstream_name.encode()),
    ]
    if send.workspace:
        own.append((b"X-Driftstall-Tenant", send.workspace.encode()))
    if send.rank is not None:
        own.append((b"Priority", b"%d" % send.rank))
    if send.backup_address:
        own.append((b"Kv-Backup", send.backup_address.encode()))
    if send.copy_of:
        own.append((b"Kv-From", send.copy_of.encode()))
    if send.last_event_id:
        own.append((b"Last-Event-Id", send.last_event_id.encode()))
    return (*passed, *own)


def read_response(status: int, headers: Headers) -> ResponseMetadata:
    """Decode the status and headers of an upstream's answer.

    An upstream that is not the one the request was meant for may say so by the status alone.
    """
    first = {name.lower(): value.strip() for name, value in reversed(headers)}
    listed = _listed(first.get(b"connection", b""))
    dropped = names.HOP_BY_HOP_HEADERS | listed | INTERNAL_RESPONSE_HEADERS
    return ResponseMetadata(
        request_id=_text(first.get(names.HEADER_REQUEST_ID, b"")),
        is_not_executed=names.HEADER_NOT_EXECUTED in first
        or status == HTTPStatus.MISDIRECTED_REQUEST,
        load=_load(first.get(names.HEADER_LOAD, b"")),
        signals=read_signals(status, first),
        keep_alive_s=None
        if CONNECTION_CLOSE in listed
        else _keep_alive(first.get(b"keep-alive", b"")),
        forwarded_headers=tuple([pair for pair in headers if pair[0].lower() not in dropped]),
    )


def read_signals(status: int, first: Mapping[bytes, bytes]) -> tuple[Signal, ...]:
    """Return what an upstream signals about itself, by headers with names in lower case.

    A response of another upstream than the one that was meant signals nothing about that one.
    """
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return ()
    limit = parse_seconds(_text(first.get(names.HEADER_RATE_LIMIT, b"")))
    found: list[Signal] = [RateLimitSignal(limit)]
    leaving = first.get(names.HEADER_LEAVING)
    if leaving == SET:
        found.append(LeavingSignal())
    elif leaving not in (None, NOT_SET):
        found.append(_unreadable(names.HEADER_LEAVING, leaving))
    backoff = first.get(names.HEADER_RETRY_AFTER)
    if backoff is not None and status in BACKOFF_STATUSES:
        for_s = parse_seconds(_text(backoff))
        unreadable = _unreadable(names.HEADER_RETRY_AFTER, backoff)
        found.append(unreadable if for_s is None else BackoffSignal(for_s))
    found += [
        UnknownSignal(_text(name))
        for name in first
        if name.startswith(names.SIGNAL_PREFIXES) and name not in names.KNOWN_UPSTREAM_HEADERS
    ]
    return tuple(found)


def _unreadable(name: bytes, value: bytes) -> UnreadableSignal:
    """Return a signal whose value can't be decoded."""
    return UnreadableSignal(_text(name), _text(value))


def _passed(headers: Headers, first: dict[bytes, bytes]) -> Headers:
    """Return the headers that go on to the upstream."""
    dropped = (
        names.HOP_BY_HOP_HEADERS | names.RESERVED_HEADERS | _listed(first.get(b"connection", b""))
    )
    protected = {names.HEADER_REQUEST_ID, names.HEADER_MODEL, names.HEADER_TOKENS, b"host"}
    dropped -= protected | {names.HEADER_PROMPT}
    return tuple([pair for pair in headers if pair[0].lower() not in dropped])


def _listed(value: bytes) -> frozenset[bytes]:
    """Return the names that a Connection header lists."""
    return frozenset(part.strip().lower() for part in value.split(b",") if part.strip())


def _text(value: bytes) -> str:
    """Return a header value as text."""
    return value.decode("latin-1")


def _whole(value: bytes) -> int:
    """Return a whole number, or zero where there is none."""
    return int(value) if value.isdigit() and len(value) < 12 else 0


def _seconds(value: bytes | None) -> float | None:
    """Return milliseconds as seconds."""
    if value is None:
        return None
    try:
        return max(0.0, float(value) / 1000)
    except ValueError as fault:
        raise BadHeaders("the deadline is not a number") from fault


def _bearer(value: bytes) -> str:
    """Return the key of a bearer token."""
    if value[: len(BEARER)].lower() != BEARER:
        return ""
    return _text(value[len(BEARER) :].strip())


def _token_counts(value: bytes) -> tuple[int, int]:
    """Return the prompt's tokens and the most tokens out."""
    first, _, second = value.partition(b",")
    return _whole(first.strip()), _whole(second.strip())


def _prompt(value: bytes) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt in order."""
    parts = []
    for piece in value.split(b","):
        digest, colon, tokens = piece.strip().partition(b":")
        if colon:
            parts.append(PromptPart(_text(digest), _whole(tokens)))
    return tuple(parts)


def _load(value: bytes) -> UpstreamLoad | None:
    """Return the load that an upstream tells: running, waiting, slots."""
    parts = value.split(b",")
    if len(parts) != 3:
        return None
    running, waiting, slots = (_whole(part.strip()) for part in parts)
    return UpstreamLoad(running, waiting, slots)


def _keep_alive(value: bytes) -> float:
    """Return how long a connection may rest, in seconds; unbounded if it is not told."""
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout":
            return float(_whole(seconds.strip()))
    return float("inf")
