"""Interface of the adapter that translates between the platform's formats and the gateway."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from driftstall.decisions.response_ends import ProcessState
from driftstall.decisions.upstream_probes import ReportedState
from driftstall.decisions.upstream_signals import Signal
from driftstall.gateway.exchange import Connection
from driftstall.gateway.model import (
    CallerMetadata,
    Headers,
    ResponseMetadata,
    RoutingDocument,
    SendMetadata,
    Upstream,
)
from driftstall.util.http import CONNECT_TIMEOUT_S, connect


class BadHeaders(ValueError):
    """Raised for headers that cannot be decoded; the request is answered with 400."""


@dataclass(frozen=True, slots=True)
class MoveDone:
    """Result of a migration step that copied a run's memory to another engine."""

    copy_of: str
    """Name of the replica, used when the run resumes there."""


@dataclass(frozen=True, slots=True)
class MoveFailed:
    """Result of a migration step that copied nothing."""

    no_such_run: bool
    may_have_stopped: bool
    """Whether a final copy may have stopped the run despite the failure."""
    copy_of: str
    """Name of the memory that the source kept; empty if the run continues there."""
    detail: str
    target_rejected: bool = False
    """Whether the target rejected the replica: it has no room, or is about to leave."""


MoveResult = MoveDone | MoveFailed

SignalObserver = Callable[[Upstream, tuple[Signal, ...], float], None]
"""Called with an upstream, the signals of a response, and the time its request was sent."""

ConnectUpstream = Callable[[Upstream], Connection]
"""Opens a connection to an upstream; raises UpstreamError if that is not possible."""


def connect_directly(upstream: Upstream) -> Connection:
    """Open a connection without a peer; the default."""
    return connect(upstream.address, CONNECT_TIMEOUT_S)


def ignore_signals(_: Upstream, __: tuple[Signal, ...], ___: float) -> None:
    """Ignore signals; the default observer."""


class Dialect(Protocol):
    """Translator between the platform's formats and the gateway's own types."""

    on_signals: SignalObserver
    """Called with the signals in the engines' responses to the calls below."""
    connect: ConnectUpstream
    """Opens the connections of these calls."""
    connect_to_probe: ConnectUpstream
    """Opens the connection of a probe."""

    def read_request(self, raw_headers: Headers) -> CallerMetadata:
        """Decode a caller's headers, or raise BadHeaders."""

    def write_request(self, forwarded: Headers, send: SendMetadata) -> Headers:
        """Return the headers of a request to an upstream."""

    def read_response(self, status: int, raw_headers: Headers) -> ResponseMetadata:
        """Decode the status and headers of an upstream's response."""

    def read_routing(self, text: str) -> RoutingDocument:
        """Decode a routing document in the form that instances exchange."""

    def backup_replica_name(self, backup: Upstream, request_id: str) -> str:
        """Return the name of the replica that a backup engine keeps of a run."""

    def move(
        self, source: Upstream, request_id: str, target: Upstream, *, last: bool
    ) -> MoveResult:
        """Copy a run's memory to another engine; with last, stop the run first."""

    def probe_state(self, engine: Upstream) -> ReportedState:
        """Probe an engine and return the state that it reports."""

    def probe_process(
        self, upstream: Upstream, health_path: str, *, is_engine: bool
    ) -> ProcessState:
        """Return the state of the upstream's process: of the one with its id, not of a later one.

        The health path is that of the upstream's service; empty if it has none.
        """

    def drop_replica(self, holder: Upstream, copy_of: str) -> None:
        """Free a replica's memory, at both engines if the holder is the source of the copy."""

    def is_readiness_check(self, target: str) -> bool:
        """Return True if a request is a readiness check."""

    def requested_zone(self, target: str) -> str | None:
        """Return the caller's zone in a request to locate instances; None for other requests."""

    def encode_locations(self, addresses: tuple[str, ...], keep_s: float) -> bytes:
        """Return the response body that lists instances; callers may cache it for keep_s."""
