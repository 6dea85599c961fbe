"""Calls to a model engine: KV cache transfers for migration, and probes of the engine's state."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any, Final

import orjson
import voluptuous as vol

from driftstall.const import PREFIX_RELAY
from driftstall.decisions.upstream_probes import ReportedState
from driftstall.exceptions import OversizedAnswer, UpstreamError
from driftstall.gateway.dialect import (
    ConnectUpstream,
    MoveDone,
    MoveFailed,
    MoveResult,
    SignalObserver,
    connect_directly,
    ignore_signals,
)
from driftstall.gateway.model import Upstream
from driftstall.helpers.log import log_event
from driftstall.platform import checks, names
from driftstall.platform.headers import read_signals
from driftstall.util import clock
from driftstall.util.http import Exchange
from driftstall.util.limited_response import ResponseLimits

MOVE_TIMEOUT_S: Final = 4.0
"""Copies queue behind each other on a link. An engine seldom lives longer than this after its
termination notice."""

DROP_TIMEOUT_S: Final = 1.0

PROBE_TIMEOUT_S: Final = 0.5
"""Engines answer within a few milliseconds; one that does not is probed again soon."""

ANSWER_LIMITS: Final = ResponseLimits(held_bytes=1_000_000)
"""Limits of the body of an engine's answer, which has a few fields."""

STATES: Final = frozenset({"ready", "draining"})
"""Values of the state in an engine's report."""

NOT_STOPPED_STATUSES: Final = frozenset({HTTPStatus.NOT_FOUND, HTTPStatus.CONFLICT})
"""Answers to a final copy that leave the run as it is: it does not exist, or another copy of it is
in progress."""


def move(
    source: Upstream,
    request_id: str,
    target: Upstream,
    observe: SignalObserver = ignore_signals,
    connect: ConnectUpstream = connect_directly,
    *,
    last: bool,
) -> MoveResult:
    """Copy a run's KV cache from one engine to another and wait until the copy is complete.

    With `last`, the source stops the run first (final copy of a stop-and-copy migration).
    """
    payload: dict[str, Any] = {"id": request_id, "targetVersion": target.address}
    if last:
        payload["last"] = True
    headers = {"Content-Type": "application/json"}
    sent_at = clock.now()
    try:
        body = orjson.dumps(payload)
        exchange = Exchange.open_on(
            connect(source),
            source.address,
            "POST",
            names.PATH_KV_MOVE,
            headers,
            body,
            MOVE_TIMEOUT_S,
            ANSWER_LIMITS,
        )
        observe(source, read_signals(exchange.status, exchange.headers), sent_at)
        raw = exchange.read_document()
        answer = orjson.loads(raw) if raw else {}
    except (UpstreamError, orjson.JSONDecodeError) as fault:
        return MoveFailed(
            no_such_run=False,
            may_have_stopped=not isinstance(fault, UpstreamError) or fault.sent,
            copy_of="",
            detail=str(fault),
        )
    copy_of = _replica_name(source, answer)
    if exchange.status == HTTPStatus.OK and copy_of:
        return MoveDone(copy_of)
    return MoveFailed(
        no_such_run=exchange.status == HTTPStatus.NOT_FOUND,
        may_have_stopped=exchange.status not in NOT_STOPPED_STATUSES,
        # Only this answer means that the run is stopped and its KV cache still held.
        copy_of=copy_of if last and exchange.status == HTTPStatus.SERVICE_UNAVAILABLE else "",
        detail=f"the engine answered {exchange.status}",
        target_rejected=exchange.status == HTTPStatus.SERVICE_UNAVAILABLE,
    )


def probe_state(
    engine: Upstream,
    observe: SignalObserver = ignore_signals,
    connect: ConnectUpstream = connect_directly,
) -> ReportedState:
    """Ask an engine for its state; the answer may be some hundred milliseconds old."""
    sent_at = clock.now()
    try:
        exchange = Exchange.open_on(
            connect(engine),
            engine.address,
            "GET",
            names.PATH_REPORT,
            {},
            b"",
            PROBE_TIMEOUT_S,
            ANSWER_LIMITS,
        )
        report = orjson.loads(exchange.read_document())
    except OversizedAnswer as fault:
        log_event(PREFIX_RELAY, f"Report not read: {fault}", upstream=engine.upstream_id)
        return ReportedState.UNKNOWN
    except UpstreamError as fault:
        return ReportedState.TERMINATED if fault.refused else ReportedState.UNKNOWN
    except orjson.JSONDecodeError:
        return ReportedState.UNKNOWN
    born = report.get("born") if isinstance(report, dict) else None
    if type(born) is int and engine.born and born != engine.born:
        # A later start of the process answers at this address: the probed one has terminated.
        return ReportedState.TERMINATED
    observe(engine, read_signals(exchange.status, exchange.headers), sent_at)
    state = report.get("state") if isinstance(report, dict) else None
    if not isinstance(state, str) or state not in STATES:
        return ReportedState.UNKNOWN
    # Only an engine whose end is fixed reports its remaining time. Others drain until the platform
    # has accepted their notice.
    return ReportedState.LEAVING if report.get("leaves_ms") is not None else ReportedState.SERVING


def backup_replica_name(backup: Upstream, request_id: str) -> str:
    """Return the name of the replica that a backup engine keeps of a run."""
    return f"{backup.address}/{request_id}"


def drop_replica(
    holder: Upstream,
    copy_of: str,
    observe: SignalObserver = ignore_signals,
    connect: ConnectUpstream = connect_directly,
) -> None:
    """Free a replica's memory; a call to the source engine frees it at both engines."""
    handle = copy_of.rpartition("/")[2]
    path = f"{names.PATH_KV_HANDLE}/{handle}"
    sent_at = clock.now()
    try:
        exchange = Exchange.open_on(
            connect(holder),
            holder.address,
            "DELETE",
            path,
            {},
            b"",
            DROP_TIMEOUT_S,
            ANSWER_LIMITS,
        )
        observe(holder, read_signals(exchange.status, exchange.headers), sent_at)
        exchange.read_document()
    except UpstreamError as fault:
        log_event(PREFIX_RELAY, f"Replica not freed, it expires by timeout: {fault}")


def _replica_name(source: Upstream, answer: Any) -> str:
    """Return a replica's name: the source's address and the handle in its answer, or empty."""
    handle = answer.get("handle") if isinstance(answer, dict) else None
    try:
        name = checks.name(str(handle) if type(handle) is int else handle)
    except vol.Invalid:
        return ""
    return f"{source.address}/{name}"
