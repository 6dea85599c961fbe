"""Simulation of configuration submissions by concurrent operators, while instances restart."""

from __future__ import annotations

from typing import Final

from driftstall.controllers.configuration import (
    EMPTY,
    ConfigChange,
    ConfigConflicted,
    ConfigDocument,
    ConfigRead,
    ConfigReadFailed,
    ConfigurationController,
    ConfigWriteUnknown,
    ConfigWritten,
    ReadConfig,
    Submission,
    SubmitAction,
    SubmitEvent,
    SubmitState,
    WriteConfig,
)
from features.worlds.faults import Script

STEPS: Final = (
    "ConfigRead",
    "ConfigReadFailed",
    "ConfigWritten",
    "ConfigConflicted",
    "ConfigWriteUnknown",
    "ReadConfig",
    "WriteConfig",
)
FAULTS: Final = (
    "platform down",
    "answer lost",
    "write lost",
    "write arrives late",
    "sent twice",
    "operators race",
    "instance dies",
    "all restart",
    "platform shows old",
)
SUBMISSIONS: Final = 3
INSTANCES: Final = 3


class ConfigWorld:
    """Simulate the stored configuration, the instances and consecutive submissions."""

    def __init__(self, script: Script) -> None:
        """Initialize with the faults to inject."""
        self._script = script
        self._stored: tuple[int, ConfigDocument] = (0, EMPTY)
        self._history: list[tuple[int, ConfigDocument]] = [self._stored]
        self._late: list[WriteConfig] = []
        self._instances = [ConfigurationController() for _ in range(INSTANCES)]
        self._seen: list[int] = [0] * INSTANCES
        self._down = 0
        self._next_write = ""
        self._show_old = False
        self._rival = 0
        self.states: dict[str, SubmitState] = {}
        self.texts: dict[int, str] = {}

    def run(self) -> None:
        """Submit a few changes with faults, then one without, and update all instances."""
        for number in range(SUBMISSIONS):
            self._submit(f"s{number}", f"policy {number}")
        self._script.planned_faults = ()
        self._down, self._next_write = 0, ""
        self._submit("last", "policy last")
        self._spread()

    def check(self) -> None:
        """Check the guarantees of submissions."""
        accepted = self._stored[1].submissions
        for name, state in self.states.items():
            if state is SubmitState.ACCEPTED:
                assert name in accepted, f"{name} was accepted but is missing"
            if state in (SubmitState.CONFLICT, SubmitState.UNREACHABLE):
                assert name not in accepted, f"{name} was reported as not accepted but is in force"
        assert self.states["last"] is SubmitState.ACCEPTED, "nothing is accepted after all faults"
        newest = self._stored[1]
        for instance in self._instances:
            assert instance.document == newest, "an instance does not have the newest"

    def _submit(self, name: str, text: str) -> None:
        """Run one submission to its end."""
        submission = Submission(ConfigChange(name, None, policy=text), self._instances[0].document)
        actions = submission.start()
        for _ in range(30):
            if not actions:
                break
            event = self._carry_out(actions[0])
            actions = submission.handle(event)
            self._inject_faults(type(event).__name__)
        else:
            raise AssertionError("the submission does not come to an end")
        self.states[name] = submission.state
        if submission.accepted is not None:
            self._offer(0, submission.accepted)
            self._offer(1, submission.accepted)

    def _inject_faults(self, step: str) -> None:
        """Inject the faults planned for a step."""
        for fault in self._script.at(step):
            if fault == "platform down":
                self._down = 2
            elif fault in ("answer lost", "write lost", "write arrives late", "sent twice"):
                self._next_write = fault
            elif fault == "operators race":
                self._race()
            elif fault == "instance dies":
                self._restart(0)
            elif fault == "all restart":
                for index in range(INSTANCES):
                    self._restart(index)
            else:
                self._show_old = True

    def _race(self) -> None:
        """Accept the change of another operator in between."""
        self._rival += 1
        version, stored = self._stored
        name = f"rival{self._rival}"
        document = ConfigDocument(stored.generation + 1, name, (), (), (*stored.submissions, name))
        self._apply(WriteConfig(version, document))
        self.states[name] = SubmitState.ACCEPTED

    def _restart(self, index: int) -> None:
        """Restart an instance; it reads the stored configuration before it is ready."""
        self._instances[index] = ConfigurationController()
        self._seen[index] = 0
        self._offer(index, self._stored[1])

    def _offer(self, index: int, document: ConfigDocument) -> None:
        """Offer a configuration to an instance, which must never return to an older one."""
        self._instances[index].apply_if_newer(document)
        generation = self._instances[index].document.generation
        assert generation >= self._seen[index], "an instance went back"
        self._seen[index] = generation
        text = self._instances[index].document.policy
        assert self.texts.setdefault(generation, text) == text, "one generation, two texts"

    def _spread(self) -> None:
        """Offer every instance the stored configuration, and old ones as from a stale watch."""
        for index in range(INSTANCES):
            self._offer(index, self._stored[1])
            for _, document in self._history:
                self._offer(index, document)

    def _carry_out(self, action: SubmitAction) -> SubmitEvent:
        """Carry out one action, as the platform's faults allow."""
        self._inject_faults(type(action).__name__)
        if self._late:
            self._apply(self._late.pop())
        if self._down:
            self._down -= 1
            return ConfigReadFailed()
        if isinstance(action, ReadConfig):
            return self._read()
        fault, self._next_write = self._next_write, ""
        if fault == "write lost":
            return ConfigWriteUnknown()
        if fault == "write arrives late":
            self._late.append(action)
            return ConfigWriteUnknown()
        done = self._apply(action)
        if fault == "sent twice":
            # A client that retries a lost write conflicts with its own first one.
            return ConfigConflicted()
        if fault:
            return ConfigWriteUnknown()
        return ConfigWritten() if done else ConfigConflicted()

    def _read(self) -> ConfigRead:
        """Read the stored configuration, and offer it to an instance that watches the store."""
        if self._show_old:
            self._show_old = False
            for _, document in self._history[-2:]:
                self._offer(2, document)
        self._offer(2, self._stored[1])
        return ConfigRead(*self._stored)

    def _apply(self, action: WriteConfig) -> bool:
        """Apply a conditional write; return False on a version conflict."""
        if action.expected != self._stored[0]:
            return False
        self._stored = (action.expected + 1, action.document)
        self._history.append(self._stored)
        return True


def run_config(script: Script) -> None:
    """Run submissions with the faults of a script, and check the guarantees."""
    world = ConfigWorld(script)
    world.run()
    world.check()
