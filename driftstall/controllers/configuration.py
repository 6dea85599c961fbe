"""Move the configuration forward, and submit new ones against racing operators."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from functools import singledispatchmethod
from typing import Final

MAX_SUBMISSIONS: Final = 64
"""Submission ids kept in the object, so that a lost answer can be settled later."""


@dataclass(frozen=True, slots=True)
class WorkspaceConfig:
    """Describe one workspace and who may speak for it."""

    name: str
    key_sha256: str


@dataclass(frozen=True, slots=True)
class RunnerConfig:
    """Describe one upstream as configured."""

    runner_id: str
    address: str
    zone: str
    model: str
    service: str
    memory_tokens: int
    checks_fences: bool


@dataclass(frozen=True, slots=True)
class ConfigDocument:
    """Hold one whole configuration; generations only grow."""

    generation: int
    policy: str
    workspaces: tuple[WorkspaceConfig, ...]
    runners: tuple[RunnerConfig, ...]
    submissions: tuple[str, ...]
    """The ids of the latest accepted submissions, the newest last."""


EMPTY: Final = ConfigDocument(0, "", (), (), ())


@dataclass(frozen=True, slots=True)
class ConfigOffer:
    """Pass an accepted configuration on to a peer."""

    sender: str
    document: ConfigDocument


class ConfigurationController:
    """Hold the configuration in force; it only moves forward."""

    def __init__(self) -> None:
        """Start with none."""
        self._document = EMPTY

    @property
    def document(self) -> ConfigDocument:
        """Return the configuration in force."""
        return self._document

    def apply_if_newer(self, document: ConfigDocument) -> bool:
        """Take over a newer configuration; return whether it was newer."""
        if document.generation <= self._document.generation:
            return False
        self._document = document
        return True


class SubmitState(StrEnum):
    """Name how a submission stands."""

    READING = "reading"
    WRITING = "writing"
    SETTLING = "settling"
    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class ConfigChange:
    """Hold what an operator wants changed; None leaves a part as it is."""

    submission: str
    base_generation: int | None
    """The generation that the operator has seen; None accepts any."""
    policy: str | None = None
    workspaces: tuple[WorkspaceConfig, ...] | None = None
    runners: tuple[RunnerConfig, ...] | None = None


@dataclass(frozen=True, slots=True)
class ConfigRead:
    """Receive the stored configuration and its version."""

    version: int
    document: ConfigDocument


@dataclass(frozen=True, slots=True)
class ConfigReadFailed:
    """Learn that the platform did not answer a read."""


@dataclass(frozen=True, slots=True)
class ConfigWritten:
    """Learn that the write took effect."""


@dataclass(frozen=True, slots=True)
class ConfigConflicted:
    """Learn that another write came first."""


@dataclass(frozen=True, slots=True)
class ConfigWriteUnknown:
    """Learn that the write's answer was lost."""


SubmitEvent = ConfigRead | ConfigReadFailed | ConfigWritten | ConfigConflicted | ConfigWriteUnknown


@dataclass(frozen=True, slots=True)
class ReadConfig:
    """Read the stored configuration."""


@dataclass(frozen=True, slots=True)
class WriteConfig:
    """Write a configuration, if the version is still the expected one."""

    expected: int
    document: ConfigDocument


SubmitAction = ReadConfig | WriteConfig


class Submission:
    """Carry one operator's change to the platform, exactly once."""

    def __init__(self, change: ConfigChange, known: ConfigDocument) -> None:
        """Start with the change and the configuration in force here."""
        self._change = change
        self._known = known
        self._written: ConfigDocument | None = None
        self._expected = 0
        self._current: ConfigDocument = known
        self._state = SubmitState.READING

    @property
    def state(self) -> SubmitState:
        """Return how the submission stands."""
        return self._state

    @property
    def accepted(self) -> ConfigDocument | None:
        """Return the accepted configuration."""
        return self._written if self._state is SubmitState.ACCEPTED else None

    @property
    def current(self) -> ConfigDocument:
        """Return the newest stored configuration that was seen."""
        return self._current

    def start(self) -> list[SubmitAction]:
        """Return the first action."""
        return [ReadConfig()]

    def handle(self, event: SubmitEvent) -> list[SubmitAction]:
        """Take one event and return the actions it leads to."""
        return self._on(event)

    @singledispatchmethod
    def _on(self, event: SubmitEvent) -> list[SubmitAction]:
        """Handle one event."""
        raise TypeError(f"no handler for {type(event).__name__}")

    @_on.register
    def _(self, event: ConfigRead) -> list[SubmitAction]:
        self._current = self._newer_document(event.document)
        if self._change.submission in event.document.submissions:
            self._written = self._written or event.document
            self._state = SubmitState.ACCEPTED
            return []
        if self._state is SubmitState.SETTLING and event.version != self._expected:
            # Another write came first, so ours can never take effect any more.
            self._state = SubmitState.CONFLICT
            return []
        base = self._change.base_generation
        if base is not None and base != self._current.generation:
            self._state = SubmitState.CONFLICT
            return []
        return self._write(event)

    @_on.register
    def _(self, event: ConfigReadFailed) -> list[SubmitAction]:
        settled = self._state is SubmitState.READING
        self._state = SubmitState.UNREACHABLE if settled else SubmitState.UNKNOWN
        return []

    @_on.register
    def _(self, event: ConfigWritten) -> list[SubmitAction]:
        self._state = SubmitState.ACCEPTED
        return []

    @_on.register
    def _(self, event: ConfigConflicted) -> list[SubmitAction]:
        # Our own first write may be what we collide with after a lost answer.
        self._state = SubmitState.SETTLING
        return [ReadConfig()]

    @_on.register
    def _(self, event: ConfigWriteUnknown) -> list[SubmitAction]:
        self._state = SubmitState.SETTLING
        return [ReadConfig()]

    def _write(self, read: ConfigRead) -> list[SubmitAction]:
        """Build the next generation on what is stored, and write it."""
        newest, change = self._current, self._change
        submissions = (*newest.submissions, change.submission)[-MAX_SUBMISSIONS:]
        self._written = ConfigDocument(
            newest.generation + 1,
            newest.policy if change.policy is None else change.policy,
            newest.workspaces if change.workspaces is None else change.workspaces,
            newest.runners if change.runners is None else change.runners,
            submissions,
        )
        self._expected = read.version
        self._state = SubmitState.WRITING
        return [WriteConfig(read.version, self._written)]

    def _newer_document(self, stored: ConfigDocument) -> ConfigDocument:
        """Return what a change rests on: a store that came back from a copy holds an older one."""
        return stored if stored.generation >= self._known.generation else self._known
