"""Simulation of poison detection in a fleet in which some requests crash their engines.

Callers retry an interrupted request at a random instance. Each instance has its own evidence and
publishes it to the others; instances are killed and restarted, or partitioned for a while.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Final

from driftstall.decisions.poison_detection import PoisonTracker
from driftstall.decisions.poison_evidence import UNDER_WAY_S, Crash, PoisonReport
from driftstall.decisions.poison_subjects import PART_PREFIX, PoisonSubjects

END_S: Final = 60.0
FATAL_FROM_S: Final = 2.0
FIRST_EVENT_S: Final = 0.3
CRASH_S: Final = (0.05, 0.4)
"""Range of the time from the start of a fatal request to the crash of its engine."""
BACK_S: Final = 2.5
RETRY_S: Final = (0.1, 2.0)
CHAT_S: Final = (3.0, 10.0)
SUMMARY_S: Final = (0.3, 0.8)
CHAT_SHARE: Final = 0.4
UNDER_WAY_AFTER_S: Final = FIRST_EVENT_S + UNDER_WAY_S
KNOWN_ALIVE_S: Final = 0.5
"""Time until an engine is known to live after an unframed end: its next answer, or a probe."""
RARE_PART: Final = f"{PART_PREFIX}rare"
HOP_S: Final = (0.035, 0.08)
EXCHANGE_S: Final = 2.0


@dataclass(frozen=True, slots=True)
class Load:
    """The load and the faults of a simulated fleet."""

    engines: int = 5
    instances: int = 8
    per_s: float = 10.0
    """Ordinary requests a second."""
    distinct_requests: int = 0
    """Number of distinct ordinary requests; zero if each one is distinct."""
    fatal: int = 1
    """Number of fatal requests, each of which its caller repeats until the end."""
    fatal_gap_s: tuple[float, float] = (0.3, 4.0)
    kill_every_s: float = 0.0
    """Interval of restarts of an instance, which loses its evidence; zero for never."""
    cut_every_s: float = 0.0
    """Interval of partitions, each of one instance for four seconds; zero for never."""
    first_parts: int = 0
    """Number of first prompt parts that the requests share; zero for requests without parts. A
    fatal request is then new each time, and only has a part in common with others."""
    rare_share: float = 0.0
    """Share of ordinary requests that have the part that stands beside the fatal one."""
    are_unframed: bool = False
    """Whether an upstream must be known to live before a success at it counts."""


@dataclass(slots=True)
class Outcome:
    """Results of a simulation run."""

    ordinary: int = 0
    broken: int = 0
    """Ordinary runs interrupted by a crash."""
    refused: int = 0
    """Refused attempts of ordinary requests."""
    refused_requests: set[str] = field(default_factory=set)
    crashes: dict[str, list[float]] = field(default_factory=dict)
    """Times of engine crashes, by fatal request."""
    sends: dict[str, list[float]] = field(default_factory=dict)
    """Times of sends, by fatal request."""

    @property
    def max_crashes(self) -> int:
        """Return the highest number of crashes caused by one request."""
        return max((len(times) for times in self.crashes.values()), default=0)

    def late_sends(self, bound_s: float, crashes: int = 3) -> int:
        """Return the most sends of one request later than bound_s after its third crash.

        Another number of crashes may be given.
        """
        late = [0]
        for name, times in self.crashes.items():
            if len(times) >= crashes:
                bound = sorted(times)[crashes - 1] + bound_s
                late.append(sum(at > bound for at in self.sends[name]))
        return max(late)


@dataclass(slots=True)
class _Run:
    """A run of a request on an engine."""

    number: int
    name: str
    subjects: PoisonSubjects
    instance: int
    engine: int
    began: float
    ends: float
    is_over: bool = False


class PoisonWorld:
    """Simulate one load with a random seed."""

    def __init__(
        self, load: Load, seed: int, new_tracker: Callable[[], PoisonTracker] = PoisonTracker
    ) -> None:
        """Initialize with all engines and instances up; new_tracker creates a tracker."""
        self._load = load
        self._source = random.Random(seed)
        self._new_tracker = new_tracker
        self._trackers = [new_tracker() for _ in range(load.instances)]
        self._cut_until = [0.0] * load.instances
        self._starts = [0] * load.engines
        self._down_until = [0.0] * load.engines
        self._runs: list[set[int]] = [set() for _ in range(load.engines)]
        self._all: list[_Run] = []
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._now = 0.0
        self._fatal_requests = 0
        self.outcome = Outcome()

    def play(self) -> Outcome:
        """Run the simulation to the end."""
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
        """Schedule an action at a time."""
        heapq.heappush(self._queue, (at, self._source.getrandbits(62), act))

    def _after(self, within: tuple[float, float], act: Callable[[], None]) -> None:
        """Schedule an action after a random delay."""
        self._at(self._now + self._source.uniform(*within), act)

    def _repeat(self, every: float, act: Callable[[], None]) -> None:
        """Schedule an action at a fixed interval."""

        def once() -> None:
            act()
            self._at(self._now + every, once)

        self._at(self._now + every, once)

    def _arrive(self) -> None:
        """Send an ordinary request and schedule the next one."""
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
        """Send an ordinary request to a random instance."""
        instance = self._source.randrange(self._load.instances)
        subjects = self._ordinary_subjects(name)
        if self._trackers[instance].request_verdict(subjects, self._now).wait_s:
            self.outcome.refused += 1
            self.outcome.refused_requests.add(name)
            return
        run = self._begin(name, subjects, instance, lasts_s)
        if run is not None:
            self._at(run.ends, lambda: self._end(run))
            if subjects.parts and lasts_s > UNDER_WAY_AFTER_S:
                self._at(self._now + UNDER_WAY_AFTER_S, lambda: self._progress(run))

    def _ask_fatal(self, name: str) -> None:
        """Send a fatal request to a random instance, and schedule its repetition."""
        instance = self._source.randrange(self._load.instances)
        subjects = self._fatal_subjects(name)
        if not self._trackers[instance].request_verdict(subjects, self._now).wait_s:
            run = self._begin(name, subjects, instance, END_S)
            if run is not None:
                self.outcome.sends.setdefault(name, []).append(self._now)
                self._after(CRASH_S, lambda: self._crash(run))
        self._after(self._load.fatal_gap_s, lambda: self._ask_fatal(name))

    def _ordinary_subjects(self, name: str) -> PoisonSubjects:
        """Return the subjects of an ordinary request, the same for each attempt."""
        if not self._load.first_parts:
            return PoisonSubjects(name)
        number = int(name[1:])
        is_rare = number % 1000 < 1000 * self._load.rare_share
        first = f"{PART_PREFIX}f{number % self._load.first_parts}"
        return PoisonSubjects(name, (first, RARE_PART) if is_rare else (first,))

    def _fatal_subjects(self, name: str) -> PoisonSubjects:
        """Return the subjects of a fatal request, which is new each time if it has parts."""
        if not self._load.first_parts:
            return PoisonSubjects(name)
        self._fatal_requests += 1
        first = f"{PART_PREFIX}f{self._fatal_requests % self._load.first_parts}"
        beside = (RARE_PART,) if self._load.rare_share else ()
        request = f"{name}-{self._fatal_requests}"
        return PoisonSubjects(request, (first, *beside, f"{PART_PREFIX}{name}"))

    def _begin(
        self, name: str, subjects: PoisonSubjects, instance: int, lasts_s: float
    ) -> _Run | None:
        """Start a run on the engine with the fewest runs; return None if all engines are down."""
        up = [
            engine for engine in range(self._load.engines) if self._down_until[engine] <= self._now
        ]
        if not up:
            return None
        engine = min(up, key=lambda index: (len(self._runs[index]), self._source.random()))
        run = _Run(len(self._all), name, subjects, instance, engine, self._now, self._now + lasts_s)
        self._runs[engine].add(run.number)
        self._all.append(run)
        return run

    def _end(self, run: _Run) -> None:
        """End a run with success, unless it was interrupted."""
        if run.is_over:
            return
        run.is_over = True
        self._runs[run.engine].discard(run.number)
        if self._load.are_unframed:
            ended_at, starts = self._now, self._starts[run.engine]
            self._at(self._now + KNOWN_ALIVE_S, lambda: self._confirm(run, ended_at, starts))
        else:
            self._exonerate(run.instance, run.subjects.all, self._now)

    def _confirm(self, run: _Run, ended_at: float, starts: int) -> None:
        """Count an unframed end as a success if its engine has not crashed since."""
        if self._starts[run.engine] == starts:
            self._exonerate(run.instance, run.subjects.all, ended_at)

    def _progress(self, run: _Run) -> None:
        """Count a run that has produced events for a while as a success of its parts."""
        if not run.is_over:
            self._exonerate(run.instance, run.subjects.parts, self._now)

    def _exonerate(self, instance: int, subjects: tuple[str, ...], at: float) -> None:
        """Record successes at an instance, and publish them if that is news."""
        tracker = self._trackers[instance]
        if any([tracker.record_success(subject, at) for subject in subjects]):
            self._publish(instance)

    def _crash(self, fatal: _Run) -> None:
        """Crash an engine with all its runs."""
        if fatal.is_over:
            return
        engine = fatal.engine
        self.outcome.crashes.setdefault(fatal.name, []).append(self._now)
        upstream_id = f"e{engine}-{self._starts[engine]}"
        self._starts[engine] += 1
        self._down_until[engine] = self._now + BACK_S
        witnesses = set()
        for index in self._runs[engine]:
            run = self._all[index]
            run.is_over = True
            under_way = self._now - run.began >= FIRST_EVENT_S + UNDER_WAY_S
            crash = Crash(upstream_id, self._now, under_way)
            self._trackers[run.instance].record_run_crash(run.subjects, crash)
            witnesses.add(run.instance)
            if run is not fatal and not run.name.startswith("fatal"):
                self.outcome.broken += 1
                lasts_s = run.ends - run.began
                self._after(RETRY_S, partial(self._ask, run.name, lasts_s))
        self._runs[engine] = set()
        for instance in witnesses:
            self._publish(instance)

    def _publish(self, instance: int) -> None:
        """Send the evidence of an instance to all others."""
        for other in range(self._load.instances):
            if other != instance:
                self._send(instance, other)

    def _send(self, sender: int, receiver: int) -> None:
        """Send evidence to one instance; messages from or to a partitioned one are lost."""
        if max(self._cut_until[sender], self._cut_until[receiver]) > self._now:
            return
        reports = self._trackers[sender].reports(self._now)
        self._after(HOP_S, lambda: self._receive(receiver, reports))

    def _receive(self, receiver: int, reports: tuple[PoisonReport, ...]) -> None:
        """Merge the evidence of another instance."""
        self._trackers[receiver].merge(reports, self._now)

    def _exchange(self) -> None:
        """Let each instance exchange its evidence with a random one."""
        for instance in range(self._load.instances):
            other = self._source.randrange(self._load.instances)
            if other != instance:
                self._send(instance, other)
                self._send(other, instance)
        self._at(self._now + EXCHANGE_S, self._exchange)

    def _kill(self) -> None:
        """Restart an instance without evidence; others send it theirs within a second."""
        instance = self._source.randrange(self._load.instances)
        self._trackers[instance] = self._new_tracker()
        for other in self._source.sample(range(self._load.instances), 2):
            if other != instance:
                self._at(
                    self._now + self._source.uniform(0.5, 1.0),
                    partial(self._send, other, instance),
                )

    def _cut(self) -> None:
        """Partition an instance from all others for four seconds."""
        self._cut_until[self._source.randrange(self._load.instances)] = self._now + 4.0
