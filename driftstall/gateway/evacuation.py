"""Evacuation of a leaving upstream by live migration of its streams (pre-copy).

A run's KV cache is copied while the run continues, then copied again, which transfers only what is
new; then the run stops for a short final stop-and-copy. Runs that already have a replica are moved
first, all at once. The others share the engine's link: instances take turns, and each finishes one
run after another, since every finished copy saves a run, while copying all at once may save none. A
run whose engine ends before its final copy resumes at its replica and recomputes what it has
produced since. Runs with a backup, a replica that an engine keeps up to date, need no move.
"""

from __future__ import annotations

from typing import Final

import gevent

from driftstall.const import PREFIX_RELAY
from driftstall.decisions.evacuation_order import REPLICA_HEAD_START_S
from driftstall.gateway.dialect import MoveFailed
from driftstall.gateway.loads import POOLED_PREFIX
from driftstall.gateway.model import Upstream
from driftstall.gateway.moves import Mover
from driftstall.gateway.runs import StreamRun
from driftstall.gateway.scheduling.evacuation_messages import CopyOrdered
from driftstall.gateway.scheduling.evacuation_orders import EvacuationOrders
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event

RECOPY_THRESHOLD_S: Final = 0.06
"""A copy that took longer than this is followed by another, so that the final copy is short."""
MAX_COPIES: Final = 3
MAX_MEMORY_SHARE: Final = 1.0
"""Memory share up to which an engine accepts a run that must leave; the sums are a forecast."""
MAX_TARGETS: Final = 3
"""Targets tried for one run; a target without room rejects the replica at once."""
POLL_INTERVAL_S: Final = 0.05
"""Pause before the next check for streams that have arrived, or begun to produce events."""
COPY_TOKENS_PER_S: Final = 9_000.0
"""Tokens copied per second between zones (18 KB each at half of 2.7 Gbit/s)."""
TURN_MARGIN_S: Final = 0.1
"""Time of a turn besides its copies: final copies, and the report that the turn is over."""
TURN_POLL_INTERVAL_S: Final = 0.01
TIMEOUT_S: Final = 10.0
"""Time after its notice for which streams are moved off a leaving upstream; an upstream that still
runs then keeps the remaining ones."""
MAX_STEP_WAIT_S: Final = 1.0
"""How long an ordered copy waits for a step of the same run that is in progress already."""


class Evacuation:
    """Moves the streams of this instance off leaving upstreams."""

    def __init__(self, state: GatewayState, mover: Mover) -> None:
        """Initialize with the shared state and the mover."""
        self._state = state
        self._mover = mover
        self._orders: EvacuationOrders | None = None

    def use_orders(self, orders: EvacuationOrders) -> None:
        """Connect the orders of copies off the engines of queued services."""
        self._orders = orders
        orders.performer.move = self.move_as_ordered

    def start(self, upstream: Upstream) -> None:
        """Start to move the streams off an upstream, in the background."""
        self._state.notice_at = self._state.now()
        gevent.spawn(self._evacuate, upstream)

    def _evacuate(self, upstream: Upstream) -> None:
        """Move streams for as long as the upstream is leaving and may still run.

        Some streams arrive after the notice: they were placed or moved there just before it.
        """
        log_event(
            PREFIX_RELAY,
            f"Upstream {upstream.upstream_id} is leaving",
            streams=len(self._state.runs.running_on(upstream.upstream_id)),
            revision=upstream.revision,
        )
        started_at = self._state.now()
        finished: set[str] = set()
        self._finish_replicated(upstream.upstream_id, finished)
        if self._orders is not None and self._orders.applies_to(upstream):
            self._follow_orders(upstream, self._orders, finished)
        else:
            gevent.sleep(REPLICA_HEAD_START_S)
        self._await_turn(upstream)
        tried: set[str] = set()
        engine_id, fleet = upstream.upstream_id, self._state.fleet
        while self._state.now() < started_at + TIMEOUT_S and not fleet.is_staying(engine_id):
            runs = self._state.runs.running_on(engine_id)
            waiting = [run for run in runs if self._is_movable(run) and run.request_id not in tried]
            if not waiting or self._state.backoff_s(upstream):
                gevent.sleep(POLL_INTERVAL_S)
                continue
            run = min(waiting, key=self._uncopied_tokens)
            if not self._move(run):
                tried.add(run.request_id)

    def _follow_orders(
        self, upstream: Upstream, orders: EvacuationOrders, finished: set[str]
    ) -> None:
        """Leave the order of copies to the placer; return when this instance has to continue alone.

        That is when it has a run to move and no orders are given. They are requested when it first
        has a run without a replica there: some arrive after the notice. Runs that get a replica
        meanwhile, by a periodic copy that was in progress, are finished at once.
        """
        engine_id, fleet = upstream.upstream_id, self._state.fleet
        started_at = self._state.now()
        has_requested = False
        orders.handle_notice(upstream)
        while self._state.now() < started_at + TIMEOUT_S and not fleet.is_staying(engine_id):
            runs = [run for run in self._state.runs.running_on(engine_id) if self._is_exposed(run)]
            self._finish_replicated(engine_id, finished)
            if runs and not has_requested:
                has_requested = True
                orders.request(upstream)
            waiting = [run for run in runs if self._is_movable(run)]
            may_continue = self._state.now() >= started_at + REPLICA_HEAD_START_S
            if waiting and may_continue and not orders.performer.waits_for_orders(engine_id):
                self._state.stats.evacuations_alone += 1
                log_event(
                    PREFIX_RELAY,
                    f"No orders for copies off {engine_id}: this instance continues alone",
                    streams=len(waiting),
                    ms=int((self._state.now() - started_at) * 1000),
                )
                return
            gevent.sleep(TURN_POLL_INTERVAL_S)

    def _finish_replicated(self, engine_id: str, finished: set[str]) -> None:
        """Start to move the runs that have a replica, each once."""
        for run in self._state.runs.running_on(engine_id):
            if run.request_id in finished or not self._is_movable(run):
                continue
            if self._mover.find_replica(run) is not None:
                finished.add(run.request_id)
                gevent.spawn(self._move, run)

    def move_as_ordered(self, order: CopyOrdered) -> bool:
        """Copy a run to the engine that the placer names; return True if it continues elsewhere.

        A replica that the run has meanwhile is brought up to date instead.
        """
        request_id = order.request_id
        runs = [run for run in self._state.runs.all if run.request_id == request_id]
        if not runs or runs[0].upstream.upstream_id != order.upstream_id:
            return bool(runs)
        run = runs[0]
        waits_until = self._state.now() + MAX_STEP_WAIT_S
        while (run.is_copying or run.pending_final_copy is not None) and not run.has_ended:
            if self._state.now() >= waits_until:
                return False
            gevent.sleep(TURN_POLL_INTERVAL_S)
        target = self._state.fleet.find(order.target_id)
        replica = self._mover.find_replica(run)
        if replica is not None:
            target = replica.ref.upstream
        if target is None or self._state.backoff_s(target) or not self._is_movable(run):
            return run.is_resumed_elsewhere
        result = self._move_to(run, target)
        return run.is_resumed_elsewhere or (result is True and not run.has_ended)

    def _await_turn(self, upstream: Upstream) -> None:
        """Wait until the instances before this one have moved their streams.

        All instances use the same order. An instance that reports no exposed tokens is skipped, and
        a turn lasts no longer than its copies should take. If only the sum of all instances is
        known, this instance waits for a random time instead.
        """
        own = self._state.settings.instance_id
        started = self._state.now()
        exposed = self._state.loads.exposed_at_peers(upstream.upstream_id, started)
        if any(peer.startswith(POOLED_PREFIX) for peer in exposed):
            total = sum(exposed.values())
            gevent.sleep(self._state.rng.random() * total / COPY_TOKENS_PER_S)
            return
        earlier_peers = sorted(peer for peer in exposed if peer < own)
        turn_ends = started
        for peer in earlier_peers:
            turn_ends += exposed[peer] / COPY_TOKENS_PER_S + TURN_MARGIN_S
            while self._state.now() < turn_ends:
                now = self._state.now()
                if peer not in self._state.loads.exposed_at_peers(upstream.upstream_id, now):
                    break
                gevent.sleep(TURN_POLL_INTERVAL_S)
            turn_ends = min(turn_ends, self._state.now())

    def _is_exposed(self, run: StreamRun) -> bool:
        """Return True if a run would be lost with its engine."""
        return not (run.has_ended or self._has_usable_backup(run)) and (
            self._mover.find_replica(run) is None
        )

    def _has_usable_backup(self, run: StreamRun) -> bool:
        """Return True if a run can resume at a backup."""
        backup = run.backup
        return backup is not None and self._state.fleet.accepts_requests(backup.upstream_id)

    def _is_movable(self, run: StreamRun) -> bool:
        """Return True if a run is free to be moved and has no usable backup."""
        if not run.events or run.has_ended or run.is_copying or run.pending_final_copy is not None:
            return False
        return not self._has_usable_backup(run)

    def _uncopied_tokens(self, run: StreamRun) -> int:
        """Return the number of tokens that are not copied yet."""
        replica = self._mover.find_replica(run)
        return run.held_tokens - (replica.tokens if replica else 0)

    def _move(self, run: StreamRun) -> bool:
        """Copy a run, then make its final copy; return whether it was moved."""
        if not self._is_movable(run):
            # An ordered copy of the run has begun since this was scheduled.
            return False
        avoid: set[str] = set()
        for _ in range(MAX_TARGETS):
            target = self._mover.choose_target(
                run, frozenset(avoid), max_memory_share=MAX_MEMORY_SHARE
            )
            if target is None:
                return False
            result = self._move_to(run, target)
            if isinstance(result, bool):
                return result
            if result.no_such_run:
                return False
            avoid.add(target.upstream_id)
        return False

    def _move_to(self, run: StreamRun, target: Upstream) -> bool | MoveFailed:
        """Copy a run to one engine, then make its final copy.

        Return whether it was moved or has ended, or the failure of a copy while it continued.
        """
        source = run.upstream
        failure = self._copy(run, target)
        if failure is not None:
            return failure
        if run.has_ended or run.upstream.upstream_id != source.upstream_id:
            return True
        return self._mover.make_final_copy(run, target)

    def _copy(self, run: StreamRun, target: Upstream) -> MoveFailed | None:
        """Copy while the run continues, until a copy is quick; return a failure, if any."""
        for _ in range(MAX_COPIES):
            started = self._state.now()
            result = self._mover.copy(run, target)
            if isinstance(result, MoveFailed):
                return result
            if run.has_ended or self._state.now() - started <= RECOPY_THRESHOLD_S:
                break
        return None
