"""Keep which availability zones are cordoned: nothing new is sent to their upstreams.

The operators cordon a zone in the platform and lift that again. Revisions of the platform order
all that is told of it, whoever tells: a list without a zone is newer word than a cordon that the
list could have named. So an instance merges what it reads and what peers know in any order.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from driftstall.decisions.store_versions import NO_VERSION, StoreVersion

UNREAD: Final = NO_VERSION
"""Stands for the revision of a list that was never read."""


@dataclass(frozen=True, slots=True)
class Cordon:
    """Name a cordoned zone, and the revision at which it was cordoned."""

    zone: str
    revision: StoreVersion


@dataclass(frozen=True, slots=True)
class Cordons:
    """Hold all cordons as of a revision."""

    at: StoreVersion = UNREAD
    cordons: tuple[Cordon, ...] = ()


@dataclass(frozen=True, slots=True)
class CordonsChanged:
    """Tell which zones are cordoned now and were not, and the other way round."""

    cordoned: frozenset[str]
    lifted: frozenset[str]

    def __bool__(self) -> bool:
        """Tell whether anything has changed."""
        return bool(self.cordoned or self.lifted)


class CordonRegistry:
    """Hold what is known of cordons."""

    def __init__(self) -> None:
        """Start without any."""
        self._revisions: dict[str, StoreVersion] = {}
        self._at = UNREAD

    @property
    def is_loaded(self) -> bool:
        """Tell whether a list was ever read, here or by a peer."""
        return self._at != UNREAD

    @property
    def zones(self) -> frozenset[str]:
        """Return the zones that are cordoned."""
        return frozenset(self._revisions)

    @property
    def snapshot(self) -> Cordons:
        """Return all that is known, for peers."""
        found = sorted(self._revisions.items())
        return Cordons(self._at, tuple(Cordon(zone, revision) for zone, revision in found))

    def merge(self, told: Cordons, *, keeps: bool = False) -> CordonsChanged:
        """Take in a whole list, of the platform or of a peer; return what has changed.

        Where it keeps what is known, the list may lack what still holds.
        """
        before = self.zones
        for one in told.cordons:
            self._put(one)
        named = {one.zone for one in told.cordons}
        for zone, revision in list(self._revisions.items()):
            if zone not in named and revision <= told.at and not keeps:
                del self._revisions[zone]
        self._at = max(self._at, told.at)
        return _difference(before, self.zones)

    def apply_change(self, cordon: Cordon, *, lifted: bool) -> CordonsChanged:
        """Take in one change from the platform, which tells them in order.

        What is lifted may carry the revision at which it was cordoned.
        """
        before = self.zones
        if not lifted:
            self._put(cordon)
        elif self._revisions.get(cordon.zone, cordon.revision) <= cordon.revision:
            self._revisions.pop(cordon.zone, None)
        self._at = max(self._at, cordon.revision)
        return _difference(before, self.zones)

    def _put(self, cordon: Cordon) -> None:
        """Keep a cordon, unless it was lifted since by what is known here."""
        known = self._revisions.get(cordon.zone)
        if known is not None or cordon.revision > self._at:
            self._revisions[cordon.zone] = max(known or UNREAD, cordon.revision)


def _difference(before: frozenset[str], after: frozenset[str]) -> CordonsChanged:
    """Return what has changed between two sets of cordoned zones."""
    return CordonsChanged(after - before, before - after)
