"""Relay one generation's stream from a runner to the caller, with retries and resumption."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Final, NamedTuple

import gevent

from driftstall.const import CODE_NO_RUNNER, PREFIX_RELAY
from driftstall.controllers.grant_messages import Granted
from driftstall.controllers.relay import RelayMachine
from driftstall.controllers.relay_messages import (
    CallerDisconnected,
    CancelStream,
    CloseGrant,
    Complete,
    DeadlinePassed,
    Deliver,
    Fail,
    GrantReceived,
    GrantRefused,
    OpenStream,
    RelayAction,
    RelayEvent,
    RequestGrant,
    ResumeRequested,
    ResumeStream,
    Started,
    StreamEnded,
    StreamFailed,
    TokenArrived,
)
from driftstall.core import PrefixMark, Problem, Ran, Request, Verdict
from driftstall.daemon.fleet_service import FleetService
from driftstall.daemon.grant_client import GrantClient, with_request_id
from driftstall.daemon.hub import Hub
from driftstall.daemon.poison_service import PoisonService
from driftstall.daemon.relay_requests import parse_cached_prefix
from driftstall.daemon.signal_service import SignalService
from driftstall.decisions.poison_evidence import UNDER_WAY_S
from driftstall.decisions.poison_subjects import PoisonSubjects
from driftstall.decisions.retry import RetryBudget
from driftstall.decisions.upstream_signals import Signal
from driftstall.exceptions import UpstreamError
from driftstall.helpers.log import log_event
from driftstall.runners.engine import (
    EngineEnd,
    EngineEvent,
    EngineSignals,
    EngineToken,
    RunnerRejected,
    control,
    open_stream,
    resume_stream,
)

RESUME_RETRY_DELAY_S: Final = 0.1
STALL_TIMEOUT_S: Final = 8.0
"""An open stream without a token for this long fails as stalled, unless the run is paused."""
EngineStream = Iterator[list[EngineEvent]]


class Token(NamedTuple):
    """One token for the caller; a named tuple, as it is cheap to create for each token."""

    generation: str
    position: int
    runner_id: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Tokens:
    """Tokens for the caller that arrived together, in order."""

    tokens: tuple[Token, ...]


@dataclass(frozen=True, slots=True)
class Completed:
    """End of a complete response, with the data of its last event."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Failed:
    """End of an incomplete response, with the reason as a problem."""

    problem: Problem


RelayItem = Tokens | Completed | Failed


class RelayService:
    """Create relays, which share one retry budget."""

    def __init__(
        self,
        hub: Hub,
        fleet: FleetService,
        grant_client: GrantClient,
        poison: PoisonService,
        signals: SignalService,
    ) -> None:
        """Initialize with a full retry budget."""
        self.signals = signals
        self.poison = poison
        self.hub = hub
        self.fleet = fleet
        self.grant_client = grant_client
        self.budget = RetryBudget()

    def start_relay(
        self,
        request: Request,
        verdict: Verdict,
        payload: dict[str, Any],
        ticket: str,
        is_caller_waiting: Callable[[], bool],
    ) -> Relay:
        """Create the relay of a new request."""
        machine = RelayMachine(request.request_id, self.budget)
        relay = Relay(self, machine, request, verdict, payload, is_caller_waiting)
        relay.ticket = ticket
        relay.first_event = Started()
        return relay

    def resume_relay(
        self,
        request: Request,
        verdict: Verdict,
        resume_point: ResumeRequested,
        is_caller_waiting: Callable[[], bool],
    ) -> Relay:
        """Create the relay that resumes a generation from a resume token."""
        machine = RelayMachine(request.request_id, self.budget)
        relay = Relay(self, machine, request, verdict, {}, is_caller_waiting)
        relay.first_event = resume_point
        return relay


class Relay:
    """Run the relay state machine of one request, as an iterator of items for the caller."""

    def __init__(
        self,
        service: RelayService,
        machine: RelayMachine,
        request: Request,
        verdict: Verdict,
        payload: dict[str, Any],
        is_caller_waiting: Callable[[], bool],
    ) -> None:
        """Initialize the relay of one request."""
        self._service = service
        self._hub = service.hub
        self._machine = machine
        self._request = request
        self._verdict = verdict
        self._payload = payload
        self._is_caller_waiting = is_caller_waiting
        self._stream: EngineStream | None = None
        self._cached_prefix: PrefixMark | None = None
        self._output: list[RelayItem] = []
        self._grant_ids: set[str] = set()
        self._last_progress_at = 0.0
        self._opened_at = 0.0
        """When the generation was last started on a runner."""
        self.ticket = ""
        self._producing_since: float | None = None
        """When the runner's current stream produced its first token; None before it."""
        self.subjects = PoisonSubjects()
        """What crashes may be attributed to; empty if unknown, as with a resume token."""
        self.first_event: RelayEvent = Started()

    def __iter__(self) -> Iterator[RelayItem]:
        """Yield tokens as they arrive, then one Completed or Failed."""
        try:
            self._feed(self.first_event)
            yield from self._take_output()
            while not self._machine.is_done:
                yield from self._read_stream()
                yield from self._take_output()
        finally:
            self._clean_up()

    def _clean_up(self) -> None:
        """Cancel the request if the caller disconnected, and close the stream."""
        if not self._machine.is_done:
            self._handle_disconnect()
        self._drop_stream()

    def _handle_disconnect(self) -> None:
        """Cancel the request of a caller that has disconnected."""
        self._hub.stats.callers_gone += 1
        log_event(PREFIX_RELAY, f"Caller of request {self._request.request_id} disconnected")
        self._feed(CallerDisconnected())

    def _take_output(self) -> Iterator[RelayItem]:
        """Yield and clear the items that the actions have produced."""
        output, self._output = self._output, []
        yield from output

    def _read_stream(self) -> Iterator[RelayItem]:
        """Read the runner's stream until it ends, fails or is replaced."""
        stream = self._stream
        if stream is None:
            return
        machine, request_id = self._machine, self._machine.grant_id
        runner_id, deadline = machine.runner_id, self._request.deadline
        grant_client, stats = self._service.grant_client, self._hub.stats
        try:
            for events in stream:
                tokens = []
                for event in events:
                    if type(event) is EngineToken and machine.accept_token(*event[:2]):
                        tokens.append(Token(*event[:2], runner_id, event.data))
                        continue
                    if tokens:
                        yield Tokens(tuple(tokens))
                        tokens = []
                    self._handle_engine_event(event)
                    if self._stream is not stream or machine.is_done:
                        # The remaining events belong to an abandoned stream.
                        return
                if tokens:
                    self._record_progress()
                    grant_client.record_progress(request_id, machine.produced)
                    stats.tokens += len(tokens)
                    yield Tokens(tuple(tokens))
                if self._output or self._stream is not stream or machine.is_done:
                    return
                if time.time() > deadline:
                    self._feed(DeadlinePassed())
                    return
        except UpstreamError as fault:
            self._handle_stream_failure(fault)

    def _handle_engine_event(self, event: EngineEvent) -> None:
        """Handle an event other than the next token in order; raise UpstreamError on a stall."""
        if isinstance(event, EngineSignals):
            self._handle_signals(event.signals)
        elif isinstance(event, EngineToken):
            self._feed(TokenArrived(event.generation, event.position, event.data))
        elif isinstance(event, EngineEnd):
            self._cached_prefix = parse_cached_prefix(event.data)
            self._feed(StreamEnded(event.generation, event.total, event.data))
        elif not self._is_caller_waiting():
            self._handle_disconnect()
        elif self._service.grant_client.is_paused(self._machine.grant_id):
            self._last_progress_at = self._hub.now()
        elif self._hub.now() - self._last_progress_at >= STALL_TIMEOUT_S:
            raise UpstreamError("the engine sends no token", sent=True)

    def _handle_signals(self, signals: tuple[Signal, ...]) -> None:
        """Handle the signals in the head of the runner's response."""
        runner_id = self._machine.runner_id
        self._service.signals.handle_response(runner_id, signals, self._opened_at)

    def _handle_stream_failure(self, fault: UpstreamError) -> None:
        """Close the failed stream and report the failure to the state machine."""
        if isinstance(fault, RunnerRejected):
            self._handle_signals(fault.signals)
        unknown = isinstance(fault, RunnerRejected) and fault.is_generation_unknown
        generation = self._machine.generation
        log_event(PREFIX_RELAY, f"Stream of {generation} failed: {fault}")
        self._drop_stream()
        quarantined = fault.sent and self._check_quarantine()
        self._feed(StreamFailed(generation, fault.sent, unknown, str(fault), quarantined))

    def _record_progress(self) -> None:
        """Note the arrival of tokens; a run that goes on for a while exonerates its messages."""
        now = self._hub.now()
        self._last_progress_at = now
        if self._producing_since is None:
            self._producing_since = now
        elif now - self._producing_since >= UNDER_WAY_S:
            self._producing_since = now
            self._service.poison.record_progress(self.subjects)

    def _check_quarantine(self) -> bool:
        """Check the runner for a crash; return whether the request is now quarantined."""
        runner = self._service.fleet.runners.get(self._machine.runner_id)
        if runner is None or not self.subjects.request:
            return False
        generating_s = self._hub.now() - self._opened_at
        under_way = self._machine.produced > 0 and generating_s >= UNDER_WAY_S
        self._service.poison.handle_broken_run(runner, self.subjects, under_way=under_way)
        return self._service.poison.build_refusal(self.subjects, Ran.UNKNOWN) is not None

    def _drop_stream(self) -> None:
        """Close the runner's stream."""
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.close()  # type: ignore[attr-defined]

    def _feed(self, event: RelayEvent) -> None:
        """Pass an event to the state machine and carry out the resulting actions."""
        for action in self._machine.handle(event):
            self._carry_out(action)

    def _carry_out(self, action: RelayAction) -> None:
        """Carry out one action."""
        match action:
            case RequestGrant():
                self._request_grant(action)
            case OpenStream():
                self._open_stream(action)
            case ResumeStream():
                self._resume_stream(action)
            case CancelStream():
                runner = self._service.fleet.runners.get(action.runner_id)
                if runner is not None:
                    gevent.spawn(control, runner, action.generation, "cancel")
            case CloseGrant():
                self._service.grant_client.close(
                    action.grant_id, action.produced, action.finished, self._cached_prefix
                )
            case Deliver():
                self._hub.stats.tokens += 1
                token = Token(action.generation, action.index, self._machine.runner_id, action.data)
                self._output.append(Tokens((token,)))
            case Complete():
                self._drop_stream()
                if self._machine.produced:
                    self._service.poison.record_success(self.subjects)
                self._output.append(Completed(action.data))
            case Fail():
                self._drop_stream()
                self._output.append(Failed(action.problem))

    def _request_grant(self, action: RequestGrant) -> None:
        """Wait for a grant, and feed the result to the state machine."""
        if self._grant_ids:
            self._hub.stats.retries += 1
        self._grant_ids.add(action.grant_id)
        signals, model = self._service.signals, self._request.model
        refusal = signals.build_model_refusal(model, self._request.request_id)
        if refusal is not None:
            self._feed(GrantRefused(refusal))
            return
        request = with_request_id(self._request, action.grant_id)
        ticket, self.ticket = self.ticket, ""
        answer = self._service.grant_client.acquire(
            request,
            self._verdict,
            ticket,
            action.avoid | signals.backing_off,
            self._should_keep_waiting,
        )
        if isinstance(answer, Granted):
            refusal = self._service.poison.build_refusal(self.subjects, Ran.NOT_RUN)
            if refusal is not None:
                # The request was quarantined while it waited for its grant.
                self._service.grant_client.close(action.grant_id, 0, False, None)
                self._feed(GrantRefused(refusal))
                return
            self._feed(GrantReceived(answer.runner_id, answer.rank))
        elif isinstance(answer, Problem):
            self._feed(GrantRefused(answer))
        elif time.time() > self._request.deadline:
            self._feed(DeadlinePassed())
        else:
            self._handle_disconnect()

    def _should_keep_waiting(self) -> bool:
        """Return whether the caller is connected and the deadline has not passed."""
        return time.time() <= self._request.deadline and self._is_caller_waiting()

    def _open_stream(self, action: OpenStream) -> None:
        """Start the generation on its runner."""
        runner = self._service.fleet.runners.get(action.runner_id)
        try:
            if runner is None:
                raise UpstreamError("the runner is not configured any more", sent=False)
            if self._service.signals.backoff_s(runner.runner_id):
                # The back-off arrived after this instance had requested the grant.
                self._handle_stream_failure(
                    UpstreamError("the runner has requested a back-off", sent=False)
                )
                return
            self._last_progress_at = self._opened_at = self._hub.now()
            self._producing_since = None
            self._stream = open_stream(runner, action.generation, self._payload, action.rank)
        except UpstreamError as fault:
            self._service.fleet.record_failure(action.runner_id)
            self._handle_stream_failure(fault)

    def _resume_stream(self, action: ResumeStream) -> None:
        """Resume the generation on its runner, after the runner's back-off if there is one."""
        self._hub.stats.resumes += 1
        self._drop_stream()
        runner = self._service.fleet.runners.get(action.runner_id)
        message = f"Request {action.generation} resumes from token {action.next_index}"
        log_event(PREFIX_RELAY, message, runner=action.runner_id)
        if runner is None:
            detail = "the runner is not configured any more"
            problem = Problem(CODE_NO_RUNNER, 502, detail, Ran.UNKNOWN)
            self._feed(GrantRefused(problem))
            return
        backoff_s = self._service.signals.backoff_s(action.runner_id)
        if backoff_s > max(0.0, self._request.deadline - time.time()):
            self._feed(DeadlinePassed())
            return
        gevent.sleep(backoff_s)
        try:
            self._last_progress_at = self._hub.now()
            self._stream = resume_stream(runner, action.generation, action.next_index)
        except UpstreamError as fault:
            gevent.sleep(RESUME_RETRY_DELAY_S)
            self._handle_stream_failure(fault)
