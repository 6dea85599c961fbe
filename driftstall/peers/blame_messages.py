"""Define the message about requests beside crashes, which daemons and gateways exchange."""

from __future__ import annotations

from dataclasses import dataclass

from driftstall.decisions.poison_detection import BlameTold


@dataclass(frozen=True, slots=True)
class BlamesTold:
    """Tell a peer which requests ran beside crashes of upstreams."""

    sender: str
    records: tuple[BlameTold, ...]
    asks: bool
    """Whether the peer is to answer with what it knows besides."""
