"""Detect poison requests: requests that crash the upstreams that run them.

A poison request ends each process that runs it, soon after it starts. Its caller retries under a
new id at any instance, so each attempt costs another upstream with all that runs there. What
crashes the upstream is the whole request, or a part of its prompt that requests share of which no
two are alike; both are subjects of evidence. Each crash also breaks dozens of innocent requests;
their callers retry as well, and some of those are running during a second crash. Many requests may
be alike and mostly succeed.

Evidence is weighed as follows:
- A poison subject never succeeds. A success clears a subject of all crashes before it and of those
  for some seconds after it: of many requests that are alike, some have always just succeeded.
- A poison request crashes upstreams when it starts. A crash of a run that had been under way for a
  while counts half against the whole request, and not against its parts.
- A poison subject is running at each crash that it causes. A crash that is explained by a subject
  with a higher weight is not attributed to any other subject.
- Parts that were running together can't be told apart by their crashes. A part is held against a
  request only by crashes whose rivals the request has as well: the subjects beside the part in
  that crash that may be the cause instead. Requests without them tell the part and its rivals
  apart.

Two crashes of runs that had just started quarantine a subject: waiting for a third would cost one
more upstream with all that it runs, while a wrong quarantine refuses some requests for half a
minute. A subject that was running during two crashes may have been unlucky, so it is tried once
more after that time; a third crash is no coincidence.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Final

from driftstall.decisions.poison_evidence import (
    CRASH_RETENTION_S,
    MAX_CRASHES_PER_SUBJECT,
    NEVER,
    SUCCESS_GRACE_S,
    Crash,
    PoisonReport,
    SubjectRecord,
    build_report,
    find_unknown_crashes,
)
from driftstall.decisions.poison_subjects import PoisonSubjects, is_part
from driftstall.decisions.poison_verdict import NO_VERDICT, QUARANTINE_WEIGHT, Verdict

QUARANTINE_DURATIONS_S: Final = (30.0, 600.0, 3600.0)
"""Quarantine after the latest crash, for two, three and more crashes."""
RIVAL_SHARE: Final = 0.5
"""A part may be the cause instead of another one if it has at least this share of its weight."""
CHANGE_PUBLISH_S: Final = 10.0
"""How long a change that quarantines no subject is published to peers."""
MIN_SUCCESS_ADVANCE_S: Final = 1.0
"""A reported success counts as new only if it is later than the known one by more than this."""


@dataclass(frozen=True, slots=True)
class _Limits:
    """Bound what is kept of one kind of subject; callers choose how many there are."""

    records: int
    """Maximum number of subjects tracked with crashes, at some 400 bytes each."""
    successes: int
    """Maximum number of subjects tracked for their success alone, at some 150 bytes each."""
    reports: int
    """Maximum number of subjects reported to peers at once."""


REQUEST_LIMITS: Final = _Limits(records=1_000, successes=2_000, reports=64)
PART_LIMITS: Final = _Limits(records=2_000, successes=2_000, reports=128)


def _try_at_once(_: str) -> float:
    """Return no delay: a single instance tries a subject as soon as its quarantine ends."""
    return 0.0


class PoisonTracker:
    """Track crashes and successes of subjects, as seen by this instance and its peers."""

    def __init__(self, trial_delay_s: Callable[[str], float] = _try_at_once) -> None:
        """Initialize an empty tracker.

        The callable trial_delay_s returns how long after the end of a quarantine this instance
        sends the subject again. If all instances did so at once, each would lose an upstream.
        """
        self._trial_delay_s = trial_delay_s
        self._records: dict[str, SubjectRecord] = {}
        self._running_during: dict[str, set[str]] = {}
        """The subjects that were running on each upstream when it crashed."""
        self._success_at: dict[bool, OrderedDict[str, float]] = {
            False: OrderedDict(),
            True: OrderedDict(),
        }
        """The latest successes, of parts and of whole requests, by is_part."""

    def __len__(self) -> int:
        """Return the number of subjects tracked with crashes."""
        return len(self._records)

    def is_observed(self, subject: str) -> bool:
        """Return True if this instance has noticed a crash under a subject itself."""
        record = self._records.get(subject)
        return record is not None and record.is_observed

    def record_run_crash(self, subjects: PoisonSubjects, crash: Crash) -> None:
        """Record a crash during which a run with some subjects was there."""
        if subjects.request:
            self.record_crash(subjects.request, crash)
        if crash.under_way:
            return
        names = frozenset(subjects.all)
        for part in subjects.parts:
            if crash.at > self._find_success_at(part) + SUCCESS_GRACE_S:
                self.record_crash(part, replace(crash, companions=names - {part}))

    def record_crash(self, subject: str, crash: Crash) -> bool:
        """Record a crash during which a subject was running; return True if it is new."""
        record = self._records.get(subject)
        if record is None:
            record = self._records[subject] = SubjectRecord(
                succeeded_at=self._find_success_at(subject)
            )
        record.is_observed = True
        for index, known in enumerate(record.crashes):
            if known.is_same(crash):
                merged = known.merge(crash)
                if merged == known:
                    return False
                del record.crashes[index]
                crash = merged
                break
        self._add(subject, record, crash)
        record.changed_at = crash.at
        self._enforce_limit(subject)
        return True

    def record_success(self, subject: str, now: float) -> bool:
        """Record a success of a subject; return True if peers have to be informed."""
        kind = is_part(subject)
        success_at = self._success_at[kind]
        success_at[subject] = max(now, success_at.get(subject, NEVER))
        success_at.move_to_end(subject)
        if len(success_at) > _limits(subject).successes:
            success_at.popitem(last=False)
        record = self._records.get(subject)
        if record is None:
            return False
        was_suspect = bool(record.counted)
        record.succeeded_at = max(record.succeeded_at, now)
        if was_suspect:
            record.changed_at = now
        return was_suspect

    def request_verdict(self, subjects: PoisonSubjects, now: float) -> Verdict:
        """Return the verdict that keeps a request back longest, on itself or on a part of it."""
        if not self._records:
            return NO_VERDICT
        names = frozenset(subjects.all)
        verdicts = [
            self.verdict(subject, now) for subject in subjects.all if subject in self._records
        ]
        applying = [verdict for verdict in verdicts if verdict.applies_to(names)]
        return max(applying, key=lambda verdict: verdict.wait_s, default=NO_VERDICT)

    def verdict(self, subject: str, now: float) -> Verdict:
        """Return whether a subject may be sent now."""
        record = self._records.get(subject)
        if record is None or record.weight < QUARANTINE_WEIGHT:
            return NO_VERDICT
        counted = [crash for crash in record.counted if not self._is_explained(crash, record)]
        weight = sum(crash.weight for crash in counted)
        if weight < QUARANTINE_WEIGHT:
            return Verdict(weight=weight, subject=subject)
        duration_s = QUARANTINE_DURATIONS_S[
            min(int(weight - QUARANTINE_WEIGHT), len(QUARANTINE_DURATIONS_S) - 1)
        ]
        ends_at = max(crash.at for crash in counted) + duration_s + self._trial_delay_s(subject)
        return Verdict(
            max(0.0, ends_at - now),
            weight,
            tuple(crash.upstream_id for crash in counted),
            subject,
            tuple([(crash.weight, self._find_rivals(crash, weight)) for crash in counted]),
        )

    def _find_rivals(self, crash: Crash, weight: float) -> frozenset[str]:
        """Return the companions in a crash that may be its cause, instead of a part with a weight.

        A request whose part has crashed upstreams in other requests too is no rival of that part.
        Parts may each be the cause of some of the crashes of a part between them.
        """
        needed = max(QUARANTINE_WEIGHT, RIVAL_SHARE * weight)
        return frozenset(
            name
            for name in crash.companions
            if name in self._records
            and self._records[name].weight >= (needed if is_part(name) else weight)
        )

    def quarantined(self, now: float) -> dict[str, Verdict]:
        """Return the subjects that are not sent to any upstream now."""
        verdicts = {subject: self.verdict(subject, now) for subject in self._records}
        return {subject: verdict for subject, verdict in verdicts.items() if verdict.wait_s}

    def reports(self, now: float) -> tuple[PoisonReport, ...]:
        """Return the reports to publish to peers, highest weight first."""
        known = [
            (subject, record)
            for subject, record in self._records.items()
            if now - record.changed_at <= CHANGE_PUBLISH_S
            or sum(crash.weight for crash in record.crashes) >= QUARANTINE_WEIGHT
        ]
        known.sort(key=lambda item: (-item[1].weight, -item[1].changed_at))
        requests = [item for item in known if not is_part(item[0])][: REQUEST_LIMITS.reports]
        parts = [item for item in known if is_part(item[0])][: PART_LIMITS.reports]
        return tuple(build_report(*item, now) for item in (*requests, *parts))

    def report_for(self, subject: str, now: float) -> PoisonReport | None:
        """Return the report on one subject; None if it is not tracked."""
        record = self._records.get(subject)
        return build_report(subject, record, now) if record is not None else None

    def merge(self, reports: Iterable[PoisonReport], now: float) -> bool:
        """Merge the reports of a peer; return True if any of them is new."""
        return any([self._merge_report(report, now) for report in reports])

    def find_exonerations(
        self, reports: Iterable[PoisonReport], now: float
    ) -> tuple[PoisonReport, ...]:
        """Return reports with successes that clear subjects of crashes a peer reported."""
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
            is_cleared_there = newest_crash_age_s > peer_success_age_s - SUCCESS_GRACE_S
            if (
                clears
                and not is_cleared_there
                and peer_success_age_s - success_age_s > MIN_SUCCESS_ADVANCE_S
            ):
                exonerations.append(build_report(report.fingerprint, record, now))
        return tuple(exonerations)

    def forget_expired(self, now: float) -> None:
        """Remove crashes past their retention, and subjects without crashes."""
        for subject, record in list(self._records.items()):
            record.crashes = [
                crash for crash in record.crashes if now - crash.at <= CRASH_RETENTION_S
            ]
            if not record.crashes:
                del self._records[subject]
        self._running_during.clear()
        for subject, record in self._records.items():
            for crash in record.crashes:
                self._running_during.setdefault(crash.upstream_id, set()).add(subject)

    def _merge_report(self, report: PoisonReport, now: float) -> bool:
        """Merge a peer's report on one subject; return True if it changed the record."""
        record = self._records.get(report.fingerprint)
        is_new = record is None
        if record is None:
            record = SubjectRecord(succeeded_at=self._find_success_at(report.fingerprint))
        succeeded_at = NEVER if report.well_ago_ms is None else now - report.well_ago_ms / 1000
        # Each hop makes a success look more recent by its delay. Without a minimum advance, a
        # success passed between peers would clear the subject of later and later crashes.
        changed = succeeded_at > record.succeeded_at + MIN_SUCCESS_ADVANCE_S
        if changed:
            record.succeeded_at = succeeded_at
        changed = _add_companions(record, report) or changed
        for crash in find_unknown_crashes(record.crashes, report.crashes, now):
            changed = self._add(report.fingerprint, record, crash) or changed
        if not record.crashes:
            return False
        if is_new:
            self._records[report.fingerprint] = record
        if changed:
            record.changed_at = now
            self._enforce_limit(report.fingerprint)
        return changed

    def _add(self, subject: str, record: SubjectRecord, crash: Crash) -> bool:
        """Add an unknown crash; return True if it is among those kept.

        A crash older than all kept ones is not a change: two instances would otherwise exchange it
        for ever.
        """
        record.crashes = sorted([*record.crashes, crash], key=lambda known: known.at)[
            -MAX_CRASHES_PER_SUBJECT:
        ]
        if crash not in record.crashes:
            return False
        self._running_during.setdefault(crash.upstream_id, set()).add(subject)
        return True

    def _find_success_at(self, subject: str) -> float:
        """Return when a subject last succeeded at this instance."""
        return self._success_at[is_part(subject)].get(subject, NEVER)

    def _is_explained(self, crash: Crash, record: SubjectRecord) -> bool:
        """Return True if a subject with a higher weight was running during the crash."""
        weight = record.weight
        for subject in self._running_during.get(crash.upstream_id, ()):
            other = self._records.get(subject)
            if other is None or other is record or other.weight <= weight:
                continue
            if subject in crash.companions:
                # It was beside this one in the same run, so it is a rival.
                continue
            if any(other_crash.upstream_id == crash.upstream_id for other_crash in other.counted):
                return True
        return False

    def _enforce_limit(self, added: str) -> None:
        """Remove the records of an added subject's kind with the lowest weight, oldest first."""
        limit, kind = _limits(added).records, is_part(added)
        if len(self._records) <= limit:
            return
        same_kind = [subject for subject in self._records if is_part(subject) is kind]
        if len(same_kind) > limit:
            self._remove(min(same_kind, key=self._retention_key))

    def _retention_key(self, subject: str) -> tuple[float, float]:
        """Return the sort key by which records are kept."""
        record = self._records[subject]
        return (record.weight, record.changed_at)

    def _remove(self, removed: str) -> None:
        """Remove the record of one subject."""
        for crash in self._records.pop(removed).crashes:
            subjects = self._running_during.get(crash.upstream_id)
            if subjects is not None:
                subjects.discard(removed)
                if not subjects:
                    del self._running_during[crash.upstream_id]


def _limits(subject: str) -> _Limits:
    """Return the limits of a subject's kind."""
    return PART_LIMITS if is_part(subject) else REQUEST_LIMITS


def _add_companions(record: SubjectRecord, report: PoisonReport) -> bool:
    """Add the companions that a peer saw in known crashes; return True if any is new."""
    seen: dict[str, frozenset[str]] = {}
    for crash in report.crashes:
        seen[crash.upstream_id] = seen.get(crash.upstream_id, frozenset()).union(crash.companions)
    crashes = [
        replace(crash, companions=crash.companions | seen.get(crash.upstream_id, frozenset()))
        for crash in record.crashes
    ]
    has_changed, record.crashes = crashes != record.crashes, crashes
    return has_changed
