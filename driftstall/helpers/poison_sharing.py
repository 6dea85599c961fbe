"""Tell the other instances which requests ran beside crashes, and learn it from them.

What is news is told at once: in a small fleet to all, in a large one by way of the collectors. So
that it reaches who was cut off, and who has just started, each instance also tells another one now
and then, drawn by lot, and a fresh one asks several.
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
from driftstall.decisions.poison_detection import BlameTold, PoisonTracker, Verdict
from driftstall.helpers.log import log_event
from driftstall.helpers.tasks import keep_running
from driftstall.peers.blame_messages import BlamesTold

BATCH_DELAY_S: Final = 0.01
"""News within this time travels together; a crash breaks off many runs at once."""
EXCHANGE_INTERVAL_S: Final = 2.0
"""Pause between two exchanges with another instance while there is something to tell: who was cut
off is to know within three seconds of its return."""
STARTUP_S: Final = 5.0
"""For so long after its start an instance asks others what they know."""
STARTUP_EXCHANGE_INTERVAL_S: Final = 0.5
STARTUP_EXCHANGE_PEERS: Final = 2
"""Instances that a fresh one asks at a time; one of them may be as fresh, or dead."""


@dataclass(frozen=True, slots=True)
class PeerTransport:
    """Hold how other instances are reached."""

    live: Callable[[], tuple[Instance, ...]]
    """Return all that live, perhaps with this one."""
    recipients: Callable[[], Iterable[Instance]]
    """Return who is told at once."""
    forwards: Callable[[], bool]
    """Return whether this instance passes on to its hearers what others tell it."""
    send: Callable[[str, BlamesTold], None]
    broadcast: Callable[[Iterable[Instance], BlamesTold], None]


class PoisonSharing:
    """Exchange what is known of requests beside crashes."""

    def __init__(
        self,
        book: PoisonTracker,
        own_id: str,
        fleet: PeerTransport,
        *,
        now: Callable[[], float],
        source: random.Random,
    ) -> None:
        """Take the book, the own name, the others, the steady clock and a random source."""
        self._tracker = book
        self._own_id = own_id
        self._transport = fleet
        self._now = now
        self._source = source
        self._has_changes = Event()
        self._started_at = now()

    def start(self) -> None:
        """Start to tell."""
        keep_running(PREFIX_ROUTING, self._publish_changes)
        keep_running(PREFIX_ROUTING, self._exchange_periodically)

    def publish_soon(self) -> None:
        """Have the others told soon."""
        self._has_changes.set()

    def handle_message(self, message: BlamesTold) -> None:
        """Take in what another instance knows, and answer with what it lacks."""
        now, book = self._now(), self._tracker
        known = book.reports(now)
        refused = set(book.quarantined(now))
        if book.merge(message.records, now):
            for one in set(book.quarantined(now)) - refused:
                log_quarantine(one, book.verdict(one, now), peer=message.sender)
            if self._transport.forwards():
                self.publish_soon()
        if message.asks and _lacks(message.records, known):
            self._transport.send(message.sender, BlamesTold(self._own_id, known, asks=False))
            return
        # One that has seen no good end of a request may refuse what others serve all the time.
        clearing = book.find_exonerations(message.records, now)
        if clearing:
            self._transport.send(message.sender, BlamesTold(self._own_id, clearing, asks=False))

    def _publish_changes(self) -> None:
        """Tell what is news at once."""
        while True:
            self._has_changes.wait()
            gevent.sleep(BATCH_DELAY_S)
            self._has_changes.clear()
            told = BlamesTold(self._own_id, self._tracker.reports(self._now()), asks=False)
            self._transport.broadcast(self._transport.recipients(), told)

    def _exchange_periodically(self) -> None:
        """Exchange with others again and again."""
        while True:
            is_fresh = self._now() - self._started_at < STARTUP_S
            gevent.sleep(STARTUP_EXCHANGE_INTERVAL_S if is_fresh else EXCHANGE_INTERVAL_S)
            told = self._tracker.reports(self._now())
            if not told and not is_fresh:
                continue
            live = self._transport.live()
            others = [one.instance_id for one in live if one.instance_id != self._own_id]
            count = min(len(others), STARTUP_EXCHANGE_PEERS if is_fresh else 1)
            for instance_id in self._source.sample(others, count):
                self._transport.send(instance_id, BlamesTold(self._own_id, told, asks=True))


def log_quarantine(fingerprint: str, verdict: Verdict, **more: str) -> None:
    """Log that a request is sent to no upstream from now on, and by whose word."""
    log_event(
        PREFIX_ROUTING,
        f"Request {fingerprint} crashes upstreams and is sent to none",
        fingerprint=fingerprint,
        upstreams=list(verdict.upstream_ids),
        weight=verdict.weight,
        for_s=round(verdict.wait_s, 1),
        **more,
    )


def _lacks(theirs: Iterable[BlameTold], ours: Iterable[BlameTold]) -> bool:
    """Tell whether we know of a crash or a good end that they do not tell of."""
    known = {one.fingerprint: (len(one.crashes), one.well_ago_ms is not None) for one in theirs}
    for one in ours:
        crashes, is_well = known.get(one.fingerprint, (0, False))
        if len(one.crashes) > crashes or (one.well_ago_ms is not None and not is_well):
            return True
    return False
