"""Split a byte stream into whole events, and check that they are relayed in order and once."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

EVENT_END: Final = b"\n\n"
ID_FIELD: Final = b"id:"
MAX_EVENT_BYTES: Final = 4_000_000


class EventContinuity(StrEnum):
    """How an event follows the previous one."""

    NEXT = "next"
    REPEATED = "repeated"
    GAP = "gap"


@dataclass(frozen=True, slots=True)
class Event:
    """Hold the unchanged bytes and the id of one whole event."""

    data: bytes
    event_id: str
    """Empty if the event has no id."""


class EventSplitter:
    """Buffer bytes and return whole events."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = b""

    @property
    def is_inside_event(self) -> bool:
        """Return True if part of an event is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes, and return the events that are now whole."""
        *complete, self._buffer = (self._buffer + data).split(EVENT_END)
        return [Event(part + EVENT_END, _event_id(part)) for part in complete]


class EventSequence:
    """Check that the event ids of a stream are consecutive, also across upstreams."""

    def __init__(self) -> None:
        """Start before the first event."""
        self._last: int | None = None

    def check(self, event: Event) -> EventContinuity:
        """Return how an event follows the last relayed one; NEXT if its id is not a number."""
        if not event.event_id.isdigit():
            return EventContinuity.NEXT
        number = int(event.event_id)
        if self._last is not None and number <= self._last:
            return EventContinuity.REPEATED
        if self._last is not None and number > self._last + 1:
            return EventContinuity.GAP
        self._last = number
        return EventContinuity.NEXT


def _event_id(part: bytes) -> str:
    """Return the id of an event, or an empty string."""
    for line in part.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""
