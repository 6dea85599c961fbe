"""Simulation of the platform's history of upstreams, delivered to one fleet in any order.

A model-based test draws the steps. After each one, no upstream may accept requests that is known
to have left, and none that is known to be ready may be excluded.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from driftstall.decisions.store_versions import StoreVersion
from driftstall.decisions.upstream_probes import SUSPICION_S
from driftstall.gateway.fleet import LAPSE_GRACE_S, FleetController
from driftstall.gateway.fleet_events import (
    FleetEvent,
    PlatformReachable,
    PlatformUnreachable,
    TimerFired,
    UpstreamChanged,
    UpstreamsListed,
    UpstreamsListedByPeer,
    UpstreamSuspected,
)
from driftstall.gateway.model import Upstream, UpstreamState
from features.worlds.upstream_samples import upstream_of

NAMES: Final = ("u1", "u2")


class StoredState(StrEnum):
    """States of an upstream in the platform's store."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class StepKind(StrEnum):
    """Kinds of steps."""

    WRITE = "an entry changes"
    WATCH = "a watch delivers all changes"
    LIST = "the platform lists all entries"
    PEER_UPDATE = "a peer publishes a change"
    PEER_LIST = "a peer sends its list"
    DISCONNECT = "the platform becomes unreachable"
    RECONNECT = "the platform is reachable again"
    SUSPECT = "a probed upstream reports to be leaving"
    WAIT = "time passes"


@dataclass(frozen=True, slots=True)
class Step:
    """A step, with its kind and parameters."""

    kind: StepKind
    name: str
    lag: int
    """Number of changes by which a peer's state lags behind the platform."""
    seconds: float
    is_variant: bool
    """Whether the step takes the less usual of its two forms."""


@dataclass(frozen=True, slots=True)
class _Write:
    """A change that the platform has stored."""

    revision: int
    name: str
    state: StoredState


class FleetWorld:
    """The platform's history, and a fleet that receives it."""

    def __init__(self, past: Iterable[Step], *, knows_past: bool) -> None:
        """Start with all upstreams ready, then apply the changes of the past.

        The fleet gets its first list before these changes if `knows_past`, else after them. In
        that case it never knew the upstreams that have left by then.
        """
        self._writes = [
            _Write(number, name, StoredState.READY) for number, name in enumerate(NAMES, start=1)
        ]
        self.fleet = FleetController()
        self._now = 100.0
        self._delivered_revision = 0
        self._is_down = False
        self._reachable_since = float("-inf")
        self._suspected_at: dict[str, float] = {}
        self._ready_revision = dict.fromkeys(NAMES, 0)
        """The newest revision with which an upstream was reported as ready, by any source."""
        self._left_revision = dict.fromkeys(NAMES, -1)
        """The newest revision by which an upstream was reported to have left, by any source."""
        if knows_past:
            self._deliver_list()
        for step in past:
            self._write(step)
        if not knows_past:
            self._deliver_list()

    def run_step(self, step: Step) -> None:
        """Run one step and check the invariants of the fleet."""
        {
            StepKind.WRITE: self._write,
            StepKind.WATCH: lambda _: self._deliver_changes(),
            StepKind.LIST: lambda _: self._deliver_list(),
            StepKind.PEER_UPDATE: self._deliver_peer_update,
            StepKind.PEER_LIST: self._deliver_peer_list,
            StepKind.DISCONNECT: lambda _: self._disconnect(),
            StepKind.RECONNECT: lambda _: self._reconnect(),
            StepKind.SUSPECT: self._suspect,
            StepKind.WAIT: self._pass_time,
        }[step.kind](step)
        self._check()

    # The platform's history

    @property
    def _newest(self) -> int:
        return self._writes[-1].revision

    def _write(self, step: Step) -> None:
        """Change an entry; a removed one is restored, as after a lapse of its lease."""
        old_state = self._state(step.name, self._newest)
        if old_state is StoredState.READY and not step.is_variant:
            to = StoredState.DRAINING
        else:
            to = StoredState.READY if old_state is StoredState.GONE else StoredState.GONE
        self._writes.append(_Write(self._newest + 1, step.name, to))

    def _last(self, name: str, at: int) -> _Write:
        """Return an entry's newest change up to a revision."""
        return [write for write in self._writes if write.name == name and write.revision <= at][-1]

    def _state(self, name: str, at: int) -> StoredState:
        """Return the state of an upstream as of a revision."""
        return self._last(name, at).state

    def _entries(self, at: int, *, only_ready: bool = False) -> tuple[Upstream, ...]:
        """Return the full list as of a revision."""
        present = [
            self._last(name, at) for name in NAMES if self._state(name, at) is not StoredState.GONE
        ]
        return tuple(
            _entry(write) for write in present if write.state is StoredState.READY or not only_ready
        )

    # Delivery to the fleet

    def _handle(self, event: FleetEvent) -> None:
        self.fleet.handle(event, self._now)

    def _note(self, name: str, state: StoredState, revision: int) -> None:
        """Record a delivered state for the checks."""
        noted = self._ready_revision if state is StoredState.READY else self._left_revision
        noted[name] = max(noted[name], revision)

    def _deliver_changes(self) -> None:
        """Deliver all changes since the last delivery, as a watch does."""
        if self._is_down:
            return
        for write in self._writes:
            if write.revision > self._delivered_revision:
                self._handle(UpstreamChanged(_entry(write), write.state is StoredState.GONE))
                if write.state is not StoredState.GONE or not self._in_grace:
                    self._note(write.name, write.state, write.revision)
        self._delivered_revision = self._newest

    def _deliver_list(self) -> None:
        """Deliver the full list."""
        if self._is_down:
            return
        self._handle(UpstreamsListed(self._entries(self._newest), StoreVersion(self._newest)))
        self._delivered_revision = self._newest
        for name in NAMES:
            state = self._state(name, self._newest)
            if state is not StoredState.GONE or not self._in_grace:
                revision = self._last(name, self._newest).revision
                self._note(name, state, revision)

    def _past_revision(self, lag: int) -> int:
        """Return the revision that lags behind the newest one by a number of changes."""
        return max(len(NAMES), self._newest - lag)

    def _deliver_peer_update(self, step: Step) -> None:
        """Deliver any past change from a peer, in one of the two forms that peers send."""
        write = self._writes[self._past_revision(step.lag) - 1]
        entry = _entry(write)
        if write.state is StoredState.GONE and step.is_variant:
            # A peer that derived the removal sends the entry that it knew before.
            entry = _entry(self._last(write.name, write.revision - 1))
        self._handle(UpstreamChanged(entry, write.state is StoredState.GONE, from_peer=True))
        self._note(write.name, write.state, entry.revision)

    def _deliver_peer_list(self, step: Step) -> None:
        """Deliver a peer's list as of any past revision."""
        at = self._past_revision(step.lag)
        ready = self._entries(at, only_ready=True)
        if step.is_variant:
            # The peer has read this list and has seen no change since.
            at = max((entry.revision for entry in self._entries(at)), default=0)
        self._handle(UpstreamsListedByPeer(ready, StoreVersion(at)))
        offered = {entry.upstream_id: entry.revision for entry in ready}
        for name in NAMES:
            if name in offered:
                self._note(name, StoredState.READY, offered[name])
            else:
                self._note(name, StoredState.GONE, at)

    def _disconnect(self) -> None:
        if not self._is_down:
            self._is_down = True
            self._handle(PlatformUnreachable())

    def _reconnect(self) -> None:
        if self._is_down:
            self._is_down, self._reachable_since = False, self._now
            self._handle(PlatformReachable())

    def _suspect(self, step: Step) -> None:
        self._suspected_at[step.name] = self._now
        self._handle(UpstreamSuspected(step.name))

    def _pass_time(self, step: Step) -> None:
        self._now += step.seconds
        self._handle(TimerFired())

    # Invariants

    def _check(self) -> None:
        """Check each upstream's state in the fleet."""
        for name in NAMES:
            if self.fleet.accepts_requests(name):
                self._check_may_accept(name)
            else:
                self._check_may_exclude(name)

    @property
    def _in_grace(self) -> bool:
        """Return True while a missing entry may only have lapsed in an outage."""
        return self._is_down or self._now - self._reachable_since < LAPSE_GRACE_S

    def _check_may_accept(self, name: str) -> None:
        """Check that the newest report of an upstream that accepts requests says it is ready.

        A removal that carries the upstream's previous entry applies to that entry's revision.
        """
        ready, left = self._ready_revision[name], self._left_revision[name]
        assert ready > left, f"{name} accepts requests as of {ready}, but has left by {left}"
        if not self._in_grace:
            state = self._state(name, self._delivered_revision)
            is_known = state is StoredState.READY or ready > self._delivered_revision
            assert is_known, f"{name} accepts requests, but the platform has it as {state}"

    def _check_may_exclude(self, name: str) -> None:
        """Check that an excluded upstream is not known as ready, unless it is suspected."""
        last = self._last(name, self._newest)
        is_suspected = self._now - self._suspected_at.get(name, float("-inf")) <= SUSPICION_S
        is_known_ready = (
            last.state is StoredState.READY and last.revision <= self._delivered_revision
        )
        assert not is_known_ready or is_suspected, f"{name} is ready and known, but excluded"


def _entry(write: _Write) -> Upstream:
    """Return an entry as the platform reports it."""
    state = UpstreamState.READY if write.state is StoredState.READY else UpstreamState.LEAVING
    return upstream_of(write.name, write.revision, state)
