"""One request that states a prompt larger than any runner's memory ends a gateway process.

Clients send plain calls to two gateways on connections that they keep. Then one client sends one
stream request whose X-Driftstall-Token-Count states a prompt of 2,147,483,647 tokens. The runner
rejects it as though it were full, as PROTOCOL.md says of a request larger than its memory.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from world import (
    REQUEST_ID,
    SECRET,
    Answer,
    Arrival,
    Case,
    Gateway,
    KeptConnection,
    Message,
    Runner,
    attempt,
    config,
    encode,
    engine_service,
    new_id,
    plain_service,
    plain_work,
    route,
    run_case,
    stream_work,
)

MEMORY_TOKENS = 34_545
LARGE_PROMPT = 2_147_483_647
REJECTED_AFTER_S = 0.25
"""Time for which such a request is in the runner's queue before it is rejected."""
CLIENTS = 8
"""Clients of each gateway that keep their connection for many calls."""
WORK_S = 0.3
PLAY_S = 6.0
TIMEOUT_MS = 3000


async def engine_work(
    runner: Runner, call: Message, arrival: Arrival, writer: asyncio.StreamWriter
) -> None:
    """Stream events, or reject a request that is larger than the memory."""
    if int(call.headers["x-driftstall-token-count"].split(",")[0]) > MEMORY_TOKENS:
        await asyncio.sleep(REJECTED_AFTER_S)
        headers = {REQUEST_ID: arrival.request_id, "X-Driftstall-Not-Executed": "1"}
        writer.write(encode("HTTP/1.1 503 Service Unavailable", headers))
        return
    await stream_work(0.3, 12, 0.1)(runner, call, arrival, writer)


async def play(case: Case) -> bool:
    """Return True if the rule LOST was broken."""
    record = case.record
    engine = Runner("i-engine", "models", record, engine_work)
    portal = Runner("i-portal", "portal", record, plain_work(lambda _: WORK_S))
    for runner in (engine, portal):
        await runner.start()
    case.store.put("servers", engine.name, engine.spec(slots=64))
    case.store.put("servers", portal.name, portal.spec(slots=32))
    chat = route("chat", "streaming", "models", 6000, maxAttempts=1)
    chat |= {"targetLatencyMs": 1500, "gap_aim_ms": 180}
    routes = [chat, route("status", "unsafe", "portal", TIMEOUT_MS, maxAttempts=1)]
    services = [engine_service("models"), plain_service("portal")]
    case.store.put("config", "main", config(9, routes, services))
    for name in ("front-1", "front-2"):
        await case.add_gateway(name).wait_ready()
    await asyncio.sleep(1.0)

    calls: list[tuple[str, Gateway, bool, Answer]] = []
    until = record.now + PLAY_S

    async def keep_calling(gateway: Gateway) -> None:
        connection = KeptConnection(gateway.front)
        while record.now < until:
            request_id, is_kept = new_id(), connection.served > 0
            headers = {REQUEST_ID: request_id, "X-Driftstall-Deadline-Ms": str(TIMEOUT_MS)}
            headers["Authorization"] = f"Bearer {SECRET}"
            answer = await connection.send("POST", "/status/1", headers, TIMEOUT_MS / 1000)
            calls.append((request_id, gateway, is_kept, answer))
            if not answer.is_whole:
                record.add(f"client gets for call {request_id}: {answer.end}")
                await asyncio.sleep(0.5)

    clients = [
        asyncio.ensure_future(keep_calling(gateway))
        for gateway in case.gateways
        for _ in range(CLIENTS)
    ]
    await asyncio.sleep(2.0)
    prompt = LARGE_PROMPT if case.has_trouble else 2_550
    headers = {
        "X-Driftstall-Model": "m",
        "X-Driftstall-Token-Count": f"{prompt},62",
        "X-Driftstall-Prompt-Prefix": f"5c1e07a2:350,91bd3f06:{prompt - 350}",
    }
    record.add(f"a client sends one request that states a prompt of {prompt} tokens")
    await attempt(record, case.gateways[0].front, "POST", "/chat/1", 6000, headers)
    await asyncio.gather(*clients)

    for gateway in case.gateways:
        record.add(f"{gateway.name}: exit code {gateway.exit_code} (None: it still runs)")
    ran = {arrival.request_id for arrival in portal.arrivals}
    lost = [
        request_id
        for request_id, _, is_kept, answer in calls
        if is_kept and request_id in ran and answer.end == "closed without an answer"
    ]
    record.add(
        f"{sum(answer.is_whole for *_, answer in calls)} of {len(calls)} calls were answered"
    )
    record.add(
        f"{len(lost)} requests from kept connections were passed on to a sound runner, and their"
        " connections were closed without an answer (the rule allows 3)"
    )
    return len(lost) > 3


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
