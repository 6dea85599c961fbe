"""Stop as planned: take nothing that cannot be finished, finish what was taken."""

from __future__ import annotations

from typing import Final

from driftstall.const import CODE_LEAVING, PREFIX_DRAIN
from driftstall.core import Problem, Ran
from driftstall.gateway.admission import Admitted, build_request
from driftstall.gateway.model import Repeat
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event

CALL_S: Final = 2.0
"""Time that a call may take: its route's time-out is shorter."""
FIRST_EVENT_S: Final = 1.0
"""Time that a stream may take to its first event."""
TOKEN_S: Final = 0.02
"""Time that a token may take; twice the usual, so that few of the streams taken are cut."""
LOCATE_GRACE_SHARE: Final = 0.8
"""Share of the grace time that is waited for callers that still have our address."""
RETRY_ELSEWHERE_S: Final = 0.02
"""When to come back: at once, to another instance."""


class Drain:
    """Decide what a stopping instance still takes, and when it may end."""

    def __init__(self, state: GatewayState) -> None:
        """Take the shared state."""
        self._state = state

    def begin(self) -> None:
        """Start to stop."""
        if self._state.stopping_since is None:
            self._state.stopping_since = self._state.now()
            log_event(PREFIX_DRAIN, "A stop was asked for", open=self._state.open_requests)

    def refusal(self, admitted: Admitted) -> Problem | None:
        """Return why a request is not taken any more, if so."""
        since = self._state.stopping_since
        if since is None:
            return None
        grace_s = self._state.settings.bounds.grace_s
        if self._state.now() - since + self._expected_s(admitted) < grace_s:
            return None
        detail = "this instance is stopping; ask another one"
        return Problem(CODE_LEAVING, 503, detail, Ran.NOT_RUN, RETRY_ELSEWHERE_S)

    def _expected_s(self, admitted: Admitted) -> float:
        """Return how long a request may take, in seconds."""
        if admitted.route.repeat is not Repeat.STREAM:
            return CALL_S
        marks = admitted.marks
        tokens = self._state.expected_tokens(build_request(admitted), marks.length_hint)
        return FIRST_EVENT_S + TOKEN_S * tokens

    @property
    def is_finished(self) -> bool:
        """Tell whether the process may end: nothing is open and no caller comes any more."""
        since = self._state.stopping_since
        if since is None:
            return False
        waited = self._state.now() - since
        located_s = LOCATE_GRACE_SHARE * self._state.settings.bounds.grace_s
        return waited >= located_s and self._state.open_requests == 0
