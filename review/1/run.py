"""A stopping gateway takes streams that it cannot finish within graceS, and cuts them off.

Short streams on a crowded engine are sent to it on new connections, by clients that resolved the
host just before the SIGTERM and still keep that answer (three times its ttlS). The first event is
made after 1.4 s and the others every 170 ms, in time by the aims of the site's sheet (1,500 ms,
pauses 180 ms).
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from world import (
    BOUNDS,
    HOST,
    ZONE,
    Answer,
    Case,
    CaseFault,
    Runner,
    attempt,
    call,
    config,
    engine_service,
    route,
    run_case,
    stream_work,
)

FIRST_EVENT_S, EVENTS, PAUSE_S = 1.4, 9, 0.17
STREAM_TIMEOUT_MS = 6000
STREAM_HEADERS = {
    "X-Driftstall-Model": "m",
    "X-Driftstall-Token-Count": "2550,62",
    "X-Driftstall-Prompt-Prefix": "5c1e07a2:350,91bd3f06:2200",
}
SENT_AFTER_S = (3.2, 4.0, 4.8, 5.6, 5.8)
"""Times after the SIGTERM at which clients send; all below three times the ttlS of 2 s."""


async def play(case: Case) -> bool:
    """Return True if the rule LOST was broken."""
    record = case.record
    engine = Runner("i-engine", "models", record, stream_work(FIRST_EVENT_S, EVENTS, PAUSE_S))
    await engine.start()
    case.store.put("servers", engine.name, engine.spec(slots=64))
    summary = route("summary", "streaming", "models", STREAM_TIMEOUT_MS, maxAttempts=1)
    summary |= {"targetLatencyMs": 1500, "gap_aim_ms": 180, "priority": 1}
    case.store.put("config", "main", config(9, [summary], [engine_service("models")]))
    stopping = case.add_gateway("front-1")
    await stopping.wait_ready()
    other = case.add_gateway("front-2")
    await other.wait_ready()
    await asyncio.sleep(2.0)

    target = f"/api/resolve?name={HOST}&region=prairie-west&zone={ZONE}"
    located = json.loads((await call(stopping.directory, "GET", target, {})).body)
    record.add(f"the directory answers {located}")
    if stopping.front not in located["addresses"]:
        raise CaseFault("the directory does not name front-1")
    if max(SENT_AFTER_S) >= 3 * min(located["ttlS"], BOUNDS["ttl_max_s"]):
        raise CaseFault("clients keep the directory's answer for too short a time")

    stopped_at = record.now
    if case.has_trouble:
        stopping.signal(signal.SIGTERM)
        record.add("SIGTERM to front-1")

    async def send(
        after_s: float, path: str, timeout_ms: int, headers: dict[str, str]
    ) -> tuple[float, str, Answer, int]:
        await asyncio.sleep(max(0.0, stopped_at + after_s - record.now))
        request_id, answer = await attempt(
            record, stopping.front, "POST", path, timeout_ms, headers
        )
        return after_s, request_id, answer, timeout_ms

    async def kill_after_grace() -> None:
        await asyncio.sleep(max(0.0, stopped_at + BOUNDS["graceS"] - record.now))
        if case.has_trouble and stopping.is_running:
            stopping.signal(signal.SIGKILL)
            record.add("SIGKILL to front-1, as graceS is over")

    sends = []
    for after_s in SENT_AFTER_S:
        stream = send(after_s, "/summary/1", STREAM_TIMEOUT_MS, STREAM_HEADERS)
        sends.append(asyncio.ensure_future(stream))
    await kill_after_grace()
    lost = 0
    for after_s, request_id, answer, timeout_ms in await asyncio.gather(*sends):
        ran = any(arrival.request_id == request_id for arrival in engine.arrivals)
        took_s = answer.ended_at - answer.sent_at
        if ran and answer.end.startswith("closed") and took_s < timeout_ms / 1000:
            lost += 1
            record.add(
                f"LOST: {request_id}, sent {after_s} s after the SIGTERM and passed on to a runner,"
                f" was cut after {took_s:.2f} s of its {timeout_ms / 1000} s"
            )
    record.add(f"{lost} requests were passed on to a runner and cut by the planned stop")
    return lost > 0


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
