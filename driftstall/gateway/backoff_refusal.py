"""Refuse requests while all upstreams of their service are in a requested back-off."""

from __future__ import annotations

from driftstall.const import CODE_NO_RUNNER, PREFIX_ROUTING
from driftstall.core import Problem, Ran
from driftstall.decisions.upstream_backoff import CALLS_PER_SLOT_S
from driftstall.gateway.admission import AdmittedRequest
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event


def backoff_refusal(state: GatewayState, admitted: AdmittedRequest) -> Problem | None:
    """Return a refusal with a Retry-After if all upstreams of a service are in back-off, else None.

    Call this function only if no part of the request can have run.
    """
    now, service = state.now(), admitted.service.name
    ready = state.fleet.ready(service) or state.fleet.draining(
        service, now, state.max_new_request_drain_s
    )
    earliest = min(ready, key=state.backoff_s, default=None)
    if earliest is None or not state.backoff_s(earliest):
        return None
    earliest_s, remaining_s = state.backoff_s(earliest), admitted.ends_at - now
    instance_slots = max(1, earliest.slots) / max(1, state.instances.value)
    retry_s = state.retry_schedule.next_s(
        service, earliest_s, instance_slots * CALLS_PER_SLOT_S, now
    )
    state.stats.backoff_refused += 1
    log_event(
        PREFIX_ROUTING,
        "Request refused: all upstreams are in back-off",
        request=admitted.metadata.request_id,
        service=service,
        upstreams=len(ready),
        first=earliest.upstream_id,
        first_s=round(earliest_s, 2),
        retry_s=round(retry_s, 2),
        left_s=round(remaining_s, 2),
    )
    detail = "all runners have requested a back-off"
    if earliest_s > remaining_s:
        detail += " that is longer than the request can wait"
    return Problem(CODE_NO_RUNNER, 503, detail, Ran.NOT_RUN, retry_s)
