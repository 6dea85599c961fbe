"""Record of a run: requests and responses, arrivals at upstreams, and injected disturbances."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import StrEnum

from driftstall.gateway.model import Bounds
from stand_ins.endings import Ending, EndingPlan, Framing
from stand_ins.routed import SignalRecord

STORE = "store"
PLAIN_SERVICE = "portal"
ENGINE_SERVICE = "engines"
KNOWN_END_S = 0.04
"""An instance that verifies the end of a connection knows of a process that ended within this time
after it. The instance waits a little longer; this leaves room for inexact timers."""
SHORT_EVENTS = 3
"""Number of events in a complete short stream."""


class RequestKind(StrEnum):
    """Kinds of requests; the value is part of the request's path."""

    SAFE = "safe"
    ONCE = "once"
    STREAM = "stream"
    SHORT = "stream/short"
    """A stream that ranks before others and has few events."""
    ADDED = "added"
    """A request to the route that the newest configuration has added."""
    DROPPED = "dropped"
    """A request to a route that the newest configuration has removed."""


STREAMS = (RequestKind.STREAM, RequestKind.SHORT)


@dataclass(slots=True)
class SentRequest:
    """A request of a caller, with its result."""

    request_id: str
    kind: RequestKind
    path: str
    instance: str
    sent_at: float
    timeout_s: float
    ended_at: float = 0.0
    status: int = 0
    """HTTP status; zero if the connection ended without a response."""
    sealed: bool = False
    """Whether the response carries the seal header of an upstream."""
    complete: bool = False
    body: bytes = b""
    prompt: str = ""
    """The parts of its prompt, as the header names them."""
    is_cut: bool = False
    """Whether the connection ended after the request was sent, before the response was complete.
    Not so if it was closed in order and the response was close-delimited."""
    has_head: bool = False
    is_framed: bool = False
    """Whether the response had a length or a transfer coding."""
    is_closed: bool = False
    """Whether the response was close-delimited and its connection was closed in order."""

    @property
    def events(self) -> list[int]:
        """Return the numbers of the events that arrived completely; zero for a malformed one."""
        complete = self.body.split(b"\n\n")[:-1]
        ids = [event.split(b"\n")[0].removeprefix(b"id: ") for event in complete]
        return [int(event_id) if event_id.isdigit() else 0 for event_id in ids]


@dataclass(frozen=True, slots=True)
class Arrival:
    """The arrival of a request at an upstream."""

    request_id: str
    upstream_id: str
    target: str
    at: float
    is_resumed: bool
    """Whether the run is resumed from a replica."""


@dataclass(frozen=True, slots=True)
class ResponseEnd:
    """The end of a response of an upstream, as the upstream planned it."""

    upstream_id: str
    plan: EndingPlan
    at: float

    @property
    def states_whole(self) -> bool:
        """Return True if the framing stated that the response is whole."""
        is_framed = self.plan.framing is not Framing.CLOSE
        return is_framed and self.plan.ending is Ending.WHOLE and self.plan.status == 200

    @property
    def is_early_close(self) -> bool:
        """Return True if a close-delimited response was closed early, before its process ended."""
        is_close = self.plan.framing is Framing.CLOSE
        return is_close and self.plan.ending in (Ending.CLOSED, Ending.GONE_LATE)


@dataclass(frozen=True, slots=True)
class Notice:
    """The time at which the store acknowledged that an upstream is leaving or removed."""

    upstream_id: str
    at: float


@dataclass(frozen=True, slots=True)
class Window:
    """A span of monotonic time."""

    begins: float
    ends: float


@dataclass(frozen=True, slots=True)
class UpstreamPeriod:
    """A period in which an upstream was cold, or in a cordoned zone."""

    upstream_id: str
    window: Window


@dataclass(frozen=True, slots=True)
class LimitPeriod:
    """A period in which an upstream announced a rate limit, in requests a second."""

    upstream_id: str
    per_s: float
    window: Window
    is_first: bool
    """Whether there was no limit before; otherwise there was a higher one."""


@dataclass(frozen=True, slots=True)
class FatalCrash:
    """The crash of an upstream under a path or a prompt part that crashes all that run it."""

    upstream_id: str
    target: str
    at: float


@dataclass(slots=True)
class Ledger:
    """The complete record of a run, from which the checks are computed."""

    events: int
    """Number of events in a complete stream."""
    requests: dict[str, SentRequest] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    notices: dict[str, Notice] = field(default_factory=dict)
    leaving_reports: dict[str, Notice] = field(default_factory=dict)
    """When upstreams began to report themselves as leaving, before the store knew of it."""
    joined: dict[str, float] = field(default_factory=dict)
    """When the store took the entries of new upstreams, in the plan of disturbed starts."""
    replaced: dict[str, float] = field(default_factory=dict)
    """When these upstreams began to leave, or crashed."""
    cordoned: list[UpstreamPeriod] = field(default_factory=list)
    """From the store's acknowledgement of a cordon until the request to lift it."""
    cold: list[UpstreamPeriod] = field(default_factory=list)
    limited: list[LimitPeriod] = field(default_factory=list)
    bounds: Bounds = field(default_factory=Bounds)
    """The retry budget that the instances share."""
    services: dict[str, str] = field(default_factory=dict)
    """The service of each upstream, by upstream id."""
    received: dict[str, list[SignalRecord]] = field(default_factory=lambda: defaultdict(list))
    """All requests that reached an upstream, including rejected ones, by upstream id."""
    signalled_leaving: dict[str, list[SignalRecord]] = field(
        default_factory=lambda: defaultdict(list)
    )
    """Responses with which an upstream signalled that it is leaving."""
    rejections: dict[str, list[SignalRecord]] = field(default_factory=lambda: defaultdict(list))
    """Responses with which an upstream rejected a request and requested a back-off."""
    stopped: dict[str, list[Window]] = field(default_factory=lambda: defaultdict(list))
    """Times in which an instance was killed, stopped or paused, by instance name."""
    planned_stops: dict[str, list[Window]] = field(default_factory=lambda: defaultdict(list))
    """Disturbances that begin with SIGTERM to a running instance, by instance name."""
    fatal_crashes: list[FatalCrash] = field(default_factory=list)
    disturbed: dict[str, list[Window]] = field(default_factory=lambda: defaultdict(list))
    """Times of disturbances, by name of an instance or an upstream, or STORE. Those of an upstream
    are times in which it breaks requests off."""
    partitioned: dict[str, list[Window]] = field(default_factory=lambda: defaultdict(list))
    """Times in which an instance was partitioned from all upstreams, by instance name."""
    unexpected_exits: list[str] = field(default_factory=list)
    """Processes that exited without being stopped by the plan."""
    not_ready: list[str] = field(default_factory=list)
    """Instances that were not ready at the end."""
    body: bytes = b"whole"
    """Body of a whole response to a call."""
    max_run_s: float = 1.0
    """Longest run of a request at an upstream."""
    is_engine_unframed: bool = False
    """Whether no engine frames a response, in the plan that truncates them; else some do."""
    sent_pieces: dict[str, list[int]] | None = None
    """Numbers of the events, or pieces of a body, that upstreams have sent for each request; None
    in plans whose upstreams do not record them."""
    truncations: Counter[str] = field(default_factory=Counter)
    """Responses that upstreams have ended early, by framing and ending, or had an odd status."""
    response_ends: dict[str, list[ResponseEnd]] = field(default_factory=lambda: defaultdict(list))
    """Ends of upstreams' responses by request id, in plans whose upstreams record them."""
    process_ends: dict[str, float] = field(default_factory=dict)
    """When the process of an upstream ended, by upstream id, in the same plans."""
    queue_waits: int | None = None
    """Streams that waited for engine memory; None in plans in which no service queues."""
    pace_changes: int | None = None
    """Changes of an upstream's pace that instances noticed; None in plans without paces."""

    def is_whole(self, request: SentRequest) -> bool:
        """Return True if a body has all that a whole response to its request has."""
        if request.kind not in STREAMS:
            return request.body == self.body
        events = SHORT_EVENTS if request.kind is RequestKind.SHORT else self.events
        return request.events == list(range(1, events + 1))

    def is_served(self, request: SentRequest) -> bool:
        """Return True if a request got a response that is whole by its framing or its contents."""
        is_ended = request.complete or (request.is_closed and self.is_whole(request))
        return request.status == 200 and is_ended

    def living_close(self, end: ResponseEnd) -> bool:
        """Return True if a response was closed early by a process that lived on for a while."""
        ended_at = self.process_ends.get(end.upstream_id, float("inf"))
        return end.is_early_close and ended_at >= end.at + KNOWN_END_S

    def disturb(self, name: str, begins: float, ends: float) -> None:
        """Record a disturbance of an instance, an upstream or the store."""
        self.disturbed[name].append(Window(begins, ends))

    def ran_throughout(self, name: str, begins: float, ends: float) -> bool:
        """Return True if an instance was never stopped during a span of time."""
        return all(stop.ends < begins or stop.begins > ends for stop in self.stopped[name])

    def partitioned_since(self, name: str, at: float) -> float | None:
        """Return since when an instance has been partitioned at a time; None if it was not."""
        since = None
        for window in sorted(self.partitioned[name], key=lambda window: window.ends, reverse=True):
            if window.begins <= (at if since is None else since) <= window.ends:
                since = window.begins
        return since

    def is_undisturbed(self, name: str, begins: float, ends: float) -> bool:
        """Return True if no disturbance of the named part overlaps a span of time."""
        return all(window.ends < begins or window.begins > ends for window in self.disturbed[name])
