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
class RateLimitSignal:
    """Signal how many requests a second the upstream accepts from all instances together."""

    per_s: float | None
    """None where the response states no limit: an earlier one has ended."""


@dataclass(frozen=True, slots=True)
class UnreadableSignal:
    """Hold a signal whose value can't be decoded; it is only logged."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class UnknownSignal:
    """Hold the name of a header that looks like a signal but is not known."""

    name: str


Signal = LeavingSignal | BackoffSignal | RateLimitSignal | UnreadableSignal | UnknownSignal


def parse_seconds(value: str) -> float | None:
    """Return a time in seconds; None unless it is finite and not negative."""
    try:
        seconds = float(value)
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds >= 0 else None
