"""Requests of generations that are resumed or asked again, and the prefixes that they reuse."""

from __future__ import annotations

from dataclasses import replace

import orjson

from driftstall.core import PrefixMark, Request


def resumed_request(workspace: str, request_id: str, now: float, deadline: float) -> Request:
    """Return the request that resumes a generation which any instance may have started."""
    return Request(request_id, workspace, "resume", "", 0, 1, (), now, deadline)


def with_earlier_asked_at(request: Request, asked_at: float) -> Request:
    """Return the request with the time of its first attempt if that is earlier."""
    return replace(request, asked_at=min(request.asked_at, asked_at))


def parse_cached_prefix(data: bytes) -> PrefixMark | None:
    """Return the cached prefix named in a stream's last event, which a follow-up can reuse."""
    try:
        mark = orjson.loads(data).get("cached_prefix")
        return PrefixMark(int(mark[0]), int(mark[1])) if mark else None
    except (ValueError, TypeError, AttributeError, IndexError):
        return None
