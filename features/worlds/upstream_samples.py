"""Sample engines, upstreams and store entries for tests of the gateway."""

from __future__ import annotations

from typing import Any

from driftstall.decisions.store_versions import StoreVersion
from driftstall.gateway.model import (
    Engine,
    Upstream,
    UpstreamState,
)
from driftstall.gateway.scheduling.selection import (
    TokenRequirement,
)

ENGINE = Engine(64, 34_545, 18_432, 337_500_000.0, True, True, 4)
NEED = TokenRequirement(3_000, 500)


def entry_spec(address: str, service: str = "engines", **more: Any) -> dict[str, Any]:
    """Return the spec of an upstream's entry in the store."""
    fields = {
        "service": service,
        "address": address,
        "zone": "a",
        "version": "v1",
        "slots": 64,
        "state": "ready",
        "coldRemainingMs": 0,
        "seq": 1,
    }
    return fields | more


def upstream_of(
    name: str, revision: int = 1, state: UpstreamState = UpstreamState.READY, zone: str = "a"
) -> Upstream:
    """Return an upstream as decoded from its entry in the store."""
    return Upstream(name, "engines", "127.0.0.1:1", zone, 64, state, StoreVersion(revision))
