"""Keep long prefills on as few runners as their load needs.

A long prefill lengthens every step of its engine, so each stream there pauses.
Long prompts of lower ranks therefore go to a set of runners that grows when one
of them has waited too long and shrinks when fewer runners would hold them. How
long one waits before the set grows follows the policy's weights: a policy that
weighs the token gap most waits longer, one that weighs the stall hardly at all.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from driftstall.core import Weights

LONG_PREFILL: Final = 1_024
"""Uncached tokens from which a prompt is long: two chunks of prefill."""
PATIENCE_S: Final = 3.0
"""Wait before the set grows, where token gap and stall weigh the same."""
MAX_PATIENCE_S: Final = 10.0
GROW_SPACING_S: Final = 3.0
SHRINK_FILL: Final = 0.7
"""The set shrinks when the smaller one would be filled no more than this."""
SHRINK_AFTER_S: Final = 5.0


@dataclass(frozen=True, slots=True)
class RunnerLoad:
    """Describe a runner for this decision."""

    runner_id: str
    memory: int
    long_held: float
    """Memory held by long prompts, in tokens."""
    first_rank: int
    """Open generations of the first rank."""


class LongPrefillSet:
    """Hold the runners that take long prefills."""

    def __init__(self) -> None:
        """Start empty; the first long prompt makes the set grow at once."""
        self._members: set[str] = set()
        self._grown_at = -1e9
        self._roomy_since: float | None = None

    @property
    def members(self) -> set[str]:
        """Return the runners that take long prefills."""
        return self._members

    def patience(self, weights: Weights) -> float:
        """Return how long a long prompt waits before the set grows, in seconds."""
        ratio = weights.token_gap / max(weights.stall, 0.01)
        return min(MAX_PATIENCE_S, PATIENCE_S * ratio)

    def update(
        self, loads: list[RunnerLoad], waited_s: float | None, weights: Weights, now: float
    ) -> bool:
        """Grow or shrink; return whether the set grew.

        waited_s: how long the oldest long prompt without room has waited, or none.
        """
        self._members &= {one.runner_id for one in loads}
        if waited_s is not None:
            return self._grow(loads, waited_s, weights, now)
        self._shrink(loads, now)
        return False

    def _grow(self, loads: list[RunnerLoad], waited_s: float, weights: Weights, now: float) -> bool:
        """Add the runner with the fewest first-rank streams, once patience is over."""
        self._roomy_since = None
        outside = [one for one in loads if one.runner_id not in self._members]
        if not outside:
            return False
        if self._members and (
            waited_s < self.patience(weights) or now - self._grown_at < GROW_SPACING_S
        ):
            return False
        chosen = min(outside, key=lambda one: (one.first_rank, -one.long_held, one.runner_id))
        self._members.add(chosen.runner_id)
        self._grown_at = now
        return True

    def _shrink(self, loads: list[RunnerLoad], now: float) -> None:
        """Drop the runner with the least long work, once one fewer has sufficed a while."""
        inside = [one for one in loads if one.runner_id in self._members]
        if len(inside) < 2:
            return
        least = min(inside, key=lambda one: (one.long_held, one.runner_id))
        room = sum(one.memory for one in inside) - least.memory
        if sum(one.long_held for one in inside) > SHRINK_FILL * room:
            self._roomy_since = None
            return
        if self._roomy_since is None:
            self._roomy_since = now
        elif now - self._roomy_since >= SHRINK_AFTER_S:
            self._members.discard(least.runner_id)
            self._roomy_since = now
