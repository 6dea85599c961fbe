"""Hold what the placer knows of a service's waiting and granted requests."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from driftstall.decisions.engine_queue import EngineQueue, QueuedRequest, QueueOrder
from driftstall.decisions.overload import OverloadControl
from driftstall.decisions.room_forecast import DemandForecast
from driftstall.gateway.scheduling.queue_messages import QueueAnswered, QueueAsked

REPEAT_DELAY_S: Final = 0.1
"""Network delay up to which a question counts as a repeated one: its request seems to have arrived
later by this delay."""


@dataclass(slots=True)
class Arrival:
    """Record of a waiting request, for its answers and log lines."""

    position: int
    """Number of waiting requests of the same or a more urgent order when it arrived."""
    arrived_at: float
    """When it arrived at its instance; a returned request has a place of an earlier time."""
    asked_at: float
    forecast_s: float | None = None
    """Its whole wait by the first forecast; None before that."""


@dataclass(frozen=True, slots=True)
class Grant:
    """Hold a grant, to answer a repeated question the same."""

    answer: QueueAnswered
    sender: str
    """The instance that has asked."""
    at: float

    def answers(self, asked: QueueAsked, now: float) -> bool:
        """Return True if a question repeats the one that was granted.

        A request that arrived after the grant is another one: callers use an id again to retry.
        """
        return (
            asked.sender == self.sender
            and now - asked.waited_s <= self.at + REPEAT_DELAY_S
            and self.answer.upstream_id not in asked.avoid
        )


@dataclass(slots=True)
class ServiceQueue:
    """State of one service's queue."""

    overload: OverloadControl
    queue: EngineQueue = field(default_factory=EngineQueue)
    demand: DemandForecast = field(default_factory=DemandForecast)
    arrivals: dict[str, Arrival] = field(default_factory=dict)
    grants: dict[str, Grant] = field(default_factory=dict)
    positions: dict[str, int] = field(default_factory=dict)
    starts: dict[str, float] = field(default_factory=dict)
    checked_at: float = float("-inf")


def request_from(asked: QueueAsked, now: float) -> QueuedRequest:
    """Return the queued form of a question; durations become times on this clock."""
    return QueuedRequest(
        request_id=asked.request_id,
        sender=asked.sender,
        service=asked.service,
        workspace=asked.workspace,
        order=QueueOrder(asked.rank, asked.route_rank),
        share=asked.share,
        prompt_tokens=asked.prompt_tokens,
        output_tokens=asked.output_tokens,
        hold_s=asked.hold_s,
        zone=asked.zone,
        avoid=frozenset(asked.avoid),
        wants_backup=asked.wants_backup,
        arrived_at=now - asked.waited_s,
        start_by=now + asked.start_by_s,
        gives_up_at=now + asked.gives_up_s,
        may_refuse=asked.may_refuse,
        ticket=asked.ticket,
    )
