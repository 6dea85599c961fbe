"""Find out whether an upstream has crashed, and put that down to what ran there.

A stream or call may break off for many reasons: a cut link, an upstream that spoils answers or ends
as planned. Only where an upstream that was to stay has stopped to listen has it crashed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import gevent
from gevent import socket

from driftstall.const import PREFIX_ROUTING
from driftstall.decisions.poison_detection import CRASH_RETENTION_S, Crash
from driftstall.decisions.upstream_probes import ReportedState
from driftstall.gateway.calls import CONNECT_TIMEOUT_S
from driftstall.gateway.model import Upstream
from driftstall.gateway.runs import BrokenRun
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event
from driftstall.helpers.poison_sharing import log_quarantine
from driftstall.util.addresses import split_address

RECHECK_DELAY_S: Final = 0.15
"""Pause after which an upstream that still listened is asked once more: a process that ends
closes its connections before or after it stops to listen."""
SAME_END_S: Final = 1.0
"""Runs that break off so soon after an upstream was found crashed were beside it. It is back after
some seconds at the earliest."""
FORGET_EVERY_S: Final = 60.0
MOST_LOGGED: Final = 16


@dataclass(slots=True)
class _Doubt:
    """Hold what broke off at one upstream of which it is not known yet whether it has crashed."""

    upstream: Upstream
    at: float
    runs: list[BrokenRun]


class CrashDetector:
    """Look at upstreams where runs have broken off."""

    def __init__(
        self,
        state: GatewayState,
        *,
        gone: Callable[[Upstream], None],
        changed: Callable[[], None],
        convicted: Callable[[str], None],
    ) -> None:
        """Take the shared state, who sends nothing more to what is gone, and who tells peers.

        Convicted takes the fingerprint of a request that is sent to no upstream from now on.
        """
        self._state = state
        self._gone = gone
        self._changed = changed
        self._convicted = convicted
        self._doubts: dict[str, _Doubt] = {}
        self._crashed_at: dict[str, float] = {}
        self._forgot_at = state.now()

    def handle_broken_run(self, upstream: Upstream, run: BrokenRun) -> None:
        """Take in a run that broke off unexpectedly."""
        now, upstream_id = self._state.now(), upstream.upstream_id
        if now - self._crashed_at.get(upstream_id, float("-inf")) <= SAME_END_S:
            self._blame(_Doubt(upstream, now, [run]))
            return
        known = self._doubts.get(upstream_id)
        if known is not None:
            known.runs.append(run)
            return
        if self._state.fleet.is_departure_announced(upstream_id):
            return
        self._doubts[upstream_id] = _Doubt(upstream, now, [run])
        gevent.spawn(self._find_out, upstream)

    def _find_out(self, upstream: Upstream) -> None:
        """Ask an upstream, and once more if it answers."""
        try:
            word = self._ask(upstream)
            if word is not ReportedState.TERMINATED:
                gevent.sleep(RECHECK_DELAY_S)
                word = self._ask(upstream)
        finally:
            doubt = self._doubts.pop(upstream.upstream_id)
        if word is not ReportedState.TERMINATED:
            return
        self._crashed_at[upstream.upstream_id] = self._state.now()
        self._blame(doubt)
        self._gone(upstream)

    def _ask(self, upstream: Upstream) -> ReportedState:
        """Return what an engine says of itself; of others, whether they listen."""
        service = (
            self._state.route_table.service(upstream.service) if self._state.route_table else None
        )
        is_engine = service is not None and service.engine is not None
        if is_engine and not self._state.backoff_s(upstream):
            return self._state.dialect.probe_state(upstream)
        try:
            address = split_address(upstream.address)
            socket.create_connection(address, CONNECT_TIMEOUT_S).close()
        except ConnectionRefusedError:
            return ReportedState.TERMINATED
        except OSError:
            return ReportedState.UNKNOWN
        return ReportedState.SERVING

    def _blame(self, doubt: _Doubt) -> None:
        """Put a crash down to all that ran there, and tell peers."""
        upstream_id, blame = doubt.upstream.upstream_id, self._state.poison_tracker
        self._state.stats.crashes_seen += 1
        log_event(
            PREFIX_ROUTING,
            f"Upstream {upstream_id} has crashed with {len(doubt.runs)} runs of this instance",
            fingerprints=[one.fingerprint for one in doubt.runs[:MOST_LOGGED]],
            requests=[one.request_id for one in doubt.runs[:MOST_LOGGED]],
            revision=doubt.upstream.revision,
        )
        for run in doubt.runs:
            if run.fingerprint:
                blame.record_crash(run.fingerprint, Crash(upstream_id, doubt.at, run.under_way))
                self._log_verdict(run)
        self._changed()
        self._forget_old()

    def _log_verdict(self, run: BrokenRun) -> None:
        """Log what a request has come to, where it is sent on no more."""
        verdict = self._state.poison_tracker.verdict(run.fingerprint, self._state.now())
        if verdict.wait_s:
            self._convicted(run.fingerprint)
            log_quarantine(run.fingerprint, verdict, request=run.request_id)

    def _forget_old(self) -> None:
        """Forget crashes that have no effect any more."""
        now = self._state.now()
        if now - self._forgot_at < FORGET_EVERY_S:
            return
        self._forgot_at = now
        self._state.poison_tracker.forget_expired(now)
        self._crashed_at = {
            one: at for one, at in self._crashed_at.items() if now - at < CRASH_RETENTION_S
        }
