"""Write log lines: a short sentence with the part's prefix, and typed fields."""

from __future__ import annotations

import sys
from typing import Any

from eliot import log_message, to_file


def start_log() -> None:
    """Send all log lines to standard output, one JSON object a line."""
    to_file(sys.stdout)


def say(prefix: str, sentence: str, **fields: Any) -> None:
    """Log a sentence; nothing secret goes into it."""
    log_message(
        message_type=f"driftstall:{prefix.rstrip(':')}", message=f"{prefix} {sentence}", **fields
    )
