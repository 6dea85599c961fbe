"""Test configuration changes during outages and by concurrent operators, on real processes."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import gevent
from behave import then, when

from features.worlds.process_world import (
    running_instances,
)
from measures.bench import wait_until


@when('policy "{text}" is submitted and the platform fails right after')
def submit_and_fail(context: Any, text: str) -> None:
    """Submit a change, then stop the platform's service."""
    bench = context.bench
    policy = Path("examples/both.policy").read_text().replace('"both"', f'"{text}"')
    at = bench.instances.index(running_instances(bench)[0])
    answer = bench.operator(at, "PUT", "/operator/config", {"policy": policy})
    bench.platform.control({"down_s": 30.0})
    assert answer.status == 200, answer
    context.generation = answer.value["generation"]


@when("an instance joins during the outage")
def join(context: Any) -> None:
    """Start an instance that can read the configuration from its peers only."""
    context.bench.platform.control({"down_s": 0.0})
    row = context.bench.start_instance()
    context.bench.wait_listening(row)
    context.bench.platform.control({"down_s": 30.0})


@then('policy "{text}" is in force everywhere within 5 s')
def in_force(context: Any, text: str) -> None:
    """Wait until the status of every instance names the policy."""
    bench = context.bench

    def everywhere() -> bool:
        names = {
            bench.status(bench.instances.index(instance))["policy"]
            for instance in running_instances(bench)
        }
        return names == {text}

    took_s = wait_until("in force", everywhere)
    assert took_s <= 5.0, f"it took {took_s:.1f} s"


@when("two operators submit at once on the same base")
def race(context: Any) -> None:
    """Submit two changes concurrently on the same generation."""
    bench = context.bench
    indexes = [bench.instances.index(instance) for instance in running_instances(bench)[:2]]
    base = bench.status(indexes[0])["generation"]
    policy = Path("examples/both.policy").read_text()
    changes = [
        {"policy": policy.replace('"both"', f'"race-{index}"'), "base_generation": base}
        for index in indexes
    ]
    jobs = [
        gevent.spawn(bench.operator, index, "PUT", "/operator/config", change)
        for index, change in zip(indexes, changes, strict=True)
    ]
    context.race = [job.get() for job in jobs]


@then("one is accepted and the other gets a conflict that shows the current one")
def raced(context: Any) -> None:
    """Check that the conflict contains the accepted generation."""
    statuses = sorted(answer.status for answer in context.race)
    assert statuses == [200, 409], statuses
    rejected = next(answer for answer in context.race if answer.status == 409)
    accepted = next(answer for answer in context.race if answer.status == 200)
    assert rejected.value["current"]["generation"] == accepted.value["generation"]


@then("the submission is accepted all the same")
def settled(context: Any) -> None:
    """Submit while one of the platform's answers is lost, so that the outcome is read back."""
    bench = context.bench
    at = bench.instances.index(running_instances(bench)[0])
    policy = Path("examples/both.policy").read_text().replace('"both"', '"settled"')
    change = {"policy": policy, "submission": "settled-1"}
    answer = bench.operator(at, "PUT", "/operator/config", change)
    assert answer.status == 200, answer


@then('asking for its id says "{known}", and for another "{other}"')
def ask_for_ids(context: Any, known: str, other: str) -> None:
    """Check the reported states of a stored submission and of an unknown one."""
    bench = context.bench
    at = bench.instances.index(running_instances(bench)[0])
    for name, state in (("settled-1", known), ("never-sent", other)):
        answer = bench.operator(at, "GET", f"/operator/submissions/{name}")
        assert answer.value["state"] == state, (name, answer)
