"""Say what the gateway needs from the adapter that knows the platform's formats."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from driftstall.decisions.upstream_probes import ReportedState
from driftstall.decisions.upstream_signals import Signal
from driftstall.gateway.model import (
    CallerMetadata,
    Headers,
    ResponseMetadata,
    RoutingDocument,
    SendMetadata,
    Upstream,
)


class BadHeaders(ValueError):
    """Report headers that cannot be read; the request is answered 400."""


@dataclass(frozen=True, slots=True)
class MoveDone:
    """Tell that a run's memory was copied to another engine."""

    copy_of: str
    """Names the copy when the run goes on."""


@dataclass(frozen=True, slots=True)
class MoveFailed:
    """Tell that a run's memory was not copied."""

    no_such_run: bool
    may_have_stopped: bool
    """Whether a last step may have stopped the run all the same."""
    copy_of: str
    """Names the memory that the source kept; empty if the run goes on there."""
    detail: str
    target_refused: bool = False
    """Whether the target took no copy: it has no room, or is about to leave."""


MoveResult = MoveDone | MoveFailed

SignalObserver = Callable[[Upstream, tuple[Signal, ...], float], None]
"""Takes an upstream, what it has signalled with a response, and when that request was sent."""


def ignore_signals(_: Upstream, __: tuple[Signal, ...], ___: float) -> None:
    """Take signals that nobody observes."""


class Dialect(Protocol):
    """Translate between the platform's formats and the gateway's own types."""

    on_signals: SignalObserver
    """Takes what engines signal with responses to the calls below."""

    def read_request(self, found: Headers) -> CallerMetadata:
        """Decode a caller's headers, or raise BadHeaders."""

    def write_request(self, passed: Headers, send: SendMetadata) -> Headers:
        """Return the headers of a request to an upstream."""

    def read_response(self, status: int, found: Headers) -> ResponseMetadata:
        """Decode the status and headers of an upstream's answer."""

    def read_routing(self, text: str) -> RoutingDocument:
        """Decode a routing document as it is passed between instances."""

    def backup_copy(self, backup: Upstream, request_id: str) -> str:
        """Name the copy that a backup engine keeps of a run."""

    def move(
        self, source: Upstream, request_id: str, target: Upstream, *, last: bool
    ) -> MoveResult:
        """Copy a run's memory to another engine; with last, the run stops first."""

    def probe_state(self, engine: Upstream) -> ReportedState:
        """Ask an engine whether it stays."""

    def drop_replica(self, holder: Upstream, copy_of: str) -> None:
        """Free a copy's memory; where the holder is its source, at both engines."""

    def is_readiness_check(self, target: str) -> bool:
        """Tell whether a request asks whether this instance is ready."""

    def located_zone(self, target: str) -> str | None:
        """Return the zone of a caller that asks where to go; None for other requests."""

    def located_answer(self, addresses: tuple[str, ...], keep_s: float) -> bytes:
        """Return the body that tells a caller where to go."""
