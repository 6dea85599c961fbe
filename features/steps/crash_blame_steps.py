"""Check which requests are held to have crashed upstreams: the rules, then modelled fleets."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any, Final

from behave import given, then, when

from driftstall.decisions.poison_detection import (
    CRASH_RETENTION_S,
    BlameTold,
    Crash,
    CrashTold,
    PoisonTracker,
    Verdict,
)
from features.worlds.poison_world import Load, Outcome, PoisonWorld

ONE: Final = "one"
ANOTHER: Final = "another"
LATE_S: Final = 3.0
LOADS: Final = {
    "one fatal request": Load(),
    "one fatal request, ordinary ones of 2 sorts": Load(distinct_requests=2, per_s=20),
    "one fatal request, ordinary ones of 20 sorts": Load(distinct_requests=20, per_s=20),
    "one fatal request, an instance killed each 4 s": Load(kill_every_s=4),
    "one fatal request, an instance cut off each 5 s": Load(cut_every_s=5),
    "three fatal requests": Load(fatal=3, per_s=20),
}


def _crashed(book: PoisonTracker, at: float, how: str, upstream_id: str) -> None:
    """Take in a crash."""
    book.record_crash(ONE, Crash(upstream_id, at, how == "under way"))


def _told(book: PoisonTracker, at: float, count: str, upstream_id: str, ago: str) -> None:
    """Take in what a peer tells of crashes; the second one is three seconds older."""
    crashes = tuple(
        CrashTold(upstream_id, int(ago) * 1000 + 3000 * index, under_way=False)
        for index in range(int(count))
    )
    book.merge([BlameTold(ONE, crashes, None)], at)


def _told_well(book: PoisonTracker, at: float, ago: str) -> None:
    """Take in that a peer has seen a good end."""
    book.merge([BlameTold(ONE, (), int(ago) * 1000)], at)


def _another(book: PoisonTracker, at: float, upstreams: str) -> None:
    """Let another request have been beside crashes."""
    for index, upstream_id in enumerate(re.findall(r"\b[abc]\b(?!nd)", upstreams)):
        book.record_crash(ANOTHER, Crash(upstream_id, float(index), under_way=False))


FACTS: Final[tuple[tuple[str, Callable[..., Any]], ...]] = (
    (r"(begun|under way) at (\w)", _crashed),
    (r"well", lambda book, at: book.record_success(ONE, at)),
    (r"a peer tells of (\d+) at (\w) (\d+) s ago", _told),
    (r"a peer tells of well (\d+) s ago", _told_well),
    (r"another was at (.+)", _another),
)


@given("a request of which this is known: {known}")
def known_facts(context: Any, known: str) -> None:
    """Tell a book what is known, in order."""
    context.book = PoisonTracker()
    for fact in () if known == "nothing" else known.split(", "):
        at, _, what = fact.partition(" ")
        for pattern, tell in FACTS:
            found = re.fullmatch(pattern, what)
            if found:
                tell(context.book, float(at), *found.groups())
                break
        else:
            raise AssertionError(fact)


@then("after {seconds:d} s it {may}")
def verdict_is(context: Any, seconds: int, may: str) -> None:
    """Compare the verdict."""
    found = context.book.verdict(ONE, float(seconds)).wait_s
    wanted = 0.0 if may == "may be sent" else float(may.split()[2])
    assert found == wanted, found


@given("a request with two crashes, and {count:d} others that callers have made up, with one each")
def many_records(context: Any, count: int) -> None:
    """Fill a book."""
    book = context.book = PoisonTracker()
    for at, upstream_id in enumerate("ab"):
        book.record_crash(ONE, Crash(upstream_id, float(at), under_way=False))
    for number in range(count):
        book.record_crash(f"made-up-{number}", Crash(f"u{number % 50}", 2.0, under_way=False))


@then("at most {most:d} requests are remembered, and the one with two crashes is still refused")
def bounded(context: Any, most: int) -> None:
    """Count."""
    assert len(context.book) <= most, len(context.book)
    assert list(context.book.quarantined(3.0)) == [ONE]


@then("at most {most:d} are told, it among them")
def told_bounded(context: Any, most: int) -> None:
    """Look at what peers are told."""
    told = context.book.reports(3.0)
    assert len(told) <= most and told[0].fingerprint == ONE, told[:2]


@then("two hours later nothing is remembered")
def forgotten(context: Any) -> None:
    """Let time pass."""
    context.book.forget_expired(CRASH_RETENTION_S + 3.0)
    assert len(context.book) == 0
    assert context.book.verdict(ONE, CRASH_RETENTION_S + 3.0) == Verdict()


@given("a modelled fleet: {load}")
def modelled(context: Any, load: str) -> None:
    """Choose a load."""
    context.load = LOADS[load]


def played(
    context: Any, seeds: int, book: Callable[[], PoisonTracker] = PoisonTracker
) -> list[Outcome]:
    """Play some seeds."""
    return [PoisonWorld(context.load, seed, book).play() for seed in range(1, seeds + 1)]


@then("from seeds 1 to {seeds:d} no fatal request crashes more than {most:d} engines in a minute")
def few_crashes(context: Any, seeds: int, most: int) -> None:
    """Play and count."""
    context.outcomes = played(context, seeds)
    found = [one.max_crashes for one in context.outcomes]
    assert max(found) <= most, found


@then("none is sent more than {most:d} times later than 3 s after its third crash")
def few_late_sends(context: Any, most: int) -> None:
    """Count."""
    found = [one.late_sends(LATE_S) for one in context.outcomes]
    assert max(found) <= most, found


def share_refused(outcomes: list[Outcome]) -> float:
    """Return how many of 10000 ordinary requests were refused."""
    return 10_000 * sum(one.refused for one in outcomes) / sum(one.ordinary for one in outcomes)


@then("at most {most:d} in 10000 ordinary requests are refused")
def few_refused(context: Any, most: int) -> None:
    """Count."""
    found = share_refused(context.outcomes)
    assert found <= most, found


class SilentBook(PoisonTracker):
    """Hold what this instance alone has seen."""

    def merge(self, told: Any, now: float) -> bool:
        """Hear nothing."""
        return False


class UnclearedBook(PoisonTracker):
    """Clear no request."""

    def record_success(self, fingerprint: str, now: float) -> bool:
        """Take no good end in."""
        return False


@then(
    "with instances that tell each other nothing some seed from 1 to {seeds:d} crashes more than"
    " {most:d} engines"
)
def silent_fails(context: Any, seeds: int, most: int) -> None:
    """Play a broken fleet."""
    found = [one.max_crashes for one in played(context, seeds, SilentBook)]
    assert max(found) > most, found


@then("with good ends that do not count more than {most:d} in 10000 ordinary requests are refused")
def uncleared_fails(context: Any, most: int) -> None:
    """Play a broken fleet."""
    found = share_refused(played(context, 4, UnclearedBook))
    assert found > most, found


@given("two books with 9 crashes under a request, the first two of them noticed in different order")
def two_books(context: Any) -> None:
    """Let two instances see crashes some moments apart."""
    context.books = [PoisonTracker(), PoisonTracker()]
    later = [(f"u{number}", float(number)) for number in range(3, 10)]
    for book, first in zip(context.books, (("u1", "u2"), ("u2", "u1")), strict=True):
        for upstream_id, at in [(first[0], 1.0), (first[1], 1.2), *later]:
            book.record_crash(ONE, Crash(upstream_id, at, under_way=False))


@when("they tell each other what they know {times:d} times")
def tell_each_other(context: Any, times: int) -> None:
    """Exchange, and keep whether anything was news at the last time."""
    first, second = context.books
    for number in range(times):
        now = 20.0 + number
        context.was_news = [
            second.merge(first.reports(now), now),
            first.merge(second.reports(now), now),
        ]


@then("nothing of the third time was news to either")
def came_to_rest(context: Any) -> None:
    """Compare."""
    assert context.was_news == [False, False], context.was_news


@given("a request with two crashes, which ended well 20 s before them at one of two instances")
def well_before(context: Any) -> None:
    """Let both know of the crashes."""
    context.books = [PoisonTracker(), PoisonTracker()]
    context.books[0].record_success(ONE, 0.0)
    for book in context.books:
        for upstream_id in ("a", "b", "c"):
            book.record_crash(ONE, Crash(upstream_id, 20.0, under_way=False))


@when("they tell each other what they know {times:d} times, each word 50 ms on its way")
def tell_with_delay(context: Any, times: int) -> None:
    """Exchange, in half a minute."""
    for number in range(times):
        for teller, hearer in (context.books, reversed(context.books)):
            reports = teller.reports(20.0 + number * 0.1)
            hearer.merge(reports, 20.0 + number * 0.1 + 0.05)


@then("both still refuse the request")
def both_refuse(context: Any) -> None:
    """Ask both."""
    assert all(book.verdict(ONE, 61.0).wait_s for book in context.books)
