"""Keep the product's own documents in the platform's object store.

A key such as driftstall/config or driftstall/claims/7 names an object of a kind of
ours; a version is the store's revision of the object, and zero stands for none.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Final

from driftstall.decisions.store_versions import StoreVersion
from driftstall.decisions.watch_timeouts import max_watch_wait_s
from driftstall.exceptions import PlatformUnavailable
from driftstall.platform import names
from driftstall.platform.store import Store, StoredObject, WatchEvent

CATCH_UP_S: Final = 3.0
"""How long an instance may go on with what it knew while its connection is dead; an accepted
configuration is to be in force everywhere within five seconds."""
WATCH_S: Final = max_watch_wait_s(CATCH_UP_S)
STATE_READY: Final = "ready"
SINGLETON_NAME: Final = "main"
"""The name of the object where a kind has only one."""


class WriteState(StrEnum):
    """Name how a write ended."""

    DONE = "done"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class VersionedValue:
    """Hold one value; version zero stands for none."""

    key: str
    version: int
    value: Any


@dataclass(frozen=True, slots=True)
class WriteResult:
    """Tell how a write ended, and the version it made."""

    state: WriteState
    version: int = 0


@dataclass(frozen=True, slots=True)
class ListedMember:
    """Hold one row of the platform's list; it lags."""

    member_id: str
    role: str
    """entry or runner."""
    address: str
    peer_address: str
    zone: str
    leaving: bool


class PlatformClient:
    """Read, write and watch the product's own documents."""

    def __init__(self, address: str, token: str = "") -> None:
        """Take the store's address (IP and port) and an access token, if it wants one."""
        self._store = Store(address, token)
        self.reads = 0
        self.writes = 0

    def get(self, key: str) -> VersionedValue:
        """Return a value, or raise PlatformUnavailable."""
        self.reads += 1
        stored = self._store.get(*_place(key))
        if stored is None:
            return VersionedValue(key, 0, None)
        return VersionedValue(key, stored.revision.revision, stored.spec)

    def put(self, key: str, value: Any, expected: int) -> WriteResult:
        """Write a value if its version is still the expected one."""
        self.writes += 1
        kind, name = _place(key)
        try:
            if expected:
                at = StoreVersion.of(self._store.era, expected)
                stored = self._store.replace(kind, name, value, at)
            else:
                stored = self._store.create(kind, name, value)
        except PlatformUnavailable as fault:
            if not fault.sent:
                raise
            return WriteResult(WriteState.UNKNOWN)
        if stored is None:
            return WriteResult(WriteState.CONFLICT)
        return WriteResult(WriteState.DONE, stored.revision.revision)

    def watch(self, key: str, after: int) -> tuple[int, tuple[VersionedValue, ...]]:
        """Wait for changes of a key's kind after a revision; zero reads what is there."""
        self.reads += 1
        kind, _ = _place(key)
        if not after:
            listing = self._store.list(kind)
            values = [_versioned(one) for one in listing.objects]
            return listing.at.revision, tuple(values)
        answer = self._store.watch(kind, StoreVersion.of(self._store.era, after), WATCH_S)
        return answer.at.revision, tuple(
            _value(event) for event in answer.events if not event.removed
        )

    def members(self) -> tuple[ListedMember, ...]:
        """Return the platform's list of instances and runners."""
        self.reads += 2
        rows = [("entry", one) for one in self._store.list(names.KIND_INSTANCES).objects]
        rows += [("runner", one) for one in self._store.list(names.KIND_UPSTREAMS).objects]
        return tuple(
            ListedMember(
                one.name,
                role,
                one.spec["address"],
                one.spec.get("peer_address", ""),
                one.spec.get("zone", ""),
                one.spec.get("state", STATE_READY) != STATE_READY,
            )
            for role, one in rows
        )


def _place(key: str) -> tuple[str, str]:
    """Return the kind and the name of the object that holds a key's value."""
    product, part, *rest = key.split("/", 2)
    return f"{product}-{part}", rest[0] if rest else SINGLETON_NAME


def _value(event: WatchEvent) -> VersionedValue:
    """Return the value that a change has brought."""
    return _versioned(event.changed)


def _versioned(stored: StoredObject) -> VersionedValue:
    """Return an object as one of the product's own values."""
    return VersionedValue(stored.name, stored.revision.revision, stored.spec)
