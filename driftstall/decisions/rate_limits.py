"""Track the rate limits that upstreams state: requests a second, from all instances together.

An overloaded upstream states its limit with each response, for as long as it needs one. A response
reaches one instance, but the limit applies to the whole fleet, so each change is published to all
instances, in an order on which all agree. Responses may overtake each other. A stricter limit
takes effect at once. A looser limit, or the end of the limit, takes effect only with a response to
a request that was sent after the limit was known: a response that was under way when the limit was
stated carries no newer information.

Silence does not end a limit, as an upstream that is sent nothing states nothing. A limit is
forgotten with its upstream; a later start of the process, and another process that takes over the
address, count as different upstreams.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

UNKNOWN_RETENTION_S: Final = 10.0
"""How long the limit of an upstream that is not known here is kept: a new instance may learn of
limits before it learns of upstreams, which takes two seconds at most."""


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Describe the limit that one upstream stated last."""

    upstream_id: str
    number: int
    """Rises with each change; the higher one takes precedence, and of equal ones the stricter."""
    per_s: float | None
    """Requests a second; None where it no longer states a limit."""

    def supersedes(self, other: RateLimit) -> bool:
        """Return True if this replaces another limit of the same upstream."""
        if self.number != other.number:
            return self.number > other.number
        return _is_stricter(self.per_s, other.per_s)


@dataclass(frozen=True, slots=True)
class _Known:
    """Hold a limit and when it became known here."""

    limit: RateLimit
    at: float


class RateLimitTracker:
    """Hold the limits that upstreams state, from responses and from peers."""

    def __init__(self) -> None:
        """Initialize without limits."""
        self._known: dict[str, _Known] = {}

    @property
    def limited(self) -> dict[str, float]:
        """Return the limits in force, in requests a second, by upstream."""
        limits = (limit.limit for limit in self._known.values())
        return {limit.upstream_id: limit.per_s for limit in limits if limit.per_s is not None}

    @property
    def reports(self) -> tuple[RateLimit, ...]:
        """Return all known limits, including ended ones, to be published to peers."""
        return tuple(known.limit for known in self._known.values())

    def find(self, upstream_id: str) -> RateLimit | None:
        """Return the limit that an upstream stated last; None if it never stated one."""
        known = self._known.get(upstream_id)
        return known.limit if known else None

    def per_s(self, upstream_id: str) -> float | None:
        """Return the requests a second that an upstream accepts; None without a limit."""
        known = self._known.get(upstream_id)
        return known.limit.per_s if known else None

    def record_response(
        self, upstream_id: str, per_s: float | None, sent_at: float, now: float
    ) -> bool:
        """Record the limit stated in a response to a request; return True if it is new."""
        known = self._known.get(upstream_id)
        before = known.limit.per_s if known else None
        if before == per_s:
            return False
        if known is not None and sent_at < known.at and not _is_stricter(per_s, before):
            return False
        number = known.limit.number + 1 if known else 1
        self._known[upstream_id] = _Known(RateLimit(upstream_id, number, per_s), now)
        return True

    def merge(self, reports: Iterable[RateLimit], now: float) -> tuple[RateLimit, ...]:
        """Merge the limits reported by a peer; return those that are new."""
        changes = []
        for report in reports:
            known = self._known.get(report.upstream_id)
            if known is None or report.supersedes(known.limit):
                self._known[report.upstream_id] = _Known(report, now)
                changes.append(report)
        return tuple(changes)

    def keep_only(self, upstream_ids: set[str], now: float) -> None:
        """Forget the limits of removed upstreams."""
        for upstream_id, known in list(self._known.items()):
            if upstream_id not in upstream_ids and now - known.at > UNKNOWN_RETENTION_S:
                del self._known[upstream_id]


def _is_stricter(per_s: float | None, other: float | None) -> bool:
    """Return True if a limit is lower than another one; no limit is the highest."""
    if per_s is None:
        return False
    return other is None or per_s < other
