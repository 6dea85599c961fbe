"""Choose which running generation yields its memory."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

MIN_REST_S: Final = 5.0
"""Seconds a resumed generation runs before it may yield again."""
MAX_YIELDS: Final = 2
"""A generation yields at most so often."""
NEARLY_DONE_TOKENS: Final = 64
"""A generation that is expected to end this soon is left alone."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """Describe a running generation that could yield."""

    grant_id: str
    rank: int
    may_yield: bool
    held: int
    """Memory that yielding frees, in tokens."""
    lost: int
    """Tokens that must be prefilled again."""
    remaining: float
    """Expected tokens still to come."""
    yields: int
    running_s: float


def choose_victim(candidates: Iterable[Candidate], worse_than: int) -> Candidate | None:
    """Return the lowest rank's generation that loses least per token freed."""
    allowed = [one for one in candidates if one.rank > worse_than and _may(one)]
    if not allowed:
        return None
    return min(allowed, key=_order)


def _may(candidate: Candidate) -> bool:
    """Tell whether a generation may yield now."""
    return (
        candidate.may_yield
        and candidate.yields < MAX_YIELDS
        and candidate.running_s >= MIN_REST_S
        and candidate.remaining > NEARLY_DONE_TOKENS
    )


def _order(candidate: Candidate) -> tuple[int, int, float, float]:
    """Sort by rank, fairness among victims, then work lost for what it frees."""
    freed = max(1.0, candidate.held + candidate.remaining)
    return (-candidate.rank, candidate.yields, candidate.lost / freed, -candidate.remaining)
