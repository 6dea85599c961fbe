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
        self.tracker = PoisonTracker()
        transport = PeerTransport(
            live=lambda: members.live,
            recipients=lambda: members.live,
            forwards=lambda: False,
            send=self._send,
            broadcast=self._broadcast,
        )
        own_id = hub.own.instance_id
        self._sharing = PoisonSharing(self.tracker, own_id, transport, now=hub.now, source=hub.rng)
        hub.on_message(BlamesTold, self._handle_peer_reports)

    def start(self) -> None:
        """Start the exchange of evidence with peers."""
        self._sharing.start()

    def build_refusal(self, fingerprint: str, ran: Ran) -> Problem | None:
        """Return the refusal of a quarantined request, or None if it can be sent."""
        verdict = self.tracker.verdict(fingerprint, self._hub.now())
        if not verdict.wait_s:
            return None
        log_event(
            PREFIX_ROUTING,
            "Request refused: runners have crashed while running it",
            fingerprint=fingerprint,
            upstreams=list(verdict.upstream_ids),
            wait_s=round(verdict.wait_s, 1),
            ran=ran.value,
        )
        detail = f"{len(verdict.upstream_ids)} runners have crashed under this request"
        return Problem(CODE_CRASHES_RUNNERS, 503, detail, ran, verdict.wait_s)

    def handle_broken_run(self, runner: Runner, fingerprint: str, *, under_way: bool) -> None:
        """Probe the runner of a broken run, and record a crash if its process has terminated.

        The first probe is synchronous so that its result is known before the request is sent to
        another runner. It takes a millisecond if nothing listens at the address any more.
        """
        at = self._hub.now()
        if _is_terminated(runner):
            self._record_crash(runner, fingerprint, Crash(runner.runner_id, at, under_way))
        else:
            gevent.spawn_later(RECHECK_DELAY_S, self._recheck, runner, fingerprint, at, under_way)

    def record_success(self, fingerprint: str) -> None:
        """Record that a request has succeeded, or that an operator has cleared it."""
        if self.tracker.record_success(fingerprint, self._hub.now()):
            self._sharing.publish_soon()

    def _recheck(self, runner: Runner, fingerprint: str, at: float, under_way: bool) -> None:
        """Probe a runner again that still accepted connections at the first probe."""
        if _is_terminated(runner):
            self._record_crash(runner, fingerprint, Crash(runner.runner_id, at, under_way))

    def _record_crash(self, runner: Runner, fingerprint: str, crash: Crash) -> None:
        """Record a crash as evidence against a request, and publish it to peers."""
        log_event(
            PREFIX_ROUTING,
            f"Runner {runner.runner_id} has crashed during a run of this instance",
            fingerprint=fingerprint,
        )
        if self.tracker.record_crash(fingerprint, crash):
            verdict = self.tracker.verdict(fingerprint, self._hub.now())
            if verdict.wait_s:
                log_quarantine(fingerprint, verdict)
            self.tracker.forget_expired(self._hub.now())
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


def request_fingerprint(context: RequestContext) -> str:
    """Return a hash of a request's method, path, workspace and body, in hexadecimal."""
    head = (context.method, context.path, context.workspace)
    return fingerprint(*(part.encode() for part in head), context.body)


def _is_terminated(runner: Runner) -> bool:
    """Return whether connections to a runner's address are refused."""
    try:
        fetch_report(runner)
    except UpstreamError as fault:
        return fault.refused
    return False
