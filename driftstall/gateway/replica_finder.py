"""Find the replica at which a stream whose run has ended can resume."""

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
"""How long the stream of a stopped run waits for the result of the final copy."""
MOVED_TIMEOUT_S: Final = 1.5
"""How long a stream that is whole by its framing waits for that result. Callers abandon a stream
after a pause of two seconds."""


class ReplicaFinder:
    """Find replicas of one stream's runs: named by engines, or kept by a backup engine.

    The send history decides which of them may be used.
    """

    def __init__(self, state: GatewayState, mover: Mover, history: SendHistory) -> None:
        """Initialize with the shared state, the mover, and the request's send history."""
        self._state = state
        self._mover = mover
        self._history = history

    def take_replica(self, run: StreamRun, remaining_s: float) -> ReplicaRef | None:
        """Remove and return the newest replica to resume at; a replica can be used only once.

        The order is: the final copy of a migration, the backup that the run's engine keeps up to
        date, the last periodic replica.
        """
        if run.pending_final_copy is not None:
            final_copy = self._await_final_copy(run, run.pending_final_copy, remaining_s)
            moved = final_copy.replica if final_copy is not None else None
            run.pending_final_copy = None
            if (
                moved is not None
                and self._mover.is_usable(moved)
                and self._is_allowed(moved.ref, run)
            ):
                return moved.ref
        backup_ref = self._find_backup(run)
        run.backup = None
        if backup_ref is not None:
            return backup_ref
        replica = self._mover.find_replica(run)
        run.replica = None
        return replica.ref if replica is not None and self._is_allowed(replica.ref, run) else None

    def may_have_stopped(self, run: StreamRun, remaining_s: float) -> bool:
        """Return True if a run may have ended because the final copy of a migration stopped it."""
        if run.pending_final_copy is None:
            return False
        final_copy = self._await_final_copy(run, run.pending_final_copy, remaining_s)
        return final_copy is None or final_copy.may_have_stopped

    def has_moved(self, run: StreamRun, remaining_s: float) -> bool:
        """Return True if the final copy of a migration has stopped a run, and named a replica."""
        if run.pending_final_copy is None:
            return False
        wait_s = min(MOVED_TIMEOUT_S, remaining_s)
        final_copy = self._await_final_copy(run, run.pending_final_copy, wait_s)
        return final_copy is not None and final_copy.replica is not None

    def has_current_backup(self, run: StreamRun) -> bool:
        """Return True if the run has a backup that must be complete by now."""
        return self._find_backup(run) is not None

    def _find_backup(self, run: StreamRun) -> ReplicaRef | None:
        """Return the backup of a run if it must be complete by now."""
        backup = run.backup
        if backup is None or not self._state.fleet.accepts_requests(backup.upstream_id):
            return None
        copy_of = self._state.dialect.backup_replica_name(backup, run.request_id)
        ref = ReplicaRef(backup, copy_of, ReplicaKind.BACKUP)
        return ref if self._is_allowed(ref, run) else None

    def _is_allowed(self, ref: ReplicaRef, run: StreamRun) -> bool:
        """Return True if the send history allows the stream to resume at a replica."""
        engine_id = ref.upstream.upstream_id
        return self._history.can_resume(ref.kind, engine_id, ref.copy_of, run.generating_s)

    def _await_final_copy(
        self, run: StreamRun, pending: AsyncResult, remaining_s: float
    ) -> FinalCopy | None:
        """Wait for the result of the final copy; return None if it does not arrive in time.

        All waits of a run share one deadline.
        """
        now = self._state.now()
        if run.final_copy_deadline is None:
            run.final_copy_deadline = now + min(FINAL_COPY_TIMEOUT_S, remaining_s)
        final_copy: FinalCopy | None = pending.wait(timeout=max(0.0, run.final_copy_deadline - now))
        return final_copy

    def log_no_replica(self, run: StreamRun, cause: str) -> None:
        """Log that a stream has no replica to resume at, with the send history."""
        generating_s = run.generating_s
        log_event(
            PREFIX_RELAY,
            "No replica found to resume the stream",
            request=run.request_id,
            left=run.upstream.upstream_id,
            cause=cause,
            making_ms=None if generating_s is None else int(generating_s * 1000),
            sends=self._history.sends,
            has_run_at=sorted(self._history.has_run_at),
        )
