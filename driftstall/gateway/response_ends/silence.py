"""Decide how long a silent stream stays at its engine."""

from __future__ import annotations

from typing import Final

import gevent

from driftstall.const import PREFIX_RELAY
from driftstall.decisions.upstream_probes import ReportedState
from driftstall.gateway.model import Upstream
from driftstall.gateway.runs import StreamRun
from driftstall.gateway.state import GatewayState
from driftstall.gateway.stream_context import StreamContext
from driftstall.helpers.log import log_event

SILENCE_TIMEOUT_S: Final = 2.0
"""A running stream without an event for this time resumes at its backup, if it has one and its
engine does not answer a probe. An engine that answers may have preempted the run: it goes on with
it by itself, so that a second engine would run the request as well."""
PROBE_AFTER_S: Final = 1.4
"""Silence after which the engine is probed. A sound engine may be silent for a second or so, and
the probe takes half a second at most."""
ANSWERING_STATES: Final = frozenset({ReportedState.SERVING, ReportedState.LEAVING})


class SilenceWatch:
    """Watch the pauses between the events of one stream, and probe its engine in a long one."""

    def __init__(self, state: GatewayState, context: StreamContext) -> None:
        """Initialize with the shared state and the stream's context."""
        self._state = state
        self._context = context
        self._probe: gevent.Greenlet | None = None
        """The probe of the engine of a silent stream; None while events arrive."""

    def end_silence(self) -> None:
        """Record that a part of the response has arrived, or that a new run begins."""
        self._probe = None

    def max_wait_s(self, run: StreamRun) -> float:
        """Return how long to wait for the next event, in seconds."""
        remaining_s = max(0.0, self._context.remaining_s())
        if not self._context.replicas.has_current_backup(run):
            return remaining_s
        is_probed = self._probe is not None
        return min(remaining_s, SILENCE_TIMEOUT_S - PROBE_AFTER_S if is_probed else PROBE_AFTER_S)

    def may_wait_longer(self, run: StreamRun) -> bool:
        """Return True if a silent stream is to stay at its engine; probe the engine."""
        if self._context.remaining_s() <= 0:
            return False
        if not self._context.replicas.has_current_backup(run):
            # The backup engine has left meanwhile, so waiting is the only option.
            return True
        if run.pending_final_copy is not None:
            # Its engine may have stopped the run for the copy, and answers all the same.
            return False
        if self._probe is None:
            self._probe = gevent.spawn(self._is_answering, run.upstream)
            return True
        probe, self._probe = self._probe, None
        is_answering = bool(probe.ready() and probe.value)
        log_event(
            PREFIX_RELAY,
            f"Stream is silent and its upstream {'answers' if is_answering else 'does not answer'}",
            request=run.request_id,
            upstream=run.upstream.upstream_id,
            events=run.events,
            silent_ms=int((self._state.now() - run.last_event_at) * 1000),
        )
        return is_answering

    def _is_answering(self, upstream: Upstream) -> bool:
        """Return True if an engine answers a probe, or has just answered with a back-off."""
        if self._state.backoff_s(upstream):
            return True
        return self._state.dialect.probe_state(upstream) in ANSWERING_STATES
