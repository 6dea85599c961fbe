"""Define the messages about upstreams that name a limit, which daemons and gateways exchange."""

from __future__ import annotations

from dataclasses import dataclass

from driftstall.decisions.rate_limits import RateLimit


@dataclass(frozen=True, slots=True)
class RateLimitsTold:
    """Tell peers what upstreams have named, as far as the sender knows."""

    sender: str
    rate_limits: tuple[RateLimit, ...]


@dataclass(frozen=True, slots=True)
class PermitAsked:
    """Ask who gives leave for an upstream with a limit to send it one request."""

    sender: str
    number: int
    """Tells the questions of one sender apart."""
    limit: RateLimit
    """What the sender knows of the limit, which may be news."""
    most_wait_ms: int
    """How long the request can wait for its turn."""
    rank: int
    under_way: bool
    """Whether it is a stream that can go on nowhere else."""


@dataclass(frozen=True, slots=True)
class PermitGiven:
    """Answer whether a request may be sent."""

    sender: str
    number: int
    allowed: bool
    wait_ms: int
    """When it may be sent; where it may not, when to ask again."""


@dataclass(frozen=True, slots=True)
class PermitCharged:
    """Tell who gives leave for an upstream of a call to it that was not held back."""

    sender: str
    limit: RateLimit


PermitMessage = PermitAsked | PermitGiven | PermitCharged
