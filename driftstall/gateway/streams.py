"""Serve event streams, and go on with them where an upstream leaves or breaks.

A stream runs at most once. When its upstream is gone it goes on at a copy of its
memory, from the last event that the caller got; without a copy it is visibly broken
off. Events are passed on whole, in order and only once.
"""

from __future__ import annotations

from typing import Final

import gevent

from driftstall.const import (
    CODE_DEADLINE,
    CODE_NO_RUNNER,
    CODE_RUNNER_FAILED,
    PREFIX_RELAY,
)
from driftstall.core import Problem, Ran
from driftstall.decisions.crash_blame import UNDER_WAY_S
from driftstall.decisions.permits import SendNeed
from driftstall.decisions.sends import SendHistory
from driftstall.exceptions import UpstreamError
from driftstall.gateway.admission import Admitted, request_of
from driftstall.gateway.answers import CLOSE, KEEP, problem_answer, whole
from driftstall.gateway.calls import FULL_RETRY_S, MAX_SENDS
from driftstall.gateway.crash_refusal import crash_refusal
from driftstall.gateway.events import Event, EventOrder, EventSplitter, Order
from driftstall.gateway.exchange import End, Piece
from driftstall.gateway.ingress import (
    LAST_CHUNK,
    CallerConnection,
    CallerRequest,
    chunk,
    head_bytes,
)
from driftstall.gateway.model import Upstream
from driftstall.gateway.moves import Mover
from driftstall.gateway.outcomes import Outcome
from driftstall.gateway.placement import WAIT_FOR_ROOM_SHARE, StreamPlacement
from driftstall.gateway.resumption import CopyFinder
from driftstall.gateway.runs import BrokenRun, StreamRun
from driftstall.gateway.sending import Opened, StreamSender
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import say

SILENCE_S: Final = 1.2
"""A running stream that says nothing for so long goes on at its copy, if it has one."""
COLD_WAIT_S: Final = 1.2
"""How long a stream that could go on waits for an engine that has gone cold."""
TURN_WAIT_S: Final = 1.2
"""The same for its turn at an engine that names a limit."""
MAX_RESUMES: Final = 8
"""Upstreams that one stream may go on at; each leaves with a notice of its own."""
OK: Final = 200


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
        self._mover = mover
        self._connection = connection
        self._admitted = admitted
        self._request = request_of(admitted)
        self._request_id = admitted.marks.request_id
        self._placement = StreamPlacement(state, call, admitted, self._request)
        self._history = SendHistory(admitted.route.most_runs)
        self._sender = StreamSender(state, call, admitted, self._history, lambda: self._caller_gone)
        self._copies = CopyFinder(state, mover, self._history)
        self._caller_gone = False
        self._run: StreamRun | None = None
        self._order = EventOrder()
        self._head_sent = False
        self._longest_gap_s = 0.0
        self._keep = keep

    def caller_left(self) -> None:
        """Give the stream up: its upstream stops when the connection closes."""
        self._caller_gone = True
        run = self._run
        if run is not None and run.exchange is not None:
            run.exchange.close()

    def serve(self) -> bool:
        """Serve the stream; return whether the caller's connection can be kept."""
        try:
            opened = self._open()
            if isinstance(opened, Problem):
                return self._answer_problem(opened)
            return self._relay(opened)
        finally:
            self._finish()

    # Opening: choose an upstream until one takes the request.

    def _open(self) -> Opened | Problem:
        """Send the request to an upstream that takes it, and read the answer's head."""
        avoid: set[str] = set()
        denied: list[str] = []
        """Upstreams that take no more now."""
        limits = self._state.rate_limiting
        detail = "no upstream takes requests"
        while self._history.may_run_anew and self._history.sends < MAX_SENDS:
            if self._left() <= 0 or self._caller_gone:
                return Problem(CODE_DEADLINE, 504, "the time is over", self._history.ran)
            refusal = self._refusal()
            if refusal is not None:
                return refusal
            ready = self._ready(avoid)
            waits_s = limits.patience_s(ready, self._patience_s())
            closed = limits.closed(ready, waits_s)
            if len(closed) == len(ready) and (ready or denied):
                service = self._admitted.service.name
                return limits.refusal(service, ready or denied, self._request_id)
            run = self._placement.place(closed.union(avoid), lambda: self._caller_gone)
            if run is None:
                break
            refusal = self._refusal()
            if refusal is not None:
                # It was learned while the stream waited for its place.
                self._drop(run)
                return refusal
            if self._history.arrived and not self._budget_allows(run.upstream):
                break
            if not limits.take_turn(
                run.upstream.upstream_id, self._need(waits_s), self._request_id
            ):
                self._drop(run)
                avoid.add(run.upstream.upstream_id)
                denied.append(run.upstream.upstream_id)
                continue
            result = self._send(run)
            if isinstance(result, Opened):
                if not result.marks.not_run:
                    return result
                detail = f"turned away with {result.head.status}"
                self._saw(run, Outcome.FULL)
            elif result.sent:
                return self._after_break(run, str(result))
            else:
                detail = str(result)
                if self._state.may_send(run.upstream):
                    self._saw(run, Outcome.UNREACHABLE)
                    self._state.suspect(run.upstream)
            self._drop(run)
            avoid.add(run.upstream.upstream_id)
        return Problem(CODE_NO_RUNNER, 503, detail, self._history.ran, FULL_RETRY_S)

    def _ready(self, avoid: set[str]) -> list[str]:
        """Return the upstreams that take requests and have not turned this one away."""
        ready = self._state.fleet.ready(self._admitted.service.name)
        return [one.upstream_id for one in ready if one.upstream_id not in avoid]

    def _need(self, most_wait_s: float, *, under_way: bool = False) -> SendNeed:
        """Return what a send needs at an upstream that names a limit."""
        return SendNeed(most_wait_s, self._admitted.verdict.rank, under_way)

    def _patience_s(self) -> float:
        """Return for how long the stream can still wait for its turn at an upstream."""
        most_s = self._admitted.route.target_s * WAIT_FOR_ROOM_SHARE
        until = self._admitted.started_at + min(self._admitted.verdict.wait_s, most_s)
        return until - self._state.now()

    def _refusal(self) -> Problem | None:
        """Return why the request is sent to no upstream, if so."""
        return crash_refusal(self._state, self._admitted, self._history.ran)

    def _after_break(self, run: StreamRun, detail: str) -> Opened | Problem:
        """Go on at a copy after a break before the answer's head."""
        self._broke(run)
        resumed = self._resume(run, detail)
        if resumed is not None:
            return resumed
        if self._left() <= 0:
            return Problem(CODE_DEADLINE, 504, "the time is over", self._history.ran)
        detail = "the upstream broke off; the request may have run"
        return Problem(CODE_RUNNER_FAILED, 502, detail, self._history.ran)

    def _send(self, run: StreamRun) -> Opened | UpstreamError:
        """Send the request to the run's upstream; from now on a leaving caller closes this one."""
        self._run = run
        return self._sender.send(run)

    # Relaying: pass events on until the end.

    def _relay(self, opened: Opened) -> bool:
        """Pass the answer on; return whether the caller's connection can be kept."""
        run = self._run
        assert run is not None
        if opened.head.status != OK:
            return self._relay_failure(run, opened)
        if not self._head_sent and not self._send_head(opened):
            return False
        while True:
            broken = self._relay_events(run)
            if broken is None:
                return self._complete(run)
            if self._caller_gone:
                return False
            self._broke(run, broken)
            resumed = self._resume(run, str(broken))
            if resumed is None:
                return self._break_off(run, str(broken))
            assert self._run is not None
            run = self._run

    def _relay_failure(self, run: StreamRun, opened: Opened) -> bool:
        """Pass on an answer that is no stream."""
        assert run.exchange is not None
        parts: list[bytes] = []
        try:
            while True:
                item = run.exchange.next(max(0.0, self._left()))
                if isinstance(item, End):
                    break
                if isinstance(item, Piece):
                    parts.append(item.data)
        except (UpstreamError, TimeoutError) as fault:
            say(PREFIX_RELAY, f"A failure's body broke off: {fault}", request=run.request_id)
            self._broke(run, fault)
            problem = Problem(CODE_RUNNER_FAILED, 502, "the answer broke off", Ran.UNKNOWN)
            return self._answer_problem(problem)
        self._saw(run, Outcome.FAILED)
        self._state.stats.failed += 1
        body = b"".join(parts)
        data = whole(opened.head.status, opened.marks.passed, body, keep=self._keep)
        return self._connection.write(data) and self._keep

    def _send_head(self, opened: Opened) -> bool:
        """Send the answer's head to the caller."""
        extra = (b"Transfer-Encoding: chunked", KEEP if self._keep else CLOSE)
        self._head_sent = True
        return self._connection.write(head_bytes(opened.head.status, opened.marks.passed, extra))

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
                if self._left() > 0 and not self._copies.has_kept_up(run):
                    # The copy's engine has left meanwhile: to wait is all there is.
                    continue
                return fault
            finally:
                run.waited_s += self._state.now() - waits_since
            if isinstance(item, Piece):
                fault_or_none = self._pass_on(run, splitter.feed(item.data))
                if fault_or_none is not None:
                    return fault_or_none
            elif isinstance(item, End):
                if splitter.inside_event:
                    return UpstreamError("the stream ended inside an event", sent=True)
                if not run.exchange.framed and self._copies.may_have_stopped(run, self._left()):
                    # A run that is stopped for a move closes its connection just like this.
                    return UpstreamError("the stream ended while it was moved", sent=True)
                return None

    def _patience(self, run: StreamRun) -> float:
        """Return how long to wait for the next event, in seconds."""
        left = max(0.0, self._left())
        if self._copies.has_kept_up(run):
            return min(left, SILENCE_S)
        return left

    def _pass_on(self, run: StreamRun, events: list[Event]) -> Exception | None:
        """Write events to the caller; return what is wrong with them, if anything."""
        wanted: list[bytes] = []
        fault: UpstreamError | None = None
        for event in events:
            order = self._order.check(event)
            if order is Order.GAP:
                fault = UpstreamError("an event is missing", sent=True)
                break
            if order is Order.NEXT:
                wanted.append(event.data)
                run.last_event_id = event.event_id or run.last_event_id
        # What came before a gap counts as passed on, so it is, or a resumed stream lacks it.
        if wanted:
            self._count(run, len(wanted))
            if not self._connection.write(chunk(b"".join(wanted))):
                self._caller_gone = True
                return UpstreamError("the caller has left", sent=True)
        return fault

    def _count(self, run: StreamRun, events: int) -> None:
        """Take in that events have arrived."""
        now = self._state.now()
        if run.making_s is None:
            run.waited_s = 0.0
        run.making_s = run.waited_s
        if not run.events and run.moves == 0:
            self._state.stats.first_event_s.observe({}, now - self._admitted.started_at)
        elif run.last_event_at:
            self._longest_gap_s = max(self._longest_gap_s, now - run.last_event_at)
        run.last_event_at = now
        before = run.tokens
        run.events += events
        run.tokens += events * self._placement.engine.event_tokens
        self._state.lengths.progressed(self._request, before, run.tokens)
        if before == 0 or before // ACCOUNT_TOKENS != run.tokens // ACCOUNT_TOKENS:
            self._state.account(run)

    # Going on elsewhere.

    def _resume(self, run: StreamRun, cause: str) -> Opened | None:
        """Go on at a copy; return the opened answer, or None where there is no copy."""
        while run.moves < MAX_RESUMES and self._left() > 0 and not self._caller_gone:
            if run.exchange is not None:
                run.exchange.close()
            copy = self._copies.take(run, self._left())
            if copy is None:
                self._copies.say_none(run, cause)
                return None
            if not self._await_cold(copy.upstream):
                continue
            need = self._need(min(TURN_WAIT_S, self._left()), under_way=True)
            limits, engine_id = self._state.rate_limiting, copy.upstream.upstream_id
            if not limits.take_turn(engine_id, need, self._request_id):
                continue
            if self._refusal() is not None or not self._budget_allows(copy.upstream):
                return None
            self._state.runs.drop(run)
            run.ended = True
            run.goes_on_elsewhere = True
            next_run = self._placement.next_run(run, copy, self._history.has_run_at)
            result = self._send(next_run)
            self._say_resumed(run, next_run, result, cause)
            if isinstance(result, Opened) and result.head.status == OK:
                self._state.stats.streams_resumed += 1
                return result
            # Nothing was made there that could be copied on; another copy of the run as it
            # was may still serve.
            next_run.backup = None
            next_run.kept = next_run.kept or run.kept
            run = next_run
        return None

    def _await_cold(self, upstream: Upstream) -> bool:
        """Wait for the stream's turn at a copy's engine that has gone cold; return whether it is.

        Callers give a stream up after a pause of two seconds or more.
        """
        until = self._state.now() + min(COLD_WAIT_S, self._left())
        while (wait_s := self._state.cold_gate.wait_s(upstream)) > 0:
            if self._state.now() + wait_s > until:
                say(
                    PREFIX_RELAY,
                    f"A stream is not gone on with at {upstream.upstream_id}: it is cold",
                    request=self._admitted.marks.request_id,
                    wait_ms=int(wait_s * 1000),
                )
                return False
            gevent.sleep(wait_s)
        self._state.cold_gate.took(upstream)
        return True

    # Ends.

    def _complete(self, run: StreamRun) -> bool:
        """End a whole stream."""
        self._saw(run, Outcome.GOOD)
        if run.exchange is not None and run.exchange.framed:
            # An answer without a length ends with its connection, as a crash does.
            self._state.ended_well(self._admitted.fingerprint)
        self._state.lengths.finished(self._request, run.tokens)
        self._state.stats.completed += 1
        self._state.stats.gap_s.observe({}, self._longest_gap_s)
        say(
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
        self._saw(run, Outcome.BROKEN)
        self._state.stats.streams_broken += 1
        say(
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
        if self._head_sent or self._caller_gone:
            return False
        if problem.ran is Ran.NOT_RUN and problem.retry_after_s is not None:
            self._state.stats.refused += 1
        else:
            self._state.stats.failed += 1
        say(
            PREFIX_RELAY,
            f"A stream is answered {problem.status}: {problem.detail}",
            request=self._admitted.marks.request_id,
            fingerprint=self._admitted.fingerprint,
            route=self._admitted.route.name,
            ran=problem.ran.value,
        )
        return self._connection.write(problem_answer(problem, keep=self._keep)) and self._keep

    def _finish(self) -> None:
        """Let go of all that the stream held."""
        run = self._run
        if run is None:
            return
        run.ended = True
        if run.exchange is not None:
            run.exchange.close()
        self._mover.drop_copy(run)
        self._drop(run)

    def _drop(self, run: StreamRun) -> None:
        """Take a run off the books."""
        if run.exchange is not None:
            run.exchange.close()
        self._state.runs.drop(run)
        self._state.loads.drop(run.request_id)
        self._state.loads_changed.set()

    # Small helpers.

    def _left(self) -> float:
        """Return the seconds that are left."""
        return self._admitted.ends_at - self._state.now()

    def _budget_allows(self, upstream: Upstream) -> bool:
        """Take one repeat from the common budget."""
        return self._state.take_repeat(upstream.service, self._admitted.marks.request_id)

    def _broke(self, run: StreamRun, fault: Exception | None = None) -> None:
        """Have it found out whether a run broke off because its upstream has crashed."""
        if self._caller_gone or run.moving is not None:
            return
        if isinstance(fault, TimeoutError):
            # What is silent has not ended; it may leave, or be cut off.
            self._state.suspect(run.upstream)
            return
        under_way = run.making_s is not None and run.making_s >= UNDER_WAY_S
        broken = BrokenRun(run.request_id, self._admitted.fingerprint, under_way)
        self._state.broke(run.upstream, broken)

    def _saw(self, run: StreamRun, outcome: Outcome) -> None:
        """Take in how the upstream did; the time of a stream says nothing of it."""
        self._state.saw(run.upstream.upstream_id, run.upstream.service, outcome, 0.0)

    def _say_resumed(
        self, run: StreamRun, next_run: StreamRun, result: Opened | UpstreamError, cause: str
    ) -> None:
        """Log how a stream went on."""
        outcome = str(result) if isinstance(result, UpstreamError) else str(result.head.status)
        say(
            PREFIX_RELAY,
            f"A stream goes on at {next_run.upstream.upstream_id}: {outcome}",
            request=run.request_id,
            fingerprint=self._admitted.fingerprint,
            cause=cause,
            left=run.upstream.upstream_id,
            copy_of=next_run.resumed_from.copy_of if next_run.resumed_from else "",
            copy=next_run.resumed_from.kind.value if next_run.resumed_from else "",
            last_event=run.last_event_id,
            pause_ms=int((self._state.now() - run.last_event_at) * 1000),
        )


ACCOUNT_TOKENS: Final = 128
"""Tokens after which the books are told of a run's growth: about once a second."""
