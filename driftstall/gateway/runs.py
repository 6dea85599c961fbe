"""Open streams of this instance: their runs on upstreams, and the replicas of these runs."""

from __future__ import annotations

from dataclasses import dataclass, field

from gevent.event import AsyncResult

from driftstall.core import Request
from driftstall.decisions.poison_subjects import PoisonSubjects
from driftstall.decisions.sends import ReplicaKind
from driftstall.gateway.admission import AdmittedRequest
from driftstall.gateway.exchange import UpstreamExchange
from driftstall.gateway.ingress import CallerRequest
from driftstall.gateway.model import Upstream


@dataclass(frozen=True, slots=True)
class ReplicaRef:
    """Identify a replica of a run's memory and the engine where the stream can resume."""

    upstream: Upstream
    copy_of: str
    kind: ReplicaKind = ReplicaKind.NAMED
    named_by: str = ""
    """The engine that assigned the name; empty if the name is derived from the request id."""


@dataclass(frozen=True, slots=True)
class Replica:
    """Describe a replica of a run: its location, time and size."""

    ref: ReplicaRef
    copied_at: float
    tokens: int
    """Tokens of the run that the replica contains."""


@dataclass(frozen=True, slots=True)
class FinalCopy:
    """Hold the result of the final copy (stop-and-copy) of a migration."""

    replica: Replica | None
    """The replica at which the run resumes, if its engine has reported one."""
    may_have_stopped: bool
    """Whether the final copy may have stopped the run; False if the engine rejected the copy."""


@dataclass(frozen=True, slots=True)
class BrokenRun:
    """Describe a run that was broken off neither by its caller nor by this instance."""

    request_id: str
    subjects: PoisonSubjects
    under_way: bool
    """Whether the run had produced events at this upstream for some time."""


@dataclass(slots=True)
class StreamRun:
    """Hold the state of one open stream on its current upstream."""

    call: CallerRequest
    admitted: AdmittedRequest
    request: Request
    """The request in the form that forecasts use."""
    upstream: Upstream
    backup: Upstream | None = None
    exchange: UpstreamExchange | None = None
    last_event_id: str = ""
    events: int = 0
    tokens: int = 0
    """Tokens delivered to the caller so far."""
    pending_final_copy: AsyncResult | None = None
    """Set once the final copy to another engine has begun; resolves to a FinalCopy."""
    final_copy_deadline: float | None = None
    """Deadline of the wait for the final copy's result; None until the wait begins."""
    resumed_from: ReplicaRef | None = None
    """The replica from which this run was resumed."""
    is_copying: bool = False
    """Whether a copy is in progress; an engine accepts one at a time per run."""
    replica_target: Upstream | None = None
    """The engine on which a replica is made, set from the first step on."""
    replica: Replica | None = None
    """The replica made of the run while it continues."""
    has_ended: bool = False
    is_resumed_elsewhere: bool = False
    """Whether the stream was resumed at another engine; otherwise it ended with this run."""
    moves: int = 0
    waited_s: float = 0.0
    """Time for which the relay has waited for the engine since the engine's first event."""
    generating_s: float | None = None
    """The part of waited_s up to the last event; None before the first event. Time spent on a
    slow caller is not counted, because all its events may have been produced within a moment
    before."""
    last_event_at: float = 0.0

    @property
    def request_id(self) -> str:
        """Return the request id given by the caller."""
        return self.admitted.metadata.request_id

    @property
    def held_tokens(self) -> int:
        """Return the engine memory that the run uses now, in tokens."""
        return self.admitted.metadata.input_tokens + self.tokens


@dataclass(slots=True)
class RunRegistry:
    """Registry of all open streams by request id."""

    _runs: dict[str, StreamRun] = field(default_factory=dict)

    @property
    def all(self) -> tuple[StreamRun, ...]:
        """Return all open streams."""
        return tuple(self._runs.values())

    def add(self, run: StreamRun) -> None:
        """Add a stream that is sent to an upstream; replaces its earlier run."""
        self._runs[run.request_id] = run

    def remove(self, run: StreamRun) -> None:
        """Remove a run that has ended, unless a later run of the stream has replaced it."""
        if self._runs.get(run.request_id) is run:
            del self._runs[run.request_id]

    def running_on(self, upstream_id: str) -> tuple[StreamRun, ...]:
        """Return the streams that run on an upstream."""
        return tuple(run for run in self._runs.values() if run.upstream.upstream_id == upstream_id)

    def __len__(self) -> int:
        """Return the number of open streams."""
        return len(self._runs)
