"""Simulation of claims for one key, while holders, entries and the platform fail."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import Any, Final

from driftstall.controllers.claims import (
    ClaimAction,
    ClaimAnswer,
    ClaimAnswerKind,
    ClaimAsked,
    ClaimEvent,
    ClaimSettled,
    ClaimsHolder,
    FlushDue,
    ReadDone,
    ReadFailed,
    ReadShard,
    ShardObject,
    WriteConflicted,
    WriteDone,
    WriteRefused,
    WriteShard,
    WriteUnknown,
)
from features.worlds.faults import Script

STEPS: Final = (
    "ClaimAsked",
    "ClaimSettled",
    "ReadDone",
    "ReadFailed",
    "WriteDone",
    "WriteConflicted",
    "WriteUnknown",
    "WriteRefused",
    "FlushDue",
    "ReadShard",
    "WriteShard",
    "ClaimAnswer",
)
FAULTS: Final = (
    "platform down",
    "answer lost",
    "write lost",
    "write arrives late",
    "sent twice",
    "holder paused",
    "holder dies",
    "all die",
    "entry dies",
    "ask times out",
    "asked twice",
)
PLATFORM_FAULTS: Final = {
    "platform down",
    "answer lost",
    "write lost",
    "write arrives late",
    "sent twice",
    "asked twice",
}
"""With only these faults, no instance dies and no entry times out, so the call must run."""
TRIES: Final = 4
DOWN_CALLS: Final = 3
PAUSE_TURNS: Final = 12


class ClaimsWorld:
    """Simulate two holders, one entry, the platform and one upstream."""

    def __init__(self, script: Script) -> None:
        """Initialize with the faults to inject."""
        self._script = script
        self._faults = {planned.fault for planned in script.planned_faults}
        self._work: deque[Callable[[], None]] = deque()
        self._holders = [self._new_holder(0), self._new_holder(1)]
        self._starts = 0
        self._paused: list[list[ClaimEvent] | None] = [None, None]
        self._paused_turns_left = 0
        self._store: tuple[int, ShardObject | None] = (0, None)
        self._late: list[Callable[[], Any]] = []
        self._down = 0
        self._next_write = ""
        self._pending: set[str] = set()
        self._tries = 0
        self.runs: Counter[str] = Counter()
        self.ran_nonces: Counter[str] = Counter()
        self.reported_not_run: set[str] = set()
        self.answers: list[str] = []

    def _new_holder(self, index: int) -> ClaimsHolder:
        """Return a holder without state."""
        self._starts = getattr(self, "_starts", 0) + 1
        return ClaimsHolder(0, f"holder-{index}", f"u{index}-{self._starts}")

    def run(self) -> None:
        """Request the same key until all faults have passed."""
        self._ask("key")
        for _ in range(300):
            self._turn()
            if not self._work and self._is_idle():
                if self._tries >= TRIES:
                    break
                self._ask("key")
        self._check_recovery()

    def _is_idle(self) -> bool:
        """Flush the holders, and return True if no work follows."""
        for index, holder in enumerate(self._holders):
            if self._paused[index] is None:
                self._feed(index, FlushDue(), holder)
        return not self._work

    def _check_recovery(self) -> None:
        """End all faults; a new key must then be granted."""
        self._script.planned_faults = ()
        self._down = 0
        self._next_write = ""
        self._paused_turns_left = 0
        self._resume_holders()
        for key in ("key", "fresh", "fresh", "fresh"):
            self._ask(key)
            for _ in range(60):
                self._turn()
                if not self._work and self._is_idle():
                    break
            if self.runs["fresh"]:
                break

    def check(self) -> None:
        """Check the guarantees of claims."""
        assert self.runs["key"] <= 1, f"the call ran {self.runs['key']} times"
        both = self.reported_not_run & set(self.ran_nonces)
        assert not both, f"reported as 'not run', but it was run: {both}"
        if self._faults <= PLATFORM_FAULTS:
            assert self.runs["key"] == 1, "nobody died, yet the key is lost"
        assert self.runs["fresh"] == 1, "a fresh key is not granted after all faults"

    def _turn(self) -> None:
        """Advance by one step."""
        if self._paused_turns_left:
            self._paused_turns_left -= 1
            if not self._paused_turns_left:
                self._resume_holders()
        if self._work:
            self._work.popleft()()

    def _ask(self, key: str) -> None:
        """Request a claim for a key with a new nonce."""
        self._tries += 1
        nonce = f"{key}-{self._tries}"
        self._pending.add(nonce)
        self._to_holder(ClaimAsked("entry", 0, key, "print", nonce))

    def _to_holder(self, event: ClaimAsked | ClaimSettled) -> None:
        """Send an entry's message to the instance that it considers the holder."""
        index = 1 if self._paused[0] is not None else 0
        self._work.append(lambda: self._feed(index, event, None))

    def _feed(self, index: int, event: ClaimEvent, origin: ClaimsHolder | None) -> None:
        """Pass an event to a holder, unless the holder has been replaced since."""
        holder = self._holders[index]
        if origin is not None and origin is not holder:
            return
        paused = self._paused[index]
        if paused is not None:
            paused.append(event)
            return
        self._inject_faults(type(event).__name__, index, event)
        if self._holders[index] is not holder:
            return
        paused = self._paused[index]
        if paused is not None:
            paused.append(event)
            return
        for action in holder.handle(event, 1000.0):
            self._inject_faults(type(action).__name__, index, event)
            self._carry_out(index, holder, action)

    def _inject_faults(self, step: str, index: int, event: ClaimEvent) -> None:
        """Inject the faults planned for a step."""
        for fault in self._script.at(step):
            self._inject_fault(fault, index, event)

    def _inject_fault(self, fault: str, index: int, event: ClaimEvent) -> None:
        """Inject one fault."""
        if fault == "platform down":
            self._down = DOWN_CALLS
        elif fault in ("answer lost", "write lost", "write arrives late", "sent twice"):
            self._next_write = fault
        elif fault == "holder paused":
            self._paused[0] = self._paused[0] or []
            self._paused_turns_left = PAUSE_TURNS
        elif fault == "holder dies":
            self._holders[index] = self._new_holder(index)
        elif fault == "all die":
            self._holders = [self._new_holder(0), self._new_holder(1)]
            self._pending.clear()
        elif fault == "entry dies":
            self._pending.clear()
        elif fault == "ask times out":
            self._time_out()
        elif fault == "asked twice" and isinstance(event, ClaimAsked):
            self._work.append(lambda: self._feed(index, event, None))

    def _time_out(self) -> None:
        """Let the entry time out: it reports 'not run' and releases the key."""
        for nonce in sorted(self._pending):
            self.reported_not_run.add(nonce)
            key = nonce.rpartition("-")[0]
            self._to_holder(ClaimSettled(0, key, nonce, False, 0, "", ""))
        self._pending.clear()

    def _resume_holders(self) -> None:
        """Resume the paused holders with the events queued for them."""
        for index, queued in enumerate(self._paused):
            self._paused[index] = None
            holder = self._holders[index]
            for event in queued or []:
                self._feed(index, event, holder)

    def _carry_out(self, index: int, holder: ClaimsHolder, action: ClaimAction) -> None:
        """Carry out one action."""
        if isinstance(action, ClaimAnswer):
            self._work.append(lambda: self._handle_answer(action))
        elif isinstance(action, ReadShard):
            self._work.append(lambda: self._feed(index, self._read(), holder))
        else:
            self._work.append(lambda: self._feed(index, self._write(action), holder))

    def _read(self) -> ClaimEvent:
        """Read the object; a delayed write may take effect first."""
        self._arrive_late()
        if self._down:
            self._down -= 1
            return ReadFailed()
        return ReadDone(*self._store)

    def _write(self, action: WriteShard) -> ClaimEvent:
        """Write the object, as the platform's faults allow."""
        self._arrive_late()
        write_id = action.value.write_id
        if self._down:
            self._down -= 1
            return WriteRefused(write_id)
        fault, self._next_write = self._next_write, ""
        if fault == "write lost":
            return WriteUnknown(write_id)
        if fault == "write arrives late":
            # It takes effect only after the next call, if its version still matches then.
            self._late.append(lambda: None)
            self._late.append(lambda: self._apply(action))
            return WriteUnknown(write_id)
        if fault == "sent twice":
            # A client that retries a lost write conflicts with its own first one.
            self._apply(action)
            return WriteConflicted(write_id)
        if not self._apply(action):
            return WriteUnknown(write_id) if fault else WriteConflicted(write_id)
        return WriteUnknown(write_id) if fault else WriteDone(write_id, self._store[0])

    def _apply(self, action: WriteShard) -> bool:
        """Apply a conditional write; return False on a version conflict."""
        if self._store[0] != action.expected:
            return False
        self._store = (action.expected + 1, action.value)
        return True

    def _arrive_late(self) -> None:
        """Advance the delayed writes by one step."""
        if self._late:
            self._late.pop(0)()

    def _handle_answer(self, answer: ClaimAnswer) -> None:
        """Handle an answer as the entry: only a granted, pending attempt may run."""
        if answer.nonce not in self._pending:
            return
        self._pending.discard(answer.nonce)
        self.answers.append(answer.kind)
        key = answer.nonce.rpartition("-")[0]
        if answer.kind == ClaimAnswerKind.UNAVAILABLE:
            self.reported_not_run.add(answer.nonce)
        elif answer.kind == ClaimAnswerKind.GRANTED:
            self.runs[key] += 1
            self.ran_nonces[answer.nonce] += 1
            self._to_holder(ClaimSettled(0, key, answer.nonce, True, 200, "text/plain", "done"))


def run_claims(script: Script) -> None:
    """Run claims with the faults of a script, and check the guarantees."""
    world = ClaimsWorld(script)
    world.run()
    world.check()
