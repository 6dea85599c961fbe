"""State machine of the fleet: which upstreams accept requests and which are leaving.

The platform's list is the source of truth; peers fill in for an instance that the platform does not
answer. Store versions order the updates of both. An upstream that restarts under its name counts as
a new one: the later of two starts wins, whatever the revisions say, since a late heartbeat of the
previous start may carry a newer revision. While the platform is unreachable, the state that an
upstream reports in a probe counts for some seconds (see upstream_probes). A leaving signal sent
with a response is final (see leaving_signals).
"""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Final

from driftstall.decisions.cold_starts import ASSUMED_COLD_S
from driftstall.decisions.leaving_signals import SIGNAL_RETENTION_S
from driftstall.decisions.store_versions import (
    INCOMPLETE_S,
    NO_VERSION,
    REMOVED_RETENTION_S,
    StoreVersion,
)
from driftstall.decisions.upstream_probes import SUSPICION_S
from driftstall.gateway.fleet_events import (
    CordonedZonesChanged,
    FleetAction,
    FleetEvent,
    PlatformReachable,
    PlatformUnreachable,
    SignalledLeaving,
    StoreRestored,
    TimerFired,
    UpstreamChanged,
    UpstreamCold,
    UpstreamJoined,
    UpstreamLeaving,
    UpstreamMissing,
    UpstreamReplaced,
    UpstreamsListed,
    UpstreamsListedByPeer,
    UpstreamSuspected,
)
from driftstall.gateway.model import Upstream, UpstreamState
from driftstall.gateway.upstream_registry import (
    MissingEntry,
    RegistryEntry,
    Tombstone,
    UpstreamRegistry,
)

LAPSE_GRACE_S: Final = 2.2
"""Entries that lapsed during an outage of the platform are written again within two seconds of its
return; until then a missing entry doesn't mean that its upstream has left."""


class FleetController(UpstreamRegistry):
    """Applies fleet events to the registry and returns the resulting actions."""

    def __init__(self) -> None:
        """Initialize an empty fleet."""
        super().__init__()
        self._is_unreachable = False
        self._reachable_since = float("-inf")
        self._restored_at = float("-inf")
        """When the store was last found to be restored from an older copy."""
        self._actions: list[FleetAction] = []
        self._store_read_to = NO_VERSION
        """Version up to which this instance has read all changes from the platform itself."""
        self._peer_list_at = NO_VERSION
        """Newest version at which a peer has sent its list."""

    def handle(self, event: FleetEvent, now: float) -> list[FleetAction]:
        """Handle one event and return the resulting actions."""
        self._actions = []
        self._handle(event, now)
        # The digest can change without an action, e.g. for an upstream that signalled its end.
        self._digest = None
        return self._actions

    @singledispatchmethod
    def _handle(self, event: FleetEvent, now: float) -> None:
        """Handle one event."""
        raise TypeError(f"no handler for {type(event).__name__}")

    @_handle.register
    def _(self, event: UpstreamsListed, now: float) -> None:
        self._is_loaded = True
        self._store_read_to = max(self._store_read_to, event.at)
        listed = {upstream.name for upstream in event.upstreams}
        since = now - event.store_silence_s
        for upstream in event.upstreams:
            self._apply_entry(upstream, now, since)
        for name in [name for name in self._entries if name not in listed]:
            revision = self._entries[name].upstream.revision
            # An entry that a peer sent meanwhile may have joined after the list was read.
            if revision <= event.at:
                self._remove(
                    name, revision, now, since, may_be_lost=self._may_store_lack_entries(now)
                )

    @_handle.register
    def _(self, event: UpstreamsListedByPeer, now: float) -> None:
        self._is_loaded = True
        listed = {upstream.name for upstream in event.upstreams}
        if event.at >= self._peer_list_at:
            self._peer_list_at = event.at
            for upstream in event.upstreams:
                self._apply_peer_entry(upstream, now)
        else:
            for upstream in event.upstreams:
                self._apply_late_peer_entry(upstream, now)
        for entry in list(self._entries.values()):
            upstream = entry.upstream
            if upstream.name not in listed and upstream.revision <= event.at:
                self._mark_leaving(entry, now)
                if upstream.state is UpstreamState.READY:
                    # Without a tombstone an older list of another peer would revive it.
                    self._add_tombstone(upstream, upstream.revision, now)

    @_handle.register
    def _(self, event: UpstreamChanged, now: float) -> None:
        upstream = event.upstream
        since = now - event.store_silence_s
        self._at = max(self._at, upstream.revision)
        if not event.from_peer:
            self._store_read_to = max(self._store_read_to, upstream.revision)
        if not event.removed and event.from_peer:
            self._apply_late_peer_entry(upstream, now)
        elif not event.removed:
            self._apply_entry(upstream, now, since)
        elif 0 < upstream.born < self._latest_start(upstream.name):
            # The end of an earlier start doesn't concern the current one.
            return
        elif upstream.name in self._entries:
            revision, is_certain = upstream.revision, event.from_peer
            self._remove(upstream.name, revision, now, since, is_certain=is_certain)
        else:
            self._add_tombstone(upstream, upstream.revision, now)

    @_handle.register
    def _(self, event: UpstreamSuspected, now: float) -> None:
        entry = self._find_entry(event.upstream_id)
        if entry is None or not entry.is_listed:
            return
        entry.suspected_until = now + SUSPICION_S
        if entry.leaving_since is None:
            entry.leaving_since = now
            self._actions.append(UpstreamLeaving(entry.upstream, is_suspected=True))

    @_handle.register
    def _(self, event: SignalledLeaving, now: float) -> None:
        entry = self._find_entry(event.upstream_id)
        if entry is None and event.ago_s > SIGNAL_RETENTION_S:
            return
        since = now - event.ago_s
        if self._signalled.add(event.upstream_id, since) and entry is not None:
            self._mark_signalled_leaving(entry, since)

    @_handle.register
    def _(self, event: CordonedZonesChanged, now: float) -> None:
        self._cordoned = event.zones
        for entry in self._entries.values():
            upstream = entry.upstream
            if upstream.zone in event.lifted and entry.leaving_since is None:
                # The upstream may be cold when the cordon ends, and reports that only later.
                self._actions.append(UpstreamCold(upstream, ASSUMED_COLD_S, is_assumed=True))

    @_handle.register
    def _(self, event: PlatformUnreachable, now: float) -> None:
        self._is_unreachable = True

    @_handle.register
    def _(self, event: PlatformReachable, now: float) -> None:
        if self._is_unreachable:
            self._is_unreachable = False
            self._reachable_since = now

    @_handle.register
    def _(self, event: StoreRestored, now: float) -> None:
        self._restored_at = now

    @_handle.register
    def _(self, event: TimerFired, now: float) -> None:
        for entry in list(self._entries.values()):
            missing = entry.missing
            if missing is not None and not (
                self._is_in_lapse_grace(now) or self._may_store_lack_entries(now)
            ):
                missing_s = now - missing.found_at
                self._mark_leaving(entry, missing.removed_since, missing_s=missing_s)
                self._add_tombstone(entry.upstream, entry.upstream.revision, now)
            elif entry.suspected_until is not None and now >= entry.suspected_until:
                self._rejoin(entry)
        self._remove_expired(now)

    def _apply_peer_entry(self, upstream: Upstream, now: float) -> None:
        """Apply an entry sent by a peer, unless the platform itself has reported its removal.

        The peer's state may be older: an entry whose revision this instance has read past, and
        which it does not hold, was removed since.
        """
        if upstream.name in self._entries or upstream.revision > self._store_read_to:
            self._apply_entry(upstream, now, now)

    def _apply_late_peer_entry(self, upstream: Upstream, now: float) -> None:
        """Apply an entry sent by a peer, unless a newer list of a peer lacked it.

        An upstream that the list lacked had left by then, and earlier updates may still arrive. An
        upstream that the sender of that list did not know yet is in the next list, which is
        requested because the digests differ.
        """
        entry = self._entries.get(upstream.name)
        is_listed = entry is not None and entry.is_listed
        if is_listed or upstream.revision > self._peer_list_at:
            self._apply_peer_entry(upstream, now)

    def _apply_entry(self, upstream: Upstream, now: float, since: float) -> None:
        """Apply an entry if it is newer than the known one.

        The argument since is the earliest time at which the entry can have been written.
        """
        self._at = max(self._at, upstream.revision)
        tombstone = self._tombstones.get(upstream.name)
        if tombstone is not None and tombstone.revision >= upstream.revision:
            return
        if self._is_from_restored_copy(upstream, now):
            if upstream.name in self._entries:
                self._entries[upstream.name].missing = None
            return
        if upstream.born < self._latest_start(upstream.name):
            # A late heartbeat of the previous start can arrive after the first of this one.
            return
        entry = self._entries.get(upstream.name)
        if entry is not None and upstream.born > entry.upstream.born:
            # Revisions aren't compared: a late heartbeat of the previous start may be newer.
            del self._entries[upstream.name]
            self._record_restart(entry.upstream, upstream, now)
            entry = None
        elif entry is None and tombstone is not None and upstream.born > tombstone.upstream.born:
            self._record_restart(tombstone.upstream, upstream, now)
        if entry is not None and upstream.revision < entry.upstream.revision:
            return
        is_newer = entry is None or upstream.revision > entry.upstream.revision
        if entry is None:
            entry = self._entries[upstream.name] = RegistryEntry(upstream)
            self._names[upstream.upstream_id] = upstream.name
            signalled_since = self._signalled.since(upstream.upstream_id)
            if signalled_since is not None:
                self._mark_signalled_leaving(entry, signalled_since)
            elif upstream.state is UpstreamState.READY:
                self._actions.append(UpstreamJoined(upstream))
        if is_newer and (upstream.cold_s > 0 or entry.upstream.cold_s > 0):
            self._actions.append(UpstreamCold(upstream, upstream.cold_s))
        entry.upstream = upstream
        entry.missing = None
        if upstream.state is UpstreamState.LEAVING:
            self._mark_leaving(entry, since)
        elif not entry.is_listed:
            self._rejoin(entry)

    def _record_restart(self, old: Upstream, later: Upstream, now: float) -> None:
        """Record that an upstream has restarted; its later start may be cold."""
        if old.upstream_id not in self._replaced:
            self._replaced[old.upstream_id] = now
            self._actions.append(UpstreamReplaced(old))
        self._actions.append(UpstreamCold(later, ASSUMED_COLD_S, is_assumed=True))

    def _remove(
        self,
        name: str,
        revision: StoreVersion,
        now: float,
        since: float,
        *,
        is_certain: bool = False,
        may_be_lost: bool = False,
    ) -> None:
        """Mark an upstream as leaving whose entry is missing.

        The argument since is the earliest time at which the entry can have been removed. With
        is_certain the entry was removed and has not merely lapsed; with may_be_lost the restored
        store may have lost it.
        """
        entry = self._entries[name]
        if revision < entry.upstream.revision:
            return
        is_uncertain = may_be_lost or (self._is_in_lapse_grace(now) and not is_certain)
        if is_uncertain and entry.leaving_since is None:
            if entry.missing is None:
                entry.missing = MissingEntry(now, since)
                self._actions.append(UpstreamMissing(entry.upstream))
            return
        self._mark_leaving(entry, since)
        self._add_tombstone(entry.upstream, revision, now)

    def _is_in_lapse_grace(self, now: float) -> bool:
        """Return True if a missing entry may only have lapsed during an outage."""
        return self._is_unreachable or now - self._reachable_since < LAPSE_GRACE_S

    def _may_store_lack_entries(self, now: float) -> bool:
        """Return True if the restored store may still lack entries or hold removed ones."""
        return now - self._restored_at < INCOMPLETE_S

    def _is_from_restored_copy(self, upstream: Upstream, now: float) -> bool:
        """Return True if an entry may stem from the older copy that the store was restored from.

        Its upstream may have left or changed since.
        """
        may_have_left = now - self._restored_at < REMOVED_RETENTION_S
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
        return (
            self._may_store_lack_entries(now)
            and upstream.revision.revision <= known.revision.revision
        )

    def _mark_leaving(self, entry: RegistryEntry, since: float, *, missing_s: float = 0.0) -> None:
        """Mark an upstream as leaving and report that once.

        The time to drain runs from the notice, not from when this instance learned of it: after a
        silence of the platform the notice may be as old as the silence.
        """
        entry.suspected_until = None
        entry.is_listed = False
        if entry.leaving_since is None:
            entry.leaving_since = since
            self._actions.append(UpstreamLeaving(entry.upstream, missing_s=missing_s))

    def _mark_signalled_leaving(self, entry: RegistryEntry, since: float) -> None:
        """Mark an upstream as leaving by its own signal, whatever the platform's list says."""
        entry.suspected_until = None
        if entry.leaving_since is None:
            entry.leaving_since = since
            self._actions.append(UpstreamLeaving(entry.upstream, has_signalled=True))

    def _rejoin(self, entry: RegistryEntry) -> None:
        """Let an upstream accept requests again, unless it has signalled that it is leaving."""
        entry.suspected_until = None
        entry.is_listed = True
        if self.has_signalled_leaving(entry.upstream.upstream_id):
            return
        entry.leaving_since = None
        self._actions.append(UpstreamJoined(entry.upstream))

    def _add_tombstone(self, upstream: Upstream, revision: StoreVersion, now: float) -> None:
        """Replace an upstream with its tombstone, so that a stale update cannot revive it."""
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
            # The platform reports only the name of a removed upstream.
            known = before.upstream
        self._tombstones[upstream.name] = Tombstone(known, revision, now, since)
