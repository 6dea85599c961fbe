"""Order what the platform's store has told, also after it has come back from an older copy.

Pattern: in a drill the store is away for a moment and comes back from what it held some seconds
before. Revisions go back then and are given out again, so a revision alone orders nothing. The
store names its era with each answer; it rises each time. A version is both, compared together.

For a moment after its return the store says less than is true. Operators and upstreams write
theirs again; until then what is missing has not gone, and what the copy still holds may have.
"""

from __future__ import annotations

from typing import Final

REVISION_BITS: Final = 48
"""A store that is changed a thousand times a second gives out so many revisions in 8,900 years."""
INCOMPLETE_S: Final = 2.5
"""How long after its return the store may say less than is true: what operators and upstreams had
written is there again within about two seconds."""

REMOVED_RETENTION_S: Final = 8.0
"""How long an upstream that had left is not used again though the copy lists it. The entry of one
that has ended goes after three heartbeats of silence, 3.6 s at the users; one that is still listed
then lives."""


class StoreVersion(int):
    """Hold an era and a revision as one number; a version of a later era is the higher one."""

    __slots__ = ()

    @classmethod
    def of(cls, era: int, revision: int) -> StoreVersion:
        """Return the version of a revision in an era."""
        return cls((era << REVISION_BITS) | revision)

    @classmethod
    def parse(cls, text: str) -> StoreVersion:
        """Return the version that a text shows as this class does; raise ValueError for others."""
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
        """Return it as it is logged: the revision, and the era before it where there is one."""
        return f"{self.era}.{self.revision}" if self.era else str(self.revision)


NO_VERSION: Final = StoreVersion(0)


class StoreEras:
    """Notice that the store has come back from an older copy."""

    def __init__(self) -> None:
        """Start without any era known."""
        self._era: int | None = None
        self._returned_at = float("-inf")
        self.returns = 0

    @property
    def era(self) -> int:
        """Return the newest era that is known; zero where none is."""
        return self._era or 0

    def record_era(self, era: int, now: float) -> bool:
        """Take in an era that the store or a peer has named; return whether the store came back."""
        before, self._era = self._era, max(era, self.era)
        if before is None or era <= before:
            return False
        self._returned_at = now
        self.returns += 1
        return True

    def is_incomplete(self, now: float) -> bool:
        """Tell whether the store may still say less than is true."""
        return now - self._returned_at < INCOMPLETE_S
