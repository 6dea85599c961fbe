"""Handle the signals in runners' responses: rate limits, leaving and back-off."""

from __future__ import annotations

from collections.abc import Iterable
from functools import singledispatchmethod

from driftstall.const import CODE_NO_RUNNER, PREFIX_ROUTING
from driftstall.core import Problem, Ran, Runner
from driftstall.daemon.fleet_service import FleetService
from driftstall.daemon.hub import Hub
from driftstall.decisions.upstream_backoff import (
    CALLS_PER_SLOT_S,
    StaggeredRetries,
    UpstreamBackoff,
)
from driftstall.decisions.upstream_signals import (
    BackoffSignal,
    LeavingSignal,
    RateLimitSignal,
    Signal,
    UnreadableSignal,
)
from driftstall.helpers.log import log_event
from driftstall.helpers.rate_limiting import RateLimiter


class SignalService:
    """Dispatch signals to the services that use them, and track back-offs."""

    def __init__(self, hub: Hub, fleet: FleetService, limits: RateLimiter) -> None:
        """Initialize without back-offs."""
        self._hub = hub
        self._fleet = fleet
        self._limits = limits
        self._backoff = UpstreamBackoff()
        self._staggered_retries = StaggeredRetries()

    def backoff_s(self, runner_id: str) -> float:
        """Return the remaining back-off of a runner in seconds, zero if there is none."""
        return self._backoff.remaining_s(runner_id, self._hub.now())

    @property
    def backing_off(self) -> frozenset[str]:
        """Return the ids of the runners in back-off."""
        return self._backoff.active(self._hub.now())

    def handle_response(self, runner_id: str, signals: Iterable[Signal], sent_at: float) -> None:
        """Handle the signals of the response to a request sent at sent_at."""
        for signal in signals:
            self._handle(signal, runner_id, sent_at)

    def build_model_refusal(self, model: str, request_id: str) -> Problem | None:
        """Return a refusal with a Retry-After if all engines of a model are in back-off."""
        engines = [
            runner
            for runner in self._fleet.runners.values()
            if runner.model == model and self._fleet.can_get_work(runner.runner_id)
        ]
        return self.build_refusal(model, engines, request_id)

    def build_refusal(
        self, name: str, runners: Iterable[Runner], request_id: str
    ) -> Problem | None:
        """Return a refusal with a Retry-After if all runners are in back-off, else None."""
        remaining = [self.backoff_s(runner.runner_id) for runner in runners]
        if not remaining or not min(remaining):
            return None
        now = self._hub.now()
        retry_s = self._staggered_retries.next_s(name, min(remaining), CALLS_PER_SLOT_S, now)
        self._hub.stats.backoff_refused += 1
        log_event(
            PREFIX_ROUTING,
            f"Request {request_id} refused: all runners are in back-off",
            service=name,
            first_s=round(min(remaining), 2),
            retry_s=round(retry_s, 2),
        )
        detail = "all runners have requested a back-off"
        return Problem(CODE_NO_RUNNER, 503, detail, Ran.NOT_RUN, retry_s)

    @singledispatchmethod
    def _handle(self, signal: Signal, runner_id: str, sent_at: float) -> None:
        """Handle one signal."""
        raise TypeError(f"no handler for {type(signal).__name__}")

    @_handle.register
    def _(self, signal: RateLimitSignal, runner_id: str, sent_at: float) -> None:
        self._limits.record_response(runner_id, signal.per_s, sent_at)

    @_handle.register
    def _(self, signal: LeavingSignal, runner_id: str, sent_at: float) -> None:
        self._fleet.handle_leaving_signal(runner_id)

    @_handle.register
    def _(self, signal: BackoffSignal, runner_id: str, sent_at: float) -> None:
        remaining_s = self._backoff.request(runner_id, signal.for_s, self._hub.now())
        log_event(
            PREFIX_ROUTING,
            f"Runner {runner_id} requested a back-off",
            for_s=signal.for_s,
            left_s=round(remaining_s, 3),
        )

    @_handle.register
    def _(self, signal: UnreadableSignal, runner_id: str, sent_at: float) -> None:
        log_event(
            PREFIX_ROUTING,
            f"Runner {runner_id} sent a signal that cannot be decoded",
            header=signal.name,
            value=signal.value,
        )
