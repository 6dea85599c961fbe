"""Run a request through the filters, in order, until one answers."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from driftstall.core import Problem
from driftstall.filters.context import FilterResult, RequestContext

Filter = Callable[[RequestContext], FilterResult]


def run_chain(filters: Sequence[Filter], context: RequestContext) -> FilterResult:
    """Return the context after all filters, or the first problem."""
    for step in filters:
        result = step(context)
        if isinstance(result, Problem):
            return result
        context = result
    return context
