"""Test on real processes that instances act on the signals in upstreams' responses."""

from __future__ import annotations

import itertools
import signal
import time
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final

import gevent
from behave import given, then, when

from driftstall.exceptions import UpstreamError
from features.steps.gateway_node_steps import wait_for_processes
from features.worlds.gateway_world import Received
from stand_ins.routed import RoutedUpstream, SignalRecord

DRAIN_S: Final = 2.0
"""Time after which a leaving upstream gets no requests at all (drainMs)."""
REJECTED_KNOWN_S: Final = 0.5
"""Requests that were in flight at a rejection may arrive within this time."""
SLACK_S: Final = 0.1
"""Tolerance, as times are taken in several processes one after the other."""
RETRY_SPREAD_S: Final = 1.5
"""Time over which the retries of callers that are refused together are spread."""
PAUSE_S: Final = 0.02
REFUSED_PAUSE_S: Final = 0.25
TARGETS: Final = ("/once/a", "/stream/a")
NUMBERS: Final = itertools.count(1)


@dataclass(frozen=True, slots=True)
class Asked:
    """A caller's request, the instance that received it, its duration and its response."""

    request_id: str
    instance: str
    target: str
    at: float
    took_s: float
    answer: Received

    @property
    def is_whole(self) -> bool:
        """Return True if the response was successful and complete."""
        return self.answer.status == 200 and self.answer.whole


def ask_on(context: Any, target: str, until: float) -> None:
    """Send requests as one caller until that time, to the instances in turn."""
    first = next(NUMBERS)
    nodes = itertools.islice(itertools.cycle(context.nodes), first % len(context.nodes), None)
    while time.monotonic() < until:
        node, request_id, started_at = next(nodes), f"signal-{next(NUMBERS)}", time.monotonic()
        context.instance_of[request_id] = node.name
        try:
            answer = node.ask(target, request_id)
        except (OSError, UpstreamError):
            # The instance was being killed; the next instance is used.
            gevent.sleep(PAUSE_S)
            continue
        took_s = time.monotonic() - started_at
        context.asked.append(Asked(request_id, node.name, target, started_at, took_s, answer))
        gevent.sleep(PAUSE_S if answer.status == 200 else REFUSED_PAUSE_S)


def start_callers(context: Any, callers: int, seconds: float, after: float) -> None:
    """Start the callers, half of them for streams, and wait for `after` seconds."""
    context.instance_of, context.asked = {}, []
    context.ends_at = time.monotonic() + seconds
    targets = itertools.islice(itertools.cycle(TARGETS), callers)
    context.asking = [gevent.spawn(ask_on, context, target, context.ends_at) for target in targets]
    gevent.sleep(after)
    context.signalled_at = time.monotonic()


@given("the store falls silent")
def store_silent(context: Any) -> None:
    """Let the store answer no requests."""
    context.store_bench.platform.control({"silent": True})


@when(
    "{callers:d} callers ask for calls and streams for {seconds:g} s, and from {after:g} s on"
    " {portals:d} {portal} and {engines:d} {engine} signal that they leave"
)
def upstreams_leave(
    context: Any,
    callers: int,
    seconds: float,
    after: float,
    portals: int,
    portal: str,
    engines: int,
    engine: str,
) -> None:
    """Let some upstreams signal that they leave, without a change of their entries."""
    start_callers(context, callers, seconds, after)
    context.signalling = context.portals[:portals] + context.engines[:engines]
    for upstream in context.signalling:
        upstream.leaves = True


@when(
    "{callers:d} callers ask for calls and streams for {seconds:g} s, and from {after:g} s on"
    " {portals:d} {portal} and {engines:d} {engine} reject {part} with a back-off of {for_s} s"
)
def upstreams_reject(
    context: Any,
    callers: int,
    seconds: float,
    after: float,
    portals: int,
    portal: str,
    engines: int,
    engine: str,
    part: str,
    for_s: str,
) -> None:
    """Let some upstreams reject all or half of their requests."""
    start_callers(context, callers, seconds, after)
    context.signalling = context.portals[:portals] + context.engines[:engines]
    for upstream in context.signalling:
        upstream.backoff, upstream.rejected_share = for_s, {"all": 1.0, "half": 0.5}[part]


def finish(context: Any) -> None:
    """Wait until all callers are done."""
    gevent.joinall(context.asking, raise_error=True)
    assert context.asked


def first_by_instance(context: Any, upstream: RoutedUpstream) -> dict[str, float]:
    """Return the time of each instance's first response that signalled leaving."""
    first: dict[str, float] = {}
    for signal_sent in upstream.signalled_leaving:
        instance = context.instance_of[signal_sent.request_id]
        first[instance] = min(signal_sent.at, first.get(instance, signal_sent.at))
    return first


@then(
    "from {seconds:g} s after an instance's first such response nothing reaches that upstream"
    " from it"
)
def nothing_from_it(context: Any, seconds: float) -> None:
    """Compare arrivals with the first signal that the same instance received."""
    finish(context)
    late = []
    for upstream in context.signalling:
        first = first_by_instance(context, upstream)
        assert first, upstream.upstream_id
        for arrival in upstream.arrival_records:
            instance = context.instance_of[arrival.request_id]
            if arrival.at - first.get(instance, arrival.at) > seconds + SLACK_S:
                late.append(
                    (upstream.upstream_id, instance, round(arrival.at - first[instance], 2))
                )
    assert not late, (len(late), late[:5])


@then("from {seconds:g} s after the first such response nothing reaches that upstream at all")
def nothing_at_all(context: Any, seconds: float) -> None:
    """Compare arrivals with the first signal that any instance received."""
    assert_at_most(context, 0, seconds)


@then(
    "at most {most:d} requests reach a leaving upstream from {seconds:g} s after its first such"
    " response on"
)
def at_most(context: Any, most: int, seconds: float) -> None:
    """Count the arrivals; instances that have just started may not know the signal yet."""
    assert_at_most(context, most, seconds)


def assert_at_most(context: Any, most: int, seconds: float) -> None:
    """Count the arrivals later than `seconds` after the first signal of each upstream."""
    finish(context)
    for upstream in context.signalling:
        since = min(sent.at for sent in upstream.signalled_leaving) + seconds
        late = [round(each.at - since, 2) for each in upstream.arrival_records if each.at > since]
        assert len(late) <= most, (upstream.upstream_id, len(late), late[:5])


@then("at least {share:d} in 100 calls and streams are whole")
def mostly_whole(context: Any, share: int) -> None:
    """Check the share of complete responses."""
    finish(context)
    bad = [asked for asked in context.asked if not asked.is_whole]
    assert len(bad) <= (1 - share / 100) * len(context.asked), (len(bad), bad[:3])


@then("calls are answered whole within {seconds:g} s of the first such response")
def served_meanwhile(context: Any, seconds: float) -> None:
    """Check the calls that were sent while all upstreams were draining."""
    finish(context)
    since = context.signalled_at
    calls = [call for call in calls_of(context) if since <= call.at <= since + seconds]
    bad = [call for call in calls if not call.is_whole]
    assert calls and not bad, (len(calls), len(bad), bad[:3])


@then("from {seconds:g} s after it calls are refused within {most:g} s, and nothing ran")
def refused_then(context: Any, seconds: float, most: float) -> None:
    """Check the calls that were sent when no upstream could serve them."""
    finish(context)
    since = context.signalled_at + seconds
    calls = [call for call in calls_of(context) if call.at >= since]
    assert calls
    for call in calls:
        assert is_refusal(call) and call.took_s <= most, call


def calls_of(context: Any) -> list[Asked]:
    """Return the plain calls."""
    return [asked for asked in context.asked if asked.target == TARGETS[0]]


def is_refusal(asked: Asked) -> bool:
    """Return True if a request was refused with Retry-After and was not executed."""
    has_time = float(asked.answer.headers.get("retry-after", 0)) > 0
    return asked.answer.status == 503 and has_time and b'"ran":"not run"' in asked.answer.body


@then(
    "no upstream gets a request from an instance between {seconds:g} s after it has rejected one"
    " and the end of its back-off"
)
def backoff_kept(context: Any, seconds: float) -> None:
    """Compare each instance's requests with the rejections that it received."""
    finish(context)
    sent = []
    for upstream in context.signalling:
        assert upstream.rejections, upstream.upstream_id
        for rejection in upstream.rejections:
            instance = context.instance_of[rejection.request_id]
            begins, ends = rejection.at + seconds, rejection.at + rejection.for_s
            sent += [
                (upstream.upstream_id, instance, round(arrival.at - rejection.at, 2))
                for arrival in upstream.arrival_records
                if begins < arrival.at < ends
                and context.instance_of[arrival.request_id] == instance
            ]
    assert not sent, (len(sent), sent[:5])


def backoff_ends(context: Any, instance: str, at: float) -> Iterator[float]:
    """Yield the end of each signalling upstream's back-off, as an instance knows it."""
    for upstream in context.signalling:
        known: list[SignalRecord] = [
            rejection
            for rejection in upstream.rejections
            if context.instance_of[rejection.request_id] == instance and rejection.at <= at
        ]
        yield max((rejection.at + rejection.for_s for rejection in known), default=0.0)


@then(
    "who is refused is told within {seconds:g} s to come back when the first back-off is over,"
    " and that nothing ran"
)
def refused_with_time(context: Any, seconds: float) -> None:
    """Compare the Retry-After values with the back-offs that the upstreams requested."""
    finish(context)
    refused = [call for call in calls_of(context) if not call.is_whole]
    assert refused
    for call in refused:
        assert is_refusal(call) and call.took_s <= seconds, call
        ended_at = call.at + call.took_s
        due_s = min(backoff_ends(context, call.instance, ended_at)) - ended_at
        retry_after_s = float(call.answer.headers["retry-after"])
        assert due_s - SLACK_S <= retry_after_s <= max(0.0, due_s) + RETRY_SPREAD_S, (due_s, call)


@then("no call is refused by an instance to which a portal has not just requested a back-off")
def refused_only_in_backoff(context: Any) -> None:
    """Check that no call was refused while a portal could serve it."""
    finish(context)
    refused: dict[str, list[Asked]] = defaultdict(list)
    for call in calls_of(context):
        ended_at = call.at + call.took_s
        if not call.is_whole and min(backoff_ends(context, call.instance, ended_at)) < call.at:
            refused[call.instance].append(call)
    assert not refused, refused


def ask_node(node: Any, count: int) -> None:
    """Send calls to one instance."""
    for _ in range(count):
        assert node.ask(TARGETS[0], f"signal-{next(NUMBERS)}").status == 200


@when("a portal signals to one instance that it leaves")
def one_receives_signal(context: Any) -> None:
    """Send calls to one instance until the portal has signalled to it."""
    portal = context.portal = context.portals[0]
    portal.leaves = True
    while not portal.signalled_leaving:
        ask_node(context.nodes[0], 1)


@then("{seconds:g} s later 20 calls at each of the other instances reach it no more")
def others_know(context: Any, seconds: float) -> None:
    """Send calls to all other instances, and check that the portal receives none."""
    gevent.sleep(seconds)
    before = len(context.portal.arrival_records)
    for node in context.nodes[1:]:
        ask_node(node, 20)
    assert len(context.portal.arrival_records) == before, (
        before,
        len(context.portal.arrival_records),
    )


@when("an instance is killed and has started anew")
def restarted(context: Any) -> None:
    """Kill and restart the last instance, and wait until it is ready."""
    node = context.nodes[-1]
    node.signal(signal.SIGKILL)
    node.restart()
    context.add_cleanup(node.process.wait)
    context.add_cleanup(node.process.kill)
    wait_for_processes(f"{node.name} is ready again", node.is_ready)


@then("{seconds:g} s later 20 calls there reach it no more")
def fresh_knows(context: Any, seconds: float) -> None:
    """Send calls to the restarted instance, and check that the portal receives none."""
    gevent.sleep(seconds)
    before = len(context.portal.arrival_records)
    ask_node(context.nodes[-1], 20)
    assert len(context.portal.arrival_records) == before, (
        before,
        len(context.portal.arrival_records),
    )
