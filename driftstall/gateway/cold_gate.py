"""Leave out cold upstreams that one sharer may send nothing to now (see decisions/cold_starts)."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from driftstall.decisions.cold_starts import ColdPart, ColdSlots, ColdStarts
from driftstall.gateway.model import Upstream
from driftstall.gateway.selection import Option


class ColdGate:
    """Hold one sharer's slots at cold upstreams."""

    def __init__(
        self,
        cold: ColdStarts,
        source: random.Random,
        part: Callable[[str], ColdPart | None],
        now: Callable[[], float],
    ) -> None:
        """Take what is cold, a random source, the part for a service, and the steady clock.

        No part stands for a service that tells no bound.
        """
        self._cold = cold
        self._slots = ColdSlots(source)
        self._part = part
        self._now = now

    def select_open(self, options: Iterable[Option]) -> list[Option]:
        """Return the options that may be sent a request now."""
        return [one for one in options if not self.wait_s(one.upstream)]

    def wait_s(self, upstream: Upstream) -> float:
        """Return how long to wait until an upstream may be sent a request; zero for now."""
        now = self._now()
        cold_s = self._cold.ends_in_s(upstream.upstream_id, now)
        part = self._part(upstream.service) if cold_s else None
        if part is None:
            return 0.0
        return min(cold_s, self._slots.wait_s(upstream.upstream_id, part, now))

    def record_send(self, upstream: Upstream) -> None:
        """Use the slot for a request to an upstream, if it is cold."""
        is_cold = self._cold.ends_in_s(upstream.upstream_id, self._now()) > 0
        part = self._part(upstream.service) if is_cold else None
        if part is not None:
            self._slots.take(upstream.upstream_id, part)

    def keep_only(self, upstream_ids: set[str]) -> None:
        """Forget upstreams that are gone."""
        self._slots.keep_only(upstream_ids)
