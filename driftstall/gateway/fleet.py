"""Keep what is known of the upstreams: which take requests and which are leaving.

The platform's list is the source; peers fill in for an instance that the platform
does not serve. Revisions order what comes from both. An upstream that has started again under
its name is another one: of two starts the later counts, whatever the revisions say. While the
platform is away, what an upstream says of itself counts for some seconds (see engine_words).
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Final

import xxhash

from driftstall.decisions.cold_starts import UNTOLD_S
from driftstall.decisions.engine_words import DOUBTED_S
from driftstall.decisions.store_versions import DOUBT_S, LEFT_DOUBT_S, NO_VERSION, StoreVersion
from driftstall.gateway.fleet_events import (
    Changed,
    Cordoned,
    Doubted,
    FleetAction,
    FleetEvent,
    Listed,
    Offered,
    Period,
    PlatformBack,
    PlatformLost,
    StoreReturned,
    UpstreamCold,
    UpstreamJoined,
    UpstreamLeaving,
    UpstreamReplaced,
)
from driftstall.gateway.model import Upstream, UpstreamState

LAPSE_GRACE_S: Final = 2.2
"""Entries that lapsed during an outage of the platform are back within two seconds."""
GONE_KEPT_S: Final = 60.0
"""How long an upstream that is gone is remembered, so that old news cannot revive it."""


@dataclass(slots=True)
class _Entry:
    """Hold one upstream."""

    upstream: Upstream
    leaving_since: float | None = None
    missing_since: float | None = None
    """Set while its entry may only have lapsed during an outage."""
    doubted_until: float | None = None
    """Set while it counts as leaving by its own word alone."""

    @property
    def is_listed(self) -> bool:
        """Tell whether it takes requests by the platform's word."""
        return self.leaving_since is None or self.doubted_until is not None


@dataclass(frozen=True, slots=True)
class _Gone:
    """Hold what is left of an upstream whose entry is gone."""

    upstream: Upstream
    """As it was known; only its name where it was not."""
    revision: StoreVersion
    at: float
    leaving_since: float


class FleetController:
    """Hold the upstreams that one instance knows of."""

    def __init__(self) -> None:
        """Start with none."""
        self._entries: dict[str, _Entry] = {}
        self._gone: dict[str, _Gone] = {}
        """Both by the upstreams' names."""
        self._names: dict[str, str] = {}
        """The names by the ids of the starts that are in force or just gone."""
        self._replaced: dict[str, float] = {}
        """When it was learned of a start that a later one has followed."""
        self._cordoned: frozenset[str] = frozenset()
        self._down = False
        self._back_at = float("-inf")
        self._returned_at = float("-inf")
        """When the store came back from an older copy, as far as is known."""
        self._actions: list[FleetAction] = []
        self._read = False
        self._at = NO_VERSION
        self._told_to = NO_VERSION
        """The revision up to which the platform itself has told this instance everything."""
        self._offered_to = NO_VERSION
        """The newest revision as of which a peer has given its list."""
        self._digest: int | None = None

    @property
    def known(self) -> bool:
        """Tell whether the list was ever read, from the platform or a peer."""
        return self._read

    @property
    def at(self) -> StoreVersion:
        """Return the newest version seen in any entry."""
        return self._at

    @property
    def digest(self) -> int:
        """Return a hash of the set of upstreams that take requests by the platform's word."""
        if self._digest is None:
            taking = sorted(one.upstream_id for one in self.taking)
            self._digest = xxhash.xxh3_64_intdigest("|".join(taking).encode())
        return self._digest

    @property
    def taking(self) -> tuple[Upstream, ...]:
        """Return all upstreams that take requests by the platform's word."""
        return tuple(entry.upstream for entry in self._entries.values() if entry.is_listed)

    @property
    def upstreams(self) -> tuple[Upstream, ...]:
        """Return all upstreams that are not gone, leaving ones as well."""
        return tuple(entry.upstream for entry in self._entries.values())

    @property
    def doubts_any(self) -> bool:
        """Tell whether an upstream counts as leaving of which the platform has not told so."""
        return any(entry.doubted_until is not None for entry in self._entries.values())

    def ready(self, service: str) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that take requests."""
        return tuple(
            entry.upstream
            for entry in self._entries.values()
            if entry.upstream.service == service and self._takes(entry)
        )

    def waits_for_cordons(self, service: str) -> bool:
        """Tell whether a service has upstreams, and all that stay are in cordoned zones."""
        staying = [
            entry.upstream.zone
            for entry in self._entries.values()
            if entry.upstream.service == service and entry.leaving_since is None
        ]
        return bool(staying) and all(zone in self._cordoned for zone in staying)

    def find(self, upstream_id: str) -> Upstream | None:
        """Return an upstream that takes requests, by its id."""
        entry = self._find(upstream_id)
        return entry.upstream if entry is not None and self._takes(entry) else None

    def takes_requests(self, upstream_id: str) -> bool:
        """Tell whether an upstream is known, not leaving and in no cordoned zone."""
        return self.find(upstream_id) is not None

    def stays(self, upstream_id: str) -> bool:
        """Tell whether an upstream is known and not leaving; its zone may be cordoned."""
        entry = self._find(upstream_id)
        return entry is not None and entry.leaving_since is None

    def leaves_as_told(self, upstream_id: str) -> bool:
        """Tell whether an upstream's end was announced, or its entry has gone."""
        entry = self._find(upstream_id)
        return entry is None or not entry.is_listed

    def serves(self, upstream_id: str, now: float, drain_s: float) -> bool:
        """Tell whether an upstream may still be sent what has run there or was copied there."""
        entry = self._find(upstream_id)
        if entry is not None:
            if entry.upstream.zone in self._cordoned:
                return False
            return entry.leaving_since is None or now - entry.leaving_since < drain_s
        gone = self._gone.get(self._names.get(upstream_id, ""))
        if gone is None or gone.upstream.upstream_id != upstream_id:
            return False
        if self.is_replaced(upstream_id) or gone.upstream.zone in self._cordoned:
            return False
        return now - gone.leaving_since < drain_s

    def is_replaced(self, upstream_id: str) -> bool:
        """Tell whether an upstream has started again since: what it held and named is void."""
        return upstream_id in self._replaced

    def _find(self, upstream_id: str) -> _Entry | None:
        """Return the entry of one start."""
        entry = self._entries.get(self._names.get(upstream_id, ""))
        return entry if entry is not None and entry.upstream.upstream_id == upstream_id else None

    def _takes(self, entry: _Entry) -> bool:
        """Tell whether an upstream may be sent something new."""
        return entry.leaving_since is None and entry.upstream.zone not in self._cordoned

    def handle(self, event: FleetEvent, now: float) -> list[FleetAction]:
        """Take one event and return what others need to know."""
        self._actions = []
        self._on(event, now)
        if self._actions:
            self._digest = None
        return self._actions

    @singledispatchmethod
    def _on(self, event: FleetEvent, now: float) -> None:
        """Handle one event."""
        raise TypeError(f"no handler for {type(event).__name__}")

    @_on.register
    def _(self, event: Listed, now: float) -> None:
        self._read = True
        self._told_to = max(self._told_to, event.at)
        listed = {one.name for one in event.upstreams}
        since = now - event.unheard_s
        for upstream in event.upstreams:
            self._put(upstream, now, since)
        for name in [one for one in self._entries if one not in listed]:
            revision = self._entries[name].upstream.revision
            # What a peer told while the list was on its way may have joined after it was read.
            if revision <= event.at:
                self._remove(name, revision, now, since, may_lack=self._in_doubt(now))

    @_on.register
    def _(self, event: Offered, now: float) -> None:
        self._read = True
        offered = {one.name for one in event.upstreams}
        if event.at >= self._offered_to:
            self._offered_to = event.at
            for upstream in event.upstreams:
                self._put_told_by_peer(upstream, now)
        else:
            for upstream in event.upstreams:
                self._put_late_word(upstream, now)
        for entry in list(self._entries.values()):
            upstream = entry.upstream
            if upstream.name not in offered and upstream.revision <= event.at:
                self._leave(entry, now)
                if upstream.state is UpstreamState.READY:
                    # Else a list of another peer that is older would revive it.
                    self._bury(upstream, upstream.revision, now)

    @_on.register
    def _(self, event: Changed, now: float) -> None:
        upstream = event.upstream
        since = now - event.unheard_s
        self._at = max(self._at, upstream.revision)
        if not event.from_peer:
            self._told_to = max(self._told_to, upstream.revision)
        if not event.gone and event.from_peer:
            self._put_late_word(upstream, now)
        elif not event.gone:
            self._put(upstream, now, since)
        elif 0 < upstream.born < self._latest_start(upstream.name):
            # The end of a start says nothing of the one that has followed it.
            return
        elif upstream.name in self._entries:
            revision, certain = upstream.revision, event.from_peer
            self._remove(upstream.name, revision, now, since, certain=certain)
        else:
            self._bury(upstream, upstream.revision, now)

    @_on.register
    def _(self, event: Doubted, now: float) -> None:
        entry = self._find(event.upstream_id)
        if entry is None or not entry.is_listed:
            return
        entry.doubted_until = now + DOUBTED_S
        if entry.leaving_since is None:
            entry.leaving_since = now
            self._actions.append(UpstreamLeaving(entry.upstream, doubted=True))

    @_on.register
    def _(self, event: Cordoned, now: float) -> None:
        self._cordoned = event.zones
        for entry in self._entries.values():
            upstream = entry.upstream
            if upstream.zone in event.lifted and entry.leaving_since is None:
                # It may have gone cold with the end of the cordon, and says so later.
                self._actions.append(UpstreamCold(upstream, UNTOLD_S, is_assumed=True))

    @_on.register
    def _(self, event: PlatformLost, now: float) -> None:
        self._down = True

    @_on.register
    def _(self, event: PlatformBack, now: float) -> None:
        if self._down:
            self._down = False
            self._back_at = now

    @_on.register
    def _(self, event: StoreReturned, now: float) -> None:
        self._returned_at = now

    @_on.register
    def _(self, event: Period, now: float) -> None:
        for entry in list(self._entries.values()):
            missing = entry.missing_since
            if missing is not None and not (self._in_grace(now) or self._in_doubt(now)):
                self._leave(entry, now)
                self._bury(entry.upstream, entry.upstream.revision, now)
            elif entry.doubted_until is not None and now >= entry.doubted_until:
                self._rejoin(entry)
        self._forget(now)

    def _put_told_by_peer(self, upstream: Upstream, now: float) -> None:
        """Take in an entry that a peer knows, unless the platform itself has told of its end.

        The peer's knowledge may be older: an entry of a revision up to which this instance was told
        everything, and which it does not hold, has gone since.
        """
        if upstream.name in self._entries or upstream.revision > self._told_to:
            self._put(upstream, now, now)

    def _put_late_word(self, upstream: Upstream, now: float) -> None:
        """Take in an entry from a peer's word, unless a newer list of a peer lacked it.

        What it lacked has left by then, and news of before may still be on their way. An upstream
        that its sender had not heard of comes with the next list: the hash of all differs.
        """
        entry = self._entries.get(upstream.name)
        takes = entry is not None and entry.is_listed
        if takes or upstream.revision > self._offered_to:
            self._put_told_by_peer(upstream, now)

    def _put(self, upstream: Upstream, now: float, since: float) -> None:
        """Take in an entry that is newer than what is known; it may hold since then."""
        self._at = max(self._at, upstream.revision)
        buried = self._gone.get(upstream.name)
        if buried is not None and buried.revision >= upstream.revision:
            return
        if self._is_of_copy(upstream, now):
            if upstream.name in self._entries:
                self._entries[upstream.name].missing_since = None
            return
        if upstream.born < self._latest_start(upstream.name):
            # A late heartbeat of the start before may come after the first one of this.
            return
        entry = self._entries.get(upstream.name)
        if entry is not None and upstream.born > entry.upstream.born:
            # Whatever the revisions: a late heartbeat may have the newer one.
            del self._entries[upstream.name]
            self._replace(entry.upstream, upstream, now)
            entry = None
        elif entry is None and buried is not None and upstream.born > buried.upstream.born:
            self._replace(buried.upstream, upstream, now)
        if entry is not None and upstream.revision < entry.upstream.revision:
            return
        is_newer = entry is None or upstream.revision > entry.upstream.revision
        if entry is None:
            entry = self._entries[upstream.name] = _Entry(upstream)
            self._names[upstream.upstream_id] = upstream.name
            if upstream.state is UpstreamState.READY:
                self._actions.append(UpstreamJoined(upstream))
        if is_newer and (upstream.cold_s > 0 or entry.upstream.cold_s > 0):
            self._actions.append(UpstreamCold(upstream, upstream.cold_s))
        entry.upstream = upstream
        entry.missing_since = None
        if upstream.state is UpstreamState.LEAVING:
            self._leave(entry, since)
        elif entry.leaving_since is not None and entry.doubted_until is None:
            self._rejoin(entry)

    def _latest_start(self, name: str) -> int:
        """Return the latest start that is known of an upstream; zero if none is."""
        entry, gone = self._entries.get(name), self._gone.get(name)
        return max(entry.upstream.born if entry else 0, gone.upstream.born if gone else 0)

    def _replace(self, old: Upstream, later: Upstream, now: float) -> None:
        """Note that a start was followed by a later one, which may be cold."""
        if old.upstream_id not in self._replaced:
            self._replaced[old.upstream_id] = now
            self._actions.append(UpstreamReplaced(old))
        self._actions.append(UpstreamCold(later, UNTOLD_S, is_assumed=True))

    def _remove(
        self,
        name: str,
        revision: StoreVersion,
        now: float,
        since: float,
        *,
        certain: bool = False,
        may_lack: bool = False,
    ) -> None:
        """Take an upstream for leaving whose entry is no longer there, perhaps since then.

        Certain tells that it has not only lapsed, may_lack that the store may have lost its entry.
        """
        entry = self._entries[name]
        if revision < entry.upstream.revision:
            return
        is_doubted = may_lack or (self._in_grace(now) and not certain)
        if is_doubted and entry.leaving_since is None:
            entry.missing_since = entry.missing_since or now
            return
        self._leave(entry, since)
        self._bury(entry.upstream, revision, now)

    def _in_grace(self, now: float) -> bool:
        """Tell whether an entry that is missing may only have lapsed during an outage."""
        return self._down or now - self._back_at < LAPSE_GRACE_S

    def _in_doubt(self, now: float) -> bool:
        """Tell whether the store may still hold less than is true, and what has gone since."""
        return now - self._returned_at < DOUBT_S

    def _is_of_copy(self, upstream: Upstream, now: float) -> bool:
        """Tell whether an entry may be a copy's of an upstream that has left or changed since."""
        may_have_left = now - self._returned_at < LEFT_DOUBT_S
        if not may_have_left or upstream.state is not UpstreamState.READY:
            return False
        entry, gone = self._entries.get(upstream.name), self._gone.get(upstream.name)
        if entry is None:
            return gone is not None and upstream.revision.era > gone.revision.era
        known = entry.upstream
        if upstream.born != known.born or upstream.revision.era <= known.revision.era:
            return False
        if not entry.is_listed:
            return True
        return self._in_doubt(now) and upstream.revision.revision <= known.revision.revision

    def _leave(self, entry: _Entry, since: float) -> None:
        """Mark an upstream as leaving and say so once.

        The time to drain runs from the notice, not from when this instance learned of it: what
        it learns after a silence may be as old as that.
        """
        entry.doubted_until = None
        if entry.leaving_since is None:
            entry.leaving_since = since
            self._actions.append(UpstreamLeaving(entry.upstream))

    def _rejoin(self, entry: _Entry) -> None:
        """Let an upstream take requests again."""
        entry.leaving_since = None
        entry.doubted_until = None
        self._actions.append(UpstreamJoined(entry.upstream))

    def _bury(self, upstream: Upstream, revision: StoreVersion, now: float) -> None:
        """Forget an upstream, but not that it is gone."""
        entry = self._entries.pop(upstream.name, None)
        before = self._gone.get(upstream.name)
        since = now
        if entry is not None and entry.leaving_since is not None:
            since = entry.leaving_since
        elif before is not None:
            since = before.leaving_since
        known = upstream
        if entry is not None:
            known = entry.upstream
        elif before is not None:
            # Of what is gone the platform tells no more than the name.
            known = before.upstream
        self._gone[upstream.name] = _Gone(known, revision, now, since)

    def _forget(self, now: float) -> None:
        """Forget what is gone for long."""
        for name, gone in list(self._gone.items()):
            if now - gone.at > GONE_KEPT_S:
                del self._gone[name]
                if self._find(gone.upstream.upstream_id) is None:
                    self._names.pop(gone.upstream.upstream_id, None)
        for upstream_id, at in list(self._replaced.items()):
            if now - at > GONE_KEPT_S:
                del self._replaced[upstream_id]
