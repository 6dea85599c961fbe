"""Decide which instances probe an upstream, and how long a bad probe result holds.

While the platform's store is silent for seconds, engines may leave. Their notices stand only in
the store, so instances would go on to place streams and replicas on engines that end a moment
later; a stream whose engine and whose replica's engine both end is lost. An engine reports when it
ends some 0.5 s after it has got its notice, 1.2 to 1.5 s before its end, and one that has ended
refuses connections at once. So while the store answers no instance, a few instances probe each
engine and publish the results to all others.

An engine that only waits for the store to accept its notice serves on until the store is back:
treating it as leaving would waste its memory where memory is full.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import Final

from driftstall.core import Instance
from driftstall.decisions.locate import weight

PROBERS_PER_UPSTREAM: Final = 2
"""Instances that probe one engine; one of them may be cut off from it, or fail."""
PROBE_INTERVAL_S: Final = 0.3
"""Pause between two probes of an engine: half of what remains of the shortest notice seen (1.5 s),
less the half second after which an engine reports it, and a hop to the other instances."""
SUSPICION_S: Final = 4.0
"""How long a bad probe result holds. The platform's list has caught up by then: an upstream that
is missing from it 2.2 s after the store's return has terminated, and the return is known within a
second."""
REPUBLISH_INTERVAL_S: Final = 1.5
"""Pause after which a bad result that still holds is published again, as a message may be lost."""


class ReportedState(StrEnum):
    """State that an engine reports when it is probed."""

    SERVING = "stays"
    """It serves requests; also if it will be terminated but does not know when yet."""
    LEAVING = "leaves"
    """It knows when it will be terminated, which is soon."""
    TERMINATED = "gone"
    """It refuses connections: its process has ended."""
    UNKNOWN = "none"
    """It gave no readable answer; it may be cut off from this instance alone."""

    @property
    def is_unavailable(self) -> bool:
        """Return True if the engine must not be sent anything new."""
        return self in (ReportedState.LEAVING, ReportedState.TERMINATED)


def should_probe(own: Instance, live: Iterable[Instance], engine_id: str, zone: str) -> bool:
    """Return True if an instance is one of those that probe an engine of a zone.

    Instances of the engine's zone come first. All instances arrive at the same choice without
    communication.
    """
    staying = [
        instance
        for instance in live
        if not instance.leaving and instance.instance_id != own.instance_id
    ]
    ranked = sorted(
        [own, *staying],
        key=lambda instance: (instance.zone != zone, -weight(engine_id, instance.instance_id)),
    )
    return own in ranked[:PROBERS_PER_UPSTREAM]
