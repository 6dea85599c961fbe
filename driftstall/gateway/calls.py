"""Serve plain calls: one whole response, from the upstream expected to finish first.

A call that may run only once is retried only if the upstream states that it did not run the
call, or if no byte was sent. A safe call is retried at another upstream after any failure, within
the limits of its route and of the shared retry budget.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from http import HTTPStatus
from typing import Final

import gevent

from driftstall.const import (
    CODE_DEADLINE,
    CODE_NO_RUNNER,
    CODE_RUNNER_FAILED,
    PREFIX_ROUTING,
)
from driftstall.core import Problem, Ran
from driftstall.decisions.permits import SendNeed
from driftstall.decisions.response_ends import ANSWERING_STATES, EndEvidence
from driftstall.decisions.sends import SendHistory, SendOutcome
from driftstall.exceptions import InvalidResponse, UpstreamError
from driftstall.gateway.admission import AdmittedRequest
from driftstall.gateway.backoff_refusal import backoff_refusal
from driftstall.gateway.drain import can_finish, stop_refusal, stop_timeout_problem
from driftstall.gateway.exchange import BodyChunk, ResponseEnd, ResponseHead, UpstreamExchange
from driftstall.gateway.forwarding.connector import CONNECT_TIMEOUT_S
from driftstall.gateway.ingress import CallerRequest
from driftstall.gateway.loads import RequestLoad
from driftstall.gateway.model import PROMISING_STATUSES, Repeat, SendMetadata, Upstream
from driftstall.gateway.outcomes import Outcome
from driftstall.gateway.poison.crash_refusal import crash_refusal
from driftstall.gateway.response_body import ResponseBody
from driftstall.gateway.response_ends.framing import ResponseFraming
from driftstall.gateway.response_ends.records import RelayedEnd, StatedEnd
from driftstall.gateway.response_ends.results import SendFailure, UpstreamResponse
from driftstall.gateway.retry_budget.pending_retry import PendingRetry
from driftstall.gateway.runs import BrokenRun
from driftstall.gateway.scheduling.selection import Option, are_all_full, choose_call
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event

MAX_SENDS: Final = 4
"""Maximum sends of one request, including those to upstreams that did not run it."""
FULL_RETRY_S: Final = 0.4
"""Retry-After when all upstreams are full: the duration of a few calls."""
WAIT_FOR_TURN_SHARE: Final = 0.4
"""Share of a call's latency target, from its arrival, within which it waits for its turn at an
upstream that signals a rate limit; the call itself takes about a fifth of the target."""
WAIT_FOR_COLD_SHARE: Final = 0.4
"""Share of a call's latency target for which it waits for its turn at a cold upstream; the call
itself takes about a fifth of the target."""
FULL_CHECK_S: Final = 0.02
"""Interval at which a call that waits for a free place looks at the loads; a call takes longer."""
FIRST_SERVER_ERROR: Final = 500


@dataclass(slots=True)
class _Attempts:
    """Record of the sends of one request."""

    history: SendHistory
    avoid: set[str] = field(default_factory=set)
    response: UpstreamResponse | None = None
    """The latest error response of an upstream."""
    failure: SendFailure | None = None


class CallRelay:
    """Serve one plain call."""

    def __init__(self, state: GatewayState, call: CallerRequest, admitted: AdmittedRequest) -> None:
        """Initialize with the shared state and the admitted request."""
        self._state = state
        self._call = call
        self._admitted = admitted
        self._retry = PendingRetry(state.retries, admitted.metadata.request_id)
        self._exchange: UpstreamExchange | None = None
        self._is_caller_disconnected = False

    def handle_disconnect(self) -> None:
        """Abandon the request: closing the connection makes its upstream stop."""
        self._is_caller_disconnected = True
        if self._exchange is not None:
            self._exchange.close()

    def serve(self) -> UpstreamResponse | Problem:
        """Return the response, or a problem if there is none."""
        attempts = _Attempts(SendHistory(self._admitted.route.max_runs))
        while True:
            problem = self._check_limits(attempts)
            if problem is not None:
                return attempts.response or problem
            refusal = crash_refusal(self._state, self._admitted, attempts.history.ran)
            if refusal is not None:
                return attempts.response or self._refuse(attempts, refusal)
            if attempts.history.ran is Ran.NOT_RUN:
                refusal = stop_refusal(self._state, self._admitted)
                if refusal is not None:
                    return refusal
            option = self._choose(attempts)
            if isinstance(option, Problem):
                return attempts.response or option
            if attempts.history.has_arrived and not self._retry.try_reserve(
                self._admitted.service.name
            ):
                return attempts.response or self._build_problem(attempts)
            result = self._send(option.upstream, attempts)
            if result is not None:
                return result

    def _choose(self, attempts: _Attempts) -> Option | Problem:
        """Return the upstream to try; wait a short time for a turn at a cold upstream.

        If the wait would be too long, return a problem with a Retry-After at once.
        """
        gate, service = self._state.cold_gate, self._admitted.service.name
        avoid = frozenset(attempts.avoid)
        options = self._wait_for_place(avoid)
        if are_all_full(options):
            return self._refuse_full(options, attempts)
        options = [option for option in options if not option.is_full]
        option = self._choose_open(options)
        if option is not None:
            gate.record_send(option.upstream)
            return option
        if not options or attempts.history.ran is not Ran.NOT_RUN:
            return self._build_problem(attempts)
        unlimited = [candidate for candidate in options if not candidate.is_limited]
        if not unlimited:
            ids = [candidate.upstream.upstream_id for candidate in options]
            request_id = self._admitted.metadata.request_id
            return self._state.rate_limiting.build_refusal(service, ids, request_id)
        first = min(unlimited, key=lambda candidate: gate.wait_s(candidate.upstream))
        wait_s = gate.wait_s(first.upstream)
        if wait_s > WAIT_FOR_COLD_SHARE * self._admitted.route.target_s:
            detail = "all upstreams are cold"
            retry_s = max(FULL_RETRY_S, wait_s)
            return Problem(CODE_NO_RUNNER, 503, detail, Ran.NOT_RUN, retry_s)
        # The turn is reserved before the wait, so that calls arriving meanwhile get later turns.
        gate.record_send(first.upstream)
        gevent.sleep(wait_s)
        return first

    def _wait_for_place(self, avoid: frozenset[str]) -> list[Option]:
        """Return the upstreams that may be tried; wait while all are known to be full.

        The wait ends at the latest when their loads are no longer fresh, or when the call can wait
        no longer.
        """
        service = self._admitted.service.name
        while True:
            options = self._state.options(service, avoid) or self._state.draining_options(
                service, avoid
            )
            wait_s = min(self._max_wait_s(), self._remaining_s())
            if not are_all_full(options) or wait_s <= 0 or self._is_caller_disconnected:
                return options
            gevent.sleep(FULL_CHECK_S)

    def _refuse_full(self, options: list[Option], attempts: _Attempts) -> Problem:
        """Refuse a call that no upstream has a place for, and log the loads that decided it."""
        loads = {
            option.upstream.upstream_id: (option.load.busy, option.load.limit)
            for option in options
            if option.load is not None
        }
        log_event(
            PREFIX_ROUTING,
            "Call refused: all upstreams are full by the loads that they report",
            request=self._admitted.metadata.request_id,
            service=self._admitted.service.name,
            loads=loads,
            sends=attempts.history.sends,
        )
        return self._build_problem(attempts)

    def _choose_open(self, options: list[Option]) -> Option | None:
        """Return an upstream to which the call may be sent now, or None."""
        return self._state.rate_limiting.choose_permitted(
            self._state.cold_gate.select_open(options),
            lambda option: option.upstream.upstream_id,
            lambda remaining: choose_call(remaining, self._state.sampler),
            SendNeed(self._max_wait_s(), self._admitted.verdict.rank),
            self._admitted.metadata.request_id,
        )

    def _max_wait_s(self) -> float:
        """Return how long the call can still wait for its turn at an upstream."""
        until = self._admitted.started_at + WAIT_FOR_TURN_SHARE * self._admitted.route.target_s
        return until - self._state.now()

    def _check_limits(self, attempts: _Attempts) -> Problem | None:
        """Return a problem if no further upstream may be tried, else None."""
        if self._is_caller_disconnected or self._remaining_s() <= 0:
            detail, ran = "the time for this request is over", attempts.history.ran
            return stop_timeout_problem(self._state, self._admitted, ran) or Problem(
                CODE_DEADLINE, 504, detail, ran
            )
        if not attempts.history.can_restart or attempts.history.sends >= MAX_SENDS:
            return self._build_problem(attempts)
        return None

    def _send(self, upstream: Upstream, attempts: _Attempts) -> UpstreamResponse | None:
        """Try one upstream; return the final response, or None if there is none yet.

        A call that may run once then gets a problem, unless it has not run.
        """
        attempts.avoid.add(upstream.upstream_id)
        if not attempts.history.sends:
            self._state.retries.record_request(upstream.service)
        can_refuse = attempts.history.ran is Ran.NOT_RUN
        attempts.history.begin(upstream.upstream_id)
        started = self._state.now()
        started_pace = self._state.upstream_loads.pace(upstream.upstream_id, started)
        try:
            result = self._exchange_with(upstream, attempts, can_refuse=can_refuse)
        finally:
            self._retry.release()
        ended = self._state.now()
        seconds = ended - started
        result = self._verify_end(upstream, result, ended)
        outcome = result.outcome if isinstance(result, SendFailure) else _outcome_of(result)
        if not self._is_caller_disconnected:
            self._state.record_outcome(
                upstream.upstream_id, upstream.service, outcome, seconds, started_pace
            )
        self._log_send(upstream, result, outcome, seconds, attempts)
        if isinstance(result, SendFailure):
            attempts.history.end(result.send_outcome)
            if result.is_broken_off and not self._is_caller_disconnected:
                run = BrokenRun(
                    self._admitted.metadata.request_id, self._admitted.subjects, under_way=False
                )
                self._state.on_run_broken(upstream, run)
            attempts.failure = result
            return None
        self._record_success(result)
        if self._admitted.route.repeat is not Repeat.SAFE:
            return None if result.status in PROMISING_STATUSES else result
        if outcome is Outcome.GOOD:
            return result
        attempts.response = result
        return None

    def _verify_end(
        self, upstream: Upstream, result: UpstreamResponse | SendFailure, ended: float
    ) -> UpstreamResponse | SendFailure:
        """Return the result, or a failure if its response may be truncated.

        A response that ended with its connection is whole only if the upstream's process lives.
        """
        if result.is_framed:
            return result
        request_id = self._admitted.metadata.request_id
        process = self._state.end_verifier.check(upstream, ended, self._remaining_s(), request_id)
        if process not in ANSWERING_STATES:
            return SendFailure.from_unverified_end()
        if isinstance(result, UpstreamResponse):
            end = RelayedEnd(
                upstream,
                request_id,
                ResponseFraming.CLOSE,
                process,
                StatedEnd.CLOSED,
                EndEvidence.PROCESS,
            )
            return replace(result, end=end)
        return result

    def _record_success(self, response: UpstreamResponse) -> None:
        """Record a success; the end of a response that is whole is no crash."""
        if HTTPStatus.OK <= response.status < HTTPStatus.MULTIPLE_CHOICES:
            self._state.poison.record_success(self._admitted.subjects)

    def _exchange_with(
        self, upstream: Upstream, attempts: _Attempts, *, can_refuse: bool
    ) -> UpstreamResponse | SendFailure:
        """Send the request to one upstream and read its response.

        With can_refuse, no part of the request can have run yet.
        """
        request_id = self._admitted.metadata.request_id
        load = RequestLoad(upstream.upstream_id)
        self._state.loads.set_load(request_id, load)
        self._state.notify_call_load_changed()
        try:
            timeout_s = min(CONNECT_TIMEOUT_S, max(0.001, self._remaining_s()))
            exchange = self._state.connect(upstream, timeout_s, request_id)
        except UpstreamError as error:
            self._state.loads.remove_load(request_id)
            return SendFailure(Outcome.UNREACHABLE, SendOutcome.UNSENT, str(error))
        self._exchange = exchange
        try:
            if self._is_caller_disconnected:
                return SendFailure(Outcome.GOOD, SendOutcome.UNSENT, "the caller has left")
            if not self._state.can_start_on(upstream, attempts.history.sent_to):
                detail = "the upstream takes no more requests"
                return SendFailure(Outcome.NOT_SENT, SendOutcome.UNSENT, detail)
            if can_refuse and not can_finish(self._state, self._admitted):
                detail = "this instance began to stop while the request waited"
                return SendFailure(Outcome.NOT_SENT, SendOutcome.UNSENT, detail)
            if self._state.poison.verdict(self._admitted.subjects).wait_s:
                detail = "the request was quarantined while it waited"
                return SendFailure(Outcome.NOT_SENT, SendOutcome.UNSENT, detail)
            self._state.exchanges.add(upstream.upstream_id, exchange)
            return self._read_response(upstream, exchange)
        except InvalidResponse as error:
            return SendFailure(Outcome.INVALID, SendOutcome.MAY_HAVE_RUN, str(error))
        except UpstreamError as error:
            return SendFailure(
                Outcome.BROKEN, SendOutcome.MAY_HAVE_RUN, str(error), is_broken_off=True
            )
        except TimeoutError as error:
            return SendFailure(Outcome.BROKEN, SendOutcome.MAY_HAVE_RUN, str(error))
        finally:
            exchange.close()
            self._exchange = None
            self._state.loads.remove_load(request_id)
            self._state.notify_call_load_changed()

    def _read_response(
        self, upstream: Upstream, exchange: UpstreamExchange
    ) -> UpstreamResponse | SendFailure:
        """Send the request, then read the response that carries its id."""
        send = SendMetadata(
            upstream_name=upstream.name,
            remaining_s=self._remaining_s(),
            workspace=self._admitted.workspace,
            rank=self._admitted.verdict.rank if self._admitted.service.engine else None,
        )
        headers = self._state.dialect.write_request(self._admitted.metadata.forwarded_headers, send)
        self._retry.confirm()
        self._state.signals.log_send(upstream, self._admitted.metadata.request_id)
        exchange.send(
            self._call.method, self._call.target, headers, self._call.body, self._remaining_s()
        )
        head: ResponseHead | None = None
        body = ResponseBody(exchange)
        while True:
            item = exchange.next(self._remaining_s)
            if isinstance(item, ResponseHead):
                head = item
                body.clear()
                metadata = self._state.dialect.read_response(item.status, item.headers)
                if metadata.request_id != self._admitted.metadata.request_id:
                    # A surplus response to another request; the expected one may still follow.
                    head = None
                elif metadata.defect is not None:
                    self._state.record_invalid(upstream, item, metadata)
                    raise InvalidResponse(metadata.defect)
            elif isinstance(item, BodyChunk):
                body.add(item.data)
            elif isinstance(item, ResponseEnd) and head is not None:
                if metadata.is_not_executed:
                    detail = f"turned away with {head.status}"
                    return SendFailure(
                        Outcome.FULL,
                        SendOutcome.TURNED_AWAY,
                        detail,
                        is_framed=head.is_framed,
                    )
                return UpstreamResponse(
                    head.status, metadata.forwarded_headers, body.take(), head.framing
                )

    def _remaining_s(self) -> float:
        """Return the seconds that remain until the request's deadline, or a planned stop."""
        return self._state.unanswered_remaining_s(self._admitted.ends_at)

    def _refuse(self, attempts: _Attempts, refusal: Problem) -> Problem:
        """Return the refusal, unless an earlier send of the request may have run."""
        return refusal if attempts.history.ran is Ran.NOT_RUN else self._build_problem(attempts)

    def _build_problem(self, attempts: _Attempts) -> Problem:
        """Return the problem for a request without a response, stating whether it may have run."""
        if attempts.history.ran is not Ran.NOT_RUN:
            detail = "no whole answer came; the request may have run"
            return Problem(CODE_RUNNER_FAILED, 502, detail, Ran.UNKNOWN)
        refusal = backoff_refusal(self._state, self._admitted)
        if refusal is not None:
            return refusal
        detail = attempts.failure.detail if attempts.failure else "no upstream takes requests"
        return Problem(CODE_NO_RUNNER, 503, detail, Ran.NOT_RUN, FULL_RETRY_S)

    def _log_send(
        self,
        upstream: Upstream,
        result: UpstreamResponse | SendFailure,
        outcome: Outcome,
        seconds: float,
        attempts: _Attempts,
    ) -> None:
        """Log the result of a send, except for a successful first one, which is only counted."""
        if outcome is Outcome.GOOD and attempts.history.sends == 1:
            return
        log_event(
            PREFIX_ROUTING,
            f"Upstream {upstream.upstream_id} was {outcome.value} for a call",
            request=self._admitted.metadata.request_id,
            fingerprint=self._admitted.fingerprint,
            parts=self._admitted.subjects.parts,
            route=self._admitted.route.name,
            seconds=round(seconds, 3),
            sends=attempts.history.sends,
            cause=result.detail if isinstance(result, SendFailure) else str(result.status),
            revision=upstream.revision,
        )


def _outcome_of(response: UpstreamResponse) -> Outcome:
    """Return FAILED for a response with a server error, else GOOD."""
    return Outcome.FAILED if response.status >= FIRST_SERVER_ERROR else Outcome.GOOD
