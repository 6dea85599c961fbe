"""Run the fault matrix."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import seed, settings
from hypothesis import strategies as st

from features.worlds.faults import PlannedFault, Script, plans_for, run_plans
from features.worlds.paths import PATHS

SOME_PAIRS = 150
"""Number of random pairs of faults where all pairs would take too long."""


@given("the {name} path")
def select_path(context: Any, name: str) -> None:
    """Select a path of the fault matrix."""
    context.path = PATHS[name]
    context.path_name = name


@when('"{fault}" strikes at every step, alone, twice and beside other faults')
def strike_everywhere(context: Any, fault: str) -> None:
    """Run all plans of one fault; a violated invariant raises with its plan."""
    path = context.path
    assert fault in path.faults, f"{fault} is not in the list"
    runs, injected = run_plans(
        plans_for(path.steps, path.faults, fault, pairs=path.pairs), path.run
    )
    if not path.pairs:
        source = random.Random(fault)
        drawn = [
            (
                PlannedFault(source.choice(path.steps), fault, source.randint(1, 3)),
                PlannedFault(
                    source.choice(path.steps), source.choice(path.faults), source.randint(1, 3)
                ),
            )
            for _ in range(SOME_PAIRS)
        ]
        more_runs, more_struck = run_plans(iter(drawn), path.run)
        runs, injected = runs + more_runs, injected + more_struck
    context.runs, context.injected = runs, injected


@then("every promise of the path has held")
def held(context: Any) -> None:
    """Check that the fault was injected; the invariants were checked after each run."""
    assert context.runs >= len(context.path.steps), context.runs
    assert context.injected >= context.runs // 2, (
        f"{context.injected} strikes in {context.runs} runs"
    )


@then("its steps are all the events and actions of the code")
def steps_complete(context: Any) -> None:
    """Compare the list of steps with the code's own types."""
    assert set(context.path.steps) == context.path.type_names()


@then("its feature file lists all its faults")
def faults_complete(context: Any) -> None:
    """Compare the feature's rows with the list of faults."""
    text = Path(f"features/matrix/{context.path_name}.feature").read_text()
    rows = [line.strip("| \n") for line in text.splitlines() if line.strip().startswith("|")]
    assert rows == ["fault", *context.path.faults], rows


@then("random sequences of {count:d} faults break no promise, from seed {number:d}")
def random_faults(context: Any, count: int, number: int) -> None:
    """Run generated sequences of faults; a seed always generates the same."""
    path = context.path
    strike = st.builds(
        PlannedFault, st.sampled_from(path.steps), st.sampled_from(path.faults), st.integers(1, 4)
    )
    shown = int(context.config.userdata.get("examples", 150))
    number = int(context.config.userdata.get("seed", number))

    @seed(number)
    @settings(max_examples=shown, deadline=None, database=None)
    @for_all(st.lists(strike, max_size=count))
    def check(planned_faults: list[PlannedFault]) -> None:
        path.run(Script(tuple(planned_faults)))

    check()
