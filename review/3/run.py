"""A gateway passes on spoiled answers, which lack the runner's signature, as successes.

Two runners of four spoil one answer in 50: they answer 200 with the id of the request, but without
their signature and with other bytes than their answer.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from world import (
    REQUEST_ID,
    SEAL,
    Arrival,
    Case,
    Message,
    Runner,
    attempt,
    config,
    encode,
    plain_service,
    route,
    run_case,
)

SPOILED_EVERY = 50
"""Of each spoiling runner, one answer in 50 is spoiled."""
SPOILING = ("i-1", "i-2")
CALLS = 800
TIMEOUT_MS = 3000


async def play(case: Case) -> bool:
    """Return True if the rule MIXED was broken."""
    record = case.record

    async def work(
        runner: Runner, call: Message, arrival: Arrival, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.02)
        headers = {REQUEST_ID: arrival.request_id, SEAL: f"seal.{arrival.request_id}"}
        body = b"whole " + arrival.request_id.encode()
        is_due = runner.name in SPOILING and len(runner.arrivals) % SPOILED_EVERY == 0
        if is_due and case.has_trouble:
            del headers[SEAL]
            body = b"<html>starting</html>"
            record.add(f"{runner.name} spoils its answer to {arrival.request_id}")
        writer.write(encode("HTTP/1.1 200 OK", headers, body))
        await writer.drain()

    for number in (1, 2, 3, 4):
        runner = Runner(f"i-{number}", "portal", record, work)
        await runner.start()
        case.store.put("servers", runner.name, runner.spec())
    kinds = {"status": "unsafe", "post": "safe"}
    routes = [route(name, kind, "portal", TIMEOUT_MS) for name, kind in kinds.items()]
    case.store.put("config", "main", config(9, routes, [plain_service("portal")]))
    gateway = case.add_gateway("front-1")
    await gateway.wait_ready()
    await asyncio.sleep(1.0)
    sends = []
    for number in range(CALLS):
        path, method = ("/status/1", "POST") if number % 2 else ("/post/1", "GET")
        sending = attempt(record, gateway.front, method, path, TIMEOUT_MS)
        sends.append(asyncio.ensure_future(sending))
        await asyncio.sleep(0.02)
    mixed = 0
    for request_id, answer in await asyncio.gather(*sends):
        if 200 <= answer.status < 300 and SEAL.lower() not in answer.headers:
            mixed += 1
            record.add(f"MIXED: {request_id} got {answer.status}, unsigned: {answer.body!r}")
    record.add(f"{mixed} of {CALLS} calls got a success that lacks the signature")
    return mixed > 0


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
