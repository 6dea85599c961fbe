"""Move streams off an upstream that is leaving, one after another.

A run's memory is copied while it goes on, then copied again, which takes only what
is new; then the run stops and the last step is short. The moves of one upstream
share its link, so they are taken in turn: finishing some saves these, where copying
all at once may save none. Runs whose copy is kept elsewhere already need no move.
"""

from __future__ import annotations

from typing import Final

import gevent
from gevent.event import AsyncResult

from driftstall.const import PREFIX_RELAY
from driftstall.gateway.dialect import MoveDone, MoveFailed
from driftstall.gateway.model import Upstream
from driftstall.gateway.runs import Copy, StreamRun
from driftstall.gateway.selection import Need, choose_move
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import say

COPY_AGAIN_S: Final = 0.06
"""A copy that took longer than this is followed by another, so that the last step is short."""
MAX_COPIES: Final = 3
TARGETS: Final = 3
"""Targets tried for one run; one without room says so at once."""
RETRY_S: Final = 0.05
"""Pause before a run is tried that the engine does not know yet."""
GIVE_UP_S: Final = 10.0
"""An upstream that still lives so long after its notice is left to its streams."""


class Evacuation:
    """Move the streams of this instance off leaving upstreams."""

    def __init__(self, state: GatewayState) -> None:
        """Take the shared state."""
        self._state = state

    def start(self, upstream: Upstream) -> None:
        """Begin to move the streams off an upstream."""
        gevent.spawn(self._run, upstream)

    def _run(self, upstream: Upstream) -> None:
        """Move streams until none is left that a move can help."""
        until = self._state.now() + GIVE_UP_S
        say(
            PREFIX_RELAY,
            f"Upstream {upstream.upstream_id} is leaving",
            streams=len(self._state.runs.on(upstream.upstream_id)),
            revision=upstream.revision,
        )
        tried: set[str] = set()
        while self._state.now() < until:
            waiting = [run for run in self._movable(upstream) if run.request_id not in tried]
            if not waiting:
                if not self._state.runs.on(upstream.upstream_id):
                    return
                gevent.sleep(RETRY_S)
                continue
            run = min(waiting, key=lambda one: one.held_tokens)
            if not self._move(run, upstream):
                tried.add(run.request_id)

    def _movable(self, upstream: Upstream) -> list[StreamRun]:
        """Return the running streams that have no copy to go on at."""
        return [
            run
            for run in self._state.runs.on(upstream.upstream_id)
            if run.events and not run.ended and run.moving is None and not self._is_backed(run)
        ]

    def _is_backed(self, run: StreamRun) -> bool:
        """Tell whether the run's copy is on an upstream that stays."""
        backup = run.backup
        return backup is not None and self._state.fleet.takes_requests(backup.upstream_id)

    def _move(self, run: StreamRun, source: Upstream) -> bool:
        """Copy a run, then take its last step; return whether it moved."""
        avoid = {source.upstream_id}
        for _ in range(TARGETS):
            target = self._target(run, source, frozenset(avoid))
            if target is None:
                return False
            copied = self._copy(run, source, target)
            if copied is not None and copied.no_such_run:
                return False
            if copied is None:
                return self._last_step(run, source, target)
            avoid.add(target.upstream_id)
        return False

    def _target(self, run: StreamRun, source: Upstream, avoid: frozenset[str]) -> Upstream | None:
        """Choose where a run goes on."""
        engine = run.admitted.service.engine
        if engine is None or not engine.can_move:
            return None
        expected = int(self._state.lengths.expected(run.request))
        need = Need(run.held_tokens, max(0, expected - run.tokens))
        options = self._state.options(source.service, avoid)
        chosen = choose_move(options, engine, need, source, self._state.source)
        return chosen.upstream if chosen else None

    def _copy(self, run: StreamRun, source: Upstream, target: Upstream) -> MoveFailed | None:
        """Copy while the run goes on, until a copy is quick; return a failure."""
        for _ in range(MAX_COPIES):
            started = self._state.now()
            result = self._state.dialect.move(source, run.request_id, target, last=False)
            seconds = self._state.now() - started
            self._say(run, source, target, "copied", result, seconds)
            if isinstance(result, MoveFailed):
                self._state.stats.moves_failed += 1
                return result
            if seconds <= COPY_AGAIN_S or run.ended:
                break
        return None

    def _last_step(self, run: StreamRun, source: Upstream, target: Upstream) -> bool:
        """Stop the run and copy what is left; its relay goes on with the result."""
        if run.ended or run.upstream.upstream_id != source.upstream_id:
            return False
        moving = run.moving = AsyncResult()
        started = self._state.now()
        result = self._state.dialect.move(source, run.request_id, target, last=True)
        self._say(run, source, target, "moved", result, self._state.now() - started)
        if isinstance(result, MoveDone):
            self._state.stats.streams_moved += 1
            moving.set(Copy(target, result.copy_of))
            return True
        self._state.stats.moves_failed += 1
        # The source keeps what it has made: the run goes on there if it still can.
        moving.set(Copy(source, result.copy_of) if result.copy_of else None)
        return False

    def _say(
        self,
        run: StreamRun,
        source: Upstream,
        target: Upstream,
        step: str,
        result: MoveDone | MoveFailed,
        seconds: float,
    ) -> None:
        """Log one step of a move."""
        outcome = result.detail if isinstance(result, MoveFailed) else "done"
        say(
            PREFIX_RELAY,
            f"A stream is {step} to {target.upstream_id}: {outcome}",
            request=run.request_id,
            source=source.upstream_id,
            held_tokens=run.held_tokens,
            ms=int(seconds * 1000),
        )
