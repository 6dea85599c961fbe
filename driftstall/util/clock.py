"""Tell the time that has passed, also while the machine was suspended.

The monotonic clock stands still then. An instance that goes by it takes old reports, leases and
lists for fresh when the machine runs again, and passes deadlines on that are over.
"""

from __future__ import annotations

import time
from typing import Final

MAX_WAIT_SLICE_S: Final = 0.5
"""Waits with a deadline are taken in pieces of this length: the event loop's timers stand still in
a suspension as well, so after one a wait ends at most this much too late."""


def now() -> float:
    """Return a steady clock that counts suspensions, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def suspended_s() -> float:
    """Return for how long the machine was suspended since its start, in seconds."""
    return now() - time.monotonic()
