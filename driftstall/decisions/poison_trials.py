"""The order in which instances send a subject again after its quarantine (rendezvous hashing).

Without an order all instances would send it in the same moment, and each would lose an upstream if
it is poison indeed.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import xxhash

TRIAL_STAGGER_S: Final = 1.0
"""Time between the trials of two instances: several times what a crash takes to be known."""


def trial_delay_s(subject: str, instance_id: str, live_ids: Iterable[str]) -> float:
    """Return how long an instance waits after a quarantine, in seconds, for those before it."""
    own = _order(subject, instance_id)
    return TRIAL_STAGGER_S * sum(_order(subject, peer) < own for peer in live_ids)


def _order(subject: str, instance_id: str) -> int:
    """Return the hash that orders the instances for a subject."""
    return xxhash.xxh3_64_intdigest(f"{subject}/{instance_id}".encode())
