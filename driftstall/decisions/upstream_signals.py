"""Define the signals that an upstream sends about itself with a response.

A signal concerns the upstream, not the request that was answered. Each kind is a type of its own,
and signal handlers dispatch on it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeavingSignal:
    """Signal that the upstream is leaving: it serves on for a short while, then ends."""


@dataclass(frozen=True, slots=True)
class BackoffSignal:
    """Signal that the upstream wants no requests from this instance for a while."""

    for_s: float


@dataclass(frozen=True, slots=True)
class BrittleSignal:
    """Signal that the upstream falls over if it has to reject more requests a second than this."""

    rejections_per_s: float


@dataclass(frozen=True, slots=True)
class RateLimitSignal:
    """Signal how many requests a second the upstream accepts from all instances together."""

    per_s: float | None
    """None where the response states no limit: an earlier one has ended."""


@dataclass(frozen=True, slots=True)
class LoadSignal:
    """Signal how much work the upstream has, and how long work takes there now."""

    running: int
    waiting: int
    slots: int
    pace: float = 1.0
    """Duration of work now as a multiple of the normal one; 1 where it is not sent."""
    reports_pace: bool = False
    """Whether the upstream has sent its pace, so that its load is shared and compared by it."""


@dataclass(frozen=True, slots=True)
class UnreadableSignal:
    """Hold a signal whose value can't be decoded; it is only logged."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class UnknownSignal:
    """Hold the name of a header that looks like a signal but is not known."""

    name: str


Signal = (
    LeavingSignal
    | BackoffSignal
    | BrittleSignal
    | RateLimitSignal
    | LoadSignal
    | UnreadableSignal
    | UnknownSignal
)


def parse_seconds(value: str) -> float | None:
    """Return a time in seconds; None unless it is finite and not negative."""
    return parse_number(value)


def parse_number(value: str) -> float | None:
    """Return a number; None unless it is finite and not negative."""
    try:
        number = float(value)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None
