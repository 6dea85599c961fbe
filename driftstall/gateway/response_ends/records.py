"""Count and log how the responses of upstreams end."""

from __future__ import annotations

from driftstall.const import PREFIX_RELAY
from driftstall.gateway.model import Upstream
from driftstall.gateway.response_ends.framing import ResponseEndCause, ResponseFraming
from driftstall.gateway.stats import GatewayStats
from driftstall.helpers.log import log_event


def record_response_end(
    stats: GatewayStats,
    upstream: Upstream,
    request_id: str,
    framing: ResponseFraming,
    cause: ResponseEndCause,
) -> None:
    """Count the end of a response, and log it unless its framing states that it is whole."""
    stats.response_ends.inc({"framing": framing.value, "end": cause.value})
    if cause in (ResponseEndCause.COMPLETE, ResponseEndCause.ABANDONED):
        return
    log_event(
        PREFIX_RELAY,
        f"Response of {upstream.upstream_id} ended: {cause.value}",
        request=request_id,
        upstream=upstream.upstream_id,
        service=upstream.service,
        framing=framing.value,
        revision=upstream.revision,
    )
