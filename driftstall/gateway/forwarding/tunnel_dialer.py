"""Open tunnels to upstreams through peers that reach them."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Final

from gevent import socket

from driftstall.const import PREFIX_RELAY
from driftstall.core import Instance
from driftstall.decisions.peer_selection import PeerOption, choose_peer
from driftstall.exceptions import MessageError, NoPeerError, UpstreamError
from driftstall.gateway.forwarding.connector import CONNECT_TIMEOUT_S
from driftstall.gateway.forwarding.tunnel import TunnelConnection
from driftstall.gateway.model import Upstream
from driftstall.gateway.stats import GatewayStats
from driftstall.helpers.log import log_event
from driftstall.peers.tunnel_messages import TunnelOutcome, TunnelRequested

MAX_PEERS: Final = 3
"""Peers that are tried for one connection while they are dead or decline."""
PEER_TIMEOUT_S: Final = CONNECT_TIMEOUT_S + 0.15
"""Time within which a peer must have answered; it connects to the upstream meanwhile."""
AVOID_PEER_S: Final = 0.5
"""How long a peer is avoided after it has opened no tunnel."""

RequestTunnel = Callable[[str, str, TunnelRequested, float], tuple[socket.socket, TunnelOutcome]]
"""Requests a tunnel from an instance at its peer address, with a timeout in seconds."""


class TunnelDialer:
    """Choose peers, and open tunnels through them."""

    def __init__(
        self,
        own: Instance,
        stats: GatewayStats,
        now: Callable[[], float],
        source: random.Random,
        *,
        peers: Callable[[str], Iterable[Instance]],
        running: Callable[[str], int],
        request: RequestTunnel,
    ) -> None:
        """Initialize with this instance, the counters, the clock, a random source and callbacks.

        The callable peers returns the instances that may reach a service, running the requests
        that an instance has in progress.
        """
        self._own = own
        self._stats = stats
        self._now = now
        self._source = source
        self._peers = peers
        self._running = running
        self._request = request
        self._tunnels: Counter[str] = Counter()
        self._avoid_until: dict[str, float] = {}

    @property
    def open_tunnels(self) -> int:
        """Return the number of open tunnels."""
        return self._tunnels.total()

    def open(self, upstream: Upstream, request_id: str) -> TunnelConnection:
        """Open a tunnel to an upstream; raise UpstreamError if no peer opens one."""
        for _ in range(MAX_PEERS):
            option = self._choose(upstream.service)
            if option is None:
                break
            opened = self._open_through(option.instance, upstream, request_id)
            self._log(option, upstream, request_id, opened)
            if isinstance(opened, TunnelConnection):
                self._stats.tunnels_opened += 1
                return opened
            self._stats.tunnels_failed += 1
            if opened is TunnelOutcome.REFUSED:
                detail = f"{option.instance.instance_id} is refused by the upstream"
                raise UpstreamError(detail, sent=False, refused=True)
            if opened is TunnelOutcome.UNAVAILABLE:
                detail = f"the upstream is not available to {option.instance.instance_id}"
                raise UpstreamError(detail, sent=False)
            self._avoid_until[option.instance.instance_id] = self._now() + AVOID_PEER_S
            if opened is TunnelOutcome.UNREACHABLE:
                detail = f"{option.instance.instance_id} can't reach the upstream either"
                raise UpstreamError(detail, sent=False)
        raise NoPeerError("no instance reaches the upstreams")

    def _choose(self, service: str) -> PeerOption | None:
        """Choose a peer that may reach a service."""
        now = self._now()
        options = [
            PeerOption(peer, self._tunnels[peer.instance_id], self._running(peer.instance_id))
            for peer in self._peers(service)
            if self._avoid_until.get(peer.instance_id, now) <= now
        ]
        return choose_peer(options, self._own.zone, self._source)

    def _open_through(
        self, peer: Instance, upstream: Upstream, request_id: str
    ) -> TunnelConnection | TunnelOutcome:
        """Request a tunnel from a peer; a peer that does not answer has declined."""
        peer_id = peer.instance_id
        request = TunnelRequested(
            self._own.instance_id, upstream.upstream_id, int(CONNECT_TIMEOUT_S * 1000), request_id
        )
        self._tunnels[peer_id] += 1
        try:
            connection, outcome = self._request(peer_id, peer.peer_address, request, PEER_TIMEOUT_S)
        except (OSError, MessageError):
            self._release(peer_id)
            return TunnelOutcome.DECLINED
        if outcome is not TunnelOutcome.OPENED:
            connection.close()
            self._release(peer_id)
            return outcome
        return TunnelConnection(connection, lambda: self._release(peer_id))

    def _release(self, peer_id: str) -> None:
        """Count a tunnel as closed."""
        self._tunnels[peer_id] -= 1

    def _log(
        self,
        option: PeerOption,
        upstream: Upstream,
        request_id: str,
        opened: TunnelConnection | TunnelOutcome,
    ) -> None:
        """Log the choice of a peer and its outcome."""
        is_open = isinstance(opened, TunnelConnection)
        log_event(
            PREFIX_RELAY,
            f"Tunnel to {upstream.upstream_id} through {option.instance.instance_id}",
            request=request_id,
            outcome=(TunnelOutcome.OPENED if is_open else opened),
            tunnels=option.tunnels,
            running=option.running,
        )
