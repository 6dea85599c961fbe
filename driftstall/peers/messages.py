"""List the messages between daemons, and those that are only of peers."""

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
    """Report the progress of several generations at once."""

    items: tuple[Progress, ...]


@dataclass(frozen=True, slots=True)
class ConfigAsked:
    """Ask a peer for its configuration, if it is newer."""

    sender: str
    generation: int


@dataclass(frozen=True, slots=True)
class RunnerLeaving:
    """Tell peers that a runner is leaving, or is back."""

    runner_id: str
    leaving: bool
    signalled: bool = False
    """Whether it has signalled so in a response: its reports may be older."""


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
