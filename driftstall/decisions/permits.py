"""Space the requests sent to an upstream with a rate limit by permits from one owner.

A limit of some requests a second, or of less than one, is shared by a fleet of hundreds of
instances, each of which sees hardly a request a second. An upstream that is sent few requests
looks the emptiest, so all instances would choose it; equal shares would leave most of the limit
unused. So one instance gives the permits for each such upstream: rendezvous hashing over the
member list selects this owner, and it is asked before each send. It spaces permits evenly; a
permit that is not used within PERMIT_LAPSE_S lapses.

The total holds while instances disagree on the live members: an instance that has just become the
owner gives no permits for a while in which the others learn of it, nor does one that was paused,
and an owner that hears from only part of the lately known instances gives the same part of the
limit. An instance that can't reach the owner sends nothing.

A denial says when to ask again, spread over time, so that an upstream's peers are chosen meanwhile
and the owner is asked about twice as often as it gives permits. Where no other upstream remains, a
request may wait for its turn; less urgent ones wait for half as long, except for each third
permit.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

BURST_PERMITS: Final = 2.0
"""Permits that accumulate while none is requested. Within any time t an upstream gets at most its
limit times t plus three more requests (and those of streams under way that are sent ahead of
time). So a limit of 0.5 a second can be used by requests that come in pairs."""
MIN_RATE_PER_S: Final = 0.1
"""Rate for an upstream whose limit is zero or lower than this: one request in ten seconds. Only a
response shows that a limit has ended, so some requests must be sent."""
SETTLE_S: Final = 1.0
"""How long a new owner gives no permits: all instances know the same members within half a second,
and permits given by the previous owner have lapsed by then."""
STALE_AFTER_S: Final = 1.0
"""A gap of this length between two calls of sync means that the process was paused: another
instance may have given permits meanwhile, and stops only when it hears from this one."""
MAX_DEBT_PERMITS: Final = 3.0
"""Permits that streams under way, and calls that are not held back, may take ahead of time. They
are deducted from later ones, so over any longer time the total stays the same."""
ASKS_PER_PERMIT: Final = 2.0
"""Retry times assigned to denied instances for each permit. Not every instance still has a request
to send when its retry time has come."""
MAX_DENIAL_S: Final = 2.0
"""Maximum wait of a denied instance before it asks again. In fleets of hundreds the owner is then
asked about once by each instance within this time."""
NOT_OWNER_RETRY_S: Final = 0.3
"""When to ask again an instance that is not the owner: the member lists differ."""
LOW_RANK_WAIT_SHARE: Final = 0.5
"""Share of its maximum wait that a request waits while more urgent ones ask as well."""
MAX_URGENT_IN_A_ROW: Final = 2
"""More urgent requests that get permits before a less urgent one may wait for its full time."""
URGENT_MEMORY_S: Final = 2.0
"""How long after a permit for an urgent request more such requests are expected."""
MIN_RETRY_S: Final = 0.1
MAX_RETRY_S: Final = 5.0
"""Retry times for callers lie between these; most callers give up before a longer one."""
PERMIT_LAPSE_S: Final = 0.3
"""How long after its time a permit may be used."""


@dataclass(frozen=True, slots=True)
class SendNeed:
    """Describe what one request needs from an upstream with a limit."""

    max_wait_s: float
    """How long it can wait for its turn; zero where another upstream accepts it."""
    rank: int
    """Zero comes first."""
    under_way: bool = False
    """Whether it is a stream that can resume nowhere else."""


@dataclass(frozen=True, slots=True)
class Permit:
    """Allow one send after a time."""

    wait_s: float


@dataclass(frozen=True, slots=True)
class Denial:
    """Deny a send, and say when to ask again."""

    retry_in_s: float


Verdict = Permit | Denial


class Allowance:
    """Space the permits of one upstream."""

    def __init__(self, now: float) -> None:
        """Initialize without accumulated permits, and with none to give for SETTLE_S."""
        self._next_at = now + SETTLE_S
        """When the next permit is due; in the past where some have accumulated."""
        self._settles_at = now + SETTLE_S
        self._next_ask_at = now
        """When the next denied instance may ask again."""
        self._rank = 0
        self._rank_until = float("-inf")
        self._urgent_in_a_row = 0

    def ask(self, need: SendNeed, per_s: float, now: float) -> Verdict:
        """Give or deny one permit; per_s is the rate at which permits may be given."""
        gap_s = 1 / max(MIN_RATE_PER_S, per_s)
        wait_s = self.wait_s(per_s, now)
        if now < self._settles_at:
            return self._deny(wait_s, gap_s, now)
        due_at = max(self._next_at, now - BURST_PERMITS * gap_s)
        if need.under_way and wait_s <= MAX_DEBT_PERMITS * gap_s:
            self._next_at = due_at + gap_s
            return Permit(0.0)
        max_wait_s = self._max_wait_s(need, now)
        if wait_s > max_wait_s:
            return self._deny(wait_s, gap_s, now)
        self._next_at = due_at + gap_s
        self._record_rank(need, now)
        return Permit(wait_s)

    def wait_s(self, per_s: float, now: float) -> float:
        """Return the seconds until the next permit, without taking it."""
        due_at = max(
            self._next_at, now - BURST_PERMITS / max(MIN_RATE_PER_S, per_s), self._settles_at
        )
        return max(0.0, due_at - now)

    def charge(self, per_s: float, now: float) -> None:
        """Count one call that is not held back."""
        gap_s = 1 / max(MIN_RATE_PER_S, per_s)
        due_at = max(self._next_at, now - BURST_PERMITS * gap_s)
        self._next_at = min(due_at + gap_s, now + MAX_DEBT_PERMITS * gap_s)

    def _deny(self, wait_s: float, gap_s: float, now: float) -> Denial:
        """Deny, with a separate time to ask again for each denial."""
        at = max(self._next_ask_at, now + wait_s)
        self._next_ask_at = min(at + gap_s / ASKS_PER_PERMIT, now + max(wait_s, MAX_DENIAL_S))
        return Denial(at - now)

    def _max_wait_s(self, need: SendNeed, now: float) -> float:
        """Return the maximum wait of a request: shorter while more urgent ones come."""
        is_less_urgent = now < self._rank_until and need.rank > self._rank
        if is_less_urgent and self._urgent_in_a_row < MAX_URGENT_IN_A_ROW:
            return LOW_RANK_WAIT_SHARE * need.max_wait_s
        return need.max_wait_s

    def _record_rank(self, need: SendNeed, now: float) -> None:
        """Record the most urgent recent rank, and how often in a row it got a permit."""
        if now >= self._rank_until or need.rank <= self._rank:
            self._urgent_in_a_row += 1
            self._rank, self._rank_until = need.rank, now + URGENT_MEMORY_S
        else:
            self._urgent_in_a_row = 0


class Allowances:
    """Hold the allowances of the upstreams that this instance owns."""

    def __init__(self) -> None:
        """Initialize without allowances."""
        self._allowances: dict[str, Allowance] = {}
        self._synced_at = float("-inf")

    def sync(self, upstream_ids: set[str], now: float) -> None:
        """Set the upstreams that this instance owns; to be called more often than STALE_AFTER_S."""
        if now - self._synced_at > STALE_AFTER_S:
            self._allowances.clear()
        self._synced_at = now
        for upstream_id in self._allowances.keys() - upstream_ids:
            del self._allowances[upstream_id]
        for upstream_id in upstream_ids - self._allowances.keys():
            self._allowances[upstream_id] = Allowance(now)

    def ask(self, upstream_id: str, need: SendNeed, per_s: float, now: float) -> Verdict:
        """Give or deny a permit for an upstream."""
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
        """Return an upstream's allowance, unless this instance was just paused."""
        if now - self._synced_at > STALE_AFTER_S:
            return None
        return self._allowances.get(upstream_id)


def scaled_limit(per_s: float, known_now: int, known_lately: int) -> float:
    """Return a limit scaled by the share of recently known instances that are still known.

    This keeps the two sides of a network partition below the limit in total.
    """
    return per_s * min(1.0, known_now / max(1, known_lately))


class DenialTracker:
    """Track when an asking instance may ask again for each upstream."""

    def __init__(self) -> None:
        """Initialize without denials."""
        self._retry_at: dict[str, float] = {}

    def record(self, upstream_id: str, denial: Denial, now: float) -> None:
        """Record a denial."""
        self._retry_at[upstream_id] = now + denial.retry_in_s

    def retry_in_s(self, upstream_id: str, now: float) -> float:
        """Return the seconds until an upstream may be asked for; zero for now."""
        return max(0.0, self._retry_at.get(upstream_id, now) - now)

    def keep_only(self, upstream_ids: set[str]) -> None:
        """Forget upstreams that no longer state a limit."""
        for upstream_id in self._retry_at.keys() - upstream_ids:
            del self._retry_at[upstream_id]


class RetryTimes:
    """Give each refused caller of a service a retry time of its own."""

    def __init__(self) -> None:
        """Initialize without refused callers."""
        self._scheduled_until: dict[str, float] = {}

    def next_s(self, service: str, first_s: float, per_s: float, now: float) -> float:
        """Return the seconds after which the next caller is to retry.

        `first_s`: seconds until this instance may ask again at the earliest. `per_s`: its equal
        share of the requests a second that the service's upstreams accept.
        """
        at = max(self._scheduled_until.get(service, now), now + first_s)
        self._scheduled_until[service] = min(at + 1 / max(MIN_RATE_PER_S, per_s), now + MAX_RETRY_S)
        return max(MIN_RETRY_S, at - now)
