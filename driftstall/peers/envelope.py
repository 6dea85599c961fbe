"""Envelope of messages between instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message with its sender, its recipient and its sequence number."""

    sender: str
    recipient: str
    sequence: int
    """Starts at a clock reading, so that it also grows across restarts of the sender."""
    message: Any
    """A message of one of the link's message types (see codec.message_types_of)."""
