"""Check on real processes that what upstreams signal with responses is heeded."""

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
from stand_ins.routed import RoutedUpstream, Signalled

DRAIN_S: Final = 2.0
"""An upstream that leaves gets nothing after this time (drainMs)."""
REJECTED_KNOWN_S: Final = 0.5
"""What was under way when a request was rejected may arrive within this time."""
SLACK_S: Final = 0.1
"""Times are taken in several processes, one after the other."""
RETRY_SPREAD_S: Final = 1.5
"""Time over which callers that are refused together return."""
PAUSE_S: Final = 0.02
REFUSED_PAUSE_S: Final = 0.25
TARGETS: Final = ("/once/a", "/stream/a")
NUMBERS: Final = itertools.count(1)


@dataclass(frozen=True, slots=True)
class Asked:
    """Hold one request of a caller, the instance that took it, and its answer."""

    request_id: str
    instance: str
    target: str
    at: float
    took_s: float
    answer: Received

    @property
    def is_whole(self) -> bool:
        """Tell whether it was answered with success."""
        return self.answer.status == 200 and self.answer.whole


def ask_on(context: Any, target: str, until: float) -> None:
    """Ask again and again as one caller, at instances by turns."""
    first = next(NUMBERS)
    nodes = itertools.islice(itertools.cycle(context.nodes), first % len(context.nodes), None)
    while time.monotonic() < until:
        node, request_id, began = next(nodes), f"signal-{next(NUMBERS)}", time.monotonic()
        context.instance_of[request_id] = node.name
        try:
            answer = node.ask(target, request_id)
        except (OSError, UpstreamError):
            # The instance was being killed: the next one is asked.
            gevent.sleep(PAUSE_S)
            continue
        took_s = time.monotonic() - began
        context.asked.append(Asked(request_id, node.name, target, began, took_s, answer))
        gevent.sleep(PAUSE_S if answer.status == 200 else REFUSED_PAUSE_S)


def start_callers(context: Any, callers: int, seconds: float, after: float) -> None:
    """Start the callers, half of them for streams, and wait a while."""
    context.instance_of, context.asked = {}, []
    context.ends_at = time.monotonic() + seconds
    targets = itertools.islice(itertools.cycle(TARGETS), callers)
    context.asking = [gevent.spawn(ask_on, context, one, context.ends_at) for one in targets]
    gevent.sleep(after)
    context.signalled_at = time.monotonic()


@given("the store falls silent")
def store_silent(context: Any) -> None:
    """Have the store answer nobody."""
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
    """Have some upstreams signal that they leave; their entries stay as they are."""
    start_callers(context, callers, seconds, after)
    context.signalling = context.portals[:portals] + context.engines[:engines]
    for one in context.signalling:
        one.leaves = True


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
    """Have some upstreams reject all or half of what they get."""
    start_callers(context, callers, seconds, after)
    context.signalling = context.portals[:portals] + context.engines[:engines]
    for one in context.signalling:
        one.backoff, one.rejected_share = for_s, {"all": 1.0, "half": 0.5}[part]


def finish(context: Any) -> None:
    """Wait until all callers are done."""
    gevent.joinall(context.asking, raise_error=True)
    assert context.asked


def first_by_instance(context: Any, upstream: RoutedUpstream) -> dict[str, float]:
    """Return when each instance first had a response that signalled leaving."""
    first: dict[str, float] = {}
    for one in upstream.signalled_leaving:
        instance = context.instance_of[one.request_id]
        first[instance] = min(one.at, first.get(instance, one.at))
    return first


@then(
    "from {seconds:g} s after an instance's first such response nothing reaches that upstream"
    " from it"
)
def nothing_from_it(context: Any, seconds: float) -> None:
    """Compare arrivals with the responses that the same instance had."""
    finish(context)
    late = []
    for upstream in context.signalling:
        first = first_by_instance(context, upstream)
        assert first, upstream.upstream_id
        for one in upstream.arrived:
            instance = context.instance_of[one.request_id]
            if one.at - first.get(instance, one.at) > seconds + SLACK_S:
                late.append((upstream.upstream_id, instance, round(one.at - first[instance], 2)))
    assert not late, (len(late), late[:5])


@then("from {seconds:g} s after the first such response nothing reaches that upstream at all")
def nothing_at_all(context: Any, seconds: float) -> None:
    """Compare arrivals with the first such response that any instance had."""
    assert_at_most(context, 0, seconds)


@then(
    "at most {most:d} requests reach a leaving upstream from {seconds:g} s after its first such"
    " response on"
)
def at_most(context: Any, most: int, seconds: float) -> None:
    """Count what instances send that have just started and heard of nothing."""
    assert_at_most(context, most, seconds)


def assert_at_most(context: Any, most: int, seconds: float) -> None:
    """Count arrivals from so long after the first response of each upstream on."""
    finish(context)
    for upstream in context.signalling:
        since = min(one.at for one in upstream.signalled_leaving) + seconds
        late = [round(one.at - since, 2) for one in upstream.arrived if one.at > since]
        assert len(late) <= most, (upstream.upstream_id, len(late), late[:5])


@then("at least {share:d} in 100 calls and streams are whole")
def mostly_whole(context: Any, share: int) -> None:
    """Look at the answers."""
    finish(context)
    bad = [one for one in context.asked if not one.is_whole]
    assert len(bad) <= (1 - share / 100) * len(context.asked), (len(bad), bad[:3])


@then("calls are answered whole within {seconds:g} s of the first such response")
def served_meanwhile(context: Any, seconds: float) -> None:
    """Look at the calls that came while all upstreams were draining."""
    finish(context)
    since = context.signalled_at
    calls = [one for one in calls_of(context) if since <= one.at <= since + seconds]
    bad = [one for one in calls if not one.is_whole]
    assert calls and not bad, (len(calls), len(bad), bad[:3])


@then("from {seconds:g} s after it calls are refused within {most:g} s, and nothing ran")
def refused_then(context: Any, seconds: float, most: float) -> None:
    """Look at the calls that came when nobody was left to serve."""
    finish(context)
    since = context.signalled_at + seconds
    calls = [one for one in calls_of(context) if one.at >= since]
    assert calls
    for one in calls:
        assert is_refusal(one) and one.took_s <= most, one


def calls_of(context: Any) -> list[Asked]:
    """Return the plain calls."""
    return [one for one in context.asked if one.target == TARGETS[0]]


def is_refusal(one: Asked) -> bool:
    """Tell whether a request was refused, with a time to come back, and not run."""
    has_time = float(one.answer.headers.get("retry-after", 0)) > 0
    return one.answer.status == 503 and has_time and b'"ran":"not run"' in one.answer.body


@then(
    "no upstream gets a request from an instance between {seconds:g} s after it has rejected one"
    " and the end of its back-off"
)
def backoff_kept(context: Any, seconds: float) -> None:
    """Compare each instance's requests with the rejections that it had."""
    finish(context)
    sent = []
    for upstream in context.signalling:
        assert upstream.rejections, upstream.upstream_id
        for rejection in upstream.rejections:
            instance = context.instance_of[rejection.request_id]
            begins, ends = rejection.at + seconds, rejection.at + rejection.for_s
            sent += [
                (upstream.upstream_id, instance, round(one.at - rejection.at, 2))
                for one in upstream.arrived
                if begins < one.at < ends and context.instance_of[one.request_id] == instance
            ]
    assert not sent, (len(sent), sent[:5])


def backoff_ends(context: Any, instance: str, at: float) -> Iterator[float]:
    """Yield when the back-off of each signalling upstream ends that an instance knows of."""
    for upstream in context.signalling:
        known: list[Signalled] = [
            one
            for one in upstream.rejections
            if context.instance_of[one.request_id] == instance and one.at <= at
        ]
        yield max((one.at + one.for_s for one in known), default=0.0)


@then(
    "who is refused is told within {seconds:g} s to come back when the first back-off is over,"
    " and that nothing ran"
)
def refused_with_time(context: Any, seconds: float) -> None:
    """Compare the times that callers are told with what the upstreams have requested."""
    finish(context)
    refused = [one for one in calls_of(context) if not one.is_whole]
    assert refused
    for one in refused:
        assert is_refusal(one) and one.took_s <= seconds, one
        ended_at = one.at + one.took_s
        due_s = min(backoff_ends(context, one.instance, ended_at)) - ended_at
        told_s = float(one.answer.headers["retry-after"])
        assert due_s - SLACK_S <= told_s <= max(0.0, due_s) + RETRY_SPREAD_S, (due_s, one)


@then("no call is refused by an instance to which a portal has not just requested a back-off")
def refused_only_in_backoff(context: Any) -> None:
    """Look for refusals while a portal could be asked."""
    finish(context)
    refused: dict[str, list[Asked]] = defaultdict(list)
    for one in calls_of(context):
        ended_at = one.at + one.took_s
        if not one.is_whole and min(backoff_ends(context, one.instance, ended_at)) < one.at:
            refused[one.instance].append(one)
    assert not refused, refused


def ask_node(node: Any, count: int) -> None:
    """Make calls at one instance."""
    for _ in range(count):
        assert node.ask(TARGETS[0], f"signal-{next(NUMBERS)}").status == 200


@when("a portal signals to one instance that it leaves")
def one_hears(context: Any) -> None:
    """Ask one instance until the portal has answered it."""
    portal = context.portal = context.portals[0]
    portal.leaves = True
    while not portal.signalled_leaving:
        ask_node(context.nodes[0], 1)


@then("{seconds:g} s later 20 calls at each of the other instances reach it no more")
def others_know(context: Any, seconds: float) -> None:
    """Ask all others."""
    gevent.sleep(seconds)
    before = len(context.portal.arrived)
    for node in context.nodes[1:]:
        ask_node(node, 20)
    assert len(context.portal.arrived) == before, (before, len(context.portal.arrived))


@when("an instance is killed and has started anew")
def started_anew(context: Any) -> None:
    """Kill the last one and wait until it is ready again."""
    node = context.nodes[-1]
    node.signal(signal.SIGKILL)
    node.restart()
    context.add_cleanup(node.process.wait)
    context.add_cleanup(node.process.kill)
    wait_for_processes(f"{node.name} is ready again", node.is_ready)


@then("{seconds:g} s later 20 calls there reach it no more")
def fresh_knows(context: Any, seconds: float) -> None:
    """Ask the instance that has started anew."""
    gevent.sleep(seconds)
    before = len(context.portal.arrived)
    ask_node(context.nodes[-1], 20)
    assert len(context.portal.arrived) == before, (before, len(context.portal.arrived))
