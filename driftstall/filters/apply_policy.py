"""Evaluate the policy in force for a generation."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from datetime import UTC, datetime

from driftstall.core import Request
from driftstall.filters.context import FilterResult, RequestContext
from driftstall.policy.evaluate import evaluate
from driftstall.policy.model import Facts, Policy


def facts_of(request: Request, load: float, wall: float) -> Facts:
    """Return the facts that the conditions of a policy may use."""
    hour = datetime.fromtimestamp(wall, UTC).hour
    return Facts(
        request.kind,
        request.workspace,
        request.model,
        request.input_tokens,
        request.max_tokens,
        load,
        hour,
    )


class ApplyPolicy:
    """Set the verdict of the first matching rule."""

    def __init__(self, policy: Policy, load: Callable[[], float]) -> None:
        """Initialize with the policy in force and a getter of the load, from 0 to 1."""
        self._policy = policy
        self._load = load

    def __call__(self, context: RequestContext) -> FilterResult:
        """Set the verdict; plain service calls have none."""
        if context.request is None:
            return context
        facts = facts_of(context.request, self._load(), context.now)
        return replace(context, verdict=evaluate(self._policy, facts))
