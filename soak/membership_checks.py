"""Check that upstreams that have joined are used."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from soak.disturbances import CALM_AFTER_S, CONTACT_S, is_undisturbed
from soak.ledger import STORE, Ledger

MIN_REQUESTS: Final = 80
"""Requests to a service of which each of its upstreams gets one. It counts all instances together:
a single instance may prefer some upstreams to others for long."""


def check_joined(ledger: Ledger) -> Iterator[str]:
    """Check that undisturbed instances use each upstream that has joined CONTACT_S before."""
    for upstream_id, joined_at in ledger.joined.items():
        begins = joined_at + CALM_AFTER_S
        ends = ledger.replaced.get(upstream_id, float("inf"))
        if not ledger.is_undisturbed(STORE, joined_at - CALM_AFTER_S, begins):
            continue
        receivers = [
            arrival.upstream_id
            for arrival in ledger.arrivals
            if begins <= arrival.at <= ends
            and ledger.services[arrival.upstream_id] == ledger.services[upstream_id]
            and is_undisturbed(ledger, ledger.requests[arrival.request_id], arrival.at)
        ]
        if len(receivers) >= MIN_REQUESTS and upstream_id not in receivers[:MIN_REQUESTS]:
            yield (
                f"{upstream_id} got none of {MIN_REQUESTS} requests "
                f"later than {CONTACT_S:g} s after it joined"
            )
