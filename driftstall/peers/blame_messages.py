"""Message of daemons and gateways about requests that were running during crashes."""

from __future__ import annotations

from dataclasses import dataclass

from driftstall.decisions.poison_evidence import PoisonReport


@dataclass(frozen=True, slots=True)
class BlamesTold:
    """Report which requests were running on upstreams that crashed."""

    sender: str
    records: tuple[PoisonReport, ...]
    asks: bool
    """True if the peer should answer with the evidence that this message lacks."""
