"""Test the gateway's plain calls against stand-ins of its upstreams."""

from __future__ import annotations

import time
from dataclasses import replace
from typing import Any

from behave import given, then, when
from eliot import add_destinations, remove_destination

from driftstall.gateway.model import Bounds
from features.worlds.gateway_world import (
    KEY,
    GatewayWorld,
    assert_refused_with_retry_after,
    request_bytes,
    runs,
    script_upstreams,
    wait_for,
    world_of,
)
from stand_ins.routed import Script

FORGED = {
    "Hold": "h1",
    "Pin_Ms": "9000",
    "Kv_Backup": "127.0.0.1:1",
    "Kv_From": "127.0.0.1:1/x",
    "Kv_Fetch": "127.0.0.1:1",
    "Priority": "0",
    "Expect_Version": "7",
    "Last_Event_Id": "3",
    "X_Driftstall_Tenant": "plains",
    "X_Driftstall_Expect_Instance": "another",
}


@given("a gateway before two plain upstreams and three engines")
def start_world(context: Any) -> None:
    """Start a gateway with stand-ins, and stop them after the scenario."""
    context.world = GatewayWorld()
    context.add_cleanup(context.world.close)


@given("no repeats are left in the common budget")
def no_repeats(context: Any) -> None:
    """Set the site's retry bounds to zero and record the log lines."""
    state = world_of(context).state
    state.settings = replace(state.settings, bounds=Bounds(retry_ratio=0.0, retry_extra=0.0))
    context.logged = []
    add_destinations(context.logged.append)
    context.add_cleanup(remove_destination, context.logged.append)


@then('the log tells that the budget allowed "{request_id}" no further send, and why')
def budget_logged(context: Any, request_id: str) -> None:
    """Check the log line and its fields."""
    lines = [line for line in context.logged if "allows no further send" in line["message"]]
    assert [line["request"] for line in lines] == [request_id], context.logged
    assert (lines[0]["own_requests"], lines[0]["allowed"]) == (1, 0.0), lines


@when('"{path}" is asked as "{request_id}"')
def ask(context: Any, path: str, request_id: str) -> None:
    """Send a request, and keep its response and the time it took."""
    started_at = time.monotonic()
    context.answer = world_of(context).ask(path, request_id)
    context.took = time.monotonic() - started_at


@when('a request for "{path}" with forged headers is asked as "{request_id}"')
def ask_forged(context: Any, path: str, request_id: str) -> None:
    """Send a request with headers that only the gateway may set."""
    context.answer = world_of(context).ask(path, request_id, **FORGED)


@when('a request for "{path}" with key "{which}" is asked as "{request_id}"')
def ask_with_key(context: Any, path: str, request_id: str, which: str) -> None:
    """Send a request with a valid, an invalid or no key."""
    key = {"right": f"Bearer {KEY}", "wrong": "Bearer wrong", "none": ""}[which]
    context.answer = world_of(context).ask(path, request_id, Authorization=key)


@then('the answer is {status:d} "{body}" with the upstream\'s seal')
def whole_answer(context: Any, status: int, body: str) -> None:
    """Check that the response is the complete one of the upstream."""
    answer = context.answer
    assert (answer.status, answer.body, answer.whole) == (status, body.encode(), True), answer
    assert answer.headers["x-driftstall-response-seal"] == "seal", answer


@then("the answer is {status:d} and promises nothing")
def may_have_run(context: Any, status: int) -> None:
    """Check an error response after which the request may have run."""
    answer = context.answer
    assert answer.status == status, answer
    assert "retry-after" not in answer.headers, answer
    assert "x-driftstall-response-seal" not in answer.headers, answer


@then("the answer is {status:d} and tells that nothing ran")
def not_run(context: Any, status: int) -> None:
    """Check a response that states that the request was not executed."""
    assert context.answer.status == status, context.answer
    assert b'"not run"' in context.answer.body, context.answer


@then("the answer is 503 and tells when to come back")
def refused_with_retry_after(context: Any) -> None:
    """Check a refusal with a Retry-After header."""
    assert_refused_with_retry_after(context.answer)


@then("it came within {seconds:g} s")
def came_within(context: Any, seconds: float) -> None:
    """Check the time until the response."""
    assert context.took <= seconds, context.took


@then('one upstream has run "{request_id}" with method {method}, target "{target}" and its body')
def passed_on(context: Any, request_id: str, method: str, target: str) -> None:
    """Check the request that the upstream received."""
    (upstream,) = runs(world_of(context), request_id)
    (seen,) = [request for request in upstream.seen if request.request_id == request_id]
    assert (seen.method, seen.target, seen.body) == (method, target, b"body"), seen


@then('"{request_id}" has run on {count:d} upstreams')
def has_run_on(context: Any, request_id: str, count: int) -> None:
    """Check the number of upstreams that ran the request."""
    assert len(runs(world_of(context), request_id)) == count


@then('no forged header has reached the upstream of "{request_id}"')
def no_forged(context: Any, request_id: str) -> None:
    """Check that the forged values were not forwarded."""
    (upstream,) = runs(world_of(context), request_id)
    headers = upstream.seen[-1].headers
    for name, value in FORGED.items():
        assert headers.get(name.replace("_", "-").lower()) != value, (name, headers)


@then('the upstream of "{request_id}" was told workspace "{name}" and its own id, and no key')
def has_gateway_headers(context: Any, request_id: str, name: str) -> None:
    """Check the headers that the gateway sets itself."""
    (upstream,) = runs(world_of(context), request_id)
    headers = upstream.seen[-1].headers
    assert headers["x-driftstall-tenant"] == name
    assert headers["x-driftstall-expect-instance"] == upstream.upstream_id
    assert 0 < int(headers["x-driftstall-deadline-ms"]) <= 3000
    assert "authorization" not in headers


@given('the first upstream of "{request_id}" will answer 500')
def one_failure(context: Any, request_id: str) -> None:
    """Script one failure of an upstream."""
    script_upstreams(world_of(context), request_id, [Script(status=500, body=b"failed")])


@given('the first 2 upstreams of "{request_id}" will answer 500')
def two_failures(context: Any, request_id: str) -> None:
    """Script a failure of two upstreams."""
    failures = [Script(status=500, body=b"failed"), Script(status=500, body=b"failed")]
    script_upstreams(world_of(context), request_id, failures)


FAULTS = {
    "reset": Script(reset=True),
    "cut its answer short": Script(cut_after=2),
    "break off inside chunks": Script(unframed=True, cut_after=2),
    "answer another request first": Script(surplus_before=True),
    "send more after its answer": Script(surplus_after=True),
    "answer without a length": Script(unframed=True),
    "answer without a length and be reset": Script(unframed=True, cut_after=2),
    "hang": Script(hang=True),
    "say by the status alone that it is not the one meant": Script(misdirected=True),
    "answer another request without a length, and close": Script(only_another=True),
}


@given('the upstream of "{request_id}" will {fault}')
def script_fault(context: Any, request_id: str, fault: str) -> None:
    """Script one fault, in a copy since a script holds the state of its request."""
    script = FAULTS[fault].with_new_events()
    context.script = script
    script_upstreams(world_of(context), request_id, [script])


@given('the first upstream of "{request_id}" will turn it away')
@given('the first engine of "{request_id}" will turn it away')
def turned_away_once(context: Any, request_id: str) -> None:
    """Script one upstream to refuse the request without running it."""
    script_upstreams(world_of(context), request_id, [Script(not_run=True)])


@given('all upstreams of "{request_id}" will turn it away')
def turned_away(context: Any, request_id: str) -> None:
    """Script all upstreams to refuse the request without running it."""
    script_upstreams(world_of(context), request_id, [Script(not_run=True) for _ in range(8)])


@when('a caller asks "{path}" as "{request_id}" and leaves once it runs')
def ask_and_leave(context: Any, path: str, request_id: str) -> None:
    """Close the caller's connection while the upstream runs the request."""
    world = world_of(context)
    connection = world.connect()
    connection.sendall(request_bytes(path, request_id))
    wait_for("the request runs", lambda: len(runs(world, request_id)) == 1)
    connection.close()


@then('the upstream\'s connection of "{request_id}" ends within {seconds:g} s')
def given_up(context: Any, request_id: str, seconds: float) -> None:
    """Wait until the upstream sees the end of its connection."""
    assert context.script.ended.wait(seconds)


@given("the first plain upstream is leaving")
def plain_leaves(context: Any) -> None:
    """Mark one plain upstream as leaving."""
    world = world_of(context)
    world.give_notice(world.plain[0])


@when("{count:d} calls are asked")
def ask_many(context: Any, count: int) -> None:
    """Send the requests one after another."""
    world = world_of(context)
    context.answers = [world.ask("/once/a", f"many-{index}") for index in range(count)]
    assert all(answer.status == 200 for answer in context.answers), context.answers


@then("the first plain upstream has run none of them")
def none_run(context: Any) -> None:
    """Check that the leaving upstream received no request."""
    assert not world_of(context).plain[0].seen


@given("the first plain upstream was replaced at its address")
def replaced(context: Any) -> None:
    """Give the stand-in at that address another upstream id."""
    world_of(context).plain[0].upstream_id = "another"


@then("all are answered 200 and the new one has run none for the old")
def not_for_the_old(context: Any) -> None:
    """Check that the upstream now at that address received no request."""
    assert not world_of(context).plain[0].seen
