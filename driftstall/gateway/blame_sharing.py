"""Tell the other instances which requests ran beside crashes, and learn it from them.

What is news is told at once: in a small fleet to all, in a large one by way of the collectors. So
that it reaches who was cut off, and who has just started, each instance also tells another one now
and then, drawn by lot, and a fresh one asks several.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

import gevent
from gevent.event import Event

from driftstall.const import PREFIX_ROUTING
from driftstall.core import Instance
from driftstall.decisions.crash_blame import BlameTold
from driftstall.gateway.collectors import Roles
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import say
from driftstall.helpers.tasks import keep_running
from driftstall.peers.gateway_messages import BlamesTold, GatewayMessage

PAUSE_S: Final = 0.03
"""News within this time travels together; a crash breaks off many runs at once."""
EXCHANGE_EVERY_S: Final = 2.0
"""Pause between two exchanges with another instance while there is something to tell: who was cut
off is to know within three seconds of its return."""
FRESH_S: Final = 5.0
"""For so long after its start an instance asks others what they know."""
FRESH_EVERY_S: Final = 0.5
FRESH_ASKED: Final = 2
"""Instances that a fresh one asks at a time; one of them may be as fresh, or dead."""


class BlameSharing:
    """Exchange what is known of requests beside crashes."""

    def __init__(
        self,
        state: GatewayState,
        own_id: str,
        *,
        roles: Callable[[], Roles],
        live: Callable[[], tuple[Instance, ...]],
        send: Callable[[str, GatewayMessage], None],
        broadcast: Callable[[Iterable[Instance], GatewayMessage], None],
    ) -> None:
        """Take the shared state, the fleet, and how to send."""
        self._state = state
        self._own_id = own_id
        self._roles = roles
        self._live = live
        self._send = send
        self._broadcast = broadcast
        self._news = Event()
        self._started_at = state.now()

    def start(self) -> None:
        """Start to tell."""
        keep_running(PREFIX_ROUTING, self._tell_news)
        keep_running(PREFIX_ROUTING, self._exchange)

    def changed(self) -> None:
        """Have the others told soon."""
        self._news.set()

    def take(self, message: BlamesTold) -> None:
        """Take in what another instance knows, and answer with what it lacks."""
        now, blame = self._state.now(), self._state.blame
        known = blame.told(now)
        refused = set(blame.refused(now))
        is_news = blame.take(message.records, now)
        if is_news:
            self._say_refused(set(blame.refused(now)) - refused, message.sender)
            if self._roles().collects:
                self.changed()
        if message.asks and _lacks(message.records, known):
            self._send(message.sender, BlamesTold(self._own_id, known, asks=False))
            return
        # One that has seen no good end of a request may refuse what others serve all the time.
        clearing = blame.clearing(message.records, now)
        if clearing:
            self._send(message.sender, BlamesTold(self._own_id, clearing, asks=False))

    def _say_refused(self, fingerprints: set[str], sender: str) -> None:
        """Log what is refused from now on by a peer's word."""
        for one in fingerprints:
            verdict = self._state.blame.verdict(one, self._state.now())
            say(
                PREFIX_ROUTING,
                f"Request {one} crashes upstreams and is sent to none",
                fingerprint=one,
                upstreams=list(verdict.upstream_ids),
                weight=verdict.weight,
                for_s=round(verdict.wait_s, 1),
                peer=sender,
            )

    def _tell_news(self) -> None:
        """Tell what is news at once."""
        while True:
            self._news.wait()
            gevent.sleep(PAUSE_S)
            self._news.clear()
            told = BlamesTold(self._own_id, self._state.blame.told(self._state.now()), asks=False)
            self._broadcast(self._hearers(), told)

    def _hearers(self) -> tuple[Instance, ...]:
        """Return who is told at once; collectors pass it on."""
        roles = self._roles()
        if not roles.large:
            return self._live()
        if roles.collects:
            return (*roles.zone_members, *roles.own_collectors, *roles.far_collectors)
        return roles.own_collectors

    def _exchange(self) -> None:
        """Exchange with others again and again."""
        while True:
            is_fresh = self._state.now() - self._started_at < FRESH_S
            gevent.sleep(FRESH_EVERY_S if is_fresh else EXCHANGE_EVERY_S)
            told = self._state.blame.told(self._state.now())
            if not told and not is_fresh:
                continue
            others = [one.instance_id for one in self._live() if one.instance_id != self._own_id]
            count = min(len(others), FRESH_ASKED if is_fresh else 1)
            for instance_id in self._state.source.sample(others, count):
                self._send(instance_id, BlamesTold(self._own_id, told, asks=True))


def _lacks(theirs: Iterable[BlameTold], ours: Iterable[BlameTold]) -> bool:
    """Tell whether we know of a crash or a good end that they do not tell of."""
    known = {one.fingerprint: (len(one.crashes), one.well_ago_ms is not None) for one in theirs}
    for one in ours:
        crashes, is_well = known.get(one.fingerprint, (0, False))
        if len(one.crashes) > crashes or (one.well_ago_ms is not None and not is_well):
            return True
    return False
