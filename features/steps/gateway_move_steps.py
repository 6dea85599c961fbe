"""Test replication and live migration of the gateway's streams between stand-ins of engines."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import gevent
from behave import given, then, when

from driftstall.decisions.store_versions import StoreVersion
from driftstall.gateway import moves
from driftstall.gateway.evacuation import POLL_INTERVAL_S
from driftstall.gateway.fleet_events import UpstreamChanged
from driftstall.gateway.model import Bounds, UpstreamState
from driftstall.gateway.protection import RunProtection
from driftstall.gateway.runs import RunRegistry, StreamRun
from features.steps.gateway_stream_steps import memory_full
from features.worlds.gateway_world import runs, script_upstreams, wait_for, world_of
from stand_ins.routed import Script

LOOKUPS_PER_NOTICE = 3
"""Look-ups per notice: for its log line, for streams with a replica, and for the others."""


class CountingRunRegistry(RunRegistry):
    """A run registry that counts the look-ups of an engine's streams."""

    lookups = 0

    def running_on(self, upstream_id: str) -> tuple[StreamRun, ...]:
        """Count the look-up and return the runs."""
        self.lookups += 1
        return super().running_on(upstream_id)


@when("it goes on at its copy while a further step of that copy is being taken")
def step_in_flight(context: Any) -> None:
    """Break the stream off during an incremental copy, and let that copy end after the resume."""
    world, engine = world_of(context), context.engine
    (run,) = world.state.runs.all
    target = world.mover.choose_target(run, frozenset(), max_memory_share=1.0)
    assert target is not None
    world.mover.copy(run, target)

    def answer_late(wanted: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        context.script.late.wait()
        return 200, {"handle": "copy-s1", "made": 8}

    engine.move_answers = [answer_late]
    copying = gevent.spawn(world.mover.copy, run, target)
    wait_for("the copy is requested", lambda: not engine.move_answers)
    context.script.break_after = 8
    script_upstreams(world, "s1", [Script(events=9)])
    context.script.gate.set()
    context.answer = context.asked.get(timeout=5.0)
    context.script.late.set()
    copying.get(timeout=5.0)
    context.broken_run = run


@then("no copy was freed")
def nothing_freed(context: Any) -> None:
    """Check that the broken run still refers to its replica."""
    assert context.broken_run.replica is not None


@when("its engine gives notice and takes it back before the stream is moved")
def notice_taken_back(context: Any) -> None:
    """Hide the run during a notice and its withdrawal, then register it again."""
    world = world_of(context)
    (run,) = world.state.runs.all
    world.state.runs = registry = CountingRunRegistry()
    world.give_notice(context.engine)
    wait_for("the notice has found no stream", lambda: registry.lookups >= LOOKUPS_PER_NOTICE)
    world.state.fleet.handle(UpstreamChanged(world.entry(context.engine), False), world.state.now())
    registry.add(run)
    gevent.spawn_later(4 * POLL_INTERVAL_S, context.script.gate.set)


@when("its engine gives notice")
def gives_notice(context: Any) -> None:
    """Give notice, and let the engine break off once the run was stopped."""
    world = world_of(context)
    world.give_notice(context.engine)
    wait_for("the run is stopped", lambda: bool(context.engine.stopped))
    context.script.gate.set()


@when("its engine has given notice before the stream was known to run there")
def notice_before(context: Any) -> None:
    """Register the run only after the notice has found none."""
    world = world_of(context)
    (run,) = world.state.runs.all
    world.state.runs = registry = CountingRunRegistry()
    world.give_notice(context.engine)
    wait_for("the notice has found no stream", lambda: registry.lookups >= LOOKUPS_PER_NOTICE)
    registry.add(run)
    wait_for("the run is stopped", lambda: bool(context.engine.stopped))
    context.script.gate.set()


@when("its engine gives notice and ends once a copy was made")
def notice_and_end(context: Any) -> None:
    """Give notice; the engine makes one copy and ends at the next copy request."""
    world, engine = world_of(context), context.engine

    def copy_and_end(wanted: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        engine.stopped.add("s1")
        context.script.gate.set()
        return 409, {}

    engine.move_answers = [engine.copy_run, *[copy_and_end for _ in range(20)]]
    world.give_notice(engine)


@when("its engine gives notice, and stops the run without a word")
def notice_and_lost_answer(context: Any) -> None:
    """Stop the run at the final copy, and break the connection instead of answering."""
    world, engine = world_of(context), context.engine

    def stop_silently(wanted: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        engine.stopped.add("s1")
        context.script.gate.set()
        raise ConnectionError("the answer is lost")

    engine.move_answers = [engine.copy_run, stop_silently]
    world.give_notice(engine)


@when("its engine gives notice, and finds no such run at the last step")
def notice_and_no_run(context: Any) -> None:
    """Let the stream end by itself while the final copy is requested."""
    world, engine = world_of(context), context.engine

    def end_first(wanted: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        context.script.gate.set()
        context.script.ended.wait()
        return 404, {}

    engine.move_answers = [engine.copy_run, end_first]
    world.give_notice(engine)


@when("its engine gives notice, makes a copy, and ends without an answer to the last step")
def notice_and_silent_step(context: Any) -> None:
    """Answer the first copy; at the final copy, end the stream and answer too late."""
    world, engine = world_of(context), context.engine

    def end_and_hang(wanted: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        engine.stopped.add("s1")
        context.script.gate.set()
        context.script.late.wait()
        return 200, {"handle": "too-late", "made": 2}

    context.add_cleanup(context.script.late.set)
    engine.move_answers = [engine.copy_run, end_and_hang]
    world.give_notice(engine)


@when("its engine gives notice, and ends long after the last step")
def ends_long_after(context: Any) -> None:
    """Advance the clock past a replica's maximum age between the final copy and the end."""
    original = moves.MAX_REPLICA_AGE_S
    moves.MAX_REPLICA_AGE_S = 0.5  # type: ignore[misc]
    context.add_cleanup(setattr, moves, "MAX_REPLICA_AGE_S", original)
    end_after_final_copy(context, after_s=0.6)


@when("its engine gives notice, keeps the stopped run, and ends after the time to drain")
def ends_after_drain(context: Any) -> None:
    """Let the final copy fail for lack of memory; the engine keeps the stopped run itself."""
    world, engine = world_of(context), context.engine
    drain_s = 0.5
    world.state.settings = replace(world.state.settings, bounds=Bounds(drain_s=drain_s))

    def stopped(wanted: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        engine.stopped.add("s1")
        engine.copies["kept"] = 2
        return 503, {"handle": "kept"}

    engine.move_answers = [engine.copy_run, stopped]
    end_after_final_copy(context, after_s=drain_s + 0.1, drop_copies=True)


def end_after_final_copy(context: Any, *, after_s: float, drop_copies: bool = False) -> None:
    """Give notice, wait for the final copy, advance the clock, then end the stream."""
    world = world_of(context)
    (run,) = world.state.runs.all
    world.give_notice(context.engine)
    wait_for(
        "the final copy",
        lambda: run.pending_final_copy is not None and run.pending_final_copy.ready(),
    )
    if drop_copies:
        run.replica = None
    world.pass_time(after_s)
    context.script.gate.set()


@when("its engine gives notice, makes a copy, is busy at the last step and breaks off")
def notice_and_busy(context: Any) -> None:
    """Answer the first copy; refuse the final one as busy, then end the stream."""
    world, engine = world_of(context), context.engine

    def busy(wanted: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        context.script.break_after = 2
        return 409, {"handle": "not-made"}

    def end_after_refusal() -> None:
        (run,) = world.state.runs.all
        wait_for(
            "the final copy",
            lambda: run.pending_final_copy is not None and run.pending_final_copy.ready(),
        )
        context.script.gate.set()

    gevent.spawn(end_after_refusal)
    engine.move_answers = [engine.copy_run, *[busy for _ in range(20)]]
    world.give_notice(engine)


@given("moves will be answered {status:d}")
def moves_fail(context: Any, status: int) -> None:
    """Script every engine to refuse migrations with that status."""
    for engine in world_of(context).engines:
        engine.move_answers = [lambda _: (status, {}) for _ in range(20)]


@when("its engine gives notice and goes on")
def notice_and_goes_on(context: Any) -> None:
    """Give notice; the engine runs long enough for the stream to end there."""
    world = world_of(context)
    world.give_notice(context.engine)
    wait_for("a move was tried", lambda: len(context.engine.move_answers) < 20)
    context.script.gate.set()


@then('"{request_id}" went on from its moved memory after event {number:d}')
def from_move(context: Any, request_id: str, number: int) -> None:
    """Check the resume headers of the second send."""
    upstreams = runs(world_of(context), request_id)
    (resumed,) = [each for each in upstreams if "kv-from" in each.seen[-1].headers]
    headers = resumed.seen[-1].headers
    assert headers["kv-from"] == f"{context.engine.address}/copy-{request_id}", headers
    assert headers["last-event-id"] == str(number), headers


@when("copies are kept")
def copies_kept(context: Any) -> None:
    """Start the periodic replication of runs."""
    world = world_of(context)
    RunProtection(world.state, world.mover).start()


@then('an engine that "{request_id}" does not run on holds its copy')
def copy_held(context: Any, request_id: str) -> None:
    """Wait for the replica, and check its engine and its load."""
    world = world_of(context)
    (run,) = world.state.runs.all
    wait_for("a replica exists", lambda: run.replica is not None)
    others = [engine for engine in world.engines if engine is not context.engine]
    assert any(f"copy-{request_id}" in engine.copies for engine in others)
    assert run.replica is not None
    assert world.state.loads.use(run.replica.ref.upstream.upstream_id, world.state.now()).copies


@then("the copy is dropped when its engine fills")
def copy_dropped(context: Any) -> None:
    """Fill the engines' memory and wait until the replica is dropped."""
    world = world_of(context)
    (run,) = world.state.runs.all
    memory_full(context)
    wait_for("the replica is dropped", lambda: run.replica is None)
    wait_for("its memory is free", lambda: not any(engine.copies for engine in world.engines))
    context.script.gate.set()


@when("a copy of it is made, its engine is leaving and all engines are full")
def leaving_and_full(context: Any) -> None:
    """Copy the run, then mark its engine as leaving in the fleet without the notice's actions."""
    world = world_of(context)
    (run,) = world.state.runs.all
    target = world.mover.choose_target(run, frozenset(), max_memory_share=1.0)
    assert target is not None
    world.mover.copy(run, target)
    leaving = replace(
        run.upstream, state=UpstreamState.LEAVING, revision=StoreVersion(run.upstream.revision + 1)
    )
    world.state.fleet.handle(UpstreamChanged(leaving, False), world.state.now())
    memory_full(context)


@then("making room leaves its copy alone")
def copy_stays(context: Any) -> None:
    """Drop replicas under memory pressure, as the periodic check does."""
    world = world_of(context)
    (run,) = world.state.runs.all
    RunProtection(world.state, world.mover).drop_replicas_under_pressure()
    assert run.replica is not None
    context.script.gate.set()


@when("a notice was given and copies are kept")
def notice_and_copies(context: Any) -> None:
    """Create the protection of runs right after a notice."""
    world = world_of(context)
    world.state.notice_at = world.state.now()
    context.protection = RunProtection(world.state, world.mover)


@then('"{request_id}" has no copy')
def no_copy_made(context: Any, request_id: str) -> None:
    """Check that no run is to be copied soon after a notice, and that runs are later."""
    world = world_of(context)
    assert not context.protection.find_runs_to_copy()
    world.state.notice_at = float("-inf")
    assert [run.request_id for run in context.protection.find_runs_to_copy()] == [request_id]
    context.script.gate.set()
