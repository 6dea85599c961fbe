"""Detect poison requests: requests that crash the upstreams that run them.

A poison request ends each process that runs it, soon after it starts. Its caller retries under a
new id at any instance, so each attempt costs another upstream with all that runs there. Each crash
also breaks dozens of innocent requests; their callers retry as well, and some of those are running
during a second crash. Many requests may be alike and mostly succeed.

Evidence is weighed as follows:
- A poison request never succeeds. A success clears a request of all crashes before it and of those
  for some seconds after it: of many requests that are alike, some have always just succeeded.
- A poison request crashes upstreams when it starts. A crash of a run that had been under way for a
  while counts half.
- A poison request is running at each crash that it causes. A crash that is explained by a request
  with a higher weight is not attributed to any other request.

Two crashes of runs that had just started quarantine a request: waiting for a third would cost one
more upstream with all that it runs, while a wrong quarantine refuses one request for half a
minute. A request that was running during two crashes may have been unlucky, so it is tried once
more after that time; a third crash is no coincidence.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from driftstall.decisions.poison_evidence import (
    CRASH_RETENTION_S,
    MAX_CRASHES_PER_REQUEST,
    NEVER,
    SUCCESS_GRACE_S,
    Crash,
    PoisonReport,
    SubjectRecord,
    build_report,
    find_unknown_crashes,
)

QUARANTINE_WEIGHT: Final = 2.0
"""Weight of crashes from which a request is not sent to any upstream."""
QUARANTINE_DURATIONS_S: Final = (30.0, 600.0, 3600.0)
"""Quarantine after the latest crash, for two, three and more crashes."""
CHANGE_PUBLISH_S: Final = 10.0
"""How long a change that quarantines no request is published to peers."""
MIN_SUCCESS_ADVANCE_S: Final = 1.0
"""A reported success counts as new only if it is later than the known one by more than this."""
MAX_RECORDS: Final = 1_000
"""Maximum number of requests tracked with crashes, at some 400 bytes each."""
MAX_SUCCESSES: Final = 2_000
"""Maximum number of requests tracked for their success alone, at some 150 bytes each: a hundred
seconds of traffic of the enrolment desk."""
MAX_REPORTS_PER_MESSAGE: Final = 64
"""Maximum number of requests reported to peers at once."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """State whether a request may be sent."""

    wait_s: float = 0.0
    """Remaining quarantine in seconds; zero if the request may be sent now."""
    weight: float = 0.0
    upstream_ids: tuple[str, ...] = ()
    """The upstreams whose crashes are attributed to the request."""

    @property
    def is_poison(self) -> bool:
        """Return True if crashes are attributed to the request, even if it may be tried again."""
        return self.weight >= QUARANTINE_WEIGHT


class PoisonTracker:
    """Track crashes and successes of requests, as seen by this instance and its peers."""

    def __init__(self) -> None:
        """Initialize an empty tracker."""
        self._records: dict[str, SubjectRecord] = {}
        self._running_during: dict[str, set[str]] = {}
        """The requests that were running on each upstream when it crashed."""
        self._success_at: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of requests tracked with crashes."""
        return len(self._records)

    def record_crash(self, fingerprint: str, crash: Crash) -> bool:
        """Record a crash during which a request was running; return True if it is new."""
        record = self._records.get(fingerprint)
        if record is None:
            record = self._records[fingerprint] = SubjectRecord(
                succeeded_at=self._find_success_at(fingerprint)
            )
        for index, known in enumerate(record.crashes):
            if known.is_same(crash):
                if crash.under_way or not known.under_way:
                    return False
                del record.crashes[index]
                break
        self._add(fingerprint, record, crash)
        record.changed_at = crash.at
        self._enforce_limit()
        return True

    def record_success(self, fingerprint: str, now: float) -> bool:
        """Record a success of a request; return True if peers have to be informed."""
        self._success_at[fingerprint] = now
        self._success_at.move_to_end(fingerprint)
        if len(self._success_at) > MAX_SUCCESSES:
            self._success_at.popitem(last=False)
        record = self._records.get(fingerprint)
        if record is None:
            return False
        was_suspect = bool(record.counted)
        record.succeeded_at = now
        if was_suspect:
            record.changed_at = now
        return was_suspect

    def verdict(self, fingerprint: str, now: float) -> Verdict:
        """Return whether a request may be sent now."""
        record = self._records.get(fingerprint)
        if record is None or record.weight < QUARANTINE_WEIGHT:
            return Verdict()
        counted = [crash for crash in record.counted if not self._is_explained(crash, record)]
        weight = sum(crash.weight for crash in counted)
        if weight < QUARANTINE_WEIGHT:
            return Verdict(weight=weight)
        duration_s = QUARANTINE_DURATIONS_S[
            min(int(weight - QUARANTINE_WEIGHT), len(QUARANTINE_DURATIONS_S) - 1)
        ]
        wait_s = max(0.0, max(crash.at for crash in counted) + duration_s - now)
        return Verdict(wait_s, weight, tuple(crash.upstream_id for crash in counted))

    def quarantined(self, now: float) -> dict[str, Verdict]:
        """Return the requests that are not sent to any upstream now."""
        verdicts = {fingerprint: self.verdict(fingerprint, now) for fingerprint in self._records}
        return {fingerprint: verdict for fingerprint, verdict in verdicts.items() if verdict.wait_s}

    def reports(self, now: float) -> tuple[PoisonReport, ...]:
        """Return the reports to publish to peers, highest weight first."""
        known = [
            (fingerprint, record)
            for fingerprint, record in self._records.items()
            if now - record.changed_at <= CHANGE_PUBLISH_S
            or sum(crash.weight for crash in record.crashes) >= QUARANTINE_WEIGHT
        ]
        known.sort(key=lambda item: (-item[1].weight, -item[1].changed_at))
        return tuple(build_report(*item, now) for item in known[:MAX_REPORTS_PER_MESSAGE])

    def report_for(self, fingerprint: str, now: float) -> PoisonReport | None:
        """Return the report on one request; None if it is not tracked."""
        record = self._records.get(fingerprint)
        return build_report(fingerprint, record, now) if record is not None else None

    def merge(self, reports: Iterable[PoisonReport], now: float) -> bool:
        """Merge the reports of a peer; return True if any of them is new."""
        return any([self._merge_report(report, now) for report in reports])

    def find_exonerations(
        self, reports: Iterable[PoisonReport], now: float
    ) -> tuple[PoisonReport, ...]:
        """Return reports with successes that clear requests of crashes a peer reported."""
        exonerations = []
        for report in reports:
            record = self._records.get(report.fingerprint)
            if record is None or not report.crashes:
                continue
            success_age_s = now - record.succeeded_at
            peer_success_age_s = (
                float("inf") if report.well_ago_ms is None else report.well_ago_ms / 1000
            )
            newest_crash_age_s = min(crash.ago_ms for crash in report.crashes) / 1000
            # A success also clears crashes up to SUCCESS_GRACE_S after it.
            clears = newest_crash_age_s > success_age_s - SUCCESS_GRACE_S
            if clears and peer_success_age_s - success_age_s > MIN_SUCCESS_ADVANCE_S:
                exonerations.append(build_report(report.fingerprint, record, now))
        return tuple(exonerations)

    def forget_expired(self, now: float) -> None:
        """Remove crashes past their retention, and requests without crashes."""
        for fingerprint, record in list(self._records.items()):
            record.crashes = [
                crash for crash in record.crashes if now - crash.at <= CRASH_RETENTION_S
            ]
            if not record.crashes:
                del self._records[fingerprint]
        self._running_during.clear()
        for fingerprint, record in self._records.items():
            for crash in record.crashes:
                self._running_during.setdefault(crash.upstream_id, set()).add(fingerprint)

    def _merge_report(self, report: PoisonReport, now: float) -> bool:
        """Merge a peer's report on one request; return True if it changed the record."""
        record = self._records.get(report.fingerprint)
        is_new = record is None
        if record is None:
            record = SubjectRecord(succeeded_at=self._find_success_at(report.fingerprint))
        succeeded_at = NEVER if report.well_ago_ms is None else now - report.well_ago_ms / 1000
        # Each hop makes a success look more recent by its delay. Without a minimum advance, a
        # success passed between peers would clear the request of later and later crashes.
        changed = succeeded_at > record.succeeded_at + MIN_SUCCESS_ADVANCE_S
        if changed:
            record.succeeded_at = succeeded_at
        for crash in find_unknown_crashes(record.crashes, report.crashes, now):
            changed = self._add(report.fingerprint, record, crash) or changed
        if not record.crashes:
            return False
        if is_new:
            self._records[report.fingerprint] = record
        if changed:
            record.changed_at = now
            self._enforce_limit()
        return changed

    def _add(self, fingerprint: str, record: SubjectRecord, crash: Crash) -> bool:
        """Add an unknown crash; return True if it is among those kept.

        A crash older than all kept ones is not a change: two instances would otherwise exchange it
        for ever.
        """
        record.crashes = sorted([*record.crashes, crash], key=lambda known: known.at)[
            -MAX_CRASHES_PER_REQUEST:
        ]
        if crash not in record.crashes:
            return False
        self._running_during.setdefault(crash.upstream_id, set()).add(fingerprint)
        return True

    def _find_success_at(self, fingerprint: str) -> float:
        """Return when a request last succeeded at this instance."""
        return self._success_at.get(fingerprint, NEVER)

    def _is_explained(self, crash: Crash, record: SubjectRecord) -> bool:
        """Return True if a request with a higher weight was running during the crash."""
        weight = record.weight
        for fingerprint in self._running_during.get(crash.upstream_id, ()):
            other = self._records.get(fingerprint)
            if other is None or other is record or other.weight <= weight:
                continue
            if any(other_crash.upstream_id == crash.upstream_id for other_crash in other.counted):
                return True
        return False

    def _enforce_limit(self) -> None:
        """Remove the records with the lowest weight, oldest first, beyond the maximum."""
        while len(self._records) > MAX_RECORDS:
            self._remove(min(self._records, key=self._retention_key))

    def _retention_key(self, fingerprint: str) -> tuple[float, float]:
        """Return the sort key by which records are kept."""
        record = self._records[fingerprint]
        return (record.weight, record.changed_at)

    def _remove(self, fingerprint: str) -> None:
        """Remove the record of one request."""
        for crash in self._records.pop(fingerprint).crashes:
            fingerprints = self._running_during.get(crash.upstream_id)
            if fingerprints is not None:
                fingerprints.discard(fingerprint)
                if not fingerprints:
                    del self._running_during[crash.upstream_id]
