"""Check gateway processes beside engines that answer the instance's own requests without end."""

from __future__ import annotations

from typing import Any, Final

from behave import given, then, when

from driftstall.platform.names import KIND_UPSTREAMS
from features.steps.endless_stream_steps import read_stream
from features.steps.endless_upstream_steps import (
    broken_stream,
    configure_endless,
    register,
    send_crowd,
)
from features.steps.gateway_node_steps import wait_for_processes
from features.worlds.upstream_samples import entry_spec
from stand_ins.endless import ENDLESS, MOVE_PATH, REPORT_PATH, EndlessSender, EndlessUpstream
from stand_ins.routed import RoutedUpstream, Script

SERVICE: Final = "endless-engines"


def slow_stream() -> Script:
    """Return the script of a stream that takes some seconds."""
    return Script(events=40, event_pause_s=0.1)


KINDS: Final = {"probes": (REPORT_PATH, broken_stream), "moves": (MOVE_PATH, slow_stream)}
"""The path of the instance's own requests, and the script of the streams that cause them."""


@given("{count:d} engines that answer {requests} with {data} without end")
def endless_engines(context: Any, count: int, requests: str, data: str) -> None:
    """Register engines that share one counter."""
    configure_endless(context)
    path, script = KINDS[requests]
    context.sender = EndlessSender(ENDLESS[data])
    context.engines = []
    for number in range(count):
        engine = EndlessUpstream(f"endless-{number}", ENDLESS[data], path, script)
        engine.sender = context.sender
        register(context, SERVICE, engine)
        context.engines.append(engine)
    context.endless = context.engines[0]


@when("{count:d} callers use their streams, and the engines are probed")
def use_streams(context: Any, count: int) -> None:
    """Send streams that break off."""
    send_crowd(context, ["/stream/endless/a"] * count, 4, read_stream)


@when("{count:d} callers use their streams, and all engines but a new one leave")
def leave(context: Any, count: int) -> None:
    """Send streams, and have their engines leave while the streams run."""
    started = lambda: sum(len(engine.running) for engine in context.engines)  # noqa: E731
    context.sender.started = 1
    send_crowd(context, ["/stream/endless/a"] * count, 4, read_stream)
    context.sender.started = 0
    wait_for_processes("the streams run", lambda: started() >= count)
    register(context, SERVICE, RoutedUpstream("sound-1", slow_stream))
    for engine in context.engines:
        spec = entry_spec(engine.address, SERVICE, state="draining", seq=2)
        assert context.store.replace(KIND_UPSTREAMS, engine.upstream_id, spec) is not None


@then("at least {count:d} such answers have begun")
def have_begun(context: Any, count: int) -> None:
    """Wait for the instance's own requests."""
    wait_for_processes(f"{count} answers", lambda: context.sender.started >= count)


@then("the instance has given up all of them")
def gave_up(context: Any) -> None:
    """Wait until the instance has closed the connections."""
    wait_for_processes("closed", lambda: context.sender.closed >= context.sender.started)
