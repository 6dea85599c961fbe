"""Live migration of runs: copy a run's KV cache to another engine, step by step.

A step copies the memory while the run continues (pre-copy); each further step to the same engine
brings that replica up to date. The final copy stops the run, copies the remaining memory, and hands
the run over to the target (stop-and-copy).
"""

from __future__ import annotations

from typing import Final

import gevent
from gevent.event import AsyncResult

from driftstall.const import PREFIX_RELAY
from driftstall.gateway.dialect import MoveDone, MoveFailed, MoveResult
from driftstall.gateway.model import Upstream
from driftstall.gateway.runs import FinalCopy, Replica, ReplicaRef, StreamRun
from driftstall.gateway.scheduling.selection import TokenRequirement, choose_migration_target
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event

MAX_REPLICA_AGE_S: Final = 4.0
"""Age from which a replica is no longer used; engines drop an unused replica a little later (their
handleS is 5 s)."""


class Mover:
    """Perform single migration steps; a run has at most one step in progress."""

    def __init__(self, state: GatewayState) -> None:
        """Initialize with the shared state."""
        self._state = state

    def choose_target(
        self, run: StreamRun, avoid: frozenset[str], *, max_memory_share: float
    ) -> Upstream | None:
        """Choose the engine to copy a run to: the holder of its replica if that one is usable.

        Other engines are excluded whose memory share, from 0 to 1, would exceed max_memory_share.
        """
        replica = self.find_replica(run)
        holder = replica.ref.upstream if replica is not None else None
        if holder and holder.upstream_id not in avoid and not self._state.backoff_s(holder):
            return holder
        engine = run.admitted.service.engine
        if engine is None or not engine.can_move:
            return None
        requirement = TokenRequirement(run.held_tokens, 0)
        options = self._state.options(run.upstream.service, avoid | {run.upstream.upstream_id})
        chosen = choose_migration_target(
            options,
            engine,
            requirement,
            run.upstream,
            self._state.sampler,
            max_memory_share=max_memory_share,
        )
        return chosen.upstream if chosen else None

    def find_replica(self, run: StreamRun) -> Replica | None:
        """Return the run's replica if it is recent enough and its engine takes requests."""
        replica = run.replica
        if replica is None or self._is_expired(replica):
            return None
        return replica if self._can_resume_at(replica) else None

    def _can_resume_at(self, replica: Replica) -> bool:
        """Return True if a replica's engine takes requests and its name is still valid.

        A restarted engine numbers its names from the start, so a name given before the restart
        may now refer to the replica of another run.
        """
        fleet = self._state.fleet
        is_name_valid = not fleet.is_replaced(replica.ref.named_by)
        return is_name_valid and fleet.accepts_requests(replica.ref.upstream.upstream_id)

    def is_usable(self, replica: Replica) -> bool:
        """Return True if a stopped run can resume at its final copy.

        The run can resume nowhere else, so an engine that is leaving is accepted too, for as long
        as requests may be sent to it.
        """
        engine_id, now = replica.ref.upstream.upstream_id, self._state.now()
        drain_s = self._state.settings.bounds.drain_s
        if self._is_expired(replica) or self._state.fleet.is_replaced(replica.ref.named_by):
            return False
        return self._state.fleet.can_still_serve(engine_id, now, drain_s)

    def _is_expired(self, replica: Replica) -> bool:
        """Return True if the engine may have dropped the replica by now."""
        return self._state.now() - replica.copied_at > MAX_REPLICA_AGE_S

    def copy(self, run: StreamRun, target: Upstream) -> MoveResult:
        """Copy a run's memory to the target while the run continues."""
        tokens = run.held_tokens
        self._set_replica_target(run, target)
        run.is_copying = True
        try:
            result = self._perform_step(run, target, last=False)
        finally:
            run.is_copying = False
        if isinstance(result, MoveFailed):
            self._set_replica_target(run, None)
            return result
        ref = ReplicaRef(target, result.copy_of, named_by=run.upstream.upstream_id)
        run.replica = Replica(ref, self._state.now(), tokens)
        # A stream that is resumed elsewhere may already run at this replica, since a further step
        # only updates the same one, or may still need it. Engines drop unused replicas themselves.
        if run.has_ended and not run.is_resumed_elsewhere:
            self.drop_replica(run)
        return result

    def _set_replica_target(self, run: StreamRun, target: Upstream | None) -> None:
        """Account for a replica on its engine at once, before other runs choose the same engine."""
        if run.replica_target is not target and not run.has_ended:
            run.replica_target = target
            self._state.record_run_load(run)

    def make_final_copy(self, run: StreamRun, target: Upstream) -> bool:
        """Stop the run and copy the remaining memory; return True if it moved to the target.

        The stream's relay waits for the result in run.pending_final_copy and resumes from it.
        """
        pending = run.pending_final_copy = AsyncResult()
        result = self._perform_step(run, target, last=True)
        if isinstance(result, MoveDone):
            self._state.stats.streams_moved += 1
            run.replica = None
            pending.set(FinalCopy(self._build_stopped_replica(target, result.copy_of, run), True))
            return True
        # The source keeps the memory of the stopped run, so the run may still resume there.
        replica = (
            self._build_stopped_replica(run.upstream, result.copy_of, run)
            if result.copy_of
            else None
        )
        pending.set(FinalCopy(replica, result.may_have_stopped))
        return False

    def _build_stopped_replica(self, holder: Upstream, copy_of: str, run: StreamRun) -> Replica:
        """Return the replica that the holder has of a stopped run."""
        ref = ReplicaRef(holder, copy_of, named_by=run.upstream.upstream_id)
        return Replica(ref, self._state.now(), run.held_tokens)

    def drop_replica(self, run: StreamRun) -> None:
        """Free the memory of a replica that is no longer needed."""
        replica, run.replica = run.replica, None
        if replica is None:
            return
        self._set_replica_target(run, None)
        source_stays = self._state.fleet.is_staying(run.upstream.upstream_id)
        holder = run.upstream if source_stays else replica.ref.upstream
        if self._state.backoff_s(holder):
            # Engines drop an unused replica themselves after a few seconds.
            return
        self._state.rate_limiting.charge(holder.upstream_id)
        gevent.spawn(self._state.dialect.drop_replica, holder, replica.ref.copy_of)

    def _perform_step(self, run: StreamRun, target: Upstream, *, last: bool) -> MoveResult:
        """Perform one step and log its result."""
        if self._state.backoff_s(run.upstream):
            detail = "its engine has requested a back-off"
            return MoveFailed(no_such_run=False, may_have_stopped=False, copy_of="", detail=detail)
        started = self._state.now()
        self._state.rate_limiting.charge(run.upstream.upstream_id)
        result = self._state.dialect.move(run.upstream, run.request_id, target, last=last)
        seconds = self._state.now() - started
        failed = isinstance(result, MoveFailed)
        self._state.stats.moves_failed += failed
        if isinstance(result, MoveFailed) and result.target_rejected:
            self._state.on_upstream_suspected(target)
        outcome = result.detail if isinstance(result, MoveFailed) else "done"
        step = "moved" if last else "copied"
        log_event(
            PREFIX_RELAY,
            f"Stream {step} to {target.upstream_id}: {outcome}",
            request=run.request_id,
            source=run.upstream.upstream_id,
            held_tokens=run.held_tokens,
            ms=int(seconds * 1000),
        )
        return result
