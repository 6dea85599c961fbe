"""Decide who asks engines for their own word, and for how long a bad one holds.

Pattern: the platform's store is away for seconds, and engines leave meanwhile. Their notices
stand only in the store, so instances go on to place streams and copies on engines that end a
moment later; a stream whose engine and whose copy's engine both end so is lost. An engine
itself says in how long it ends, some 0.5 s after it has got its notice and 1.2 to 1.5 s before
it ends, and one that has ended refuses connections at once. So while the store answers nobody,
a few instances ask each engine and tell all others.

An engine that only waits for the store to take its notice serves on until the store is back:
taken for leaving, it would be missed where memory is full.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import Final

from driftstall.core import Instance
from driftstall.decisions.locate import weight

PROBERS_PER_UPSTREAM: Final = 2
"""Instances that ask one engine; one of them may be cut off from it, or die."""
PROBE_INTERVAL_S: Final = 0.3
"""Pause between two questions to an engine: half of what is left of the shortest notice seen
(1.5 s), less the half second after which an engine says it, and a hop to the others."""
SUSPICION_S: Final = 4.0
"""How long a bad word holds. The platform's list has caught up by then: what is missing from
it 2.2 s after its return has left, and its return is known within a second."""
REPUBLISH_INTERVAL_S: Final = 1.5
"""Pause after which peers are told again of a bad word that still holds; a message may be lost."""


class ReportedState(StrEnum):
    """Tell what an engine says of itself."""

    SERVING = "stays"
    """It serves on; also one that is to end some time, but has not been told when."""
    LEAVING = "leaves"
    """It has been told when it ends, which is soon."""
    TERMINATED = "gone"
    """It refuses connections: its process has ended."""
    UNKNOWN = "none"
    """It gave no answer that can be read; it may be cut off from here alone."""

    @property
    def is_unavailable(self) -> bool:
        """Tell whether an engine is to be sent nothing new."""
        return self in (ReportedState.LEAVING, ReportedState.TERMINATED)


def asks(own: Instance, live: Iterable[Instance], engine_id: str, zone: str) -> bool:
    """Tell whether an instance is one of those that ask an engine of an availability zone.

    The instances of the engine's zone come first. All choose the same ones without a word.
    """
    staying = [one for one in live if not one.leaving and one.instance_id != own.instance_id]
    ranked = sorted(
        [own, *staying],
        key=lambda one: (one.zone != zone, -weight(engine_id, one.instance_id)),
    )
    return own in ranked[:PROBERS_PER_UPSTREAM]
