"""Serve a stream of so many tokens as fast as it can, in the engine's protocol.

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
    """Serve the stream, an idle report or nothing."""
    path = environ["PATH_INFO"]
    if path == "/v1/load":
        load = {"used_tokens": 0, "memory_tokens": 10_000_000, "waiting": 0, "model": "base"}
        return answer(start, 200, load)
    if path == "/v1/cache-events":
        return answer(start, 200, {"next": 0, "stored": [], "evicted": []})
    if path != "/v1/chat/completions":
        return answer(start, 200, {})
    body = environ["wsgi.input"].read()
    found, paced = LENGTH.search(body), PACE.search(body)
    count = int(found.group(1)) if found else 1
    pace_s = int(paced.group(1)) / 1000 if paced else 0.0
    start("200 OK", [("Content-Type", "text/event-stream")])
    return _events(environ["HTTP_X_REQUEST_ID"], count, pace_s)


def _events(name: str, count: int, pace_s: float) -> Iterator[bytes]:
    """Yield the tokens and the end."""
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
