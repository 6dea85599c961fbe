"""Verify responses that ended with their connection, by the state of the upstream's process.

A response with neither a length nor a transfer coding ends with its connection. An upstream whose
process ends closes its connections in the same way, so such a response counts as whole only once
the process is known to live after that end.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

import gevent
from gevent.event import AsyncResult

from driftstall.const import PREFIX_RELAY
from driftstall.gateway.model import Upstream
from driftstall.gateway.stats import GatewayStats
from driftstall.helpers.log import log_event

SETTLE_S: Final = 0.05
"""Time after an end from which an answer of the process counts: an ending process may close its
connections before it stops listening."""
MAX_CHECK_S: Final = 1.5
"""Longest time that an end waits for evidence."""
MAX_ANSWERS: Final = 1_024
"""Upstreams whose latest answer is remembered."""


class ProcessState(StrEnum):
    """State of an upstream's process."""

    ALIVE = "alive"
    ENDED = "ended"
    """It refuses or resets connections, or another process answers at its address."""
    UNKNOWN = "unknown"
    """It gave no answer that shows its state."""


ProbeProcess = Callable[[Upstream], ProcessState]


@dataclass(frozen=True, slots=True)
class _Probe:
    """A probe that is under way."""

    sent_at: float
    state: AsyncResult


class EndVerifier:
    """Tell whether upstreams lived after their responses had ended with their connections.

    Requests that arrive anyway are evidence as well; a probe is sent only without them, and ends
    that wait at the same time share it.
    """

    def __init__(self, probe: ProbeProcess, now: Callable[[], float], stats: GatewayStats) -> None:
        """Initialize with the probe of a process, the monotonic clock and the counters."""
        self._probe = probe
        self._now = now
        self._stats = stats
        self._answers: dict[str, float] = {}
        """When the latest request was sent that an upstream's process has answered."""
        self._probes: dict[str, _Probe] = {}

    def record_answer(self, upstream_id: str, sent_at: float) -> None:
        """Record that an upstream's process has answered a request that was sent at a time."""
        latest = max(sent_at, self._answers.pop(upstream_id, sent_at))
        self._answers[upstream_id] = latest
        if len(self._answers) > MAX_ANSWERS:
            del self._answers[next(iter(self._answers))]

    def is_alive(
        self, upstream: Upstream, ended_at: float, remaining_s: float, request_id: str = ""
    ) -> bool:
        """Return True if the process lived after a response of it had ended; wait for evidence."""
        started_at = self._now()
        state = self._find_state(upstream, ended_at, min(remaining_s, MAX_CHECK_S))
        self._stats.end_checks.inc({"state": state.value})
        log_event(
            PREFIX_RELAY,
            f"Process of {upstream.upstream_id} found {state.value} after the end of a connection",
            request=request_id,
            upstream=upstream.upstream_id,
            service=upstream.service,
            check_ms=int((self._now() - started_at) * 1000),
            revision=upstream.revision,
        )
        return state is ProcessState.ALIVE

    def _find_state(self, upstream: Upstream, ended_at: float, max_wait_s: float) -> ProcessState:
        """Return the state of the process after an end, from evidence that is newer."""
        counts_from = ended_at + SETTLE_S
        until = self._now() + max_wait_s
        gevent.sleep(max(0.0, min(counts_from, until) - self._now()))
        if self._answers.get(upstream.upstream_id, float("-inf")) >= counts_from:
            return ProcessState.ALIVE
        probe = self._probes.get(upstream.upstream_id)
        if probe is None or probe.sent_at < counts_from:
            probe = self._start_probe(upstream)
        state: ProcessState | None = probe.state.wait(max(0.0, until - self._now()))
        return state or ProcessState.UNKNOWN

    def _start_probe(self, upstream: Upstream) -> _Probe:
        """Start a probe, which later ends at the upstream may share while it is under way."""
        probe = _Probe(self._now(), AsyncResult())
        self._probes[upstream.upstream_id] = probe
        gevent.spawn(self._run_probe, upstream, probe)
        return probe

    def _run_probe(self, upstream: Upstream, probe: _Probe) -> None:
        """Probe a process, and pass its state to all who wait for it."""
        state = ProcessState.UNKNOWN
        try:
            state = self._probe(upstream)
        finally:
            if self._probes.get(upstream.upstream_id) is probe:
                del self._probes[upstream.upstream_id]
            probe.state.set(state)
