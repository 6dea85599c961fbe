"""Carry envelopes between instances over TCP.

Each instance dials its peers and only sends on these connections; answers come
on the peer's own. A queue is bounded: what does not fit is dropped, as on a
lossy network, and every protocol above copes with loss.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final

import gevent
from gevent import socket
from gevent.queue import Empty, Full, Queue
from gevent.server import StreamServer

from driftstall.const import PREFIX_MEMBERSHIP
from driftstall.exceptions import MessageError
from driftstall.helpers.log import log_event
from driftstall.peers.codec import HEADER, MAX_FRAME_BYTES, Kinds, decode, encode
from driftstall.peers.envelope import Envelope
from driftstall.util import clock
from driftstall.util.addresses import split_address
from driftstall.util.http import tune

QUEUE_MESSAGES: Final = 4_096
CONNECT_TIMEOUT_S: Final = 1.0
SEND_TIMEOUT_S: Final = 2.0
IDLE_CLOSE_S: Final = 60.0
REDIAL_S: Final = 0.2
LINK_LIFE_S: Final = 3.0
"""A connection is used for no longer. Nothing ever comes back on it, so one that passes nothing
on any more looks like any other, and all that is sent there is lost: loads, members, notices. A
new one takes a round trip, every three seconds for each peer."""
MAX_CONNECTIONS: Final = 2_000

ANYONE: Final = ""
"""Stands for whoever listens at an address; used to find the first peers."""

Receiver = Callable[[str, Any], None]


@dataclass(frozen=True, slots=True)
class _Link:
    """Hold an open connection to a peer."""

    connection: socket.socket
    opened_at: float

    @property
    def is_worn(self) -> bool:
        """Tell whether the next frames are to go on a new connection."""
        return clock.now() - self.opened_at > LINK_LIFE_S or _closed(self.connection)


class PeerLinks:
    """Send to peers and receive from them."""

    def __init__(
        self, own_id: str, listen: str, key: bytes, kinds: Kinds, receiver: Receiver
    ) -> None:
        """Take the own id, the listening address, the shared key, the kinds and a receiver."""
        self._own_id = own_id
        self._kinds = kinds
        self._key = key
        self._receiver = receiver
        self._queues: dict[str, Queue] = {}
        self._sequence = time.time_ns()
        self._last_seen: dict[str, int] = {}
        self.sent_bytes = 0
        self.received_bytes = 0
        self.dropped = 0
        self.rejected = 0
        self._server = StreamServer(split_address(listen), self._serve, spawn=MAX_CONNECTIONS)

    def start(self) -> None:
        """Start to listen."""
        self._server.start()

    def stop(self) -> None:
        """Stop to listen."""
        self._server.stop(timeout=0)

    def send(self, recipient: str, address: str, message: Any) -> None:
        """Queue a message; a message to oneself is handed over at once."""
        if recipient == self._own_id:
            self._receiver(self._own_id, message)
            return
        self._queue(address, self._frame(recipient, message))

    def broadcast(self, addresses: Iterable[str], message: Any) -> None:
        """Queue one message for many peers; it is encoded once."""
        frame = self._frame(ANYONE, message)
        for address in addresses:
            self._queue(address, frame)

    def _frame(self, recipient: str, message: Any) -> bytes:
        """Encode a message as the next one of the own sequence."""
        self._sequence += 1
        return encode(Envelope(self._own_id, recipient, self._sequence, message), self._key)

    def _queue(self, address: str, frame: bytes) -> None:
        """Queue a frame for an address."""
        queue = self._queues.get(address)
        if queue is None:
            queue = self._queues[address] = Queue(QUEUE_MESSAGES)
            gevent.spawn(self._run_link, address, queue)
        try:
            queue.put_nowait(frame)
        except Full:
            self.dropped += 1

    def _run_link(self, address: str, queue: Queue) -> None:
        """Send what is queued for one peer until it has long been idle."""
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
        """Send one frame and those right behind it; return the link, if it still serves."""
        frames = [frame]
        while len(frames) < 64 and not queue.empty():
            frames.append(queue.get_nowait())
        data = b"".join(frames)
        try:
            if link is not None and link.is_worn:
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
            gevent.sleep(REDIAL_S)
            return None

    def _serve(self, connection: socket.socket, _: tuple[str, int]) -> None:
        """Receive frames from one peer."""
        # A peer that lives sends sooner, on this connection or on the next.
        connection.settimeout(IDLE_CLOSE_S + SEND_TIMEOUT_S)
        stream = connection.makefile("rb")
        try:
            while True:
                header = stream.read(HEADER.size)
                if len(header) < HEADER.size:
                    return
                (length,) = HEADER.unpack(header)
                if length > MAX_FRAME_BYTES:
                    raise MessageError("the message is too long")
                frame = stream.read(length)
                if len(frame) < length:
                    return
                self.received_bytes += HEADER.size + length
                self._receive(frame)
        except MessageError as fault:
            self.rejected += 1
            log_event(PREFIX_MEMBERSHIP, f"A peer message was rejected: {fault}")
        except OSError:
            return
        finally:
            connection.close()

    def _receive(self, frame: bytes) -> None:
        """Check one frame and hand its message over."""
        envelope = decode(frame, self._key, self._kinds)
        if envelope.recipient not in (self._own_id, ANYONE):
            # An address was taken over by another instance; its word is not for us.
            self.rejected += 1
            return
        if envelope.sequence <= self._last_seen.get(envelope.sender, 0):
            self.rejected += 1
            return
        self._last_seen[envelope.sender] = envelope.sequence
        self._receiver(envelope.sender, envelope.message)


def _dial(address: str) -> _Link:
    """Open a connection to a peer, or raise OSError."""
    connection = socket.create_connection(split_address(address), CONNECT_TIMEOUT_S)
    tune(connection)
    connection.settimeout(SEND_TIMEOUT_S)
    return _Link(connection, clock.now())


def _closed(connection: socket.socket) -> bool:
    """Tell whether the peer has closed; peers never send on this connection."""
    try:
        connection.setblocking(False)
        return connection.recv(1) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        connection.settimeout(SEND_TIMEOUT_S)
