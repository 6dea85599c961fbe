"""Client for the product's own documents in the platform's object store.

A key such as driftstall/config or driftstall/claims/7 names an object of one of the product's
kinds (driftstall-config, driftstall-claims). A version is the store's revision of the object;
version zero means that the object does not exist.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Final

import voluptuous as vol

from driftstall.const import PREFIX_MEMBERSHIP
from driftstall.decisions.store_versions import StoreVersion
from driftstall.decisions.watch_timeouts import max_watch_wait_s
from driftstall.exceptions import PlatformUnavailable
from driftstall.helpers.log import log_event
from driftstall.platform import names
from driftstall.platform.store import Store, StoredObject, WatchEvent

MAX_STALE_S: Final = 3.0
"""Longest time that an instance may work with outdated documents on a dead connection: an accepted
configuration must be in force everywhere within five seconds."""
WATCH_WAIT_S: Final = max_watch_wait_s(MAX_STALE_S)
STATE_READY: Final = "ready"
SINGLETON_NAME: Final = "main"
"""Name of the object of a kind that has only one."""


_MEMBER: Final = vol.Schema(
    {
        vol.Required("address"): str,
        vol.Optional("peer_address", default=""): str,
        vol.Optional("zone", default=""): str,
        vol.Optional("state", default=STATE_READY): str,
    },
    extra=vol.ALLOW_EXTRA,
)


class WriteState(StrEnum):
    """Outcome of a write."""

    DONE = "done"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class VersionedValue:
    """A stored value and its version; version zero means that there is none."""

    key: str
    version: int
    value: Any


@dataclass(frozen=True, slots=True)
class WriteResult:
    """Outcome of a write, and the version that it created."""

    state: WriteState
    version: int = 0


@dataclass(frozen=True, slots=True)
class ListedMember:
    """A row of the platform's list of instances and runners, which lags behind their state."""

    member_id: str
    role: str
    """Either "entry" or "runner"."""
    address: str
    peer_address: str
    zone: str
    leaving: bool


class PlatformClient:
    """Read, write and watch the product's own documents."""

    def __init__(self, address: str, token: str = "") -> None:
        """Initialize with the store's address (IP:port) and its access token, if it needs one."""
        self._store = Store(address, token)
        self.reads = 0
        self.writes = 0

    def get(self, key: str) -> VersionedValue:
        """Return a value, or raise PlatformUnavailable."""
        self.reads += 1
        stored = self._store.get(*_split_key(key))
        if stored is None:
            return VersionedValue(key, 0, None)
        return VersionedValue(key, stored.revision.revision, stored.spec)

    def put(self, key: str, value: Any, expected: int) -> WriteResult:
        """Write a value if its version is still the expected one (zero: does not exist).

        Raises PlatformUnavailable if the write was certainly not executed.
        """
        self.writes += 1
        kind, name = _split_key(key)
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
        """Wait for changes of a key's kind after a revision; with zero, list all objects.

        Returns the revision to watch from next, and the listed or changed values.
        """
        self.reads += 1
        kind, _ = _split_key(key)
        if not after:
            listing = self._store.list(kind)
            values = [_versioned(stored) for stored in listing.objects]
            return listing.at.revision, tuple(values)
        answer = self._store.watch(kind, StoreVersion.of(self._store.era, after), WATCH_WAIT_S)
        return answer.at.revision, tuple(
            _value(event) for event in answer.events if not event.removed
        )

    def members(self) -> tuple[ListedMember, ...]:
        """Return the platform's list of instances and runners."""
        self.reads += 2
        rows = [("entry", stored) for stored in self._store.list(names.KIND_INSTANCES).objects]
        rows += [("runner", stored) for stored in self._store.list(names.KIND_UPSTREAMS).objects]
        members = (_decode_member(role, stored) for role, stored in rows)
        return tuple(member for member in members if member is not None)


def _decode_member(role: str, stored: StoredObject) -> ListedMember | None:
    """Decode a row of the list of members; return None and log the reason if it is invalid."""
    try:
        spec: dict[str, Any] = _MEMBER(stored.spec)
    except vol.Invalid as fault:
        log_event(PREFIX_MEMBERSHIP, f"Entry of {role} {stored.name!r} ignored: {fault}")
        return None
    return ListedMember(
        stored.name,
        role,
        spec["address"],
        spec["peer_address"],
        spec["zone"],
        spec["state"] != STATE_READY,
    )


def _split_key(key: str) -> tuple[str, str]:
    """Return the kind and the name of the object that holds a key's value."""
    product, part, *names_below = key.split("/", 2)
    return f"{product}-{part}", names_below[0] if names_below else SINGLETON_NAME


def _value(event: WatchEvent) -> VersionedValue:
    """Return the value after a change."""
    return _versioned(event.changed)


def _versioned(stored: StoredObject) -> VersionedValue:
    """Return an object's content and revision as a versioned value."""
    return VersionedValue(stored.name, stored.revision.revision, stored.spec)
