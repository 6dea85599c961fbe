"""Choose the peer through which an instance that can't reach a service connects to it.

Most of an availability zone may be partitioned at once. So the load spreads by what each peer has
in progress, and a peer of another zone is chosen once those of the own zone have much more.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from driftstall.core import Instance

CROSS_ZONE_REQUESTS: Final = 6
"""A peer of another zone is chosen if it has this many requests less: traffic between zones is
billed."""
MAX_COMPARED_PEERS: Final = 8
"""In a larger fleet a random sample of this size is compared, so that cost per request is bounded
and partitioned instances do not all choose the same peer."""


@dataclass(frozen=True, slots=True)
class PeerOption:
    """Describe a peer that may reach a service."""

    instance: Instance
    tunnels: int
    """Tunnels that this instance has open through the peer."""
    running: int
    """Requests that the peer reports to have in progress."""


def choose_peer(
    options: Sequence[PeerOption], zone: str, source: random.Random
) -> PeerOption | None:
    """Return the peer with the least load, preferably of the zone; None if there is none."""
    local = [option for option in options if option.instance.zone == zone]
    candidates = _sample(local, source)
    candidates += _sample([option for option in options if option.instance.zone != zone], source)

    def cost(option: PeerOption) -> float:
        remote = CROSS_ZONE_REQUESTS if option.instance.zone != zone else 0
        return option.tunnels + option.running + remote + source.random()

    return min(candidates, key=cost, default=None)


def _sample(options: list[PeerOption], source: random.Random) -> list[PeerOption]:
    """Return the options, or a random sample of many."""
    return source.sample(options, min(MAX_COMPARED_PEERS, len(options)))
