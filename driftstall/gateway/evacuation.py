"""Move streams off an upstream that is leaving, one after another.

A run's memory is copied while it goes on, then copied again, which takes only what
is new; then the run stops and the last step is short. The moves of one upstream
share its link, so they are taken in turn, what is nearly copied first: finishing
some saves these, where copying all at once may save none. Runs whose copy an engine
keeps up by itself elsewhere need no move.
"""

from __future__ import annotations

from typing import Final

import gevent

from driftstall.const import PREFIX_RELAY
from driftstall.gateway.dialect import MoveFailed
from driftstall.gateway.model import Upstream
from driftstall.gateway.moves import Mover
from driftstall.gateway.runs import StreamRun
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import say

COPY_AGAIN_S: Final = 0.06
"""A copy that took longer than this is followed by another, so that the last step is short."""
MAX_COPIES: Final = 3
MOST_MEMORY: Final = 1.0
"""Memory share up to which an engine takes a run that must leave; the sums are a forecast."""
TARGETS: Final = 3
"""Targets tried for one run; one without room says so at once."""
RETRY_S: Final = 0.05
"""Pause before a run is tried that the engine does not know yet."""
COPY_TOKENS_PER_S: Final = 9_000.0
"""Tokens copied in a second between zones (18 KB each at half of 2.7 Gbit/s)."""
TURN_MARGIN_S: Final = 0.1
"""Time of a turn besides its copies: last steps, and the report that it is over."""
TURN_CHECK_S: Final = 0.01
GIVE_UP_S: Final = 10.0
"""An upstream that still lives so long after its notice is left to its streams."""


class Evacuation:
    """Move the streams of this instance off leaving upstreams."""

    def __init__(self, state: GatewayState, mover: Mover) -> None:
        """Take the shared state and who takes the steps."""
        self._state = state
        self._mover = mover

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
        self._await_turn(upstream)
        tried: set[str] = set()
        while self._state.now() < until:
            if not self._state.runs.on(upstream.upstream_id):
                return
            waiting = [run for run in self._movable(upstream) if run.request_id not in tried]
            if not waiting:
                gevent.sleep(RETRY_S)
                continue
            run = min(waiting, key=self._left_to_copy)
            if not self._move(run):
                tried.add(run.request_id)

    def _await_turn(self, upstream: Upstream) -> None:
        """Wait until the instances before this one have moved their streams.

        The order is the same everywhere; who reports nothing exposed is passed over,
        and a turn lasts no longer than its copies should take.
        """
        own = self._state.settings.instance_id
        started = self._state.now()
        exposed = self._state.loads.exposed_at_peers(upstream.upstream_id, started)
        before = sorted(peer for peer in exposed if peer < own)
        turn_ends = started
        for peer in before:
            turn_ends += exposed[peer] / COPY_TOKENS_PER_S + TURN_MARGIN_S
            while self._state.now() < turn_ends:
                now = self._state.now()
                if peer not in self._state.loads.exposed_at_peers(upstream.upstream_id, now):
                    break
                gevent.sleep(TURN_CHECK_S)
            turn_ends = min(turn_ends, self._state.now())

    def _movable(self, upstream: Upstream) -> list[StreamRun]:
        """Return the running streams that have no copy to go on at."""
        return [
            run
            for run in self._state.runs.on(upstream.upstream_id)
            if run.events
            and not run.ended
            and not run.copying
            and run.moving is None
            and not self._is_backed(run)
        ]

    def _is_backed(self, run: StreamRun) -> bool:
        """Tell whether an engine that stays keeps up a copy of the run."""
        backup = run.backup
        return backup is not None and self._state.fleet.takes_requests(backup.upstream_id)

    def _left_to_copy(self, run: StreamRun) -> int:
        """Return the tokens that are not copied yet."""
        kept = self._mover.kept(run)
        return run.held_tokens - (kept.tokens if kept else 0)

    def _move(self, run: StreamRun) -> bool:
        """Copy a run, then take its last step; return whether it moved."""
        source = run.upstream
        avoid: set[str] = set()
        for _ in range(TARGETS):
            target = self._mover.choose_target(run, frozenset(avoid), most_memory=MOST_MEMORY)
            if target is None:
                return False
            failure = self._copy(run, target)
            if failure is None:
                if run.ended or run.upstream.upstream_id != source.upstream_id:
                    return True
                return self._mover.take_last_step(run, target)
            if failure.no_such_run:
                return False
            avoid.add(target.upstream_id)
        return False

    def _copy(self, run: StreamRun, target: Upstream) -> MoveFailed | None:
        """Copy while the run goes on, until a copy is quick; return a failure."""
        for _ in range(MAX_COPIES):
            started = self._state.now()
            result = self._mover.copy(run, target)
            if isinstance(result, MoveFailed):
                return result
            if run.ended or self._state.now() - started <= COPY_AGAIN_S:
                break
        return None
