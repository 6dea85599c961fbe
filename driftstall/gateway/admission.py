"""Admit requests: resolve the route, authenticate the workspace and evaluate the policy."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import UTC, datetime
from typing import Final

from driftstall.const import (
    CODE_NO_RUNNER,
    CODE_NOT_FOUND,
    CODE_UNAUTHENTICATED,
)
from driftstall.core import PrefixMark, Problem, Ran, Request, Verdict
from driftstall.decisions.poison_subjects import PoisonSubjects
from driftstall.filters.chain import run_chain
from driftstall.gateway.model import CallerMetadata, Route, Service
from driftstall.gateway.routes import RouteTable, pick_service
from driftstall.policy.evaluate import evaluate
from driftstall.policy.model import DEFAULT_VERDICT, Facts, Policy

UNSURE_RETRY_S: Final = 0.5
"""Retry-After of an instance whose configuration may be outdated."""


@dataclass(frozen=True, slots=True)
class RequestProgress:
    """Hold what the filters have determined about a request so far."""

    host: str
    path: str
    metadata: CallerMetadata
    started_at: float
    """Arrival time in seconds on the monotonic clock."""
    route: Route | None = None
    service: Service | None = None
    workspace: str = ""
    rank: int = 0
    """The configured rank of the workspace, or of the route if the workspace has none."""
    verdict: Verdict = DEFAULT_VERDICT


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """Hold an admitted request with all that is needed to serve it."""

    metadata: CallerMetadata
    route: Route
    service: Service
    workspace: str
    verdict: Verdict
    started_at: float
    ends_at: float
    """Deadline of the caller or the route, on the monotonic clock."""
    subjects: PoisonSubjects = PoisonSubjects()
    """What crashes under the request may be attributed to."""

    @property
    def fingerprint(self) -> str:
        """Return the hash of the request's content; identical for each retry by the caller."""
        return self.subjects.request


class Admission:
    """Run the filter chain with the current configuration and policy."""

    def __init__(
        self,
        table: RouteTable,
        policy: Policy,
        *,
        random: Callable[[], float],
        load: Callable[[str], float],
        is_current: Callable[[], bool],
    ) -> None:
        """Initialize with the current routes and policy, and with readers.

        The reader random returns a random number from 0 to 1, load the load of a service from
        0 to 1, and is_current whether the configuration is known to be the newest.
        """
        self._table = table
        self._policy = policy
        self._random = random
        self._load = load
        self._is_current = is_current
        self._filters = (self._find_route, self._authenticate, self._apply_policy)

    def admit(self, progress: RequestProgress, unix_time_s: float) -> AdmittedRequest | Problem:
        """Return the admitted request, or a problem; the policy's hour is that of unix_time_s."""
        hour = datetime.fromtimestamp(unix_time_s, UTC).hour
        self._hour = hour
        result = run_chain(self._filters, progress)
        if isinstance(result, Problem):
            return result
        assert result.route is not None and result.service is not None
        timeout_s = result.route.timeout_s
        if result.metadata.deadline_s is not None:
            timeout_s = min(timeout_s, result.metadata.deadline_s)
        return AdmittedRequest(
            result.metadata,
            result.route,
            result.service,
            result.workspace,
            result.verdict,
            result.started_at,
            result.started_at + timeout_s,
        )

    def _find_route(self, progress: RequestProgress) -> RequestProgress | Problem:
        """Set the route, and one service of its traffic split."""
        route = self._table.route(progress.host, progress.path)
        if route is None:
            return self._make_retryable_if_outdated(
                Problem(CODE_NOT_FOUND, 404, "no such route", Ran.NOT_RUN)
            )
        service = self._table.service(pick_service(route, self._random()))
        if service is None:
            detail = "the route's service is not configured"
            return Problem(CODE_NO_RUNNER, 503, detail, Ran.NOT_RUN, UNSURE_RETRY_S)
        return replace(progress, route=route, service=service, rank=route.rank)

    def _authenticate(self, progress: RequestProgress) -> RequestProgress | Problem:
        """Set the workspace that the key belongs to.

        A request with an unknown key is not anonymous: its key may have been revoked. Neither is
        one with credentials of another scheme, whose caller expects to be known by them.
        """
        assert progress.route is not None
        if not self._table.requires_keys:
            return progress
        if progress.metadata.is_anonymous and progress.route.allows_anonymous:
            return progress
        workspace = self._table.workspace(progress.metadata.key)
        if workspace is None:
            detail = "the workspace key is not known"
            return self._make_retryable_if_outdated(
                Problem(CODE_UNAUTHENTICATED, 401, detail, Ran.NOT_RUN)
            )
        rank = progress.rank if workspace.rank is None else workspace.rank
        return replace(progress, workspace=workspace.name, rank=rank)

    def _apply_policy(self, progress: RequestProgress) -> RequestProgress | Problem:
        """Set the verdict of the first policy rule that matches."""
        assert progress.route is not None and progress.service is not None
        facts = Facts(
            kind=progress.route.repeat.value,
            workspace=progress.workspace,
            model=progress.metadata.model,
            input_tokens=progress.metadata.input_tokens,
            max_tokens=progress.metadata.max_tokens,
            load=self._load(progress.service.name),
            hour=self._hour,
            route_rank=progress.rank,
        )
        return replace(progress, verdict=evaluate(self._policy, facts))

    def _make_retryable_if_outdated(self, problem: Problem) -> Problem:
        """Return the problem, or a retryable one if the configuration may be outdated."""
        if self._is_current():
            return problem
        detail = "the configuration here may be old"
        return Problem(CODE_NO_RUNNER, 503, detail, Ran.NOT_RUN, UNSURE_RETRY_S)


def build_request(admitted: AdmittedRequest) -> Request:
    """Return the request in the form that forecasts use."""
    metadata = admitted.metadata
    prefix = tuple(
        PrefixMark(int(part.digest, 16) if _is_hex(part.digest) else 0, part.tokens)
        for part in metadata.prompt
    )
    return Request(
        request_id=metadata.request_id,
        workspace=admitted.workspace,
        kind=admitted.route.name,
        model=metadata.model,
        input_tokens=metadata.input_tokens,
        max_tokens=max(1, metadata.max_tokens),
        prefix=prefix,
        asked_at=admitted.started_at,
        deadline=admitted.ends_at,
    )


def _is_hex(text: str) -> bool:
    """Return True if a text is a hexadecimal number."""
    try:
        return int(text, 16) >= 0
    except ValueError:
        return False
