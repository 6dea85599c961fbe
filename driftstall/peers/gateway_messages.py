"""Messages between gateway instances.

They are kept apart from the daemons' messages, so that a gateway does not load the
daemons' controllers at start.
"""

from __future__ import annotations

from dataclasses import dataclass

from driftstall.controllers.membership import Ack, Ping, PingRequest
from driftstall.decisions.leaving_signals import LeavingRecord
from driftstall.decisions.rate_limits import RateLimit
from driftstall.decisions.store_versions import StoreVersion
from driftstall.decisions.upstream_load import ReportedLoad
from driftstall.gateway.cordons import Cordons
from driftstall.gateway.follow_messages import FollowAnswered, FollowRequested
from driftstall.gateway.loads import Use
from driftstall.gateway.model import Upstream
from driftstall.gateway.retry_budget.messages import RetryLoanAsked, RetryLoanGiven
from driftstall.gateway.retry_budget.shared_budget import RepeatCount
from driftstall.gateway.scheduling.evacuation_messages import (
    CopyEnded,
    CopyOrdered,
    EvacuationRequested,
)
from driftstall.gateway.scheduling.queue_messages import (
    QueueAnswered,
    QueueAsked,
    QueueLeft,
    RunsReported,
)
from driftstall.peers.blame_messages import BlamesTold
from driftstall.peers.permit_messages import PermitAsked, PermitCharged, PermitGiven
from driftstall.peers.tunnel_messages import TunnelAnswered, TunnelRequested


@dataclass(frozen=True, slots=True)
class GatewayReport:
    """Report a gateway instance's load on each upstream and its view of the fleet."""

    sender: str
    ready: bool
    platform_ok: bool
    """True if the platform answers this instance."""
    routing_version: int
    uses: tuple[Use, ...]
    repeats: tuple[RepeatCount, ...]
    number: int
    """Sequence number of the instance's reports."""
    cordons: Cordons
    rate_limits: tuple[RateLimit, ...]
    """Rate limits of upstreams that are known to the sender."""
    store_era: int
    """The newest era of the platform's store that is known to the sender."""
    leaving: tuple[LeavingRecord, ...]
    """Upstreams that have signalled that they are leaving, as known to the sender."""
    platform_age_ms: int = 0
    """Time since the platform last answered the sender; zero if the sender does not follow it."""
    upstream_loads: tuple[ReportedLoad, ...] = ()
    """Newest loads that upstreams which state their pace have reported to the sender."""
    unreachable_services: tuple[str, ...] = ()
    """Services of which the sender reaches no upstream."""


@dataclass(frozen=True, slots=True)
class PartitionRecord:
    """Name the services that an instance can't reach."""

    instance_id: str
    services: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReportAck:
    """The latest report of an instance that a summary contains."""

    instance_id: str
    number: int


@dataclass(frozen=True, slots=True)
class ZoneSummary:
    """Send the sum of one zone's reports to the collectors of other zones."""

    sender: str
    zone: str
    routing_version: int
    platform_age_ms: int
    """Time since the platform last answered the sender."""
    fleet_digest: int
    """Digest of the set of upstreams that accept requests."""
    instances: int
    """Number of instances in the sums."""
    ready: tuple[str, ...]
    uses: tuple[Use, ...]
    repeats: tuple[RepeatCount, ...]
    cordons: Cordons
    rate_limits: tuple[RateLimit, ...]
    store_era: int
    leaving: tuple[LeavingRecord, ...]
    upstream_loads: tuple[ReportedLoad, ...] = ()
    partitions: tuple[PartitionRecord, ...] = ()
    """Instances that can't reach some services."""


@dataclass(frozen=True, slots=True)
class FleetSummary:
    """Send the sum of all reports, and the state of the platform, to the instances of a zone."""

    sender: str
    routing_version: int
    policy_revision: StoreVersion
    platform_age_ms: int
    """Time since the platform last answered any collector known to the sender."""
    fleet_digest: int
    """Digest of the set of upstreams that accept requests."""
    instances: int
    ready: tuple[str, ...]
    uses: tuple[Use, ...]
    repeats: tuple[RepeatCount, ...]
    acks: tuple[ReportAck, ...]
    cordons: Cordons
    rate_limits: tuple[RateLimit, ...]
    store_era: int
    leaving: tuple[LeavingRecord, ...]
    upstream_loads: tuple[ReportedLoad, ...] = ()
    partitions: tuple[PartitionRecord, ...] = ()
    """Instances that can't reach some services."""


@dataclass(frozen=True, slots=True)
class RoutingAsked:
    """Request a peer's routing document if it is newer than a version."""

    sender: str
    version: int


@dataclass(frozen=True, slots=True)
class RoutingOffered:
    """Forward a routing document as stored by the platform."""

    sender: str
    version: int
    text: str


@dataclass(frozen=True, slots=True)
class FleetAsked:
    """Request all upstreams that accept requests from a collector."""

    sender: str


@dataclass(frozen=True, slots=True)
class FleetOffered:
    """Send all upstreams that accept requests."""

    sender: str
    at: StoreVersion
    """The newest revision that the sender has seen; newer changes are not in the list."""
    upstreams: tuple[Upstream, ...]


@dataclass(frozen=True, slots=True)
class UpstreamNews:
    """Forward a change of an upstream to a peer that does not watch the platform's store."""

    sender: str
    upstream: Upstream
    gone: bool
    """True if the upstream was removed or is leaving."""


@dataclass(frozen=True, slots=True)
class UpstreamDoubted:
    """Report that an upstream announces that it is leaving, or that its port is closed."""

    sender: str
    upstream_id: str


@dataclass(frozen=True, slots=True)
class PlacementAsked:
    """Request the placement of a stream from the placer of the zone."""

    sender: str
    request_id: str
    service: str
    prompt_tokens: int
    output_tokens: int
    """Expected length of the output."""
    wants_backup: bool
    avoid: tuple[str, ...]
    """Upstreams that have refused the request."""
    taken_anyway: bool
    """True if the sender uses the placement even if the stream does not fit."""
    zone: str
    """The availability zone that sends the stream."""


@dataclass(frozen=True, slots=True)
class PlacementGiven:
    """Return the placement of a stream."""

    sender: str
    request_id: str
    upstream_id: str
    """Empty if no upstream accepts requests."""
    backup_id: str
    """The engine that should keep a backup of the stream's KV cache; empty for none."""
    has_room: bool
    """True if the stream is forecast to fit the engine's memory."""


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
    | QueueAsked
    | QueueAnswered
    | QueueLeft
    | RunsReported
    | FollowRequested
    | FollowAnswered
    | EvacuationRequested
    | CopyOrdered
    | CopyEnded
    | TunnelRequested
    | TunnelAnswered
    | RetryLoanAsked
    | RetryLoanGiven
)
