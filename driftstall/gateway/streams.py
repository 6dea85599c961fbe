"""Relay event streams from upstreams to callers.

A stream runs at most once. When its upstream fails or leaves, or closes a response without framing,
which may be truncated, the stream resumes at a replica of its memory, from the last event that the
caller received. Without a replica it is broken off visibly: the last chunk is missing, or the
connection is reset if the response ends with it. Events are relayed whole, in order and exactly
once.
"""

from __future__ import annotations

from functools import partial
from http import HTTPStatus
from typing import Final

from driftstall.const import CODE_RUNNER_FAILED, PREFIX_RELAY
from driftstall.core import Problem, Ran
from driftstall.decisions.response_ends import (
    ANSWERING_STATES,
    LIVING_STATES,
    BrokenEnd,
    ClosedEnd,
    EmptyEnd,
    EndAction,
    EndEvidence,
    RunEnd,
    decide_stream_end,
    may_be_whole,
)
from driftstall.exceptions import InvalidResponse, UpstreamError
from driftstall.gateway.admission import AdmittedRequest
from driftstall.gateway.callers.framing import CallerFraming, ChunkedFraming, stream_framing
from driftstall.gateway.events import Event, EventContinuity, EventSequence, EventSplitter
from driftstall.gateway.exchange import BodyChunk, ResponseEnd, UpstreamExchange
from driftstall.gateway.ingress import CallerRequest
from driftstall.gateway.model import PROMISING_STATUSES
from driftstall.gateway.moves import Mover
from driftstall.gateway.outcomes import Outcome
from driftstall.gateway.response_body import ResponseBody
from driftstall.gateway.response_ends.records import (
    StatedEnd,
    stated_end,
)
from driftstall.gateway.response_ends.results import UpstreamResponse
from driftstall.gateway.response_ends.silence import SilenceWatch
from driftstall.gateway.response_ends.stream_ends import StreamEnds, describe_end
from driftstall.gateway.response_writer import ResponseWriter
from driftstall.gateway.responses import encode_problem
from driftstall.gateway.runs import StreamRun
from driftstall.gateway.sending import OpenedResponse
from driftstall.gateway.state import GatewayState
from driftstall.gateway.stream_context import StreamContext
from driftstall.gateway.stream_opener import StreamOpener
from driftstall.gateway.stream_resumer import OK, StreamResumer
from driftstall.helpers.log import log_event
from driftstall.util import clock

CONTINUITY_DEFECTS: Final = {
    EventContinuity.GAP: "an event of the stream is missing",
    EventContinuity.CONFLICT: "an event differs from the one that was relayed with its id",
    EventContinuity.FOREIGN: "another response begins inside the stream",
}
FORWARD_BYTES: Final = 16_384
"""Bytes that are split into events at a time. In tiny events they take some milliseconds."""
LOAD_UPDATE_TOKENS: Final = 128
"""Tokens after which a run's load is updated: about once a second."""
MAX_OPTIONAL_RESUME_S: Final = 1.5
"""Longest time that the end of a stream that may be whole waits for a resumed run to begin.
Callers abandon a stream after a pause of two seconds or more."""


class StreamRelay:
    """Relay one stream to its caller."""

    def __init__(
        self,
        state: GatewayState,
        mover: Mover,
        writer: ResponseWriter,
        call: CallerRequest,
        admitted: AdmittedRequest,
        *,
        keep_alive: bool,
    ) -> None:
        """Initialize with the writer of the response and the request.

        With keep_alive, the connection may serve further requests afterwards.
        """
        self._state = state
        self._writer = writer
        self._call = call
        self._admitted = admitted
        self._context = StreamContext(state, mover, call, admitted)
        self._resumer = StreamResumer(self._context)
        self._opener = StreamOpener(self._context, self._resumer)
        self._sequence = EventSequence(self._context.caller_last_event_id)
        self._longest_gap_s = 0.0
        self._silence = SilenceWatch(state, self._context)
        self._keep_alive = keep_alive
        self._framing: CallerFraming = ChunkedFraming(keep_alive)
        """Framing of the response to the caller; final once its head has been sent."""
        self._ends = StreamEnds(state, self._context, self._sequence)

    def handle_disconnect(self) -> None:
        """Abandon the stream: closing the connection makes its upstream stop."""
        self._context.handle_disconnect()

    def serve(self) -> bool:
        """Serve the stream; return whether the caller's connection can be kept."""
        try:
            opened = self._opener.open()
            if isinstance(opened, Problem):
                return self._answer_problem(opened)
            return self._relay(opened)
        finally:
            self._context.finish()

    def _relay(self, opened: OpenedResponse) -> bool:
        """Relay the response; return whether the caller's connection can be kept."""
        run = self._context.run
        assert run is not None
        if opened.head.status != OK:
            return self._relay_failure(run, opened)
        if not self._context.has_responded and not self._send_head(opened):
            return False
        while True:
            end = self._relay_events(run)
            if decide_stream_end(end) is EndAction.FINISH:
                return self._complete(run)
            if self._context.is_caller_disconnected:
                return False
            if may_be_whole(end):
                self._context.resume_until = self._state.now() + MAX_OPTIONAL_RESUME_S
            next_run = self._resume(run, end)
            self._context.resume_until = float("inf")
            if self._context.is_caller_disconnected:
                return False
            if next_run is None:
                return self._break_off(run, end)
            run = next_run

    def _resume(self, run: StreamRun, end: RunEnd) -> StreamRun | None:
        """Resume the stream at a replica after the end of a run; return its next run, or None."""
        if isinstance(end, BrokenEnd):
            self._context.handle_break(run, end.error)
        elif isinstance(end, EmptyEnd) or (
            isinstance(end, ClosedEnd) and end.process not in LIVING_STATES
        ):
            self._context.handle_break(run)
        if not self._sequence.can_resume or not self._resumer.resume(run, describe_end(end)):
            return None
        return self._context.run

    def _relay_failure(self, run: StreamRun, opened: OpenedResponse) -> bool:
        """Relay an error response, which is not a stream."""
        assert run.exchange is not None
        if opened.head.status in PROMISING_STATUSES:
            self._context.record_outcome(run, Outcome.FAILED)
            detail = "the upstream failed; the request may have run"
            return self._answer_problem(Problem(CODE_RUNNER_FAILED, 502, detail, Ran.UNKNOWN))
        body = ResponseBody(run.exchange)
        try:
            while True:
                item = run.exchange.next(self._context.remaining_s)
                if isinstance(item, ResponseEnd):
                    break
                if isinstance(item, BodyChunk):
                    body.add(item.data)
            if not run.exchange.is_framed:
                self._verify_closed(run, opened)
        except (UpstreamError, TimeoutError) as error:
            log_event(PREFIX_RELAY, f"Error response broke off: {error}", request=run.request_id)
            self._context.handle_break(run, error)
            problem = Problem(CODE_RUNNER_FAILED, 502, "the answer broke off", Ran.UNKNOWN)
            return self._answer_problem(problem)
        self._context.record_outcome(run, Outcome.FAILED)
        self._state.stats.failed += 1
        response = UpstreamResponse(
            opened.head.status,
            opened.metadata.forwarded_headers,
            body.take(),
            opened.head.framing,
        )
        self._framing = response.caller_framing(keep_alive=self._keep_alive)
        evidence = EndEvidence.FRAMING if run.exchange.is_framed else EndEvidence.PROCESS
        self._ends.record(run, stated_end(self._framing), evidence)
        return self._writer.write_whole(
            response.status, response.headers, self._framing, response.body
        )

    def _verify_closed(self, run: StreamRun, opened: OpenedResponse) -> None:
        """Raise UpstreamError if a close-delimited response may not be passed on as it came.

        A success is a stream, whatever its status, and a stream needs evidence that it is whole.
        """
        process = self._ends.check_process(run, self._state.now())
        is_success = HTTPStatus.OK <= opened.head.status < HTTPStatus.MULTIPLE_CHOICES
        if is_success or process not in ANSWERING_STATES:
            detail = f"it ended with its connection, and its process is {process.value}"
            raise UpstreamError(detail, sent=True)

    def _send_head(self, opened: OpenedResponse) -> bool:
        """Send the response head to the caller."""
        self._framing = stream_framing(
            opened.head.framing,
            accepts_chunks=self._call.accepts_chunks,
            keep_alive=self._keep_alive,
        )
        self._context.has_responded = True
        return self._writer.begin(
            opened.head.status, opened.metadata.forwarded_headers, self._framing
        )

    def _relay_events(self, run: StreamRun) -> RunEnd:
        """Relay the events of a run; return how its response ended."""
        assert run.exchange is not None
        splitter = EventSplitter()
        run.exchange.on_evicted = splitter.discard
        try:
            return self._relay_parts(run, splitter)
        finally:
            # The error keeps the buffer alive while the stream resumes elsewhere.
            splitter.discard()

    def _relay_parts(self, run: StreamRun, splitter: EventSplitter) -> RunEnd:
        """Relay the events of the response's parts until its end."""
        assert run.exchange is not None
        self._sequence.begin_run()
        self._ends.begin_run()
        self._silence.end_silence()
        while True:
            wait_began_at = self._state.now()
            try:
                wait_until = wait_began_at + self._silence.max_wait_s(run)
                item = run.exchange.next(partial(self._seconds_to, wait_until))
            except UpstreamError as error:
                return BrokenEnd(error)
            except TimeoutError as error:
                if self._silence.may_wait_longer(run):
                    continue
                return BrokenEnd(error)
            finally:
                run.waited_s += self._state.now() - wait_began_at
            self._silence.end_silence()
            if isinstance(item, BodyChunk):
                relay_error = self._forward(run, splitter, item.data)
                if relay_error is not None:
                    return BrokenEnd(relay_error)
            elif isinstance(item, ResponseEnd):
                return self._ends.check(run, splitter)

    def _check_event(
        self, exchange: UpstreamExchange, splitter: EventSplitter
    ) -> InvalidResponse | None:
        """Return an error if the unfinished event exceeds a limit, else None."""
        if splitter.is_event_too_large:
            return exchange.reject("an event is too large")
        try:
            exchange.hold(splitter.buffered_bytes)
        except InvalidResponse as error:
            return error
        return None

    def _seconds_to(self, until: float) -> float:
        """Return the seconds from now to a time on the monotonic clock."""
        return until - self._state.now()

    def _forward(
        self, run: StreamRun, splitter: EventSplitter, data: bytes
    ) -> UpstreamError | None:
        """Write the events that some bytes complete to the caller.

        Return an error if an event is missing or of another run, or the caller has disconnected.
        """
        assert run.exchange is not None
        for start in range(0, len(data), FORWARD_BYTES):
            began_at = clock.now()
            events = splitter.feed(data[start : start + FORWARD_BYTES])
            next_events, error = self._select_next(run, events)
            spent_s = clock.now() - began_at
            # Events before a gap are already counted as relayed: if they were not written, a
            # resumed stream would lack them.
            if next_events:
                self._record_progress(run, len(next_events))
                if not self._writer.write_piece(self._framing, b"".join(next_events)):
                    self._context.is_caller_disconnected = True
                    return UpstreamError("the caller has disconnected", sent=True)
            if error is not None:
                return error
            run.exchange.rest(len(events), spent_s)
            # The response may have been evicted meanwhile, and the bytes of the splitter dropped.
            excess = self._check_event(run.exchange, splitter)
            if excess is not None:
                return excess
        return None

    def _select_next(
        self, run: StreamRun, events: list[Event]
    ) -> tuple[list[bytes], UpstreamError | None]:
        """Return the events that the caller has not received, and an error if one does not fit."""
        next_events: list[bytes] = []
        for event in events:
            continuity = self._sequence.check(event)
            if continuity in CONTINUITY_DEFECTS:
                return next_events, UpstreamError(CONTINUITY_DEFECTS[continuity], sent=True)
            if continuity is EventContinuity.NEXT:
                next_events.append(event.data)
                run.last_event_id = event.event_id or run.last_event_id
        return next_events, None

    def _record_progress(self, run: StreamRun, events: int) -> None:
        """Update progress, times and load after the arrival of events."""
        now = self._state.now()
        if run.generating_s is None:
            run.waited_s = 0.0
        run.generating_s = run.waited_s
        if not run.events and run.moves == 0:
            self._state.stats.first_event_s.observe({}, now - self._admitted.started_at)
        elif run.last_event_at:
            self._longest_gap_s = max(self._longest_gap_s, now - run.last_event_at)
        run.last_event_at = now
        before = run.tokens
        run.events += events
        run.tokens += events * self._context.placement.engine.event_tokens
        self._state.lengths.record_progress(self._context.request, before, run.tokens)
        if before == 0 or before // LOAD_UPDATE_TOKENS != run.tokens // LOAD_UPDATE_TOKENS:
            self._state.record_run_load(run)
            if self._context.is_under_way(run):
                self._state.poison.record_progress(self._admitted.subjects)

    def _complete(self, run: StreamRun) -> bool:
        """Finish a stream that is complete."""
        self._context.record_outcome(run, Outcome.GOOD)
        self._record_ended_run(run)
        self._state.stats.completed += 1
        self._state.stats.gap_s.observe({}, self._longest_gap_s)
        log_event(
            PREFIX_RELAY,
            "A stream has ended whole",
            request=run.request_id,
            upstream=run.upstream.upstream_id,
            events=run.events,
            moves=run.moves,
            framing=run.exchange.framing.value if run.exchange is not None else "",
            evidence=self._ends.evidence.value,
            longest_gap_ms=int(self._longest_gap_s * 1000),
        )
        self._ends.record(run, stated_end(self._framing), self._ends.evidence)
        return self._writer.finish(self._framing)

    def _record_ended_run(self, run: StreamRun) -> None:
        """Record a run that has ended by itself, at an upstream that lives."""
        if run.events:
            self._state.poison.record_success(self._admitted.subjects)
        self._state.lengths.record_finish(self._context.request, run.tokens)

    def _break_off(self, run: StreamRun, end: RunEnd) -> bool:
        """End a stream that cannot resume, without the end that its framing requires.

        A run that may be whole is no failure of its upstream; if that lives, it crashed nothing.
        """
        if not may_be_whole(end):
            self._context.record_outcome(run, Outcome.BROKEN)
        elif isinstance(end, ClosedEnd) and end.process in ANSWERING_STATES:
            self._record_ended_run(run)
        self._state.stats.streams_broken += 1
        is_chunked = isinstance(self._framing, ChunkedFraming)
        stated = StatedEnd.MISSING if is_chunked else StatedEnd.RESET
        self._ends.record(run, stated, EndEvidence.NONE)
        log_event(
            PREFIX_RELAY,
            f"Stream broke off and cannot resume: {describe_end(end)}",
            request=run.request_id,
            fingerprint=self._admitted.fingerprint,
            parts=self._admitted.subjects.parts,
            upstream=run.upstream.upstream_id,
            events=run.events,
            moves=run.moves,
            revision=run.upstream.revision,
        )
        return False

    def _answer_problem(self, problem: Problem) -> bool:
        """Send a problem response; return whether the connection can be kept."""
        if self._context.has_responded or self._context.is_caller_disconnected:
            return False
        if problem.ran is Ran.NOT_RUN and problem.retry_after_s is not None:
            self._state.stats.refused += 1
        else:
            self._state.stats.failed += 1
        log_event(
            PREFIX_RELAY,
            f"Stream request answered with {problem.status}: {problem.detail}",
            request=self._admitted.metadata.request_id,
            fingerprint=self._admitted.fingerprint,
            parts=self._admitted.subjects.parts,
            route=self._admitted.route.name,
            ran=problem.ran.value,
        )
        return (
            self._writer.write(encode_problem(problem, keep_alive=self._keep_alive))
            and self._keep_alive
        )
