"""Open connections to upstreams: directly, or through a peer while none is reachable from here."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

from gevent import socket

from driftstall.const import PREFIX_ROUTING
from driftstall.decisions.reachability import ReachabilityTracker, ServiceReach
from driftstall.exceptions import NoPeerError, UpstreamError
from driftstall.gateway.exchange import Connection
from driftstall.gateway.forwarding.partition_detector import PartitionDetector
from driftstall.gateway.model import Upstream
from driftstall.gateway.stats import GatewayStats
from driftstall.helpers.log import log_event
from driftstall.peers.tunnel_messages import TunnelOutcome
from driftstall.util import http

CONNECT_TIMEOUT_S: Final = 0.35
"""Connecting takes milliseconds; TCP resends a lost SYN packet only after a second."""

RECENTLY_REACHED_S: Final = 0.1
"""A service that was reached this shortly before a connection failed counts as reachable. Busy
instances thereby need no control connections when an upstream ends."""

OpenTunnel = Callable[[Upstream, str], Connection]
"""Opens a tunnel to an upstream for a request id; raises UpstreamError."""


class UpstreamConnector:
    """Open connections to upstreams, and record which of them are reachable from here."""

    def __init__(
        self,
        stats: GatewayStats,
        now: Callable[[], float],
        *,
        upstreams: Callable[[], tuple[Upstream, ...]],
        source: random.Random,
    ) -> None:
        """Initialize with the counters, the clock, the known upstreams and a random source."""
        self._stats = stats
        self._now = now
        self.reachability = ReachabilityTracker()
        self.detector = PartitionDetector(
            self.reachability,
            now,
            upstreams=upstreams,
            connect=self._try_directly,
            source=source,
        )
        self.dial: Callable[[str, float], socket.socket] = http.connect
        self.open_tunnel: OpenTunnel = _refuse_tunnel
        self.on_refused: Callable[[Upstream], None] = _ignore_refusal
        """Called with an upstream that refuses a direct connection."""

    def connect(
        self, upstream: Upstream, timeout_s: float = CONNECT_TIMEOUT_S, request_id: str = ""
    ) -> Connection:
        """Open a connection to an upstream; raise UpstreamError if that is not possible.

        The error has `refused` set only if that shows that the upstream has ended.
        """
        if self.reachability.is_unreachable(upstream.service):
            return self.open_tunnel(upstream, request_id)
        since = self._now()
        if not self.reachability.has_failures(upstream.service):
            since -= RECENTLY_REACHED_S
        return self._connect_or_tunnel(upstream, timeout_s, request_id, since)

    def connect_to_probe(self, upstream: Upstream) -> Connection:
        """Open a connection to find out whether an upstream has ended, directly if possible."""
        return self._connect_or_tunnel(upstream, CONNECT_TIMEOUT_S, "", self._now())

    def _connect_or_tunnel(
        self, upstream: Upstream, timeout_s: float, request_id: str, since: float
    ) -> Connection:
        """Open a direct connection, or a tunnel if the service is found to be unreachable.

        A connection to the service that was opened at or after `since` shows that it is reachable.
        """
        try:
            return self.connect_directly(upstream, timeout_s)
        except UpstreamError as error:
            reach = self.detector.check(upstream, since)
            if reach is ServiceReach.REACHABLE:
                raise
            try:
                return self.open_tunnel(upstream, request_id)
            except NoPeerError as no_peer:
                # Without a second opinion, an upstream has ended if others can be reached.
                is_ended = error.refused and reach is not ServiceReach.PARTITIONED
                raise UpstreamError(str(no_peer), sent=False, refused=is_ended) from no_peer

    def connect_for_peer(
        self, upstream: Upstream, timeout_s: float
    ) -> socket.socket | TunnelOutcome:
        """Connect directly for a tunnel; return the connection, or what the failure shows."""
        if self.reachability.is_unreachable(upstream.service):
            return TunnelOutcome.UNREACHABLE
        started_at = self._now()
        try:
            return self.connect_directly(upstream, timeout_s)
        except UpstreamError as error:
            reach = self.detector.check(upstream, started_at)
            if error.refused and reach is not ServiceReach.PARTITIONED:
                return TunnelOutcome.REFUSED
            if reach is ServiceReach.REACHABLE:
                return TunnelOutcome.UNAVAILABLE
            return TunnelOutcome.UNREACHABLE

    def connect_directly(self, upstream: Upstream, timeout_s: float) -> socket.socket:
        """Open a connection without a peer, and record whether that was possible."""
        try:
            connection = self.dial(upstream.address, timeout_s)
        except UpstreamError as error:
            self._record_failure(upstream, error)
            raise
        self._record_success(upstream)
        return connection

    def _try_directly(self, upstream: Upstream) -> bool:
        """Return True if a connection can be opened, which is closed at once."""
        try:
            self.connect_directly(upstream, CONNECT_TIMEOUT_S).close()
        except UpstreamError:
            return False
        return True

    def _record_success(self, upstream: Upstream) -> None:
        """Record an opened connection."""
        upstream_id = upstream.upstream_id
        was_partitioned = self.reachability.is_unreachable(upstream.service)
        if self.reachability.record_success(upstream_id, upstream.service, self._now()):
            log_event(PREFIX_ROUTING, f"Upstream {upstream_id} is reachable again from here")
        if was_partitioned:
            self.detector.handle_reachable(upstream.service)

    def _record_failure(self, upstream: Upstream, error: UpstreamError) -> None:
        """Record a connection that could not be opened."""
        self._stats.connections_failed += 1
        if error.refused:
            self.on_refused(upstream)
        upstream_id = upstream.upstream_id
        if self.reachability.record_failure(upstream_id, upstream.service):
            log_event(
                PREFIX_ROUTING,
                f"Upstream {upstream_id} is unreachable from here",
                service=upstream.service,
                cause=str(error),
                unreachable=len(self.reachability.unreachable),
            )


def _refuse_tunnel(upstream: Upstream, _: str) -> Connection:
    """Raise an error: no peers are connected."""
    raise NoPeerError(f"no connection to {upstream.address}, and there are no peers")


def _ignore_refusal(_: Upstream) -> None:
    """Ignore a refused connection; the default of the callback."""
