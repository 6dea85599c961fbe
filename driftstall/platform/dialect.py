"""Put the adapter's translations together for the gateway."""

from __future__ import annotations

from urllib.parse import parse_qs, urlsplit

import gevent
import orjson

from driftstall.decisions.upstream_probes import ReportedState
from driftstall.gateway.dialect import MoveResult, SignalObserver, ignore_signals
from driftstall.gateway.model import (
    CallerMetadata,
    Headers,
    ResponseMetadata,
    RoutingDocument,
    SendMetadata,
    Upstream,
)
from driftstall.platform import documents, engine_calls, headers, names


class PlatformDialect:
    """Translate between the platform's formats and the gateway's own types."""

    def __init__(self) -> None:
        """Start with nobody who takes signals."""
        self.on_signals: SignalObserver = ignore_signals

    def read_request(self, found: Headers) -> CallerMetadata:
        """Decode a caller's headers, or raise BadHeaders."""
        return headers.read_request(found)

    def write_request(self, passed: Headers, send: SendMetadata) -> Headers:
        """Return the headers of a request to an upstream."""
        return headers.write_request(passed, send)

    def read_response(self, status: int, found: Headers) -> ResponseMetadata:
        """Decode the status and headers of an upstream's answer."""
        return headers.read_response(status, found)

    def read_routing(self, text: str) -> RoutingDocument:
        """Decode a routing document as it is passed between instances."""
        return documents.read_routing(orjson.loads(text), lambda: gevent.sleep(0))

    def backup_replica_name(self, backup: Upstream, request_id: str) -> str:
        """Name the copy that a backup engine keeps of a run."""
        return engine_calls.backup_replica_name(backup, request_id)

    def move(
        self, source: Upstream, request_id: str, target: Upstream, *, last: bool
    ) -> MoveResult:
        """Copy a run's memory to another engine; with last, the run stops first."""
        return engine_calls.move(source, request_id, target, self.on_signals, last=last)

    def probe_state(self, engine: Upstream) -> ReportedState:
        """Ask an engine whether it stays."""
        return engine_calls.probe_state(engine, self.on_signals)

    def drop_replica(self, holder: Upstream, copy_of: str) -> None:
        """Free a copy's memory; where the holder is its source, at both engines."""
        engine_calls.drop_replica(holder, copy_of, self.on_signals)

    def is_readiness_check(self, target: str) -> bool:
        """Tell whether a request asks whether this instance is ready."""
        return urlsplit(target).path == names.PATH_READY

    def requested_zone(self, target: str) -> str | None:
        """Return the zone of a caller that asks where to go; None for other requests."""
        parts = urlsplit(target)
        if parts.path != names.PATH_LOCATE:
            return None
        return parse_qs(parts.query).get("zone", [""])[0]

    def encode_locations(self, addresses: tuple[str, ...], keep_s: float) -> bytes:
        """Return the body that tells a caller where to go."""
        return orjson.dumps({"addresses": addresses, "ttlS": keep_s})
