"""Events and actions of the relay of one generation."""

from __future__ import annotations

from dataclasses import dataclass

from driftstall.core import Problem


@dataclass(frozen=True, slots=True)
class Started:
    """Start a new request."""


@dataclass(frozen=True, slots=True)
class ResumeRequested:
    """Start from a resume token, which any instance may have issued."""

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
    """Receive a refusal, as the problem that the caller gets."""

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
    """Report that a stream broke, stalled or was refused by the runner."""

    generation: str
    may_have_run: bool
    """True if any byte of the request may have reached the runner."""
    unknown_generation: bool
    """True if the runner answered that it does not know the generation."""
    detail: str
    quarantined: bool = False
    """True if the request must not be sent to another runner, because it crashes runners."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """Report that the caller's deadline has passed."""


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """Report that the caller has disconnected."""


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
    """Request a grant from the owner; each attempt has its own grant id."""

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
    """Resume a generation from a token index."""

    runner_id: str
    generation: str
    next_index: int


@dataclass(frozen=True, slots=True)
class CancelStream:
    """Cancel a generation on a runner."""

    runner_id: str
    generation: str


@dataclass(frozen=True, slots=True)
class CloseGrant:
    """Close a grant at its owner, or withdraw the request for it."""

    grant_id: str
    produced: int
    finished: bool


@dataclass(frozen=True, slots=True)
class Deliver:
    """Deliver a token to the caller."""

    generation: str
    index: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Complete:
    """End the complete response."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Fail:
    """End the response with a problem."""

    problem: Problem


RelayAction = (
    RequestGrant | OpenStream | ResumeStream | CancelStream | CloseGrant | Deliver | Complete | Fail
)
