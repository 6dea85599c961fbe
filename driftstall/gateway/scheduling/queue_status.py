"""Describe the queue for engine memory for the operators' page."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import groupby
from typing import Final

from driftstall.decisions.engine_queue import QueuedRequest, QueueOrder
from driftstall.decisions.room_forecast import RoomForecast
from driftstall.gateway.loads import Use

NEW_REQUEST_ID: Final = "new"


@dataclass(frozen=True, slots=True)
class RankStatus:
    """Describe the waiting requests of one order."""

    rank: int
    """Rank in the queue, by the policy."""
    route_rank: int
    waiting: int
    longest_wait_s: float


@dataclass(frozen=True, slots=True)
class ServiceStatus:
    """Describe the queue of one service."""

    service: str
    ranks: tuple[RankStatus, ...]
    """The orders of which requests wait, the most urgent first."""
    free_tokens: int
    """Free memory of the engines that take requests."""
    total_tokens: int
    """The whole memory of these engines."""
    forecast_s: float | None
    """Forecast wait of a new request that comes last in order; None if no memory is expected to be
    released for it."""


@dataclass(frozen=True, slots=True)
class QueueStatus:
    """Describe the queues that an instance holds."""

    instance: str
    placer: str | None
    """The instance that holds the queues; None if no placer answers."""
    services: tuple[ServiceStatus, ...]
    """Empty unless this instance holds the queues."""


def new_request(
    service: str, waiting: Sequence[QueuedRequest], uses: Sequence[Use], now: float
) -> QueuedRequest:
    """Return a request that would come last in a queue, to forecast its wait.

    It has the mean size of the waiting requests; if there are none, of the runs that
    are the given loads of the engines.
    """
    if waiting:
        tokens = sum(request.tokens for request in waiting) // len(waiting)
    else:
        tokens = sum(use.tokens for use in uses) // max(1, sum(use.running for use in uses))
    order = max((request.order for request in waiting), default=QueueOrder(0, 0))
    return QueuedRequest(
        request_id=NEW_REQUEST_ID,
        sender="",
        service=service,
        workspace="",
        order=order,
        share=1.0,
        prompt_tokens=tokens,
        output_tokens=0,
        hold_s=0.0,
        zone="",
        avoid=frozenset(),
        wants_backup=False,
        arrived_at=now,
        start_by=now,
        gives_up_at=math.inf,
        may_refuse=False,
        ticket="",
    )


def service_status(
    waiting: Sequence[QueuedRequest],
    newcomer: QueuedRequest,
    forecast: RoomForecast,
    free_tokens: int,
    now: float,
) -> ServiceStatus:
    """Return the state of a queue whose waiting requests are given in order."""
    ranks = []
    for order, members in groupby(waiting, lambda request: request.order):
        waits_s = [now - request.arrived_at for request in members]
        longest_s = round(max(waits_s), 3)
        ranks.append(RankStatus(order.rank, order.route_rank, len(waits_s), longest_s))
    starts_at = forecast.starts([*waiting, newcomer], now)[newcomer.request_id]
    return ServiceStatus(
        service=newcomer.service,
        ranks=tuple(ranks),
        free_tokens=free_tokens,
        total_tokens=forecast.total_tokens,
        forecast_s=round(starts_at - now, 3) if math.isfinite(starts_at) else None,
    )
