"""Monotonic clock that also advances while the machine is suspended.

CLOCK_MONOTONIC stops during a suspension. An instance that used it would treat outdated reports,
leases and lists as fresh after the machine resumes, and forward deadlines that have expired.
"""

from __future__ import annotations

import time
from typing import Final

MAX_WAIT_SLICE_S: Final = 0.5
"""Waits with a deadline are split into slices of at most this length. The event loop's timers stop
during a suspension as well, so a wait ends at most this much too late after one."""


def now() -> float:
    """Return the seconds since the machine's start, including suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def suspended_s() -> float:
    """Return the seconds that the machine has been suspended since its start."""
    return now() - time.monotonic()
