"""Test on real processes that requests which crash runners are quarantined."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import Any

import gevent
import orjson
from behave import given, then, when

from driftstall.util.http import Exchange
from features.worlds.process_world import KEY, GenerationReader
from measures.bench import Bench, Process, wait_until

WORKSPACES = ("north", "plains")
CALL_S = 20.0
CALL_PAUSE_S = 0.1
NUMBERS = itertools.count(1)
SYSTEM = "Answer students of the enrolment desk"
PROMPT = {
    "model": "base",
    "max_tokens": 100,
    "stream": True,
    "messages": [{"role": "user", "content": "never answered [crash] [length=50]"}],
}


@given("3 instances with {engines:d} engines and {portals:d} portals of their own")
def own_bench(context: Any, engines: int, portals: int) -> None:
    """Start a separate system, since the scenario crashes its runners."""
    bench = context.own = Bench()
    context.add_cleanup(bench.close)
    bench.start_platform()
    bench.start_engines(engines)
    bench.start_services("portal", portals)
    bench.start(3)
    with open("examples/both.policy", encoding="utf-8") as text:
        assert bench.submit(text.read(), WORKSPACES).status == 200
    bench.wait_ready(3)


@dataclass(frozen=True, slots=True)
class Reply:
    """A response to a caller."""

    status: int
    retry_after: str
    body: bytes


def post(process: Process, path: str, body: Any) -> Reply:
    """Send one request as a caller."""
    headers = {"Authorization": f"Bearer {KEY}", "Content-Type": "application/json"}
    exchange = Exchange.open(process.address, "POST", path, headers, orjson.dumps(body), CALL_S)
    return Reply(exchange.status, exchange.header("retry-after"), exchange.read())


@when("the same fatal prompt is asked {count:d} times, at the instances by turns")
def ask_fatal(context: Any, count: int) -> None:
    """Send the prompts one after the other."""
    instances = context.own.instances
    context.replies = [
        post(instances[index % len(instances)], "/v1/chat/completions", PROMPT)
        for index in range(count)
    ]


def prompt_with(*messages: str) -> dict[str, Any]:
    """Return a prompt with some messages, and one of its own."""
    own = f"question {next(NUMBERS)} [length=20]"
    turns = [{"role": "user", "content": content} for content in (*messages, own)]
    return PROMPT | {"messages": [{"role": "system", "content": SYSTEM}, *turns]}


@when("prompts with the same fatal message are asked {count:d} times, at the instances by turns")
def ask_fatal_messages(context: Any, count: int) -> None:
    """Send prompts that share the instructions and a fatal message."""
    instances = context.own.instances
    context.replies = []
    for index in range(count):
        prompt = prompt_with("a document that crashes [crash]")
        instance = instances[index % len(instances)]
        context.replies.append(post(instance, "/v1/chat/completions", prompt))
        gevent.sleep(CALL_PAUSE_S)


@then("prompts with their other messages are answered whole")
def others_whole(context: Any) -> None:
    """Send a prompt with the same instructions to each instance."""
    for instance in context.own.instances:
        reply = post(instance, "/v1/chat/completions", prompt_with("a document"))
        assert reply.status == 200 and b"[DONE]" in reply.body, reply


@when("the same fatal call is made {count:d} times, at the instances by turns")
def call_fatal(context: Any, count: int) -> None:
    """Send the calls one after the other."""
    context.replies = []
    for index in range(count):
        instance = context.own.instances[index % 3]
        context.replies.append(post(instance, "/services/portal/crash", {}))
        # Reports between instances take longer than a call; real callers pause, too.
        gevent.sleep(CALL_PAUSE_S)


@then("at most {most:d} engines have ended")
def engines_ended(context: Any, most: int) -> None:
    """Check the number of engines that have ended."""
    ended = sum(not engine.is_running for engine in context.own.engines)
    assert 0 < ended <= most, ended


@then("at most {most:d} portals have ended")
def portals_ended(context: Any, most: int) -> None:
    """Check the number of portals that have ended."""
    ended = sum(not service.is_running for service in context.own.services)
    assert 0 < ended <= most, ended


@then('the last of its answers says "not run" and when to come back')
def last_refused(context: Any) -> None:
    """Check the last response."""
    last = context.replies[-1]
    assert last.status == 503 and b"crashes_runners" in last.body, context.replies
    assert b'"ran":"not run"' in last.body and float(last.retry_after) > 0, last


@then("another prompt is answered whole")
def another_whole(context: Any) -> None:
    """Check that another generation completes."""
    GenerationReader(context.own, 20).check()


def refused_at(context: Any, index: int) -> list[dict[str, Any]]:
    """Return the quarantined requests that one instance lists."""
    answer = context.own.operator(index, "GET", "/operator/crashes")
    assert answer.status == 200, answer
    found: list[dict[str, Any]] = answer.value["crashes"]
    return found


@then("the first instance names one request that is refused, with the engines that have ended")
def lists_quarantined(context: Any) -> None:
    """Check the quarantined request that the operators' listener reports."""
    (refused,) = refused_at(context, 0)
    ended = {engine.name for engine in context.own.engines if not engine.is_running}
    assert set(refused["upstreams"]) == ended, (refused, ended)
    context.fingerprint = refused["fingerprint"]


@when("the operator clears it there")
def clear(context: Any) -> None:
    """Clear the quarantine at the first instance."""
    path = f"/operator/crashes/{context.fingerprint}"
    assert context.own.operator(0, "DELETE", path).status == 200


@then("no instance names one")
def none_names(context: Any) -> None:
    """Wait until no instance lists a quarantined request."""

    def is_cleared() -> bool:
        return not any(refused_at(context, index) for index in range(3))

    wait_until("it is cleared everywhere", is_cleared)
