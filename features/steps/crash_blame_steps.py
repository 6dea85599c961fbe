"""Test poison detection: first the rules alone, then modelled fleets."""

from __future__ import annotations

import itertools
import re
from collections.abc import Callable
from typing import Any, Final

from behave import given, then, when

from driftstall.decisions.poison_detection import PoisonTracker
from driftstall.decisions.poison_evidence import CRASH_RETENTION_S, Crash, CrashReport, PoisonReport
from driftstall.decisions.poison_subjects import PoisonSubjects, part_subject
from driftstall.decisions.poison_trials import trial_delay_s
from driftstall.decisions.poison_verdict import Verdict
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
    "a fatal part": Load(first_parts=6),
    "a fatal part beside a rare one": Load(first_parts=6, rare_share=0.01),
    "a fatal part, one first part": Load(first_parts=1),
    "a fatal part, many first parts": Load(first_parts=200),
    "a fatal part, unframed responses": Load(first_parts=6, are_unframed=True),
    "a fatal part, an instance killed each 4 s": Load(first_parts=6, kill_every_s=4),
    "a fatal part, an instance cut off each 5 s": Load(first_parts=6, cut_every_s=5),
    "two fatal parts": Load(first_parts=6, fatal=2),
    "a fatal part in a fleet of 60": Load(first_parts=20, instances=60, engines=30, per_s=60),
}


def _record_crash(tracker: PoisonTracker, at: float, how: str, upstream_id: str) -> None:
    """Record a crash."""
    tracker.record_crash(ONE, Crash(upstream_id, at, how == "under way"))


def _merge_crashes(
    tracker: PoisonTracker, at: float, count: str, upstream_id: str, ago: str
) -> None:
    """Merge a peer's report of crashes; the second one is three seconds older."""
    crashes = tuple(
        CrashReport(upstream_id, int(ago) * 1000 + 3000 * index, under_way=False)
        for index in range(int(count))
    )
    tracker.merge([PoisonReport(ONE, crashes, None)], at)


def _merge_success(tracker: PoisonTracker, at: float, ago: str) -> None:
    """Merge a peer's report of a success."""
    tracker.merge([PoisonReport(ONE, (), int(ago) * 1000)], at)


def _record_another(tracker: PoisonTracker, at: float, upstreams: str) -> None:
    """Record crashes during which another request was running."""
    for index, upstream_id in enumerate(re.findall(r"\b[abc]\b(?!nd)", upstreams)):
        tracker.record_crash(ANOTHER, Crash(upstream_id, float(index), under_way=False))


FACTS: Final[tuple[tuple[str, Callable[..., Any]], ...]] = (
    (r"(begun|under way) at (\w)", _record_crash),
    (r"well", lambda tracker, at: tracker.record_success(ONE, at)),
    (r"a peer tells of (\d+) at (\w) (\d+) s ago", _merge_crashes),
    (r"a peer tells of well (\d+) s ago", _merge_success),
    (r"another was at (.+)", _record_another),
)


@given("a request of which this is known: {known}")
def known_facts(context: Any, known: str) -> None:
    """Give the facts to a tracker, in order."""
    context.tracker = PoisonTracker()
    for fact in () if known == "nothing" else known.split(", "):
        at, _, what = fact.partition(" ")
        for pattern, apply_fact in FACTS:
            match = re.fullmatch(pattern, what)
            if match:
                apply_fact(context.tracker, float(at), *match.groups())
                break
        else:
            raise AssertionError(fact)


@then("after {seconds:d} s it {may}")
def verdict_is(context: Any, seconds: int, may: str) -> None:
    """Compare the verdict."""
    found = context.tracker.verdict(ONE, float(seconds)).wait_s
    wanted = 0.0 if may == "may be sent" else float(may.split()[2])
    assert found == wanted, found


@given("a request with two crashes, and {count:d} others that callers have made up, with one each")
def many_records(context: Any, count: int) -> None:
    """Fill a tracker."""
    tracker = context.tracker = PoisonTracker()
    for at, upstream_id in enumerate("ab"):
        tracker.record_crash(ONE, Crash(upstream_id, float(at), under_way=False))
    for number in range(count):
        tracker.record_crash(f"made-up-{number}", Crash(f"u{number % 50}", 2.0, under_way=False))


@then("at most {most:d} requests are remembered, and the one with two crashes is still refused")
def bounded(context: Any, most: int) -> None:
    """Check the number of tracked requests and the refusal."""
    assert len(context.tracker) <= most, len(context.tracker)
    assert list(context.tracker.quarantined(3.0)) == [ONE]


@then("at most {most:d} are told, it among them")
def report_bounded(context: Any, most: int) -> None:
    """Check the reports for peers."""
    reports = context.tracker.reports(3.0)
    assert len(reports) <= most and reports[0].fingerprint == ONE, reports[:2]


@given('requests with prompts "{crashed}" have crashed an upstream each')
def prompts_crashed(context: Any, crashed: str) -> None:
    """Record a crash a second for each prompt; "and again" repeats the request as it is."""
    context.tracker = PoisonTracker()
    upstreams = itertools.count(1)
    for number, text in enumerate(crashed.split(", ")):
        prompt, _, again = text.partition(" and ")
        for _ in range(2 if again else 1):
            place = next(upstreams)
            crash = Crash(f"u{place}", float(place), under_way=False)
            context.tracker.record_run_crash(prompt_subjects(f"r{number}", prompt), crash)


def prompt_subjects(request: str, prompt: str) -> PoisonSubjects:
    """Return the subjects of a request with a prompt and a last part of its own."""
    return PoisonSubjects.from_prompt(request, [*prompt.split(), "0"])


@then('a request with prompt "{prompt}" may be sent')
def prompt_may_be_sent(context: Any, prompt: str) -> None:
    """Check the verdict on a new request."""
    verdict = context.tracker.request_verdict(prompt_subjects("new", prompt), 10.0)
    assert not verdict.wait_s, verdict


@then('a request with prompt "{prompt}" is refused')
def prompt_is_refused(context: Any, prompt: str) -> None:
    """Check the verdict on a new request."""
    verdict = context.tracker.request_verdict(prompt_subjects("new", prompt), 10.0)
    assert verdict.wait_s, verdict


@given("a request with two crashes, and {count:d} parts that callers have made up, with one each")
def many_parts(context: Any, count: int) -> None:
    """Fill a tracker with parts."""
    tracker = context.tracker = PoisonTracker()
    for at, upstream_id in enumerate("ab"):
        tracker.record_crash(ONE, Crash(upstream_id, float(at), under_way=False))
    for number in range(count):
        tracker.record_success(part_subject(f"5{number}"), 2.0)
        subjects = PoisonSubjects("", (part_subject(f"{number}"),))
        tracker.record_run_crash(subjects, Crash(f"u{number % 50}", 2.0, under_way=False))
    assert len(tracker._success_at[True]) < count


@then("at most {most:d} subjects are remembered, and the one with two crashes is still refused")
def subjects_bounded(context: Any, most: int) -> None:
    """Check the number of tracked subjects and the refusal."""
    bounded(context, most)


@given("{count:d} instances that know of two crashes under a part")
def trial_order(context: Any, count: int) -> None:
    """Record two crashes at each of some instances."""
    ids = [f"instance-{number}" for number in range(count)]
    part = part_subject("dead")
    context.waits = []
    for own in ids:
        tracker = PoisonTracker(lambda subject, own=own: trial_delay_s(subject, own, ids))  # type: ignore[misc]
        for upstream_id in "ab":
            tracker.record_crash(part, Crash(upstream_id, 0.0, under_way=False))
        context.waits.append(tracker.verdict(part, 0.0).wait_s)


@then(
    "the first tries it again after {first:g} s, and each other one {gap:g} s after the one before"
    " it"
)
def tried_in_order(context: Any, first: float, gap: float) -> None:
    """Compare the times at which the instances send the part again."""
    expected = [first + gap * place for place in range(len(context.waits))]
    assert sorted(context.waits) == expected, context.waits


@then("two hours later nothing is remembered")
def forgotten(context: Any) -> None:
    """Let all crashes expire."""
    context.tracker.forget_expired(CRASH_RETENTION_S + 3.0)
    assert len(context.tracker) == 0
    assert context.tracker.verdict(ONE, CRASH_RETENTION_S + 3.0) == Verdict()


@given("a modelled fleet: {load}")
def modelled(context: Any, load: str) -> None:
    """Set the load of the model."""
    context.load = LOADS[load]


def play_seeds(
    context: Any, seeds: int, tracker: Callable[[], PoisonTracker] = PoisonTracker
) -> list[Outcome]:
    """Run the model from some seeds."""
    return [PoisonWorld(context.load, seed, tracker).play() for seed in range(1, seeds + 1)]


@then("from seeds 1 to {seeds:d} no fatal request crashes more than {most:d} engines in a minute")
def few_crashes(context: Any, seeds: int, most: int) -> None:
    """Run the model and count crashes."""
    context.outcomes = play_seeds(context, seeds)
    found = [outcome.max_crashes for outcome in context.outcomes]
    assert max(found) <= most, found


@then("none is sent more than {most:d} times later than 3 s after its fifth crash")
def few_late_sends_of_part(context: Any, most: int) -> None:
    """Count late sends after the fifth crash."""
    found = [outcome.late_sends(LATE_S, 5) for outcome in context.outcomes]
    assert max(found) <= most, found


@then("none is sent more than {most:d} times later than 3 s after its third crash")
def few_late_sends(context: Any, most: int) -> None:
    """Count late sends."""
    found = [outcome.late_sends(LATE_S) for outcome in context.outcomes]
    assert max(found) <= most, found


def share_refused(outcomes: list[Outcome]) -> float:
    """Return how many of 10000 ordinary requests were refused."""
    return (
        10_000
        * sum(outcome.refused for outcome in outcomes)
        / sum(outcome.ordinary for outcome in outcomes)
    )


@then("at most {most:d} in 10000 ordinary requests are refused")
def few_refused(context: Any, most: int) -> None:
    """Compare the share of refused requests."""
    found = share_refused(context.outcomes)
    assert found <= most, found


class IsolatedTracker(PoisonTracker):
    """Ignore the reports of peers."""

    def merge(self, reports: Any, now: float) -> bool:
        """Ignore the reports."""
        return False


class SuccessBlindTracker(PoisonTracker):
    """Ignore successes."""

    def record_success(self, fingerprint: str, now: float) -> bool:
        """Ignore the success."""
        return False


@then(
    "with instances that tell each other nothing some seed from 1 to {seeds:d} crashes more than"
    " {most:d} engines"
)
def silent_fails(context: Any, seeds: int, most: int) -> None:
    """Run the model with trackers that ignore their peers."""
    found = [outcome.max_crashes for outcome in play_seeds(context, seeds, IsolatedTracker)]
    assert max(found) > most, found


@then("with good ends that do not count more than {most:d} in 10000 ordinary requests are refused")
def uncleared_fails(context: Any, most: int) -> None:
    """Run the model with trackers that ignore successes."""
    found = share_refused(play_seeds(context, 4, SuccessBlindTracker))
    assert found > most, found


@given("two books with 9 crashes under a request, the first two of them noticed in different order")
def two_trackers(context: Any) -> None:
    """Record the first two crashes in different order at two instances."""
    context.trackers = [PoisonTracker(), PoisonTracker()]
    later = [(f"u{number}", float(number)) for number in range(3, 10)]
    for tracker, first in zip(context.trackers, (("u1", "u2"), ("u2", "u1")), strict=True):
        for upstream_id, at in [(first[0], 1.0), (first[1], 1.2), *later]:
            tracker.record_crash(ONE, Crash(upstream_id, at, under_way=False))


@when("they tell each other what they know {times:d} times")
def exchange_with_each_other(context: Any, times: int) -> None:
    """Exchange reports, and record whether the last exchange changed anything."""
    first, second = context.trackers
    for number in range(times):
        now = 20.0 + number
        context.has_changed = [
            second.merge(first.reports(now), now),
            first.merge(second.reports(now), now),
        ]


@then("nothing of the third time was news to either")
def came_to_rest(context: Any) -> None:
    """Check that the last exchange changed nothing."""
    assert context.has_changed == [False, False], context.has_changed


@given("a request with two crashes, which ended well 20 s before them at one of two instances")
def well_before(context: Any) -> None:
    """Record the crashes at both instances and the success at one."""
    context.trackers = [PoisonTracker(), PoisonTracker()]
    context.trackers[0].record_success(ONE, 0.0)
    for tracker in context.trackers:
        for upstream_id in ("a", "b", "c"):
            tracker.record_crash(ONE, Crash(upstream_id, 20.0, under_way=False))


@when("they tell each other what they know {times:d} times, each word 50 ms on its way")
def exchange_with_delay(context: Any, times: int) -> None:
    """Exchange delayed reports for some time."""
    for number in range(times):
        for sender, recipient in (context.trackers, reversed(context.trackers)):
            reports = sender.reports(20.0 + number * 0.1)
            recipient.merge(reports, 20.0 + number * 0.1 + 0.05)


@then("both still refuse the request")
def both_refuse(context: Any) -> None:
    """Check both trackers."""
    assert all(tracker.verdict(ONE, 61.0).wait_s for tracker in context.trackers)
