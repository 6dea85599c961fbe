"""The configuration in force, and submissions of changes by concurrent operators."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from functools import singledispatchmethod
from typing import Final

MAX_SUBMISSIONS: Final = 64
"""Submission ids kept in the stored object. After a lost response, they show whether a
submission was accepted."""


@dataclass(frozen=True, slots=True)
class WorkspaceConfig:
    """A workspace and the hash of the API key that its callers authenticate with."""

    name: str
    key_sha256: str


@dataclass(frozen=True, slots=True)
class RunnerConfig:
    """One configured upstream."""

    runner_id: str
    address: str
    zone: str
    model: str
    service: str
    memory_tokens: int
    checks_fences: bool


@dataclass(frozen=True, slots=True)
class ConfigDocument:
    """A complete configuration; its generation grows with each accepted change."""

    generation: int
    policy: str
    workspaces: tuple[WorkspaceConfig, ...]
    runners: tuple[RunnerConfig, ...]
    submissions: tuple[str, ...]
    """Ids of the latest accepted submissions, newest last."""


EMPTY: Final = ConfigDocument(0, "", (), (), ())


@dataclass(frozen=True, slots=True)
class ConfigOffer:
    """Forward an accepted configuration to a peer."""

    sender: str
    document: ConfigDocument


class ConfigurationController:
    """Hold the configuration in force, which never returns to an older generation."""

    def __init__(self) -> None:
        """Initialize with the empty configuration."""
        self._document = EMPTY

    @property
    def document(self) -> ConfigDocument:
        """Return the configuration in force."""
        return self._document

    def apply_if_newer(self, document: ConfigDocument) -> bool:
        """Apply a configuration if it is newer; return whether it was."""
        if document.generation <= self._document.generation:
            return False
        self._document = document
        return True


class SubmitState(StrEnum):
    """States of a submission."""

    READING = "reading"
    WRITING = "writing"
    SETTLING = "settling"
    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class ConfigChange:
    """A change submitted by an operator; None leaves a part unchanged."""

    submission: str
    base_generation: int | None
    """The generation that the change is based on; None accepts any."""
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
    """Report that the store did not answer a read."""


@dataclass(frozen=True, slots=True)
class ConfigWritten:
    """Report that the write took effect."""


@dataclass(frozen=True, slots=True)
class ConfigConflicted:
    """Report that the write had no effect, because another one came first."""


@dataclass(frozen=True, slots=True)
class ConfigWriteUnknown:
    """Report that the response to the write was lost."""


SubmitEvent = ConfigRead | ConfigReadFailed | ConfigWritten | ConfigConflicted | ConfigWriteUnknown


@dataclass(frozen=True, slots=True)
class ReadConfig:
    """Read the stored configuration."""


@dataclass(frozen=True, slots=True)
class WriteConfig:
    """Write a configuration if the stored version is still the expected one."""

    expected: int
    document: ConfigDocument


SubmitAction = ReadConfig | WriteConfig


class Submission:
    """Submit one operator's change to the store, exactly once."""

    def __init__(self, change: ConfigChange, known: ConfigDocument) -> None:
        """Initialize with the change and the configuration in force on this instance."""
        self._change = change
        self._known = known
        self._written: ConfigDocument | None = None
        self._expected = 0
        self._current: ConfigDocument = known
        self._state = SubmitState.READING

    @property
    def state(self) -> SubmitState:
        """Return the state of the submission."""
        return self._state

    @property
    def accepted(self) -> ConfigDocument | None:
        """Return the configuration that was accepted, or None."""
        return self._written if self._state is SubmitState.ACCEPTED else None

    @property
    def current(self) -> ConfigDocument:
        """Return the newest configuration read from the store."""
        return self._current

    def start(self) -> list[SubmitAction]:
        """Return the first action."""
        return [ReadConfig()]

    def handle(self, event: SubmitEvent) -> list[SubmitAction]:
        """Apply one event and return the resulting actions."""
        return self._handle_event(event)

    @singledispatchmethod
    def _handle_event(self, event: SubmitEvent) -> list[SubmitAction]:
        """Handle one event."""
        raise TypeError(f"no handler for {type(event).__name__}")

    @_handle_event.register
    def _(self, event: ConfigRead) -> list[SubmitAction]:
        self._current = self._newer_document(event.document)
        if self._change.submission in event.document.submissions:
            self._written = self._written or event.document
            self._state = SubmitState.ACCEPTED
            return []
        if self._state is SubmitState.SETTLING and event.version != self._expected:
            # Another write came first, so this submission's write can no longer take effect.
            self._state = SubmitState.CONFLICT
            return []
        base = self._change.base_generation
        if base is not None and base != self._current.generation:
            self._state = SubmitState.CONFLICT
            return []
        return self._write(event)

    @_handle_event.register
    def _(self, event: ConfigReadFailed) -> list[SubmitAction]:
        is_unwritten = self._state is SubmitState.READING
        self._state = SubmitState.UNREACHABLE if is_unwritten else SubmitState.UNKNOWN
        return []

    @_handle_event.register
    def _(self, event: ConfigWritten) -> list[SubmitAction]:
        self._state = SubmitState.ACCEPTED
        return []

    @_handle_event.register
    def _(self, event: ConfigConflicted) -> list[SubmitAction]:
        # After a lost response, the conflicting write may be this submission's own first one.
        self._state = SubmitState.SETTLING
        return [ReadConfig()]

    @_handle_event.register
    def _(self, event: ConfigWriteUnknown) -> list[SubmitAction]:
        self._state = SubmitState.SETTLING
        return [ReadConfig()]

    def _write(self, read: ConfigRead) -> list[SubmitAction]:
        """Write the next generation, based on the newest configuration."""
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
        """Return the newer of the stored and the known configuration, which the change is based on.

        A store that was restored from a backup holds an older one.
        """
        return stored if stored.generation >= self._known.generation else self._known
