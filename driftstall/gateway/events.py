"""Split a byte stream into whole events, and check that they are relayed in order and once."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

EVENT_END: Final = b"\n\n"
ID_FIELD: Final = b"id:"
MAX_EVENT_BYTES: Final = 4_000_000
"""A stream with a larger event is broken off: its upstream sends something else than events."""
MAX_ID_DIGITS: Final = 18
"""Longer ids are not taken as numbers."""


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
        self._buffer = bytearray()
        self._searched_bytes = 0
        """Bytes at the start of the buffer that hold no end of an event."""

    @property
    def buffered_bytes(self) -> int:
        """Return the bytes of the buffered part of an event."""
        return len(self._buffer)

    @property
    def is_event_too_large(self) -> bool:
        """Return True if the buffered part of an event exceeds MAX_EVENT_BYTES."""
        return len(self._buffer) > MAX_EVENT_BYTES

    @property
    def is_inside_event(self) -> bool:
        """Return True if part of an event is buffered."""
        return bool(self._buffer)

    def discard(self) -> None:
        """Drop the buffered part of an event: its stream is ended."""
        self._buffer = bytearray()
        self._searched_bytes = 0

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes, and return the events that are now whole."""
        self._buffer += data
        events: list[Event] = []
        # The first byte of an end may have been the last one of the earlier data.
        start, search_from = 0, max(0, self._searched_bytes - len(EVENT_END) + 1)
        while (end := self._buffer.find(EVENT_END, search_from)) >= 0:
            part = bytes(self._buffer[start:end])
            events.append(Event(part + EVENT_END, _event_id(part)))
            start = search_from = end + len(EVENT_END)
        del self._buffer[:start]
        self._searched_bytes = len(self._buffer)
        return events


class EventSequence:
    """Check that the event ids of a stream are consecutive, also across upstreams."""

    def __init__(self) -> None:
        """Start before the first event."""
        self._last: int | None = None

    def check(self, event: Event) -> EventContinuity:
        """Return how an event follows the last relayed one; NEXT if its id is not a number."""
        event_id = event.event_id
        if not event_id.isdecimal() or len(event_id) > MAX_ID_DIGITS:
            return EventContinuity.NEXT
        number = int(event_id)
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
