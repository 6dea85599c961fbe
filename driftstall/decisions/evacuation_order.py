"""Choose which stream's memory is copied next off an engine that is leaving.

The load: an engine announces its end 1.5 to 2.1 s ahead, with some seven streams. One of 3,700
tokens takes 0.2 s to copy over the engine's link, and twice that to another zone. Copies that
overlap share the link, so that many are incomplete when the engine ends; one at a time, nearly all
streams are saved.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

NOTICE_S: Final = 1.5
"""Shortest notice. Copies are planned to end within it; afterwards each may be the last one."""
REPLICA_HEAD_START_S: Final = 0.1
"""Head start of the runs that have a replica: copying what it lacks takes some milliseconds."""
COPY_OVERHEAD_S: Final = 0.02
"""Time of a copy besides the transfer: the order, up to three steps and the report, at up to 1.4 ms
a hop between zones, and what the stream produces during the transfer (some 20 tokens, 1 ms)."""
CROSS_ZONE_FACTOR: Final = 2.0
"""A transfer between zones gets half of the link's rate."""
OVERDUE_FACTOR: Final = 2.0
"""A copy is given up after this multiple of its expected time, so that a lost order or a failed
instance costs no more than one further copy."""
MAX_ATTEMPTS: Final = 2
"""Targets ordered for one stream; a target without room rejects the copy at once."""


@dataclass(frozen=True, slots=True)
class CopyCandidate:
    """Describe a stream on the leaving engine that may be copied."""

    request_id: str
    held_tokens: int
    rank: int
    """Rank in the queue for engine memory; a smaller one is more urgent."""
    ends_in_s: float
    """Expected time until the stream ends by itself."""
    copy_s: float
    """Expected time of the copy to its target."""
    has_events: bool
    """Whether the stream has produced an event; an engine copies no stream before that."""
    has_replica: bool
    """Whether the stream can resume at a backup or a replica."""
    has_timed_out: bool = False
    """Whether its instance has let an order time out; such streams come last."""


def copy_duration_s(
    tokens: int, token_bytes: int, link_bytes_per_s: float, *, crosses_zones: bool
) -> float:
    """Return the expected time of a copy that has the link to itself, in seconds."""
    transfer_s = tokens * token_bytes / link_bytes_per_s if link_bytes_per_s > 0 else 0.0
    return COPY_OVERHEAD_S + transfer_s * (CROSS_ZONE_FACTOR if crosses_zones else 1.0)


def needs_copy(candidate: CopyCandidate) -> bool:
    """Return True if a stream would be lost with its engine, and outlasts its own copy."""
    if not candidate.has_events or candidate.has_replica:
        return False
    return candidate.ends_in_s > candidate.copy_s


def choose_next(candidates: Iterable[CopyCandidate], time_left_s: float) -> CopyCandidate | None:
    """Return the stream to copy next, given the time until the engine may end.

    Of the copies that can still be completed, the one with the highest value per copy time comes
    first, the shorter one of equals. When none can be completed for certain, the engine may still
    run a while longer (notices vary by 0.6 s), and the shortest copy has the best chance.
    """
    needed = [candidate for candidate in candidates if needs_copy(candidate)]
    trusted = [candidate for candidate in needed if not candidate.has_timed_out] or needed
    in_time = [candidate for candidate in trusted if candidate.copy_s <= time_left_s]
    if not in_time:
        return min(trusted, key=lambda candidate: candidate.copy_s, default=None)
    return max(
        in_time,
        key=lambda candidate: (
            expected_loss(candidate, time_left_s) / candidate.copy_s,
            -candidate.copy_s,
        ),
    )


def expected_loss(candidate: CopyCandidate, time_left_s: float) -> float:
    """Return the value that is lost on average without the copy.

    The value is the work done, in tokens, divided by the rank counted from one. The stream is lost
    if it outlasts the engine. Only the mean of its remaining time is known, which is taken as
    exponentially distributed.
    """
    outlasts = math.exp(-max(0.0, time_left_s) / max(candidate.ends_in_s, 0.001))
    return candidate.held_tokens / (1 + candidate.rank) * outlasts
