"""Rate limiting of sends to upstreams that announce a limit (see decisions/permits)."""

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
    """Counters of rate-limited sends."""

    permits_denied: int
    limited_sends: int
    limited_refused: int


class RateLimiter:
    """Track the rate limits of upstreams, and acquire permits for sends to limited ones."""

    def __init__(
        self,
        stats: PermitStats,
        *,
        instances: Callable[[], int],
        now: Callable[[], float],
        pause: Callable[[float], None],
    ) -> None:
        """Initialize without limits.

        instances: returns the highest number of instances known lately. now: monotonic clock.
        pause: waits for a time in seconds.
        """
        self._stats = stats
        self._instances = instances
        self._now = now
        self._pause = pause
        self._tracker = RateLimitTracker()
        self._denied = DenialTracker()
        self._retry_schedule = RetryTimes()
        self.ask_permit: Callable[[RateLimit, SendNeed], Verdict] = _deny_without_peers
        """Requests a permit from the upstream's owner; may wait for the answer."""
        self.charge_permit: Callable[[RateLimit], None] = _ignore_charge
        """Reports a call that was sent without a permit to the upstream's owner."""
        self.publish: Callable[[], None] = _ignore_publish
        """Publishes changed limits to peers at once."""

    @property
    def limited(self) -> dict[str, float]:
        """Return the limits in force by upstream id, in requests a second."""
        return self._tracker.limited

    @property
    def instances(self) -> int:
        """Return the highest number of instances known lately."""
        return self._instances()

    @property
    def reports(self) -> tuple[RateLimit, ...]:
        """Return all known limits and their removals, for peers."""
        return self._tracker.reports

    def per_s(self, upstream_id: str) -> float | None:
        """Return an upstream's limit in requests a second, or None without a limit."""
        return self._tracker.per_s(upstream_id)

    def keep_only(self, upstream_ids: Callable[[], set[str]]) -> set[str]:
        """Remove the limits of all other upstreams; return the ids of the limited ones."""
        if not self._tracker.reports:
            return set()
        self._tracker.keep_only(upstream_ids(), self._now())
        limited = set(self._tracker.limited)
        self._denied.keep_only(limited)
        return limited

    # Updates from upstreams and peers.

    def record_response(self, upstream_id: str, per_s: float | None, sent_at: float) -> None:
        """Record the limit in the response to a request that was sent at a time; None for none."""
        if self._tracker.record_response(upstream_id, per_s, sent_at, self._now()):
            self._log_changed(upstream_id)
            self.publish()

    def record_peer_limits(self, limits: Iterable[RateLimit], peer: str = "") -> bool:
        """Merge the limits known to a peer; return True if any was new."""
        changed = self._tracker.merge(limits, self._now())
        for limit in changed:
            self._log_changed(limit.upstream_id, peer=peer)
        return bool(changed)

    # Permits.

    def is_limited(self, upstream_id: str) -> bool:
        """Return True if an upstream has a rate limit."""
        return self._tracker.per_s(upstream_id) is not None

    def denied_upstreams(self, upstream_ids: Iterable[str], max_wait_s: float) -> frozenset[str]:
        """Return the upstreams whose next permit comes later than a request can wait."""
        now = self._now()
        return frozenset(
            upstream_id
            for upstream_id in upstream_ids
            if self.is_limited(upstream_id)
            and self._denied.retry_in_s(upstream_id, now) > max_wait_s
        )

    def permit_wait_s(self, upstream_ids: Iterable[str], max_wait_s: float) -> float:
        """Return how long a request waits for a permit: zero if any upstream has no limit."""
        if any(not self.is_limited(upstream_id) for upstream_id in upstream_ids):
            return 0.0
        return max(0.0, max_wait_s)

    def choose_permitted(
        self,
        options: Iterable[Option],
        id_of: Callable[[Option], str],
        choose: Callable[[list[Option]], Option | None],
        need: SendNeed,
        request_id: str,
    ) -> Option | None:
        """Choose an option whose upstream may be sent the request now; None if there is none.

        If the best option is denied a permit, the next best is chosen.
        """
        remaining = list(options)
        while remaining:
            max_wait_s = self.permit_wait_s(map(id_of, remaining), need.max_wait_s)
            denied = self.denied_upstreams(map(id_of, remaining), max_wait_s)
            remaining = [candidate for candidate in remaining if id_of(candidate) not in denied]
            option = choose(remaining)
            if option is None:
                return None
            if self.acquire_permit(id_of(option), replace(need, max_wait_s=max_wait_s), request_id):
                return option
            remaining.remove(option)
        return None

    def acquire_permit(self, upstream_id: str, need: SendNeed, request_id: str) -> bool:
        """Acquire a permit for one send and wait until it is valid; return False if denied.

        A permit that has expired when the wait ends counts as denied.
        """
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
                f"The permit for {upstream_id} has expired",
                request=request_id,
                took_s=round(took_s, 3),
            )
            return False
        self._stats.limited_sends += 1
        log_event(
            PREFIX_ROUTING,
            f"Request sent to rate-limited upstream {upstream_id}",
            request=request_id,
            per_s=limit.per_s,
            number=limit.number,
            waited_ms=int(took_s * 1000),
        )
        return True

    def charge(self, upstream_id: str) -> None:
        """Charge a call of the proxy itself, which needs no permit, to an upstream's limit."""
        limit = self._tracker.find(upstream_id)
        if limit is not None and limit.per_s is not None:
            self.charge_permit(limit)

    def build_refusal(self, service: str, upstream_ids: Iterable[str], request_id: str) -> Problem:
        """Return the problem for a request whose upstreams have all reached their limits.

        Each caller gets a different retry time, as this instance's share of the permits becomes
        available one by one.
        """
        now = self._now()
        ids = list(upstream_ids)
        first_s = min(
            (self._denied.retry_in_s(upstream_id, now) for upstream_id in ids), default=0.0
        )
        limits = [self._tracker.per_s(upstream_id) or 0.0 for upstream_id in ids]
        share = sum(limits) / max(1, self.instances)
        retry_s = self._retry_schedule.next_s(service, first_s, share, now)
        self._stats.limited_refused += 1
        log_event(
            PREFIX_ROUTING,
            "Request refused: all upstreams have reached their rate limits",
            request=request_id,
            service=service,
            limits=limits,
            instances=self.instances,
            retry_s=round(retry_s, 2),
        )
        detail = "all runners have reached the limits that they name"
        return Problem(CODE_NO_RUNNER, 503, detail, Ran.NOT_RUN, retry_s)

    def _log_changed(self, upstream_id: str, **more: str) -> None:
        """Log a changed limit; more may name the peer that reported it."""
        limit = self._tracker.find(upstream_id)
        assert limit is not None
        change = (
            "announces no rate limit any more" if limit.per_s is None else "announces a rate limit"
        )
        log_event(
            PREFIX_ROUTING,
            f"Upstream {upstream_id} {change}",
            per_s=limit.per_s,
            number=limit.number,
            **more,
        )


def _deny_without_peers(_: RateLimit, __: SendNeed) -> Verdict:
    """Deny a permit: before the peers are connected, the fleet's rate of sends is unknown."""
    return Denial(PERMIT_LAPSE_S)


def _ignore_charge(_: RateLimit) -> None:
    """Ignore a charge before the peers are connected."""


def _ignore_publish() -> None:
    """Ignore a change before the peers are connected."""
