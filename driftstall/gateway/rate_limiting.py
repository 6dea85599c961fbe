"""Take in the limits that upstreams name with their answers."""

from __future__ import annotations

from driftstall.const import PREFIX_ROUTING
from driftstall.decisions.rate_limits import RateLimitBook
from driftstall.gateway.model import AnswerMarks, Upstream
from driftstall.helpers.log import say


class RateLimiting:
    """Hold what is known of limits, and log what it leads to."""

    def __init__(self) -> None:
        """Start with no limit known."""
        self._book = RateLimitBook()

    @property
    def limited(self) -> dict[str, float]:
        """Return the limits in force, by upstream, in requests a second."""
        return self._book.limited

    def answered(self, upstream: Upstream, marks: AnswerMarks) -> None:
        """Take in the limit that an answer names, or that it names none."""
        if not self._book.told(upstream.upstream_id, marks.rate_limit):
            return
        named = "no limit any more" if marks.rate_limit is None else "a limit"
        say(
            PREFIX_ROUTING,
            f"Upstream {upstream.upstream_id} names {named}",
            service=upstream.service,
            per_s=marks.rate_limit,
        )

    def sent(self, upstream: Upstream, request_id: str) -> None:
        """Log a send to an upstream that names a limit: few, unless the limit is not kept."""
        per_s = self._book.per_s(upstream.upstream_id)
        if per_s is None:
            return
        say(
            PREFIX_ROUTING,
            f"A request goes to {upstream.upstream_id}, which names a limit",
            request=request_id,
            service=upstream.service,
            per_s=per_s,
        )
