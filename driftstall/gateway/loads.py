"""Add up what runs on each upstream, from here and from what peers tell.

An upstream's own report is old when it arrives; what instances have sent there is
known at once. So each tells its peers its own sums whenever they change.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

POOLED_PREFIX: Final = "*"
"""Begins the name under which the sum of several instances is kept."""
FLEET_KEY: Final = f"{POOLED_PREFIX}fleet"
"""Stands for all other instances, where a collector tells their sum."""
PEER_REPORT_S: Final = 3.0
"""A peer's sums count for so long; a live peer repeats them each second."""


@dataclass(frozen=True, slots=True)
class Use:
    """Sum up what runs on one upstream."""

    upstream_id: str
    running: int = 0
    """Requests sent and not yet ended."""
    tokens: int = 0
    """Engine memory that running requests hold or soon will, in tokens."""
    copies: int = 0
    """Engine memory that copies of runs elsewhere hold, in tokens."""
    prefill: int = 0
    """Prompt tokens of requests whose first event is not there yet."""
    exposed: int = 0
    """Engine memory of running streams that no other engine has a copy of, in tokens."""

    def minus(self, other: Use) -> Use:
        """Return this sum without a part of it."""
        return Use(
            self.upstream_id,
            max(0, self.running - other.running),
            max(0, self.tokens - other.tokens),
            max(0, self.copies - other.copies),
            max(0, self.prefill - other.prefill),
            max(0, self.exposed - other.exposed),
        )

    def plus(self, other: Use) -> Use:
        """Return both sums together."""
        return Use(
            self.upstream_id,
            self.running + other.running,
            self.tokens + other.tokens,
            self.copies + other.copies,
            self.prefill + other.prefill,
            self.exposed + other.exposed,
        )


@dataclass(frozen=True, slots=True)
class RequestLoad:
    """Hold what one request takes from upstreams."""

    upstream_id: str
    tokens: int = 0
    prefill: int = 0
    backup_id: str = ""
    """The upstream that holds a copy; empty for none."""
    exposed: int = 0
    """Tokens that would be lost with the upstream."""


@dataclass(slots=True)
class _PeerSums:
    """Hold what one peer has told."""

    uses: dict[str, Use]
    at: float


class LoadTable:
    """Hold the sums of this instance and of its peers."""

    def __init__(self) -> None:
        """Start with nothing running."""
        self._shares: dict[str, RequestLoad] = {}
        self._own: dict[str, Use] = {}
        self._peers: dict[str, _PeerSums] = {}
        self._pending_shares: dict[str, RequestLoad] = {}
        self._pending: dict[str, Use] = {}
        """Sums of what was placed for others that they have not reported yet."""

    @property
    def own(self) -> tuple[Use, ...]:
        """Return this instance's sums, for its peers."""
        return tuple(self._own.values())

    def set_load(self, request_id: str, share: RequestLoad) -> None:
        """Set what a request takes now."""
        self.remove_load(request_id)
        self._shares[request_id] = share
        _add(self._own, share, 1)

    def remove_load(self, request_id: str) -> None:
        """Forget a request that has ended."""
        share = self._shares.pop(request_id, None)
        if share is not None:
            _add(self._own, share, -1)

    def set_pending(self, request_id: str, share: RequestLoad) -> None:
        """Set what a request will take that was placed for another instance."""
        self.remove_pending(request_id)
        self._pending_shares[request_id] = share
        _add(self._pending, share, 1)

    def remove_pending(self, request_id: str) -> None:
        """Forget a request that its instance reports by now, or never began."""
        share = self._pending_shares.pop(request_id, None)
        if share is not None:
            _add(self._pending, share, -1)

    def record_peer(self, peer: str, uses: Iterable[Use], now: float) -> None:
        """Take in a peer's sums."""
        self._peers[peer] = _PeerSums({use.upstream_id: use for use in uses}, now)

    def sorted_totals(self, now: float, *, pooled: bool = True) -> tuple[Use, ...]:
        """Return the sums of this instance and all that it hears of.

        Without the pooled ones only instances count that report here themselves.
        """
        totals = self.totals(now, pooled=pooled)
        return tuple(totals[upstream_id] for upstream_id in sorted(totals))

    def totals(self, now: float, *, pooled: bool = True) -> dict[str, Use]:
        """Return the same sums by upstream; one that is not there has nothing running."""
        totals = dict(self._own)
        _join(totals, self._pending)
        for peer, sums in self._peers.items():
            if now - sums.at > PEER_REPORT_S or (not pooled and peer.startswith(POOLED_PREFIX)):
                continue
            _join(totals, sums.uses)
        return totals

    def exposed_at_peers(self, upstream_id: str, now: float) -> dict[str, int]:
        """Return, by peer, the exposed tokens of its streams on an upstream."""
        found: dict[str, int] = {}
        for peer, sums in self._peers.items():
            told = sums.uses.get(upstream_id)
            if told is not None and told.exposed and now - sums.at <= PEER_REPORT_S:
                found[peer] = told.exposed
        return found

    def forget_peers(self) -> None:
        """Forget what peers have told: it will come from others now, in other sums."""
        self._peers.clear()

    def use(self, upstream_id: str, now: float) -> Use:
        """Return all that is known to run on an upstream."""
        total = self._own.get(upstream_id, Use(upstream_id))
        if upstream_id in self._pending:
            total = total.plus(self._pending[upstream_id])
        for sums in self._peers.values():
            told = sums.uses.get(upstream_id)
            if told is not None and now - sums.at <= PEER_REPORT_S:
                total = total.plus(told)
        return total


def _add(sums: dict[str, Use], share: RequestLoad, sign: int) -> None:
    """Add a request's share to sums, or take it off."""
    use = Use(
        share.upstream_id,
        running=sign,
        tokens=sign * share.tokens,
        prefill=sign * share.prefill,
        exposed=sign * share.exposed,
    )
    _change(sums, use)
    if share.backup_id:
        _change(sums, Use(share.backup_id, copies=sign * share.tokens))


def _change(sums: dict[str, Use], use: Use) -> None:
    """Change the sum of one upstream; an empty one is dropped."""
    total = sums.get(use.upstream_id, Use(use.upstream_id)).plus(use)
    if total == Use(use.upstream_id):
        sums.pop(use.upstream_id, None)
    else:
        sums[use.upstream_id] = total


def _join(totals: dict[str, Use], more: dict[str, Use]) -> None:
    """Add further sums to totals."""
    for upstream_id, use in more.items():
        known = totals.get(upstream_id)
        totals[upstream_id] = use if known is None else known.plus(use)
