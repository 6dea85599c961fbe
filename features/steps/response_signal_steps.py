"""Test that signals are read from every response of an upstream, however it is handled."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from behave import then, when
from eliot import add_destinations, remove_destination

from features.worlds.gateway_world import GatewayWorld, runs, script_upstreams, wait_for, world_of
from stand_ins.routed import RoutedUpstream, Script


def ask_call(world: GatewayWorld, script: Script | None = None) -> None:
    """Send a call whose upstream follows the script."""
    script_upstreams(world, "r1", [script] if script else [])
    world.ask("/once/a", "r1")


def ask_stream(world: GatewayWorld) -> None:
    """Request a stream."""
    world.ask("/stream/a", "s1")


def reject_call(world: GatewayWorld) -> None:
    """Send a call that all upstreams reject."""
    for upstream in world.plain:
        upstream.rejected_share = 1.0
    world.ask("/once/a", "r1")


def call_engine(world: GatewayWorld, path: str) -> None:
    """Send one of the gateway's own requests to an engine."""
    engines = [each for each in world.state.fleet.upstreams if each.service == "engines"]
    source, target = engines[:2]
    dialect = world.state.dialect
    if path == "move":
        dialect.move(source, "none", target, last=False)
    elif path == "ask":
        dialect.probe_state(source)
    else:
        dialect.drop_replica(source, f"{source.address}/none")


RESPONSES: dict[str, Callable[[GatewayWorld], None]] = {
    "a call's answer": ask_call,
    "a call's failure": lambda world: ask_call(world, Script(status=500)),
    "a rejection": reject_call,
    "a stream's head": ask_stream,
    "a surplus response": lambda world: ask_call(world, Script(surplus_before=True)),
    "a response that is cut short": lambda world: ask_call(world, Script(cut_after=2)),
    "the answer to a copy's request": lambda world: call_engine(world, "move"),
    "the answer to a question": lambda world: call_engine(world, "ask"),
    "the answer to a copy's end": lambda world: call_engine(world, "drop"),
}


@when("an upstream signals that it leaves with {response}")
def signals_with(context: Any, response: str) -> None:
    """Let the first upstream that responds signal that it leaves, and no other upstream."""
    world = world_of(context)
    for upstream in (*world.plain, *world.engines):
        upstream.leaves = True
    context.leaving = []
    original = world.handle_leaving_signal

    def first_only(upstream_id: str) -> None:
        if not context.leaving:
            context.leaving.append(upstream_id)
            original(upstream_id)

    world.state.signals.on_leaving = first_only
    RESPONSES[response](world)
    wait_for("an upstream has signalled", lambda: bool(context.leaving))


@then("it takes no requests, and its peers do")
def only_it_leaves(context: Any) -> None:
    """Check that only the signalling upstream is excluded."""
    fleet = world_of(context).state.fleet
    accepting = {
        upstream.upstream_id
        for upstream in fleet.upstreams
        if fleet.accepts_requests(upstream.upstream_id)
    }
    known = {upstream.upstream_id for upstream in fleet.upstreams}
    assert known - accepting == set(context.leaving) and len(context.leaving) == 1, context.leaving


@when('the upstream of "r1" leaves and says by the status alone that it is not the one meant')
def misdirected_leaves(context: Any) -> None:
    """Let another upstream respond at the address."""
    world = world_of(context)
    script_upstreams(world, "r1", [Script(misdirected=True)])
    for upstream in world.plain:
        upstream.leaves = True
    world.ask("/once/a", "r1")
    context.first = next(each for each in world.plain if not each.runs("r1"))


@then("all upstreams take requests")
def all_take(context: Any) -> None:
    """Check that a signal from another upstream at the address is not attributed to it."""
    fleet = world_of(context).state.fleet
    assert context.first.signalled_leaving
    assert fleet.accepts_requests(context.first.upstream_id)


@when("an engine with a stream signals that it leaves with the answer to a question")
def engine_leaves(context: Any) -> None:
    """Pause a stream after its fourth event, probe its engine, which signals, then continue."""
    world = world_of(context)
    script = script_upstreams(world, "s1", [Script(events=30, pause_after=4), Script(events=30)])[0]
    # The stream is too short for a backup.
    context.asked = world.ask_later("/stream/a", "s1", X_Driftstall_Token_Count="1000,100")
    wait_for("the stream has begun", script.paused.is_set)
    (engine,) = runs(world, "s1")
    engine.leaves = True
    entry = world.state.fleet.find(engine.upstream_id)
    assert entry is not None
    world.state.dialect.probe_state(entry)
    wait_for("the run is stopped", lambda: "s1" in engine.stopped)
    script.gate.set()
    context.engine = engine


@then("the stream is moved to another engine and comes whole")
def stream_moved(context: Any) -> None:
    """Check the complete stream and the engines that ran it."""
    answer = context.asked.get(timeout=5.0)
    assert (answer.status, answer.whole) == (200, True), answer
    assert answer.body.count(b"data:") == 30, answer
    engines: list[RoutedUpstream] = runs(world_of(context), "s1")
    assert len(engines) == 2 and engines.count(context.engine) == 1, engines


@when('three responses carry "Server-Mood: low"')
def unknown_signal(context: Any) -> None:
    """Let upstreams send an unknown signal header."""
    world = world_of(context)
    context.logged = []
    add_destinations(context.logged.append)
    context.add_cleanup(remove_destination, context.logged.append)
    for upstream in world.plain:
        upstream.extra_headers = ((b"Server-Mood", b"low"),)
    for number in range(3):
        world.ask("/once/a", f"r{number}")


@then('the log names "{name}" once, and three are counted')
def logged_once(context: Any, name: str) -> None:
    """Check the log line and the counter."""
    lines = [line for line in context.logged if line.get("header") == name]
    assert len(lines) == 1, lines
    assert world_of(context).state.stats.unknown_signals == 3
