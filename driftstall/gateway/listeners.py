"""Listeners for callers' requests, readiness checks, metrics and locate requests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any, Final

import orjson
from gevent import socket

from driftstall.const import (
    CODE_BAD_REQUEST,
    CODE_INTERNAL,
    CODE_LEAVING,
    PREFIX_LOCATE,
    PREFIX_RELAY,
    PREFIX_ROUTING,
)
from driftstall.core import Instance, Problem, Ran
from driftstall.daemon.http_responses import JSON_TYPE
from driftstall.decisions.poison_subjects import PoisonSubjects, is_part
from driftstall.gateway.admission import Admission, AdmittedRequest, RequestProgress
from driftstall.gateway.callers.connections import (
    ConnectionLimits,
    ConnectionTable,
    make_server,
)
from driftstall.gateway.callers.refusals import refuse
from driftstall.gateway.calls import CallRelay
from driftstall.gateway.dialect import BadHeaders
from driftstall.gateway.drain import stop_refusal
from driftstall.gateway.ingress import (
    CallerConnection,
    CallerRequest,
    ConnectionClosed,
    OverloadRefusal,
)
from driftstall.gateway.model import Limits, Repeat
from driftstall.gateway.moves import Mover
from driftstall.gateway.poison.status import describe_quarantine
from driftstall.gateway.response_ends.records import record_relayed_end
from driftstall.gateway.response_ends.results import UpstreamResponse
from driftstall.gateway.response_writer import ResponseWriter
from driftstall.gateway.responses import encode_problem, encode_response
from driftstall.gateway.scheduling.queue_status import QueueStatus
from driftstall.gateway.state import GatewayState
from driftstall.gateway.stats import render
from driftstall.gateway.streams import StreamRelay
from driftstall.helpers.log import log_event
from driftstall.util.fingerprint import fingerprint

LOCATE_KEEP_S: Final = 2.0
"""How long callers keep a located address; some keep it three times as long."""
MIN_ZONE_INSTANCES: Final = 2
"""With this many ready instances in the caller's zone, no other zone is listed."""
MAX_LOCATED_INSTANCES: Final = 64
NOT_READY_RETRY_S: Final = 0.5
START_WAIT_S: Final = 0.3
"""How long a request waits for the first configuration of a new instance; reading it takes
less."""
CRASHES_PATH: Final = "/crashes"
QUEUE_PATH: Final = "/queue"


class CallerListener:
    """Listener that serves callers' requests."""

    def __init__(self, state: GatewayState, mover: Mover, is_current: Callable[[], bool]) -> None:
        """Initialize with the shared state; is_current returns whether the routing is current."""
        self._state = state
        self._mover = mover
        self._is_current = is_current
        settings = state.settings
        limits = ConnectionLimits.from_max_fds(settings.max_fds)
        self._connections = ConnectionTable(limits.callers, self._count_eviction)
        self._server = make_server(settings.caller_listen, self._serve)

    def bind(self) -> None:
        """Bind the address; raises OSError. Connections wait until the start."""
        self._server.init_socket()

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def stop(self) -> None:
        """Stop accepting connections."""
        self._server.close()

    def _serve(self, raw: socket.socket, _: object) -> None:
        """Serve one connection until it ends."""
        connection = CallerConnection(
            raw, self._read_limits, self._state.buffers, self._state.pacer
        )
        try:
            if self._connections.add(connection):
                self._serve_requests(connection)
            else:
                refusal = OverloadRefusal("all connections are in use")
                refuse(connection, refusal, self._state.stats)
                connection.finish_writing()
        finally:
            self._connections.remove(connection)
            connection.close()

    def _read_limits(self) -> Limits:
        """Return the limits of the configuration in force, or the defaults before the first."""
        table = self._state.route_table
        return table.document.limits if table else Limits()

    def _serve_requests(self, connection: CallerConnection) -> None:
        """Serve the requests of one connection."""
        while True:
            call = connection.next()
            if isinstance(call, ConnectionClosed):
                return
            if not isinstance(call, CallerRequest):
                refuse(connection, call, self._state.stats)
                connection.finish_writing()
                return
            if not self._handle_request(connection, call):
                connection.discard_input()
                return

    def _count_eviction(self) -> None:
        """Count a connection that is closed for a new one."""
        self._state.stats.connections_evicted += 1
        log_event(PREFIX_RELAY, "Connection of a caller closed: the limit is reached")

    def _handle_request(self, connection: CallerConnection, call: CallerRequest) -> bool:
        """Answer one request; return whether the connection is kept open."""
        self._state.stats.requests += 1
        self._state.open_requests += 1
        writer = ResponseWriter(connection, is_for_head=call.method == b"HEAD")
        try:
            return self._admit_and_serve(writer, call)
        except Exception as error:
            # A defect closes the connection, which also holds further requests, so it is logged.
            log_event(PREFIX_RELAY, f"Request failed with {type(error).__name__}: {error}")
            self._state.stats.failed += 1
            if not writer.has_begun:
                detail = "an unexpected error; the request may have run"
                problem = Problem(CODE_INTERNAL, 500, detail, Ran.UNKNOWN)
                writer.write(encode_problem(problem, keep_alive=False))
            return False
        finally:
            self._state.open_requests -= 1

    def _admit_and_serve(self, writer: ResponseWriter, call: CallerRequest) -> bool:
        """Admit one request and serve it."""
        keep_alive = call.keep_alive and not self._state.is_stopping
        admitted = self._admit(call)
        if isinstance(admitted, AdmittedRequest):
            refusal = stop_refusal(self._state, admitted)
            if refusal is None:
                return self._serve_admitted(writer, call, admitted, keep_alive=keep_alive)
            admitted = refusal
        # After contradictory headers, the bytes that follow cannot be trusted either.
        keep_alive = keep_alive and admitted.code != CODE_BAD_REQUEST
        return self._answer_problem(writer, admitted, keep_alive=keep_alive)

    def _admit(self, call: CallerRequest) -> AdmittedRequest | Problem:
        """Decode the request's headers and run the admission filters."""
        self._state.configured.wait(START_WAIT_S)
        table = self._state.route_table
        if table is None or not self._state.fleet.is_loaded:
            detail = "this instance has no configuration yet"
            return Problem(CODE_LEAVING, 503, detail, Ran.NOT_RUN, NOT_READY_RETRY_S)
        try:
            metadata = self._state.dialect.read_request(call.headers)
        except BadHeaders as error:
            return Problem(CODE_BAD_REQUEST, 400, str(error), Ran.NOT_RUN)
        admission = Admission(
            table,
            self._state.policy,
            random=self._state.rng.random,
            load=self._state.memory_load,
            is_current=self._is_current,
        )
        progress = RequestProgress(call.host, call.path, metadata, call.read_at)
        admitted = admission.admit(progress, self._state.wall_time_s())
        if isinstance(admitted, Problem):
            return admitted
        subjects = PoisonSubjects.from_prompt(
            request_fingerprint(call, admitted.workspace), [part.digest for part in metadata.prompt]
        )
        return replace(admitted, subjects=subjects)

    def _serve_admitted(
        self,
        writer: ResponseWriter,
        call: CallerRequest,
        admitted: AdmittedRequest,
        *,
        keep_alive: bool,
    ) -> bool:
        """Serve an admitted request, and cancel it if its caller disconnects."""
        if admitted.route.repeat is Repeat.STREAM:
            relay = StreamRelay(
                self._state, self._mover, writer, call, admitted, keep_alive=keep_alive
            )
            return self._serve_watched(writer, relay.handle_disconnect, relay.serve)
        call_relay = CallRelay(self._state, call, admitted)
        return self._serve_watched(
            writer,
            call_relay.handle_disconnect,
            lambda: self._answer_call(writer, call_relay.serve(), admitted, keep_alive=keep_alive),
        )

    def _serve_watched(
        self, writer: ResponseWriter, cancel: Callable[[], None], serve: Callable[[], bool]
    ) -> bool:
        """Serve a request, and call the cancel function if its caller disconnects."""
        watch = writer.watch_disconnect()

        def on_disconnect() -> None:
            self._state.stats.callers_gone += 1
            cancel()

        watch.start(on_disconnect)
        try:
            return serve() and not watch.is_disconnected
        finally:
            watch.stop()

    def _answer_call(
        self,
        writer: ResponseWriter,
        result: UpstreamResponse | Problem,
        admitted: AdmittedRequest,
        *,
        keep_alive: bool,
    ) -> bool:
        """Write the response to a plain call."""
        if isinstance(result, Problem):
            log_event(
                PREFIX_RELAY,
                f"Call answered with {result.status}: {result.detail}",
                request=admitted.metadata.request_id,
                route=admitted.route.name,
                ran=result.ran.value,
            )
            return self._answer_problem(writer, result, keep_alive=keep_alive)
        self._state.stats.completed += 1
        self._state.stats.answer_s.observe({}, self._state.now() - admitted.started_at)
        if result.end is not None:
            record_relayed_end(self._state.stats, result.end)
        framing = result.caller_framing(keep_alive=keep_alive)
        return writer.write_whole(result.status, result.headers, framing, result.body)

    def _answer_problem(
        self, writer: ResponseWriter, problem: Problem, *, keep_alive: bool
    ) -> bool:
        """Write a problem response, and count it."""
        if problem.retry_after_s is not None:
            self._state.stats.refused += 1
        else:
            self._state.stats.failed += 1
        return writer.write(encode_problem(problem, keep_alive=keep_alive)) and keep_alive


def request_fingerprint(call: CallerRequest, workspace: str) -> str:
    """Return the fingerprint of a request's method, host, target, workspace and body."""
    return fingerprint(call.method, call.host.encode(), call.target, workspace.encode(), call.body)


class ReadinessHandler:
    """Handler of the platform's readiness checks."""

    def __init__(self, state: GatewayState) -> None:
        """Initialize with the shared state."""
        self._state = state

    def __call__(self, call: CallerRequest) -> bytes:
        """Return the response to one readiness check."""
        target = call.target.decode("latin-1")
        if not self._state.dialect.is_readiness_check(target):
            return encode_response(404, (), b"", keep_alive=call.keep_alive)
        status = 200 if self._state.is_ready else 503
        return encode_response(status, (), b"", keep_alive=call.keep_alive)


def encode_json(value: Any, call: CallerRequest) -> bytes:
    """Return the response to a request with a value as JSON; data classes become objects."""
    headers = ((b"Content-Type", JSON_TYPE.encode()),)
    return encode_response(200, headers, orjson.dumps(value), keep_alive=call.keep_alive)


class MetricsHandler:
    """Handler of metrics, the queue for engine memory and the quarantined requests.

    An operator clears a quarantined request with a DELETE of CRASHES_PATH/<fingerprint>.
    """

    def __init__(
        self,
        state: GatewayState,
        gauges: Callable[[], dict[str, float]],
        queue_status: Callable[[], QueueStatus],
    ) -> None:
        """Initialize with the shared state and readers of the current gauges and the queues."""
        self._state = state
        self._gauges = gauges
        self._queue_status = queue_status

    def __call__(self, call: CallerRequest) -> bytes:
        """Return the response to one request: metrics, queues, quarantine or clearing one."""
        if call.path == QUEUE_PATH:
            return encode_json(self._queue_status(), call)
        if call.path == CRASHES_PATH:
            return self._list_quarantined(call)
        if call.path.startswith(f"{CRASHES_PATH}/") and call.method == b"DELETE":
            return self._clear_quarantined(call)
        body = render(self._state.stats, self._gauges())
        return encode_response(
            200, ((b"Content-Type", b"text/plain"),), body, keep_alive=call.keep_alive
        )

    def _list_quarantined(self, call: CallerRequest) -> bytes:
        """List the quarantined requests, which are sent to no upstream."""
        poison, now = self._state.poison, self._state.now()
        quarantined = sorted(poison.tracker.quarantined(now).items())
        rows = [
            describe_quarantine(verdict, poison.refusals(subject))
            for subject, verdict in quarantined
        ]
        return encode_json(rows, call)

    def _clear_quarantined(self, call: CallerRequest) -> bytes:
        """Clear a quarantined request, here and at the other instances."""
        subject = call.path.rpartition("/")[2]
        is_known = self._state.poison.clear(subject)
        if is_known:
            kind = "Prompt part" if is_part(subject) else "Request"
            log_event(PREFIX_ROUTING, f"{kind} {subject} cleared by an operator")
        return encode_response(200 if is_known else 404, (), b"", keep_alive=call.keep_alive)


class LocateHandler:
    """Handler of locate requests: lists the instances that callers should use."""

    def __init__(
        self, state: GatewayState, ready_instances: Callable[[], tuple[Instance, ...]]
    ) -> None:
        """Initialize with the shared state and a reader of the instances open to callers."""
        self._state = state
        self._ready_instances = ready_instances

    def __call__(self, call: CallerRequest) -> bytes:
        """Return the response to one locate request; 503 if no instance is ready."""
        zone = self._state.dialect.requested_zone(call.target.decode("latin-1"))
        if zone is None:
            return encode_response(404, (), b"", keep_alive=call.keep_alive)
        chosen = self._choose(zone)
        if not chosen:
            detail = "no instance is ready"
            problem = Problem(CODE_LEAVING, 503, detail, Ran.NOT_RUN, NOT_READY_RETRY_S)
            return encode_problem(problem, keep_alive=call.keep_alive)
        keep_s = min(LOCATE_KEEP_S, self._state.settings.bounds.locate_keep_s)
        body = self._state.dialect.encode_locations(
            tuple(instance.address for instance in chosen), keep_s
        )
        log_event(PREFIX_LOCATE, f"Caller in zone {zone} directed to {len(chosen)} instances")
        headers = ((b"Content-Type", JSON_TYPE.encode()),)
        return encode_response(200, headers, body, keep_alive=call.keep_alive)

    def _choose(self, zone: str) -> tuple[Instance, ...]:
        """Return the ready instances of the caller's zone if there are enough, else all."""
        ready = self._ready_instances()
        local = tuple(instance for instance in ready if instance.zone == zone)
        return (local if len(local) >= MIN_ZONE_INSTANCES else ready)[:MAX_LOCATED_INSTANCES]
