"""A crowd of connections that send bytes to a process and stay open."""

from __future__ import annotations

import resource
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Final

import gevent
from gevent import socket

BLOCK_BYTES: Final = 65_536
MB: Final = 1_000_000
KB_OF_PROC: Final = 1_024
CONNECT_TIMEOUT_S: Final = 20.0


class Crowd:
    """Connections to one address, each of which sends the same bytes."""

    def __init__(self, address: str, count: int, prefix: bytes, block: bytes, blocks: int) -> None:
        """Start to send the prefix and so many blocks on each connection."""
        host, port = address.split(":")
        self._address = (host, int(port))
        self._connections: list[socket.socket] = []
        self._jobs = [gevent.spawn(self._send, prefix, block, blocks) for _ in range(count)]

    def _send(self, prefix: bytes, block: bytes, blocks: int) -> None:
        """Connect and send, until everything is sent or the connection is closed."""
        with suppress(OSError):
            connection = socket.create_connection(self._address, CONNECT_TIMEOUT_S)
            self._connections.append(connection)
            connection.settimeout(None)
            connection.sendall(prefix)
            for _ in range(blocks):
                connection.sendall(block)

    def join(self, timeout_s: float) -> None:
        """Wait until all has been sent or refused, or until the process reads no more."""
        gevent.joinall(self._jobs, timeout=timeout_s)

    @property
    def open_count(self) -> int:
        """Return the number of connections that the process has not closed."""
        return sum(1 for connection in self._connections if _is_open(connection))

    def keep_sending(self, data: bytes, pause_s: float) -> None:
        """Send more on all connections again and again, until the crowd is closed."""
        self._jobs.append(gevent.spawn(self._keep_sending, data, pause_s))

    def _keep_sending(self, data: bytes, pause_s: float) -> None:
        """Send again and again."""
        while True:
            self._send_to_all(data)
            gevent.sleep(pause_s)

    def _send_to_all(self, data: bytes) -> None:
        """Send more on all connections; those that are closed are skipped."""
        for connection in self._connections:
            with suppress(OSError):
                connection.sendall(data)

    def send(self, data: bytes) -> None:
        """Send more on the first connection."""
        self._connections[0].sendall(data)

    def receive(self, timeout_s: float) -> bytes:
        """Return what is received first on the first connection."""
        self._connections[0].settimeout(timeout_s)
        return bytes(self._connections[0].recv(BLOCK_BYTES))

    def close(self) -> None:
        """End the crowd."""
        gevent.killall(self._jobs)
        for connection in self._connections:
            connection.close()


def _is_open(connection: socket.socket) -> bool:
    """Return True if the other end has not closed a connection; what it has sent is discarded."""
    try:
        while connection.recv(BLOCK_BYTES, socket.MSG_DONTWAIT):
            pass
        return False
    except BlockingIOError:
        return True
    except OSError:
        return False


def repeated(unit: bytes, size: int) -> tuple[bytes, int]:
    """Return a block of repeated units, and how many blocks have the size together."""
    block = unit * max(1, BLOCK_BYTES // len(unit))
    return block, max(1, size // len(block))


def peak_memory_mb(pid: int) -> float:
    """Return the peak of the resident memory of a process."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    fields = dict(line.split(":", 1) for line in lines)
    return int(fields["VmHWM"].split()[0]) * KB_OF_PROC / MB


def count_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())


@contextmanager
def descriptor_limit(limit: int) -> Iterator[None]:
    """Lower the limit of descriptors that processes inherit which are started meanwhile."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
