"""Encode the gateway's own responses and whole responses of upstreams."""

from __future__ import annotations

from typing import Final

import orjson

from driftstall.core import Problem
from driftstall.daemon.http_responses import PROBLEM_TYPE, problem_fields
from driftstall.gateway.callers.framing import LengthFraming, framing_headers
from driftstall.gateway.ingress import encode_head
from driftstall.gateway.model import Headers

MIN_RETRY_S: Final = 0.01


def encode_response(status: int, headers: Headers, body: bytes, *, keep_alive: bool) -> bytes:
    """Return the bytes of a whole response."""
    framing = LengthFraming(len(body), keep_alive)
    return encode_head(status, headers, framing_headers(framing)) + body


def encode_problem(problem: Problem, *, keep_alive: bool) -> bytes:
    """Return the bytes of a problem response, with Retry-After if the problem has one."""
    headers: list[tuple[bytes, bytes]] = [(b"Content-Type", PROBLEM_TYPE.encode())]
    if problem.retry_after_s is not None:
        seconds = max(MIN_RETRY_S, problem.retry_after_s)
        headers.append((b"Retry-After", b"%.2f" % seconds))
    body = orjson.dumps(problem_fields(problem))
    return encode_response(problem.status, tuple(headers), body, keep_alive=keep_alive)
