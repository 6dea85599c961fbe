"""Model a fleet in which some requests crash the engines that run them, without a network.

Callers ask again, at any instance, when their request breaks off. Each instance holds a book of its
own and tells the others; some are killed and start anew, or are cut off for a while.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Final

from driftstall.decisions.poison_detection import UNDER_WAY_S, BlameTold, Crash, PoisonTracker

END_S: Final = 60.0
FATAL_FROM_S: Final = 2.0
FIRST_EVENT_S: Final = 0.3
CRASH_S: Final = (0.05, 0.4)
"""How long after it has begun a fatal request crashes its engine."""
BACK_S: Final = 2.5
RETRY_S: Final = (0.1, 2.0)
CHAT_S: Final = (3.0, 10.0)
SUMMARY_S: Final = (0.3, 0.8)
CHAT_SHARE: Final = 0.4
HOP_S: Final = (0.035, 0.08)
EXCHANGE_S: Final = 2.0


@dataclass(frozen=True, slots=True)
class Load:
    """Say what a modelled fleet goes through."""

    engines: int = 5
    instances: int = 8
    per_s: float = 10.0
    """Ordinary requests in a second."""
    distinct_requests: int = 0
    """Different requests among the ordinary ones; zero for all different."""
    fatal: int = 1
    """Fatal requests, each with a caller who comes again and again."""
    fatal_gap_s: tuple[float, float] = (0.3, 4.0)
    kill_every_s: float = 0.0
    """Pause after which an instance loses all it knows; zero for never."""
    cut_every_s: float = 0.0
    """Pause after which an instance hears and tells nothing for four seconds."""


@dataclass(slots=True)
class Outcome:
    """Count what became of a run of the model."""

    ordinary: int = 0
    broken: int = 0
    """Ordinary runs that broke off."""
    refused: int = 0
    """Ordinary requests that were refused, each counted once an attempt."""
    refused_requests: set[str] = field(default_factory=set)
    crashes: dict[str, list[float]] = field(default_factory=dict)
    """When engines crashed, by fatal request."""
    sends: dict[str, list[float]] = field(default_factory=dict)
    """When fatal requests were sent."""

    @property
    def max_crashes(self) -> int:
        """Return the most engines that one request has crashed."""
        return max((len(one) for one in self.crashes.values()), default=0)

    def late_sends(self, bound_s: float) -> int:
        """Return the most sends of one request later than a time after its third crash."""
        late = [0]
        for name, times in self.crashes.items():
            if len(times) >= 3:
                bound = sorted(times)[2] + bound_s
                late.append(sum(at > bound for at in self.sends[name]))
        return max(late)


@dataclass(slots=True)
class _Run:
    """Hold one run on an engine."""

    number: int
    fingerprint: str
    instance: int
    engine: int
    began: float
    ends: float
    is_over: bool = False


class PoisonWorld:
    """Play one load from a seed."""

    def __init__(
        self, load: Load, seed: int, book: Callable[[], PoisonTracker] = PoisonTracker
    ) -> None:
        """Start with all engines and instances up; book makes an instance's book."""
        self._load = load
        self._source = random.Random(seed)
        self._new_book = book
        self._books = [book() for _ in range(load.instances)]
        self._cut_until = [0.0] * load.instances
        self._starts = [0] * load.engines
        self._down_until = [0.0] * load.engines
        self._runs: list[set[int]] = [set() for _ in range(load.engines)]
        self._all: list[_Run] = []
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._now = 0.0
        self.outcome = Outcome()

    def play(self) -> Outcome:
        """Play to the end."""
        self._at(0.0, self._arrive)
        for number in range(self._load.fatal):
            self._at(FATAL_FROM_S + number, partial(self._ask_fatal, f"fatal-{number}"))
        self._at(EXCHANGE_S, self._exchange)
        for every, act in (
            (self._load.kill_every_s, self._kill),
            (self._load.cut_every_s, self._cut),
        ):
            if every:
                self._repeat(every, act)
        while self._queue and self._queue[0][0] <= END_S:
            self._now, _, act = heapq.heappop(self._queue)
            act()
        return self.outcome

    def _at(self, at: float, act: Callable[[], None]) -> None:
        """Have something done at a time."""
        heapq.heappush(self._queue, (at, self._source.getrandbits(62), act))

    def _after(self, within: tuple[float, float], act: Callable[[], None]) -> None:
        """Have something done after a drawn time."""
        self._at(self._now + self._source.uniform(*within), act)

    def _repeat(self, every: float, act: Callable[[], None]) -> None:
        """Do something again and again."""

        def once() -> None:
            act()
            self._at(self._now + every, once)

        self._at(self._now + every, once)

    def _arrive(self) -> None:
        """Let one ordinary request come, then the next."""
        self.outcome.ordinary += 1
        number = self.outcome.ordinary
        name = (
            f"r{number % self._load.distinct_requests}"
            if self._load.distinct_requests
            else f"r{number}"
        )
        is_chat = self._source.random() < CHAT_SHARE
        self._ask(name, self._source.uniform(*(CHAT_S if is_chat else SUMMARY_S)))
        self._at(self._now + self._source.expovariate(self._load.per_s), self._arrive)

    def _ask(self, name: str, lasts_s: float) -> None:
        """Let an ordinary request come to some instance."""
        instance = self._source.randrange(self._load.instances)
        if self._books[instance].verdict(name, self._now).wait_s:
            self.outcome.refused += 1
            self.outcome.refused_requests.add(name)
            return
        run = self._begin(name, instance, lasts_s)
        if run is not None:
            self._at(run.ends, lambda: self._end(run))

    def _ask_fatal(self, name: str) -> None:
        """Let a fatal request come to some instance, and come again later."""
        instance = self._source.randrange(self._load.instances)
        if not self._books[instance].verdict(name, self._now).wait_s:
            run = self._begin(name, instance, END_S)
            if run is not None:
                self.outcome.sends.setdefault(name, []).append(self._now)
                self._after(CRASH_S, lambda: self._crash(run))
        self._after(self._load.fatal_gap_s, lambda: self._ask_fatal(name))

    def _begin(self, name: str, instance: int, lasts_s: float) -> _Run | None:
        """Begin a run on the engine with the fewest runs."""
        up = [one for one in range(self._load.engines) if self._down_until[one] <= self._now]
        if not up:
            return None
        engine = min(up, key=lambda one: (len(self._runs[one]), self._source.random()))
        run = _Run(len(self._all), name, instance, engine, self._now, self._now + lasts_s)
        self._runs[engine].add(run.number)
        self._all.append(run)
        return run

    def _end(self, run: _Run) -> None:
        """End a run well, unless it has broken off."""
        if run.is_over:
            return
        run.is_over = True
        self._runs[run.engine].discard(run.number)
        if self._books[run.instance].record_success(run.fingerprint, self._now):
            self._tell(run.instance)

    def _crash(self, fatal: _Run) -> None:
        """End an engine with all that runs there."""
        if fatal.is_over:
            return
        engine = fatal.engine
        self.outcome.crashes.setdefault(fatal.fingerprint, []).append(self._now)
        upstream_id = f"e{engine}-{self._starts[engine]}"
        self._starts[engine] += 1
        self._down_until[engine] = self._now + BACK_S
        tellers = set()
        for index in self._runs[engine]:
            run = self._all[index]
            run.is_over = True
            under_way = self._now - run.began >= FIRST_EVENT_S + UNDER_WAY_S
            crash = Crash(upstream_id, self._now, under_way)
            self._books[run.instance].record_crash(run.fingerprint, crash)
            tellers.add(run.instance)
            if run is not fatal and not run.fingerprint.startswith("fatal"):
                self.outcome.broken += 1
                lasts_s = run.ends - run.began
                self._after(RETRY_S, partial(self._ask, run.fingerprint, lasts_s))
        self._runs[engine] = set()
        for instance in tellers:
            self._tell(instance)

    def _tell(self, instance: int) -> None:
        """Tell all other instances what one knows."""
        for other in range(self._load.instances):
            if other != instance:
                self._send(instance, other)

    def _send(self, sender: int, receiver: int) -> None:
        """Tell one other instance; word from or to one that is cut off is lost."""
        if max(self._cut_until[sender], self._cut_until[receiver]) > self._now:
            return
        told = self._books[sender].reports(self._now)
        self._after(HOP_S, lambda: self._take(receiver, told))

    def _take(self, receiver: int, told: tuple[BlameTold, ...]) -> None:
        """Let an instance hear of another one."""
        self._books[receiver].merge(told, self._now)

    def _exchange(self) -> None:
        """Let each instance exchange what it knows with another one."""
        for instance in range(self._load.instances):
            other = self._source.randrange(self._load.instances)
            if other != instance:
                self._send(instance, other)
                self._send(other, instance)
        self._at(self._now + EXCHANGE_S, self._exchange)

    def _kill(self) -> None:
        """Let an instance start anew; others tell it within a second."""
        instance = self._source.randrange(self._load.instances)
        self._books[instance] = self._new_book()
        for other in self._source.sample(range(self._load.instances), 2):
            if other != instance:
                self._at(
                    self._now + self._source.uniform(0.5, 1.0),
                    partial(self._send, other, instance),
                )

    def _cut(self) -> None:
        """Cut an instance off for four seconds."""
        self._cut_until[self._source.randrange(self._load.instances)] = self._now + 4.0
