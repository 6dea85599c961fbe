"""Draw sends of one request against upstreams that do their worst, and count its runs.

The relay sends wherever the history of its sends lets it. An upstream that was sent a
request without a copy may run it and break off; one that holds a copy goes on with the
same run. Two things are taken as given: a named copy is there until it is used, and one
that is kept up is there once its run has made events for long enough, unless the engine has
run the request itself before: then it may run it again.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from driftstall.core import Ran
from driftstall.decisions.sends import BACKUP_READY_AFTER_S, ReplicaKind, SendHistory, SendOutcome

UPSTREAMS = ("a", "b", "c")


class Behavior(StrEnum):
    """Name what an upstream does with a request."""

    UNREACHABLE = "unreachable"
    TURNED_AWAY = "turned away"
    BROKE_OFF = "broke off"
    """It may have begun to run it, and gave no answer."""


@dataclass(frozen=True, slots=True)
class Draw:
    """Hold one drawn send: where, at which copy, and what comes of it."""

    upstream_id: str
    kind: ReplicaKind | None
    """The copy to go on at; None for a new run."""
    name: str
    """The name of the copy, where an engine names it."""
    making_s: float | None
    """For how long the run before has made events."""
    word: Behavior


@dataclass(slots=True)
class SendsWorld:
    """Hold what truly became of one request."""

    history: SendHistory
    truly_run_at: list[str] = field(default_factory=list)
    """The upstream of each run that was begun."""
    runs_on: bool = False
    """Whether some run has begun that a copy could hold."""
    used: set[str] = field(default_factory=set)
    """Names of the copies that a run has gone on from."""

    def take(self, draw: Draw) -> None:
        """Send if the history allows it, and check what it says afterwards."""
        if not self._allowed(draw):
            return
        self.history.begin(draw.upstream_id, _copy_of(draw))
        if draw.word is Behavior.UNREACHABLE:
            self.history.end(SendOutcome.UNSENT)
        elif draw.word is Behavior.TURNED_AWAY:
            self.history.end(SendOutcome.TURNED_AWAY)
        elif not self._holds_copy(draw):
            self.truly_run_at.append(draw.upstream_id)
            self.runs_on = True
        else:
            self.used.add(_copy_of(draw))
        self.check()

    def check(self) -> None:
        """Check the promises."""
        assert len(self.truly_run_at) <= self.history.max_runs, self.truly_run_at
        if self.history.ran is Ran.NOT_RUN:
            assert not self.truly_run_at, self.truly_run_at
        assert set(self.truly_run_at) <= self.history.has_run_at

    def _allowed(self, draw: Draw) -> bool:
        """Ask the history, as a relay does."""
        if draw.kind is None:
            return self.history.can_restart
        return self.history.can_resume(draw.kind, draw.upstream_id, _copy_of(draw), draw.making_s)

    def _holds_copy(self, draw: Draw) -> bool:
        """Tell whether the upstream goes on with the same run."""
        if draw.kind is None or _copy_of(draw) in self.used:
            return False
        if draw.kind is ReplicaKind.NAMED:
            return self.runs_on
        made = draw.making_s is not None and draw.making_s >= BACKUP_READY_AFTER_S
        return made and self.runs_on and draw.upstream_id not in self.truly_run_at


def _copy_of(draw: Draw) -> str:
    """Return the name of the copy that a send goes on at; empty for a new run."""
    if draw.kind is None:
        return ""
    return draw.name if draw.kind is ReplicaKind.NAMED else f"{draw.upstream_id}/request"
