"""Request grants from group owners for the requests of this entry, and report progress to them."""

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
"""Interval at which a pending Ask is resent; owners handle it idempotently."""
PROGRESS_INSTANCES: Final = 16
"""Fleet size up to which progress is reported every PROGRESS_PERIOD_S; above it the interval grows
in proportion to the size."""
KEEPALIVE_S: Final = 5.0
"""Interval at which open grants are reported even without progress."""
GrantResult = Granted | Refused


@dataclass(slots=True)
class EntryGrant:
    """State of one open or pending grant at the entry."""

    ask: Ask
    owner: str
    result: AsyncResult[GrantResult]
    runner_id: str = ""
    produced: int = 0
    reported: int = 0
    paused: bool = False


class GrantClient:
    """Track the open and pending grants of this instance's requests."""

    def __init__(
        self, hub: Hub, members: MembershipService, fleet: FleetService, ownership: Ownership
    ) -> None:
        """Initialize without grants and register the message handlers."""
        self._hub = hub
        self._members = members
        self._fleet = fleet
        self._ownership = ownership
        self._entry_grants: dict[str, EntryGrant] = {}
        self._keepalive_at = 0.0
        self._progress_at = 0.0
        hub.on_members(self._handle_owner_changes)
        for message_type in (Granted, Refused):
            hub.on_message(message_type, self._handle_answer)
        hub.on_message(YieldAsked, self._handle_yield_request)
        hub.on_message(ResumeAsked, self._handle_resume_request)

    def start(self) -> None:
        """Start the periodic progress reports."""
        self._hub.run_periodically(PROGRESS_PERIOD_S, self._report_progress, PREFIX_ADMISSION)

    def acquire(
        self,
        request: Request,
        verdict: Verdict,
        ticket: str,
        avoid: frozenset[str],
        should_keep_waiting: Callable[[], bool],
    ) -> Granted | Problem | None:
        """Wait for a grant; return it, a problem, or None once should_keep_waiting() is False."""
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
            if not should_keep_waiting():
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
        """Build the caller's problem from an owner's refusal, with a signed ticket."""
        ticket = None
        if refused.ticket:
            text = f"{refused.ticket}|{request.workspace}|{request.asked_at:.3f}"
            ticket = sign(self._hub.key, text)
        status = 503 if refused.code == CODE_NO_RUNNER else 429
        return Problem(
            refused.code, status, refused.reason, Ran.NOT_RUN, refused.retry_after_s, ticket
        )

    def _ask(self, grant: EntryGrant) -> None:
        """Send an Ask to the group's current owner, and withdraw it from a former one."""
        owner = self._ownership.owner_for(grant.ask.group)
        if grant.owner and owner != grant.owner:
            self._hub.send(grant.owner, Close(grant.ask.group, self._request_id(grant), 0, False))
        grant.owner = owner
        if owner:
            self._hub.send(owner, grant.ask)

    @staticmethod
    def _request_id(grant: EntryGrant) -> str:
        """Return the id of the grant's request."""
        return grant.ask.request.request_id

    def is_paused(self, request_id: str) -> bool:
        """Return whether a generation has yielded and is paused."""
        grant = self._entry_grants.get(request_id)
        return grant is not None and grant.paused

    def record_progress(self, request_id: str, produced: int) -> None:
        """Record the number of tokens produced, which is reported to the owner in batches."""
        grant = self._entry_grants.get(request_id)
        if grant is not None:
            grant.produced = produced

    def close(
        self, request_id: str, produced: int, finished: bool, reply: PrefixMark | None
    ) -> None:
        """Close a grant at its owner."""
        grant = self._entry_grants.pop(request_id, None)
        if grant is None:
            return
        message = Close(grant.ask.group, request_id, produced, finished, reply)
        self._hub.send(grant.owner, message)

    def _handle_answer(self, _: str, message: GrantResult) -> None:
        """Handle an owner's answer to an Ask."""
        grant = self._entry_grants.get(message.request_id)
        if grant is None:
            self._close_late_grant(message)
        elif not grant.result.ready():
            grant.result.set(message)

    def _close_late_grant(self, message: GrantResult) -> None:
        """Close a grant that arrived after its request had ended."""
        if isinstance(message, Refused):
            return
        for group, runners in self._fleet.groups.items():
            if any(runner.runner_id == message.runner_id for runner in runners):
                self._hub.send(
                    self._ownership.owner_for(group), Close(group, message.request_id, 0, False)
                )

    def _handle_yield_request(self, _: str, message: YieldAsked) -> None:
        """Pause a generation on its engine."""
        grant = self._entry_grants.get(message.request_id)
        runner = self._fleet.runners.get(message.runner_id)
        if grant is None or runner is None:
            return
        log_event(PREFIX_YIELDING, f"Pausing request {message.request_id}: {message.reason}")
        grant.paused = True
        self._hub.stats.yields += 1
        gevent.spawn(control, runner, message.request_id, "pause")

    def _handle_resume_request(self, _: str, message: ResumeAsked) -> None:
        """Resume a paused generation at its owner's request."""
        grant = self._entry_grants.get(message.request_id)
        if grant is None:
            return
        log_event(PREFIX_YIELDING, f"Resuming request {message.request_id}: {message.reason}")
        self._resume_generation(grant)

    def _resume_generation(self, grant: EntryGrant) -> None:
        """Resume a paused generation on its engine."""
        grant.paused = False
        runner = self._fleet.runners.get(grant.runner_id)
        if runner is not None:
            gevent.spawn(control, runner, self._request_id(grant), "resume")

    def _report_progress(self) -> None:
        """Report the progress of open generations to their owners, in one batch per owner."""
        period_factor = len(self._members.live) / PROGRESS_INSTANCES
        if self._hub.now() - self._progress_at < PROGRESS_PERIOD_S * (period_factor - 1):
            # Each entry reports to every owner, so a large fleet reports less often.
            return
        self._progress_at = self._hub.now()
        batches: dict[str, list[Progress]] = {}
        report_all = self._hub.now() - self._keepalive_at >= KEEPALIVE_S
        if report_all:
            self._keepalive_at = self._hub.now()
        for request_id, grant in self._entry_grants.items():
            if grant.produced > grant.reported or (report_all and grant.runner_id):
                grant.reported = grant.produced
                item = Progress(grant.ask.group, request_id, grant.produced)
                batches.setdefault(grant.owner, []).append(item)
        for owner, items in batches.items():
            self._hub.send(owner, ProgressBatch(tuple(items)))

    def _handle_owner_changes(self) -> None:
        """Announce open grants to their new owners, and resend pending Asks to them."""
        for grant in list(self._entry_grants.values()):
            owner = self._ownership.owner_for(grant.ask.group)
            if not owner or owner == grant.owner:
                continue
            if not grant.runner_id:
                self._ask(grant)
                continue
            if grant.paused:
                # The new owner does not know that the generation is paused.
                self._resume_generation(grant)
            grant.owner = owner
            ask = grant.ask
            message = Announce(
                ask.group, ask.entry, ask.request, ask.verdict, grant.runner_id, grant.produced
            )
            self._hub.send(owner, message)


def with_request_id(request: Request, request_id: str) -> Request:
    """Return the request with the id of one attempt."""
    return replace(request, request_id=request_id)
