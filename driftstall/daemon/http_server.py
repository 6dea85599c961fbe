"""Serve WSGI with limits on connections, headers, bodies and silence."""

from __future__ import annotations

from typing import Any

from gevent import socket
from gevent.pywsgi import WSGIHandler, WSGIServer

from driftstall.daemon.settings import Settings
from driftstall.util.addresses import split_address

ENVIRON_SOCKET = "driftstall.socket"


class LimitedHandler(WSGIHandler):
    """Bound how long a connection may be silent, and show its socket to the app."""

    idle_timeout_s = 60.0

    def __init__(self, sock: Any, address: Any, server: Any, rfile: Any = None) -> None:
        """Set the time a read or write may take."""
        sock.settimeout(self.idle_timeout_s)
        sock_option = getattr(sock, "setsockopt", None)
        if sock_option is not None:
            sock_option(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server, rfile)

    def get_environ(self) -> dict[str, Any]:
        """Add the socket to the environment."""
        environ: dict[str, Any] = super().get_environ()
        environ[ENVIRON_SOCKET] = self.socket
        return environ

    def log_request(self) -> None:
        """Log nothing here; decisions have their own lines."""


class _QuietLog:
    """Drop the server's own error lines about broken connections."""

    def write(self, message: str) -> None:
        """Drop a line."""


def build_server(settings: Settings, address: str, app: Any) -> WSGIServer:
    """Return a server for one listener; TLS if a certificate is set."""
    handler = type("Handler", (LimitedHandler,), {"idle_timeout_s": settings.idle_timeout})
    tls = {}
    if settings.tls_cert:
        tls = {"certfile": settings.tls_cert, "keyfile": settings.tls_key}
    return WSGIServer(
        split_address(address),
        app,
        log=None,
        error_log=_QuietLog(),
        handler_class=handler,
        spawn=settings.max_connections,
        **tls,
    )


def is_peer_connected(connection: Any) -> bool:
    """Tell whether the other end of a connection has not closed it."""
    try:
        raw = getattr(connection, "_sock", connection)
        return bool(raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b"")
    except (BlockingIOError, ValueError):
        # Nothing to read, or a TLS socket, which cannot be peeked at.
        return True
    except OSError:
        return False
