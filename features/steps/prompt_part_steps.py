"""Test how one gateway quarantines prompt parts to which upstream crashes are attributed."""

from __future__ import annotations

import contextlib
import io
import itertools
import tempfile
import time
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any, Final

import gevent
import orjson
from behave import given, then, when
from eliot import add_destinations, remove_destination

from driftstall.cli.explain import explain_request
from driftstall.cli.main import main as command
from driftstall.core import Instance
from driftstall.decisions.poison_evidence import CrashReport, PoisonReport
from driftstall.decisions.poison_subjects import MAX_PARTS, part_subject
from driftstall.decisions.response_ends import LIVING_STATES, ProcessState
from driftstall.exceptions import UpstreamError
from driftstall.gateway.callers.auxiliary import AuxiliaryListener
from driftstall.gateway.forwarding.connector import CONNECT_TIMEOUT_S
from driftstall.gateway.listeners import MetricsHandler
from driftstall.gateway.scheduling.queue_status import QueueStatus
from driftstall.helpers.poison_sharing import PeerTransport, PoisonSharing
from driftstall.peers.blame_messages import BlamesTold
from driftstall.platform.crashes import PlatformCrashStore
from driftstall.platform.store import Store
from features.steps.crash_refusal_steps import settle
from features.worlds.gateway_world import (
    Received,
    runs,
    script_upstreams,
    wait_for,
    world_of,
)
from measures.bench import Bench
from stand_ins.routed import RoutedUpstream, Script, event_bytes

NUMBERS: Final = itertools.count(1)
AT_ONCE_S: Final = 0.2
MAX_OTHERS: Final = 40
PATIENCE_S: Final = 5.0
ENDS: Final[dict[str, dict[str, Any]]] = {
    "after the head": {"events": 0},
    "after an event": {"events": 1},
    "inside an event": {"break_after": 1, "half_event": True},
    "after the answer": {},
}
ANSWERS: Final[dict[str, Script]] = {
    "with 404": Script(status=404),
    "with 500": Script(status=500),
    "with 200": Script(),
    "without any event": Script(events=0),
    "with events": Script(),
}
PATHS: Final = {"streams": "/stream", "calls": "/once", "a stream": "/stream", "a call": "/once"}


def send(
    context: Any, prompt: str, script: Script | None = None, path: str = "/stream"
) -> Received:
    """Send a request with a path of its own, and wait until a broken run was examined."""
    number = next(NUMBERS)
    context.request_id = request_id = f"part-{number}"
    if script is not None:
        script_upstreams(world_of(context), request_id, [script])
    header = ",".join(f"{part}:200" for part in prompt.split(","))
    started_at = time.monotonic()
    context.answer = world_of(context).ask(
        f"{path}/{number}", request_id, X_Driftstall_Prompt_Prefix=header
    )
    context.took_s = time.monotonic() - started_at
    settle(context)
    return context.answer  # type: ignore[no-any-return]


def replace_ended(context: Any) -> None:
    """Start new upstreams in place of those that have ended, as the platform does."""
    world = world_of(context)
    for group, name in ((world.engines, "engine"), (world.plain, "plain")):
        for index, upstream in enumerate(group):
            if not upstream._server.started:
                group[index] = RoutedUpstream(f"{name}-later-{next(NUMBERS)}")
    world.list_upstreams()


def is_refused(answer: Received) -> bool:
    """Return True if the response refuses a quarantined request that has not run."""
    return (
        answer.status == 503
        and b"crashes_runners" in answer.body
        and b'"ran":"not run"' in answer.body
    )


@when('streams with prompts "{first}" and "{second}" crash their engines')
def streams_crash(context: Any, first: str, second: str) -> None:
    """Crash two engines, and start two others."""
    context.lines = []
    add_destinations(context.lines.append)
    context.add_cleanup(remove_destination, context.lines.append)
    for prompt in (first, second):
        send(context, prompt, Script(crash=True))
    replace_ended(context)


@when('a stream with prompt "{prompt}" crashes its engine')
def stream_crashes(context: Any, prompt: str) -> None:
    """Crash one engine."""
    send(context, prompt, Script(crash=True))


@when('streams with prompts of {count:d} parts and then "{part}" crash their engines')
def long_prompts_crash(context: Any, count: int, part: str) -> None:
    """Crash two engines by prompts with many parts of their own."""
    for start in (0x10000, 0x20000):
        parts = [f"{start + index:x}" for index in range(count)]
        send(context, ",".join([*parts, part, "own"]), Script(crash=True))


@then("at most {most:d} subjects are tracked for each of them")
def subjects_bounded(context: Any, most: int) -> None:
    """Check the number of tracked subjects."""
    assert 0 < len(world_of(context).state.poison.tracker) <= 2 * most
    assert most == MAX_PARTS + 1


@when('a stream with prompt "{prompt}" is refused at once')
@then('a stream with prompt "{prompt}" is refused at once')
def stream_refused(context: Any, prompt: str) -> None:
    """Check the refusal, and that no upstream received the request."""
    answer = send(context, prompt)
    assert is_refused(answer) and context.took_s < AT_ONCE_S, (answer, context.took_s)
    assert not runs(world_of(context), context.request_id)


@given('a stream with prompt "{prompt}" is served whole')
@then('a stream with prompt "{prompt}" is served whole')
def stream_served(context: Any, prompt: str) -> None:
    """Check that a stream is served."""
    answer = send(context, prompt)
    assert answer.status == 200 and answer.whole, answer


@given("all engines but one have left")
def one_engine(context: Any) -> None:
    """Leave one engine in the list."""
    world = world_of(context)
    for engine in world.engines[1:]:
        engine.stop()
    world.engines = world.engines[:1]
    world.list_upstreams()


@when('a stream with prompt "{prompt}" is answered without a length')
def answered_unframed(context: Any, prompt: str) -> None:
    """Send a stream whose response ends with its connection."""
    script = Script(unframed=True)
    _assert_arrived(send(context, prompt, script), script, is_stream=True)


def _assert_arrived(answer: Received, script: Script, *, is_stream: bool) -> None:
    """Check that all of a response without framing came; a stream is reset after that."""
    events = b"".join(event_bytes(number) for number in range(1, script.events + 1))
    body = events if is_stream else script.body
    found = (answer.status, answer.body, answer.whole)
    assert found == (200, body, not is_stream), answer


@given("its process gives no answer that shows its state")
def unknown_state(context: Any) -> None:
    """Let probes of the process have no result."""
    dialect = world_of(context).state.dialect
    context.probe_process = dialect.probe_process
    dialect.probe_process = lambda *_, **__: ProcessState.UNKNOWN  # type: ignore[method-assign]


@when("its process answers probes again")
def known_state(context: Any) -> None:
    """Let probes reach the process."""
    world_of(context).state.dialect.probe_process = context.probe_process  # type: ignore[method-assign]


@when('a stream with prompt "{prompt}" ends with its connection, and its process is not known')
def ends_unverified(context: Any, prompt: str) -> None:
    """Send a stream whose response is whole, but not known to be."""
    answer = send(context, prompt, Script(unframed=True))
    assert answer.status == 200 and not answer.whole, answer


@then('nothing is known of the part "{part}"')
def nothing_known(context: Any, part: str) -> None:
    """Check that no success is recorded yet."""
    assert part_subject(part) not in world_of(context).state.poison.tracker._success_at[True]


@then('the part "{part}" has succeeded')
def has_succeeded(context: Any, part: str) -> None:
    """Check that a success is recorded."""
    assert part_subject(part) in world_of(context).state.poison.tracker._success_at[True]


@when("{count:d} answers without a length have ended at each of {upstreams:d} upstreams")
def many_ends(context: Any, count: int, upstreams: int) -> None:
    """Verify ends at upstreams that answer no more."""
    world = world_of(context)
    entry, verifier = world.entry(world.engines[0]), world.state.end_verifier
    unknown_state(context)
    ended_at = world.state.now()
    context.checks = [
        gevent.spawn(verifier.check, replace(entry, name=f"ended-{number}"), ended_at, PATIENCE_S)
        for number in range(upstreams)
        for _ in range(count)
    ]


@then("none of them is known to be whole, and none is kept")
def none_kept(context: Any) -> None:
    """Check the results, and that nothing is held afterwards."""
    gevent.joinall(context.checks, raise_error=True)
    assert not any(check.value in LIVING_STATES for check in context.checks)
    verifier = world_of(context).state.end_verifier
    wait_for("no check is left", lambda: not verifier._running and not verifier._next)
    assert not verifier._answers, verifier._answers


def report_crashes(context: Any, part: str, upstream_ids: str, ago_s: float) -> None:
    """Merge a peer's report of crashes under one part that always ran alone."""
    state = world_of(context).state
    crashes = tuple(
        CrashReport(name, int(ago_s * 1000), under_way=False) for name in upstream_ids.split()
    )
    state.poison.tracker.merge([PoisonReport(part_subject(part), crashes, None)], state.now())


@given('a peer reports crashes under the part "{part}" alone, {ago_s:g} s ago')
def peer_reports(context: Any, part: str, ago_s: float) -> None:
    """Merge a report of two crashes."""
    report_crashes(context, part, "e-8 e-9", ago_s)


@then('the part "{part}" has no crashes that count')
def no_crashes_count(context: Any, part: str) -> None:
    """Check that the crashes were cleared."""
    tracker, now = world_of(context).state.poison.tracker, world_of(context).state.now()
    wait_for("the part is cleared", lambda: not tracker.verdict(part_subject(part), now).is_poison)


@then('the part "{part}" has crashes that count')
def crashes_count(context: Any, part: str) -> None:
    """Check that the crashes were not cleared."""
    state = world_of(context).state
    assert state.poison.tracker.verdict(part_subject(part), state.now()).is_poison


@given(
    '{requests} with prompt "{first}" and "{second}" are answered without a length and end their'
    " upstreams {how}"
)
def unframed_crashes(context: Any, requests: str, first: str, second: str, how: str) -> None:
    """Send two requests whose upstreams end together with the unframed response."""
    for prompt in (first, second):
        script = Script(unframed=True, ends_upstream=True, **ENDS[how])
        send(context, prompt, script, PATHS[requests])


@given("other {requests} find that both have ended")
def others_find(context: Any, requests: str) -> None:
    """Send requests, each of which may be the first to find that an upstream has ended."""
    stats = world_of(context).state.stats
    for _ in range(MAX_OTHERS):
        if stats.crashes_seen == 2:
            return
        send(context, "b0,b1", None, PATHS[requests])
    raise AssertionError(f"{stats.crashes_seen} crashes seen")


@then('{request} with prompt "{prompt}" is refused')
def request_refused(context: Any, request: str, prompt: str) -> None:
    """Check the refusal, and that no upstream received the request."""
    assert is_refused(send(context, prompt, None, PATHS[request])), context.answer
    assert not runs(world_of(context), context.request_id)


@when('a stream with prompt "{prompt}" is answered without a length and ends {how}')
def ends_early(context: Any, prompt: str, how: str) -> None:
    """Send a stream whose response ends early, at an engine that lives on."""
    send(context, prompt, Script(unframed=True, **ENDS[how]))


@when(
    '{request} with prompt "{prompt}" is answered without a length, and its upstream crashes later'
)
def crashes_later(context: Any, request: str, prompt: str) -> None:
    """Stop an upstream after the verified end of its response, and find that it refuses."""
    world = world_of(context)
    script, path = Script(unframed=True), PATHS[request]
    answer = send(context, prompt, script, path)
    _assert_arrived(answer, script, is_stream=path == PATHS["a stream"])
    (upstream,) = runs(world, context.request_id)
    upstream.stop()
    context.broken_runs = []
    world.state.on_run_broken = lambda _, run: context.broken_runs.append(run)
    try:
        world.state.connect(world.entry(upstream), CONNECT_TIMEOUT_S)
    except UpstreamError as error:
        assert error.refused, error
    else:
        raise AssertionError("the upstream still listens")


@then('no run counts as broken by the crash, and the part "{part}" has succeeded')
def not_responsible(context: Any, part: str) -> None:
    """Check that the crash has no request, and that the success counts."""
    assert not context.broken_runs, context.broken_runs
    has_succeeded(context, part)


@then("it is not whole")
def not_whole(context: Any) -> None:
    """Check that the caller sees that the stream is incomplete."""
    assert not context.answer.whole, context.answer


@when('{request} with prompt "{prompt}" is answered {how}')
def answered(context: Any, request: str, prompt: str, how: str) -> None:
    """Send a request with a scripted answer."""
    send(context, prompt, ANSWERS[how].with_new_events(), PATHS[request])


@when(
    '{request} with prompt "{prompt}" opens its connection as a peer reports crashes under "{part}"'
)
def quarantined_while_connecting(context: Any, request: str, prompt: str, part: str) -> None:
    """Merge a peer's report while the connection is opened."""
    state = world_of(context).state
    connect = state.connect

    def connect_and_merge(*values: Any, **more: Any) -> Any:
        report_crashes(context, part, "e-8 e-9", 0.0)
        return connect(*values, **more)

    state.connect = connect_and_merge  # type: ignore[method-assign]
    send(context, prompt, None, PATHS[request])


@then("it is refused, and no upstream got it")
def refused_unsent(context: Any) -> None:
    """Check that the request was not sent."""
    assert is_refused(context.answer), context.answer
    assert not runs(world_of(context), context.request_id)


def share(context: Any) -> PoisonSharing:
    """Return the exchange of evidence of the world's gateway, and record what it sends to all."""
    context.broadcasts = []
    state = world_of(context).state
    peers = (Instance("peer", "", "", "a"), Instance("other", "", "", "a"))
    transport = PeerTransport(
        live=lambda: peers,
        recipients=lambda: peers,
        forwards=lambda: False,
        send=lambda *_: None,
        broadcast=lambda recipients, message: context.broadcasts.append((recipients, message)),
    )
    return PoisonSharing(
        state.poison.tracker,
        "own",
        transport,
        now=state.now,
        source=state.rng,
        on_quarantined=state.poison.on_quarantined,
    )


def report_crash(sharing: PoisonSharing, sender: str, part: str, upstream_id: str) -> None:
    """Handle a peer's message about one crash."""
    crash = CrashReport(upstream_id, 0, under_way=False, companions=(part_subject("f1"), "r9"))
    report = PoisonReport(part_subject(part), (crash,), None)
    sharing.handle_message(BlamesTold(sender, (report,), asks=False))


@when('a peer reports one other crash under the part "{part}"')
def peer_reports_one(context: Any, part: str) -> None:
    """Handle a peer's message about a crash that was not noticed here."""
    report_crash(share(context), "peer", part, "e-9")


@then('the quarantine of the part "{part}" is stored')
def quarantine_stored(context: Any, part: str) -> None:
    """Check that the persistence was informed."""
    context.part = part
    assert part_subject(part) in context.quarantined, context.quarantined


@then("it is stored and read again with its companions")
def stored_and_read(context: Any) -> None:
    """Write the evidence to the store's stand-in and read it."""
    bench = Bench()
    context.add_cleanup(bench.close)
    store = PlatformCrashStore(Store(bench.start_platform().address))
    state = world_of(context).state
    report = state.poison.tracker.report_for(part_subject(context.part), state.now())
    assert report is not None and all(crash.companions for crash in report.crashes), report
    store.write(report)
    (read,) = store.read()
    assert read.fingerprint == report.fingerprint
    assert [crash.companions for crash in read.crashes] == [
        crash.companions for crash in report.crashes
    ]


@when('two peers report one crash each under the part "{part}"')
def two_peers_report(context: Any, part: str) -> None:
    """Handle a message of each of two peers."""
    sharing = share(context)
    report_crash(sharing, "peer", part, "e-8")
    report_crash(sharing, "other", part, "e-9")


@then("all peers are told of its success")
def success_published(context: Any) -> None:
    """Check the message that clears the part at all peers."""
    ((recipients, message),) = context.broadcasts
    (record,) = message.records
    assert len(recipients) == 2 and record.well_ago_ms is not None, message


@contextlib.contextmanager
def operator_page(context: Any) -> Iterator[None]:
    """Serve the operators' page for a while."""
    state = world_of(context).state
    page = MetricsHandler(state, dict, lambda: QueueStatus(state.settings.instance_id, None, ()))
    listener = AuxiliaryListener(state.settings.metrics_listen, page, state)
    listener.start()
    try:
        yield
    finally:
        listener._server.stop(timeout=0)


def run_command(context: Any, *words: str) -> str:
    """Run the operators' command and return its output."""
    output = io.StringIO()
    metrics = world_of(context).state.settings.metrics_listen
    with operator_page(context), contextlib.redirect_stdout(output):
        assert command([*words, f"--metrics={metrics}"]) == 0, output.getvalue()
    return output.getvalue()


@then(
    '"driftstall crashes" names the part "{part}" with its kind, companions, refusals and workspace'
)
def command_names_part(context: Any, part: str) -> None:
    """Check the row of the part."""
    printed = run_command(context, "crashes")
    (row,) = [line for line in printed.splitlines() if line.startswith(part_subject(part))]
    assert "prompt part" in row and part_subject("f1") in row and "north" in row, printed
    assert " 1 " in row, printed


@then('"driftstall explain" shows the crashes under the part of a refused request')
def explain_shows(context: Any) -> None:
    """Write the captured log to a file, and explain the refused request by it."""
    path = Path(tempfile.mkdtemp()) / "own.log"
    path.write_bytes(b"".join(orjson.dumps(line, default=str) + b"\n" for line in context.lines))
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        assert explain_request(context.request_id, [str(path)]) == 0
    assert output.getvalue().count("has crashed") == 2, output.getvalue()
    assert "not sent on" in output.getvalue(), output.getvalue()


@when('the operator clears the parts "{first}" and "{second}"')
def command_clears_parts(context: Any, first: str, second: str) -> None:
    """Clear both parts by the command."""
    for part in (first, second):
        printed = run_command(context, "crashes", "clear", part_subject(part))
        assert "may be sent again" in printed, printed
