"""Pass event streams on, from the upstream that takes them to their end.

A stream runs at most once. When its upstream is gone it goes on at a copy of its
memory, from the last event that the caller got; without a copy it is visibly broken
off. Events are passed on whole, in order and only once.
"""

from __future__ import annotations

from typing import Final

from driftstall.const import CODE_RUNNER_FAILED, PREFIX_RELAY
from driftstall.core import Problem, Ran
from driftstall.exceptions import UpstreamError
from driftstall.gateway.admission import Admitted
from driftstall.gateway.events import Event, EventContinuity, EventSequence, EventSplitter
from driftstall.gateway.exchange import BodyChunk, ResponseEnd
from driftstall.gateway.ingress import (
    LAST_CHUNK,
    CallerConnection,
    CallerRequest,
    encode_chunk,
    encode_head,
)
from driftstall.gateway.moves import Mover
from driftstall.gateway.outcomes import Outcome
from driftstall.gateway.responses import CLOSE, KEEP, encode_problem, encode_response
from driftstall.gateway.runs import StreamRun
from driftstall.gateway.sending import OpenedResponse
from driftstall.gateway.state import GatewayState
from driftstall.gateway.stream_context import StreamContext
from driftstall.gateway.stream_opener import StreamOpener
from driftstall.gateway.stream_resumer import OK, StreamResumer
from driftstall.helpers.log import log_event

SILENCE_S: Final = 1.2
"""A running stream that says nothing for so long goes on at its copy, if it has one."""
ACCOUNT_TOKENS: Final = 128
"""Tokens after which the books are told of a run's growth: about once a second."""


class StreamRelay:
    """Serve one stream."""

    def __init__(
        self,
        state: GatewayState,
        mover: Mover,
        connection: CallerConnection,
        call: CallerRequest,
        admitted: Admitted,
        *,
        keep: bool,
    ) -> None:
        """Take the caller's connection and its request; keep tells whether it may go on."""
        self._state = state
        self._connection = connection
        self._admitted = admitted
        self._context = StreamContext(state, mover, call, admitted)
        self._resumer = StreamResumer(self._context)
        self._opener = StreamOpener(self._context, self._resumer)
        self._order = EventSequence()
        self._head_sent = False
        self._longest_gap_s = 0.0
        self._keep = keep

    def handle_disconnect(self) -> None:
        """Give the stream up: its upstream stops when the connection closes."""
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
        """Pass the answer on; return whether the caller's connection can be kept."""
        run = self._context.run
        assert run is not None
        if opened.head.status != OK:
            return self._relay_failure(run, opened)
        if not self._head_sent and not self._send_head(opened):
            return False
        while True:
            broken = self._relay_events(run)
            if broken is None:
                return self._complete(run)
            if self._context.is_caller_disconnected:
                return False
            self._context.handle_break(run, broken)
            resumed = self._resumer.resume(run, str(broken))
            if resumed is None:
                return self._break_off(run, str(broken))
            assert self._context.run is not None
            run = self._context.run

    def _relay_failure(self, run: StreamRun, opened: OpenedResponse) -> bool:
        """Pass on an answer that is no stream."""
        assert run.exchange is not None
        parts: list[bytes] = []
        try:
            while True:
                item = run.exchange.next(max(0.0, self._context.remaining_s()))
                if isinstance(item, ResponseEnd):
                    break
                if isinstance(item, BodyChunk):
                    parts.append(item.data)
        except (UpstreamError, TimeoutError) as fault:
            log_event(PREFIX_RELAY, f"A failure's body broke off: {fault}", request=run.request_id)
            self._context.handle_break(run, fault)
            problem = Problem(CODE_RUNNER_FAILED, 502, "the answer broke off", Ran.UNKNOWN)
            return self._answer_problem(problem)
        self._context.record_outcome(run, Outcome.FAILED)
        self._state.stats.failed += 1
        body = b"".join(parts)
        data = encode_response(
            opened.head.status, opened.marks.forwarded_headers, body, keep=self._keep
        )
        return self._connection.write(data) and self._keep

    def _send_head(self, opened: OpenedResponse) -> bool:
        """Send the answer's head to the caller."""
        extra = (b"Transfer-Encoding: chunked", KEEP if self._keep else CLOSE)
        self._head_sent = True
        return self._connection.write(
            encode_head(opened.head.status, opened.marks.forwarded_headers, extra)
        )

    def _relay_events(self, run: StreamRun) -> Exception | None:
        """Pass events on; return None at the end, or what broke the stream."""
        assert run.exchange is not None
        splitter = EventSplitter()
        while True:
            waits_since = self._state.now()
            try:
                item = run.exchange.next(self._patience(run))
            except UpstreamError as fault:
                return fault
            except TimeoutError as fault:
                if (
                    self._context.remaining_s() > 0
                    and not self._context.replicas.has_current_backup(run)
                ):
                    # The copy's engine has left meanwhile: to wait is all there is.
                    continue
                return fault
            finally:
                run.waited_s += self._state.now() - waits_since
            if isinstance(item, BodyChunk):
                fault_or_none = self._pass_on(run, splitter.feed(item.data))
                if fault_or_none is not None:
                    return fault_or_none
            elif isinstance(item, ResponseEnd):
                if splitter.is_inside_event:
                    return UpstreamError("the stream ended inside an event", sent=True)
                if not run.exchange.framed and self._context.replicas.may_have_stopped(
                    run, self._context.remaining_s()
                ):
                    # A run that is stopped for a move closes its connection just like this.
                    return UpstreamError("the stream ended while it was moved", sent=True)
                return None

    def _patience(self, run: StreamRun) -> float:
        """Return how long to wait for the next event, in seconds."""
        left = max(0.0, self._context.remaining_s())
        if self._context.replicas.has_current_backup(run):
            return min(left, SILENCE_S)
        return left

    def _pass_on(self, run: StreamRun, events: list[Event]) -> Exception | None:
        """Write events to the caller; return what is wrong with them, if anything."""
        wanted: list[bytes] = []
        fault: UpstreamError | None = None
        for event in events:
            order = self._order.check(event)
            if order is EventContinuity.GAP:
                fault = UpstreamError("an event is missing", sent=True)
                break
            if order is EventContinuity.NEXT:
                wanted.append(event.data)
                run.last_event_id = event.event_id or run.last_event_id
        # What came before a gap counts as passed on, so it is, or a resumed stream lacks it.
        if wanted:
            self._count(run, len(wanted))
            if not self._connection.write(encode_chunk(b"".join(wanted))):
                self._context.is_caller_disconnected = True
                return UpstreamError("the caller has left", sent=True)
        return fault

    def _count(self, run: StreamRun, events: int) -> None:
        """Take in that events have arrived."""
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
        if before == 0 or before // ACCOUNT_TOKENS != run.tokens // ACCOUNT_TOKENS:
            self._state.record_run_load(run)

    def _complete(self, run: StreamRun) -> bool:
        """End a whole stream."""
        self._context.record_outcome(run, Outcome.GOOD)
        if run.exchange is not None and run.exchange.framed:
            # An answer without a length ends with its connection, as a crash does.
            self._state.record_success(self._admitted.fingerprint)
        self._state.lengths.record_finish(self._context.request, run.tokens)
        self._state.stats.completed += 1
        self._state.stats.gap_s.observe({}, self._longest_gap_s)
        log_event(
            PREFIX_RELAY,
            "A stream has ended whole",
            request=run.request_id,
            upstream=run.upstream.upstream_id,
            events=run.events,
            moves=run.moves,
            longest_gap_ms=int(self._longest_gap_s * 1000),
        )
        return self._connection.write(LAST_CHUNK) and self._keep

    def _break_off(self, run: StreamRun, cause: str) -> bool:
        """End a stream that cannot go on; without its last chunk it is visibly broken."""
        self._context.record_outcome(run, Outcome.BROKEN)
        self._state.stats.streams_broken += 1
        log_event(
            PREFIX_RELAY,
            f"A stream broke off for good: {cause}",
            request=run.request_id,
            fingerprint=self._admitted.fingerprint,
            upstream=run.upstream.upstream_id,
            events=run.events,
            moves=run.moves,
            revision=run.upstream.revision,
        )
        return False

    def _answer_problem(self, problem: Problem) -> bool:
        """Answer with a problem; return whether the connection can be kept."""
        if self._head_sent or self._context.is_caller_disconnected:
            return False
        if problem.ran is Ran.NOT_RUN and problem.retry_after_s is not None:
            self._state.stats.refused += 1
        else:
            self._state.stats.failed += 1
        log_event(
            PREFIX_RELAY,
            f"A stream is answered {problem.status}: {problem.detail}",
            request=self._admitted.marks.request_id,
            fingerprint=self._admitted.fingerprint,
            route=self._admitted.route.name,
            ran=problem.ran.value,
        )
        return self._connection.write(encode_problem(problem, keep=self._keep)) and self._keep
