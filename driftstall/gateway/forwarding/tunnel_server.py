"""Serve tunnels of peers: connect to an upstream of this instance's own list, and pass bytes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import gevent
from gevent import socket
from gevent.event import Event

from driftstall.const import PREFIX_RELAY
from driftstall.gateway.forwarding.connector import UpstreamConnector
from driftstall.gateway.forwarding.tunnel import END_FRAME, MAX_FRAME_BYTES, encode_frame
from driftstall.gateway.model import Upstream
from driftstall.gateway.stats import GatewayStats
from driftstall.helpers.log import log_event
from driftstall.peers.tunnel_messages import TunnelOutcome, TunnelRequested

MAX_TUNNELS: Final = 512
"""Tunnels open at once; each holds two connections and up to 64 kB for each direction."""
STALL_TIMEOUT_S: Final = 12.0
"""A tunnel whose other end takes no bytes for this long is closed. An instance closes connections
of callers that read nothing for ten seconds."""
LINGER_S: Final = 2.0
"""How long bytes that are still on their way are read after the upstream's end."""

AnswerTunnel = Callable[[socket.socket, TunnelRequested, TunnelOutcome], None]


class TunnelServer:
    """Serve the tunnels that peers request."""

    def __init__(
        self,
        connector: UpstreamConnector,
        stats: GatewayStats,
        *,
        find: Callable[[str], Upstream | None],
        accepts: Callable[[], bool],
        answer: AnswerTunnel,
    ) -> None:
        """Initialize with the connector, the counters and the callbacks.

        The callable find returns an upstream that may be sent requests, by its id; accepts returns
        whether this instance takes new tunnels; answer sends the outcome to the peer.
        """
        self._connector = connector
        self._stats = stats
        self._find = find
        self._accepts = accepts
        self._answer = answer
        self.open_tunnels = 0

    def serve(self, tunnel: socket.socket, request: TunnelRequested) -> None:
        """Open the requested tunnel and pass bytes until it ends."""
        self.open_tunnels += 1
        try:
            opened = self._connect(request)
            if isinstance(opened, TunnelOutcome):
                self._stats.tunnels_declined += 1
                self._answer(tunnel, request, opened)
                return
            self._stats.tunnels_served += 1
            log_event(
                PREFIX_RELAY,
                f"Tunnel to {request.upstream_id} opened for {request.sender}",
                request=request.request_id,
                open=self.open_tunnels,
            )
            try:
                self._answer(tunnel, request, TunnelOutcome.OPENED)
                self._pass_bytes(tunnel, opened)
            finally:
                opened.close()
        except OSError:
            # The peer has closed the tunnel, or the upstream's connection broke: the tunnel ends
            # without its end mark.
            return
        finally:
            self.open_tunnels -= 1
            tunnel.close()

    def _connect(self, request: TunnelRequested) -> socket.socket | TunnelOutcome:
        """Connect to the requested upstream, directly and never through another peer."""
        upstream = self._find(request.upstream_id)
        if not self._accepts() or self.open_tunnels > MAX_TUNNELS:
            return TunnelOutcome.DECLINED
        if upstream is None:
            return TunnelOutcome.UNAVAILABLE
        opened = self._connector.connect_for_peer(upstream, request.timeout_ms / 1000)
        if isinstance(opened, TunnelOutcome):
            log_event(
                PREFIX_RELAY,
                f"Tunnel to {request.upstream_id} not opened for {request.sender}",
                request=request.request_id,
                outcome=opened.value,
            )
        return opened

    def _pass_bytes(self, tunnel: socket.socket, upstream: socket.socket) -> None:
        """Pass bytes both ways until either end closes; raise OSError if one breaks off."""
        tunnel.settimeout(STALL_TIMEOUT_S)
        upstream.settimeout(None)
        send_failed = Event()
        requests = gevent.spawn(self._pass_request, tunnel, upstream, send_failed)
        try:
            while data := upstream.recv(MAX_FRAME_BYTES):
                tunnel.sendall(encode_frame(data))
                self._stats.tunnel_bytes += len(data)
            if send_failed.is_set():
                # A socket reports a reset once. Here the sender got it, so this end proves nothing.
                raise ConnectionResetError("the upstream's connection failed")
            tunnel.sendall(END_FRAME)
            # Closing while bytes of the peer are unread would reset the tunnel before its end is
            # read.
            tunnel.shutdown(socket.SHUT_WR)
            requests.join(LINGER_S)
        finally:
            requests.kill()

    def _pass_request(
        self, tunnel: socket.socket, upstream: socket.socket, send_failed: Event
    ) -> None:
        """Pass the request to the upstream, and close that when the peer closes the tunnel."""
        is_upstream_open = True
        try:
            while data := _receive(tunnel):
                if is_upstream_open:
                    try:
                        upstream.sendall(data)
                    except OSError as error:
                        # Its response may still be complete, if it is framed.
                        is_upstream_open = False
                        send_failed.set()
                        self._stats.tunnel_send_errors += 1
                        detail = type(error).__name__
                        log_event(PREFIX_RELAY, f"Sending through a tunnel failed: {detail}")
        except OSError:
            pass
        upstream.close()


def _receive(tunnel: socket.socket) -> bytes:
    """Receive bytes from the peer; a request may be followed by nothing for long."""
    while True:
        try:
            return bytes(tunnel.recv(MAX_FRAME_BYTES))
        except TimeoutError:
            continue
