"""Transport of envelopes between instances over TCP.

Each instance connects to its peers and only sends on these connections; replies arrive
on the peers' own connections. Queues are bounded: messages that do not fit are dropped,
as on a lossy network, and every protocol on top tolerates loss.
"""

from __future__ import annotations

import io
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final

import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.queue import Empty, Full, Queue
from gevent.server import StreamServer

from driftstall.const import PREFIX_MEMBERSHIP
from driftstall.exceptions import InboundOverloadError, MessageError
from driftstall.helpers.inbound import (
    MAX_ACCEPTED_AT_ONCE,
    Inbound,
    InboundLimits,
    connections_within_descriptors,
    open_stream,
)
from driftstall.helpers.log import log_event
from driftstall.peers.codec import HEADER, MAX_FRAME_BYTES, MessageTypes, decode, encode
from driftstall.peers.envelope import Envelope
from driftstall.peers.replay_window import ReplayWindow
from driftstall.peers.tunnel_messages import TunnelAnswered, TunnelOutcome, TunnelRequested
from driftstall.util import clock
from driftstall.util.addresses import split_address
from driftstall.util.http import configure_socket, configure_tunnel_socket

MAX_QUEUED_MESSAGES: Final = 4_096
CONNECT_TIMEOUT_S: Final = 1.0
SEND_TIMEOUT_S: Final = 2.0
IDLE_CLOSE_S: Final = 60.0
RECONNECT_DELAY_S: Final = 0.2
MAX_CONNECTION_AGE_S: Final = 3.0
"""Maximum age of a connection. Nothing is ever received on it, so a connection that no longer
delivers cannot be detected, and everything sent on it is lost: loads, members, notices. A new
connection costs one round trip, every three seconds for each peer."""
MAX_CONNECTIONS: Final = 2_000
DESCRIPTOR_SHARE: Final = 1 / 8
"""Share of the descriptors that peers' connections may use."""
FIRST_FRAME_TIMEOUT_S: Final = 5.0
"""A peer sends as soon as it has connected."""
FRAME_TIMEOUT_S: Final = 5.0
"""How long a frame may take to arrive. The sender gives up after SEND_TIMEOUT_S."""
PEER_IDLE_S: Final = IDLE_CLOSE_S + SEND_TIMEOUT_S
"""A live peer sends within this time, on this connection or on a new one."""
FRAME_PIECE_BYTES: Final = 16_384
MAX_HELD_BYTES: Final = 32_000_000
"""Bytes of partly received frames of all connections."""
HELD_SHARE: Final = 0.1
"""Share of the machine's memory for these bytes, where it is known."""
BYTES_PER_MB: Final = 1 << 20

ANY_RECIPIENT: Final = ""
"""Addresses a message to any instance that listens at an address, as for the first peers."""

Receiver = Callable[[str, Any], None]
TunnelHandler = Callable[[socket.socket, TunnelRequested], None]
"""Takes over a connection on which a peer requests a tunnel, until the tunnel ends."""


@dataclass(frozen=True, slots=True)
class _Link:
    """An open connection to a peer."""

    connection: socket.socket
    opened_at: float

    @property
    def needs_reconnect(self) -> bool:
        """Return True if the next frames need a new connection."""
        return clock.now() - self.opened_at > MAX_CONNECTION_AGE_S or _is_closed(self.connection)


class PeerLinks:
    """Send messages to peers and receive theirs."""

    def __init__(
        self,
        own_id: str,
        listen: str,
        key: bytes,
        message_types: MessageTypes,
        receiver: Receiver,
        limits: InboundLimits | None = None,
    ) -> None:
        """Initialize the links.

        listen: address to listen on. key: shared key of the MAC. receiver: called with the
        sender's id and the message. limits: of what peers' connections hold.
        """
        self._own_id = own_id
        self._message_types = message_types
        self._key = key
        self._receiver = receiver
        self._queues: dict[str, Queue] = {}
        self._sequence = time.time_ns()
        self._last_seen: dict[str, int] = {}
        self._tunnel_requests: dict[str, ReplayWindow] = {}
        self.serve_tunnel: TunnelHandler = _close
        self.sent_bytes = 0
        self.received_bytes = 0
        self.dropped = 0
        self.rejected = 0
        self._limits = limits or build_limits()
        self._server = StreamServer(split_address(listen), self._serve, spawn=Pool())
        self._server.max_accept = MAX_ACCEPTED_AT_ONCE

    def bind(self) -> None:
        """Bind the address; raises OSError. Connections wait until the start."""
        self._server.init_socket()

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop(timeout=0)

    def send(self, recipient: str, address: str, message: Any) -> None:
        """Queue a message; a message to this instance is delivered at once."""
        if recipient == self._own_id:
            self._receiver(self._own_id, message)
            return
        self._queue(address, self._frame(recipient, message))

    def broadcast(self, addresses: Iterable[str], message: Any) -> None:
        """Queue one message for many peers; it is encoded only once."""
        frame = self._frame(ANY_RECIPIENT, message)
        for address in addresses:
            self._queue(address, frame)

    def _frame(self, recipient: str, message: Any) -> bytes:
        """Encode a message with the next sequence number."""
        self._sequence += 1
        return encode(Envelope(self._own_id, recipient, self._sequence, message), self._key)

    def _queue(self, address: str, frame: bytes) -> None:
        """Queue a frame for an address, or drop it if the queue is full."""
        queue = self._queues.get(address)
        if queue is None:
            queue = self._queues[address] = Queue(MAX_QUEUED_MESSAGES)
            gevent.spawn(self._run_link, address, queue)
        try:
            queue.put_nowait(frame)
        except Full:
            self.dropped += 1

    def _run_link(self, address: str, queue: Queue) -> None:
        """Send the queued frames of one peer until it has been idle for IDLE_CLOSE_S."""
        link: _Link | None = None
        while True:
            try:
                frame = queue.get(timeout=IDLE_CLOSE_S)
            except Empty:
                del self._queues[address]
                break
            link = self._send_frames(address, link, frame, queue)
        if link is not None:
            link.connection.close()

    def _send_frames(
        self, address: str, link: _Link | None, frame: bytes, queue: Queue
    ) -> _Link | None:
        """Send a frame and those queued behind it; return the link, or None after an error."""
        frames = [frame]
        while len(frames) < 64 and not queue.empty():
            frames.append(queue.get_nowait())
        data = b"".join(frames)
        try:
            if link is not None and link.needs_reconnect:
                link.connection.close()
                link = None
            if link is None:
                link = _dial(address)
            link.connection.sendall(data)
            self.sent_bytes += len(data)
            return link
        except OSError:
            self.dropped += len(frames)
            if link is not None:
                link.connection.close()
            gevent.sleep(RECONNECT_DELAY_S)
            return None

    def _serve(self, connection: socket.socket, _: tuple[str, int]) -> None:
        """Receive frames from one peer."""
        inbound = Inbound(connection, self._limits)
        try:
            if self._limits.admit(inbound):
                self._serve_frames(connection, inbound)
        except (MessageError, InboundOverloadError) as fault:
            self.rejected += 1
            log_event(PREFIX_MEMBERSHIP, f"Peer message rejected: {fault}")
        except OSError:
            return
        except Exception as fault:
            self.rejected += 1
            cause = f"{type(fault).__name__}: {fault}"
            log_event(PREFIX_MEMBERSHIP, f"Peer message failed with {cause}")
        finally:
            self._limits.remove(inbound)
            connection.close()

    def _serve_frames(self, connection: socket.socket, inbound: Inbound) -> None:
        """Receive frames until the connection ends or is a tunnel's."""
        stream = open_stream(inbound)
        while True:
            idle_s = PEER_IDLE_S if inbound.is_trusted else FIRST_FRAME_TIMEOUT_S
            inbound.expect(idle_s, FRAME_TIMEOUT_S)
            frame = _read_frame(stream, inbound)
            if frame is None:
                return
            self.received_bytes += HEADER.size + len(frame)
            request = self._receive(frame)
            inbound.is_trusted = True
            inbound.release()
            if request is not None:
                # A tunnel lasts as long as its requests, and its server bounds the number.
                self._limits.remove(inbound)
                connection.settimeout(None)
                self.serve_tunnel(connection, request)
                return

    def _receive(self, frame: bytes) -> TunnelRequested | None:
        """Verify a frame and deliver its message; reject wrong recipients and replays.

        A request for a tunnel is returned: it uses the connection on which it arrived.
        """
        envelope = decode(frame, self._key, self._message_types)
        if envelope.recipient not in (self._own_id, ANY_RECIPIENT):
            # This address was reassigned: the message is meant for its previous instance.
            self.rejected += 1
            return None
        if isinstance(envelope.message, TunnelRequested):
            # Each request has a connection of its own, so they arrive in any order.
            window = self._tunnel_requests.setdefault(envelope.sender, ReplayWindow())
            if window.accept(envelope.sequence):
                return envelope.message
            raise MessageError("a request for a tunnel is repeated")
        if envelope.sequence <= self._last_seen.get(envelope.sender, 0):
            self.rejected += 1
            return None
        self._last_seen[envelope.sender] = envelope.sequence
        self._receiver(envelope.sender, envelope.message)
        return None

    def open_tunnel(
        self, recipient: str, address: str, request: TunnelRequested, timeout_s: float
    ) -> tuple[socket.socket, TunnelOutcome]:
        """Request a tunnel on a new connection; return the connection and the peer's outcome.

        Raises OSError or MessageError if the peer gives no valid answer in time.
        """
        until = clock.now() + timeout_s
        connection = socket.create_connection(split_address(address), timeout_s)
        try:
            configure_tunnel_socket(connection)
            connection.sendall(self._frame(recipient, request))
            connection.settimeout(max(0.001, until - clock.now()))
            (length,) = HEADER.unpack(_receive_exactly(connection, HEADER.size))
            if length > MAX_FRAME_BYTES:
                raise MessageError("the message is too long")
            frame = _receive_exactly(connection, length)
            envelope = decode(frame, self._key, self._message_types)
            answer = envelope.message
            if (
                not isinstance(answer, TunnelAnswered)
                or (envelope.sender, envelope.recipient) != (recipient, self._own_id)
                or answer.upstream_id != request.upstream_id
            ):
                raise MessageError("another answer than to the request for a tunnel")
            return connection, answer.outcome
        except BaseException:
            connection.close()
            raise

    def answer_tunnel(
        self, connection: socket.socket, request: TunnelRequested, outcome: TunnelOutcome
    ) -> None:
        """Answer a request for a tunnel; raises OSError."""
        configure_tunnel_socket(connection)
        answer = TunnelAnswered(self._own_id, request.upstream_id, outcome)
        connection.sendall(self._frame(request.sender, answer))


def build_limits(memory_mb: float = 0.0, max_fds: int = 0) -> InboundLimits:
    """Return the limits of the peers' port; zeros stand for a machine that is not known."""
    most = connections_within_descriptors(DESCRIPTOR_SHARE, max_fds)
    held = MAX_HELD_BYTES
    if memory_mb:
        held = min(held, int(memory_mb * BYTES_PER_MB * HELD_SHARE))
    return InboundLimits(min(MAX_CONNECTIONS, most), held)


def _close(connection: socket.socket, _: TunnelRequested) -> None:
    """Close a connection on which a tunnel is requested: this process serves none."""
    connection.close()


def _read_frame(stream: io.BufferedReader, inbound: Inbound) -> bytes | None:
    """Read one frame without its length; return None if the connection ends before."""
    header = stream.read(HEADER.size)
    if len(header) < HEADER.size:
        return None
    (length,) = HEADER.unpack(header)
    if length > MAX_FRAME_BYTES:
        raise MessageError("the message is too long")
    frame = bytearray()
    while len(frame) < length:
        piece = stream.read(min(FRAME_PIECE_BYTES, length - len(frame)))
        if not piece:
            return None
        inbound.hold(len(piece))
        frame += piece
    return bytes(frame)


def _receive_exactly(connection: socket.socket, size: int) -> bytes:
    """Receive a number of bytes; raises OSError if the connection ends before."""
    data = b""
    while len(data) < size:
        piece = connection.recv(size - len(data))
        if not piece:
            raise ConnectionResetError("the connection ended early")
        data += piece
    return data


def _dial(address: str) -> _Link:
    """Open a connection to a peer; raises OSError."""
    connection = socket.create_connection(split_address(address), CONNECT_TIMEOUT_S)
    configure_socket(connection)
    connection.settimeout(SEND_TIMEOUT_S)
    return _Link(connection, clock.now())


def _is_closed(connection: socket.socket) -> bool:
    """Return True if the peer has closed the connection, on which it never sends."""
    try:
        connection.setblocking(False)
        return connection.recv(1) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        connection.settimeout(SEND_TIMEOUT_S)
