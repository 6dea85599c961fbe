"""State of one stream while it is served: its send history, current run and caller."""

from __future__ import annotations

from driftstall.const import CODE_DEADLINE
from driftstall.core import Problem
from driftstall.decisions.permits import SendNeed
from driftstall.decisions.poison_evidence import UNDER_WAY_S
from driftstall.decisions.sends import SendHistory
from driftstall.exceptions import InvalidResponse, UpstreamError
from driftstall.gateway.admission import AdmittedRequest, build_request
from driftstall.gateway.drain import can_finish, stop_refusal, stop_timeout_problem
from driftstall.gateway.ingress import CallerRequest
from driftstall.gateway.moves import Mover
from driftstall.gateway.outcomes import Outcome
from driftstall.gateway.poison.crash_refusal import crash_refusal
from driftstall.gateway.replica_finder import ReplicaFinder
from driftstall.gateway.retry_budget.pending_retry import PendingRetry
from driftstall.gateway.runs import BrokenRun, StreamRun
from driftstall.gateway.scheduling.placement import PlacementChooser
from driftstall.gateway.sending import OpenedResponse, StreamSender
from driftstall.gateway.state import GatewayState


class StreamContext:
    """State and helpers that the opener, the relay and the resumer of one stream share."""

    def __init__(
        self, state: GatewayState, mover: Mover, call: CallerRequest, admitted: AdmittedRequest
    ) -> None:
        """Initialize with the shared state, the mover, and the admitted request."""
        self.state = state
        self.mover = mover
        self.admitted = admitted
        self.request = build_request(admitted)
        self.request_id = admitted.metadata.request_id
        self.placement = PlacementChooser(state, call, admitted, self.request)
        self.history = SendHistory(admitted.route.max_runs)
        self.retry = PendingRetry(state.retries, self.request_id)
        self.sender = StreamSender(
            state,
            call,
            admitted,
            self.history,
            self.retry,
            is_caller_disconnected=lambda: self.is_caller_disconnected,
            remaining_s=self.remaining_s,
        )
        self.replicas = ReplicaFinder(state, mover, self.history)
        self.is_caller_disconnected = False
        self.has_responded = False
        """Whether the head of the response has been sent to the caller."""
        self.resume_until = float("inf")
        """Time by which a resumed run has to begin, if the stream may also end without it."""
        self.run: StreamRun | None = None

    @property
    def caller_last_event_id(self) -> str:
        """Return the event after which the caller resumes a stream; empty for a new one."""
        return self.admitted.metadata.last_event_id if self.admitted.route.is_resumable else ""

    def handle_disconnect(self) -> None:
        """Abandon the stream: closing the connection makes its upstream stop."""
        self.is_caller_disconnected = True
        run = self.run
        if run is not None and run.exchange is not None:
            run.exchange.close()

    def send(self, run: StreamRun) -> OpenedResponse | UpstreamError:
        """Send the request to the run's upstream and make this the stream's current run.

        A disconnect of the caller closes the exchange of the current run.
        """
        self.run = run
        try:
            result = self.sender.send(run)
        finally:
            self.retry.release()
        if isinstance(result, InvalidResponse):
            self.record_outcome(run, Outcome.INVALID)
        return result

    def remaining_s(self) -> float:
        """Return the seconds that remain until the request's deadline.

        Until the response has begun, a planned stop ends the request earlier. Afterwards a whole
        error response is no longer possible, so the stream continues until the process is killed.
        """
        if self.has_responded:
            return min(self.admitted.ends_at, self.resume_until) - self.state.now()
        return self.state.unanswered_remaining_s(self.admitted.ends_at)

    def start_refusal(self) -> Problem | None:
        """Return a problem if the request must not be sent to start a run, else None."""
        return stop_refusal(self.state, self.admitted) or self.refusal()

    def is_start_canceled(self) -> bool:
        """Return True if a request that waits to be sent would no longer be served."""
        return self.is_caller_disconnected or not can_finish(self.state, self.admitted)

    def timeout_problem(self) -> Problem:
        """Return the problem of a request whose time is over."""
        ran = self.history.ran
        return stop_timeout_problem(self.state, self.admitted, ran) or Problem(
            CODE_DEADLINE, 504, "the time is over", ran
        )

    def refusal(self) -> Problem | None:
        """Return a problem if the request is quarantined as poison, else None."""
        return crash_refusal(self.state, self.admitted, self.history.ran)

    def send_need(self, max_wait_s: float, *, under_way: bool = False) -> SendNeed:
        """Return the requirements of a send to an upstream that signals a rate limit."""
        return SendNeed(max_wait_s, self.admitted.verdict.rank, under_way)

    def handle_break(self, run: StreamRun, error: Exception | None = None) -> None:
        """Report a broken run, so that the crash detector checks its upstream.

        A run that was broken off by its caller or by a final copy is not reported.
        """
        if self.is_caller_disconnected or run.pending_final_copy is not None:
            return
        if isinstance(error, InvalidResponse):
            # Its upstream has not crashed: it has sent more than a broken connection does.
            return
        if isinstance(error, TimeoutError):
            # A silent upstream has not crashed; it may be leaving, or cut off by a partition.
            self.state.on_upstream_suspected(run.upstream)
            return
        broken = BrokenRun(run.request_id, self.admitted.subjects, self.is_under_way(run))
        self.state.on_run_broken(run.upstream, broken)

    @staticmethod
    def is_under_way(run: StreamRun) -> bool:
        """Return True if a run has produced events at its upstream for some time."""
        return run.generating_s is not None and run.generating_s >= UNDER_WAY_S

    def record_outcome(self, run: StreamRun, outcome: Outcome) -> None:
        """Record the upstream's outcome, with no duration: a stream's does not reflect health."""
        self.state.record_outcome(run.upstream.upstream_id, run.upstream.service, outcome, 0.0)

    def remove_run(self, run: StreamRun) -> None:
        """Close a run's exchange and remove its load."""
        if run.exchange is not None:
            run.exchange.close()
        self.state.runs.remove(run)
        self.state.loads.remove_load(run.request_id)
        self.state.loads_changed.set()
        self.state.runs_changed.set()

    def finish(self) -> None:
        """Release everything that the stream holds: reservation, exchange, replica and load."""
        self.retry.release()
        run = self.run
        if run is None:
            return
        run.has_ended = True
        if run.exchange is not None:
            run.exchange.close()
        self.mover.drop_replica(run)
        self.remove_run(run)
