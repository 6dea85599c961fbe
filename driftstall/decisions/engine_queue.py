"""Order the requests that wait for engine memory of one service, for the whole fleet."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class QueueOrder:
    """Rank a request in the queue; the smaller comes first."""

    rank: int
    """Rank by the policy: the configured rank of the workspace, else of the route."""
    route_rank: int
    """The route's own rank, which orders requests of the same rank."""


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """Describe a request that waits for engine memory; times are on the queue holder's clock."""

    request_id: str
    sender: str
    """The instance that holds the caller's connection."""
    service: str
    workspace: str
    order: QueueOrder
    share: float
    """Share of the workspace, by the policy."""
    prompt_tokens: int
    output_tokens: int
    """Expected length of the output."""
    hold_s: float
    """Expected time from the start to the end of the generation."""
    zone: str
    avoid: frozenset[str]
    """Upstreams that must not be chosen."""
    wants_backup: bool
    arrived_at: float
    """When the request arrived at its instance."""
    start_by: float
    """Latest start that meets the target."""
    gives_up_at: float
    """When the caller gives up, or the deadline passes, or the policy's longest wait ends."""
    may_refuse: bool
    ticket: str
    """Identifies the workspace and the content of the request, the same when it is retried."""
