"""Test how the rate limit of an upstream is shared by a fleet, without a network."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from typing import Any
from unittest import mock

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from driftstall.decisions import permits
from driftstall.decisions.permits import Allowance, Denial, Permit, RetryTimes, SendNeed
from driftstall.decisions.rate_limits import UNKNOWN_RETENTION_S, RateLimitTracker
from features.worlds import permit_world
from features.worlds.permit_world import (
    UPSTREAM,
    WARM_UP_S,
    Fault,
    PermitLoad,
    PermitOutcome,
    PermitWorld,
    SharingMode,
)

MINUTE_S = 60.0
SEEDS = (1, 2)
PER_INSTANCE = 1.0
"""Requests a second that arrive at each instance; in total at least three times the limit."""
SETTLED_S = WARM_UP_S + permits.SETTLE_S + 1.0


def play(context: Any, **more: Any) -> None:
    """Run the scenario's load from some seeds."""
    instances, limit = context.fleet
    per_s = max(20.0, PER_INSTANCE * instances, 3 * limit)
    way = context.way
    context.load = PermitLoad(instances, limit, per_s, mode=way, seconds=MINUTE_S, **more)
    context.outcomes = [PermitWorld(context.load, seed).play() for seed in SEEDS]


@given("{count:d} instances that share {limit:g} requests a second, one of which is asked")
def asked_fleet(context: Any, count: int, limit: float) -> None:
    """Set the fleet whose owner gives permits."""
    context.fleet, context.way = (count, limit), SharingMode.ASKED


@given("{count:d} instances that share {limit:g} requests a second in even parts")
def even_fleet(context: Any, count: int, limit: float) -> None:
    """Set the fleet that shares in even parts."""
    context.fleet, context.way = (count, limit), SharingMode.EVEN


@given("each gives the whole limit, whatever it hears of the fleet, and at once")
def gives_all(context: Any) -> None:
    """Disable both safeguards."""
    for target, name, value in (
        (permit_world, "scaled_limit", lambda per_s, *_: per_s),
        (permits, "SETTLE_S", 0.0),
    ):
        patch = mock.patch.object(target, name, value)
        patch.start()
        context.add_cleanup(patch.stop)


@when("they play a minute with many more requests")
def play_minute(context: Any) -> None:
    """Run the model."""
    play(context)


@when("they play a minute of {faults}, each second one of the instance that is asked")
def play_faults(context: Any, faults: str) -> None:
    """Run the model with faults."""
    play(context, fault=Fault(faults))


@when("they play a minute with many more requests, and the limit falls to {per_s:g} in the middle")
def play_fall(context: Any, per_s: float) -> None:
    """Run the model with a falling limit."""
    play(context, lowered_limit=per_s)


@when("they play a minute in which all can wait for {seconds:g} s and half of them are more urgent")
def play_ranks(context: Any, seconds: float) -> None:
    """Run the model with two ranks."""
    play(context, max_wait_s=seconds, urgent_share=0.5)


def each(context: Any, check: Callable[[PermitOutcome], bool], value: Callable[..., Any]) -> None:
    """Check each outcome, and show the measured value on failure."""
    assert context.outcomes
    for outcome in context.outcomes:
        assert check(outcome), value(outcome)


@then("in any 4 s there are at most 4 s of the limit and 3 sends")
def spaced(context: Any) -> None:
    """Compare the sends with the limit."""
    most = 4 * context.load.limit + permits.BURST_PERMITS + 1
    each(
        context,
        lambda outcome: outcome.max_sends_within(4.0) <= most,
        lambda outcome: (outcome.max_sends_within(4.0), most),
    )


@then("in any 4 s there are at most one and a half times the limit and 5 sends")
def allowed(context: Any) -> None:
    """Compare the sends with the limit."""
    most = 6 * context.load.limit + 5
    each(
        context,
        lambda outcome: outcome.max_sends_within(4.0) <= most,
        lambda outcome: (outcome.max_sends_within(4.0), most),
    )


@then("in some 4 s there are more than one and a half times the limit and 5 sends")
def not_allowed(context: Any) -> None:
    """Check that the sends exceed the limit."""
    most = 6 * context.load.limit + 5
    found = [outcome.max_sends_within(4.0) for outcome in context.outcomes]
    assert max(found) > most, (found, most)


@then("at least {share:g} of the limit is used")
def used(context: Any, share: float) -> None:
    """Compare the used share of the limit."""
    least = share * context.load.limit
    each(
        context,
        lambda outcome: outcome.per_s(SETTLED_S, MINUTE_S) >= least,
        lambda outcome: (outcome.per_s(SETTLED_S, MINUTE_S), least),
    )


@then("less than {share:g} of the limit is used")
def unused(context: Any, share: float) -> None:
    """Compare the used share of the limit."""
    most = share * context.load.limit
    each(
        context,
        lambda outcome: outcome.per_s(SETTLED_S, MINUTE_S) < most,
        lambda outcome: outcome.per_s(SETTLED_S, MINUTE_S),
    )


@then("from {seconds:g} s after it there are at most 4 s of the new limit and 3 sends in any 4 s")
def falls(context: Any, seconds: float) -> None:
    """Compare the sends with the new limit."""
    since = MINUTE_S / 2 + seconds
    most = 4 * context.load.lowered_limit + permits.BURST_PERMITS + 1
    each(
        context,
        lambda outcome: outcome.max_sends_within(4.0, since) <= most,
        lambda outcome: outcome.max_sends_within(4.0, since),
    )


@then(
    "of the more urgent at least {times:g} times as many are sent, but at least a quarter are"
    " others"
)
def ranked(context: Any, times: float) -> None:
    """Compare the numbers of sends by rank."""
    for outcome in context.outcomes:
        urgent = sum(rank == 0 for rank in outcome.ranks)
        others = len(outcome.ranks) - urgent
        assert urgent >= times * others and others >= len(outcome.ranks) / 4, (urgent, others)


@then("none waits for longer than {seconds:g} s")
def short_waits(context: Any, seconds: float) -> None:
    """Compare the longest wait."""
    each(context, lambda outcome: max(outcome.waits) <= seconds, lambda outcome: max(outcome.waits))


@then("at most {most:d} questions are asked in a second")
def few_questions(context: Any, most: int) -> None:
    """Compare the number of permit requests."""
    each(
        context,
        lambda outcome: outcome.permit_requests <= most * (MINUTE_S - WARM_UP_S),
        lambda outcome: outcome.permit_requests / (MINUTE_S - WARM_UP_S),
    )


@then("between {least:d} and {most:d} requests are sent")
def few_sent(context: Any, least: int, most: int) -> None:
    """Compare the number of sends."""
    each(
        context,
        lambda outcome: least <= len(outcome.sent_at) <= most,
        lambda outcome: len(outcome.sent_at),
    )


@given("{count:d} instances that hear of a limit that changes, in drawn orders")
def drawn_orders(context: Any, count: int) -> None:
    """Generate responses and exchanges, then exchange all reports; record the results."""
    context.found = []

    @hypothesis.settings(max_examples=200, deadline=None, derandomize=True, database=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, count - 1),
                strategies.integers(0, count - 1),
                strategies.sampled_from([None, 0.5, 2.0, 3.1]),
            ),
            max_size=30,
        )
    )
    def orders(events: list[tuple[int, int, float | None]]) -> None:
        trackers = [RateLimitTracker() for _ in range(count)]
        now = 0.0
        for index, other, per_s in events:
            now += 0.1
            if index == other:
                trackers[index].record_response(UPSTREAM, per_s, now, now)
            else:
                trackers[index].merge(trackers[other].reports, now)
        for index, other in itertools.product(range(count), repeat=2):
            trackers[index].merge(trackers[other].reports, now)
        for index, other in itertools.product(range(count), repeat=2):
            trackers[index].merge(trackers[other].reports, now)
        context.found.append([tracker.reports for tracker in trackers])

    orders()


@then("all know the same in the end")
def same(context: Any) -> None:
    """Check that all trackers agree."""
    assert context.found
    for reports in context.found:
        assert all(report == reports[0] for report in reports), reports


@given("a limit of {per_s:g} a second that was learned at {at:g} s")
def learned(context: Any, per_s: float, at: float) -> None:
    """Record the limit of a response."""
    context.tracker = RateLimitTracker()
    assert context.tracker.record_response(UPSTREAM, per_s, at - 0.1, at)


@when("an answer without a limit comes to a request sent at {at:g} s")
def answer_without(context: Any, at: float) -> None:
    """Record a response without a limit."""
    context.tracker.record_response(UPSTREAM, None, at, 10.2)


@then("the limit is still in force")
def in_force(context: Any) -> None:
    """Check the limit."""
    assert context.tracker.per_s(UPSTREAM) == 2.0


@then("an answer without a limit to a request sent at {at:g} s ends it")
def ends(context: Any, at: float) -> None:
    """Record a response without a limit, and check that the limit has ended."""
    context.tracker.record_response(UPSTREAM, None, at, 10.3)
    assert context.tracker.per_s(UPSTREAM) is None


@then("a lower one counts at once, whenever its request was sent")
def lower_counts(context: Any) -> None:
    """Record a lower limit from a late response."""
    assert context.tracker.record_response(UPSTREAM, 1.0, 9.0, 10.4)
    assert context.tracker.per_s(UPSTREAM) == 1.0
    assert not context.tracker.record_response(UPSTREAM, 3.0, 9.0, 10.5)


@then("the limit is still in force at {at:g} s")
def still_in_force(context: Any, at: float) -> None:
    """Check the limit at a later time."""
    context.tracker.keep_only({UPSTREAM}, at)
    in_force(context)


@then("it is forgotten once its upstream is gone")
def forgotten(context: Any) -> None:
    """Remove the upstream and wait for the retention to end."""
    context.tracker.keep_only(set(), 10.0 + UNKNOWN_RETENTION_S + 0.1)
    assert context.tracker.reports == ()


@given("an allowance of {per_s:g} request a second that has just given all it had")
def allowance(context: Any, per_s: float) -> None:
    """Take permits until one is denied."""
    context.allowance, context.per_s, context.now = Allowance(0.0), per_s, 100.0
    while isinstance(ask(context), Permit):
        pass


def ask(context: Any, max_wait_s: float = 0.0, *, under_way: bool = False) -> permits.Verdict:
    """Ask now."""
    need = SendNeed(max_wait_s, 1, under_way)
    verdict: permits.Verdict = context.allowance.ask(need, context.per_s, context.now)
    return verdict


@then("{count:d} streams under way are let through at once, and the next one is not")
def under_way(context: Any, count: int) -> None:
    """Request permits for streams under way."""
    found = [ask(context, under_way=True) for _ in range(count + 1)]
    assert all(verdict == Permit(0.0) for verdict in found[:count]), found
    assert isinstance(found[count], Denial), found


@when("{count:d} calls are made that are not held back")
def charged(context: Any, count: int) -> None:
    """Charge the calls."""
    for _ in range(count):
        context.allowance.charge(context.per_s, context.now)


@then("the next ordinary request is not let through within {seconds:g} s")
def later(context: Any, seconds: float) -> None:
    """Request a permit with a maximum wait just below that time."""
    assert isinstance(ask(context, seconds - 0.01), Denial)


@given("an instance whose part of a service's limits is {per_s:g} a second")
def part(context: Any, per_s: float) -> None:
    """Create the retry times of a service."""
    context.retry_times, context.part = RetryTimes(), per_s


@when("{count:d} callers are turned away at once, and it may ask again in {first:g} s")
def turned_away(context: Any, count: int, first: float) -> None:
    """Compute their retry times."""
    now = random.Random(1).uniform(0.0, 1000.0)
    context.retries_s = [
        context.retry_times.next_s("portal", first, context.part, now) for _ in range(count)
    ]


@then("they are told to come back {gap:g} s apart, the first after {first:g} s")
def retries_apart(context: Any, gap: float, first: float) -> None:
    """Compare the retry times."""
    wanted = [first + gap * number for number in range(len(context.retries_s))]
    pairs = zip(context.retries_s, wanted, strict=True)
    assert all(abs(found - expected) < 1e-6 for found, expected in pairs), context.retries_s
