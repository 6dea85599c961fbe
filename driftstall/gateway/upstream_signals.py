"""Handle the signals that upstreams send about themselves in the headers of any response."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from typing import Final

from driftstall.const import PREFIX_ROUTING
from driftstall.decisions.brittle_upstreams import BrittleUpstreams
from driftstall.decisions.upstream_backoff import UpstreamBackoff
from driftstall.decisions.upstream_load import UpstreamLoads
from driftstall.decisions.upstream_signals import (
    BackoffSignal,
    BrittleSignal,
    LeavingSignal,
    LoadSignal,
    RateLimitSignal,
    Signal,
    UnknownSignal,
    UnreadableSignal,
)
from driftstall.gateway.model import Upstream
from driftstall.gateway.stats import GatewayStats
from driftstall.gateway.upstream_registry import UpstreamRegistry
from driftstall.helpers.log import log_event
from driftstall.helpers.rate_limiting import RateLimiter

MAX_UNKNOWN_NAMES: Final = 32
"""Maximum number of unknown signal names logged; an upstream may invent any number of names."""


class UpstreamSignals:
    """Dispatch signals to the components that act on them."""

    def __init__(
        self,
        stats: GatewayStats,
        rate_limiting: RateLimiter,
        fleet: UpstreamRegistry,
        backoff: UpstreamBackoff,
        loads: UpstreamLoads,
        brittle: BrittleUpstreams,
        now: Callable[[], float],
        *,
        known_running: Callable[[str], int],
    ) -> None:
        """Initialize with the counters, the components that use signals, and the monotonic clock.

        `known_running` returns the requests in progress at an upstream by the instances' sums.
        """
        self._stats = stats
        self._rate_limiting = rate_limiting
        self._fleet = fleet
        self._backoff = backoff
        self._loads = loads
        self._brittle = brittle
        self._now = now
        self._known_running = known_running
        self.on_leaving: Callable[[str], None] = _ignore
        """Called with the id of an upstream that signals that it leaves."""
        self._unknown: set[str] = set()

    def handle_response(
        self, upstream: Upstream, signals: Iterable[Signal], sent_at: float
    ) -> None:
        """Handle the signals of one response; sent_at is when its request was sent."""
        for signal in signals:
            self._handle(signal, upstream, sent_at)

    def handle_own_call(
        self, upstream: Upstream, signals: Iterable[Signal], sent_at: float
    ) -> None:
        """Handle the signals of a response to this instance's own call, such as a probe.

        Such responses need not repeat a rate limit, so a missing limit does not lift it.
        """
        lifted = RateLimitSignal(None)
        self.handle_response(upstream, [signal for signal in signals if signal != lifted], sent_at)

    def log_send(self, upstream: Upstream, request_id: str) -> None:
        """Log a request that is sent although its upstream is leaving or in back-off."""
        upstream_id = upstream.upstream_id
        is_leaving = self._fleet.has_signalled_leaving(upstream_id)
        backoff_s = self._backoff.remaining_s(upstream_id, self._now())
        if not is_leaving and not backoff_s:
            return
        log_event(
            PREFIX_ROUTING,
            f"Request sent to {upstream_id} despite its signals",
            request=request_id,
            is_leaving=is_leaving,
            backoff_s=round(backoff_s, 3),
        )

    @singledispatchmethod
    def _handle(self, signal: Signal, upstream: Upstream, sent_at: float) -> None:
        """Handle one signal."""
        raise TypeError(f"no handler for {type(signal).__name__}")

    @_handle.register
    def _(self, signal: RateLimitSignal, upstream: Upstream, sent_at: float) -> None:
        self._rate_limiting.record_response(upstream.upstream_id, signal.per_s, sent_at)

    @_handle.register
    def _(self, signal: LeavingSignal, upstream: Upstream, sent_at: float) -> None:
        self._stats.leaving_signals += 1
        if self._fleet.has_signalled_leaving(upstream.upstream_id):
            return
        log_event(
            PREFIX_ROUTING,
            f"Upstream {upstream.upstream_id} signals that it leaves",
            address=upstream.address,
            state=upstream.state.value,
            revision=upstream.revision,
        )
        self.on_leaving(upstream.upstream_id)

    @_handle.register
    def _(self, signal: BackoffSignal, upstream: Upstream, sent_at: float) -> None:
        self._stats.backoff_signals += 1
        left_s = self._backoff.request(upstream.upstream_id, signal.for_s, self._now())
        log_event(
            PREFIX_ROUTING,
            f"Upstream {upstream.upstream_id} requests a back-off",
            for_s=signal.for_s,
            left_s=round(left_s, 3),
            revision=upstream.revision,
        )

    @_handle.register
    def _(self, signal: BrittleSignal, upstream: Upstream, sent_at: float) -> None:
        upstream_id = upstream.upstream_id
        if self._brittle.record_signal(upstream_id, self._now()):
            log_event(
                PREFIX_ROUTING,
                f"Upstream {upstream_id} signals that it is brittle",
                rejections_per_s=signal.rejections_per_s,
            )

    @_handle.register
    def _(self, signal: LoadSignal, upstream: Upstream, sent_at: float) -> None:
        upstream_id = upstream.upstream_id
        known_running = self._known_running(upstream_id)
        if not self._loads.record_response(upstream_id, signal, known_running, self._now()):
            return
        log_event(
            PREFIX_ROUTING,
            f"The pace of upstream {upstream_id} has changed",
            pace=round(signal.pace, 2),
            running=signal.running,
            waiting=signal.waiting,
            slots=signal.slots,
            known_running=known_running,
        )

    @_handle.register
    def _(self, signal: UnreadableSignal, upstream: Upstream, sent_at: float) -> None:
        self._stats.unreadable_signals += 1
        log_event(
            PREFIX_ROUTING,
            f"Upstream {upstream.upstream_id} sends a malformed signal",
            header=signal.name,
            value=signal.value,
        )

    @_handle.register
    def _(self, signal: UnknownSignal, upstream: Upstream, sent_at: float) -> None:
        self._stats.unknown_signals += 1
        if signal.name in self._unknown or len(self._unknown) >= MAX_UNKNOWN_NAMES:
            return
        self._unknown.add(signal.name)
        log_event(
            PREFIX_ROUTING,
            f"Upstream {upstream.upstream_id} sends an unknown signal",
            header=signal.name,
        )


def _ignore(_: str) -> None:
    """Ignore a leaving upstream; the default observer."""
