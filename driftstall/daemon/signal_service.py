"""Handle what runners signal about themselves: one place for all of their responses."""

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
    """Dispatch signals to the parts that decide by them, and hold back-offs."""

    def __init__(self, hub: Hub, fleet: FleetService, limits: RateLimiter) -> None:
        """Start with no back-off."""
        self._hub = hub
        self._fleet = fleet
        self._limits = limits
        self._backoff = UpstreamBackoff()
        self._staggered_retries = StaggeredRetries()

    def backoff_s(self, runner_id: str) -> float:
        """Return for how long a runner wants no requests of this instance; zero for none."""
        return self._backoff.remaining_s(runner_id, self._hub.now())

    @property
    def backing_off(self) -> frozenset[str]:
        """Return the runners that want no requests of this instance now."""
        return self._backoff.active(self._hub.now())

    def handle_response(self, runner_id: str, signals: Iterable[Signal], sent_at: float) -> None:
        """Handle the signals of one response to a request that was sent then."""
        for signal in signals:
            self._handle(signal, runner_id, sent_at)

    def build_model_refusal(self, model: str, request_id: str) -> Problem | None:
        """Return what to answer where all engines of a model back off; None where one does not."""
        engines = [
            one
            for one in self._fleet.runners.values()
            if one.model == model and self._fleet.can_get_work(one.runner_id)
        ]
        return self.build_refusal(model, engines, request_id)

    def build_refusal(
        self, name: str, runners: Iterable[Runner], request_id: str
    ) -> Problem | None:
        """Return what to answer where all runners back off; None where one does not."""
        left = [self.backoff_s(one.runner_id) for one in runners]
        if not left or not min(left):
            return None
        now = self._hub.now()
        retry_s = self._staggered_retries.next_s(name, min(left), CALLS_PER_SLOT_S, now)
        self._hub.stats.backoff_refused += 1
        log_event(
            PREFIX_ROUTING,
            f"Request {request_id} is refused: all runners back off",
            service=name,
            first_s=round(min(left), 2),
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
        left_s = self._backoff.request(runner_id, signal.for_s, self._hub.now())
        log_event(
            PREFIX_ROUTING,
            f"Runner {runner_id} requests a back-off",
            for_s=signal.for_s,
            left_s=round(left_s, 3),
        )

    @_handle.register
    def _(self, signal: UnreadableSignal, runner_id: str, sent_at: float) -> None:
        log_event(
            PREFIX_ROUTING,
            f"Runner {runner_id} sends a signal that can't be decoded",
            header=signal.name,
            value=signal.value,
        )
