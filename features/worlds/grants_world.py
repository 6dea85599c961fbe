"""Simulation of a grants controller while runners, entries and owners fail."""

from __future__ import annotations

import random
from typing import Final

from driftstall.controllers.grant_messages import (
    Announce,
    Ask,
    CacheEvents,
    Close,
    EntryLost,
    GrantAction,
    Granted,
    GrantEvent,
    Progress,
    Refused,
    ResumeAsked,
    RunnerReport,
    RunnersChanged,
    RunnersLimited,
    Tick,
    YieldAsked,
)
from driftstall.controllers.grants import GrantsController
from driftstall.core import PrefixMark, Request, Verdict
from driftstall.decisions.lengths import LearnedLengths
from features.worlds.faults import Script

STEPS: Final = (
    "Ask",
    "Announce",
    "Progress",
    "Close",
    "RunnerReport",
    "CacheEvents",
    "RunnersChanged",
    "RunnersLimited",
    "EntryLost",
    "Tick",
    "Granted",
    "Refused",
    "YieldAsked",
    "ResumeAsked",
)
FAULTS: Final = (
    "runner leaves",
    "runner back",
    "owner dies",
    "two owners",
    "entry dies",
    "caller gone",
    "answer lost",
    "close lost",
    "asked twice",
    "report stale",
    "clock jumps",
)
MEMORY: Final = 4_000
IN_TIME_S: Final = 0.3
DELAYED_S: Final = 5.5
DELAYING: Final = {"clock jumps", "owner dies", "two owners", "answer lost"}
"""Faults after which a request waits again at another owner, or time is lost."""
LEAVING_S: Final = 1.0
"""A grant may still be in transit for this long after its runner is known to be leaving."""
LENGTH: Final = 120
TURN_S: Final = 0.1
FIRST: Final = Verdict("first", 1, 0, 2.0, False, True, 1.0, 0.0)
LAST: Final = Verdict("last", 2, 3, 5.0, True, True, 1.0, 0.0)


class GrantsWorld:
    """Simulate one group with two runners, its owner and the open requests of an entry."""

    def __init__(self, script: Script) -> None:
        """Initialize with the faults to inject."""
        self._script = script
        self._delaying = bool(DELAYING & {planned.fault for planned in script.planned_faults})
        self._now = 100.0
        self._live = {"engine-1", "engine-2"}
        self._left_at: dict[str, float] = {}
        self._asks: dict[str, Ask] = {}
        self._open: dict[str, tuple[str, int]] = {}
        self._paused: set[str] = set()
        self._done: set[str] = set()
        self._asked_at: dict[str, float] = {}
        self._lose_answer = False
        self._lose_close = False
        self._number = 0
        self._owner = self._new_owner()

    def _new_owner(self) -> GrantsController:
        """Return an owner that knows only the runners."""
        owner = GrantsController("g", LearnedLengths(), random.Random(5), overflow=0.01)
        owner.handle(RunnersChanged("g", self._runners()), self._now)
        return owner

    def _runners(self) -> tuple[tuple[str, int, str], ...]:
        """Return the runners that are not leaving."""
        return tuple((name, MEMORY, "z") for name in sorted(self._live))

    def run(self) -> None:
        """Send requests at a steady rate, then let all of them end."""
        for turn in range(160):
            self._now += TURN_S
            if turn < 40:
                self._ask(FIRST if turn % 2 else LAST)
            if turn % 10 == 5:
                self._feed(RunnerReport("g", "engine-1", 500, MEMORY, 0, self._now))
                self._feed(CacheEvents("g", "engine-1", ((PrefixMark(7, 64),),), (9,)))
            if turn == 20:
                self._feed(RunnersLimited("g", (("engine-1", 5.0),)))
            if turn == 40:
                self._feed(RunnersChanged("g", self._runners()))
                self._feed(RunnersLimited("g", ()))
            if turn == 50:
                self._feed(EntryLost("nobody"))
            self._generate()
            self._feed(Tick())
        self._live = {"engine-1", "engine-2"}
        for _ in range(100):
            self._now += 3 * TURN_S
            self._generate()
            self._feed(RunnersChanged("g", self._runners()))
            self._feed(Tick())

    def check(self) -> None:
        """Check that every request was answered and that nothing is left open."""
        waiting = set(self._asks) - self._done - set(self._open)
        assert not waiting, f"no answer for {sorted(waiting)}"
        assert not self._open, f"never ended: {sorted(self._open)}"
        assert not self._owner.open_grants, "the owner holds grants that have ended"
        assert not self._owner.waiting, "the owner holds requests that have ended"

    def _ask(self, verdict: Verdict) -> None:
        """Request a grant for a new request."""
        self._number += 1
        name = f"r{self._number}"
        marks = (PrefixMark(7, 64), PrefixMark(100 + self._number, 600))
        request = Request(name, "w", "chat", "m", 600, 1_000, marks, self._now)
        self._asks[name] = Ask("g", "entry", request, verdict)
        self._asked_at[name] = self._now
        self._feed(self._asks[name])

    def _generate(self) -> None:
        """Produce tokens for the open generations and end the finished ones."""
        for name, (runner, produced) in list(self._open.items()):
            if name in self._paused:
                self._feed(Progress("g", name, produced))
                continue
            grown = produced + 8
            if grown >= LENGTH:
                self._end(name, grown, finished=True)
                continue
            self._open[name] = (runner, grown)
            self._feed(Progress("g", name, grown))

    def _end(self, name: str, produced: int, *, finished: bool) -> None:
        """End a request and close its grant."""
        self._open.pop(name, None)
        self._paused.discard(name)
        self._done.add(name)
        self._feed(Close("g", name, produced, finished))

    def _feed(self, event: GrantEvent) -> None:
        """Pass an event to the owner, with faults, and handle its actions."""
        self._inject_faults(type(event).__name__, event)
        if isinstance(event, RunnersChanged):
            event = RunnersChanged("g", self._runners())
        if isinstance(event, Ask) and event.request.request_id in self._done:
            return
        if isinstance(event, Close) and self._lose_close:
            self._lose_close = False
            return
        for action in self._owner.handle(event, self._now):
            self._inject_faults(type(action).__name__, event)
            self._handle_action(action)

    def _handle_action(self, action: GrantAction) -> None:
        """Handle one action as the entry."""
        name = action.request_id
        if self._lose_answer:
            self._lose_answer = False
            if name in self._asks and name not in self._done:
                self._feed(self._asks[name])
            return
        if isinstance(action, Granted):
            self._granted(name, action.runner_id)
        elif isinstance(action, Refused):
            assert action.retry_after_s > 0, "a refusal names no time to come back"
            if name not in self._open:
                self._done.add(name)
        elif isinstance(action, YieldAsked) and name in self._open:
            self._paused.add(name)
        elif isinstance(action, ResumeAsked):
            self._paused.discard(name)

    def _granted(self, name: str, runner: str) -> None:
        """Start a generation; a leaving runner must not get it."""
        if name in self._done:
            self._feed(Close("g", name, 0, finished=False))
            return
        if name in self._open:
            return
        leaving_s = self._now - self._left_at.get(runner, self._now)
        assert leaving_s <= LEAVING_S, f"{runner} is leaving and got new work"
        late = self._now - self._asked_at[name] - self._asks[name].verdict.wait_s
        slack_s = DELAYED_S if self._delaying else IN_TIME_S
        assert late <= slack_s, f"{name} waited {late:.1f} s past the bound"
        self._open[name] = (runner, 0)

    def _inject_faults(self, step: str, event: GrantEvent) -> None:
        """Inject the faults planned for a step."""
        for fault in self._script.at(step):
            self._inject_fault(fault, event)

    def _inject_fault(self, fault: str, event: GrantEvent) -> None:
        """Inject one fault."""
        if fault == "runner leaves":
            self._live.discard("engine-2")
            self._left_at["engine-2"] = self._now
            self._feed_without_faults(RunnersChanged("g", self._runners()))
        elif fault == "runner back":
            self._live.add("engine-2")
            self._left_at.clear()
            self._feed_without_faults(RunnersChanged("g", self._runners()))
        elif fault == "owner dies":
            self._owner = self._new_owner()
            self._announce()
        elif fault == "two owners":
            # The old owner still serves other entries; this entry turns to a new one.
            self._owner = self._new_owner()
            self._announce()
        elif fault == "entry dies":
            self._entry_dies()
        elif fault == "caller gone" and self._open:
            name = next(iter(self._open))
            self._end(name, self._open[name][1], finished=False)
        elif fault == "answer lost":
            self._lose_answer = True
        elif fault == "close lost":
            self._lose_close = True
        elif fault == "asked twice" and isinstance(event, Ask):
            self._feed_without_faults(event)
        elif fault == "report stale":
            self._feed_without_faults(RunnerReport("g", "engine-1", MEMORY, MEMORY, 9, self._now))
        elif fault == "clock jumps":
            self._now += 2.0

    def _feed_without_faults(self, event: GrantEvent) -> None:
        """Pass an event to the owner without injecting faults, and handle its actions."""
        for action in self._owner.handle(event, self._now):
            self._handle_action(action)

    def _announce(self) -> None:
        """Announce the open grants and repeat the open requests, as entries do to a new owner."""
        for name, ask in self._asks.items():
            if name in self._open:
                runner, produced = self._open[name]
                event: GrantEvent = Announce(
                    "g", "entry", ask.request, ask.verdict, runner, produced
                )
            elif name not in self._done:
                event = ask
            else:
                continue
            self._feed_without_faults(event)
        self._paused.clear()

    def _entry_dies(self) -> None:
        """Let the entry die with all its requests."""
        for name in list(self._asks):
            self._done.add(name)
        self._open.clear()
        self._paused.clear()
        self._owner.handle(EntryLost("entry"), self._now)


def run_grants(script: Script) -> None:
    """Run one group with the faults of a script, and check the guarantees."""
    world = GrantsWorld(script)
    world.run()
    world.check()
