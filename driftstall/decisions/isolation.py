"""Keep long prefills on as few runners as their load needs.

A long prefill lengthens every step of its engine, so each stream there pauses, and
it evicts cached histories. Long prompts of lower ranks therefore go to a set of
runners; first-rank prompts whose history was evicted go there too, so that the
other runners' caches hold and their steps stay short. The set grows when a long
prompt has waited too long and shrinks when fewer runners would hold them. How long
follows the policy's weights and the load: a policy that weighs the token gap most
waits longest, one that weighs the stall most has no set; at low load, where a
grown set costs little, it grows soon.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from driftstall.core import Weights

LONG_PREFILL_TOKENS: Final = 1_024
"""Uncached tokens from which a prompt is long: two chunks of prefill."""
PATIENCE_S: Final = 5.0
"""Wait before the set grows, where the measures weigh the same and engines are full."""
MAX_PATIENCE_S: Final = 12.0
GROW_SPACING_S: Final = 2.0
SET_SHARE: Final = 0.6
"""Share of the runners that the set takes before a long prompt has waited very long."""
HOLD_SHARE: Final = 0.5
"""Share of the allowed wait after which the set takes more than its share."""
NO_SET_RATIO: Final = 0.5
"""Weight of the token gap against the stall under which there is no set."""
SHRINK_FILL: Final = 0.75
"""The set shrinks when the smaller one would be filled no more than this."""
SHRINK_AFTER_S: Final = 3.0


@dataclass(frozen=True, slots=True)
class RunnerLoad:
    """Describe a runner for this decision."""

    runner_id: str
    memory: int
    fill: float
    """Forecast share of memory in use, from 0 to 1."""
    long_prompt_tokens: float
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

    @staticmethod
    def is_enabled(weights: Weights) -> bool:
        """Tell whether the policy minds token gaps enough for a set."""
        return weights.token_gap >= NO_SET_RATIO * weights.stall

    def update(
        self,
        loads: list[RunnerLoad],
        waited_s: float | None,
        allowed_s: float,
        weights: Weights,
        now: float,
    ) -> bool:
        """Grow or shrink; return whether the set grew.

        waited_s: how long the oldest long prompt without room has waited, or none.
        allowed_s: how long the policy lets it wait.
        """
        self._members &= {one.runner_id for one in loads}
        if waited_s is not None:
            held = len(self._members) >= max(1, int(SET_SHARE * len(loads)))
            if held and waited_s < HOLD_SHARE * allowed_s * _fill(loads) ** 2:
                self._roomy_since = None
                return False
            return self._grow(loads, waited_s, weights, now)
        self._shrink(loads, now)
        return False

    def _grow(self, loads: list[RunnerLoad], waited_s: float, weights: Weights, now: float) -> bool:
        """Add the runner with the fewest first-rank streams, once patience is over."""
        self._roomy_since = None
        outside = [one for one in loads if one.runner_id not in self._members]
        if not outside:
            return False
        early = waited_s < _patience(loads, weights) or now - self._grown_at < GROW_SPACING_S
        if self._members and early:
            return False
        chosen = min(
            outside, key=lambda one: (one.first_rank, -one.long_prompt_tokens, one.runner_id)
        )
        self._members.add(chosen.runner_id)
        self._grown_at = now
        return True

    def _shrink(self, loads: list[RunnerLoad], now: float) -> None:
        """Drop the runner with the least long work, once one fewer has sufficed a while."""
        inside = [one for one in loads if one.runner_id in self._members]
        if len(inside) < 2:
            return
        least = min(inside, key=lambda one: (one.long_prompt_tokens, one.runner_id))
        room = sum(one.memory for one in inside) - least.memory
        if sum(one.long_prompt_tokens for one in inside) > SHRINK_FILL * room:
            self._roomy_since = None
            return
        if self._roomy_since is None:
            self._roomy_since = now
        elif now - self._roomy_since >= SHRINK_AFTER_S:
            self._members.discard(least.runner_id)
            self._roomy_since = now


def _patience(loads: list[RunnerLoad], weights: Weights) -> float:
    """Return how long a long prompt waits before the set grows, in seconds."""
    ratio = weights.token_gap / max(weights.stall, 0.01)
    return min(MAX_PATIENCE_S, PATIENCE_S * ratio * _fill(loads) ** 2)


def _fill(loads: list[RunnerLoad]) -> float:
    """Return the mean forecast share of memory in use, from 0 to 1."""
    return min(1.0, sum(one.fill for one in loads) / len(loads))
