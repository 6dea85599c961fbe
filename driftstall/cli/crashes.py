"""Show the requests that are quarantined for crashing upstreams, and clear one of them."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, Final

import orjson

from driftstall.cli.tables import print_table
from driftstall.util.http import Exchange

EXIT_OK: Final = 0
EXIT_REFUSED: Final = 1
CALL_TIMEOUT_S: Final = 5.0
PATH: Final = "/crashes"


def run_crashes(options: Mapping[str, Any]) -> int:
    """Run the command at one instance, which forwards a cleared request to the others."""
    if options["clear"]:
        return _clear(options["--metrics"], options["FINGERPRINT"])
    _, raw = call_metrics(options["--metrics"], "GET", PATH)
    if options["--json"]:
        print(raw.decode())
        return EXIT_OK
    rows = [row | {"upstreams": " ".join(row["upstreams"])} for row in orjson.loads(raw)]
    print_table(("Fingerprint", "Wait_s", "Upstreams"), rows)
    return EXIT_OK


def _clear(address: str, fingerprint: str) -> int:
    """Lift the quarantine of a request."""
    status, _ = call_metrics(address, "DELETE", f"{PATH}/{fingerprint}")
    if status == HTTPStatus.OK:
        print(f"request {fingerprint} may be sent again")
        return EXIT_OK
    print(f"driftstall: nothing is held against a request {fingerprint}", file=sys.stderr)
    return EXIT_REFUSED


def call_metrics(address: str, method: str, path: str) -> tuple[int, bytes]:
    """Call the metrics listener; raise UpstreamError if there is no answer."""
    exchange = Exchange.open(address, method, path, {}, b"", CALL_TIMEOUT_S)
    body = exchange.read()
    return exchange.status, body
