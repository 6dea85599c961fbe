"""Keep a replica of every long stream, so that it survives a short notice or a crash.

An engine keeps the backup that was requested with the stream up to date itself. If a run has no
backup, because its backup engine left or none was requested, its memory is copied periodically.
When its engine gives notice that it is leaving, little memory remains to be copied.
"""

from __future__ import annotations

from typing import Final

import gevent

from driftstall.const import PREFIX_RELAY
from driftstall.decisions.replica_limits import replica_fill_limit
from driftstall.gateway.dialect import MoveFailed
from driftstall.gateway.moves import Mover
from driftstall.gateway.runs import StreamRun
from driftstall.gateway.scheduling.selection import run_memory_share
from driftstall.gateway.state import GatewayState
from driftstall.helpers.tasks import keep_running

CHECK_INTERVAL_S: Final = 0.2
REFRESH_AGE_S: Final = 2.0
"""Age from which a replica is refreshed; engines drop an unused one after about five seconds."""
RETRY_DELAY_S: Final = 1.0
"""Pause after a copy that failed, for example for lack of room."""
MAX_MEMORY_SHARE: Final = 0.85
"""Memory share of an engine above which replicas on it are dropped."""
NOTICE_PAUSE_S: Final = 2.0
"""Time after a leaving notice in which no replicas are made, to keep the links free for the runs
that must leave."""
MIN_EVENTS: Final = 6
"""Events from which a run gets a replica; many runs end earlier."""


class RunProtection:
    """Keep replicas of this instance's streams."""

    def __init__(self, state: GatewayState, mover: Mover) -> None:
        """Initialize with the shared state and the mover that performs the copies."""
        self._state = state
        self._mover = mover
        self._copying_engine_ids: set[str] = set()
        self._paused_until: dict[str, float] = {}

    def start(self) -> None:
        """Start the periodic copies."""
        keep_running(PREFIX_RELAY, self._run)

    def _run(self) -> None:
        """Copy the runs that need it, one at a time per engine, runs without a replica first."""
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            runs = sorted(self.find_runs_to_copy(), key=lambda run: run.replica is not None)
            for run in runs:
                if run.upstream.upstream_id not in self._copying_engine_ids:
                    self._copying_engine_ids.add(run.upstream.upstream_id)
                    gevent.spawn(self._copy, run)
            self.drop_replicas_under_pressure()
            self._remove_expired_pauses()

    def find_runs_to_copy(self) -> list[StreamRun]:
        """Return the runs that need a copy now: without a backup, and with no recent replica."""
        now = self._state.now()
        if now - self._state.notice_at < NOTICE_PAUSE_S:
            return []
        due: list[StreamRun] = []
        for run in self._state.runs.all:
            if (
                run.events < MIN_EVENTS
                or run.has_ended
                or run.is_copying
                or run.pending_final_copy is not None
            ):
                continue
            if now < self._paused_until.get(run.request_id, 0.0):
                continue
            if not self._state.fleet.is_staying(run.upstream.upstream_id):
                continue
            if self._state.backoff_s(run.upstream):
                continue
            backup = run.backup
            if backup is not None and self._state.fleet.accepts_requests(backup.upstream_id):
                continue
            replica = self._mover.find_replica(run)
            if replica is None or now - replica.copied_at >= REFRESH_AGE_S:
                due.append(run)
        return due

    def drop_replicas_under_pressure(self) -> None:
        """Drop replicas on engines whose memory is nearly full, since runs take precedence."""
        for run in self._state.runs.all:
            replica, engine = run.replica, run.admitted.service.engine
            if (
                replica is None
                or engine is None
                or run.is_copying
                or run.pending_final_copy is not None
            ):
                continue
            if not self._state.fleet.is_staying(run.upstream.upstream_id):
                # The run's engine is leaving, so the run resumes at this replica soon.
                continue
            use = self._state.loads.use(replica.ref.upstream.upstream_id, self._state.now())
            if (use.tokens + use.copies) / engine.memory_tokens > MAX_MEMORY_SHARE:
                self._mover.drop_replica(run)
                self._paused_until[run.request_id] = self._state.now() + RETRY_DELAY_S

    def _copy(self, run: StreamRun) -> None:
        """Copy one run; pause its copies after a failure."""
        upstream_id = run.upstream.upstream_id
        try:
            target = self._mover.choose_target(
                run, frozenset(), max_memory_share=self._max_memory_share(run)
            )
            result = self._mover.copy(run, target) if target else None
            if result is None or isinstance(result, MoveFailed):
                self._paused_until[run.request_id] = self._state.now() + RETRY_DELAY_S
        finally:
            self._copying_engine_ids.discard(upstream_id)

    def _max_memory_share(self, run: StreamRun) -> float:
        """Return the memory share up to which an engine may be filled with a periodic replica."""
        engine = run.admitted.service.engine
        if engine is None:
            return 0.0
        return replica_fill_limit(
            run_memory_share(
                self._state.options(run.upstream.service, respects_backoff=False), engine
            )
        )

    def _remove_expired_pauses(self) -> None:
        """Remove pauses that have expired."""
        now = self._state.now()
        for request_id in [key for key, until in self._paused_until.items() if until < now]:
            del self._paused_until[request_id]
