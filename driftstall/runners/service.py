"""Call a plain service once."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from driftstall.core import Runner
from driftstall.runners.limits import rate_limit_of
from driftstall.util.http import Exchange

CALL_TIMEOUT_S: Final = 10.0


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Hold a plain service's whole answer."""

    status: int
    content_type: str
    body: bytes
    rate_limit: float | None = None
    """Calls a second that the runner takes; None where it names no limit."""


def call_service(
    runner: Runner,
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
    timeout_s: float,
) -> ServiceAnswer:
    """Make the call once; raise UpstreamError if there is no whole answer."""
    exchange = Exchange.open(runner.address, method, path, headers, body, timeout_s)
    status, content_type = exchange.status, exchange.content_type
    rate_limit = rate_limit_of(exchange)
    return ServiceAnswer(status, content_type, exchange.read(), rate_limit)
