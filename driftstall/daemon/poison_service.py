"""Hold crashes of runners against the requests that ran there, and refuse what crashes them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import gevent

from driftstall.const import CODE_CRASHES_RUNNERS, PREFIX_ROUTING
from driftstall.core import Instance, Problem, Ran, Runner
from driftstall.daemon.hub import Hub
from driftstall.daemon.membership_service import MembershipService
from driftstall.decisions.poison_detection import Crash, PoisonTracker
from driftstall.exceptions import UpstreamError
from driftstall.filters.context import RequestContext
from driftstall.helpers.log import log_event
from driftstall.helpers.poison_sharing import PeerTransport, PoisonSharing, log_quarantine
from driftstall.peers.blame_messages import BlamesTold
from driftstall.runners.engine import fetch_report
from driftstall.util.fingerprint import fingerprint

RECHECK_DELAY_S: Final = 0.15
"""Pause after which a runner that still listened is asked once more."""


class PoisonService:
    """Know which requests have crashed runners, here and at peers."""

    def __init__(self, hub: Hub, members: MembershipService) -> None:
        """Start with nothing."""
        self._hub = hub
        self._members = members
        self.tracker = PoisonTracker()
        others = PeerTransport(
            live=lambda: members.live,
            recipients=lambda: members.live,
            forwards=lambda: False,
            send=self._send,
            broadcast=self._broadcast,
        )
        own_id = hub.own.instance_id
        self._sharing = PoisonSharing(self.tracker, own_id, others, now=hub.now, source=hub.rng)
        hub.on_message(BlamesTold, self._handle_peer_reports)

    def start(self) -> None:
        """Start to exchange with peers."""
        self._sharing.start()

    def build_refusal(self, fingerprint: str, ran: Ran) -> Problem | None:
        """Return the problem to answer with, where a request is to be sent to no runner now."""
        verdict = self.tracker.verdict(fingerprint, self._hub.now())
        if not verdict.wait_s:
            return None
        log_event(
            PREFIX_ROUTING,
            "A request is not sent on: runners have crashed under it",
            fingerprint=fingerprint,
            upstreams=list(verdict.upstream_ids),
            wait_s=round(verdict.wait_s, 1),
            ran=ran.value,
        )
        detail = f"{len(verdict.upstream_ids)} runners have crashed under this request"
        return Problem(CODE_CRASHES_RUNNERS, 503, detail, ran, verdict.wait_s)

    def handle_broken_run(self, runner: Runner, fingerprint: str, *, under_way: bool) -> None:
        """Find out whether a run broke off because its runner has crashed.

        The first look is waited for: a further send is to know of it. It takes a millisecond where
        nobody listens any more.
        """
        at = self._hub.now()
        if _is_terminated(runner):
            self._record_crash(runner, fingerprint, Crash(runner.runner_id, at, under_way))
        else:
            gevent.spawn_later(RECHECK_DELAY_S, self._recheck, runner, fingerprint, at, under_way)

    def record_success(self, fingerprint: str) -> None:
        """Take in that a request has ended well, or that an operator clears it."""
        if self.tracker.record_success(fingerprint, self._hub.now()):
            self._sharing.publish_soon()

    def _recheck(self, runner: Runner, fingerprint: str, at: float, under_way: bool) -> None:
        """Ask a runner once more that still listened."""
        if _is_terminated(runner):
            self._record_crash(runner, fingerprint, Crash(runner.runner_id, at, under_way))

    def _record_crash(self, runner: Runner, fingerprint: str, crash: Crash) -> None:
        """Hold a crash against a request, and tell peers."""
        log_event(
            PREFIX_ROUTING,
            f"Runner {runner.runner_id} has crashed with a run of this instance",
            fingerprint=fingerprint,
        )
        if self.tracker.record_crash(fingerprint, crash):
            verdict = self.tracker.verdict(fingerprint, self._hub.now())
            if verdict.wait_s:
                log_quarantine(fingerprint, verdict)
            self.tracker.forget_expired(self._hub.now())
            self._sharing.publish_soon()

    def _handle_peer_reports(self, _: str, message: BlamesTold) -> None:
        """Take in what a peer knows."""
        self._sharing.handle_message(message)

    def _send(self, recipient: str, message: BlamesTold) -> None:
        """Send to one instance."""
        self._hub.send(recipient, message)

    def _broadcast(self, recipients: Iterable[Instance], message: BlamesTold) -> None:
        """Send to all but this instance."""
        for one in recipients:
            if one.instance_id != self._hub.own.instance_id:
                self._hub.send(one.instance_id, message)


def request_fingerprint(context: RequestContext) -> str:
    """Return what stands for a request's path, caller and body, as hexadecimal digits."""
    head = (context.method, context.path, context.workspace)
    return fingerprint(*(one.encode() for one in head), context.body)


def _is_terminated(runner: Runner) -> bool:
    """Tell whether nobody listens at a runner's address any more."""
    try:
        fetch_report(runner)
    except UpstreamError as fault:
        return fault.refused
    return False
