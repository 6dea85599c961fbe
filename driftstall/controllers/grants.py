"""Admission control and scheduling for one group of runners.

The group's owner runs the controller; an entry is the instance that a caller is connected
to. Rank 0, the first rank, has the highest priority. A state machine without I/O: it takes
events and the time, and returns actions. The daemon and the load measurements run this same
code. Nothing is persisted: a new owner rebuilds the state from the announcements of the
entries.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Final

from driftstall.const import CODE_LIMITED, CODE_NO_RUNNER, CODE_REFUSED
from driftstall.controllers.grant_messages import (
    Announce,
    Ask,
    CacheEvents,
    Close,
    EntryLost,
    GrantAction,
    Granted,
    GrantEvent,
    Progress,
    Refused,
    ResumeAsked,
    RunnerReport,
    RunnersChanged,
    RunnersLimited,
    Tick,
    YieldAsked,
)
from driftstall.controllers.grant_state import OpenGrant, RunnerState
from driftstall.controllers.rank_queues import RankQueues, WorkspaceLimits
from driftstall.controllers.runner_registry import RunnerRegistry
from driftstall.core import Request, Verdict, Weights
from driftstall.decisions.fairness import FairQueue, WaitingRequest
from driftstall.decisions.isolation import LONG_PREFILL_TOKENS, LongPrefillSet, RunnerLoad
from driftstall.decisions.lengths import LengthModel
from driftstall.decisions.memory import MemoryForecast, forecast_request, quantile
from driftstall.decisions.retry_schedule import (
    RESERVATION_GRACE_S,
    retry_after,
)
from driftstall.decisions.routing import Choice, RunnerView, choose
from driftstall.decisions.yielding import Candidate, choose_victim

PREEMPTION_WAIT_S: Final = 0.4
"""How long a first-rank request waits before a lower rank is preempted."""
PREEMPTION_INTERVAL_S: Final = 1.0
"""Minimum time between two preemptions on one runner."""
GRANT_TIMEOUT_S: Final = 15.0
"""A grant without progress reports for this long is closed: its Close message was lost."""
GRANT_TIMEOUT_CHECK_S: Final = 1.0
MAX_PENDING_PREFILL: Final = 16_000
"""Maximum prefill tokens granted and not yet computed on one runner."""
LEARNING_EVENTS: Final = (Progress, CacheEvents, RunnerReport)
"""Events that free no capacity: they update estimates, which the next tick uses."""


class GrantsController:
    """Admit, queue, place, preempt and refuse requests for one group of runners."""

    def __init__(
        self,
        group: str,
        lengths: LengthModel,
        source: random.Random,
        *,
        weights: Weights | None = None,
        overflow: float = 0.01,
        certain: bool = False,
    ) -> None:
        """Initialize without runners.

        source: random source for the jitter of retry times.
        overflow: accepted probability that a runner's memory overflows.
        certain: output lengths are exact or worst-case, so no safety margin is added.
        """
        self.group = group
        self._lengths = lengths
        self._source = source
        self._weights = weights or Weights()
        self._certain = certain
        self._registry = RunnerRegistry(lengths, 0.0 if certain else quantile(overflow))
        self._runners = self._registry.runners
        self._queues = RankQueues()
        self._grants: dict[str, OpenGrant] = {}
        self._paused: dict[str, OpenGrant] = {}
        self._limits = WorkspaceLimits()
        self._long_set = LongPrefillSet()
        self._long_prefill_waiting_since: float | None = None
        self._long_prefill_max_wait_s = 0.0
        self._last_timeout_check_at = 0.0
        self._actions: list[GrantAction] = []
        # Looking up a singledispatchmethod on each call costs more than most events do.
        self._handler: Callable[[GrantEvent, float], None] = self._handle_event

    @property
    def waiting(self) -> int:
        """Return the number of queued requests."""
        return len(self._queues)

    @property
    def open_grants(self) -> int:
        """Return the number of open grants."""
        return len(self._grants)

    @property
    def runners(self) -> dict[str, RunnerState]:
        """Return the state of each runner by id."""
        return self._runners

    def configure(self, weights: Weights, overflow: float) -> None:
        """Apply the weights and the overflow bound of a new policy."""
        self._weights = weights
        if not self._certain:
            self._registry.deviations = quantile(overflow)

    def load(self, now: float) -> float:
        """Return the forecast share of the group's memory in use, from 0 to 1."""
        return self._registry.load(now)

    def handle(self, event: GrantEvent, now: float) -> list[GrantAction]:
        """Apply one event and return the resulting actions."""
        self._actions = []
        self._handler(event, now)
        if not isinstance(event, LEARNING_EVENTS):
            self._expire(now)
            self._dispatch(now, resize=isinstance(event, Tick))
        return self._actions

    # Events

    @singledispatchmethod
    def _handle_event(self, event: GrantEvent, now: float) -> None:
        """Apply one event to the state."""
        raise TypeError(f"no handler for {type(event).__name__}")

    @_handle_event.register
    def _(self, event: Ask, now: float) -> None:
        request, verdict = event.request, event.verdict
        if request.request_id in self._queues:
            return
        open_grant = self._grants.get(request.request_id)
        if open_grant is not None:
            # The reply was lost: a repeated Ask must not open a second grant.
            self._actions.append(
                Granted(
                    event.entry,
                    request.request_id,
                    open_grant.runner_id,
                    verdict.rank,
                    "granted before",
                )
            )
            return
        output = self._lengths.expected_tokens(request)
        cost = request.input_tokens + output
        had_reservation = self._queues.release_place(verdict.rank, event.ticket)
        if not self._runners:
            self._refuse(event.entry, request, CODE_NO_RUNNER, 2.0, "", "no runner is live")
            return
        limited_s = self._limits.reserve(request, verdict, cost, now)
        if limited_s > 0:
            reason = f"workspace {request.workspace} is over its token limit"
            self._refuse(event.entry, request, CODE_LIMITED, limited_s, "", reason)
            return
        if verdict.rank == 0:
            self._registry.record_first_rank_arrival(cost, now)
        wait_s = 0.0 if had_reservation else self._queues.forecast(request, verdict, cost, now)
        if verdict.may_refuse and wait_s > verdict.wait_s:
            self._limits.settle(request, cost, 0.0)
            self._refuse_with_reservation(event.entry, request, verdict, cost, wait_s, now)
            return
        forecast = forecast_request(self._lengths, request, 0)
        item = WaitingRequest(
            event.entry, request, verdict, cost, now, output, forecast, event.avoid
        )
        self._queues.push(item)

    @_handle_event.register
    def _(self, event: Announce, now: float) -> None:
        runner = self._runners.get(event.runner_id)
        if runner is None or event.request.request_id in self._grants:
            return
        grant = OpenGrant(event.entry, event.request, event.verdict, event.runner_id, now, 0)
        grant.produced = event.produced
        grant.running_since = now
        addition = forecast_request(self._lengths, event.request, event.produced)
        self._open(runner, grant, addition, now)

    @_handle_event.register
    def _(self, event: Progress, now: float) -> None:
        grant = self._grants.get(event.request_id)
        if grant is None:
            return
        grant.last_report_at = now
        if event.produced <= grant.produced:
            return
        self._lengths.record_progress(grant.request, grant.produced, event.produced)
        grant.produced = event.produced

    @_handle_event.register
    def _(self, event: Close, now: float) -> None:
        item = self._queues.discard(event.request_id)
        if item is not None:
            self._limits.settle(item.request, item.cost, 0.0)
            return
        grant = self._grants.pop(event.request_id, None)
        if grant is None:
            return
        self._close(grant, event, now)

    @_handle_event.register
    def _(self, event: RunnerReport, now: float) -> None:
        runner = self._runners.get(event.runner_id)
        if runner is not None:
            runner.apply_report(event.used_tokens, event.memory_tokens)

    @_handle_event.register
    def _(self, event: CacheEvents, now: float) -> None:
        runner = self._runners.get(event.runner_id)
        if runner is None:
            return
        for digest in event.evicted:
            runner.prefixes.evict(digest)
        for prefix in event.stored:
            runner.prefixes.store(prefix)

    @_handle_event.register
    def _(self, event: RunnersChanged, now: float) -> None:
        wanted = {runner_id for runner_id, _, _ in event.runners}
        for runner_id in [known for known in self._runners if known not in wanted]:
            self._drain_runner(self._registry.retire_runner(runner_id), now)
        for runner_id, memory, zone in event.runners:
            self._registry.add_runner(runner_id, memory, zone, now)

    @_handle_event.register
    def _(self, event: RunnersLimited, now: float) -> None:
        limits = dict(event.limits)
        for runner in self._runners.values():
            runner.set_rate_limit(limits.get(runner.runner_id), now)

    def _drain_runner(self, runner: RunnerState, now: float) -> None:
        """Resume the paused generations of a leaving runner, so that they can end there."""
        for request_id, grant in runner.grants.items():
            if grant.paused:
                self._registry.resume(grant, now)
                del self._paused[request_id]
                reason = "its runner is leaving"
                self._actions.append(ResumeAsked(grant.entry, request_id, grant.runner_id, reason))

    @_handle_event.register
    def _(self, event: EntryLost, now: float) -> None:
        lost = [grant_id for grant_id, grant in self._grants.items() if grant.entry == event.entry]
        lost += self._queues.requests_of_entry(event.entry)
        for request_id in lost:
            self._handle_event(Close(self.group, request_id, 0, finished=False), now)

    @_handle_event.register
    def _(self, event: Tick, now: float) -> None:
        """Refresh due forecasts and close grants without recent progress reports."""
        self._registry.refresh_due(now)
        if now - self._last_timeout_check_at < GRANT_TIMEOUT_CHECK_S:
            return
        self._last_timeout_check_at = now
        for request_id, grant in list(self._grants.items()):
            if now - grant.last_report_at >= GRANT_TIMEOUT_S:
                self._handle_event(Close(self.group, request_id, 0, finished=False), now)

    # Admission

    def _refuse_with_reservation(
        self, entry: str, request: Request, verdict: Verdict, cost: float, wait_s: float, now: float
    ) -> None:
        """Refuse a request with a retry time, and reserve its place in the queue until then."""
        after = retry_after(wait_s, self._source)
        ticket = request.request_id
        until = now + after + RESERVATION_GRACE_S
        self._queues.reserve_place(verdict.rank, ticket, request.workspace, cost, until)
        reason = f"{self.waiting} wait, the forecast wait is {wait_s:.1f} s"
        self._refuse(entry, request, CODE_REFUSED, after, ticket, reason)

    def _refuse(
        self, entry: str, request: Request, code: str, after: float, ticket: str, reason: str
    ) -> None:
        """Add a refusal to the actions."""
        self._actions.append(Refused(entry, request.request_id, code, after, ticket, reason))

    def _expire(self, now: float) -> None:
        """Refuse the queued requests whose maximum wait has passed."""
        for item in self._queues.pop_expired(now):
            self._limits.settle(item.request, item.cost, 0.0)
            wait_s = self._queues.forecast(item.request, item.verdict, item.cost, now)
            self._refuse_with_reservation(
                item.entry, item.request, item.verdict, item.cost, wait_s, now
            )

    # Placement

    def _dispatch(self, now: float, *, resize: bool) -> None:
        """Grant queued requests that fit, best rank first."""
        self._long_prefill_waiting_since = None
        self._grant_all(now)
        if resize and self._resize_long_set(now):
            self._grant_all(now)

    def _resize_long_set(self, now: float) -> bool:
        """Resize the set of runners for long prefills by load; return True if it grew."""
        if not self._long_set.is_enabled(self._weights):
            return False
        loads = [
            RunnerLoad(
                runner.runner_id,
                runner.memory,
                runner.forecast.means[0] / max(1, runner.memory),
                runner.long_prompt_tokens,
                runner.first_rank,
            )
            for runner in self._runners.values()
        ]
        waited = (
            None
            if self._long_prefill_waiting_since is None
            else now - self._long_prefill_waiting_since
        )
        return self._long_set.update(
            loads, waited, self._long_prefill_max_wait_s, self._weights, now
        )

    def _grant_all(self, now: float) -> None:
        """Grant in order of rank until a request has to wait."""
        if self._paused:
            self._resume(now)
        for rank, queue in self._queues.by_rank():
            while len(queue) and self._grant_next(queue, now):
                pass
            if len(queue):
                if rank == 0:
                    self._preempt_for(queue, now)
                return

    def _grant_next(self, queue: FairQueue, now: float) -> bool:
        """Grant the first request in fair order that fits; return False if none does."""
        for item in queue.candidates():
            choice = self._place(item, now)
            if choice is None:
                continue
            self._queues.serve(item, now)
            self._grant(item, choice, now)
            return True
        return False

    def _place(self, item: WaitingRequest, now: float) -> Choice | None:
        """Choose a runner with room for a request; return None if there is none."""
        request, rank = item.request, item.verdict.rank
        headroom = self._registry.headroom(rank, now)
        own_peak = item.forecast.peak(self._registry.deviations)
        members = self._long_set.members
        isolate = rank > 0 and self._long_set.is_enabled(self._weights)
        views = []
        is_isolated = False
        for runner in self._runners.values():
            if runner.runner_id in item.avoid and len(self._runners) > len(item.avoid):
                continue
            if not runner.can_start(now):
                continue
            limit = runner.memory - headroom - runner.unaccounted_tokens
            if not self._registry.has_room(runner, item.forecast, own_peak, limit, now):
                continue
            uncached = request.input_tokens - runner.prefixes.match(request.prefix)
            if isolate and uncached >= LONG_PREFILL_TOKENS and runner.runner_id not in members:
                is_isolated = True
                continue
            pending = runner.decay_pending_prefill(now)
            if rank > 0 and pending > 0 and pending + uncached > MAX_PENDING_PREFILL:
                continue
            fill = runner.forecast.means[0] / runner.memory
            views.append(
                RunnerView(
                    runner.runner_id,
                    uncached,
                    pending,
                    runner.first_rank,
                    fill,
                    remote=False,
                    long_prefills=runner.runner_id in members,
                )
            )
        if is_isolated and not views:
            self._record_long_prefill_wait(item)
        return choose(
            views,
            self._weights,
            first_rank=rank == 0,
            output=item.output,
        )

    def _record_long_prefill_wait(self, item: WaitingRequest) -> None:
        """Record since when the oldest long prompt has waited for a runner of the set."""
        if (
            self._long_prefill_waiting_since is None
            or item.since < self._long_prefill_waiting_since
        ):
            self._long_prefill_waiting_since = item.since
            self._long_prefill_max_wait_s = item.verdict.wait_s

    def _grant(self, item: WaitingRequest, choice: Choice, now: float) -> None:
        """Open a grant and notify the entry."""
        runner = self._runners[choice.runner_id]
        request = item.request
        cached = runner.prefixes.touch(request.prefix)
        uncached = request.input_tokens - cached
        grant = OpenGrant(item.entry, request, item.verdict, runner.runner_id, now, cached)
        grant.reserved = item.cost
        grant.running_since = now
        self._open(runner, grant, item.forecast, now)
        runner.record_start(item.verdict.rank, now)
        runner.pending_prefill = runner.decay_pending_prefill(now) + uncached
        reason = (
            f"cost {choice.cost:.3f} of {len(self._runners)} runners, "
            f"{uncached} of {request.input_tokens} tokens to prefill"
        )
        self._actions.append(
            Granted(item.entry, request.request_id, runner.runner_id, item.verdict.rank, reason)
        )

    def _open(
        self, runner: RunnerState, grant: OpenGrant, addition: MemoryForecast, now: float
    ) -> None:
        """Add a grant and its memory forecast to a runner's state."""
        request_id = grant.request.request_id
        grant.last_report_at = now
        self._grants[request_id] = grant
        self._registry.add(runner, grant, addition, now)

    def _close(self, grant: OpenGrant, event: Close, now: float) -> None:
        """Release a grant's memory and update the length model with its output."""
        self._paused.pop(event.request_id, None)
        if event.produced > grant.produced:
            self._lengths.record_progress(grant.request, grant.produced, event.produced)
        if event.finished:
            self._lengths.record_finish(grant.request, event.produced)
        used = grant.request.input_tokens + event.produced
        self._limits.settle(grant.request, grant.reserved, used)
        reply = (event.reply,) if event.reply else ()
        self._registry.remove(grant, (*grant.request.prefix, *reply) if event.finished else ())

    # Preemption

    def _preempt_for(self, queue: FairQueue, now: float) -> None:
        """Preempt a lower-rank generation if the first rank has waited too long."""
        item = next(queue.candidates())
        if now - item.since < PREEMPTION_WAIT_S:
            return
        runners = [
            runner
            for runner in self._runners.values()
            if now - runner.last_preemption_at >= PREEMPTION_INTERVAL_S
        ]
        candidates = [
            self._candidate(grant, now) for runner in runners for grant in runner.grants.values()
        ]
        victim = choose_victim(candidates, item.verdict.rank)
        if victim is None:
            return
        grant = self._grants[victim.grant_id]
        self._registry.pause(grant, now)
        self._paused[victim.grant_id] = grant
        reason = f"rank {item.verdict.rank} has waited {now - item.since:.1f} s"
        self._actions.append(YieldAsked(grant.entry, victim.grant_id, grant.runner_id, reason))

    def _candidate(self, grant: OpenGrant, now: float) -> Candidate:
        """Return a grant as a candidate for preemption."""
        held = grant.held_tokens
        ahead = 64
        chance = self._lengths.survival_probability(grant.request, grant.produced, ahead)
        remaining = 0.0 if grant.paused else self._lengths.expected_tokens(grant.request) * chance
        return Candidate(
            grant.request.request_id,
            grant.verdict.rank,
            grant.verdict.may_yield and not grant.paused,
            held,
            held,
            max(remaining, ahead * 2.0 * chance),
            grant.preemptions,
            now - grant.running_since,
        )

    def _resume(self, now: float) -> None:
        """Resume paused generations that fit, best rank and oldest first."""
        blocked = self._queues.first_waiting_rank
        order = sorted(self._paused.items(), key=lambda pair: (pair[1].verdict.rank, pair[1].since))
        for request_id, grant in order:
            runner = self._runners.get(grant.runner_id)
            if runner is None or grant.verdict.rank > blocked:
                continue
            addition = forecast_request(self._lengths, grant.request, grant.produced)
            limit = runner.memory - self._registry.headroom(grant.verdict.rank, now)
            if not runner.forecast.fits(addition, self._registry.deviations, limit):
                continue
            self._registry.resume(grant, now)
            del self._paused[request_id]
            reason = "there is room again"
            self._actions.append(ResumeAsked(grant.entry, request_id, grant.runner_id, reason))
