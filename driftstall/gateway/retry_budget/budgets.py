"""The retry budgets of all services at one instance: take retries, borrow and lend."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import Final

from gevent.event import Event

from driftstall.const import PREFIX_ROUTING
from driftstall.decisions.instance_count import InstanceCount
from driftstall.gateway.model import Bounds, GatewaySettings
from driftstall.gateway.retry_budget.lending import ANSWER_TIMEOUT_S, LoanBroker
from driftstall.gateway.retry_budget.messages import (
    RetryLoanAsked,
    RetryLoanGiven,
    RetryLoanMessage,
)
from driftstall.gateway.retry_budget.shared_budget import (
    LOAN_CHARGED_S,
    RepeatCount,
    RetryReservation,
    SharedRetryBudget,
)
from driftstall.gateway.stats import GatewayStats
from driftstall.helpers.log import log_event

LOAN_WAIT_S: Final = 0.1
"""Maximum wait of a request for loans; callers notice longer pauses of a stream."""
COUNT_RETENTION_S: Final = 300.0
"""How long the highest number of instances divides the budget. The parts of instances that are
gone stay unused for this time, as they may only be out of reach."""
FIRST_START_S: Final = 3.0
"""Time after the first start of the whole fleet until instances know each other."""


class RetryBudgets:
    """Hold the budget of each service, and exchange loans with the other instances."""

    def __init__(
        self,
        settings: GatewaySettings,
        stats: GatewayStats,
        *,
        now: Callable[[], float],
        peers: Callable[[], tuple[str, ...]],
        bounds: Callable[[], Bounds],
        source: random.Random,
    ) -> None:
        """Initialize without budgets. peers: returns the ids of the other live instances."""
        self._stats = stats
        self._now = now
        self._peers = peers
        self._bounds = bounds
        self._started_at = now()
        self._is_first_start = settings.is_first_start
        self._has_seeds = bool(settings.seeds)
        self._instances = InstanceCount(COUNT_RETENTION_S)
        self._budgets: dict[str, SharedRetryBudget] = {}
        self._broker = LoanBroker(settings.instance_id, self.of, source)
        self._waiting: Counter[str] = Counter()
        self._answered: dict[str, Event] = {}
        self.send: Callable[[str, RetryLoanMessage], object] = _ignore_message
        """Sends a message to an instance."""

    @property
    def counts(self) -> tuple[RepeatCount, ...]:
        """Return the requests and retries of this instance per service, for its reports."""
        now = self._now()
        return tuple(budget.count(now) for budget in self._budgets.values())

    @property
    def sent(self) -> int:
        """Return the retries that this instance has sent within the window, to all services."""
        return sum(count.repeats for count in self.counts)

    @property
    def least_available(self) -> float:
        """Return what is left of the share that is used most, with loans; zero without a budget."""
        now = self._now()
        return min((budget.available(now) for budget in self._budgets.values()), default=0.0)

    @property
    def is_share_full(self) -> bool:
        """Return False as long as a predecessor may have used this instance's share."""
        return self._now() >= self._full_share_from()

    def of(self, service: str) -> SharedRetryBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = SharedRetryBudget(
                service, self._bounds(), self._instances, full_share_from=self._full_share_from()
            )
            self._budgets[service] = budget
        return budget

    def record_instances(self, count: int) -> None:
        """Record how many instances are known now."""
        self._instances.record(count, self._now())

    def record_request(self, service: str) -> None:
        """Count one request, at its first send."""
        self.of(service).record_request(self._now())

    def forget_peers(self) -> None:
        """Discard the counts that peers have reported."""
        for budget in self._budgets.values():
            budget.forget_peers()

    def try_reserve(self, service: str, request_id: str) -> RetryReservation | None:
        """Reserve one retry, borrowed if need be; return None and log why if there is none."""
        budget, gives_up_at = self.of(service), self._now() + LOAN_WAIT_S
        self._waiting[service] += 1
        try:
            while (reservation := budget.try_reserve(self._now())) is None:
                if self._now() >= gives_up_at or not self._borrow(service):
                    self._log_refused(service, request_id)
                    return None
                self._await_answer(service, gives_up_at)
        finally:
            self._waiting[service] -= 1
        self._stats.repeats += 1
        return reservation

    def confirm(self, reservation: RetryReservation) -> None:
        """Count a reserved retry that is sent now."""
        self.of(reservation.service).confirm(reservation, self._now())

    def release(self, reservation: RetryReservation) -> None:
        """Give back a reserved retry that is not sent."""
        self._stats.repeats_released += 1
        self.of(reservation.service).release(reservation, self._now())

    def handle_request(self, asked: RetryLoanAsked) -> None:
        """Answer a peer's request for a loan."""
        given = self._broker.handle_request(asked, self._now())
        self._stats.retries_lent += given.retries
        self.send(asked.sender, given)

    def handle_answer(self, given: RetryLoanGiven) -> None:
        """Add a peer's loan, and wake the requests that wait for it."""
        service = self._broker.handle_answer(given, self._now())
        if not service:
            return
        self._stats.retries_borrowed += given.retries
        answered = self._answered.pop(service, None)
        if answered is not None:
            answered.set()

    def _borrow(self, service: str) -> bool:
        """Ask peers for loans; return False if no answer can be expected."""
        now = self._now()
        wanted = self._waiting[service] - self.of(service).available(now)
        for request in self._broker.ask(service, wanted, self._peers(), now):
            self._stats.retry_loans_asked += 1
            self.send(request.peer, request.message)
        return self._broker.is_waiting(service, now)

    def _await_answer(self, service: str, gives_up_at: float) -> None:
        """Wait for the next answer of a peer, or until the peers asked count as silent."""
        answered = self._answered.setdefault(service, Event())
        answered.wait(min(ANSWER_TIMEOUT_S, max(0.0, gives_up_at - self._now())))

    def _full_share_from(self) -> float:
        """Return when this instance may use its full share of the budgets.

        An earlier process of this instance may have used it until just before this one started.
        """
        if self._is_first_start:
            return self._started_at + (FIRST_START_S if self._has_seeds else 0.0)
        return self._started_at + self._bounds().retry_window_s + LOAN_CHARGED_S

    def _log_refused(self, service: str, request_id: str) -> None:
        """Log on what basis a retry was refused."""
        now, budget = self._now(), self.of(service)
        own, peers = budget.count(now), budget.peer_totals(now)
        log_event(
            PREFIX_ROUTING,
            "The retry budget allows no further send",
            request=request_id,
            service=service,
            own_requests=own.requests,
            own_repeats=own.repeats,
            allowed=round(budget.share(now), 1),
            available=round(budget.available(now), 1),
            peer_requests=peers.requests,
            peer_repeats=peers.repeats,
            view_age_s=round(peers.oldest_s, 2),
            up_s=round(now - self._started_at, 1),
            instances=self._instances.value,
        )


def _ignore_message(_: str, __: RetryLoanMessage) -> None:
    """Ignore a message before the peers are connected."""
