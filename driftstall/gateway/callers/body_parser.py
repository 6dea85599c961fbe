"""Parse the body of a request that offers an upgrade of the protocol.

The HTTP parser takes such a request for complete at the end of its head, and leaves the rest to the
new protocol. An offer that is not accepted changes nothing, so the body follows as in any request.
"""

from __future__ import annotations

from typing import Final, Protocol

import httptools

SUBSTITUTE_HEAD: Final = b"POST / HTTP/1.1\r\nConnection: close\r\n%b: %b\r\n\r\n"
"""Head for the parser that reads the body; only the framing is that of the request."""


class BodyObserver(Protocol):
    """Receive the parser's events of a body."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a trailer."""

    def on_body(self, data: bytes) -> None:
        """Handle some bytes of the body."""

    def on_message_complete(self) -> None:
        """Handle the end of the body."""


class _BodyEvents:
    """Pass on the events after the substitute head; httptools calls the on_ methods."""

    def __init__(self, observer: BodyObserver) -> None:
        """Initialize before the substitute head."""
        self._observer = observer
        self._is_in_body = False

    def on_headers_complete(self) -> None:
        """Start to pass on headers, which are trailers now."""
        self._is_in_body = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Pass on a trailer."""
        if self._is_in_body:
            self._observer.on_header(name, value)

    def on_body(self, data: bytes) -> None:
        """Pass on some bytes of the body."""
        self._observer.on_body(data)

    def on_message_complete(self) -> None:
        """Pass on the end of the body."""
        self._observer.on_message_complete()


class BodyParser:
    """Parse what follows the head of one request; the connection takes no further one."""

    def __init__(
        self, observer: BodyObserver, method: bytes, version: str, framing: tuple[bytes, bytes]
    ) -> None:
        """Initialize with the request's method and version, and the header that frames its body."""
        self._method = method
        self._version = version
        self._parser = httptools.HttpRequestParser(_BodyEvents(observer))
        self._parser.feed_data(SUBSTITUTE_HEAD % framing)

    def feed_data(self, data: bytes) -> None:
        """Parse some bytes; raise the parser's errors, also for bytes after the body."""
        if data:
            self._parser.feed_data(data)

    def get_method(self) -> bytes:
        """Return the method of the request."""
        return self._method

    def get_http_version(self) -> str:
        """Return the version of HTTP of the request."""
        return self._version

    def should_keep_alive(self) -> bool:
        """Return False: what the caller sends next may be meant for another protocol."""
        return False
