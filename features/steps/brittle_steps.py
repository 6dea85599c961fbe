"""Test that brittle upstreams get no more requests than fit."""

from __future__ import annotations

import itertools
import random
import time
from typing import Any

import gevent
from behave import given, then, when

from driftstall.decisions.brittle_upstreams import BrittleUpstreams
from driftstall.platform.names import KIND_UPSTREAMS
from features.worlds.upstream_samples import entry_spec
from stand_ins.routed import RoutedUpstream, Script

BRITTLE = (b"Server-Brittle", b"3")
WORK_S = 0.09
PAUSE_S = 0.02
NOW = 100.0


@given(
    "{count:d} brittle plain upstreams that run {slots:d} calls at once and hold {queue:d} waiting"
)
def brittle_upstreams(context: Any, count: int, slots: int, queue: int) -> None:
    """Start the upstreams and list them in the store; they record when they reject a call."""
    context.rejected_at = []
    for number in range(count):
        upstream = RoutedUpstream(f"brittle-{number}")
        context.add_cleanup(upstream.stop)
        upstream.load_slots = slots
        upstream.extra_headers = (BRITTLE,)
        times: list[float] = []
        context.rejected_at.append(times)
        upstream.script_for = _limited(upstream, slots + queue, times)  # type: ignore[method-assign]
        spec = entry_spec(upstream.address, "portal", slots=slots)
        context.store.create(KIND_UPSTREAMS, upstream.upstream_id, spec)


def _limited(upstream: RoutedUpstream, limit: int, rejected_at: list[float]) -> Any:
    """Return a function that returns the script of a request that arrives now."""

    def script_for(_: str) -> Script:
        # The work of waiting calls takes longer, as if it began later.
        waiting = max(0, upstream.in_progress + 1 - upstream.load_slots)
        is_full = upstream.in_progress >= limit
        if is_full:
            rejected_at.append(time.monotonic())
        return Script(work_s=WORK_S * (1 + waiting), not_run=is_full)

    return script_for


@when("{count:d} callers make calls for {seconds:g} s at all instances")
def send_calls(context: Any, count: int, seconds: float) -> None:
    """Send calls from many callers, each at random instances."""
    context.began_at = time.monotonic()
    until = context.began_at + seconds

    def call(number: int) -> int:
        source, served = random.Random(number), 0
        for attempt in itertools.count():
            if time.monotonic() > until:
                return served
            answer = source.choice(context.nodes).ask("/once/a", f"call-{number}-{attempt}")
            served += answer.status == 200
            gevent.sleep(PAUSE_S)
        return served

    jobs = [gevent.spawn(call, number) for number in range(count)]
    gevent.joinall(jobs, raise_error=True)
    context.served = sum(job.value for job in jobs)


@then(
    "{after:g} s after the first signal no upstream rejects more than {most:d} calls in any second"
)
def few_rejected(context: Any, after: float, most: int) -> None:
    """Count the rejections in each second."""
    for times in context.rejected_at:
        late = [at for at in times if at >= context.began_at + after]
        for at in late:
            assert sum(at <= other < at + 1.0 for other in late) <= most, (len(late), len(times))


@then("at least {least:d} calls are served")
def enough_served(context: Any, least: int) -> None:
    """Count the calls that were served."""
    assert context.served >= least, context.served


@given(
    "{count:d} instances that know of a brittle upstream with {slots:d} slots and {room} to spare"
)
@given("{count:d} instances that know of a brittle upstream with {slots:d} slots and {room} there")
def know_brittle(context: Any, count: int, slots: int, room: str) -> None:
    """Let instances hear the signal."""
    ids = tuple(f"instance-{number}" for number in range(count))
    context.instances = [BrittleUpstreams(own_id, lambda: ids) for own_id in ids]
    for brittle in context.instances:
        brittle.record_signal("u1", NOW)
    context.slots, context.now = slots, NOW + 1.0
    context.busy = slots - 1 if room == "no room" else 0


@then("together they may have at most {slots:d} requests there")
def together(context: Any, slots: int) -> None:
    """Count how many requests each instance may send while hardly any place is free."""
    total = 0
    for brittle in context.instances:
        total += next(
            own
            for own in itertools.count()
            if brittle.is_full("u1", context.slots, context.busy, own, context.now)
            or own > context.slots
        )
    assert total <= slots, total


@when("{seconds:d} s pass")
def pass_seconds(context: Any, seconds: int) -> None:
    """Advance the time."""
    context.now += seconds


@then("each of them may send")
def each_may_send(context: Any) -> None:
    """Check all instances."""
    for brittle in context.instances:
        assert not brittle.is_full("u1", context.slots, context.busy, 0, context.now)
