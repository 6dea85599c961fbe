"""Drain an instance for a planned stop.

Requests in progress are completed, and new ones are accepted only if they can end within the grace
time. This is checked again until a request is sent, as it may wait. Whatever has no response when
the grace time is nearly over gets a whole error response, unless its response has begun.
"""

from __future__ import annotations

from typing import Final

from driftstall.const import CODE_LEAVING, PREFIX_DRAIN
from driftstall.core import Problem, Ran
from driftstall.decisions.planned_stop import Interruption, PendingRequest, PlannedStop
from driftstall.gateway.admission import AdmittedRequest, build_request
from driftstall.gateway.model import Repeat
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event

EXPECTED_CALL_S: Final = 2.0
"""Expected time of a plain call."""
EXPECTED_FIRST_EVENT_S: Final = 1.0
"""Expected time to the first event of a stream."""
EXPECTED_TOKEN_S: Final = 0.02
"""Expected time per token: twice the usual, so that few accepted streams are cut off."""
INTERRUPTIONS: Final = {
    Repeat.SAFE: Interruption.RETRYABLE,
    Repeat.ONCE: Interruption.UNKNOWN_OUTCOME,
    Repeat.STREAM: Interruption.CUT_OFF,
}


class Drain:
    """Begin the planned stop of an instance, and decide when it may exit."""

    def __init__(self, state: GatewayState) -> None:
        """Initialize with the shared state."""
        self._state = state

    @property
    def is_finished(self) -> bool:
        """Return True if no request is open and no more callers are expected to arrive."""
        stop = self._state.planned_stop
        if stop is None or self._state.open_requests:
            return False
        return self._state.now() >= stop.exit_from

    def begin(self, delay_s: float = 0.0) -> None:
        """Start draining on a signal that arrived at most delay_s ago; later calls have no effect.

        The platform counts the grace time from the arrival of the signal.
        """
        if self._state.planned_stop is None:
            # Settings that change during the stop do not move the kill.
            grace_s = self._state.settings.bounds.grace_s
            self._state.planned_stop = PlannedStop.from_grace(self._state.now(), grace_s, delay_s)
            log_event(
                PREFIX_DRAIN,
                "Stop requested",
                open=self._state.open_requests,
                delay_s=round(delay_s, 2),
            )


def can_finish(state: GatewayState, admitted: AdmittedRequest) -> bool:
    """Return True if a request that has not been sent can still end before a planned stop does."""
    stop = state.planned_stop
    if stop is None:
        return True
    return stop.can_accept(_pending_request(state, admitted), state.now(), state.has_ready_peer)


def stop_refusal(state: GatewayState, admitted: AdmittedRequest) -> Problem | None:
    """Return the refusal of a request that cannot end before a planned stop does, else None.

    Call this function only if no part of the request can have run.
    """
    stop, now = state.planned_stop, state.now()
    if stop is None or can_finish(state, admitted):
        return None
    has_ready_peer = state.has_ready_peer()
    retry_s = stop.retry_after_s(now, has_ready_peer=has_ready_peer)
    state.stats.stop_refused += 1
    log_event(
        PREFIX_DRAIN,
        "Request refused: it may not end before this instance stops",
        request=admitted.metadata.request_id,
        route=admitted.route.name,
        stopping_for_s=round(now - stop.began_at, 2),
        waited_s=round(now - admitted.started_at, 2),
        expected_s=round(_expected_s(state, admitted), 2),
        left_s=round(admitted.ends_at - now, 2),
        has_ready_peer=has_ready_peer,
        retry_s=round(retry_s, 2),
    )
    detail = "this instance is stopping; ask another one"
    return Problem(CODE_LEAVING, 503, detail, Ran.NOT_RUN, retry_s)


def stop_timeout_problem(
    state: GatewayState, admitted: AdmittedRequest, ran: Ran
) -> Problem | None:
    """Return the problem of a request that a planned stop ends before its deadline, else None."""
    stop, now = state.planned_stop, state.now()
    if stop is None or now < stop.answer_by or now >= admitted.ends_at:
        return None
    state.stats.stop_expired += 1
    log_event(
        PREFIX_DRAIN,
        "Request ended by the stop of this instance",
        request=admitted.metadata.request_id,
        route=admitted.route.name,
        served_s=round(now - admitted.started_at, 2),
        left_s=round(admitted.ends_at - now, 2),
        ran=ran.value,
    )
    if ran is Ran.NOT_RUN:
        retry_s = stop.retry_after_s(now, has_ready_peer=state.has_ready_peer())
        return Problem(CODE_LEAVING, 503, "this instance is stopping", ran, retry_s)
    return Problem(CODE_LEAVING, 504, "this instance stopped before the response came", ran)


def _pending_request(state: GatewayState, admitted: AdmittedRequest) -> PendingRequest:
    """Return a request in the form that the decision compares."""
    return PendingRequest(
        admitted.started_at,
        admitted.ends_at,
        _expected_s(state, admitted),
        INTERRUPTIONS[admitted.route.repeat],
    )


def _expected_s(state: GatewayState, admitted: AdmittedRequest) -> float:
    """Return the expected duration of a request, in seconds.

    An engine that just meets the targets of the route takes longer for a stream than usual.
    """
    route, engine = admitted.route, admitted.service.engine
    if route.repeat is not Repeat.STREAM:
        return EXPECTED_CALL_S
    tokens = state.expected_tokens(build_request(admitted), admitted.metadata.length_hint)
    usual_s = EXPECTED_FIRST_EVENT_S + EXPECTED_TOKEN_S * tokens
    if engine is None:
        return usual_s
    return max(usual_s, route.target_s + route.gap_s * tokens / engine.event_tokens)
