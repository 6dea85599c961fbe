"""Define the events and actions of the relay of one generation."""

from __future__ import annotations

from dataclasses import dataclass

from driftstall.core import Problem


@dataclass(frozen=True, slots=True)
class Started:
    """Begin a new request."""


@dataclass(frozen=True, slots=True)
class ResumeRequested:
    """Begin from a resume token, given out by any instance."""

    runner_id: str
    generation: str
    next_index: int


@dataclass(frozen=True, slots=True)
class GrantReceived:
    """Receive a grant."""

    runner_id: str
    rank: int


@dataclass(frozen=True, slots=True)
class GrantRefused:
    """Receive a refusal, as the caller will see it."""

    problem: Problem


@dataclass(frozen=True, slots=True)
class TokenArrived:
    """Receive one token of a generation."""

    generation: str
    index: int
    data: bytes


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """Receive the end of a generation; total counts its tokens."""

    generation: str
    total: int
    data: bytes


@dataclass(frozen=True, slots=True)
class StreamFailed:
    """Learn that a stream broke, stalled or was refused by the runner."""

    generation: str
    may_have_run: bool
    """Whether any byte of the request may have reached the runner."""
    unknown_generation: bool
    """Whether the runner says that it does not know the generation."""
    detail: str
    quarantined: bool = False
    """Whether the request is to be sent to no further runner: some have crashed under it."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """Learn that the caller's deadline has passed."""


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """Learn that nobody waits for the answer any more."""


RelayEvent = (
    Started
    | ResumeRequested
    | GrantReceived
    | GrantRefused
    | TokenArrived
    | StreamEnded
    | StreamFailed
    | DeadlinePassed
    | CallerDisconnected
)


@dataclass(frozen=True, slots=True)
class RequestGrant:
    """Ask the owner for a grant, under an id of its own for each attempt."""

    grant_id: str
    avoid: frozenset[str]


@dataclass(frozen=True, slots=True)
class OpenStream:
    """Start a generation on a runner."""

    runner_id: str
    generation: str
    rank: int


@dataclass(frozen=True, slots=True)
class ResumeStream:
    """Take up a generation again from an index."""

    runner_id: str
    generation: str
    next_index: int


@dataclass(frozen=True, slots=True)
class CancelStream:
    """Tell a runner to drop a generation."""

    runner_id: str
    generation: str


@dataclass(frozen=True, slots=True)
class CloseGrant:
    """Give a grant, or the wait for it, back to the owner."""

    grant_id: str
    produced: int
    finished: bool


@dataclass(frozen=True, slots=True)
class Deliver:
    """Give a token to the caller."""

    generation: str
    index: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Complete:
    """End the answer: it is whole."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Fail:
    """End the answer with a problem."""

    problem: Problem


RelayAction = (
    RequestGrant | OpenStream | ResumeStream | CancelStream | CloseGrant | Deliver | Complete | Fail
)
