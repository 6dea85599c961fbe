"""Bound how long a signal may have waited for the event loop to handle it.

A process that is stopped, or whose machine is suspended or busy, handles a signal late, and the
kernel does not tell when the signal arrived. All times are in seconds on the clock that advances in
suspensions.
"""

from __future__ import annotations

from typing import Final

TOLERANCE_S: Final = 0.1
"""Delay of a turn that counts as no stall: timers of a busy event loop are a little late."""


class LoopStalls:
    """Track the stalls of an event loop by the turns of a periodic task."""

    def __init__(self, period_s: float) -> None:
        """Initialize with the period of the task."""
        self._period_s = period_s
        self._turned_at: float | None = None
        self._stalled_from = 0.0
        self._stalled_until: float | None = None

    def record_turn(self, now: float) -> None:
        """Record that the periodic task runs."""
        if self._turned_at is not None and self._is_stalled(now):
            self._stalled_from = self._turned_at
            self._stalled_until = now
        self._turned_at = now

    def max_delay_s(self, now: float) -> float:
        """Return the longest time for which a signal that is handled now may have waited.

        A stall may have begun at any time since the last turn, and after it the task may run
        before the handlers of the signals.
        """
        if self._turned_at is not None and self._is_stalled(now):
            return now - self._turned_at
        if self._stalled_until is not None and now - self._stalled_until < self._period_s:
            return now - self._stalled_from
        return 0.0

    def _is_stalled(self, now: float) -> bool:
        """Return True if the task should have run again by now."""
        assert self._turned_at is not None
        return now > self._turned_at + self._period_s + TOLERANCE_S
