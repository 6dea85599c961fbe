"""Define the data classes shared by the components of the gateway."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from http import HTTPStatus
from typing import Final

from driftstall.decisions.store_versions import StoreVersion
from driftstall.decisions.upstream_signals import LoadSignal, Signal

Header = tuple[bytes, bytes]
Headers = tuple[Header, ...]

DEFAULT_RANK: Final = 5


class Repeat(StrEnum):
    """How often a route's requests may be executed."""

    SAFE = "safe"
    """Any number of times: requests are idempotent."""
    ONCE = "once"
    """At most once."""
    STREAM = "stream"
    """At most once, and the response is a stream of events."""


@dataclass(frozen=True, slots=True)
class SplitPart:
    """Name one service of a route and its weight in the traffic split."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Describe the services and limits for a host's path prefix."""

    name: str
    host: str
    path_prefix: str
    repeat: Repeat
    timeout_s: float
    target_s: float
    """Target response time of a plain call."""
    rank: int
    """Zero is the highest rank."""
    split: tuple[SplitPart, ...]
    max_upstreams: int
    """Maximum number of upstreams that one request may run on."""
    allows_anonymous: bool
    """Whether requests need no workspace key."""
    is_resumable: bool
    """Whether a caller may resume a stream after its last event id."""
    gap_s: float
    """Target for the longest pause between events of a stream; zero if not a stream."""

    @property
    def max_runs(self) -> int:
        """Return the maximum number of runs that one request may start."""
        return self.max_upstreams if self.repeat is Repeat.SAFE else 1


@dataclass(frozen=True, slots=True)
class Engine:
    """Describe the model engines of a service."""

    slots: int
    memory_tokens: int
    token_bytes: int
    link_bytes_per_s: float
    can_move: bool
    can_backup: bool
    event_tokens: int
    """Tokens held by one event of a stream."""


@dataclass(frozen=True, slots=True)
class Service:
    """Describe one service, the target of routes."""

    name: str
    health_path: str
    max_connections: int
    """Maximum number of connections to one upstream, from all instances together."""
    engine: Engine | None
    cold_start_s: float = 0.0
    """How long an upstream stays cold after it has started under traffic."""
    cold_rate: float = 0.0
    """Requests per second that a cold upstream can serve; zero for no bound."""


@dataclass(frozen=True, slots=True)
class Workspace:
    """Describe one workspace and its API keys."""

    name: str
    keys: tuple[str, ...]
    rank: int | None
    """Overrides the route's rank unless None."""


@dataclass(frozen=True, slots=True)
class Limits:
    """Hold the limits on the size and the duration of a caller's request."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingDocument:
    """Hold one complete routing configuration; versions increase monotonically."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    workspaces: tuple[Workspace, ...] | None
    """The workspaces whose keys are known; None if the configuration asks for no keys. Without any
    workspace in the list, no key is known."""
    limits: Limits = field(default_factory=Limits)


@dataclass(frozen=True, slots=True)
class RoutingText:
    """Hold a routing document and its text, the form that is forwarded to peers."""

    document: RoutingDocument
    text: str


@dataclass(frozen=True, slots=True)
class PolicyText:
    """Hold a submitted policy and its revision in the store."""

    revision: StoreVersion
    text: str


class UpstreamState(StrEnum):
    """State of an upstream in the platform's list."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Upstream:
    """Describe one start of an upstream process.

    A restarted process has lost its state even if it keeps its name. So all tables are keyed by
    the upstream's id, which differs for each start.
    """

    name: str
    """Name in the platform's list; a later start may have the same name."""
    service: str
    address: str
    zone: str
    slots: int
    state: UpstreamState
    revision: StoreVersion
    """Store version of the platform's entry with this state."""
    born: int = 0
    """Start time as a Unix timestamp in milliseconds; zero if not reported."""
    cold_s: float = 0.0
    """Remaining time in seconds for which the upstream is cold, as its entry reports."""

    @property
    def upstream_id(self) -> str:
        """Return an id that is unique to this start of the upstream."""
        return f"{self.name}@{self.born}" if self.born else self.name


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Identify one part of a prompt, which other requests may share."""

    digest: str
    tokens: int


@dataclass(frozen=True, slots=True)
class CallerMetadata:
    """Hold the metadata that a caller's headers carry."""

    request_id: str
    deadline_s: float | None
    """Seconds until the caller's deadline; None if the caller sets none."""
    key: str
    """The workspace key; empty if not given."""
    model: str
    input_tokens: int
    max_tokens: int
    length_hint: int
    """The caller's estimate of the output in tokens; zero if not given."""
    prompt: tuple[PromptPart, ...]
    last_event_id: str
    forwarded_headers: Headers
    """Headers that are forwarded to the upstream unchanged."""
    has_other_credentials: bool = False
    """Whether the request has credentials of a scheme in which no key can be given."""

    @property
    def is_anonymous(self) -> bool:
        """Return True if the request has no credentials."""
        return not self.key and not self.has_other_credentials


@dataclass(frozen=True, slots=True)
class SendMetadata:
    """Hold the metadata that the gateway adds to a request to an upstream."""

    upstream_name: str
    remaining_s: float
    workspace: str
    rank: int | None
    backup_address: str = ""
    """Address of the engine that is to hold the run's replica; empty for none."""
    copy_of: str = ""
    """Reference of the replica to resume from; empty for a new run."""
    last_event_id: str = ""


class ResponseDefect(StrEnum):
    """Why a response that carries a request's id is not its upstream's response."""

    UNSIGNED = "it lacks the upstream's signature"
    ENCODED = "its body has a content coding that callers do not request"


PROMISING_STATUSES: Final = frozenset(
    {HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE}
)
"""Statuses by which callers are promised that a request has not run and never will. An upstream
makes this promise by its statement that it did not execute the request, not by the status."""


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Hold the metadata in the headers of an upstream's response."""

    request_id: str
    defect: ResponseDefect | None
    """Set for a response that must not reach the caller. A rejection that states that the request
    was not executed needs no signature."""
    is_not_executed: bool
    """Whether the upstream reports that it did not execute the request."""
    signals: tuple[Signal, ...]
    """Signals of the upstream about its own state."""
    keep_alive_s: float | None
    """How long the connection may be idle; None if the upstream closes it."""
    forwarded_headers: Headers
    """Headers that are forwarded to the caller."""

    @property
    def states_load(self) -> bool:
        """Return True if the response states a load that could be decoded."""
        return any(isinstance(signal, LoadSignal) for signal in self.signals)


@dataclass(frozen=True, slots=True)
class Bounds:
    """Hold the limits that the site sets for the whole system."""

    retry_ratio: float = 0.2
    """Retries allowed per request, for all instances together."""
    retry_extra: float = 50.0
    """Additional retries allowed per service and window."""
    retry_window_s: float = 10.0
    grace_s: float = 8.0
    """Time from the request to stop until the process is killed."""
    locate_keep_s: float = 5.0
    """Longest time that callers cache a located address."""
    drain_s: float = 2.0
    """Time after its notice from which a leaving upstream gets no requests."""
    catch_up_s: float = 3.0
    """Time after a disturbance within which an instance must have current data again."""
    cordon_s: float = 0.0
    """Time after a cordon from which the zone's upstreams get no requests; zero if this site does
    not cordon zones."""


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Hold the settings of one gateway instance."""

    instance_id: str
    zone: str
    caller_listen: str
    ready_listen: str
    locate_listen: str
    peer_listen: str
    metrics_listen: str
    link_mbps: int
    """Bandwidth of the machine's network link."""
    platform_address: str
    seeds: tuple[str, ...]
    """Peer addresses of some instances, possibly stale."""
    bounds: Bounds
    peer_key: str
    """Key shared by all instances, which authenticates their messages."""
    memory_mb: float = 0.0
    """Memory of the machine; zero if not known."""
    max_fds: int = 0
    """Open descriptors that the process may have; zero if not known."""
    is_first_start: bool = False
    """Whether the whole fleet starts for the first time, so that no instance had a predecessor."""
    uses_workspaces: bool = True
    """Whether the site has workspaces; without them, an empty list of them asks for no keys."""
