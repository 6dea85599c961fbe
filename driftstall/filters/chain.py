"""Run a request through the filters, in order, until one returns a problem."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TypeVar

from driftstall.core import Problem
from driftstall.filters.context import FilterResult, RequestContext

Filter = Callable[[RequestContext], FilterResult]
Context = TypeVar("Context")


def run_chain(
    filters: Sequence[Callable[[Context], Context | Problem]], context: Context
) -> Context | Problem:
    """Return the context after all filters, or the first problem."""
    for apply_filter in filters:
        result = apply_filter(context)
        if isinstance(result, Problem):
            return result
        context = result
    return context
