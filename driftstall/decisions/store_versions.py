"""Order the versions of the platform's store, also after it was restored from an older copy.

In a drill the store is down for a moment and comes back with the content that it held some seconds
before. Revisions then fall and are given out again, so revisions alone do not order changes. The
store states its era, which rises with each restore, in every response. A version combines era and
revision, and versions are compared by both.

For a moment after its return the store lacks some entries. Operators and upstreams write theirs
again; until then a missing entry does not mean that its object was removed, and a listed one may
have been.
"""

from __future__ import annotations

from typing import Final

REVISION_BITS: Final = 48
"""A store that changes a thousand times a second uses up this range in 8,900 years."""
INCOMPLETE_S: Final = 2.5
"""How long after its return the store may be incomplete: operators and upstreams have written
their entries again within about two seconds."""

REMOVED_RETENTION_S: Final = 8.0
"""How long a removed upstream is not used again even if the restored copy lists it. The entry of a
terminated upstream is removed after three heartbeats of silence, 3.6 s at the users' site; an
upstream that is still listed after this time is live."""


class StoreVersion(int):
    """Hold an era and a revision as one number; a later era makes the higher version."""

    __slots__ = ()

    @classmethod
    def of(cls, era: int, revision: int) -> StoreVersion:
        """Return the version of a revision in an era."""
        return cls((era << REVISION_BITS) | revision)

    @classmethod
    def parse(cls, text: str) -> StoreVersion:
        """Return the version of a text in the format of str(); raise ValueError for others."""
        era, point, revision = text.rpartition(".")
        return cls.of(int(era) if point else 0, int(revision))

    @property
    def era(self) -> int:
        """Return the era."""
        return self >> REVISION_BITS

    @property
    def revision(self) -> int:
        """Return the revision as the store counts it."""
        return self & ((1 << REVISION_BITS) - 1)

    def __str__(self) -> str:
        """Return the revision, preceded by the era where there is one."""
        return f"{self.era}.{self.revision}" if self.era else str(self.revision)


NO_VERSION: Final = StoreVersion(0)


class StoreEras:
    """Detect that the store has come back from an older copy."""

    def __init__(self) -> None:
        """Initialize without a known era."""
        self._era: int | None = None
        self._returned_at = float("-inf")
        self.returns = 0

    @property
    def era(self) -> int:
        """Return the newest known era; zero where none is known."""
        return self._era or 0

    def record_era(self, era: int, now: float) -> bool:
        """Record an era stated by the store or a peer; return True if the store was restored."""
        before, self._era = self._era, max(era, self.era)
        if before is None or era <= before:
            return False
        self._returned_at = now
        self.returns += 1
        return True

    def is_incomplete(self, now: float) -> bool:
        """Return True while entries may still be missing from the restored store."""
        return now - self._returned_at < INCOMPLETE_S
