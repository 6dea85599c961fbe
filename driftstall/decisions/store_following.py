"""Decide which instance follows the platform's store in place of one whose calls fail.

A follower whose calls fail asks other instances, one after the other, until one accepts. Collectors
that learn of no recent answer of the store start following without being asked. Times are seconds
on the caller's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Final

from driftstall.decisions.locate import weight

CANDIDATE_KEY: Final = "store-following"
ANSWER_TIMEOUT_S: Final = 0.15
"""How long to wait for a candidate's answer: a hop between zones takes 1.4 ms one way, and a call
to a store that is fifty times slower than usual 0.2 s. Such a candidate's late answer counts."""
REPEAT_INTERVAL_S: Final = 1.0
"""Interval of repeated requests to the candidate that accepted."""
ACTING_S: Final = 5.0
"""How long an instance follows after a request; it must outlast some lost repeats."""
MAX_CANDIDATES: Final = 8
"""Candidates asked before a pause: each makes at most one call, so this bounds the calls made in an
outage of the whole store."""
MIN_PAUSE_S: Final = 1.0
MAX_PAUSE_S: Final = 4.0
"""Longest pause after unsuccessful attempts; instances poll about as often in an outage."""
RECENT_FAILURE_S: Final = 0.5
"""How long after a failed call an instance declines without another call."""
RECENT_ANSWER_S: Final = 1.1
"""Age of the last answer up to which an instance that follows accepts without another call: an idle
watch of 0.8 s, and a slow answer."""
STANDBY_AGE_S: Final = 1.0
"""Age of the store's youngest answer from which standby collectors start to follow. Followers
report each answer that ends an idle watch of 0.8 s at once, so it stays below this otherwise."""
STANDBY_STEP_S: Final = 0.1
"""Further delay of each next standby collector, so that usually only the first one calls."""


def order_candidates(groups: Iterable[Iterable[str]]) -> tuple[str, ...]:
    """Return the instances to ask, best first: by group, and by rendezvous weight in each group.

    All instances use the same order, so that requests of several followers reach the same
    candidate, which calls the store once for all of them.
    """
    ordered: dict[str, None] = {}
    for group in groups:
        for instance_id in sorted(group, key=lambda name: -weight(CANDIDATE_KEY, name)):
            ordered.setdefault(instance_id)
    return tuple(ordered)


class IncreasingPause:
    """Double the pause after each unsuccessful attempt, up to a maximum."""

    def __init__(self) -> None:
        """Initialize with the shortest pause."""
        self._next_s = MIN_PAUSE_S

    def take(self) -> float:
        """Return the pause to make now, in seconds."""
        pause_s, self._next_s = self._next_s, min(MAX_PAUSE_S, 2 * self._next_s)
        return pause_s

    def reset(self) -> None:
        """Start again with the shortest pause."""
        self._next_s = MIN_PAUSE_S


@dataclass(frozen=True, slots=True)
class CandidateRequest:
    """Ask a candidate to follow the store."""

    candidate: str
    number: int
    failed: tuple[str, ...]
    """Instances whose calls the store has just rejected."""
    is_repeat: bool


@dataclass(frozen=True, slots=True)
class SearchPaused:
    """No candidate has accepted; the search pauses."""

    pause_s: float


class SubstituteSearch:
    """Search for an instance that follows in place of this one, and keep it following."""

    def __init__(self, own_id: str) -> None:
        """Initialize without a search under way."""
        self._own_id = own_id
        self._number = 0
        self._pause = IncreasingPause()
        self._is_active = False
        self._asked: str | None = None
        """The candidate whose answer is awaited."""
        self._substitute: str | None = None
        self._timed_out: str | None = None
        self._due_at = float("-inf")
        self._count = 0
        self._tried: set[str] = set()
        self._numbers: dict[int, str] = {}
        """Candidates by the numbers of the requests to them, as answers may come late."""
        self._failed_at: dict[str, float] = {}

    @property
    def is_active(self) -> bool:
        """Return True while a substitute is sought or kept."""
        return self._is_active

    @property
    def substitute(self) -> str | None:
        """Return the instance that has accepted; None while none has."""
        return self._substitute

    @property
    def timed_out(self) -> str | None:
        """Return the candidate whose missing answer led to the latest request, if any."""
        return self._timed_out

    def begin(self) -> None:
        """Begin to search; a search that is under way goes on."""
        if not self._is_active:
            self._is_active = True
            self._clear()

    def end(self) -> None:
        """End the search: the own calls are answered, or this instance no longer follows."""
        self._is_active = False
        self._pause.reset()
        self._clear()

    def next_step(
        self, candidates: Iterable[str], now: float
    ) -> CandidateRequest | SearchPaused | None:
        """Return the request to send now, or the pause that begins now; None if neither is due."""
        if not self._is_active or now < self._due_at:
            return None
        self._timed_out = self._asked
        if self._asked is not None:
            self._tried.add(self._asked)
            if self._substitute == self._asked:
                self._substitute = None
            self._asked = None
        if self._substitute is not None:
            return self._request(self._substitute, now, is_repeat=True)
        if self._count >= MAX_CANDIDATES:
            return self._begin_pause(now)
        rejected = self._rejected(now)
        for candidate in candidates:
            if candidate not in self._tried and candidate not in rejected:
                self._count += 1
                return self._request(candidate, now, is_repeat=False)
        # Each has been asked. The next attempt starts again with the first ones.
        self._tried.clear()
        return self._begin_pause(now)

    def record_answer(
        self, sender: str, number: int, accepted: bool, failed: Iterable[str], now: float
    ) -> bool:
        """Record a candidate's answer; return False if it does not matter any more.

        An acceptance that comes late counts while no other candidate has accepted.
        """
        if not self._is_active or self._numbers.get(number) != sender:
            return False
        for instance_id in failed:
            self._failed_at[instance_id] = now
        if accepted:
            if self._substitute not in (None, sender):
                return False
            is_new = self._substitute is None
            self._substitute, self._asked = sender, None
            self._count = 0
            self._tried.clear()
            self._pause.reset()
            self._due_at = now + REPEAT_INTERVAL_S
            return is_new
        self._tried.add(sender)
        if self._substitute == sender:
            self._substitute = None
        if self._asked == sender:
            self._asked = None
            self._due_at = now
        return True

    @property
    def due_at(self) -> float:
        """Return when the next step is due; infinity while no search is under way."""
        return self._due_at if self._is_active else float("inf")

    def _request(self, candidate: str, now: float, *, is_repeat: bool) -> CandidateRequest:
        """Return a request to a candidate, and wait for its answer."""
        self._number += 1
        self._numbers[self._number] = candidate
        self._asked = candidate
        self._due_at = now + ANSWER_TIMEOUT_S
        failed = tuple(sorted({self._own_id, *self._rejected(now)}))
        return CandidateRequest(candidate, self._number, failed, is_repeat)

    def _begin_pause(self, now: float) -> SearchPaused:
        """Pause; candidates that were not asked yet come first after it."""
        pause_s = self._pause.take()
        self._count = 0
        self._numbers.clear()
        self._due_at = now + pause_s
        return SearchPaused(pause_s)

    def _rejected(self, now: float) -> set[str]:
        """Return the instances that the store has just rejected, and this one."""
        self._failed_at = {
            name: at for name, at in self._failed_at.items() if now - at < RECENT_FAILURE_S
        }
        return {self._own_id, *self._failed_at}

    def _clear(self) -> None:
        """Forget the candidates and their answers."""
        self._asked = self._substitute = self._timed_out = None
        self._due_at = float("-inf")
        self._count = 0
        self._tried.clear()
        self._numbers.clear()
        self._failed_at.clear()


class Reply(Enum):
    """What a candidate does about a request."""

    ACCEPT = "accept"
    DECLINE = "decline"
    CALL = "call"
    """Call the store, and answer with the outcome."""


class CallResults:
    """Track the outcomes of this instance's calls to the store, by feed."""

    def __init__(self) -> None:
        """Initialize without calls."""
        self._answered_at = float("-inf")
        self._failed_at: dict[str, float] = {}

    @property
    def answered_at(self) -> float:
        """Return when a call was last answered."""
        return self._answered_at

    @property
    def failing_feeds(self) -> tuple[str, ...]:
        """Return the feeds whose latest call failed."""
        return tuple(self._failed_at)

    @property
    def is_failing(self) -> bool:
        """Return True if the latest call of some feed failed."""
        return bool(self._failed_at)

    def record_answer(self, feed: str, now: float) -> None:
        """Record an answered call."""
        self._answered_at = now
        self._failed_at.pop(feed, None)

    def record_failure(self, feed: str, now: float) -> None:
        """Record a failed call."""
        self._failed_at[feed] = now

    def forget_failures(self) -> None:
        """Forget failures from before this instance began to follow."""
        self._failed_at.clear()

    def failed_recently(self, now: float) -> bool:
        """Return True if the latest call of some feed has just failed."""
        return any(now - at < RECENT_FAILURE_S for at in self._failed_at.values())


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request that is answered once the store has been called."""

    sender: str
    number: int


class ActingRole:
    """Follow the store at the request of others, for a limited time."""

    def __init__(self, results: CallResults) -> None:
        """Initialize without requests, with the outcomes of the own calls."""
        self._results = results
        self._until = float("-inf")
        self._pending: dict[str, PendingRequest] = {}
        self._pending_until = float("-inf")

    def is_acting(self, now: float) -> bool:
        """Return True while this instance follows at the request of others."""
        return now < self._until

    def is_probing(self, now: float) -> bool:
        """Return True while requests wait for the outcome of a call."""
        return bool(self._pending) and now < self._pending_until

    @property
    def until(self) -> float:
        """Return when the role ends unless a request extends it."""
        return self._until

    def handle_request(self, sender: str, number: int, now: float, *, follows: bool) -> Reply:
        """Decide about a request; follows tells whether this instance follows already."""
        if self._results.failed_recently(now):
            self._until = float("-inf")
            return Reply.DECLINE
        age_s = now - self._results.answered_at
        if follows and age_s <= RECENT_ANSWER_S and not self._results.is_failing:
            self._until = now + ACTING_S
            return Reply.ACCEPT
        self._pending[sender] = PendingRequest(sender, number)
        self._pending_until = now + 2 * ANSWER_TIMEOUT_S
        return Reply.CALL

    def record_answer(self, now: float) -> tuple[PendingRequest, ...]:
        """Accept and return the waiting requests, as the store has answered."""
        requests = self._take()
        if requests:
            self._until = now + ACTING_S
        return requests

    def record_failure(self) -> tuple[PendingRequest, ...]:
        """Decline and return the waiting requests, as the store has rejected a call."""
        requests = self._take()
        if requests:
            self._until = float("-inf")
        return requests

    def _take(self) -> tuple[PendingRequest, ...]:
        """Remove and return the waiting requests."""
        requests = tuple(self._pending.values())
        self._pending.clear()
        return requests


class StoreAnswers:
    """Track when the store last answered each instance that follows it, by their reports."""

    def __init__(self) -> None:
        """Initialize without reports."""
        self._answered_at: dict[str, float] = {}

    def record(self, sender: str, age_s: float, now: float) -> None:
        """Record a report: how long ago the store answered the sender, in seconds."""
        at = now - age_s
        if at > self._answered_at.get(sender, float("-inf")):
            self._answered_at[sender] = at

    def youngest_age_s(self, now: float, ignored: frozenset[str] = frozenset()) -> float:
        """Return the age of the youngest answer of any sender that is not ignored, in seconds."""
        times = [at for sender, at in self._answered_at.items() if sender not in ignored]
        return now - max(times, default=float("-inf"))


class StandbyRule:
    """Decide when a collector that does not follow the store starts to, without being asked."""

    def __init__(self) -> None:
        """Initialize for an instance that is no standby."""
        self._since: float | None = None
        self._is_following = False
        self._paused_until = float("-inf")
        self._pause = IncreasingPause()

    @property
    def is_following(self) -> bool:
        """Return True while this instance follows as a standby."""
        return self._is_following

    def update(self, position: int | None, youngest_age_s: float, now: float) -> bool:
        """Update by the age of the youngest answer known; return True if the decision changes.

        The position is this instance's place among the standby collectors, from 1, and None if it
        is not one. The age is that of answers to followers and to standbys before this one: with
        those after it counted, two standbys would stop at each other's reports.
        """
        before = self._is_following
        if position is None:
            self._since, self._is_following = None, False
            return before
        if self._since is None:
            self._since = now
        age_s = min(youngest_age_s, now - self._since)
        if self._is_following:
            self._is_following = youngest_age_s >= STANDBY_AGE_S
            if not self._is_following:
                # It waits for the others' answers to grow old again, as after its start.
                self._pause.reset()
        elif now >= self._paused_until:
            self._is_following = age_s >= STANDBY_AGE_S + STANDBY_STEP_S * position
        return before != self._is_following

    def record_failure(self, now: float) -> None:
        """Pause, as the store has rejected a call of this standby."""
        if self._is_following:
            self._is_following = False
            self._paused_until = now + self._pause.take()

    def record_answer(self) -> None:
        """Start again with the shortest pause."""
        self._pause.reset()
