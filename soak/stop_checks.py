"""Check that planned stops cut no request that an instance has read."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Final

from soak.disturbances import CONTACT_S, MACHINE_SLACK_S, describe
from soak.ledger import STREAMS, Arrival, Ledger, SentRequest, Window
from stand_ins.endings import Framing

GRACE_S: Final = 3.0
"""Time from SIGTERM to SIGKILL (graceS)."""
AFTER_GRACE_S: Final = 1.0
"""Time after the grace time up to which a cut counts."""
LOSS_SLACK_S: Final = 0.2
"""Time within which a request may cross the close of its connection (lossSlackMs)."""
LATE_SENT_S: Final = 3.0
"""Requests sent later than this after SIGTERM are never excused by a long run."""
LAST_SHARE: Final = 1 / 6
"""Last part of the grace time: what an upstream still runs then may be cut."""


def check_stops(ledger: Ledger, runs: dict[str, list[Arrival]]) -> Iterator[str]:
    """Check all requests that were cut around a planned stop of their instance."""
    for request in ledger.requests.values():
        if not request.is_cut or request.ended_at - request.sent_at >= request.timeout_s:
            continue
        arrivals = runs.get(request.request_id, [])
        slack_s = LOSS_SLACK_S + MACHINE_SLACK_S
        if not arrivals and request.ended_at - request.sent_at <= slack_s:
            continue
        for stop in ledger.planned_stops[request.instance]:
            after_s = request.ended_at - stop.begins
            is_around = 0.0 <= after_s <= GRACE_S + AFTER_GRACE_S
            if is_around and not _is_excused(ledger, request, arrivals, stop):
                yield f"lost {after_s:.2f} s after SIGTERM: {describe(request)}"


def _is_excused(
    ledger: Ledger, request: SentRequest, arrivals: Sequence[Arrival], stop: Window
) -> bool:
    """Return True if something else than the stop explains why a request was cut."""
    if _is_unproven(ledger, request, arrivals):
        return True
    name, begins, ends = request.instance, request.sent_at - CONTACT_S, request.ended_at
    others = [window for window in ledger.disturbed[name] if window is not stop]
    if any(_overlaps(window, begins, ends) for window in (*others, *ledger.partitioned[name])):
        return True
    if any(
        not ledger.is_undisturbed(arrival.upstream_id, arrival.at, ends) for arrival in arrivals
    ):
        return True
    last_part_at = stop.begins + GRACE_S * (1 - LAST_SHARE)
    was_at_work = any(arrival.at + ledger.max_run_s >= last_part_at for arrival in arrivals)
    is_early = request.sent_at <= stop.begins + LATE_SENT_S
    return was_at_work and is_early and ends >= last_part_at


def _is_unproven(ledger: Ledger, request: SentRequest, arrivals: Sequence[Arrival]) -> bool:
    """Return True if a stream has every event, and its last run ended without framing.

    Nothing shows that such a stream is whole, so it is reset at its end, with a stop or without.
    """
    if request.kind not in STREAMS or not ledger.is_whole(request) or not arrivals:
        return False
    run = arrivals[-1]
    ends = ledger.response_ends.get(request.request_id, [])
    last = [end for end in ends if end.upstream_id == run.upstream_id and end.at >= run.at]
    return bool(last) and last[-1].plan.framing is Framing.CLOSE


def _overlaps(window: Window, begins: float, ends: float) -> bool:
    """Return True if a window overlaps a span of time."""
    return window.ends >= begins and window.begins <= ends
