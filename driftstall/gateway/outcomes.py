"""Detect outliers among upstreams by how their responses went, and eject them for a while."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

SMOOTHING: Final = 0.15
"""Weight of the newest outcome; about a dozen outcomes are remembered."""
FIRST_EJECTION_S: Final = 0.3
MAX_EJECTION_S: Final = 4.0
"""An upstream that does not answer is ejected for so long; each failure doubles it."""
FAILURE_PENALTY: Final = 2.0
"""How much a failing upstream's load counts as higher, at all answers failed."""
SLOWNESS_PENALTY: Final = 0.5
"""How much an upstream's load counts as higher for each time it is slower than usual."""
USUAL_SMOOTHING: Final = 0.05
EVIDENCE_HALF_LIFE_S: Final = 2.0
"""Time without an outcome in which half of what an upstream was seen to do is forgotten."""
NEVER: Final = float("-inf")


class Outcome(StrEnum):
    """Name how a request to an upstream went."""

    GOOD = "good"
    FAILED = "failed"
    """It answered with a failure of its own."""
    BROKEN = "broken"
    """It gave no whole answer, or none of the protocol."""
    UNREACHABLE = "unreachable"
    """No connection came up."""
    FULL = "full"
    """It turned the request away."""
    NOT_SENT = "not sent"
    """It was left alone after all."""


@dataclass(slots=True)
class _Record:
    """Hold what one upstream's answers were like."""

    failures: float = 0.0
    """Share of answers that failed, smoothed."""
    seconds: float | None = None
    """Time to an answer, smoothed."""
    seen_at: float = NEVER
    """When it last answered, or did not."""
    ejected_until: float = NEVER
    ejection_s: float = FIRST_EJECTION_S


class OutlierDetector:
    """Hold the outcomes of all upstreams, as this instance has seen them."""

    def __init__(self) -> None:
        """Start without any."""
        self._records: dict[str, _Record] = {}
        self._usual: dict[str, float] = {}

    def record_outcome(
        self, upstream_id: str, service: str, outcome: Outcome, now: float, seconds: float
    ) -> None:
        """Take in one outcome and the seconds it took."""
        record = self._records.setdefault(upstream_id, _Record())
        record.seen_at = now
        failed = outcome in (Outcome.FAILED, Outcome.BROKEN, Outcome.UNREACHABLE)
        record.failures += SMOOTHING * (float(failed) - record.failures)
        if outcome is Outcome.GOOD:
            record.ejection_s = FIRST_EJECTION_S
            self._time(record, service, seconds)
        elif outcome in (Outcome.UNREACHABLE, Outcome.FULL, Outcome.BROKEN):
            record.ejected_until = now + record.ejection_s
            record.ejection_s = min(MAX_EJECTION_S, record.ejection_s * 2)

    def is_ejected(self, upstream_id: str, now: float) -> bool:
        """Tell whether an upstream is avoided now for its failures."""
        record = self._records.get(upstream_id)
        return record is not None and now < record.ejected_until

    def penalty(self, upstream_id: str, service: str, now: float) -> float:
        """Return how much worse than usual an upstream is; zero if it is not.

        What was seen counts for less the longer ago it is: else one whose first answers were slow
        would be sent nothing while others are idle, and could never show that it is fast now.
        """
        record = self._records.get(upstream_id)
        if record is None:
            return 0.0
        slower = 0.0
        usual = self._usual.get(service)
        if usual and record.seconds:
            slower = max(0.0, record.seconds / usual - 1.0)
        seen_worse = FAILURE_PENALTY * record.failures + SLOWNESS_PENALTY * slower
        return seen_worse * 0.5 ** (max(0.0, now - record.seen_at) / EVIDENCE_HALF_LIFE_S)

    def keep_only(self, upstream_ids: set[str]) -> None:
        """Forget upstreams that are gone."""
        for upstream_id in [one for one in self._records if one not in upstream_ids]:
            del self._records[upstream_id]

    def _time(self, record: _Record, service: str, seconds: float) -> None:
        """Smooth an upstream's times and what is usual for its service."""
        old = record.seconds
        record.seconds = seconds if old is None else old + SMOOTHING * (seconds - old)
        usual = self._usual.get(service)
        step = seconds if usual is None else usual + USUAL_SMOOTHING * (seconds - usual)
        self._usual[service] = step
