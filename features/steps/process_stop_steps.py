"""Check runners that leave and come back, on real processes."""

from __future__ import annotations

from typing import Any

from behave import then, when

from features.worlds.process_world import (
    Answer,
    live,
    received,
)
from measures.bench import wait_until


@when('runner "{name}" says that it is leaving')
def runner_leaves(context: Any, name: str) -> None:
    """Let a runner leave, by its own word."""
    engine = next(one for one in context.bench.engines if one.name == name)
    engine.control({"leaving": True})


@when('the platform lists runner "{name}" as {state}')
def list_runner(context: Any, name: str, state: str) -> None:
    """Change the platform's list."""
    context.bench.list_member(name, {"role": "runner", "address": "", "state": state})


@then('within 3 s all instances give "{name}" no new work')
def no_new_work(context: Any, name: str) -> None:
    """Check the instances' view, then that the engine's count stands still under load."""
    bench = context.bench

    def known() -> bool:
        states = []
        for one in live(bench):
            rows = bench.status(bench.instances.index(one))["runners"]
            states.append(next(row["state"] for row in rows if row["runner"] == name))
        return set(states) == {"leaving"}

    took = wait_until("all know", known)
    assert took <= 3.0, f"it took {took:.1f} s"
    before = received(bench, name)
    answers = [Answer(bench, 5) for _ in range(20)]
    for one in answers:
        one.check()
    assert received(bench, name) == before


@then('runner "{name}" gets work again once it is back')
def back(context: Any, name: str) -> None:
    """Let a runner come back and wait until it is given work."""
    bench = context.bench
    bench.list_member(name, {"role": "runner", "address": "", "state": "live"})
    next(one for one in bench.engines if one.name == name).control({"leaving": False})
    before = received(bench, name)

    def works() -> bool:
        for one in [Answer(bench, 5) for _ in range(6)]:
            one.check()
        return received(bench, name) > before

    wait_until("work again", works)
