"""Ask owners for grants, as an entry, and keep them informed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Final

import gevent
from gevent.event import AsyncResult

from driftstall.const import CODE_NO_RUNNER, PREFIX_ADMISSION, PREFIX_YIELDING
from driftstall.controllers.grant_messages import (
    Announce,
    Ask,
    Close,
    Granted,
    Progress,
    Refused,
    ResumeAsked,
    YieldAsked,
)
from driftstall.core import PrefixMark, Problem, Ran, Request, Verdict
from driftstall.daemon.fleet_service import FleetService
from driftstall.daemon.hub import Hub
from driftstall.daemon.membership_service import MembershipService
from driftstall.daemon.ownership import Ownership
from driftstall.helpers.log import log_event
from driftstall.peers.messages import ProgressBatch
from driftstall.runners.engine import control
from driftstall.util.signing import sign

PROGRESS_PERIOD_S: Final = 0.25
ASK_RESEND_S: Final = 1.0
"""An ask is sent again this often while it waits; owners take it once."""
PROGRESS_INSTANCES: Final = 16
"""Up to so many instances progress is reported each period; then less often."""
KEEPALIVE_S: Final = 5.0
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


class GrantClient:
    """Hold the grants, and the waits for them, of this instance's requests."""

    def __init__(
        self, hub: Hub, members: MembershipService, fleet: FleetService, ownership: Ownership
    ) -> None:
        """Start without requests."""
        self._hub = hub
        self._members = members
        self._fleet = fleet
        self._ownership = ownership
        self._entry_grants: dict[str, EntryGrant] = {}
        self._keepalive_at = 0.0
        self._progress_at = 0.0
        hub.on_members(self._handle_owner_changes)
        for answer in (Granted, Refused):
            hub.on_message(answer, self._handle_answer)
        hub.on_message(YieldAsked, self._handle_yield_request)
        hub.on_message(ResumeAsked, self._handle_resume_request)

    def start(self) -> None:
        """Start to report progress."""
        self._hub.run_periodically(PROGRESS_PERIOD_S, self._report_progress, PREFIX_ADMISSION)

    def acquire(
        self,
        request: Request,
        verdict: Verdict,
        ticket: str,
        avoid: frozenset[str],
        keep_waiting: Callable[[], bool],
    ) -> Granted | Problem | None:
        """Wait for a grant; none if the caller no longer waits."""
        group = self._ownership.group_for(request.model, request.workspace)
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
            if self._hub.now() - asked_at >= ASK_RESEND_S:
                asked_at = self._hub.now()
                self._ask(grant)
            grant.result.wait(timeout=0.1)
        result = grant.result.get()
        if isinstance(result, Granted):
            grant.runner_id = result.runner_id
            return result
        del self._entry_grants[request.request_id]
        return self._build_problem(result, request)

    def _build_problem(self, refused: Refused, request: Request) -> Problem:
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
        owner = self._ownership.owner_for(grant.ask.group)
        if grant.owner and owner != grant.owner:
            self._hub.send(grant.owner, Close(grant.ask.group, self._request_id(grant), 0, False))
        grant.owner = owner
        if owner:
            self._hub.send(owner, grant.ask)

    @staticmethod
    def _request_id(grant: EntryGrant) -> str:
        """Return the grant's id."""
        return grant.ask.request.request_id

    def is_paused(self, request_id: str) -> bool:
        """Tell whether a generation has yielded."""
        grant = self._entry_grants.get(request_id)
        return grant is not None and grant.paused

    def record_progress(self, request_id: str, produced: int) -> None:
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

    def _handle_answer(self, _: str, message: GrantResult) -> None:
        """Take an owner's answer."""
        grant = self._entry_grants.get(message.request_id)
        if grant is None:
            self._close_late_grant(message)
        elif not grant.result.ready():
            grant.result.set(message)

    def _close_late_grant(self, message: GrantResult) -> None:
        """Give back a grant that nobody waits for any more."""
        if isinstance(message, Refused):
            return
        for group, runners in self._fleet.groups.items():
            if any(one.runner_id == message.runner_id for one in runners):
                self._hub.send(
                    self._ownership.owner_for(group), Close(group, message.request_id, 0, False)
                )

    def _handle_yield_request(self, _: str, message: YieldAsked) -> None:
        """Pause a generation on its engine."""
        grant = self._entry_grants.get(message.request_id)
        runner = self._fleet.runners.get(message.runner_id)
        if grant is None or runner is None:
            return
        log_event(PREFIX_YIELDING, f"Request {message.request_id} yields: {message.reason}")
        grant.paused = True
        self._hub.stats.yields += 1
        gevent.spawn(control, runner, message.request_id, "pause")

    def _handle_resume_request(self, _: str, message: ResumeAsked) -> None:
        """Take an owner's word that a paused generation may go on."""
        grant = self._entry_grants.get(message.request_id)
        if grant is None:
            return
        log_event(PREFIX_YIELDING, f"Request {message.request_id} goes on: {message.reason}")
        self._resume_generation(grant)

    def _resume_generation(self, grant: EntryGrant) -> None:
        """Resume a paused generation on its engine."""
        grant.paused = False
        runner = self._fleet.runners.get(grant.runner_id)
        if runner is not None:
            gevent.spawn(control, runner, self._request_id(grant), "resume")

    def _report_progress(self) -> None:
        """Report the progress of open generations to their owners."""
        spread = len(self._members.live) / PROGRESS_INSTANCES
        if self._hub.now() - self._progress_at < PROGRESS_PERIOD_S * (spread - 1):
            # Each entry speaks to every owner: in a large fleet less often.
            return
        self._progress_at = self._hub.now()
        batches: dict[str, list[Progress]] = {}
        everything = self._hub.now() - self._keepalive_at >= KEEPALIVE_S
        if everything:
            self._keepalive_at = self._hub.now()
        for request_id, grant in self._entry_grants.items():
            if grant.produced > grant.reported or (everything and grant.runner_id):
                grant.reported = grant.produced
                item = Progress(grant.ask.group, request_id, grant.produced)
                batches.setdefault(grant.owner, []).append(item)
        for owner, items in batches.items():
            self._hub.send(owner, ProgressBatch(tuple(items)))

    def _handle_owner_changes(self) -> None:
        """Announce open grants, and ask again, where the owner has changed."""
        for grant in list(self._entry_grants.values()):
            owner = self._ownership.owner_for(grant.ask.group)
            if not owner or owner == grant.owner:
                continue
            if not grant.runner_id:
                self._ask(grant)
                continue
            if grant.paused:
                # The next owner does not know that it has yielded.
                self._resume_generation(grant)
            grant.owner = owner
            ask = grant.ask
            message = Announce(
                ask.group, ask.entry, ask.request, ask.verdict, grant.runner_id, grant.produced
            )
            self._hub.send(owner, message)


def with_request_id(request: Request, request_id: str) -> Request:
    """Return a request under the id of one attempt."""
    return replace(request, request_id=request_id)
