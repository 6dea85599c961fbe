"""Test on real processes that leaving runners get no new work until they return."""

from __future__ import annotations

from typing import Any

from behave import then, when

from features.worlds.process_world import (
    GenerationReader,
    count_received,
    running_instances,
)
from measures.bench import wait_until


@when('runner "{name}" says that it is leaving')
def runner_leaves(context: Any, name: str) -> None:
    """Let a runner report itself as leaving."""
    engine = next(each for each in context.bench.engines if each.name == name)
    engine.control({"leaving": True})


@when('the platform lists runner "{name}" as {state}')
def list_runner(context: Any, name: str, state: str) -> None:
    """Change the runner's state in the platform's list."""
    context.bench.list_member(name, {"role": "runner", "address": "", "state": state})


@then('within 3 s all instances give "{name}" no new work')
def no_new_work(context: Any, name: str) -> None:
    """Check the state at all instances, and that the engine receives nothing under load."""
    bench = context.bench

    def known() -> bool:
        states = []
        for instance in running_instances(bench):
            rows = bench.status(bench.instances.index(instance))["runners"]
            states.append(next(row["state"] for row in rows if row["runner"] == name))
        return set(states) == {"leaving"}

    took_s = wait_until("all know", known)
    assert took_s <= 3.0, f"it took {took_s:.1f} s"
    before = count_received(bench, name)
    answers = [GenerationReader(bench, 5) for _ in range(20)]
    for answer in answers:
        answer.check()
    assert count_received(bench, name) == before


@then('runner "{name}" gets work again once it is back')
def works_after_return(context: Any, name: str) -> None:
    """Let the runner return, and wait until it receives work."""
    bench = context.bench
    bench.list_member(name, {"role": "runner", "address": "", "state": "live"})
    next(each for each in bench.engines if each.name == name).control({"leaving": False})
    before = count_received(bench, name)

    def works() -> bool:
        for answer in [GenerationReader(bench, 5) for _ in range(6)]:
            answer.check()
        return count_received(bench, name) > before

    wait_until("work again", works)
