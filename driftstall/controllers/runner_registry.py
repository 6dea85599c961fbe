"""Registry of the runners of a group, with a forecast of each runner's memory use."""

from __future__ import annotations

from typing import Final

from driftstall.controllers.grant_state import OpenGrant, RunnerState
from driftstall.core import PrefixMark
from driftstall.decisions.lengths import LengthModel
from driftstall.decisions.memory import MemoryForecast, forecast_request, forecast_requests
from driftstall.decisions.retry_schedule import ServiceRate

REFRESH_INTERVAL_S: Final = 0.25
"""A tick refreshes the forecasts that are older than this."""
MAX_FORECAST_AGE_S: Final = 1.0
"""A forecast older than this is refreshed on use, even while a request is placed."""
HEADROOM_S: Final = 2.0
"""Lower ranks leave memory free for the first-rank requests expected within this time."""
MAX_HEADROOM_SHARE: Final = 0.15
"""Maximum headroom as a share of a runner's memory."""
INITIAL_FIRST_RANK_TOKENS: Final = 1_500.0
"""Assumed memory of a first-rank request before any has arrived, in tokens."""
LEARNING_RATE: Final = 0.02


class RunnerRegistry:
    """Keep the states of live and leaving runners, and forecast their memory use."""

    def __init__(self, lengths: LengthModel, deviations: float) -> None:
        """Initialize without runners.

        deviations: safety margin of a forecast's peak above its mean, in standard deviations.
        """
        self._lengths = lengths
        self.deviations = deviations
        self.runners: dict[str, RunnerState] = {}
        self._leaving: dict[str, RunnerState] = {}
        self._first_rank_arrivals = ServiceRate()
        self._first_rank_tokens = INITIAL_FIRST_RANK_TOKENS

    def add_runner(self, runner_id: str, memory: int, zone: str, now: float) -> None:
        """Add a runner; one that was leaving comes back with its open grants."""
        if runner_id not in self.runners:
            new = RunnerState(runner_id, memory, zone, pending_at=now)
            self.runners[runner_id] = self._leaving.pop(runner_id, new)

    def retire_runner(self, runner_id: str) -> RunnerState:
        """Exclude a leaving runner from placement and return it; its open grants stay counted."""
        runner = self._leaving[runner_id] = self.runners.pop(runner_id)
        return runner

    def load(self, now: float) -> float:
        """Return the forecast share of the group's memory in use, from 0 to 1."""
        memory = sum(runner.memory for runner in self.runners.values())
        if not memory:
            return 1.0
        used = sum(self.current_forecast(runner, now).means[0] for runner in self.runners.values())
        return min(1.0, used / memory)

    def record_first_rank_arrival(self, cost: float, now: float) -> None:
        """Update the arrival rate and the mean memory of first-rank requests."""
        self._first_rank_arrivals.add(1.0, now)
        self._first_rank_tokens += LEARNING_RATE * (cost - self._first_rank_tokens)

    def headroom(self, rank: int, now: float) -> float:
        """Return the memory that a rank must leave free on each runner, in tokens."""
        if rank == 0 or not self.runners:
            return 0.0
        expected = self._first_rank_arrivals.value(now) * HEADROOM_S * self._first_rank_tokens
        smallest = min(runner.memory for runner in self.runners.values())
        return min(expected / len(self.runners), MAX_HEADROOM_SHARE * smallest)

    def current_forecast(self, runner: RunnerState, now: float) -> MemoryForecast:
        """Return a runner's memory forecast; recompute it if ticks have not kept it fresh."""
        if now - runner.forecast_at >= MAX_FORECAST_AGE_S:
            self._refresh(runner, now)
        return runner.forecast

    def has_room(
        self, runner: RunnerState, addition: MemoryForecast, peak: float, limit: float, now: float
    ) -> bool:
        """Return True if a generation with a given peak fits below a memory limit.

        An empty runner accepts any request: one larger than its memory could never run
        otherwise.
        """
        forecast = self.current_forecast(runner, now)
        # The peak of a sum is at most the sum of the peaks, which is cheap to compute.
        if not runner.grants or runner.peak + peak <= limit:
            return True
        return forecast.fits(addition, self.deviations, limit)

    def refresh_due(self, now: float) -> None:
        """Refresh the forecasts that are due."""
        for runner in self.runners.values():
            if now - runner.forecast_at >= REFRESH_INTERVAL_S:
                self._refresh(runner, now)

    def add(
        self, runner: RunnerState, grant: OpenGrant, addition: MemoryForecast, now: float
    ) -> None:
        """Add an open grant and its memory forecast to a runner."""
        forecast = self.current_forecast(runner, now)
        runner.add(grant)
        self._set_forecast(runner, forecast.plus(addition))

    def remove(self, grant: OpenGrant, cached: tuple[PrefixMark, ...]) -> None:
        """Remove a grant; cached is the prefix that its runner caches after a complete output."""
        runner = self._runner_of(grant)
        if runner is None or not runner.remove(grant):
            return
        if not grant.paused:
            self._set_forecast(runner, runner.forecast.minus(self._forecast_grant(grant)))
        runner.prefixes.store(cached)

    def pause(self, grant: OpenGrant, now: float) -> None:
        """Release the memory of a generation that is preempted."""
        grant.paused = True
        grant.preemptions += 1
        runner = self._runner_of(grant)
        if runner is not None:
            runner.last_preemption_at = now
            self._set_forecast(runner, runner.forecast.minus(self._forecast_grant(grant)))

    def resume(self, grant: OpenGrant, now: float) -> None:
        """Add the memory of a resumed generation, and its repeated prefill."""
        grant.paused = False
        grant.running_since = now
        runner = self._runner_of(grant)
        if runner is not None:
            self._set_forecast(runner, runner.forecast.plus(self._forecast_grant(grant)))
            runner.pending_prefill = runner.decay_pending_prefill(now) + grant.request.input_tokens

    def _runner_of(self, grant: OpenGrant) -> RunnerState | None:
        """Return the live or leaving runner of a grant, or None."""
        return self.runners.get(grant.runner_id) or self._leaving.get(grant.runner_id)

    def _forecast_grant(self, grant: OpenGrant) -> MemoryForecast:
        """Forecast the memory of one grant."""
        return forecast_request(self._lengths, grant.request, grant.produced)

    def _set_forecast(self, runner: RunnerState, forecast: MemoryForecast) -> None:
        """Store a runner's forecast and its peak, which is read most often."""
        runner.forecast = forecast
        runner.peak = forecast.peak(self.deviations)

    def _refresh(self, runner: RunnerState, now: float) -> None:
        """Recompute a runner's memory forecast and shrink its prefix cache model to fit."""
        running = (grant for grant in runner.grants.values() if not grant.paused)
        generations = ((grant.request, grant.produced) for grant in running)
        self._set_forecast(runner, forecast_requests(self._lengths, generations))
        runner.forecast_at = now
        runner.prefixes.shrink(runner.memory - runner.forecast.means[0] + runner.cached_tokens)
