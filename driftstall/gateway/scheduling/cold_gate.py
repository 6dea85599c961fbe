"""Rate-limit requests to cold upstreams (see decisions/cold_starts).

Each sender, an instance or the placer of a zone, gets a part of the rate that a cold upstream can
serve, and spaces its requests to that upstream by its part.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from driftstall.decisions.cold_starts import ColdPart, ColdSlots, ColdStarts
from driftstall.gateway.model import Upstream
from driftstall.gateway.scheduling.selection import Option


class ColdGate:
    """Hold one sender's schedule of requests to cold upstreams."""

    def __init__(
        self,
        cold: ColdStarts,
        source: random.Random,
        part: Callable[[str], ColdPart | None],
        now: Callable[[], float],
    ) -> None:
        """Initialize with the cold upstreams, a random source, and the monotonic clock.

        `part` returns the sender's part of the rate for a service, or None for no bound.
        """
        self._cold = cold
        self._slots = ColdSlots(source)
        self._part = part
        self._now = now

    def select_open(self, options: Iterable[Option]) -> list[Option]:
        """Return the options whose upstreams may be sent a request now."""
        return [option for option in options if not self.wait_s(option.upstream)]

    def wait_s(self, upstream: Upstream) -> float:
        """Return the time in seconds until an upstream may be sent a request; zero for now."""
        now = self._now()
        cold_s = self._cold.remaining_s(upstream.upstream_id, now)
        part = self._part(upstream.service) if cold_s else None
        if part is None:
            return 0.0
        return min(cold_s, self._slots.wait_s(upstream.upstream_id, part, now))

    def record_send(self, upstream: Upstream) -> None:
        """Use up the current slot of an upstream if it is cold."""
        is_cold = self._cold.remaining_s(upstream.upstream_id, self._now()) > 0
        part = self._part(upstream.service) if is_cold else None
        if part is not None:
            self._slots.take(upstream.upstream_id, part)

    def keep_only(self, upstream_ids: set[str]) -> None:
        """Discard the schedules of all upstreams except the given ones."""
        self._slots.keep_only(upstream_ids)
