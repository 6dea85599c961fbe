"""Choose the running generation that yields its memory."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

MIN_RUN_S: Final = 5.0
"""Seconds for which a resumed generation runs before it may yield again."""
MAX_YIELDS: Final = 2
"""Maximum number of times that a generation yields."""
NEARLY_DONE_TOKENS: Final = 64
"""A generation with at most this many expected tokens remaining does not yield."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """Describe a running generation that could yield."""

    grant_id: str
    rank: int
    may_yield: bool
    held_tokens: int
    """Memory that yielding frees, in tokens."""
    lost_tokens: int
    """Tokens that must be prefilled once more."""
    remaining_tokens: float
    """Expected tokens still to come."""
    yields: int
    running_s: float


def choose_victim(candidates: Iterable[Candidate], worse_than: int) -> Candidate | None:
    """Return the running generation that should yield, or None if none may.

    Only generations of a less urgent rank (a higher number) than `worse_than` are considered. The
    least urgent rank goes first, then the fewest yields so far, then the fewest lost tokens per
    token freed.
    """
    allowed = [
        candidate
        for candidate in candidates
        if candidate.rank > worse_than and _can_yield(candidate)
    ]
    if not allowed:
        return None
    return min(allowed, key=_sort_key)


def _can_yield(candidate: Candidate) -> bool:
    """Return True if a generation may yield now."""
    return (
        candidate.may_yield
        and candidate.yields < MAX_YIELDS
        and candidate.running_s >= MIN_RUN_S
        and candidate.remaining_tokens > NEARLY_DONE_TOKENS
    )


def _sort_key(candidate: Candidate) -> tuple[int, int, float, float]:
    """Return the sort key: rank, yields so far, then tokens lost per token freed."""
    freed = max(1.0, candidate.held_tokens + candidate.remaining_tokens)
    return (
        -candidate.rank,
        candidate.yields,
        candidate.lost_tokens / freed,
        -candidate.remaining_tokens,
    )
