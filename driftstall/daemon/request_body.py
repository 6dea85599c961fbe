"""Read request bodies, counted for their connections."""

from __future__ import annotations

from typing import Any, Final

from driftstall.const import CODE_BAD_REQUEST, CODE_LEAVING, CODE_TOO_LARGE
from driftstall.core import Problem, Ran
from driftstall.daemon.http_server import ENVIRON_INBOUND
from driftstall.exceptions import InboundOverloadError

BODY_PIECE_BYTES: Final = 1_024
"""Chunks are objects until they are joined, so only a piece of a body is read at once."""


def read_body(environ: dict[str, Any], limit: int) -> bytes | None:
    """Read a body, counted for its connection; return None if it is over the limit.

    Raises OSError if it does not arrive, and InboundOverloadError if there is no room for it.
    """
    source, inbound = environ["wsgi.input"], environ[ENVIRON_INBOUND]
    body = bytearray()
    while piece := source.read(min(BODY_PIECE_BYTES, limit + 1 - len(body))):
        inbound.hold(len(piece))
        body += piece
        if len(body) > limit:
            return None
    return bytes(body)


def read_checked_body(environ: dict[str, Any], limit: int) -> bytes | Problem:
    """Read a body; return a problem if it is malformed, late, too large, or there is no room."""
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdigit():
        return _build_bad_request("Content-Length is not a number")
    too_large = Problem(CODE_TOO_LARGE, 413, f"the body is over {limit} bytes", Ran.NOT_RUN)
    if int(length) > limit:
        return too_large
    try:
        body = read_body(environ, limit)
    except InboundOverloadError as fault:
        return Problem(CODE_LEAVING, 503, str(fault), Ran.NOT_RUN, 1.0)
    except TimeoutError:
        return Problem(CODE_BAD_REQUEST, 408, "the body took too long", Ran.NOT_RUN)
    except OSError:
        return _build_bad_request("the body did not arrive")
    if body is None:
        return too_large
    if len(body) < int(length):
        return _build_bad_request("the body ended early")
    return body


def _build_bad_request(detail: str) -> Problem:
    """Return the problem for a body that is malformed."""
    return Problem(CODE_BAD_REQUEST, 400, detail, Ran.NOT_RUN)
