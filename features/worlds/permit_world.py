"""Simulation of a fleet that shares the limit of one upstream, without a network.

Each instance has the product's allowances and denials, and a view of the live instances that
follows the fleet with a delay. A request is sent if its instance acquires a permit. Instances are
killed and restarted, paused, or partitioned from the others, but not from the upstream.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from functools import partial
from typing import Final

from driftstall.core import Instance
from driftstall.decisions.cold_starts import ColdPart, ColdSlots
from driftstall.decisions.instance_count import InstanceCount
from driftstall.decisions.locate import owner_of
from driftstall.decisions.permits import (
    Allowances,
    Denial,
    DenialTracker,
    SendNeed,
    Verdict,
    scaled_limit,
)
from driftstall.helpers.permits import NO_ANSWER_BACKOFF_S

UPSTREAM: Final = "u1"
HOP_S: Final = (0.0007, 0.004)
UPDATE_INTERVAL_S: Final = 0.15
SEEN_DEAD_S: Final = (1.0, 3.0)
"""Range of the delay until an instance detects that another one no longer answers."""
SEEN_ALIVE_S: Final = (0.05, 0.5)
FAULT_S: Final = (1.2, 5.5)
"""Range of the duration of a fault."""
WARM_UP_S: Final = 5.0
CONNECTED: Final = 0
SPLIT_OFF: Final = 1


class SharingMode(StrEnum):
    """Ways in which the instances share a limit."""

    ASKED = "one instance is asked"
    EVEN = "even parts"


class Fault(StrEnum):
    """Faults of instances."""

    NONE = "no fault"
    KILL = "kills"
    PAUSE = "pauses"
    CUT = "cuts"
    SPLIT = "splits"
    """Every second instance is partitioned from the rest; both halves reach the upstream."""


@dataclass(frozen=True, slots=True)
class PermitLoad:
    """The load and the faults of a simulated fleet."""

    instances: int = 8
    limit: float = 2.0
    """The upstream's limit in requests a second."""
    per_s: float = 30.0
    """Requests a second to the whole fleet."""
    max_wait_s: float = 0.0
    """Maximum wait of a request for a permit; zero if other upstreams can serve it."""
    fault: Fault = Fault.NONE
    fault_every_s: float = 4.0
    mode: SharingMode = SharingMode.ASKED
    seconds: float = 120.0
    lowered_limit: float = 0.0
    """The limit changes to this at half time; zero for never."""
    urgent_share: float = 0.0
    """Share of the requests with the first rank."""


@dataclass(slots=True)
class PermitOutcome:
    """Results of a simulation run."""

    sent_at: list[float] = field(default_factory=list)
    ranks: list[int] = field(default_factory=list)
    waits: list[float] = field(default_factory=list)
    uninformed_sends: int = 0
    """Sends of restarted instances that do not know the limit yet; not in sent_at."""
    permit_requests: int = 0

    def max_sends_within(
        self, window_s: float, since: float = 0.0, until: float = float("inf")
    ) -> int:
        """Return the highest number of sends within a window of time."""
        times = sorted(at for at in self.sent_at if since <= at < until)
        most, begin = 0, 0
        for end, at in enumerate(times):
            while at - times[begin] >= window_s:
                begin += 1
            most = max(most, end - begin + 1)
        return most

    def per_s(self, since: float, until: float) -> float:
        """Return the sends a second between two times."""
        return sum(since <= at < until for at in self.sent_at) / (until - since)


class _Member:
    """State of one instance, with its view of the live instances."""

    def __init__(self, name: str, source: random.Random) -> None:
        """Initialize with only this instance as live."""
        self.name = name
        self.allowances = Allowances()
        self.denied = DenialTracker()
        self.count = InstanceCount()
        self.slots = ColdSlots(source)
        self.live: set[str] = {name}
        self.knows_limit = False
        self.is_up = True
        self.side = CONNECTED
        """Instances with the same value reach each other."""


class PermitWorld:
    """Simulate one load with a random seed."""

    def __init__(self, load: PermitLoad, seed: int) -> None:
        """Initialize with instances that all know each other and the limit."""
        self._load = load
        self._source = random.Random(seed)
        self._limit = load.limit
        names = [f"i{number}" for number in range(load.instances)]
        self._members = {name: _Member(name, self._source) for name in names}
        for member in self._members.values():
            member.live, member.knows_limit = set(names), True
        self._records = {name: Instance(name, "", "", "a") for name in names}
        self._owners: dict[frozenset[str], str] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._now = 0.0
        self._sides = itertools.count(SPLIT_OFF)
        self.outcome = PermitOutcome()

    def play(self) -> PermitOutcome:
        """Run the simulation to the end."""
        for member in self._members.values():
            self._at(
                self._source.uniform(0.0, UPDATE_INTERVAL_S),
                partial(self._update_ownership, member),
            )
        self._at(WARM_UP_S, self._arrive)
        if self._load.fault is not Fault.NONE:
            self._at(WARM_UP_S + self._load.fault_every_s, self._inject_fault)
        if self._load.lowered_limit:
            self._at(self._load.seconds / 2, self._lower_limit)
        while self._queue and self._queue[0][0] <= self._load.seconds:
            self._now, _, act = heapq.heappop(self._queue)
            act()
        return self.outcome

    def _at(self, at: float, act: Callable[[], None]) -> None:
        """Schedule an action at a time."""
        heapq.heappush(self._queue, (at, self._source.getrandbits(62), act))

    def _later(self, within: tuple[float, float], act: Callable[[], None]) -> None:
        """Schedule an action after a random delay."""
        self._at(self._now + self._source.uniform(*within), act)

    # Work of the instances.

    def _owner(self, member: _Member) -> str:
        """Return the owner of the upstream in an instance's view."""
        live = frozenset(member.live)
        if live not in self._owners:
            found = owner_of(UPSTREAM, [self._records[name] for name in sorted(live)])
            assert found is not None
            self._owners[live] = found.instance_id
        return self._owners[live]

    def _update_ownership(self, member: _Member) -> None:
        """Update whether an instance owns the upstream, periodically."""
        if member.is_up:
            member.count.record(len(member.live), self._now)
            is_owner = self._owner(member) == member.name and member.knows_limit
            member.allowances.sync({UPSTREAM} if is_owner else set(), self._now)
        if self._members[member.name] is member:
            self._at(self._now + UPDATE_INTERVAL_S, lambda: self._update_ownership(member))

    def _arrive(self) -> None:
        """Send a request to a random running instance, and schedule the next one."""
        running = [member for member in self._members.values() if member.is_up]
        if running:
            rank = 0 if self._source.random() < self._load.urgent_share else 3
            self._ask(self._source.choice(running), rank)
        self._at(self._now + self._source.expovariate(self._load.per_s), self._arrive)

    def _ask(self, member: _Member, rank: int) -> None:
        """Let an instance acquire a permit for a request."""
        if not member.knows_limit:
            # The instance gets the limit from the response, or from peers before.
            self.outcome.uninformed_sends += 1
            return
        if self._load.mode is SharingMode.EVEN:
            part = ColdPart.of_instance(self._limit, member.count.value, placed=False)
            if not member.slots.wait_s(UPSTREAM, part, self._now):
                member.slots.take(UPSTREAM, part)
                self._send(rank, 0.0)
            return
        if member.denied.retry_in_s(UPSTREAM, self._now) > self._load.max_wait_s:
            return
        need = SendNeed(self._load.max_wait_s, rank)
        owner = self._members[self._owner(member)]
        self.outcome.permit_requests += 1
        if owner is member:
            self._handle_verdict(member, self._verdict(owner, need), rank)
        elif not self._is_reachable(member, owner):
            self._handle_verdict(member, Denial(NO_ANSWER_BACKOFF_S), rank)
        else:
            self._later(HOP_S, lambda: self._answer(member, owner, need, rank))

    def _is_reachable(self, member: _Member, other: _Member) -> bool:
        """Return True if another instance answers an instance's messages."""
        return other.is_up and member.side == other.side

    def _answer(self, member: _Member, owner: _Member, need: SendNeed, rank: int) -> None:
        """Send the owner's verdict to an instance."""
        verdict = self._verdict(owner, need)
        self._later(HOP_S, lambda: self._handle_verdict(member, verdict, rank))

    def _verdict(self, owner: _Member, need: SendNeed) -> Verdict:
        """Return the owner's verdict on a permit request."""
        per_s = scaled_limit(self._limit, len(owner.live), owner.count.value)
        return owner.allowances.ask(UPSTREAM, need, per_s, self._now)

    def _handle_verdict(self, member: _Member, verdict: Verdict, rank: int) -> None:
        """Let an instance send its request, or record the denial."""
        if isinstance(verdict, Denial):
            member.denied.record(UPSTREAM, verdict, self._now)
        elif member.is_up:
            wait_s = verdict.wait_s
            self._at(self._now + wait_s, lambda: self._send(rank, wait_s))

    def _send(self, rank: int, wait_s: float) -> None:
        """Count one send."""
        self.outcome.sent_at.append(self._now)
        self.outcome.ranks.append(rank)
        self.outcome.waits.append(wait_s)

    def _lower_limit(self) -> None:
        """Lower the upstream's limit."""
        self._limit = self._load.lowered_limit

    # Faults.

    def _inject_fault(self) -> None:
        """Inject a fault into one instance, half the time into the owner, and schedule the next."""
        running = [member for member in self._members.values() if member.is_up and not member.side]
        owners = [member for member in running if self._owner(member) == member.name]
        chosen = self._source.choice(owners if owners and self._source.random() < 0.5 else running)
        if self._load.fault is Fault.KILL:
            self._kill(chosen)
        elif self._load.fault is Fault.PAUSE:
            self._pause(chosen)
        elif self._load.fault is Fault.CUT:
            self._cut([chosen], next(self._sides))
        elif len(running) == self._load.instances:
            self._cut(running[::2], SPLIT_OFF)
        self._at(self._now + self._load.fault_every_s, self._inject_fault)

    def _others(self, member: _Member) -> list[_Member]:
        """Return all other instances."""
        return [other for other in self._members.values() if other.name != member.name]

    def _update_view(self, member: _Member, name: str) -> None:
        """Update an instance's view of whether another one is live."""
        if self._is_reachable(member, self._members[name]):
            member.live.add(name)
        else:
            member.live.discard(name)

    def _update_views(self, member: _Member, within: tuple[float, float]) -> None:
        """Schedule the updates of an instance's view of the others, and of theirs of it."""
        for other in self._others(member):
            self._later(within, partial(self._update_view, other, member.name))
            self._later(within, partial(self._update_view, member, other.name))

    def _kill(self, member: _Member) -> None:
        """Kill an instance, which is restarted later."""
        member.is_up = False
        self._update_views(member, SEEN_DEAD_S)
        self._later(FAULT_S, lambda: self._start(member.name))

    def _start(self, name: str) -> None:
        """Start an instance, which knows neither its peers nor the limit at first."""
        member = self._members[name] = _Member(name, self._source)
        self._update_ownership(member)
        self._later(SEEN_ALIVE_S, partial(setattr, member, "knows_limit", True))
        self._update_views(member, SEEN_ALIVE_S)

    def _pause(self, member: _Member) -> None:
        """Pause an instance; it keeps its state and its view."""
        member.is_up = False
        for other in self._others(member):
            self._later(SEEN_DEAD_S, partial(self._update_view, other, member.name))

        def resume() -> None:
            member.is_up = True
            self._update_views(member, SEEN_ALIVE_S)

        self._later(FAULT_S, resume)

    def _cut(self, members: list[_Member], side: int) -> None:
        """Partition instances from all others, but not from callers and the upstream."""
        for member in members:
            member.side = side
            self._update_views(member, SEEN_DEAD_S)

        def heal() -> None:
            for member in members:
                member.side = CONNECTED
                self._update_views(member, SEEN_ALIVE_S)

        self._later(FAULT_S, heal)
