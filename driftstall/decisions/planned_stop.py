"""Decide which requests an instance that is stopping still accepts, and until when it answers.

The platform kills the process at the end of the grace time. A request that is still open then loses
its response, and where it may run only once it cannot be sent again either. Callers that have
located another instance by then lose nothing by a rejection, so only the first requests after the
stop are accepted by their expected duration; the later ones must end in time.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

RELOCATION_S: Final = 2.5
"""Time after the stop in which callers with a located address may not have renewed it yet."""
ANSWER_MARGIN_S: Final = 0.4
"""Time before the kill in which the last responses are written."""
MAX_MARGIN_SHARE: Final = 0.25
"""Upper limit of the margin, as a share of the grace time."""
CALLERS_ARRIVE_SHARE: Final = 0.8
"""Share of the grace time during which callers with a located address may still arrive."""
RETRY_ELSEWHERE_S: Final = 0.02
"""Retry-After where another instance is ready: the caller may ask it at once."""
MAX_RETRY_S: Final = 0.5
"""Longest Retry-After where no other instance is ready, as one may become ready at any time."""


class Interruption(StrEnum):
    """What a request suffers if the instance has to end it early."""

    RETRYABLE = "retryable"
    """It gets a whole error response, and its caller may send it again."""
    UNKNOWN_OUTCOME = "unknown outcome"
    """It gets a whole error response, but may have run and must not be sent again."""
    CUT_OFF = "cut off"
    """Its response breaks off."""


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """Describe a request that has not been sent to an upstream yet; times are in seconds."""

    arrived_at: float
    ends_at: float
    """Deadline of the caller or the route."""
    expected_s: float
    """Expected time from the send to the end of the response."""
    interruption: Interruption


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """Hold the times of a planned stop, on the monotonic clock."""

    began_at: float
    """When the signal arrived, or may have arrived at the earliest."""
    answer_by: float
    """When the last responses are written, shortly before the process is killed."""
    exit_from: float
    """When the process may exit if no request is open: no more callers are expected."""
    killed_at: float

    @classmethod
    def from_grace(cls, now: float, grace_s: float, delay_s: float = 0.0) -> PlannedStop:
        """Return a stop whose signal is handled now and arrived at most delay_s seconds ago.

        The process is killed the grace time after the arrival. Callers learn of the stop now.
        """
        began_at = now - delay_s
        killed_at = began_at + grace_s
        margin_s = min(ANSWER_MARGIN_S, MAX_MARGIN_SHARE * grace_s)
        exit_from = now + CALLERS_ARRIVE_SHARE * grace_s
        return cls(began_at, killed_at - margin_s, exit_from, killed_at)

    def can_accept(
        self, request: PendingRequest, now: float, has_ready_peer: Callable[[], bool]
    ) -> bool:
        """Return True if a request may be sent to an upstream now.

        The function has_ready_peer is called only if it matters. Without a ready peer, a whole
        error response is the worst that may happen to a call, and better than no instance that
        serves it.
        """
        if request.ends_at <= self.answer_by:
            return True
        if now + request.expected_s > self.answer_by:
            return False
        if request.arrived_at <= self.began_at + RELOCATION_S:
            return True
        if request.interruption is Interruption.UNKNOWN_OUTCOME:
            return not has_ready_peer()
        return request.interruption is Interruption.RETRYABLE

    def retry_after_s(self, now: float, *, has_ready_peer: bool) -> float:
        """Return when a rejected caller should come back, in seconds.

        Without a ready peer that is when a new process may have replaced this one, but soon enough
        to find another instance that has become ready meanwhile.
        """
        if has_ready_peer:
            return RETRY_ELSEWHERE_S
        replaced_at = self.exit_from if now < self.exit_from else self.killed_at
        return max(RETRY_ELSEWHERE_S, min(MAX_RETRY_S, replaced_at - now))
