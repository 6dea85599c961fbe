"""Test the gateway's streams against stand-ins of its upstreams."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
from behave import given, then, when

from driftstall.decisions.sends import BACKUP_READY_AFTER_S
from driftstall.gateway.ingress import CallerConnection
from driftstall.gateway.loads import Use
from driftstall.gateway.response_ends import silence
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
"""Pause between the events of an engine that is slow but healthy."""


def stream_script(context: Any, request_id: str, script: Script) -> None:
    """Script the first engine that receives a stream."""
    context.script = script
    script_upstreams(world_of(context), request_id, [script])


def await_copy(context: Any, events: int, then: Callable[[], None] = lambda: None) -> None:
    """Pause the stream before its last event until its backup counts as ready."""
    world, script = world_of(context), context.script
    script.pause_after = pause_after = max(1, events - 1)

    def pass_time() -> None:
        wait_for(
            "the events", lambda: any(run.events >= pause_after for run in world.state.runs.all)
        )
        world.pass_time(BACKUP_READY_AFTER_S)
        then()
        script.gate.set()

    gevent.spawn(pass_time)


@given('the engine of "{request_id}" will break off after {count:d} events, at once')
def breaks_at_once(context: Any, request_id: str, count: int) -> None:
    """Break a stream off before its backup can be ready."""
    stream_script(context, request_id, Script(break_after=count))


@given('the engine of "{request_id}" will break off after {count:d} events')
def breaks_after(context: Any, request_id: str, count: int) -> None:
    """Break a stream off between two events."""
    stream_script(context, request_id, Script(break_after=count))
    await_copy(context, count)


@given(
    'the engine of "{request_id}" will break off after 3 events, and all others are gone by then'
)
def breaks_and_others_gone(context: Any, request_id: str) -> None:
    """Pause the stream, stop all engines, then break the stream off after its third event."""
    world = world_of(context)
    stream_script(context, request_id, Script(break_after=3))

    def end_all() -> None:
        for engine in world.engines:
            engine.stop()

    await_copy(context, 3, end_all)


@then("one repeat was taken from the budget")
def one_repeat(context: Any) -> None:
    """Check that the retry budget was used once."""
    assert world_of(context).state.stats.repeats == 1, world_of(context).state.stats.repeats


@then("no repeat was taken from the budget")
def no_repeat(context: Any) -> None:
    """Check that the retry budget was not used."""
    assert world_of(context).state.stats.repeats == 0, world_of(context).state.stats.repeats


@given('the engine of "{request_id}" will send event 1, then events 2, 3 and 5 together')
def sends_together(context: Any, request_id: str) -> None:
    """Skip an event after others that arrive in the same chunk."""
    stream_script(context, request_id, Script(coalesce_from=2, skip_event=4))
    await_copy(context, 1)


@given('the engine of "{request_id}" pauses between events for longer than a copy is waited with')
def pauses(context: Any, request_id: str) -> None:
    """Let an engine pause for longer than the gateway's silence timeout."""
    original = silence.SILENCE_TIMEOUT_S
    silence.SILENCE_TIMEOUT_S = PAUSE_S / 4  # type: ignore[misc]
    context.add_cleanup(setattr, silence, "SILENCE_TIMEOUT_S", original)
    stream_script(context, request_id, Script(event_pause_s=PAUSE_S))


@given("the engine that keeps its copy leaves after event 3, while the fourth is waited for")
def backup_leaves_meanwhile(context: Any) -> None:
    """Let the backup become ready, then give notice of its engine while an event is awaited."""
    world = world_of(context)

    def give_notice() -> None:
        wait_for("three events", lambda: any(run.events >= 3 for run in world.state.runs.all))
        (run,) = world.state.runs.all
        assert run.backup is not None and run.generating_s is not None
        backup_id = run.backup.upstream_id
        (engine,) = [engine for engine in world.engines if engine.upstream_id == backup_id]
        world.give_notice(engine)

    await_copy(context, 3)
    gevent.spawn(give_notice)


@given("its caller takes each event late")
def slow_caller(context: Any) -> None:
    """Advance the clock while an event is written to the caller."""
    world, original = world_of(context), CallerConnection.write

    def write(connection: CallerConnection, data: bytes) -> bool:
        if b"piece" in data:
            world.pass_time(BACKUP_READY_AFTER_S / 2)
        return original(connection, data)

    CallerConnection.write = write  # type: ignore[method-assign, assignment]
    context.add_cleanup(setattr, CallerConnection, "write", original)


@then('no engine that "{request_id}" has run on was asked to keep its copy')
def no_backup_where_run(context: Any, request_id: str) -> None:
    """Compare the engines that ran the stream with the backups that they were given."""
    upstreams = set(runs(world_of(context), request_id))
    backups = {upstream.seen[-1].headers.get("kv-backup") for upstream in upstreams}
    assert len(upstreams) == 2
    first = next(each for each in upstreams if "kv-from" not in each.seen[-1].headers)
    second = next(each for each in upstreams if each is not first)
    assert backups == {second.address, None}, (backups, first.address, second.address)


@given("the engine that keeps its copy leaves after event 1")
def backup_leaves(context: Any) -> None:
    """Give notice of the backup's engine once the backup can be ready."""
    world = world_of(context)

    def give_notice() -> None:
        (run,) = world.state.runs.all
        world.pass_time(BACKUP_READY_AFTER_S)
        backup = run.backup
        assert backup is not None
        (engine,) = [each for each in world.engines if each.upstream_id == backup.upstream_id]
        world.give_notice(engine)

    await_copy(context, 1, give_notice)


@given('the engine of "{request_id}" will break off inside event {number:d}')
def breaks_inside(context: Any, request_id: str, number: int) -> None:
    """Break a stream off in the middle of an event."""
    stream_script(context, request_id, Script(break_after=number - 1, half_event=True))
    await_copy(context, number - 1)


@given('the engine of "{request_id}" will break off before its answer')
def breaks_before(context: Any, request_id: str) -> None:
    """Break the connection before the response head."""
    stream_script(context, request_id, Script(reset=True))


@given('each engine of "{request_id}" will break off before its answer')
def all_break_before(context: Any, request_id: str) -> None:
    """Break every connection before the response head."""
    script_upstreams(world_of(context), request_id, [Script(reset=True) for _ in range(9)])


@given(
    'the engine of "{request_id}" will break off after 3 events, '
    "and the next ones before their first event"
)
def breaks_again(context: Any, request_id: str) -> None:
    """Break a stream off after 3 events, then after the response head, then before it."""
    context.script = Script(break_after=3)
    scripts = [context.script, Script(reset_after_head=True)]
    scripts += [Script(reset=True) for _ in range(7)]
    script_upstreams(world_of(context), request_id, scripts)
    await_copy(context, 3)


@given('the first two engines of "{request_id}" will break off after 3 events each')
def break_one_after_the_other(context: Any, request_id: str) -> None:
    """Break a stream off once its backup is ready, and again after more events."""
    context.script = Script(break_after=3)
    second = Script(break_after=6, events=9)
    script_upstreams(world_of(context), request_id, [context.script, second])
    await_copy(context, 3)
    first, context.script = context.script, second
    await_copy(context, 6)
    context.script = first


@given('only one engine has room for a copy of "{request_id}"')
def one_has_room(context: Any, request_id: str) -> None:
    """Fill one engine's memory, so that the two others are each other's backup."""
    world = world_of(context)
    full = Use(world.engines[2].upstream_id, running=5, tokens=34_000)
    world.state.loads.record_peer("peer", [full], world.state.now())


@then('"{request_id}" was run anew once')
def run_anew_once(context: Any, request_id: str) -> None:
    """Count the runs that did not resume from a replica."""
    world = world_of(context)
    seen = [request for engine in world.engines for request in engine.seen]
    restarts = [each for each in seen if each.request_id == request_id and not each.is_resumed]
    assert len(restarts) == 1, [(each.headers.get("kv-from"), each.is_resumed) for each in seen]


@given('the engine of "{request_id}" will repeat event {number:d}')
def repeats(context: Any, request_id: str, number: int) -> None:
    """Send one event twice."""
    stream_script(context, request_id, Script(repeat_event=number))


@given('the engine of "{request_id}" will skip event {number:d}')
def skips(context: Any, request_id: str, number: int) -> None:
    """Skip one event."""
    stream_script(context, request_id, Script(skip_event=number))
    await_copy(context, number - 1)


@given('no engine keeps a copy of "{request_id}"')
def no_copies(context: Any, request_id: str) -> None:
    """Disconnect the engines from each other, so that no backup is made."""
    for engine in world_of(context).engines:
        engine.peers = {}


@when('stream "{request_id}" is asked')
def ask_stream(context: Any, request_id: str) -> None:
    """Request a stream and keep the response."""
    context.answer = world_of(context).ask("/stream/a", request_id)


@then('all {count:d} events of "{request_id}" came once, in order, and the end')
def all_events(context: Any, count: int, request_id: str) -> None:
    """Check the events of a complete stream."""
    if hasattr(context, "asked"):
        context.answer = context.asked.get(timeout=5.0)
    expected = b"".join(event_bytes(number) for number in range(1, count + 1))
    answer = context.answer
    assert (answer.status, answer.body, answer.whole) == (200, expected, True), answer


@then('{count:d} events of "{request_id}" came, in order, and no end')
def some_events(context: Any, count: int, request_id: str) -> None:
    """Check the events of a stream that was broken off."""
    if hasattr(context, "asked"):
        context.answer = context.asked.get(timeout=5.0)
    expected = b"".join(event_bytes(number) for number in range(1, count + 1))
    answer = context.answer
    assert (answer.status, answer.body, answer.whole) == (200, expected, False), answer


@then('"{request_id}" went on from its backup after event {number:d}')
def from_backup(context: Any, request_id: str, number: int) -> None:
    """Check the resume headers of the second send."""
    upstreams = runs(world_of(context), request_id)
    resumed = [each for each in upstreams if "kv-from" in each.seen[-1].headers]
    assert len(upstreams) == 2 and len(resumed) == 1, upstreams
    headers = resumed[0].seen[-1].headers
    assert headers["kv-from"] == f"{resumed[0].address}/{request_id}", headers
    assert headers["last-event-id"] == str(number), headers


@given('stream "{request_id}" waits after event {number:d} and has no backup')
def waiting_stream(context: Any, request_id: str, number: int, *, unframed: bool = False) -> None:
    """Start a stream without a backup that pauses until its gate opens."""
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
        engine for engine in world.engines if engine.upstream_id == run.upstream.upstream_id
    )


@given('stream "{request_id}" without framing waits after event {number:d} and has no backup')
def unframed_stream(context: Any, request_id: str, number: int) -> None:
    """Start a stream whose response ends with its connection."""
    waiting_stream(context, request_id, number, unframed=True)


def full_engines(world: GatewayWorld) -> list[Any]:
    """Return loads of all engines that leave no memory for replicas."""
    return [Use(engine.upstream_id, copies=30_000) for engine in world.engines]


@when("its caller leaves")
def caller_leaves(context: Any) -> None:
    """Close the caller's connection and wait until the run has ended."""
    context.asked.kill()
    context.asked_connection.close()
    wait_for("the run has ended", lambda: not world_of(context).state.runs.all)
    context.script.gate.set()


@given("all engines are leaving")
def engines_leave(context: Any) -> None:
    """Give notice of all engines."""
    world = world_of(context)
    for engine in world.engines:
        world.give_notice(engine)


@given("an open stream and a stop that was asked for")
def stream_and_stop(context: Any) -> None:
    """Start a stream, then start the instance's drain."""
    waiting_stream(context, "s1", 2)
    world_of(context).drain.begin()


@then("a new long stream is told to come back elsewhere")
def new_stream_refused(context: Any) -> None:
    """Request a stream that would outlast the grace time."""
    answer = world_of(context).ask("/stream/patient/a", "s2", X_Driftstall_Deadline_Ms="20000")
    assert_refused_with_retry_after(answer)


@then("a new short stream is still served")
def short_stream_served(context: Any) -> None:
    """Request a stream that ends well within the grace time."""
    answer = world_of(context).ask("/stream/a", "s3", X_Driftstall_Token_Count="1000,40")
    assert answer.status == 200 and answer.whole, answer


@then("a new call is still served")
def new_call_served(context: Any) -> None:
    """Send a call."""
    answer = world_of(context).ask("/once/a", "r2")
    assert answer.status == 200, answer


@then("the open stream ends whole")
def open_stream_ends(context: Any) -> None:
    """Let the paused stream continue to its end."""
    context.script.gate.set()
    all_events(context, 5, "s1")


@given("all engines' memory is full for now")
def memory_full(context: Any) -> None:
    """Record a peer's report that all engines are full."""
    world = world_of(context)
    uses = [Use(engine.upstream_id, running=5, tokens=34_000) for engine in world.engines]
    world.state.loads.record_peer("peer", uses, world.state.now())


@when('stream "{request_id}" is asked, and room is made once it waits')
def room_is_made(context: Any, request_id: str) -> None:
    """Request a stream, and free the engines while the request waits."""
    world = world_of(context)
    context.asked = world.ask_later("/stream/a", request_id)
    wait_for("the request is open", lambda: world.state.open_requests == 1)
    context.ran_before = len(runs(world, request_id))
    world.state.loads.forget_peers()


@then("it was placed only after there was room")
def placed_after(context: Any) -> None:
    """Check that the stream had not run before memory was free."""
    assert context.ran_before == 0
