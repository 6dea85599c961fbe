"""Hold what is known of the upstreams, and tell what may be sent to them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import xxhash

from driftstall.decisions.leaving_signals import LeavingRecord, LeavingRegistry
from driftstall.decisions.store_versions import NO_VERSION, StoreVersion
from driftstall.gateway.model import Upstream

TOMBSTONE_TTL_S: Final = 60.0
"""How long an upstream that is gone is remembered, so that old news cannot revive it."""


@dataclass(slots=True)
class Entry:
    """Hold one upstream."""

    upstream: Upstream
    leaving_since: float | None = None
    missing_since: float | None = None
    """Set while its entry may only have lapsed during an outage."""
    suspected_until: float | None = None
    """Set while it counts as leaving by its own word alone."""
    is_listed: bool = True
    """Whether it takes requests by the platform's word."""


@dataclass(frozen=True, slots=True)
class Tombstone:
    """Hold what is known of an upstream whose entry was removed."""

    upstream: Upstream
    """As it was known; only its name where it was not."""
    revision: StoreVersion
    at: float
    leaving_since: float


class UpstreamRegistry:
    """Hold the upstreams that one instance knows of; its controller alone changes them."""

    def __init__(self) -> None:
        """Start with none."""
        self._entries: dict[str, Entry] = {}
        self._tombstones: dict[str, Tombstone] = {}
        """Both by the upstreams' names."""
        self._names: dict[str, str] = {}
        """The names by the ids of the starts that are in force or just gone."""
        self._replaced: dict[str, float] = {}
        """When it was learned of a start that a later one has followed."""
        self._signalled = LeavingRegistry()
        self._cordoned: frozenset[str] = frozenset()
        self._at = NO_VERSION
        self._read = False
        self._digest: int | None = None

    @property
    def is_loaded(self) -> bool:
        """Tell whether the list was ever read, from the platform or a peer."""
        return self._read

    @property
    def at(self) -> StoreVersion:
        """Return the newest version seen in any entry."""
        return self._at

    @property
    def digest(self) -> int:
        """Return a hash of the set of upstreams that take requests by the platform's word."""
        if self._digest is None:
            taking = sorted(one.upstream_id for one in self.accepting)
            self._digest = xxhash.xxh3_64_intdigest("|".join(taking).encode())
        return self._digest

    @property
    def accepting(self) -> tuple[Upstream, ...]:
        """Return all upstreams that take requests by the platform's word."""
        return tuple(entry.upstream for entry in self._entries.values() if entry.is_listed)

    @property
    def upstreams(self) -> tuple[Upstream, ...]:
        """Return all upstreams that are not gone, leaving ones as well."""
        return tuple(entry.upstream for entry in self._entries.values())

    @property
    def has_suspects(self) -> bool:
        """Tell whether an upstream counts as leaving of which the platform has not told so."""
        return any(entry.suspected_until is not None for entry in self._entries.values())

    def ready(self, service: str) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that take requests."""
        return tuple(
            entry.upstream
            for entry in self._entries.values()
            if entry.upstream.service == service and self._takes(entry)
        )

    def is_fully_cordoned(self, service: str) -> bool:
        """Tell whether a service has upstreams, and all that stay are in cordoned zones."""
        staying = [
            entry.upstream.zone
            for entry in self._entries.values()
            if entry.upstream.service == service and entry.leaving_since is None
        ]
        return bool(staying) and all(zone in self._cordoned for zone in staying)

    def find(self, upstream_id: str) -> Upstream | None:
        """Return an upstream that takes requests, by its id."""
        entry = self._find(upstream_id)
        return entry.upstream if entry is not None and self._takes(entry) else None

    def accepts_requests(self, upstream_id: str) -> bool:
        """Tell whether an upstream is known, not leaving and in no cordoned zone."""
        return self.find(upstream_id) is not None

    def is_staying(self, upstream_id: str) -> bool:
        """Tell whether an upstream is known and not leaving; its zone may be cordoned."""
        entry = self._find(upstream_id)
        return entry is not None and entry.leaving_since is None

    def is_departure_announced(self, upstream_id: str) -> bool:
        """Tell whether an upstream's end was announced, or its entry has gone."""
        entry = self._find(upstream_id)
        return entry is None or not entry.is_listed or self.has_signalled_leaving(upstream_id)

    def leaving_records(self, now: float) -> tuple[LeavingRecord, ...]:
        """Return which upstreams have signalled that they leave, for peers."""
        return self._signalled.records(now)

    @property
    def has_leaving_records(self) -> bool:
        """Tell whether any upstream has signalled that it leaves."""
        return bool(self._signalled.upstream_ids)

    def has_signalled_leaving(self, upstream_id: str) -> bool:
        """Tell whether an upstream has signalled in a response that it leaves."""
        return self._signalled.since(upstream_id) is not None

    def draining(self, service: str, now: float, drain_s: float) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that have signalled that they leave and still serve.

        Those of which only the platform or a probe tells may be gone.
        """
        return tuple(
            entry.upstream
            for entry in self._entries.values()
            if entry.upstream.service == service
            and self.has_signalled_leaving(entry.upstream.upstream_id)
            and self.can_still_serve(entry.upstream.upstream_id, now, drain_s)
        )

    def can_still_serve(self, upstream_id: str, now: float, drain_s: float) -> bool:
        """Tell whether an upstream may still be sent what has run there or was copied there."""
        entry = self._find(upstream_id)
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
        """Tell whether an upstream has started again since: what it held and named is void."""
        return upstream_id in self._replaced

    def _find(self, upstream_id: str) -> Entry | None:
        """Return the entry of one start."""
        entry = self._entries.get(self._names.get(upstream_id, ""))
        return entry if entry is not None and entry.upstream.upstream_id == upstream_id else None

    def _takes(self, entry: Entry) -> bool:
        """Tell whether an upstream may be sent something new."""
        return entry.leaving_since is None and entry.upstream.zone not in self._cordoned

    def _latest_start(self, name: str) -> int:
        """Return the latest start that is known of an upstream; zero if none is."""
        entry, tombstone = self._entries.get(name), self._tombstones.get(name)
        return max(entry.upstream.born if entry else 0, tombstone.upstream.born if tombstone else 0)

    def _forget(self, now: float) -> None:
        """Forget what is gone for long."""
        self._signalled.forget_old(self._names, now)
        for name, tombstone in list(self._tombstones.items()):
            if now - tombstone.at > TOMBSTONE_TTL_S:
                del self._tombstones[name]
                if self._find(tombstone.upstream.upstream_id) is None:
                    self._names.pop(tombstone.upstream.upstream_id, None)
        for upstream_id, at in list(self._replaced.items()):
            if now - at > TOMBSTONE_TTL_S:
                del self._replaced[upstream_id]
