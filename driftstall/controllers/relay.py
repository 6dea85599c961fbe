"""Relay of one generation to a caller: each token exactly once, in order, from one generation.

A state machine without I/O for each request. Before the first token is delivered, a
failed request is retried on another runner. After it, only the same generation is
resumed, or the response ends with an explicit problem.
"""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Final

from driftstall.const import (
    CODE_DEADLINE,
    CODE_INCOMPLETE,
    CODE_RUNNER_FAILED,
)
from driftstall.controllers.relay_messages import (
    CallerDisconnected,
    CancelStream,
    CloseGrant,
    Complete,
    DeadlinePassed,
    Deliver,
    Fail,
    GrantReceived,
    GrantRefused,
    OpenStream,
    RelayAction,
    RelayEvent,
    RequestGrant,
    ResumeRequested,
    ResumeStream,
    Started,
    StreamEnded,
    StreamFailed,
    TokenArrived,
)
from driftstall.core import Problem, Ran
from driftstall.decisions.retry import RetryBudget

MAX_ATTEMPTS: Final = 3
MAX_RESUMES: Final = 4
"""Maximum number of consecutive resumes that deliver no token."""
RETRY_AFTER_S: Final = 1.0


class RelayMachine:
    """State machine of one relayed generation."""

    def __init__(self, request_id: str, budget: RetryBudget) -> None:
        """Initialize without a grant; the retry budget is shared by the whole instance."""
        self._request_id = request_id
        self._budget = budget
        self._attempt = 0
        self._grant_id = ""
        self._runner_id = ""
        self._generation = ""
        self._next_index = 0
        self._delivered = False
        self._resumes = 0
        self._maybe_ran = False
        self._avoid: frozenset[str] = frozenset()
        self._done = False

    @property
    def is_done(self) -> bool:
        """Return True if the caller has its final response or has disconnected."""
        return self._done

    @property
    def generation(self) -> str:
        """Return the id of the current generation, or an empty string."""
        return self._generation

    @property
    def runner_id(self) -> str:
        """Return the id of the current runner, or an empty string."""
        return self._runner_id

    @property
    def grant_id(self) -> str:
        """Return the id of the current grant, or an empty string."""
        return self._grant_id

    @property
    def produced(self) -> int:
        """Return the number of tokens delivered so far."""
        return self._next_index

    def handle(self, event: RelayEvent) -> list[RelayAction]:
        """Apply one event and return the resulting actions."""
        if self._done:
            return self._handle_late(event)
        return self._handle_event(event)

    def accept_token(self, generation: str, index: int) -> bool:
        """Count a token if it is the next one; return False otherwise.

        The fast path for tokens, which needs no event and no action.
        """
        if self._done or generation != self._generation or index != self._next_index:
            return False
        self._next_index += 1
        self._delivered = True
        self._resumes = 0
        return True

    def _handle_late(self, event: RelayEvent) -> list[RelayAction]:
        """Close a grant that arrives after the end."""
        if isinstance(event, GrantReceived):
            return [CloseGrant(self._grant_id, self._next_index, finished=False)]
        return []

    @singledispatchmethod
    def _handle_event(self, event: RelayEvent) -> list[RelayAction]:
        """Handle one event."""
        raise TypeError(f"no handler for {type(event).__name__}")

    @_handle_event.register
    def _(self, event: Started) -> list[RelayAction]:
        self._budget.earn()
        return self._request_grant()

    @_handle_event.register
    def _(self, event: ResumeRequested) -> list[RelayAction]:
        self._runner_id = event.runner_id
        self._generation = event.generation
        self._next_index = event.next_index
        self._delivered = True
        self._maybe_ran = True
        return [ResumeStream(event.runner_id, event.generation, event.next_index)]

    @_handle_event.register
    def _(self, event: GrantReceived) -> list[RelayAction]:
        if self._generation:
            return []
        self._runner_id = event.runner_id
        self._generation = self._grant_id
        return [OpenStream(event.runner_id, self._generation, event.rank)]

    @_handle_event.register
    def _(self, event: GrantRefused) -> list[RelayAction]:
        if self._generation:
            # The group has two owners for a moment: one granted before the other refused.
            return []
        self._done = True
        problem = event.problem
        if self._maybe_ran:
            problem = self._build_problem(CODE_RUNNER_FAILED, 502, problem.detail)
        return [Fail(problem)]

    @_handle_event.register
    def _(self, event: TokenArrived) -> list[RelayAction]:
        if event.generation != self._generation or event.index < self._next_index:
            return []
        if event.index > self._next_index:
            return self._resume("a token is missing")
        self.accept_token(event.generation, event.index)
        return [Deliver(event.generation, event.index, event.data)]

    @_handle_event.register
    def _(self, event: StreamEnded) -> list[RelayAction]:
        if event.generation != self._generation:
            return []
        if event.total > self._next_index:
            return self._resume("the last tokens are missing")
        self._done = True
        return [CloseGrant(self._grant_id, self._next_index, finished=True), Complete(event.data)]

    @_handle_event.register
    def _(self, event: StreamFailed) -> list[RelayAction]:
        if event.generation != self._generation:
            return []
        self._maybe_ran = self._maybe_ran or event.may_have_run
        if self._delivered:
            if event.unknown_generation:
                return self._fail(CODE_INCOMPLETE, 502, event.detail)
            return self._resume(event.detail)
        return self._restart(event)

    @_handle_event.register
    def _(self, event: DeadlinePassed) -> list[RelayAction]:
        self._maybe_ran = self._maybe_ran or bool(self._generation)
        return self._fail(CODE_DEADLINE, 504, "the deadline passed")

    @_handle_event.register
    def _(self, event: CallerDisconnected) -> list[RelayAction]:
        self._done = True
        return self._release_attempt()

    def _request_grant(self) -> list[RelayAction]:
        """Request a grant under a new id."""
        self._attempt += 1
        self._grant_id = f"{self._request_id}-{self._attempt}"
        self._generation = ""
        self._runner_id = ""
        return [RequestGrant(self._grant_id, self._avoid)]

    def _resume(self, detail: str) -> list[RelayAction]:
        """Resume the same generation, up to MAX_RESUMES times without a token between."""
        self._resumes += 1
        if self._resumes > MAX_RESUMES:
            return self._fail(CODE_INCOMPLETE, 502, detail)
        return [ResumeStream(self._runner_id, self._generation, self._next_index)]

    def _restart(self, event: StreamFailed) -> list[RelayAction]:
        """Retry on another runner, since the caller has received no token yet."""
        released = self._release_attempt()
        self._avoid |= {self._runner_id}
        if event.quarantined or self._attempt >= MAX_ATTEMPTS or not self._budget.spend():
            self._done = True
            problem = self._build_problem(CODE_RUNNER_FAILED, 502, event.detail)
            return [*released, Fail(problem)]
        return [*released, *self._request_grant()]

    def _release_attempt(self) -> list[RelayAction]:
        """Cancel the current stream and close the current grant."""
        actions: list[RelayAction] = []
        if self._generation:
            actions.append(CancelStream(self._runner_id, self._generation))
        actions.append(CloseGrant(self._grant_id, self._next_index, finished=False))
        return actions

    def _fail(self, code: str, status: int, detail: str) -> list[RelayAction]:
        """End the response with a problem and release the current attempt."""
        self._done = True
        return [*self._release_attempt(), Fail(self._build_problem(code, status, detail))]

    def _build_problem(self, code: str, status: int, detail: str) -> Problem:
        """Build a problem; it says 'not run' only if the request certainly did not run."""
        ran = Ran.UNKNOWN if self._maybe_ran else Ran.NOT_RUN
        return Problem(code, status, detail, ran, RETRY_AFTER_S)
