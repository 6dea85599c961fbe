"""Stand in for a plain service: count each run, and fail as scripted.

Usage:
  service [--port=N] [--name=NAME]

Options:
  --port=N     Port to serve on [default: 7200].
  --name=NAME  Name shown in answers [default: portal].
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
import time  # noqa: E402
from collections import Counter  # noqa: E402
from collections.abc import Iterable  # noqa: E402
from dataclasses import dataclass, field  # noqa: E402
from typing import Any  # noqa: E402

import gevent  # noqa: E402
from docopt import docopt  # noqa: E402

from stand_ins.http import (  # noqa: E402
    Signals,
    StartResponse,
    answer,
    close_unanswered,
    read_json,
    serve,
    truncate_answer,
)

CRASH_PATH = "/crash"
"""A call of this path crashes the process that runs it."""


@dataclass(slots=True)
class Service:
    """A service that counts the runs of each call, by the id in the call's header or its path."""

    name: str
    runs: Counter[str] = field(default_factory=Counter)
    late_s: float = 0.0
    drop_answers: int = 0
    """Number of calls to run without sending an answer."""
    truncate_answers: int = 0
    """Number of calls to run with an answer that is close-delimited and truncated."""
    refuse: int = 0
    """Number of calls to answer with 503 before they run."""
    signals: Signals = field(default_factory=Signals)
    arrivals: list[float] = field(default_factory=list)
    """Times at which calls arrived, by the monotonic clock."""

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Serve a request."""
        path = environ["PATH_INFO"]
        if path == "/control":
            script = read_json(environ)
            self.late_s = script.get("late_s", self.late_s)
            self.drop_answers = script.get("drop_answers", self.drop_answers)
            self.truncate_answers = script.get("truncate_answers", self.truncate_answers)
            self.refuse = script.get("refuse", self.refuse)
            self.signals.script(script)
            return answer(start, 200, {})
        if path == "/control/stats":
            counts = {"runs": dict(self.runs), "arrivals": self.arrivals}
            return answer(start, 200, counts | {"signalled_at": self.signals.signalled_at})
        if path == "/v1/load":
            return answer(start, 200, {"used_tokens": 0, "memory_tokens": 1, "waiting": 0})
        self.arrivals.append(time.monotonic())
        body = environ["wsgi.input"].read()
        if self.refuse > 0:
            self.refuse -= 1
            return answer(start, 503, {"error": "not run"}, self.signals.headers())
        if self.signals.backoff_s:
            return self.signals.reject(start)
        call_id = environ.get("HTTP_X_CALL_ID", "") or path
        self.runs[call_id] += 1
        if path.endswith(CRASH_PATH):
            os._exit(1)
        if self.late_s:
            gevent.sleep(self.late_s)
        if self.drop_answers > 0:
            self.drop_answers -= 1
            return close_unanswered(environ, start)
        echo = body.decode("utf-8", "replace")[:200]
        value = {"service": self.name, "call": call_id, "echo": echo}
        if self.truncate_answers > 0:
            self.truncate_answers -= 1
            return truncate_answer(environ, start, value)
        return answer(start, 200, value, self.signals.headers())


def main() -> None:
    """Serve until killed."""
    options = docopt(__doc__)
    serve(int(options["--port"]), Service(options["--name"])).serve_forever()


if __name__ == "__main__":
    main()
