"""Carry one generation's stream between a runner and the caller."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import Any, Final, NamedTuple

import gevent
import orjson

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
from driftstall.daemon.signal_service import SignalService
from driftstall.decisions.poison_detection import UNDER_WAY_S
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
"""An engine that is there but sends no token for so long, unasked, is taken for stalled."""
EngineStream = Iterator[list[EngineEvent]]


class Token(NamedTuple):
    """Give the caller one token; a tuple, since it is made for each token."""

    generation: str
    position: int
    runner_id: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Tokens:
    """Give the caller the tokens that arrived together, in order."""

    tokens: tuple[Token, ...]


@dataclass(frozen=True, slots=True)
class Completed:
    """Tell the caller that the answer is whole."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Failed:
    """Tell the caller why the answer is not whole."""

    problem: Problem


RelayItem = Tokens | Completed | Failed


class RelayService:
    """Build relays; they share the retry budget."""

    def __init__(
        self,
        hub: Hub,
        fleet: FleetService,
        grant_client: GrantClient,
        poison: PoisonService,
        signals: SignalService,
    ) -> None:
        """Start with a fresh retry budget."""
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
        """Return the relay of a new request."""
        machine = RelayMachine(request.request_id, self.budget)
        relay = Relay(self, machine, request, verdict, payload, is_caller_waiting)
        relay.ticket = ticket
        relay.first_event = Started()
        return relay

    def resume_relay(
        self,
        request: Request,
        verdict: Verdict,
        place: ResumeRequested,
        is_caller_waiting: Callable[[], bool],
    ) -> Relay:
        """Return the relay that goes on with a generation from a resume token."""
        machine = RelayMachine(request.request_id, self.budget)
        relay = Relay(self, machine, request, verdict, {}, is_caller_waiting)
        relay.first_event = place
        return relay


class Relay:
    """Carry out one relay machine's actions, as an iterator for the caller."""

    def __init__(
        self,
        service: RelayService,
        machine: RelayMachine,
        request: Request,
        verdict: Verdict,
        payload: dict[str, Any],
        is_caller_waiting: Callable[[], bool],
    ) -> None:
        """Take what describes the request."""
        self._service = service
        self._hub = service.hub
        self._machine = machine
        self._request = request
        self._verdict = verdict
        self._payload = payload
        self._caller_waits = is_caller_waiting
        self._stream: EngineStream | None = None
        self._cached_prefix: PrefixMark | None = None
        self._output: list[RelayItem] = []
        self._grant_ids: set[str] = set()
        self._last_progress_at = 0.0
        self._opened_at = 0.0
        """When the generation was last given to a runner."""
        self.ticket = ""
        self.fingerprint = ""
        """Stands for what is asked; empty where that is not known, as for a resume token."""
        self.first_event: RelayEvent = Started()

    def __iter__(self) -> Iterator[RelayItem]:
        """Yield tokens as they come, then one end."""
        try:
            self._feed(self.first_event)
            yield from self._take_output()
            while not self._machine.is_done:
                yield from self._read_stream()
                yield from self._take_output()
        finally:
            self._clean_up()

    def _clean_up(self) -> None:
        """Free everything if the caller vanished."""
        if not self._machine.is_done:
            self._handle_disconnect()
        self._drop_stream()

    def _handle_disconnect(self) -> None:
        """Give the request up, since nobody waits for it."""
        self._hub.stats.callers_gone += 1
        log_event(PREFIX_RELAY, f"The caller of request {self._request.request_id} has gone")
        self._feed(CallerDisconnected())

    def _take_output(self) -> Iterator[RelayItem]:
        """Yield what the actions have put out."""
        out, self._output = self._output, []
        yield from out

    def _read_stream(self) -> Iterator[RelayItem]:
        """Read the runner's stream until it ends or breaks."""
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
                        # What else arrived belongs to a stream that was given up.
                        return
                if tokens:
                    self._last_progress_at = self._hub.now()
                    grant_client.progress(request_id, machine.produced)
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
        """Take an event that is not simply the next token."""
        if isinstance(event, EngineSignals):
            self._handle_signals(event.signals)
        elif isinstance(event, EngineToken):
            self._feed(TokenArrived(event.generation, event.position, event.data))
        elif isinstance(event, EngineEnd):
            self._cached_prefix = _parse_cached_prefix(event.data)
            self._feed(StreamEnded(event.generation, event.total, event.data))
        elif not self._caller_waits():
            self._handle_disconnect()
        elif self._service.grant_client.is_paused(self._machine.grant_id):
            self._last_progress_at = self._hub.now()
        elif self._hub.now() - self._last_progress_at >= STALL_TIMEOUT_S:
            raise UpstreamError("the engine sends no token", sent=True)

    def _handle_signals(self, signals: tuple[Signal, ...]) -> None:
        """Handle what the runner signals with the head of its response."""
        runner_id = self._machine.runner_id
        self._service.signals.handle_response(runner_id, signals, self._opened_at)

    def _handle_stream_failure(self, fault: UpstreamError) -> None:
        """Tell the machine that the stream broke."""
        if isinstance(fault, RunnerRejected):
            self._handle_signals(fault.signals)
        gone = isinstance(fault, RunnerRejected) and fault.is_generation_unknown
        generation = self._machine.generation
        log_event(PREFIX_RELAY, f"The stream of {generation} broke: {fault}")
        self._drop_stream()
        barred = fault.sent and self._check_quarantine()
        self._feed(StreamFailed(generation, fault.sent, gone, str(fault), barred))

    def _check_quarantine(self) -> bool:
        """Find out whether the runner has crashed, and whether the request is to go to no other."""
        runner = self._service.fleet.runners.get(self._machine.runner_id)
        if runner is None or not self.fingerprint:
            return False
        made_s = self._hub.now() - self._opened_at
        under_way = self._machine.produced > 0 and made_s >= UNDER_WAY_S
        self._service.poison.handle_broken_run(runner, self.fingerprint, under_way=under_way)
        return self._service.poison.build_refusal(self.fingerprint, Ran.UNKNOWN) is not None

    def _drop_stream(self) -> None:
        """Close the runner's stream."""
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.close()  # type: ignore[attr-defined]

    def _feed(self, event: RelayEvent) -> None:
        """Hand an event to the machine and carry out its actions."""
        for action in self._machine.handle(event):
            self._carry_out(action)

    def _carry_out(self, action: RelayAction) -> None:
        """Carry out one action."""
        match action:
            case RequestGrant():
                self._request_grant(action)
            case OpenStream():
                self._open(action)
            case ResumeStream():
                self._resume(action)
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
                if self.fingerprint:
                    self._service.poison.record_success(self.fingerprint)
                self._output.append(Completed(action.data))
            case Fail():
                self._drop_stream()
                self._output.append(Failed(action.problem))

    def _request_grant(self, action: RequestGrant) -> None:
        """Wait for a grant."""
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
            self._keep_waiting,
        )
        if isinstance(answer, Granted):
            self._feed(GrantReceived(answer.runner_id, answer.rank))
        elif isinstance(answer, Problem):
            self._feed(GrantRefused(answer))
        elif time.time() > self._request.deadline:
            self._feed(DeadlinePassed())
        else:
            self._handle_disconnect()

    def _keep_waiting(self) -> bool:
        """Tell whether the caller still waits for a grant."""
        return time.time() <= self._request.deadline and self._caller_waits()

    def _open(self, action: OpenStream) -> None:
        """Start the generation on its runner."""
        runner = self._service.fleet.runners.get(action.runner_id)
        try:
            if runner is None:
                raise UpstreamError("the runner is not configured any more", sent=False)
            if self._service.signals.backoff_s(runner.runner_id):
                # Requested after this instance had asked for the grant.
                self._handle_stream_failure(
                    UpstreamError("the runner has requested a back-off", sent=False)
                )
                return
            self._last_progress_at = self._opened_at = self._hub.now()
            self._stream = open_stream(runner, action.generation, self._payload, action.rank)
        except UpstreamError as fault:
            self._service.fleet.record_failure(action.runner_id)
            self._handle_stream_failure(fault)

    def _resume(self, action: ResumeStream) -> None:
        """Take the generation up again on its runner."""
        self._hub.stats.resumes += 1
        self._drop_stream()
        runner = self._service.fleet.runners.get(action.runner_id)
        sentence = f"Request {action.generation} goes on from token {action.next_index}"
        log_event(PREFIX_RELAY, sentence, runner=action.runner_id)
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


def resumed_request(workspace: str, request_id: str, now: float, deadline: float) -> Request:
    """Describe a request that goes on with a generation started elsewhere."""
    return Request(request_id, workspace, "resume", "", 0, 1, (), now, deadline)


def with_earlier_asked_at(request: Request, asked_at: float) -> Request:
    """Return a request that keeps the time it was first asked."""
    return replace(request, asked_at=min(request.asked_at, asked_at))


def _parse_cached_prefix(data: bytes) -> PrefixMark | None:
    """Read the prefix that a follow-up will bring from the last event."""
    try:
        mark = orjson.loads(data).get("cached_prefix")
        return PrefixMark(int(mark[0]), int(mark[1])) if mark else None
    except (ValueError, TypeError, AttributeError, IndexError):
        return None
