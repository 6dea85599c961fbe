"""Crash detection: probes upstreams where runs broke off, and attributes crashes to those runs.

A stream or call may break off for many reasons: a cut link, an upstream that corrupts responses or
ends as planned. An upstream counts as crashed only if it refuses connections and no end was
announced.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import gevent

from driftstall.const import PREFIX_ROUTING
from driftstall.decisions.poison_evidence import CRASH_RETENTION_S, Crash
from driftstall.decisions.upstream_probes import ReportedState
from driftstall.exceptions import UpstreamError
from driftstall.gateway.model import Upstream
from driftstall.gateway.runs import BrokenRun
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event
from driftstall.helpers.poison_sharing import log_quarantine

RECHECK_DELAY_S: Final = 0.15
"""Pause before an upstream that still listened is probed once more: an ending process may close its
connections before it stops listening."""
SAME_CRASH_WINDOW_S: Final = 1.0
"""Runs that break off this soon after an upstream was found crashed were running during the crash.
The upstream needs some seconds at least to restart."""
CLEANUP_INTERVAL_S: Final = 60.0
MAX_LOGGED_RUNS: Final = 16


@dataclass(slots=True)
class _Suspicion:
    """Runs that broke off at an upstream, while it is not known yet whether it has crashed."""

    upstream: Upstream
    at: float
    runs: list[BrokenRun]


class CrashDetector:
    """Probes upstreams where runs have broken off, and records crashes."""

    def __init__(
        self,
        state: GatewayState,
        *,
        on_crash: Callable[[Upstream], None],
        publish_evidence: Callable[[], None],
    ) -> None:
        """Initialize with the shared state and the callbacks.

        The callable on_crash takes a crashed upstream, and publish_evidence sends the evidence to
        peers.
        """
        self._state = state
        self._on_crash = on_crash
        self._publish_evidence = publish_evidence
        self._suspicions: dict[str, _Suspicion] = {}
        self._crashed_at: dict[str, float] = {}
        self._cleaned_up_at = state.now()

    def handle_broken_run(self, upstream: Upstream, run: BrokenRun) -> None:
        """Handle a run that broke off unexpectedly."""
        now, upstream_id = self._state.now(), upstream.upstream_id
        if now - self._crashed_at.get(upstream_id, float("-inf")) <= SAME_CRASH_WINDOW_S:
            self._attribute_crash(_Suspicion(upstream, now, [run]))
            return
        suspicion = self._suspicions.get(upstream_id)
        if suspicion is not None:
            suspicion.runs.append(run)
            return
        self._suspect(upstream, run)

    def _suspect(self, upstream: Upstream, run: BrokenRun) -> None:
        """Investigate an upstream, unless it has announced its end."""
        if self._state.fleet.is_departure_announced(upstream.upstream_id):
            return
        self._suspicions[upstream.upstream_id] = _Suspicion(upstream, self._state.now(), [run])
        gevent.spawn(self._investigate, upstream)

    def _investigate(self, upstream: Upstream) -> None:
        """Probe an upstream, once more if it answers, and record a crash."""
        try:
            reported = self._probe(upstream)
            if reported is not ReportedState.TERMINATED:
                gevent.sleep(RECHECK_DELAY_S)
                reported = self._probe(upstream)
        finally:
            suspicion = self._suspicions.pop(upstream.upstream_id)
        if reported is not ReportedState.TERMINATED:
            return
        self._crashed_at[upstream.upstream_id] = self._state.now()
        self._attribute_crash(suspicion)
        self._on_crash(upstream)

    def _probe(self, upstream: Upstream) -> ReportedState:
        """Return the state that an engine reports; test other upstreams by connecting to them."""
        service = (
            self._state.route_table.service(upstream.service) if self._state.route_table else None
        )
        is_engine = service is not None and service.engine is not None
        if is_engine and not self._state.backoff_s(upstream):
            return self._state.dialect.probe_state(upstream)
        try:
            self._state.connector.connect_to_probe(upstream).close()
        except UpstreamError as error:
            return ReportedState.TERMINATED if error.refused else ReportedState.UNKNOWN
        return ReportedState.SERVING

    def _attribute_crash(self, suspicion: _Suspicion) -> None:
        """Attribute a crash to all runs that broke off at the upstream, and publish that."""
        upstream_id, tracker = suspicion.upstream.upstream_id, self._state.poison.tracker
        self._state.stats.crashes_seen += 1
        log_event(
            PREFIX_ROUTING,
            f"Upstream {upstream_id} has crashed with {len(suspicion.runs)} runs of this instance",
            fingerprints=[run.subjects.request for run in suspicion.runs[:MAX_LOGGED_RUNS]],
            parts=[run.subjects.parts for run in suspicion.runs[:MAX_LOGGED_RUNS]],
            requests=[run.request_id for run in suspicion.runs[:MAX_LOGGED_RUNS]],
            revision=suspicion.upstream.revision,
        )
        for run in suspicion.runs:
            tracker.record_run_crash(run.subjects, Crash(upstream_id, suspicion.at, run.under_way))
        requests: dict[str, str] = {}
        for run in suspicion.runs:
            requests |= dict.fromkeys(run.subjects.all, run.request_id)
        for subject, request_id in requests.items():
            self._log_verdict(subject, request_id)
        self._publish_evidence()
        self._remove_expired()

    def _log_verdict(self, subject: str, request_id: str) -> None:
        """Log the verdict on a subject if it is quarantined, and store it."""
        verdict = self._state.poison.tracker.verdict(subject, self._state.now())
        if verdict.wait_s:
            self._state.poison.on_quarantined(subject)
            log_quarantine(subject, verdict, request=request_id)

    def _remove_expired(self) -> None:
        """Remove crashes that have no effect any more."""
        now = self._state.now()
        if now - self._cleaned_up_at < CLEANUP_INTERVAL_S:
            return
        self._cleaned_up_at = now
        self._state.poison.tracker.forget_expired(now)
        self._crashed_at = {
            upstream_id: at
            for upstream_id, at in self._crashed_at.items()
            if now - at < CRASH_RETENTION_S
        }
