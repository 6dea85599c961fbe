"""Simulation of the sends of one request to adversarial upstreams, which counts its runs.

The relay sends whenever the history of its sends allows it. An upstream that was sent a request
without a replica may run it and break off; one that holds a replica resumes the same run. Two
assumptions are made: a named replica exists until it is used, and a backup exists once its run has
produced events for long enough, unless the engine has run the request itself before: then it may
run it again.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from driftstall.core import Ran
from driftstall.decisions.sends import BACKUP_READY_AFTER_S, ReplicaKind, SendHistory, SendOutcome

UPSTREAMS = ("a", "b", "c")


class Behavior(StrEnum):
    """Behavior of an upstream that was sent a request."""

    UNREACHABLE = "unreachable"
    TURNED_AWAY = "turned away"
    BROKE_OFF = "broke off"
    """It may have started to run the request, and gave no response."""


@dataclass(frozen=True, slots=True)
class Draw:
    """A generated send: its upstream, its replica, and the upstream's behavior."""

    upstream_id: str
    kind: ReplicaKind | None
    """The kind of the replica at which to resume; None for a new run."""
    name: str
    """The name of the replica, where an engine names it."""
    making_s: float | None
    """Time for which the previous run has produced events, in seconds."""
    behavior: Behavior


@dataclass(slots=True)
class SendsWorld:
    """Record the actual runs of one request."""

    history: SendHistory
    started_at: list[str] = field(default_factory=list)
    """The upstream of each run that was started."""
    has_started_run: bool = False
    """Whether any run has started that a replica could hold."""
    used_replicas: set[str] = field(default_factory=set)
    """Names of the replicas at which a run has resumed."""

    def send(self, draw: Draw) -> None:
        """Send if the history allows it, and check the history afterwards."""
        if not self._is_allowed(draw):
            return
        self.history.begin(draw.upstream_id, _replica_name(draw))
        if draw.behavior is Behavior.UNREACHABLE:
            self.history.end(SendOutcome.UNSENT)
        elif draw.behavior is Behavior.TURNED_AWAY:
            self.history.end(SendOutcome.TURNED_AWAY)
        elif not self._holds_replica(draw):
            self.started_at.append(draw.upstream_id)
            self.has_started_run = True
        else:
            self.used_replicas.add(_replica_name(draw))
        self.check()

    def check(self) -> None:
        """Check that the history agrees with the actual runs."""
        assert len(self.started_at) <= self.history.max_runs, self.started_at
        if self.history.ran is Ran.NOT_RUN:
            assert not self.started_at, self.started_at
        assert set(self.started_at) <= self.history.has_run_at

    def _is_allowed(self, draw: Draw) -> bool:
        """Return True if the history allows the send."""
        if draw.kind is None:
            return self.history.can_restart
        return self.history.can_resume(
            draw.kind, draw.upstream_id, _replica_name(draw), draw.making_s
        )

    def _holds_replica(self, draw: Draw) -> bool:
        """Return True if the upstream resumes the same run."""
        if draw.kind is None or _replica_name(draw) in self.used_replicas:
            return False
        if draw.kind is ReplicaKind.NAMED:
            return self.has_started_run
        is_ready = draw.making_s is not None and draw.making_s >= BACKUP_READY_AFTER_S
        return is_ready and self.has_started_run and draw.upstream_id not in self.started_at


def _replica_name(draw: Draw) -> str:
    """Return the name of the replica of a send; empty for a new run."""
    if draw.kind is None:
        return ""
    return draw.name if draw.kind is ReplicaKind.NAMED else f"{draw.upstream_id}/request"
