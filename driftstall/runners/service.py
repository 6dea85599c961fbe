"""Client of a plain service."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from driftstall.core import Runner
from driftstall.decisions.upstream_signals import Signal
from driftstall.runners.signals import read_signals
from driftstall.util.http import Exchange

CALL_TIMEOUT_S: Final = 10.0


@dataclass(frozen=True, slots=True)
class ServiceResponse:
    """Hold the whole response of a plain service."""

    status: int
    content_type: str
    body: bytes
    signals: tuple[Signal, ...] = ()
    """The signals of the runner about itself."""


def call_service(
    runner: Runner,
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
    timeout_s: float,
) -> ServiceResponse:
    """Make one call; raise UpstreamError without a whole response."""
    exchange = Exchange.open(runner.address, method, path, headers, body, timeout_s)
    status, content_type = exchange.status, exchange.content_type
    signals = read_signals(exchange)
    return ServiceResponse(status, content_type, exchange.read(), signals)
