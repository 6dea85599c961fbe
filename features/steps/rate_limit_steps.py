"""Test on real processes that instances respect the rate limits that upstreams signal."""

from __future__ import annotations

import itertools
import signal
import time
from dataclasses import dataclass
from typing import Any, Final

import gevent
from behave import given, then, when

from driftstall.exceptions import UpstreamError
from driftstall.platform.names import KIND_CONFIG, KIND_UPSTREAMS, NAME_CONFIG
from driftstall.platform.store import Store
from features.steps.gateway_node_steps import wait_for_processes
from features.worlds.gateway_world import Received, document
from features.worlds.upstream_samples import entry_spec
from measures.bench import Bench
from stand_ins.routed import RoutedUpstream, Script

CONTACT_S: Final = 3.0
"""Time within which all instances must know a limit."""
WINDOW_S: Final = 4.0
FACTOR: Final = 1.5
EXTRA: Final = 5
PAUSE_S: Final = 0.02
"""Pause of a caller between its requests."""
REFUSED_PAUSE_S: Final = 0.25
PLAIN_WORK_S: Final = 0.05
NUMBERS: Final = itertools.count(1)


@dataclass(frozen=True, slots=True)
class Timed:
    """A response and its duration."""

    answer: Received
    took_s: float


@dataclass(frozen=True, slots=True)
class Phase:
    """A limit and the time span in which it applied, on the monotonic clock."""

    upstream: RoutedUpstream
    per_s: float
    since: float
    until: float


def usual_call() -> Script:
    """Return the script of a portal's call."""
    return Script(work_s=PLAIN_WORK_S)


def usual_stream() -> Script:
    """Return the script of an engine's stream."""
    return Script(events=5, event_pause_s=0.02)


@given(
    "the store's stand-in with a routing configuration, {portals:d} portals and {engines:d} engines"
)
def start_store(context: Any, portals: int, engines: int) -> None:
    """Start the store and the upstreams."""
    bench = context.store_bench = Bench()
    context.add_cleanup(bench.close)
    context.store_address = bench.start_platform().address
    context.store = Store(context.store_address)
    context.store.create(KIND_CONFIG, NAME_CONFIG, document(3))
    context.portals = [RoutedUpstream(f"p-{n}", usual_call) for n in range(portals)]
    context.engines = [RoutedUpstream(f"e-{n}", usual_stream) for n in range(engines)]
    for service, slots, upstreams in (
        ("portal", 6, context.portals),
        ("engines", 64, context.engines),
    ):
        for upstream in upstreams:
            context.add_cleanup(upstream.stop)
            spec = entry_spec(upstream.address, service, slots=slots)
            context.store.create(KIND_UPSTREAMS, upstream.upstream_id, spec)
    context.nodes = []
    context.phases = []
    context.timed = []


def ask_on(context: Any, target: str, until: float) -> None:
    """Send requests as one caller until that time, to the instances in turn."""
    nodes = itertools.cycle(context.nodes)
    for _ in range(next(NUMBERS) % len(context.nodes)):
        next(nodes)
    while time.monotonic() < until:
        started_at = time.monotonic()
        try:
            answer = next(nodes).ask(target, f"limit-{next(NUMBERS)}")
        except (OSError, UpstreamError):
            # The instance was being killed; the next instance is used.
            gevent.sleep(PAUSE_S)
            continue
        context.timed.append(Timed(answer, time.monotonic() - started_at))
        gevent.sleep(PAUSE_S if answer.status == 200 else REFUSED_PAUSE_S)


def name_limit(context: Any, upstream: RoutedUpstream, per_s: float | None) -> None:
    """Change the limit that an upstream signals, and record the end of the previous limit."""
    now = time.monotonic()
    context.phases = [
        Phase(phase.upstream, phase.per_s, phase.since, now)
        if phase.upstream is upstream and phase.until == float("inf")
        else phase
        for phase in context.phases
    ]
    upstream.rate_limit = per_s
    if per_s is not None:
        context.phases.append(Phase(upstream, per_s, now, float("inf")))


@when(
    '{callers:d} callers ask for "{target}" for {seconds:g} s, and from {after:g} s on {count:d}'
    " {kind} {take} {per_s:g} requests a second"
)
def callers_ask(
    context: Any,
    callers: int,
    target: str,
    seconds: float,
    after: float,
    count: int,
    kind: str,
    take: str,
    per_s: float,
) -> None:
    """Start the callers, and let some upstreams signal a limit."""
    context.ends_at = time.monotonic() + seconds
    context.asking = [
        gevent.spawn(ask_on, context, target, context.ends_at) for _ in range(callers)
    ]
    context.kind = context.portals if kind.startswith("portal") else context.engines
    gevent.sleep(after)
    context.limited = context.kind[:count]
    for upstream in context.limited:
        name_limit(context, upstream, per_s)


@when("meanwhile an instance is killed and starts anew every {pause:g} s")
def kill_meanwhile(context: Any, pause: float) -> None:
    """Kill and restart the instances in turn until the callers are done."""
    for node in itertools.cycle(context.nodes):
        if time.monotonic() + pause > context.ends_at:
            return
        node.signal(signal.SIGKILL)
        node.restart()
        context.add_cleanup(node.process.wait)
        context.add_cleanup(node.process.kill)
        wait_for_processes(f"{node.name} is ready again", node.is_ready)
        gevent.sleep(pause)


@when("after {first:g} s more it takes {per_s:g}, and after another {second:g} s it names no limit")
def limit_changes(context: Any, first: float, per_s: float, second: float) -> None:
    """Change the limit, then lift it."""
    (upstream,) = context.limited
    gevent.sleep(first)
    name_limit(context, upstream, per_s)
    gevent.sleep(second)
    name_limit(context, upstream, None)
    context.lifted_at = time.monotonic()


def finish(context: Any) -> None:
    """Wait until all callers are done."""
    gevent.joinall(context.asking, raise_error=True)


def most_in_window(times: list[float]) -> int:
    """Return the largest number of the times that fall into one window."""
    ordered = sorted(times)
    return max(
        (sum(start <= at < start + WINDOW_S for at in ordered) for start in ordered),
        default=0,
    )


@then(
    "from {contact:g} s after it no upstream gets more in any 4 s than one and a half times its"
    " limit and 5"
)
def no_more(context: Any, contact: float) -> None:
    """Check the peak number of arrivals while each limit applied and was known."""
    finish(context)
    assert context.phases
    found = []
    for phase in context.phases:
        since = phase.since + contact
        times = [at for at in phase.upstream.arrivals if since <= at < phase.until]
        allowed = FACTOR * phase.per_s * WINDOW_S + EXTRA
        found.append((phase.upstream.upstream_id, most_in_window(times), allowed))
    assert all(most <= allowed for _, most, allowed in found), found


@then("limited upstreams get at least {share:g} of what they take")
def limits_used(context: Any, share: float) -> None:
    """Check the number of arrivals while each limit applied and was known."""
    finish(context)
    for phase in context.phases:
        since, until = phase.since + CONTACT_S, min(phase.until, context.ends_at)
        arrived = sum(since <= at < until for at in phase.upstream.arrivals)
        allowed = phase.per_s * (until - since)
        assert arrived >= share * allowed, (phase.upstream.upstream_id, arrived, allowed)


@then("at least {share:d} in 100 answers are whole")
def answers_whole(context: Any, share: int) -> None:
    """Check the share of complete responses."""
    finish(context)
    bad = [each for each in context.timed if each.answer.status != 200 or not each.answer.whole]
    assert len(bad) <= (1 - share / 100) * len(context.timed), (len(bad), bad[:3])


@then("who is refused is told within {seconds:g} s when to come back, and that nothing ran")
def refused_soon(context: Any, seconds: float) -> None:
    """Check that there are refusals, their time and their content."""
    finish(context)
    refused = [timed for timed in context.timed if timed.answer.status != 200]
    assert refused
    for timed in refused:
        assert timed.answer.status == 503, timed
        assert timed.took_s <= seconds, timed
        assert float(timed.answer.headers["retry-after"]) > 0, timed
        assert b'"ran":"not run"' in timed.answer.body, timed


@then("within {seconds:g} s of the end of its limit it gets as many requests as a peer")
def lifted(context: Any, seconds: float) -> None:
    """Compare its arrivals after the limit with those of its peers."""
    finish(context)
    since = context.lifted_at + seconds
    counts = [sum(at >= since for at in upstream.arrivals) for upstream in context.kind]
    assert counts[0] >= 0.5 * max(counts) > 0, counts
