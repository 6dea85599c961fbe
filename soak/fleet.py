"""The upstreams of a run: stand-ins behind fault-injecting proxies, with entries in the store."""

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
from soak.ledger import (
    PLAIN_SERVICE,
    SHORT_EVENTS,
    Arrival,
    FatalCrash,
    Ledger,
    LimitPeriod,
    Notice,
    RequestKind,
    UpstreamPeriod,
    Window,
)
from soak.partition import InstanceProxies, Partitions
from soak.plan import Plan
from soak.proxy import Proxy
from stand_ins.prompts import fatal_part
from stand_ins.routed import ReceivedRequest, RoutedUpstream, Script

ZONES: Final = "abc"
EVENTS: Final = 25
EVENT_PAUSE_S: Final = 0.03
WORK_S: Final = 0.02
DRAINING_S: Final = {
    Plan.MIXED: (2.5, 2.5),
    Plan.LEAVING: (3.0, 12.0),
    Plan.ZONES: (3.0, 6.0),
    Plan.CRASHING: (2.5, 6.0),
    Plan.LIMITED: (2.5, 6.0),
    Plan.FOLLOWING: (2.5, 6.0),
    Plan.RETURNING: (3.0, 10.0),
    Plan.UNSEEN: (4.5, 6.5),
    Plan.CONTENDED: (1.5, 3.0),
    Plan.SIGNALLING: (3.0, 10.0),
    Plan.PARTITIONED: (2.5, 6.0),
    Plan.REJECTING: (2.5, 6.0),
    Plan.DISTURBED: (2.5, 6.0),
    Plan.TRUNCATED: (2.5, 6.0),
}
"""Range of the time for which a leaving upstream continues to serve: drainMs and a little longer,
in some plans many seconds. Only an upstream that still serves shows which instances send to it."""
LIMITS: Final = (0.5, 1.5, 2.1, 4.0)
"""Rate limits that upstreams announce, in requests a second."""
LOWERED_LIMIT_SHARE: Final = 0.5
"""Share of its first limit that an upstream announces in the second half of the time."""
BACKOFFS: Final = ("0.8", "2", "3")
"""Back-offs that upstreams request, in seconds."""
REJECTED_SHARES: Final = (0.5, 1.0)
TURNED_AWAY_SHARE: Final = 0.9
"""Share of the requests that upstreams turn away without a back-off."""
LEAVING_REPORT: Final = {"state": "draining", "leaves_ms": 4_000}
"""The state that a leaving engine reports to probes."""
COLD_S: Final = 2.5
"""Time for which an upstream is cold after a restart."""
LAPSE_S: Final = 1.5
"""Time after which the entry of a crashed upstream is deleted."""
STORE_RETRY_S: Final = 0.1
LOAD_SLOTS: Final = 2
LOAD_QUEUE: Final = 2
"""Calls that run and wait at a plain upstream that reports loads; it rejects further ones. The
contended plan's callers fill one upstream, but hardly both: with one each (seed 7200), 5 of the
last 26 calls were not served, as a call that both have rejected is refused without a wait."""
LOADED_WORK_S: Final = 0.1
"""Work of a call at such an upstream: longer than others', so that calls overlap."""
PACES: Final = ((100, 3.4), (250, 0.6))
"""Pace in percent and mean duration of normal and slow periods, as on shared machines."""


FATAL: Final = "/stream/fatal"
"""Prefix of the paths of requests that crash each upstream that runs them."""
FATAL_AFTER_S: Final = (0.05, 0.4)
"""Range of the time from the start of a fatal request to the crash of its upstream."""

INTERRUPTED_SHARE: Final = 0.5
BREAKS: Final[tuple[dict[str, Any], ...]] = (
    {"reset": True},
    {"reset_after_head": True, "cut_after": 0},
    {"break_after": 1, "cut_after": 2},
    {"break_after": EVENTS - 2, "cut_after": 2},
    {"break_after": EVENTS - 2, "half_event": True, "cut_after": 4},
)
"""Points at which a stream, or the response to a plain call, is interrupted."""
SPOILED_SHARE: Final = 0.3
SPOILED_STATUSES: Final = (200, 200, 206, 404, 429, 500, 503)
"""Statuses of responses without a signature and with another body than the upstream's."""
UNFRAMED_BREAKS: Final = [each for each in BREAKS if "reset" in each or "half_event" in each]
"""Those that can be told from the end of a response without a length."""


def default_script() -> Script:
    """Return the script of a request that is served without a fault."""
    return Script(events=EVENTS, event_pause_s=EVENT_PAUSE_S, work_s=WORK_S)


class RecordingUpstream(RoutedUpstream):
    """A stand-in that records when each request arrives."""

    def __init__(
        self,
        upstream_id: str,
        ledger: Ledger,
        source: random.Random,
        on_fatal: Callable[[RecordingUpstream, str], None],
    ) -> None:
        """Start to listen; on_fatal is called with the path of a request that crashes it."""
        super().__init__(upstream_id)
        self.arrival_records = ledger.received[upstream_id]
        self.signalled_leaving = ledger.signalled_leaving[upstream_id]
        self.rejections = ledger.rejections[upstream_id]
        self._on_fatal = on_fatal
        self._ledger = ledger
        self._source = source
        self._interrupts_until = float("-inf")
        self._spoil_source = random.Random(upstream_id)
        """A source of its own, so that the other faults of a seed stay the same."""
        self.is_unframed = False
        """Whether responses have neither a length nor chunks."""

    def break_off(self, for_s: float) -> None:
        """Interrupt INTERRUPTED_SHARE of the requests for some seconds, and spoil some others."""
        now = time.monotonic()
        self._interrupts_until = now + for_s
        self._ledger.disturb(self.upstream_id, now, now + for_s + EVENTS * EVENT_PAUSE_S)

    def report_loads(self) -> None:
        """Report loads of four figures from now on, with a pace that changes."""
        self.load_slots = LOAD_SLOTS
        gevent.spawn(self._vary_pace)

    def _vary_pace(self) -> None:
        """Alternate normal and slow periods until the upstream stops."""
        for percent, mean_s in itertools.cycle(PACES):
            self.pace_percent = percent
            gevent.sleep(self.source.expovariate(1 / mean_s))
            if not self._server.started:
                return

    def script_for(self, path: str) -> Script:
        """Return the script of a request that arrives now."""
        script = default_script()
        script.unframed = self.is_unframed
        if self.load_slots:
            script.work_s = LOADED_WORK_S
            script.not_run = self.in_progress >= LOAD_SLOTS + LOAD_QUEUE
        if path.startswith(f"/{RequestKind.SHORT}/"):
            script.events = SHORT_EVENTS
        is_interrupting = time.monotonic() < self._interrupts_until
        if is_interrupting and self._source.random() < INTERRUPTED_SHARE:
            return replace(
                script, **self._source.choice(UNFRAMED_BREAKS if self.is_unframed else BREAKS)
            )
        if is_interrupting and self._spoil_source.random() < SPOILED_SHARE:
            status = self._spoil_source.choice(SPOILED_STATUSES)
            return replace(script, status=status, body=b"<html>starting</html>", spoiled=())
        return script

    def record_request(self, seen: ReceivedRequest) -> None:
        """Record the arrival of a request, and schedule the crash if the request is fatal."""
        now = time.monotonic()
        self._ledger.arrivals.append(
            Arrival(seen.request_id, self.upstream_id, seen.target, now, seen.is_resumed)
        )
        part = fatal_part(seen.headers.get("x-driftstall-prompt-prefix", ""))
        if part or seen.target.startswith(FATAL):
            after_s = self._source.uniform(*FATAL_AFTER_S)
            gevent.spawn_later(after_s, self._on_fatal, self, part or seen.target)


class UpstreamSlot:
    """A place in the fleet; a new upstream is started in it when the old one ends."""

    def __init__(
        self,
        place: int,
        service: str,
        store: Store,
        ledger: Ledger,
        source: random.Random,
        plan: Plan = Plan.MIXED,
        partitions: Partitions | None = None,
    ) -> None:
        """Start the first upstream; source is the generator for its faults.

        With partitions, each instance has a link of its own to the upstreams.
        """
        self._partitions = partitions
        self._source = source
        self._draining_s = DRAINING_S[plan]
        self._is_unframed = plan is Plan.CRASHING and service != PLAIN_SERVICE and place % 2 == 1
        self._reports_loads = plan is Plan.CONTENDED and service == PLAIN_SERVICE
        self._records_joins = plan is Plan.DISTURBED
        self._joined: str | None = None
        """The upstream of this slot whose entry the store has taken."""
        self.place = place
        self.service = service
        self._store = store
        self._ledger = ledger
        self._born = int(time.time() * 1000)
        self._starts = itertools.count(1)
        self.all: list[UpstreamSlot] = []
        self._listed: dict[str, dict[str, Any]] = {}
        """Specs of the entries that the store should have, by name."""
        self._unlisted: set[str] = set()
        """Names of the entries that the store should not have."""
        self._proxies: dict[str, Proxy | InstanceProxies] = {}
        """Proxies of all running upstreams, including leaving ones, by upstream id."""
        self._start_new()

    def _start_new(self) -> None:
        """Start an upstream with a new id, and create its entry."""
        name = f"{self.service}-{self.place}-{next(self._starts)}"
        self._born += 1
        if self._joined is not None:
            self._ledger.replaced[self._joined] = time.monotonic()
        self._listen(name)
        self._write(name, self._spec("ready"))
        self._joined = name if self._records_joins else None
        if self._joined is not None:
            self._ledger.joined[name] = time.monotonic()

    def _listen(self, name: str) -> None:
        """Start an upstream that listens behind a proxy of its own."""
        self._ledger.services[name] = self.service
        self.upstream = self._create_upstream(name)
        self.proxy: Proxy | InstanceProxies = (
            InstanceProxies(self.upstream.address, self._partitions)
            if self._partitions
            else Proxy(self.upstream.address)
        )
        self._proxies[name] = self.proxy
        self.connect_peers()

    def _create_upstream(self, name: str) -> RecordingUpstream:
        """Create an upstream."""
        upstream = RecordingUpstream(name, self._ledger, self._source, self._crash_under)
        if self._reports_loads:
            upstream.report_loads()
        upstream.is_unframed = self._is_unframed
        return upstream

    def connect_peers(self) -> None:
        """Tell all upstreams of the service the addresses at which they reach each other."""
        peers: dict[str, RoutedUpstream] = {
            address: slot.upstream for slot in self.all for address in slot.proxy.addresses
        }
        for slot in self.all:
            slot.upstream.peers = peers

    def break_off(self, for_s: float) -> None:
        """Let all upstreams of the service interrupt some requests for some seconds."""
        for slot in self.all:
            slot.upstream.break_off(for_s)

    def restore_entries(self) -> None:
        """Write and delete all entries again after the store was restored from a snapshot.

        Notices keep the time at which the store first took them.
        """
        for name, spec in list(self._listed.items()):
            self._write(name, spec)
        for name in list(self._unlisted):
            self._delete(name)

    def limit(self, for_s: float) -> None:
        """Announce a rate limit with all responses, and a lower one in the second half."""
        upstream = self.upstream
        if upstream.rate_limit is not None:
            return
        per_s = self._source.choice(LIMITS)
        for limit, is_first in ((per_s, True), (per_s * LOWERED_LIMIT_SHARE, False)):
            upstream.rate_limit = limit
            began = time.monotonic()
            gevent.sleep(for_s / 2)
            window = Window(began, time.monotonic())
            period = LimitPeriod(upstream.upstream_id, limit, window, is_first)
            self._ledger.limited.append(period)
        upstream.rate_limit = None

    def leave(self) -> None:
        """Mark the entry as draining, start a successor, and end after the draining time."""
        old, proxy = self.upstream, self.proxy
        self._write(old.upstream_id, self._spec("draining"))
        self._record_notice(old.upstream_id)
        self._start_new()
        gevent.spawn_later(self._source.uniform(*self._draining_s), self._end, old, proxy)

    def leave_unseen(self) -> None:
        """Report to probes that the upstream is leaving, and to the store once it answers."""
        old, proxy = self.upstream, self.proxy
        old.report = LEAVING_REPORT
        self._ledger.leaving_reports[old.upstream_id] = Notice(old.upstream_id, time.monotonic())
        gevent.spawn_later(self._source.uniform(*self._draining_s), self._end, old, proxy)
        self._write(old.upstream_id, self._spec("draining"))
        self._record_notice(old.upstream_id)
        self._start_new()

    def leave_signalled(self, for_s: float) -> None:
        """Signal with responses that the upstream is leaving, and start a successor later.

        The entry stays ready until the upstream ends, and is written with another version.
        """
        old, proxy = self.upstream, self.proxy
        if old.leaves:
            return
        old.leaves = True
        gevent.sleep(for_s)
        gevent.spawn(self._write, old.upstream_id, self._spec("ready") | {"version": "2"})
        self._start_new()
        gevent.spawn_later(self._source.uniform(*self._draining_s), self._end, old, proxy)

    def reject(self, for_s: float) -> None:
        """Reject all or half of the requests with a back-off for some seconds."""
        upstream = self.upstream
        upstream.backoff = self._source.choice(BACKOFFS)
        upstream.rejected_share = self._source.choice(REJECTED_SHARES)
        gevent.sleep(for_s)
        upstream.rejected_share = 0.0

    def turn_away(self, for_s: float) -> None:
        """Reject most requests without a back-off for some seconds."""
        upstream = self.upstream
        upstream.backoff = ""
        upstream.rejected_share = TURNED_AWAY_SHARE
        gevent.sleep(for_s)
        upstream.rejected_share = 0.0

    def restart(self) -> None:
        """Restart the upstream at once under the same id; its entry says that it is cold."""
        old, proxy = self.upstream, self.proxy
        self._record_end(old.upstream_id)
        proxy.stop()
        old.stop()
        self._born += 1
        self._listen(old.upstream_id)
        now = time.monotonic()
        self._ledger.cold.append(UpstreamPeriod(old.upstream_id, Window(now, now + COLD_S)))
        self._write(old.upstream_id, self._spec("ready", cold_s=COLD_S))
        gevent.spawn_later(COLD_S, self._end_cold, old.upstream_id, self._born)

    def _end_cold(self, name: str, born: int) -> None:
        """Write that the upstream is no longer cold, unless it was replaced meanwhile."""
        if self.upstream.upstream_id == name and self._born == born:
            self._write(name, self._spec("ready"))

    def remove(self) -> None:
        """Delete the entry without a notice, and end after the draining time."""
        old, proxy = self.upstream, self.proxy
        self._delete(old.upstream_id)
        self._start_new()
        gevent.spawn_later(self._source.uniform(*self._draining_s), self._end, old, proxy)

    def crash(self) -> None:
        """End at once; the entry is deleted after LAPSE_S."""
        old, proxy = self.upstream, self.proxy
        self._proxies.pop(old.upstream_id, None)
        self._start_new()
        self._record_end(old.upstream_id)
        proxy.stop()
        gevent.spawn_later(LAPSE_S, self._delete, old.upstream_id)
        gevent.spawn_later(LAPSE_S, old.stop)

    def _crash_under(self, old: RecordingUpstream, target: str) -> None:
        """Crash an upstream because of a fatal request, unless it has already ended."""
        proxy = self._proxies.pop(old.upstream_id, None)
        if proxy is None:
            return
        now = time.monotonic()
        self._ledger.fatal_crashes.append(FatalCrash(old.upstream_id, target, now))
        self._record_end(old.upstream_id)
        # The proxy is stopped first: writing the successor's entry may have to wait for the store.
        proxy.stop()
        if self.upstream is old:
            self.crash()
        else:
            old.stop()

    def _end(self, old: RecordingUpstream, proxy: Proxy | InstanceProxies) -> None:
        """End an upstream after its draining time, and delete its entry."""
        self._proxies.pop(old.upstream_id, None)
        self._record_end(old.upstream_id)
        proxy.stop()
        old.stop()
        self._delete(old.upstream_id)

    @property
    def zone(self) -> str:
        """Return the zone of this slot."""
        return ZONES[self.place % len(ZONES)]

    def _spec(self, state: str, cold_s: float = 0.0) -> dict[str, Any]:
        """Return the spec of the upstream's entry in the store."""
        return entry_spec(
            self.proxy.address,
            self.service,
            zone=self.zone,
            state=state,
            born=self._born,
            coldRemainingMs=cold_s * 1000,
        )

    def _record_end(self, upstream_id: str) -> None:
        """Record that an upstream breaks off all its requests now."""
        now = time.monotonic()
        self._ledger.disturb(upstream_id, now, now)

    def _record_notice(self, upstream_id: str) -> None:
        """Record the time at which the store first acknowledged a notice."""
        self._ledger.notices.setdefault(upstream_id, Notice(upstream_id, time.monotonic()))

    def _write(self, name: str, spec: dict[str, Any]) -> None:
        """Write an entry, and retry until the store has taken it or the entry is unlisted.

        A later write of the same entry replaces one that has not been taken yet. Two steps may
        write an entry at once: if the other step creates it between a failed replace and the create
        here, both fail and the write is retried.
        """
        kind = KIND_UPSTREAMS
        self._listed[name] = spec
        while name not in self._unlisted and self._listed.get(name) is spec:
            try:
                if self._store.replace(kind, name, spec) or self._store.create(kind, name, spec):
                    return
            except PlatformUnavailable:
                gevent.sleep(STORE_RETRY_S)

    def _delete(self, name: str) -> None:
        """Delete an entry, and retry while the store is unavailable."""
        self._listed.pop(name, None)
        self._unlisted.add(name)
        while True:
            try:
                self._store.delete(KIND_UPSTREAMS, name)
                self._record_notice(name)
                return
            except PlatformUnavailable:
                gevent.sleep(STORE_RETRY_S)
