"""Engine stand-in that streams a requested number of tokens as fast as it can, or at a pace.

Usage:
  fixed_source [--port=N]
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import re  # noqa: E402
from collections.abc import Iterable, Iterator  # noqa: E402
from typing import Any  # noqa: E402

import gevent  # noqa: E402
from docopt import docopt  # noqa: E402

from stand_ins.http import StartResponse, answer, serve  # noqa: E402

LENGTH = re.compile(rb"\[length=(\d+)\]")
PACE = re.compile(rb"\[pace=(\d+)\]")


def app(environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
    """Serve the stream, the report of an idle engine, no cache events, or an empty response."""
    path = environ["PATH_INFO"]
    if path == "/v1/load":
        load = {"used_tokens": 0, "memory_tokens": 10_000_000, "waiting": 0, "model": "base"}
        return answer(start, 200, load)
    if path == "/v1/cache-events":
        return answer(start, 200, {"next": 0, "stored": [], "evicted": []})
    if path != "/v1/chat/completions":
        return answer(start, 200, {})
    body = environ["wsgi.input"].read()
    length, pace = LENGTH.search(body), PACE.search(body)
    count = int(length.group(1)) if length else 1
    pace_s = int(pace.group(1)) / 1000 if pace else 0.0
    start("200 OK", [("Content-Type", "text/event-stream")])
    return _events(environ["HTTP_X_REQUEST_ID"], count, pace_s)


def _events(name: str, count: int, pace_s: float) -> Iterator[bytes]:
    """Yield an event for each token, with pace_s seconds before each, and the end event."""
    data = (
        f'data: {{"id":"{name}","object":"chat.completion.chunk","model":"base","choices":'
        '[{"index":0,"delta":{"content":"token "},"finish_reason":null}]}\n\n'
    ).encode()
    for index in range(count):
        if pace_s:
            gevent.sleep(pace_s)
        yield f"id: {name}:{index}\n".encode() + data
    yield f"event: end\nid: {name}:{count}\ndata: {{}}\n\n".encode()


if __name__ == "__main__":
    serve(int(docopt(__doc__ or "")["--port"]), app).serve_forever()
