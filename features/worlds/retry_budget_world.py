"""A fleet of retry budgets in simulated time, with late and lost messages, kills and partitions."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from functools import partial
from typing import Final

from driftstall.decisions.instance_count import InstanceCount
from driftstall.gateway.model import Bounds
from driftstall.gateway.retry_budget.budgets import LOAN_WAIT_S
from driftstall.gateway.retry_budget.lending import LoanBroker
from driftstall.gateway.retry_budget.messages import RetryLoanAsked, RetryLoanGiven
from driftstall.gateway.retry_budget.shared_budget import (
    LOAN_CHARGED_S,
    RetryReservation,
    SharedRetryBudget,
)
from soak.budget_checks import BudgetWindow, find_worst_window

WARM_UP_S: Final = 14.0
"""Time of plain traffic before the disturbance."""
DISTURBED_S: Final = 14.0
WANT_INTERVAL_S: Final = 0.1
"""Mean time between two requests of an instance that want a retry."""
BURST_WANTS: Final = 40
BURST_S: Final = 0.05
LOST_SHARE: Final = 0.1
LATE_SHARE: Final = 0.2
MAX_SEND_S: Final = 0.5
"""Longest time from the reservation of a retry until it is sent."""
UNSENT_SHARE: Final = 0.1


class Disturbance(StrEnum):
    """What happens to the fleet while its requests need retries."""

    BURST = "a burst at all instances"
    STEADY = "steady demand at all instances"
    ALONE = "steady demand at one instance"
    KILLS = "half of the instances killed each 4 s"
    HERD = "all instances killed twice"
    PARTITION = "halves that do not reach each other"
    FREEZES = "a third of the instances frozen by turns"
    JOINS = "a fifth of the instances starting meanwhile"


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The size of a fleet, its traffic and the retries allowed beside the ratio."""

    instances: int
    requests_per_s: float
    extra: float


def connect(group: list[SharedRetryBudget]) -> list[LoanBroker]:
    """Return a broker for each instance of a group."""

    def budget_of(index: int, _: str) -> SharedRetryBudget:
        """Return the budget of an instance."""
        return group[index]

    return [
        LoanBroker(str(index), partial(budget_of, index), random.Random(index))
        for index in range(len(group))
    ]


def take(budget: SharedRetryBudget, now: float) -> bool:
    """Reserve a retry and send it at once."""
    reservation = budget.try_reserve(now)
    if reservation is not None:
        budget.confirm(reservation, now)
    return reservation is not None


def take_or_borrow(
    group: list[SharedRetryBudget], brokers: list[LoanBroker], place: int, now: float
) -> bool:
    """Take a retry at one instance, with loans of the others of its group if need be."""
    others = [str(index) for index in range(len(group)) if index != place]
    while not take(group[place], now):
        requests = brokers[place].ask("s", 1 - group[place].available(now), others, now)
        if not requests:
            return False
        for request in requests:
            given = brokers[int(request.peer)].handle_request(request.message, now)
            brokers[place].handle_answer(given, now)
    return True


class ModelInstance:
    """One life of one instance."""

    def __init__(
        self, place: int, bounds: Bounds, instances: int, started_at: float, source: random.Random
    ) -> None:
        """Start with an empty window; an instance had predecessors unless it starts at zero."""
        self.place = place
        count = InstanceCount()
        count.record(instances, 0.0)
        full_share_from = started_at + bounds.retry_window_s + LOAN_CHARGED_S if started_at else 0.0
        self.budget = SharedRetryBudget("s", bounds, count, full_share_from=full_share_from)
        self.broker = LoanBroker(str(place), lambda _: self.budget, source)
        self.frozen_until = 0.0
        self.waiting: list[float] = []
        """When the requests that wait for loans give up."""


class RetryBudgetWorld:
    """Play one disturbance of one fleet; times are seconds from the start."""

    def __init__(
        self, seed: int, size: FleetSize, disturbance: Disturbance, *, is_lossy: bool = True
    ) -> None:
        """Initialize the fleet; the same seed gives the same run."""
        self._is_lossy = is_lossy
        self._source = random.Random(f"{seed} {size} {disturbance}")
        self._size = size
        self._disturbance = disturbance
        self._bounds = Bounds(retry_ratio=0.2, retry_extra=size.extra, retry_window_s=10.0)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._now = 0.0
        self._is_split = False
        self._live: dict[int, ModelInstance] = {}
        self._requests: list[float] = []
        self._retries: list[float] = []
        joining = size.instances // 5 if disturbance is Disturbance.JOINS else 0
        for place in range(size.instances - joining):
            self._start(place)
        for place in range(size.instances - joining, size.instances):
            self._at(WARM_UP_S + self._source.uniform(0, 5), self._start, place)

    def play(self) -> BudgetWindow:
        """Play the run; return the window with the largest used share of the budget."""
        self._at(0.0, self._request)
        self._schedule_disturbance()
        while self._events and self._now <= WARM_UP_S + DISTURBED_S:
            self._now, _, act = heapq.heappop(self._events)
            act()
        return find_worst_window(self._requests, self._retries, self._bounds)

    def _at(self, at: float, act: Callable[..., None], *arguments: object) -> None:
        """Schedule a call."""
        heapq.heappush(self._events, (at, next(self._numbers), lambda: act(*arguments)))

    def _start(self, place: int) -> None:
        """Start an instance, also after its end."""
        life = ModelInstance(place, self._bounds, self._size.instances, self._now, self._source)
        self._live[place] = life

    def _kill(self, place: int, down_s: float) -> None:
        """End an instance and start it again."""
        if self._live.pop(place, None) is not None:
            self._at(self._now + down_s, self._start, place)

    def _freeze(self, place: int, for_s: float) -> None:
        """Stop an instance for a time."""
        if place in self._live:
            self._live[place].frozen_until = self._now + for_s

    def _request(self) -> None:
        """Send a request to a random instance, and schedule the next."""
        self._at(
            self._now + self._source.expovariate(self._size.requests_per_s),
            self._request,
        )
        self._requests.append(self._now)
        life = self._pick()
        if life is not None:
            life.budget.record_request(self._now)

    def _pick(self) -> ModelInstance | None:
        """Return a random instance; None if it does not run."""
        life = self._live.get(self._source.randrange(self._size.instances))
        return None if life is None or life.frozen_until > self._now else life

    # Demand.

    def _schedule_disturbance(self) -> None:
        """Schedule the disturbance and the demand for retries."""
        source, places = self._source, range(self._size.instances)
        if self._disturbance is Disturbance.BURST:
            for place in places:
                for _ in range(BURST_WANTS):
                    self._at(WARM_UP_S + source.uniform(0, BURST_S), self._want, place)
            return
        demanding = [0] if self._disturbance is Disturbance.ALONE else places
        for place in demanding:
            self._at(WARM_UP_S + source.uniform(0, 1), self._want_repeatedly, place)
        if self._disturbance is Disturbance.KILLS:
            for at in (1.0, 5.0, 9.0):
                for place in source.sample(places, len(places) // 2):
                    self._at(WARM_UP_S + at, self._kill, place, source.uniform(0.3, 1.5))
        elif self._disturbance is Disturbance.HERD:
            for at in (2.0, 6.0):
                for place in places:
                    self._at(WARM_UP_S + at, self._kill, place, source.uniform(0.3, 1.5))
        elif self._disturbance is Disturbance.PARTITION:
            self._at(WARM_UP_S + source.uniform(-3, 2), self._split)
        elif self._disturbance is Disturbance.FREEZES:
            for at in range(0, 14, 3):
                for place in source.sample(places, len(places) // 3):
                    self._at(WARM_UP_S + at, self._freeze, place, source.uniform(0.5, 4))

    def _split(self) -> None:
        """Part the fleet into halves."""
        self._is_split = True

    def _want_repeatedly(self, place: int) -> None:
        """Want a retry at an instance, and schedule the next."""
        self._want(place)
        gap_s = self._source.expovariate(1 / WANT_INTERVAL_S)
        if self._disturbance is Disturbance.ALONE:
            gap_s /= self._size.instances
        self._at(self._now + gap_s, self._want_repeatedly, place)

    def _want(self, place: int) -> None:
        """Send a retry if the instance's budget allows one."""
        life = self._live.get(place)
        if life is None or life.frozen_until > self._now:
            return
        life.waiting.append(self._now + LOAN_WAIT_S)
        self._serve_waiting(life)

    def _serve_waiting(self, life: ModelInstance) -> None:
        """Send the retries that the budget allows; ask for loans for the others."""
        if self._live.get(life.place) is not life or life.frozen_until > self._now:
            return
        life.waiting = [until for until in life.waiting if until >= self._now]
        while life.waiting and (reservation := life.budget.try_reserve(self._now)) is not None:
            life.waiting.pop(0)
            sent_at = self._now + self._source.uniform(0.0, MAX_SEND_S)
            self._at(sent_at, self._send_retry, life, reservation)
        if not life.waiting:
            return
        wanted = len(life.waiting) - life.budget.available(self._now)
        peers = [str(other.place) for other in self._live.values() if other is not life]
        for request in life.broker.ask("s", wanted, peers, self._now):
            self._send(life, int(request.peer), request.message)
            self._at(self._now + LOAN_WAIT_S / 2, self._serve_waiting, life)
        if not life.broker.is_waiting("s", self._now):
            life.waiting.clear()

    def _send_retry(self, life: ModelInstance, reservation: RetryReservation) -> None:
        """Send a reserved retry once its connection is open, unless it can't be opened."""
        if self._live.get(life.place) is not life:
            return
        if self._source.random() < UNSENT_SHARE:
            life.budget.release(reservation, self._now)
            return
        life.budget.confirm(reservation, self._now)
        self._retries.append(self._now)

    # Messages.

    def _send(
        self, sender: ModelInstance, place: int, message: RetryLoanAsked | RetryLoanGiven
    ) -> None:
        """Deliver a message, sometimes late or not at all."""
        recipient = self._live.get(place)
        if recipient is None or (self._is_lossy and self._source.random() < LOST_SHARE):
            return
        if not self._reaches(sender, recipient):
            return
        delay_s = self._source.uniform(0.001, 0.01)
        if self._is_lossy and self._source.random() < LATE_SHARE:
            delay_s += self._source.uniform(0.0, 3.0)
        self._at(
            max(self._now + delay_s, recipient.frozen_until), self._receive, recipient, message
        )

    def _receive(self, life: ModelInstance, message: RetryLoanAsked | RetryLoanGiven) -> None:
        """Handle a message, unless its recipient has ended."""
        if self._live.get(life.place) is not life:
            return
        if isinstance(message, RetryLoanAsked):
            answer = life.broker.handle_request(message, self._now)
            self._send(life, int(message.sender), answer)
        elif life.broker.handle_answer(message, self._now):
            self._serve_waiting(life)

    def _reaches(self, sender: ModelInstance, recipient: ModelInstance) -> bool:
        """Return False between the halves of a partitioned fleet."""
        return not self._is_split or sender.place % 2 == recipient.place % 2
