"""Check how what an upstream takes is shared, without a network."""

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
"""Requests a second that come to each instance, and three times the limit at least."""
SETTLED_S = WARM_UP_S + permits.SETTLE_S + 1.0


def play(context: Any, **more: Any) -> None:
    """Play the scenario's load from some seeds."""
    instances, limit = context.fleet
    per_s = max(20.0, PER_INSTANCE * instances, 3 * limit)
    way = context.way
    context.load = PermitLoad(instances, limit, per_s, way=way, seconds=MINUTE_S, **more)
    context.outcomes = [PermitWorld(context.load, seed).play() for seed in SEEDS]


@given("{count:d} instances that share {limit:g} requests a second, one of which is asked")
def asked_fleet(context: Any, count: int, limit: float) -> None:
    """Keep what is to be played."""
    context.fleet, context.way = (count, limit), SharingMode.ASKED


@given("{count:d} instances that share {limit:g} requests a second in even parts")
def even_fleet(context: Any, count: int, limit: float) -> None:
    """Keep what is to be played."""
    context.fleet, context.way = (count, limit), SharingMode.EVEN


@given("each gives the whole limit, whatever it hears of the fleet, and at once")
def gives_all(context: Any) -> None:
    """Break both guards."""
    for target, name, value in (
        (permit_world, "scaled_limit", lambda per_s, *_: per_s),
        (permits, "SETTLE_S", 0.0),
    ):
        patch = mock.patch.object(target, name, value)
        patch.start()
        context.add_cleanup(patch.stop)


@when("they play a minute with many more requests")
def play_minute(context: Any) -> None:
    """Play."""
    play(context)


@when("they play a minute of {faults}, each second one of the instance that is asked")
def play_faults(context: Any, faults: str) -> None:
    """Play."""
    play(context, fault=Fault(faults))


@when("they play a minute with many more requests, and the limit falls to {per_s:g} in the middle")
def play_fall(context: Any, per_s: float) -> None:
    """Play."""
    play(context, falls_to=per_s)


@when("they play a minute in which all can wait for {seconds:g} s and half of them are more urgent")
def play_ranks(context: Any, seconds: float) -> None:
    """Play."""
    play(context, most_wait_s=seconds, urgent_share=0.5)


def each(context: Any, check: Callable[[PermitOutcome], bool], value: Callable[..., Any]) -> None:
    """Check each outcome, and show what was found."""
    assert context.outcomes
    for outcome in context.outcomes:
        assert check(outcome), value(outcome)


@then("in any 4 s there are at most 4 s of the limit and 3 sends")
def spaced(context: Any) -> None:
    """Count."""
    most = 4 * context.load.limit + permits.BURST_PERMITS + 1
    each(
        context,
        lambda one: one.max_sends_within(4.0) <= most,
        lambda one: (one.max_sends_within(4.0), most),
    )


@then("in any 4 s there are at most one and a half times the limit and 5 sends")
def allowed(context: Any) -> None:
    """Count."""
    most = 6 * context.load.limit + 5
    each(
        context,
        lambda one: one.max_sends_within(4.0) <= most,
        lambda one: (one.max_sends_within(4.0), most),
    )


@then("in some 4 s there are more than one and a half times the limit and 5 sends")
def not_allowed(context: Any) -> None:
    """Count."""
    most = 6 * context.load.limit + 5
    found = [one.max_sends_within(4.0) for one in context.outcomes]
    assert max(found) > most, (found, most)


@then("at least {share:g} of the limit is used")
def used(context: Any, share: float) -> None:
    """Count."""
    least = share * context.load.limit
    each(
        context,
        lambda one: one.per_s(SETTLED_S, MINUTE_S) >= least,
        lambda one: (one.per_s(SETTLED_S, MINUTE_S), least),
    )


@then("less than {share:g} of the limit is used")
def unused(context: Any, share: float) -> None:
    """Count."""
    most = share * context.load.limit
    each(
        context,
        lambda one: one.per_s(SETTLED_S, MINUTE_S) < most,
        lambda one: one.per_s(SETTLED_S, MINUTE_S),
    )


@then("from {seconds:g} s after it there are at most 4 s of the new limit and 3 sends in any 4 s")
def falls(context: Any, seconds: float) -> None:
    """Count."""
    since = MINUTE_S / 2 + seconds
    most = 4 * context.load.falls_to + permits.BURST_PERMITS + 1
    each(
        context,
        lambda one: one.max_sends_within(4.0, since) <= most,
        lambda one: one.max_sends_within(4.0, since),
    )


@then(
    "of the more urgent at least {times:g} times as many are sent, but at least a quarter are"
    " others"
)
def ranked(context: Any, times: float) -> None:
    """Count."""
    for one in context.outcomes:
        urgent = sum(rank == 0 for rank in one.ranks)
        others = len(one.ranks) - urgent
        assert urgent >= times * others and others >= len(one.ranks) / 4, (urgent, others)


@then("none waits for longer than {seconds:g} s")
def short_waits(context: Any, seconds: float) -> None:
    """Look at the waits."""
    each(context, lambda one: max(one.waits) <= seconds, lambda one: max(one.waits))


@then("at most {most:d} questions are asked in a second")
def few_questions(context: Any, most: int) -> None:
    """Count."""
    each(
        context,
        lambda one: one.permit_requests <= most * (MINUTE_S - WARM_UP_S),
        lambda one: one.permit_requests / (MINUTE_S - WARM_UP_S),
    )


@then("between {least:d} and {most:d} requests are sent")
def few_sent(context: Any, least: int, most: int) -> None:
    """Count."""
    each(context, lambda one: least <= len(one.sent_at) <= most, lambda one: len(one.sent_at))


@given("{count:d} instances that hear of a limit that changes, in drawn orders")
def drawn_orders(context: Any, count: int) -> None:
    """Draw answers and exchanges, then let all tell all; keep what they know."""
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
        books = [RateLimitTracker() for _ in range(count)]
        now = 0.0
        for one, other, per_s in events:
            now += 0.1
            if one == other:
                books[one].record_response(UPSTREAM, per_s, now, now)
            else:
                books[one].merge(books[other].reports, now)
        for one, other in itertools.product(range(count), repeat=2):
            books[one].merge(books[other].reports, now)
        for one, other in itertools.product(range(count), repeat=2):
            books[one].merge(books[other].reports, now)
        context.found.append([book.reports for book in books])

    orders()


@then("all know the same in the end")
def same(context: Any) -> None:
    """Compare."""
    assert context.found
    for told in context.found:
        assert all(one == told[0] for one in told), told


@given("a limit of {per_s:g} a second that was learned at {at:g} s")
def learned(context: Any, per_s: float, at: float) -> None:
    """Let an answer name it."""
    context.book = RateLimitTracker()
    assert context.book.record_response(UPSTREAM, per_s, at - 0.1, at)


@when("an answer without a limit comes to a request sent at {at:g} s")
def answer_without(context: Any, at: float) -> None:
    """Let it come."""
    context.book.record_response(UPSTREAM, None, at, 10.2)


@then("the limit is still in force")
def in_force(context: Any) -> None:
    """Look."""
    assert context.book.per_s(UPSTREAM) == 2.0


@then("an answer without a limit to a request sent at {at:g} s ends it")
def ends(context: Any, at: float) -> None:
    """Let it come."""
    context.book.record_response(UPSTREAM, None, at, 10.3)
    assert context.book.per_s(UPSTREAM) is None


@then("a lower one counts at once, whenever its request was sent")
def lower_counts(context: Any) -> None:
    """Let it come late."""
    assert context.book.record_response(UPSTREAM, 1.0, 9.0, 10.4)
    assert context.book.per_s(UPSTREAM) == 1.0
    assert not context.book.record_response(UPSTREAM, 3.0, 9.0, 10.5)


@then("the limit is still in force at {at:g} s")
def still_in_force(context: Any, at: float) -> None:
    """Let time pass."""
    context.book.keep_only({UPSTREAM}, at)
    in_force(context)


@then("it is forgotten once its upstream is gone")
def forgotten(context: Any) -> None:
    """Let it go, some time after."""
    context.book.keep_only(set(), 10.0 + UNKNOWN_RETENTION_S + 0.1)
    assert context.book.reports == ()


@given("an allowance of {per_s:g} request a second that has just given all it had")
def allowance(context: Any, per_s: float) -> None:
    """Ask until it denies."""
    context.allowance, context.per_s, context.now = Allowance(0.0), per_s, 100.0
    while isinstance(ask(context), Permit):
        pass


def ask(context: Any, most_wait_s: float = 0.0, *, under_way: bool = False) -> permits.Verdict:
    """Ask now."""
    need = SendNeed(most_wait_s, 1, under_way)
    verdict: permits.Verdict = context.allowance.ask(need, context.per_s, context.now)
    return verdict


@then("{count:d} streams under way are let through at once, and the next one is not")
def under_way(context: Any, count: int) -> None:
    """Ask for them."""
    found = [ask(context, under_way=True) for _ in range(count + 1)]
    assert all(one == Permit(0.0) for one in found[:count]), found
    assert isinstance(found[count], Denial), found


@when("{count:d} calls are made that are not held back")
def charged(context: Any, count: int) -> None:
    """Charge them."""
    for _ in range(count):
        context.allowance.charge(context.per_s, context.now)


@then("the next ordinary request is not let through within {seconds:g} s")
def later(context: Any, seconds: float) -> None:
    """Ask with that much patience."""
    assert isinstance(ask(context, seconds - 0.01), Denial)


@given("an instance whose part of a service's limits is {per_s:g} a second")
def part(context: Any, per_s: float) -> None:
    """Keep it."""
    context.returns, context.part = RetryTimes(), per_s


@when("{count:d} callers are turned away at once, and it may ask again in {first:g} s")
def turned_away(context: Any, count: int, first: float) -> None:
    """Tell them."""
    now = random.Random(1).uniform(0.0, 1000.0)
    context.told = [
        context.returns.next_s("portal", first, context.part, now) for _ in range(count)
    ]


@then("they are told to come back {gap:g} s apart, the first after {first:g} s")
def told_apart(context: Any, gap: float, first: float) -> None:
    """Compare."""
    wanted = [first + gap * number for number in range(len(context.told))]
    pairs = zip(context.told, wanted, strict=True)
    assert all(abs(one - other) < 1e-6 for one, other in pairs), context.told
