"""Test on real processes that calls which may not be repeated run at most once."""

from __future__ import annotations

from typing import Any

from behave import then, when

from driftstall.const import KEY_CLAIMS
from driftstall.controllers.claims import SHARDS
from driftstall.platform.client import PlatformClient
from features.worlds.process_world import (
    count_runs,
    running_instances,
    service_call,
)
from measures.bench import wait_until


@when('the platform is told "{fault}"')
def script_platform(context: Any, fault: str) -> None:
    """Inject a fault of the platform."""
    scripts: dict[str, dict[str, Any]] = {
        "down": {"down_s": 6.0},
        "up": {"down_s": 0.0, "slow_s": 0.0, "lose_answers": 0},
        "lose one answer": {"lose_answers": 1},
        "slow": {"slow_s": 0.7},
    }
    context.bench.platform.control(scripts[fault])


@when('a call with key "{key}" is made while the answer is lost')
def call_lost(context: Any, key: str) -> None:
    """Let the service run the call and drop its response."""
    for service in context.bench.services:
        service.control({"drop_answers": 1})
    context.reply = service_call(context, "POST", key)
    for service in context.bench.services:
        service.control({"drop_answers": 0})


@when('a call with key "{key}" is made while unframed answers are truncated')
def call_truncated(context: Any, key: str) -> None:
    """Let the service run the call and end its close-delimited response early."""
    for service in context.bench.services:
        service.control({"truncate_answers": 1})
    context.reply = service_call(context, "POST", key)
    for service in context.bench.services:
        service.control({"truncate_answers": 0})


@when('a call with key "{key}" is made')
def call_with_key(context: Any, key: str) -> None:
    """Send one call with a claim."""
    context.reply = service_call(context, "POST", key)


@when('a {method} marked as not repeatable is made as "{call}" while the answer is lost')
def call_unkeyed(context: Any, method: str, call: str) -> None:
    """Send a call without a key, and let the service drop its response."""
    for service in context.bench.services:
        service.control({"drop_answers": 1})
    context.reply = service_call(context, method, "", call=call, Driftstall_Repeatable="false")
    for service in context.bench.services:
        service.control({"drop_answers": 0})


@then('the answer is {status:d} and says "{text}"')
def answer_is(context: Any, status: int, text: str) -> None:
    """Check the status and the body of the response."""
    assert context.reply[0] == status, context.reply
    assert text.encode() in context.reply[1], context.reply


@then('call "{call}" has run {count:d} times')
def has_run(context: Any, call: str, count: int) -> None:
    """Check the number of runs that the upstreams report."""
    assert count_runs(context.bench, call) == count, count_runs(context.bench, call)


@when('the outcome of "{key}" is stored')
def outcome_stored(context: Any, key: str) -> None:
    """Wait until the platform has stored the outcome of the claim."""
    client = PlatformClient(context.bench.platform.address)

    def stored() -> bool:
        for shard in range(SHARDS):
            value = client.get(f"{KEY_CLAIMS}/{shard}").value
            for claim in value["claims"] if value else ():
                if claim[4] is not None and key in claim[4][2]:
                    return True
        return False

    wait_until("stored", stored)


@when("all instances are killed and replaced")
def replace_all(context: Any) -> None:
    """Kill every instance at once and start new ones."""
    bench = context.bench
    killed = running_instances(bench)
    for instance in killed:
        instance.popen.kill()
    for instance in killed:
        instance.popen.wait()
        bench.list_member(
            instance.name, {"role": "entry", "address": instance.address, "state": "gone"}
        )
    for _ in range(3):
        bench.wait_listening(bench.start_instance())
    bench.wait_ready(3)
