"""Decide which request has crashed upstreams, and for how long it is not sent to any.

Pattern: a request ends each process that runs it, soon after it has begun. Its caller asks again
under a new id, at any instance, so each attempt costs another upstream with all that runs there. In
the same crash dozens of other requests break off; their callers ask again as well, and one or the
other is beside a crash a second time. Many requests may be alike and mostly end well.

What tells the one from the others:
- It never ends well. So a good end clears a request of all crashes before it, and of those for some
  seconds after it: of alike ones some has always just ended well.
- It crashes upstreams when it begins. A run that had been under way for a while weighs half.
- It is there each time. A crash that a request with more crashes explains counts for nobody else.

Two crashes of runs that had just begun are enough: to wait for a third costs one more upstream with
all it runs, while one that is refused wrongly is one request, for half a minute. Who was beside a
second one may only have been unlucky twice, so it is tried again after that; a third crash is no
chance any more.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

QUARANTINE_WEIGHT: Final = 2.0
"""Weight of crashes from which a request is sent to no upstream."""
EARLY_CRASH_WEIGHT: Final = 1.0
LATE_CRASH_WEIGHT: Final = 0.5
"""Weight of a crash of a run that was under way there."""
UNDER_WAY_S: Final = 1.0
"""A run is under way once it has made events for so long; the time in an engine's queue does not
count."""
QUARANTINE_DURATIONS_S: Final = (30.0, 600.0, 3600.0)
"""How long a request is refused after its newest crash, with two, three, and more."""
SUCCESS_GRACE_S: Final = 10.0
"""A crash so soon after a good end of the same request is not put down to it."""
SAME_CRASH_WINDOW_S: Final = 2.0
"""Runs that an instance sees end with one upstream within this time were beside one crash. What
peers tell goes by the number of crashes alone: word that waited behind a cut or a frozen instance
makes them look younger than they are."""
CRASH_RETENTION_S: Final = 7200.0
"""How long a crash is remembered: twice the longest rest."""
CHANGE_PUBLISH_S: Final = 10.0
"""How long peers are told of what has changed, where it convicts nobody."""
MIN_SUCCESS_ADVANCE_S: Final = 1.0
"""A good end is news to an instance that knew of none within this time before it."""
MAX_RECORDS: Final = 1_000
"""Requests that are remembered beside crashes, some 400 bytes each."""
MAX_CRASHES_PER_REQUEST: Final = 8
"""Crashes remembered of one request."""
MAX_SUCCESSES: Final = 2_000
"""Requests remembered for their good end alone, some 150 bytes each: a hundred seconds of the
enrolment desk."""
MAX_REPORTS_PER_MESSAGE: Final = 64
"""Requests that peers are told of at once."""
NEVER: Final = float("-inf")


@dataclass(frozen=True, slots=True)
class Crash:
    """Hold that an upstream ended while a request ran there."""

    upstream_id: str
    at: float
    """When it was noticed, in seconds of the steady clock."""
    under_way: bool
    """Whether the run had made events there for a while."""

    @property
    def weight(self) -> float:
        """Return how much it speaks against the request."""
        return LATE_CRASH_WEIGHT if self.under_way else EARLY_CRASH_WEIGHT

    def is_same(self, other: Crash) -> bool:
        """Tell whether what one instance has seen twice is the same crash."""
        return (
            self.upstream_id == other.upstream_id and abs(self.at - other.at) <= SAME_CRASH_WINDOW_S
        )


@dataclass(frozen=True, slots=True)
class CrashTold:
    """Tell a peer of one crash; instances share no clock, so it tells its age."""

    upstream_id: str
    ago_ms: int
    under_way: bool


@dataclass(frozen=True, slots=True)
class BlameTold:
    """Tell a peer what is known of one request."""

    fingerprint: str
    crashes: tuple[CrashTold, ...]
    well_ago_ms: int | None
    """How long ago it last ended well; None if it is not known to have."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """Tell whether a request may be sent."""

    wait_s: float = 0.0
    """How long to wait until it may; zero for now."""
    weight: float = 0.0
    upstream_ids: tuple[str, ...] = ()
    """The upstreams that have ended under it."""

    @property
    def is_poison(self) -> bool:
        """Tell whether it is held to have crashed them, also where it may be tried again."""
        return self.weight >= QUARANTINE_WEIGHT


@dataclass(slots=True)
class _Record:
    """Hold what is known of one request."""

    crashes: list[Crash] = field(default_factory=list)
    well_at: float = NEVER
    changed_at: float = NEVER

    @property
    def counted(self) -> list[Crash]:
        """Return the crashes that a good end does not clear it of."""
        return [one for one in self.crashes if one.at > self.well_at + SUCCESS_GRACE_S]

    @property
    def weight(self) -> float:
        """Return the weight of the crashes that count, whoever else was there."""
        return sum(one.weight for one in self.counted)


class PoisonTracker:
    """Hold what requests did to upstreams, as one instance and its peers have seen it."""

    def __init__(self) -> None:
        """Start with nothing."""
        self._records: dict[str, _Record] = {}
        self._beside: dict[str, set[str]] = {}
        """The requests that ran on upstreams when these crashed."""
        self._well: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        """Return how many requests are remembered beside crashes."""
        return len(self._records)

    def record_crash(self, fingerprint: str, crash: Crash) -> bool:
        """Take in a crash beside which a request ran; return whether it is news."""
        record = self._records.get(fingerprint)
        if record is None:
            record = self._records[fingerprint] = _Record(well_at=self._well_at(fingerprint))
        for index, known in enumerate(record.crashes):
            if known.is_same(crash):
                if crash.under_way or not known.under_way:
                    return False
                del record.crashes[index]
                break
        self._add(fingerprint, record, crash)
        record.changed_at = crash.at
        self._make_room()
        return True

    def record_success(self, fingerprint: str, now: float) -> bool:
        """Take in a request's good end; return whether peers are to know of it."""
        self._well[fingerprint] = now
        self._well.move_to_end(fingerprint)
        if len(self._well) > MAX_SUCCESSES:
            self._well.popitem(last=False)
        record = self._records.get(fingerprint)
        if record is None:
            return False
        was_suspect = bool(record.counted)
        record.well_at = now
        if was_suspect:
            record.changed_at = now
        return was_suspect

    def verdict(self, fingerprint: str, now: float) -> Verdict:
        """Tell whether a request may be sent now."""
        record = self._records.get(fingerprint)
        if record is None or record.weight < QUARANTINE_WEIGHT:
            return Verdict()
        counted = [one for one in record.counted if not self._explains(one, record)]
        weight = sum(one.weight for one in counted)
        if weight < QUARANTINE_WEIGHT:
            return Verdict(weight=weight)
        rest_s = QUARANTINE_DURATIONS_S[
            min(int(weight - QUARANTINE_WEIGHT), len(QUARANTINE_DURATIONS_S) - 1)
        ]
        wait_s = max(0.0, max(one.at for one in counted) + rest_s - now)
        return Verdict(wait_s, weight, tuple(one.upstream_id for one in counted))

    def quarantined(self, now: float) -> dict[str, Verdict]:
        """Return the requests that are sent to no upstream now."""
        found = {one: self.verdict(one, now) for one in self._records}
        return {one: verdict for one, verdict in found.items() if verdict.wait_s}

    def reports(self, now: float) -> tuple[BlameTold, ...]:
        """Return what peers are to know, the strongest first."""
        known = [
            (fingerprint, record)
            for fingerprint, record in self._records.items()
            if now - record.changed_at <= CHANGE_PUBLISH_S
            or sum(one.weight for one in record.crashes) >= QUARANTINE_WEIGHT
        ]
        known.sort(key=lambda one: (-one[1].weight, -one[1].changed_at))
        return tuple(_told(*one, now) for one in known[:MAX_REPORTS_PER_MESSAGE])

    def report_for(self, fingerprint: str, now: float) -> BlameTold | None:
        """Return what is known of one request; None if nothing is."""
        record = self._records.get(fingerprint)
        return _told(fingerprint, record, now) if record is not None else None

    def merge(self, told: Iterable[BlameTold], now: float) -> bool:
        """Take in what a peer knows; return whether anything of it is news."""
        return any([self._take(one, now) for one in told])

    def find_exonerations(self, told: Iterable[BlameTold], now: float) -> tuple[BlameTold, ...]:
        """Return what clears requests of crashes that a peer holds against them."""
        found = []
        for one in told:
            record = self._records.get(one.fingerprint)
            if record is None or not one.crashes:
                continue
            well_ago_s = now - record.well_at
            theirs_s = float("inf") if one.well_ago_ms is None else one.well_ago_ms / 1000
            newest_s = min(crash.ago_ms for crash in one.crashes) / 1000
            # It clears them of crashes until some seconds after it.
            clears = newest_s > well_ago_s - SUCCESS_GRACE_S
            if clears and theirs_s - well_ago_s > MIN_SUCCESS_ADVANCE_S:
                found.append(_told(one.fingerprint, record, now))
        return tuple(found)

    def forget_expired(self, now: float) -> None:
        """Forget what has no effect any more."""
        for fingerprint, record in list(self._records.items()):
            record.crashes = [one for one in record.crashes if now - one.at <= CRASH_RETENTION_S]
            if not record.crashes:
                del self._records[fingerprint]
        self._beside.clear()
        for fingerprint, record in self._records.items():
            for crash in record.crashes:
                self._beside.setdefault(crash.upstream_id, set()).add(fingerprint)

    def _take(self, told: BlameTold, now: float) -> bool:
        """Take in what a peer knows of one request."""
        record = self._records.get(told.fingerprint)
        is_new = record is None
        if record is None:
            record = _Record(well_at=self._well_at(told.fingerprint))
        well_at = NEVER if told.well_ago_ms is None else now - told.well_ago_ms / 1000
        # Each hop makes a good end look younger by its delay. If that were taken in, it would clear
        # the request of later and later crashes.
        changed = well_at > record.well_at + MIN_SUCCESS_ADVANCE_S
        if changed:
            record.well_at = well_at
        for crash in _more_than(record.crashes, told.crashes, now):
            changed = self._add(told.fingerprint, record, crash) or changed
        if not record.crashes:
            return False
        if is_new:
            self._records[told.fingerprint] = record
        if changed:
            record.changed_at = now
            self._make_room()
        return changed

    def _add(self, fingerprint: str, record: _Record, crash: Crash) -> bool:
        """Add a crash that is not known; return whether it is among those remembered.

        What is too old to be is no news: two instances would pass it to and fro for ever.
        """
        record.crashes = sorted([*record.crashes, crash], key=lambda one: one.at)[
            -MAX_CRASHES_PER_REQUEST:
        ]
        if crash not in record.crashes:
            return False
        self._beside.setdefault(crash.upstream_id, set()).add(fingerprint)
        return True

    def _well_at(self, fingerprint: str) -> float:
        """Return when a request last ended well here."""
        return self._well.get(fingerprint, NEVER)

    def _explains(self, crash: Crash, record: _Record) -> bool:
        """Tell whether a request with more crashes was beside a crash, and explains it."""
        weight = record.weight
        for fingerprint in self._beside.get(crash.upstream_id, ()):
            other = self._records.get(fingerprint)
            if other is None or other is record or other.weight <= weight:
                continue
            if any(one.upstream_id == crash.upstream_id for one in other.counted):
                return True
        return False

    def _make_room(self) -> None:
        """Forget the weakest and oldest where there are too many."""
        while len(self._records) > MAX_RECORDS:
            self._drop(min(self._records, key=self._strength))

    def _strength(self, fingerprint: str) -> tuple[float, float]:
        """Return what speaks for remembering a request."""
        record = self._records[fingerprint]
        return (record.weight, record.changed_at)

    def _drop(self, fingerprint: str) -> None:
        """Forget one request."""
        for crash in self._records.pop(fingerprint).crashes:
            beside = self._beside.get(crash.upstream_id)
            if beside is not None:
                beside.discard(fingerprint)
                if not beside:
                    del self._beside[crash.upstream_id]


def _more_than(known: list[Crash], told: Iterable[CrashTold], now: float) -> list[Crash]:
    """Return the crashes of which a peer knows more at an upstream than is known here."""
    missing = Counter(one.upstream_id for one in told)
    missing.subtract(Counter(one.upstream_id for one in known))
    found = []
    # The newest ones: what is known here was told or seen before.
    for one in sorted(told, key=lambda one: one.ago_ms):
        if missing[one.upstream_id] > 0 and one.ago_ms <= CRASH_RETENTION_S * 1000:
            missing[one.upstream_id] -= 1
            found.append(Crash(one.upstream_id, now - one.ago_ms / 1000, one.under_way))
    return found


def _told(fingerprint: str, record: _Record, now: float) -> BlameTold:
    """Return what is known of one request, with ages in place of times."""
    crashes = tuple(
        CrashTold(one.upstream_id, _ago_ms(one.at, now), one.under_way) for one in record.crashes
    )
    well = None if record.well_at == NEVER else _ago_ms(record.well_at, now)
    return BlameTold(fingerprint, crashes, well)


def _ago_ms(at: float, now: float) -> int:
    """Return an age as it travels."""
    return max(0, int((now - at) * 1000))
