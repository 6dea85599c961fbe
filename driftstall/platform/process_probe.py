"""Probe of an upstream's process: whether the one that an upstream stands for still runs."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any, Final

import orjson

from driftstall.decisions.response_ends import ProcessState
from driftstall.decisions.upstream_signals import LeavingSignal
from driftstall.exceptions import OversizedAnswer, UpstreamError, UpstreamTimeout
from driftstall.gateway.dialect import ConnectUpstream, SignalObserver
from driftstall.gateway.exchange import Connection
from driftstall.gateway.model import Upstream
from driftstall.platform import names
from driftstall.platform.headers import read_signals
from driftstall.util import clock
from driftstall.util.http import Exchange
from driftstall.util.limited_response import ResponseLimits

PROBE_TIMEOUT_S: Final = 0.5
STAYS_OPEN_S: Final = 0.05
"""Time for which a connection without a request stays open at a process that lives."""
ANSWER_LIMITS: Final = ResponseLimits(held_bytes=1_000_000)
"""Limits of the body of an answer, which has a few fields."""
HEADER_EXPECTED: Final = names.HEADER_UPSTREAM_ID.decode()
HEADER_INSTANCE: Final = "x-driftstall-instance-id"
STATE_DRAINING: Final = "draining"


def probe_process(
    upstream: Upstream,
    path: str,
    observe: SignalObserver,
    connect: ConnectUpstream,
) -> ProcessState:
    """Request a path of an upstream and return the state of its process.

    Without a path, a connection that is accepted and stays open counts as an answer.
    """
    sent_at = clock.now()
    try:
        if not path:
            return _probe_connection(connect(upstream))
        exchange = Exchange.open_on(
            connect(upstream),
            upstream.address,
            "GET",
            path,
            {HEADER_EXPECTED: upstream.name},
            b"",
            PROBE_TIMEOUT_S,
            ANSWER_LIMITS,
        )
        if exchange.status == HTTPStatus.MISDIRECTED_REQUEST:
            exchange.close()
            return ProcessState.ENDED
        body = exchange.read_document()
    except UpstreamTimeout:
        return _probe_silent_process(upstream, connect)
    except OversizedAnswer:
        return ProcessState.UNKNOWN
    except UpstreamError as fault:
        return ProcessState.ENDED if fault.refused else ProcessState.UNKNOWN
    report = _decode(body)
    if _is_other_process(upstream, exchange, report):
        return ProcessState.ENDED
    signals = read_signals(exchange.status, exchange.headers)
    observe(upstream, signals, sent_at)
    is_leaving = LeavingSignal() in signals or _is_unwell(exchange) or _is_draining(report)
    return ProcessState.LEAVING if is_leaving else ProcessState.ALIVE


def _probe_silent_process(upstream: Upstream, connect: ConnectUpstream) -> ProcessState:
    """Return the state of a process that has not answered: a health check waits for a slot.

    A process that ends resets its connections, but the time-out of a stalled instance may come
    before the reset is read. So a new connection has to be accepted as well.
    """
    try:
        state = _probe_connection(connect(upstream))
    except UpstreamError as fault:
        return ProcessState.ENDED if fault.refused else ProcessState.UNKNOWN
    return ProcessState.SILENT if state is ProcessState.ALIVE else state


def _probe_connection(connection: Connection) -> ProcessState:
    """Return the state that a connection shows, and close it.

    A proxy, or the queue of a listener, also accepts connections for a process that has ended.
    """
    try:
        connection.settimeout(STAYS_OPEN_S)
        is_open = bool(connection.recv(1))
    except TimeoutError:
        is_open = True
    except OSError:
        is_open = False
    finally:
        connection.close()
    return ProcessState.ALIVE if is_open else ProcessState.UNKNOWN


def _decode(body: bytes) -> dict[str, Any]:
    """Return the fields of an engine's report; empty for a body that is none."""
    try:
        report: Any = orjson.loads(body)
    except orjson.JSONDecodeError:
        return {}
    return report if isinstance(report, dict) else {}


def _is_unwell(exchange: Exchange) -> bool:
    """Return True if a health check has failed; a full upstream rejects it without running it."""
    is_rejected = names.HEADER_NOT_EXECUTED in exchange.headers
    return exchange.status >= HTTPStatus.INTERNAL_SERVER_ERROR and not is_rejected


def _is_draining(report: dict[str, Any]) -> bool:
    """Return True if an engine reports that it is leaving."""
    return report.get("state") == STATE_DRAINING or report.get("leaves_ms") is not None


def _is_other_process(upstream: Upstream, exchange: Exchange, report: dict[str, Any]) -> bool:
    """Return True if an answer names a process other than the upstream's."""
    name = exchange.header(HEADER_INSTANCE)
    if name and name != upstream.name:
        return True
    born = report.get("born")
    return bool(upstream.born) and type(born) is int and born != upstream.born
