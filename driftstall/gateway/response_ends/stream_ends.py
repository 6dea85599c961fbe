"""Determine how the responses to a stream's runs end, and record how callers are told."""

from __future__ import annotations

from functools import singledispatch
from typing import Final

from driftstall.decisions.end_evidence import Objection
from driftstall.decisions.response_ends import (
    BrokenEnd,
    ClosedEnd,
    CompleteEnd,
    EmptyEnd,
    EndEvidence,
    ProcessState,
    RunEnd,
)
from driftstall.exceptions import UpstreamError
from driftstall.gateway.events import EventSequence, EventSplitter
from driftstall.gateway.response_ends.evidence import EndedRun, find_objection
from driftstall.gateway.response_ends.framing import ResponseFraming
from driftstall.gateway.response_ends.records import (
    EndTiming,
    RelayedEnd,
    StatedEnd,
    record_relayed_end,
)
from driftstall.gateway.response_ends.verification import MAX_CHECK_S
from driftstall.gateway.runs import ReplicaRefusal, StreamRun
from driftstall.gateway.state import GatewayState
from driftstall.gateway.stream_context import StreamContext

MAX_STREAM_CHECK_S: Final = 0.7
"""Longest time that a stream waits for the state of the process, which is no evidence that it is
whole: enough for one probe without an answer."""


class StreamEnds:
    """Check the ends of one stream's runs."""

    def __init__(
        self, state: GatewayState, context: StreamContext, sequence: EventSequence
    ) -> None:
        """Initialize with the shared state, the stream's context and its events."""
        self._state = state
        self._context = context
        self._sequence = sequence
        self._process: ProcessState | None = None
        """State of the upstream's process after the end of its response, if that was checked."""
        self._timing: EndTiming | None = None
        """When the response of the latest run ended that has ended in order."""
        self._evidence = EndEvidence.NONE
        self._objection: Objection | None = None
        """Why the refusal of a backup shows nothing, if one has refused the stream."""

    @property
    def evidence(self) -> EndEvidence:
        """Return what shows that the stream is whole."""
        return self._evidence

    def begin_run(self, run: StreamRun) -> None:
        """Forget the end of the previous run, and note how this one's response is framed."""
        assert run.exchange is not None
        self._process = None
        self._timing = None
        self._evidence, self._objection = EndEvidence.NONE, None
        if run.exchange.framing in (ResponseFraming.LENGTH, ResponseFraming.CHUNKED):
            self._state.service_history.framed.record(run.upstream.service, self._state.now())

    def record_events(self, run: StreamRun) -> None:
        """Note what new events of a run show about the backups of its service."""
        if run.shows_kept_copy:
            self._state.service_history.copying.record(run.upstream.service, self._state.now())

    def check(self, run: StreamRun, splitter: EventSplitter) -> RunEnd:
        """Return how a run's response ended whose connection did not break."""
        assert run.exchange is not None
        ended_at = self._state.now()
        self._timing = EndTiming(
            ended_at - run.last_event_at if run.last_event_at else 0.0,
            self._context.admitted.ends_at - ended_at,
            self._context.replicas.has_current_backup(run),
        )
        if splitter.is_inside_event:
            return _broken("the stream ended inside an event")
        if self._sequence.is_run_behind:
            # Another run, or one that numbers the rest of the stream anew.
            return _broken("the stream ended before its last event")
        if run.exchange.is_framed:
            if self._context.replicas.has_moved(run, self._context.remaining_s()):
                # Some servers write the last chunk of a response that they cancel.
                return _broken("the stream ended as the final copy stopped its run")
            self._evidence = EndEvidence.FRAMING
            return CompleteEnd()
        if not self._sequence.has_run_begun:
            return EmptyEnd()
        if self._context.replicas.may_have_stopped(run, self._context.remaining_s()):
            # The final copy of a migration stops a run at an upstream that lives on.
            return _broken("the stream ended during its migration")
        process = self.check_process(run, ended_at, MAX_STREAM_CHECK_S)
        max_tokens = self._context.admitted.metadata.max_tokens
        # An event holds a token at least.
        has_all_tokens = 0 < max_tokens <= self._sequence.content_events
        if has_all_tokens:
            self._evidence = EndEvidence.TOKEN_LIMIT
        return ClosedEnd(process, has_all_tokens)

    def is_shown_whole(self, run: StreamRun, refusal: ReplicaRefusal | None) -> bool:
        """Return True if the refusal of its backup shows that a run without framing is whole."""
        if refusal is None or self._process is None or self._timing is None:
            return False
        ended = EndedRun(run, self._process, self._timing)
        self._objection = find_objection(self._state, ended, refusal)
        if self._objection is None:
            self._evidence = EndEvidence.BACKUP
        return self._objection is None

    def check_process(
        self, run: StreamRun, ended_at: float, max_wait_s: float = MAX_CHECK_S
    ) -> ProcessState:
        """Return the state of the upstream's process after an end."""
        upstream = run.upstream
        process = self._state.end_verifier.check(
            upstream,
            ended_at,
            self._context.remaining_s(),
            run.request_id,
            max_wait_s=max_wait_s,
        )
        is_announced = self._state.fleet.is_departure_announced(upstream.upstream_id)
        if process is ProcessState.ALIVE and is_announced:
            process = ProcessState.LEAVING
        self._process = process
        return process

    def describe(self, end: RunEnd) -> str:
        """Return why a stream does not end with a run's response, for the log."""
        if self._objection is not None:
            return f"{describe_end(end)}; its backup refused it, but {self._objection.value}"
        return describe_end(end)

    def record(self, run: StreamRun, stated: StatedEnd, evidence: EndEvidence) -> None:
        """Record how the end of the stream, or of an error response, is told to the caller."""
        framing = ResponseFraming.UNKNOWN if run.exchange is None else run.exchange.framing
        end = RelayedEnd(
            run.upstream,
            run.request_id,
            framing,
            self._process,
            stated,
            evidence,
            run.events,
            run.moves,
            self._timing,
        )
        record_relayed_end(self._state.stats, end)


@singledispatch
def describe_end(end: object) -> str:
    """Return why a stream does not end with a run's response, for the log."""
    raise TypeError(f"no end of a run: {end!r}")


@describe_end.register
def _(end: BrokenEnd) -> str:
    """Return the error."""
    return str(end.error)


@describe_end.register
def _(end: EmptyEnd) -> str:
    """Return that nothing was sent."""
    return "the stream ended without an event"


@describe_end.register
def _(end: ClosedEnd) -> str:
    """Return the state of the process."""
    return (
        "the stream ended with its connection, which does not show that it is whole, and its"
        f" process is {end.process.value}"
    )


def _broken(detail: str) -> BrokenEnd:
    """Return the end of a response whose upstream sent less than the whole stream."""
    return BrokenEnd(UpstreamError(detail, sent=True))
