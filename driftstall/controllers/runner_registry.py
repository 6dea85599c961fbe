"""Keep the runners of a group with their memory forecasts."""

from __future__ import annotations

from typing import Final

from driftstall.controllers.grant_state import OpenGrant, RunnerState
from driftstall.core import PrefixMark
from driftstall.decisions.lengths import LengthModel
from driftstall.decisions.memory import Hold, hold_of, total
from driftstall.decisions.retry_schedule import ServiceRate

REFRESH_INTERVAL_S: Final = 0.25
"""Ticks renew a runner's forecast this often."""
MAX_FORECAST_AGE_S: Final = 1.0
"""An older forecast is renewed even within a decision."""
HEADROOM_S: Final = 2.0
"""Seconds of first-rank arrivals for which lower ranks leave room."""
MAX_HEADROOM_SHARE: Final = 0.15
"""Share of a runner's memory that headroom takes at most."""
INITIAL_FIRST_RANK_TOKENS: Final = 1_500.0
"""Tokens that a first-rank request is taken to hold before any was seen."""
LEARNING_RATE: Final = 0.02


class RunnerRegistry:
    """Hold the runners' states and forecast their memory."""

    def __init__(self, lengths: LengthModel, deviations: float) -> None:
        """Start without runners.

        deviations: standard deviations that a forecast's peak stands above its mean.
        """
        self._lengths = lengths
        self.deviations = deviations
        self.runners: dict[str, RunnerState] = {}
        self._leaving: dict[str, RunnerState] = {}
        self._first_rank_arrivals = ServiceRate()
        self._first_rank_tokens = INITIAL_FIRST_RANK_TOKENS

    def add_runner(self, runner_id: str, memory: int, zone: str, now: float) -> None:
        """Take a runner in, or back with what still runs there."""
        if runner_id not in self.runners:
            fresh = RunnerState(runner_id, memory, zone, pending_at=now)
            self.runners[runner_id] = self._leaving.pop(runner_id, fresh)

    def retire_runner(self, runner_id: str) -> RunnerState:
        """Give a runner no new work; what is open there is still counted."""
        runner = self._leaving[runner_id] = self.runners.pop(runner_id)
        return runner

    def load(self, now: float) -> float:
        """Return the forecast share of memory in use, from 0 to 1."""
        memory = sum(one.memory for one in self.runners.values())
        if not memory:
            return 1.0
        used = sum(self.hold(one, now).means[0] for one in self.runners.values())
        return min(1.0, used / memory)

    def record_first_rank_arrival(self, cost: float, now: float) -> None:
        """Learn how much memory the first rank asks for."""
        self._first_rank_arrivals.add(1.0, now)
        self._first_rank_tokens += LEARNING_RATE * (cost - self._first_rank_tokens)

    def headroom(self, rank: int, now: float) -> float:
        """Return the memory that a rank leaves free on each runner, in tokens."""
        if rank == 0 or not self.runners:
            return 0.0
        expected = self._first_rank_arrivals.value(now) * HEADROOM_S * self._first_rank_tokens
        least = min(one.memory for one in self.runners.values())
        return min(expected / len(self.runners), MAX_HEADROOM_SHARE * least)

    def hold(self, runner: RunnerState, now: float) -> Hold:
        """Return a runner's memory forecast; ticks keep it fresh, not decisions."""
        if now - runner.forecast_at >= MAX_FORECAST_AGE_S:
            self._refresh(runner, now)
        return runner.hold

    def has_room(
        self, runner: RunnerState, addition: Hold, peak: float, limit: float, now: float
    ) -> bool:
        """Tell whether an addition, whose peak is known, fits under a limit.

        An empty runner takes anything: else what is larger than it could never run.
        """
        hold = self.hold(runner, now)
        # The peak of a sum is at most the sum of the peaks, which is quick to see.
        if not runner.grants or runner.peak + peak <= limit:
            return True
        return hold.fits(addition, self.deviations, limit)

    def refresh_due(self, now: float) -> None:
        """Renew the forecasts that are old enough."""
        for runner in self.runners.values():
            if now - runner.forecast_at >= REFRESH_INTERVAL_S:
                self._refresh(runner, now)

    def add(self, runner: RunnerState, grant: OpenGrant, addition: Hold, now: float) -> None:
        """Count an open grant and what it is forecast to hold."""
        hold = self.hold(runner, now)
        runner.add(grant)
        self._set_hold(runner, hold.plus(addition))

    def remove(self, grant: OpenGrant, cached: tuple[PrefixMark, ...]) -> None:
        """Count a grant out; its engine now caches a prefix, if it ended by itself."""
        runner = self._runner_of(grant)
        if runner is None or not runner.remove(grant):
            return
        if not grant.paused:
            self._set_hold(runner, runner.hold.minus(self._hold_of(grant)))
        runner.prefixes.store(cached)

    def pause(self, grant: OpenGrant, now: float) -> None:
        """Count out the memory of a generation that yields."""
        grant.paused = True
        grant.yields += 1
        runner = self._runner_of(grant)
        if runner is not None:
            runner.last_yield_at = now
            self._set_hold(runner, runner.hold.minus(self._hold_of(grant)))

    def resume(self, grant: OpenGrant, now: float) -> None:
        """Count in the memory of a generation that goes on, and its prefill."""
        grant.paused = False
        grant.running_since = now
        runner = self._runner_of(grant)
        if runner is not None:
            self._set_hold(runner, runner.hold.plus(self._hold_of(grant)))
            runner.pending_prefill = runner.decay_pending_prefill(now) + grant.request.input_tokens

    def _runner_of(self, grant: OpenGrant) -> RunnerState | None:
        """Return a grant's runner, live or leaving."""
        return self.runners.get(grant.runner_id) or self._leaving.get(grant.runner_id)

    def _hold_of(self, grant: OpenGrant) -> Hold:
        """Forecast what one grant holds."""
        return hold_of(self._lengths, grant.request, grant.produced)

    def _set_hold(self, runner: RunnerState, hold: Hold) -> None:
        """Store a runner's forecast with its peak, which is asked for most."""
        runner.hold = hold
        runner.peak = hold.peak(self.deviations)

    def _refresh(self, runner: RunnerState, now: float) -> None:
        """Forecast a runner's memory anew."""
        running = (one for one in runner.grants.values() if not one.paused)
        generations = ((one.request, one.produced) for one in running)
        self._set_hold(runner, total(self._lengths, generations))
        runner.forecast_at = now
        runner.prefixes.shrink(runner.memory - runner.hold.means[0] + runner.cached_tokens)
