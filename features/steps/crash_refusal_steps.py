"""Test how one gateway quarantines requests to which upstream crashes are attributed."""

from __future__ import annotations

import contextlib
import io
import time
from dataclasses import replace
from typing import Any, Final

from behave import given, then, when

from driftstall.cli.main import main as command
from driftstall.core import Instance
from driftstall.decisions.poison_detection import QUARANTINE_DURATIONS_S
from driftstall.decisions.poison_evidence import CrashReport, PoisonReport
from driftstall.decisions.response_ends import ProcessState
from driftstall.decisions.upstream_probes import ReportedState
from driftstall.gateway.callers.auxiliary import AuxiliaryListener
from driftstall.gateway.ingress import CallerRequest
from driftstall.gateway.listeners import MetricsHandler, request_fingerprint
from driftstall.gateway.poison import crash_detector
from driftstall.gateway.poison.crash_detector import CrashDetector
from driftstall.gateway.scheduling.queue_status import QueueStatus
from driftstall.helpers.poison_sharing import PeerTransport, PoisonSharing
from driftstall.peers.blame_messages import BlamesTold
from driftstall.peers.codec import HEADER, decode, encode, message_types_of
from driftstall.peers.envelope import Envelope
from driftstall.peers.gateway_messages import GatewayMessage
from features.steps.gateway_stream_steps import await_copy, stream_script
from features.worlds.gateway_world import (
    HOST,
    WAIT_S,
    GatewayWorld,
    Received,
    runs,
    script_upstreams,
    wait_for,
    world_of,
)
from stand_ins.routed import RoutedUpstream, Script

AT_ONCE_S: Final = 0.2
BREAKS: Final[dict[str, dict[str, Any]]] = {
    "break off without an answer": {"reset": True},
    "break off after the head": {"reset_after_head": True},
    "break off within the answer": {"cut_after": 2},
    "answer with a failure": {"status": 500},
}


def at_path(path: str) -> str:
    """Return the fingerprint of the test caller's request for a path."""
    call = CallerRequest(b"POST", path.encode(), (), HOST, b"body", keep_alive=False, read_at=0.0)
    return request_fingerprint(call, "north")


@given("a gateway that finds out which upstreams have crashed")
def gateway_with_watch(context: Any) -> None:
    """Start a gateway with crash detection and without peers."""
    world = context.world = GatewayWorld()
    context.add_cleanup(world.close)
    original = crash_detector.RECHECK_DELAY_S
    crash_detector.RECHECK_DELAY_S = 0.01  # type: ignore[misc]
    context.add_cleanup(setattr, crash_detector, "RECHECK_DELAY_S", original)
    context.quarantined = []
    detector = CrashDetector(
        world.state,
        on_crash=lambda _: None,
        publish_evidence=lambda: None,
    )
    world.state.poison.on_quarantined = context.quarantined.append
    context.detector = detector
    world.state.on_run_broken = detector.handle_broken_run
    context.answers = {}


@given('the upstreams of "{first}" and "{second}" will crash as they run them')
def will_crash(context: Any, first: str, second: str) -> None:
    """Script a crash under each of the two requests."""
    for request_id in (first, second):
        script_upstreams(world_of(context), request_id, [Script(crash=True)])


@given('both upstreams that get "{request_id}" will crash as they run it')
def each_will_crash(context: Any, request_id: str) -> None:
    """Script a crash of both upstreams under the request."""
    script_upstreams(world_of(context), request_id, [Script(crash=True), Script(crash=True)])


@given('the upstreams of "r1", "r2" and "r3" will {end}')
def will_end(context: Any, end: str) -> None:
    """Script ends that are no crashes; announced ends get their notice when requests are sent."""
    world = world_of(context)
    if end == "end as they had told the platform before":
        context.ends_announced = True
        scripts = [
            script_upstreams(world, name, [Script(events=8, pause_after=2)])[0] for name in IDS
        ]
        context.scripts = dict(zip(IDS, scripts, strict=True))
        return
    context.ends_announced = False
    for name in IDS:
        script_upstreams(world, name, [Script(**BREAKS[end])])


IDS: Final = ("r1", "r2", "r3")


def settle(context: Any) -> None:
    """Wait until the crash detector has examined every broken run."""
    wait_for("all runs are examined", lambda: not context.detector._suspicions)


def ask(context: Any, path: str, request_id: str) -> Received:
    """Send a request, and wait until a broken run was examined."""
    started_at = time.monotonic()
    answer = world_of(context).ask(path, request_id)
    context.took_s = time.monotonic() - started_at
    context.answers[request_id] = answer
    settle(context)
    return answer


@when('"{path}" is asked once, as "{request_id}"')
def asked(context: Any, path: str, request_id: str) -> None:
    """Send the request once."""
    ask(context, path, request_id)


@when('"{path}" is asked twice, as "r1" and then as "r2"')
def asked_twice(context: Any, path: str) -> None:
    """Send the request twice."""
    for request_id in IDS[:2]:
        ask(context, path, request_id)


@when('"{path}" is asked three times, as "r1", "r2" and "r3"')
def asked_thrice(context: Any, path: str) -> None:
    """Send three requests; for announced ends, each engine gives notice and ends with its run."""
    world = world_of(context)
    for name in IDS:
        if not context.ends_announced:
            ask(context, path, name)
            continue
        job = world.ask_later(path, name)
        assert context.scripts[name].paused.wait(WAIT_S), f"{name} does not run"
        (engine,) = runs(world, name)
        world.give_notice(engine)
        engine.stop()
        engine.stopped.add(name)
        context.scripts[name].gate.set()
        job.get()
        settle(context)
    if context.ends_announced:
        # All three engines have left; new engines of the service are listed.
        world.engines = [RoutedUpstream(f"later-{index}") for index in (1, 2)]
        world.list_upstreams()


@then('"{request_id}" is refused at once: not run, for about {seconds:d} s, by code "{code}"')
def refused(context: Any, request_id: str, seconds: int, code: str) -> None:
    """Check the refusal, its time, and that the quarantine was reported."""
    answer = context.answers[request_id]
    assert answer.status == 503, answer
    assert f'"code":"{code}"'.encode() in answer.body and b'"ran":"not run"' in answer.body, answer
    assert seconds - 2 < float(answer.headers["retry-after"]) <= seconds, answer
    assert context.took_s < AT_ONCE_S, context.took_s
    assert context.quarantined, "no quarantine was reported"


@then('no upstream got "{request_id}"')
def nobody_got(context: Any, request_id: str) -> None:
    """Check that no upstream received the request."""
    assert not runs(world_of(context), request_id)


@then('"{path}" asked as "{request_id}" is served whole')
def served_whole(context: Any, path: str, request_id: str) -> None:
    """Send the request and check its response."""
    answer = ask(context, path, request_id)
    assert answer.status == 200 and answer.whole, answer


@then('"{request_id}" is answered {status:d} and has run twice')
def has_run_twice(context: Any, request_id: str, status: int) -> None:
    """Check the response and the number of upstreams that ran the request."""
    assert context.answers[request_id].status == status, context.answers[request_id]
    assert len(runs(world_of(context), request_id)) == 2


@when("a peer tells that the request has ended well since")
def peer_reports_success(context: Any) -> None:
    """Merge a peer's report of a successful run."""
    state = world_of(context).state
    state.poison.tracker.merge([PoisonReport(at_path("/stream/x"), (), 0)], state.now())


def merge_crashes(context: Any, ago_s: float = 0.0) -> None:
    """Merge a peer's report of two crashes."""
    state, ago_ms = world_of(context).state, int(ago_s * 1000)
    crashes = tuple(CrashReport(name, ago_ms, under_way=False) for name in ("e-8", "e-9"))
    state.poison.tracker.merge([PoisonReport(at_path("/stream/x"), crashes, None)], state.now())


@given('a peer tells of two crashes under "/stream/x"')
def peer_reports_crashes(context: Any) -> None:
    """Merge a report of two recent crashes."""
    merge_crashes(context)


@given('the engine of "{request_id}" will break off just after a peer has told of two crashes')
def reported_before_break(context: Any, request_id: str) -> None:
    """Script a break when the backup is ready, and merge a peer's report before it."""
    stream_script(context, request_id, Script(break_after=3))
    await_copy(context, 3, lambda: merge_crashes(context))


@then("it ends broken, and no second engine got it")
def ends_broken(context: Any) -> None:
    """Check that the stream was broken off and not resumed."""
    assert not context.answers["r1"].whole, context.answers["r1"]
    assert len(runs(world_of(context), "r1")) == 1


@given('a peer tells of two crashes under "/stream/x", so long ago that it may be tried again')
def peer_reports_old_crashes(context: Any) -> None:
    """Merge a report of crashes whose quarantine has ended."""
    merge_crashes(context, QUARANTINE_DURATIONS_S[0] + 1)


@given('the upstream of "{request_id}" answers without a length and {ends}')
def unframed(context: Any, request_id: str, ends: str) -> None:
    """Script a response that ends with its connection."""
    ends_upstream = ends == "ends with it"
    script = Script(unframed=True, events=2, ends_upstream=ends_upstream)
    stream_script(context, request_id, script)
    if ends == "can't be probed":
        context.detector._probe = lambda _: ReportedState.UNKNOWN
        state = world_of(context).state
        state.dialect.probe_process = lambda *_, **__: ProcessState.UNKNOWN  # type: ignore[method-assign]


@then("the crashes still count")
def still_count(context: Any) -> None:
    """Check that the tracker still quarantines the request."""
    state = world_of(context).state
    assert context.answers["r1"].status == 200, context.answers["r1"]
    assert state.poison.tracker.verdict(at_path("/stream/x"), state.now()).is_poison


@then("the crashes count no more")
def count_no_more(context: Any) -> None:
    """Check that the success has exonerated the request."""
    state = world_of(context).state
    assert context.answers["r1"].status == 200, context.answers["r1"]
    assert not state.poison.tracker.verdict(at_path("/stream/x"), state.now()).is_poison


@then("the metrics page counts one request that is refused")
def metrics_count(context: Any) -> None:
    """Serve and read the metrics page."""
    state = world_of(context).state
    page = MetricsHandler(
        state,
        lambda: {
            "requests_refused_for_crashes": len(state.poison.tracker.quarantined(state.now()))
        },
        lambda: QueueStatus(state.settings.instance_id, None, ()),
    )
    listener = AuxiliaryListener(state.settings.metrics_listen, page, state)
    listener.start()
    call = CallerRequest(b"GET", b"/metrics", (), HOST, b"", keep_alive=False, read_at=0.0)
    assert b"requests_refused_for_crashes 1" in page(call)
    assert b"driftstall_gateway_crashes_seen_total 2" in page(call)


def run_command(context: Any, *words: str) -> str:
    """Run the operators' command and return its output."""
    output = io.StringIO()
    metrics = world_of(context).state.settings.metrics_listen
    with contextlib.redirect_stdout(output):
        assert command([*words, f"--metrics={metrics}"]) == 0, output.getvalue()
    return output.getvalue()


@then('"driftstall crashes" names the request with its upstreams')
def command_names(context: Any) -> None:
    """Check that the output names the fingerprint and the crashed upstreams."""
    printed = run_command(context, "crashes")
    crashed = [each.upstream_id for name in IDS[:2] for each in runs(world_of(context), name)]
    assert at_path("/stream/x") in printed, printed
    assert all(upstream_id in printed for upstream_id in crashed), (crashed, printed)


@when('the operator clears it by "driftstall crashes"')
def command_clears(context: Any) -> None:
    """Clear the quarantine by the command."""
    printed = run_command(context, "crashes", "clear", at_path("/stream/x"))
    assert "may be sent again" in printed, printed


def sharing_of(context: Any) -> PoisonSharing:
    """Return the exchange of poison evidence with peers, and record the messages that it sends."""
    context.sent = []
    state = world_of(context).state
    others = PeerTransport(
        live=lambda: (Instance("peer", "", "", "a"),),
        recipients=tuple,
        forwards=lambda: False,
        send=lambda recipient, message: context.sent.append((recipient, message)),
        broadcast=lambda *_: None,
    )
    return PoisonSharing(state.poison.tracker, "own", others, now=state.now, source=state.rng)


@when("a peer that knows nothing asks which requests ran beside crashes")
def peer_asks(context: Any) -> None:
    """Handle the request of a peer without evidence."""
    sharing_of(context).handle_message(BlamesTold("peer", (), asks=True))


@when("a peer that knows of both asks")
def knowing_peer_asks(context: Any) -> None:
    """Handle the request of a peer with the same evidence."""
    state = world_of(context).state
    known = replace(
        BlamesTold("peer", (), asks=True), records=state.poison.tracker.reports(state.now())
    )
    sharing_of(context).handle_message(known)


@then("it is told nothing")
def nothing_sent(context: Any) -> None:
    """Check that no message was sent."""
    assert not context.sent, context.sent


@then("it is told of both crashes")
def both_sent(context: Any) -> None:
    """Check the message to the peer."""
    ((recipient, message),) = context.sent
    assert recipient == "peer" and not message.asks
    assert [len(record.crashes) for record in message.records] == [2], message


@when('a peer tells of two crashes under "/stream/x", and asks nothing')
def peer_tells(context: Any) -> None:
    """Handle a peer's message that reports two crashes."""
    crashes = tuple(CrashReport(name, 0, under_way=False) for name in ("e-8", "e-9"))
    report = PoisonReport(at_path("/stream/x"), crashes, None)
    sharing_of(context).handle_message(BlamesTold("peer", (report,), asks=False))


@then('it is told of the good end, and "{path}" asked as "{request_id}" is served whole')
def success_sent(context: Any, path: str, request_id: str) -> None:
    """Check that the successful run was sent to the peer, and that the request is served."""
    ((_, message),) = context.sent
    (record,) = message.records
    assert record.well_ago_ms is not None and record.well_ago_ms < 1000, record
    served_whole(context, path, request_id)


@then("these records arrive as they were sent")
def records_travel(context: Any) -> None:
    """Encode and decode the records in one message."""
    records = tuple(
        PoisonReport(
            row["fingerprint"],
            tuple(_parse_crash(text) for text in row["crashes"].split(", ") if text),
            int(row["well ago ms"]) if row["well ago ms"] else None,
        )
        for row in context.table
    )
    message = BlamesTold("own", records, asks=True)
    frame = encode(Envelope("own", "peer", 1, message), b"key")
    arrived = decode(frame[HEADER.size :], b"key", message_types_of(GatewayMessage))
    assert arrived.message == message, arrived.message


def _parse_crash(text: str) -> CrashReport:
    """Parse a crash from a table cell."""
    upstream_id, ago_ms, how = text.split(" ", 2)
    return CrashReport(upstream_id, int(ago_ms), how == "under way")
