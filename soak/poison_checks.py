"""Check that requests and prompt parts that crash upstreams are sent on no more, and others are."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from soak.disturbances import CONTACT_S, MACHINE_SLACK_S, describe, is_undisturbed
from soak.fleet import FATAL
from soak.ledger import STREAMS, Ledger, SentRequest
from stand_ins.prompts import fatal_part

FATAL_CRASH_THRESHOLD: Final = 3
MAX_FATAL_SENDS: Final = 3
"""A request that has crashed FATAL_CRASH_THRESHOLD upstreams may be sent this often again, once
all instances can know of the crashes."""
CRASHES: Final = b'"crashes_runners"'
MAX_FALSE_REFUSALS: Final = 3
"""Harmless requests may be refused that were running during two crashes, until the report of a
success has arrived."""
FATAL_PART_CRASH_THRESHOLD: Final = 5
"""The same for a prompt part; parts that stand beside it have to be told apart from it."""
SOUND_SHARE: Final = 1 / 2
"""Streams beside a fatal part must be served at least this often, compared with those before it."""
MIN_SOUND: Final = 20
"""Streams before and beside a fatal part from which shares are compared."""


def check_poison(ledger: Ledger) -> Iterator[str]:
    """Check what was sent on of fatal requests, and whether sound ones were served."""
    yield from _check_fatal_requests(ledger)
    yield from _check_false_refusals(ledger)
    yield from _check_sound_streams(ledger)


def _check_fatal_requests(ledger: Ledger) -> Iterator[str]:
    """Check that undisturbed instances stop sending what has crashed several upstreams."""
    for target in sorted({crash.target for crash in ledger.fatal_crashes}):
        times = sorted(crash.at for crash in ledger.fatal_crashes if crash.target == target)
        is_path = target.startswith("/")
        threshold = FATAL_CRASH_THRESHOLD if is_path else FATAL_PART_CRASH_THRESHOLD
        if len(times) < threshold:
            continue
        due = times[threshold - 1] + CONTACT_S + MACHINE_SLACK_S
        late = [
            arrival
            for arrival in ledger.arrivals
            if target in (arrival.target, fatal_part(ledger.requests[arrival.request_id].prompt))
            and arrival.at > due
            and is_undisturbed(ledger, ledger.requests[arrival.request_id], arrival.at)
        ]
        if len(late) > MAX_FATAL_SENDS:
            yield (
                f"{target} was sent on {len(late)} times after {threshold} upstreams had ended "
                f"under it; {len(times)} ended in all"
            )


def _check_false_refusals(ledger: Ledger) -> Iterator[str]:
    """Check that harmless requests are not refused as poison, apart from a few at first."""
    refused = [
        request
        for request in ledger.requests.values()
        if CRASHES in request.body
        and not request.path.startswith(FATAL)
        and not fatal_part(request.prompt)
        and is_undisturbed(ledger, request)
    ]
    if len(refused) > MAX_FALSE_REFUSALS:
        yield f"{len(refused)} requests refused that end nothing: {describe(refused[0])}"


def _check_sound_streams(ledger: Ledger) -> Iterator[str]:
    """Check that streams that share parts with fatal ones are served nearly as before.

    They count from twice the contact time after the last crash under a part, or the fifth.
    """
    crashes = sorted(crash.at for crash in ledger.fatal_crashes if not crash.target.startswith("/"))
    if not crashes:
        return
    since = crashes[:FATAL_PART_CRASH_THRESHOLD][-1] + 2 * CONTACT_S + MACHINE_SLACK_S
    sound = [
        request
        for request in ledger.requests.values()
        if request.kind in STREAMS
        and request.prompt
        and not fatal_part(request.prompt)
        and is_undisturbed(ledger, request)
    ]
    before = [request for request in sound if request.ended_at < crashes[0]]
    after = [request for request in sound if request.sent_at > since]
    if min(len(before), len(after)) < MIN_SOUND:
        return
    share_before, share_after = _served_share(before), _served_share(after)
    if share_after < SOUND_SHARE * share_before:
        yield (
            f"{share_after:.0%} of sound streams served beside fatal parts, "
            f"{share_before:.0%} before"
        )


def _served_share(requests: list[SentRequest]) -> float:
    """Return the share of streams that have begun at the first attempt."""
    return sum(request.status == 200 for request in requests) / len(requests)
