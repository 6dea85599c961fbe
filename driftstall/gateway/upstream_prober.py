"""Ask engines for their own word while the platform says nothing, and tell the others.

An engine is also asked, whatever the platform says, when a stream there breaks off unexpectedly:
one that crashed gives no notice, and its entry goes only after some seconds of silence. The same
when it refuses a copy: it may be full, or about to leave.
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
    asks,
)
from driftstall.gateway.model import Upstream
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event
from driftstall.helpers.tasks import keep_running

LOOK_EVERY_S: Final = 0.1
"""How often it is looked whether there is cause to ask."""


class UpstreamProber:
    """Ask engines whether they stay."""

    def __init__(
        self,
        state: GatewayState,
        own: Instance,
        *,
        askers: Callable[[], tuple[Instance, ...]],
        is_platform_silent: Callable[[], bool],
        doubt: Callable[[str], None],
        tell: Callable[[str], None],
    ) -> None:
        """Take the shared state, readers of the standing, and what a bad word leads to.

        Askers are the instances that share the questions. Doubt takes an upstream's id here,
        tell passes it on to all peers.
        """
        self._state = state
        self._own = own
        self._askers = askers
        self._is_platform_silent = is_platform_silent
        self._doubt = doubt
        self._tell = tell
        self._asked_at: dict[str, float] = {}
        self._told_at: dict[str, float] = {}

    def start(self) -> None:
        """Start to ask when there is cause."""
        keep_running(PREFIX_ROUTING, self._run)

    def suspect(self, upstream: Upstream) -> None:
        """Ask an engine at which something has just gone wrong."""
        gevent.spawn(self._ask, upstream)

    def probe_all(self) -> None:
        """Ask the engines that fall to this instance."""
        askers = self._askers()
        for upstream in self._state.fleet.upstreams:
            if asks(self._own, askers, upstream.upstream_id, upstream.zone):
                gevent.spawn(self._ask, upstream)

    def _run(self) -> None:
        """Ask again and again while the platform is silent, or behind what engines say."""
        while True:
            gevent.sleep(LOOK_EVERY_S)
            if self._is_platform_silent() or self._state.fleet.has_suspects:
                self.probe_all()
                gevent.sleep(PROBE_INTERVAL_S - LOOK_EVERY_S)
            self._forget_old()

    def _ask(self, upstream: Upstream) -> None:
        """Ask one engine, unless it was asked just now; take in a bad word."""
        engine_id, now = upstream.upstream_id, self._state.now()
        service = self._state.table.service(upstream.service) if self._state.table else None
        if service is None or service.engine is None:
            return
        if now - self._asked_at.get(engine_id, float("-inf")) < PROBE_INTERVAL_S / 2:
            return
        if self._state.backoff_s(upstream):
            return
        self._asked_at[engine_id] = now
        self._state.rate_limiting.charge(upstream.upstream_id)
        word = self._state.dialect.probe_state(upstream)
        if word.is_unavailable:
            self.handle_bad_state(upstream, word)

    def handle_bad_state(self, upstream: Upstream, word: ReportedState) -> None:
        """Send an engine nothing new for a while, and have the others do the same."""
        engine_id, now = upstream.upstream_id, self._state.now()
        self._doubt(engine_id)
        if now - self._told_at.get(engine_id, float("-inf")) < REPUBLISH_INTERVAL_S:
            return
        self._told_at[engine_id] = now
        finding = (
            "says itself that it leaves" if word is ReportedState.LEAVING else "refuses connections"
        )
        log_event(
            PREFIX_ROUTING,
            f"Upstream {engine_id} {finding}",
            address=upstream.address,
            revision=upstream.revision,
        )
        self._tell(engine_id)

    def _forget_old(self) -> None:
        """Forget questions that have no effect any more."""
        oldest = self._state.now() - REPUBLISH_INTERVAL_S
        for times in (self._asked_at, self._told_at):
            for engine_id in [one for one, at in times.items() if at < oldest]:
                del times[engine_id]
