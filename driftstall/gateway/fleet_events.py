"""Define what the fleet learns of upstreams, and what follows from it."""

from __future__ import annotations

from dataclasses import dataclass

from driftstall.decisions.store_versions import NO_VERSION, StoreVersion
from driftstall.gateway.model import Upstream


@dataclass(frozen=True, slots=True)
class Listed:
    """Take in the platform's whole list."""

    upstreams: tuple[Upstream, ...]
    at: StoreVersion = NO_VERSION
    """The platform's revision as of which it is the whole list."""
    store_silence_s: float = 0.0
    """For how long the platform had not answered before; what is new may be as old."""


@dataclass(frozen=True, slots=True)
class ListedByPeer:
    """Take in the list of a peer that follows the platform: all that take requests."""

    upstreams: tuple[Upstream, ...]
    at: StoreVersion
    """The newest revision that the peer has seen; it cannot tell of what is newer."""


@dataclass(frozen=True, slots=True)
class Changed:
    """Take in one change of the platform's list."""

    upstream: Upstream
    gone: bool
    from_peer: bool = False
    """Whether a peer tells it, whom the platform has answered all the time."""
    store_silence_s: float = 0.0
    """For how long the platform had not answered before; the change may be as old."""


@dataclass(frozen=True, slots=True)
class UpstreamSuspected:
    """Learn that an upstream says itself that it leaves, or that nobody listens there."""

    upstream_id: str


@dataclass(frozen=True, slots=True)
class SignalledLeaving:
    """Learn that an upstream has signalled in a response that it leaves."""

    upstream_id: str
    ago_s: float = 0.0
    """How long ago, where a peer tells it."""


@dataclass(frozen=True, slots=True)
class PlatformUnreachable:
    """Learn that the platform does not answer."""


@dataclass(frozen=True, slots=True)
class PlatformReachable:
    """Learn that the platform answers again."""


@dataclass(frozen=True, slots=True)
class StoreRestored:
    """Learn that the platform's store has come back from an older copy."""


@dataclass(frozen=True, slots=True)
class Cordoned:
    """Learn which availability zones are cordoned now, and of which that has just ended."""

    zones: frozenset[str]
    lifted: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Period:
    """Let time pass."""


FleetEvent = (
    Listed
    | ListedByPeer
    | Changed
    | UpstreamSuspected
    | SignalledLeaving
    | Cordoned
    | StoreRestored
    | PlatformUnreachable
    | PlatformReachable
    | Period
)


@dataclass(frozen=True, slots=True)
class UpstreamJoined:
    """Tell that an upstream takes requests."""

    upstream: Upstream


@dataclass(frozen=True, slots=True)
class UpstreamLeaving:
    """Tell that an upstream will be gone soon; it gets nothing new."""

    upstream: Upstream
    doubted: bool = False
    """Whether its own word tells so, and not the platform."""
    signalled: bool = False
    """Whether it has signalled so in a response."""


@dataclass(frozen=True, slots=True)
class UpstreamReplaced:
    """Tell that an upstream has started again: what ran there before is gone."""

    upstream: Upstream
    """As it was before."""


@dataclass(frozen=True, slots=True)
class UpstreamCold:
    """Tell that an upstream is cold, or may be: it bears little for a while."""

    upstream: Upstream
    for_s: float
    is_assumed: bool = False
    """Whether it has not said so itself."""


FleetAction = UpstreamJoined | UpstreamLeaving | UpstreamReplaced | UpstreamCold
