"""Check a gateway process beside engines that send streams without framing."""

from __future__ import annotations

import os
from typing import Any, Final

from behave import given, then, when

from driftstall.platform.names import KIND_CONFIG, KIND_UPSTREAMS, NAME_CONFIG
from features.steps.gateway_node_steps import wait_for_processes
from features.steps.stream_end_process_steps import DEADLINE_MS, TimedCaller
from features.worlds.ending_world import ALL_EVENTS
from features.worlds.gateway_world import ENGINE, document
from features.worlds.upstream_samples import entry_spec
from soak.truncation import NoCopies
from stand_ins.endings import Ending, EndingPlan, EndingUpstream, Framing
from stand_ins.routed import ReceivedRequest

PAUSE_S: Final = 0.07
WHOLE: Final = EndingPlan(Framing.CLOSE, pause_s=PAUSE_S)
CLOSED: Final = EndingPlan(Framing.CLOSE, Ending.CLOSED, pause_s=PAUSE_S)
CLOSED_LATE: Final = EndingPlan(Framing.CLOSE, Ending.CLOSED, pieces=17, pause_s=PAUSE_S)
GONE_LATE: Final = EndingPlan(
    Framing.CLOSE, Ending.GONE_LATE, pieces=17, pause_s=PAUSE_S, stop_after_s=0.3
)
CHUNKS: Final = EndingPlan(pause_s=PAUSE_S)
PLANS: Final[dict[str, tuple[EndingPlan, EndingPlan]]] = {
    "send whole streams in chunks": (CHUNKS, CHUNKS),
    "send whole streams without framing": (WHOLE, WHOLE),
    "close streams after event 7": (CLOSED, CHUNKS),
    "close streams after event 17": (CLOSED_LATE, CHUNKS),
    "close streams after event 17 and end": (GONE_LATE, CHUNKS),
    "close streams after event 17 and resume them in chunks": (CLOSED_LATE, CHUNKS),
    "close streams after event 17 and resume them without framing": (CLOSED_LATE, WHOLE),
}
"""How first and resumed runs are answered."""


@given("engines {backups}, that {act}")
def start_engines(context: Any, backups: str, act: str) -> None:
    """Register engines that answer by plans, and configure their backups."""
    first, resumed = PLANS[act]

    def plan_for(seen: ReceivedRequest) -> EndingPlan:
        return resumed if seen.is_resumed else first

    raw = document(4)
    raw["routes"] = [each | {"timeoutMs": DEADLINE_MS} for each in raw["routes"]]
    engine = ENGINE | {"backups": backups != "without backups", "moves": False}
    raw["services"] = [raw["services"][0], {"name": "engines", "engine": engine}]
    assert context.store.replace(KIND_CONFIG, NAME_CONFIG, raw) is not None
    context.engines = [EndingUpstream(f"u-{os.getpid()}-{n}", plan_for) for n in range(3)]
    has_room = backups == "with backups"
    for upstream in context.engines:
        context.add_cleanup(upstream.stop)
        upstream.peers = {other.address: other for other in context.engines}
        upstream.drops_copies = True
        if not has_room:
            upstream.copies = NoCopies()
        context.store.create(KIND_UPSTREAMS, upstream.upstream_id, entry_spec(upstream.address))


@when("{count:d} streams of 20 events are sent")
def send_streams(context: Any, count: int) -> None:
    """Send streams to the gateway, and wait for their ends."""
    address = context.nodes[0].listen["front"]

    def is_serving() -> bool:
        return TimedCaller(address, "first").received.status == 200

    wait_for_processes("it serves streams", is_serving)
    context.ids = [f"s-{number}" for number in range(count)]
    callers = [TimedCaller(address, name) for name in context.ids]
    context.answers = [caller.received for caller in callers]


@then("callers see {whole:d} whole, {reset:d} reset and {short:d} short ones in order")
def count_ends(context: Any, whole: int, reset: int, short: int) -> None:
    """Count how streams ended at their callers."""
    for answer in context.answers:
        assert answer.status == 200 and ALL_EVENTS.startswith(answer.body), answer
    in_order = [answer for answer in context.answers if answer.whole]
    complete = sum(answer.body == ALL_EVENTS for answer in in_order)
    found = (complete, len(context.answers) - len(in_order), len(in_order) - complete)
    assert found == (whole, reset, short), found


@then("each stream has begun on at most {count:d} engines")
def begun_on(context: Any, count: int) -> None:
    """Count the engines that ran each stream."""
    for name in context.ids:
        runs = sum(bool(upstream.runs(name)) for upstream in context.engines)
        assert 1 <= runs <= count, (name, runs)
