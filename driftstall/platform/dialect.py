"""Implementation of the gateway's dialect interface for the platform."""

from __future__ import annotations

from urllib.parse import parse_qs

import gevent
import orjson

from driftstall.decisions.response_ends import ProcessState
from driftstall.decisions.upstream_probes import ReportedState
from driftstall.gateway.dialect import (
    ConnectUpstream,
    MoveResult,
    SignalObserver,
    connect_directly,
    ignore_signals,
)
from driftstall.gateway.model import (
    CallerMetadata,
    Headers,
    ResponseMetadata,
    RoutingDocument,
    SendMetadata,
    Upstream,
)
from driftstall.platform import documents, engine_calls, headers, names, process_probe


class PlatformDialect:
    """Translate between the platform's formats and the gateway's types."""

    def __init__(self) -> None:
        """Initialize without an observer: signals are ignored until one is set."""
        self.on_signals: SignalObserver = ignore_signals
        self.connect: ConnectUpstream = connect_directly
        self.connect_to_probe: ConnectUpstream = connect_directly

    def read_request(self, raw_headers: Headers) -> CallerMetadata:
        """Decode a caller's headers; raise BadHeaders if they are contradictory."""
        return headers.read_request(raw_headers)

    def write_request(self, forwarded: Headers, send: SendMetadata) -> Headers:
        """Return the headers of a request to an upstream."""
        return headers.write_request(forwarded, send)

    def read_response(self, status: int, raw_headers: Headers) -> ResponseMetadata:
        """Decode the status and headers of an upstream's response."""
        return headers.read_response(status, raw_headers)

    def read_routing(self, text: str) -> RoutingDocument:
        """Decode a routing document in the form in which instances send it to each other."""
        return documents.read_routing(orjson.loads(text), lambda: gevent.sleep(0))

    def backup_replica_name(self, backup: Upstream, request_id: str) -> str:
        """Return the name of the replica that a backup engine keeps of a run."""
        return engine_calls.backup_replica_name(backup, request_id)

    def move(
        self, source: Upstream, request_id: str, target: Upstream, *, last: bool
    ) -> MoveResult:
        """Copy a run's KV cache to another engine; with `last`, the run stops first."""
        return engine_calls.move(
            source, request_id, target, self.on_signals, self.connect, last=last
        )

    def probe_state(self, engine: Upstream) -> ReportedState:
        """Ask an engine for its state."""
        return engine_calls.probe_state(engine, self.on_signals, self.connect_to_probe)

    def probe_process(
        self, upstream: Upstream, health_path: str, *, is_engine: bool
    ) -> ProcessState:
        """Return the state of the process that a health check, or an engine's report, shows.

        A health check names its process; a report does so only by a start that is known.
        """
        asks_report = is_engine and (upstream.born or not health_path)
        path = names.PATH_REPORT if asks_report else health_path
        return process_probe.probe_process(upstream, path, self.on_signals, self.connect)

    def drop_replica(self, holder: Upstream, copy_of: str) -> None:
        """Free a replica's memory; if the holder is its source, at both engines."""
        engine_calls.drop_replica(holder, copy_of, self.on_signals, self.connect)

    def is_readiness_check(self, target: str) -> bool:
        """Return True if a request target is the instance's readiness check."""
        return target.partition("?")[0] == names.PATH_READY

    def requested_zone(self, target: str) -> str | None:
        """Return the zone in a request to locate instances; None for other requests."""
        path, _, query = target.partition("?")
        if path != names.PATH_LOCATE:
            return None
        return parse_qs(query).get("zone", [""])[0]

    def encode_locations(self, addresses: tuple[str, ...], keep_s: float) -> bytes:
        """Return the response body with the instances' addresses and their time to live."""
        return orjson.dumps({"addresses": addresses, "ttlS": keep_s})
