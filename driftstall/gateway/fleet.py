"""Keep what is known of the upstreams: which take requests and which are leaving.

The platform's list is the source; peers fill in for an instance that the platform
does not serve. Revisions order what comes from both. An upstream that has started again under
its name is another one: of two starts the later counts, whatever the revisions say. While the
platform is away, what an upstream says of itself counts for some seconds (see engine_words).
What it signals with a response is final (see leaving_signals).
"""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Final

from driftstall.decisions.cold_starts import UNTOLD_S
from driftstall.decisions.leaving_signals import SIGNAL_RETENTION_S
from driftstall.decisions.store_versions import DOUBT_S, LEFT_DOUBT_S, NO_VERSION, StoreVersion
from driftstall.decisions.upstream_probes import SUSPICION_S
from driftstall.gateway.fleet_events import (
    Changed,
    Cordoned,
    FleetAction,
    FleetEvent,
    Listed,
    ListedByPeer,
    Period,
    PlatformReachable,
    PlatformUnreachable,
    SignalledLeaving,
    StoreRestored,
    UpstreamCold,
    UpstreamJoined,
    UpstreamLeaving,
    UpstreamReplaced,
    UpstreamSuspected,
)
from driftstall.gateway.model import Upstream, UpstreamState
from driftstall.gateway.upstream_registry import Entry, Tombstone, UpstreamRegistry

LAPSE_GRACE_S: Final = 2.2
"""Entries that lapsed during an outage of the platform are back within two seconds."""


class FleetController(UpstreamRegistry):
    """Take in what is told of the upstreams."""

    def __init__(self) -> None:
        """Start with none."""
        super().__init__()
        self._down = False
        self._back_at = float("-inf")
        self._returned_at = float("-inf")
        """When the store came back from an older copy, as far as is known."""
        self._actions: list[FleetAction] = []
        self._told_to = NO_VERSION
        """The revision up to which the platform itself has told this instance everything."""
        self._offered_to = NO_VERSION
        """The newest revision as of which a peer has given its list."""

    def handle(self, event: FleetEvent, now: float) -> list[FleetAction]:
        """Take one event and return what others need to know."""
        self._actions = []
        self._on(event, now)
        # What is listed may change without an action, as of one that has signalled that it leaves.
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
        since = now - event.store_silence_s
        for upstream in event.upstreams:
            self._put(upstream, now, since)
        for name in [one for one in self._entries if one not in listed]:
            revision = self._entries[name].upstream.revision
            # What a peer told while the list was on its way may have joined after it was read.
            if revision <= event.at:
                self._remove(name, revision, now, since, may_lack=self._in_doubt(now))

    @_on.register
    def _(self, event: ListedByPeer, now: float) -> None:
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
                    self._add_tombstone(upstream, upstream.revision, now)

    @_on.register
    def _(self, event: Changed, now: float) -> None:
        upstream = event.upstream
        since = now - event.store_silence_s
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
            self._add_tombstone(upstream, upstream.revision, now)

    @_on.register
    def _(self, event: UpstreamSuspected, now: float) -> None:
        entry = self._find(event.upstream_id)
        if entry is None or not entry.is_listed:
            return
        entry.suspected_until = now + SUSPICION_S
        if entry.leaving_since is None:
            entry.leaving_since = now
            self._actions.append(UpstreamLeaving(entry.upstream, doubted=True))

    @_on.register
    def _(self, event: SignalledLeaving, now: float) -> None:
        entry = self._find(event.upstream_id)
        if entry is None and event.ago_s > SIGNAL_RETENTION_S:
            return
        since = now - event.ago_s
        if self._signalled.add(event.upstream_id, since) and entry is not None:
            self._drain(entry, since)

    @_on.register
    def _(self, event: Cordoned, now: float) -> None:
        self._cordoned = event.zones
        for entry in self._entries.values():
            upstream = entry.upstream
            if upstream.zone in event.lifted and entry.leaving_since is None:
                # It may have gone cold with the end of the cordon, and says so later.
                self._actions.append(UpstreamCold(upstream, UNTOLD_S, is_assumed=True))

    @_on.register
    def _(self, event: PlatformUnreachable, now: float) -> None:
        self._down = True

    @_on.register
    def _(self, event: PlatformReachable, now: float) -> None:
        if self._down:
            self._down = False
            self._back_at = now

    @_on.register
    def _(self, event: StoreRestored, now: float) -> None:
        self._returned_at = now

    @_on.register
    def _(self, event: Period, now: float) -> None:
        for entry in list(self._entries.values()):
            missing = entry.missing_since
            if missing is not None and not (self._in_grace(now) or self._in_doubt(now)):
                self._leave(entry, now)
                self._add_tombstone(entry.upstream, entry.upstream.revision, now)
            elif entry.suspected_until is not None and now >= entry.suspected_until:
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
        tombstone = self._tombstones.get(upstream.name)
        if tombstone is not None and tombstone.revision >= upstream.revision:
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
        elif entry is None and tombstone is not None and upstream.born > tombstone.upstream.born:
            self._replace(tombstone.upstream, upstream, now)
        if entry is not None and upstream.revision < entry.upstream.revision:
            return
        is_newer = entry is None or upstream.revision > entry.upstream.revision
        if entry is None:
            entry = self._entries[upstream.name] = Entry(upstream)
            self._names[upstream.upstream_id] = upstream.name
            signalled_since = self._signalled.since(upstream.upstream_id)
            if signalled_since is not None:
                self._drain(entry, signalled_since)
            elif upstream.state is UpstreamState.READY:
                self._actions.append(UpstreamJoined(upstream))
        if is_newer and (upstream.cold_s > 0 or entry.upstream.cold_s > 0):
            self._actions.append(UpstreamCold(upstream, upstream.cold_s))
        entry.upstream = upstream
        entry.missing_since = None
        if upstream.state is UpstreamState.LEAVING:
            self._leave(entry, since)
        elif not entry.is_listed:
            self._rejoin(entry)

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
        self._add_tombstone(entry.upstream, revision, now)

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
        entry, tombstone = self._entries.get(upstream.name), self._tombstones.get(upstream.name)
        if entry is None:
            return tombstone is not None and upstream.revision.era > tombstone.revision.era
        known = entry.upstream
        if upstream.born != known.born or upstream.revision.era <= known.revision.era:
            return False
        if not entry.is_listed:
            return True
        return self._in_doubt(now) and upstream.revision.revision <= known.revision.revision

    def _leave(self, entry: Entry, since: float) -> None:
        """Mark an upstream as leaving and say so once.

        The time to drain runs from the notice, not from when this instance learned of it: what
        it learns after a silence may be as old as that.
        """
        entry.suspected_until = None
        entry.is_listed = False
        if entry.leaving_since is None:
            entry.leaving_since = since
            self._actions.append(UpstreamLeaving(entry.upstream))

    def _drain(self, entry: Entry, since: float) -> None:
        """Mark an upstream as leaving by its own signal, whatever the platform's list holds."""
        entry.suspected_until = None
        if entry.leaving_since is None:
            entry.leaving_since = since
            self._actions.append(UpstreamLeaving(entry.upstream, signalled=True))

    def _rejoin(self, entry: Entry) -> None:
        """Let an upstream take requests again, unless it has signalled itself that it leaves."""
        entry.suspected_until = None
        entry.is_listed = True
        if self.has_signalled_leaving(entry.upstream.upstream_id):
            return
        entry.leaving_since = None
        self._actions.append(UpstreamJoined(entry.upstream))

    def _add_tombstone(self, upstream: Upstream, revision: StoreVersion, now: float) -> None:
        """Replace an upstream with its tombstone, so that old news cannot revive it."""
        entry = self._entries.pop(upstream.name, None)
        before = self._tombstones.get(upstream.name)
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
        self._tombstones[upstream.name] = Tombstone(known, revision, now, since)
