"""Messages with which an instance opens a tunnel to an upstream through a peer."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class TunnelOutcome(StrEnum):
    """Outcome of a request to open a tunnel."""

    OPENED = "opened"
    UNREACHABLE = "unreachable"
    """The peer reaches no upstream of the service either."""
    UNAVAILABLE = "unavailable"
    """The peer reaches others of the service, but not this upstream, or would not send to it."""
    REFUSED = "refused"
    """The upstream refuses the peer's connection, while the peer reaches others: it has ended."""
    DECLINED = "declined"
    """The peer is stopping, or has too many tunnels."""


@dataclass(frozen=True, slots=True)
class TunnelRequested:
    """Request a connection to an upstream; the first message on a connection of its own."""

    sender: str
    upstream_id: str
    timeout_ms: int
    """Time within which the connection must be established."""
    request_id: str
    """The caller's request, for the logs; empty for calls of the sender's own."""


@dataclass(frozen=True, slots=True)
class TunnelAnswered:
    """Report the outcome; if the tunnel is open, the upstream's bytes follow in frames."""

    sender: str
    upstream_id: str
    outcome: TunnelOutcome
