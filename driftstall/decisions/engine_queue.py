"""Order the requests that wait for engine memory of one service, for the whole fleet.

The load: long generations fill the engines' memory for seconds, and short ones that hold it for
half a second wait behind them; workspaces that send more take more. Whoever polls at the right
moment would get the memory that is released.

Requests are ordered by rank. Within a rank, those that can still meet their target come before
those that no longer can, workspaces get fair shares by tokens (start-time fair queueing), and the
request with the least slack of a workspace comes first.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from itertools import groupby
from typing import Final, Protocol

MAX_OVERTAKING: Final = 2.0
"""Tokens that may overtake a blocked request, relative to its own tokens: small requests fill gaps
that it can't use, and its wait stays bounded."""
MAX_ATTEMPTS: Final = 64
"""Requests that are tried in one pass; memory for more is never released at once."""
MAX_GRANTS: Final = 16
"""Requests granted in one pass: each takes 0.15 ms on 45 engines. Passes follow within 70 ms, so
this is several times what arrives."""
MIN_SHARE: Final = 1e-3


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
    head_start_s: float = 0.0
    """Time for which a returned request has waited before: within its workspace it counts as due
    that much earlier, while it can still meet the target of its new arrival."""

    @property
    def tokens(self) -> int:
        """Return the engine memory that the request is expected to need on average."""
        return self.prompt_tokens + self.output_tokens // 2


class EngineQueue:
    """Hold the waiting requests of one service."""

    def __init__(self) -> None:
        """Initialize an empty queue."""
        self._requests: dict[str, QueuedRequest] = {}
        self._shares: dict[QueueOrder, _FairShares] = {}
        self._overtaken: dict[str, int] = {}
        """Tokens that have overtaken each blocked request."""

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._requests)

    def __contains__(self, request_id: str) -> bool:
        """Return True if a request waits."""
        return request_id in self._requests

    @property
    def requests(self) -> tuple[QueuedRequest, ...]:
        """Return the waiting requests, in no particular order."""
        return tuple(self._requests.values())

    def put(self, request: QueuedRequest) -> None:
        """Add a request, or update the one with the same id, which keeps its place."""
        known = self._requests.get(request.request_id)
        if known is not None:
            request = replace(
                request,
                arrived_at=min(known.arrived_at, request.arrived_at),
                head_start_s=max(known.head_start_s, request.head_start_s),
            )
            self._shares[known.order].remove(known.workspace)
        self._shares.setdefault(request.order, _FairShares()).add(request.workspace)
        self._requests[request.request_id] = request

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove and return a request; None if it does not wait."""
        request = self._requests.pop(request_id, None)
        if request is None:
            return None
        self._overtaken.pop(request_id, None)
        self._shares[request.order].remove(request.workspace)
        return request

    def charge(self, request: QueuedRequest) -> None:
        """Charge a workspace for a waiting request that is granted."""
        self._shares[request.order].charge(request.workspace, _cost(request))

    def in_order(self, now: float) -> list[QueuedRequest]:
        """Return the waiting requests, the one to be granted next first."""

        def group(request: QueuedRequest) -> tuple[int, int, bool]:
            # Plain tuples: comparing data classes would take most of the time of a pass.
            return request.order.rank, request.order.route_rank, request.start_by < now

        ordered: list[QueuedRequest] = []
        for (rank, route_rank, is_late), members in groupby(
            sorted(self._requests.values(), key=group), group
        ):
            shares = self._shares[QueueOrder(rank, route_rank)]
            ordered += _in_fair_order(members, shares, is_late=is_late)
        return ordered

    def position(self, request_id: str, now: float) -> int | None:
        """Return the number of requests before a request; None if it does not wait."""
        ids = [request.request_id for request in self.in_order(now)]
        return ids.index(request_id) if request_id in self._requests else None

    def may_overtake(self, request: QueuedRequest, blocked: QueuedRequest) -> bool:
        """Return True if a request may start before a blocked one that comes first."""
        overtaken = self._overtaken.get(blocked.request_id, 0)
        return overtaken + request.tokens <= MAX_OVERTAKING * blocked.tokens

    def record_overtaking(self, request: QueuedRequest, blocked: QueuedRequest) -> None:
        """Record that a request was granted before a blocked one that comes first."""
        overtaken = self._overtaken.get(blocked.request_id, 0)
        self._overtaken[blocked.request_id] = overtaken + request.tokens


class _FairShares:
    """Track what workspaces were granted at one rank, by start-time fair queueing."""

    def __init__(self) -> None:
        """Initialize without waiting workspaces."""
        self._waiting: dict[str, int] = {}
        """Number of waiting requests of each workspace."""
        self._tags: dict[str, float] = {}
        """Tokens over share up to which each workspace was served. Those that do not wait keep a
        tag that is ahead of the virtual time: else a workspace that never has two requests waiting
        would be first each time."""
        self._virtual_time = 0.0

    def add(self, workspace: str) -> None:
        """Count a waiting request; a workspace that did not wait has saved up no claim."""
        if workspace not in self._waiting:
            self._waiting[workspace] = 0
            self._tags[workspace] = self.tag(workspace)
        self._waiting[workspace] += 1

    def remove(self, workspace: str) -> None:
        """Remove a waiting request."""
        self._waiting[workspace] -= 1
        if not self._waiting[workspace]:
            del self._waiting[workspace]

    def charge(self, workspace: str, cost: float) -> None:
        """Charge a waiting workspace for a request that is granted."""
        least = min(self._tags[name] for name in self._waiting)
        self._virtual_time = max(self._virtual_time, least)
        self._tags[workspace] += cost
        self._tags = {
            name: tag
            for name, tag in self._tags.items()
            if tag > self._virtual_time or name in self._waiting
        }

    def tag(self, workspace: str) -> float:
        """Return the tokens over share from which a workspace is served next."""
        return max(self._virtual_time, self._tags.get(workspace, 0.0))


class FillLimits(Protocol):
    """Limits up to which requests may fill an engine's memory."""

    def limit(self, order: QueueOrder) -> float:
        """Return the memory share up to which requests of an order may fill an engine."""


PlaceAttempt = Callable[[QueuedRequest, float, frozenset[str] | None], bool]
"""Try to place a request on an engine filled up to a share, and only on certain engines if given;
return True if it was placed."""


def schedule(
    queue: EngineQueue, place: PlaceAttempt, limits: FillLimits, now: float
) -> list[QueuedRequest]:
    """Grant engine memory in order; return the granted requests, which no longer wait.

    If the first request fits nowhere, later ones may fill the gaps that it can't use, within
    MAX_OVERTAKING; then the engines that it may use are kept for it.
    """
    granted: list[QueuedRequest] = []
    blocked: QueuedRequest | None = None
    only: frozenset[str] | None = None
    smallest_blocked: dict[float, int] = {}
    for request in queue.in_order(now)[:MAX_ATTEMPTS]:
        limit = limits.limit(request.order)
        if request.tokens >= smallest_blocked.get(limit, request.tokens + 1):
            continue
        if blocked is not None and only is None and not queue.may_overtake(request, blocked):
            if not blocked.avoid:
                break
            only = blocked.avoid
        if place(request, limit, only):
            queue.charge(request)
            queue.remove(request.request_id)
            granted.append(request)
            if blocked is not None and only is None:
                queue.record_overtaking(request, blocked)
            if len(granted) == MAX_GRANTS:
                break
        else:
            blocked = blocked or request
            if not request.avoid:
                smallest_blocked[limit] = request.tokens
    return granted


def _in_fair_order(
    requests: Iterable[QueuedRequest], shares: _FairShares, *, is_late: bool
) -> list[QueuedRequest]:
    """Return requests of one rank, interleaved by the shares of their workspaces."""
    by_workspace: dict[str, list[QueuedRequest]] = {}
    for request in requests:
        by_workspace.setdefault(request.workspace, []).append(request)
    heads: list[tuple[float, float, str]] = []
    for workspace, members in by_workspace.items():
        members.sort(key=lambda member: _urgency(member, is_late=is_late), reverse=True)
        urgency = _urgency(members[-1], is_late=is_late)
        heads.append((shares.tag(workspace), urgency, workspace))
    heapq.heapify(heads)
    ordered: list[QueuedRequest] = []
    while heads:
        served, _, workspace = heapq.heappop(heads)
        members = by_workspace[workspace]
        request = members.pop()
        ordered.append(request)
        if members:
            urgency = _urgency(members[-1], is_late=is_late)
            heapq.heappush(heads, (served + _cost(request), urgency, workspace))
    return ordered


def _cost(request: QueuedRequest) -> float:
    """Return the tokens of a request, divided by its workspace's share."""
    return request.tokens / max(MIN_SHARE, request.share)


def _urgency(request: QueuedRequest, *, is_late: bool) -> float:
    """Return the sort key within a workspace: least slack, or the oldest of the late ones."""
    return request.arrived_at if is_late else request.start_by - request.head_start_s
