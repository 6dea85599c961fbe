"""Permits for sends to rate-limited upstreams, granted by the instance that owns the upstream.

The owner is chosen among the live instances by rendezvous hashing. Each instance requests
permits from the owners, and grants them for the upstreams that it owns.
"""

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
"""Maximum wait for an owner's answer: a hop between zones takes a few milliseconds."""
NO_ANSWER_BACKOFF_S: Final = 0.5
"""Time for which no permit is requested for an upstream whose owner has not answered."""
MS_PER_S: Final = 1000


class PermitCoordinator:
    """Request permits from owners, and grant them for owned upstreams."""

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
        """Initialize with this instance's id, the known limits and a monotonic clock.

        live: returns the live instances. upstreams: returns the ids of all upstreams that have
        not been removed. send: sends a message to an instance.
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
        """Request a permit for one send, and wait for the owner's verdict.

        Without an answer in time, the permit is denied.
        """
        owner_id = self._owner_id(limit.upstream_id)
        if owner_id == self._own_id:
            return self._decide(limit.upstream_id, need)
        number = next(self._numbers)
        answer: AsyncResult = AsyncResult()
        self._waiting[number] = answer
        max_wait_ms = int(need.max_wait_s * MS_PER_S)
        asked = PermitAsked(self._own_id, number, limit, max_wait_ms, need.rank, need.under_way)
        try:
            self._send(owner_id, asked)
            given: PermitGiven | None = answer.wait(timeout=ANSWER_TIMEOUT_S)
        finally:
            del self._waiting[number]
        if given is None:
            log_event(
                PREFIX_ROUTING,
                f"Instance {owner_id} did not answer a permit request in time",
                upstream=limit.upstream_id,
                asked=number,
            )
            return Denial(NO_ANSWER_BACKOFF_S)
        return (
            Permit(given.wait_ms / MS_PER_S) if given.allowed else Denial(given.wait_ms / MS_PER_S)
        )

    def charge(self, limit: RateLimit) -> None:
        """Charge a call that was sent without a permit to an upstream's limit."""
        owner_id = self._owner_id(limit.upstream_id)
        if owner_id == self._own_id:
            self._charge(limit.upstream_id)
        else:
            self._send(owner_id, PermitCharged(self._own_id, limit))

    def update_ownership(self) -> None:
        """Update which rate-limited upstreams this instance owns; called periodically."""
        limited = self._limits.keep_only(self._upstreams)
        owned = {
            upstream_id for upstream_id in limited if self._owner_id(upstream_id) == self._own_id
        }
        self._allowances.sync(owned, self._now())

    def handle_request(self, asked: PermitAsked) -> None:
        """Answer a permit request of another instance."""
        self._limits.record_peer_limits((asked.limit,))
        need = SendNeed(asked.most_wait_ms / MS_PER_S, asked.rank, asked.under_way)
        verdict = self._decide(asked.limit.upstream_id, need)
        allowed = isinstance(verdict, Permit)
        wait_s = verdict.wait_s if isinstance(verdict, Permit) else verdict.retry_in_s
        given = PermitGiven(self._own_id, asked.number, allowed, int(wait_s * MS_PER_S))
        self._send(asked.sender, given)

    def handle_answer(self, given: PermitGiven) -> None:
        """Pass an answer to the request that waits for it; a late answer is ignored."""
        waiting = self._waiting.get(given.number)
        if waiting is not None:
            waiting.set(given)

    def handle_charge(self, charged: PermitCharged) -> None:
        """Charge a call of another instance to an upstream's limit."""
        self._limits.record_peer_limits((charged.limit,))
        self._charge(charged.limit.upstream_id)

    def _owner_id(self, upstream_id: str) -> str:
        """Return the id of the instance that grants permits for an upstream."""
        owner = owner_of(upstream_id, self._live())
        return owner.instance_id if owner else self._own_id

    def _decide(self, upstream_id: str, need: SendNeed) -> Verdict:
        """Grant or deny a permit for an owned upstream."""
        per_s = self._per_s(upstream_id)
        if per_s is None:
            # The limit was lifted, and the requesting instance has not been notified yet.
            return Permit(0.0)
        return self._allowances.ask(upstream_id, need, per_s, self._now())

    def _charge(self, upstream_id: str) -> None:
        """Charge a call to the limit of an owned upstream."""
        per_s = self._per_s(upstream_id)
        if per_s is not None:
            self._allowances.charge(upstream_id, per_s, self._now())

    def _per_s(self, upstream_id: str) -> float | None:
        """Return the permits a second for an owned upstream; None if its limit was lifted.

        Scaled by the share of instances that are live.
        """
        per_s = self._limits.per_s(upstream_id)
        if per_s is None:
            return None
        return scaled_limit(per_s, len(self._live()), self._limits.instances)
