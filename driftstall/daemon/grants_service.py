"""Run the grants: ask owners as an entry, and own groups of runners."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Final

import gevent
from gevent.event import AsyncResult

from driftstall.const import (
    CODE_NO_RUNNER,
    PREFIX_ADMISSION,
    PREFIX_ROUTING,
    PREFIX_YIELDING,
)
from driftstall.controllers.configuration import ConfigDocument
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
    Tick,
    YieldAsked,
)
from driftstall.controllers.grants import GrantsController
from driftstall.core import PrefixMark, Problem, Ran, Request, Verdict
from driftstall.daemon.config_service import ConfigService
from driftstall.daemon.fleet_service import POLL_PERIOD_S, FleetService
from driftstall.daemon.hub import Hub
from driftstall.daemon.membership_service import MembershipService
from driftstall.decisions.locate import owner_of, weight
from driftstall.helpers.log import say
from driftstall.helpers.trace import TraceRecorder, build_controller
from driftstall.peers.messages import ProgressBatch
from driftstall.runners.engine import control
from driftstall.util.signing import sign

TICK_S: Final = 0.05
PROGRESS_S: Final = 0.25
ASK_AGAIN_S: Final = 1.0
"""An ask is sent again this often while it waits; owners take it once."""
PROGRESS_INSTANCES: Final = 16
"""Up to so many instances progress is reported each period; then less often."""
SIGN_OF_LIFE_S: Final = 5.0
"""An open grant is reported this often even without progress."""
GrantResult = Granted | Refused


@dataclass(slots=True)
class EntryGrant:
    """Hold one grant, or the wait for one, as the entry sees it."""

    ask: Ask
    owner: str
    result: AsyncResult[GrantResult]
    runner_id: str = ""
    produced: int = 0
    reported: int = 0
    paused: bool = False


class GrantsService:
    """Ask for grants and give them."""

    def __init__(
        self, hub: Hub, members: MembershipService, config: ConfigService, fleet: FleetService
    ) -> None:
        """Start owning nothing."""
        self._hub = hub
        self._members = members
        self._config = config
        self._fleet = fleet
        self._owned: dict[str, GrantsController] = {}
        self._entry_grants: dict[str, EntryGrant] = {}
        self._known: set[str] = set()
        self._owners: dict[str, str] = {}
        self._signed_at = 0.0
        self._progress_at = 0.0
        self._trace: TraceRecorder | None = None
        if hub.settings.trace:
            self._trace = TraceRecorder.to_path(hub.settings.trace)
        hub.on_config(self._configured)
        hub.on_members(self._reconsider)
        for kind in (Ask, Announce, Close):
            hub.on_message(kind, self._owner_event)
        hub.on_message(ProgressBatch, self._progress_batch)
        for answer in (Granted, Refused):
            hub.on_message(answer, self._answered)
        hub.on_message(YieldAsked, self._yield_asked)
        hub.on_message(ResumeAsked, self._resume_asked)

    @property
    def owned(self) -> dict[str, GrantsController]:
        """Return the controllers of the groups owned here."""
        return self._owned

    def start(self) -> None:
        """Start the periodic work."""
        self._hub.every(TICK_S, self._tick, PREFIX_ADMISSION)
        self._hub.every(PROGRESS_S, self._report_progress, PREFIX_ADMISSION)
        self._hub.every(POLL_PERIOD_S, self._poll, PREFIX_ROUTING)

    def load(self) -> float:
        """Return the forecast share of memory in use, in groups owned here."""
        now = self._hub.now()
        shares = [one.load(now) for one in self._owned.values()]
        return sum(shares) / len(shares) if shares else 0.0

    def owner_for(self, group: str) -> str:
        """Return the owner of a group, or empty; known until an instance changes."""
        if group not in self._owners:
            self._owners[group] = self._rank_owner(group)
        return self._owners[group]

    def _rank_owner(self, group: str) -> str:
        """Rank the instances for a group."""
        runners = self._fleet.groups.get(group, ())
        zone = runners[0].zone if runners else ""
        owner = owner_of(group, self._members.live, zone)
        return owner.instance_id if owner else ""

    def owners_for(self, workspace: str) -> frozenset[str]:
        """Return the owners of the groups that serve a workspace best."""
        models = {one.model for one in self._fleet.runners.values() if one.model}
        groups = [self._group_for(model, workspace) for model in models]
        return frozenset(self.owner_for(group) for group in groups if group)

    def _group_for(self, model: str, workspace: str) -> str:
        """Return the group of a model that holds a workspace's prefixes."""
        groups = self._fleet.groups_for(model)
        return max(groups, key=lambda group: weight(workspace, group), default="")

    # Entry

    def acquire(
        self,
        request: Request,
        verdict: Verdict,
        ticket: str,
        avoid: frozenset[str],
        keep_waiting: Callable[[], bool],
    ) -> Granted | Problem | None:
        """Wait for a grant; none if the caller no longer waits."""
        group = self._group_for(request.model, request.workspace)
        if not group:
            detail = f"no runner serves the model {request.model}"
            return Problem(CODE_NO_RUNNER, 404, detail, Ran.NOT_RUN)
        own = self._hub.own.instance_id
        ask = Ask(group, own, request, verdict, ticket, tuple(avoid))
        grant = EntryGrant(ask, "", AsyncResult())
        self._entry_grants[request.request_id] = grant
        asked_at = -1e9
        while not grant.result.ready():
            if not keep_waiting():
                return None
            if self._hub.now() - asked_at >= ASK_AGAIN_S:
                asked_at = self._hub.now()
                self._ask(grant)
            grant.result.wait(timeout=0.1)
        result = grant.result.get()
        if isinstance(result, Granted):
            grant.runner_id = result.runner_id
            return result
        del self._entry_grants[request.request_id]
        return self._problem(result, request)

    def _problem(self, refused: Refused, request: Request) -> Problem:
        """Turn an owner's refusal into the caller's problem."""
        ticket = None
        if refused.ticket:
            text = f"{refused.ticket}|{request.workspace}|{request.asked_at:.3f}"
            ticket = sign(self._hub.key, text)
        status = 503 if refused.code == CODE_NO_RUNNER else 429
        return Problem(
            refused.code, status, refused.reason, Ran.NOT_RUN, refused.retry_after_s, ticket
        )

    def _ask(self, grant: EntryGrant) -> None:
        """Send an ask to the group's present owner."""
        owner = self.owner_for(grant.ask.group)
        if grant.owner and owner != grant.owner:
            self._hub.send(grant.owner, Close(grant.ask.group, self._id(grant), 0, False))
        grant.owner = owner
        if owner:
            self._hub.send(owner, grant.ask)

    @staticmethod
    def _id(grant: EntryGrant) -> str:
        """Return the grant's id."""
        return grant.ask.request.request_id

    def is_paused(self, request_id: str) -> bool:
        """Tell whether a generation has yielded."""
        grant = self._entry_grants.get(request_id)
        return grant is not None and grant.paused

    def progress(self, request_id: str, produced: int) -> None:
        """Note how far a generation is; it is reported in batches."""
        grant = self._entry_grants.get(request_id)
        if grant is not None:
            grant.produced = produced

    def close(
        self, request_id: str, produced: int, finished: bool, reply: PrefixMark | None
    ) -> None:
        """Give a grant back."""
        grant = self._entry_grants.pop(request_id, None)
        if grant is None:
            return
        message = Close(grant.ask.group, request_id, produced, finished, reply)
        self._hub.send(grant.owner, message)

    def _answered(self, _: str, message: GrantResult) -> None:
        """Take an owner's answer."""
        grant = self._entry_grants.get(message.request_id)
        if grant is None:
            self._return_late(message)
        elif not grant.result.ready():
            grant.result.set(message)

    def _return_late(self, message: GrantResult) -> None:
        """Give back a grant that nobody waits for any more."""
        if isinstance(message, Refused):
            return
        for group, runners in self._fleet.groups.items():
            if any(one.runner_id == message.runner_id for one in runners):
                self._hub.send(self.owner_for(group), Close(group, message.request_id, 0, False))

    def _yield_asked(self, _: str, message: YieldAsked) -> None:
        """Pause a generation on its engine."""
        grant = self._entry_grants.get(message.request_id)
        runner = self._fleet.runners.get(message.runner_id)
        if grant is None or runner is None:
            return
        say(PREFIX_YIELDING, f"Request {message.request_id} yields: {message.reason}")
        grant.paused = True
        self._hub.stats.yields += 1
        gevent.spawn(control, runner, message.request_id, "pause")

    def _resume_asked(self, _: str, message: ResumeAsked) -> None:
        """Resume a paused generation on its engine."""
        grant = self._entry_grants.get(message.request_id)
        runner = self._fleet.runners.get(message.runner_id)
        if grant is None or runner is None:
            return
        say(PREFIX_YIELDING, f"Request {message.request_id} goes on: {message.reason}")
        grant.paused = False
        gevent.spawn(control, runner, message.request_id, "resume")

    def _report_progress(self) -> None:
        """Report the progress of open generations to their owners."""
        spread = len(self._members.live) / PROGRESS_INSTANCES
        if self._hub.now() - self._progress_at < PROGRESS_S * (spread - 1):
            # Each entry speaks to every owner: in a large fleet less often.
            return
        self._progress_at = self._hub.now()
        batches: dict[str, list[Progress]] = {}
        everything = self._hub.now() - self._signed_at >= SIGN_OF_LIFE_S
        if everything:
            self._signed_at = self._hub.now()
        for request_id, grant in self._entry_grants.items():
            if grant.produced > grant.reported or (everything and grant.runner_id):
                grant.reported = grant.produced
                item = Progress(grant.ask.group, request_id, grant.produced)
                batches.setdefault(grant.owner, []).append(item)
        for owner, items in batches.items():
            self._hub.send(owner, ProgressBatch(tuple(items)))

    def _announce_moved(self) -> None:
        """Announce open grants, and ask again, where the owner has changed."""
        for grant in list(self._entry_grants.values()):
            owner = self.owner_for(grant.ask.group)
            if not owner or owner == grant.owner:
                continue
            if not grant.runner_id:
                self._ask(grant)
                continue
            grant.owner = owner
            ask = grant.ask
            message = Announce(
                ask.group, ask.entry, ask.request, ask.verdict, grant.runner_id, grant.produced
            )
            self._hub.send(owner, message)

    # Owner

    def _controller(self, group: str) -> GrantsController | None:
        """Return the controller of a group, building it if the group exists."""
        found = self._owned.get(group)
        if found is not None or group not in self._fleet.groups:
            return found
        controller = build_controller(group)
        self._owned[group] = controller
        self._set_runners(group, controller)
        self._set_policy(controller)
        say(PREFIX_ADMISSION, f"This instance grants for group {group}")
        return controller

    def _set_runners(self, group: str, controller: GrantsController) -> None:
        """Tell a controller which runners may get work."""
        runners = tuple(
            (one.runner_id, one.memory_tokens, one.zone)
            for one in self._fleet.groups[group]
            if self._fleet.may_get_work(one.runner_id)
        )
        self._run(controller, RunnersChanged(group, runners))

    def _set_policy(self, controller: GrantsController) -> None:
        """Tell a controller the policy's weights and bound."""
        policy = self._config.policy
        if policy is not None:
            controller.configure(policy.weights, policy.overflow)
            if self._trace is not None:
                self._trace.configured(controller.group, policy.weights, policy.overflow)

    def _configured(self, _: ConfigDocument) -> None:
        """Take over a new policy."""
        for controller in self._owned.values():
            self._set_policy(controller)

    def _owner_event(self, _: str, message: Ask | Announce | Close) -> None:
        """Take an entry's event as the owner."""
        controller = self._controller(message.group)
        if controller is not None:
            self._run(controller, message)

    def _progress_batch(self, _: str, message: ProgressBatch) -> None:
        """Take an entry's progress as the owner."""
        for item in message.items:
            controller = self._owned.get(item.group)
            if controller is not None:
                self._run(controller, item)

    def _tick(self) -> None:
        """Let time pass in all owned groups."""
        for controller in list(self._owned.values()):
            self._run(controller, Tick())

    def _poll(self) -> None:
        """Fetch reports for all owned groups."""
        jobs = [gevent.spawn(self._fleet.poll, group, self._polled) for group in self._owned]
        gevent.joinall(jobs)

    def _polled(self, event: RunnerReport | CacheEvents) -> None:
        """Take a runner's report or cache events as the owner."""
        controller = self._owned.get(event.group)
        if controller is not None:
            self._run(controller, event)

    def _reconsider(self) -> None:
        """Take over and give up groups after a change among instances or runners."""
        self._owners.clear()
        own = self._hub.own.instance_id
        live = {one.instance_id for one in self._members.live}
        lost = self._known - live
        self._known = live
        for group in list(self._owned):
            controller = self._owned[group]
            if group not in self._fleet.groups:
                del self._owned[group]
                continue
            for entry in lost:
                self._run(controller, EntryLost(entry))
            self._set_runners(group, controller)
            if self.owner_for(group) != own and not controller.open_grants + controller.waiting:
                del self._owned[group]
        for group in self._fleet.groups:
            if self.owner_for(group) == own:
                self._controller(group)
        self._announce_moved()

    def _run(self, controller: GrantsController, event: GrantEvent) -> None:
        """Hand an event to a controller and send what it answers."""
        now = self._hub.now()
        actions = controller.handle(event, now)
        if self._trace is not None:
            self._trace.handled(controller.group, event, now, actions)
        for action in actions:
            self._log(action, controller.group)
            if isinstance(action, Granted):
                # The reason of a grant is for this log; it need not travel.
                action = replace(action, reason="")
            self._hub.send(action.entry, action)

    def _log(self, action: GrantAction, group: str) -> None:
        """Write the line for one decision."""
        request_id = action.request_id
        if isinstance(action, Granted):
            sentence = f"Request {request_id} goes to {action.runner_id}: {action.reason}"
            say(PREFIX_ROUTING, sentence, group=group, runner=action.runner_id)
        elif isinstance(action, Refused):
            sentence = (
                f"Request {request_id} is refused, back in {action.retry_after_s:.1f} s: "
                f"{action.reason}"
            )
            say(PREFIX_ADMISSION, sentence, group=group, code=action.code)
        else:
            verb = "is asked to yield" if isinstance(action, YieldAsked) else "may go on"
            say(PREFIX_YIELDING, f"Request {request_id} {verb}: {action.reason}", group=group)


def with_id(request: Request, request_id: str) -> Request:
    """Return a request under the id of one attempt."""
    return replace(request, request_id=request_id)
