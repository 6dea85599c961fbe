"""Find the copy of a run's memory that its stream can go on at."""

from __future__ import annotations

from typing import Final

from gevent.event import AsyncResult

from driftstall.const import PREFIX_RELAY
from driftstall.decisions.sends import ReplicaKind, SendHistory
from driftstall.gateway.moves import Mover
from driftstall.gateway.runs import FinalCopy, ReplicaRef, StreamRun
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event

FINAL_COPY_TIMEOUT_S: Final = 2.0
"""How long a stopped run waits for the answer of its last move."""


class ReplicaFinder:
    """Find copies of one stream's runs, such as engines have named or must have made by now."""

    def __init__(self, state: GatewayState, mover: Mover, history: SendHistory) -> None:
        """Take the shared state, who makes copies, and what became of the request so far."""
        self._state = state
        self._mover = mover
        self._history = history

    def take_replica(self, run: StreamRun, left_s: float) -> ReplicaRef | None:
        """Return the copy to go on at, and hold it no longer: a copy serves once.

        The newest comes first: that of a move, then the one that the run's engine keeps
        up, then the last one made beforehand.
        """
        if run.pending_final_copy is not None:
            step = self._await_last_step(run, run.pending_final_copy, left_s)
            moved = step.replica if step is not None else None
            run.pending_final_copy = None
            if moved is not None and self._mover.is_usable(moved) and self._allows(moved.ref, run):
                return moved.ref
        kept_up = self._kept_up(run)
        run.backup = None
        if kept_up is not None:
            return kept_up
        replica = self._mover.find_replica(run)
        run.replica = None
        return replica.ref if replica is not None and self._allows(replica.ref, run) else None

    def may_have_stopped(self, run: StreamRun, left_s: float) -> bool:
        """Tell whether a run may have ended because it was stopped for a move."""
        if run.pending_final_copy is None:
            return False
        step = self._await_last_step(run, run.pending_final_copy, left_s)
        return step is None or step.may_have_stopped

    def has_current_backup(self, run: StreamRun) -> bool:
        """Tell whether the copy that the run's engine keeps up must be there by now."""
        return self._kept_up(run) is not None

    def _kept_up(self, run: StreamRun) -> ReplicaRef | None:
        """Return the copy that the run's engine keeps up, if it must be there by now."""
        backup = run.backup
        if backup is None or not self._state.fleet.accepts_requests(backup.upstream_id):
            return None
        copy_of = self._state.dialect.backup_copy(backup, run.request_id)
        copy = ReplicaRef(backup, copy_of, ReplicaKind.BACKUP)
        return copy if self._allows(copy, run) else None

    def _allows(self, copy: ReplicaRef, run: StreamRun) -> bool:
        """Ask whether the request may be sent to go on at a copy, after all that was sent."""
        engine_id = copy.upstream.upstream_id
        return self._history.can_resume(copy.kind, engine_id, copy.copy_of, run.generating_s)

    def _await_last_step(
        self, run: StreamRun, moving: AsyncResult, left_s: float
    ) -> FinalCopy | None:
        """Wait for the end of the last step, once for each run; None where it is late."""
        now = self._state.now()
        if run.final_copy_deadline is None:
            run.final_copy_deadline = now + min(FINAL_COPY_TIMEOUT_S, left_s)
        step: FinalCopy | None = moving.wait(timeout=max(0.0, run.final_copy_deadline - now))
        return step

    def log_no_replica(self, run: StreamRun, cause: str) -> None:
        """Log why a stream does not go on elsewhere, with what decided it."""
        making_s = run.generating_s
        log_event(
            PREFIX_RELAY,
            "No copy of a stream is known to be there",
            request=run.request_id,
            left=run.upstream.upstream_id,
            cause=cause,
            making_ms=None if making_s is None else int(making_s * 1000),
            sends=self._history.sends,
            has_run_at=sorted(self._history.has_run_at),
        )
