"""Read and write what operators see in the platform's store."""

from __future__ import annotations

from typing import Any

from driftstall.decisions.store_versions import NO_VERSION, StoreVersion
from driftstall.platform import names
from driftstall.platform.feeds import instance_feed, upstream_feed
from driftstall.platform.store import Store

TEXT = "text"


class PolicyStore:
    """Hold the submitted policy, and show what else is stored; raises PlatformUnavailable."""

    def __init__(self, address: str) -> None:
        """Take the store's address, IP and port."""
        self._store = Store(address)

    def text(self) -> str:
        """Return the submitted policy's text; empty if there is none."""
        stored = self._store.get(names.KIND_POLICY, names.NAME_POLICY)
        return str(stored.spec[TEXT]) if stored else ""

    def revision(self) -> StoreVersion:
        """Return the submitted policy's version; zero if there is none."""
        stored = self._store.get(names.KIND_POLICY, names.NAME_POLICY)
        return stored.revision if stored else NO_VERSION

    def submit(self, text: str, base: StoreVersion | None) -> StoreVersion | None:
        """Store a policy; return its version, or None if the base is not the newest."""
        kind, name, spec = names.KIND_POLICY, names.NAME_POLICY, {TEXT: text}
        stored = None
        if base is None or base:
            stored = self._store.replace(kind, name, spec, base)
        if stored is None and not base:
            stored = self._store.create(kind, name, spec)
        return stored.revision if stored else None

    def routing(self) -> dict[str, Any]:
        """Return the routing document as the operators wrote it, without keys."""
        stored = self._store.get(names.KIND_CONFIG, names.NAME_CONFIG)
        if stored is None:
            return {}
        shown = dict(stored.spec)
        workspaces = shown.get("tenants") or ()
        shown["tenants"] = [one | {"apiKeys": len(one.get("apiKeys") or ())} for one in workspaces]
        return shown

    def instance_rows(self) -> list[dict[str, Any]]:
        """Return the instances as rows of a table."""
        return [
            {"instance": one.instance_id, "zone": one.zone, "address": one.address}
            for one in instance_feed(self._store).list().items
        ]

    def upstream_rows(self) -> list[dict[str, Any]]:
        """Return the upstreams as rows of a table."""
        return [
            {
                "upstream": one.upstream_id,
                "service": one.service,
                "zone": one.zone,
                "address": one.address,
                "state": one.state.value,
            }
            for one in upstream_feed(self._store).list().items
        ]
