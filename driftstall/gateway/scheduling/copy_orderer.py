"""Order the copies off leaving engines, one at a time for each engine: the side of the placer.

The placer knows all runs on an engine from the queue's ledger, so it needs no messages to choose.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Final

import gevent

from driftstall.const import PREFIX_RELAY
from driftstall.decisions.evacuation_order import (
    MAX_ATTEMPTS,
    NOTICE_S,
    OVERDUE_FACTOR,
    REPLICA_HEAD_START_S,
    CopyCandidate,
    choose_next,
    copy_duration_s,
    needs_copy,
)
from driftstall.gateway.model import Engine, Upstream
from driftstall.gateway.scheduling.engine_ledger import LedgerRun
from driftstall.gateway.scheduling.evacuation_messages import (
    CopyEnded,
    CopyOrdered,
    EvacuationRequested,
)
from driftstall.gateway.scheduling.memory_queue import MemoryQueue
from driftstall.gateway.scheduling.selection import (
    Option,
    Sampler,
    TokenRequirement,
    choose_migration_target,
)
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event

REPEAT_INTERVAL_S: Final = 0.15
"""Interval at which an order is repeated: two of three repeats may be lost or late."""
CHECK_INTERVAL_S: Final = 0.02
"""Interval at which the placer checks for overdue copies."""
IDLE_INTERVAL_S: Final = 0.06
"""Interval at which the placer looks for a stream to copy when there was none. Choosing targets for
seven streams among 45 engines takes some 1.2 ms, and seven engines may leave at once."""
TIMEOUT_S: Final = 10.0
"""Time after its notice for which copies off an engine are ordered, as long as it has streams."""
MAX_MEMORY_SHARE: Final = 1.0
"""Memory share up to which an engine accepts a stream that must leave, by the ledger."""
MOVED: Final = "moved"
NOT_MOVED: Final = "not moved"
OVERDUE: Final = "overdue"


@dataclass(frozen=True, slots=True)
class _PlannedCopy:
    """Hold a stream that may be copied, with its target."""

    candidate: CopyCandidate
    run: LedgerRun
    target: Upstream
    report_age_s: float


@dataclass(slots=True)
class _OrderedCopy:
    """Hold the copy that is under way."""

    number: int
    planned: _PlannedCopy
    ordered_at: float
    overdue_at: float


@dataclass(slots=True)
class _Evacuation:
    """Hold the state of one leaving engine at the placer."""

    upstream: Upstream
    noticed_at: float
    requesters: set[str] = field(default_factory=set)
    copy: _OrderedCopy | None = None
    tried: dict[str, set[str]] = field(default_factory=dict)
    """Targets ordered so far, by request."""
    moved: set[str] = field(default_factory=set)
    """Requests whose copies have ended; reports may show them on the engine a moment longer."""
    silent: set[str] = field(default_factory=set)
    """Instances that let an order time out."""
    failed_targets: set[str] = field(default_factory=set)
    """Targets to which a copy has not moved its stream; they probably lack room."""
    sent_at: float = float("-inf")
    idle_until: float = float("-inf")
    """Until when no stream is looked for, as there was none to copy."""


class CopyOrderer:
    """Order the copies off leaving engines; the placer's side."""

    def __init__(
        self,
        state: GatewayState,
        queue: MemoryQueue,
        *,
        send: Callable[[str, CopyOrdered], None],
    ) -> None:
        """Initialize with the shared state, the queue with its ledger, and a sender."""
        self._state = state
        self._own_id = state.settings.instance_id
        self._queue = queue
        self._send = send
        self._evacuations: dict[str, _Evacuation] = {}
        self._last_number = 0

    def start(self, upstream: Upstream, notice_age_s: float) -> None:
        """Start to order the copies off an engine, or record that its notice is older."""
        noticed_at = self._state.now() - notice_age_s
        evacuation = self._evacuations.get(upstream.upstream_id)
        if evacuation is not None:
            evacuation.noticed_at = min(evacuation.noticed_at, noticed_at)
            return
        evacuation = self._evacuations[upstream.upstream_id] = _Evacuation(upstream, noticed_at)
        gevent.spawn(self._run, evacuation)

    def handle_request(self, request: EvacuationRequested) -> None:
        """Start for an instance that has streams on a leaving engine, and answer it at once."""
        upstream_id = request.upstream_id
        upstream = next(
            (each for each in self._state.fleet.upstreams if each.upstream_id == upstream_id), None
        )
        evacuation = self._evacuations.get(upstream_id)
        if evacuation is not None:
            upstream = evacuation.upstream
        if upstream is None:
            return
        self.start(upstream, request.notice_age_s)
        evacuation = self._evacuations[upstream_id]
        evacuation.requesters.add(request.sender)
        if evacuation.copy is not None:
            self._send_to(request.sender, evacuation, evacuation.copy)

    def handle_ended(self, ended: CopyEnded) -> None:
        """Record the end of the copy that is under way, and order the next one."""
        for upstream_id, evacuation in self._evacuations.items():
            copy = evacuation.copy
            if copy is not None and copy.number == ended.number:
                evacuation.silent.discard(ended.sender)
                outcome = MOVED if ended.moved else NOT_MOVED
                self._end(evacuation, copy, outcome, self._state.now())
                self.advance(upstream_id)
                return

    def advance(self, upstream_id: str) -> None:
        """Order the next copy if none is under way, and repeat the order otherwise."""
        now, evacuation = self._state.now(), self._evacuations.get(upstream_id)
        if evacuation is None:
            return
        copy = evacuation.copy
        if copy is not None and now >= copy.overdue_at:
            evacuation.silent.add(copy.planned.run.sender)
            self._end(evacuation, copy, OVERDUE, now)
        if evacuation.copy is None:
            if now >= evacuation.idle_until:
                self._order_next(evacuation, now)
        elif now - evacuation.sent_at >= REPEAT_INTERVAL_S:
            self._send_orders(evacuation, now)

    def _run(self, evacuation: _Evacuation) -> None:
        """Order copies for as long as the engine may run, unless its notice is taken back."""
        upstream_id, fleet = evacuation.upstream.upstream_id, self._state.fleet
        try:
            while self._state.now() < evacuation.noticed_at + TIMEOUT_S:
                self.advance(upstream_id)
                gevent.sleep(CHECK_INTERVAL_S)
                age_s = self._state.now() - evacuation.noticed_at
                # A requester may receive the notice first; after this time, it was withdrawn.
                if age_s > NOTICE_S and fleet.accepts_requests(upstream_id):
                    break
        finally:
            del self._evacuations[upstream_id]

    def _order_next(self, evacuation: _Evacuation, now: float) -> None:
        """Order the most valuable copy, or announce to instances that one may follow."""
        self._queue.ledger.expire(now)
        runs = self._runs_on(evacuation)
        if any(run.run.has_replica for run, _ in runs):
            may_start_at = evacuation.noticed_at + REPLICA_HEAD_START_S
        else:
            may_start_at = evacuation.noticed_at
        if now < may_start_at:
            return
        time_left_s = evacuation.noticed_at + NOTICE_S - now
        planned = {plan.candidate.request_id: plan for plan in self._plan(evacuation, runs, now)}
        chosen = choose_next([plan.candidate for plan in planned.values()], time_left_s)
        if chosen is None:
            evacuation.idle_until = now + IDLE_INTERVAL_S
            self._announce_more(evacuation, runs, now)
            return
        plan = planned[chosen.request_id]
        self._last_number += 1
        overdue_at = now + OVERDUE_FACTOR * chosen.copy_s
        copy = evacuation.copy = _OrderedCopy(self._last_number, plan, now, overdue_at)
        evacuation.tried.setdefault(chosen.request_id, set()).add(plan.target.upstream_id)
        self._queue.ledger.add_copy(
            chosen.request_id, plan.target.upstream_id, plan.run.tokens, overdue_at
        )
        self._state.stats.copies_ordered += 1
        log_event(
            PREFIX_RELAY,
            f"A copy off {evacuation.upstream.upstream_id} is ordered",
            request=chosen.request_id,
            number=copy.number,
            instance=plan.run.sender,
            target=plan.target.upstream_id,
            attempt=len(evacuation.tried[chosen.request_id]),
            candidates=len(planned),
            held_tokens=chosen.held_tokens,
            rank=chosen.rank,
            ends_in_ms=int(chosen.ends_in_s * 1000),
            copy_ms=int(chosen.copy_s * 1000),
            time_left_ms=int(time_left_s * 1000),
            report_age_ms=int(plan.report_age_s * 1000),
        )
        self._send_orders(evacuation, now)

    def _announce_more(
        self, evacuation: _Evacuation, runs: list[tuple[LedgerRun, float]], now: float
    ) -> None:
        """Tell instances that copies will be ordered, while streams may still produce events.

        Streams that are left only for lack of a target are left to their instances.
        """
        open_runs = [
            ledger_run.run
            for ledger_run, _ in runs
            if not ledger_run.run.has_replica and ledger_run.run.request_id not in evacuation.moved
        ]
        is_expecting = bool(open_runs) and all(run.prefill_tokens for run in open_runs)
        if is_expecting and now - evacuation.sent_at >= REPEAT_INTERVAL_S:
            self._send_orders(evacuation, now)

    def _runs_on(self, evacuation: _Evacuation) -> list[tuple[LedgerRun, float]]:
        """Return the runs on the engine, with the time of their report or grant."""
        upstream_id = evacuation.upstream.upstream_id
        return [
            (ledger_run, at)
            for ledger_run, at in self._queue.ledger.runs()
            if ledger_run.run.upstream_id == upstream_id
        ]

    def _plan(
        self, evacuation: _Evacuation, runs: list[tuple[LedgerRun, float]], now: float
    ) -> Iterable[_PlannedCopy]:
        """Yield the streams that may be ordered, each with its best target."""
        upstream = evacuation.upstream
        table = self._state.route_table
        service = table.service(upstream.service) if table else None
        engine = service.engine if service else None
        if engine is None or not engine.can_move:
            return
        plans: list[_PlannedCopy] = []
        for ledger_run, at in runs:
            run = ledger_run.run
            tried = evacuation.tried.get(run.request_id, set())
            if run.request_id in evacuation.moved or len(tried) >= MAX_ATTEMPTS:
                continue
            candidate = CopyCandidate(
                request_id=run.request_id,
                held_tokens=run.held_tokens,
                rank=run.rank,
                ends_in_s=at + run.ends_in_s - now,
                copy_s=_copy_s(run.held_tokens, engine, crosses_zones=False),
                has_events=not run.prefill_tokens,
                has_replica=run.has_replica,
                has_timed_out=ledger_run.sender in evacuation.silent,
            )
            if needs_copy(candidate):
                plans.append(_PlannedCopy(candidate, ledger_run, upstream, now - at))
        if not plans:
            # The loads of all engines are summed up only if there is a stream to copy.
            return
        options = [
            option
            for option in self._queue.options(upstream.service)
            if option.upstream.upstream_id not in self._evacuations
            and option.use.running < engine.slots
        ]
        for plan in plans:
            tried = evacuation.tried.get(plan.candidate.request_id, set())
            untried = [option for option in options if option.upstream.upstream_id not in tried]
            target = self._choose_target(evacuation, untried, engine, plan.run)
            if target is None:
                continue
            copy_s = _copy_s(
                plan.candidate.held_tokens, engine, crosses_zones=target.zone != upstream.zone
            )
            yield replace(plan, candidate=replace(plan.candidate, copy_s=copy_s), target=target)

    def _choose_target(
        self,
        evacuation: _Evacuation,
        options: list[Option],
        engine: Engine,
        ledger_run: LedgerRun,
    ) -> Upstream | None:
        """Return the engine to copy a stream to: one with room, of the same zone if possible.

        Engines to which a copy failed come last; of the others in the zone, one that receives no
        other ordered copy is preferred.
        """
        source = evacuation.upstream
        receiving = {
            evacuation.copy.planned.target.upstream_id
            for evacuation in self._evacuations.values()
            if evacuation.copy is not None
        }
        good = [
            option
            for option in options
            if option.upstream.upstream_id not in evacuation.failed_targets
        ]
        local = [option for option in good if option.upstream.zone == source.zone]
        free = [option for option in local if option.upstream.upstream_id not in receiving]
        for choices in (free, local, good, options):
            chosen = choose_migration_target(
                choices,
                engine,
                TokenRequirement(ledger_run.tokens, 0),
                source,
                Sampler(self._state.rng),
                max_memory_share=MAX_MEMORY_SHARE,
            )
            if chosen is not None:
                return chosen.upstream
        return None

    def _end(self, evacuation: _Evacuation, copy: _OrderedCopy, outcome: str, now: float) -> None:
        """Record how a copy ended, and release the memory counted for it."""
        evacuation.copy = None
        candidate = copy.planned.candidate
        self._queue.ledger.remove_copy(candidate.request_id)
        if outcome == MOVED:
            evacuation.moved.add(candidate.request_id)
            self._state.stats.copies_ended_moved += 1
        elif outcome == NOT_MOVED:
            evacuation.failed_targets.add(copy.planned.target.upstream_id)
        log_event(
            PREFIX_RELAY,
            f"An ordered copy off {evacuation.upstream.upstream_id} has ended: {outcome}",
            request=candidate.request_id,
            number=copy.number,
            instance=copy.planned.run.sender,
            target=copy.planned.target.upstream_id,
            ms=int((now - copy.ordered_at) * 1000),
            expected_ms=int(candidate.copy_s * 1000),
        )

    def _send_orders(self, evacuation: _Evacuation, now: float) -> None:
        """Send the order to its instance, and tell the others that orders are being given."""
        evacuation.sent_at = now
        holders = {ledger_run.sender for ledger_run, _ in self._runs_on(evacuation)}
        if evacuation.copy is not None:
            holders.add(evacuation.copy.planned.run.sender)
        for recipient in sorted(holders | evacuation.requesters):
            self._send_to(recipient, evacuation, evacuation.copy)

    def _send_to(self, recipient: str, evacuation: _Evacuation, copy: _OrderedCopy | None) -> None:
        """Send an order to its instance, or an empty one to another instance."""
        upstream_id = evacuation.upstream.upstream_id
        if copy is None or copy.planned.run.sender != recipient:
            number = copy.number if copy is not None else 0
            self._send(recipient, CopyOrdered(self._own_id, number, "", upstream_id, ""))
            return
        request_id, target = copy.planned.candidate.request_id, copy.planned.target
        self._send(
            recipient,
            CopyOrdered(self._own_id, copy.number, request_id, upstream_id, target.upstream_id),
        )


def _copy_s(tokens: int, engine: Engine, *, crosses_zones: bool) -> float:
    """Return the expected time of a copy between engines of a service, in seconds."""
    return copy_duration_s(
        tokens, engine.token_bytes, engine.link_bytes_per_s, crosses_zones=crosses_zones
    )
