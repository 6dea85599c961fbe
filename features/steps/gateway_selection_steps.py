"""Test load sums, upstream selection and the outlier detection by response outcomes."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

from behave import given, then, when

from driftstall.gateway.loads import LoadTable, RequestLoad, Use
from driftstall.gateway.outcomes import Outcome, OutlierDetector
from driftstall.gateway.scheduling.selection import (
    SAMPLE_SIZE,
    Option,
    Sampler,
    choose_backup,
    choose_call,
    choose_migration_target,
    choose_stream,
)
from features.worlds.upstream_samples import ENGINE, NEED, upstream_of


@given('a request of 1000 tokens on "u1" with a copy on "u2", and a peer\'s of 500 on "u1"')
def loads(context: Any) -> None:
    """Fill a load table with an own request and a peer's report."""
    context.loads = LoadTable()
    context.loads.set_load("r1", RequestLoad("u1", 1000, 600, "u2"))
    context.loads.record_peer("peer", (Use("u1", 1, 500, 0, 0, 500),), 10.0)


@then('"u1" has 1500 tokens running and "u2" has 1000 tokens of copies')
def check_sums(context: Any) -> None:
    """Check the totals per upstream and the tokens that the peer reported."""
    assert context.loads.use("u1", 10.5) == Use("u1", 2, 1500, 0, 600, 500)
    assert context.loads.use("u2", 10.5) == Use("u2", 0, 0, 1000)
    assert context.loads.exposed_at_peers("u1", 10.5) == {"peer": 500}


@then("the peer's sums count no more after 4 s")
def peer_silent(context: Any) -> None:
    """Read the table after the peer's report has expired."""
    assert context.loads.use("u1", 14.1).tokens == 1000
    assert context.loads.exposed_at_peers("u1", 14.1) == {}


@then("nothing is left once the request has ended")
def no_load_remains(context: Any) -> None:
    """End the request and check that its load was removed."""
    context.loads.remove_load("r1")
    assert context.loads.own == ()


def option(name: str, tokens: int, zone: str = "a") -> Option:
    """Return an engine with the given load as an option for the selection."""
    return Option(upstream_of(name, zone=zone), Use(name, 1, tokens), 0.0, False)


@then("of an engine with 30000 tokens in use and an empty one the empty one is chosen")
def with_room(context: Any) -> None:
    """Choose an engine for a stream from the two options."""
    chosen = choose_stream(
        [option("u1", 30_000), option("u2", 0, "b")], ENGINE, NEED, "a", Sampler(random.Random(1))
    )
    assert chosen is not None and chosen.upstream.upstream_id == "u2"


@then("a copy is kept on neither the own engine nor a full one")
def no_copy(context: Any) -> None:
    """Choose a backup where the only other engine has no free memory."""
    options = [option("u1", 0), option("u2", 25_000)]
    chosen = choose_backup(options, ENGINE, NEED, options[0].upstream, Sampler(random.Random(1)))
    assert chosen is None, chosen


@then("of a far empty engine and a near one a quarter full the near one takes a move")
def near_move(context: Any) -> None:
    """Choose a migration target."""
    options = [option("far", 0, "b"), option("near", 8_600)]
    primary = upstream_of("u1")
    chosen = choose_migration_target(
        options, ENGINE, NEED, primary, Sampler(random.Random(1)), max_memory_share=1.0
    )
    assert chosen is not None and chosen.upstream.upstream_id == "near"


@when('"{name}" could not be reached {count:d} times')
def unreachable(context: Any, name: str, count: int) -> None:
    """Record failed connections, and how long each one ejects the upstream."""
    context.outcomes = OutlierDetector()
    context.ejections_s = []
    for index in range(count):
        at = 100.0 * index
        context.outcomes.record_outcome(name, "engines", Outcome.UNREACHABLE, at, 0.0)
        ejection_s = next(
            n / 100 for n in range(1000) if not context.outcomes.is_ejected(name, at + n / 100)
        )
        context.ejections_s.append(ejection_s)


@then("it rests, longer than after the first time, and not for ever")
def ejections_grow(context: Any) -> None:
    """Check that ejections grow longer, up to a bound."""
    first, *_, last = context.ejections_s
    assert 0 < first < last < 5, context.ejections_s


@given('a book of outcomes in which "u1" and "u2" answer in 30 ms each 0.1 s')
def two_fast(context: Any) -> None:
    """Record fast responses of both for 5 s."""
    context.outcomes, context.at = OutlierDetector(), 5.0
    answer_fast(context, 5.0)


def answer_fast(context: Any, seconds: float) -> None:
    """Record a fast response of each of the two upstreams every 0.1 s."""
    for _ in range(round(seconds * 10)):
        context.at += 0.1
        for name in ("u1", "u2"):
            context.outcomes.record_outcome(name, "s", Outcome.GOOD, context.at, 0.03)


@when('"u3" joins, and gives its first two answers after 0.4 s')
def slow_first(context: Any) -> None:
    """Record two slow responses."""
    for _ in range(2):
        context.outcomes.record_outcome("u3", "s", Outcome.GOOD, context.at, 0.4)


def next_call(context: Any, running: int) -> str:
    """Return the upstream chosen for a call while each fast upstream runs `running` calls."""
    busy = {"u1": running, "u2": running, "u3": 0}
    options = [
        Option(
            upstream_of(name),
            Use(name, running=busy[name]),
            context.outcomes.penalty(name, "s", context.at),
            False,
        )
        for name in busy
    ]
    chosen = choose_call(options, Sampler(random.Random(int(context.at * 10))))
    assert chosen is not None
    return chosen.upstream.name


@then('no call goes to "u3" for the next 2 s, though the others are busy')
def left_alone(context: Any) -> None:
    """Choose an upstream every 0.1 s."""
    for _ in range(20):
        answer_fast(context, 0.1)
        assert next_call(context, running=4) != "u3", context.at


@then("one goes there within 20 s, though they are idle")
def tried_again(context: Any) -> None:
    """Choose an upstream every 0.1 s until the slow one is chosen."""
    for _ in range(200):
        answer_fast(context, 0.1)
        if next_call(context, running=0) == "u3":
            return
    raise AssertionError(context.outcomes.penalty("u3", "s", context.at))


@when('half of the answers of "u1" are failures and those of "u2" take twice as long')
def fail_and_slow(context: Any) -> None:
    """Record 60 responses of each upstream, one per second."""
    context.outcomes = OutlierDetector()
    for index in range(60):
        outcome = Outcome.FAILED if index % 2 else Outcome.GOOD
        context.outcomes.record_outcome("u1", "s", outcome, float(index), 0.1)
        context.outcomes.record_outcome("u2", "s", Outcome.GOOD, float(index), 0.2)
        context.outcomes.record_outcome("u3", "s", Outcome.GOOD, float(index), 0.1)
    context.at = 59.0


@then('both have a penalty and "u3" has none')
def penalties(context: Any) -> None:
    """Check the penalties of the failing, the slow and the healthy upstream."""
    values = [context.outcomes.penalty(name, "s", context.at) for name in ("u1", "u2", "u3")]
    assert values[0] > 0.4 and values[1] > 0.1 and values[2] == 0.0, values


def engines_of(zones: str, tokens: int = 0) -> list[Option]:
    """Return one engine option per letter of `zones`, in the zone of that name."""
    return [option(f"u{index}", tokens, zone) for index, zone in enumerate(zones)]


@then("of 200 instances that decide at once on old sums at most 2 in 5 choose the same engine")
def spread(context: Any) -> None:
    """Let 200 independent samplers choose among 8 equal engines and one that looks idle."""
    options = [*engines_of("aaaaaaaa", 5_000), option("empty", 0)]
    chosen: Counter[str] = Counter()
    for seed in range(200):
        found = choose_stream(options, ENGINE, NEED, "a", Sampler(random.Random(seed), SAMPLE_SIZE))
        assert found is not None
        chosen[found.upstream.upstream_id] += 1
    assert max(chosen.values()) <= 0.4 * 200, chosen
    assert len(chosen) == 9, chosen


@then("a generation goes to a far engine only where the near ones are busy")
def far_if_busy(context: Any) -> None:
    """Choose between idle engines of another zone and local ones at three levels of load."""
    sampler = Sampler(random.Random(1), SAMPLE_SIZE)
    far = engines_of("bbbb")
    for tokens, zone in ((9_000, "a"), (24_000, "b"), (30_000, "b")):
        options = [*far, *(option(f"near-{n}", tokens) for n in range(4))]
        found = choose_stream(options, ENGINE, NEED, "a", sampler)
        assert found is not None and found.upstream.zone == zone, found


@then("a move goes to a far engine only where no near one has room")
def move_far(context: Any) -> None:
    """Choose a migration target with and without free memory in the own zone."""
    sampler = Sampler(random.Random(1), SAMPLE_SIZE)
    far, primary = engines_of("bbbb"), upstream_of("u1")
    for tokens, zone in ((20_000, "a"), (34_000, "b")):
        options = [*far, *(option(f"near-{n}", tokens) for n in range(4))]
        found = choose_migration_target(
            options, ENGINE, NEED, primary, sampler, max_memory_share=1.0
        )
        assert found is not None and found.upstream.zone == zone, found
