"""Registry of the cordoned availability zones, whose upstreams get no new requests.

Operators cordon a zone in the platform, and lift the cordon again. Store versions order all
updates, whether read from the platform or sent by peers: a list without a zone overrides any cordon
that is not newer than the list. So an instance can merge lists and peers' reports in any order.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from driftstall.decisions.store_versions import NO_VERSION, StoreVersion

NEVER_READ: Final = NO_VERSION
"""Version of a list that was never read."""


@dataclass(frozen=True, slots=True)
class Cordon:
    """A cordoned zone, and the store version at which it was cordoned."""

    zone: str
    revision: StoreVersion


@dataclass(frozen=True, slots=True)
class Cordons:
    """All cordons as of a store version."""

    at: StoreVersion = NEVER_READ
    cordons: tuple[Cordon, ...] = ()


@dataclass(frozen=True, slots=True)
class CordonsChanged:
    """Zones that were newly cordoned, and zones whose cordon was lifted."""

    cordoned: frozenset[str]
    lifted: frozenset[str]

    def __bool__(self) -> bool:
        """Return True if anything has changed."""
        return bool(self.cordoned or self.lifted)


class CordonRegistry:
    """Cordons known to one instance."""

    def __init__(self) -> None:
        """Initialize without cordons."""
        self._revisions: dict[str, StoreVersion] = {}
        self._at = NEVER_READ

    @property
    def is_loaded(self) -> bool:
        """Return True if a list was ever read, by this instance or by a peer."""
        return self._at != NEVER_READ

    @property
    def zones(self) -> frozenset[str]:
        """Return the cordoned zones."""
        return frozenset(self._revisions)

    @property
    def snapshot(self) -> Cordons:
        """Return all known cordons, in the form sent to peers."""
        revisions = sorted(self._revisions.items())
        return Cordons(self._at, tuple(Cordon(zone, revision) for zone, revision in revisions))

    def merge(self, update: Cordons, *, keeps_missing: bool = False) -> CordonsChanged:
        """Merge a whole list, of the platform or of a peer; return what has changed.

        With keeps_missing, known cordons that the list lacks are kept, as the store that the list
        was read from may have lost them.
        """
        before = self.zones
        for cordon in update.cordons:
            self._put(cordon)
        named = {cordon.zone for cordon in update.cordons}
        for zone, revision in list(self._revisions.items()):
            if zone not in named and revision <= update.at and not keeps_missing:
                del self._revisions[zone]
        self._at = max(self._at, update.at)
        return _difference(before, self.zones)

    def apply_change(self, cordon: Cordon, *, lifted: bool) -> CordonsChanged:
        """Apply one change read from the platform, which reports changes in order.

        A lifted cordon may carry the version at which the zone was cordoned.
        """
        before = self.zones
        if not lifted:
            self._put(cordon)
        elif self._revisions.get(cordon.zone, cordon.revision) <= cordon.revision:
            self._revisions.pop(cordon.zone, None)
        self._at = max(self._at, cordon.revision)
        return _difference(before, self.zones)

    def _put(self, cordon: Cordon) -> None:
        """Add a cordon, unless it is known to be lifted since."""
        known = self._revisions.get(cordon.zone)
        if known is not None or cordon.revision > self._at:
            self._revisions[cordon.zone] = max(known or NEVER_READ, cordon.revision)


def _difference(before: frozenset[str], after: frozenset[str]) -> CordonsChanged:
    """Return what has changed between two sets of cordoned zones."""
    return CordonsChanged(after - before, before - after)
