"""Registry of the upstreams known to one instance, and of which of them may be sent requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import xxhash

from driftstall.decisions.leaving_signals import LeavingRecord, LeavingRegistry
from driftstall.decisions.store_versions import NO_VERSION, StoreVersion
from driftstall.gateway.model import Upstream

TOMBSTONE_TTL_S: Final = 60.0
"""How long the tombstone of a removed upstream is kept, so that a stale update cannot revive it."""


@dataclass(frozen=True, slots=True)
class MissingEntry:
    """A store entry that is missing after an outage; it may have lapsed or been removed."""

    found_at: float
    removed_since: float
    """Earliest time at which it can have been removed: the store had not answered since then."""


@dataclass(slots=True)
class RegistryEntry:
    """State of one registered upstream."""

    upstream: Upstream
    leaving_since: float | None = None
    missing: MissingEntry | None = None
    """Set while the missing store entry may only have lapsed during an outage."""
    suspected_until: float | None = None
    """Set while only a probe reports the upstream as leaving; the suspicion ends at this time."""
    is_listed: bool = True
    """Whether the platform lists the upstream as accepting requests."""


@dataclass(frozen=True, slots=True)
class Tombstone:
    """Last known state of an upstream whose entry was removed."""

    upstream: Upstream
    """The upstream as last known; only its name is set if it was never registered."""
    revision: StoreVersion
    at: float
    leaving_since: float


class UpstreamRegistry:
    """Upstreams known to one instance; only its FleetController subclass changes them."""

    def __init__(self) -> None:
        """Initialize an empty registry."""
        self._entries: dict[str, RegistryEntry] = {}
        self._tombstones: dict[str, Tombstone] = {}
        """Entries and tombstones are keyed by upstream name."""
        self._names: dict[str, str] = {}
        """Upstream names by the ids of their current or recently removed starts."""
        self._replaced: dict[str, float] = {}
        """When this instance learned that a start was followed by a later one, by its id."""
        self._signalled = LeavingRegistry()
        self._cordoned: frozenset[str] = frozenset()
        self._at = NO_VERSION
        self._is_loaded = False
        self._digest: int | None = None

    @property
    def is_loaded(self) -> bool:
        """Return True if a list was ever read, from the platform or a peer."""
        return self._is_loaded

    @property
    def at(self) -> StoreVersion:
        """Return the newest store version seen in any entry."""
        return self._at

    @property
    def digest(self) -> int:
        """Return a hash of the set of upstreams that the platform lists as accepting requests."""
        if self._digest is None:
            upstream_ids = sorted(upstream.upstream_id for upstream in self.accepting)
            self._digest = xxhash.xxh3_64_intdigest("|".join(upstream_ids).encode())
        return self._digest

    @property
    def accepting(self) -> tuple[Upstream, ...]:
        """Return all upstreams that the platform lists as accepting requests."""
        return tuple(entry.upstream for entry in self._entries.values() if entry.is_listed)

    @property
    def upstreams(self) -> tuple[Upstream, ...]:
        """Return all upstreams that were not removed, including leaving ones."""
        return tuple(entry.upstream for entry in self._entries.values())

    @property
    def has_suspects(self) -> bool:
        """Return True if a probe reports an upstream as leaving that the platform still lists."""
        return any(entry.suspected_until is not None for entry in self._entries.values())

    @property
    def missing_ids(self) -> tuple[str, ...]:
        """Return the ids of upstreams whose entries are missing after an outage, and awaited."""
        return tuple(
            entry.upstream.upstream_id
            for entry in self._entries.values()
            if entry.missing is not None
        )

    def is_awaited(self, name: str) -> bool:
        """Return True if the entry of an upstream is missing after an outage, and awaited."""
        entry = self._entries.get(name)
        return entry is not None and entry.missing is not None

    def ready(self, service: str) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that accept requests."""
        return tuple(
            entry.upstream
            for entry in self._entries.values()
            if entry.upstream.service == service and self._can_accept(entry)
        )

    def is_fully_cordoned(self, service: str) -> bool:
        """Return True if a service has staying upstreams, all of them in cordoned zones."""
        zones = [
            entry.upstream.zone
            for entry in self._entries.values()
            if entry.upstream.service == service and entry.leaving_since is None
        ]
        return bool(zones) and all(zone in self._cordoned for zone in zones)

    def find(self, upstream_id: str) -> Upstream | None:
        """Return an upstream by its id if it accepts requests."""
        entry = self._find_entry(upstream_id)
        return entry.upstream if entry is not None and self._can_accept(entry) else None

    def accepts_requests(self, upstream_id: str) -> bool:
        """Return True if an upstream is known, not leaving and not in a cordoned zone."""
        return self.find(upstream_id) is not None

    def is_staying(self, upstream_id: str) -> bool:
        """Return True if an upstream is known and not leaving; its zone may be cordoned."""
        entry = self._find_entry(upstream_id)
        return entry is not None and entry.leaving_since is None

    def leaving_since(self, upstream_id: str) -> float | None:
        """Return the time of an upstream's notice; None if it is staying or unknown."""
        entry = self._find_entry(upstream_id)
        if entry is not None:
            return entry.leaving_since
        tombstone = self._tombstones.get(self._names.get(upstream_id, ""))
        if tombstone is None or tombstone.upstream.upstream_id != upstream_id:
            return None
        return tombstone.leaving_since

    def is_departure_announced(self, upstream_id: str) -> bool:
        """Return True if an upstream's end was announced, or its entry was removed."""
        entry = self._find_entry(upstream_id)
        return entry is None or not entry.is_listed or self.has_signalled_leaving(upstream_id)

    def leaving_records(self, now: float) -> tuple[LeavingRecord, ...]:
        """Return the leaving signals of upstreams, in the form sent to peers."""
        return self._signalled.records(now)

    @property
    def has_leaving_records(self) -> bool:
        """Return True if any upstream has signalled that it is leaving."""
        return bool(self._signalled.upstream_ids)

    def has_signalled_leaving(self, upstream_id: str) -> bool:
        """Return True if an upstream has signalled in a response that it is leaving."""
        return self._signalled.since(upstream_id) is not None

    def draining(self, service: str, now: float, drain_s: float) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that signalled that they are leaving and still serve.

        Upstreams reported as leaving only by the platform or a probe are excluded, as they may
        have terminated already.
        """
        return tuple(
            entry.upstream
            for entry in self._entries.values()
            if entry.upstream.service == service
            and self.has_signalled_leaving(entry.upstream.upstream_id)
            and self.can_still_serve(entry.upstream.upstream_id, now, drain_s)
        )

    def can_still_serve(self, upstream_id: str, now: float, drain_s: float) -> bool:
        """Return True if an upstream may still be sent requests, also for the replicas it holds.

        A leaving upstream serves requests for drain_s seconds after its notice.
        """
        entry = self._find_entry(upstream_id)
        if entry is not None:
            if entry.upstream.zone in self._cordoned:
                return False
            return entry.leaving_since is None or now - entry.leaving_since < drain_s
        tombstone = self._tombstones.get(self._names.get(upstream_id, ""))
        if tombstone is None or tombstone.upstream.upstream_id != upstream_id:
            return False
        if self.is_replaced(upstream_id) or tombstone.upstream.zone in self._cordoned:
            return False
        return now - tombstone.leaving_since < drain_s

    def is_replaced(self, upstream_id: str) -> bool:
        """Return True if the upstream has restarted since: runs and replicas it held are lost."""
        return upstream_id in self._replaced

    def _find_entry(self, upstream_id: str) -> RegistryEntry | None:
        """Return the entry of one start, identified by its upstream id."""
        entry = self._entries.get(self._names.get(upstream_id, ""))
        return entry if entry is not None and entry.upstream.upstream_id == upstream_id else None

    def _can_accept(self, entry: RegistryEntry) -> bool:
        """Return True if an upstream may be sent new requests."""
        return entry.leaving_since is None and entry.upstream.zone not in self._cordoned

    def _latest_start(self, name: str) -> int:
        """Return the latest known start of an upstream; zero if none is known."""
        entry, tombstone = self._entries.get(name), self._tombstones.get(name)
        return max(entry.upstream.born if entry else 0, tombstone.upstream.born if tombstone else 0)

    def _remove_expired(self, now: float) -> None:
        """Remove tombstones and replaced starts older than TOMBSTONE_TTL_S."""
        self._signalled.forget_old(self._names, now)
        for name, tombstone in list(self._tombstones.items()):
            if now - tombstone.at > TOMBSTONE_TTL_S:
                del self._tombstones[name]
                if self._find_entry(tombstone.upstream.upstream_id) is None:
                    self._names.pop(tombstone.upstream.upstream_id, None)
        for upstream_id, at in list(self._replaced.items()):
            if now - at > TOMBSTONE_TTL_S:
                del self._replaced[upstream_id]
