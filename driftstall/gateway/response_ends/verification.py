"""Verify responses that ended with their connection, by the state of the upstream's process.

A response with neither a length nor a transfer coding ends with its connection. An upstream whose
process ends closes its connections in the same way, so such a response counts as whole only once
the process is known to live after that end.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import gevent
from gevent.event import AsyncResult

from driftstall.const import PREFIX_RELAY
from driftstall.decisions.response_ends import LIVING_STATES, ProcessState
from driftstall.gateway.model import Upstream
from driftstall.gateway.stats import GatewayStats
from driftstall.helpers.log import log_event

SETTLE_S: Final = 0.05
"""Time after an end from which evidence counts: an ending process may close its connections before
it stops listening."""
MAX_CHECK_S: Final = 1.5
"""Longest time that an end waits for evidence."""
MAX_TRIES: Final = 3
"""Probes that are sent until one is answered: an upstream with too many connections resets some, a
process that has just ended may reset the first, and a health check may wait for a slot."""
RETRY_PAUSE_S: Final = 0.1
MAX_ANSWERS: Final = 1_024
"""Upstreams whose latest answer, or latest end of a living process, is remembered."""
LATE_END_S: Final = 5.0
"""A process that refuses connections this soon after an end was probably stopping at that end."""


ProbeProcess = Callable[[Upstream], ProcessState]


@dataclass(slots=True)
class _Check:
    """A check of one process, which all ends share whose evidence may be as old."""

    counts_from: float
    """Time from which evidence counts for all ends that share this check."""
    started_at: float | None = None
    """When the probe was started; None before that."""
    is_silent: bool = False
    """Whether a probe of this check had no answer, although its connection stayed open."""
    state: AsyncResult = field(default_factory=AsyncResult)


class EndVerifier:
    """Tell whether upstreams lived after their responses had ended with their connections.

    Requests that arrive anyway are evidence as well; a probe is sent only without them. Each
    upstream gets one probe at a time, which all ends share that came before it; those that come
    meanwhile share the next one.
    """

    def __init__(self, probe: ProbeProcess, now: Callable[[], float], stats: GatewayStats) -> None:
        """Initialize with the probe of a process, the monotonic clock and the counters."""
        self._probe = probe
        self._now = now
        self._stats = stats
        self._answers: dict[str, float] = {}
        """When the latest request or probe was sent that an upstream's process has answered."""
        self._lived_after: dict[str, float] = {}
        """When a response last ended after which its upstream's process was found alive."""
        self._running: dict[str, _Check] = {}
        self._next: dict[str, _Check] = {}

    def record_answer(self, upstream_id: str, sent_at: float) -> None:
        """Record that an upstream's process has answered a request that was sent at a time."""
        _remember_latest(self._answers, upstream_id, sent_at)
        for checks in (self._running, self._next):
            check = checks.get(upstream_id)
            if check is not None and sent_at >= check.counts_from and not check.state.ready():
                check.state.set(ProcessState.ALIVE)

    def record_refusal(self, upstream: Upstream) -> None:
        """Record that an upstream refuses connections: its process has ended.

        One that ends soon after a response may have truncated it, as servers close their
        connections first when they stop. That is counted and logged.
        """
        ended_at = self._lived_after.pop(upstream.upstream_id, None)
        if ended_at is None or self._now() - ended_at > LATE_END_S:
            return
        self._stats.late_process_ends.inc({"service": upstream.service})
        log_event(
            PREFIX_RELAY,
            f"Process of {upstream.upstream_id} has ended soon after a response's end",
            upstream=upstream.upstream_id,
            service=upstream.service,
            after_ms=int((self._now() - ended_at) * 1000),
            revision=upstream.revision,
        )

    def check(
        self,
        upstream: Upstream,
        ended_at: float,
        remaining_s: float,
        request_id: str = "",
        *,
        max_wait_s: float = MAX_CHECK_S,
    ) -> ProcessState:
        """Return the state of the process after a response of it had ended; wait for evidence."""
        started_at = self._now()
        state = self._find_state(upstream, ended_at, min(remaining_s, max_wait_s))
        waited_s = self._now() - started_at
        self._stats.end_checks.inc({"state": state.value})
        self._stats.end_check_s.observe({}, waited_s)
        if state in LIVING_STATES:
            _remember_latest(self._lived_after, upstream.upstream_id, ended_at)
        else:
            log_event(
                PREFIX_RELAY,
                f"Process of {upstream.upstream_id} is {state.value} after a response's end",
                request=request_id,
                upstream=upstream.upstream_id,
                service=upstream.service,
                check_ms=int(waited_s * 1000),
                revision=upstream.revision,
            )
        return state

    def _find_state(self, upstream: Upstream, ended_at: float, max_wait_s: float) -> ProcessState:
        """Return the state of the process after an end, from evidence that is newer."""
        counts_from = ended_at + SETTLE_S
        settle_s = max(0.0, counts_from - self._now())
        if settle_s >= max_wait_s:
            return ProcessState.UNKNOWN
        gevent.sleep(settle_s)
        # The rest of the time counts from here: the process may have been frozen meanwhile.
        until = self._now() + max_wait_s - settle_s
        if self._answers.get(upstream.upstream_id, float("-inf")) >= counts_from:
            return ProcessState.ALIVE
        check = self._join_check(upstream, counts_from)
        state: ProcessState | None = check.state.wait(max(0.0, until - self._now()))
        if state is not None:
            return state
        running = self._running.get(upstream.upstream_id, check)
        return ProcessState.SILENT if running.is_silent else ProcessState.UNKNOWN

    def _join_check(self, upstream: Upstream, counts_from: float) -> _Check:
        """Return a check whose evidence counts for an end; start it if none is under way."""
        upstream_id = upstream.upstream_id
        running = self._running.get(upstream_id)
        if running is None:
            return self._start_check(upstream, _Check(counts_from))
        assert running.started_at is not None
        if running.started_at >= counts_from and not running.state.ready():
            running.counts_from = max(running.counts_from, counts_from)
            return running
        following = self._next.get(upstream_id)
        if following is None or following.state.ready():
            following = self._next[upstream_id] = _Check(counts_from)
        following.counts_from = max(following.counts_from, counts_from)
        return following

    def _start_check(self, upstream: Upstream, check: _Check) -> _Check:
        """Start the probe of a check."""
        check.started_at = self._now()
        self._running[upstream.upstream_id] = check
        gevent.spawn(self._run_check, upstream, check)
        return check

    def _run_check(self, upstream: Upstream, check: _Check) -> None:
        """Probe a process for all who wait, then for those who have come meanwhile."""
        state = ProcessState.UNKNOWN
        try:
            state = self._probe_until_known(upstream, check)
            if state is ProcessState.ALIVE and check.started_at is not None:
                self.record_answer(upstream.upstream_id, check.started_at)
        except Exception as defect:
            detail = f"{type(defect).__name__}: {defect}"
            log_event(PREFIX_RELAY, f"Probe of {upstream.upstream_id} failed: {detail}")
        finally:
            if not check.state.ready():
                check.state.set(state)
            del self._running[upstream.upstream_id]
            following = self._next.pop(upstream.upstream_id, None)
            if following is not None and not following.state.ready():
                if state is ProcessState.SILENT:
                    # The connection was open until now, which is after all these ends.
                    following.state.set(state)
                else:
                    self._start_check(upstream, following)

    def _probe_until_known(self, upstream: Upstream, check: _Check) -> ProcessState:
        """Return the state that a probe shows; try again while the process does not answer."""
        state = ProcessState.UNKNOWN
        for attempt in range(MAX_TRIES):
            if attempt:
                gevent.sleep(RETRY_PAUSE_S)
            if check.state.ready():
                break
            state = self._probe(upstream)
            check.is_silent = check.is_silent or state is ProcessState.SILENT
            if state not in (ProcessState.UNKNOWN, ProcessState.SILENT):
                break
        return state


def _remember_latest(times: dict[str, float], upstream_id: str, at: float) -> None:
    """Keep the latest time of an upstream, and forget the upstream that was updated first."""
    times[upstream_id] = max(at, times.pop(upstream_id, at))
    if len(times) > MAX_ANSWERS:
        del times[next(iter(times))]
