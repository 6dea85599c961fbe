"""Serve callers over HTTP: locate, generations and calls to plain services."""

from __future__ import annotations

import uuid
from collections.abc import Iterable, Iterator
from typing import Any, Final
from urllib.parse import parse_qs

import orjson

from driftstall.const import (
    CODE_BAD_REQUEST,
    CODE_INTERNAL,
    CODE_LEAVING,
    HEADER_LAST_EVENT_ID,
    HEADER_TICKET,
    PREFIX_LOCATE,
    PREFIX_RELAY,
)
from driftstall.controllers.relay_messages import ResumeRequested
from driftstall.core import Problem, Ran, Request
from driftstall.daemon.http_responses import (
    EVENT_STREAM,
    StartResponse,
    problem_fields,
    send_body,
    send_json,
    send_problem,
)
from driftstall.daemon.http_server import ENVIRON_SOCKET, is_peer_connected
from driftstall.daemon.node import Node
from driftstall.daemon.poison_service import request_subjects
from driftstall.daemon.relay_requests import resumed_request, with_earlier_asked_at
from driftstall.daemon.relay_service import (
    Completed,
    Failed,
    Relay,
    RelayItem,
    Tokens,
)
from driftstall.daemon.request_body import read_checked_body
from driftstall.decisions.locate import locate
from driftstall.filters.apply_policy import ApplyPolicy
from driftstall.filters.authenticate import Authenticate
from driftstall.filters.chain import Filter, run_chain
from driftstall.filters.classify import PATH_CHAT, Classify
from driftstall.filters.context import RequestContext
from driftstall.helpers.log import log_event
from driftstall.policy.model import DEFAULT_VERDICT
from driftstall.util import clock
from driftstall.util.signing import sign, verify

PATH_LOCATE: Final = "/v1/locate"
PATH_LIVE: Final = "/live"
PATH_READY: Final = "/ready"
STREAM_END: Final = b"data: [DONE]\n\n"
DISCONNECT_CHECK_S: Final = 0.25


class CallersApp:
    """WSGI application of the callers' listener."""

    def __init__(self, node: Node) -> None:
        """Initialize the application of an instance."""
        self._node = node
        self._hub = node.hub
        self._filters: tuple[Filter, ...] = ()
        self._filters_generation: int = -1

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Serve one request, or refuse it if the instance is at its limit of open requests."""
        path = environ["PATH_INFO"]
        if path == PATH_LIVE:
            return send_body(start, 200, b"live\n", "text/plain")
        if path == PATH_READY:
            return self._serve_readiness(start)
        self._hub.stats.requests += 1
        if self._hub.stats.open_requests >= self._hub.settings.max_requests:
            detail = "this instance serves as many requests as it may"
            return send_problem(start, Problem(CODE_LEAVING, 503, detail, Ran.NOT_RUN, 1.0))
        self._hub.stats.open_requests += 1
        return self._serve_counted(environ, start)

    def _serve_counted(self, environ: dict[str, Any], start: StartResponse) -> Iterator[bytes]:
        """Serve one request, counted as open meanwhile; turn an exception into a problem.

        A response that has begun can't become a problem: it ends without its last chunk.
        """
        has_begun = False

        def begin(status: str, headers: list[tuple[str, str]]) -> Any:
            nonlocal has_begun
            has_begun = True
            return start(status, headers)

        try:
            yield from self._serve(environ, begin)
        except (GeneratorExit, OSError):
            raise
        except Exception as fault:
            log_event(PREFIX_RELAY, f"A request failed with {type(fault).__name__}: {fault}")
            self._hub.stats.failed += 1
            if has_begun:
                raise
            detail = "an unforeseen fault; see the instance's log"
            problem = Problem(CODE_INTERNAL, 500, detail, Ran.UNKNOWN)
            yield from send_problem(start, problem)
        finally:
            self._hub.stats.open_requests -= 1

    def _serve_readiness(self, start: StartResponse) -> Iterable[bytes]:
        """Serve the readiness check."""
        if self._node.is_ready:
            return send_body(start, 200, b"ready\n", "text/plain")
        return send_body(start, 503, b"not ready\n", "text/plain")

    def _serve(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Run the filter chain and dispatch the request by its path."""
        if not self._node.is_ready:
            detail = "this instance has no configuration yet"
            return send_problem(start, Problem(CODE_LEAVING, 503, detail, Ran.NOT_RUN, 1.0))
        context = self._read_context(environ)
        if isinstance(context, Problem):
            return self._respond_problem(start, context)
        if context.path == PATH_LOCATE:
            return self._locate(context, environ, start)
        if context.path == PATH_CHAT and HEADER_LAST_EVENT_ID.lower() in context.headers:
            return self._resume_generation(context, environ, start)
        result = run_chain(self._get_filter_chain(), context)
        if isinstance(result, Problem):
            return self._respond_problem(start, result)
        refusal = self._node.poison.build_refusal(request_subjects(result), Ran.NOT_RUN)
        if refusal is not None:
            return self._respond_problem(start, refusal)
        if result.request is not None:
            return self._generate(result, environ, start)
        return self._call_service(result, start)

    def _read_context(self, environ: dict[str, Any]) -> RequestContext | Problem:
        """Read the request; return a problem if its body is malformed or too large."""
        body = read_checked_body(environ, self._hub.settings.max_body)
        if isinstance(body, Problem):
            return body
        return RequestContext(
            uuid.uuid4().hex[:16],
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            _read_headers(environ),
            body,
            self._hub.wall_time(),
        )

    def _get_filter_chain(self) -> tuple[Filter, ...]:
        """Return the filters for the configuration in force, rebuilt when it changes."""
        document, policy = self._node.config.document, self._node.config.policy
        if document.generation != self._filters_generation and policy is not None:
            keys = {workspace.key_sha256: workspace.name for workspace in document.workspaces}
            self._filters = (
                Authenticate(keys),
                Classify(self._hub.settings.default_deadline),
                ApplyPolicy(policy, self._node.grants.load),
            )
            self._filters_generation = document.generation
        return self._filters

    def _respond_problem(self, start: StartResponse, problem: Problem) -> Iterable[bytes]:
        """Send a problem and count it as refused or failed."""
        if problem.status == 429:
            self._hub.stats.refused += 1
        else:
            self._hub.stats.failed += 1
        return send_problem(start, problem)

    def _locate(
        self, context: RequestContext, environ: dict[str, Any], start: StartResponse
    ) -> Iterable[bytes]:
        """Respond with the instances for a caller to connect to, best first."""
        checked = run_chain(self._get_filter_chain()[:1], context)
        if isinstance(checked, Problem):
            return self._respond_problem(start, checked)
        zone = parse_qs(environ.get("QUERY_STRING", "")).get("zone", [""])[0]
        workspace = checked.workspace
        owners = self._node.ownership.owners_for(workspace)
        ranked = locate(workspace, owners, self._node.locatable_instances(), zone)
        chosen = ranked[0].instance_id if ranked else "none"
        message = f"Workspace {workspace} directed to {chosen} of {len(ranked)} instances"
        log_event(PREFIX_LOCATE, message, zone=zone)
        instances = [{"address": instance.address, "zone": instance.zone} for instance in ranked]
        keep_s = self._hub.settings.locate_keep
        return send_json(start, 200, {"instances": instances, "keep_s": keep_s})

    def _resume_generation(
        self, context: RequestContext, environ: dict[str, Any], start: StartResponse
    ) -> Iterable[bytes]:
        """Resume a generation from a resume token."""
        checked = run_chain(self._get_filter_chain()[:1], context)
        if isinstance(checked, Problem):
            return self._respond_problem(start, checked)
        token = checked.headers[HEADER_LAST_EVENT_ID.lower()]
        resume_point = read_resume_token(self._hub.key, token, checked.workspace)
        if resume_point is None:
            detail = f"{HEADER_LAST_EVENT_ID} is not a token given to this workspace"
            return self._respond_problem(start, Problem(CODE_BAD_REQUEST, 400, detail, Ran.NOT_RUN))
        deadline = checked.now + self._hub.settings.default_deadline
        request = resumed_request(checked.workspace, checked.request_id, checked.now, deadline)
        relay = self._node.relay.resume_relay(
            request, DEFAULT_VERDICT, resume_point, _build_disconnect_check(environ[ENVIRON_SOCKET])
        )
        return self._respond_stream(relay, request, start)

    def _generate(
        self, context: RequestContext, environ: dict[str, Any], start: StartResponse
    ) -> Iterable[bytes]:
        """Serve a generation, as a stream or as a whole response."""
        assert context.request is not None and context.verdict is not None
        request = context.request
        ticket, asked_at = read_ticket(
            self._hub.key, context.headers.get(HEADER_TICKET.lower(), ""), request.workspace
        )
        if ticket:
            request = with_earlier_asked_at(request, asked_at)
        payload = dict(context.payload or {})
        relay = self._node.relay.start_relay(
            request,
            context.verdict,
            payload,
            ticket,
            _build_disconnect_check(environ[ENVIRON_SOCKET]),
        )
        relay.subjects = request_subjects(context)
        if payload.get("stream"):
            return self._respond_stream(relay, request, start)
        return self._respond_whole(relay, request, start)

    def _respond_stream(
        self, relay: Relay, request: Request, start: StartResponse
    ) -> Iterator[bytes]:
        """Respond with server-sent events; the headers are sent with the first token."""
        items = iter(relay)
        first = next(items, None)
        self._hub.stats.stall.observe({}, self._hub.wall_time() - request.asked_at)
        if first is None:
            return
        if isinstance(first, Failed):
            yield from self._respond_problem(start, first.problem)
            return
        start("200 OK", [("Content-Type", EVENT_STREAM), ("Cache-Control", "no-store")])
        yield from self._generate_events(first, items, request.workspace)

    def _generate_events(
        self, first: RelayItem, items: Iterator[RelayItem], workspace: str
    ) -> Iterator[bytes]:
        """Yield the events of a stream; each token's event id is its resume token.

        Raises ConnectionAbortedError if the relay stops without an end, as for a caller that has
        disconnected: one that has only ended its output would get the last chunk.
        """
        item: RelayItem | None = first
        has_ended = False
        prefix, prefix_for = b"", ""
        try:
            while item is not None:
                if isinstance(item, Tokens):
                    head = item.tokens[0]
                    if head.generation != prefix_for:
                        prefix_for = head.generation
                        prefix = resume_prefix(self._hub.key, workspace, head.runner_id, prefix_for)
                    yield b"".join(
                        [
                            b"id: %b~%d\ndata: %b\n\n" % (prefix, token.position, token.data)
                            for token in item.tokens
                        ]
                    )
                elif isinstance(item, Completed):
                    self._hub.stats.completed += 1
                    has_ended = True
                    yield b"data: " + item.data + b"\n\n" + STREAM_END
                elif isinstance(item, Failed):
                    self._hub.stats.failed += 1
                    has_ended = True
                    fields = orjson.dumps(problem_fields(item.problem))
                    yield b"event: error\ndata: " + fields + b"\n\n"
                item = next(items, None)
            if not has_ended:
                raise ConnectionAbortedError("the stream has no end")
        finally:
            items.close()  # type: ignore[attr-defined]

    def _respond_whole(
        self, relay: Relay, request: Request, start: StartResponse
    ) -> Iterable[bytes]:
        """Collect all tokens and respond with one JSON body."""
        parts: list[str] = []
        for item in relay:
            if isinstance(item, Tokens):
                if not parts:
                    self._hub.stats.stall.observe({}, self._hub.wall_time() - request.asked_at)
                parts += [_read_content(token.data) for token in item.tokens]
            elif isinstance(item, Failed):
                return self._respond_problem(start, item.problem)
            else:
                self._hub.stats.completed += 1
                return send_json(start, 200, _build_completion(item.data, "".join(parts)))
        return []

    def _call_service(self, context: RequestContext, start: StartResponse) -> Iterable[bytes]:
        """Serve a call to a plain service."""
        result = self._node.services.call(context)
        if isinstance(result, Problem):
            return self._respond_problem(start, result)
        self._hub.stats.completed += 1
        return send_body(start, result.status, result.body, result.content_type)


def resume_prefix(key: bytes, workspace: str, runner_id: str, generation: str) -> bytes:
    """Return the signed prefix of a stream's resume tokens."""
    return sign(key, f"{workspace}|{runner_id}|{generation}").encode()


def read_resume_token(key: bytes, token: str, workspace: str) -> ResumeRequested | None:
    """Return the resume point of a token, or None if it is invalid or of another workspace."""
    signed, _, index = token.rpartition("~")
    text = verify(key, signed)
    parts = text.split("|") if text else []
    if len(parts) != 3 or parts[0] != workspace or not index.isdigit() or len(index) > 9:
        return None
    return ResumeRequested(parts[1], parts[2], int(index) + 1)


def read_ticket(key: bytes, ticket: str, workspace: str) -> tuple[str, float]:
    """Return a ticket's reservation and the time of the first request, or ("", 0.0) if invalid."""
    text = verify(key, ticket) if ticket else None
    parts = text.split("|") if text else []
    if len(parts) != 3 or parts[1] != workspace:
        return "", 0.0
    return parts[0], float(parts[2])


def _read_headers(environ: dict[str, Any]) -> dict[str, str]:
    """Return the request's headers with lowercase names."""
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    return headers


def _build_disconnect_check(connection: Any) -> Any:
    """Return a function that checks, at most every DISCONNECT_CHECK_S, for a connected caller."""
    state = [0.0, True]

    def is_waiting() -> bool:
        now = clock.now()
        if now - state[0] >= DISCONNECT_CHECK_S:
            state[0], state[1] = now, is_peer_connected(connection)
        return bool(state[1])

    return is_waiting


def _read_content(data: bytes) -> str:
    """Return the text of one chunk of a chat completion."""
    choice = orjson.loads(data)["choices"][0]
    return str(choice["delta"].get("content", ""))


def _build_completion(data: bytes, text: str) -> dict[str, Any]:
    """Return a chat-completion response body with the whole text."""
    last = orjson.loads(data)
    return {
        "id": last["id"],
        "object": "chat.completion",
        "model": last["model"],
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": last["choices"][0]["finish_reason"],
            }
        ],
        "usage": last.get("usage", {}),
    }
