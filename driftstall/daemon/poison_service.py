"""Attribute runner crashes to the requests that ran there, and quarantine poison requests."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import gevent

from driftstall.const import CODE_CRASHES_RUNNERS, PREFIX_ROUTING
from driftstall.core import Instance, Problem, Ran, Runner
from driftstall.daemon.hub import Hub
from driftstall.daemon.membership_service import MembershipService
from driftstall.decisions.poison_detection import PoisonTracker
from driftstall.decisions.poison_evidence import Crash
from driftstall.decisions.poison_subjects import PoisonSubjects, is_part
from driftstall.decisions.poison_trials import trial_delay_s
from driftstall.exceptions import UpstreamError
from driftstall.filters.context import RequestContext
from driftstall.helpers.log import log_event
from driftstall.helpers.poison_sharing import PeerTransport, PoisonSharing, log_quarantine
from driftstall.peers.blame_messages import BlamesTold
from driftstall.runners.engine import fetch_report
from driftstall.util.fingerprint import fingerprint

RECHECK_DELAY_S: Final = 0.15
"""Delay before the second probe of a runner that still accepted connections at the first."""


class PoisonService:
    """Track the requests that have crashed runners, and share the evidence with peers."""

    def __init__(self, hub: Hub, members: MembershipService) -> None:
        """Initialize without evidence."""
        self._hub = hub
        self._members = members
        own_id = hub.own.instance_id
        self.tracker = PoisonTracker(
            lambda subject: trial_delay_s(
                subject, own_id, [peer.instance_id for peer in members.live]
            )
        )
        transport = PeerTransport(
            live=lambda: members.live,
            recipients=lambda: members.live,
            forwards=lambda: False,
            send=self._send,
            broadcast=self._broadcast,
        )
        self._sharing = PoisonSharing(self.tracker, own_id, transport, now=hub.now, source=hub.rng)
        hub.on_message(BlamesTold, self._handle_peer_reports)

    def start(self) -> None:
        """Start the exchange of evidence with peers."""
        self._sharing.start()

    def build_refusal(self, subjects: PoisonSubjects, ran: Ran) -> Problem | None:
        """Return the refusal of a quarantined request, or None if it can be sent."""
        verdict = self.tracker.request_verdict(subjects, self._hub.now())
        if not verdict.wait_s:
            return None
        log_event(
            PREFIX_ROUTING,
            "Request refused: runners have crashed while running it",
            fingerprint=subjects.request,
            subject=verdict.subject,
            upstreams=list(verdict.upstream_ids),
            wait_s=round(verdict.wait_s, 1),
            ran=ran.value,
        )
        piece = "a part of this prompt" if is_part(verdict.subject) else "this request"
        detail = f"{len(verdict.upstream_ids)} runners have crashed under {piece}"
        return Problem(CODE_CRASHES_RUNNERS, 503, detail, ran, verdict.wait_s)

    def handle_broken_run(
        self, runner: Runner, subjects: PoisonSubjects, *, under_way: bool
    ) -> None:
        """Probe the runner of a broken run, and record a crash if its process has terminated.

        The first probe is synchronous so that its result is known before the request is sent to
        another runner. It takes a millisecond if nothing listens at the address any more.
        """
        crash = Crash(runner.runner_id, self._hub.now(), under_way)
        if _is_terminated(runner):
            self._record_crash(subjects, crash)
        else:
            gevent.spawn_later(RECHECK_DELAY_S, self._recheck, runner, subjects, crash)

    def record_success(self, subjects: PoisonSubjects) -> None:
        """Record that a request has succeeded."""
        self._exonerate(subjects.all)

    def record_progress(self, subjects: PoisonSubjects) -> None:
        """Record that a run is producing tokens: its messages crash nothing when they begin."""
        self._exonerate(subjects.parts)

    def clear(self, subject: str) -> None:
        """Clear a subject by an operator's order."""
        self._exonerate((subject,))

    def _exonerate(self, subjects: Iterable[str]) -> None:
        """Record a success of some subjects, and publish it if crashes count against one."""
        now = self._hub.now()
        if any([self.tracker.record_success(subject, now) for subject in subjects]):
            self._sharing.publish_soon()

    def _recheck(self, runner: Runner, subjects: PoisonSubjects, crash: Crash) -> None:
        """Probe a runner again that still accepted connections at the first probe."""
        if _is_terminated(runner):
            self._record_crash(subjects, crash)

    def _record_crash(self, subjects: PoisonSubjects, crash: Crash) -> None:
        """Record a crash as evidence against a request and its parts, and publish it to peers."""
        log_event(
            PREFIX_ROUTING,
            f"Runner {crash.upstream_id} has crashed during a run of this instance",
            fingerprint=subjects.request,
            parts=subjects.parts,
        )
        now = self._hub.now()
        self.tracker.record_run_crash(subjects, crash)
        for subject in subjects.all:
            verdict = self.tracker.verdict(subject, now)
            if verdict.wait_s:
                log_quarantine(subject, verdict)
        self.tracker.forget_expired(now)
        self._sharing.publish_soon()

    def _handle_peer_reports(self, _: str, message: BlamesTold) -> None:
        """Merge a peer's evidence."""
        self._sharing.handle_message(message)

    def _send(self, recipient: str, message: BlamesTold) -> None:
        """Send a message to one instance."""
        self._hub.send(recipient, message)

    def _broadcast(self, recipients: Iterable[Instance], message: BlamesTold) -> None:
        """Send a message to all recipients except this instance."""
        for instance in recipients:
            if instance.instance_id != self._hub.own.instance_id:
                self._hub.send(instance.instance_id, message)


def request_subjects(context: RequestContext) -> PoisonSubjects:
    """Return the subjects of a request: itself, and the messages of its prompt."""
    head = (context.method, context.path, context.workspace)
    request = fingerprint(*(part.encode() for part in head), context.body)
    messages = context.payload["messages"] if context.payload else ()
    ids = [
        fingerprint(message["role"].encode(), message["content"].encode()) for message in messages
    ]
    return PoisonSubjects.from_prompt(request, ids)


def _is_terminated(runner: Runner) -> bool:
    """Return whether connections to a runner's address are refused."""
    try:
        fetch_report(runner)
    except UpstreamError as fault:
        return fault.refused
    return False
