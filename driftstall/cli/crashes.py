"""Show which requests are refused as upstreams have crashed under them, and clear one."""

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
    """Run the command at one instance, which tells the others."""
    if options["clear"]:
        return _clear(options["--metrics"], options["FINGERPRINT"])
    _, raw = _call(options["--metrics"], "GET", PATH)
    if options["--json"]:
        print(raw.decode())
        return EXIT_OK
    rows = [one | {"upstreams": " ".join(one["upstreams"])} for one in orjson.loads(raw)]
    print_table(("Fingerprint", "Wait_s", "Upstreams"), rows)
    return EXIT_OK


def _clear(address: str, fingerprint: str) -> int:
    """Hold nothing more against one request."""
    status, _ = _call(address, "DELETE", f"{PATH}/{fingerprint}")
    if status == HTTPStatus.OK:
        print(f"request {fingerprint} may be sent again")
        return EXIT_OK
    print(f"driftstall: nothing is held against a request {fingerprint}", file=sys.stderr)
    return EXIT_REFUSED


def _call(address: str, method: str, path: str) -> tuple[int, bytes]:
    """Make one call; raise UpstreamError in vain."""
    exchange = Exchange.open(address, method, path, {}, b"", CALL_TIMEOUT_S)
    body = exchange.read()
    return exchange.status, body
