"""Determine how the responses to a stream's runs end, and record how callers are told."""

from __future__ import annotations

from functools import singledispatch
from typing import Final

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
from driftstall.gateway.response_ends.framing import ResponseFraming
from driftstall.gateway.response_ends.records import (
    EndTiming,
    RelayedEnd,
    StatedEnd,
    record_relayed_end,
)
from driftstall.gateway.response_ends.verification import MAX_CHECK_S
from driftstall.gateway.runs import StreamRun
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

    @property
    def evidence(self) -> EndEvidence:
        """Return what shows that the stream is whole."""
        return self._evidence

    def begin_run(self) -> None:
        """Forget the end of the previous run."""
        self._process = None
        self._timing = None
        self._evidence = EndEvidence.NONE

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
            if run.resumed_from is not None and self._is_empty_length(run):
                # A resumed run that adds nothing is evidence, and an empty body may be no run.
                return EmptyEnd()
            self._evidence = EndEvidence.FRAMING
            return CompleteEnd()
        if not self._sequence.has_run_begun:
            return EmptyEnd()
        if self._context.replicas.may_have_stopped(run, self._context.remaining_s()):
            # The final copy of a migration stops a run at an upstream that lives on.
            return _broken("the stream ended during its migration")
        process = self.check_process(run, ended_at, MAX_STREAM_CHECK_S)
        max_tokens = self._context.admitted.metadata.max_tokens
        # An event with data holds a token at least.
        has_all_tokens = 0 < max_tokens <= self._sequence.data_events
        if has_all_tokens:
            self._evidence = EndEvidence.TOKEN_LIMIT
        return ClosedEnd(process, has_all_tokens)

    def _is_empty_length(self, run: StreamRun) -> bool:
        """Return True if a run's response has no event, and states its length."""
        assert run.exchange is not None
        is_length = run.exchange.framing is ResponseFraming.LENGTH
        return is_length and not self._sequence.has_run_begun

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
