"""Define the context that is passed along the filter chain."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from driftstall.core import Problem, Request, Verdict


@dataclass(frozen=True, slots=True)
class RequestContext:
    """Hold a caller's request and the results of the filters so far."""

    request_id: str
    method: str
    path: str
    headers: Mapping[str, str]
    """Names in lower case."""
    body: bytes
    now: float
    """Wall-clock seconds."""
    workspace: str = ""
    deadline: float = 0.0
    payload: Mapping[str, Any] | None = None
    request: Request | None = None
    verdict: Verdict | None = None
    service: str = ""
    service_path: str = ""
    is_repeatable: bool = True
    idempotency_key: str = ""


FilterResult = RequestContext | Problem
