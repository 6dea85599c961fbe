"""List the messages between gateway instances.

They stand apart from those of the daemons so that a gateway's start does not load the
daemons' controllers.
"""

from __future__ import annotations

from dataclasses import dataclass

from driftstall.controllers.membership import Ack, Ping, PingRequest
from driftstall.decisions.leaving_signals import LeavingRecord
from driftstall.decisions.rate_limits import RateLimit
from driftstall.decisions.store_versions import StoreVersion
from driftstall.gateway.cordons import Cordons
from driftstall.gateway.loads import Use
from driftstall.gateway.model import Upstream
from driftstall.gateway.shared_budget import RepeatCount
from driftstall.peers.blame_messages import BlamesTold
from driftstall.peers.permit_messages import PermitAsked, PermitCharged, PermitGiven


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
    cordons: Cordons
    rate_limits: tuple[RateLimit, ...]
    """What upstreams have named, as far as the sender knows."""
    store_era: int
    """The newest era of the platform's store that the sender knows."""
    leaving: tuple[LeavingRecord, ...]
    """Upstreams that have signalled that they leave, as far as the sender knows."""


@dataclass(frozen=True, slots=True)
class ReportAck:
    """Tell which report of an instance a summary has taken in."""

    instance_id: str
    number: int


@dataclass(frozen=True, slots=True)
class ZoneSummary:
    """Tell the collectors of other zones the sum of what one zone's instances report."""

    sender: str
    zone: str
    routing_version: int
    platform_age_ms: int
    """How long ago the platform last answered the sender."""
    fleet_digest: int
    """Stands for the set of upstreams that take requests."""
    instances: int
    """How many instances the sums stand for."""
    ready: tuple[str, ...]
    uses: tuple[Use, ...]
    repeats: tuple[RepeatCount, ...]
    cordons: Cordons
    rate_limits: tuple[RateLimit, ...]
    store_era: int
    leaving: tuple[LeavingRecord, ...]


@dataclass(frozen=True, slots=True)
class FleetSummary:
    """Tell the instances of a zone the sum of all reports, and what the platform says."""

    sender: str
    routing_version: int
    policy_revision: StoreVersion
    platform_age_ms: int
    """How long ago the platform last answered any collector that the sender hears."""
    fleet_digest: int
    """Stands for the set of upstreams that take requests."""
    instances: int
    ready: tuple[str, ...]
    uses: tuple[Use, ...]
    repeats: tuple[RepeatCount, ...]
    acks: tuple[ReportAck, ...]
    cordons: Cordons
    rate_limits: tuple[RateLimit, ...]
    store_era: int
    leaving: tuple[LeavingRecord, ...]


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
class FleetAsked:
    """Ask a collector for all upstreams that take requests."""

    sender: str


@dataclass(frozen=True, slots=True)
class FleetOffered:
    """Pass on all upstreams that take requests."""

    sender: str
    at: StoreVersion
    """The newest revision that the sender has seen; what is newer is not in the list."""
    upstreams: tuple[Upstream, ...]


@dataclass(frozen=True, slots=True)
class UpstreamNews:
    """Pass a change of an upstream on to a peer that does not learn it from the platform."""

    sender: str
    upstream: Upstream
    gone: bool


@dataclass(frozen=True, slots=True)
class UpstreamDoubted:
    """Tell that an upstream says itself that it leaves, or that nobody listens there."""

    sender: str
    upstream_id: str


@dataclass(frozen=True, slots=True)
class PlacementAsked:
    """Ask who places for the zone where a stream should run."""

    sender: str
    request_id: str
    service: str
    prompt_tokens: int
    output_tokens: int
    """What the output is expected to be."""
    wants_backup: bool
    avoid: tuple[str, ...]
    """Upstreams that have turned the request away."""
    taken_anyway: bool
    """Whether the answer is taken even where there is no room."""
    zone: str
    """The availability zone from which the stream is sent."""


@dataclass(frozen=True, slots=True)
class PlacementGiven:
    """Answer where a stream should run."""

    sender: str
    request_id: str
    upstream_id: str
    """Empty where no upstream takes requests."""
    backup_id: str
    """The engine that is to keep a copy; empty for none."""
    has_room: bool
    """Whether the stream fits the engine's memory, as far as can be forecast."""


GatewayMessage = (
    Ping
    | Ack
    | PingRequest
    | GatewayReport
    | FleetSummary
    | ZoneSummary
    | RoutingAsked
    | RoutingOffered
    | UpstreamNews
    | UpstreamDoubted
    | PlacementAsked
    | PlacementGiven
    | FleetAsked
    | FleetOffered
    | BlamesTold
    | PermitAsked
    | PermitGiven
    | PermitCharged
)
