"""Send upstreams that name a limit no more than it allows (see decisions/permits)."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Protocol, TypeVar

from driftstall.const import CODE_NO_RUNNER, PREFIX_ROUTING
from driftstall.core import Problem, Ran
from driftstall.decisions.permits import (
    PERMIT_LAPSE_S,
    Denial,
    DenialTracker,
    RetryTimes,
    SendNeed,
    Verdict,
)
from driftstall.decisions.rate_limits import RateLimit, RateLimitTracker
from driftstall.helpers.log import log_event

Option = TypeVar("Option")


class PermitStats(Protocol):
    """Count what permits lead to."""

    permits_denied: int
    limited_sends: int
    limited_refused: int


class RateLimiter:
    """Hold what is known of limits, and ask before a request goes to who names one."""

    def __init__(
        self,
        stats: PermitStats,
        *,
        instances: Callable[[], int],
        now: Callable[[], float],
        pause: Callable[[float], None],
    ) -> None:
        """Take the counters, the most instances known lately, the steady clock, and how to wait."""
        self._stats = stats
        self._instances = instances
        self._now = now
        self._pause = pause
        self._tracker = RateLimitTracker()
        self._denied = DenialTracker()
        self._retry_schedule = RetryTimes()
        self.ask_permit: Callable[[RateLimit, SendNeed], Verdict] = _deny_without_peers
        """Asks who gives leave for an upstream; may wait for the answer."""
        self.charge_permit: Callable[[RateLimit], None] = _ignore_charge
        """Tells the same one of a call that was not held back."""
        self.publish: Callable[[], None] = _ignore_publish
        """Has peers told at once."""

    @property
    def limited(self) -> dict[str, float]:
        """Return the limits in force, by upstream, in requests a second."""
        return self._tracker.limited

    @property
    def instances(self) -> int:
        """Return the most instances that were known lately."""
        return self._instances()

    @property
    def reports(self) -> tuple[RateLimit, ...]:
        """Return all that is known, for peers."""
        return self._tracker.reports

    def per_s(self, upstream_id: str) -> float | None:
        """Return the requests a second that an upstream takes; None if it names no limit."""
        return self._tracker.per_s(upstream_id)

    def keep_only(self, upstream_ids: Callable[[], set[str]]) -> set[str]:
        """Forget upstreams that are gone; return those that name a limit."""
        if not self._tracker.reports:
            return set()
        self._tracker.keep_only(upstream_ids(), self._now())
        limited = set(self._tracker.limited)
        self._denied.keep_only(limited)
        return limited

    # What upstreams and peers say.

    def record_response(self, upstream_id: str, per_s: float | None, sent_at: float) -> None:
        """Take in the limit that an answer names, to a request sent then; None for no limit."""
        if self._tracker.record_response(upstream_id, per_s, sent_at, self._now()):
            self._log_changed(upstream_id)
            self.publish()

    def record_peer_limits(self, told: Iterable[RateLimit], peer: str = "") -> bool:
        """Take in what a peer knows; return whether any of it was new."""
        news = self._tracker.merge(told, self._now())
        for one in news:
            self._log_changed(one.upstream_id, peer=peer)
        return bool(news)

    # Before a request is sent.

    def is_limited(self, upstream_id: str) -> bool:
        """Tell whether an upstream names a limit."""
        return self._tracker.per_s(upstream_id) is not None

    def denied_upstreams(self, upstream_ids: Iterable[str], most_wait_s: float) -> frozenset[str]:
        """Return which upstreams are not to be asked for by a request that can wait so long."""
        now = self._now()
        return frozenset(
            one
            for one in upstream_ids
            if self.is_limited(one) and self._denied.retry_in_s(one, now) > most_wait_s
        )

    def permit_wait_s(self, upstream_ids: Iterable[str], most_wait_s: float) -> float:
        """Return how long a request waits for a turn: not at all where an upstream needs none."""
        if any(not self.is_limited(one) for one in upstream_ids):
            return 0.0
        return max(0.0, most_wait_s)

    def choose_permitted(
        self,
        options: Iterable[Option],
        id_of: Callable[[Option], str],
        choose: Callable[[list[Option]], Option | None],
        need: SendNeed,
        request_id: str,
    ) -> Option | None:
        """Choose an option whose upstream may be sent the request now, if there is one.

        Where another one is denied its turn, the next best is chosen.
        """
        left = list(options)
        while left:
            waits_s = self.permit_wait_s(map(id_of, left), need.most_wait_s)
            closed = self.denied_upstreams(map(id_of, left), waits_s)
            left = [one for one in left if id_of(one) not in closed]
            option = choose(left)
            if option is None:
                return None
            if self.acquire_permit(id_of(option), replace(need, most_wait_s=waits_s), request_id):
                return option
            left.remove(option)
        return None

    def acquire_permit(self, upstream_id: str, need: SendNeed, request_id: str) -> bool:
        """Get leave for one send, and wait for its turn; return whether it may be sent now."""
        limit = self._tracker.find(upstream_id)
        if limit is None or limit.per_s is None:
            return True
        asked_at = self._now()
        verdict = self.ask_permit(limit, need)
        if isinstance(verdict, Denial):
            self._stats.permits_denied += 1
            self._denied.record(upstream_id, verdict, self._now())
            return False
        if verdict.wait_s:
            self._pause(verdict.wait_s)
        took_s = self._now() - asked_at
        if took_s > verdict.wait_s + PERMIT_LAPSE_S:
            log_event(
                PREFIX_ROUTING,
                f"A permit for {upstream_id} has lapsed",
                request=request_id,
                took_s=round(took_s, 3),
            )
            return False
        self._stats.limited_sends += 1
        log_event(
            PREFIX_ROUTING,
            f"A request goes to {upstream_id}, which names a limit",
            request=request_id,
            per_s=limit.per_s,
            number=limit.number,
            waited_ms=int(took_s * 1000),
        )
        return True

    def charge(self, upstream_id: str) -> None:
        """Count a call of our own to an upstream: it is not held back, but others are."""
        limit = self._tracker.find(upstream_id)
        if limit is not None and limit.per_s is not None:
            self.charge_permit(limit)

    def build_refusal(self, service: str, upstream_ids: Iterable[str], request_id: str) -> Problem:
        """Return what to answer where all upstreams that are left take no more now.

        Each caller is told a time of its own: this instance's part of the permits comes one by one.
        """
        now = self._now()
        ids = list(upstream_ids)
        first_s = min((self._denied.retry_in_s(one, now) for one in ids), default=0.0)
        limits = [self._tracker.per_s(one) or 0.0 for one in ids]
        part = sum(limits) / max(1, self.instances)
        retry_s = self._retry_schedule.next_s(service, first_s, part, now)
        self._stats.limited_refused += 1
        log_event(
            PREFIX_ROUTING,
            "A request is refused: all upstreams have reached their limits",
            request=request_id,
            service=service,
            limits=limits,
            instances=self.instances,
            retry_s=round(retry_s, 2),
        )
        detail = "all runners have reached the limits that they name"
        return Problem(CODE_NO_RUNNER, 503, detail, Ran.NOT_RUN, retry_s)

    def _log_changed(self, upstream_id: str, **more: str) -> None:
        """Log a limit that is new, and by whose word."""
        limit = self._tracker.find(upstream_id)
        assert limit is not None
        named = "no limit any more" if limit.per_s is None else "a limit"
        log_event(
            PREFIX_ROUTING,
            f"Upstream {upstream_id} names {named}",
            per_s=limit.per_s,
            number=limit.number,
            **more,
        )


def _deny_without_peers(_: RateLimit, __: SendNeed) -> Verdict:
    """Get leave from nobody: there are no peers yet, so nobody knows how much is sent."""
    return Denial(PERMIT_LAPSE_S)


def _ignore_charge(_: RateLimit) -> None:
    """Tell nobody."""


def _ignore_publish() -> None:
    """Tell nobody."""
