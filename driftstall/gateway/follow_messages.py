"""Messages by which an instance asks another one to follow the store in its place."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FollowRequested:
    """Ask an instance to follow the store; repeated while the sender's calls fail."""

    sender: str
    number: int
    """Identifies the request among those of the sender."""
    failed: tuple[str, ...]
    """Instances whose calls the store has just rejected, as known to the sender."""


@dataclass(frozen=True, slots=True)
class FollowAnswered:
    """Tell whether the sender follows the store now."""

    sender: str
    number: int
    accepted: bool
    failed: tuple[str, ...]
    """Instances whose calls the store has just rejected, as known to the sender."""


FollowMessage = FollowRequested | FollowAnswered
