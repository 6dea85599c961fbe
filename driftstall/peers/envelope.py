"""Wrap messages between instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Envelope:
    """Wrap a message with its way and its place in the sender's sequence."""

    sender: str
    recipient: str
    sequence: int
    """Senders start at a clock reading, so that it grows across restarts."""
    message: Any
    """One of the messages that the link carries (see codec.kinds_of)."""
