"""Test how streams end whose upstreams frame and end their responses in each way."""

from __future__ import annotations

from dataclasses import replace
from http import HTTPStatus
from typing import Any

from behave import given, then, when

from features.worlds.ending_world import ALL_EVENTS, EndingWorld
from features.worlds.gateway_world import Received
from stand_ins.endings import Ending, EndingPlan, Framing, Place
from stand_ins.routed import event_bytes

RESUMED_PIECES = 4
FRAMINGS = {
    "a length": (Framing.LENGTH,),
    "chunks": (Framing.CHUNKED,),
    "neither a length nor chunks": (Framing.CLOSE,),
    "any framing": tuple(Framing),
    "a length or chunks": (Framing.LENGTH, Framing.CHUNKED),
}
ERROR_STATUS = HTTPStatus.INTERNAL_SERVER_ERROR
BROKEN_RUN = EndingPlan(ending=Ending.RESET)


def _world(context: Any, framing: Framing, *, with_backups: bool) -> EndingWorld:
    """Start a gateway, and stop it after the scenario."""
    world = EndingWorld()
    context.add_cleanup(world.close)
    world.whole_framing = framing
    world.has_backups = with_backups
    return world


def _stream(context: Any, plans: list[EndingPlan], backups: str) -> None:
    """Request a stream once for each place that its last plan ends at, of a gateway of its own.

    Its earlier runs have the same framing, and chunks as well if the last run is not whole: a whole
    run without framing does not state the end of a response in chunks. Runs after the last plan are
    framed, so that they show that the stream is whole.
    """
    context.streams = []
    last = plans[-1]
    is_whole = last.ending is Ending.WHOLE
    for framing in context.framings:
        earlier_framings = {framing} if is_whole else {framing, Framing.CHUNKED}
        for place in (Place.EVENT,) if is_whole else context.places:
            for earlier in earlier_framings if plans[:-1] else {framing}:
                plan = EndingPlan(framing, last.ending, place, last.pieces)
                later = Framing.CHUNKED if framing is Framing.CLOSE else framing
                world = _world(context, later, with_backups=backups == "with")
                world.plans = [*(replace(each, framing=earlier) for each in plans[:-1]), plan]
                context.streams.append((plan, world.stream("s1"), world))
                world.close()


def _assert_honest(plan: EndingPlan, answer: Received) -> None:
    """Check that events came once and in order, and that only all of them came as whole."""
    assert answer.status == 200, (plan, answer)
    assert ALL_EVENTS.startswith(answer.body), (plan, answer)
    assert answer.body == ALL_EVENTS or not answer.whole, (plan, answer)


@given("engines that frame streams with {framing}")
def framed_with(context: Any, framing: str) -> None:
    """Choose the framings of the responses."""
    context.framings = FRAMINGS[framing]
    context.places = tuple(Place)


@given("streams that end {place}")
def end_at(context: Any, place: str) -> None:
    """Choose where the responses end."""
    context.places = (Place(place),)


@when('a stream {backups:w} a backup is "{ending}" at its first engine')
def ends_at_first(context: Any, backups: str, ending: str) -> None:
    """End the first run."""
    _stream(context, [EndingPlan(ending=Ending(ending))], backups)


@when('a stream that has resumed is "{ending}" at its second engine')
def ends_at_second(context: Any, ending: str) -> None:
    """Break off the first run after some events, and end the second."""
    plan = EndingPlan(ending=Ending(ending), pieces=RESUMED_PIECES)
    _stream(context, [BROKEN_RUN, plan], "with")


@when('a stream that has resumed twice is "{ending}" at its third engine')
def ends_at_third(context: Any, ending: str) -> None:
    """Break off the first two runs after some events, and end the third."""
    second = EndingPlan(ending=Ending.RESET, pieces=RESUMED_PIECES)
    plan = EndingPlan(ending=Ending(ending), pieces=RESUMED_PIECES)
    _stream(context, [BROKEN_RUN, second, plan], "with")


@when('an error response without framing is "{ending}" at an engine')
def error_ends(context: Any, ending: str) -> None:
    """End an error response, which is no stream."""
    world = _world(context, Framing.CLOSE, with_backups=False)
    world.plans = [EndingPlan(Framing.CLOSE, Ending(ending), status=ERROR_STATUS)]
    context.error = world.stream("s1", reads_events=False)


@then("the error response arrives whole")
def error_is_whole(context: Any) -> None:
    """Check the upstream's status and body."""
    error = context.error
    assert (error.status, error.body, error.whole) == (ERROR_STATUS, ALL_EVENTS, True), error


@then("the caller is told that the request may have run")
def may_have_run(context: Any) -> None:
    """Check the gateway's own response in place of the upstream's."""
    assert context.error.status == HTTPStatus.BAD_GATEWAY and context.error.whole, context.error
    assert b"piece" not in context.error.body, context.error


@then("each caller gets the whole stream")
def all_whole(context: Any) -> None:
    """Check all events and the end."""
    for plan, answer, _ in context.streams:
        assert (answer.status, answer.body) == (200, ALL_EVENTS), (plan, answer)
        assert answer.whole, (plan, answer)


@then("each caller gets every event, and no end")
def all_without_end(context: Any) -> None:
    """Check all events, and that no stream ends in order."""
    for plan, answer, _ in context.streams:
        expected = (200, ALL_EVENTS, False)
        assert (answer.status, answer.body, answer.whole) == expected, (plan, answer)


@then("no caller gets a stream as whole that is not")
def none_taken_for_whole(context: Any) -> None:
    """Check the events, and that the last chunk came only after all of them."""
    for plan, answer, _ in context.streams:
        _assert_honest(plan, answer)


@then("no caller gets an end")
def all_broken(context: Any) -> None:
    """Check that the events that were sent arrived, and that the last chunk is missing."""
    for plan, answer, _ in context.streams:
        sent = 0 if plan.place is Place.HEAD else plan.pieces
        expected = b"".join(event_bytes(number) for number in range(1, sent + 1))
        assert (answer.status, answer.body) == (200, expected), (plan, answer)
        assert not answer.whole, (plan, answer)


@then("each stream has begun on {count:d} engines")
def begun_on(context: Any, count: int) -> None:
    """Count the engines that got the request."""
    for plan, answer, world in context.streams:
        engines = sum(bool(engine.runs("s1")) for engine in world.ending_engines)
        assert engines == count, (plan, answer, engines)


@then("each stream has run on {count:d} engines")
def run_on(context: Any, count: int) -> None:
    """Count the runs at the engines."""
    for plan, answer, world in context.streams:
        runs = sum(engine.runs("s1") for engine in world.ending_engines)
        assert runs == count, (plan, answer, runs)
