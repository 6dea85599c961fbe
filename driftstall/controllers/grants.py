"""Grant engines to requests: the state an owner keeps for its group of runners.

Pure: events and the time go in, actions come out. The daemon and the measuring
driver run this same code. Nothing is kept: a new owner rebuilds the state from
the entries' announcements.
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
from driftstall.decisions.fairness import FairQueue, Waiting
from driftstall.decisions.isolation import LONG_PREFILL, LongPrefillSet, RunnerLoad
from driftstall.decisions.lengths import LengthModel
from driftstall.decisions.memory import Hold, hold_of, quantile
from driftstall.decisions.retry_schedule import (
    GRACE_S,
    retry_after,
)
from driftstall.decisions.routing import Choice, RunnerView, choose
from driftstall.decisions.yielding import Candidate, choose_victim

YIELD_WAIT_S: Final = 0.4
"""How long the first rank waits before a lower rank is asked to yield."""
YIELD_SPACING_S: Final = 1.0
"""Seconds between two yields asked of one runner."""
GRANT_TIMEOUT_S: Final = 15.0
"""A grant of which its entry says nothing for so long has ended; its close was lost."""
GRANT_TIMEOUT_CHECK_S: Final = 1.0
MAX_PENDING_PREFILL: Final = 16_000
"""Prefill tokens granted and not done on one runner, in tokens."""
LEARNING_EVENTS: Final = (Progress, CacheEvents, RunnerReport)
"""Events that free nothing; the next tick uses what they taught."""


class GrantsController:
    """Admit, queue, place, yield and refuse for one group of runners."""

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
        """Start without runners.

        certain: the lengths are known or worst-case, so no deviation is added.
        """
        self.group = group
        self._lengths = lengths
        self._source = source
        self._weights = weights or Weights()
        self._certain = certain
        self._registry = RunnerRegistry(lengths, 0.0 if certain else quantile(overflow))
        self._runners = self._registry.runners
        self._queues_by_rank = RankQueues()
        self._grants: dict[str, OpenGrant] = {}
        self._paused: dict[str, OpenGrant] = {}
        self._limits = WorkspaceLimits()
        self._long_set = LongPrefillSet()
        self._long_prefill_waiting_since: float | None = None
        self._long_prefill_max_wait_s = 0.0
        self._last_silence_check_at = 0.0
        self._actions: list[GrantAction] = []
        # Looking a dispatching method up anew costs more than most events do.
        self._handler: Callable[[GrantEvent, float], None] = self._apply

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._queues_by_rank)

    @property
    def open_grants(self) -> int:
        """Return how many grants are open."""
        return len(self._grants)

    @property
    def runners(self) -> dict[str, RunnerState]:
        """Return the runners' states by id."""
        return self._runners

    def configure(self, weights: Weights, overflow: float) -> None:
        """Take over the weights and the bound of a new policy."""
        self._weights = weights
        if not self._certain:
            self._registry.deviations = quantile(overflow)

    def load(self, now: float) -> float:
        """Return the forecast share of memory in use, from 0 to 1."""
        return self._registry.load(now)

    def handle(self, event: GrantEvent, now: float) -> list[GrantAction]:
        """Take one event and return the actions it leads to."""
        self._actions = []
        self._handler(event, now)
        if not isinstance(event, LEARNING_EVENTS):
            self._expire(now)
            self._dispatch(now, resize=isinstance(event, Tick))
        return self._actions

    # Events

    @singledispatchmethod
    def _apply(self, event: GrantEvent, now: float) -> None:
        """Apply one event to the state."""
        raise TypeError(f"no handler for {type(event).__name__}")

    @_apply.register
    def _(self, event: Ask, now: float) -> None:
        request, verdict = event.request, event.verdict
        if request.request_id in self._queues_by_rank:
            return
        open_grant = self._grants.get(request.request_id)
        if open_grant is not None:
            # The answer was lost on the way; asking again must not open a second grant.
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
        output = self._lengths.expected(request)
        cost = request.input_tokens + output
        returned = self._queues_by_rank.release_place(verdict.rank, event.ticket)
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
        wait_s = 0.0 if returned else self._queues_by_rank.forecast(request, verdict, cost, now)
        if verdict.may_refuse and wait_s > verdict.wait_s:
            self._limits.settle(request, cost, 0.0)
            self._refuse_with_reservation(event.entry, request, verdict, cost, wait_s, now)
            return
        hold = hold_of(self._lengths, request, 0)
        item = Waiting(event.entry, request, verdict, cost, now, output, hold, event.avoid)
        self._queues_by_rank.push(item)

    @_apply.register
    def _(self, event: Announce, now: float) -> None:
        runner = self._runners.get(event.runner_id)
        if runner is None or event.request.request_id in self._grants:
            return
        grant = OpenGrant(event.entry, event.request, event.verdict, event.runner_id, now, 0)
        grant.produced = event.produced
        grant.running_since = now
        addition = hold_of(self._lengths, event.request, event.produced)
        self._open(runner, grant, addition, now)

    @_apply.register
    def _(self, event: Progress, now: float) -> None:
        grant = self._grants.get(event.request_id)
        if grant is None:
            return
        grant.last_report_at = now
        if event.produced <= grant.produced:
            return
        self._lengths.progressed(grant.request, grant.produced, event.produced)
        grant.produced = event.produced

    @_apply.register
    def _(self, event: Close, now: float) -> None:
        item = self._queues_by_rank.discard(event.request_id)
        if item is not None:
            self._limits.settle(item.request, item.cost, 0.0)
            return
        grant = self._grants.pop(event.request_id, None)
        if grant is None:
            return
        self._close(grant, event, now)

    @_apply.register
    def _(self, event: RunnerReport, now: float) -> None:
        runner = self._runners.get(event.runner_id)
        if runner is not None:
            runner.apply_report(event.used_tokens, event.memory_tokens)

    @_apply.register
    def _(self, event: CacheEvents, now: float) -> None:
        runner = self._runners.get(event.runner_id)
        if runner is None:
            return
        for digest in event.evicted:
            runner.prefixes.evict(digest)
        for prefix in event.stored:
            runner.prefixes.store(prefix)

    @_apply.register
    def _(self, event: RunnersChanged, now: float) -> None:
        wanted = {runner_id for runner_id, _, _ in event.runners}
        for runner_id in [one for one in self._runners if one not in wanted]:
            self._drain_runner(self._registry.retire_runner(runner_id), now)
        for runner_id, memory, zone in event.runners:
            self._registry.add_runner(runner_id, memory, zone, now)

    @_apply.register
    def _(self, event: RunnersLimited, now: float) -> None:
        limits = dict(event.limits)
        for runner in self._runners.values():
            runner.set_rate_limit(limits.get(runner.runner_id), now)

    def _drain_runner(self, runner: RunnerState, now: float) -> None:
        """Give a leaving runner no new work, but let what has yielded there end."""
        for request_id, grant in runner.grants.items():
            if grant.paused:
                self._registry.resume(grant, now)
                del self._paused[request_id]
                reason = "its runner is leaving"
                self._actions.append(ResumeAsked(grant.entry, request_id, grant.runner_id, reason))

    @_apply.register
    def _(self, event: EntryLost, now: float) -> None:
        lost = [one for one, grant in self._grants.items() if grant.entry == event.entry]
        lost += self._queues_by_rank.requests_of_entry(event.entry)
        for request_id in lost:
            self._apply(Close(self.group, request_id, 0, finished=False), now)

    @_apply.register
    def _(self, event: Tick, now: float) -> None:
        """Let time pass: renew forecasts, end grants whose entry has long been silent."""
        self._registry.refresh_due(now)
        if now - self._last_silence_check_at < GRANT_TIMEOUT_CHECK_S:
            return
        self._last_silence_check_at = now
        for request_id, grant in list(self._grants.items()):
            if now - grant.last_report_at >= GRANT_TIMEOUT_S:
                self._apply(Close(self.group, request_id, 0, finished=False), now)

    # Admission

    def _refuse_with_reservation(
        self, entry: str, request: Request, verdict: Verdict, cost: float, wait_s: float, now: float
    ) -> None:
        """Refuse, say when to come back and keep a place until then."""
        after = retry_after(wait_s, self._source)
        ticket = request.request_id
        until = now + after + GRACE_S
        self._queues_by_rank.reserve_place(verdict.rank, ticket, request.workspace, cost, until)
        reason = f"{self.waiting} wait, the forecast wait is {wait_s:.1f} s"
        self._refuse(entry, request, CODE_REFUSED, after, ticket, reason)

    def _refuse(
        self, entry: str, request: Request, code: str, after: float, ticket: str, reason: str
    ) -> None:
        """Add a refusal to the actions."""
        self._actions.append(Refused(entry, request.request_id, code, after, ticket, reason))

    def _expire(self, now: float) -> None:
        """Refuse at once what has waited as long as the policy allows."""
        for item in self._queues_by_rank.pop_expired(now):
            self._limits.settle(item.request, item.cost, 0.0)
            wait_s = self._queues_by_rank.forecast(item.request, item.verdict, item.cost, now)
            self._refuse_with_reservation(
                item.entry, item.request, item.verdict, item.cost, wait_s, now
            )

    # Placement

    def _dispatch(self, now: float, *, resize: bool) -> None:
        """Grant what has room, best rank first."""
        self._long_prefill_waiting_since = None
        self._grant_all(now)
        if resize and self._resize_long_set(now):
            self._grant_all(now)

    def _resize_long_set(self, now: float) -> bool:
        """Let the set of runners for long prefills follow the load; return if it grew."""
        if not self._long_set.applies(self._weights):
            return False
        loads = [
            RunnerLoad(
                one.runner_id,
                one.memory,
                one.hold.means[0] / max(1, one.memory),
                one.long_prompt_tokens,
                one.first_rank,
            )
            for one in self._runners.values()
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
        """Grant in order of rank until one has to wait."""
        if self._paused:
            self._resume(now)
        for rank, queue in self._queues_by_rank.queues_by_rank():
            while len(queue) and self._grant_next(queue, now):
                pass
            if len(queue):
                if rank == 0:
                    self._yield_for(queue, now)
                return

    def _grant_next(self, queue: FairQueue, now: float) -> bool:
        """Grant the first request in fair order that has room."""
        for item in queue.candidates():
            choice = self._place(item, now)
            if choice is None:
                continue
            self._queues_by_rank.serve(item, now)
            self._grant(item, choice, now)
            return True
        return False

    def _place(self, item: Waiting, now: float) -> Choice | None:
        """Choose a runner with room, or none."""
        request, rank = item.request, item.verdict.rank
        headroom = self._registry.headroom(rank, now)
        own_peak = item.hold.peak(self._registry.deviations)
        members = self._long_set.members
        isolate = rank > 0 and self._long_set.applies(self._weights)
        views = []
        closed = False
        for runner in self._runners.values():
            if runner.runner_id in item.avoid and len(self._runners) > len(item.avoid):
                continue
            if not runner.can_start(now):
                continue
            limit = runner.memory - headroom - runner.unaccounted_tokens
            if not self._registry.has_room(runner, item.hold, own_peak, limit, now):
                continue
            uncached = request.input_tokens - runner.prefixes.match(request.prefix)
            if isolate and uncached >= LONG_PREFILL and runner.runner_id not in members:
                closed = True
                continue
            pending = runner.decay_pending_prefill(now)
            if rank > 0 and pending > 0 and pending + uncached > MAX_PENDING_PREFILL:
                continue
            fill = runner.hold.means[0] / runner.memory
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
        if closed and not views:
            self._record_long_prefill_wait(item)
        return choose(
            views,
            self._weights,
            first_rank=rank == 0,
            output=item.output,
        )

    def _record_long_prefill_wait(self, item: Waiting) -> None:
        """Note how long the oldest long prompt has waited for a runner of the set."""
        if (
            self._long_prefill_waiting_since is None
            or item.since < self._long_prefill_waiting_since
        ):
            self._long_prefill_waiting_since = item.since
            self._long_prefill_max_wait_s = item.verdict.wait_s

    def _grant(self, item: Waiting, choice: Choice, now: float) -> None:
        """Open a grant and tell the entry."""
        runner = self._runners[choice.runner_id]
        request = item.request
        shared = runner.prefixes.touch(request.prefix)
        uncached = request.input_tokens - shared
        grant = OpenGrant(item.entry, request, item.verdict, runner.runner_id, now, shared)
        grant.reserved = item.cost
        grant.running_since = now
        self._open(runner, grant, item.hold, now)
        runner.record_start(item.verdict.rank, now)
        runner.pending_prefill = runner.decay_pending_prefill(now) + uncached
        reason = (
            f"cost {choice.cost:.3f} of {len(self._runners)} runners, "
            f"{uncached} of {request.input_tokens} tokens to prefill"
        )
        self._actions.append(
            Granted(item.entry, request.request_id, runner.runner_id, item.verdict.rank, reason)
        )

    def _open(self, runner: RunnerState, grant: OpenGrant, addition: Hold, now: float) -> None:
        """Add a grant, and the memory it is forecast to hold, to a runner's state."""
        request_id = grant.request.request_id
        grant.last_report_at = now
        self._grants[request_id] = grant
        self._registry.add(runner, grant, addition, now)

    def _close(self, grant: OpenGrant, event: Close, now: float) -> None:
        """Free a grant's memory and learn from its length."""
        self._paused.pop(event.request_id, None)
        if event.produced > grant.produced:
            self._lengths.progressed(grant.request, grant.produced, event.produced)
        if event.finished:
            self._lengths.finished(grant.request, event.produced)
        used = grant.request.input_tokens + event.produced
        self._limits.settle(grant.request, grant.reserved, used)
        reply = (event.reply,) if event.reply else ()
        self._registry.remove(grant, (*grant.request.prefix, *reply) if event.finished else ())

    # Yielding

    def _yield_for(self, queue: FairQueue, now: float) -> None:
        """Let a lower rank yield when the first rank has waited too long."""
        item = next(queue.candidates())
        if now - item.since < YIELD_WAIT_S:
            return
        runners = [
            one for one in self._runners.values() if now - one.last_yield_at >= YIELD_SPACING_S
        ]
        candidates = [
            self._candidate(grant, now) for one in runners for grant in one.grants.values()
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
        """Describe a grant as one that could yield."""
        held = grant.held_tokens
        ahead = 64
        chance = self._lengths.keeps_going(grant.request, grant.produced, ahead)
        remaining = 0.0 if grant.paused else self._lengths.expected(grant.request) * chance
        return Candidate(
            grant.request.request_id,
            grant.verdict.rank,
            grant.verdict.may_yield and not grant.paused,
            held,
            held,
            max(remaining, ahead * 2.0 * chance),
            grant.yields,
            now - grant.running_since,
        )

    def _resume(self, now: float) -> None:
        """Resume paused generations where there is room, best rank and oldest first."""
        blocked = self._queues_by_rank.first_waiting_rank
        order = sorted(self._paused.items(), key=lambda pair: (pair[1].verdict.rank, pair[1].since))
        for request_id, grant in order:
            runner = self._runners.get(grant.runner_id)
            if runner is None or grant.verdict.rank > blocked:
                continue
            addition = hold_of(self._lengths, grant.request, grant.produced)
            limit = runner.memory - self._registry.headroom(grant.verdict.rank, now)
            if not runner.hold.fits(addition, self._registry.deviations, limit):
                continue
            self._registry.resume(grant, now)
            del self._paused[request_id]
            reason = "there is room again"
            self._actions.append(ResumeAsked(grant.entry, request_id, grant.runner_id, reason))
