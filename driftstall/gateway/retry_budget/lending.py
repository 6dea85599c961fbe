"""Decide whom to ask for loans of retries, and answer the requests of others."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

from driftstall.gateway.retry_budget.messages import RetryLoanAsked, RetryLoanGiven
from driftstall.gateway.retry_budget.shared_budget import SharedRetryBudget

ANSWER_TIMEOUT_S: Final = 0.05
"""Time after which a peer counts as silent: a hop between zones takes a few milliseconds."""
ASK_AGAIN_S: Final = 1.0
"""Time for which a peer that has lent all it had, or nothing, isn't asked again."""
MAX_ASKED_AT_ONCE: Final = 16
MAX_EMPTY_ANSWERS: Final = 4
"""Answers without a loan in a row after which the budget of the fleet counts as used up."""
PAUSE_S: Final = 2.0
"""Pause after that, so that a fleet whose budget is used up exchanges few messages."""


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """A message to one peer."""

    peer: str
    message: RetryLoanAsked


@dataclass(frozen=True, slots=True)
class _OpenRequest:
    """A request without an answer."""

    service: str
    peer: str
    retries: float
    at: float


@dataclass(slots=True)
class _Search:
    """The search for loans for one service."""

    fan_out: int = 1
    """Number of peers that are asked next; it doubles while retries are wanted."""
    asked_at: float = float("-inf")
    paused_until: float = float("-inf")
    empty_answers: int = 0
    ask_again_at: dict[str, float] = field(default_factory=dict)


class LoanBroker:
    """Request and give loans for all services; it sends nothing itself."""

    def __init__(
        self, own_id: str, budget_of: Callable[[str], SharedRetryBudget], source: random.Random
    ) -> None:
        """Initialize with this instance's id, a getter of budgets and a random source."""
        self._own_id = own_id
        self._budget_of = budget_of
        self._source = source
        self._numbers = itertools.count(1)
        self._open: dict[int, _OpenRequest] = {}
        self._searches: dict[str, _Search] = {}

    def is_waiting(self, service: str, now: float) -> bool:
        """Return True if a peer may still answer."""
        self._expire_requests(now)
        return any(request.service == service for request in self._open.values())

    def ask(
        self, service: str, retries: float, peers: Sequence[str], now: float
    ) -> tuple[LoanRequest, ...]:
        """Return requests for a number of retries, to more peers from one round to the next.

        Empty while answers are outstanding, and where no peer is expected to have some left.
        """
        search = self._searches.setdefault(service, _Search())
        if self.is_waiting(service, now) or now < search.paused_until:
            return ()
        candidates = [peer for peer in peers if search.ask_again_at.get(peer, now) <= now]
        if not candidates:
            return ()
        if now - search.asked_at > ASK_AGAIN_S:
            search.fan_out = 1
        chosen = self._source.sample(candidates, min(search.fan_out, len(candidates)))
        search.fan_out = min(2 * search.fan_out, MAX_ASKED_AT_ONCE)
        search.asked_at = now
        each = max(retries / len(chosen), min(retries, 1.0))
        return tuple(self._request(service, peer, each, now) for peer in chosen)

    def handle_request(self, asked: RetryLoanAsked, now: float) -> RetryLoanGiven:
        """Answer a peer's request for a loan."""
        lent = self._budget_of(asked.service).lend(asked.retries, now)
        return RetryLoanGiven(self._own_id, asked.number, lent)

    def handle_answer(self, given: RetryLoanGiven, now: float) -> str:
        """Record a peer's answer; return the service, empty if the answer came too late."""
        request = self._open.pop(given.number, None)
        if request is None:
            return ""
        search = self._searches[request.service]
        if given.retries < request.retries:
            search.ask_again_at[request.peer] = now + ASK_AGAIN_S
        if given.retries:
            search.empty_answers = 0
            self._budget_of(request.service).add_loan(given.retries, request.at, now)
        else:
            self._record_empty(search, now)
        return request.service

    def _request(self, service: str, peer: str, retries: float, now: float) -> LoanRequest:
        """Return a new request to one peer."""
        number = next(self._numbers)
        self._open[number] = _OpenRequest(service, peer, retries, now)
        return LoanRequest(peer, RetryLoanAsked(self._own_id, number, service, retries))

    def _expire_requests(self, now: float) -> None:
        """Give up requests that were not answered in time."""
        for number, request in list(self._open.items()):
            if now - request.at >= ANSWER_TIMEOUT_S:
                del self._open[number]
                self._searches[request.service].ask_again_at[request.peer] = now + ASK_AGAIN_S

    @staticmethod
    def _record_empty(search: _Search, now: float) -> None:
        """Count an answer without a loan; pause after several in a row."""
        search.empty_answers += 1
        if search.empty_answers >= MAX_EMPTY_ANSWERS:
            search.empty_answers = 0
            search.paused_until = now + PAUSE_S
