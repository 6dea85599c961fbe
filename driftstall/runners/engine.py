"""Client of a model engine: streams, control of generations, reports and orders."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Final, NamedTuple

import orjson

from driftstall.core import PrefixMark, Runner
from driftstall.decisions.upstream_signals import Signal
from driftstall.exceptions import UpstreamError
from driftstall.runners.signals import read_signals
from driftstall.util.http import Exchange
from driftstall.util.limited_response import ResponseLimits

STREAM_TIMEOUT_S: Final = 3.0
"""An engine sends at least a comment this often; a longer silence is a broken stream."""
CONTROL_TIMEOUT_S: Final = 1.0
HTTP_GONE: Final = (404, 410)
CLIENT_ERRORS: Final = range(400, 500)
STREAM_LIMITS: Final = ResponseLimits(held_bytes=4_000_000)
"""Limits of a stream: a larger event is none of an engine."""
IDLE_COMMENT: Final = b":"


class EngineToken(NamedTuple):
    """Hold one token as the engine sent it; a tuple, as one is created for each token."""

    generation: str
    position: int
    data: bytes


@dataclass(frozen=True, slots=True)
class EngineEnd:
    """Hold the end of a generation; total counts its tokens."""

    generation: str
    total: int
    data: bytes


@dataclass(frozen=True, slots=True)
class EngineIdle:
    """State that the engine is connected but has nothing to send yet."""


@dataclass(frozen=True, slots=True)
class EngineSignals:
    """Hold the signals of the engine in the head of its response."""

    signals: tuple[Signal, ...]


EngineEvent = EngineSignals | EngineToken | EngineEnd | EngineIdle


@dataclass(frozen=True, slots=True)
class EngineReport:
    """Hold the load report of an engine, which lags behind."""

    used_tokens: int
    memory_tokens: int
    waiting: int
    model: str
    leaving: bool


class RunnerRejected(UpstreamError):
    """Raised when the runner's response is not a stream."""

    def __init__(self, status: int, signals: tuple[Signal, ...] = ()) -> None:
        """Record whether the request may have run, and whether the generation is unknown.

        A rejection (a client error or 503) means that the request did not run. After an error of
        the runner itself it may have run.
        """
        refused = status in CLIENT_ERRORS or status == HTTPStatus.SERVICE_UNAVAILABLE
        super().__init__(f"the runner answered {status}", sent=not refused)
        self.is_generation_unknown = status in HTTP_GONE
        self.signals = signals
        """The signals of the runner about itself."""


def open_stream(
    runner: Runner, generation: str, body: dict[str, Any], priority: int
) -> Iterator[list[EngineEvent]]:
    """Start a generation and yield its events; raise UpstreamError when the stream breaks."""
    payload = body | {"stream": True, "priority": priority}
    headers = {"Content-Type": "application/json", "X-Request-Id": generation}
    exchange = Exchange.open(
        runner.address,
        "POST",
        "/v1/chat/completions",
        headers,
        orjson.dumps(payload),
        STREAM_TIMEOUT_S,
        STREAM_LIMITS,
    )
    return _read_events(exchange)


def resume_stream(runner: Runner, generation: str, next_index: int) -> Iterator[list[EngineEvent]]:
    """Resume the stream of a generation from an index."""
    path = f"/v1/generations/{generation}/stream?from={next_index}"
    exchange = Exchange.open(runner.address, "GET", path, {}, b"", STREAM_TIMEOUT_S, STREAM_LIMITS)
    return _read_events(exchange)


def _read_events(exchange: Exchange) -> Iterator[list[EngineEvent]]:
    """Yield the events of a stream, in lists of those that have arrived together."""
    if exchange.status != 200:
        exchange.close()
        raise RunnerRejected(exchange.status, read_signals(exchange))
    try:
        yield [EngineSignals(read_signals(exchange))]
        while True:
            events = [_read_event(exchange)]
            while exchange.has_event():
                events.append(_read_event(exchange))
            yield events
            if isinstance(events[-1], EngineEnd):
                return
    finally:
        exchange.close()


def _read_event(exchange: Exchange) -> EngineEvent:
    """Parse one event: its id is generation:position, its data is passed on unchanged."""
    event = exchange.read_event()
    if not event:
        raise UpstreamError("the stream ended early", sent=True)
    if event.startswith(IDLE_COMMENT):
        return EngineIdle()
    try:
        if event.startswith(b"id: "):
            line = event.index(b"\n")
            colon = event.rindex(b":", 0, line)
            name = event[4:colon].decode()
            return EngineToken(name, int(event[colon + 1 : line]), event[line + 7 : -2])
        head, _, data = event.partition(b"\ndata: ")
        field, _, event_id = head.rpartition(b"id: ")
        generation, _, total = event_id.decode().rpartition(":")
        if not field.startswith(b"event: end"):
            raise UpstreamError("the stream is malformed", sent=True)
        return EngineEnd(generation, int(total), data[:-2])
    except ValueError as fault:
        raise UpstreamError("the stream is malformed", sent=True) from fault


def control(runner: Runner, generation: str, action: str) -> bool:
    """Pause, resume or cancel a generation; return True if the engine did."""
    path = f"/v1/generations/{generation}/{action}"
    try:
        exchange = Exchange.open(runner.address, "POST", path, {}, b"", CONTROL_TIMEOUT_S)
        status = exchange.status
        exchange.close()
    except UpstreamError:
        return False
    return status == 200


def fetch_report(runner: Runner) -> EngineReport:
    """Return the engine's report; raise UpstreamError without one."""
    raw = _get_json(runner, "/v1/load")
    try:
        return EngineReport(
            int(raw["used_tokens"]),
            int(raw["memory_tokens"]),
            int(raw["waiting"]),
            str(raw.get("model", "")),
            bool(raw.get("leaving", False)),
        )
    except (KeyError, TypeError, ValueError) as fault:
        raise UpstreamError("the report is malformed", sent=True) from fault


def fetch_cache_events(
    runner: Runner, after: int
) -> tuple[int, tuple[tuple[PrefixMark, ...], ...], tuple[int, ...]]:
    """Return the new position, the prefixes stored and those evicted."""
    raw = _get_json(runner, f"/v1/cache-events?after={after}")
    try:
        stored = tuple(
            tuple(PrefixMark(int(digest), int(tokens)) for digest, tokens in prefix)
            for prefix in raw["stored"]
        )
        return int(raw["next"]), stored, tuple(int(digest) for digest in raw["evicted"])
    except (KeyError, TypeError, ValueError) as fault:
        raise UpstreamError("the cache events are malformed", sent=True) from fault


def order_load(runner: Runner, model: str, fence: int) -> bool:
    """Order an engine to serve a model; return True if it accepted the order."""
    body = orjson.dumps({"model": model, "fence": fence})
    headers = {"Content-Type": "application/json"}
    try:
        exchange = Exchange.open(
            runner.address, "POST", "/v1/orders", headers, body, CONTROL_TIMEOUT_S
        )
        status = exchange.status
        exchange.close()
    except UpstreamError:
        return False
    return status == 200


def _get_json(runner: Runner, path: str) -> Any:
    """Return a JSON document of the runner."""
    exchange = Exchange.open(runner.address, "GET", path, {}, b"", CONTROL_TIMEOUT_S)
    body = exchange.read_document()
    try:
        return orjson.loads(body)
    except ValueError as fault:
        raise UpstreamError("the answer is not JSON", sent=True) from fault
