"""Decide how the end of a stream is passed on to its caller.

An end is never stated in stronger terms than it arrived in. A last chunk states that a response is
whole; the end of a connection states nothing, as servers that stop close their connections in the
same way. What is known of the upstream's process only weakens such an end: it is then a truncated
response, and the stream resumes or its caller sees that it broke off.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from functools import singledispatch
from typing import Final


class ProcessState(StrEnum):
    """State of an upstream's process."""

    ALIVE = "alive"
    LEAVING = "leaving"
    """It answers, and states that it is leaving or unwell."""
    SILENT = "silent"
    """It gave no answer in time, but kept the connection open until then, so it lives."""
    ENDED = "ended"
    """It refuses or resets connections, or another process answers at its address."""
    UNKNOWN = "unknown"
    """It gave no answer that shows its state."""


LIVING_STATES: Final = frozenset({ProcessState.ALIVE, ProcessState.LEAVING, ProcessState.SILENT})


class EndEvidence(StrEnum):
    """What shows that a response which a caller gets as complete is whole."""

    FRAMING = "framing"
    """A length, a last chunk, or a status without a body."""
    PROCESS = "process"
    """Nothing but that the upstream's process lived after an orderly close."""
    NONE = "none"
    """Nothing: the caller sees that the response is truncated."""


class EndAction(StrEnum):
    """How a stream goes on after the end of a run's response."""

    FINISH = "finish"
    """State the end as the framing of the caller's response does."""
    RESUME_OR_FINISH = "resume or finish"
    RESUME_OR_BREAK_OFF = "resume or break off"
    """Resume at a replica; without one, let the caller see that the stream is truncated."""


@dataclass(frozen=True, slots=True)
class CompleteEnd:
    """A response whose framing states that it is whole."""


@dataclass(frozen=True, slots=True)
class ClosedEnd:
    """A close-delimited response whose connection was closed in order."""

    process: ProcessState
    """State of the upstream's process after that."""


@dataclass(frozen=True, slots=True)
class EmptyEnd:
    """A close-delimited response without any event, whose connection was closed in order.

    An upstream may also close the connection of a request instead of running it.
    """


@dataclass(frozen=True, slots=True)
class BrokenEnd:
    """A response that is truncated, or not the one that was expected."""

    error: Exception


RunEnd = CompleteEnd | ClosedEnd | EmptyEnd | BrokenEnd


@singledispatch
def decide_stream_end(end: object, *, states_completeness: bool) -> EndAction:
    """Return how a stream goes on after the end of a run.

    With states_completeness, the end of the response to the caller states that it is whole, as a
    last chunk does.
    """
    raise TypeError(f"no end of a run: {end!r}")


@decide_stream_end.register
def _(end: CompleteEnd, *, states_completeness: bool) -> EndAction:
    """Finish: the upstream has stated that the response is whole."""
    return EndAction.FINISH


@decide_stream_end.register
def _(end: EmptyEnd, *, states_completeness: bool) -> EndAction:
    """Never finish by a response that may stand for no run."""
    return EndAction.RESUME_OR_BREAK_OFF


@decide_stream_end.register
def _(end: BrokenEnd, *, states_completeness: bool) -> EndAction:
    """Never finish a truncated response."""
    return EndAction.RESUME_OR_BREAK_OFF


@decide_stream_end.register
def _(end: ClosedEnd, *, states_completeness: bool) -> EndAction:
    """Finish only if the process lives and the caller is told no more than the instance was."""
    if end.process not in LIVING_STATES or states_completeness:
        return EndAction.RESUME_OR_BREAK_OFF
    if end.process is ProcessState.ALIVE:
        return EndAction.FINISH
    return EndAction.RESUME_OR_FINISH
