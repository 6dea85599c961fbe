"""Choose the runner with the lowest weighted cost among those with room."""

from __future__ import annotations

from typing import Final, NamedTuple

from driftstall.core import Weights

PREFILL_TOKENS_PER_S: Final = 11_000.0
"""512 tokens take about 45 ms on the engine stand-in."""
FILL_WEIGHT: Final = 0.3
"""Cost in seconds of a full engine, compared with an empty one."""
LONG_PREFILL_TOKEN_DELAY_S: Final = 0.006
"""Seconds that a token takes longer while long prefills run: one step in five has a chunk."""
REMOTE_ZONE_S: Final = 0.003
"""Round trip to another availability zone, in seconds."""


class RunnerView(NamedTuple):
    """Describe a runner that has room, from the perspective of one request."""

    runner_id: str
    uncached: int
    """Prompt tokens that this runner would have to prefill."""
    pending_prefill: float
    """Prefill tokens already granted and not done."""
    first_rank_streams: int
    """Open generations of the first rank, which a long prefill stalls."""
    fill: float
    """Forecast share of memory in use, from 0 to 1."""
    remote: bool
    """Whether it is in another availability zone."""
    long_prefills: bool
    """Whether it accepts long prefills, which pause its other streams."""


class Choice(NamedTuple):
    """Describe the chosen runner and its costs in weighted seconds."""

    runner_id: str
    cost: float
    stall_s: float
    gap_s: float


def choose(
    views: list[RunnerView], weights: Weights, *, first_rank: bool, output: float
) -> Choice | None:
    """Return the runner with the lowest cost under the policy's weights.

    output: the expected length of the response in tokens.
    """
    best: Choice | None = None
    for view in views:
        choice = _cost(view, weights, first_rank=first_rank, output=output)
        if best is None or choice.cost < best.cost:
            best = choice
    return best


def _cost(view: RunnerView, weights: Weights, *, first_rank: bool, output: float) -> Choice:
    """Weigh the wait for prefill against the pauses that it causes for other streams."""
    stall_s = (view.pending_prefill + view.uncached) / PREFILL_TOKENS_PER_S
    gap_s = view.uncached * view.first_rank_streams / PREFILL_TOKENS_PER_S
    if first_rank:
        gap_s += view.pending_prefill / PREFILL_TOKENS_PER_S
        gap_s += LONG_PREFILL_TOKEN_DELAY_S * output * view.long_prefills
    if view.remote:
        stall_s += REMOTE_ZONE_S
    cost = weights.stall * stall_s + weights.token_gap * gap_s + FILL_WEIGHT * view.fill
    return Choice(view.runner_id, cost, stall_s, gap_s)
