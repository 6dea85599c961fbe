"""Stand in for a model engine: run the engine model in real time over HTTP.

Usage:
  engine [--port=N] [--id=ID] [--memory=N] [--speed=X] [--model=NAME] [--no-fences]

Options:
  --port=N      Port to serve on [default: 7100].
  --id=ID       Runner id [default: engine-1].
  --memory=N    Memory in tokens [default: 48000].
  --speed=X     Run so many times faster than the model says [default: 1].
  --model=NAME  Served model [default: base].
  --no-fences   Take orders without checking fences.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
import random  # noqa: E402
import re  # noqa: E402
import time  # noqa: E402
from collections import Counter, deque  # noqa: E402
from collections.abc import Iterable, Iterator  # noqa: E402
from dataclasses import dataclass, field  # noqa: E402
from typing import Any  # noqa: E402

import gevent  # noqa: E402
import orjson  # noqa: E402
from docopt import docopt  # noqa: E402
from gevent.event import Event  # noqa: E402

from driftstall.core import PrefixMark  # noqa: E402
from driftstall.util.tokens import prefix_marks  # noqa: E402
from stand_ins.engine_model import Engine, EngineShape, Generation, Phase  # noqa: E402
from stand_ins.http import Signals, StartResponse, answer, query, read_json, serve  # noqa: E402

KEEPALIVE_S = 0.5
REPORT_LAG_S = 0.5
CACHE_LAG_S = 1.0
CACHE_GAP = 0.1
"""Share of cache events that are dropped."""
ORPHAN_TIMEOUT_S = 10.0
"""Time after which a generation without readers is cancelled."""
MAX_FINISHED_STREAMS = 2_000
CRASH_TAG = "[crash]"
"""A prompt with this tag crashes the process that runs it."""
CRASH_S = 0.05
LENGTH_TAG = re.compile(r"\[length=(\d+)\]")


@dataclass(slots=True)
class Stream:
    """A generation and its readers."""

    generation: Generation
    messages: list[tuple[str, str]]
    model: str
    changed: Event = field(default_factory=Event)
    done: bool = False
    readers: int = 0
    orphan_at: float = 0.0

    def text(self, index: int) -> str:
        """Return the text of a token; it names its generation, so that mixed-up streams show."""
        return f"{self.generation.generation_id}#{index} "


@dataclass(slots=True)
class Faults:
    """Scripted faults."""

    hang_until: float = 0.0
    frozen_until: float = 0.0
    """Until this time the engine answers and reports, but generates no tokens."""
    cut_after: int = 0
    """Number of tokens after which the next stream is cut, once."""
    duplicate: bool = False
    skip: int = 0
    refuse: int = 0


class EngineServer:
    """HTTP server of one engine."""

    def __init__(
        self, runner_id: str, engine: Engine, speed: float, model: str, fences: bool
    ) -> None:
        """Initialize with the engine model and the factor by which it runs faster."""
        self._runner_id = runner_id
        self._engine = engine
        self._speed = speed
        self._model = model
        self._fences = fences
        self._fence = 0
        self._streams: dict[str, Stream] = {}
        self._finished: deque[str] = deque()
        self._work = Event()
        self._faults = Faults()
        self._leaving = False
        self._signals = Signals()
        self._arrivals: list[float] = []
        self._report: dict[str, Any] = {}
        self._cache: deque[tuple[float, int, tuple[PrefixMark, ...], int]] = deque(maxlen=4_000)
        self._cache_next = 0
        self._random = random.Random(runner_id)
        self.counts: Counter[str] = Counter()
        self._runs: Counter[str] = Counter()
        self._stale_orders: list[int] = []

    def start(self) -> None:
        """Start the loops that run the engine and refresh its report."""
        gevent.spawn(self._run)
        gevent.spawn(self._report_loop)

    def _run(self) -> None:
        """Run the engine's steps in real time."""
        due = time.monotonic()
        while True:
            if self._engine.is_idle:
                self._work.clear()
                self._work.wait()
                due = time.monotonic()
            now = time.monotonic()
            if now < self._faults.hang_until:
                gevent.sleep(self._faults.hang_until - now)
                due = time.monotonic()
            if now < self._faults.frozen_until:
                gevent.sleep(0.1)
                due = time.monotonic()
                continue
            step = self._engine.step()
            due += step.seconds / self._speed
            gevent.sleep(max(0.0, due - time.monotonic()))
            due = max(due, time.monotonic() - 0.1)
            for generation in step.finished:
                self._finish(generation.generation_id)
            for generation in step.tokens:
                # A stream may have been cancelled while this step ran.
                stream = self._streams.get(generation.generation_id)
                if stream is not None:
                    self._wake(stream)
            self._record_cache_events(step.evicted)
            self._drop_orphans()

    def _wake(self, stream: Stream) -> None:
        """Wake a stream's readers."""
        stream.changed.set()
        stream.changed.clear()

    def _finish(self, generation_id: str) -> None:
        """Mark a stream as ended, and keep it for late resumes."""
        stream = self._streams.get(generation_id)
        if stream is None:
            return
        stream.done = True
        self.counts["finished"] += 1
        self._finished.append(stream.generation.generation_id)
        while len(self._finished) > MAX_FINISHED_STREAMS:
            self._streams.pop(self._finished.popleft(), None)

    def _record_cache_events(self, evicted: Iterable[int]) -> None:
        """Queue cache events to be shown after CACHE_LAG_S; some are dropped."""
        now = time.monotonic()
        events: list[tuple[tuple[PrefixMark, ...], int]] = [((), digest) for digest in evicted]
        events += [(prefix, 0) for prefix in self._engine.drain_stored_prefixes()]
        for prefix, digest in events:
            self._cache_next += 1
            if self._random.random() >= CACHE_GAP:
                self._cache.append((now + CACHE_LAG_S, self._cache_next, prefix, digest))

    def _drop_orphans(self) -> None:
        """Cancel generations that have had no reader for ORPHAN_TIMEOUT_S."""
        now = time.monotonic()
        for generation in list(self._engine.running.values()):
            stream = self._streams.get(generation.generation_id)
            if stream and not stream.readers and now - stream.orphan_at > ORPHAN_TIMEOUT_S:
                self._cancel(stream)

    def _cancel(self, stream: Stream) -> None:
        """Cancel a generation and remove its stream."""
        self._engine.cancel(stream.generation.generation_id)
        self._streams.pop(stream.generation.generation_id, None)
        stream.done = True
        self.counts["cancelled"] += 1
        self._wake(stream)

    def _report_loop(self) -> None:
        """Refresh the report, which lags by up to REPORT_LAG_S."""
        while True:
            self._report = {
                "used_tokens": self._engine.used_tokens,
                "memory_tokens": self._engine.shape.memory_tokens,
                "waiting": len(self._engine.waiting),
                "running": len(self._engine.running),
                "model": self._model,
                "leaving": self._leaving,
            }
            gevent.sleep(REPORT_LAG_S)

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Serve a request."""
        path = environ["PATH_INFO"]
        if path.startswith("/control"):
            return self._control(environ, start, path)
        if time.monotonic() < self._faults.hang_until:
            gevent.sleep(self._faults.hang_until - time.monotonic())
        if path == "/v1/chat/completions":
            return self._create(environ, start)
        if path == "/v1/load":
            return answer(start, 200, self._report)
        if path == "/v1/cache-events":
            return self._cache_events(environ, start)
        if path == "/v1/orders":
            return self._order(environ, start)
        return self._generation(environ, start, path)

    def _create(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Start a generation."""
        body = read_json(environ)
        generation_id = environ["HTTP_X_REQUEST_ID"]
        self._arrivals.append(time.monotonic())
        if self._faults.refuse > 0:
            self._faults.refuse -= 1
            return answer(start, 503, {"error": "not run"}, self._signals.headers())
        if self._signals.backoff_s:
            return self._signals.reject(start)
        messages = [(message["role"], message["content"]) for message in body["messages"]]
        marks = [PrefixMark(*mark) for mark in prefix_marks(body["model"], messages)]
        length = self._length(messages, int(body["max_tokens"]))
        reply = f"{generation_id}:{length}"
        reply_marks = prefix_marks(body["model"], [*messages, ("assistant", reply)])
        generation = Generation(
            generation_id,
            int(body.get("priority", 0)),
            marks[-1].tokens,
            length,
            tuple(marks),
            PrefixMark(reply_marks[-1][0], marks[-1].tokens + length),
        )
        self.counts["received"] += 1
        self._runs[generation_id.rpartition("-")[0]] += 1
        stream = Stream(generation, messages, body["model"])
        self._streams[generation_id] = stream
        self._engine.add(generation)
        self._work.set()
        if any(CRASH_TAG in content for _, content in messages):
            gevent.spawn_later(CRASH_S, os._exit, 1)
        return self._stream(stream, 0, start)

    def _length(self, messages: list[tuple[str, str]], cap: int) -> int:
        """Sample the true output length in tokens; a tag in the prompt sets it for tests."""
        found = LENGTH_TAG.search(messages[-1][1])
        if found:
            return max(1, min(cap, int(found.group(1))))
        return max(1, min(cap, int(self._random.lognormvariate(4.6, 0.9))))

    def _stream(self, stream: Stream, index: int, start: StartResponse) -> Iterable[bytes]:
        """Answer with the stream of events from an index on."""
        headers = [("Content-Type", "text/event-stream"), *self._signals.headers()]
        start("200 OK", headers)
        return self._events(stream, index)

    def _events(self, stream: Stream, index: int) -> Iterator[bytes]:
        """Yield the events of tokens from an index on, as they are generated."""
        stream.readers += 1
        sent = 0
        try:
            while True:
                while index < stream.generation.produced:
                    if self._faults.skip > 0:
                        self._faults.skip -= 1
                        index += 1
                        continue
                    event = self._event(stream, index)
                    yield event + event if self._faults.duplicate else event
                    index += 1
                    sent += 1
                    if self._faults.cut_after and sent >= self._faults.cut_after:
                        self._faults.cut_after = 0
                        raise OSError("stream cut by script")
                if stream.done:
                    if index >= stream.generation.output_tokens:
                        yield self._end(stream)
                    return
                if not stream.changed.wait(KEEPALIVE_S / self._speed):
                    hung = time.monotonic() < self._faults.hang_until
                    if hung:
                        gevent.sleep(self._faults.hang_until - time.monotonic())
                    yield b": wait\n\n"
        finally:
            stream.readers -= 1
            stream.orphan_at = time.monotonic()

    def _event(self, stream: Stream, index: int) -> bytes:
        """Encode the event of a token in the chat-completions format."""
        name = stream.generation.generation_id
        self.counts["tokens_sent"] += 1
        return (
            f'id: {name}:{index}\ndata: {{"id":"{name}","object":"chat.completion.chunk",'
            f'"model":"{stream.model}","choices":[{{"index":0,"delta":{{"content":'
            f'"{stream.text(index)}"}},"finish_reason":null}}]}}\n\n'
        ).encode()

    def _end(self, stream: Stream) -> bytes:
        """Encode the last event: the finish reason, usage and cached prefix."""
        generation = stream.generation
        finish_reason = "stop"
        reply = generation.reply
        data = {
            "id": generation.generation_id,
            "object": "chat.completion.chunk",
            "model": stream.model,
            "choices": [{"index": 0, "delta": {}, "finish_reason": finish_reason}],
            "usage": {
                "prompt_tokens": generation.input_tokens,
                "completion_tokens": generation.produced,
            },
            "cached_prefix": [reply.digest, reply.tokens] if reply else None,
        }
        name = f"{generation.generation_id}:{generation.produced}"
        return b"event: end\nid: " + name.encode() + b"\ndata: " + orjson.dumps(data) + b"\n\n"

    def _generation(
        self, environ: dict[str, Any], start: StartResponse, path: str
    ) -> Iterable[bytes]:
        """Resume, pause or cancel a generation."""
        *_, generation_id, verb = path.split("/")
        stream = self._streams.get(generation_id)
        if stream is None:
            return answer(start, 404, {"error": "no such generation"})
        if verb == "stream":
            self.counts["resumed"] += 1
            return self._stream(stream, int(query(environ)["from"]), start)
        if verb == "cancel":
            if not stream.done:
                self._cancel(stream)
        elif verb == "pause" and stream.generation.phase is not Phase.PAUSED and not stream.done:
            self._engine.pause(generation_id)
            self.counts["paused"] += 1
        elif verb == "resume":
            self._engine.resume(generation_id)
            self._work.set()
        return answer(start, 200, {})

    def _cache_events(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Answer with the cache events after a position that are old enough to be shown."""
        after, now = int(query(environ)["after"]), time.monotonic()
        visible = [event for event in self._cache if event[0] <= now and event[1] > after]
        stored = [
            [[mark.digest, mark.tokens] for mark in event[2]] for event in visible if event[2]
        ]
        evicted = [event[3] for event in visible if not event[2]]
        position = visible[-1][1] if visible else after
        return answer(start, 200, {"next": position, "stored": stored, "evicted": evicted})

    def _order(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Execute an order, unless its fence is older than that of an earlier one."""
        order = read_json(environ)
        fence = int(order["fence"])
        if fence < self._fence:
            self._stale_orders.append(fence)
            if self._fences:
                return answer(start, 409, {"error": "old fence"})
        self._fence = max(self._fence, fence)
        self._model = order["model"]
        self.counts["orders"] += 1
        return answer(start, 200, {})

    def _control(self, environ: dict[str, Any], start: StartResponse, path: str) -> Iterable[bytes]:
        """Set scripted faults, or answer with statistics."""
        if path == "/control/stats":
            self.counts["preemptions"] = self._engine.preemptions
            extra = {
                "runs": dict(self._runs),
                "used_tokens": self._engine.used_tokens,
                "running": len(self._engine.running) + len(self._engine.waiting),
                "model": self._model,
                "stale_orders": self._stale_orders,
                "arrivals": self._arrivals,
                "signalled_at": self._signals.signalled_at,
            }
            return answer(start, 200, dict(self.counts) | extra)
        script = read_json(environ)
        if "hang_s" in script:
            self._faults.hang_until = time.monotonic() + script["hang_s"]
        if "freeze_s" in script:
            self._faults.frozen_until = time.monotonic() + script["freeze_s"]
        for name in ("cut_after", "duplicate", "skip", "refuse"):
            setattr(self._faults, name, script.get(name, getattr(self._faults, name)))
        self._leaving = script.get("leaving", self._leaving)
        self._signals.script(script)
        return answer(start, 200, {})


def main() -> None:
    """Serve until killed."""
    options = docopt(__doc__)
    engine = Engine(EngineShape(memory_tokens=int(options["--memory"])))
    server = EngineServer(
        options["--id"],
        engine,
        float(options["--speed"]),
        options["--model"],
        not options["--no-fences"],
    )
    server.start()
    serve(int(options["--port"]), server).serve_forever()


if __name__ == "__main__":
    main()
