"""Hold the queue for the engine memory of each service that has one.

In a large fleet the placer holds the queues of all instances; in a small one each instance holds
those of its own requests. Nothing is durable: instances repeat what they ask for and report what
they run, so another placer knows both within half a second.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Final

import gevent
from gevent.event import Event

from driftstall.const import PREFIX_ROUTING
from driftstall.decisions.engine_queue import QueuedRequest, schedule
from driftstall.decisions.overload import OverloadControl, RefusedRequest
from driftstall.decisions.room_forecast import (
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
from driftstall.gateway.scheduling.queue_records import Arrival, Grant, ServiceQueue, request_from
from driftstall.gateway.scheduling.queue_room import QueueRoom, requirement_of
from driftstall.gateway.scheduling.queue_status import (
    ServiceStatus,
    new_request,
    service_status,
)
from driftstall.gateway.scheduling.selection import (
    Option,
    choose_backup,
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
TAKEOVER_S: Final = 1.2
"""Time after the first report within which all instances with runs have reported them."""

Answer = Callable[[str, QueueAnswered], None]
"""Send an answer to an instance, given by its id."""


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
        self._queues: dict[str, ServiceQueue] = {}
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
        service, room = self._service_queue(name), QueueRoom(self.options(name), config.engine)
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
        request = request_from(asked, now)
        arrival = service.arrivals.get(asked.request_id)
        if arrival is None:
            arrived_at = request.arrived_at
            request = service.overload.check_return(
                request, now, others_wait=len(service.queue) > 0
            )
            service.demand.record(request, now)
            before = sum(other.order <= request.order for other in service.queue.requests)
            arrival = Arrival(before, arrived_at, now)
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

    def _run_pass(self, name: str, service: ServiceQueue, now: float) -> None:
        """Grant memory in order, and refuse what can't start in time."""
        engine = self._engine(name)
        if engine is None:
            return
        room = QueueRoom(self.options(name), engine)
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
        self, service: ServiceQueue, room: QueueRoom, limits: ReservingLimits, now: float
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
        room: QueueRoom,
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
        service: ServiceQueue,
        request: QueuedRequest,
        option: Option,
        room: QueueRoom,
        now: float,
    ) -> None:
        """Grant a request an engine, and count its memory there."""
        upstream = option.upstream
        backup_id = ""
        if request.wants_backup:
            backup = choose_backup(
                room.options, room.engine, requirement_of(request), upstream, self._state.sampler
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
        service.grants[request.request_id] = Grant(answer, request.sender, now)
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
        self, service: ServiceQueue, request: QueuedRequest, arrival: Arrival, now: float
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

    def _forget_grant(self, service: ServiceQueue, request_id: str) -> None:
        """Remove a grant that is not used."""
        if service.grants.pop(request_id, None) is not None:
            self.ledger.remove_grant(request_id)

    def _expire(self, service: ServiceQueue, now: float) -> None:
        """Drop requests that their instances no longer repeat, and old grants."""
        for request_id, arrival in list(service.arrivals.items()):
            if now - arrival.asked_at > ASK_VALID_S:
                del service.arrivals[request_id]
                service.queue.remove(request_id)
        for request_id, grant in list(service.grants.items()):
            if now - grant.at > ANSWER_VALID_S:
                del service.grants[request_id]

    def _service_queue(self, name: str) -> ServiceQueue:
        """Return the queue of a service."""
        service = self._queues.get(name)
        if service is None:
            service = self._queues[name] = ServiceQueue(OverloadControl(self._state.rng))
        return service


def _sum(first: dict[str, Use], second: dict[str, Use]) -> dict[str, Use]:
    """Return the sums of two tables of loads."""
    totals = dict(first)
    for upstream_id, use in second.items():
        known = totals.get(upstream_id)
        totals[upstream_id] = use if known is None else known.plus(use)
    return totals
