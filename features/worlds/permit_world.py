"""Model a fleet that shares what an upstream with a limit takes, without a network.

Each instance holds the real books, and a view of who lives that changes some time after the fleet
does. Requests come to all; each is sent if its instance gets leave. Instances are killed and start
anew, stand still, or are cut off from all others, but not from the upstream.
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
TEND_S: Final = 0.15
SEEN_DEAD_S: Final = (1.0, 3.0)
"""When an instance notices that another one answers no more."""
SEEN_ALIVE_S: Final = (0.05, 0.5)
FAULT_S: Final = (1.2, 5.5)
"""How long a fault lasts."""
WARM_UP_S: Final = 5.0
CONNECTED: Final = 0
SPLIT_OFF: Final = 1


class SharingMode(StrEnum):
    """Name a way in which a limit is shared."""

    ASKED = "one instance is asked"
    EVEN = "even parts"


class Fault(StrEnum):
    """Name what becomes of an instance."""

    NONE = "no fault"
    KILL = "kills"
    PAUSE = "pauses"
    CUT = "cuts"
    SPLIT = "splits"
    """Every other instance is cut off from the rest; both halves reach the upstream."""


@dataclass(frozen=True, slots=True)
class PermitLoad:
    """Say what a modelled fleet goes through."""

    instances: int = 8
    limit: float = 2.0
    """Requests a second that the upstream takes."""
    per_s: float = 30.0
    """Requests of the whole fleet in a second."""
    most_wait_s: float = 0.0
    """How long each can wait for its turn; zero where peers of the upstream take it."""
    fault: Fault = Fault.NONE
    fault_every_s: float = 4.0
    way: SharingMode = SharingMode.ASKED
    seconds: float = 120.0
    falls_to: float = 0.0
    """The limit falls to this in the middle; zero for never."""
    urgent_share: float = 0.0
    """Part of the requests that come first."""


@dataclass(slots=True)
class PermitOutcome:
    """Hold what became of a run of the model."""

    sent_at: list[float] = field(default_factory=list)
    ranks: list[int] = field(default_factory=list)
    waits: list[float] = field(default_factory=list)
    uninformed_sends: int = 0
    """Sends of instances that have just started and know of no limit yet; counted apart."""
    permit_requests: int = 0

    def max_sends_within(
        self, window_s: float, since: float = 0.0, until: float = float("inf")
    ) -> int:
        """Return the most sends within a window."""
        times = sorted(at for at in self.sent_at if since <= at < until)
        most, begin = 0, 0
        for end, at in enumerate(times):
            while at - times[begin] >= window_s:
                begin += 1
            most = max(most, end - begin + 1)
        return most

    def per_s(self, since: float, until: float) -> float:
        """Return the sends a second within a time."""
        return sum(since <= at < until for at in self.sent_at) / (until - since)


class _Member:
    """Hold one instance: its books, and whom it believes to live."""

    def __init__(self, name: str, source: random.Random) -> None:
        """Start knowing nobody else."""
        self.name = name
        self.allowances = Allowances()
        self.denied = DenialTracker()
        self.count = InstanceCount()
        self.slots = ColdSlots(source)
        self.live: set[str] = {name}
        self.knows_limit = False
        self.is_up = True
        self.side = CONNECTED
        """Instances of one side reach each other."""


class PermitWorld:
    """Play one load from a seed."""

    def __init__(self, load: PermitLoad, seed: int) -> None:
        """Start with a fleet that knows itself and the limit."""
        self._load = load
        self._source = random.Random(seed)
        self._limit = load.limit
        names = [f"i{number}" for number in range(load.instances)]
        self._members = {name: _Member(name, self._source) for name in names}
        for one in self._members.values():
            one.live, one.knows_limit = set(names), True
        self._records = {name: Instance(name, "", "", "a") for name in names}
        self._owners: dict[frozenset[str], str] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._now = 0.0
        self._sides = itertools.count(SPLIT_OFF)
        self.outcome = PermitOutcome()

    def play(self) -> PermitOutcome:
        """Play to the end."""
        for one in self._members.values():
            self._at(self._source.uniform(0.0, TEND_S), partial(self._tend, one))
        self._at(WARM_UP_S, self._arrive)
        if self._load.fault is not Fault.NONE:
            self._at(WARM_UP_S + self._load.fault_every_s, self._harm)
        if self._load.falls_to:
            self._at(self._load.seconds / 2, self._fall)
        while self._queue and self._queue[0][0] <= self._load.seconds:
            self._now, _, act = heapq.heappop(self._queue)
            act()
        return self.outcome

    def _at(self, at: float, act: Callable[[], None]) -> None:
        """Have something done at a time."""
        heapq.heappush(self._queue, (at, self._source.getrandbits(62), act))

    def _later(self, within: tuple[float, float], act: Callable[[], None]) -> None:
        """Have something done after a drawn time."""
        self._at(self._now + self._source.uniform(*within), act)

    # What each instance does.

    def _owner(self, member: _Member) -> str:
        """Return whom an instance asks."""
        live = frozenset(member.live)
        if live not in self._owners:
            found = owner_of(UPSTREAM, [self._records[name] for name in sorted(live)])
            assert found is not None
            self._owners[live] = found.instance_id
        return self._owners[live]

    def _tend(self, member: _Member) -> None:
        """Let an instance look at what it answers for."""
        if member.is_up:
            member.count.record(len(member.live), self._now)
            mine = self._owner(member) == member.name and member.knows_limit
            member.allowances.sync({UPSTREAM} if mine else set(), self._now)
        if self._members[member.name] is member:
            self._at(self._now + TEND_S, lambda: self._tend(member))

    def _arrive(self) -> None:
        """Let one request come to an instance that runs, then the next one."""
        running = [one for one in self._members.values() if one.is_up]
        if running:
            rank = 0 if self._source.random() < self._load.urgent_share else 3
            self._ask(self._source.choice(running), rank)
        self._at(self._now + self._source.expovariate(self._load.per_s), self._arrive)

    def _ask(self, member: _Member, rank: int) -> None:
        """Let an instance get leave for a request."""
        if not member.knows_limit:
            # It learns of the limit by the answer, or from others before.
            self.outcome.uninformed_sends += 1
            return
        if self._load.way is SharingMode.EVEN:
            part = ColdPart.of_instance(self._limit, member.count.value, placed=False)
            if not member.slots.wait_s(UPSTREAM, part, self._now):
                member.slots.take(UPSTREAM, part)
                self._send(rank, 0.0)
            return
        if member.denied.retry_in_s(UPSTREAM, self._now) > self._load.most_wait_s:
            return
        need = SendNeed(self._load.most_wait_s, rank)
        owner = self._members[self._owner(member)]
        self.outcome.permit_requests += 1
        if owner is member:
            self._take(member, self._verdict(owner, need), rank)
        elif not self._reaches(member, owner):
            self._take(member, Denial(NO_ANSWER_BACKOFF_S), rank)
        else:
            self._later(HOP_S, lambda: self._answer(member, owner, need, rank))

    def _reaches(self, one: _Member, other: _Member) -> bool:
        """Tell whether a question is answered."""
        return other.is_up and one.side == other.side

    def _answer(self, member: _Member, owner: _Member, need: SendNeed, rank: int) -> None:
        """Let the one that was asked answer."""
        verdict = self._verdict(owner, need)
        self._later(HOP_S, lambda: self._take(member, verdict, rank))

    def _verdict(self, owner: _Member, need: SendNeed) -> Verdict:
        """Return what the one that was asked says."""
        per_s = scaled_limit(self._limit, len(owner.live), owner.count.value)
        return owner.allowances.ask(UPSTREAM, need, per_s, self._now)

    def _take(self, member: _Member, verdict: Verdict, rank: int) -> None:
        """Let an instance send, or remember when to ask again."""
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

    def _fall(self) -> None:
        """Let the limit fall."""
        self._limit = self._load.falls_to

    # Faults.

    def _harm(self) -> None:
        """Harm one instance, each second time the one that is asked, and mend it later."""
        running = [one for one in self._members.values() if one.is_up and not one.side]
        asked = [one for one in running if self._owner(one) == one.name]
        chosen = self._source.choice(asked if asked and self._source.random() < 0.5 else running)
        if self._load.fault is Fault.KILL:
            self._kill(chosen)
        elif self._load.fault is Fault.PAUSE:
            self._pause(chosen)
        elif self._load.fault is Fault.CUT:
            self._cut([chosen], next(self._sides))
        elif len(running) == self._load.instances:
            self._cut(running[::2], SPLIT_OFF)
        self._at(self._now + self._load.fault_every_s, self._harm)

    def _others(self, member: _Member) -> list[_Member]:
        """Return all but one."""
        return [one for one in self._members.values() if one.name != member.name]

    def _look(self, one: _Member, name: str) -> None:
        """Let an instance find out whether another one answers it."""
        if self._reaches(one, self._members[name]):
            one.live.add(name)
        else:
            one.live.discard(name)

    def _notice(self, member: _Member, within: tuple[float, float]) -> None:
        """Let the others find out about an instance, and it about them."""
        for other in self._others(member):
            self._later(within, partial(self._look, other, member.name))
            self._later(within, partial(self._look, member, other.name))

    def _kill(self, member: _Member) -> None:
        """End an instance; it starts anew later."""
        member.is_up = False
        self._notice(member, SEEN_DEAD_S)
        self._later(FAULT_S, lambda: self._start(member.name))

    def _start(self, name: str) -> None:
        """Start an instance that knows only itself at first."""
        member = self._members[name] = _Member(name, self._source)
        self._tend(member)
        self._later(SEEN_ALIVE_S, partial(setattr, member, "knows_limit", True))
        self._notice(member, SEEN_ALIVE_S)

    def _pause(self, member: _Member) -> None:
        """Let an instance stand still; what it knows stays as it was."""
        member.is_up = False
        for other in self._others(member):
            self._later(SEEN_DEAD_S, partial(self._look, other, member.name))

        def resume() -> None:
            member.is_up = True
            self._notice(member, SEEN_ALIVE_S)

        self._later(FAULT_S, resume)

    def _cut(self, members: list[_Member], side: int) -> None:
        """Cut instances off from all others, though not from callers and the upstream."""
        for one in members:
            one.side = side
            self._notice(one, SEEN_DEAD_S)

        def heal() -> None:
            for one in members:
                one.side = CONNECTED
                self._notice(one, SEEN_ALIVE_S)

        self._later(FAULT_S, heal)
