"""List and watch the platform's kinds of objects, decoded into the gateway's types."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Generic, TypeVar

import gevent
import voluptuous as vol

from driftstall.const import PREFIX_CONFIGURATION
from driftstall.core import Instance
from driftstall.decisions.store_versions import StoreVersion
from driftstall.exceptions import HistoryUnavailable
from driftstall.gateway.cordons import Cordon
from driftstall.gateway.feeds import Changes, ItemChange, Snapshot
from driftstall.gateway.model import PolicyText, RoutingText, Upstream
from driftstall.helpers.log import log_event
from driftstall.platform import checks, documents, names
from driftstall.platform.documents import DocumentFault
from driftstall.platform.json_rows import encode_value
from driftstall.platform.store import Store, StoredObject, WatchEvent

Item = TypeVar("Item")
MAX_LOGGED_OBJECTS: Final = 500
"""Objects remembered as logged, so that each invalid object is logged once per reason."""


class KindFeed(Generic[Item]):
    """List and watch the objects of one kind.

    An object that cannot be decoded is logged, and is never returned as an item.
    """

    def __init__(
        self,
        store: Store,
        kind: str,
        decode: Callable[[StoredObject], Item],
        decode_removed: Callable[[StoredObject], Item] | None = None,
        *,
        name: str | None = None,
        stale: bool = False,
    ) -> None:
        """Initialize the feed of a kind.

        With `name`, objects of other names are ignored. `decode_removed` decodes removed objects,
        which may come without their content. It is also applied to an object whose changed content
        cannot be decoded: the object counts as removed, since its earlier value no longer holds.
        Without `decode_removed` such changes are omitted.
        With `stale`, lists may be some seconds old, at a tenth of the cost; a watch that starts
        from such a list misses no change.
        """
        self._store = store
        self._kind = kind
        self._decode = decode
        self._decode_removed = decode_removed
        self._name = name
        self._stale = stale
        self._needs_current_list = False
        """Whether the next list must not be stale: the latest watch found its history discarded."""
        self._logged_reasons: dict[str, str] = {}
        """Logged decoding errors by object name; an invalid object appears in every list."""

    def list(self) -> Snapshot[Item]:
        """Return all items of the kind that can be decoded."""
        listing = self._store.list(self._kind, stale=self._stale and not self._needs_current_list)
        self._needs_current_list = False
        items = [self._item(stored) for stored in listing.objects if self._is_selected(stored)]
        return Snapshot(tuple(item for item in items if item is not None), listing.at)

    def watch(self, at: StoreVersion, wait_s: float) -> Changes[Item]:
        """Wait up to `wait_s` seconds for changes after a version."""
        try:
            answer = self._store.watch(self._kind, at, wait_s)
        except HistoryUnavailable:
            # A stale list may be from before the discarded history as well.
            self._needs_current_list = True
            raise
        selected = (event for event in answer.events if self._is_selected(event.changed))
        changes = (self._change(event) for event in selected)
        return Changes(tuple(change for change in changes if change is not None), answer.at)

    def _is_selected(self, stored: StoredObject) -> bool:
        """Return True if the feed covers an object."""
        return self._name is None or stored.name == self._name

    def _change(self, event: WatchEvent) -> ItemChange[Item] | None:
        """Decode one change."""
        if event.removed and self._decode_removed is not None:
            return ItemChange(self._decode_removed(event.changed), removed=True)
        item = self._item(event.changed)
        if item is not None:
            return ItemChange(item, event.removed)
        if self._decode_removed is not None:
            return ItemChange(self._decode_removed(event.changed), removed=True)
        return None

    def _item(self, stored: StoredObject) -> Item | None:
        """Decode an object; return None and log the reason if it is invalid."""
        try:
            item = self._decode(stored)
        except DocumentFault as fault:
            self._log_unreadable(stored.name, str(fault))
            return None
        except Exception as defect:
            # A decoder must not keep the other objects from being read, whatever another writer
            # has stored.
            self._log_unreadable(stored.name, f"{type(defect).__name__}: {defect}")
            return None
        self._logged_reasons.pop(stored.name, None)
        return item

    def _log_unreadable(self, name: str, reason: str) -> None:
        """Log why an object is ignored, once per reason."""
        if self._logged_reasons.get(name) == reason:
            return
        if len(self._logged_reasons) >= MAX_LOGGED_OBJECTS:
            self._logged_reasons.clear()
        self._logged_reasons[name] = reason
        log_event(
            PREFIX_CONFIGURATION, f"Stored object ignored: {reason}", kind=self._kind, name=name
        )


_INSTANCE: Final = vol.Schema(
    {
        vol.Required("address"): checks.address,
        vol.Required("peer_address"): checks.address,
        vol.Required("zone"): checks.text,
    },
    extra=vol.ALLOW_EXTRA,
)


def upstream_feed(store: Store) -> KindFeed[Upstream]:
    """Return the feed of upstreams."""
    return KindFeed(
        store,
        names.KIND_UPSTREAMS,
        lambda stored: documents.read_upstream(stored.name, stored.revision, stored.spec),
        lambda stored: documents.removed_upstream(stored.name, stored.revision),
    )


def routing_feed(store: Store) -> KindFeed[RoutingText]:
    """Return the feed of routing configurations."""
    return KindFeed(store, names.KIND_CONFIG, _decode_routing_text, name=names.NAME_CONFIG)


def cordon_feed(store: Store) -> KindFeed[Cordon]:
    """Return the feed of cordoned zones, each of which is named by the name of its object."""
    return KindFeed(store, names.KIND_CORDONS, _decode_cordon)


def policy_feed(store: Store) -> KindFeed[PolicyText]:
    """Return the feed of submitted policies."""
    return KindFeed(
        store, names.KIND_POLICY, decode_policy_text, name=names.NAME_POLICY, stale=True
    )


def instance_feed(store: Store, *, stale: bool = False) -> KindFeed[Instance]:
    """Return the feed of this system's instances; stale lists cost the store less."""
    return KindFeed(store, names.KIND_INSTANCES, _decode_instance, stale=stale)


class PlatformPolicyStore:
    """Read and write the submitted policy; each call may raise PlatformUnavailable."""

    def __init__(self, store: Store) -> None:
        """Initialize with the platform's object store."""
        self._store = store

    def read(self) -> PolicyText | None:
        """Return the stored policy; None if there is none or it is invalid."""
        stored = self._store.get(names.KIND_POLICY, names.NAME_POLICY)
        try:
            return decode_policy_text(stored) if stored else None
        except DocumentFault:
            return None

    def write(self, text: str, instead_of: PolicyText | None) -> bool:
        """Replace a policy if it is still the stored one; return True if it was replaced."""
        kind, name, spec = names.KIND_POLICY, names.NAME_POLICY, {"text": text}
        if instead_of is None:
            return self._store.create(kind, name, spec) is not None
        return self._store.replace(kind, name, spec, instead_of.revision) is not None


def register_instance(store: Store, instance: Instance) -> None:
    """Create or replace this instance's entry, or raise PlatformUnavailable."""
    spec = {
        "address": instance.address,
        "peer_address": instance.peer_address,
        "zone": instance.zone,
    }
    kind, name = names.KIND_INSTANCES, instance.instance_id
    if store.create(kind, name, spec) is None:
        store.replace(kind, name, spec)


def withdraw_instance(store: Store, instance_id: str) -> None:
    """Remove an instance's entry, or raise PlatformUnavailable."""
    store.delete(names.KIND_INSTANCES, instance_id)


def _decode_cordon(stored: StoredObject) -> Cordon:
    """Decode a cordon."""
    try:
        return Cordon(checks.text(stored.name), stored.revision)
    except vol.Invalid as fault:
        raise DocumentFault(f"invalid zone name of cordon {stored.name!r}") from fault


def _decode_routing_text(stored: StoredObject) -> RoutingText:
    """Decode a routing configuration, with its text, which is sent to other instances."""
    document = documents.read_routing(stored.spec, lambda: gevent.sleep(0))
    return RoutingText(document, encode_value(stored.spec))


def decode_policy_text(stored: StoredObject) -> PolicyText:
    """Decode a submitted policy."""
    if not isinstance(stored.spec, dict) or not isinstance(stored.spec.get("text"), str):
        raise DocumentFault(f"policy {stored.name!r} has no text")
    return PolicyText(stored.revision, stored.spec["text"])


def _decode_instance(stored: StoredObject) -> Instance:
    """Decode an instance's entry."""
    try:
        spec = _INSTANCE(stored.spec)
        instance_id = checks.name(stored.name)
    except vol.Invalid as fault:
        raise DocumentFault(f"invalid entry of instance {stored.name!r}: {fault}") from fault
    return Instance(instance_id, spec["address"], spec["peer_address"], spec["zone"])
