"""Detect outliers among upstreams by their outcomes and latencies.

Outlier ejection: an upstream that is unreachable, full or broken is avoided for a while, which
doubles with each such outcome. Failing or slow upstreams get a penalty that fades with time.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

SMOOTHING: Final = 0.15
"""Weight of the newest outcome in the moving average, which spans about a dozen outcomes."""
FIRST_EJECTION_S: Final = 0.3
MAX_EJECTION_S: Final = 4.0
"""Bounds of the ejection time; it doubles with each such failure until the next success."""
FAILURE_PENALTY: Final = 2.0
"""Penalty on the load of an upstream all of whose responses have failed."""
SLOWNESS_PENALTY: Final = 0.5
"""Penalty on the load of an upstream for each multiple of the service's latency above one."""
SERVICE_SMOOTHING: Final = 0.05
"""Weight of the newest latency in the moving average of a service."""
EVIDENCE_HALF_LIFE_S: Final = 2.0
"""Time without an outcome after which the penalty of an upstream has halved."""
NEVER: Final = float("-inf")


class Outcome(StrEnum):
    """Result of a request to an upstream."""

    GOOD = "good"
    FAILED = "failed"
    """The upstream responded with an error of its own."""
    BROKEN = "broken"
    """The response was incomplete or violated the protocol."""
    INVALID = "invalid"
    """The response was not the upstream's own, such as one without its signature. The upstream is
    avoided only if that happens often, as its other responses are sound."""
    UNREACHABLE = "unreachable"
    """No connection could be opened."""
    FULL = "full"
    """The upstream rejected the request for lack of capacity."""
    NOT_SENT = "not sent"
    """The request was not sent after all."""


FAILURES: Final = frozenset({Outcome.FAILED, Outcome.BROKEN, Outcome.INVALID, Outcome.UNREACHABLE})


@dataclass(slots=True)
class _Record:
    """Hold the moving averages and the ejection of one upstream."""

    failures: float = 0.0
    """Moving average of the share of failed responses."""
    latency_s: float | None = None
    """Moving average of the response time; None before the first success."""
    last_outcome_at: float = NEVER
    """Time of the last outcome."""
    ejected_until: float = NEVER
    ejection_s: float = FIRST_EJECTION_S


class OutlierDetector:
    """Track the outcomes of all upstreams at this instance."""

    def __init__(self) -> None:
        """Initialize without outcomes."""
        self._records: dict[str, _Record] = {}
        self._service_latency_s: dict[str, float] = {}

    def record_outcome(
        self,
        upstream_id: str,
        service: str,
        outcome: Outcome,
        now: float,
        seconds: float,
        pace: float = 1.0,
    ) -> None:
        """Record one outcome, its duration in seconds, and the pace of the upstream.

        Durations are compared after division by the pace: an upstream on a shared machine that is
        slow for less than a second is passed over for its pace, and would otherwise get a penalty
        that lasts beyond that time.
        """
        record = self._records.setdefault(upstream_id, _Record())
        record.last_outcome_at = now
        failed = outcome in FAILURES
        record.failures += SMOOTHING * (float(failed) - record.failures)
        if outcome is Outcome.GOOD:
            record.ejection_s = FIRST_EJECTION_S
            self._record_latency(record, service, seconds / pace)
        elif outcome is Outcome.UNREACHABLE and now < record.ejected_until:
            # Connections that were under way at the ejection fail together with the first one.
            return
        elif outcome in (Outcome.UNREACHABLE, Outcome.FULL, Outcome.BROKEN):
            record.ejected_until = now + record.ejection_s
            record.ejection_s = min(MAX_EJECTION_S, record.ejection_s * 2)

    def readmit(self, upstream_ids: Iterable[str]) -> None:
        """End the ejection of upstreams, as what it rests on was no failure of theirs."""
        for upstream_id in upstream_ids:
            record = self._records.get(upstream_id)
            if record is not None:
                record.ejected_until, record.ejection_s = NEVER, FIRST_EJECTION_S
                record.failures = 0.0

    def is_ejected(self, upstream_id: str, now: float) -> bool:
        """Return True if an upstream is currently ejected for its failures."""
        record = self._records.get(upstream_id)
        return record is not None and now < record.ejected_until

    def penalty(self, upstream_id: str, service: str, now: float) -> float:
        """Return the penalty on an upstream's load for failures and slowness; zero for none.

        The penalty decays with the time since the last outcome. Otherwise an upstream whose first
        responses were slow would get no requests while others are idle, and could never prove
        that it has become fast.
        """
        record = self._records.get(upstream_id)
        if record is None:
            return 0.0
        slowness = 0.0
        service_latency_s = self._service_latency_s.get(service)
        if service_latency_s and record.latency_s:
            slowness = max(0.0, record.latency_s / service_latency_s - 1.0)
        penalty = FAILURE_PENALTY * record.failures + SLOWNESS_PENALTY * slowness
        return penalty * 0.5 ** (max(0.0, now - record.last_outcome_at) / EVIDENCE_HALF_LIFE_S)

    def keep_only(self, upstream_ids: set[str]) -> None:
        """Discard the records of all upstreams except the given ones."""
        for upstream_id in [known_id for known_id in self._records if known_id not in upstream_ids]:
            del self._records[upstream_id]

    def _record_latency(self, record: _Record, service: str, seconds: float) -> None:
        """Update the moving averages of an upstream's and its service's latency."""
        old = record.latency_s
        record.latency_s = seconds if old is None else old + SMOOTHING * (seconds - old)
        usual = self._service_latency_s.get(service)
        updated = seconds if usual is None else usual + SERVICE_SMOOTHING * (seconds - usual)
        self._service_latency_s[service] = updated
