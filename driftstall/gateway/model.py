"""Define the objects that the parts of the gateway share."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from driftstall.decisions.store_versions import StoreVersion
from driftstall.decisions.upstream_signals import Signal

Header = tuple[bytes, bytes]
Headers = tuple[Header, ...]

DEFAULT_RANK: Final = 5


class Repeat(StrEnum):
    """Tell how often a route's requests may run."""

    SAFE = "safe"
    """Any number of times."""
    ONCE = "once"
    """At most once."""
    STREAM = "stream"
    """At most once, and the answer is a series of events."""


@dataclass(frozen=True, slots=True)
class SplitPart:
    """Name one service of a route, with its weight in the split."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Describe what a host's path prefix leads to."""

    name: str
    host: str
    path_prefix: str
    repeat: Repeat
    timeout_s: float
    target_s: float
    """The time within which an answer is in time."""
    rank: int
    """Zero comes first."""
    split: tuple[SplitPart, ...]
    max_upstreams: int
    """The most upstreams that one request may run on."""
    anonymous: bool
    """Whether requests need no workspace key."""
    resumable: bool
    """Whether a caller may go on at its own last event id."""
    gap_s: float
    """The longest pause between events of an answer in time; zero if not a stream."""

    @property
    def max_runs(self) -> int:
        """Return the most runs that one request may begin."""
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
    """Describe one service that routes lead to."""

    name: str
    health_path: str
    max_connections: int
    """Connections that one upstream accepts from all callers together."""
    engine: Engine | None
    cold_start_s: float = 0.0
    """How long an upstream stays cold after it has started under traffic."""
    cold_rate: float = 0.0
    """Requests a second that a cold upstream bears; zero where no bound is told."""


@dataclass(frozen=True, slots=True)
class Workspace:
    """Describe one workspace and the keys that speak for it."""

    name: str
    keys: tuple[str, ...]
    rank: int | None
    """Takes precedence over the route's rank."""


@dataclass(frozen=True, slots=True)
class Limits:
    """Bound what a caller may send, and how slowly."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingDocument:
    """Hold one whole routing configuration; versions only grow."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    workspaces: tuple[Workspace, ...]
    limits: Limits = field(default_factory=Limits)


@dataclass(frozen=True, slots=True)
class RoutingText:
    """Hold a routing document with the text that it is passed on as."""

    document: RoutingDocument
    text: str


@dataclass(frozen=True, slots=True)
class PolicyText:
    """Hold a submitted policy."""

    revision: StoreVersion
    text: str


class UpstreamState(StrEnum):
    """Name an upstream's standing in the platform's list."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Upstream:
    """Describe one start of an upstream process.

    A process that starts again holds nothing of before, also where it keeps its name. So
    all books go by the upstream's id, which is another one for each start.
    """

    name: str
    """What the platform calls it; a later start may have the same."""
    service: str
    address: str
    zone: str
    slots: int
    state: UpstreamState
    revision: StoreVersion
    """The version of the platform's entry that told so."""
    born: int = 0
    """When it started, in milliseconds of the time of day; zero if it does not say so."""
    cold_s: float = 0.0
    """How much longer it is cold, in seconds, by its own entry."""

    @property
    def upstream_id(self) -> str:
        """Return what tells this start of it from all others."""
        return f"{self.name}@{self.born}" if self.born else self.name


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Name one part of a prompt, which other requests may share."""

    digest: str
    tokens: int


@dataclass(frozen=True, slots=True)
class CallerMetadata:
    """Hold what a caller's headers say of its request."""

    request_id: str
    deadline_s: float | None
    """Seconds that the caller will wait."""
    key: str
    """The workspace key; empty if none was shown."""
    model: str
    input_tokens: int
    max_tokens: int
    length_hint: int
    """The caller's estimate of the output in tokens; zero if none."""
    prompt: tuple[PromptPart, ...]
    last_event_id: str
    forwarded_headers: Headers
    """Headers that go on to the upstream as they came."""


@dataclass(frozen=True, slots=True)
class SendMetadata:
    """Hold what the gateway itself tells an upstream with a request."""

    upstream_name: str
    remaining_s: float
    workspace: str
    rank: int | None
    backup_address: str = ""
    """Where the engine keeps a copy of the run's memory; empty for nowhere."""
    copy_of: str = ""
    """The copied memory to go on from; empty for a new run."""
    last_event_id: str = ""


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Hold the load that an upstream tells with an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Hold what the headers of an upstream's answer say."""

    request_id: str
    not_run: bool
    """Whether the upstream says that it did not run the request."""
    load: UpstreamLoad | None
    signals: tuple[Signal, ...]
    """What the upstream signals about itself."""
    keep_alive_s: float | None
    """How long the connection may rest; None if the upstream closes it."""
    forwarded_headers: Headers
    """Headers that go on to the caller."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """Hold the limits that the site sets for the whole system."""

    retry_ratio: float = 0.2
    """Repeats allowed per request, for all instances together."""
    retry_extra: float = 50.0
    """Repeats allowed besides, for each service and window."""
    retry_window_s: float = 10.0
    grace_s: float = 8.0
    """Time from the order to stop until the process is killed."""
    locate_keep_s: float = 5.0
    """The longest that callers keep a located address."""
    drain_s: float = 2.0
    """An upstream that leaves gets no request after this time."""
    catch_up_s: float = 3.0
    """Time after a disturbance in which an instance must know again what holds."""
    cordon_s: float = 0.0
    """Time after which an upstream of a cordoned zone gets nothing; zero if no zones are cordoned
    at this site."""


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
    """Bandwidth of the machine's link."""
    platform_address: str
    seeds: tuple[str, ...]
    """Peer addresses of some instances, perhaps stale."""
    bounds: Bounds
    peer_key: str
    """Shared by all instances; authenticates their messages."""
