"""Check configurations and operators that race, on real processes."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import gevent
from behave import then, when

from features.worlds.process_world import (
    live,
)
from measures.bench import wait_until


@when('policy "{text}" is submitted and the platform fails right after')
def submit_and_fail(context: Any, text: str) -> None:
    """Submit a change, then take the platform away."""
    bench = context.bench
    policy = Path("examples/both.policy").read_text().replace('"both"', f'"{text}"')
    at = bench.instances.index(live(bench)[0])
    answer = bench.operator(at, "PUT", "/operator/config", {"policy": policy})
    bench.platform.control({"down_s": 30.0})
    assert answer.status == 200, answer
    context.generation = answer.value["generation"]


@when("an instance joins during the outage")
def join(context: Any) -> None:
    """Start an instance that can only ask its peers; they know it by a seed message."""
    context.bench.platform.control({"down_s": 0.0})
    row = context.bench.start_instance()
    context.bench.wait_listening(row)
    context.bench.platform.control({"down_s": 30.0})


@then('policy "{text}" is in force everywhere within 5 s')
def in_force(context: Any, text: str) -> None:
    """Wait until every instance shows it."""
    bench = context.bench

    def everywhere() -> bool:
        names = {bench.status(bench.instances.index(one))["policy"] for one in live(bench)}
        return names == {text}

    took = wait_until("in force", everywhere)
    assert took <= 5.0, f"it took {took:.1f} s"


@when("two operators submit at once on the same base")
def race(context: Any) -> None:
    """Let two operators race."""
    bench = context.bench
    ats = [bench.instances.index(one) for one in live(bench)[:2]]
    base = bench.status(ats[0])["generation"]
    policy = Path("examples/both.policy").read_text()
    changes = [
        {"policy": policy.replace('"both"', f'"race-{at}"'), "base_generation": base} for at in ats
    ]
    jobs = [
        gevent.spawn(bench.operator, at, "PUT", "/operator/config", change)
        for at, change in zip(ats, changes, strict=True)
    ]
    context.race = [one.get() for one in jobs]


@then("one is accepted and the other gets a conflict that shows the current one")
def raced(context: Any) -> None:
    """Compare the two answers."""
    statuses = sorted(one.status for one in context.race)
    assert statuses == [200, 409], statuses
    loser = next(one for one in context.race if one.status == 409)
    winner = next(one for one in context.race if one.status == 200)
    assert loser.value["current"]["generation"] == winner.value["generation"]


@then("the submission is accepted all the same")
def settled(context: Any) -> None:
    """Submit while one answer is lost: reading back settles it."""
    bench = context.bench
    at = bench.instances.index(live(bench)[0])
    policy = Path("examples/both.policy").read_text().replace('"both"', '"settled"')
    change = {"policy": policy, "submission": "settled-1"}
    answer = bench.operator(at, "PUT", "/operator/config", change)
    assert answer.status == 200, answer


@then('asking for its id says "{known}", and for another "{other}"')
def ask_for_ids(context: Any, known: str, other: str) -> None:
    """Ask how submissions ended; one that is not stored may still arrive."""
    bench = context.bench
    at = bench.instances.index(live(bench)[0])
    for name, state in (("settled-1", known), ("never-sent", other)):
        answer = bench.operator(at, "GET", f"/operator/submissions/{name}")
        assert answer.value["state"] == state, (name, answer)
