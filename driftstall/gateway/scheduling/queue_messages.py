"""Messages between instances and the placer that holds the queue for engine memory.

Clocks differ between machines, so messages carry durations in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class QueueOutcome(StrEnum):
    """The placer's answer to a request for engine memory."""

    QUEUED = "queued"
    GRANTED = "granted"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class QueueAsked:
    """Ask for engine memory for a generation; repeated while it waits."""

    sender: str
    request_id: str
    service: str
    workspace: str
    rank: int
    """Rank in the queue, by the policy."""
    route_rank: int
    """Rank configured for the route; orders requests of the same rank."""
    share: float
    prompt_tokens: int
    output_tokens: int
    """Expected length of the output."""
    hold_s: float
    """Expected time from the start to the end of the generation."""
    zone: str
    avoid: tuple[str, ...]
    """Upstreams that must not be granted."""
    wants_backup: bool
    waited_s: float
    """Time since the request arrived."""
    start_by_s: float
    """Time left until the latest start that meets the target; negative once it has passed."""
    gives_up_s: float
    """Time left until the caller gives up or the deadline passes."""
    may_refuse: bool
    ticket: str
    """Identifies the workspace and the content of the request, the same when it is retried."""


@dataclass(frozen=True, slots=True)
class QueueAnswered:
    """Answer a request for engine memory."""

    sender: str
    request_id: str
    outcome: QueueOutcome
    position: int = 0
    """Place in the queue; zero is the first."""
    forecast_s: float = 0.0
    """Forecast time until the request is granted."""
    upstream_id: str = ""
    backup_id: str = ""
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class QueueLeft:
    """Report requests that no longer wait, or whose grants are not used."""

    sender: str
    request_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class HeldRun:
    """Describe the engine memory that one run holds."""

    request_id: str
    upstream_id: str
    held_tokens: int
    remaining_tokens: int
    """Expected number of further tokens."""
    prefill_tokens: int
    """Tokens of the prompt until the first event has arrived, then zero."""
    backup_id: str
    """The engine that keeps a replica; empty for none."""
    rank: int
    """Rank in the queue, by the policy."""
    ends_in_s: float
    """Expected time until the run ends."""
    has_replica: bool
    """True if the run could resume at a replica now."""


@dataclass(frozen=True, slots=True)
class RunsReported:
    """Report all runs of one instance on the engines of queued services."""

    sender: str
    zone: str
    runs: tuple[HeldRun, ...]


@dataclass(frozen=True, slots=True)
class MemoryGranted:
    """Hold the engine whose memory was granted to a request."""

    upstream_id: str
    backup_id: str
    placer: str


@dataclass(frozen=True, slots=True)
class MemoryRefused:
    """Hold why a request is refused: it can't start before its caller gives up."""

    retry_after_s: float
    forecast_s: float
    """Time until the forecast start, in seconds."""
