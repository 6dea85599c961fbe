"""Keep a copy of every long stream, so that a short notice or none is enough.

An engine keeps up the copy that it was asked for with the request. Where that copy is
lost, because its engine left, or was never asked for, this copies the run's memory now
and then; what is left to copy at a notice is then little.
"""

from __future__ import annotations

from typing import Final

import gevent

from driftstall.const import PREFIX_RELAY
from driftstall.decisions.replica_limits import replica_fill_limit
from driftstall.gateway.dialect import MoveFailed
from driftstall.gateway.moves import Mover
from driftstall.gateway.runs import StreamRun
from driftstall.gateway.selection import run_memory_share
from driftstall.gateway.state import GatewayState
from driftstall.helpers.tasks import keep_running

PERIOD_S: Final = 0.2
REFRESH_S: Final = 2.0
"""A copy older than this is brought up to date; engines drop one after about five seconds."""
FAILED_PAUSE_S: Final = 1.0
"""Pause after a copy that failed for want of room."""
DROP_MEMORY: Final = 0.85
"""Memory share from which copies are dropped again."""
NOTICE_S: Final = 2.0
"""Time after a notice in which no copies are made here: the links are for what must leave."""
MIN_EVENTS: Final = 6
"""Events after which a run is worth a copy; many end before."""


class RunProtection:
    """Keep copies of this instance's streams."""

    def __init__(self, state: GatewayState, mover: Mover) -> None:
        """Take the shared state and who takes the steps."""
        self._state = state
        self._mover = mover
        self._busy: set[str] = set()
        self._not_before: dict[str, float] = {}

    def start(self) -> None:
        """Start to keep copies."""
        keep_running(PREFIX_RELAY, self._run)

    def _run(self) -> None:
        """Copy what needs it, one run at a time on each engine."""
        while True:
            gevent.sleep(PERIOD_S)
            wanting = sorted(self.find_runs_to_copy(), key=lambda run: run.replica is not None)
            for run in wanting:
                if run.upstream.upstream_id not in self._busy:
                    self._busy.add(run.upstream.upstream_id)
                    gevent.spawn(self._copy, run)
            self.drop_replicas_under_pressure()
            self._forget_ended()

    def find_runs_to_copy(self) -> list[StreamRun]:
        """Return the runs that need a copy now: they have none, or an old one."""
        now = self._state.now()
        if now - self._state.notice_at < NOTICE_S:
            return []
        found: list[StreamRun] = []
        for run in self._state.runs.all:
            if (
                run.events < MIN_EVENTS
                or run.ended
                or run.is_copying
                or run.pending_final_copy is not None
            ):
                continue
            if now < self._not_before.get(run.request_id, 0.0):
                continue
            if not self._state.fleet.is_staying(run.upstream.upstream_id):
                continue
            if self._state.backoff_s(run.upstream):
                continue
            backup = run.backup
            if backup is not None and self._state.fleet.accepts_requests(backup.upstream_id):
                continue
            replica = self._mover.find_replica(run)
            if replica is None or now - replica.copied_at >= REFRESH_S:
                found.append(run)
        return found

    def drop_replicas_under_pressure(self) -> None:
        """Drop copies on engines whose memory is nearly full; runs go first."""
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
                # Its engine is leaving: the copy is where the run goes on soon.
                continue
            use = self._state.loads.use(replica.ref.upstream.upstream_id, self._state.now())
            if (use.tokens + use.copies) / engine.memory_tokens > DROP_MEMORY:
                self._mover.drop_replica(run)
                self._not_before[run.request_id] = self._state.now() + FAILED_PAUSE_S

    def _copy(self, run: StreamRun) -> None:
        """Copy one run."""
        upstream_id = run.upstream.upstream_id
        try:
            target = self._mover.choose_target(run, frozenset(), max_memory_share=self._line(run))
            result = self._mover.copy(run, target) if target else None
            if result is None or isinstance(result, MoveFailed):
                self._not_before[run.request_id] = self._state.now() + FAILED_PAUSE_S
        finally:
            self._busy.discard(upstream_id)

    def _line(self, run: StreamRun) -> float:
        """Return the share of memory up to which an engine takes a copy made ahead."""
        engine = run.admitted.service.engine
        if engine is None:
            return 0.0
        return replica_fill_limit(
            run_memory_share(self._state.options(run.upstream.service, heeds_backoff=False), engine)
        )

    def _forget_ended(self) -> None:
        """Forget pauses that are over."""
        now = self._state.now()
        for request_id in [one for one, until in self._not_before.items() if until < now]:
            del self._not_before[request_id]
