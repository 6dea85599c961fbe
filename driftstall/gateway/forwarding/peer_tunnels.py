"""Connect this instance's tunnels, those it opens and those it serves, with its peers."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from gevent import socket

from driftstall.core import Instance
from driftstall.gateway.forwarding.tunnel_dialer import TunnelDialer
from driftstall.gateway.forwarding.tunnel_server import TunnelServer
from driftstall.gateway.model import Upstream
from driftstall.gateway.state import GatewayState
from driftstall.peers.link import PeerLinks
from driftstall.peers.tunnel_messages import TunnelRequested


class PeerTunnels:
    """Open tunnels through peers that reach a service, and serve those of peers that don't."""

    def __init__(
        self,
        state: GatewayState,
        own: Instance,
        links: PeerLinks,
        *,
        ready: Callable[[], Iterable[Instance]],
        instances_without: Callable[[str], set[str]],
    ) -> None:
        """Initialize with the shared state, this instance, its links, and what peers report.

        The callable ready returns the ready instances, instances_without those that report that
        they can't reach a service.
        """
        self._state = state
        self._own = own
        self._ready = ready
        self._instances_without = instances_without
        self._dialer = TunnelDialer(
            own,
            state.stats,
            state.now,
            state.rng,
            peers=self._peers_reaching,
            running=state.loads.running_at,
            request=links.open_tunnel,
        )
        self._server = TunnelServer(
            state.connector,
            state.stats,
            find=self._find_upstream,
            accepts=lambda: state.is_ready,
            answer=links.answer_tunnel,
        )
        state.connector.open_tunnel = self._dialer.open
        links.serve_tunnel = self._serve

    @property
    def opened(self) -> int:
        """Return the number of open tunnels through peers."""
        return self._dialer.open_tunnels

    @property
    def served(self) -> int:
        """Return the number of open tunnels of peers."""
        return self._server.open_tunnels

    def _peers_reaching(self, service: str) -> list[Instance]:
        """Return the ready peers that do not report to be unable to reach a service."""
        excluded = self._instances_without(service) | {self._own.instance_id}
        return [peer for peer in self._ready() if peer.instance_id not in excluded]

    def _serve(self, connection: socket.socket, request: TunnelRequested) -> None:
        """Serve a tunnel of a peer; a planned stop waits for it as for requests."""
        self._state.open_requests += 1
        try:
            self._server.serve(connection, request)
        finally:
            self._state.open_requests -= 1

    def _find_upstream(self, upstream_id: str) -> Upstream | None:
        """Return an upstream that may still be sent requests, also one that is leaving."""
        for upstream in self._state.fleet.upstreams:
            if upstream.upstream_id == upstream_id and self._state.can_send(upstream):
                return upstream
        return None
