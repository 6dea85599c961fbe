"""Write log lines: a short sentence with the part's prefix, and typed fields.

The volume is bounded and a write never blocks: lines beyond the cap, or that standard
output does not take at once, are dropped and counted; the next line tells how many.
"""

from __future__ import annotations

import os
import select
import sys
from collections.abc import Callable
from typing import Any, Final

import orjson
from eliot import add_destinations, log_message

from driftstall.decisions.store_versions import StoreVersion
from driftstall.util import clock

MAX_LINES_PER_S: Final = 300
"""Far above a quiet day's lines; a flood of refusals stays readable."""
MAX_LINE_BYTES: Final = 4_096
"""What a pipe takes in one piece (PIPE_BUF): a longer line could block or be torn."""
PLAIN_FIELDS: Final = frozenset({"message", "message_type", "timestamp"})


class BoundedWriter:
    """Write lines to a file descriptor, never more than its reader takes."""

    def __init__(
        self,
        descriptor: int,
        clock: Callable[[], float] = clock.now,
        cap: int = MAX_LINES_PER_S,
    ) -> None:
        """Take the descriptor, a clock in seconds and the most lines in a second."""
        self._descriptor = descriptor
        self._clock = clock
        self._cap = cap
        self._second = 0
        self._lines = 0
        self.dropped = 0
        """Lines dropped since the last one that was written."""
        self.dropped_in_all = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one message, or drop it."""
        if not self._allowed():
            self._drop()
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
            self._drop()

    def _allowed(self) -> bool:
        """Count one line against the cap of this second."""
        second = int(self._clock())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        return self._lines <= self._cap

    def _write(self, line: bytes) -> bool:
        """Write a line if it is taken at once; return whether it was."""
        try:
            if not select.select([], [self._descriptor], [], 0)[1]:
                return False
            return os.write(self._descriptor, line) == len(line)
        except OSError:
            # There is nobody left to tell: the reader of the log is gone.
            return False

    def _drop(self) -> None:
        """Count a dropped line."""
        self.dropped += 1
        self.dropped_in_all += 1


def start_log() -> BoundedWriter:
    """Send all log lines to standard output, one JSON object a line."""
    writer = BoundedWriter(sys.stdout.fileno())
    add_destinations(writer)
    return writer


def log_event(prefix: str, sentence: str, **fields: Any) -> None:
    """Log a sentence; nothing secret goes into it."""
    for name, value in fields.items():
        if isinstance(value, StoreVersion):
            fields[name] = str(value)
    log_message(
        message_type=f"driftstall:{prefix.rstrip(':')}", message=f"{prefix} {sentence}", **fields
    )
