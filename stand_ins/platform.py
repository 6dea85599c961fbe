"""Stand in for the platform: objects, conditional updates, watches and the list.

Usage:
  platform [--port=N] [--writes=N] [--reads=N]

Options:
  --port=N    Port to serve on [default: 7000].
  --writes=N  Writes a second before 429 [default: 100].
  --reads=N   Reads a second before 429 [default: 2000].
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import time  # noqa: E402
from collections.abc import Iterable  # noqa: E402
from dataclasses import dataclass, field  # noqa: E402
from typing import Any  # noqa: E402

import gevent  # noqa: E402
from docopt import docopt  # noqa: E402
from gevent.event import Event  # noqa: E402

from stand_ins.http import StartResponse, answer, cut, query, read_json, serve  # noqa: E402

PREFIX = "/v1/objects/"
MAX_VALUE_BYTES = 1_000_000


@dataclass(slots=True)
class Faults:
    """Hold the scripted faults."""

    down_until: float = 0.0
    slow_s: float = 0.0
    lose_answers: int = 0
    """Writes that take effect but whose answer is lost."""
    list_lag_s: float = 0.0


@dataclass(slots=True)
class Counter:
    """Count calls in whole seconds, for the rate limits and the statistics."""

    limit: int
    second: int = 0
    count: int = 0
    total: int = 0

    def take(self) -> bool:
        """Count one call; return whether it is within the limit."""
        now = int(time.monotonic())
        if now != self.second:
            self.second, self.count = now, 0
        self.count += 1
        self.total += 1
        return self.count <= self.limit


@dataclass(slots=True)
class Platform:
    """Serve the object API from memory."""

    writes: Counter
    reads: Counter
    objects: dict[str, tuple[int, Any, int]] = field(default_factory=dict)
    members: dict[str, dict[str, Any]] = field(default_factory=dict)
    shown: list[dict[str, Any]] = field(default_factory=list)
    revision: int = 0
    faults: Faults = field(default_factory=Faults)
    changed: Event = field(default_factory=Event)

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Serve one call."""
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        if path.startswith("/control"):
            return self._control(environ, start, path)
        if self.faults.slow_s:
            gevent.sleep(self.faults.slow_s)
        if time.monotonic() < self.faults.down_until:
            return answer(start, 503, {"error": "down"})
        if method == "PUT":
            return self._put(environ, start, path)
        if not self.reads.take():
            return answer(start, 429, {"error": "too many reads"})
        if path == "/v1/instances":
            return answer(start, 200, {"instances": self.shown})
        if path == "/v1/watch":
            return self._watch(environ, start)
        found = self.objects.get(path.removeprefix(PREFIX))
        if found is None:
            return answer(start, 404, {"error": "no such object"})
        return answer(start, 200, {"version": found[0], "value": found[1]})

    def _put(self, environ: dict[str, Any], start: StartResponse, path: str) -> Iterable[bytes]:
        """Write an object conditionally."""
        if not self.writes.take():
            return answer(start, 429, {"error": "too many writes"})
        raw_length = int(environ.get("CONTENT_LENGTH") or 0)
        if raw_length > MAX_VALUE_BYTES:
            return answer(start, 413, {"error": "too large"})
        value = read_json(environ)
        if path.startswith("/v1/instances/"):
            self._register(path.removeprefix("/v1/instances/"), value)
            return answer(start, 200, {"version": 0})
        key = path.removeprefix(PREFIX)
        current = self.objects.get(key, (0, None, 0))
        if int(environ.get("HTTP_IF_MATCH", "-1")) != current[0]:
            return answer(start, 409, {"version": current[0]})
        self.revision += 1
        self.objects[key] = (current[0] + 1, value, self.revision)
        self.changed.set()
        self.changed.clear()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return cut(environ, start)
        return answer(start, 200, {"version": current[0] + 1})

    def _watch(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Answer when something under the prefix has changed."""
        asked = query(environ)
        after, prefix = int(asked["after"]), asked["prefix"]
        ends = time.monotonic() + float(asked.get("timeout", "20"))
        while True:
            changes = [
                {"key": key, "version": version, "value": value}
                for key, (version, value, revision) in self.objects.items()
                if revision > after and key.startswith(prefix)
            ]
            left = ends - time.monotonic()
            down = time.monotonic() < self.faults.down_until
            if down:
                return answer(start, 503, {"error": "down"})
            if changes or left <= 0:
                return answer(start, 200, {"revision": self.revision, "changes": changes})
            self.changed.wait(min(left, 0.5))

    def _register(self, member_id: str, value: dict[str, Any]) -> None:
        """Change the list, which readers see after the lag."""
        self.members[member_id] = value | {"id": member_id}
        gevent.spawn_later(self.faults.list_lag_s, self._show)

    def _show(self) -> None:
        """Let readers see the list as it is now."""
        self.shown = [one for one in self.members.values() if one["state"] != "gone"]

    def _control(self, environ: dict[str, Any], start: StartResponse, path: str) -> Iterable[bytes]:
        """Script faults, and give statistics."""
        if path == "/control/stats":
            counts = {"reads": self.reads.total, "writes": self.writes.total}
            objects = {key: version for key, (version, _, _) in self.objects.items()}
            return answer(start, 200, counts | {"objects": objects})
        script = read_json(environ)
        if "down_s" in script:
            self.faults.down_until = time.monotonic() + script["down_s"]
        self.faults.slow_s = script.get("slow_s", self.faults.slow_s)
        self.faults.lose_answers = script.get("lose_answers", self.faults.lose_answers)
        self.faults.list_lag_s = script.get("list_lag_s", self.faults.list_lag_s)
        return answer(start, 200, {})


def main() -> None:
    """Serve until killed."""
    options = docopt(__doc__)
    platform = Platform(Counter(int(options["--writes"])), Counter(int(options["--reads"])))
    serve(int(options["--port"]), platform).serve_forever()


if __name__ == "__main__":
    main()
