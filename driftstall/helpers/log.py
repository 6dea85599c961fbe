"""Structured logging: a short sentence with the component's prefix, and typed fields.

The volume is bounded, and a write neither blocks nor lets another greenlet run. Lines above the
rate limit, and lines that standard output does not accept at once, are dropped and counted; the
next line written reports their number.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any, Final

import orjson
from eliot import add_destinations, log_message

from driftstall.decisions.store_versions import StoreVersion
from driftstall.util import clock
from driftstall.util.nonblocking import open_nonblocking

MAX_LINES_PER_S: Final = 300
"""Far above the rate of normal operation; a flood of refusals stays readable."""
MAX_LINE_BYTES: Final = 4_096
"""PIPE_BUF, the size up to which a write to a pipe is atomic: a longer line could block or be
split."""
PLAIN_FIELDS: Final = frozenset({"message", "message_type", "timestamp"})


class BoundedWriter:
    """Write lines to a file descriptor without blocking and below a rate limit."""

    def __init__(
        self,
        descriptor: int,
        clock: Callable[[], float] = clock.now,
        max_lines_per_s: int = MAX_LINES_PER_S,
    ) -> None:
        """Initialize with the descriptor, a clock in seconds and the maximum lines a second."""
        self._writer = open_nonblocking(descriptor)
        self._clock = clock
        self._max_lines_per_s = max_lines_per_s
        self._second = 0
        self._lines = 0
        self.dropped = 0
        """Lines dropped since the last written line."""
        self.total_dropped = 0
        self._is_line_cut = False
        """Whether the last bytes written are a part of a line."""

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one message, or drop it."""
        if not self._count_line():
            self._count_dropped()
            return
        fields = {name: value for name, value in message.items() if not name.startswith("task_")}
        if self.dropped:
            fields["dropped_before"] = self.dropped
        line = orjson.dumps(fields, default=str) + b"\n"
        if len(line) > MAX_LINE_BYTES:
            short = {name: fields[name] for name in PLAIN_FIELDS & fields.keys()}
            line = orjson.dumps(short | {"fields_left_out": True}, default=str) + b"\n"
        if self._write(line[:MAX_LINE_BYTES]):
            self.dropped = 0
        else:
            self._count_dropped()

    def _count_line(self) -> bool:
        """Count a line against the rate limit; return False if the limit is exceeded."""
        second = int(self._clock())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        return self._lines <= self._max_lines_per_s

    def _write(self, line: bytes) -> bool:
        """Write a line if that does not block; return False if it was not written in full."""
        try:
            written = self._writer.write(b"\n" + line if self._is_line_cut else line)
        except OSError:
            # There is no room, or the reader of the log has closed the pipe, so the error cannot
            # be reported.
            return False
        is_whole = written == len(line) + self._is_line_cut
        self._is_line_cut = not is_whole
        return is_whole

    def _count_dropped(self) -> None:
        """Count a dropped line."""
        self.dropped += 1
        self.total_dropped += 1


def start_log() -> BoundedWriter:
    """Send all log lines to standard output, as one JSON object per line."""
    writer = BoundedWriter(sys.stdout.fileno())
    add_destinations(writer)
    return writer


def log_event(prefix: str, sentence: str, **fields: Any) -> None:
    """Log a sentence with fields; neither may contain secrets."""
    for name, value in fields.items():
        if isinstance(value, StoreVersion):
            fields[name] = str(value)
    log_message(
        message_type=f"driftstall:{prefix.rstrip(':')}", message=f"{prefix} {sentence}", **fields
    )
