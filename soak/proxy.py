"""TCP proxy on loopback that injects network faults: delay, reset, one-way loss, silence."""

from __future__ import annotations

from typing import Final

import gevent
from gevent import socket
from gevent.server import StreamServer

from soak.plan import Fault

DELAY_S: Final = 0.15
RESET: Final = b"\x01\x00\x00\x00\x00\x00\x00\x00"
"""SO_LINGER with a time of zero, so that a close resets the connection."""
PIECE_BYTES: Final = 65_536
CHECK_S: Final = 0.02
CONNECT_S: Final = 2.0


class Proxy:
    """Proxy between a process and one address that it connects to."""

    def __init__(self, target: str) -> None:
        """Start to listen; target is the address to forward to."""
        self.target = target
        self._fault: Fault | None = None
        self._open: set[socket.socket] = set()
        self._silent: set[socket.socket] = set()
        """Connections that are kept open but no longer forward data."""
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """Return the address that the proxy listens on."""
        return f"127.0.0.1:{self._server.server_port}"

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

    def stop(self) -> None:
        """Stop listening and reset all open connections."""
        self._server.stop(timeout=0)
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
        responses = gevent.spawn(self._forward, server, client, Fault.CUT_BACK)
        self._forward(client, server, Fault.CUT_OUT)
        responses.join()
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
                    sink.sendall(data)
            if source not in self._silent:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            # One end has closed its connection, so the other one is reset.
            _reset(sink)


def _reset(connection: socket.socket) -> None:
    """Close a connection with a reset."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    except OSError:
        # The connection is already closed.
        return
    connection.close()
