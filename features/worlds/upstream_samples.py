"""Hold the upstreams that several tests of the gateway start from."""

from __future__ import annotations

from driftstall.gateway.model import (
    Engine,
    Upstream,
    UpstreamState,
)
from driftstall.gateway.selection import (
    Need,
)

ENGINE = Engine(64, 34_545, 18_432, 337_500_000.0, True, True, 4)
NEED = Need(3_000, 500)


def upstream_of(
    name: str, revision: int = 1, state: UpstreamState = UpstreamState.READY, zone: str = "a"
) -> Upstream:
    """Return an upstream's entry."""
    return Upstream(name, "engines", "127.0.0.1:1", zone, 64, state, revision)
