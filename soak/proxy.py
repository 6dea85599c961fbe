"""TCP proxy on loopback that injects network faults: delay, reset, one-way loss, silence."""

from __future__ import annotations

from contextlib import suppress
from typing import Final

import gevent
from gevent import socket
from gevent.server import StreamServer

from soak.plan import Fault, PartitionFault

DELAY_S: Final = 0.15
RESET: Final = b"\x01\x00\x00\x00\x00\x00\x00\x00"
"""SO_LINGER with a time of zero, so that a close resets the connection."""
PIECE_BYTES: Final = 65_536
CHECK_S: Final = 0.02
CONNECT_S: Final = 2.0
FILL_TIMEOUT_S: Final = 0.05
"""Time after which a connection counts as not established: the queue of the listener is full."""


class Proxy:
    """Proxy between a process and one address that it connects to."""

    def __init__(self, target: str, listen: tuple[str, int] = ("127.0.0.1", 0)) -> None:
        """Start to listen; target is the address to forward to."""
        self.target = target
        self._blocked: list[socket.socket] = []
        """While new connections hang: a listener that accepts none, and those that fill it."""
        self._is_stopped = False
        self._fault: Fault | None = None
        self._open: set[socket.socket] = set()
        self._clients: set[socket.socket] = set()
        """Those of the open connections that lead to the process."""
        self._silent: set[socket.socket] = set()
        """Connections that are kept open but no longer forward data."""
        self._server = StreamServer(listen, self._serve)
        self._server.start()
        self._listen: tuple[str, int] = (listen[0], self._server.server_port)

    @property
    def address(self) -> str:
        """Return the address that the proxy listens on."""
        return f"{self._listen[0]}:{self._listen[1]}"

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return all addresses at which the target is reached through this proxy."""
        return (self.address,)

    @property
    def port(self) -> int:
        """Return the port that the proxy listens on."""
        return self._listen[1]

    def partition(self, fault: PartitionFault) -> None:
        """Cut the links to the target until heal is called."""
        self._server.close()
        if fault is PartitionFault.RESET:
            self.reset_all()
        if fault is PartitionFault.HANG:
            self.silence_open()
            self._block()

    def heal(self) -> None:
        """End a partition; silent connections are reset."""
        self._unblock()
        for connection in list(self._silent):
            _reset(connection)
        if self._is_stopped or self._server.started:
            return
        self._server = StreamServer(self._listen, self._serve)
        self._server.start()

    def _block(self) -> None:
        """Listen without accepting, and fill the queue so that no connection is established."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self._listen)
        listener.listen(0)
        blocked = self._blocked = [listener]
        while self._blocked is blocked:
            filler = socket.socket()
            filler.settimeout(FILL_TIMEOUT_S)
            blocked.append(filler)
            try:
                filler.connect(self._listen)
            except OSError:
                # Not established any more, or closed by the end of the partition.
                return

    def _unblock(self) -> None:
        """Close what blocks new connections."""
        blocked, self._blocked = self._blocked, []
        for connection in blocked:
            connection.close()

    def inject(self, fault: Fault) -> None:
        """Start a fault; a reset also closes the open connections."""
        self._fault = fault
        if fault is Fault.RESET:
            self.reset_all()

    def end_fault(self) -> None:
        """End the fault; bytes that a cut held back are lost with their connections."""
        previous, self._fault = self._fault, None
        if previous not in (None, Fault.DELAY):
            self.reset_all()

    def silence_open(self) -> None:
        """Stop forwarding on all open connections for good, without a reset; new ones work.

        Both ends still have their bytes acknowledged, as behind a middlebox.
        """
        self._silent |= self._open

    def reset_all(self) -> None:
        """Reset all open connections."""
        for connection in list(self._open):
            _reset(connection)
        self._open.clear()
        self._silent.clear()

    def close_in_order(self) -> None:
        """Close all connections of the process in order, as when the target's process ends."""
        self._silent |= self._open
        for client in list(self._clients):
            with suppress(OSError):
                client.shutdown(socket.SHUT_WR)

    def end_target(self) -> None:
        """Stop listening and close all connections in order, as the target's process has ended."""
        self._is_stopped = True
        self._server.close()
        self.close_in_order()

    def replace_target(self, target: str) -> None:
        """Forward new connections to another process, and close those to the old one in order."""
        self.target = target
        self.close_in_order()

    def stop(self) -> None:
        """Stop listening and reset all open connections."""
        self._is_stopped = True
        self._server.stop(timeout=0)
        self._unblock()
        self.reset_all()

    def _serve(self, client: socket.socket, _: tuple[str, int]) -> None:
        """Forward one connection in both directions."""
        if self._fault is Fault.RESET:
            _reset(client)
            return
        host, port = self.target.split(":")
        try:
            server = socket.create_connection((host, int(port)), CONNECT_S)
            # The connect timeout must not end idle connections: watches of the store are
            # long polls.
            server.settimeout(None)
        except OSError:
            _reset(client)
            return
        self._open |= {client, server}
        self._clients.add(client)
        responses = gevent.spawn(self._forward, server, client, Fault.CUT_BACK)
        self._forward(client, server, Fault.CUT_OUT)
        responses.join()
        self._clients.discard(client)
        for connection in (client, server):
            self._open.discard(connection)
            self._silent.discard(connection)
            connection.close()

    def _forward(self, source: socket.socket, sink: socket.socket, cut: Fault) -> None:
        """Forward bytes in one direction until the end of the stream."""
        try:
            while data := source.recv(PIECE_BYTES):
                if self._fault is Fault.DELAY:
                    gevent.sleep(DELAY_S)
                while self._fault in (cut, Fault.SILENT):
                    gevent.sleep(CHECK_S)
                if source not in self._silent:
                    sink.sendall(self._translate(data, cut))
            if source not in self._silent:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            # One end has closed its connection, so the other one is reset.
            _reset(sink)

    def _translate(self, data: bytes, direction: Fault) -> bytes:
        """Return the bytes to forward; the direction is named by the fault that cuts it."""
        return data


def _reset(connection: socket.socket) -> None:
    """Close a connection with a reset."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    except OSError:
        # The connection is already closed.
        return
    connection.close()
