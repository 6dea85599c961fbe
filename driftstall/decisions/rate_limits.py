"""Remember the limits that upstreams name: requests a second, from all instances together.

Pattern: an upstream in need names its limit with each answer, for as long as it needs one. One
answer tells one instance, but the limit is the fleet's: so each change is told to all, in an order
that all agree on. Answers pass each other on their ways. A limit that is stricter counts at once.
One that is looser, or its end, counts only from an answer to a request that was sent after the
limit was known: an answer that was under way when the limit was named says nothing of it.

Silence is no end: an upstream that is sent nothing says nothing. A limit is forgotten with its
upstream; a later start, and who gets the address, are other upstreams.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

UNKNOWN_KEPT_S: Final = 10.0
"""How long a limit is kept of an upstream that is not known here: a fresh instance may hear of
limits before it hears of upstreams, which takes it two seconds at the most."""


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Hold what one upstream last named."""

    upstream_id: str
    number: int
    """Grows with each change; the higher one counts, and of equal ones the stricter."""
    per_s: float | None
    """Requests a second; None where it names no limit any more."""

    def supersedes(self, other: RateLimit) -> bool:
        """Tell whether this is to be kept in place of another one of the same upstream."""
        if self.number != other.number:
            return self.number > other.number
        return _is_stricter(self.per_s, other.per_s)


@dataclass(frozen=True, slots=True)
class _Known:
    """Hold a limit and when it was learned here."""

    limit: RateLimit
    at: float


class RateLimitTracker:
    """Hold what upstreams have named, by their answers here and by peers."""

    def __init__(self) -> None:
        """Start with no limit known."""
        self._known: dict[str, _Known] = {}

    @property
    def limited(self) -> dict[str, float]:
        """Return the limits in force, in requests a second, by upstream."""
        limits = (one.limit for one in self._known.values())
        return {one.upstream_id: one.per_s for one in limits if one.per_s is not None}

    @property
    def reports(self) -> tuple[RateLimit, ...]:
        """Return all that is known, ended limits as well, for peers."""
        return tuple(one.limit for one in self._known.values())

    def find(self, upstream_id: str) -> RateLimit | None:
        """Return what an upstream has last named, if it ever has."""
        known = self._known.get(upstream_id)
        return known.limit if known else None

    def per_s(self, upstream_id: str) -> float | None:
        """Return the requests a second that an upstream takes; None if it names no limit."""
        known = self._known.get(upstream_id)
        return known.limit.per_s if known else None

    def record_response(
        self, upstream_id: str, per_s: float | None, sent_at: float, now: float
    ) -> bool:
        """Take in what an answer names to a request sent then; return whether it is new."""
        known = self._known.get(upstream_id)
        before = known.limit.per_s if known else None
        if before == per_s:
            return False
        if known is not None and sent_at < known.at and not _is_stricter(per_s, before):
            return False
        number = known.limit.number + 1 if known else 1
        self._known[upstream_id] = _Known(RateLimit(upstream_id, number, per_s), now)
        return True

    def merge(self, told: Iterable[RateLimit], now: float) -> tuple[RateLimit, ...]:
        """Take in what a peer knows; return what was new."""
        news = []
        for one in told:
            known = self._known.get(one.upstream_id)
            if known is None or one.supersedes(known.limit):
                self._known[one.upstream_id] = _Known(one, now)
                news.append(one)
        return tuple(news)

    def keep_only(self, upstream_ids: set[str], now: float) -> None:
        """Forget upstreams that are gone."""
        for upstream_id, known in list(self._known.items()):
            if upstream_id not in upstream_ids and now - known.at > UNKNOWN_KEPT_S:
                del self._known[upstream_id]


def _is_stricter(per_s: float | None, other: float | None) -> bool:
    """Tell whether a limit is lower than another one; none at all is the highest."""
    if per_s is None:
        return False
    return other is None or per_s < other
