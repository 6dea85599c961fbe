"""Pass loopback connections on, and harm them as the plan says."""

from __future__ import annotations

from typing import Final

import gevent
from gevent import socket
from gevent.server import StreamServer

from soak.plan import Fault

DELAY_S: Final = 0.15
RESET: Final = b"\x01\x00\x00\x00\x00\x00\x00\x00"
"""Linger for no time, so that a close resets the connection."""
PIECE_BYTES: Final = 65_536
CHECK_S: Final = 0.02
CONNECT_S: Final = 2.0


class Proxy:
    """Stand between a process and what it connects to."""

    def __init__(self, target: str) -> None:
        """Take the address behind the proxy, and start to listen."""
        self.target = target
        self._fault: Fault | None = None
        self._open: set[socket.socket] = set()
        self._silent: set[socket.socket] = set()
        """Connections that pass nothing on any more, and are not closed either."""
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """Return where it listens."""
        return f"127.0.0.1:{self._server.server_port}"

    def harm(self, fault: Fault) -> None:
        """Begin a fault; a reset also breaks what is open."""
        self._fault = fault
        if fault is Fault.RESET:
            self.reset_all()

    def heal(self) -> None:
        """End the fault; bytes that a cut held up are lost with their connections."""
        was, self._fault = self._fault, None
        if was not in (None, Fault.DELAY):
            self.reset_all()

    def silence_open(self) -> None:
        """Let all open connections fall silent for good, without a reset; new ones work.

        Both ends still find that their bytes are acknowledged, as behind a middlebox.
        """
        self._silent |= self._open

    def reset_all(self) -> None:
        """Reset all open connections."""
        for one in list(self._open):
            _reset(one)
        self._open.clear()
        self._silent.clear()

    def stop(self) -> None:
        """Stop to listen."""
        self._server.stop(timeout=0)
        self.reset_all()

    def _serve(self, near: socket.socket, _: tuple[str, int]) -> None:
        """Pass one connection on, both ways."""
        if self._fault is Fault.RESET:
            _reset(near)
            return
        host, port = self.target.split(":")
        try:
            far = socket.create_connection((host, int(port)), CONNECT_S)
            # The time to connect must not end connections that rest: questions to the store wait.
            far.settimeout(None)
        except OSError:
            _reset(near)
            return
        self._open |= {near, far}
        back = gevent.spawn(self._copy, far, near, Fault.CUT_BACK)
        self._copy(near, far, Fault.CUT_OUT)
        back.join()
        for one in (near, far):
            self._open.discard(one)
            self._silent.discard(one)
            one.close()

    def _copy(self, source: socket.socket, sink: socket.socket, cut: Fault) -> None:
        """Copy bytes one way until the end."""
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
            # The other end is gone, so is this one.
            _reset(sink)


def _reset(connection: socket.socket) -> None:
    """Close a connection with a reset."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    except OSError:
        # It is closed already.
        return
    connection.close()
