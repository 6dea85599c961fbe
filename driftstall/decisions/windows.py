"""Let few runners at a time take long prefills.

A long prefill lengthens every step of its engine, so each stream there pauses;
decoding the same generation later does not. So long prompts of lower ranks go only
to runners whose prefill window is open, no more of them than the prefill work
needs. A window closes when its runner is full and its prefills are done; the next
one opens where the fewest first-rank streams would pause. In bursts another one
opens after a patience that follows the policy's weights; a policy that weighs the
stall far more than the token gap keeps all windows open.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

from driftstall.core import Weights

LONG_PREFILL: Final = 1_024
"""Uncached tokens from which a prompt is long: two chunks of prefill."""
WINDOW_SHARE: Final = 0.85
"""Share of an engine's prefill speed that one window may be planned for."""
PATIENCE_S: Final = 2.0
"""Wait for another window, where token gap and stall weigh the same."""
MAX_PATIENCE_S: Final = 10.0
ALWAYS_OPEN_RATIO: Final = 0.5
"""Weight of the token gap against the stall under which windows never close."""
IDLE_CLOSE_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class WindowView:
    """Describe a runner for this decision."""

    runner_id: str
    pending_prefill: float
    """Prefill tokens granted and not done."""
    first_rank: int
    """Open generations of the first rank, which would pause."""
    has_room: bool
    """Whether the long prompt that waits would fit here."""


class PrefillWindows:
    """Hold the runners whose window is open."""

    def __init__(self) -> None:
        """Start with all windows closed."""
        self._open: dict[str, float] = {}

    @property
    def open(self) -> dict[str, float]:
        """Return the open windows, with when each was last needed."""
        return self._open

    def always_open(self, weights: Weights) -> bool:
        """Tell whether the policy hardly minds token gaps."""
        return weights.token_gap < ALWAYS_OPEN_RATIO * weights.stall

    def used(self, runner_id: str, now: float) -> None:
        """Note that a long prompt was granted in a window."""
        if runner_id in self._open:
            self._open[runner_id] = now

    def update(
        self,
        views: list[WindowView],
        waited_s: float | None,
        demand: float,
        weights: Weights,
        now: float,
    ) -> bool:
        """Close and open windows; return whether one was opened.

        waited_s: how long the oldest long prompt has waited for a window, or none.
        demand: long prefill work that arrives, as a share of one engine's speed.
        """
        self._close(views, waited_s is not None, now)
        if waited_s is None:
            return False
        ratio = weights.token_gap / max(weights.stall, 0.01)
        patience = min(MAX_PATIENCE_S, PATIENCE_S * ratio)
        allowed = max(1, math.ceil(demand / WINDOW_SHARE)) + int(waited_s / patience)
        if len(self._open) >= allowed:
            return False
        rooms = [one for one in views if one.has_room and one.runner_id not in self._open]
        if not rooms:
            return False
        chosen = min(rooms, key=lambda one: (one.first_rank, one.pending_prefill, one.runner_id))
        self._open[chosen.runner_id] = now
        return True

    def _close(self, views: list[WindowView], wanted: bool, now: float) -> None:
        """Close windows whose runner has no prefill left and cannot take more."""
        by_id = {one.runner_id: one for one in views}
        for runner_id, used_at in list(self._open.items()):
            view = by_id.get(runner_id)
            done = view is None or view.pending_prefill <= 0
            if done and (wanted or now - used_at >= IDLE_CLOSE_S or view is None):
                del self._open[runner_id]
