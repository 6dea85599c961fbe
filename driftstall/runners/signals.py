"""Read what a runner signals about itself with its responses."""

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
"""The requests a second that a runner takes from all instances together, a decimal number."""
LEAVING_HEADER: Final = "X-Leaving"
"""Set to 1 in all responses of a runner that leaves."""
BACKOFF_HEADER: Final = "Retry-After"
"""With 429 and 503: seconds for which a runner wants no requests from this instance."""
SET: Final = "1"
NOT_SET: Final = frozenset({"", "0"})
BACKOFF_STATUSES: Final = frozenset({HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE})


def read_signals(exchange: Exchange) -> tuple[Signal, ...]:
    """Return what a response signals; without a limit it signals that there is none."""
    found: list[Signal] = [RateLimitSignal(parse_seconds(exchange.header(RATE_LIMIT_HEADER)))]
    leaving = exchange.header(LEAVING_HEADER)
    if leaving == SET:
        found.append(LeavingSignal())
    elif leaving not in NOT_SET:
        found.append(UnreadableSignal(LEAVING_HEADER, leaving))
    backoff = exchange.header(BACKOFF_HEADER)
    if backoff and exchange.status in BACKOFF_STATUSES:
        for_s = parse_seconds(backoff)
        unreadable = UnreadableSignal(BACKOFF_HEADER, backoff)
        found.append(unreadable if for_s is None else BackoffSignal(for_s))
    return tuple(found)
