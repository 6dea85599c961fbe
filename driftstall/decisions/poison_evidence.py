"""Evidence on which requests crash upstreams: observed crashes, and what peers report of them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

EARLY_CRASH_WEIGHT: Final = 1.0
LATE_CRASH_WEIGHT: Final = 0.5
"""Weight of a crash of a run that was under way at the upstream."""
UNDER_WAY_S: Final = 1.0
"""Time for which a run must have produced events to be under way; time in an engine's queue does
not count."""
SUCCESS_GRACE_S: Final = 10.0
"""A crash this soon after a success of the same subject is not attributed to it."""
SAME_CRASH_WINDOW_S: Final = 2.0
"""Runs that one instance sees end with one upstream within this time belong to one crash. Reports
of peers are merged by the number of crashes alone: a report that was delayed by a network
partition or a frozen instance makes crashes look more recent than they are."""
CRASH_RETENTION_S: Final = 7200.0
"""How long a crash is kept: twice the longest quarantine."""
MAX_CRASHES_PER_SUBJECT: Final = 8
"""Maximum number of crashes kept for one subject."""
NEVER: Final = float("-inf")


@dataclass(frozen=True, slots=True)
class Crash:
    """Describe the crash of an upstream while a run with the subject was there."""

    upstream_id: str
    at: float
    """When the crash was noticed, in seconds of the monotonic clock."""
    under_way: bool
    """Whether the run had produced events there for at least UNDER_WAY_S."""
    companions: frozenset[str] = frozenset()
    """For a prompt part: the other subjects of the runs there that had the part."""

    @property
    def weight(self) -> float:
        """Return the weight of this crash as evidence against the subject."""
        return LATE_CRASH_WEIGHT if self.under_way else EARLY_CRASH_WEIGHT

    def merge(self, other: Crash) -> Crash:
        """Return the crash as seen by two runs of one instance that had the subject.

        The run that had just begun is the stronger evidence.
        """
        is_under_way = self.under_way and other.under_way
        at = other.at if self.under_way and not other.under_way else self.at
        return Crash(self.upstream_id, at, is_under_way, self.companions | other.companions)

    def is_same(self, other: Crash) -> bool:
        """Return True if two observations of one instance are the same crash."""
        return (
            self.upstream_id == other.upstream_id and abs(self.at - other.at) <= SAME_CRASH_WINDOW_S
        )


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Report one crash to a peer, by its age as instances share no clock."""

    upstream_id: str
    ago_ms: int
    under_way: bool
    companions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PoisonReport:
    """Report to a peer the crashes and the latest success of one subject."""

    fingerprint: str
    """The subject: the fingerprint of a whole request, or a prompt part."""
    crashes: tuple[CrashReport, ...]
    well_ago_ms: int | None
    """Age of its latest success; None if none is known."""


@dataclass(slots=True)
class SubjectRecord:
    """Hold the crashes and the latest success of one subject."""

    crashes: list[Crash] = field(default_factory=list)
    succeeded_at: float = NEVER
    changed_at: float = NEVER
    is_observed: bool = False
    """Whether this instance has noticed one of the crashes itself."""

    @property
    def counted(self) -> list[Crash]:
        """Return the crashes of which no success has cleared the subject."""
        return [crash for crash in self.crashes if crash.at > self.succeeded_at + SUCCESS_GRACE_S]

    @property
    def weight(self) -> float:
        """Return the weight of the counted crashes, regardless of other subjects."""
        return sum(crash.weight for crash in self.counted)


def find_unknown_crashes(
    known: list[Crash], reported: Iterable[CrashReport], now: float
) -> list[Crash]:
    """Return the crashes that a peer reports beyond those known for each upstream."""
    missing = Counter(report.upstream_id for report in reported)
    missing.subtract(Counter(report.upstream_id for report in known))
    crashes = []
    # The newest crashes are the unknown ones: known crashes were seen or reported earlier.
    for report in sorted(reported, key=lambda report: report.ago_ms):
        if missing[report.upstream_id] > 0 and report.ago_ms <= CRASH_RETENTION_S * 1000:
            missing[report.upstream_id] -= 1
            crashes.append(
                Crash(
                    report.upstream_id,
                    now - report.ago_ms / 1000,
                    report.under_way,
                    frozenset(report.companions),
                )
            )
    return crashes


def build_report(fingerprint: str, record: SubjectRecord, now: float) -> PoisonReport:
    """Return the report on one subject, with ages in place of times."""
    crashes = tuple(
        CrashReport(
            crash.upstream_id,
            _ago_ms(crash.at, now),
            crash.under_way,
            tuple(sorted(crash.companions)),
        )
        for crash in record.crashes
    )
    well_ago_ms = None if record.succeeded_at == NEVER else _ago_ms(record.succeeded_at, now)
    return PoisonReport(fingerprint, crashes, well_ago_ms)


def _ago_ms(at: float, now: float) -> int:
    """Return the age of a time in milliseconds."""
    return max(0, int((now - at) * 1000))
