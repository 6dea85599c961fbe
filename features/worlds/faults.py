"""Strike faults at steps: the two lists of the matrix and the walk over them."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Strike:
    """Name one fault, the step it strikes at, and which time that step comes."""

    step: str
    fault: str
    occurrence: int = 1


@dataclass(slots=True)
class Script:
    """Say at each step which fault strikes now."""

    strikes: tuple[Strike, ...]
    seen: dict[str, int] = field(default_factory=dict)
    struck: int = 0

    def at(self, step: str) -> list[str]:
        """Count a step and return the faults that strike at it."""
        self.seen[step] = self.seen.get(step, 0) + 1
        now = [
            one.fault
            for one in self.strikes
            if one.step == step and one.occurrence == self.seen[step]
        ]
        self.struck += len(now)
        return now


def plans(
    steps: Sequence[str], faults: Sequence[str], fault: str, *, pairs: bool
) -> Iterator[tuple[Strike, ...]]:
    """Yield one fault at every step: alone, twice, and beside every other fault."""
    for step in steps:
        yield (Strike(step, fault),)
        yield (Strike(step, fault), Strike(step, fault, 2))
        if not pairs:
            continue
        for other_step, other in itertools.product(steps, faults):
            yield (Strike(step, fault), Strike(other_step, other))


def walk(
    plans_of: Iterator[tuple[Strike, ...]],
    run: Callable[[Script], None],
) -> tuple[int, int]:
    """Run every plan; return how many were run and how many faults struck."""
    runs = struck = 0
    for plan in plans_of:
        script = Script(plan)
        try:
            run(script)
        except AssertionError as broken:
            raise AssertionError(f"{broken} under {plan}") from broken
        runs += 1
        struck += script.struck
    return runs, struck
