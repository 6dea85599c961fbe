"""Count and log how the responses of upstreams end, and how callers are told of it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from functools import singledispatch

from driftstall.const import PREFIX_RELAY
from driftstall.decisions.response_ends import EndEvidence, ProcessState
from driftstall.gateway.callers.framing import (
    ChunkedFraming,
    CloseFraming,
    EmptyFraming,
    LengthFraming,
)
from driftstall.gateway.model import Upstream
from driftstall.gateway.response_ends.framing import ResponseEndCause, ResponseFraming
from driftstall.gateway.stats import GatewayStats
from driftstall.helpers.log import log_event


class StatedEnd(StrEnum):
    """How a caller was told that a response has ended."""

    LENGTH = "length"
    HEAD = "head"
    """The response ends with its head, as it can have no body."""
    LAST_CHUNK = "last chunk"
    CLOSED = "closed"
    """Its connection was closed in order, and nothing else frames the response."""
    RESET = "reset"
    """Its connection was reset, as nothing else would show that the response is truncated."""
    MISSING = "missing"
    """Its connection was closed before the end that the framing requires."""


@singledispatch
def stated_end(framing: object) -> StatedEnd:
    """Return how the end of a response with a framing is stated."""
    raise TypeError(f"no framing: {framing!r}")


@stated_end.register
def _(framing: LengthFraming) -> StatedEnd:
    """Return that its length was stated."""
    return StatedEnd.LENGTH


@stated_end.register
def _(framing: EmptyFraming) -> StatedEnd:
    """Return that the head is all."""
    return StatedEnd.HEAD


@stated_end.register
def _(framing: ChunkedFraming) -> StatedEnd:
    """Return that its last chunk was sent."""
    return StatedEnd.LAST_CHUNK


@stated_end.register
def _(framing: CloseFraming) -> StatedEnd:
    """Return that its connection was closed in order."""
    return StatedEnd.CLOSED


@dataclass(frozen=True, slots=True)
class EndTiming:
    """Describe when a run's response ended, in seconds."""

    after_last_event_s: float
    before_deadline_s: float
    had_backup: bool
    """Whether the run could have resumed at a backup."""


@dataclass(frozen=True, slots=True)
class RelayedEnd:
    """Describe the end of a response: how it arrived, and how it was passed on."""

    upstream: Upstream
    request_id: str
    framing: ResponseFraming
    process: ProcessState | None
    """State of the upstream's process after the end; None if it was not checked."""
    stated: StatedEnd
    evidence: EndEvidence
    events: int = 0
    """Events that the caller received; zero for a call."""
    moves: int = 0
    timing: EndTiming | None = None
    """When the response of a stream's last run ended; None for a call."""


def record_response_end(
    stats: GatewayStats,
    upstream: Upstream,
    request_id: str,
    framing: ResponseFraming,
    cause: ResponseEndCause,
) -> None:
    """Count the end of a response, and log it unless it is the one that its framing requires.

    The end of a close-delimited response is logged when it is passed on.
    """
    stats.response_ends.inc({"framing": framing.value, "end": cause.value})
    if cause in (ResponseEndCause.COMPLETE, ResponseEndCause.ABANDONED):
        return
    if framing is ResponseFraming.CLOSE and cause is ResponseEndCause.CLOSED:
        return
    log_event(
        PREFIX_RELAY,
        f"Response of {upstream.upstream_id} ended: {cause.value}",
        request=request_id,
        upstream=upstream.upstream_id,
        service=upstream.service,
        framing=framing.value,
        revision=upstream.revision,
    )


def record_relayed_end(stats: GatewayStats, end: RelayedEnd) -> None:
    """Count how an end was passed on, and log it unless the response was framed and complete."""
    process = "" if end.process is None else end.process.value
    labels = {
        "framing": end.framing.value,
        "process": process,
        "stated": end.stated.value,
        "evidence": end.evidence.value,
    }
    stats.relayed_ends.inc(labels)
    if end.framing is not ResponseFraming.CLOSE and end.stated is not StatedEnd.MISSING:
        return
    log_event(
        PREFIX_RELAY,
        f"End of a response of {end.upstream.upstream_id} relayed: {end.stated.value}",
        request=end.request_id,
        upstream=end.upstream.upstream_id,
        service=end.upstream.service,
        framing=end.framing.value,
        process=process,
        evidence=end.evidence.value,
        events=end.events,
        moves=end.moves,
        revision=end.upstream.revision,
        **_describe_timing(end.timing),
    )


def _describe_timing(timing: EndTiming | None) -> dict[str, int | bool]:
    """Return the log fields of an end's timing."""
    if timing is None:
        return {}
    return {
        "after_last_event_ms": int(timing.after_last_event_s * 1000),
        "before_deadline_ms": int(timing.before_deadline_s * 1000),
        "had_backup": timing.had_backup,
    }
