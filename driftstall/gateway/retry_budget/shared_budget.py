"""Limit the retries that all instances together send to a service.

Each instance has a share of its own: a part of the retries for its own requests, and an even part
of the rest. Nobody else uses it, so the total holds whatever instances know of each other. A
process that has replaced another has a smaller share until the other's retries have expired. An
instance whose share is used up borrows from others. The lender counts what it lends as used at
once, whether or not the loan arrives.
"""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from driftstall.decisions.instance_count import InstanceCount
from driftstall.gateway.model import Bounds

EXTRA_SHARE: Final = 0.9
"""Share of the retries beside the ratio that is used; the remainder covers sends under way."""
RATIO_SHARE: Final = 0.8
"""Share of the retries for the own requests that is used."""
STARTING_RATIO_SHARE: Final = 0.15
"""The same before its even part is known to be free. A predecessor may have used its whole share
just before; the two shares together stay below one."""
LOAN_VALID_S: Final = 1.0
"""Time after its request within which a loan may be used."""
SEND_DELAY_S: Final = 1.0
"""Time after its loan has expired within which a reserved retry may be sent."""
LOAN_CHARGED_S: Final = LOAN_VALID_S + SEND_DELAY_S
"""How much longer than the window a loan counts at its lender."""
DEMAND_S: Final = 1.0
"""Time after a retry for which an instance keeps one more for itself."""
MIN_LOAN: Final = 0.25
"""Smaller remainders aren't lent."""
ROUNDING: Final = 1e-6
"""Tolerance for sums of fractions of retries."""
PEER_COUNT_VALID_S: Final = 2.5
"""Age at which a peer's reported count expires; a live peer repeats it each second."""


@dataclass(frozen=True, slots=True)
class RepeatCount:
    """Count the requests and retries sent to a service within the window."""

    service: str
    requests: int
    repeats: int


@dataclass(frozen=True, slots=True)
class PeerTotals:
    """Sum the valid counts of peers, and state how old the oldest of them is."""

    requests: int
    repeats: int
    oldest_s: float


@dataclass(frozen=True, slots=True)
class _PeerCount:
    """Hold a reported count and its time of arrival."""

    count: RepeatCount
    at: float


@dataclass(frozen=True, slots=True)
class _Charge:
    """A part of the share that is used until its time; retries may be paid in fractions."""

    retries: float
    until: float


@dataclass(frozen=True, slots=True)
class RetryReservation:
    """A retry that is taken from a budget before it is sent."""

    service: str
    number: int


@dataclass(frozen=True, slots=True)
class _Payment:
    """What a reservation is paid with."""

    own: float
    loans: tuple[_Charge, ...]


class SharedRetryBudget:
    """Hold this instance's share of the retries of one service, over a sliding window."""

    def __init__(
        self,
        service: str,
        bounds: Bounds,
        instances: InstanceCount,
        *,
        full_share_from: float = float("-inf"),
    ) -> None:
        """Initialize with the site's bounds and the number of instances that share them.

        full_share_from: time until which what an earlier process of this instance has sent and lent
        still counts against its share.
        """
        self._service = service
        self._bounds = bounds
        self._instances = instances
        self._full_share_from = full_share_from
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()
        self._charges: list[_Charge] = []
        self._loans: list[_Charge] = []
        """Loans of others, valid until their time; the first one expires first."""
        self._numbers = itertools.count(1)
        self._reserved: dict[int, _Payment] = {}
        """Reservations of retries that have not been sent yet."""
        self._wanted_at = float("-inf")
        self._peers: dict[str, _PeerCount] = {}

    def count(self, now: float) -> RepeatCount:
        """Return the requests and retries that this instance has sent within the window."""
        self._drop_expired(now)
        return RepeatCount(self._service, len(self._requests), len(self._repeats))

    def record_peer(self, peer: str, count: RepeatCount, now: float) -> None:
        """Record the count of a peer, or the sum of several peers."""
        self._peers[peer] = _PeerCount(count, now)

    def peer_totals(self, now: float) -> PeerTotals:
        """Return what peers have reported lately; it is shown to operators and decides nothing."""
        valid = [peer for peer in self._peers.values() if now - peer.at <= PEER_COUNT_VALID_S]
        return PeerTotals(
            sum(peer.count.requests for peer in valid),
            sum(peer.count.repeats for peer in valid),
            max((now - peer.at for peer in valid), default=0.0),
        )

    def forget_peers(self) -> None:
        """Discard peers' counts: they will arrive in other sums and must not count twice."""
        self._peers.clear()

    def record_request(self, now: float) -> None:
        """Count one request, at its first send."""
        self._requests.append(now)
        self._drop_expired(now)

    def try_reserve(self, now: float) -> RetryReservation | None:
        """Reserve one retry from loans and the share; return None if they do not allow it.

        The reservation counts until it is confirmed or released.
        """
        self._drop_expired(now)
        self._wanted_at = now
        if self.available(now) < 1 - ROUNDING:
            return None
        loans = self._use_loans(1.0)
        own = max(0.0, 1.0 - sum(loan.retries for loan in loans))
        reservation = RetryReservation(self._service, next(self._numbers))
        self._reserved[reservation.number] = _Payment(own, loans)
        return reservation

    def confirm(self, reservation: RetryReservation, now: float) -> None:
        """Count a reserved retry that is sent now."""
        payment = self._reserved.pop(reservation.number)
        late = sum(loan.retries for loan in payment.loans if now > loan.until + SEND_DELAY_S)
        self._charges.append(_Charge(payment.own + late, now + self._bounds.retry_window_s))
        self._repeats.append(now)

    def release(self, reservation: RetryReservation, now: float) -> None:
        """Give back a reserved retry that is not sent; do nothing once it is confirmed."""
        payment = self._reserved.pop(reservation.number, None)
        if payment is not None:
            self._add_loans(payment.loans, now)

    def share(self, now: float) -> float:
        """Return how many retries this instance may send or lend within the window."""
        self._drop_expired(now)
        by_ratio = self._bounds.retry_ratio * len(self._requests)
        if now < self._full_share_from:
            return STARTING_RATIO_SHARE * by_ratio
        even_part = self._bounds.retry_extra / self._instances.value
        return RATIO_SHARE * by_ratio + EXTRA_SHARE * even_part

    def available(self, now: float) -> float:
        """Return what is left of the share, with the loans of others."""
        return self._left(now) + sum(loan.retries for loan in self._loans)

    def lend(self, retries: float, now: float) -> float:
        """Lend up to a number of retries; return how many were lent."""
        left = self._left(now)
        if now - self._wanted_at <= DEMAND_S and left >= 1:
            left -= 1
        lent = min(retries, left)
        if lent < min(retries, MIN_LOAN):
            return 0.0
        until = now + self._bounds.retry_window_s + LOAN_CHARGED_S
        self._charges.append(_Charge(lent, until))
        return lent

    def add_loan(self, retries: float, asked_at: float, now: float) -> None:
        """Add a loan that was requested at a time; one that arrives too late is dropped."""
        self._add_loans((_Charge(retries, asked_at + LOAN_VALID_S),), now)

    def _left(self, now: float) -> float:
        """Return what is left of the share; never negative, as the share shrinks with time."""
        used = sum(charge.retries for charge in self._charges if charge.until > now)
        reserved = sum(payment.own for payment in self._reserved.values())
        return max(0.0, self.share(now) - used - reserved)

    def _add_loans(self, loans: Iterable[_Charge], now: float) -> None:
        """Add loans, in the order in which they expire."""
        self._loans = sorted([*self._loans, *loans], key=lambda loan: loan.until)
        self._drop_expired(now)

    def _use_loans(self, retries: float) -> tuple[_Charge, ...]:
        """Take loans for up to a number of retries; return the parts taken."""
        used = []
        while retries > ROUNDING and self._loans:
            loan = self._loans.pop(0)
            part = min(retries, loan.retries)
            retries -= part
            used.append(_Charge(part, loan.until))
            if loan.retries > part:
                self._loans.insert(0, _Charge(loan.retries - part, loan.until))
        return tuple(used)

    def _drop_expired(self, now: float) -> None:
        """Remove what lies before the window, and loans that have expired."""
        oldest = now - self._bounds.retry_window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest:
                times.popleft()
        self._charges = [charge for charge in self._charges if charge.until > now]
        self._loans = [loan for loan in self._loans if loan.until > now]
