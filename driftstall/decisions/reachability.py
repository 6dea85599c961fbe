"""Track which upstreams this instance can open connections to.

Whether an upstream is reachable is a property of a pair: this instance and the upstream. An
instance that is partitioned from upstreams fails to connect to all of them, while its peers still
reach them.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class _ServiceRecord:
    """Hold the outcomes of the latest connections to the upstreams of one service."""

    failed_at: dict[str, float]
    """When the latest connection to an upstream failed, by its id; reached ones are removed."""
    reached_at: float = float("-inf")
    """When a connection to any upstream of the service was last opened."""


class ReachabilityTracker:
    """Record the outcomes of this instance's connections to upstreams."""

    def __init__(self) -> None:
        """Initialize without outcomes."""
        self._services: dict[str, _ServiceRecord] = {}

    @property
    def unreachable(self) -> frozenset[str]:
        """Return the upstreams to which the latest connection has failed."""
        return frozenset(
            upstream_id for record in self._services.values() for upstream_id in record.failed_at
        )

    def record_success(self, upstream_id: str, service: str, now: float) -> bool:
        """Record an opened connection; return True if the upstream was unreachable before."""
        record = self._record(service)
        record.reached_at = now
        return record.failed_at.pop(upstream_id, None) is not None

    def record_failure(self, upstream_id: str, service: str, now: float) -> bool:
        """Record a connection that failed; return True if the upstream was reachable before."""
        record = self._record(service)
        was_reachable = upstream_id not in record.failed_at
        record.failed_at[upstream_id] = now
        return was_reachable

    def keep_only(self, upstream_ids: set[str]) -> None:
        """Discard the outcomes of all upstreams except the given ones."""
        for record in self._services.values():
            for upstream_id in [each for each in record.failed_at if each not in upstream_ids]:
                del record.failed_at[upstream_id]

    def _record(self, service: str) -> _ServiceRecord:
        """Return the record of a service."""
        return self._services.setdefault(service, _ServiceRecord({}))
