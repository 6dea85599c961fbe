"""Forecast how long an output will still grow, from censored observations.

Each class of requests keeps a decayed hazard per logarithmic length bucket. A running generation
counts as exposed in every bucket it has entered, so it is a censored observation and long outputs
that have not ended yet are taken into account. The hazards of a class with little history are
smoothed towards those of its parent: workspace, then kind, then all.
"""

from __future__ import annotations

import math
from typing import Final

GROWTH: Final = 1.3
"""Ratio between the edges of neighbouring buckets."""
BUCKETS: Final = 44
"""The buckets reach to about 100,000 tokens."""
PRIOR_HAZARD: Final = 0.06
"""Probability of an end within a bucket without any observation."""
PARENT_WEIGHT: Final = 12.0
"""Weight of the parent's hazard, in observations."""
DECAY: Final = 0.998
"""Weight lost per finished output; the effective history is about 500 outputs."""
POSITIONS_PER_BUCKET: Final = 4
"""Positions in each bucket for which survival probabilities are cached."""
RENORMALIZE_AT: Final = 1e6
REBUILD_AFTER_CHANGES: Final = 16
"""Finished outputs after which the survival table is rebuilt."""
_LOG_GROWTH: Final = math.log(GROWTH)
EDGES: Final = tuple(GROWTH**index for index in range(BUCKETS + 1))


def bucket_of(tokens: float) -> int:
    """Return the bucket that holds a length in tokens."""
    if tokens <= 1:
        return 0
    return min(BUCKETS - 1, int(math.log(tokens) / _LOG_GROWTH))


class Survival:
    """Estimate the probability that an output outlives a length."""

    def __init__(self, parent: Survival | None = None) -> None:
        """Initialize without observations; the parent's hazards are used instead."""
        self._parent = parent
        self._ended = [0.0] * BUCKETS
        self._exposed = [0.0] * BUCKETS
        self._weight = 1.0
        self._changes = REBUILD_AFTER_CHANGES
        self._table = [1.0] * (BUCKETS + 1)
        self._hazards = [PRIOR_HAZARD] * BUCKETS
        self._means: dict[int, float] = {}
        self._rows: dict[int, tuple[float, ...]] = {}

    def enter(self, first: int, last: int) -> None:
        """Count a running output as exposed in the buckets first to last."""
        for bucket in range(first, last + 1):
            self._exposed[bucket] += self._weight
        if self._parent is not None:
            self._parent.enter(first, last)

    def finish(self, tokens: int) -> None:
        """Count an output that ended; its buckets were entered before."""
        self._ended[bucket_of(tokens)] += self._weight
        self._weight /= DECAY
        self._changes += 1
        if self._weight > RENORMALIZE_AT:
            self._renormalize()
        if self._parent is not None:
            self._parent.finish(tokens)

    def _renormalize(self) -> None:
        """Scale all weights down so that they stay finite."""
        scale = 1.0 / self._weight
        self._ended = [value * scale for value in self._ended]
        self._exposed = [value * scale for value in self._exposed]
        self._weight = 1.0

    def _refresh(self) -> None:
        """Rebuild the survival table after enough changes."""
        if self._changes < REBUILD_AFTER_CHANGES:
            return
        self._changes = 0
        self._means.clear()
        self._rows.clear()
        parent = self._parent.hazards() if self._parent else [PRIOR_HAZARD] * BUCKETS
        parent_weight = PARENT_WEIGHT * self._weight
        alive = 1.0
        for bucket in range(BUCKETS):
            ended = self._ended[bucket] + parent_weight * parent[bucket]
            hazard = min(1.0, ended / (self._exposed[bucket] + parent_weight))
            self._hazards[bucket] = hazard
            self._table[bucket] = alive
            alive *= 1.0 - hazard
        self._table[BUCKETS] = alive

    def hazards(self) -> list[float]:
        """Return the probability of an end within each bucket, once it is entered."""
        self._refresh()
        return self._hazards

    def survival_beyond(self, tokens: float) -> float:
        """Return the probability that an output is longer than a length."""
        self._refresh()
        if tokens <= 1:
            return 1.0
        position = math.log(tokens) / _LOG_GROWTH
        bucket = int(position)
        if bucket >= BUCKETS:
            return self._table[BUCKETS]
        share = position - bucket
        return self._table[bucket] * (1 - share) + self._table[bucket + 1] * share

    def survival_probability(self, produced: int, ahead: int, cap: int) -> float:
        """Return the probability of still running after ahead more tokens."""
        if produced + ahead >= cap:
            return 0.0
        alive = self.survival_beyond(produced)
        if alive <= 1e-9:
            return 0.0
        return self.survival_beyond(produced + ahead) / alive

    def mean(self, cap: int) -> float:
        """Return the mean length in tokens of a new output under a cap."""
        self._refresh()
        known = self._means.get(cap)
        if known is None:
            known = self._means[cap] = self._mean(cap)
        return known

    def survival_probabilities(self, produced: int, horizons: tuple[int, ...]) -> tuple[float, ...]:
        """Return the probability of still running at each horizon; lengths are rounded slightly."""
        self._refresh()
        place = int(math.log(produced) / _LOG_GROWTH * POSITIONS_PER_BUCKET) if produced > 1 else 0
        row = self._rows.get(place)
        if row is None:
            rounded = GROWTH ** (place / POSITIONS_PER_BUCKET)
            alive = max(1e-9, self.survival_beyond(rounded))
            row = tuple([self.survival_beyond(rounded + ahead) / alive for ahead in horizons])
            self._rows[place] = row
        return row

    def _mean(self, cap: int) -> float:
        """Compute the mean length under a cap."""
        total = 0.0
        for bucket in range(BUCKETS):
            low, high = EDGES[bucket], EDGES[bucket + 1]
            if low >= cap:
                break
            width = min(high, cap) - low
            total += width * (self._table[bucket] + self._table[bucket + 1]) / 2
        return max(1.0, total)
