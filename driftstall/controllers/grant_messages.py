"""Define the events and actions of the grants controller."""

from __future__ import annotations

from dataclasses import dataclass

from driftstall.core import PrefixMark, Request, Verdict


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask the owner of a group for a grant."""

    group: str
    entry: str
    request: Request
    verdict: Verdict
    ticket: str = ""
    avoid: tuple[str, ...] = ()
    """Runners on which this request has already failed."""


@dataclass(frozen=True, slots=True)
class Announce:
    """Tell a new owner of a grant that is already open."""

    group: str
    entry: str
    request: Request
    verdict: Verdict
    runner_id: str
    produced: int


@dataclass(frozen=True, slots=True)
class Progress:
    """Report how far a generation is; produced counts output tokens."""

    group: str
    request_id: str
    produced: int


@dataclass(frozen=True, slots=True)
class Close:
    """End a grant or a wait for one."""

    group: str
    request_id: str
    produced: int
    finished: bool
    """Whether the output ended by itself."""
    reply: PrefixMark | None = None


@dataclass(frozen=True, slots=True)
class RunnerReport:
    """Carry an engine's own, lagging report."""

    group: str
    runner_id: str
    used_tokens: int
    memory_tokens: int
    waiting: int
    at: float


@dataclass(frozen=True, slots=True)
class CacheEvents:
    """Carry an engine's late cache events."""

    group: str
    runner_id: str
    stored: tuple[tuple[PrefixMark, ...], ...]
    """Each with all its prefixes, from short to long."""
    evicted: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RunnersChanged:
    """Set the group's runners: id, memory in tokens and zone; none is leaving."""

    group: str
    runners: tuple[tuple[str, int, str], ...]


@dataclass(frozen=True, slots=True)
class RunnersLimited:
    """Set which runners name a limit: id, and generations a second that may begin there."""

    group: str
    limits: tuple[tuple[str, float], ...]


@dataclass(frozen=True, slots=True)
class EntryLost:
    """Learn that an entry instance died; what it streamed is over."""

    entry: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Let time pass."""


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
    """Refuse a request and say when to come back."""

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
