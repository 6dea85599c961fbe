"""Wait for engine memory in the queue that the placer holds, and report runs to the placers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Final

import gevent
from gevent.queue import Empty, Queue

from driftstall.const import PREFIX_ROUTING
from driftstall.decisions.generation_times import PREFILL_TOKENS_PER_S, TOKEN_S
from driftstall.decisions.lengths import HORIZONS
from driftstall.decisions.placers import PLACEMENT_TIMEOUT_S, PlacerSelector
from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.runs import StreamRun
from driftstall.gateway.scheduling.queue_messages import (
    HeldRun,
    MemoryGranted,
    MemoryRefused,
    QueueAnswered,
    QueueAsked,
    QueueLeft,
    QueueOutcome,
    RunsReported,
)
from driftstall.gateway.scheduling.queue_service import QueueService
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event
from driftstall.helpers.tasks import keep_running
from driftstall.peers.gateway_messages import GatewayMessage

REPEAT_INTERVAL_S: Final = 0.5
"""Time between two questions for the same request: a new placer knows the whole queue after it."""
REPEAT_TIMEOUT_S: Final = 0.15
"""How long to wait for the answer to a repeated question. The request does not lose its place by
waiting a little longer than for the first answer, and a change of placers overfills engines."""
CANCEL_CHECK_INTERVAL_S: Final = 0.05
"""How often a waiting request checks whether its caller has disconnected: until then memory may be
granted to it in vain."""
REPORT_PAUSE_S: Final = 0.03
"""Changes of runs within this time are sent in one report while engines are about to fill up."""
RELAXED_REPORT_PAUSE_S: Final = 0.2
"""The same while engines have room: nobody waits for released memory, and traffic between zones is
billed."""
BUSY_MEMORY_SHARE: Final = 0.6
"""Share of the engines' memory in use from which reports are sent without delay."""
REPORT_INTERVAL_S: Final = 1.0
"""Interval of reports without a change, and of those to the other placers."""
MIN_MEASURED_TOKENS: Final = 64
"""Tokens from which a run's own pace is used instead."""


class QueueClient:
    """Ask for engine memory on behalf of this instance's streams."""

    def __init__(
        self,
        state: GatewayState,
        service: QueueService,
        *,
        roles: Callable[[], FleetRoles],
        send: Callable[[str, GatewayMessage], None],
    ) -> None:
        """Initialize with the shared state, the own queue service, the roles and a sender."""
        self._state = state
        self._own_id = state.settings.instance_id
        self._service = service
        self._roles = roles
        self._send = send
        self._selector = PlacerSelector()
        self._answers: dict[str, Queue[QueueAnswered]] = {}

    @property
    def placer(self) -> str | None:
        """Return the instance that holds the queue; None if no placer answers."""
        roles = self._roles()
        if not roles.is_large:
            return self._own_id
        return self._selector.select(roles.placers, self._state.now())

    def acquire(
        self, asked: QueueAsked, is_canceled: Callable[[], bool]
    ) -> MemoryGranted | MemoryRefused | None:
        """Wait for engine memory; return None if no placer answers or the request is canceled."""
        while asked.request_id in self._answers:
            # Two callers use the same id. Each waits with an id of its own: of shared answers one
            # would miss some, and take the placer for silent.
            asked = replace(asked, request_id=f"{asked.request_id}+")
        answers = self._answers[asked.request_id] = Queue()
        outcome: MemoryGranted | MemoryRefused | None = None
        placers: set[str] = set()
        try:
            outcome = self._wait(asked, answers, is_canceled, placers)
        finally:
            del self._answers[asked.request_id]
            if isinstance(outcome, MemoryGranted):
                placers.discard(outcome.placer)
            for placer in placers:
                self.leave(asked.request_id, placer)
        if isinstance(outcome, MemoryGranted) and not self._roles().is_large:
            # From now on the run counts in this instance's own loads.
            self._service.ledger.remove_grant(asked.request_id)
        return outcome

    def leave(self, request_id: str, placer: str) -> None:
        """Tell a placer that a request does not wait any more, or does not use its grant."""
        left = QueueLeft(self._own_id, (request_id,))
        if placer == self._own_id:
            self._service.handle_left(left)
        else:
            self._send(placer, left)

    def handle_answer(self, answer: QueueAnswered) -> None:
        """Handle an answer of a placer; release the grant of a request that has left."""
        answers = self._answers.get(answer.request_id)
        if answers is not None:
            answers.put(answer)
        elif answer.outcome is QueueOutcome.GRANTED and not self._is_running(answer.request_id):
            self.leave(answer.request_id, answer.sender)

    def _wait(
        self,
        asked: QueueAsked,
        answers: Queue[QueueAnswered],
        is_canceled: Callable[[], bool],
        placers: set[str],
    ) -> MemoryGranted | MemoryRefused | None:
        """Ask, then repeat the question until there is a final answer.

        Add the placers that are asked to a set.
        """
        began = self._state.now()
        is_first, timeout_s = True, PLACEMENT_TIMEOUT_S
        while not is_canceled():
            now = self._state.now()
            waited_s = now - began
            if waited_s >= asked.gives_up_s:
                return None
            placer = self.placer
            if placer is None:
                return None
            placers.add(placer)
            self._ask(placer, _after(asked, waited_s))
            answer = self._next_answer(answers, timeout_s)
            if answer is None:
                self._record_silence(placer, asked.request_id)
                is_first = True
                timeout_s = PLACEMENT_TIMEOUT_S
                continue
            repeat_at = self._state.now() + REPEAT_INTERVAL_S
            while not is_canceled():
                if answer is not None:
                    if answer.outcome is QueueOutcome.GRANTED:
                        return MemoryGranted(answer.upstream_id, answer.backup_id, answer.sender)
                    if answer.outcome is QueueOutcome.REFUSED:
                        return MemoryRefused(answer.retry_after_s, answer.forecast_s)
                    if is_first:
                        is_first = False
                        self._log_queued(asked, answer)
                wait_until = min(repeat_at, began + asked.gives_up_s)
                remaining_s = wait_until - self._state.now()
                if answer is None and remaining_s <= 0:
                    break
                answer = self._next_answer(answers, min(CANCEL_CHECK_INTERVAL_S, remaining_s))
            timeout_s = REPEAT_TIMEOUT_S
        return None

    def _ask(self, placer: str, asked: QueueAsked) -> None:
        """Send a question to the placer, which may be this instance."""
        if placer == self._own_id:
            self._service.handle_asked(asked)
        else:
            self._send(placer, asked)

    def _next_answer(self, answers: Queue[QueueAnswered], timeout_s: float) -> QueueAnswered | None:
        """Return the next answer; None if there is none in time."""
        try:
            return (
                answers.get(timeout=max(0.0, timeout_s)) if timeout_s > 0 else answers.get_nowait()
            )
        except Empty:
            return None

    def _record_silence(self, placer: str, request_id: str) -> None:
        """Exclude a placer that gave no answer in time."""
        self._selector.record_timeout(placer, self._state.now())
        self._state.stats.queue_placer_changes += 1
        log_event(
            PREFIX_ROUTING,
            f"No answer about engine memory from {placer} in time",
            request=request_id,
            next=self.placer or "",
        )

    def _is_running(self, request_id: str) -> bool:
        """Return True if a stream of this instance has been sent to an engine."""
        return any(run.request_id == request_id for run in self._state.runs.all)

    def _log_queued(self, asked: QueueAsked, answer: QueueAnswered) -> None:
        """Log the place of a request that has to wait."""
        log_event(
            PREFIX_ROUTING,
            "A stream waits for engine memory",
            request=asked.request_id,
            service=asked.service,
            workspace=asked.workspace,
            rank=asked.rank,
            position=answer.position,
            # Zero where no forecast has been made yet, which is so for most first answers.
            forecast_s=round(answer.forecast_s, 3) or None,
            placer=answer.sender,
        )


class RunReporter:
    """Report this instance's runs on the engines of queued services to the placers."""

    def __init__(
        self,
        state: GatewayState,
        service: QueueService,
        client: QueueClient,
        *,
        roles: Callable[[], FleetRoles],
        send: Callable[[str, GatewayMessage], None],
    ) -> None:
        """Initialize with the shared state, the own queue service, its client and the roles."""
        self._state = state
        self._service = service
        self._client = client
        self._roles = roles
        self._send = send
        self._reported_to_all_at = float("-inf")
        self._has_reported_runs = False

    def start(self) -> None:
        """Start the reports."""
        keep_running(PREFIX_ROUTING, self._run)

    def build_report(self) -> RunsReported:
        """Return the report of all current runs."""
        table = self._state.route_table
        queued = table.queued_services if table else frozenset()
        runs = tuple(
            [self._held(run) for run in self._state.runs.all if run.upstream.service in queued]
        )
        return RunsReported(self._state.settings.instance_id, self._state.settings.zone, runs)

    def _run(self) -> None:
        """Report after each change, and at least once per interval."""
        while True:
            self._state.runs_changed.wait(REPORT_INTERVAL_S)
            table = self._state.route_table
            queued = table.queued_services if table else frozenset()
            is_busy = any(self._state.memory_load(name) >= BUSY_MEMORY_SHARE for name in queued)
            gevent.sleep(REPORT_PAUSE_S if is_busy else RELAXED_REPORT_PAUSE_S)
            self._state.runs_changed.clear()
            if queued and self._roles().is_large:
                self._report()

    def _report(self) -> None:
        """Send the runs to the current placer, and to the others once per interval."""
        report = self.build_report()
        if not report.runs and not self._has_reported_runs:
            return
        now = self._state.now()
        recipients = {self._client.placer}
        if now - self._reported_to_all_at >= REPORT_INTERVAL_S:
            self._reported_to_all_at = now
            recipients |= set(self._roles().placers)
            # All placers have to learn that the last run has ended.
            self._has_reported_runs = bool(report.runs)
        elif report.runs:
            self._has_reported_runs = True
        for recipient in recipients - {None}:
            if recipient == self._state.settings.instance_id:
                self._service.handle_runs(report)
            elif recipient is not None:
                self._send(recipient, report)

    def _held(self, run: StreamRun) -> HeldRun:
        """Return what the placer needs to know of one run."""
        remaining = self._expected_remaining_tokens(run)
        token_s = TOKEN_S
        if run.generating_s and run.tokens >= MIN_MEASURED_TOKENS:
            token_s = run.generating_s / run.tokens
        input_tokens = run.admitted.metadata.input_tokens
        prefill_tokens = 0 if run.events else input_tokens
        holder = run.backup or run.replica_target
        return HeldRun(
            request_id=run.request_id,
            upstream_id=run.upstream.upstream_id,
            held_tokens=run.held_tokens,
            remaining_tokens=int(remaining),
            prefill_tokens=prefill_tokens,
            backup_id=holder.upstream_id if holder else "",
            rank=run.admitted.verdict.waits_at_rank,
            ends_in_s=remaining * token_s + prefill_tokens / PREFILL_TOKENS_PER_S,
            has_replica=holder is not None
            and self._state.fleet.accepts_requests(holder.upstream_id),
        )

    def _expected_remaining_tokens(self, run: StreamRun) -> float:
        """Return the expected further output, given the output so far."""
        if not run.tokens:
            return float(
                self._state.expected_tokens(run.request, run.admitted.metadata.length_hint)
            )
        chances = self._state.lengths.survival_probabilities(run.request, run.tokens)
        points = tuple(zip(HORIZONS, chances, strict=True))
        return sum(
            (end - start) * (first + last) / 2
            for (start, first), (end, last) in zip(points, points[1:], strict=False)
        )


def _after(asked: QueueAsked, waited_s: float) -> QueueAsked:
    """Return a question with its durations as of some seconds later."""
    return replace(
        asked,
        waited_s=asked.waited_s + waited_s,
        start_by_s=asked.start_by_s - waited_s,
        gives_up_s=asked.gives_up_s - waited_s,
    )
