"""Ask who gives leave for an upstream with a limit, and give leave for those that fall here."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Final

from gevent.event import AsyncResult

from driftstall.const import PREFIX_ROUTING
from driftstall.core import Instance
from driftstall.decisions.locate import owner_of
from driftstall.decisions.permits import Allowances, Denial, Permit, SendNeed, Verdict, scaled_limit
from driftstall.decisions.rate_limits import RateLimit
from driftstall.helpers.log import log_event
from driftstall.helpers.rate_limiting import RateLimiter
from driftstall.peers.permit_messages import (
    PermitAsked,
    PermitCharged,
    PermitGiven,
    PermitMessage,
)

ANSWER_TIMEOUT_S: Final = 0.05
"""How long an answer is waited for: a hop between zones takes a few milliseconds."""
NO_ANSWER_BACKOFF_S: Final = 0.5
"""How long one that gave no answer is not asked for the same upstream."""
MS: Final = 1000


class PermitCoordinator:
    """Ask for permits, and give them."""

    def __init__(
        self,
        own_id: str,
        limits: RateLimiter,
        *,
        now: Callable[[], float],
        live: Callable[[], tuple[Instance, ...]],
        upstreams: Callable[[], set[str]],
        send: Callable[[str, PermitMessage], object],
    ) -> None:
        """Take the own name, what is known of limits, and the steady clock.

        Live returns the instances that live, upstreams the ids of all that have not gone.
        """
        self._own_id = own_id
        self._limits = limits
        self._now = now
        self._live = live
        self._upstreams = upstreams
        self._send = send
        self._allowances = Allowances()
        self._numbers = itertools.count(1)
        self._waiting: dict[int, AsyncResult] = {}

    def ask(self, limit: RateLimit, need: SendNeed) -> Verdict:
        """Return whether one request may be sent; wait for the answer of who decides."""
        giver = self._owner_id(limit.upstream_id)
        if giver == self._own_id:
            return self._decide(limit.upstream_id, need)
        number = next(self._numbers)
        answer: AsyncResult = AsyncResult()
        self._waiting[number] = answer
        most_wait_ms = int(need.most_wait_s * MS)
        asked = PermitAsked(self._own_id, number, limit, most_wait_ms, need.rank, need.under_way)
        try:
            self._send(giver, asked)
            given: PermitGiven | None = answer.wait(timeout=ANSWER_TIMEOUT_S)
        finally:
            del self._waiting[number]
        if given is None:
            log_event(
                PREFIX_ROUTING,
                f"{giver} gives no permit in time",
                upstream=limit.upstream_id,
                asked=number,
            )
            return Denial(NO_ANSWER_BACKOFF_S)
        return Permit(given.wait_ms / MS) if given.allowed else Denial(given.wait_ms / MS)

    def charge(self, limit: RateLimit) -> None:
        """Count a call to an upstream that is not held back."""
        giver = self._owner_id(limit.upstream_id)
        if giver == self._own_id:
            self._charge(limit.upstream_id)
        else:
            self._send(giver, PermitCharged(self._own_id, limit))

    def update_ownership(self) -> None:
        """Find out for which upstreams this instance gives permits; to be called often."""
        limited = self._limits.keep_only(self._upstreams)
        mine = {one for one in limited if self._owner_id(one) == self._own_id}
        self._allowances.sync(mine, self._now())

    def handle_request(self, asked: PermitAsked) -> None:
        """Answer another instance."""
        self._limits.record_peer_limits((asked.limit,))
        need = SendNeed(asked.most_wait_ms / MS, asked.rank, asked.under_way)
        verdict = self._decide(asked.limit.upstream_id, need)
        allowed = isinstance(verdict, Permit)
        wait_s = verdict.wait_s if isinstance(verdict, Permit) else verdict.retry_in_s
        given = PermitGiven(self._own_id, asked.number, allowed, int(wait_s * MS))
        self._send(asked.sender, given)

    def handle_answer(self, given: PermitGiven) -> None:
        """Take in an answer; one that comes late is of no use any more."""
        waiting = self._waiting.get(given.number)
        if waiting is not None:
            waiting.set(given)

    def handle_charge(self, told: PermitCharged) -> None:
        """Count a call of another instance."""
        self._limits.record_peer_limits((told.limit,))
        self._charge(told.limit.upstream_id)

    def _owner_id(self, upstream_id: str) -> str:
        """Return which instance gives permits for an upstream."""
        owner = owner_of(upstream_id, self._live())
        return owner.instance_id if owner else self._own_id

    def _decide(self, upstream_id: str, need: SendNeed) -> Verdict:
        """Give or refuse a permit."""
        per_s = self._per_s(upstream_id)
        if per_s is None:
            # The limit has ended; the news of it are on their way.
            return Permit(0.0)
        return self._allowances.ask(upstream_id, need, per_s, self._now())

    def _charge(self, upstream_id: str) -> None:
        """Count a call."""
        per_s = self._per_s(upstream_id)
        if per_s is not None:
            self._allowances.charge(upstream_id, per_s, self._now())

    def _per_s(self, upstream_id: str) -> float | None:
        """Return what may be given a second; None where the limit has ended."""
        per_s = self._limits.per_s(upstream_id)
        if per_s is None:
            return None
        return scaled_limit(per_s, len(self._live()), self._limits.instances)
