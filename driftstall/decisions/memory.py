"""Forecast an engine's memory as a sum over its open generations.

For each horizon, counted in tokens ahead, a generation either still holds its memory or has ended
and freed it. The sum of these has a mean and a variance; admission requires that mean + z standard
deviations stays within the memory at every horizon.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from statistics import NormalDist
from typing import Final

from driftstall.core import Request
from driftstall.decisions.lengths import HORIZONS, LengthModel


def quantile(overflow: float) -> float:
    """Return the number of standard deviations for a probability of overflow."""
    return NormalDist().inv_cdf(1.0 - overflow)


@dataclass(frozen=True, slots=True)
class MemoryForecast:
    """Hold a memory forecast: mean and variance in tokens, for each horizon."""

    means: tuple[float, ...]
    variances: tuple[float, ...]

    def plus(self, other: MemoryForecast) -> MemoryForecast:
        """Return the sum of both forecasts."""
        means = tuple([a + b for a, b in zip(self.means, other.means, strict=True)])
        variances = tuple([a + b for a, b in zip(self.variances, other.variances, strict=True)])
        return MemoryForecast(means, variances)

    def minus(self, other: MemoryForecast) -> MemoryForecast:
        """Return the forecast without the other part."""
        means = tuple([max(0.0, a - b) for a, b in zip(self.means, other.means, strict=True)])
        pairs = zip(self.variances, other.variances, strict=True)
        return MemoryForecast(means, tuple([max(0.0, a - b) for a, b in pairs]))

    def fits(self, other: MemoryForecast, deviations: float, limit: float) -> bool:
        """Return True if both together stay within a limit at every horizon."""
        for index in range(len(HORIZONS)):
            mean = self.means[index] + other.means[index]
            if mean > limit:
                return False
            variance = self.variances[index] + other.variances[index]
            if mean + deviations * math.sqrt(variance) > limit:
                return False
        return True

    def peak(self, deviations: float) -> float:
        """Return the highest mean plus this number of standard deviations."""
        pairs = zip(self.means, self.variances, strict=True)
        return max([mean + deviations * math.sqrt(var) for mean, var in pairs])


_STEPS: Final = tuple(enumerate(HORIZONS))
_NO_STEPS: Final = tuple((index, 0) for index in range(len(HORIZONS)))
ZERO_FORECAST: Final = MemoryForecast((0.0,) * len(HORIZONS), (0.0,) * len(HORIZONS))


def forecast_request(lengths: LengthModel, request: Request, produced: int) -> MemoryForecast:
    """Forecast the memory of one generation."""
    return forecast_requests(lengths, ((request, produced),))


def forecast_requests(
    lengths: LengthModel, generations: Iterable[tuple[Request, int]]
) -> MemoryForecast:
    """Forecast the memory of generations, each with the tokens it has produced."""
    means = [0.0] * len(HORIZONS)
    variances = [0.0] * len(HORIZONS)
    steps = _STEPS if lengths.grows else _NO_STEPS
    for request, produced in generations:
        memory_tokens_now = lengths.memory_tokens_now(request, produced)
        survival_probabilities = lengths.survival_probabilities(request, produced)
        for index, ahead in steps:
            chance = survival_probabilities[index]
            if chance > 0.0:
                tokens = memory_tokens_now + ahead
                means[index] += chance * tokens
                variances[index] += chance * (1.0 - chance) * tokens * tokens
    return MemoryForecast(tuple(means), tuple(variances))
