"""Relay without any decisions: the baseline for the cost of the daemon's relay.

Usage:
  plain_relay [--port=N] [--upstream=ADDR]
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

from collections.abc import Iterable, Iterator  # noqa: E402
from typing import Any  # noqa: E402

from docopt import docopt  # noqa: E402

from driftstall.util.http import Exchange  # noqa: E402
from stand_ins.http import StartResponse, serve  # noqa: E402


def build(upstream: str) -> Any:
    """Return a WSGI app that forwards requests to one upstream."""

    def app(environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        body = environ["wsgi.input"].read()
        headers = {"X-Request-Id": environ["HTTP_X_REQUEST_ID"]}
        exchange = Exchange.open(upstream, "POST", environ["PATH_INFO"], headers, body, 60.0)
        start("200 OK", [("Content-Type", "text/event-stream")])
        return _events(exchange)

    return app


def _events(exchange: Exchange) -> Iterator[bytes]:
    """Yield the events of the response as they arrive."""
    while True:
        event = exchange.read_event()
        if not event:
            return
        yield event


if __name__ == "__main__":
    options = docopt(__doc__ or "")
    serve(int(options["--port"]), build(options["--upstream"])).serve_forever()
