"""Operators' access to the platform's store: the submitted policy, routing and status."""

from __future__ import annotations

from typing import Any

import orjson

from driftstall.decisions.store_versions import NO_VERSION, StoreVersion
from driftstall.platform import names
from driftstall.platform.documents import read_routing
from driftstall.platform.feeds import decode_policy_text, instance_feed, upstream_feed
from driftstall.platform.json_rows import encode_value
from driftstall.platform.store import Store

TEXT = "text"


class PolicyStore:
    """Read and submit the policy, and read routing and status; calls raise PlatformUnavailable."""

    def __init__(self, address: str) -> None:
        """Initialize with the store's address (IP:port)."""
        self._store = Store(address)

    def text(self) -> str:
        """Return the submitted policy's text; empty if there is none."""
        stored = self._store.get(names.KIND_POLICY, names.NAME_POLICY)
        return decode_policy_text(stored).text if stored else ""

    def revision(self) -> StoreVersion:
        """Return the submitted policy's version; zero if there is none."""
        stored = self._store.get(names.KIND_POLICY, names.NAME_POLICY)
        return stored.revision if stored else NO_VERSION

    def submit(self, text: str, base: StoreVersion | None) -> StoreVersion | None:
        """Store a policy; return its version, or None if `base` is not the newest version.

        Without a base the policy is replaced unconditionally, and created if there is none.
        """
        kind, name, spec = names.KIND_POLICY, names.NAME_POLICY, {TEXT: text}
        stored = None
        if base is None or base:
            stored = self._store.replace(kind, name, spec, base)
        if stored is None and not base:
            stored = self._store.create(kind, name, spec)
        return stored.revision if stored else None

    def routing(self) -> dict[str, Any]:
        """Return the routing document as submitted, with the number of API keys for the keys."""
        stored = self._store.get(names.KIND_CONFIG, names.NAME_CONFIG)
        if stored is None:
            return {}
        read_routing(stored.spec)
        shown: dict[str, Any] = orjson.loads(encode_value(stored.spec))
        if shown.get("tenants") is not None:
            shown["tenants"] = [
                workspace | {"apiKeys": len(workspace.get("apiKeys") or ())}
                for workspace in shown["tenants"]
            ]
        return shown

    def instance_rows(self) -> list[dict[str, Any]]:
        """Return the instances as rows of a table."""
        return [
            {
                "instance": instance.instance_id,
                "zone": instance.zone,
                "address": instance.address,
            }
            for instance in instance_feed(self._store).list().items
        ]

    def upstream_rows(self) -> list[dict[str, Any]]:
        """Return the upstreams as rows of a table."""
        return [
            {
                "upstream": upstream.upstream_id,
                "service": upstream.service,
                "zone": upstream.zone,
                "address": upstream.address,
                "state": upstream.state.value,
            }
            for upstream in upstream_feed(self._store).list().items
        ]
