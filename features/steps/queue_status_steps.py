"""Test what the commands and the metrics listener tell about the queue for engine memory."""

from __future__ import annotations

import contextlib
import io
import re
import tempfile
from dataclasses import asdict, replace
from pathlib import Path
from typing import Any
from unittest.mock import patch

import gevent
import orjson
from behave import given, then, when
from eliot import add_destinations, remove_destination

from driftstall.cli import main as commands
from driftstall.cli.client import Answer
from driftstall.cli.explain import explain_request
from driftstall.gateway.callers.auxiliary import AuxiliaryListener
from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.fleet_events import UpstreamsListed
from driftstall.gateway.listeners import MetricsHandler
from driftstall.gateway.model import GatewaySettings
from driftstall.gateway.routes import RouteTable
from driftstall.gateway.scheduling.cold_gate import ColdGate
from driftstall.gateway.scheduling.memory_queue import MemoryQueue
from driftstall.gateway.scheduling.queue_messages import (
    HeldRun,
    MemoryRefused,
    QueueAsked,
    RunsReported,
)
from driftstall.gateway.scheduling.queue_service import OVERLOAD_INTERVAL_S, TAKEOVER_S
from driftstall.gateway.state import GatewayState
from driftstall.platform.dialect import PlatformDialect
from driftstall.platform.documents import read_routing
from driftstall.platform.names import KIND_POLICY, NAME_POLICY
from driftstall.platform.policies import TEXT
from driftstall.platform.store import Store
from driftstall.policy.default import default_policy
from driftstall.policy.evaluate import explain
from driftstall.policy.model import Facts
from driftstall.policy.parse import parse_policy
from features.steps.placer_steps import settings_of
from features.worlds.gateway_world import document, route, wait_for
from features.worlds.upstream_samples import upstream_of
from measures.bench import Bench, free_port

OWN = "instance-0"
ENGINE_TOKENS = 34_545
FULL_S = 4.0
POLICY = 'policy "x" { rule a { rank 4; queue 1; share 3; } }'


def queued_document() -> dict[str, Any]:
    """Return a routing document in which short streams rank before long ones."""
    config = document()
    config["routes"] += [
        route("short", "/stream/short/", "streaming", "engines", priority=0, timeoutMs=1000)
    ]
    return config


def run_on(engine: str, tokens: int, ends_in_s: float) -> HeldRun:
    """Return a run without further output."""
    return HeldRun(f"held-{engine}", engine, tokens, 0, 0, "", 1, ends_in_s, False)


def report_runs(context: Any, *runs: HeldRun) -> None:
    """Report the runs of another instance."""
    context.queue.handle(RunsReported("peer-1", "a", runs))


def asked_for(request_id: str, rank: int, gives_up_s: float = 20.0) -> QueueAsked:
    """Return a question for the memory of a short stream."""
    return QueueAsked(
        sender=OWN,
        request_id=request_id,
        service="engines",
        workspace="north",
        rank=rank,
        route_rank=rank,
        share=1.0,
        prompt_tokens=1_000,
        output_tokens=0,
        hold_s=0.5,
        zone="a",
        avoid=(),
        wants_backup=False,
        waited_s=0.0,
        start_by_s=1.0,
        gives_up_s=gives_up_s,
        may_refuse=True,
        ticket=request_id,
    )


@given("the holder of the queue of 2 engines, which are idle")
def idle_holder(context: Any) -> None:
    """Create a queue on a clock that the test sets, and record the log lines."""
    context.at = 100.0
    settings: GatewaySettings = replace(settings_of(OWN), metrics_listen=f"127.0.0.1:{free_port()}")
    state = context.state = GatewayState(settings, PlatformDialect(), default_policy())
    state.now = lambda: context.at  # type: ignore[method-assign]
    state.route_table = RouteTable.from_document(read_routing(queued_document()))
    state.fleet.handle(UpstreamsListed((upstream_of("e1"), upstream_of("e2"))), context.at)
    context.placers = (OWN,)
    context.queue = MemoryQueue(
        state,
        roles=lambda: FleetRoles(is_large=True, placers=context.placers),
        send=lambda recipient, message: context.sent.append(message),
        placer_gate=ColdGate(state.cold, state.rng, lambda service: None, state.now),
    )
    context.sent, context.lines = [], []
    add_destinations(context.lines.append)
    # The first destination of a process also gets the lines of the scenarios before.
    context.lines.clear()
    context.add_cleanup(remove_destination, context.lines.append)
    context.jobs = []
    context.add_cleanup(lambda: gevent.killall(context.jobs))
    report_runs(context)
    context.at += TAKEOVER_S
    context.queue.start()


@given("the holder of the queue of 2 engines, whose memory is full for 4 s")
def full_holder(context: Any) -> None:
    """Create a queue, and report a run that fills each engine."""
    idle_holder(context)
    report_runs(context, *(run_on(name, ENGINE_TOKENS, FULL_S) for name in ("e1", "e2")))


@given("{first:d} requests of rank 0 and {second:d} of rank 1 wait there")
def others_wait(context: Any, first: int, second: int) -> None:
    """Ask on behalf of other instances."""
    context.others = [
        replace(asked_for(f"other-{rank}-{number}", rank), sender="peer-1")
        for rank, count in enumerate((first, second))
        for number in range(count)
    ]
    for asked in context.others:
        context.queue.handle(asked)


def position_of_last(context: Any) -> int:
    """Return the position of the last of the others, as of the latest forecast."""
    context.queue.handle(context.others[-1])
    position: int = context.sent[-1].position
    return position


@given('a placer "{name}" before it that gives no answer')
def silent_placer(context: Any, name: str) -> None:
    """Make another instance the first placer; messages to it are lost."""
    context.placers = (name, OWN)


def lines_of(context: Any, request_id: str) -> list[str]:
    """Return the messages of the lines that name a request."""
    return [line["message"] for line in context.lines if line.get("request") == request_id]


@when('"{request_id}" of rank {rank:d} asks for memory')
def asks(context: Any, request_id: str, rank: int, gives_up_s: float = 20.0) -> None:
    """Ask in another greenlet, and wait until the request is queued, or has an answer."""
    asked = asked_for(request_id, rank, gives_up_s)
    job = gevent.spawn(context.state.acquire_memory, asked, lambda: False)
    context.jobs.append(job)
    wait_for("it waits or is answered", lambda: job.ready() or bool(lines_of(context, request_id)))


@when('"{request_id}" of rank {rank:d} asks for memory and can wait for {seconds:d} s')
def asks_shortly(context: Any, request_id: str, rank: int, seconds: int) -> None:
    """Ask, and wait for the refusal."""
    asks(context, request_id, rank, float(seconds))
    wait_for("it is refused", context.jobs[-1].ready)
    context.refused = context.jobs[-1].value


@when('after {seconds:g} s the memory of "{engine}" is released')
def released(context: Any, seconds: float, engine: str) -> None:
    """Report a run less, after a check whether the waiting requests can start in time."""
    context.at += 2 * OVERLOAD_INTERVAL_S
    wait_for("a forecast is made", lambda: position_of_last(context) == len(context.others))
    context.at += seconds - 2 * OVERLOAD_INTERVAL_S
    kept = [name for name in ("e1", "e2") if name != engine]
    report_runs(context, *(run_on(name, ENGINE_TOKENS, FULL_S) for name in kept))
    wait_for("it is granted", context.jobs[-1].ready)


def explained(context: Any, request_id: str) -> str:
    """Return what the command tells from the recorded lines."""
    if not hasattr(context, "files"):
        path = Path(tempfile.mkdtemp()) / f"{OWN}.log"
        path.write_bytes(b"\n".join(orjson.dumps(line, default=str) for line in context.lines))
        context.files = [str(path)]
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        assert explain_request(request_id, context.files) == 0
    return output.getvalue()


@then('explaining "{request_id}" tells "{first}" and "{second}"')
def tells(context: Any, request_id: str, first: str, second: str) -> None:
    """Search the summary."""
    context.told = explained(context, request_id)
    summary = [line for line in context.told.splitlines() if line.startswith("engine memory:")]
    for words in (first, second):
        assert any(words in line for line in summary), (words, context.told)


@then("it tells a forecast of {low:g} to {high:g} s")
def tells_forecast(context: Any, low: float, high: float) -> None:
    """Compare the forecast of the granted request, which is made before the memory is released."""
    match = re.search(r"\(forecast ([\d.]+) s\)", context.told)
    assert match and low <= float(match[1]) <= high, context.told


@then("no line tells a forecast that was not made yet")
def tells_no_zero(context: Any) -> None:
    """Check the line on arrival: it would read as if the request were to start at once."""
    assert "A stream waits" in context.told, context.told
    assert "forecast_s=0.0" not in context.told, context.told


@then("it tells the time to return that the caller got")
def tells_return(context: Any) -> None:
    """Compare the times to return."""
    assert isinstance(context.refused, MemoryRefused), context.refused
    words = f"told to return after {context.refused.retry_after_s:.3f} s"
    assert words in context.told, (words, context.told)


@then('explaining "{request_id}" tells nothing of engine memory')
def tells_nothing(context: Any, request_id: str) -> None:
    """Check that there is no summary."""
    assert "engine memory" not in explained(context, request_id)


def page(context: Any) -> Any:
    """Return the page of the queue as JSON, by the listener that serves it."""
    if not hasattr(context, "listener"):
        handler = MetricsHandler(context.state, dict, context.queue.status)
        listener = AuxiliaryListener(context.state.settings.metrics_listen, handler, context.state)
        context.listener = listener
        listener.start()
    return orjson.loads(run_status(context, "--json"))


def run_status(context: Any, *words: str) -> str:
    """Run the command and return its output."""
    output = io.StringIO()
    address = context.state.settings.metrics_listen
    with contextlib.redirect_stdout(output):
        assert commands.main(["status", "queue", f"--metrics={address}", *words]) == 0
    return output.getvalue()


@then(
    "its page shows {first:d} waiting of rank 0, {second:d} of rank 1, and no free memory of "
    "{total:d} tokens"
)
def page_shows(context: Any, first: int, second: int, total: int) -> None:
    """Compare the page."""
    shown = page(context)
    assert (shown["instance"], shown["placer"]) == (OWN, OWN), shown
    (context.service,) = shown["services"]
    ranks = [(row["rank"], row["waiting"]) for row in context.service["ranks"]]
    assert ranks == [(0, first), (1, second)], shown
    assert (context.service["free_tokens"], context.service["total_tokens"]) == (0, total), shown


@then("it forecasts that a new request waits {low:g} to {high:g} s")
def page_forecasts(context: Any, low: float, high: float) -> None:
    """Compare the forecast."""
    assert low <= context.service["forecast_s"] <= high, context.service


@then('"driftstall status queue" shows the same as a table and as JSON')
def command_shows(context: Any) -> None:
    """Compare the table with the page."""
    printed = run_status(context)
    service = context.service
    assert f"service {service['service']}: 5 waiting, 0 of {service['total_tokens']}" in printed
    rows = [line.split()[:3] for line in printed.splitlines()[2:]]
    assert rows == [["0", "0", "2"], ["1", "1", "3"]], printed


@then("its page shows nobody waiting, {free:d} free tokens and no wait for a new request")
def page_idle(context: Any, free: int) -> None:
    """Compare the page."""
    (service,) = page(context)["services"]
    assert service["ranks"] == [] and service["free_tokens"] == free, service
    assert service["forecast_s"] == 0, service


@then('its page names "{name}" and no service')
def page_names(context: Any, name: str) -> None:
    """Compare the page."""
    shown = page(context)
    assert shown["placer"] == name and shown["services"] == [], shown


@then('"driftstall status queue" tells to ask "{name}"')
def command_names_holder(context: Any, name: str) -> None:
    """Check the command's hint."""
    assert f"{name} holds the queue" in run_status(context)


@given("the store's stand-in with a policy that has a queue rank")
def store_policy(context: Any) -> None:
    """Start a store that holds a policy with a queue rank."""
    bench = Bench()
    context.add_cleanup(bench.close)
    context.store_address = bench.start_platform().address
    assert Store(context.store_address).create(KIND_POLICY, NAME_POLICY, {TEXT: POLICY})


@then(
    '"driftstall policy explain" on the store shows queue_rank {queue:d}, rank {rank:d} and share '
    "{share:d}"
)
def store_explains(context: Any, queue: int, rank: int, share: int) -> None:
    """Run the command on the store."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        words = ["policy", "explain", "stream", "north", f"--store={context.store_address}"]
        assert commands.main(words) == 0
    lines = [line.strip() for line in output.getvalue().splitlines()]
    assert {f"queue_rank = {queue}", f"rank = {rank}", f"share = {share}"} <= set(lines), lines


@then(
    '"driftstall policy explain" at an instance shows queue_rank {queue:d} for a rule with rank '
    "{rank:d} alone"
)
def instance_explains(context: Any, queue: int, rank: int) -> None:
    """Run the command with the answer that an instance gives by this policy."""
    policy = parse_policy(f'policy "x" {{ rule a {{ rank {rank}; }} }}')
    explanation = explain(policy, Facts("chat", "north", "base", 1, 1, 0.0, 12))
    answer = Answer(200, orjson.loads(orjson.dumps(asdict(explanation))))
    output = io.StringIO()
    with (
        patch.object(commands, "call_json", lambda *values: answer),
        contextlib.redirect_stdout(output),
    ):
        assert commands.main(["policy", "explain", "chat", "north"]) == 0
    assert f"queue_rank = {queue}" in output.getvalue(), output.getvalue()
