"""Stand in for the platform's object store: lists, conditional writes and watches.

Usage:
  platform [--port=N] [--writes=N] [--reads=N] [--page=N]

Options:
  --port=N    Port to serve on [default: 7000].
  --writes=N  Writes a second before 429 [default: 100].
  --reads=N   Reads a second before 429 [default: 2000].
  --page=N    Most objects in one answer [default: 500].
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import time  # noqa: E402
from collections.abc import Iterable  # noqa: E402
from dataclasses import dataclass, field  # noqa: E402
from typing import Any  # noqa: E402

import gevent  # noqa: E402
import orjson  # noqa: E402
from docopt import docopt  # noqa: E402
from gevent.event import Event  # noqa: E402

from stand_ins.http import (  # noqa: E402
    StartResponse,
    answer,
    answer_bytes,
    close_unanswered,
    query,
    read_json,
    serve,
)

PREFIX = "/api/objects/"
MAX_VALUE_BYTES = 1_048_576
WATCH_CHECK_S = 0.5
"""Interval at which a waiting watch checks whether the store is down."""


@dataclass(slots=True)
class Faults:
    """Scripted faults."""

    down_until: float = 0.0
    silent: bool = False
    """Whether a store that is down sends no answer; otherwise it answers 503."""
    slow_s: float = 0.0
    lose_answers: int = 0
    """Number of writes to execute without sending an answer."""


@dataclass(slots=True)
class Counter:
    """Count of calls per second, for the rate limits and the statistics."""

    limit: int
    second: int = 0
    count: int = 0
    total: int = 0

    def count_call(self) -> bool:
        """Count a call; return True if it is within the limit."""
        now = int(time.monotonic())
        if now != self.second:
            self.second, self.count = now, 0
        self.count += 1
        self.total += 1
        return self.count <= self.limit


@dataclass(frozen=True, slots=True)
class Change:
    """A change of an object, kept for watches."""

    revision: int
    kind: str
    value: dict[str, Any]
    gone: bool


@dataclass(frozen=True, slots=True)
class Snapshot:
    """State of the store at one time."""

    objects: dict[tuple[str, str], dict[str, Any]]
    history: tuple[Change, ...]
    forgotten: int
    revision: int


@dataclass(slots=True)
class Platform:
    """In-memory object store."""

    writes: Counter
    reads: Counter
    page: int = 500
    objects: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    history: list[Change] = field(default_factory=list)
    forgotten: int = 0
    """Revision up to which the history is no longer available."""
    revision: int = 0
    era: int = 1
    """Rises by one each time that the store is restored from a snapshot."""
    snapshot: Snapshot | None = None
    faults: Faults = field(default_factory=Faults)
    raw: dict[str, str] = field(default_factory=dict)
    """JSON text that replaces a string of this value in answers, as of a writer with another
    encoder."""
    changed: Event = field(default_factory=Event)

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Serve a request."""
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        if path.startswith("/control"):
            return self._control(environ, start, path)
        start = self._with_era_header(start)
        if self.faults.slow_s:
            gevent.sleep(self.faults.slow_s)
        if time.monotonic() < self.faults.down_until:
            if self.faults.silent:
                gevent.sleep(max(0.0, self.faults.down_until - time.monotonic()))
            return answer(start, 503, {"error": "down"})
        if not path.startswith(PREFIX):
            return answer(start, 404, {"error": "no such path"})
        kind, _, name = path.removeprefix(PREFIX).partition("/")
        if method == "GET":
            return self._read(environ, start, kind, name)
        return self._write(environ, start, method, kind, name)

    def _with_era_header(self, start: StartResponse) -> StartResponse:
        """Wrap the start of a response to add the store's era to its headers."""

        def start_with_era(status: str, headers: list[tuple[str, str]]) -> Any:
            return start(status, [*headers, ("Store-Era", str(self.era))])

        return start_with_era

    def _take_snapshot(self, without: str) -> None:
        """Take a snapshot without the objects of one kind, as if these were written later."""
        objects = {key: stored for key, stored in self.objects.items() if key[0] != without}
        self.snapshot = Snapshot(objects, tuple(self.history), self.forgotten, self.revision)

    def _restore_snapshot(self, written_at_once: list[dict[str, Any]]) -> None:
        """Restore the snapshot; later writes and their revisions are lost.

        The objects in `written_at_once` are written before any watch notices the restore.
        """
        assert self.snapshot is not None
        self.objects = dict(self.snapshot.objects)
        self.history = list(self.snapshot.history)
        self.forgotten, self.revision = self.snapshot.forgotten, self.snapshot.revision
        self.era += 1
        for written in written_at_once:
            self._change(written["kind"], written["name"], written["spec"], gone=False)
        self.changed.set()
        self.changed.clear()

    def _read(
        self, environ: dict[str, Any], start: StartResponse, kind: str, name: str
    ) -> Iterable[bytes]:
        """Serve a read: an object, a page of a list, or a watch."""
        if not self.reads.count_call():
            return answer(start, 429, {"error": "too many reads"})
        if name:
            found = self.objects.get((kind, name))
            if found is None:
                return answer(start, 404, {"error": "no such object"})
            return self._answer_raw(start, found)
        parameters = query(environ)
        if "watch" in parameters:
            return self._watch(
                start, kind, int(parameters["watch"]), float(parameters["waitMs"]) / 1000
            )
        names = sorted(
            stored_name for stored_kind, stored_name in self.objects if stored_kind == kind
        )
        names = [listed for listed in names if listed > parameters.get("after", "")]
        items = [self.objects[(kind, listed)] for listed in names[: self.page]]
        more = len(names) > self.page
        return self._answer_raw(start, {"items": items, "more": more, "at": self.revision})

    def _answer_raw(self, start: StartResponse, value: Any) -> Iterable[bytes]:
        """Answer with a value in which the raw texts replace their markers."""
        body = orjson.dumps(value)
        for marker, text in self.raw.items():
            body = body.replace(orjson.dumps(marker), text.encode())
        return answer_bytes(start, 200, body)

    def _watch(self, start: StartResponse, kind: str, at: int, wait_s: float) -> Iterable[bytes]:
        """Answer when an object of the kind has changed after a revision, or after `wait_s`."""
        deadline = time.monotonic() + wait_s
        while True:
            if at < self.forgotten or at > self.revision:
                return answer(start, 410, {"error": "there is no such history"})
            if time.monotonic() < self.faults.down_until:
                return answer(start, 503, {"error": "down"})
            events = [
                {"object": change.value, "gone": change.gone}
                for change in self.history
                if change.revision > at and change.kind == kind
            ]
            remaining_s = deadline - time.monotonic()
            if events or remaining_s <= 0:
                return self._answer_raw(start, {"events": events, "at": self.revision})
            self.changed.wait(min(remaining_s, WATCH_CHECK_S))

    def _write(
        self, environ: dict[str, Any], start: StartResponse, method: str, kind: str, name: str
    ) -> Iterable[bytes]:
        """Serve a write: a creation (POST), a replacement (PUT) or a deletion."""
        if not self.writes.count_call():
            return answer(start, 429, {"error": "too many writes"})
        if int(environ.get("CONTENT_LENGTH") or 0) > MAX_VALUE_BYTES:
            return answer(start, 413, {"error": "too large"})
        body = read_json(environ)
        metadata = body.get("metadata") or {}
        name = name or str(metadata.get("name", ""))
        current = self.objects.get((kind, name))
        if method == "POST" and current is not None:
            return answer(start, 409, current)
        if method != "POST" and current is None:
            return answer(start, 404, {"error": "no such object"})
        expected = metadata.get("revision")
        if current is not None and expected not in (None, current["metadata"]["revision"]):
            return answer(start, 409, current)
        stored = self._change(kind, name, body.get("spec"), gone=method == "DELETE")
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return close_unanswered(environ, start)
        return answer(start, 200, stored)

    def _change(self, kind: str, name: str, spec: Any, *, gone: bool) -> dict[str, Any]:
        """Create, replace or remove an object, and wake the watches."""
        current = self.objects.get((kind, name))
        if current is not None and not gone and current["spec"] == spec:
            return current
        self.revision += 1
        made = current["metadata"]["made"] if current else self.revision
        metadata = {"name": name, "revision": self.revision, "made": made}
        metadata |= {"finalizers": [], "deleting": False}
        stored = {"metadata": metadata, "spec": spec, "status": None}
        if gone:
            del self.objects[(kind, name)]
        else:
            self.objects[(kind, name)] = stored
        self.history.append(Change(self.revision, kind, stored, gone))
        self.changed.set()
        self.changed.clear()
        return stored

    def _control(self, environ: dict[str, Any], start: StartResponse, path: str) -> Iterable[bytes]:
        """Set scripted faults, or answer with statistics."""
        if path == "/control/stats":
            counts = {"reads": self.reads.total, "writes": self.writes.total}
            objects = {
                f"{kind}/{name}": stored["metadata"]["revision"]
                for (kind, name), stored in self.objects.items()
            }
            return answer(start, 200, counts | {"objects": objects})
        script = read_json(environ)
        if "down_s" in script:
            self.faults.down_until = time.monotonic() + script["down_s"]
        if script.get("copy"):
            self._take_snapshot(script.get("without", ""))
        self.raw |= script.get("raw", {})
        self.revision += int(script.get("changed_elsewhere", 0))
        if script.get("come_back"):
            self._restore_snapshot(script.get("written_at_once", []))
        if script.get("forget"):
            self.forgotten = self.revision
            self.history.clear()
            self.changed.set()
            self.changed.clear()
        self.faults.silent = script.get("silent", False)
        self.faults.slow_s = script.get("slow_s", self.faults.slow_s)
        self.faults.lose_answers = script.get("lose_answers", self.faults.lose_answers)
        return answer(start, 200, {})


def main() -> None:
    """Serve until killed."""
    options = docopt(__doc__)
    platform = Platform(
        Counter(int(options["--writes"])), Counter(int(options["--reads"])), int(options["--page"])
    )
    serve(int(options["--port"]), platform).serve_forever()


if __name__ == "__main__":
    main()
