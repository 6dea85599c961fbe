"""Show the queue for engine memory, as the instance that holds it knows it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

import orjson

from driftstall.cli.crashes import call_metrics
from driftstall.cli.tables import print_table

EXIT_OK: Final = 0
PATH: Final = "/queue"


def print_queue_status(options: Mapping[str, Any]) -> int:
    """Print the queues that an instance holds, or which instance holds them."""
    _, raw = call_metrics(options["--metrics"], "GET", PATH)
    if options["--json"]:
        print(raw.decode())
        return EXIT_OK
    status = orjson.loads(raw)
    if status["placer"] is None:
        print("no placer answers: each instance chooses engines by itself")
    elif status["placer"] != status["instance"]:
        print(f"{status['placer']} holds the queue: ask its metrics address")
    elif not status["services"]:
        print("no service queues for engine memory")
    for service in status["services"]:
        _print_service(service)
    return EXIT_OK


def _print_service(service: dict[str, Any]) -> None:
    """Print the queue of one service."""
    waiting = sum(rank["waiting"] for rank in service["ranks"])
    forecast_s = service["forecast_s"]
    forecast = "none" if forecast_s is None else f"{forecast_s:g} s"
    print(
        f"service {service['service']}: {waiting} waiting, {service['free_tokens']} of "
        f"{service['total_tokens']} tokens free, forecast wait of a new request: {forecast}"
    )
    if service["ranks"]:
        print_table(("Rank", "Route_rank", "Waiting", "Longest_wait_s"), service["ranks"])
