"""Define a checked policy and the facts that it is evaluated on."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from driftstall.core import Verdict, Weights

DEFAULT_OVERFLOW: Final = 0.01
DEFAULT_VERDICT: Final = Verdict(
    rule="default",
    line=0,
    rank=5,
    wait_s=30.0,
    may_yield=True,
    may_refuse=True,
    share=1.0,
    limit_tokens_per_s=0.0,
)
"""Verdict of a rule without clauses."""


@dataclass(frozen=True, slots=True)
class Facts:
    """Hold the facts that a condition may use."""

    kind: str
    workspace: str
    model: str
    input_tokens: int
    max_tokens: int
    load: float
    """Share of engine memory in use, from 0 to 1."""
    hour: int
    """Hour of the day, from 0 to 23."""
    route_rank: int = 5
    """Rank configured for the route or the workspace; zero comes first."""


Condition = Callable[[Facts], bool]


@dataclass(frozen=True, slots=True)
class Rule:
    """Pair a condition with the verdict that it results in."""

    name: str
    line: int
    condition: Condition | None
    text: str
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class Policy:
    """Hold a checked policy; the first matching rule decides."""

    name: str
    weights: Weights
    overflow: float
    """Probability of a full engine that admission may accept."""
    rules: tuple[Rule, ...]
    steps: int
    """Maximum number of steps of one evaluation."""
