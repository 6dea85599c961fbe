"""Responses without framing: they end with their connection, exactly as a crash of the upstream.

Such an end is counted as a success once the upstream is known to be alive: it answers a request
that was sent later, or a probe. Probes are sent only while there is evidence against the request.
If the upstream has crashed, the end was the crash.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Protocol

from driftstall.decisions.poison_subjects import PoisonSubjects
from driftstall.gateway.model import Upstream
from driftstall.gateway.runs import BrokenRun

MAX_PENDING_PER_UPSTREAM: Final = 64
MAX_UPSTREAMS: Final = 256
"""Maximum number of upstreams with ends; those that have left answer no more."""
CRASH_WINDOW_S: Final = 3.0
"""Ends this long before an upstream was found crashed may have been its crash."""


class SuccessRecorder(Protocol):
    """The part of the guard that takes successes."""

    def record_success(self, subjects: PoisonSubjects, at: float | None = None) -> None:
        """Record that a request has succeeded at a time."""

    def is_suspect(self, subjects: PoisonSubjects) -> bool:
        """Return True if crashes count against a request or a part of it."""


@dataclass(frozen=True, slots=True)
class _PendingEnd:
    """A response that has ended with its connection."""

    upstream: Upstream
    run: BrokenRun
    at: float


class UnframedEnds:
    """Hold the ends of responses without framing until their upstreams are known to be alive."""

    def __init__(self, recorder: SuccessRecorder, now: Callable[[], float]) -> None:
        """Initialize without ends."""
        self._recorder = recorder
        self._now = now
        self._pending: dict[str, deque[_PendingEnd]] = {}
        self.probe: Callable[[Upstream], None] | None = None
        """Starts a probe of an upstream, which ends in confirm() or take_crashed()."""

    def add(self, upstream: Upstream, run: BrokenRun) -> None:
        """Add a response that has just ended with its connection."""
        ends = self._pending.pop(upstream.upstream_id, deque(maxlen=MAX_PENDING_PER_UPSTREAM))
        ends.append(_PendingEnd(upstream, run, self._now()))
        self._pending[upstream.upstream_id] = ends
        if len(self._pending) > MAX_UPSTREAMS:
            self._pending.pop(next(iter(self._pending)))
        if self._recorder.is_suspect(run.subjects):
            self._request_probe(upstream)

    def review(self) -> None:
        """Probe the upstreams of ends that may exonerate a subject; called after a crash."""
        for ends in list(self._pending.values()):
            if any(self._recorder.is_suspect(end.run.subjects) for end in ends):
                self._request_probe(ends[-1].upstream)

    def confirm(self, upstream_id: str, sent_at: float) -> None:
        """Count the ends before a time as successes: the upstream has answered a later request."""
        ends = self._pending.get(upstream_id)
        if ends is None:
            return
        while ends and ends[0].at < sent_at:
            end = ends.popleft()
            self._recorder.record_success(end.run.subjects, end.at)
        if not ends:
            self._pending.pop(upstream_id, None)

    def take_crashed(self, upstream_id: str) -> tuple[BrokenRun, ...]:
        """Remove the ends at an upstream that does not listen; return those that were its crash."""
        ends, oldest = self._pending.pop(upstream_id, ()), self._now() - CRASH_WINDOW_S
        return tuple(end.run for end in ends if end.at >= oldest)

    def _request_probe(self, upstream: Upstream) -> None:
        """Start a probe of an upstream."""
        if self.probe is not None:
            self.probe(upstream)
