"""Add up the load that this instance and its peers have placed on each upstream.

An upstream's own load report is stale when it arrives, while each instance knows at once what it
has sent. So instances exchange their own sums whenever these change.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

POOLED_PREFIX: Final = "*"
"""Prefix of the keys under which sums of several instances are stored."""
FLEET_KEY: Final = f"{POOLED_PREFIX}fleet"
"""Key of the sum of all other instances, as a collector reports it."""
PEER_REPORT_VALID_S: Final = 3.0
"""Age at which a peer's sums expire; a live peer repeats them each second."""


@dataclass(frozen=True, slots=True)
class Use:
    """Hold the total load of one upstream."""

    upstream_id: str
    running: int = 0
    """Requests in progress."""
    tokens: int = 0
    """Engine memory that running requests hold or are expected to, in tokens."""
    copies: int = 0
    """Engine memory held by replicas of runs on other upstreams, in tokens."""
    prefill: int = 0
    """Prompt tokens of requests that have not yet returned their first event."""
    exposed: int = 0
    """Engine memory of running streams without a replica, in tokens."""

    def minus(self, other: Use) -> Use:
        """Return this load less a part of it, at least zero."""
        return Use(
            self.upstream_id,
            max(0, self.running - other.running),
            max(0, self.tokens - other.tokens),
            max(0, self.copies - other.copies),
            max(0, self.prefill - other.prefill),
            max(0, self.exposed - other.exposed),
        )

    def plus(self, other: Use) -> Use:
        """Return the sum of both loads."""
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
    """Hold the load that one request puts on upstreams."""

    upstream_id: str
    tokens: int = 0
    prefill: int = 0
    backup_id: str = ""
    """The upstream that holds a replica; empty for none."""
    exposed: int = 0
    """Tokens that would be lost if the upstream crashed."""


@dataclass(slots=True)
class _PeerSums:
    """Hold one peer's last report and its time of arrival."""

    uses: dict[str, Use]
    at: float


class LoadTable:
    """Hold the loads of this instance and of its peers, by upstream."""

    def __init__(self) -> None:
        """Initialize without any load."""
        self._loads: dict[str, RequestLoad] = {}
        self._own: dict[str, Use] = {}
        self._peers: dict[str, _PeerSums] = {}
        self._pending_loads: dict[str, RequestLoad] = {}
        self._pending: dict[str, Use] = {}
        """Totals of requests placed for other instances that these have not reported yet."""

    @property
    def own(self) -> tuple[Use, ...]:
        """Return this instance's own totals, for its reports."""
        return tuple(self._own.values())

    def set_load(self, request_id: str, load: RequestLoad) -> None:
        """Set the current load of a request."""
        self.remove_load(request_id)
        self._loads[request_id] = load
        _add(self._own, load, 1)

    def remove_load(self, request_id: str) -> None:
        """Remove the load of a request that has ended."""
        load = self._loads.pop(request_id, None)
        if load is not None:
            _add(self._own, load, -1)

    def set_pending(self, request_id: str, load: RequestLoad) -> None:
        """Set the expected load of a request that was placed for another instance."""
        self.remove_pending(request_id)
        self._pending_loads[request_id] = load
        _add(self._pending, load, 1)

    def remove_pending(self, request_id: str) -> None:
        """Remove a placed request that its instance now reports itself, or never started."""
        load = self._pending_loads.pop(request_id, None)
        if load is not None:
            _add(self._pending, load, -1)

    def record_peer(self, peer: str, uses: Iterable[Use], now: float) -> None:
        """Record a peer's report, or a sum of several peers; it replaces the previous one."""
        self._peers[peer] = _PeerSums({use.upstream_id: use for use in uses}, now)

    def sorted_totals(self, now: float, *, pooled: bool = True) -> tuple[Use, ...]:
        """Return the totals of this instance and its peers, sorted by upstream.

        With `pooled` False, only peers that report to this instance directly are counted.
        """
        totals = self.totals(now, pooled=pooled)
        return tuple(totals[upstream_id] for upstream_id in sorted(totals))

    def totals(self, now: float, *, pooled: bool = True) -> dict[str, Use]:
        """Return the totals of this instance and its peers by upstream id, without idle ones."""
        totals = dict(self._own)
        _add_all(totals, self._pending)
        for peer, sums in self._peers.items():
            if now - sums.at > PEER_REPORT_VALID_S or (
                not pooled and peer.startswith(POOLED_PREFIX)
            ):
                continue
            _add_all(totals, sums.uses)
        return totals

    def own_running(self, upstream_id: str) -> int:
        """Return the requests that this instance has in progress at an upstream."""
        use = self._own.get(upstream_id)
        return use.running if use is not None else 0

    def running_at(self, peer: str) -> int:
        """Return the requests that a peer has reported to have in progress; 0 if it has not."""
        sums = self._peers.get(peer)
        return sum(use.running for use in sums.uses.values()) if sums is not None else 0

    def exposed_at_peers(self, upstream_id: str, now: float) -> dict[str, int]:
        """Return the exposed tokens of each peer's streams on an upstream, by peer."""
        exposed_tokens: dict[str, int] = {}
        for peer, sums in self._peers.items():
            use = sums.uses.get(upstream_id)
            if use is not None and use.exposed and now - sums.at <= PEER_REPORT_VALID_S:
                exposed_tokens[peer] = use.exposed
        return exposed_tokens

    def forget_peers(self) -> None:
        """Discard peers' reports: from now on other senders report differently grouped sums."""
        self._peers.clear()

    def use(self, upstream_id: str, now: float) -> Use:
        """Return the total known load of an upstream."""
        total = self._own.get(upstream_id, Use(upstream_id))
        if upstream_id in self._pending:
            total = total.plus(self._pending[upstream_id])
        for sums in self._peers.values():
            use = sums.uses.get(upstream_id)
            if use is not None and now - sums.at <= PEER_REPORT_VALID_S:
                total = total.plus(use)
        return total


def _add(sums: dict[str, Use], load: RequestLoad, sign: int) -> None:
    """Add a request's load to the sums, or subtract it if sign is -1."""
    use = Use(
        load.upstream_id,
        running=sign,
        tokens=sign * load.tokens,
        prefill=sign * load.prefill,
        exposed=sign * load.exposed,
    )
    _adjust(sums, use)
    if load.backup_id:
        _adjust(sums, Use(load.backup_id, copies=sign * load.tokens))


def _adjust(sums: dict[str, Use], use: Use) -> None:
    """Add to the sum of one upstream; remove the entry if it becomes empty."""
    total = sums.get(use.upstream_id, Use(use.upstream_id)).plus(use)
    if total == Use(use.upstream_id):
        sums.pop(use.upstream_id, None)
    else:
        sums[use.upstream_id] = total


def _add_all(totals: dict[str, Use], uses: dict[str, Use]) -> None:
    """Add loads to the totals, by upstream."""
    for upstream_id, use in uses.items():
        known = totals.get(upstream_id)
        totals[upstream_id] = use if known is None else known.plus(use)
