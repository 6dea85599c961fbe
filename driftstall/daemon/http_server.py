"""WSGI server with limits on connections, bytes held and time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

from gevent import GreenletExit, socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from driftstall.const import PREFIX_RELAY
from driftstall.daemon.request_head import HeadReader, check_framing
from driftstall.daemon.settings import Settings
from driftstall.exceptions import InboundTooLongError, TruncatedHeadError
from driftstall.helpers.inbound import (
    MAX_ACCEPTED_AT_ONCE,
    Inbound,
    InboundLimits,
    connections_within_descriptors,
    open_stream,
)
from driftstall.helpers.log import log_event
from driftstall.util.addresses import split_address

ENVIRON_SOCKET: Final = "driftstall.socket"
ENVIRON_INBOUND: Final = "driftstall.inbound"
MAX_HEAD_BYTES: Final = 65_536
MAX_FRAMING_FACTOR: Final = 8
"""A body in chunks of one byte takes six bytes for each."""
CALLERS_DESCRIPTOR_SHARE: Final = 0.375
"""Each call that is served may use another descriptor for its upstream."""
OPERATORS_DESCRIPTOR_SHARE: Final = 0.0625


@dataclass(frozen=True, slots=True)
class ReceiveLimits:
    """How long a connection may be silent, and what one request may take."""

    idle_s: float
    read_s: float
    body_bytes: int

    @classmethod
    def from_settings(cls, settings: Settings, max_body: int) -> ReceiveLimits:
        """Return the limits for bodies of up to max_body bytes."""
        most = max_body * MAX_FRAMING_FACTOR + MAX_HEAD_BYTES
        return cls(settings.idle_timeout, settings.read_timeout, most)


class LimitedHandler(WSGIHandler):
    """Request handler that bounds what its connection makes the process hold."""

    limits: InboundLimits
    receive_limits: ReceiveLimits

    def __init__(self, sock: Any, address: Any, server: Any, rfile: Any = None) -> None:
        """Set the socket's read and write timeout, and disable Nagle's algorithm."""
        sock.settimeout(self.receive_limits.idle_s)
        sock_option = getattr(sock, "setsockopt", None)
        if sock_option is not None:
            sock_option(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._inbound = Inbound(sock, self.limits, _build_refusal("503 Service Unavailable"))
        super().__init__(sock, address, server, open_stream(self._inbound))

    def handle(self) -> None:
        """Serve the requests of the connection, if it is admitted."""
        try:
            if self.limits.admit(self._inbound):
                super().handle()
            else:
                self._inbound.send_farewell()
        finally:
            self.limits.remove(self._inbound)

    def read_requestline(self) -> str:
        """Read a request line; head and body have a limit and a deadline each."""
        limits = self.receive_limits
        self._inbound.release()
        self._inbound.expect(limits.idle_s, limits.read_s, MAX_HEAD_BYTES)
        return str(super().read_requestline())

    def read_request(self, raw_requestline: str) -> bool:
        """Read the head of a request; raise TruncatedHeadError if it is cut."""
        if not raw_requestline.endswith("\n"):
            raise TruncatedHeadError("the request line ended early")
        return bool(super().read_request(raw_requestline))

    def MessageClass(self, source: Any, *args: Any) -> Any:  # noqa: N802
        """Parse the headers of a request; raise an error if they are cut or ambiguous."""
        headers = super().MessageClass(HeadReader(source), *args)
        check_framing(headers)
        return headers

    def get_environ(self) -> dict[str, Any]:
        """Add the socket, and what counts the body's bytes, to the WSGI environment."""
        limits = self.receive_limits
        self._inbound.expect(limits.idle_s, limits.read_s, limits.body_bytes)
        environ: dict[str, Any] = super().get_environ()
        # For an offer of an upgrade it is the connection, without the framing of the body.
        environ["wsgi.input"] = self.wsgi_input
        environ[ENVIRON_SOCKET] = self.socket
        environ[ENVIRON_INBOUND] = self._inbound
        return environ

    def start_response(self, status: str, headers: Any, exc_info: Any = None) -> Any:
        """Begin the response."""
        self._inbound.begin_response()
        return super().start_response(status, headers, exc_info)

    def write(self, data: bytes) -> None:
        """Write a part of the response; one to HEAD ends with its head."""
        if self.command != "HEAD":
            super().write(data)
            return
        if not self.headers_sent:
            super().write(b"")
        self.response_use_chunked = False

    def handle_error(self, kind: Any, value: Any, trace: Any) -> None:
        """Log an exception; a broken connection is none of the application's."""
        self.close_connection = True
        if issubclass(kind, (OSError, GreenletExit)):
            return
        log_event(PREFIX_RELAY, f"A response failed with {kind.__name__}: {value}")
        self._send_error_response_if_possible(500)

    def _handle_client_error(self, fault: Exception) -> tuple[str, bytes]:
        """Return the response to a head that is malformed, too large or too slow."""
        if isinstance(fault, InboundTooLongError):
            return ("431", _build_refusal("431 Request Header Fields Too Large"))
        if isinstance(fault, TimeoutError):
            return ("408", _build_refusal("408 Request Timeout"))
        return ("400", _build_refusal("400 Bad Request"))

    def log_request(self) -> None:
        """Log no access lines, as the services log their decisions."""


def _build_refusal(status: str) -> bytes:
    """Return a response to a request that has not been run."""
    retry = "Retry-After: 1\r\n" if status.startswith("503") else ""
    return f"HTTP/1.1 {status}\r\n{retry}Connection: close\r\nContent-Length: 0\r\n\r\n".encode()


class _QuietLog:
    """Error log that discards the server's lines about broken connections."""

    def write(self, message: str) -> None:
        """Discard a line."""


def build_server(
    settings: Settings, address: str, app: Any, *, max_body: int, descriptor_share: float
) -> WSGIServer:
    """Return a server for one listener, with TLS if a certificate is set."""
    most = min(settings.max_connections, connections_within_descriptors(descriptor_share))
    attributes = {
        "limits": InboundLimits(most, max(settings.max_held_bytes, max_body)),
        "receive_limits": ReceiveLimits.from_settings(settings, max_body),
    }
    tls = {}
    if settings.tls_cert:
        tls = {"certfile": settings.tls_cert, "keyfile": settings.tls_key}
    server = WSGIServer(
        split_address(address),
        app,
        log=None,
        error_log=_QuietLog(),
        handler_class=type("Handler", (LimitedHandler,), attributes),
        spawn=Pool(),
        **tls,
    )
    server.max_accept = MAX_ACCEPTED_AT_ONCE
    return server


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
