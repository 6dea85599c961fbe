"""Discrete-event simulation of a grants controller and model engines.

It runs in one thread with a virtual clock: the events go to the same pure code as in the daemon,
and the model of the engine stand-in generates the tokens. Reports of engines lag, and cache events
are late and incomplete, as with real engines.
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
"""One-way latency between availability zones."""
TICK_S: Final = 0.05
PROGRESS_S: Final = 0.25
KEEPALIVE_S: Final = 5.0
REPORT_S: Final = 0.5
REPORT_LAG_S: Final = 0.5
CACHE_LAG_S: Final = 1.0
MAX_RETRIES: Final = 3
"""Maximum number of times that a refused caller retries at the time given by Retry-After."""


@dataclass(slots=True)
class Served:
    """The course of one request; a time is negative if the event has not occurred."""

    arrival: Arrival
    first_asked: float
    asked: float
    retries: int = 0
    granted: float = -1.0
    first_token: float = -1.0
    last_token: float = -1.0
    gaps: list[float] = field(default_factory=list)
    is_finished: bool = False
    has_given_up: bool = False
    yields: int = 0
    preempted: int = 0
    refused_retries: int = 0
    runner_id: str = ""


@dataclass(slots=True)
class ReportFaults:
    """Faults of the engines' reports: their lag, and the share of cache events that is lost."""

    report_lag_s: float = REPORT_LAG_S
    cache_gap: float = 0.1


class Driver:
    """Run one scheduling method over one workload."""

    def __init__(
        self,
        engines: dict[str, Engine],
        grants: Any,
        verdict_of: Callable[[Arrival], Verdict],
        *,
        report_faults: ReportFaults | None = None,
        seed: int = 0,
    ) -> None:
        """Initialize; grants is the method, verdict_of returns the policy's verdict."""
        self._engines = engines
        self._grants = grants
        self._verdict_of = verdict_of
        self._report_faults = report_faults or ReportFaults()
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
        self._handle(RunnersChanged(GROUP, runners))
        for arrival in arrivals:
            if arrival.follows:
                self._followers.setdefault(arrival.follows, []).append(arrival)
            else:
                self._at(arrival.at, lambda arrival=arrival: self._arrive(arrival))  # type: ignore[misc]
        self._at(TICK_S, self._tick)
        self._at(PROGRESS_S, self._report_progress)
        self._at(REPORT_S, self._report_engines)
        while self._heap:
            at, _, work = heapq.heappop(self._heap)
            if at > limit_s:
                break
            self.now = at
            work()
        return self.served

    def _at(self, at: float, work: Callable[[], None]) -> None:
        """Schedule a call at a virtual time."""
        self._sequence += 1
        heapq.heappush(self._heap, (at, self._sequence, work))

    def _handle(self, event: GrantEvent) -> None:
        """Pass an event to the method and execute the actions that it returns."""
        self.decisions += 1
        for action in self._grants.handle(event, self.now):
            self._execute(action)

    def _execute(self, action: GrantAction) -> None:
        """Execute an action; a grant takes one hop to arrive."""
        if isinstance(action, Granted):
            self._at(self.now + HOP_S, lambda: self._start(action))
        elif isinstance(action, Refused):
            self._schedule_retry(action)
        elif isinstance(action, YieldAsked):
            self._pause(action)
        elif isinstance(action, ResumeAsked):
            self._resume(action)

    def _arrive(self, arrival: Arrival) -> None:
        """Request a grant for a new request."""
        self.served[arrival.request_id] = Served(arrival, self.now, self.now)
        self._request_grant(arrival, "")

    def _request_grant(self, arrival: Arrival, ticket: str) -> None:
        """Request a grant, with the ticket of an earlier refusal if there is one."""
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
        self._handle(Ask(GROUP, "entry", request, self._verdict_of(arrival), ticket))

    def _start(self, action: Granted) -> None:
        """Start a granted generation on its engine."""
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

    def _schedule_retry(self, action: Refused) -> None:
        """Retry a refused request at the time given, or give up after MAX_RETRIES."""
        served = self.served[action.request_id]
        if served.retries:
            served.refused_retries += 1
        if served.retries >= MAX_RETRIES:
            served.has_given_up = True
            return
        served.retries += 1
        ticket = action.ticket
        self._at(
            self.now + action.retry_after_s, lambda: self._request_grant(served.arrival, ticket)
        )

    def _pause(self, action: YieldAsked) -> None:
        """Pause a generation."""
        self.served[action.request_id].yields += 1
        self._engines[action.runner_id].pause(action.request_id)

    def _resume(self, action: ResumeAsked) -> None:
        """Resume a generation."""
        self._engines[action.runner_id].resume(action.request_id)
        self._wake(action.runner_id)

    def _wake(self, name: str) -> None:
        """Start stepping an engine unless it is already stepping."""
        if name not in self._busy:
            self._busy.add(name)
            self._at(self.now, lambda: self._step(name))

    def _step(self, name: str) -> None:
        """Run one step of an engine; its tokens arrive at the end of the step."""
        engine = self._engines[name]
        if engine.is_idle:
            self._busy.discard(name)
            return
        step = engine.step()
        ends = self.now + step.seconds
        self._send_cache_events(name, engine.drain_stored_prefixes(), step.evicted)
        for generation in step.tokens:
            self._record_token(generation, ends)
        for generation in step.finished:
            self._at(ends, lambda generation=generation: self._finish(generation))  # type: ignore[misc]
        self._at(ends, lambda: self._step(name))

    def _record_token(self, generation: Generation, at: float) -> None:
        """Record the arrival of a token, and its gap to the one before."""
        served = self.served[generation.generation_id]
        if served.first_token < 0:
            served.first_token = at
        else:
            served.gaps.append(at - served.last_token)
        served.last_token = at

    def _finish(self, generation: Generation) -> None:
        """Close the grant of a finished request, and schedule the requests that follow it."""
        name = generation.generation_id
        served = self.served[name]
        served.is_finished = True
        served.preempted = generation.preempted
        self._open.pop(name, None)
        self._handle(Close(GROUP, name, generation.produced, True, generation.reply))
        for follower in self._followers.get(name, ()):
            self._at(self.now + follower.pause_s, lambda follower=follower: self._arrive(follower))  # type: ignore[misc]

    def _tick(self) -> None:
        """Send a tick to the method periodically."""
        self._handle(Tick())
        self._at(self.now + TICK_S, self._tick)

    def _report_progress(self) -> None:
        """Report the progress of open generations periodically."""
        for name, runner_id in list(self._open.items()):
            generation = self._engines[runner_id].find(name)
            if generation is not None and (
                generation.produced > self._reported.get(name, 0) or self._is_keepalive_due()
            ):
                self._reported[name] = generation.produced
                self._handle(Progress(GROUP, name, generation.produced))
        self._at(self.now + self.progress_s, self._report_progress)

    def _is_keepalive_due(self) -> bool:
        """Return True if all open grants are reported now as a keepalive, as entries do."""
        return int(self.now / PROGRESS_S) % int(KEEPALIVE_S / PROGRESS_S) == 0

    def _report_engines(self) -> None:
        """Send the engines' reports periodically, with their lag."""
        for name, engine in self._engines.items():
            report = RunnerReport(
                GROUP,
                name,
                engine.used_tokens,
                engine.shape.memory_tokens,
                len(engine.waiting),
                self.now,
            )
            lag = self._report_faults.report_lag_s
            self._at(self.now + lag, lambda report=report: self._handle(report))  # type: ignore[misc]
        self._at(self.now + REPORT_S, self._report_engines)

    def _send_cache_events(
        self, name: str, stored: tuple[tuple[PrefixMark, ...], ...], evicted: tuple[int, ...]
    ) -> None:
        """Send cache events with their lag; each is lost with probability cache_gap."""
        sent_stored = tuple(
            marks for marks in stored if self._random.random() >= self._report_faults.cache_gap
        )
        sent_evicted = tuple(
            digest for digest in evicted if self._random.random() >= self._report_faults.cache_gap
        )
        if sent_stored or sent_evicted:
            event = CacheEvents(GROUP, name, sent_stored, sent_evicted)
            self._at(self.now + CACHE_LAG_S, lambda: self._handle(event))
