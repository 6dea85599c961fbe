"""Submit configurations from racing operators, with instances that come and go."""

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
    """Hold the stored configuration, instances and one operator after another."""

    def __init__(self, script: Script) -> None:
        """Take the faults that strike."""
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
        """Submit a few changes one after another, then let all settle."""
        for number in range(SUBMISSIONS):
            self._submit(f"s{number}", f"policy {number}")
        self._script.strikes = ()
        self._down, self._next_write = 0, ""
        self._submit("last", "policy last")
        self._spread()

    def check(self) -> None:
        """Check the promises."""
        accepted = self._stored[1].submissions
        for name, state in self.states.items():
            if state is SubmitState.ACCEPTED:
                assert name in accepted, f"{name} was accepted and is gone"
            if state in (SubmitState.CONFLICT, SubmitState.UNREACHABLE):
                assert name not in accepted, f"{name} was told as not taken and is in force"
        assert self.states["last"] is SubmitState.ACCEPTED, "nothing is accepted after all faults"
        newest = self._stored[1]
        for one in self._instances:
            assert one.document == newest, "an instance does not have the newest"

    def _submit(self, name: str, text: str) -> None:
        """Carry one submission to its end."""
        submission = Submission(ConfigChange(name, None, policy=text), self._instances[0].document)
        actions = submission.start()
        for _ in range(30):
            if not actions:
                break
            event = self._carry_out(actions[0])
            actions = submission.handle(event)
            self._strike(type(event).__name__)
        else:
            raise AssertionError("the submission does not come to an end")
        self.states[name] = submission.state
        if submission.accepted is not None:
            self._offer(0, submission.accepted)
            self._offer(1, submission.accepted)

    def _strike(self, step: str) -> None:
        """Let the faults of a step take effect."""
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
        """Let another operator's change be accepted in between."""
        self._rival += 1
        version, stored = self._stored
        name = f"rival{self._rival}"
        document = ConfigDocument(stored.generation + 1, name, (), (), (*stored.submissions, name))
        self._apply(WriteConfig(version, document))
        self.states[name] = SubmitState.ACCEPTED

    def _restart(self, index: int) -> None:
        """Replace an instance; it takes the newest it is shown before it is ready."""
        self._instances[index] = ConfigurationController()
        self._seen[index] = 0
        self._offer(index, self._stored[1])

    def _offer(self, index: int, document: ConfigDocument) -> None:
        """Show an instance a configuration; it must never go back."""
        self._instances[index].apply_if_newer(document)
        generation = self._instances[index].document.generation
        assert generation >= self._seen[index], "an instance went back"
        self._seen[index] = generation
        text = self._instances[index].document.policy
        assert self.texts.setdefault(generation, text) == text, "one generation, two texts"

    def _spread(self) -> None:
        """Let every instance see what is stored, and what an old watch shows."""
        for index in range(INSTANCES):
            self._offer(index, self._stored[1])
            for _, document in self._history:
                self._offer(index, document)

    def _carry_out(self, action: SubmitAction) -> SubmitEvent:
        """Read or write as the platform's faults allow."""
        self._strike(type(action).__name__)
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
            # A client that sends a lost write again meets its own first one.
            return ConfigConflicted()
        if fault:
            return ConfigWriteUnknown()
        return ConfigWritten() if done else ConfigConflicted()

    def _read(self) -> ConfigRead:
        """Read what is stored, and show it to an instance that watches."""
        if self._show_old:
            self._show_old = False
            for _, document in self._history[-2:]:
                self._offer(2, document)
        self._offer(2, self._stored[1])
        return ConfigRead(*self._stored)

    def _apply(self, action: WriteConfig) -> bool:
        """Apply a conditional update."""
        if action.expected != self._stored[0]:
            return False
        self._stored = (action.expected + 1, action.document)
        self._history.append(self._stored)
        return True


def run_config(script: Script) -> None:
    """Run submissions under a script and check the promises."""
    world = ConfigWorld(script)
    world.run()
    world.check()
