"""Simulation of one relayed request, with a scripted owner, engines and a caller."""

from __future__ import annotations

from collections import Counter, deque
from typing import Final

from driftstall.controllers.relay import RelayMachine
from driftstall.controllers.relay_messages import (
    CallerDisconnected,
    CancelStream,
    CloseGrant,
    Complete,
    DeadlinePassed,
    Deliver,
    Fail,
    GrantReceived,
    GrantRefused,
    OpenStream,
    RelayAction,
    RelayEvent,
    RequestGrant,
    ResumeRequested,
    ResumeStream,
    Started,
    StreamEnded,
    StreamFailed,
    TokenArrived,
)
from driftstall.core import Problem, Ran
from driftstall.decisions.retry import RetryBudget
from features.worlds.faults import Script

TOKENS: Final = 4
STEPS: Final = (
    "Started",
    "ResumeRequested",
    "GrantReceived",
    "GrantRefused",
    "TokenArrived",
    "StreamEnded",
    "StreamFailed",
    "DeadlinePassed",
    "CallerDisconnected",
    "RequestGrant",
    "OpenStream",
    "ResumeStream",
    "CancelStream",
    "CloseGrant",
    "Deliver",
    "Complete",
    "Fail",
)
FAULTS: Final = (
    "engine dies",
    "engine forgets",
    "stream hangs",
    "connection refused",
    "runner refuses",
    "token twice",
    "token lost",
    "last token lost",
    "crossed answer",
    "late grant",
    "owner refuses",
    "entry dies",
    "caller gone",
    "deadline passes",
)


class RelayWorld:
    """Simulate one request; every event and every action is a step."""

    def __init__(self, script: Script) -> None:
        """Initialize with the faults to inject."""
        self._script = script
        self._queue: deque[RelayEvent] = deque([Started()])
        self._machine = RelayMachine("r", RetryBudget())
        self._dead: set[str] = set()
        self._known: dict[str, str] = {}
        self._next_fault = ""
        self.runs: Counter[str] = Counter()
        self.cancelled: set[str] = set()
        self.open_grants: set[str] = set()
        self.delivered: list[tuple[str, int]] = []
        self.end: Complete | Fail | None = None
        self.is_caller_gone = False
        self.refused_before_run = False

    def run(self) -> None:
        """Run to the end; the number of steps is bounded, so that an endless loop fails."""
        for _ in range(400):
            if not self._queue:
                return
            event = self._queue.popleft()
            machine = self._machine
            self._inject_faults(type(event).__name__)
            if self._machine is not machine:
                continue
            for action in self._handle(machine, event):
                self._inject_faults(type(action).__name__)
                if self._machine is not machine:
                    break
                self._carry_out(action)
        raise AssertionError("the relay does not come to an end")

    @staticmethod
    def _handle(machine: RelayMachine, event: RelayEvent) -> list[RelayAction]:
        """Pass an event as the service does: the next token takes the fast path."""
        if isinstance(event, TokenArrived) and machine.accept_token(event.generation, event.index):
            return [Deliver(event.generation, event.index, event.data)]
        return machine.handle(event)

    def check(self) -> None:
        """Check the guarantees of the relay."""
        generations = {name for name, _ in self.delivered}
        assert len(generations) <= 1, f"generations are mixed: {generations}"
        indexes = [index for _, index in self.delivered]
        assert indexes == list(range(len(indexes))), f"tokens out of order: {indexes}"
        if isinstance(self.end, Complete):
            assert len(indexes) == TOKENS, f"the answer is not whole: {indexes}"
        if isinstance(self.end, Fail) and self.end.problem.ran is Ran.NOT_RUN:
            assert not self.runs, "reported as 'not run', but it was run"
        assert self.end is not None or self.is_caller_gone, "the caller has no final answer"
        assert not self.open_grants, f"grants are left open: {self.open_grants}"
        finished = next(iter(generations), "") if isinstance(self.end, Complete) else ""
        leaked = set(self.runs) - self.cancelled - {finished} - self._ended_elsewhere()
        assert not leaked, f"generations are left on engines: {leaked}"

    def _ended_elsewhere(self) -> set[str]:
        """Return the generations whose engine died or forgot them."""
        return {name for name in self.runs if self._known.get(name) in (None, *self._dead)}

    def _inject_faults(self, step: str) -> None:
        """Inject the faults planned for a step."""
        for fault in self._script.at(step):
            self._inject_fault(fault)

    def _inject_fault(self, fault: str) -> None:
        """Inject one fault."""
        generation, runner = self._machine.generation, self._machine.runner_id
        if fault == "engine dies" and runner:
            self._dead.add(runner)
            self._break(generation)
        elif fault == "engine forgets":
            self._known.pop(generation, None)
            self._break(generation)
        elif fault == "stream hangs":
            self._break(generation)
        elif fault == "crossed answer":
            self._queue.append(TokenArrived("other-generation", self._machine.produced, b"x"))
            self._queue.append(StreamEnded("other-generation", 1, b"x"))
        elif fault == "late grant":
            self._queue.append(GrantReceived("engine-9", 0))
        elif fault == "entry dies":
            self._move_entry()
        elif fault == "caller gone":
            self.is_caller_gone = True
            self._queue.append(CallerDisconnected())
        elif fault == "deadline passes":
            self._queue.append(DeadlinePassed())
        else:
            self._next_fault = fault

    def _break(self, generation: str) -> None:
        """Break the stream, losing the events in transit."""
        if generation:
            self._drop_stream()
            self._queue.append(StreamFailed(generation, True, False, "broken by script"))

    def _drop_stream(self) -> None:
        """Drop the stream events in transit."""
        dropped = (TokenArrived, StreamEnded)
        self._queue = deque(event for event in self._queue if not isinstance(event, dropped))

    def _move_entry(self) -> None:
        """Let the entry die; the caller resumes at another entry after its last token."""
        if self.end is not None or self.is_caller_gone or self._machine.is_done:
            return
        # The owner closes a dead entry's grants; engines cancel streams without a reader.
        self.open_grants.clear()
        self._queue.clear()
        if not self.delivered:
            for name in self.runs:
                self.cancelled.add(name)
            self.runs.clear()
            self._machine = RelayMachine("again", RetryBudget())
            self._queue.append(Started())
            return
        name, index = self.delivered[-1]
        runner = self._known.get(name, "engine-1")
        self._machine = RelayMachine("taken-up", RetryBudget())
        self._queue.append(ResumeRequested(runner, name, index + 1))

    def _take_fault(self, *names: str) -> str:
        """Return and clear the pending fault if it is one of these."""
        fault = self._next_fault if self._next_fault in names else ""
        if fault:
            self._next_fault = ""
        return fault

    def _carry_out(self, action: RelayAction) -> None:
        """Carry out one action."""
        match action:
            case RequestGrant():
                self._grant(action)
            case OpenStream():
                self._open(action)
            case ResumeStream():
                self._resume(action)
            case CancelStream():
                self.cancelled.add(action.generation)
            case CloseGrant():
                self.open_grants.discard(action.grant_id)
            case Deliver():
                self.delivered.append((action.generation, action.index))
            case Complete() | Fail():
                assert self.end is None, "the caller has two final answers"
                self.end = action

    def _grant(self, action: RequestGrant) -> None:
        """Answer as the owner."""
        if self._take_fault("owner refuses"):
            problem = Problem("refused_by_policy", 429, "full", Ran.NOT_RUN, 1.0)
            self._queue.append(GrantRefused(problem))
            return
        runners = [f"engine-{index}" for index in range(1, 5)]
        free = [runner for runner in runners if runner not in action.avoid]
        self.open_grants.add(action.grant_id)
        self._queue.append(GrantReceived(free[0], 0))

    def _open(self, action: OpenStream) -> None:
        """Answer as the engine that starts a generation."""
        fault = self._take_fault("connection refused", "runner refuses")
        if fault or action.runner_id in self._dead:
            self._queue.append(StreamFailed(action.generation, False, False, "not run"))
            return
        self.runs[action.generation] += 1
        self._known[action.generation] = action.runner_id
        self._send_tokens(action.generation, 0)

    def _resume(self, action: ResumeStream) -> None:
        """Answer as the engine that should resume a generation."""
        self._drop_stream()
        if action.runner_id in self._dead or self._take_fault("connection refused"):
            self._queue.append(StreamFailed(action.generation, False, False, "no connection"))
        elif action.generation not in self._known or action.generation in self.cancelled:
            self._queue.append(StreamFailed(action.generation, False, True, "unknown"))
        else:
            self._send_tokens(action.generation, action.next_index)

    def _send_tokens(self, generation: str, begin: int) -> None:
        """Send the tokens from an index on, and the end."""
        for index in range(begin, TOKENS):
            fault = self._take_fault("token twice", "token lost")
            if fault == "token lost" or (
                index == TOKENS - 1 and self._take_fault("last token lost")
            ):
                continue
            self._queue.append(TokenArrived(generation, index, b"x"))
            if fault == "token twice":
                self._queue.append(TokenArrived(generation, index, b"x"))
        self._queue.append(StreamEnded(generation, TOKENS, b"end"))


def run_relay(script: Script) -> None:
    """Run one request with the faults of a script, and check the guarantees."""
    world = RelayWorld(script)
    world.run()
    world.check()
