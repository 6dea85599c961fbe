"""Split a byte stream into whole events, and check that they are relayed in order and once."""

from __future__ import annotations

import zlib
from array import array
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from driftstall.util.event_ends import CR, LF, find_event_end

ID_FIELD: Final = b"id:"
DATA_FIELD: Final = b"data:"
MAX_EVENT_BYTES: Final = 4_000_000
"""A stream with a larger event is broken off: its upstream sends something else than events."""
MAX_ID_DIGITS: Final = 18
"""Longer ids are not taken as numbers."""
STATUS_LINE: Final = b"HTTP/1."
"""Start of a response, which is no field of an event."""
CONTENT_FIELDS: Final = (b"data", b"event")
"""Fields that are the same when a run sends an event again; an engine's metadata may differ."""
MAX_CHECKSUMS: Final = 8_192
"""Events whose checksums are kept; a run that repeats older ones can't be verified."""


class EventContinuity(StrEnum):
    """How an event follows the previous one."""

    NEXT = "next"
    REPEATED = "repeated"
    GAP = "gap"
    CONFLICT = "conflict"
    """Its id was relayed with other content, so that it belongs to another run."""
    FOREIGN = "foreign"
    """It begins with the head of another response, in the body of an unframed one."""


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
        self._has_ended_with_cr = False
        """Whether the event before the buffer ended with CR, which an LF may still complete."""

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
        """Return True if part of an event is buffered, more than the last line end's LF."""
        if self._has_ended_with_cr and self._buffer == LF:
            return False
        return bool(self._buffer)

    def discard(self) -> None:
        """Drop the buffered part of an event: its stream is ended."""
        self._buffer = bytearray()
        self._searched_bytes = 0

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes, and return the events that are now whole."""
        self._buffer += data
        events: list[Event] = []
        start, searched_to = 0, self._searched_bytes
        while (end := find_event_end(self._buffer, start, searched_to)) is not None:
            part = bytes(self._buffer[start:end])
            events.append(Event(part, _event_id(part)))
            self._has_ended_with_cr = part.endswith(CR)
            start = searched_to = end
        del self._buffer[:start]
        self._searched_bytes = len(self._buffer)
        return events


class EventSequence:
    """Check that the event ids of a stream are consecutive, also across upstreams."""

    def __init__(self, last_event_id: str = "") -> None:
        """Start before the first event; a caller that resumes a stream has received last_event_id.

        Its upstream may begin anew all the same, but may not skip events.
        """
        self._caller_last = _number(last_event_id)
        self._last: int | None = None
        self._run_last: int | None = None
        """Largest id of the current run; None before its first numbered event."""
        self._has_run_begun = False
        self._has_position = True
        """Whether no event without an id was relayed after the last one with an id."""
        self._data_events = 0
        self._checksums = array("I")
        """Checksums of the latest relayed events, up to the last one."""

    @property
    def data_events(self) -> int:
        """Return how many events with a number and data were new.

        Others may hold no token, or be repeated by a resumed run.
        """
        return self._data_events

    @property
    def is_run_behind(self) -> bool:
        """Return True if the current run has not reached the last relayed event."""
        if self._run_last is None or self._last is None:
            return False
        return self._run_last < self._last

    @property
    def has_run_begun(self) -> bool:
        """Return True if the current run has sent an event."""
        return self._has_run_begun

    @property
    def can_resume(self) -> bool:
        """Return True if the last id names the place where another run would have to continue."""
        return self._has_position

    def begin_run(self) -> None:
        """Start before the first event of a run, which may repeat events of the previous one."""
        self._run_last = None
        self._has_run_begun = False

    def check(self, event: Event) -> EventContinuity:
        """Return how an event follows the last relayed one; NEXT if its id is not a number."""
        if event.data.startswith(STATUS_LINE):
            return EventContinuity.FOREIGN
        self._has_run_begun = True
        event_id = event.event_id
        if not event_id:
            return self._check_without_id(event)
        number = _number(event_id)
        if number is None:
            self._has_position = True
            return EventContinuity.NEXT
        self._run_last = max(number, self._run_last or 0)
        checksum = zlib.crc32(_content(event.data))
        if self._last is not None and number <= self._last:
            is_same = self._relayed_checksum(self._last - number) == checksum
            return EventContinuity.REPEATED if is_same else EventContinuity.CONFLICT
        previous = self._caller_last if self._last is None else self._last
        if previous is not None and number > previous + 1:
            return EventContinuity.GAP
        self._last = number
        self._has_position = True
        self._data_events += _has_data(event.data)
        self._checksums.append(checksum)
        if len(self._checksums) >= 2 * MAX_CHECKSUMS:
            del self._checksums[:MAX_CHECKSUMS]
        return EventContinuity.NEXT

    def _check_without_id(self, event: Event) -> EventContinuity:
        """Return how an event without an id follows; a run that is behind repeats it."""
        if self.is_run_behind:
            return EventContinuity.REPEATED
        if _content(event.data):
            self._has_position = False
        return EventContinuity.NEXT

    def _relayed_checksum(self, offset: int) -> int | None:
        """Return the checksum of the event at an offset before the last one, if it is kept."""
        return self._checksums[-1 - offset] if offset < len(self._checksums) else None


def _number(event_id: str) -> int | None:
    """Return an id as a number; None if it is none."""
    if not event_id.isdecimal() or len(event_id) > MAX_ID_DIGITS:
        return None
    return int(event_id)


def _content(data: bytes) -> bytes:
    """Return the fields that identify an event's content; empty for a comment."""
    return LF.join(line for line in data.splitlines() if line.startswith(CONTENT_FIELDS))


def _has_data(data: bytes) -> bool:
    """Return True if an event has a line of data that is not empty."""
    lines = (line for line in data.splitlines() if line.startswith(DATA_FIELD))
    return any(line[len(DATA_FIELD) :].strip() for line in lines)


def _event_id(part: bytes) -> str:
    """Return the id of an event, or an empty string."""
    for line in part.splitlines():
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""
