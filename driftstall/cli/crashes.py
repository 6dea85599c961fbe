"""Show the requests and prompt parts that are quarantined for crashes, and clear one of them."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, Final

import orjson

from driftstall.cli.tables import print_table
from driftstall.decisions.poison_subjects import is_part
from driftstall.util.http import Exchange

EXIT_OK: Final = 0
EXIT_REFUSED: Final = 1
CALL_TIMEOUT_S: Final = 5.0
PATH: Final = "/crashes"
COLUMNS: Final = (
    "Fingerprint",
    "Kind",
    "Wait_s",
    "Refused",
    "Workspaces",
    "Companions",
    "Upstreams",
)
LISTS: Final = ("upstreams", "companions", "workspaces")


def run_crashes(options: Mapping[str, Any]) -> int:
    """Run the command at one instance, which forwards a cleared request to the others."""
    if options["clear"]:
        return _clear(options["--metrics"], options["FINGERPRINT"])
    _, raw = call_metrics(options["--metrics"], "GET", PATH)
    if options["--json"]:
        print(raw.decode())
        return EXIT_OK
    rows = [_to_cells(row) for row in orjson.loads(raw)]
    print_table(COLUMNS, rows)
    return EXIT_OK


def _to_cells(row: dict[str, Any]) -> dict[str, Any]:
    """Return a quarantine with its lists as text; an instance of an earlier build sends fewer."""
    lists = {name: " ".join(row.get(name, ())) for name in LISTS}
    return {"kind": "request", "refused": ""} | row | lists


def _clear(address: str, fingerprint: str) -> int:
    """Lift the quarantine of a request."""
    status, _ = call_metrics(address, "DELETE", f"{PATH}/{fingerprint}")
    if status == HTTPStatus.OK:
        kind = "prompt part" if is_part(fingerprint) else "request"
        print(f"{kind} {fingerprint} may be sent again")
        return EXIT_OK
    print(f"driftstall: nothing is held against {fingerprint}", file=sys.stderr)
    return EXIT_REFUSED


def call_metrics(address: str, method: str, path: str) -> tuple[int, bytes]:
    """Call the metrics listener; raise UpstreamError if there is no answer."""
    exchange = Exchange.open(address, method, path, {}, b"", CALL_TIMEOUT_S)
    body = exchange.read()
    return exchange.status, body
