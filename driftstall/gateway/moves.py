"""Copy the memory of a run from its engine to another one, one step at a time."""

from __future__ import annotations

from typing import Final

import gevent
from gevent.event import AsyncResult

from driftstall.const import PREFIX_RELAY
from driftstall.gateway.dialect import MoveDone, MoveFailed, MoveResult
from driftstall.gateway.model import Upstream
from driftstall.gateway.runs import FinalCopy, Replica, ReplicaRef, StreamRun
from driftstall.gateway.selection import TokenRequirement, choose_move
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event

MAX_REPLICA_AGE_S: Final = 4.0
"""A copy is not relied on after this time; engines drop it somewhat later (handleS is 5 s)."""


class Mover:
    """Take single steps of moves; a run has one step at a time."""

    def __init__(self, state: GatewayState) -> None:
        """Take the shared state."""
        self._state = state

    def choose_target(
        self, run: StreamRun, avoid: frozenset[str], *, max_memory_share: float
    ) -> Upstream | None:
        """Choose where a run's memory is copied; where it already is, if that stays.

        An engine whose memory would be fuller than most_memory, from 0 to 1, is not chosen.
        """
        replica = self.find_replica(run)
        holder = replica.ref.upstream if replica is not None else None
        if holder and holder.upstream_id not in avoid and not self._state.backoff_s(holder):
            return holder
        engine = run.admitted.service.engine
        if engine is None or not engine.can_move:
            return None
        need = TokenRequirement(run.held_tokens, 0)
        options = self._state.options(run.upstream.service, avoid | {run.upstream.upstream_id})
        chosen = choose_move(
            options,
            engine,
            need,
            run.upstream,
            self._state.sampler,
            max_memory_share=max_memory_share,
        )
        return chosen.upstream if chosen else None

    def find_replica(self, run: StreamRun) -> Replica | None:
        """Return the run's copy if it is young enough and its engine stays."""
        replica = run.replica
        if replica is None or self._is_old(replica):
            return None
        return replica if self._takes_on(replica) else None

    def _takes_on(self, replica: Replica) -> bool:
        """Tell whether a copy's engine takes requests, and the one that named it has not ended.

        A later start of that one counts its names anew: the same name may be another run's copy.
        """
        fleet = self._state.fleet
        is_named = not fleet.is_replaced(replica.ref.named_by)
        return is_named and fleet.accepts_requests(replica.ref.upstream.upstream_id)

    def is_usable(self, moved: Replica) -> bool:
        """Tell whether a stopped run can go on at its copy: nowhere else can it.

        So an engine that is leaving serves as well, for as long as it is to be sent anything.
        """
        engine_id, now = moved.ref.upstream.upstream_id, self._state.now()
        drain_s = self._state.settings.bounds.drain_s
        if self._is_old(moved) or self._state.fleet.is_replaced(moved.ref.named_by):
            return False
        return self._state.fleet.can_still_serve(engine_id, now, drain_s)

    def _is_old(self, replica: Replica) -> bool:
        """Tell whether an engine may have dropped a copy."""
        return self._state.now() - replica.copied_at > MAX_REPLICA_AGE_S

    def copy(self, run: StreamRun, target: Upstream) -> MoveResult:
        """Copy a run's memory while it goes on."""
        tokens = run.held_tokens
        self._hold(run, target)
        run.is_copying = True
        try:
            result = self._step(run, target, last=False)
        finally:
            run.is_copying = False
        if isinstance(result, MoveFailed):
            self._hold(run, None)
            return result
        copy = ReplicaRef(target, result.copy_of, named_by=run.upstream.upstream_id)
        run.replica = Replica(copy, self._state.now(), tokens)
        # A further step brings the same copy up to date: where the stream goes on elsewhere, it
        # may be just there, or need it yet. What is not needed, engines drop by themselves.
        if run.ended and not run.is_resumed_elsewhere:
            self.drop_replica(run)
        return result

    def _hold(self, run: StreamRun, target: Upstream | None) -> None:
        """Tell the books which engine holds a copy, before others choose the same one."""
        if run.replica_target is not target and not run.ended:
            run.replica_target = target
            self._state.record_run_load(run)

    def make_final_copy(self, run: StreamRun, target: Upstream) -> bool:
        """Stop the run and copy what is left; its relay goes on with the result."""
        moving = run.pending_final_copy = AsyncResult()
        result = self._step(run, target, last=True)
        if isinstance(result, MoveDone):
            self._state.stats.streams_moved += 1
            run.replica = None
            moving.set(FinalCopy(self._stopped(target, result.copy_of, run), True))
            return True
        # The source keeps what it has made: the run goes on there if it still can.
        replica = self._stopped(run.upstream, result.copy_of, run) if result.copy_of else None
        moving.set(FinalCopy(replica, result.may_have_stopped))
        return False

    def _stopped(self, holder: Upstream, copy_of: str, run: StreamRun) -> Replica:
        """Return the copy of a run that has stopped."""
        copy = ReplicaRef(holder, copy_of, named_by=run.upstream.upstream_id)
        return Replica(copy, self._state.now(), run.held_tokens)

    def drop_replica(self, run: StreamRun) -> None:
        """Free the memory of a copy that is not needed any more."""
        replica, run.replica = run.replica, None
        if replica is None:
            return
        self._hold(run, None)
        source_stays = self._state.fleet.is_staying(run.upstream.upstream_id)
        holder = run.upstream if source_stays else replica.ref.upstream
        if self._state.backoff_s(holder):
            # Engines drop an unused copy by themselves after a while.
            return
        self._state.rate_limiting.charge(holder.upstream_id)
        gevent.spawn(self._state.dialect.drop_replica, holder, replica.ref.copy_of)

    def _step(self, run: StreamRun, target: Upstream, *, last: bool) -> MoveResult:
        """Take one step and log it."""
        if self._state.backoff_s(run.upstream):
            detail = "its engine has requested a back-off"
            return MoveFailed(no_such_run=False, may_have_stopped=False, copy_of="", detail=detail)
        started = self._state.now()
        self._state.rate_limiting.charge(run.upstream.upstream_id)
        result = self._state.dialect.move(run.upstream, run.request_id, target, last=last)
        seconds = self._state.now() - started
        failed = isinstance(result, MoveFailed)
        self._state.stats.moves_failed += failed
        if isinstance(result, MoveFailed) and result.target_refused:
            self._state.on_upstream_suspected(target)
        outcome = result.detail if isinstance(result, MoveFailed) else "done"
        step = "moved" if last else "copied"
        log_event(
            PREFIX_RELAY,
            f"A stream is {step} to {target.upstream_id}: {outcome}",
            request=run.request_id,
            source=run.upstream.upstream_id,
            held_tokens=run.held_tokens,
            ms=int(seconds * 1000),
        )
        return result
