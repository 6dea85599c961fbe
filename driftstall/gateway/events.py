"""Split a stream into its events, and keep them whole, in order and only once."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

EVENT_END: Final = b"\n\n"
ID_FIELD: Final = b"id:"
MAX_EVENT_BYTES: Final = 4_000_000


class EventContinuity(StrEnum):
    """Tell how an event follows the last one."""

    NEXT = "next"
    REPEATED = "repeated"
    GAP = "gap"


@dataclass(frozen=True, slots=True)
class Event:
    """Hold one whole event as it came."""

    data: bytes
    event_id: str
    """Empty where the event has none."""


class EventSplitter:
    """Collect bytes and give out whole events."""

    def __init__(self) -> None:
        """Start with nothing collected."""
        self._rest = b""

    @property
    def is_inside_event(self) -> bool:
        """Tell whether part of an event was collected."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are whole now."""
        *whole, self._rest = (self._rest + data).split(EVENT_END)
        return [Event(part + EVENT_END, _event_id(part)) for part in whole]


class EventSequence:
    """Check that the ids of a stream rise one by one, across upstreams."""

    def __init__(self) -> None:
        """Start before the first event."""
        self._last: int | None = None

    def check(self, event: Event) -> EventContinuity:
        """Tell how an event follows the last one that was passed on."""
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
    """Return the id that an event carries."""
    for line in part.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""
