"""Keep long prefills on as few runners as their load needs.

A long prefill lengthens every step of its engine, so each stream there pauses, and it evicts
cached prefixes. Long prompts of lower ranks therefore go to a set of runners; first-rank prompts
whose prefix was evicted go there too, so that the other runners' caches hold and their steps stay
short. The set grows when a long prompt has waited too long and shrinks when fewer runners would
hold the long prompts. The wait follows the policy's weights and the load: a policy that gives most
weight to the token gap waits longest, one that gives most weight to the stall has no set; at low
load, where a larger set costs little, it grows soon.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from driftstall.core import Weights

LONG_PREFILL_TOKENS: Final = 1_024
"""Uncached tokens from which a prompt is long: two chunks of prefill."""
GROW_WAIT_S: Final = 5.0
"""Wait before the set grows, where the weights are equal and engines are full."""
MAX_GROW_WAIT_S: Final = 12.0
GROW_SPACING_S: Final = 2.0
MAX_SET_SHARE: Final = 0.6
"""Maximum share of the runners in the set until a long prompt has waited EXTENSION_WAIT_SHARE of
its allowed wait."""
EXTENSION_WAIT_SHARE: Final = 0.5
"""Share of the allowed wait after which the set may exceed MAX_SET_SHARE."""
MIN_WEIGHT_RATIO: Final = 0.5
"""Ratio of the weight of the token gap to that of the stall below which there is no set."""
MAX_SHRUNK_FILL: Final = 0.75
"""The set shrinks when long prompts would fill at most this share of the smaller set's memory."""
SHRINK_AFTER_S: Final = 3.0


@dataclass(frozen=True, slots=True)
class RunnerLoad:
    """Describe the load of a runner."""

    runner_id: str
    memory: int
    """Memory of the engine, in tokens."""
    fill: float
    """Forecast share of memory in use, from 0 to 1."""
    long_prompt_tokens: float
    """Memory held by long prompts, in tokens."""
    first_rank: int
    """Open generations of the first rank."""


class LongPrefillSet:
    """Hold the set of runners that accept long prefills."""

    def __init__(self) -> None:
        """Initialize an empty set; the first long prompt makes it grow at once."""
        self._members: set[str] = set()
        self._grown_at = -1e9
        self._surplus_since: float | None = None

    @property
    def members(self) -> set[str]:
        """Return the runners that accept long prefills."""
        return self._members

    @staticmethod
    def is_enabled(weights: Weights) -> bool:
        """Return True if the policy weighs token gaps enough for a set."""
        return weights.token_gap >= MIN_WEIGHT_RATIO * weights.stall

    def update(
        self,
        loads: list[RunnerLoad],
        waited_s: float | None,
        allowed_s: float,
        weights: Weights,
        now: float,
    ) -> bool:
        """Grow or shrink the set; return True if it grew.

        waited_s: how long the oldest long prompt without room has waited, or None. allowed_s: how
        long the policy lets it wait.
        """
        self._members &= {load.runner_id for load in loads}
        if waited_s is not None:
            is_at_share = len(self._members) >= max(1, int(MAX_SET_SHARE * len(loads)))
            if is_at_share and waited_s < EXTENSION_WAIT_SHARE * allowed_s * _mean_fill(loads) ** 2:
                self._surplus_since = None
                return False
            return self._grow(loads, waited_s, weights, now)
        self._shrink(loads, now)
        return False

    def _grow(self, loads: list[RunnerLoad], waited_s: float, weights: Weights, now: float) -> bool:
        """Add the runner with the fewest first-rank streams, once the wait is over."""
        self._surplus_since = None
        outside = [load for load in loads if load.runner_id not in self._members]
        if not outside:
            return False
        is_early = waited_s < _grow_wait_s(loads, weights) or now - self._grown_at < GROW_SPACING_S
        if self._members and is_early:
            return False
        chosen = min(
            outside, key=lambda load: (load.first_rank, -load.long_prompt_tokens, load.runner_id)
        )
        self._members.add(chosen.runner_id)
        self._grown_at = now
        return True

    def _shrink(self, loads: list[RunnerLoad], now: float) -> None:
        """Remove the runner with the fewest long-prompt tokens after a lasting surplus.

        There is a surplus if the remaining runners can hold the long prompts.
        """
        inside = [load for load in loads if load.runner_id in self._members]
        if len(inside) < 2:
            return
        smallest = min(inside, key=lambda load: (load.long_prompt_tokens, load.runner_id))
        remaining_memory = sum(load.memory for load in inside) - smallest.memory
        if sum(load.long_prompt_tokens for load in inside) > MAX_SHRUNK_FILL * remaining_memory:
            self._surplus_since = None
            return
        if self._surplus_since is None:
            self._surplus_since = now
        elif now - self._surplus_since >= SHRINK_AFTER_S:
            self._members.discard(smallest.runner_id)
            self._surplus_since = now


def _grow_wait_s(loads: list[RunnerLoad], weights: Weights) -> float:
    """Return how long a long prompt waits before the set grows, in seconds."""
    ratio = weights.token_gap / max(weights.stall, 0.01)
    return min(MAX_GROW_WAIT_S, GROW_WAIT_S * ratio * _mean_fill(loads) ** 2)


def _mean_fill(loads: list[RunnerLoad]) -> float:
    """Return the mean forecast share of memory in use, from 0 to 1."""
    return min(1.0, sum(load.fill for load in loads) / len(loads))
