"""Decide whether the refusal of a backup shows that a run is whole.

An engine keeps its copy of a run until that has ended well, and refuses to resume a run of which it
holds no copy. So its refusal is evidence that the run had ended well, unless the copy may be
missing for another reason: it was never made, there was no room for it, or it has expired. The
facts here rule these reasons out one by one; whatever is not known counts as a reason. That the
engines of a service make and keep copies as described is not taken on trust either: one of them has
to have resumed a run whose response was closed early.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from functools import singledispatch
from typing import Final

from driftstall.decisions.response_ends import ANSWERING_STATES, ProcessState
from driftstall.decisions.upstream_signals import (
    BackoffSignal,
    LeavingSignal,
    LoadSignal,
    RateLimitSignal,
    Signal,
)

COPY_MADE_AFTER_S: Final = 1.0
"""Time for which a run must have produced events before its backup is certain to hold a copy."""
MAX_END_DELAY_S: Final = 0.5
"""Longest pause between the last event of a run that has ended well and the end of its response."""
MIN_BEFORE_DEADLINE_S: Final = 1.0
"""Upstreams cease work at their deadline, and some cease earlier."""
MAX_BLOCKED_S: Final = 0.5
"""Longest time that writing to the caller may have taken: bytes wait unread meanwhile, so that the
run may have ended earlier than its end was read."""
MAX_COPY_AGE_SHARE: Final = 0.5
"""Share of the time that copies are kept, after which one may have expired."""


class Objection(StrEnum):
    """Why a backup's refusal does not show that a run is whole."""

    PROCESS = "its process is not known to live"
    UNSEEN_COPIES = "no backup of its service was seen to keep the copy of a closed run"
    FRAMED_SERVICE = "other streams of its service are framed"
    SHORT = "the backup may not have been made"
    PAUSE = "the backup may have expired during a pause"
    SLOW_CALLER = "its caller reads slowly, so the backup may have expired"
    LATE_END = "it ended some time after its last event"
    DEADLINE = "it ended close to its deadline"
    SIGNALS = "the backup's engine signals another reason to refuse it"
    BUSY = "the backup's engine may be full, or is leaving"
    UNKNOWN_MEMORY = "the memory of the backup's engine is not known"
    NO_ROOM = "there may have been no room for the backup"


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine reports of itself, as it stood some hundred milliseconds before."""

    is_leaving: bool
    running: int
    waiting: int
    used_tokens: int
    """Memory that is not available to further runs and copies."""
    total_tokens: int


@dataclass(frozen=True, slots=True)
class RefusedRun:
    """Describe a run that a backup has refused to resume, with times in seconds."""

    process: ProcessState
    """State of the run's upstream after the end."""
    is_service_framed: bool
    """Whether upstreams of the service frame other streams."""
    are_copies_seen: bool
    """Whether a backup of the service has resumed a run whose response was closed early."""
    produced_s: float
    """Time for which the run has produced events."""
    longest_gap_s: float
    blocked_s: float
    """Time that writing to the caller took."""
    end_delay_s: float
    """Time from the last event to the end."""
    before_deadline_s: float
    """Time from the end to the deadline of the request."""
    refused_after_s: float
    """Time from the last event to the refusal."""
    copy_kept_s: float
    """Time for which engines keep a copy after its last part; zero if not known."""
    held_tokens: int
    """Memory of the run."""


def find_refusal_objection(run: RefusedRun, signals: Iterable[Signal]) -> Objection | None:
    """Return why a refusal does not show that a run is whole, by itself and the run, or None."""
    max_age_s = run.copy_kept_s * MAX_COPY_AGE_SHARE
    checks = (
        (run.process in ANSWERING_STATES, Objection.PROCESS),
        (not run.is_service_framed, Objection.FRAMED_SERVICE),
        (run.are_copies_seen, Objection.UNSEEN_COPIES),
        (run.produced_s >= COPY_MADE_AFTER_S, Objection.SHORT),
        (run.end_delay_s <= MAX_END_DELAY_S, Objection.LATE_END),
        (run.before_deadline_s >= MIN_BEFORE_DEADLINE_S, Objection.DEADLINE),
        (run.blocked_s <= MAX_BLOCKED_S, Objection.SLOW_CALLER),
        (max(run.longest_gap_s, run.refused_after_s) < max_age_s, Objection.PAUSE),
        (not any(map(may_explain_refusal, signals)), Objection.SIGNALS),
    )
    return next((objection for holds, objection in checks if not holds), None)


def find_report_objection(
    run: RefusedRun, report: EngineReport | None, slots: int
) -> Objection | None:
    """Return why a refusal does not show that a run is whole, by the engine's report, or None.

    The report includes the copy, if there was one: so there has to be room for a second one.
    """
    if report is None:
        return Objection.UNKNOWN_MEMORY
    if report.is_leaving or report.waiting or report.running >= slots:
        return Objection.BUSY
    if report.used_tokens + run.held_tokens > report.total_tokens:
        return Objection.NO_ROOM
    return None


@singledispatch
def may_explain_refusal(signal: object) -> bool:
    """Return True if an engine that sends a signal may refuse requests for that reason."""
    return False


@may_explain_refusal.register
def _(signal: BackoffSignal) -> bool:
    """Return True: it wants no requests for a while."""
    return True


@may_explain_refusal.register
def _(signal: LeavingSignal) -> bool:
    """Return True: it takes nothing new."""
    return True


@may_explain_refusal.register
def _(signal: RateLimitSignal) -> bool:
    """Return True if a limit is stated."""
    return signal.per_s is not None


@may_explain_refusal.register
def _(signal: LoadSignal) -> bool:
    """Return True if all slots are taken."""
    return signal.waiting > 0 or signal.running >= signal.slots
