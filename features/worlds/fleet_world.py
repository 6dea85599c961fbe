"""Model what the platform holds of upstreams, and tell one fleet of it in any order."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from driftstall.decisions.store_versions import StoreVersion
from driftstall.decisions.upstream_probes import SUSPICION_S
from driftstall.gateway.fleet import LAPSE_GRACE_S, FleetController
from driftstall.gateway.fleet_events import (
    Changed,
    FleetEvent,
    Listed,
    ListedByPeer,
    Period,
    PlatformReachable,
    PlatformUnreachable,
    UpstreamSuspected,
)
from driftstall.gateway.model import Upstream, UpstreamState
from features.worlds.upstream_samples import upstream_of

NAMES: Final = ("u1", "u2")


class StoredState(StrEnum):
    """Name what the platform holds of an upstream."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class StepKind(StrEnum):
    """Name what happens in one step."""

    WRITE = "an entry changes"
    WATCH = "the platform tells all changes"
    LIST = "the platform lists all"
    NEWS = "a peer tells of a change"
    OFFER = "a peer gives its list"
    LOST = "the platform is lost"
    BACK = "the platform is back"
    DOUBT = "an upstream says itself that it leaves"
    TIME = "time passes"


@dataclass(frozen=True, slots=True)
class Step:
    """Hold one drawn step."""

    tell: StepKind
    name: str
    back: int
    """How many changes ago a peer knew what it tells."""
    seconds: float
    other_way: bool
    """Whether it comes in the less usual of its two forms."""


@dataclass(frozen=True, slots=True)
class _Write:
    """Hold one change that the platform has taken."""

    revision: int
    name: str
    held: StoredState


class FleetWorld:
    """Hold the platform's history, and a fleet that is told of it."""

    def __init__(self, past: Iterable[Step], *, knows_past: bool) -> None:
        """Start with all upstreams ready, and some changes; the first list comes before or after.

        After: the fleet has never known what has left by then.
        """
        self._writes = [
            _Write(number, name, StoredState.READY) for number, name in enumerate(NAMES, start=1)
        ]
        self.fleet = FleetController()
        self._now = 100.0
        self._told_to = 0
        self._down = False
        self._back_at = float("-inf")
        self._doubted_at: dict[str, float] = {}
        self._told_ready = dict.fromkeys(NAMES, 0)
        """The newest revision at which anyone told that an upstream is ready."""
        self._told_left = dict.fromkeys(NAMES, -1)
        """The newest revision of which anyone told that an upstream had left by then."""
        if knows_past:
            self._tell_list()
        for drawn in past:
            self._write(drawn)
        if not knows_past:
            self._tell_list()

    def run_step(self, drawn: Step) -> None:
        """Take one step and check what the fleet makes of it."""
        {
            StepKind.WRITE: self._write,
            StepKind.WATCH: lambda _: self._tell_changes(),
            StepKind.LIST: lambda _: self._tell_list(),
            StepKind.NEWS: self._tell_news,
            StepKind.OFFER: self._tell_offer,
            StepKind.LOST: lambda _: self._lose(),
            StepKind.BACK: lambda _: self._return(),
            StepKind.DOUBT: self._doubt,
            StepKind.TIME: self._pass_time,
        }[drawn.tell](drawn)
        self._check()

    # The platform.

    @property
    def _newest(self) -> int:
        return self._writes[-1].revision

    def _write(self, drawn: Step) -> None:
        """Change an entry; what is gone comes back only as one that had lapsed."""
        held = self._held(drawn.name, self._newest)
        if held is StoredState.READY and not drawn.other_way:
            to = StoredState.DRAINING
        else:
            to = StoredState.READY if held is StoredState.GONE else StoredState.GONE
        self._writes.append(_Write(self._newest + 1, drawn.name, to))

    def _last(self, name: str, at: int) -> _Write:
        """Return an entry's newest change up to a revision."""
        return [one for one in self._writes if one.name == name and one.revision <= at][-1]

    def _held(self, name: str, at: int) -> StoredState:
        """Return what was held of an upstream as of a revision."""
        return self._last(name, at).held

    def _entries(self, at: int, *, only_ready: bool = False) -> tuple[Upstream, ...]:
        """Return the whole list as of a revision."""
        held = [
            self._last(name, at) for name in NAMES if self._held(name, at) is not StoredState.GONE
        ]
        return tuple(_entry(one) for one in held if one.held is StoredState.READY or not only_ready)

    # What the fleet is told.

    def _handle(self, event: FleetEvent) -> None:
        self.fleet.handle(event, self._now)

    def _note(self, name: str, held: StoredState, revision: int) -> None:
        """Note what was told."""
        told = self._told_ready if held is StoredState.READY else self._told_left
        told[name] = max(told[name], revision)

    def _tell_changes(self) -> None:
        """Tell all changes since the last ones, as a watch does."""
        if self._down:
            return
        for one in self._writes:
            if one.revision > self._told_to:
                self._handle(Changed(_entry(one), one.held is StoredState.GONE))
                if one.held is not StoredState.GONE or not self._in_grace:
                    self._note(one.name, one.held, one.revision)
        self._told_to = self._newest

    def _tell_list(self) -> None:
        """Tell the whole list."""
        if self._down:
            return
        self._handle(Listed(self._entries(self._newest), StoreVersion(self._newest)))
        self._told_to = self._newest
        for name in NAMES:
            held = self._held(name, self._newest)
            if held is not StoredState.GONE or not self._in_grace:
                revision = self._last(name, self._newest).revision
                self._note(name, held, revision)

    def _past(self, back: int) -> int:
        """Return a revision of the past."""
        return max(len(NAMES), self._newest - back)

    def _tell_news(self, drawn: Step) -> None:
        """Let a peer tell of any change, in one of the forms in which peers do."""
        one = self._writes[self._past(drawn.back) - 1]
        entry = _entry(one)
        if one.held is StoredState.GONE and drawn.other_way:
            # A peer that took it for leaving names the entry as it knew it.
            entry = _entry(self._last(one.name, one.revision - 1))
        self._handle(Changed(entry, one.held is StoredState.GONE, from_peer=True))
        self._note(one.name, one.held, entry.revision)

    def _tell_offer(self, drawn: Step) -> None:
        """Let a peer give its list of any time."""
        at = self._past(drawn.back)
        ready = self._entries(at, only_ready=True)
        if drawn.other_way:
            # The peer has read this list, and seen no change since.
            at = max((one.revision for one in self._entries(at)), default=0)
        self._handle(ListedByPeer(ready, StoreVersion(at)))
        offered = {one.upstream_id: one.revision for one in ready}
        for name in NAMES:
            if name in offered:
                self._note(name, StoredState.READY, offered[name])
            else:
                self._note(name, StoredState.GONE, at)

    def _lose(self) -> None:
        if not self._down:
            self._down = True
            self._handle(PlatformUnreachable())

    def _return(self) -> None:
        if self._down:
            self._down, self._back_at = False, self._now
            self._handle(PlatformReachable())

    def _doubt(self, drawn: Step) -> None:
        self._doubted_at[drawn.name] = self._now
        self._handle(UpstreamSuspected(drawn.name))

    def _pass_time(self, drawn: Step) -> None:
        self._now += drawn.seconds
        self._handle(Period())

    # What must hold.

    def _check(self) -> None:
        """Check each upstream."""
        for name in NAMES:
            if self.fleet.accepts_requests(name):
                self._check_may_take(name)
            else:
                self._check_need_not_take(name)

    @property
    def _in_grace(self) -> bool:
        """Tell whether what is gone may only have lapsed."""
        return self._down or self._now - self._back_at < LAPSE_GRACE_S

    def _check_may_take(self, name: str) -> None:
        """Nothing takes requests of which anyone has told that it left, unless newer word is there.

        A word of its end that names the entry as it was holds for that entry.
        """
        ready, left = self._told_ready[name], self._told_left[name]
        assert ready > left, f"{name} takes requests at {ready}, and has left by {left}"
        if not self._in_grace:
            held = self._held(name, self._told_to)
            is_known = held is StoredState.READY or ready > self._told_to
            assert is_known, f"{name} takes requests, but the platform has told that it is {held}"

    def _check_need_not_take(self, name: str) -> None:
        """Whatever is ready and was told to be so takes requests."""
        last = self._last(name, self._newest)
        is_doubted = self._now - self._doubted_at.get(name, float("-inf")) <= SUSPICION_S
        was_told = last.held is StoredState.READY and last.revision <= self._told_to
        assert not was_told or is_doubted, f"{name} is ready, was told to be so, and is left out"


def _entry(one: _Write) -> Upstream:
    """Return an entry as the platform tells of it."""
    state = UpstreamState.READY if one.held is StoredState.READY else UpstreamState.LEAVING
    return upstream_of(one.name, one.revision, state)
