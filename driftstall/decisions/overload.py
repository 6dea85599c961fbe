"""Refuse requests that can't start in time, and tell their callers when to retry.

The load: for some seconds more memory is asked for than the engines have. Requests that can't
start before their callers give up would only make others late, so they are refused at once, with
the time at which the forecast has room for them. A refused caller that returns in time keeps its
place; one that returns early, or repeats at once, waits like a new one.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Final

from driftstall.decisions.engine_queue import MIN_SHARE, QueuedRequest, QueueOrder
from driftstall.decisions.retry_schedule import retry_after
from driftstall.decisions.room_forecast import ExpectedReturn, RoomForecast

MIN_CALLER_WAIT_S: Final = 2.0
"""Shortest time for which a caller waits for the first event of a stream."""
CALLER_WAIT_TARGETS: Final = 4.0
"""The same as a multiple of its latency target."""
CALLER_WAIT_PAUSES: Final = 8.0
"""The same as a multiple of the longest pause that the route allows."""
RESERVATION_GRACE_S: Final = 5.0
"""Time after its retry time for which a place is reserved."""
EARLY_TOLERANCE_S: Final = 0.1
"""A caller that returns this early is in time: clocks and links differ."""
MAX_REFUSALS: Final = 4
"""Requests refused in one check. The forecast is made again after each of them, which takes 0.6 ms
for 300 requests; with ten checks a second, this refuses more than a burst brings."""
MIN_BUSY_SHARE: Final = 0.5
"""Nothing is refused while less memory is in use: a request waits for another reason then."""


@dataclass(frozen=True, slots=True)
class RefusedRequest:
    """Describe a refused request and when its caller may return."""

    request: QueuedRequest
    retry_after_s: float
    forecast_s: float
    """Time until the forecast start."""


@dataclass(frozen=True, slots=True)
class _Reservation:
    """Hold the place of a refused request until its caller returns."""

    request: QueuedRequest
    first_arrived_at: float
    due_at: float


class OverloadControl:
    """Decide which waiting requests of one service are refused."""

    def __init__(self, source: random.Random) -> None:
        """Initialize without reservations; the random source spreads the callers' returns."""
        self._source = source
        self._reservations: dict[str, _Reservation] = {}

    @property
    def reserved(self) -> int:
        """Return the number of reserved places."""
        return len(self._reservations)

    def refuse(
        self, requests: Sequence[QueuedRequest], forecast: RoomForecast, now: float
    ) -> list[RefusedRequest]:
        """Return the waiting requests, given in order, that can't start before they give up.

        A request for which no release makes room, for example while no engines are listed, is
        left to wait: there is no time to name. One is refused after the other, the least urgent
        and the largest workspace first, because each refusal lets the others start earlier; of
        one workspace the first in order, since refusing a later one does not help it.
        """
        self._expire(now)
        waiting = list(requests)
        refused: list[RefusedRequest] = []
        if not waiting or forecast.used_share < MIN_BUSY_SHARE:
            return refused
        backlog = _backlog_by_workspace(waiting)
        while len(refused) < MAX_REFUSALS:
            starts = forecast.starts(waiting, now, self._expected_returns())
            too_late = [
                request
                for request in waiting
                if request.may_refuse
                and request.gives_up_at < starts[request.request_id] < math.inf
            ]
            if not too_late:
                break
            request = max(
                too_late,
                key=lambda item: (
                    item.order,
                    backlog[item.order, item.workspace],
                    -starts[item.request_id],
                ),
            )
            waiting.remove(request)
            backlog[request.order, request.workspace] -= _cost(request)
            refused.append(self._refuse(request, starts[request.request_id], now))
        return refused

    def check_return(
        self, request: QueuedRequest, now: float, *, others_wait: bool
    ) -> QueuedRequest:
        """Return a request to be queued, with the place reserved for it if there is one.

        A caller that returns before its time while others wait is queued like a new one, and its
        place stays reserved. It is not refused for that, because other callers may send the same
        content.
        """
        self._expire(now)
        reservation = self._reservations.get(request.ticket)
        if reservation is None:
            return request
        is_early = reservation.due_at - now > EARLY_TOLERANCE_S
        if is_early and others_wait:
            return request
        del self._reservations[request.ticket]
        waited_s = max(0.0, now - reservation.first_arrived_at)
        return replace(
            request,
            arrived_at=reservation.first_arrived_at,
            head_start_s=waited_s,
        )

    def _refuse(self, request: QueuedRequest, starts_at: float, now: float) -> RefusedRequest:
        """Refuse a request and reserve its place."""
        forecast_s = starts_at - now
        reservation = self._reservations.get(request.ticket)
        if reservation is not None and reservation.due_at > now:
            # It was refused before and has returned early: its place and its time stay.
            return RefusedRequest(request, reservation.due_at - now, forecast_s)
        retry_s = retry_after(forecast_s, self._source)
        if request.ticket:
            self._reservations[request.ticket] = _Reservation(
                request, request.arrived_at, now + retry_s
            )
        return RefusedRequest(request, retry_s, forecast_s)

    def _expected_returns(self) -> list[ExpectedReturn]:
        """Return the refused requests whose places are reserved.

        They need memory from their time on: counted as waiting now, each refusal would make the
        next request start too late.
        """
        return [
            ExpectedReturn(reservation.due_at, reservation.request)
            for reservation in self._reservations.values()
        ]

    def _expire(self, now: float) -> None:
        """Discard the places of callers that have not returned."""
        for ticket, reservation in list(self._reservations.items()):
            if now > reservation.due_at + RESERVATION_GRACE_S:
                del self._reservations[ticket]


def caller_max_wait_s(target_s: float, gap_s: float) -> float:
    """Return how long a caller waits for the first event of a stream, in seconds."""
    return max(MIN_CALLER_WAIT_S, CALLER_WAIT_TARGETS * target_s, CALLER_WAIT_PAUSES * gap_s)


def _backlog_by_workspace(
    requests: Iterable[QueuedRequest],
) -> dict[tuple[QueueOrder, str], float]:
    """Return the waiting tokens of each workspace at each rank, divided by its share."""
    backlog: dict[tuple[QueueOrder, str], float] = {}
    for request in requests:
        key = (request.order, request.workspace)
        backlog[key] = backlog.get(key, 0.0) + _cost(request)
    return backlog


def _cost(request: QueuedRequest) -> float:
    """Return the tokens of a request, divided by its workspace's share."""
    return request.tokens / max(MIN_SHARE, request.share)
