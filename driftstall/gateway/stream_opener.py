"""Open a stream: try upstreams until one accepts the request."""

from __future__ import annotations

from dataclasses import dataclass, field

from driftstall.const import CODE_NO_RUNNER, CODE_RUNNER_FAILED
from driftstall.core import Problem, Ran
from driftstall.exceptions import InstanceStopping, RequestQuarantined, UpstreamError
from driftstall.gateway.backoff_refusal import backoff_refusal
from driftstall.gateway.calls import FULL_RETRY_S, MAX_SENDS
from driftstall.gateway.outcomes import Outcome
from driftstall.gateway.runs import StreamRun
from driftstall.gateway.scheduling.placement import WAIT_FOR_ROOM_SHARE
from driftstall.gateway.scheduling.queue_messages import MemoryRefused
from driftstall.gateway.sending import OpenedResponse
from driftstall.gateway.stream_context import StreamContext
from driftstall.gateway.stream_resumer import StreamResumer


@dataclass(slots=True)
class _Attempts:
    """Record of the upstreams tried for one request."""

    avoid: set[str] = field(default_factory=set)
    denied_ids: list[str] = field(default_factory=list)
    """Upstreams whose rate limit gave the request no turn."""
    detail: str = "no upstream takes requests"


class StreamOpener:
    """Find an upstream that accepts one stream."""

    def __init__(self, context: StreamContext, resumer: StreamResumer) -> None:
        """Initialize with the stream's context and the resumer for broken runs."""
        self._context = context
        self._resumer = resumer

    def open(self) -> OpenedResponse | Problem:
        """Send the request until an upstream accepts it; return its response or a problem."""
        attempts, history = _Attempts(), self._context.history
        while history.can_restart and history.sends < MAX_SENDS:
            result = self._attempt(attempts)
            if result is not None:
                return result
        return self._build_problem(attempts)

    def _attempt(self, attempts: _Attempts) -> OpenedResponse | Problem | None:
        """Place the request and send it; return None if another upstream may be tried."""
        context = self._context
        if context.remaining_s() <= 0 or context.is_caller_disconnected:
            return context.timeout_problem()
        refusal = context.start_refusal()
        if refusal is not None:
            return refusal
        refusal = self._backoff_refusal()
        if refusal is not None:
            return refusal
        limits = context.state.rate_limiting
        ready = self._ready_ids(attempts.avoid)
        permit_wait_s = limits.permit_wait_s(ready, self._max_wait_s())
        denied_ids = limits.denied_upstreams(ready, permit_wait_s)
        if len(denied_ids) == len(ready) and (ready or attempts.denied_ids):
            service = context.admitted.service.name
            return limits.build_refusal(service, ready or attempts.denied_ids, context.request_id)
        run = context.placement.place(denied_ids.union(attempts.avoid), context.is_start_canceled)
        if isinstance(run, MemoryRefused):
            return self._build_memory_refusal(run)
        refusal = context.start_refusal()
        if refusal is not None:
            # The stream waited for its placement, and may be quarantined or too late by now.
            if run is not None:
                context.remove_run(run)
            return refusal
        if run is None:
            return self._build_problem(attempts)
        if context.history.has_arrived and not context.retry.try_reserve(run.upstream.service):
            return self._build_problem(attempts)
        engine_id = run.upstream.upstream_id
        if not limits.acquire_permit(
            engine_id, context.send_need(permit_wait_s), context.request_id
        ):
            context.retry.release()
            context.remove_run(run)
            attempts.avoid.add(engine_id)
            attempts.denied_ids.append(engine_id)
            return None
        return self._send(run, attempts)

    def _send(self, run: StreamRun, attempts: _Attempts) -> OpenedResponse | Problem | None:
        """Send the request to its upstream; return None if the upstream did not accept it."""
        context = self._context
        result = context.send(run)
        if isinstance(result, OpenedResponse):
            if not result.metadata.is_not_executed:
                return result
            attempts.detail = f"turned away with {result.head.status}"
            context.record_outcome(run, Outcome.FULL)
        elif result.sent:
            return self._resume_after_break(run, result)
        elif isinstance(result, (InstanceStopping, RequestQuarantined)):
            context.remove_run(run)
            return context.start_refusal()
        else:
            attempts.detail = str(result)
            if context.state.can_start_on(run.upstream, context.history.sent_to):
                context.record_outcome(run, Outcome.UNREACHABLE)
                context.state.on_upstream_suspected(run.upstream)
        context.remove_run(run)
        attempts.avoid.add(run.upstream.upstream_id)
        return None

    def _build_problem(self, attempts: _Attempts) -> Problem:
        """Return the problem for a request that no upstream accepts."""
        ran = self._context.history.ran
        return self._backoff_refusal() or Problem(
            CODE_NO_RUNNER, 503, attempts.detail, ran, FULL_RETRY_S
        )

    def _build_memory_refusal(self, refused: MemoryRefused) -> Problem:
        """Return the refusal of a request that can't start before its caller gives up."""
        detail = "no engine memory is expected to be free in time"
        ran = self._context.history.ran
        return Problem(CODE_NO_RUNNER, 503, detail, ran, refused.retry_after_s)

    def _backoff_refusal(self) -> Problem | None:
        """Return a refusal if nothing has run and all upstreams are in back-off, else None."""
        if self._context.history.ran is not Ran.NOT_RUN:
            return None
        return backoff_refusal(self._context.state, self._context.admitted)

    def _ready_ids(self, avoid: set[str]) -> list[str]:
        """Return the ids of ready upstreams outside avoid that are not in back-off."""
        ready = self._context.state.fleet.ready(self._context.admitted.service.name)
        return [
            upstream.upstream_id
            for upstream in ready
            if upstream.upstream_id not in avoid and not self._context.state.backoff_s(upstream)
        ]

    def _max_wait_s(self) -> float:
        """Return how long the stream can still wait for its turn at an upstream."""
        max_wait_s = self._context.admitted.route.target_s * WAIT_FOR_ROOM_SHARE
        until = self._context.admitted.started_at + min(
            self._context.admitted.verdict.wait_s, max_wait_s
        )
        return until - self._context.state.now()

    def _resume_after_break(self, run: StreamRun, error: UpstreamError) -> OpenedResponse | Problem:
        """Resume at a replica after a send without a valid response head."""
        self._context.handle_break(run, error)
        resumed = self._resumer.resume(run, str(error))
        if resumed is not None:
            return resumed
        if self._context.remaining_s() <= 0:
            return self._context.timeout_problem()
        detail = "no valid response came; the request may have run"
        return Problem(CODE_RUNNER_FAILED, 502, detail, self._context.history.ran)
