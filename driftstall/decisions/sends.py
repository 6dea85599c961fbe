"""Decide whether a request may be sent to an upstream, or sent once more.

A request that may have run is sent again only where it may run more than once, or to resume at a
replica of its run's KV cache: then it is the same run. An engine names a replica once it is made.
A backup, which the engine was only asked to keep up to date at another engine, is not named, and
there may have been no time or no room for it. Engines refuse to resume at a replica that they do
not hold, but one whose connection breaks before it looks gives no answer at all. So a send does
not rely on that refusal where the replica is not to be expected, nor where the engine has run the
request itself.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from driftstall.core import Ran

BACKUP_READY_AFTER_S: Final = 0.5
"""Time for which a run must have produced events before its backup is assumed to exist. Among
broken streams that reached the backup's engine, the backup existed for none of 58 without an event,
none of 11 within 0.3 s of the first event, 3 of 5 within 0.5 s, 8 of 9 within 1 s and all of 62
later (engines of two sites that crashed or spoiled answers). After this time 1 of 71 backups was
missing; the engine's refusal covers this case."""


class SendOutcome(StrEnum):
    """Outcome of one send, as far as it is known."""

    UNSENT = "unsent"
    """No byte of the request has been sent."""
    TURNED_AWAY = "turned away"
    """The upstream itself stated that it did not run the request."""
    MAY_HAVE_RUN = "may have run"
    """The request was sent, and nothing shows that it did not run."""


class ReplicaKind(StrEnum):
    """How a replica of a run's KV cache is known."""

    NAMED = "named"
    """An engine named it once it was made."""
    BACKUP = "kept up"
    """The run's engine was asked to keep it up to date at another engine during the run."""


@dataclass(frozen=True, slots=True)
class Send:
    """Describe one send of a request."""

    upstream_id: str
    outcome: SendOutcome
    copy_of: str
    """The replica at which the request resumes; empty if the send starts a new run."""


@dataclass(slots=True)
class SendHistory:
    """Record all sends of one request, in order."""

    max_runs: int
    """Maximum number of upstreams that may run the request from the start; one if it may run only
    once."""
    _sends: list[Send] = field(default_factory=list)

    @property
    def sends(self) -> int:
        """Return the number of sends, including those without a connection."""
        return len(self._sends)

    @property
    def has_arrived(self) -> bool:
        """Return True if the request may have reached any upstream."""
        return any(send.outcome is not SendOutcome.UNSENT for send in self._sends)

    @property
    def runs(self) -> int:
        """Return how many runs may have started; resuming at a replica starts none."""
        return sum(
            send.outcome is SendOutcome.MAY_HAVE_RUN and not send.copy_of for send in self._sends
        )

    @property
    def ran(self) -> Ran:
        """Return whether the request may have run, as stated in the problem of a failed request."""
        may_have_run = any(send.outcome is SendOutcome.MAY_HAVE_RUN for send in self._sends)
        return Ran.UNKNOWN if may_have_run else Ran.NOT_RUN

    @property
    def can_restart(self) -> bool:
        """Return True if the request may be sent to start a run."""
        return self.runs < self.max_runs

    @property
    def sent_to(self) -> frozenset[str]:
        """Return the upstreams to which the request was sent or is being sent."""
        return frozenset(send.upstream_id for send in self._sends)

    @property
    def has_run_at(self) -> frozenset[str]:
        """Return the upstreams at which the request may have run."""
        return frozenset(
            send.upstream_id for send in self._sends if send.outcome is SendOutcome.MAY_HAVE_RUN
        )

    def can_resume(
        self, kind: ReplicaKind, upstream_id: str, copy_of: str, producing_s: float | None
    ) -> bool:
        """Return True if the request may be sent to an upstream to resume at a replica there.

        `producing_s` is the time in seconds for which its run has produced events at the previous
        engine, or None if it has produced none there.
        """
        if any(
            send.copy_of == copy_of and send.outcome is not SendOutcome.UNSENT
            for send in self._sends
        ):
            # A replica serves once: it was used, or the engine has stated that it has none.
            return False
        if not self.has_run_at:
            # Without a possible run there is nothing to resume.
            return False
        if kind is ReplicaKind.NAMED:
            return True
        # A backup is addressed by the request's own id: an engine that has run the request
        # before may mistake the remains of that run for the backup, and run it again.
        if upstream_id in self.has_run_at:
            return False
        return producing_s is not None and producing_s >= BACKUP_READY_AFTER_S

    def begin(self, upstream_id: str, copy_of: str = "") -> None:
        """Record that the request is being sent; until its outcome is known it may have run."""
        self._sends.append(Send(upstream_id, SendOutcome.MAY_HAVE_RUN, copy_of))

    def end(self, outcome: SendOutcome) -> None:
        """Record the outcome of the latest send."""
        latest = self._sends.pop()
        self._sends.append(Send(latest.upstream_id, outcome, latest.copy_of))
