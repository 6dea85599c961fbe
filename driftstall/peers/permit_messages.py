"""Messages of daemons and gateways about rate-limited upstreams."""

from __future__ import annotations

from dataclasses import dataclass

from driftstall.decisions.rate_limits import RateLimit


@dataclass(frozen=True, slots=True)
class RateLimitsTold:
    """Report the rate limits of upstreams that are known to the sender."""

    sender: str
    rate_limits: tuple[RateLimit, ...]


@dataclass(frozen=True, slots=True)
class PermitAsked:
    """Request a permit to send one request, from the instance that owns a rate-limited upstream."""

    sender: str
    number: int
    """Identifies the permit request among those of its sender."""
    limit: RateLimit
    """The limit known to the sender, which may be newer than the recipient's."""
    most_wait_ms: int
    """Maximum time that the request can wait for a permit."""
    rank: int
    under_way: bool
    """True for a stream in progress that cannot be resumed elsewhere."""


@dataclass(frozen=True, slots=True)
class PermitGiven:
    """Grant or deny a permit."""

    sender: str
    number: int
    allowed: bool
    wait_ms: int
    """Delay until the request may be sent, or if it was denied, until a permit may be requested
    again."""


@dataclass(frozen=True, slots=True)
class PermitCharged:
    """Report a call that was sent without a permit to the owner of a rate-limited upstream."""

    sender: str
    limit: RateLimit


PermitMessage = PermitAsked | PermitGiven | PermitCharged
