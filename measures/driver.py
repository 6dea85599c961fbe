"""Drive the grants controller and the engine model under a virtual clock.

One process, no threads, no wall clock: the same pure code as in the daemon takes
the events, the engine stand-in's model produces the tokens. Reports lag and cache
events come late and with gaps, as on the real engines.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

from driftstall.controllers.grant_messages import (
    Ask,
    CacheEvents,
    Close,
    GrantAction,
    Granted,
    GrantEvent,
    Progress,
    Refused,
    ResumeAsked,
    RunnerReport,
    RunnersChanged,
    Tick,
    YieldAsked,
)
from driftstall.core import PrefixMark, Request, Verdict
from measures.workload import Arrival
from stand_ins.engine_model import Engine, Generation

GROUP: Final = "base/0"
HOP_S: Final = 0.0015
"""One way between availability zones (brief)."""
TICK_S: Final = 0.05
PROGRESS_S: Final = 0.25
SIGN_OF_LIFE_S: Final = 5.0
REPORT_S: Final = 0.5
REPORT_LAG_S: Final = 0.5
CACHE_LAG_S: Final = 1.0
RETURNS: Final = 3
"""How often a refused caller comes back when told."""


@dataclass(slots=True)
class Served:
    """Hold what happened to one request."""

    arrival: Arrival
    first_asked: float
    asked: float
    turn: int = 0
    """How often it came back."""
    granted: float = -1.0
    first_token: float = -1.0
    last_token: float = -1.0
    gaps: list[float] = field(default_factory=list)
    finished: bool = False
    gave_up: bool = False
    yields: int = 0
    preempted: int = 0
    returned_refused: int = 0
    runner_id: str = ""


@dataclass(slots=True)
class ReportFaults:
    """Describe how bad the engines' word is."""

    report_lag_s: float = REPORT_LAG_S
    cache_gap: float = 0.1


class Driver:
    """Run one method over one workload."""

    def __init__(
        self,
        engines: dict[str, Engine],
        grants: Any,
        verdict_of: Callable[[Arrival], Verdict],
        *,
        lossy: ReportFaults | None = None,
        seed: int = 0,
    ) -> None:
        """Take the engines, the method and the policy's verdicts."""
        self._engines = engines
        self._grants = grants
        self._verdict_of = verdict_of
        self._lossy = lossy or ReportFaults()
        self._random = random.Random(seed)
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self.now = 0.0
        self._busy: set[str] = set()
        self.served: dict[str, Served] = {}
        self._followers: dict[str, list[Arrival]] = {}
        self._open: dict[str, str] = {}
        self._reported: dict[str, int] = {}
        self._arrivals_left = 0
        self.decisions = 0
        self.progress_s = PROGRESS_S

    def run(self, arrivals: list[Arrival], limit_s: float) -> dict[str, Served]:
        """Run until all requests have ended or the limit is reached."""
        runners = tuple(
            (name, engine.shape.memory_tokens, "") for name, engine in self._engines.items()
        )
        self._tell(RunnersChanged(GROUP, runners))
        for one in arrivals:
            if one.follows:
                self._followers.setdefault(one.follows, []).append(one)
            else:
                self._at(one.at, lambda one=one: self._arrive(one))  # type: ignore[misc]
        self._at(TICK_S, self._tick)
        self._at(PROGRESS_S, self._progress)
        self._at(REPORT_S, self._report)
        while self._heap:
            at, _, work = heapq.heappop(self._heap)
            if at > limit_s:
                break
            self.now = at
            work()
        return self.served

    def _at(self, at: float, work: Callable[[], None]) -> None:
        """Do something at a time."""
        self._sequence += 1
        heapq.heappush(self._heap, (at, self._sequence, work))

    def _tell(self, event: GrantEvent) -> None:
        """Hand an event to the method and carry out its actions."""
        self.decisions += 1
        for action in self._grants.handle(event, self.now):
            self._carry_out(action)

    def _carry_out(self, action: GrantAction) -> None:
        """Carry out one action after one hop."""
        if isinstance(action, Granted):
            self._at(self.now + HOP_S, lambda: self._granted(action))
        elif isinstance(action, Refused):
            self._refused(action)
        elif isinstance(action, YieldAsked):
            self._yield(action)
        elif isinstance(action, ResumeAsked):
            self._resume(action)

    def _arrive(self, arrival: Arrival) -> None:
        """Let a new request ask."""
        self.served[arrival.request_id] = Served(arrival, self.now, self.now)
        self._ask(arrival, "")

    def _ask(self, arrival: Arrival, ticket: str) -> None:
        """Ask for a grant."""
        served = self.served[arrival.request_id]
        served.asked = self.now
        request = Request(
            arrival.request_id,
            arrival.workspace,
            arrival.kind,
            "base",
            arrival.input_tokens,
            arrival.max_tokens,
            arrival.prefix,
            served.first_asked,
        )
        self._tell(Ask(GROUP, "entry", request, self._verdict_of(arrival), ticket))

    def _granted(self, action: Granted) -> None:
        """Start the generation on its engine."""
        served = self.served[action.request_id]
        served.granted = self.now
        served.runner_id = action.runner_id
        arrival = served.arrival
        generation = Generation(
            arrival.request_id,
            action.rank,
            arrival.input_tokens,
            arrival.output_tokens,
            arrival.prefix,
            arrival.reply,
        )
        self._open[arrival.request_id] = action.runner_id
        self._engines[action.runner_id].add(generation)
        self._wake(action.runner_id)

    def _refused(self, action: Refused) -> None:
        """Come back when told, a few times."""
        served = self.served[action.request_id]
        if served.turn:
            served.returned_refused += 1
        if served.turn >= RETURNS:
            served.gave_up = True
            return
        served.turn += 1
        ticket = action.ticket
        self._at(self.now + action.retry_after_s, lambda: self._ask(served.arrival, ticket))

    def _yield(self, action: YieldAsked) -> None:
        """Pause a generation."""
        self.served[action.request_id].yields += 1
        self._engines[action.runner_id].pause(action.request_id)

    def _resume(self, action: ResumeAsked) -> None:
        """Resume a generation."""
        self._engines[action.runner_id].resume(action.request_id)
        self._wake(action.runner_id)

    def _wake(self, name: str) -> None:
        """Let an idle engine step."""
        if name not in self._busy:
            self._busy.add(name)
            self._at(self.now, lambda: self._step(name))

    def _step(self, name: str) -> None:
        """Run one step of an engine; its tokens come at its end."""
        engine = self._engines[name]
        if engine.is_idle:
            self._busy.discard(name)
            return
        step = engine.step()
        ends = self.now + step.seconds
        self._cache_events(name, engine.drain_stored_prefixes(), step.evicted)
        for generation in step.tokens:
            self._token(generation, ends)
        for generation in step.finished:
            self._at(ends, lambda one=generation: self._finished(one))  # type: ignore[misc]
        self._at(ends, lambda: self._step(name))

    def _token(self, generation: Generation, at: float) -> None:
        """Note when a token comes."""
        served = self.served[generation.generation_id]
        if served.first_token < 0:
            served.first_token = at
        else:
            served.gaps.append(at - served.last_token)
        served.last_token = at

    def _finished(self, generation: Generation) -> None:
        """End a request and schedule what follows it."""
        name = generation.generation_id
        served = self.served[name]
        served.finished = True
        served.preempted = generation.preempted
        self._open.pop(name, None)
        self._tell(Close(GROUP, name, generation.produced, True, generation.reply))
        for follower in self._followers.get(name, ()):
            self._at(self.now + follower.pause_s, lambda one=follower: self._arrive(one))  # type: ignore[misc]

    def _tick(self) -> None:
        """Let time pass in the method."""
        self._tell(Tick())
        self._at(self.now + TICK_S, self._tick)

    def _progress(self) -> None:
        """Report progress in batches."""
        for name, runner_id in list(self._open.items()):
            generation = self._engines[runner_id].find(name)
            if generation is not None and (
                generation.produced > self._reported.get(name, 0) or self._signs_due()
            ):
                self._reported[name] = generation.produced
                self._tell(Progress(GROUP, name, generation.produced))
        self._at(self.now + self.progress_s, self._progress)

    def _signs_due(self) -> bool:
        """Tell whether every open grant is reported now, as entries do."""
        return int(self.now / PROGRESS_S) % int(SIGN_OF_LIFE_S / PROGRESS_S) == 0

    def _report(self) -> None:
        """Send the engines' lagging reports."""
        for name, engine in self._engines.items():
            report = RunnerReport(
                GROUP,
                name,
                engine.used_tokens,
                engine.shape.memory_tokens,
                len(engine.waiting),
                self.now,
            )
            lag = self._lossy.report_lag_s
            self._at(self.now + lag, lambda one=report: self._tell(one))  # type: ignore[misc]
        self._at(self.now + REPORT_S, self._report)

    def _cache_events(
        self, name: str, stored: tuple[tuple[PrefixMark, ...], ...], evicted: tuple[int, ...]
    ) -> None:
        """Send cache events late and with gaps."""
        kept = tuple(one for one in stored if self._random.random() >= self._lossy.cache_gap)
        gone = tuple(one for one in evicted if self._random.random() >= self._lossy.cache_gap)
        if kept or gone:
            event = CacheEvents(GROUP, name, kept, gone)
            self._at(self.now + CACHE_LAG_S, lambda: self._tell(event))
