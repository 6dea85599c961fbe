"""Keep running what runs for the life of an instance."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import gevent

from driftstall.helpers.log import log_event

RESTART_PAUSE_S: Final = 0.5
"""Pause before work that has failed runs again; the error may come again at once."""


def keep_running(prefix: str, work: Callable[[], None]) -> gevent.Greenlet:
    """Run work in a greenlet until it returns, and again after an unexpected error.

    Work that ended unseen would leave the instance with what it knew last, as if nothing had
    changed since: members, loads, who is ready.
    """
    return gevent.spawn(_run, prefix, work)


def _run(prefix: str, work: Callable[[], None]) -> None:
    """Run work until it returns."""
    while True:
        try:
            work()
            return
        except Exception as defect:
            detail = f"{type(defect).__name__}: {defect}"
            log_event(prefix, f"What runs all the time has failed and begins anew: {detail}")
            gevent.sleep(RESTART_PAUSE_S)
