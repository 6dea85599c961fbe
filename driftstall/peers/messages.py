"""List the messages between instances, and those that are only of peers."""

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
from driftstall.gateway.loads import Use
from driftstall.gateway.shared_budget import RepeatCount


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


@dataclass(frozen=True, slots=True)
class GatewayReport:
    """Tell peers what a gateway instance sends where, and what it holds for true."""

    sender: str
    ready: bool
    platform_ok: bool
    """Whether the platform answers this instance."""
    routing_version: int
    uses: tuple[Use, ...]
    repeats: tuple[RepeatCount, ...]
    number: int
    """Grows with each report of this instance."""


@dataclass(frozen=True, slots=True)
class ReportAck:
    """Tell which report of an instance a summary has taken in."""

    instance_id: str
    number: int


@dataclass(frozen=True, slots=True)
class FleetSummary:
    """Sum up the reports of a large fleet; sent by a collector to everyone."""

    sender: str
    routing_version: int
    ready: tuple[str, ...]
    uses: tuple[Use, ...]
    repeats: tuple[RepeatCount, ...]
    acks: tuple[ReportAck, ...]


@dataclass(frozen=True, slots=True)
class RoutingAsked:
    """Ask a peer for its routing document, if it is newer than a version."""

    sender: str
    version: int


@dataclass(frozen=True, slots=True)
class RoutingOffered:
    """Pass a routing document on, as the platform holds it."""

    sender: str
    version: int
    text: str


@dataclass(frozen=True, slots=True)
class UpstreamNews:
    """Pass a change of an upstream on to a peer that the platform does not answer."""

    sender: str
    upstream_id: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool
    revision: int
    gone: bool


PeerMessage = (
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
    | GatewayReport
    | RoutingAsked
    | RoutingOffered
    | UpstreamNews
    | FleetSummary
)


@dataclass(frozen=True, slots=True)
class Envelope:
    """Wrap a message with its way and its place in the sender's sequence."""

    sender: str
    recipient: str
    sequence: int
    message: PeerMessage


"""Senders start the sequence at a clock reading, so that it grows across restarts."""
