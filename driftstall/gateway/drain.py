"""Drain an instance for a planned stop.

Requests in progress are completed, and new ones are accepted only if they are expected to end
within the grace time.
"""

from __future__ import annotations

from typing import Final

from driftstall.const import CODE_LEAVING, PREFIX_DRAIN
from driftstall.core import Problem, Ran
from driftstall.gateway.admission import AdmittedRequest, build_request
from driftstall.gateway.model import Repeat
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event

EXPECTED_CALL_S: Final = 2.0
"""Expected time of a plain call; routes' timeouts are shorter."""
EXPECTED_FIRST_EVENT_S: Final = 1.0
"""Expected time to the first event of a stream."""
EXPECTED_TOKEN_S: Final = 0.02
"""Expected time per token: twice the usual, so that few accepted streams are cut off."""
LOCATE_GRACE_SHARE: Final = 0.8
"""Share of the grace time during which callers with a cached address may still arrive."""
RETRY_ELSEWHERE_S: Final = 0.02
"""Retry-After of a refused request: the caller may ask another instance at once."""


class Drain:
    """Decide which requests a stopping instance still accepts, and when it may exit."""

    def __init__(self, state: GatewayState) -> None:
        """Initialize with the shared state."""
        self._state = state

    def begin(self) -> None:
        """Start draining; later calls have no effect."""
        if self._state.stopping_since is None:
            self._state.stopping_since = self._state.now()
            log_event(PREFIX_DRAIN, "Stop requested", open=self._state.open_requests)

    def refusal(self, admitted: AdmittedRequest) -> Problem | None:
        """Return the problem with which a request is refused, or None if it is accepted."""
        since = self._state.stopping_since
        if since is None:
            return None
        grace_s = self._state.settings.bounds.grace_s
        if self._state.now() - since + self._expected_s(admitted) < grace_s:
            return None
        detail = "this instance is stopping; ask another one"
        return Problem(CODE_LEAVING, 503, detail, Ran.NOT_RUN, RETRY_ELSEWHERE_S)

    def _expected_s(self, admitted: AdmittedRequest) -> float:
        """Return the expected duration of a request, in seconds."""
        if admitted.route.repeat is not Repeat.STREAM:
            return EXPECTED_CALL_S
        metadata = admitted.metadata
        tokens = self._state.expected_tokens(build_request(admitted), metadata.length_hint)
        return EXPECTED_FIRST_EVENT_S + EXPECTED_TOKEN_S * tokens

    @property
    def is_finished(self) -> bool:
        """Return True if no request is open and no more callers are expected to arrive."""
        since = self._state.stopping_since
        if since is None:
            return False
        elapsed_s = self._state.now() - since
        callers_arrive_s = LOCATE_GRACE_SHARE * self._state.settings.bounds.grace_s
        return elapsed_s >= callers_arrive_s and self._state.open_requests == 0
