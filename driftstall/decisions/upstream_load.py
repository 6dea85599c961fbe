"""Track the loads that upstreams report, and the expected time of a further call there.

This answers the load of a plain service on shared machines, where work takes 2.5 times as long for
15% of the time, in periods of about 0.6 s. An upstream states with each response how much work it
has and how long work takes there now (its pace). Both are out of date within tenths of a second,
so each is used with its age: in full at first, then less and less. An estimate changes over to the
sums of the requests that the instances know to have sent, and to the normal pace.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from enum import IntEnum
from typing import Final

from driftstall.decisions.upstream_signals import LoadSignal

FRESH_S: Final = 0.1
"""Age up to which a load has full weight: a sixth of a slow period, and less than a call takes."""
HALF_LIFE_S: Final = 0.3
"""Time in which the weight of an older load halves: half of a slow period, which is the time that
a period has left on average when it is seen."""
MIN_WEIGHT: Final = 0.1
"""Weight below which a load is disregarded: 1.1 s after it was reported, when the slow period that
it may have been in is over."""
MIN_GAUGE_WEIGHT: Final = 0.5
"""Weight down to which a pace is shown in the metrics."""
SLOW_PACE: Final = 1.5
"""Pace from which an upstream counts as slow in the log; slow periods have 2.5, others about 1."""
QUEUE_LIMIT_VALID_S: Final = 10.0
"""How long the length of an upstream's queue is used, as learned from a rejection: it may be
configured anew, and each upstream costs one more rejection in this time to find out."""
TRANSFER_TOLERANCE_S: Final = 0.01
"""A peer's load that seems newer by less than this may be the one known here: ages in messages are
rounded and do not count the time of transfer, up to 1.4 ms a hop between zones."""
NORMAL_PACE: Final = 1.0
MS_PER_S: Final = 1000


class LoadSource(IntEnum):
    """How an instance has learned of a load; a load is not reported back to where it came from."""

    RESPONSE = 0
    """From a response of the upstream to this instance."""
    REPORT = 1
    """From the report of the instance that got the response."""
    SUMMARY = 2
    """From a collector's summary."""


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Report to a peer the newest load of an upstream that states its pace."""

    upstream_id: str
    running: int
    waiting: int
    slots: int
    pace: float
    age_ms: int


@dataclass(frozen=True, slots=True)
class LoadEstimate:
    """Estimate of an upstream's load now, from its newest reported load."""

    busy: float
    """Requests running or waiting there."""
    slots: int
    pace: float
    """How long work takes there as a multiple of the normal time."""
    reports_pace: bool
    limit: int | None = None
    """Requests that slots and queue are known to take; None if unknown, or the load is old."""

    @property
    def is_full(self) -> bool:
        """Return True if a further request is known to be beyond slots and queue."""
        return self.limit is not None and self.busy + 1 > self.limit


@dataclass(frozen=True, slots=True)
class _Record:
    """Hold the newest load of one upstream."""

    signal: LoadSignal
    at: float
    known_running: int
    """Requests known to be in progress there, by the instances' sums, when this was recorded. A
    response is taken to count the request that it answers, as the sums still do."""
    source: LoadSource


@dataclass(frozen=True, slots=True)
class _QueueLimit:
    """Hold the length of an upstream's queue, as learned from a rejection."""

    waiting: int
    at: float


class UpstreamLoads:
    """Hold the newest load of each upstream, with its age."""

    def __init__(self) -> None:
        """Initialize without loads."""
        self._records: dict[str, _Record] = {}
        self._queue_limits: dict[str, _QueueLimit] = {}

    def record_response(
        self, upstream_id: str, signal: LoadSignal, known_running: int, now: float
    ) -> bool:
        """Record the load in a response; return True if the upstream has become slow or normal.

        `known_running` is the number of requests in progress there by the instances' sums.
        """
        before = self._records.get(upstream_id)
        was_slow = before is not None and before.signal.pace >= SLOW_PACE
        self._records[upstream_id] = _Record(signal, now, known_running, LoadSource.RESPONSE)
        limit = self._queue_limits.get(upstream_id)
        if limit is not None and signal.waiting > limit.waiting:
            self._queue_limits[upstream_id] = _QueueLimit(signal.waiting, now)
        return (signal.pace >= SLOW_PACE) != was_slow

    def record_rejection(self, upstream_id: str, known_running: int, now: float) -> None:
        """Record that an upstream has rejected a request, in the response with its newest load.

        If its slots were taken by that load, the number of requests that waited is what its queue
        holds. `known_running` no longer counts the rejected request, which is not
        in the upstream's figures either.
        """
        record = self._records.get(upstream_id)
        if record is None or record.source is not LoadSource.RESPONSE or now - record.at > FRESH_S:
            return
        if record.signal.running >= record.signal.slots:
            self._queue_limits[upstream_id] = _QueueLimit(record.signal.waiting, now)
            self._records[upstream_id] = replace(record, known_running=known_running)

    def record_peer(
        self,
        loads: Iterable[ReportedLoad],
        source: LoadSource,
        known_running: Callable[[str], int],
        now: float,
    ) -> None:
        """Record the loads in a peer's message that are newer than those known here.

        A collector's summary also repeats what this instance has reported. That load stays as it
        was recorded, since `known_running` returns the requests in progress now, not at its time.
        """
        for load in loads:
            at = now - load.age_ms / MS_PER_S
            known = self._records.get(load.upstream_id)
            if known is not None and known.at > at - TRANSFER_TOLERANCE_S:
                continue
            signal = LoadSignal(load.running, load.waiting, load.slots, load.pace, True)
            running = known_running(load.upstream_id)
            self._records[load.upstream_id] = _Record(signal, at, running, source)

    def estimate(self, upstream_id: str, known_running: int, now: float) -> LoadEstimate | None:
        """Return the estimated load of an upstream; None without a load that is new enough.

        `known_running` is the number of requests in progress there by the instances' sums. Requests
        sent or ended since the load was reported change it by as many. The difference between the
        upstream's own figure and the sums decays with the age of the load.
        """
        record = self._records.get(upstream_id)
        if record is None:
            return None
        weight = _weight(record, now)
        if weight < MIN_WEIGHT:
            return None
        signal = record.signal
        unknown = signal.running + signal.waiting - record.known_running
        return LoadEstimate(
            max(0.0, known_running + weight * unknown),
            max(1, signal.slots),
            _faded_pace(record, weight),
            signal.reports_pace,
            self._limit(upstream_id, signal, now) if now - record.at <= FRESH_S else None,
        )

    def pace(self, upstream_id: str, now: float) -> float:
        """Return how long work takes at an upstream as a multiple of the normal time."""
        record = self._records.get(upstream_id)
        return NORMAL_PACE if record is None else _faded_pace(record, _weight(record, now))

    def max_pace(self, now: float) -> float:
        """Return the largest pace that an upstream has reported lately; 1 if none has."""
        paces = [
            record.signal.pace
            for record in self._records.values()
            if record.signal.reports_pace and _weight(record, now) >= MIN_GAUGE_WEIGHT
        ]
        return max(paces, default=NORMAL_PACE)

    def reported(self, now: float, source: LoadSource) -> tuple[ReportedLoad, ...]:
        """Return the loads to report to peers: of upstreams that state their pace, with their age.

        Only those are returned that were learned as directly as `source`.
        """
        return tuple(
            ReportedLoad(
                upstream_id,
                record.signal.running,
                record.signal.waiting,
                record.signal.slots,
                record.signal.pace,
                round(max(0.0, now - record.at) * MS_PER_S),
            )
            for upstream_id, record in self._records.items()
            if record.signal.reports_pace
            and record.source <= source
            and _weight(record, now) >= MIN_WEIGHT
        )

    def keep_only(self, upstream_ids: set[str]) -> None:
        """Discard the loads of all upstreams except the given ones."""
        for known in (self._records, self._queue_limits):
            for upstream_id in [each for each in known if each not in upstream_ids]:
                del known[upstream_id]

    def _limit(self, upstream_id: str, signal: LoadSignal, now: float) -> int | None:
        """Return how many requests an upstream's slots and queue take; None if not known."""
        limit = self._queue_limits.get(upstream_id)
        if limit is None or now - limit.at > QUEUE_LIMIT_VALID_S:
            return None
        return signal.slots + limit.waiting


def expected_completion(busy: float, slots: int, pace: float) -> float:
    """Return when a further call is expected to finish, in mean work times of its service.

    It starts at once in a free slot, and otherwise after those that are ahead of it, which `slots`
    of them at a time finish. The number of free slots does not count otherwise: preferring more of
    them sent the calls of many instances to the same upstream, by loads that were out of date
    (`measures/uneven_upstreams.py`). All upstreams of a service have the same mean work time, so
    it need not be known to compare them.
    """
    ahead = max(0.0, busy + 1 - slots)
    return pace * (1 + ahead / slots)


def mean_pace(first: float, last: float) -> float:
    """Return the pace of work during which it has changed, on average halfway.

    This is the harmonic mean: the work done in each half is inversely proportional to its pace.
    """
    return 2 / (1 / first + 1 / last)


def _weight(record: _Record, now: float) -> float:
    """Return the weight of a load by its age, from 0 to 1."""
    return float(0.5 ** (max(0.0, now - record.at - FRESH_S) / HALF_LIFE_S))


def _faded_pace(record: _Record, weight: float) -> float:
    """Return a reported pace that approaches the normal one as its weight decays."""
    return NORMAL_PACE + weight * (record.signal.pace - NORMAL_PACE)
