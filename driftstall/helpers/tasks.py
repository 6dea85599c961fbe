"""Supervision of background tasks that run for the life of an instance."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import gevent

from driftstall.helpers.log import log_event

RESTART_PAUSE_S: Final = 0.5
"""Delay before a failed task is restarted, since the error may occur again at once."""


def keep_running(prefix: str, work: Callable[[], None]) -> gevent.Greenlet:
    """Run a task in a greenlet until it returns, and restart it after an unexpected error.

    If a task ended unnoticed, the instance would keep working with stale data: members, loads
    and readiness.
    """
    return gevent.spawn(_run, prefix, work)


def run_guarded(prefix: str, step: Callable[[], None]) -> None:
    """Run one step of the main loop; an unexpected error is logged and must not end the process."""
    try:
        step()
    except Exception as defect:
        detail = f"{type(defect).__name__}: {defect}"
        log_event(prefix, f"A periodic step failed: {detail}")


def _run(prefix: str, work: Callable[[], None]) -> None:
    """Run a task until it returns."""
    while True:
        try:
            work()
            return
        except Exception as defect:
            detail = f"{type(defect).__name__}: {defect}"
            log_event(prefix, f"A background task failed and is restarted: {detail}")
            gevent.sleep(RESTART_PAUSE_S)
