"""Test how responses to calls are framed and how they end."""

from __future__ import annotations

import time
from typing import Any, Final

from behave import given, then, when

from features.steps.kept_connection_steps import head_bytes, use_raw_upstreams
from features.worlds.gateway_world import (
    ENGINE,
    GatewayWorld,
    Received,
    document,
    wait_for,
    world_of,
)
from stand_ins.endings import BODY, Ending, EndingPlan, EndingUpstream, Framing, Place
from stand_ins.raw import HEALTH_PATH, RawEnding, RawResponse, RawUpstream
from stand_ins.routed import ReceivedRequest

WHOLE: Final = EndingPlan(Framing.LENGTH)
NOT_EXECUTED: Final = "X-Driftstall-Not-Executed: 1"
UNFRAMED: Final = {
    "a rejection": ("503 Service Unavailable", (NOT_EXECUTED,)),
    "a server error": ("500 Internal Server Error", ()),
    "a client error": ("404 Not Found", ()),
    "a success": ("200 OK", ()),
}
SILENT: Final = "answers no checks"
PROCESSES: Final = {
    "lives": RawEnding.CLOSED,
    "ends": RawEnding.GONE,
    SILENT: RawEnding.CLOSED,
}


def use_health_checks(world: GatewayWorld) -> None:
    """Route by a document whose plain service has a health path."""
    services = [
        {"name": "portal", "healthPath": HEALTH_PATH},
        {"name": "engines", "engine": ENGINE},
    ]
    world.use(document(services=services))


def _use_plans(context: Any, plan: EndingPlan, later: EndingPlan) -> None:
    """Replace the plain upstreams: the first response that one of them sends has a plan."""
    world = world_of(context)
    plans = [plan]

    def plan_for(seen: ReceivedRequest) -> EndingPlan:
        if seen.target == HEALTH_PATH:
            return WHOLE
        return plans.pop() if plans else later

    for upstream in world.plain:
        upstream.stop()
    world.plain[:] = [EndingUpstream(old.upstream_id, plan_for) for old in world.plain]
    world.list_upstreams()
    use_health_checks(world)
    context.broken = []
    world.state.on_run_broken = lambda upstream, _: context.broken.append(upstream.upstream_id)


@given("the first response of the plain upstreams has {framing} and ends {place}: {ending}")
def first_response(context: Any, framing: str, place: str, ending: str) -> None:
    """Plan the first response; later ones are whole."""
    _use_plans(context, EndingPlan(Framing(framing), Ending(ending), Place(place)), WHOLE)


@given("all responses of the plain upstreams have {framing} and end whole")
def all_responses(context: Any, framing: str) -> None:
    """Plan all responses."""
    plan = EndingPlan(Framing(framing))
    _use_plans(context, plan, plan)


@given("an upstream that sends {response} without framing, and whose process {process}")
def unframed_response(context: Any, response: str, process: str) -> None:
    """Use upstreams that close the connection after a short response."""
    status, lines = UNFRAMED[response]
    ending = PROCESSES[process]
    use_raw_upstreams(
        context,
        lambda seen: RawResponse(
            head_bytes(seen.request_id, *lines, status=status) + b"words", ending
        ),
    )
    for upstream in world_of(context).plain:
        assert isinstance(upstream, RawUpstream)
        upstream.answers_health = process != SILENT
    use_health_checks(world_of(context))


def _call(context: Any, path: str, **more: str) -> None:
    """Make a call, and measure the time to the end of its answer."""
    begun_at = time.monotonic()
    context.answer = world_of(context).ask(path, "r1", **more)
    context.answer_s = time.monotonic() - begun_at


@when("a call that may run only once is made")
def call_once(context: Any) -> None:
    """Make a call that is not repeated."""
    _call(context, "/once/a")


@when("a safe call is made")
def call_safe(context: Any) -> None:
    """Make a call that may be repeated."""
    _call(context, "/safe/a")


@when("a call is made that has 150 ms")
def call_quick(context: Any) -> None:
    """Make a call on a route with little time."""
    _call(context, "/safe/quick/a")


@when("{calls:d} calls that may run only once are made at once")
def call_at_once(context: Any, calls: int) -> None:
    """Make calls at the same time, and measure the time to the end of the last answer."""
    begun_at = time.monotonic()
    asked = [world_of(context).ask_later("/once/a", f"r{number}") for number in range(calls)]
    context.answers = [call.get() for call in asked]
    context.answer_s = time.monotonic() - begun_at


def _count_runs(context: Any) -> int:
    """Return how often the call has run."""
    return sum(upstream.runs("r1") for upstream in world_of(context).plain)


def _is_whole(answer: Received) -> bool:
    """Return True if an answer is the whole one of an upstream."""
    return (answer.status, answer.body, answer.whole) == (200, BODY, True)


@then("it was answered {status:d}")
def answered(context: Any, status: int) -> None:
    """Check the status of an answer that is no success."""
    assert context.answer.status == status, context.answer


@then("it was answered {status:d} and has run once")
def answered_once(context: Any, status: int) -> None:
    """Check the status, the statement that the call may have run, and the runs."""
    assert context.answer.status == status, context.answer
    assert b'"ran":"unknown"' in context.answer.body, context.answer
    assert _count_runs(context) == 1


@then("its upstream counts as broken")
def counts_as_broken(context: Any) -> None:
    """Check that the run was reported as broken at its upstream."""
    (upstream,) = [each for each in world_of(context).plain if each.runs("r1")]
    (broken,) = context.broken
    assert upstream.upstream_id.removesuffix("-restarted") == broken, context.broken


@then("it was answered whole by the other upstream")
def answered_by_other(context: Any) -> None:
    """Check the answer, and that each upstream has run the call once."""
    assert _is_whole(context.answer), context.answer
    assert [upstream.runs("r1") for upstream in world_of(context).plain] == [1, 1]


@then("it was answered whole within {seconds:g} s")
def answered_whole(context: Any, seconds: float) -> None:
    """Check the answer and its time."""
    assert _is_whole(context.answer), context.answer
    assert context.answer_s < seconds, context.answer_s
    assert not context.broken, context.broken


@then("all were answered whole within {seconds:g} s")
def all_answered_whole(context: Any, seconds: float) -> None:
    """Check the answers and the time of the last one."""
    assert all(_is_whole(answer) for answer in context.answers), context.answers
    assert context.answer_s < seconds, context.answer_s
    assert not context.broken, context.broken


@then("the upstreams were asked for their state at most {times:d} times")
def asked_for_state(context: Any, times: int) -> None:
    """Count the health checks, once they have ended."""
    world = world_of(context)
    wait_for("nothing is in progress", lambda: not any(each.in_progress for each in world.plain))
    checks = sum(seen.target == HEALTH_PATH for each in world.plain for seen in each.seen)
    assert checks <= times, checks
