"""Keep the runs of all instances on the engines of queued services, as the placer knows them.

Each instance reports its runs with each change, and the placer adds what it has granted since. So
it knows the memory of all engines some tens of milliseconds after a run has ended.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from driftstall.decisions.room_forecast import Release
from driftstall.gateway.loads import Use
from driftstall.gateway.scheduling.queue_messages import HeldRun, RunsReported

REPORT_VALID_S: Final = 3.0
"""Age at which an instance's report expires; one that has runs repeats it each second."""
GRANT_VALID_S: Final = 1.0
"""How long a grant counts that no report shows: its instance may have stopped."""
GROWTH_SHARE: Final = 0.5
"""Share of a run's expected growth that counts as load: other runs end while it grows."""


@dataclass(frozen=True, slots=True)
class LedgerRun:
    """Describe a run and the instance that holds its caller's connection."""

    sender: str
    zone: str
    run: HeldRun

    @property
    def tokens(self) -> int:
        """Return the engine memory that the run is expected to need on average."""
        return self.run.held_tokens + int(GROWTH_SHARE * self.run.remaining_tokens)


@dataclass(frozen=True, slots=True)
class _Report:
    """Hold an instance's newest report and its time of arrival."""

    runs: tuple[LedgerRun, ...]
    at: float


@dataclass(frozen=True, slots=True)
class _Grant:
    """Hold a granted run that no report shows yet."""

    run: LedgerRun
    at: float


@dataclass(frozen=True, slots=True)
class _Copy:
    """Hold the memory of a copy that is being made."""

    upstream_id: str
    tokens: int
    until: float


class EngineLedger:
    """Hold the reported and the granted runs, and the copies ordered off leaving engines."""

    def __init__(self) -> None:
        """Initialize without runs."""
        self._reports: dict[str, _Report] = {}
        self._grants: dict[str, _Grant] = {}
        self._copies: dict[str, _Copy] = {}
        self._first_report_at: float | None = None

    @property
    def first_report_at(self) -> float | None:
        """Return since when instances have reported their runs; None if none has lately."""
        return self._first_report_at

    def record_report(self, report: RunsReported, now: float) -> None:
        """Record an instance's runs; the report replaces the previous one."""
        self.expire(now)
        if self._first_report_at is None:
            self._first_report_at = now
        runs = tuple([LedgerRun(report.sender, report.zone, run) for run in report.runs])
        self._reports[report.sender] = _Report(runs, now)
        for run in report.runs:
            self._grants.pop(run.request_id, None)

    def add_grant(self, sender: str, zone: str, run: HeldRun, now: float) -> None:
        """Count a granted run until its instance reports it."""
        self._grants[run.request_id] = _Grant(LedgerRun(sender, zone, run), now)

    def remove_grant(self, request_id: str) -> None:
        """Remove a granted run that is not started, or that is counted otherwise."""
        self._grants.pop(request_id, None)

    def add_copy(self, request_id: str, upstream_id: str, tokens: int, until: float) -> None:
        """Count the copy of a run on its target, at most until some time."""
        self._copies[request_id] = _Copy(upstream_id, tokens, until)

    def remove_copy(self, request_id: str) -> None:
        """Remove a copy that has ended; from then on reports show the run."""
        self._copies.pop(request_id, None)

    def expire(self, now: float) -> None:
        """Remove the reports of silent instances, grants that nobody reports, and old copies."""
        for request_id, copy in list(self._copies.items()):
            if now >= copy.until:
                del self._copies[request_id]
        for sender, report in list(self._reports.items()):
            if now - report.at > REPORT_VALID_S:
                del self._reports[sender]
        if not self._reports:
            # Reports have ended, as another instance is the placer, or nothing runs.
            self._first_report_at = None
        for request_id, grant in list(self._grants.items()):
            if now - grant.at > GRANT_VALID_S:
                del self._grants[request_id]

    def runs(self) -> Iterable[tuple[LedgerRun, float]]:
        """Yield all runs, with the time at which they were reported or granted."""
        for report in self._reports.values():
            for run in report.runs:
                yield run, report.at
        for grant in self._grants.values():
            yield grant.run, grant.at

    def runs_on(self, upstream_id: str) -> tuple[LedgerRun, ...]:
        """Return the runs on one engine."""
        return tuple(run for run, _ in self.runs() if run.run.upstream_id == upstream_id)

    def oldest_report_s(self, now: float) -> float:
        """Return the age of the oldest report that counts; zero without reports."""
        return max((now - report.at for report in self._reports.values()), default=0.0)

    def uses(self) -> dict[str, Use]:
        """Return the loads of all engines by upstream id, without idle ones."""
        uses = _sum_uses(run for run, _ in self.runs())
        for copy in self._unreported_copies():
            known = uses.get(copy.upstream_id, Use(copy.upstream_id))
            uses[copy.upstream_id] = known.plus(Use(copy.upstream_id, copies=copy.tokens))
        return uses

    def granted_uses(self) -> dict[str, Use]:
        """Return the loads of the granted runs alone, by upstream id."""
        return _sum_uses(grant.run for grant in self._grants.values())

    def _unreported_copies(self) -> Iterable[_Copy]:
        """Yield the ordered copies that no report of their instances shows yet."""
        if not self._copies:
            return
        reported = {
            (run.run.request_id, upstream_id)
            for run, _ in self.runs()
            for upstream_id in (run.run.upstream_id, run.run.backup_id)
        }
        for request_id, copy in self._copies.items():
            if (request_id, copy.upstream_id) not in reported:
                yield copy

    def releases(self, upstream_ids: frozenset[str]) -> tuple[Release, ...]:
        """Return when the runs on some engines are expected to release their memory."""
        return tuple(
            [
                Release(at + ledger_run.run.ends_in_s, ledger_run.tokens)
                for ledger_run, at in self.runs()
                if ledger_run.run.upstream_id in upstream_ids
            ]
        )


def _sum_uses(runs: Iterable[LedgerRun]) -> dict[str, Use]:
    """Return the loads of runs by upstream id."""
    sums: dict[str, list[int]] = {}
    for ledger_run in runs:
        run, tokens = ledger_run.run, ledger_run.tokens
        total = sums.setdefault(run.upstream_id, [0, 0, 0, 0])
        total[0] += 1
        total[1] += tokens
        total[3] += run.prefill_tokens
        if run.backup_id:
            sums.setdefault(run.backup_id, [0, 0, 0, 0])[2] += tokens
    return {
        upstream_id: Use(upstream_id, running, tokens, copies, prefill)
        for upstream_id, (running, tokens, copies, prefill) in sums.items()
    }
