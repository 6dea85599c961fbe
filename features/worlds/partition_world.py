"""Run a gateway that can be partitioned from its upstreams, beside peers that reach them."""

from __future__ import annotations

from dataclasses import dataclass, replace

import gevent
from gevent import socket

from driftstall.core import Instance
from driftstall.exceptions import UpstreamError
from driftstall.gateway.fleet_events import UpstreamsListed
from driftstall.gateway.forwarding.tunnel_dialer import TunnelDialer
from driftstall.gateway.forwarding.tunnel_server import TunnelServer
from driftstall.gateway.model import GatewaySettings, Upstream
from driftstall.gateway.routes import RouteTable
from driftstall.gateway.state import GatewayState
from driftstall.peers.codec import message_types_of
from driftstall.peers.gateway_messages import GatewayMessage
from driftstall.peers.link import PeerLinks
from driftstall.peers.tunnel_messages import TunnelRequested
from driftstall.platform.dialect import PlatformDialect
from driftstall.platform.documents import read_routing
from driftstall.policy.default import default_policy
from driftstall.util import http
from features.worlds.gateway_world import GatewayWorld, document
from measures.bench import free_port
from soak.plan import PartitionFault


@dataclass(slots=True)
class CuttableDialer:
    """Opens connections, unless its instance is partitioned from all upstreams."""

    fault: PartitionFault | None = None
    opened: int = 0
    connections: list[socket.socket] | None = None

    def dial(self, address: str, timeout_s: float) -> socket.socket:
        """Open a connection; a partition hangs until the timeout, or refuses at once."""
        if self.fault is PartitionFault.HANG:
            gevent.sleep(timeout_s)
            raise UpstreamError(f"no connection to {address}: TimeoutError", sent=False)
        if self.fault is not None:
            detail = f"no connection to {address}: ConnectionRefusedError"
            raise UpstreamError(detail, sent=False, refused=True)
        self.opened += 1
        return http.connect(address, timeout_s)


def links_of(settings: GatewaySettings) -> PeerLinks:
    """Return the links of an instance."""
    return PeerLinks(
        settings.instance_id,
        settings.peer_listen,
        settings.peer_key.encode(),
        message_types_of(GatewayMessage),
        lambda *_: None,
    )


class Peer:
    """An instance that serves tunnels."""

    def __init__(self, settings: GatewaySettings, upstreams: tuple[Upstream, ...]) -> None:
        """Start to listen for peers, with the same upstreams and routes."""
        self.settings = settings
        self.state = GatewayState(settings, PlatformDialect(), default_policy())
        self.state.route_table = RouteTable.from_document(read_routing(document()))
        self.state.fleet.handle(UpstreamsListed(upstreams), self.state.now())
        self.dialer = CuttableDialer()
        self.state.connector.dial = self.dialer.dial
        self.links = links_of(settings)
        self.tunnels: list[socket.socket] = []
        self.server = TunnelServer(
            self.state.connector,
            self.state.stats,
            find=lambda upstream_id: next(
                (each for each in upstreams if each.upstream_id == upstream_id), None
            ),
            accepts=lambda: self.state.is_ready,
            answer=self.links.answer_tunnel,
        )
        self.links.serve_tunnel = self._serve
        self.links.start()

    @property
    def instance(self) -> Instance:
        """Return the instance as others know it."""
        return Instance(
            self.settings.instance_id,
            self.settings.caller_listen,
            self.settings.peer_listen,
            self.settings.zone,
        )

    def _serve(self, connection: socket.socket, request: TunnelRequested) -> None:
        self.tunnels.append(connection)
        self.server.serve(connection, request)

    def die(self) -> None:
        """Stop listening, and close all tunnels as the end of a process does."""
        self.links.stop()
        for tunnel in self.tunnels:
            if tunnel.fileno() >= 0:
                # Other greenlets hold the connection as well, so that a close would wait for them.
                tunnel.shutdown(socket.SHUT_RDWR)


class PartitionWorld(GatewayWorld):
    """A gateway that can be partitioned, with two peers."""

    def __init__(self) -> None:
        """Start the gateway and its peers."""
        super().__init__()
        self.dialer = CuttableDialer()
        self.state.connector.dial = self.dialer.dial
        self.links = links_of(self.state.settings)
        self.peers = [self._start_peer(number) for number in (2, 3)]
        self.without: set[str] = set()
        """Peers that are reported to lack the upstreams."""
        settings = self.state.settings
        own = Instance(
            settings.instance_id, settings.caller_listen, settings.peer_listen, settings.zone
        )
        self.tunnels = TunnelDialer(
            own,
            self.state.stats,
            self.state.now,
            self.state.rng,
            peers=lambda _: [
                peer.instance
                for peer in self.peers
                if peer.settings.instance_id not in self.without
            ],
            running=lambda _: 0,
            request=self.links.open_tunnel,
        )
        self.state.connector.open_tunnel = self.tunnels.open
        self.state.connector.detector.start()

    def replace_peers(self) -> None:
        """Replace the peers by ones that know the present upstreams."""
        for peer in self.peers:
            peer.links.stop()
        self.peers[:] = [self._start_peer(number) for number in (4, 5)]

    def _start_peer(self, number: int) -> Peer:
        """Start a peer of the same zone."""
        settings = replace(
            self.state.settings,
            instance_id=f"instance-{number}",
            peer_listen=f"127.0.0.1:{free_port()}",
        )
        return Peer(settings, self.state.fleet.upstreams)

    @property
    def served(self) -> int:
        """Return the number of tunnels that the peers have opened."""
        return sum(peer.state.stats.tunnels_served for peer in self.peers)

    def close(self) -> None:
        """Stop the gateway, its peers and all upstreams."""
        super().close()
        for peer in self.peers:
            peer.links.stop()
