"""Decode the headers of requests and responses, and write those of requests to upstreams."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from http import HTTPStatus
from typing import Final

from driftstall.decisions.upstream_signals import (
    BackoffSignal,
    BrittleSignal,
    LeavingSignal,
    LoadSignal,
    RateLimitSignal,
    Signal,
    UnknownSignal,
    UnreadableSignal,
    parse_number,
    parse_seconds,
)
from driftstall.gateway.dialect import BadHeaders
from driftstall.gateway.model import (
    CallerMetadata,
    Header,
    Headers,
    PromptPart,
    ResponseDefect,
    ResponseMetadata,
    SendMetadata,
)
from driftstall.platform import names

BEARER: Final = b"bearer "
SINGLE_VALUE_HEADERS: Final = (names.HEADER_REQUEST_ID, names.HEADER_DEADLINE_MS, names.HEADER_KEY)
CONNECTION_CLOSE: Final = b"close"
HEADER_CONTENT_ENCODING: Final = b"content-encoding"
IDENTITY: Final = b"identity"
SET: Final = b"1"
NOT_SET: Final = b"0"
BACKOFF_STATUSES: Final = frozenset({HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE})
INTERNAL_RESPONSE_HEADERS: Final = frozenset(
    {
        names.HEADER_LOAD,
        names.HEADER_NOT_EXECUTED,
        names.HEADER_RATE_LIMIT,
        names.HEADER_BRITTLE,
    }
)
"""Headers of an upstream's response that are not forwarded to the caller."""
MAX_FIGURE: Final = 10_000_000
"""Largest figure that a caller or an upstream may state, in tokens or seconds; larger ones count as
this. Sums of figures are shared between instances in fields of 32 bits."""
MAX_FIGURE_DIGITS: Final = len(str(MAX_FIGURE))
MAX_COUNT_DIGITS: Final = 6
"""Longest figure of a load; larger ones would not fit the messages in which loads are shared."""
MIN_PACE_PERCENT: Final = 1.0
MAX_PACE_PERCENT: Final = 10_000.0
"""Bounds of the pace in a load. A pace of zero could not be divided by, and one beyond a hundred
times the normal duration is a fault of the upstream's measurement."""


def read_request(headers: Headers) -> CallerMetadata:
    """Decode a caller's headers; raise BadHeaders if they are contradictory."""
    counts = Counter(name.lower() for name, _ in headers)
    if any(counts[name] > 1 for name in SINGLE_VALUE_HEADERS):
        raise BadHeaders("a header that may stand once stands twice")
    first = {name.lower(): value.strip() for name, value in reversed(headers)}
    input_tokens, max_tokens = _parse_token_counts(first.get(names.HEADER_TOKENS, b""))
    return CallerMetadata(
        request_id=_decode_text(first.get(names.HEADER_REQUEST_ID, b"")),
        deadline_s=_parse_deadline_s(first.get(names.HEADER_DEADLINE_MS)),
        key=_parse_bearer_token(first.get(names.HEADER_KEY, b"")),
        model=_decode_text(first.get(names.HEADER_MODEL, b"")),
        input_tokens=input_tokens,
        max_tokens=max_tokens,
        length_hint=_parse_integer(first.get(names.HEADER_LENGTH_HINT, b"")),
        prompt=_parse_prompt(first.get(names.HEADER_PROMPT, b"")),
        last_event_id=_decode_text(first.get(names.HEADER_LAST_EVENT_ID, b"")),
        forwarded_headers=_select_forwarded_headers(headers, first),
        has_other_credentials=_has_other_scheme(first.get(names.HEADER_KEY, b"")),
    )


def write_request(forwarded: Headers, send: SendMetadata) -> Headers:
    """Return the headers of a request to an upstream: the forwarded ones and our own."""
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
    return (*forwarded, *own)


def read_response(status: int, headers: Headers) -> ResponseMetadata:
    """Decode the status and headers of an upstream's response.

    An upstream that is not the one the request was addressed to may answer with status 421
    (misdirected request) alone, which means that the request was not executed.
    """
    first = {name.lower(): value.strip() for name, value in reversed(headers)}
    listed = _parse_connection_header(first.get(b"connection", b""))
    dropped = names.HOP_BY_HOP_HEADERS | listed | INTERNAL_RESPONSE_HEADERS
    dropped -= {names.HEADER_SIGNATURE}
    is_not_executed = names.HEADER_NOT_EXECUTED in first or status == HTTPStatus.MISDIRECTED_REQUEST
    return ResponseMetadata(
        request_id=_decode_text(first.get(names.HEADER_REQUEST_ID, b"")),
        defect=None if is_not_executed else _find_defect(first),
        is_not_executed=is_not_executed,
        signals=read_signals(status, first),
        keep_alive_s=None
        if CONNECTION_CLOSE in listed
        else _parse_keep_alive_s(first.get(b"keep-alive", b"")),
        forwarded_headers=tuple([pair for pair in headers if pair[0].lower() not in dropped]),
    )


def _find_defect(first: Mapping[bytes, bytes]) -> ResponseDefect | None:
    """Return the defect of a response to a request that may have run, else None."""
    if not first.get(names.HEADER_SIGNATURE):
        return ResponseDefect.UNSIGNED
    if first.get(HEADER_CONTENT_ENCODING, IDENTITY).lower() != IDENTITY:
        return ResponseDefect.ENCODED
    return None


def read_signals(status: int, first: Mapping[bytes, bytes]) -> tuple[Signal, ...]:
    """Return the signals in an upstream's response headers, given by their lower-case names.

    A misdirected response (421) came from another upstream, so it carries no signals about the
    addressed one.
    """
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return ()
    limit = parse_seconds(_decode_text(first.get(names.HEADER_RATE_LIMIT, b"")))
    signals: list[Signal] = [RateLimitSignal(limit)]
    load = first.get(names.HEADER_LOAD)
    if load is not None:
        signals.append(_parse_load(load) or _build_unreadable_signal(names.HEADER_LOAD, load))
    leaving = first.get(names.HEADER_LEAVING)
    if leaving == SET:
        signals.append(LeavingSignal())
    elif leaving not in (None, NOT_SET):
        signals.append(_build_unreadable_signal(names.HEADER_LEAVING, leaving))
    brittle = first.get(names.HEADER_BRITTLE)
    if brittle is not None:
        per_s = parse_number(_decode_text(brittle))
        unreadable_value = _build_unreadable_signal(names.HEADER_BRITTLE, brittle)
        signals.append(unreadable_value if per_s is None else BrittleSignal(per_s))
    backoff = first.get(names.HEADER_RETRY_AFTER)
    if backoff is not None and status in BACKOFF_STATUSES:
        for_s = parse_seconds(_decode_text(backoff))
        unreadable = _build_unreadable_signal(names.HEADER_RETRY_AFTER, backoff)
        signals.append(unreadable if for_s is None else BackoffSignal(for_s))
    signals += [
        UnknownSignal(_decode_text(name))
        for name in first
        if name.startswith(names.SIGNAL_PREFIXES) and name not in names.KNOWN_UPSTREAM_HEADERS
    ]
    return tuple(signals)


def _build_unreadable_signal(name: bytes, value: bytes) -> UnreadableSignal:
    """Return a signal for a header whose value cannot be decoded."""
    return UnreadableSignal(_decode_text(name), _decode_text(value))


def _select_forwarded_headers(headers: Headers, first: dict[bytes, bytes]) -> Headers:
    """Return the caller's headers that are forwarded to the upstream."""
    dropped = (
        names.HOP_BY_HOP_HEADERS
        | names.RESERVED_HEADERS
        | _parse_connection_header(first.get(b"connection", b""))
    )
    protected = {names.HEADER_REQUEST_ID, names.HEADER_MODEL, names.HEADER_TOKENS, b"host"}
    dropped -= protected | {names.HEADER_PROMPT}
    return tuple([pair for pair in headers if pair[0].lower() not in dropped])


def _parse_connection_header(value: bytes) -> frozenset[bytes]:
    """Return the lower-case names in a Connection header."""
    return frozenset(part.strip().lower() for part in value.split(b",") if part.strip())


def _decode_text(value: bytes) -> str:
    """Decode a header value to a string."""
    return value.decode("latin-1")


def _parse_integer(value: bytes) -> int:
    """Decode an integer, at most MAX_FIGURE; return zero for anything else."""
    if not value.isdigit():
        return 0
    digits = value.lstrip(b"0") or b"0"
    return MAX_FIGURE if len(digits) > MAX_FIGURE_DIGITS else min(int(digits), MAX_FIGURE)


def _parse_deadline_s(value: bytes | None) -> float | None:
    """Convert the milliseconds of the deadline header to seconds; raise BadHeaders if invalid."""
    if value is None:
        return None
    try:
        return max(0.0, float(value) / 1000)
    except ValueError as fault:
        raise BadHeaders("the deadline is not a number") from fault


def _parse_bearer_token(value: bytes) -> str:
    """Return the bearer token of an Authorization header; empty if there is none."""
    if value[: len(BEARER)].lower() != BEARER:
        return ""
    return _decode_text(value[len(BEARER) :].strip())


def _has_other_scheme(value: bytes) -> bool:
    """Return True if an Authorization header has credentials of another scheme than bearer."""
    return bool(value) and (value + b" ")[: len(BEARER)].lower() != BEARER


def _parse_token_counts(value: bytes) -> tuple[int, int]:
    """Return the number of prompt tokens and the maximum number of output tokens."""
    first, _, second = value.partition(b",")
    return _parse_integer(first.strip()), _parse_integer(second.strip())


def _parse_prompt(value: bytes) -> tuple[PromptPart, ...]:
    """Decode the prompt's parts (`digest:tokens`, comma-separated) in order."""
    parts = []
    for piece in value.split(b","):
        digest, colon, tokens = piece.strip().partition(b":")
        if colon:
            parts.append(PromptPart(_decode_text(digest), _parse_integer(tokens)))
    return tuple(parts)


def _parse_load(value: bytes) -> LoadSignal | None:
    """Decode a load, `running,waiting,slots` or `running,waiting,slots,pace`; None if malformed.

    The pace is in percent of the normal duration of work.
    """
    parts = [part.strip() for part in value.split(b",")]
    counts, pace = parts[:3], parts[3:]
    if len(parts) not in (3, 4) or not all(
        part.isdigit() and len(part) <= MAX_COUNT_DIGITS for part in counts
    ):
        return None
    running, waiting, slots = (int(part) for part in counts)
    if not pace:
        return LoadSignal(running, waiting, slots)
    percent = parse_number(_decode_text(pace[0]))
    if percent is None or not MIN_PACE_PERCENT <= percent <= MAX_PACE_PERCENT:
        return None
    return LoadSignal(running, waiting, slots, percent / 100, reports_pace=True)


def _parse_keep_alive_s(value: bytes) -> float:
    """Return the idle timeout of a Keep-Alive header in seconds; infinity without one."""
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout":
            return float(_parse_integer(seconds.strip()))
    return float("inf")
