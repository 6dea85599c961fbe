"""Fault injection at the steps of a simulation, for every combination of step and fault."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault to inject, with its step and the occurrence of the step, counted from 1."""

    step: str
    fault: str
    occurrence: int = 1


@dataclass(slots=True)
class Script:
    """The faults to inject in one run, and the steps seen so far."""

    planned_faults: tuple[PlannedFault, ...]
    seen: dict[str, int] = field(default_factory=dict)
    injected: int = 0

    def at(self, step: str) -> list[str]:
        """Count an occurrence of a step and return the faults to inject there."""
        self.seen[step] = self.seen.get(step, 0) + 1
        due = [
            planned.fault
            for planned in self.planned_faults
            if planned.step == step and planned.occurrence == self.seen[step]
        ]
        self.injected += len(due)
        return due


def plans_for(
    steps: Sequence[str], faults: Sequence[str], fault: str, *, pairs: bool
) -> Iterator[tuple[PlannedFault, ...]]:
    """Yield the plans of one fault at every step: alone, twice, and with every other fault."""
    for step in steps:
        yield (PlannedFault(step, fault),)
        yield (PlannedFault(step, fault), PlannedFault(step, fault, 2))
        if not pairs:
            continue
        for other_step, other in itertools.product(steps, faults):
            yield (PlannedFault(step, fault), PlannedFault(other_step, other))


def run_plans(
    plans: Iterator[tuple[PlannedFault, ...]],
    run: Callable[[Script], None],
) -> tuple[int, int]:
    """Run every plan; return the numbers of runs and of injected faults."""
    runs = injected = 0
    for plan in plans:
        script = Script(plan)
        try:
            run(script)
        except AssertionError as broken:
            raise AssertionError(f"{broken} under {plan}") from broken
        runs += 1
        injected += script.injected
    return runs, injected
