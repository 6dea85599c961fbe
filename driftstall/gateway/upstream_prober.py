"""Probing of engines for their state while the platform is silent.

An engine is also probed, regardless of the platform, when a stream there breaks off unexpectedly:
an engine that crashed gives no notice, and its entry is removed only after some seconds of silence.
An engine that rejects a replica is probed too: the engine may be full, or about to leave.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import gevent

from driftstall.const import PREFIX_ROUTING
from driftstall.core import Instance
from driftstall.decisions.upstream_probes import (
    PROBE_INTERVAL_S,
    REPUBLISH_INTERVAL_S,
    ReportedState,
    should_probe,
)
from driftstall.gateway.model import Upstream
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event
from driftstall.helpers.tasks import keep_running

CHECK_INTERVAL_S: Final = 0.1
"""Interval at which the prober checks whether there is a reason to probe."""


class UpstreamProber:
    """Probes engines and publishes those that are leaving or have terminated."""

    def __init__(
        self,
        state: GatewayState,
        own: Instance,
        *,
        probers: Callable[[], tuple[Instance, ...]],
        is_platform_silent: Callable[[], bool],
        on_suspected: Callable[[str], None],
        publish: Callable[[str], None],
    ) -> None:
        """Initialize with the shared state, readers of the platform's status, and the callbacks.

        The callable probers returns the instances that share the probing. For an engine that is
        leaving or has terminated, on_suspected is called with its id, and publish sends the id to
        all peers.
        """
        self._state = state
        self._own = own
        self._probers = probers
        self._is_platform_silent = is_platform_silent
        self._on_suspected = on_suspected
        self._publish = publish
        self._probed_at: dict[str, float] = {}
        self._published_at: dict[str, float] = {}

    def start(self) -> None:
        """Start the probing loop."""
        keep_running(PREFIX_ROUTING, self._run)

    def probe_soon(self, upstream: Upstream) -> None:
        """Probe an engine at which something has just gone wrong, in the background."""
        gevent.spawn(self._probe, upstream)

    def probe_all(self) -> None:
        """Probe the engines that are assigned to this instance."""
        probers = self._probers()
        for upstream in self._state.fleet.upstreams:
            if should_probe(self._own, probers, upstream.upstream_id, upstream.zone):
                gevent.spawn(self._probe, upstream)

    def _run(self) -> None:
        """Probe periodically while the platform is silent, or lags behind the engines' reports."""
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            if self._is_platform_silent() or self._state.fleet.has_suspects:
                self.probe_all()
                gevent.sleep(PROBE_INTERVAL_S - CHECK_INTERVAL_S)
            self._remove_expired()

    def _probe(self, upstream: Upstream) -> None:
        """Probe one engine, unless it was probed just now, and handle a bad state."""
        engine_id, now = upstream.upstream_id, self._state.now()
        service = (
            self._state.route_table.service(upstream.service) if self._state.route_table else None
        )
        if service is None or service.engine is None:
            return
        if now - self._probed_at.get(engine_id, float("-inf")) < PROBE_INTERVAL_S / 2:
            return
        if self._state.backoff_s(upstream):
            return
        self._probed_at[engine_id] = now
        self._state.rate_limiting.charge(upstream.upstream_id)
        reported = self._state.dialect.probe_state(upstream)
        if reported.is_unavailable:
            self.handle_bad_state(upstream, reported)

    def handle_bad_state(self, upstream: Upstream, reported: ReportedState) -> None:
        """Suspect an engine for a while, so that it gets no new requests, and tell the peers."""
        engine_id, now = upstream.upstream_id, self._state.now()
        self._on_suspected(engine_id)
        if now - self._published_at.get(engine_id, float("-inf")) < REPUBLISH_INTERVAL_S:
            return
        self._published_at[engine_id] = now
        finding = (
            "reports that it is leaving"
            if reported is ReportedState.LEAVING
            else "refuses connections"
        )
        log_event(
            PREFIX_ROUTING,
            f"Upstream {engine_id} {finding}",
            address=upstream.address,
            revision=upstream.revision,
        )
        self._publish(engine_id)

    def _remove_expired(self) -> None:
        """Remove probe and publication times that have no effect any more."""
        oldest = self._state.now() - REPUBLISH_INTERVAL_S
        for times in (self._probed_at, self._published_at):
            for engine_id in [engine_id for engine_id, at in times.items() if at < oldest]:
                del times[engine_id]
