"""Limit the requests sent to a cold upstream.

For some seconds after its start, or after its zone was empty for a while, an upstream can serve
only a limited rate of requests and fails well above this rate. A cold upstream is also the
emptiest one, so all instances choose it at the same moment, most of all when a whole zone comes
back during a burst. An upstream may turn cold at any moment, and the platform reports this a
second or two later.

Each instance has an equal share of the rate, regardless of which instances it hears from, so that
the total holds during a network partition. In a large fleet a share is far below one request a
second. Credit that accumulates while nothing is sent would let all instances send at once.
Therefore a share is an occasional slot, at a random phase, that lapses unless it is used within
SLOT_S. Placers, which place streams for a whole zone, share half of the rate equally by zone; the
other instances share the other half.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

SLOT_S: Final = 0.3
"""How long a slot may be used. The slots of 1.3 s can be used within one second, which costs a
third of the rate."""
INSTANCES_SHARE: Final = 0.8
"""Part of the rate that instances use if no placer places streams for them; the remainder covers
requests that were sent before the upstream was known to be cold, and streams that can resume
nowhere else."""
PLACERS_SHARE: Final = 0.4
"""Part of the rate that the placers of zones use; instances that can't ask a placer have the same
part."""
ASSUMED_COLD_S: Final = 2.5
"""How long an upstream that may be cold is assumed to be cold before it has reported so. Its report
takes a heartbeat (1.2 s), the platform's delay (0.8 s) and a hop between instances."""
QUIET_START_S: Final = 1.5
"""How long a new instance sends nothing to cold upstreams: it does not know yet how many instances
share the rate. Peers answer within half a second, collectors within one."""


@dataclass(frozen=True, slots=True)
class ColdPart:
    """Describe how often one instance or placer may send to a cold upstream."""

    per_s: float
    """Requests a second; zero for none at all."""

    @classmethod
    def of_instance(cls, rate: float, instances: int, *, placed: bool) -> ColdPart:
        """Return an instance's part; `placed` is True if placers place streams for zones."""
        share = PLACERS_SHARE if placed else INSTANCES_SHARE
        return cls(share * rate / max(1, instances))

    @classmethod
    def of_placer(cls, rate: float, zones: int) -> ColdPart:
        """Return the part of a placer of a whole zone."""
        return cls(PLACERS_SHARE * rate / max(1, zones))


class ColdStarts:
    """Track until when upstreams are cold."""

    def __init__(self) -> None:
        """Initialize without cold upstreams."""
        self._until: dict[str, float] = {}
        self._assumed_until: dict[str, float] = {}

    def record_cold(self, upstream_id: str, cold_s: float, now: float) -> None:
        """Record for how long an upstream reports to be cold."""
        self._until[upstream_id] = now + cold_s

    def assume(self, upstream_id: str, for_s: float, now: float) -> None:
        """Assume an upstream to be cold; its own report does not shorten this."""
        before = self._assumed_until.get(upstream_id, now)
        self._assumed_until[upstream_id] = max(before, now + for_s)

    def discard_assumed(self, upstream_ids: Iterable[str]) -> None:
        """Discard what was assumed of upstreams; what they report themselves stays."""
        for upstream_id in upstream_ids:
            self._assumed_until.pop(upstream_id, None)

    def remaining_s(self, upstream_id: str, now: float) -> float:
        """Return for how long an upstream is still cold; zero if it is not."""
        reported = self._until.get(upstream_id, now)
        assumed = self._assumed_until.get(upstream_id, now)
        return max(0.0, reported - now, assumed - now)

    def forget_ended(self, now: float) -> None:
        """Forget upstreams that are no longer cold."""
        for times in (self._until, self._assumed_until):
            for upstream_id in [
                upstream_id for upstream_id, until in times.items() if until <= now
            ]:
                del times[upstream_id]


class ColdSlots:
    """Hold the slots of one instance or placer for cold upstreams."""

    def __init__(self, source: random.Random) -> None:
        """Initialize with a random source for the phases."""
        self._source = source
        self._next_at: dict[str, float] = {}

    def wait_s(self, upstream_id: str, part: ColdPart, now: float) -> float:
        """Return the seconds to wait for a slot; zero where there is one now."""
        if part.per_s <= 0:
            return float("inf")
        period_s = 1 / part.per_s
        next_at = self._next_at.get(upstream_id)
        if next_at is None or now - next_at > period_s:
            # Slots that were not used, or passed while the upstream was not cold, are lost.
            next_at = now + period_s * self._source.random()
        elif now - next_at > SLOT_S:
            next_at += period_s
        self._next_at[upstream_id] = next_at
        return max(0.0, next_at - now)

    def take(self, upstream_id: str, part: ColdPart) -> None:
        """Use the current slot."""
        next_at = self._next_at.get(upstream_id)
        if next_at is not None and part.per_s > 0:
            self._next_at[upstream_id] = next_at + 1 / part.per_s

    def keep_only(self, upstream_ids: set[str]) -> None:
        """Forget removed upstreams."""
        for upstream_id in [known_id for known_id in self._next_at if known_id not in upstream_ids]:
            del self._next_at[upstream_id]
