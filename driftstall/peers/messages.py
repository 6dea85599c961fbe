"""Messages between daemons, other than those of their controllers."""

from __future__ import annotations

from dataclasses import dataclass

from driftstall.controllers.claims import ClaimAnswer, ClaimAsked, ClaimSettled
from driftstall.controllers.configuration import ConfigOffer
from driftstall.controllers.grant_messages import (
    Announce,
    Ask,
    Close,
    Granted,
    Progress,
    Refused,
    ResumeAsked,
    YieldAsked,
)
from driftstall.controllers.membership import Ack, Ping, PingRequest
from driftstall.peers.blame_messages import BlamesTold
from driftstall.peers.permit_messages import (
    PermitAsked,
    PermitCharged,
    PermitGiven,
    RateLimitsTold,
)


@dataclass(frozen=True, slots=True)
class ProgressBatch:
    """Report the progress of several generations."""

    items: tuple[Progress, ...]


@dataclass(frozen=True, slots=True)
class ConfigAsked:
    """Request a peer's configuration if it is newer than a generation."""

    sender: str
    generation: int


@dataclass(frozen=True, slots=True)
class RunnerLeaving:
    """Report that a runner is leaving, or that it is back."""

    runner_id: str
    leaving: bool
    signalled: bool = False
    """True if the runner signalled this in a response, which may be newer than its reports."""


DaemonMessage = (
    Ask
    | Announce
    | ProgressBatch
    | Close
    | Granted
    | Refused
    | YieldAsked
    | ResumeAsked
    | Ping
    | Ack
    | PingRequest
    | ClaimAsked
    | ClaimSettled
    | ClaimAnswer
    | ConfigOffer
    | ConfigAsked
    | RunnerLeaving
    | BlamesTold
    | PermitAsked
    | PermitGiven
    | PermitCharged
    | RateLimitsTold
)
