"""WSGI server with limits on connections and on idle time."""

from __future__ import annotations

from typing import Any

from gevent import socket
from gevent.pywsgi import WSGIHandler, WSGIServer

from driftstall.daemon.settings import Settings
from driftstall.util.addresses import split_address

ENVIRON_SOCKET = "driftstall.socket"


class LimitedHandler(WSGIHandler):
    """Request handler with an idle timeout, which passes its socket to the app."""

    idle_timeout_s = 60.0

    def __init__(self, sock: Any, address: Any, server: Any, rfile: Any = None) -> None:
        """Set the socket's read and write timeout, and disable Nagle's algorithm."""
        sock.settimeout(self.idle_timeout_s)
        sock_option = getattr(sock, "setsockopt", None)
        if sock_option is not None:
            sock_option(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server, rfile)

    def get_environ(self) -> dict[str, Any]:
        """Add the socket to the WSGI environment."""
        environ: dict[str, Any] = super().get_environ()
        environ[ENVIRON_SOCKET] = self.socket
        return environ

    def log_request(self) -> None:
        """Log no access lines, as the services log their decisions."""


class _QuietLog:
    """Error log that discards the server's lines about broken connections."""

    def write(self, message: str) -> None:
        """Discard a line."""


def build_server(settings: Settings, address: str, app: Any) -> WSGIServer:
    """Return a server for one listener, with TLS if a certificate is set."""
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
    """Return whether the peer of a connection has not closed it."""
    try:
        raw = getattr(connection, "_sock", connection)
        return bool(raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b"")
    except (BlockingIOError, ValueError):
        # There is nothing to read, or it is a TLS socket, which does not support MSG_PEEK.
        return True
    except OSError:
        return False
