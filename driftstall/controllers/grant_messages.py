"""Events and actions of the grants controller."""

from __future__ import annotations

from dataclasses import dataclass

from driftstall.core import PrefixMark, Request, Verdict


@dataclass(frozen=True, slots=True)
class Ask:
    """Request a grant from the owner of a group."""

    group: str
    entry: str
    request: Request
    verdict: Verdict
    ticket: str = ""
    avoid: tuple[str, ...] = ()
    """Runners on which this request has failed before."""


@dataclass(frozen=True, slots=True)
class Announce:
    """Announce an open grant to a new owner."""

    group: str
    entry: str
    request: Request
    verdict: Verdict
    runner_id: str
    produced: int


@dataclass(frozen=True, slots=True)
class Progress:
    """Report the output tokens that a generation has produced so far."""

    group: str
    request_id: str
    produced: int


@dataclass(frozen=True, slots=True)
class Close:
    """Close a grant, or withdraw a request that waits for one."""

    group: str
    request_id: str
    produced: int
    finished: bool
    """True if the generation ran to its end."""
    reply: PrefixMark | None = None


@dataclass(frozen=True, slots=True)
class RunnerReport:
    """Carry an engine's report of its memory and queue; it lags behind the grants."""

    group: str
    runner_id: str
    used_tokens: int
    memory_tokens: int
    waiting: int
    at: float


@dataclass(frozen=True, slots=True)
class CacheEvents:
    """Carry an engine's prefix cache events, which arrive late."""

    group: str
    runner_id: str
    stored: tuple[tuple[PrefixMark, ...], ...]
    """Each item lists all prefixes of a stored prompt, shortest first."""
    evicted: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RunnersChanged:
    """Set the group's runners: id, memory in tokens and zone. Leaving runners are not listed."""

    group: str
    runners: tuple[tuple[str, int, str], ...]


@dataclass(frozen=True, slots=True)
class RunnersLimited:
    """Set the runners with a rate limit: id, and generations a second that may start there."""

    group: str
    limits: tuple[tuple[str, float], ...]


@dataclass(frozen=True, slots=True)
class EntryLost:
    """Report that an entry instance has failed; its streams have ended."""

    entry: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Trigger the periodic work."""


GrantEvent = (
    Ask
    | Announce
    | Progress
    | Close
    | RunnerReport
    | CacheEvents
    | RunnersChanged
    | RunnersLimited
    | EntryLost
    | Tick
)


@dataclass(frozen=True, slots=True)
class Granted:
    """Grant a runner to a request."""

    entry: str
    request_id: str
    runner_id: str
    rank: int
    reason: str


@dataclass(frozen=True, slots=True)
class Refused:
    """Refuse a request, with the time after which to retry."""

    entry: str
    request_id: str
    code: str
    retry_after_s: float
    ticket: str
    reason: str


@dataclass(frozen=True, slots=True)
class YieldAsked:
    """Ask an entry to pause a generation."""

    entry: str
    request_id: str
    runner_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class ResumeAsked:
    """Ask an entry to resume a paused generation."""

    entry: str
    request_id: str
    runner_id: str
    reason: str


GrantAction = Granted | Refused | YieldAsked | ResumeAsked
