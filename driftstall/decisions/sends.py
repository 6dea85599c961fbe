"""Decide whether a request may be sent to an upstream, or once more.

A request that may have run is sent again only where it may run more than once, or to go
on at a copy of its run's memory: then it is the same run. An engine names a copy once it is
made. Of one that it was only asked to keep up elsewhere it says nothing, and there may have
been no time or no room for it. Engines refuse to go on at a copy that they do not hold, but
one that breaks off before it looks says nothing at all. So a send does not rest on that
refusal where the copy is not to be expected, nor where the engine has run the request itself.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from driftstall.core import Ran

BACKUP_READY_AFTER_S: Final = 0.5
"""Time for which a run must have made events before the copy that its engine keeps up is
taken to be there. Of streams that were broken off, and that found the engine, it was there for
none of 58 without an event, none of 11 within 0.3 s of the first event, 3 of 5 within 0.5 s,
8 of 9 within 1 s and all of 62 later (engines of two sites that crashed or spoiled answers).
What is missing then, 1 of 71, is left to the engine's refusal."""


class SendOutcome(StrEnum):
    """Tell what is known of one send."""

    UNSENT = "unsent"
    """No byte of the request has left."""
    TURNED_AWAY = "turned away"
    """The upstream itself said that it did not run it."""
    MAY_HAVE_RUN = "may have run"
    """It was sent, and nothing says that it did not run."""


class ReplicaKind(StrEnum):
    """Tell how a copy of a run's memory is known."""

    NAMED = "named"
    """An engine has named it once it was made."""
    BACKUP = "kept up"
    """The run's engine was asked to keep it up at another one while the run goes on."""


@dataclass(frozen=True, slots=True)
class Send:
    """Hold one send of a request."""

    upstream_id: str
    fate: SendOutcome
    copy_of: str
    """Names the copy at which it goes on; empty where it begins a run of its own."""


@dataclass(slots=True)
class SendHistory:
    """Hold all sends of one request, in order."""

    max_runs: int
    """Upstreams that may run the request anew: one, if it may run only once."""
    _sends: list[Send] = field(default_factory=list)

    @property
    def sends(self) -> int:
        """Return how often the request was sent, also where no connection came up."""
        return len(self._sends)

    @property
    def has_arrived(self) -> bool:
        """Tell whether the request may have reached any upstream."""
        return any(send.fate is not SendOutcome.UNSENT for send in self._sends)

    @property
    def runs(self) -> int:
        """Return how many runs the request may have begun; at a copy none is begun."""
        return sum(
            send.fate is SendOutcome.MAY_HAVE_RUN and not send.copy_of for send in self._sends
        )

    @property
    def ran(self) -> Ran:
        """Tell what may be said of the request when it is given up."""
        may_have_run = any(send.fate is SendOutcome.MAY_HAVE_RUN for send in self._sends)
        return Ran.UNKNOWN if may_have_run else Ran.NOT_RUN

    @property
    def can_restart(self) -> bool:
        """Tell whether the request may be sent to begin a run."""
        return self.runs < self.max_runs

    @property
    def sent_to(self) -> frozenset[str]:
        """Return the upstreams to which the request was sent or is being sent."""
        return frozenset(send.upstream_id for send in self._sends)

    @property
    def has_run_at(self) -> frozenset[str]:
        """Return the upstreams at which the request may have run."""
        return frozenset(
            send.upstream_id for send in self._sends if send.fate is SendOutcome.MAY_HAVE_RUN
        )

    def can_resume(
        self, kind: ReplicaKind, upstream_id: str, copy_of: str, making_s: float | None
    ) -> bool:
        """Tell whether the request may be sent to an upstream to go on at a copy there.

        The time for which its run has made events at the engine that it has left is in
        seconds, or None if it has made none there.
        """
        if any(
            send.copy_of == copy_of and send.fate is not SendOutcome.UNSENT for send in self._sends
        ):
            # A copy serves once: it was used, or the engine has said that it is not there.
            return False
        if not self.has_run_at:
            # Where nothing can have run, there is nothing to go on with.
            return False
        if kind is ReplicaKind.NAMED:
            return True
        # A kept-up copy goes by the request's own id: an engine that has run the request
        # before may take what is left of that run for the copy, and run it again.
        if upstream_id in self.has_run_at:
            return False
        return making_s is not None and making_s >= BACKUP_READY_AFTER_S

    def begin(self, upstream_id: str, copy_of: str = "") -> None:
        """Take in that the request is being sent; until its end is known it may have run."""
        self._sends.append(Send(upstream_id, SendOutcome.MAY_HAVE_RUN, copy_of))

    def end(self, fate: SendOutcome) -> None:
        """Take in what became of the newest send."""
        newest = self._sends.pop()
        self._sends.append(Send(newest.upstream_id, fate, newest.copy_of))
