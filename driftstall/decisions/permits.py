"""Decide which requests an upstream gets that names how many a second it takes.

Pattern: some requests a second, or less than one, are shared by a fleet of hundreds of instances
of which each sees hardly a request a second. An upstream that is sent little is the emptiest one,
so all choose it. Even parts would leave most of the limit unused. So one instance gives leave for
each such upstream: rendezvous hashing over the member list names it, and it is asked before each
send. It spaces permits evenly; one that is not used within a moment lapses.

The sum holds while instances don't agree on who lives: who has just become the one to ask gives
nothing for a while in which the others learn of it, nor does one that was paused, and one that
hears less of the fleet than it did lately gives the like part of the limit. Who can't reach the
one it is to ask sends nothing.

Who is denied is told when to ask again, spread over time, so that an upstream's peers are chosen
meanwhile and the questions stay about twice as many as the permits. Where nothing else is left, a
request may wait for its turn; less urgent ones wait for half as long, but for each third permit.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

BURST_PERMITS: Final = 2.0
"""Permits that add up while none is asked for. Within any time t an upstream gets no more than its
limit times t and three more (and what streams under way take ahead): a limit of 0.5 a second is
used by requests that come in pairs."""
MIN_RATE_PER_S: Final = 0.1
"""What an upstream is sent that takes nothing, or less than this: only an answer tells that its
limit has ended. One request in ten seconds."""
SETTLE_S: Final = 1.0
"""How long one that has just become the one to ask gives nothing: all instances know the same
members within half a second, and permits given by the one before have lapsed by then."""
STALE_AFTER_S: Final = 1.0
"""After a gap of this length between two looks the process has stood still: another one may have
given permits meanwhile, and stops only when it hears of this one."""
MAX_DEBT_PERMITS: Final = 3.0
"""Permits that streams under way, and calls that are not held back, may take ahead of time. They
are taken off what follows, so over any longer time the sum stays the same."""
ASKS_PER_PERMIT: Final = 2.0
"""Questions for each permit that who is denied is told to ask: not each one has a request to send
when its time has come."""
MAX_DENIAL_S: Final = 2.0
"""The longest time that one who is denied is told to wait; in fleets of hundreds the questions are
as many as the instances in this time then."""
NOT_OWNER_RETRY_S: Final = 0.3
"""When to ask again one that does not answer for an upstream: the member lists differ."""
LOW_RANK_WAIT_SHARE: Final = 0.5
"""Share of its patience that a request waits while more urgent ones ask as well."""
MAX_URGENT_IN_A_ROW: Final = 2
"""More urgent requests that get permits before a less urgent one may wait for as long as they."""
URGENT_MEMORY_S: Final = 2.0
"""How long a question counts by which more urgent requests are known to come."""
MIN_RETRY_S: Final = 0.1
MAX_RETRY_S: Final = 5.0
"""Times that callers are told lie between these; most give up before a longer one."""
PERMIT_LAPSE_S: Final = 0.3
"""How long after its time a permit may be used."""


@dataclass(frozen=True, slots=True)
class SendNeed:
    """Hold what one request asks of an upstream with a limit."""

    most_wait_s: float
    """How long it can wait for its turn; zero where another upstream takes it."""
    rank: int
    """Zero comes first."""
    under_way: bool = False
    """Whether it is a stream that can go on nowhere else."""


@dataclass(frozen=True, slots=True)
class Permit:
    """Allow one send after a time."""

    wait_s: float


@dataclass(frozen=True, slots=True)
class Denial:
    """Refuse a send, and say when to ask again."""

    retry_in_s: float


Verdict = Permit | Denial


class Allowance:
    """Space the permits of one upstream."""

    def __init__(self, now: float) -> None:
        """Start with nothing saved up, and nothing to give for a while."""
        self._next_at = now + SETTLE_S
        """When the next permit is due; in the past where some were saved up."""
        self._quiet_until = now + SETTLE_S
        self._ask_at = now
        """When the next one that is denied is told to ask again."""
        self._rank = 0
        self._rank_until = float("-inf")
        self._urgent_in_a_row = 0

    def ask(self, need: SendNeed, per_s: float, now: float) -> Verdict:
        """Give or refuse one permit; per_s is what may be given a second."""
        gap_s = 1 / max(MIN_RATE_PER_S, per_s)
        wait_s = self.wait_s(per_s, now)
        if now < self._quiet_until:
            return self._deny(wait_s, gap_s, now)
        due_at = max(self._next_at, now - BURST_PERMITS * gap_s)
        if need.under_way and wait_s <= MAX_DEBT_PERMITS * gap_s:
            self._next_at = due_at + gap_s
            return Permit(0.0)
        patience_s = self._patience_s(need, now)
        if wait_s > patience_s:
            return self._deny(wait_s, gap_s, now)
        self._next_at = due_at + gap_s
        self._note_rank(need, now)
        return Permit(wait_s)

    def wait_s(self, per_s: float, now: float) -> float:
        """Return how long it is until the next permit, without taking it."""
        due_at = max(
            self._next_at, now - BURST_PERMITS / max(MIN_RATE_PER_S, per_s), self._quiet_until
        )
        return max(0.0, due_at - now)

    def charge(self, per_s: float, now: float) -> None:
        """Count one call that is not held back."""
        gap_s = 1 / max(MIN_RATE_PER_S, per_s)
        due_at = max(self._next_at, now - BURST_PERMITS * gap_s)
        self._next_at = min(due_at + gap_s, now + MAX_DEBT_PERMITS * gap_s)

    def _deny(self, wait_s: float, gap_s: float, now: float) -> Denial:
        """Refuse, and tell each one a time of its own."""
        at = max(self._ask_at, now + wait_s)
        self._ask_at = min(at + gap_s / ASKS_PER_PERMIT, now + max(wait_s, MAX_DENIAL_S))
        return Denial(at - now)

    def _patience_s(self, need: SendNeed, now: float) -> float:
        """Return how long a request may wait: less while more urgent ones come."""
        is_less_urgent = now < self._rank_until and need.rank > self._rank
        if is_less_urgent and self._urgent_in_a_row < MAX_URGENT_IN_A_ROW:
            return LOW_RANK_WAIT_SHARE * need.most_wait_s
        return need.most_wait_s

    def _note_rank(self, need: SendNeed, now: float) -> None:
        """Remember the most urgent rank of late, and how often in a row it has had its turn."""
        if now >= self._rank_until or need.rank <= self._rank:
            self._urgent_in_a_row += 1
            self._rank, self._rank_until = need.rank, now + URGENT_MEMORY_S
        else:
            self._urgent_in_a_row = 0


class Allowances:
    """Hold the allowances of the upstreams that one instance answers for."""

    def __init__(self) -> None:
        """Start with none."""
        self._allowances: dict[str, Allowance] = {}
        self._looked_at = float("-inf")

    def sync(self, upstream_ids: set[str], now: float) -> None:
        """Take in for which upstreams this instance is the one to ask; to be told often."""
        if now - self._looked_at > STALE_AFTER_S:
            self._allowances.clear()
        self._looked_at = now
        for upstream_id in self._allowances.keys() - upstream_ids:
            del self._allowances[upstream_id]
        for upstream_id in upstream_ids - self._allowances.keys():
            self._allowances[upstream_id] = Allowance(now)

    def ask(self, upstream_id: str, need: SendNeed, per_s: float, now: float) -> Verdict:
        """Give or refuse a permit for an upstream."""
        allowance = self._find(upstream_id, now)
        if allowance is None:
            return Denial(NOT_OWNER_RETRY_S)
        return allowance.ask(need, per_s, now)

    def charge(self, upstream_id: str, per_s: float, now: float) -> None:
        """Count one call to an upstream that is not held back."""
        allowance = self._find(upstream_id, now)
        if allowance is not None:
            allowance.charge(per_s, now)

    def _find(self, upstream_id: str, now: float) -> Allowance | None:
        """Return an upstream's allowance, unless this instance has just stood still."""
        if now - self._looked_at > STALE_AFTER_S:
            return None
        return self._allowances.get(upstream_id)


def scaled_limit(per_s: float, heard: int, lately: int) -> float:
    """Return the part of a limit for one that hears of so many of the instances known lately.

    Both sides of a cut stay below the limit together.
    """
    return per_s * min(1.0, heard / max(1, lately))


class DenialTracker:
    """Remember, for one that asks, when it may ask again."""

    def __init__(self) -> None:
        """Start with nothing denied."""
        self._again_at: dict[str, float] = {}

    def denied(self, upstream_id: str, denial: Denial, now: float) -> None:
        """Take in a denial."""
        self._again_at[upstream_id] = now + denial.retry_in_s

    def retry_in_s(self, upstream_id: str, now: float) -> float:
        """Return how long not to ask for an upstream; zero for now."""
        return max(0.0, self._again_at.get(upstream_id, now) - now)

    def keep_only(self, upstream_ids: set[str]) -> None:
        """Forget upstreams that name no limit any more."""
        for upstream_id in self._again_at.keys() - upstream_ids:
            del self._again_at[upstream_id]


class RetryTimes:
    """Tell callers that an instance turns away when it is their turn, each a time of its own."""

    def __init__(self) -> None:
        """Start with nobody told."""
        self._told_until: dict[str, float] = {}

    def next_s(self, service: str, first_s: float, per_s: float, now: float) -> float:
        """Return when the next caller's turn is.

        First is when this instance may ask again at the earliest, per_s its even part of what the
        service's upstreams take.
        """
        at = max(self._told_until.get(service, now), now + first_s)
        self._told_until[service] = min(at + 1 / max(MIN_RATE_PER_S, per_s), now + MAX_RETRY_S)
        return max(MIN_RETRY_S, at - now)
