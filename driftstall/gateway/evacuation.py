"""Move streams off an upstream that is leaving.

A run's memory is copied while it goes on, then copied again, which takes only what is
new; then the run stops and the last step is short. Runs that have a copy already are
moved first, at once. The others share the engine's link: instances take turns, and each
finishes one run after another, since finishing some saves these, where copying all at
once may save none. A run whose engine ends before its last step goes on at its copy and
reads again what it has made since. Runs whose copy an engine keeps up by itself
elsewhere need no move.
"""

from __future__ import annotations

from typing import Final

import gevent

from driftstall.const import PREFIX_RELAY
from driftstall.gateway.dialect import MoveFailed
from driftstall.gateway.loads import POOLED_PREFIX
from driftstall.gateway.model import Upstream
from driftstall.gateway.moves import Mover
from driftstall.gateway.runs import StreamRun
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event

COPY_AGAIN_S: Final = 0.06
"""A copy that took longer than this is followed by another, so that the last step is short."""
MAX_COPIES: Final = 3
COPIED_FIRST_S: Final = 0.1
"""Head start of the runs that have a copy: what is left of each takes some milliseconds."""
MOST_MEMORY: Final = 1.0
"""Memory share up to which an engine takes a run that must leave; the sums are a forecast."""
TARGETS: Final = 3
"""Targets tried for one run; one without room says so at once."""
RETRY_S: Final = 0.05
"""Pause before the next look for streams that have come, or begun to make events."""
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
        self._state.notice_at = self._state.now()
        gevent.spawn(self._run, upstream)

    def _run(self, upstream: Upstream) -> None:
        """Move streams for as long as the upstream is leaving and may live.

        Some arrive after the notice: they were placed or moved there just before it.
        """
        log_event(
            PREFIX_RELAY,
            f"Upstream {upstream.upstream_id} is leaving",
            streams=len(self._state.runs.running_on(upstream.upstream_id)),
            revision=upstream.revision,
        )
        began = self._state.now()
        for run in self._state.runs.running_on(upstream.upstream_id):
            if self._is_movable(run) and self._mover.find_replica(run) is not None:
                gevent.spawn(self._move, run)
        gevent.sleep(COPIED_FIRST_S)
        self._await_turn(upstream)
        tried: set[str] = set()
        engine_id, fleet = upstream.upstream_id, self._state.fleet
        while self._state.now() < began + GIVE_UP_S and not fleet.is_staying(engine_id):
            runs = self._state.runs.running_on(engine_id)
            waiting = [run for run in runs if self._is_movable(run) and run.request_id not in tried]
            if not waiting or self._state.backoff_s(upstream):
                gevent.sleep(RETRY_S)
                continue
            run = min(waiting, key=self._left_to_copy)
            if not self._move(run):
                tried.add(run.request_id)

    def _await_turn(self, upstream: Upstream) -> None:
        """Wait until the instances before this one have moved their streams.

        The order is the same everywhere; who reports nothing exposed is passed over,
        and a turn lasts no longer than its copies should take. Where only the sum of all
        is known, the turns are drawn by lot.
        """
        own = self._state.settings.instance_id
        started = self._state.now()
        exposed = self._state.loads.exposed_at_peers(upstream.upstream_id, started)
        if any(peer.startswith(POOLED_PREFIX) for peer in exposed):
            in_all = sum(exposed.values())
            gevent.sleep(self._state.rng.random() * in_all / COPY_TOKENS_PER_S)
            return
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

    def _is_movable(self, run: StreamRun) -> bool:
        """Tell whether a running stream has no engine that keeps up a copy."""
        if not run.events or run.ended or run.is_copying or run.pending_final_copy is not None:
            return False
        backup = run.backup
        return backup is None or not self._state.fleet.accepts_requests(backup.upstream_id)

    def _left_to_copy(self, run: StreamRun) -> int:
        """Return the tokens that are not copied yet."""
        kept = self._mover.find_replica(run)
        return run.held_tokens - (kept.tokens if kept else 0)

    def _move(self, run: StreamRun) -> bool:
        """Copy a run, then take its last step; return whether it moved."""
        source = run.upstream
        avoid: set[str] = set()
        for _ in range(TARGETS):
            target = self._mover.choose_target(run, frozenset(avoid), max_memory_share=MOST_MEMORY)
            if target is None:
                return False
            failure = self._copy(run, target)
            if failure is None:
                if run.ended or run.upstream.upstream_id != source.upstream_id:
                    return True
                return self._mover.make_final_copy(run, target)
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
