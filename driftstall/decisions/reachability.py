"""Track which upstreams this instance can open connections to.

Whether an upstream is reachable is a property of a pair: this instance and the upstream. An
instance that is partitioned from upstreams fails to connect to all of them, while its peers still
reach them.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from driftstall.gateway.model import Upstream

NEVER: Final = float("-inf")
SERVICE_CONTROLS: Final = 2
"""Other upstreams of a service to which connections are tried after one has failed. If all fail as
well, the service is unreachable from this instance."""


class ServiceReach(StrEnum):
    """Whether this instance reaches the upstreams of a service."""

    REACHABLE = "reachable"
    UNREACHABLE = "unreachable"
    """No upstream of the service; those of others are reachable. The service may be down."""
    PARTITIONED = "partitioned"
    """No upstream of any service."""


@dataclass(frozen=True, slots=True)
class ControlUpstreams:
    """Upstreams to connect to after a failure, to tell a partition from a crash."""

    same_service: tuple[Upstream, ...]
    other_service: tuple[Upstream, ...]


@dataclass(slots=True)
class _ServiceRecord:
    """Hold the outcomes of the latest connections to the upstreams of one service."""

    failed: set[str] = field(default_factory=set)
    """Upstreams to which the latest connection has failed."""
    reached_at: float = NEVER
    """When a connection to any upstream of the service was last opened."""
    reach: ServiceReach = ServiceReach.REACHABLE


class ReachabilityTracker:
    """Record the outcomes of this instance's connections to upstreams."""

    def __init__(self) -> None:
        """Initialize without outcomes."""
        self._services: dict[str, _ServiceRecord] = {}

    @property
    def unreachable(self) -> frozenset[str]:
        """Return the upstreams to which the latest connection has failed."""
        return frozenset().union(*(record.failed for record in self._services.values()))

    @property
    def unreachable_services(self) -> tuple[str, ...]:
        """Return the services of which this instance reaches no upstream."""
        return tuple(
            sorted(
                name
                for name, record in self._services.items()
                if record.reach is not ServiceReach.REACHABLE
            )
        )

    def reach(self, service: str) -> ServiceReach:
        """Return whether this instance reaches a service, as far as it knows."""
        record = self._services.get(service)
        return record.reach if record is not None else ServiceReach.REACHABLE

    def is_unreachable(self, service: str) -> bool:
        """Return True if this instance reaches no upstream of a service."""
        return self.reach(service) is not ServiceReach.REACHABLE

    def has_reached_since(self, service: str, since: float) -> bool:
        """Return True if a connection to the service was opened at or after a time."""
        record = self._services.get(service)
        return record is not None and record.reached_at >= since

    def has_failures(self, service: str) -> bool:
        """Return True if the latest connection to any upstream of a service has failed."""
        record = self._services.get(service)
        return record is not None and bool(record.failed)

    def record_success(self, upstream_id: str, service: str, now: float) -> bool:
        """Record an opened connection; return True if the upstream was unreachable before.

        The service is reachable from then on.
        """
        record = self._record(service)
        was_unreachable = upstream_id in record.failed
        record.failed.discard(upstream_id)
        record.reached_at = now
        record.reach = ServiceReach.REACHABLE
        return was_unreachable

    def record_failure(self, upstream_id: str, service: str) -> bool:
        """Record a connection that failed; return True if the upstream was reachable before."""
        record = self._record(service)
        was_reachable = upstream_id not in record.failed
        record.failed.add(upstream_id)
        return was_reachable

    def set_reach(self, service: str, reach: ServiceReach) -> frozenset[str]:
        """Set whether a service is reachable; return its upstreams that have failed."""
        record = self._record(service)
        record.reach = reach
        return frozenset(record.failed)

    def keep_only(self, upstream_ids: set[str]) -> None:
        """Discard the outcomes of all upstreams except the given ones."""
        for record in self._services.values():
            record.failed &= upstream_ids

    @staticmethod
    def choose_controls(
        failed: Upstream, upstreams: Iterable[Upstream], source: random.Random
    ) -> ControlUpstreams:
        """Return the upstreams to connect to after a failure: a few of its service, and another."""
        others = [each for each in upstreams if each.upstream_id != failed.upstream_id]
        same = [each for each in others if each.service == failed.service]
        foreign = [each for each in others if each.service != failed.service]
        return ControlUpstreams(
            tuple(source.sample(same, min(SERVICE_CONTROLS, len(same)))),
            tuple(source.sample(foreign, min(1, len(foreign)))),
        )

    def _record(self, service: str) -> _ServiceRecord:
        """Return the record of a service."""
        return self._services.setdefault(service, _ServiceRecord())
