"""HTTP responses: whole bodies, JSON and problem details (RFC 9457)."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import Any, Final

import orjson

from driftstall.const import HEADER_TICKET
from driftstall.core import Problem

StartResponse = Callable[..., Any]
PROBLEM_TYPE: Final = "application/problem+json"
JSON_TYPE: Final = "application/json"
EVENT_STREAM: Final = "text/event-stream"
REASONS: Final = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def status_line(status: int) -> str:
    """Return the status with its reason phrase."""
    return f"{status} {REASONS.get(status, 'Status')}"


def send_body(start: StartResponse, status: int, body: bytes, content_type: str) -> Iterable[bytes]:
    """Send a response with a whole body."""
    headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    start(status_line(status), headers)
    return [body]


def send_json(start: StartResponse, status: int, value: Any) -> Iterable[bytes]:
    """Send a JSON response."""
    return send_body(start, status, orjson.dumps(value), JSON_TYPE)


def problem_fields(problem: Problem) -> dict[str, Any]:
    """Return the problem details of RFC 9457 with this system's extension members."""
    fields: dict[str, Any] = {
        "type": f"urn:driftstall:{problem.code}",
        "title": problem.code.replace("_", " "),
        "status": problem.status,
        "detail": problem.detail,
        "code": problem.code,
        "ran": problem.ran.value,
    }
    if problem.retry_after_s is not None:
        fields["retry_after_s"] = round(problem.retry_after_s, 3)
    if problem.ticket is not None:
        fields["ticket"] = problem.ticket
    return fields


def send_problem(start: StartResponse, problem: Problem) -> Iterable[bytes]:
    """Send a problem, with a Retry-After and a ticket if it has them."""
    body = orjson.dumps(problem_fields(problem))
    headers = [("Content-Type", PROBLEM_TYPE), ("Content-Length", str(len(body)))]
    if problem.retry_after_s is not None:
        headers.append(("Retry-After", str(math.ceil(problem.retry_after_s))))
    if problem.ticket is not None:
        headers.append((HEADER_TICKET, problem.ticket))
    start(status_line(problem.status), headers)
    return [body]
