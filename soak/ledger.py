"""Record what callers sent and got, what upstreams saw, and what was disturbed when."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum

from stand_ins.routed import SignalRecord

STORE = "store"


class RequestKind(StrEnum):
    """Name the sort of a request."""

    SAFE = "safe"
    ONCE = "once"
    STREAM = "stream"
    ADDED = "added"
    """To the route that the newest configuration has added."""
    DROPPED = "dropped"
    """To a route that the newest configuration does not hold any more."""


@dataclass(slots=True)
class SentRequest:
    """Hold one request of a caller, and how it ended."""

    request_id: str
    kind: RequestKind
    path: str
    instance: str
    sent_at: float
    timeout_s: float
    ended_at: float = 0.0
    status: int = 0
    """Zero if the connection ended without an answer."""
    sealed: bool = False
    """Whether the answer carries the mark of an upstream."""
    complete: bool = False
    body: bytes = b""

    @property
    def events(self) -> list[int]:
        """Return the numbers of the events that arrived whole."""
        whole = self.body.split(b"\n\n")[:-1]
        return [int(one.split(b"\n")[0].removeprefix(b"id: ")) for one in whole]


@dataclass(frozen=True, slots=True)
class Arrival:
    """Hold one request as it reached an upstream."""

    request_id: str
    upstream_id: str
    target: str
    at: float
    is_resumed: bool
    """Whether it goes on at a copy of a run."""


@dataclass(frozen=True, slots=True)
class Notice:
    """Hold when the store acknowledged that an upstream leaves or is gone."""

    upstream_id: str
    at: float


@dataclass(frozen=True, slots=True)
class Window:
    """Hold a span of time in which something was disturbed."""

    begins: float
    ends: float


@dataclass(frozen=True, slots=True)
class UpstreamPeriod:
    """Hold that an upstream was cold, or in a cordoned zone, for a while."""

    upstream_id: str
    window: Window


@dataclass(frozen=True, slots=True)
class LimitPeriod:
    """Hold how many requests a second an upstream said it takes, and for how long it did."""

    upstream_id: str
    per_s: float
    window: Window
    is_first: bool
    """Whether it named no limit before; else it named a higher one."""


@dataclass(frozen=True, slots=True)
class FatalCrash:
    """Hold that an upstream has ended under a request that ends each one."""

    upstream_id: str
    target: str
    at: float


@dataclass(slots=True)
class Ledger:
    """Hold everything that the checks look at."""

    events: int
    """Events of a whole stream."""
    requests: dict[str, SentRequest] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    notices: dict[str, Notice] = field(default_factory=dict)
    leaving_reports: dict[str, Notice] = field(default_factory=dict)
    """When upstreams began to say themselves that they leave; the store did not know it then."""
    cordoned: list[UpstreamPeriod] = field(default_factory=list)
    """From the store's acknowledgement until the order to free the zone."""
    cold: list[UpstreamPeriod] = field(default_factory=list)
    limited: list[LimitPeriod] = field(default_factory=list)
    received: dict[str, list[SignalRecord]] = field(default_factory=lambda: defaultdict(list))
    """All requests that reached an upstream, also rejected ones, by its id."""
    signalled_leaving: dict[str, list[SignalRecord]] = field(
        default_factory=lambda: defaultdict(list)
    )
    """Responses by which an upstream signalled that it leaves."""
    rejections: dict[str, list[SignalRecord]] = field(default_factory=lambda: defaultdict(list))
    """Responses by which an upstream rejected a request with a back-off."""
    stopped: dict[str, list[Window]] = field(default_factory=lambda: defaultdict(list))
    """When an instance was killed, stopped or paused, by its name."""
    fatal_crashes: list[FatalCrash] = field(default_factory=list)
    disturbed: dict[str, list[Window]] = field(default_factory=lambda: defaultdict(list))
    """By name of an instance or an upstream, or STORE."""
    unexpected_exits: list[str] = field(default_factory=list)
    """Processes that ended though nobody told them to."""
    not_ready: list[str] = field(default_factory=list)
    """Instances that were not ready at the end."""

    def disturb(self, name: str, begins: float, ends: float) -> None:
        """Note that something is disturbed for a while."""
        self.disturbed[name].append(Window(begins, ends))

    def ran_throughout(self, name: str, begins: float, ends: float) -> bool:
        """Tell whether an instance ran without a stop during a span of time."""
        return all(one.ends < begins or one.begins > ends for one in self.stopped[name])

    def is_undisturbed(self, name: str, begins: float, ends: float) -> bool:
        """Tell whether nothing disturbed a part during a span of time."""
        return all(one.ends < begins or one.begins > ends for one in self.disturbed[name])
