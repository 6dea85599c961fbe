"""Check how the gateway's streams are copied and moved between stand-ins of their engines."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import gevent
from behave import given, then, when

from driftstall.decisions.store_versions import StoreVersion
from driftstall.gateway import moves
from driftstall.gateway.evacuation import POLL_INTERVAL_S
from driftstall.gateway.fleet_events import Changed
from driftstall.gateway.model import Bounds, UpstreamState
from driftstall.gateway.protection import RunProtection
from driftstall.gateway.runs import RunRegistry, StreamRun
from features.steps.gateway_stream_steps import memory_full
from features.worlds.gateway_world import runs, script_upstreams, wait_for, world_of
from stand_ins.routed import Script

LOOKS = 3
"""Looks for streams at a notice: for its log line, for those with a copy, for the others."""


class CountingBook(RunRegistry):
    """Count how often the streams of an engine are looked for."""

    looked = 0

    def running_on(self, upstream_id: str) -> tuple[StreamRun, ...]:
        """Count, then look."""
        self.looked += 1
        return super().running_on(upstream_id)


@when("it goes on at its copy while a further step of that copy is being taken")
def step_in_flight(context: Any) -> None:
    """Make a copy, hold the next step up, break the stream off, then end the step."""
    world, engine = world_of(context), context.engine
    (run,) = world.state.runs.all
    target = world.mover.choose_target(run, frozenset(), max_memory_share=1.0)
    assert target is not None
    world.mover.copy(run, target)

    def held_up(wanted: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        context.script.late.wait()
        return 200, {"handle": "copy-s1", "made": 8}

    engine.move_answers = [held_up]
    step = gevent.spawn(world.mover.copy, run, target)
    wait_for("the step is taken", lambda: not engine.move_answers)
    context.script.break_after = 8
    script_upstreams(world, "s1", [Script(events=9)])
    context.script.gate.set()
    context.answer = context.asked.get(timeout=5.0)
    context.script.late.set()
    step.get(timeout=5.0)
    context.left_run = run


@then("no copy was freed")
def nothing_freed(context: Any) -> None:
    """Look whether the run still holds it."""
    assert context.left_run.kept is not None


@when("its engine gives notice and takes it back before the stream is moved")
def notice_taken_back(context: Any) -> None:
    """Take the run off the books, give notice, list the engine as ready, put the run back."""
    world = world_of(context)
    (run,) = world.state.runs.all
    world.state.runs = book = CountingBook()
    world.give_notice(context.engine)
    wait_for("the notice has found no stream", lambda: book.looked >= LOOKS)
    world.state.fleet.handle(Changed(world.entry(context.engine), False), world.state.now())
    book.add(run)
    gevent.spawn_later(4 * POLL_INTERVAL_S, context.script.gate.set)


@when("its engine gives notice")
def gives_notice(context: Any) -> None:
    """Give notice, and let the engine break off once the stream was stopped."""
    world = world_of(context)
    world.give_notice(context.engine)
    wait_for("the run is stopped", lambda: bool(context.engine.stopped))
    context.script.gate.set()


@when("its engine has given notice before the stream was known to run there")
def notice_before(context: Any) -> None:
    """Take the run off the books until the notice has found none."""
    world = world_of(context)
    (run,) = world.state.runs.all
    world.state.runs = book = CountingBook()
    world.give_notice(context.engine)
    wait_for("the notice has found no stream", lambda: book.looked >= LOOKS)
    book.add(run)
    wait_for("the run is stopped", lambda: bool(context.engine.stopped))
    context.script.gate.set()


@when("its engine gives notice and ends once a copy was made")
def notice_and_end(context: Any) -> None:
    """Give notice; the engine breaks off instead of taking the next step."""
    world, engine = world_of(context), context.engine

    def copy_and_end(wanted: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        engine.stopped.add("s1")
        context.script.gate.set()
        return 409, {}

    engine.move_answers = [engine.copy_run, *[copy_and_end for _ in range(20)]]
    world.give_notice(engine)


@when("its engine gives notice, and stops the run without a word")
def notice_and_no_word(context: Any) -> None:
    """Stop the run at the last step, and answer with bytes that are none of the protocol."""
    world, engine = world_of(context), context.engine

    def stop_silently(wanted: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        engine.stopped.add("s1")
        context.script.gate.set()
        raise ConnectionError("the answer is lost")

    engine.move_answers = [engine.copy_run, stop_silently]
    world.give_notice(engine)


@when("its engine gives notice, and finds no such run at the last step")
def notice_and_no_run(context: Any) -> None:
    """Let the stream end by itself while the last step is asked for."""
    world, engine = world_of(context), context.engine

    def end_first(wanted: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        context.script.gate.set()
        context.script.ended.wait()
        return 404, {}

    engine.move_answers = [engine.copy_run, end_first]
    world.give_notice(engine)


@when("its engine gives notice, makes a copy, and ends without an answer to the last step")
def notice_and_silent_step(context: Any) -> None:
    """Answer the first step; at the last one, end the stream and answer too late."""
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
    """Let the clock jump between the last step and the end of the stream."""
    usual = moves.MAX_REPLICA_AGE_S
    moves.MAX_REPLICA_AGE_S = 0.5  # type: ignore[misc]
    context.add_cleanup(setattr, moves, "MAX_REPLICA_AGE_S", usual)
    end_after_last_step(context, after_s=0.6)


@when("its engine gives notice, keeps the stopped run, and ends after the time to drain")
def ends_after_drain(context: Any) -> None:
    """Let the last step find no room: the run has stopped, and its engine keeps it."""
    world, engine = world_of(context), context.engine
    drain_s = 0.5
    world.state.settings = replace(world.state.settings, bounds=Bounds(drain_s=drain_s))

    def stopped(wanted: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        engine.stopped.add("s1")
        engine.copies["kept"] = 2
        return 503, {"handle": "kept"}

    engine.move_answers = [engine.copy_run, stopped]
    end_after_last_step(context, after_s=drain_s + 0.1, drop_copies=True)


def end_after_last_step(context: Any, *, after_s: float, drop_copies: bool = False) -> None:
    """Give notice, wait for the last step, let time pass, then end the stream."""
    world = world_of(context)
    (run,) = world.state.runs.all
    world.give_notice(context.engine)
    wait_for(
        "the last step",
        lambda: run.pending_final_copy is not None and run.pending_final_copy.ready(),
    )
    if drop_copies:
        run.replica = None
    world.pass_time(after_s)
    context.script.gate.set()


@when("its engine gives notice, makes a copy, is busy at the last step and breaks off")
def notice_and_busy(context: Any) -> None:
    """Answer the first step; refuse the last one, then end the stream."""
    world, engine = world_of(context), context.engine

    def busy(wanted: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        context.script.break_after = 2
        return 409, {"handle": "not-made"}

    def end_after_refusal() -> None:
        (run,) = world.state.runs.all
        wait_for(
            "the last step",
            lambda: run.pending_final_copy is not None and run.pending_final_copy.ready(),
        )
        context.script.gate.set()

    gevent.spawn(end_after_refusal)
    engine.move_answers = [engine.copy_run, *[busy for _ in range(20)]]
    world.give_notice(engine)


@given("moves will be answered {status:d}")
def moves_fail(context: Any, status: int) -> None:
    """Let every move fail."""
    for one in world_of(context).engines:
        one.move_answers = [lambda _: (status, {}) for _ in range(20)]


@when("its engine gives notice and goes on")
def notice_and_goes_on(context: Any) -> None:
    """Give notice; the engine lives long enough for the stream to end."""
    world = world_of(context)
    world.give_notice(context.engine)
    wait_for("a move was tried", lambda: len(context.engine.move_answers) < 20)
    context.script.gate.set()


@then('"{request_id}" went on from its moved memory after event {number:d}')
def from_move(context: Any, request_id: str, number: int) -> None:
    """Look at the second send."""
    upstreams = runs(world_of(context), request_id)
    (resumed,) = [one for one in upstreams if "kv-from" in one.seen[-1].headers]
    headers = resumed.seen[-1].headers
    assert headers["kv-from"] == f"{context.engine.address}/copy-{request_id}", headers
    assert headers["last-event-id"] == str(number), headers


@when("copies are kept")
def copies_kept(context: Any) -> None:
    """Let copies be made."""
    world = world_of(context)
    RunProtection(world.state, world.mover).start()


@then('an engine that "{request_id}" does not run on holds its copy')
def copy_held(context: Any, request_id: str) -> None:
    """Wait for the copy."""
    world = world_of(context)
    (run,) = world.state.runs.all
    wait_for("a copy is kept", lambda: run.replica is not None)
    others = [one for one in world.engines if one is not context.engine]
    assert any(f"copy-{request_id}" in one.copies for one in others)
    assert run.replica is not None
    assert world.state.loads.use(run.replica.ref.upstream.upstream_id, world.state.now()).copies


@then("the copy is dropped when its engine fills")
def copy_dropped(context: Any) -> None:
    """Fill the engines and wait."""
    world = world_of(context)
    (run,) = world.state.runs.all
    memory_full(context)
    wait_for("the copy is dropped", lambda: run.replica is None)
    wait_for("its memory is free", lambda: not any(one.copies for one in world.engines))
    context.script.gate.set()


@when("a copy of it is made, its engine is leaving and all engines are full")
def leaving_and_full(context: Any) -> None:
    """Copy the run, then tell only the books that its engine is leaving."""
    world = world_of(context)
    (run,) = world.state.runs.all
    target = world.mover.choose_target(run, frozenset(), max_memory_share=1.0)
    assert target is not None
    world.mover.copy(run, target)
    leaving = replace(
        run.upstream, state=UpstreamState.LEAVING, revision=StoreVersion(run.upstream.revision + 1)
    )
    world.state.fleet.handle(Changed(leaving, False), world.state.now())
    memory_full(context)


@then("making room leaves its copy alone")
def copy_stays(context: Any) -> None:
    """Make room as the periods do."""
    world = world_of(context)
    (run,) = world.state.runs.all
    RunProtection(world.state, world.mover).drop_replicas_under_pressure()
    assert run.replica is not None
    context.script.gate.set()


@when("a notice was given and copies are kept")
def notice_and_copies(context: Any) -> None:
    """Make what is needed for copies, right after a notice."""
    world = world_of(context)
    world.state.notice_at = world.state.now()
    context.protection = RunProtection(world.state, world.mover)


@then('"{request_id}" has no copy')
def no_copy_made(context: Any, request_id: str) -> None:
    """Ask which runs want a copy: none does so soon after a notice, all do later."""
    world = world_of(context)
    assert not context.protection.find_runs_to_copy()
    world.state.notice_at = float("-inf")
    assert [run.request_id for run in context.protection.find_runs_to_copy()] == [request_id]
    context.script.gate.set()
