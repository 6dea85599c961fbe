"""Messages about the copies off a leaving engine, between instances and the placer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EvacuationRequested:
    """Ask the placer to order the copies of streams off a leaving engine."""

    sender: str
    upstream_id: str
    notice_age_s: float
    """Time since the notice; clocks differ between machines."""


@dataclass(frozen=True, slots=True)
class CopyOrdered:
    """Order an instance to copy one stream.

    Without a request id there is nothing to do: the placer orders the copies off this engine, and
    another instance's is under way, or none yet.
    """

    sender: str
    number: int
    """Number of the order at its placer; a repeated order has the same one."""
    request_id: str
    upstream_id: str
    target_id: str


@dataclass(frozen=True, slots=True)
class CopyEnded:
    """Report the end of an ordered copy."""

    sender: str
    number: int
    request_id: str
    moved: bool
    """Whether the stream continues on another engine."""
