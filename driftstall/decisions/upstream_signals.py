"""Define what an upstream signals about itself with a response.

A signal is about the upstream, not about the request that was answered. Each kind is a type of
its own; whoever handles signals dispatches on it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeavingSignal:
    """Signal that the upstream leaves: it serves on for a short while, then ends."""


@dataclass(frozen=True, slots=True)
class BackoffSignal:
    """Signal that the upstream wants no requests from this instance for a while."""

    for_s: float


@dataclass(frozen=True, slots=True)
class RateLimitSignal:
    """Signal how many requests a second the upstream takes from all instances together."""

    per_s: float | None
    """None where the response names no limit: one named earlier has ended."""


@dataclass(frozen=True, slots=True)
class UnreadableSignal:
    """Hold a signal whose value can't be decoded; nothing follows from it but a log line."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class UnknownSignal:
    """Hold a header that looks like a signal, of a name that is not known."""

    name: str


Signal = LeavingSignal | BackoffSignal | RateLimitSignal | UnreadableSignal | UnknownSignal


def parse_seconds(value: str) -> float | None:
    """Return a time in seconds; None unless it is a finite number that is not negative."""
    try:
        found = float(value)
    except ValueError:
        return None
    return found if math.isfinite(found) and found >= 0 else None
