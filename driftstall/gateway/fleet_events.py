"""Events that the fleet controller handles, and the actions it returns."""

from __future__ import annotations

from dataclasses import dataclass

from driftstall.decisions.store_versions import NO_VERSION, StoreVersion
from driftstall.gateway.model import Upstream


@dataclass(frozen=True, slots=True)
class UpstreamsListed:
    """The platform's whole list of upstreams was read."""

    upstreams: tuple[Upstream, ...]
    at: StoreVersion = NO_VERSION
    """The store version at which the list was complete."""
    store_silence_s: float = 0.0
    """Seconds for which the platform had not answered before; new entries may be that old."""


@dataclass(frozen=True, slots=True)
class UpstreamsListedByPeer:
    """A peer that follows the platform sent its list of all upstreams that accept requests."""

    upstreams: tuple[Upstream, ...]
    at: StoreVersion
    """The newest store version that the peer has seen; the list says nothing of newer ones."""


@dataclass(frozen=True, slots=True)
class UpstreamChanged:
    """One entry of the platform's list was changed or removed."""

    upstream: Upstream
    removed: bool
    from_peer: bool = False
    """Whether the change was sent by a peer that the platform has answered throughout."""
    store_silence_s: float = 0.0
    """Seconds for which the platform had not answered before; the change may be that old."""


@dataclass(frozen=True, slots=True)
class UpstreamSuspected:
    """An upstream reported in a probe that it is leaving, or refused the connection."""

    upstream_id: str


@dataclass(frozen=True, slots=True)
class SignalledLeaving:
    """An upstream has signalled in a response that it is leaving."""

    upstream_id: str
    ago_s: float = 0.0
    """Age of the signal in seconds, if a peer received it."""


@dataclass(frozen=True, slots=True)
class PlatformUnreachable:
    """The platform does not answer."""


@dataclass(frozen=True, slots=True)
class PlatformReachable:
    """The platform answers again."""


@dataclass(frozen=True, slots=True)
class StoreRestored:
    """The platform's store was restored from an older copy."""


@dataclass(frozen=True, slots=True)
class CordonedZonesChanged:
    """The cordoned availability zones have changed."""

    zones: frozenset[str]
    lifted: frozenset[str] = frozenset()
    """Zones whose cordon has just ended."""


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The periodic timer has fired."""


FleetEvent = (
    UpstreamsListed
    | UpstreamsListedByPeer
    | UpstreamChanged
    | UpstreamSuspected
    | SignalledLeaving
    | CordonedZonesChanged
    | StoreRestored
    | PlatformUnreachable
    | PlatformReachable
    | TimerFired
)


@dataclass(frozen=True, slots=True)
class UpstreamJoined:
    """An upstream accepts requests."""

    upstream: Upstream


@dataclass(frozen=True, slots=True)
class UpstreamLeaving:
    """An upstream will end soon and gets no new requests."""

    upstream: Upstream
    is_suspected: bool = False
    """Whether only a probe reports it, and not the platform."""
    has_signalled: bool = False
    """Whether the upstream has signalled it in a response."""
    missing_s: float = 0.0
    """Seconds for which its entry has been missing after an outage; zero if that is not why."""


@dataclass(frozen=True, slots=True)
class UpstreamMissing:
    """The entry of an upstream is missing after an outage, and may be written again."""

    upstream: Upstream


@dataclass(frozen=True, slots=True)
class UpstreamReplaced:
    """An upstream has restarted: runs of its previous start are lost."""

    upstream: Upstream
    """The upstream as of its previous start."""


@dataclass(frozen=True, slots=True)
class UpstreamCold:
    """An upstream is cold, or may be: its capacity is limited for a while."""

    upstream: Upstream
    for_s: float
    is_assumed: bool = False
    """Whether this is assumed and not reported by the upstream."""


FleetAction = UpstreamJoined | UpstreamLeaving | UpstreamMissing | UpstreamReplaced | UpstreamCold
