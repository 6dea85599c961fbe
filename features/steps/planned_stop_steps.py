"""Test planned stops of a gateway against slow upstreams."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import gevent
from behave import given, then, when

from features.worlds.gateway_world import (
    assert_refused_with_retry_after,
    document,
    route,
    runs,
    wait_for,
    world_of,
)


@given("another instance that is ready")
def ready_peer(context: Any) -> None:
    """Let the gateway know a peer, and routes that allow long requests."""
    world = world_of(context)
    world.state.has_ready_peer = lambda: True
    raw = document()
    raw["routes"] += [
        route(
            "patient", "/stream/patient/", "streaming", "engines", gap_aim_ms=180, timeoutMs=20_000
        ),
        route("slow", "/slow/", "unsafe", "portal", timeoutMs=20_000),
    ]
    world.use(raw)


@given("no other instance is ready")
def no_ready_peer(context: Any) -> None:
    """Let the gateway know no peer."""
    world_of(context).state.has_ready_peer = lambda: False


@given("a stop that was requested {since:g} s ago")
def stop_requested(context: Any, since: float) -> None:
    """Begin a stop in the past: callers' requests arrive by the real clock."""
    world_of(context).pass_time(-since)
    world_of(context).drain.begin()
    world_of(context).pass_time(since)


@given("a stop whose signal arrived up to {late:g} s before it was handled")
def stop_handled_late(context: Any, late: float) -> None:
    """Begin a stop after a stall of the event loop."""
    world_of(context).drain.begin(late)


@when('"{path}" is asked as "{request_id}" for {tokens:d} tokens with a deadline of {deadline:g} s')
def ask_for_tokens(context: Any, path: str, request_id: str, tokens: int, deadline: float) -> None:
    """Send a request of known length, and keep its response."""
    context.answer = _ask_later(context, path, request_id, deadline, tokens).get()


@when('"{path}" is asked as "{request_id}" with a deadline of {deadline:g} s')
def ask_with_deadline(context: Any, path: str, request_id: str, deadline: float) -> None:
    """Send a request of a few tokens, and keep its response."""
    context.answer = _ask_later(context, path, request_id, deadline).get()


@when('"{path}" is asked as "{request_id}" with {deadline:g} s left, and the instance is stopped')
def ask_and_stop(context: Any, path: str, request_id: str, deadline: float) -> None:
    """Send a request, and begin a stop once an upstream has received it."""
    context.asked = _ask_later(context, path, request_id, deadline)
    wait_for("it has been sent", lambda: len(runs(world_of(context), request_id)) == 1)
    world_of(context).drain.begin()


@when('"{path}" is asked as "{request_id}" and waits, and the instance is stopped')
def ask_waiting_and_stop(context: Any, path: str, request_id: str) -> None:
    """Send a request that no engine has room for, and begin a stop."""
    context.asked = _ask_later(context, path, request_id, 20)
    wait_for("it is admitted", lambda: world_of(context).state.open_requests == 1)
    world_of(context).drain.begin()


@when("{seconds:g} s of the grace time have passed")
def grace_passes(context: Any, seconds: float) -> None:
    """Advance the clock."""
    world_of(context).pass_time(seconds)


@when("the settings change to a grace time of {grace:g} s, and the stop is requested again")
def change_settings(context: Any, grace: float) -> None:
    """Change the settings during the stop."""
    world = world_of(context)
    bounds = replace(world.state.settings.bounds, grace_s=grace)
    world.state.settings = replace(world.state.settings, bounds=bounds)
    world.drain.begin()


@then("it is refused with a time to come back of at most {most:g} s")
def refused_at_once(context: Any, most: float) -> None:
    """Check the refusal and its Retry-After."""
    refused_with_time(context, 0.0, most)


@then("it is refused with a time to come back of {least:g} to {most:g} s")
def refused_with_time(context: Any, least: float, most: float) -> None:
    """Check the refusal and its Retry-After."""
    assert context.answer.status == 503 and context.answer.whole, context.answer
    retry_s = float(context.answer.headers["retry-after"])
    assert least <= retry_s <= most, context.answer


@then('no upstream has received "{request_id}"')
def not_received(context: Any, request_id: str) -> None:
    """Check that the request reached no upstream."""
    assert not runs(world_of(context), request_id)


@then("the answer is 200")
def served(context: Any) -> None:
    """Check that the response is a whole success."""
    assert context.answer.status == 200 and context.answer.whole, context.answer


@then('"{request_id}" is answered 504 as a whole, which promises nothing')
def answered_504(context: Any, request_id: str) -> None:
    """Check the error response of a request that may have run."""
    answer = context.asked.get(timeout=5.0)
    assert answer.status == 504 and answer.whole, answer
    assert "retry-after" not in answer.headers, answer
    assert len(runs(world_of(context), request_id)) == 1


@then('"{request_id}" is refused as a whole, and no upstream has received it')
def refused_unsent(context: Any, request_id: str) -> None:
    """Check the refusal of a request that has not been sent."""
    answer = context.asked.get(timeout=5.0)
    assert_refused_with_retry_after(answer)
    assert answer.whole and not runs(world_of(context), request_id), answer


@then('the upstream of "{request_id}" was given at most {most:g} s')
def given_at_most(context: Any, request_id: str, most: float) -> None:
    """Check the deadline that was sent with the request."""
    seen = [each for upstream in world_of(context).plain for each in upstream.seen]
    sent_ms = [
        int(each.headers["x-driftstall-deadline-ms"])
        for each in seen
        if each.request_id == request_id
    ]
    assert sent_ms and sent_ms[0] <= most * 1000, sent_ms


def _ask_later(
    context: Any, path: str, request_id: str, deadline_s: float, tokens: int = 40
) -> gevent.Greenlet:
    """Send a request for a number of output tokens from another greenlet."""
    return world_of(context).ask_later(
        path,
        request_id,
        X_Driftstall_Deadline_Ms=str(int(deadline_s * 1000)),
        X_Driftstall_Token_Count=f"1000,{tokens}",
    )
