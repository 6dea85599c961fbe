"""Check the gateway's streams before stand-ins of its upstreams."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
from behave import given, then, when

from driftstall.decisions.sends import BACKUP_READY_AFTER_S
from driftstall.gateway import streams
from driftstall.gateway.ingress import CallerConnection
from driftstall.gateway.loads import Use
from features.worlds.gateway_world import (
    GatewayWorld,
    assert_refused_with_retry_after,
    read_response,
    request_bytes,
    runs,
    script_upstreams,
    wait_for,
    world_of,
)
from stand_ins.routed import Script, event_bytes

PAUSE_S = 0.2
"""Pause between the events of an engine that is slow but well."""


def stream_script(context: Any, request_id: str, script: Script) -> None:
    """Script the engine that gets a stream first."""
    context.script = script
    script_upstreams(world_of(context), request_id, [script])


def await_copy(context: Any, events: int, then: Callable[[], None] = lambda: None) -> None:
    """Let the stream stand still before its last event until its kept-up copy is there."""
    world, script = world_of(context), context.script
    script.pause_after = waits = max(1, events - 1)

    def pass_time() -> None:
        wait_for("the events", lambda: any(run.events >= waits for run in world.state.runs.all))
        world.pass_time(BACKUP_READY_AFTER_S)
        then()
        script.gate.set()

    gevent.spawn(pass_time)


@given('the engine of "{request_id}" will break off after {count:d} events, at once')
def breaks_at_once(context: Any, request_id: str, count: int) -> None:
    """Break a stream off before there was time for a copy."""
    stream_script(context, request_id, Script(break_after=count))


@given('the engine of "{request_id}" will break off after {count:d} events')
def breaks_after(context: Any, request_id: str, count: int) -> None:
    """Break a stream off between events."""
    stream_script(context, request_id, Script(break_after=count))
    await_copy(context, count)


@given(
    'the engine of "{request_id}" will break off after 3 events, and all others are gone by then'
)
def breaks_and_others_gone(context: Any, request_id: str) -> None:
    """Let the stream wait after its third event, stop all engines, then break it off."""
    world = world_of(context)
    stream_script(context, request_id, Script(break_after=3))

    def end_all() -> None:
        for one in world.engines:
            one.stop()

    await_copy(context, 3, end_all)


@then("one repeat was taken from the budget")
def one_repeat(context: Any) -> None:
    """Count the repeats."""
    assert world_of(context).state.stats.repeats == 1, world_of(context).state.stats.repeats


@then("no repeat was taken from the budget")
def no_repeat(context: Any) -> None:
    """Count the repeats."""
    assert world_of(context).state.stats.repeats == 0, world_of(context).state.stats.repeats


@given('the engine of "{request_id}" will send event 1, then events 2, 3 and 5 together')
def sends_together(context: Any, request_id: str) -> None:
    """Leave an event out behind others that arrive in the same piece."""
    stream_script(context, request_id, Script(together_from=2, skip_event=4))
    await_copy(context, 1)


@given('the engine of "{request_id}" pauses between events for longer than a copy is waited with')
def pauses(context: Any, request_id: str) -> None:
    """Let an engine pause, and the gateway wait with a copy for less than that."""
    usual = streams.SILENCE_TIMEOUT_S
    streams.SILENCE_TIMEOUT_S = PAUSE_S / 4  # type: ignore[misc]
    context.add_cleanup(setattr, streams, "SILENCE_TIMEOUT_S", usual)
    stream_script(context, request_id, Script(event_pause_s=PAUSE_S))


@given("the engine that keeps its copy leaves after event 3, while the fourth is waited for")
def backup_leaves_meanwhile(context: Any) -> None:
    """Let the copy count, then give notice of its engine within the wait for an event."""
    world = world_of(context)

    def leave() -> None:
        wait_for("three events", lambda: any(run.events >= 3 for run in world.state.runs.all))
        (run,) = world.state.runs.all
        assert run.backup is not None and run.generating_s is not None
        backup_id = run.backup.upstream_id
        (engine,) = [one for one in world.engines if one.upstream_id == backup_id]
        world.give_notice(engine)

    await_copy(context, 3)
    gevent.spawn(leave)


@given("its caller takes each event late")
def slow_caller(context: Any) -> None:
    """Let time pass while an event is written."""
    world, usual = world_of(context), CallerConnection.write

    def write(connection: CallerConnection, data: bytes) -> bool:
        if b"piece" in data:
            world.pass_time(BACKUP_READY_AFTER_S / 2)
        return usual(connection, data)

    CallerConnection.write = write  # type: ignore[method-assign, assignment]
    context.add_cleanup(setattr, CallerConnection, "write", usual)


@then('no engine that "{request_id}" has run on was asked to keep its copy')
def no_backup_where_run(context: Any, request_id: str) -> None:
    """Compare where it ran with where its copies were to be kept."""
    upstreams = set(runs(world_of(context), request_id))
    asked = {one.seen[-1].headers.get("kv-backup") for one in upstreams}
    assert len(upstreams) == 2
    first = next(one for one in upstreams if "kv-from" not in one.seen[-1].headers)
    second = next(one for one in upstreams if one is not first)
    assert asked == {second.address, None}, (asked, first.address, second.address)


@given("the engine that keeps its copy leaves after event 1")
def backup_leaves(context: Any) -> None:
    """Give notice of it; by then the copy could be there."""
    world = world_of(context)

    def leave() -> None:
        (run,) = world.state.runs.all
        world.pass_time(BACKUP_READY_AFTER_S)
        backup = run.backup
        assert backup is not None
        (engine,) = [one for one in world.engines if one.upstream_id == backup.upstream_id]
        world.give_notice(engine)

    await_copy(context, 1, leave)


@given('the engine of "{request_id}" will break off inside event {number:d}')
def breaks_inside(context: Any, request_id: str, number: int) -> None:
    """Break a stream off inside an event."""
    stream_script(context, request_id, Script(break_after=number - 1, half_event=True))
    await_copy(context, number - 1)


@given('the engine of "{request_id}" will break off before its answer')
def breaks_before(context: Any, request_id: str) -> None:
    """Break the connection before the answer's head."""
    stream_script(context, request_id, Script(reset=True))


@given('each engine of "{request_id}" will break off before its answer')
def all_break_before(context: Any, request_id: str) -> None:
    """Break every connection before the answer's head."""
    script_upstreams(world_of(context), request_id, [Script(reset=True) for _ in range(9)])


@given(
    'the engine of "{request_id}" will break off after 3 events, '
    "and the next ones before their first event"
)
def breaks_again(context: Any, request_id: str) -> None:
    """Break a stream off, then again after the head, then before it."""
    context.script = Script(break_after=3)
    scripts = [context.script, Script(reset_after_head=True)]
    scripts += [Script(reset=True) for _ in range(7)]
    script_upstreams(world_of(context), request_id, scripts)
    await_copy(context, 3)


@given('the first two engines of "{request_id}" will break off after 3 events each')
def break_one_after_the_other(context: Any, request_id: str) -> None:
    """Break a stream off where a copy can be there, and again after more events."""
    context.script = Script(break_after=3)
    second = Script(break_after=6, events=9)
    script_upstreams(world_of(context), request_id, [context.script, second])
    await_copy(context, 3)
    first, context.script = context.script, second
    await_copy(context, 6)
    context.script = first


@given('only one engine has room for a copy of "{request_id}"')
def one_has_room(context: Any, request_id: str) -> None:
    """Fill an engine, so that the two others keep copies for each other."""
    world = world_of(context)
    full = Use(world.engines[2].upstream_id, running=5, tokens=34_000)
    world.state.loads.record_peer("peer", [full], world.state.now())


@then('"{request_id}" was run anew once')
def run_anew_once(context: Any, request_id: str) -> None:
    """Count the runs that did not go on from a copy."""
    world = world_of(context)
    seen = [one for engine in world.engines for one in engine.seen]
    anew = [one for one in seen if one.request_id == request_id and not one.goes_on]
    assert len(anew) == 1, [(one.headers.get("kv-from"), one.goes_on) for one in seen]


@given('the engine of "{request_id}" will repeat event {number:d}')
def repeats(context: Any, request_id: str, number: int) -> None:
    """Send one event twice."""
    stream_script(context, request_id, Script(repeat_event=number))


@given('the engine of "{request_id}" will skip event {number:d}')
def skips(context: Any, request_id: str, number: int) -> None:
    """Leave one event out."""
    stream_script(context, request_id, Script(skip_event=number))
    await_copy(context, number - 1)


@given('no engine keeps a copy of "{request_id}"')
def no_copies(context: Any, request_id: str) -> None:
    """Let engines keep no copies."""
    for one in world_of(context).engines:
        one.peers = {}


@when('stream "{request_id}" is asked')
def ask_stream(context: Any, request_id: str) -> None:
    """Ask for a stream and keep the answer."""
    context.answer = world_of(context).ask("/stream/a", request_id)


@then('all {count:d} events of "{request_id}" came once, in order, and the end')
def all_events(context: Any, count: int, request_id: str) -> None:
    """Compare the whole stream."""
    if hasattr(context, "asked"):
        context.answer = context.asked.get(timeout=5.0)
    wanted = b"".join(event_bytes(number) for number in range(1, count + 1))
    answer = context.answer
    assert (answer.status, answer.body, answer.whole) == (200, wanted, True), answer


@then('{count:d} events of "{request_id}" came, in order, and no end')
def some_events(context: Any, count: int, request_id: str) -> None:
    """Compare a stream that was broken off."""
    if hasattr(context, "asked"):
        context.answer = context.asked.get(timeout=5.0)
    wanted = b"".join(event_bytes(number) for number in range(1, count + 1))
    answer = context.answer
    assert (answer.status, answer.body, answer.whole) == (200, wanted, False), answer


@then('"{request_id}" went on from its backup after event {number:d}')
def from_backup(context: Any, request_id: str, number: int) -> None:
    """Look at the second send."""
    upstreams = runs(world_of(context), request_id)
    resumed = [one for one in upstreams if "kv-from" in one.seen[-1].headers]
    assert len(upstreams) == 2 and len(resumed) == 1, upstreams
    headers = resumed[0].seen[-1].headers
    assert headers["kv-from"] == f"{resumed[0].address}/{request_id}", headers
    assert headers["last-event-id"] == str(number), headers


@given('stream "{request_id}" waits after event {number:d} and has no backup')
def waiting_stream(context: Any, request_id: str, number: int, *, unframed: bool = False) -> None:
    """Start a stream that stands still until its gate opens."""
    world = world_of(context)
    world.state.loads.record_peer("peer", full_engines(world), world.state.now())
    stream_script(
        context,
        request_id,
        Script(pause_after=number, events=max(5, number + 1), unframed=unframed),
    )
    context.asked_connection = world.connect()
    context.asked_connection.sendall(request_bytes("/stream/a", request_id))
    context.asked = gevent.spawn(read_response, context.asked_connection)
    wait_for(
        "events have arrived",
        lambda: any(run.events >= number for run in world.state.runs.all),
    )
    (run,) = world.state.runs.all
    assert run.backup is None
    world.state.loads.forget_peers()
    context.engine = next(
        one for one in world.engines if one.upstream_id == run.upstream.upstream_id
    )


@given('stream "{request_id}" without framing waits after event {number:d} and has no backup')
def unframed_stream(context: Any, request_id: str, number: int) -> None:
    """Start a stream whose answer ends with its connection."""
    waiting_stream(context, request_id, number, unframed=True)


def full_engines(world: GatewayWorld) -> list[Any]:
    """Return sums that leave no room for copies."""
    return [Use(one.upstream_id, copies=30_000) for one in world.engines]


@when("its caller leaves")
def caller_leaves(context: Any) -> None:
    """Close the caller's connection."""
    context.asked.kill()
    context.asked_connection.close()
    wait_for("it is noticed", lambda: not world_of(context).state.runs.all)
    context.script.gate.set()


@given("all engines are leaving")
def engines_leave(context: Any) -> None:
    """Give notice of all engines."""
    world = world_of(context)
    for one in world.engines:
        world.give_notice(one)


@given("an open stream and a stop that was asked for")
def stream_and_stop(context: Any) -> None:
    """Start a stream, then ask the instance to stop."""
    waiting_stream(context, "s1", 2)
    world_of(context).drain.begin()


@then("a new long stream is told to come back elsewhere")
def new_stream_refused(context: Any) -> None:
    """Ask for a stream that would outlast the grace time."""
    answer = world_of(context).ask("/stream/a", "s2")
    assert_refused_with_retry_after(answer)


@then("a new short stream is still served")
def short_stream_served(context: Any) -> None:
    """Ask for a stream that ends well before."""
    answer = world_of(context).ask("/stream/a", "s3", X_Driftstall_Token_Count="1000,40")
    assert answer.status == 200 and answer.whole, answer


@then("a new call is still served")
def new_call_served(context: Any) -> None:
    """Ask for a call."""
    answer = world_of(context).ask("/once/a", "r2")
    assert answer.status == 200, answer


@then("the open stream ends whole")
def open_stream_ends(context: Any) -> None:
    """Let the stream go on."""
    context.script.gate.set()
    all_events(context, 5, "s1")


@given("all engines' memory is full for now")
def memory_full(context: Any) -> None:
    """Let a peer tell of full engines."""
    world = world_of(context)
    uses = [Use(one.upstream_id, running=5, tokens=34_000) for one in world.engines]
    world.state.loads.record_peer("peer", uses, world.state.now())


@when('stream "{request_id}" is asked, and room is made once it waits')
def room_is_made(context: Any, request_id: str) -> None:
    """Ask, and free the engines while the request is open."""
    world = world_of(context)
    context.asked = world.ask_later("/stream/a", request_id)
    wait_for("the request is open", lambda: world.state.open_requests == 1)
    context.ran_before = len(runs(world, request_id))
    world.state.loads.forget_peers()


@then("it was placed only after there was room")
def placed_after(context: Any) -> None:
    """Nothing had run before room was made."""
    assert context.ran_before == 0
