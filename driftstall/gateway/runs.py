"""Hold the open streams of this instance, by the upstream that each runs on."""

from __future__ import annotations

from dataclasses import dataclass, field

from gevent.event import AsyncResult

from driftstall.core import Request
from driftstall.decisions.sends import ReplicaKind
from driftstall.gateway.admission import Admitted
from driftstall.gateway.exchange import UpstreamExchange
from driftstall.gateway.ingress import CallerRequest
from driftstall.gateway.model import Upstream


@dataclass(frozen=True, slots=True)
class ReplicaRef:
    """Name a copy of a run's memory, and the engine to go on at."""

    upstream: Upstream
    copy_of: str
    kind: ReplicaKind = ReplicaKind.NAMED
    named_by: str = ""
    """The engine that has named it, where its name does not follow from the request."""


@dataclass(frozen=True, slots=True)
class Replica:
    """Hold a copy of a running run: where it is and how old."""

    ref: ReplicaRef
    copied_at: float
    tokens: int
    """Tokens of the run that were copied."""


@dataclass(frozen=True, slots=True)
class FinalCopy:
    """Tell how the last step of a move ended."""

    replica: Replica | None
    """Where the run goes on, if its engine has told."""
    may_have_stopped: bool
    """Whether the run may have been stopped by it; it was not if the engine refused the step."""


@dataclass(frozen=True, slots=True)
class BrokenRun:
    """Hold a run that broke off, not by its caller or on our word."""

    request_id: str
    fingerprint: str
    under_way: bool
    """Whether it had made events at this upstream for a while."""


@dataclass(slots=True)
class StreamRun:
    """Hold one open stream, wherever it runs now."""

    call: CallerRequest
    admitted: Admitted
    request: Request
    """The request as the forecasts see it."""
    upstream: Upstream
    backup: Upstream | None = None
    exchange: UpstreamExchange | None = None
    last_event_id: str = ""
    events: int = 0
    tokens: int = 0
    """Tokens delivered so far."""
    pending_final_copy: AsyncResult | None = None
    """Set from the run's last step to another engine on; gives a LastStep."""
    final_copy_deadline: float | None = None
    """Until when the answer of the last step is waited for, once it is."""
    resumed_from: ReplicaRef | None = None
    """The copy that this run has gone on from."""
    is_copying: bool = False
    """Set while a step of a copy is taken; an engine takes one at a time of a run."""
    replica_target: Upstream | None = None
    """The engine that a copy is made on, from the first step on."""
    replica: Replica | None = None
    """The copy made of the run while it goes on."""
    ended: bool = False
    is_resumed_elsewhere: bool = False
    """Whether the stream goes on at another engine; else it has ended with this run."""
    moves: int = 0
    waited_s: float = 0.0
    """Time for which its relay has waited for the engine since the first event there."""
    generating_s: float | None = None
    """The part of that up to the last event; None before the first one. Time that a slow
    caller takes does not count: all its events may have been made in a moment before."""
    last_event_at: float = 0.0

    @property
    def request_id(self) -> str:
        """Return the caller's id of the request."""
        return self.admitted.marks.request_id

    @property
    def held_tokens(self) -> int:
        """Return the engine memory that the run holds now, in tokens."""
        return self.admitted.marks.input_tokens + self.tokens


@dataclass(slots=True)
class RunRegistry:
    """Hold all open streams."""

    _runs: dict[str, StreamRun] = field(default_factory=dict)

    @property
    def all(self) -> tuple[StreamRun, ...]:
        """Return all open streams."""
        return tuple(self._runs.values())

    def add(self, run: StreamRun) -> None:
        """Add a stream that was sent."""
        self._runs[run.request_id] = run

    def remove(self, run: StreamRun) -> None:
        """Drop a stream that has ended."""
        if self._runs.get(run.request_id) is run:
            del self._runs[run.request_id]

    def running_on(self, upstream_id: str) -> tuple[StreamRun, ...]:
        """Return the streams that run on an upstream."""
        return tuple(run for run in self._runs.values() if run.upstream.upstream_id == upstream_id)

    def __len__(self) -> int:
        """Return how many streams are open."""
        return len(self._runs)
