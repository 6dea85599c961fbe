"""Hold the queue for the engine memory of each service that has one.

In a large fleet the placer holds the queues of all instances; in a small one each instance holds
those of its own requests. Nothing is durable: instances repeat what they ask for and report what
they run, so another placer knows both within half a second.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Final

import gevent
from gevent.event import Event

from driftstall.const import PREFIX_ROUTING
from driftstall.decisions.engine_queue import EngineQueue, QueuedRequest, QueueOrder, schedule
from driftstall.decisions.overload import OverloadControl, RefusedRequest
from driftstall.decisions.room_forecast import (
    DemandForecast,
    Release,
    ReservingLimits,
    RoomForecast,
)
from driftstall.gateway.loads import Use
from driftstall.gateway.model import Engine
from driftstall.gateway.scheduling.cold_gate import ColdGate
from driftstall.gateway.scheduling.engine_ledger import EngineLedger
from driftstall.gateway.scheduling.queue_messages import (
    HeldRun,
    QueueAnswered,
    QueueAsked,
    QueueLeft,
    QueueOutcome,
    RunsReported,
)
from driftstall.gateway.scheduling.queue_status import (
    ServiceStatus,
    new_request,
    service_status,
)
from driftstall.gateway.scheduling.selection import (
    CROSS_ZONE_STREAM_PENALTY,
    Option,
    Sampler,
    TokenRequirement,
    choose_backup,
    choose_stream,
    has_room,
)
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event
from driftstall.helpers.tasks import keep_running

PASS_INTERVAL_S: Final = 0.02
"""Shortest time between two passes over a queue; reports of released memory arrive in bursts."""
IDLE_PASS_INTERVAL_S: Final = 0.05
"""Longest time between two passes while requests wait: cold engines open, waits end."""
OVERLOAD_INTERVAL_S: Final = 0.1
"""Time between two checks whether waiting requests can still start in time."""
ASK_VALID_S: Final = 1.2
"""Age at which a request is dropped that its instance has not repeated; it does so twice a
second."""
ANSWER_VALID_S: Final = 3.0
"""How long the grant of a request is kept, to answer a repeated question the same."""
REPEAT_DELAY_S: Final = 0.1
"""Network delay up to which a question counts as a repeated one: its request seems to have arrived
later by this delay."""
TAKEOVER_S: Final = 1.2
"""Time after the first report within which all instances with runs have reported them."""
ASSUMED_HOLD_S: Final = 3.0
"""Assumed remaining time of runs of which only the sums are known."""

Answer = Callable[[str, QueueAnswered], None]
"""Send an answer to an instance, given by its id."""


@dataclass(slots=True)
class _Arrival:
    """Record of a waiting request, for its answers and log lines."""

    position: int
    """Number of waiting requests of the same or a more urgent order when it arrived."""
    arrived_at: float
    """When it arrived at its instance; a returned request has a place of an earlier time."""
    asked_at: float
    forecast_s: float | None = None
    """Its whole wait by the first forecast; None before that."""


@dataclass(frozen=True, slots=True)
class _Grant:
    """Hold a grant, to answer a repeated question the same."""

    answer: QueueAnswered
    sender: str
    """The instance that has asked."""
    at: float

    def answers(self, asked: QueueAsked, now: float) -> bool:
        """Return True if a question repeats the one that was granted.

        A request that arrived after the grant is another one: callers use an id again to retry.
        """
        return (
            asked.sender == self.sender
            and now - asked.waited_s <= self.at + REPEAT_DELAY_S
            and self.answer.upstream_id not in asked.avoid
        )


@dataclass(slots=True)
class _ServiceQueue:
    """State of one service's queue."""

    overload: OverloadControl
    queue: EngineQueue = field(default_factory=EngineQueue)
    demand: DemandForecast = field(default_factory=DemandForecast)
    arrivals: dict[str, _Arrival] = field(default_factory=dict)
    grants: dict[str, _Grant] = field(default_factory=dict)
    positions: dict[str, int] = field(default_factory=dict)
    starts: dict[str, float] = field(default_factory=dict)
    checked_at: float = float("-inf")


class QueueService:
    """Answer questions for engine memory in the order of the queue."""

    def __init__(
        self,
        state: GatewayState,
        *,
        cold_gate: Callable[[], ColdGate],
        is_large: Callable[[], bool],
        answer: Answer,
    ) -> None:
        """Initialize with the shared state, this sender's cold gate and the answer function."""
        self._state = state
        self._cold_gate = cold_gate
        self._is_large = is_large
        self._answer = answer
        self.ledger = EngineLedger()
        self._queues: dict[str, _ServiceQueue] = {}
        self._changed = Event()

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(service.queue) for service in self._queues.values())

    def start(self) -> None:
        """Start the passes over the queues."""
        keep_running(PREFIX_ROUTING, self._run)

    def status(self, name: str) -> ServiceStatus | None:
        """Return the state of a service's queue; None if the service has no engines."""
        table, now = self._state.route_table, self._state.now()
        config = table.service(name) if table else None
        if config is None or config.engine is None:
            return None
        service, room = self._service_queue(name), _Room(self.options(name), config.engine)
        waiting = service.queue.in_order(now)
        newcomer = new_request(name, waiting, [option.use for option in room.options], now)
        limits = service.demand.limits(room.total_tokens, now)
        forecast = self._forecast(room, limits, [*waiting, newcomer], now)
        return service_status(waiting, newcomer, forecast, room.free_tokens(1.0, 0), now)

    def handle_asked(self, asked: QueueAsked) -> None:
        """Queue a request, or answer a repeated question.

        Without the service's configuration there is no answer, and another placer is asked.
        """
        if self._engine(asked.service) is None:
            return
        now = self._state.now()
        self.ledger.expire(now)
        service = self._service_queue(asked.service)
        grant = service.grants.get(asked.request_id)
        if grant is not None:
            if grant.answers(asked, now):
                self._answer(asked.sender, grant.answer)
                return
            self._forget_grant(service, asked.request_id)
        request = _request_from(asked, now)
        arrival = service.arrivals.get(asked.request_id)
        if arrival is None:
            arrived_at = request.arrived_at
            request = service.overload.check_return(
                request, now, others_wait=len(service.queue) > 0
            )
            service.demand.record(request, now)
            before = sum(other.order <= request.order for other in service.queue.requests)
            arrival = _Arrival(before, arrived_at, now)
            service.arrivals[asked.request_id] = arrival
        arrival.asked_at = now
        was_empty = not len(service.queue)
        service.queue.put(request)
        if was_empty:
            self._run_pass(asked.service, service, now)
        self._changed.set()
        if asked.request_id in service.queue:
            self._answer(asked.sender, self._queued_answer(service, request, arrival, now))

    def handle_left(self, left: QueueLeft) -> None:
        """Remove requests that no longer wait, and grants that are not used."""
        for request_id in left.request_ids:
            for service in self._queues.values():
                service.queue.remove(request_id)
                service.arrivals.pop(request_id, None)
                self._forget_grant(service, request_id)
        self._changed.set()

    def handle_runs(self, report: RunsReported) -> None:
        """Record the runs of an instance."""
        self.ledger.record_report(report, self._state.now())
        if self.waiting:
            self._changed.set()

    def _run(self) -> None:
        """Run a pass over each queue whenever something has changed."""
        while True:
            self._changed.wait(IDLE_PASS_INTERVAL_S if self.waiting else None)
            self._changed.clear()
            now = self._state.now()
            self.ledger.expire(now)
            for name, service in self._queues.items():
                self._expire(service, now)
                if len(service.queue):
                    self._run_pass(name, service, now)
            gevent.sleep(PASS_INTERVAL_S)

    def _run_pass(self, name: str, service: _ServiceQueue, now: float) -> None:
        """Grant memory in order, and refuse what can't start in time."""
        engine = self._engine(name)
        if engine is None:
            return
        room = _Room(self.options(name), engine)
        limits = service.demand.limits(room.total_tokens, now)

        def place(request: QueuedRequest, limit: float, only: frozenset[str] | None) -> bool:
            option = room.choose(request, limit, only, self._cold_gate(), self._state)
            if option is None:
                return False
            self._grant(service, request, option, room, now)
            return True

        schedule(service.queue, place, limits, now)
        if len(service.queue) and now - service.checked_at >= OVERLOAD_INTERVAL_S:
            service.checked_at = now
            self._check_overload(service, room, limits, now)

    def _engine(self, name: str) -> Engine | None:
        """Return the engine configuration of a service; None if it has none here."""
        table = self._state.route_table
        config = table.service(name) if table else None
        return config.engine if config else None

    def _check_overload(
        self, service: _ServiceQueue, room: _Room, limits: ReservingLimits, now: float
    ) -> None:
        """Refuse the requests that can't start in time."""
        waiting = service.queue.in_order(now)
        forecast = self._forecast(room, limits, waiting, now)
        for refused in service.overload.refuse(waiting, forecast, now):
            service.queue.remove(refused.request.request_id)
            service.arrivals.pop(refused.request.request_id, None)
            self._refuse(refused, now)
        waiting = [request for request in waiting if request.request_id in service.queue]
        service.positions = {
            request.request_id: position for position, request in enumerate(waiting)
        }
        service.starts = forecast.starts(waiting, now)
        for request in waiting:
            arrival = service.arrivals[request.request_id]
            if arrival.forecast_s is None:
                forecast_s = service.starts[request.request_id] - request.arrived_at
                arrival.forecast_s = forecast_s if math.isfinite(forecast_s) else None

    def _forecast(
        self,
        room: _Room,
        limits: ReservingLimits,
        waiting: list[QueuedRequest],
        now: float,
    ) -> RoomForecast:
        """Forecast the free memory for the waiting requests."""
        least_tokens = min(request.tokens for request in waiting)
        limit = min(limits.limit(request.order) for request in waiting)
        releases = self.ledger.releases(room.upstream_ids)
        if not self._uses_ledger(now):
            releases = room.assumed_releases(now)
        return RoomForecast(
            room.free_tokens(limit, least_tokens),
            room.total_tokens,
            releases,
            room.used_tokens,
        )

    def _uses_ledger(self, now: float) -> bool:
        """Return True if the ledger holds the runs of all instances."""
        first = self.ledger.first_report_at
        return self._is_large() and first is not None and now - first >= TAKEOVER_S

    def options(self, service: str) -> list[Option]:
        """Return the engines that take requests, with the loads known here."""
        now = self._state.now()
        if self._uses_ledger(now):
            uses = self.ledger.uses()
        else:
            # The exchanged sums hold all runs, but not what was granted a moment ago.
            uses = _sum(self._state.loads.totals(now), self.ledger.granted_uses())
        return self._state.options(service, max_options=None, respects_backoff=False, totals=uses)

    def _grant(
        self,
        service: _ServiceQueue,
        request: QueuedRequest,
        option: Option,
        room: _Room,
        now: float,
    ) -> None:
        """Grant a request an engine, and count its memory there."""
        upstream = option.upstream
        backup_id = ""
        if request.wants_backup:
            backup = choose_backup(
                room.options, room.engine, _requirement(request), upstream, self._state.sampler
            )
            backup_id = backup.upstream.upstream_id if backup else ""
        run = HeldRun(
            request_id=request.request_id,
            upstream_id=upstream.upstream_id,
            held_tokens=request.prompt_tokens,
            remaining_tokens=request.output_tokens,
            prefill_tokens=request.prompt_tokens,
            backup_id=backup_id,
            rank=request.order.rank,
            ends_in_s=request.hold_s,
            has_replica=False,
        )
        self.ledger.add_grant(request.sender, request.zone, run, now)
        self._cold_gate().record_send(upstream)
        free_tokens = room.free_on(option)
        room.add(option, request, backup_id)
        answer = QueueAnswered(
            self._state.settings.instance_id,
            request.request_id,
            QueueOutcome.GRANTED,
            upstream_id=upstream.upstream_id,
            backup_id=backup_id,
        )
        service.grants[request.request_id] = _Grant(answer, request.sender, now)
        arrival = service.arrivals.pop(request.request_id)
        waited_s = now - arrival.arrived_at
        stats = self._state.stats
        stats.queue_granted += 1
        stats.queue_wait_s.observe({"rank": str(request.order.rank)}, waited_s)
        log_event(
            PREFIX_ROUTING,
            f"Engine memory on {upstream.upstream_id} is granted",
            request=request.request_id,
            service=request.service,
            workspace=request.workspace,
            rank=request.order.rank,
            route_rank=request.order.route_rank,
            position=arrival.position,
            waited_ms=int(waited_s * 1000),
            forecast_s=None if arrival.forecast_s is None else round(arrival.forecast_s, 3),
            slack_ms=int((request.start_by - now) * 1000),
            free_tokens=free_tokens,
            report_age_ms=int(self.ledger.oldest_report_s(now) * 1000),
            waiting=len(service.queue),
        )
        self._answer(request.sender, answer)

    def _refuse(self, refused: RefusedRequest, now: float) -> None:
        """Answer that a request is refused, and log why."""
        request = refused.request
        self._state.stats.queue_refused += 1
        log_event(
            PREFIX_ROUTING,
            "No engine memory in time for a request",
            request=request.request_id,
            service=request.service,
            workspace=request.workspace,
            rank=request.order.rank,
            route_rank=request.order.route_rank,
            waited_ms=int((now - request.arrived_at) * 1000),
            forecast_s=round(refused.forecast_s, 3),
            gives_up_s=round(request.gives_up_at - now, 3),
            retry_after_s=round(refused.retry_after_s, 3),
            report_age_ms=int(self.ledger.oldest_report_s(now) * 1000),
        )
        answer = QueueAnswered(
            self._state.settings.instance_id,
            request.request_id,
            QueueOutcome.REFUSED,
            forecast_s=refused.forecast_s,
            retry_after_s=refused.retry_after_s,
        )
        self._answer(request.sender, answer)

    def _queued_answer(
        self, service: _ServiceQueue, request: QueuedRequest, arrival: _Arrival, now: float
    ) -> QueueAnswered:
        """Return the place of a waiting request, as of the latest forecast."""
        request_id = request.request_id
        return QueueAnswered(
            self._state.settings.instance_id,
            request_id,
            QueueOutcome.QUEUED,
            position=service.positions.get(request_id, arrival.position),
            forecast_s=max(0.0, service.starts.get(request_id, now) - now),
        )

    def _forget_grant(self, service: _ServiceQueue, request_id: str) -> None:
        """Remove a grant that is not used."""
        if service.grants.pop(request_id, None) is not None:
            self.ledger.remove_grant(request_id)

    def _expire(self, service: _ServiceQueue, now: float) -> None:
        """Drop requests that their instances no longer repeat, and old grants."""
        for request_id, arrival in list(service.arrivals.items()):
            if now - arrival.asked_at > ASK_VALID_S:
                del service.arrivals[request_id]
                service.queue.remove(request_id)
        for request_id, grant in list(service.grants.items()):
            if now - grant.at > ANSWER_VALID_S:
                del service.grants[request_id]

    def _service_queue(self, name: str) -> _ServiceQueue:
        """Return the queue of a service."""
        service = self._queues.get(name)
        if service is None:
            service = self._queues[name] = _ServiceQueue(OverloadControl(self._state.rng))
        return service


class _Room:
    """Track the free memory of a service's engines during one pass."""

    def __init__(self, options: list[Option], engine: Engine) -> None:
        """Initialize with the engines that take requests."""
        self.options = options
        self.engine = engine

    @property
    def upstream_ids(self) -> frozenset[str]:
        """Return the ids of the engines."""
        return frozenset(option.upstream.upstream_id for option in self.options)

    @property
    def total_tokens(self) -> int:
        """Return the memory of all engines."""
        return self.engine.memory_tokens * len(self.options)

    @property
    def used_tokens(self) -> int:
        """Return the memory of runs and replicas on all engines."""
        return sum(option.use.tokens + option.use.copies for option in self.options)

    def free_on(self, option: Option) -> int:
        """Return the free memory of one engine."""
        return self.engine.memory_tokens - option.use.tokens - option.use.copies

    def free_tokens(self, limit: float, least_tokens: int) -> int:
        """Return the memory below a fill limit, without gaps smaller than least_tokens."""
        kept = int((1.0 - limit) * self.engine.memory_tokens)
        free = [self.free_on(option) - kept for option in self.options]
        return sum(tokens for tokens in free if tokens >= least_tokens)

    def assumed_releases(self, now: float) -> tuple[Release, ...]:
        """Return the releases of engines of which only the sums are known, spread over time."""
        releases: list[Release] = []
        for option in self.options:
            runs = option.use.running
            for number in range(runs):
                at = now + ASSUMED_HOLD_S * (number + 1) / runs
                releases.append(Release(at, option.use.tokens // runs))
        return tuple(releases)

    def choose(
        self,
        request: QueuedRequest,
        limit: float,
        only: frozenset[str] | None,
        gate: ColdGate,
        state: GatewayState,
    ) -> Option | None:
        """Return the engine for a request, of those that have room up to a fill limit."""
        requirement = _requirement(request)
        # An ejected engine is idle because it fails; full healthy ones do not make it better.
        healthy = [option for option in self.options if not option.is_ejected] or self.options
        fitting = [
            option
            for option in healthy
            if option.upstream.upstream_id not in request.avoid
            and (only is None or option.upstream.upstream_id in only)
            and option.use.running < self.engine.slots
            and (
                has_room(option, self.engine, requirement, limit)
                # A prompt above the limit would block the queue for ever.
                or not (option.use.running or option.use.copies)
            )
        ]
        sampler = Sampler(state.rng, cross_zone_penalty=CROSS_ZONE_STREAM_PENALTY)
        return choose_stream(
            gate.select_open(fitting), self.engine, requirement, request.zone, sampler
        )

    def add(self, option: Option, request: QueuedRequest, backup_id: str) -> None:
        """Count a granted request on its engine, and its replica on the backup."""
        for index, known in enumerate(self.options):
            use = known.use
            if known.upstream.upstream_id == option.upstream.upstream_id:
                use = use.plus(
                    Use(use.upstream_id, 1, request.tokens, prefill=request.prompt_tokens)
                )
            elif known.upstream.upstream_id == backup_id:
                use = use.plus(Use(use.upstream_id, copies=request.tokens))
            else:
                continue
            self.options[index] = replace(known, use=use)


def _requirement(request: QueuedRequest) -> TokenRequirement:
    """Return the tokens that a request needs."""
    return TokenRequirement(request.prompt_tokens, request.output_tokens)


def _sum(first: dict[str, Use], second: dict[str, Use]) -> dict[str, Use]:
    """Return the sums of two tables of loads."""
    totals = dict(first)
    for upstream_id, use in second.items():
        known = totals.get(upstream_id)
        totals[upstream_id] = use if known is None else known.plus(use)
    return totals


def _request_from(asked: QueueAsked, now: float) -> QueuedRequest:
    """Return the queued form of a question; durations become times on this clock."""
    return QueuedRequest(
        request_id=asked.request_id,
        sender=asked.sender,
        service=asked.service,
        workspace=asked.workspace,
        order=QueueOrder(asked.rank, asked.route_rank),
        share=asked.share,
        prompt_tokens=asked.prompt_tokens,
        output_tokens=asked.output_tokens,
        hold_s=asked.hold_s,
        zone=asked.zone,
        avoid=frozenset(asked.avoid),
        wants_backup=asked.wants_backup,
        arrived_at=now - asked.waited_s,
        start_by=now + asked.start_by_s,
        gives_up_at=now + asked.gives_up_s,
        may_refuse=asked.may_refuse,
        ticket=asked.ticket,
    )
