"""Parse the signals that a runner sends about itself with its responses."""

from __future__ import annotations

from http import HTTPStatus
from typing import Final

from driftstall.decisions.upstream_signals import (
    BackoffSignal,
    LeavingSignal,
    RateLimitSignal,
    Signal,
    UnreadableSignal,
    parse_seconds,
)
from driftstall.util.http import Exchange

RATE_LIMIT_HEADER: Final = "X-Rate-Limit"
"""Requests a second that a runner accepts from all instances together, a decimal number."""
LEAVING_HEADER: Final = "X-Leaving"
"""Set to 1 in all responses of a runner that is leaving."""
BACKOFF_HEADER: Final = "Retry-After"
"""With 429 and 503: seconds for which a runner wants no requests from this instance."""
LEAVING_SET: Final = "1"
LEAVING_NOT_SET: Final = frozenset({"", "0"})
BACKOFF_STATUSES: Final = frozenset({HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE})


def read_signals(exchange: Exchange) -> tuple[Signal, ...]:
    """Return the signals of a response; without a limit header it signals no limit."""
    signals: list[Signal] = [RateLimitSignal(parse_seconds(exchange.header(RATE_LIMIT_HEADER)))]
    leaving = exchange.header(LEAVING_HEADER)
    if leaving == LEAVING_SET:
        signals.append(LeavingSignal())
    elif leaving not in LEAVING_NOT_SET:
        signals.append(UnreadableSignal(LEAVING_HEADER, leaving))
    backoff = exchange.header(BACKOFF_HEADER)
    if backoff and exchange.status in BACKOFF_STATUSES:
        backoff_s = parse_seconds(backoff)
        unreadable = UnreadableSignal(BACKOFF_HEADER, backoff)
        signals.append(unreadable if backoff_s is None else BackoffSignal(backoff_s))
    return tuple(signals)
