"""Run a request through filters, in order, until one answers."""

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
    for step in filters:
        result = step(context)
        if isinstance(result, Problem):
            return result
        context = result
    return context
