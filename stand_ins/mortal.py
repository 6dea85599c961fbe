"""An upstream process that responds without framing, and may end in the middle of a response.

Usage: python -m stand_ins.mortal PORT (ends|lives)
"""

from __future__ import annotations

import os
import re
import signal
import socket
import sys
from typing import Final

BODY: Final = b"0123456789" * 400
SENT_BYTES: Final = 1_500
"""Bytes of the body that are sent before the process ends."""
REQUEST_ID: Final = re.compile(rb"\r\nx-driftstall-request-id: ([^\r\n]*)", re.IGNORECASE)
HEALTHY: Final = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


def _read_request(connection: socket.socket) -> bytes:
    """Return a request's head and some of its body; empty if there is none."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = connection.recv(65_536)
        if not piece:
            return b""
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    length = re.search(rb"content-length: (\d+)", head, re.IGNORECASE)
    while length is not None and len(body) < int(length[1]):
        body += connection.recv(65_536)
    return head


def _serve(connection: socket.socket, *, ends: bool) -> None:
    """Answer one request, and close the connection or end the process."""
    head = _read_request(connection)
    if head.startswith(b"GET /health"):
        connection.sendall(HEALTHY)
        return
    request_id = REQUEST_ID.search(head)
    if request_id is None:
        return
    connection.sendall(
        b"HTTP/1.1 200 OK\r\nX-Driftstall-Request-Id: %b\r\nX-Driftstall-Response-Seal: s\r\n\r\n"
        % request_id[1]
    )
    connection.sendall(BODY[:SENT_BYTES])
    if ends:
        os.kill(os.getpid(), signal.SIGKILL)
    connection.sendall(BODY[SENT_BYTES:])


def main() -> None:
    """Serve connections one after another."""
    listener = socket.create_server(("127.0.0.1", int(sys.argv[1])))
    while True:
        connection, _ = listener.accept()
        with connection:
            _serve(connection, ends=sys.argv[2] == "ends")


if __name__ == "__main__":
    main()
