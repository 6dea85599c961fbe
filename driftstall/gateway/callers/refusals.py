"""Refuse requests that were not read whole, and so have not run."""

from __future__ import annotations

from functools import singledispatch

from driftstall.const import CODE_BAD_REQUEST, CODE_LEAVING, PREFIX_RELAY
from driftstall.core import Problem, Ran
from driftstall.gateway.ingress import CallerConnection, MalformedRequest, OverloadRefusal
from driftstall.gateway.responses import encode_problem
from driftstall.gateway.stats import GatewayStats
from driftstall.helpers.log import log_event

Refusal = MalformedRequest | OverloadRefusal


def refuse(connection: CallerConnection, refusal: Refusal, stats: GatewayStats) -> None:
    """Answer with a problem, log it and count it."""
    problem = count_refusal(refusal, stats)
    log_event(PREFIX_RELAY, f"Request answered with {problem.status}: {problem.detail}")
    connection.write(encode_problem(problem, keep_alive=False))


@singledispatch
def count_refusal(refusal: object, stats: GatewayStats) -> Problem:
    """Count a refusal and return its problem."""
    raise TypeError(f"no refusal: {refusal!r}")


@count_refusal.register
def _(refusal: MalformedRequest, stats: GatewayStats) -> Problem:
    """Count malformed input."""
    stats.malformed += 1
    return Problem(CODE_BAD_REQUEST, int(refusal.status), refusal.detail, Ran.NOT_RUN)


@count_refusal.register
def _(refusal: OverloadRefusal, stats: GatewayStats) -> Problem:
    """Count a request that was refused for want of memory or connections."""
    stats.overload_refused += 1
    return Problem(CODE_LEAVING, 503, refusal.detail, Ran.NOT_RUN, refusal.retry_after_s)
