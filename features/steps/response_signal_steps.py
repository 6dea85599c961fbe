"""Check that signals count with every response of an upstream, whatever becomes of it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from behave import then, when
from eliot import add_destinations, remove_destination

from features.worlds.gateway_world import GatewayWorld, runs, script_upstreams, wait_for, world_of
from stand_ins.routed import RoutedUpstream, Script


def ask_call(world: GatewayWorld, script: Script | None = None) -> None:
    """Ask for a call, which may be answered in any way."""
    script_upstreams(world, "r1", [script] if script else [])
    world.ask("/once/a", "r1")


def ask_stream(world: GatewayWorld) -> None:
    """Ask for a stream."""
    world.ask("/stream/a", "s1")


def reject_call(world: GatewayWorld) -> None:
    """Have a call rejected once."""
    for one in world.plain:
        one.rejected_share = 1.0
    world.ask("/once/a", "r1")


def call_engine(world: GatewayWorld, path: str) -> None:
    """Make a call of the gateway's own to an engine."""
    engines = [one for one in world.state.fleet.upstreams if one.service == "engines"]
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
    """Have whichever upstream responds signal that it leaves, and no other one."""
    world = world_of(context)
    for one in (*world.plain, *world.engines):
        one.leaves = True
    context.leaving = []
    usual = world.handle_leaving_signal

    def first_only(upstream_id: str) -> None:
        if not context.leaving:
            context.leaving.append(upstream_id)
            usual(upstream_id)

    world.state.signals.on_leaving = first_only
    RESPONSES[response](world)
    wait_for("an upstream has signalled", lambda: bool(context.leaving))


@then("it takes no requests, and its peers do")
def only_it_leaves(context: Any) -> None:
    """Look at the fleet."""
    fleet = world_of(context).state.fleet
    taking = {one.upstream_id for one in fleet.upstreams if fleet.accepts_requests(one.upstream_id)}
    known = {one.upstream_id for one in fleet.upstreams}
    assert known - taking == set(context.leaving) and len(context.leaving) == 1, context.leaving


@when('the upstream of "r1" leaves and says by the status alone that it is not the one meant')
def misdirected_leaves(context: Any) -> None:
    """Have another upstream respond at the address."""
    world = world_of(context)
    script_upstreams(world, "r1", [Script(misdirected=True)])
    for one in world.plain:
        one.leaves = True
    world.ask("/once/a", "r1")
    context.first = next(one for one in world.plain if not one.runs("r1"))


@then("all upstreams take requests")
def all_take(context: Any) -> None:
    """Only the one whose own answer has signalled so leaves."""
    fleet = world_of(context).state.fleet
    assert context.first.signalled_leaving
    assert fleet.accepts_requests(context.first.upstream_id)


@when("an engine with a stream signals that it leaves with the answer to a question")
def engine_leaves(context: Any) -> None:
    """Hold a stream at its fourth event, have its engine signal, then let it go on."""
    world = world_of(context)
    script = script_upstreams(world, "s1", [Script(events=30, pause_after=4), Script(events=30)])[0]
    # Too short for a copy that its engine keeps up.
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
    """Look where it went on."""
    answer = context.asked.get(timeout=5.0)
    assert (answer.status, answer.whole) == (200, True), answer
    assert answer.body.count(b"data:") == 30, answer
    places: list[RoutedUpstream] = runs(world_of(context), "s1")
    assert len(places) == 2 and places.count(context.engine) == 1, places


@when('three responses carry "Server-Mood: low"')
def unknown_signal(context: Any) -> None:
    """Have upstreams send a header of their own."""
    world = world_of(context)
    context.logged = []
    add_destinations(context.logged.append)
    context.add_cleanup(remove_destination, context.logged.append)
    for one in world.plain:
        one.extra_headers = ((b"Server-Mood", b"low"),)
    for number in range(3):
        world.ask("/once/a", f"r{number}")


@then('the log names "{name}" once, and three are counted')
def logged_once(context: Any, name: str) -> None:
    """Look for the line."""
    lines = [one for one in context.logged if one.get("header") == name]
    assert len(lines) == 1, lines
    assert world_of(context).state.stats.unknown_signals == 3
