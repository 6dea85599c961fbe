"""Repeat a call on another connection while the attempts before it are still unanswered.

An opening packet that was lost is sent again by the kernel only after a second, and a request that
was lost on an open connection may never be answered. Where the path is back, a further attempt gets
through at once. Attempts before it go on, so a slow server still answers the first one.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar

from gevent.event import AsyncResult
from gevent.pool import Group

from driftstall.exceptions import UpstreamError


class Closable(Protocol):
    """A result that holds a connection."""

    def close(self) -> None:
        """Close the connection."""


Result = TypeVar("Result", bound=Closable)


def call_staggered(call: Callable[[], Result], delay_s: float) -> Result:
    """Return the result of the attempt that ends first, or raise its UpstreamError.

    A further attempt begins after each delay; the number of attempts is bounded by the time limit
    of the call, or of the caller.
    """
    first: AsyncResult[Result] = AsyncResult()
    attempts = Group()
    try:
        while not first.ready():
            attempts.spawn(_attempt, call, first)
            first.wait(delay_s)
        return first.get()
    finally:
        attempts.kill(block=False)


def _attempt(call: Callable[[], Result], first: AsyncResult[Result]) -> None:
    """Make one attempt, and set its outcome unless another attempt has ended before."""
    try:
        result = call()
    except UpstreamError as fault:
        if not first.ready():
            first.set_exception(fault)
        return
    if first.ready():
        result.close()
    else:
        first.set(result)
