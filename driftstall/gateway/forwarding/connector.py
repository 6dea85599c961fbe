"""Open exchanges with upstreams, and record which upstreams this instance reaches."""

from __future__ import annotations

from collections.abc import Callable

from driftstall.const import PREFIX_ROUTING
from driftstall.decisions.reachability import ReachabilityTracker
from driftstall.exceptions import UpstreamError
from driftstall.gateway.exchange import UpstreamExchange
from driftstall.gateway.model import Upstream
from driftstall.gateway.stats import GatewayStats
from driftstall.helpers.log import log_event


class UpstreamConnector:
    """Open connections to upstreams."""

    def __init__(self, stats: GatewayStats, now: Callable[[], float]) -> None:
        """Initialize with the counters and the monotonic clock."""
        self.reachability = ReachabilityTracker()
        self._stats = stats
        self._now = now

    def open(self, upstream: Upstream, timeout_s: float) -> UpstreamExchange:
        """Open an exchange with an upstream; raise UpstreamError if it can't be opened."""
        try:
            exchange = UpstreamExchange.connect(upstream.address, timeout_s)
        except UpstreamError as error:
            self._record_failure(upstream, error)
            raise
        self._record_success(upstream)
        return exchange

    def _record_success(self, upstream: Upstream) -> None:
        """Record an opened connection."""
        upstream_id = upstream.upstream_id
        if self.reachability.record_success(upstream_id, upstream.service, self._now()):
            log_event(PREFIX_ROUTING, f"Upstream {upstream_id} is reachable again from here")

    def _record_failure(self, upstream: Upstream, error: UpstreamError) -> None:
        """Record a connection that could not be opened."""
        self._stats.connections_failed += 1
        upstream_id = upstream.upstream_id
        if self.reachability.record_failure(upstream_id, upstream.service, self._now()):
            log_event(
                PREFIX_ROUTING,
                f"Upstream {upstream_id} is unreachable from here",
                service=upstream.service,
                cause=str(error),
                unreachable=len(self.reachability.unreachable),
            )
