"""Log and count responses of upstreams that exceed a limit."""

from __future__ import annotations

from driftstall.const import PREFIX_RELAY
from driftstall.gateway.model import Upstream
from driftstall.gateway.stats import GatewayStats
from driftstall.helpers.log import log_event


def record_oversized(stats: GatewayStats, upstream: Upstream, request_id: str, defect: str) -> None:
    """Count and log a response that is not read any further."""
    stats.oversized_responses += 1
    log_event(
        PREFIX_RELAY,
        f"Response of {upstream.upstream_id} exceeds a limit: {defect}",
        request=request_id,
        upstream=upstream.upstream_id,
        revision=upstream.revision,
    )
