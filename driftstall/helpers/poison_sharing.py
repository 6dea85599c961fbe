"""Exchange of poison evidence between instances: which requests were running during crashes.

Changes are published at once: to all instances in a small fleet, through the collectors in a large
one. Anti-entropy covers instances that were partitioned or have just started: each instance
periodically exchanges its evidence with a random peer, and a new one requests it from several.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

import gevent
from gevent.event import Event

from driftstall.const import PREFIX_ROUTING
from driftstall.core import Instance
from driftstall.decisions.poison_detection import PoisonTracker
from driftstall.decisions.poison_evidence import PoisonReport
from driftstall.decisions.poison_subjects import is_part
from driftstall.decisions.poison_verdict import Verdict
from driftstall.helpers.log import log_event
from driftstall.helpers.tasks import keep_running
from driftstall.peers.blame_messages import BlamesTold

BATCH_DELAY_S: Final = 0.01
"""Changes within this time are sent together, as a crash interrupts many runs at once."""
EXCHANGE_INTERVAL_S: Final = 2.0
"""Interval of exchanges while there is evidence: an instance that was partitioned must have it
within three seconds of its return."""
STARTUP_S: Final = 5.0
"""Time after its start in which an instance requests evidence from peers, even without its own."""
STARTUP_EXCHANGE_INTERVAL_S: Final = 0.5
STARTUP_EXCHANGE_PEERS: Final = 2
"""Peers that a new instance asks at a time; one of them may be new as well, or dead."""


@dataclass(frozen=True, slots=True)
class PeerTransport:
    """Functions that list the other instances and send to them."""

    live: Callable[[], tuple[Instance, ...]]
    """Returns the live instances, which may include this one."""
    recipients: Callable[[], Iterable[Instance]]
    """Returns the instances to which changes are published at once."""
    forwards: Callable[[], bool]
    """Returns True if this instance forwards the evidence of other instances."""
    send: Callable[[str, BlamesTold], None]
    broadcast: Callable[[Iterable[Instance], BlamesTold], None]


def _ignore(_: str) -> None:
    """Ignore a quarantined subject."""


class PoisonSharing:
    """Exchange poison evidence with peers."""

    def __init__(
        self,
        tracker: PoisonTracker,
        own_id: str,
        transport: PeerTransport,
        *,
        now: Callable[[], float],
        source: random.Random,
        on_quarantined: Callable[[str], None] = _ignore,
    ) -> None:
        """Initialize with the evidence, this instance's id, the peers and a monotonic clock.

        The callable on_quarantined takes a subject that a peer's evidence has quarantined together
        with a crash noticed here.
        """
        self._tracker = tracker
        self._own_id = own_id
        self._transport = transport
        self._now = now
        self._source = source
        self._on_quarantined = on_quarantined
        self._has_changes = Event()
        self._started_at = now()

    def start(self) -> None:
        """Start the tasks that publish changes and exchange evidence."""
        keep_running(PREFIX_ROUTING, self._publish_changes)
        keep_running(PREFIX_ROUTING, self._exchange_periodically)

    def publish_soon(self) -> None:
        """Publish the changed evidence within BATCH_DELAY_S."""
        self._has_changes.set()

    def handle_message(self, message: BlamesTold) -> None:
        """Merge the evidence of a peer, and reply with evidence that the peer lacks."""
        now, tracker = self._now(), self._tracker
        known = tracker.reports(now)
        quarantined = set(tracker.quarantined(now))
        if tracker.merge(message.records, now):
            for subject in set(tracker.quarantined(now)) - quarantined:
                log_quarantine(subject, tracker.verdict(subject, now), peer=message.sender)
                if tracker.is_observed(subject):
                    self._on_quarantined(subject)
            if self._transport.forwards():
                self.publish_soon()
        if message.asks and _lacks(message.records, known):
            self._transport.send(message.sender, BlamesTold(self._own_id, known, asks=False))
            return
        # A peer without a record of a request's success may refuse what others serve all the time.
        exonerations = tracker.find_exonerations(message.records, now)
        # Several peers may each report one crash, so that any third instance refuses the subject.
        contested = tuple([report for report in exonerations if len(report.crashes) > 1])
        if contested:
            news = BlamesTold(self._own_id, contested, asks=False)
            self._transport.broadcast(self._transport.recipients(), news)
        if exonerations:
            reply = BlamesTold(self._own_id, exonerations, asks=False)
            self._transport.send(message.sender, reply)

    def _publish_changes(self) -> None:
        """Publish changed evidence as soon as there is some."""
        while True:
            self._has_changes.wait()
            gevent.sleep(BATCH_DELAY_S)
            self._has_changes.clear()
            message = BlamesTold(self._own_id, self._tracker.reports(self._now()), asks=False)
            self._transport.broadcast(self._transport.recipients(), message)

    def _exchange_periodically(self) -> None:
        """Exchange evidence with random peers, more often just after the start."""
        while True:
            is_starting = self._now() - self._started_at < STARTUP_S
            gevent.sleep(STARTUP_EXCHANGE_INTERVAL_S if is_starting else EXCHANGE_INTERVAL_S)
            reports = self._tracker.reports(self._now())
            if not reports and not is_starting:
                continue
            live = self._transport.live()
            others = [peer.instance_id for peer in live if peer.instance_id != self._own_id]
            count = min(len(others), STARTUP_EXCHANGE_PEERS if is_starting else 1)
            for instance_id in self._source.sample(others, count):
                self._transport.send(instance_id, BlamesTold(self._own_id, reports, asks=True))


def log_quarantine(subject: str, verdict: Verdict, **more: str) -> None:
    """Log that a subject is quarantined; more may name the peer that reported the evidence."""
    kind = "Prompt part" if is_part(subject) else "Request"
    log_event(
        PREFIX_ROUTING,
        f"{kind} {subject} crashes upstreams and is sent to none",
        fingerprint=subject,
        companions=sorted(verdict.companions),
        upstreams=list(verdict.upstream_ids),
        weight=verdict.weight,
        for_s=round(verdict.wait_s, 1),
        **more,
    )


def _lacks(theirs: Iterable[PoisonReport], ours: Iterable[PoisonReport]) -> bool:
    """Return True if the own records have a crash or a success that the peer's records lack."""
    known = {
        record.fingerprint: (len(record.crashes), record.well_ago_ms is not None)
        for record in theirs
    }
    for record in ours:
        crashes, has_success = known.get(record.fingerprint, (0, False))
        if len(record.crashes) > crashes or (record.well_ago_ms is not None and not has_success):
            return True
    return False
