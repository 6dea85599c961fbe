"""Read the platform's kinds of objects as the gateway's own items."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Generic, TypeVar

import gevent
import orjson
import voluptuous as vol

from driftstall.const import PREFIX_CONFIGURATION
from driftstall.core import Instance
from driftstall.decisions.store_versions import StoreVersion
from driftstall.gateway.cordons import Cordon
from driftstall.gateway.feeds import Changes, ItemChange, Snapshot
from driftstall.gateway.model import PolicyText, RoutingText, Upstream
from driftstall.helpers.log import log_event
from driftstall.platform import checks, documents, names
from driftstall.platform.documents import DocumentFault
from driftstall.platform.store import Store, StoredObject, WatchEvent

Item = TypeVar("Item")
MAX_LOGGED_OBJECTS: Final = 500
"""Objects remembered that could not be read."""


class KindFeed(Generic[Item]):
    """Read one kind; what cannot be decoded is logged, and never stands for what was known."""

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
        """Take the store, the kind and how its objects are decoded.

        Where a name is given, objects of other names stand for nothing.
        What is gone may come without its content, so it may be decoded in another way. So is what
        has changed into an object that cannot be decoded: it counts as gone, since what was known
        of it before holds no more. Without the other way such an object is left out.
        A list that may be some seconds old costs a tenth; a watch from it misses nothing.
        """
        self._store = store
        self._kind = kind
        self._decode = decode
        self._decode_removed = decode_removed
        self._name = name
        self._stale = stale
        self._logged: dict[str, str] = {}
        """Why an object could not be read, by its name: it is listed again and again."""

    def list(self) -> Snapshot[Item]:
        """Return all items of the kind."""
        listing = self._store.list(self._kind, stale=self._stale)
        items = [self._item(one) for one in listing.objects if self._is_meant(one)]
        return Snapshot(tuple(item for item in items if item is not None), listing.at)

    def watch(self, at: StoreVersion, wait_s: float) -> Changes[Item]:
        """Wait for changes after a revision."""
        answer = self._store.watch(self._kind, at, wait_s)
        meant = (event for event in answer.events if self._is_meant(event.changed))
        changes = (self._change(event) for event in meant)
        return Changes(tuple(one for one in changes if one is not None), answer.at)

    def _is_meant(self, stored: StoredObject) -> bool:
        """Tell whether an object is one that this feed is of."""
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
        """Decode one object."""
        try:
            item = self._decode(stored)
        except DocumentFault as fault:
            self._log_unreadable(stored.name, str(fault))
            return None
        self._logged.pop(stored.name, None)
        return item

    def _log_unreadable(self, name: str, reason: str) -> None:
        """Log once why an object is not used."""
        if self._logged.get(name) == reason:
            return
        if len(self._logged) >= MAX_LOGGED_OBJECTS:
            self._logged.clear()
        self._logged[name] = reason
        log_event(
            PREFIX_CONFIGURATION, f"An object cannot be read: {reason}", kind=self._kind, name=name
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
        lambda one: documents.read_upstream(one.name, one.revision, one.spec),
        lambda one: documents.removed_upstream(one.name, one.revision),
    )


def routing_feed(store: Store) -> KindFeed[RoutingText]:
    """Return the feed of routing configurations."""
    return KindFeed(store, names.KIND_CONFIG, _routing_text, name=names.NAME_CONFIG)


def cordon_feed(store: Store) -> KindFeed[Cordon]:
    """Return the feed of cordoned zones; the name of an object is all that counts of it."""
    return KindFeed(store, names.KIND_CORDONS, _cordon)


def policy_feed(store: Store) -> KindFeed[PolicyText]:
    """Return the feed of submitted policies."""
    return KindFeed(store, names.KIND_POLICY, _policy_text, name=names.NAME_POLICY, stale=True)


def instance_feed(store: Store, *, stale: bool = False) -> KindFeed[Instance]:
    """Return the feed of this system's own instances; a stale one is cheap."""
    return KindFeed(store, names.KIND_INSTANCES, _instance, stale=stale)


class PlatformPolicyStore:
    """Read and write the submitted policy; each call may raise PlatformUnavailable."""

    def __init__(self, store: Store) -> None:
        """Take the store."""
        self._store = store

    def read(self) -> PolicyText | None:
        """Return what is stored; None where nothing is, or nothing that can be read."""
        stored = self._store.get(names.KIND_POLICY, names.NAME_POLICY)
        try:
            return _policy_text(stored) if stored else None
        except DocumentFault:
            return None

    def write(self, text: str, instead_of: PolicyText | None) -> bool:
        """Store a policy, unless something else is there by now; return whether it is stored."""
        kind, name, spec = names.KIND_POLICY, names.NAME_POLICY, {"text": text}
        if instead_of is None:
            return self._store.create(kind, name, spec) is not None
        return self._store.replace(kind, name, spec, instead_of.revision) is not None


def register_instance(store: Store, instance: Instance) -> None:
    """Write this instance's own entry, or raise PlatformUnavailable."""
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


def _cordon(stored: StoredObject) -> Cordon:
    """Decode a cordon."""
    try:
        return Cordon(checks.text(stored.name), stored.revision)
    except vol.Invalid as fault:
        raise DocumentFault(f"the cordon {stored.name!r} names no zone") from fault


def _routing_text(stored: StoredObject) -> RoutingText:
    """Decode a routing configuration; the text is kept to pass it on."""
    document = documents.read_routing(stored.spec, lambda: gevent.sleep(0))
    return RoutingText(document, orjson.dumps(stored.spec).decode())


def _policy_text(stored: StoredObject) -> PolicyText:
    """Decode a submitted policy."""
    if not isinstance(stored.spec, dict) or not isinstance(stored.spec.get("text"), str):
        raise DocumentFault(f"the policy {stored.name} has no text")
    return PolicyText(stored.revision, stored.spec["text"])


def _instance(stored: StoredObject) -> Instance:
    """Decode an instance's entry."""
    try:
        spec = _INSTANCE(stored.spec)
    except vol.Invalid as fault:
        raise DocumentFault(
            f"the entry of instance {stored.name} cannot be read: {fault}"
        ) from fault
    return Instance(stored.name, spec["address"], spec["peer_address"], spec["zone"])
