"""Decide how the end of a stream is passed on to its caller.

A stream ends in order only on evidence that it is whole. A last chunk is evidence; the end of a
connection is none, as servers close their connections in the same way when they break a response
off, stop, or cease work at a deadline. That the upstream's process lives says nothing about the
run. Without evidence the stream resumes, or its caller sees that it broke off.
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
    """It gave no answer in time, but kept the connection open: it may live, or have restarted
    behind a link that has fallen silent."""
    ENDED = "ended"
    """It refuses or resets connections, or another process answers at its address."""
    UNKNOWN = "unknown"
    """It gave no answer that shows its state."""


LIVING_STATES: Final = frozenset({ProcessState.ALIVE, ProcessState.LEAVING, ProcessState.SILENT})
"""States of a process that is not known to have ended."""
ANSWERING_STATES: Final = frozenset({ProcessState.ALIVE, ProcessState.LEAVING})
"""States of a process that is known to live."""


class EndEvidence(StrEnum):
    """What shows that a response which a caller gets as complete is whole."""

    FRAMING = "framing"
    """A length, a last chunk, or a status without a body."""
    TOKEN_LIMIT = "token limit"
    """The stream has as many events as its request allows tokens."""
    PROCESS = "process"
    """Nothing but that the upstream's process lived after an orderly close; never for a stream."""
    NONE = "none"
    """Nothing: the caller sees that the response is truncated."""


class EndAction(StrEnum):
    """How a stream goes on after the end of a run's response."""

    FINISH = "finish"
    """State the end as the framing of the caller's response does."""
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
    has_all_tokens: bool = False
    """Whether the stream has as many events as its request allows tokens."""


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
def decide_stream_end(end: object) -> EndAction:
    """Return how a stream goes on after the end of a run."""
    raise TypeError(f"no end of a run: {end!r}")


@decide_stream_end.register
def _(end: CompleteEnd) -> EndAction:
    """Finish: the upstream has stated that the response is whole."""
    return EndAction.FINISH


@decide_stream_end.register
def _(end: EmptyEnd) -> EndAction:
    """Never finish by a response that may stand for no run."""
    return EndAction.RESUME_OR_BREAK_OFF


@decide_stream_end.register
def _(end: BrokenEnd) -> EndAction:
    """Never finish a truncated response."""
    return EndAction.RESUME_OR_BREAK_OFF


@decide_stream_end.register
def _(end: ClosedEnd) -> EndAction:
    """Finish only if no event can be missing, whatever is known of the process."""
    return EndAction.FINISH if end.has_all_tokens else EndAction.RESUME_OR_BREAK_OFF


@singledispatch
def may_be_whole(end: object) -> bool:
    """Return True if nothing shows that a run is truncated; nor that it is whole."""
    return False


@may_be_whole.register
def _(end: ClosedEnd) -> bool:
    """Return True unless the process is known to have ended, or its state is not known."""
    return end.process in LIVING_STATES
