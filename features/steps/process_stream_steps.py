"""Test streams on real processes."""

from __future__ import annotations

import functools
import signal
from typing import Any

import gevent
from behave import given, then, when

from driftstall.helpers.trace import replay
from driftstall.util.http import Exchange
from features.worlds.process_world import (
    KEY,
    GenerationReader,
    find_owner,
    running_instances,
)
from measures.bench import Bench, wait_until


@given("{count:d} long answers are being streamed")
@when("{count:d} long answers are being streamed")
def stream_answers(context: Any, count: int) -> None:
    """Start streams and wait until all have begun."""
    context.answers = [GenerationReader(context.bench, 400) for _ in range(count)]
    for answer in context.answers:
        answer.wait_started()


@when("the instance that streams is killed")
def kill_entry(context: Any) -> None:
    """Kill the instance to which the callers are connected."""
    address = context.answers[0].caller.locate()[0]
    entry = next(each for each in context.bench.instances if each.address == address)
    entry.popen.kill()
    entry.popen.wait()


@when("the owner of the engines is {what} for a while")
def freeze_owner(context: Any, what: str) -> None:
    """Stop the owner's process, and continue it 4 s later."""
    process = find_owner(context.bench)
    process.signal(signal.SIGSTOP)
    gevent.spawn_later(4.0, process.signal, signal.SIGCONT)


@when("every instance in turn is stopped as planned and replaced")
def rolling_stop(context: Any) -> None:
    """Stop and replace each instance while generations are streamed."""
    bench = context.bench
    for process in running_instances(bench):
        context.answers.append(GenerationReader(bench, 400))
        context.answers[-1].wait_started()
        fresh = bench.start_instance()
        bench.wait_listening(fresh)
        at = len(bench.instances) - 1
        wait_until("the new one is ready", functools.partial(_is_ready, bench, at))
        process.signal(signal.SIGTERM)
        wait_until(f"{process.name} has ended", functools.partial(_has_ended, process), 60)
        assert process.popen.returncode == 0, process.popen.returncode


def _is_ready(bench: Bench, at: int) -> bool:
    """Return True if an instance is ready."""
    return bool(bench.status(at)["ready"])


def _has_ended(process: Any) -> bool:
    """Return True if a process has ended."""
    return not process.is_running


@then("all answers arrive whole, once, in order, each from one generation")
def answers_whole(context: Any) -> None:
    """Check every stream."""
    for answer in context.answers:
        answer.check()


@when('an engine is told to "{fault}"')
def script_engine(context: Any, fault: str) -> None:
    """Inject a fault at both engines."""
    scripts: dict[str, dict[str, Any]] = {
        "cut streams": {"cut_after": 20},
        "send twice": {"duplicate": True},
        "lose tokens": {"skip": 3},
        "hang": {"hang_s": 4.0},
        "refuse": {"refuse": 1},
        "behave": {"duplicate": False, "skip": 0, "cut_after": 0},
    }
    for engine in context.bench.engines:
        engine.control(scripts[fault])


@when("the first engine freezes but still answers, and {count:d} callers ask")
def freeze_engine(context: Any, count: int) -> None:
    """Freeze one engine, then start streams, some of which are sent there."""
    context.bench.engines[0].control({"freeze_s": 45.0})
    context.answers = [GenerationReader(context.bench, 20) for _ in range(count)]


@then("the frozen engine was asked, and is let go on")
def unfreeze_engine(context: Any) -> None:
    """Check that the frozen engine received work, and end the fault."""
    engine = context.bench.engines[0]
    assert engine.stats()["running"] + engine.stats().get("cancelled", 0) > 0
    engine.control({"freeze_s": 0.0})


@then("every recorded trace replays without a difference")
def traces_replay(context: Any) -> None:
    """Replay the traces of real instances through new controllers."""
    paths = sorted(context.bench.folder.glob("*.trace"))
    lines = {path.name: path.read_text().splitlines() for path in paths}
    assert sum('"Granted"' in line for trace in lines.values() for line in trace) >= 10
    for name, trace in lines.items():
        assert replay(trace) == [], name


@when("a caller asks and vanishes")
def caller_disconnects(context: Any) -> None:
    """Open a stream and close the connection after its first event."""
    address = running_instances(context.bench)[0].address
    body = (
        b'{"model":"base","stream":true,"max_tokens":4000,'
        b'"messages":[{"role":"user","content":"[length=3000]"}]}'
    )
    exchange = Exchange.open(
        address, "POST", "/v1/chat/completions", {"Authorization": f"Bearer {KEY}"}, body, 30.0
    )
    exchange.read_event()
    exchange.close()


@then("the engines are soon free again")
def engines_free(context: Any) -> None:
    """Wait until no generation is running."""
    engines = context.bench.engines
    wait_until("free", lambda: sum(engine.stats()["running"] for engine in engines) == 0)
