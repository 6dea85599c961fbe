"""Hold the upstreams of a run: stand-ins behind proxies, each listed in the store."""

from __future__ import annotations

import itertools
import random
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Final

import gevent

from driftstall.exceptions import PlatformUnavailable
from driftstall.platform.names import KIND_UPSTREAMS
from driftstall.platform.store import Store
from features.worlds.upstream_samples import entry_spec
from soak.ledger import Arrival, FatalCrash, Ledger, LimitPeriod, Notice, UpstreamPeriod, Window
from soak.plan import Plan
from soak.proxy import Proxy
from stand_ins.routed import ReceivedRequest, RoutedUpstream, Script

ZONES: Final = "abc"
EVENTS: Final = 25
EVENT_PAUSE_S: Final = 0.03
WORK_S: Final = 0.02
SERVES_ON_S: Final = {
    Plan.MIXED: (2.5, 2.5),
    Plan.LEAVING: (3.0, 12.0),
    Plan.ZONES: (3.0, 6.0),
    Plan.CRASHING: (2.5, 6.0),
    Plan.LIMITED: (2.5, 6.0),
    Plan.RETURNING: (3.0, 10.0),
    Plan.UNSEEN: (4.5, 6.5),
    Plan.SIGNALLING: (3.0, 10.0),
}
"""For how long an upstream serves on after its notice: drainMs and a little longer, at times many
seconds. Only one that serves on shows who still sends to it."""
LIMITS: Final = (0.5, 1.5, 2.1, 4.0)
"""Requests a second that upstreams name."""
FALLS_TO: Final = 0.5
"""Share of its limit that an upstream names in the second half of that time."""
BACKOFFS: Final = ("0.8", "2", "3")
"""Seconds of back-off that upstreams request."""
REJECTED_SHARES: Final = (0.5, 1.0)
ENDS_SOON: Final = {"state": "draining", "leaves_ms": 4_000}
"""What an engine reports that has been told when it ends."""
COLD_S: Final = 2.5
"""How long an upstream is cold after it has started again."""
LAPSE_S: Final = 1.5
"""The entry of one that crashed goes after so long."""
STORE_RETRY_S: Final = 0.1


FATAL: Final = "/stream/fatal"
"""Begins the paths of requests that end each upstream that runs them."""
FATAL_AFTER_S: Final = (0.05, 0.4)
"""How long after it has begun a request ends its upstream."""

BROKEN_OFF_SHARE: Final = 0.5
BREAKS: Final[tuple[dict[str, Any], ...]] = (
    {"reset": True},
    {"reset_after_head": True, "cut_after": 0},
    {"break_after": 1, "cut_after": 2},
    {"break_after": EVENTS - 2, "cut_after": 2},
    {"break_after": EVENTS - 2, "half_event": True, "cut_after": 4},
)
"""Where a stream, or a plain call's answer, is broken off."""


def usual() -> Script:
    """Return what upstreams do with a request."""
    return Script(events=EVENTS, event_pause_s=EVENT_PAUSE_S, work_s=WORK_S)


class RecordingUpstream(RoutedUpstream):
    """Serve as a stand-in, and record when each request arrived."""

    def __init__(
        self,
        upstream_id: str,
        ledger: Ledger,
        source: random.Random,
        end: Callable[[RecordingUpstream, str], None],
    ) -> None:
        """Start to listen; end is told of a path whose request ends this upstream."""
        super().__init__(upstream_id, self._script)
        self.arrival_records = ledger.received[upstream_id]
        self.signalled_leaving = ledger.signalled_leaving[upstream_id]
        self.rejections = ledger.rejections[upstream_id]
        self._end = end
        self._ledger = ledger
        self._source = source
        self._breaks_off_until = float("-inf")

    def break_off(self, for_s: float) -> None:
        """Break off some requests for a while."""
        self._breaks_off_until = time.monotonic() + for_s

    def _script(self) -> Script:
        """Return what happens to a request that came now."""
        breaks_off = time.monotonic() < self._breaks_off_until
        if breaks_off and self._source.random() < BROKEN_OFF_SHARE:
            return replace(usual(), **self._source.choice(BREAKS))
        return usual()

    def record_request(self, seen: ReceivedRequest) -> None:
        """Record a request that is run here."""
        now = time.monotonic()
        self._ledger.arrivals.append(
            Arrival(seen.request_id, self.upstream_id, seen.target, now, seen.is_resumed)
        )
        if seen.target.startswith(FATAL):
            after_s = self._source.uniform(*FATAL_AFTER_S)
            gevent.spawn_later(after_s, self._end, self, seen.target)


class UpstreamSlot:
    """Hold one place of the fleet: a new upstream takes it when the old one goes."""

    def __init__(
        self,
        place: int,
        service: str,
        store: Store,
        ledger: Ledger,
        source: random.Random,
        plan: Plan = Plan.MIXED,
    ) -> None:
        """Start the first upstream; the source draws what it breaks off."""
        self._source = source
        self._serves_on = SERVES_ON_S[plan]
        self.place = place
        self.service = service
        self._store = store
        self._ledger = ledger
        self._born = int(time.time() * 1000)
        self._starts = itertools.count(1)
        self.all: list[UpstreamSlot] = []
        self._listed: dict[str, dict[str, Any]] = {}
        """What each entry that is to be there says."""
        self._unlisted: set[str] = set()
        """Names of entries that are to be gone."""
        self._proxies: dict[str, Proxy] = {}
        """By the upstreams that run, also those that are leaving."""
        self._begin()

    def _begin(self) -> None:
        """Start an upstream with a new id, and list it."""
        name = f"{self.service}-{self.place}-{next(self._starts)}"
        self._born += 1
        self._open(name)
        self._write(name, self._spec("ready"))

    def _open(self, name: str) -> None:
        """Start a process that listens behind a proxy of its own."""
        self.upstream = RecordingUpstream(name, self._ledger, self._source, self._end_under)
        self.proxy = Proxy(self.upstream.address)
        self._proxies[name] = self.proxy
        for one in self.all:
            one.upstream.peers = {other.proxy.address: other.upstream for other in self.all}

    def break_off(self, for_s: float) -> None:
        """Let all upstreams of the service break off some requests for a while."""
        for one in self.all:
            one.upstream.break_off(for_s)

    def write_again(self) -> None:
        """Write all entries again, and delete again what is to be gone: the store was an older one.

        When a notice was taken first is remembered, and counts.
        """
        for name, spec in list(self._listed.items()):
            self._write(name, spec)
        for name in list(self._unlisted):
            self._delete(name)

    def limit(self, for_s: float) -> None:
        """Name a limit with all answers for a while, and a lower one in the second half."""
        upstream = self.upstream
        if upstream.rate_limit is not None:
            return
        per_s = self._source.choice(LIMITS)
        for limit, is_first in ((per_s, True), (per_s * FALLS_TO, False)):
            upstream.rate_limit = limit
            began = time.monotonic()
            gevent.sleep(for_s / 2)
            window = Window(began, time.monotonic())
            named = LimitPeriod(upstream.upstream_id, limit, window, is_first)
            self._ledger.limited.append(named)
        upstream.rate_limit = None

    def leave(self) -> None:
        """Say so in the store, serve on for a while and end; another one comes."""
        old, proxy = self.upstream, self.proxy
        self._write(old.upstream_id, self._spec("draining"))
        self._note(old.upstream_id)
        self._begin()
        gevent.spawn_later(self._source.uniform(*self._serves_on), self._end, old, proxy)

    def leave_unseen(self) -> None:
        """Say so to who asks, serve on for a while and end; the store hears of it when it can."""
        old, proxy = self.upstream, self.proxy
        old.report = ENDS_SOON
        self._ledger.leaving_reports[old.upstream_id] = Notice(old.upstream_id, time.monotonic())
        gevent.spawn_later(self._source.uniform(*self._serves_on), self._end, old, proxy)
        self._write(old.upstream_id, self._spec("draining"))
        self._note(old.upstream_id)
        self._begin()

    def leave_signalled(self, for_s: float) -> None:
        """Signal that it leaves; another one comes soon.

        Its entry stays ready until it ends, and is written again with something else changed.
        """
        old, proxy = self.upstream, self.proxy
        if old.leaves:
            return
        old.leaves = True
        gevent.sleep(for_s)
        gevent.spawn(self._write, old.upstream_id, self._spec("ready") | {"version": "2"})
        self._begin()
        gevent.spawn_later(self._source.uniform(*self._serves_on), self._end, old, proxy)

    def reject(self, for_s: float) -> None:
        """Reject all or half of the requests with a back-off for a while."""
        upstream = self.upstream
        upstream.backoff = self._source.choice(BACKOFFS)
        upstream.rejected_share = self._source.choice(REJECTED_SHARES)
        gevent.sleep(for_s)
        upstream.rejected_share = 0.0

    def start_again(self) -> None:
        """End at once and start again under the name, cold; the entry tells of it."""
        old, proxy = self.upstream, self.proxy
        proxy.stop()
        old.stop()
        self._born += 1
        self._open(old.upstream_id)
        now = time.monotonic()
        self._ledger.cold.append(UpstreamPeriod(old.upstream_id, Window(now, now + COLD_S)))
        self._write(old.upstream_id, self._spec("ready", cold_s=COLD_S))
        gevent.spawn_later(COLD_S, self._warm, old.upstream_id, self._born)

    def _warm(self, name: str, born: int) -> None:
        """Say that it is cold no more, unless another one has its place by now."""
        if self.upstream.upstream_id == name and self._born == born:
            self._write(name, self._spec("ready"))

    def remove(self) -> None:
        """Be gone from the store without a word, serve on for a while and end."""
        old, proxy = self.upstream, self.proxy
        self._delete(old.upstream_id)
        self._begin()
        gevent.spawn_later(self._source.uniform(*self._serves_on), self._end, old, proxy)

    def crash(self) -> None:
        """End at once; the entry lapses later."""
        old, proxy = self.upstream, self.proxy
        self._proxies.pop(old.upstream_id, None)
        self._begin()
        proxy.stop()
        gevent.spawn_later(LAPSE_S, self._delete, old.upstream_id)
        gevent.spawn_later(LAPSE_S, old.stop)

    def _end_under(self, old: RecordingUpstream, target: str) -> None:
        """End an upstream under a request, with all that runs there; once."""
        proxy = self._proxies.pop(old.upstream_id, None)
        if proxy is None:
            return
        now = time.monotonic()
        self._ledger.fatal_crashes.append(FatalCrash(old.upstream_id, target, now))
        # First: the entry of the next one may have to wait for the store.
        proxy.stop()
        if self.upstream is old:
            self.crash()
        else:
            old.stop()

    def _end(self, old: RecordingUpstream, proxy: Proxy) -> None:
        """End an upstream that has left."""
        self._proxies.pop(old.upstream_id, None)
        proxy.stop()
        old.stop()
        self._delete(old.upstream_id)

    @property
    def zone(self) -> str:
        """Return the zone of this place."""
        return ZONES[self.place % len(ZONES)]

    def _spec(self, state: str, cold_s: float = 0.0) -> dict[str, Any]:
        """Return the entry in the store."""
        return entry_spec(
            self.proxy.address,
            self.service,
            zone=self.zone,
            state=state,
            born=self._born,
            coldRemainingMs=cold_s * 1000,
        )

    def _note(self, upstream_id: str) -> None:
        """Note that the store has acknowledged a notice."""
        self._ledger.notices.setdefault(upstream_id, Notice(upstream_id, time.monotonic()))

    def _write(self, name: str, spec: dict[str, Any]) -> None:
        """Write an entry, again and again until the store has taken it.

        Two steps may write one entry at once: it is there then though it could not be replaced.
        """
        kind = KIND_UPSTREAMS
        self._listed[name] = spec
        while name not in self._unlisted:
            try:
                if self._store.replace(kind, name, spec) or self._store.create(kind, name, spec):
                    return
            except PlatformUnavailable:
                gevent.sleep(STORE_RETRY_S)

    def _delete(self, name: str) -> None:
        """Delete an entry, again and again while the store is away."""
        self._listed.pop(name, None)
        self._unlisted.add(name)
        while True:
            try:
                self._store.delete(KIND_UPSTREAMS, name)
                self._note(name)
                return
            except PlatformUnavailable:
                gevent.sleep(STORE_RETRY_S)
