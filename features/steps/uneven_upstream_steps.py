"""Test that the loads which upstreams report decide where calls and streams go.

The steps use only responses, headers and what the gateway then does, so that they run on any
version of it.
"""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any, Final

from behave import given, then, when
from eliot import add_destinations, remove_destination

from driftstall.gateway.loads import RequestLoad
from driftstall.gateway.model import Upstream
from driftstall.gateway.outcomes import Outcome
from driftstall.gateway.scheduling.selection import Sampler, choose_call, choose_stream
from driftstall.gateway.stats import render
from driftstall.util import clock
from features.worlds.gateway_world import (
    GatewayWorld,
    script_upstreams,
    wait_for,
    world_of,
)
from features.worlds.upstream_samples import ENGINE, NEED
from stand_ins.routed import RoutedUpstream, Script

LOAD_HEADER: Final = b"X-Driftstall-Server-Load"
NOTHING: Final = "-"
EJECTION_S: Final = 0.4
"""Longer than the first ejection of an upstream."""


@given("the gateway's clock stands still")
def stop_clock(context: Any) -> None:
    """Stop the clock, seed the random choices, and record the log lines."""
    world = world_of(context)
    world.stop_clock()
    world.state.rng.seed(1)
    context.logged = []
    add_destinations(context.logged.append)
    context.add_cleanup(remove_destination, context.logged.append)


def set_load(upstream: RoutedUpstream, load: str) -> None:
    """Set the load that an upstream reports with each response, or let it report none."""
    upstream.extra_headers = () if load == NOTHING else ((LOAD_HEADER, load.encode()),)
    upstream.seen.clear()
    upstream.arrivals.clear()


@given('the plain upstreams report "{first}" and "{second}"')
@when('the plain upstreams report "{first}" and "{second}"')
def report_loads(context: Any, first: str, second: str) -> None:
    """Set the loads that the two plain upstreams report."""
    for upstream, load in zip(world_of(context).plain, (first, second), strict=True):
        set_load(upstream, load)


def entry_of(world: GatewayWorld, upstream: RoutedUpstream) -> Upstream:
    """Return the fleet's entry of an upstream."""
    entry = world.state.fleet.find(upstream.upstream_id)
    assert entry is not None
    return entry


def respond(world: GatewayWorld, upstream: RoutedUpstream) -> None:
    """Let the gateway handle the headers of a response of an upstream."""
    metadata = world.state.dialect.read_response(200, upstream.extra_headers)
    world.state.signals.handle_response(
        entry_of(world, upstream), metadata.signals, world.state.now()
    )


@when("a response of the first plain upstream arrives")
def first_responds(context: Any) -> None:
    """Handle a response of the first plain upstream."""
    context.arrived_at = world_of(context).state.now()
    respond(world_of(context), world_of(context).plain[0])


@when("a response of each plain upstream arrives")
def both_respond(context: Any) -> None:
    """Handle a response of each plain upstream."""
    for upstream in world_of(context).plain:
        respond(world_of(context), upstream)


@when("{seconds:g} s pass")
def time_passes(context: Any, seconds: float) -> None:
    """Advance the gateway's clock, and count requests from now on."""
    world_of(context).pass_time(seconds)
    for upstream in world_of(context).plain:
        upstream.seen.clear()
        upstream.arrivals.clear()


@given("the plain upstreams report their true load of {slots:d} slots and a pace of {percent:d}")
def report_true_loads(context: Any, slots: int, percent: int) -> None:
    """Let the upstreams report what they are running."""
    for upstream in world_of(context).plain:
        upstream.load_slots, upstream.pace_percent = slots, percent


@when("{count:d} calls are in progress")
def calls_in_progress(context: Any, count: int) -> None:
    """Send calls that are answered at the end of the scenario."""
    world = world_of(context)
    for number in range(count):
        request_id = f"held-{number}"
        script = script_upstreams(world, request_id, [Script(hold=True)])[0]
        context.add_cleanup(script.gate.set)
        world.ask_later("/once/a", request_id)
    context.held = count
    wait_for("they run", lambda: sum(each.in_progress for each in world.plain) == count)


@then("each plain upstream is taken to have the calls that are in progress there")
def taken_to_have_calls(context: Any) -> None:
    """Compare the estimates that selection gets with what the upstreams run."""
    world = world_of(context)
    estimates = {
        option.upstream.upstream_id: option.load.busy
        for option in world.state.options("portal")
        if option.load is not None
    }
    held = context.held
    wait_for("the others end", lambda: sum(each.in_progress for each in world.plain) == held)
    assert estimates == {each.upstream_id: each.in_progress for each in world.plain}, estimates


@then("the first plain upstream has run at most {most:d} of them")
def first_has_run_at_most(context: Any, most: int) -> None:
    """Check the number of requests that the first upstream ran."""
    assert len(world_of(context).plain[0].seen) <= most, len(world_of(context).plain[0].seen)


@then("the second plain upstream has run at most {most:d} of them")
def second_has_run_at_most(context: Any, most: int) -> None:
    """Check the number of requests that the second upstream ran."""
    assert len(world_of(context).plain[1].seen) <= most, len(world_of(context).plain[1].seen)


@then("each plain upstream has run at least {least:d} of them")
def each_has_run(context: Any, least: int) -> None:
    """Check the number of requests that each upstream ran."""
    counts = [len(upstream.seen) for upstream in world_of(context).plain]
    assert min(counts) >= least, counts


@then("the metrics show a pace of {pace:g}")
def metrics_show(context: Any, pace: float) -> None:
    """Check the gauge by the function that the node's gauges use."""
    state = world_of(context).state
    assert state.upstream_loads.max_pace(state.now()) == pace


@then('each response with "{load}" is logged and counted')
def malformed_logged(context: Any, load: str) -> None:
    """Check the log lines and the counter against the responses of the first upstream."""
    lines = [line for line in context.logged if line.get("header") == LOAD_HEADER.decode().lower()]
    count = len(world_of(context).plain[0].seen)
    assert count and len(lines) == count, (count, lines)
    assert {line["value"] for line in lines} == {load}, lines
    stats = world_of(context).state.stats
    assert stats.unreadable_signals == count, stats
    assert b"driftstall_gateway_unreadable_signals_total %d" % count in render(stats, {}).replace(
        b"{} ", b" "
    ), render(stats, {})


def estimate_after(context: Any, seconds: float) -> Any:
    """Return the estimated load of the first plain upstream that selection gets later."""
    world = world_of(context)
    world.pass_time(context.arrived_at + seconds - world.state.now())
    wanted = world.plain[0].upstream_id
    (option,) = [
        option for option in world.state.options("portal") if option.upstream.upstream_id == wanted
    ]
    return option.load


@then("{seconds:g} s later the first plain upstream is taken to work {pace:g} times as long")
def taken_to_work(context: Any, seconds: float, pace: float) -> None:
    """Check the pace that selection gets."""
    load = estimate_after(context, seconds)
    assert abs(load.pace - pace) < 1e-6, load


@then("{seconds:g} s later the first plain upstream is taken to have {count:d} requests")
def taken_to_have(context: Any, seconds: float, count: int) -> None:
    """Check the number of requests that selection gets."""
    load = estimate_after(context, seconds)
    assert abs(load.busy - count) < 1e-6, load


@then("{seconds:g} s later the first plain upstream is taken to have no load")
def taken_to_have_none(context: Any, seconds: float) -> None:
    """Check that selection gets no load."""
    assert estimate_after(context, seconds) is None


@when("{count:d} requests are sent to the first plain upstream")
def requests_sent(context: Any, count: int) -> None:
    """Count requests in progress at the first plain upstream."""
    world = world_of(context)
    for number in range(count):
        load = RequestLoad(world.plain[0].upstream_id)
        world.state.loads.set_load(f"running-{number}", load)


@given("the plain upstreams answer {count:d} calls in {first:g} s and {second:g} s")
@when("the plain upstreams answer {count:d} calls in {first:g} s and {second:g} s")
def answer_calls(context: Any, count: int, first: float, second: float) -> None:
    """Record responses of both upstreams with their loads and durations."""
    world = world_of(context)
    for _ in range(count):
        for upstream, seconds in zip(world.plain, (first, second), strict=True):
            respond(world, upstream)
            entry = entry_of(world, upstream)
            world.state.record_outcome(entry.upstream_id, "portal", Outcome.GOOD, seconds)
        world.pass_time(0.05)


@when(
    "the first plain upstream alone answers {count:d} calls in {seconds:g} s, and its pace of"
    " {pace:g} ends meanwhile"
)
def answer_mixed_calls(context: Any, count: int, seconds: float, pace: float) -> None:
    """Send calls with work of 0.1 s, half of whose time is slow; the other upstream has no calls.

    The other upstream's outcomes are recorded directly, as it is leaving.
    """
    world = world_of(context)
    first, second = world.plain
    world.pass_time(-count * seconds)
    world.give_notice(second)
    for number in range(count):
        set_load(first, f"0,0,8,{100 * pace:g}")
        respond(world, first)
        request_id = f"mixed-{number}"
        script = script_upstreams(world, request_id, [Script(hold=True)])[0]
        asked = world.ask_later("/safe/a", request_id)
        wait_for("the call runs", lambda: bool(first.seen))
        first.extra_headers = ((LOAD_HEADER, b"0,0,8,100"),)
        world.pass_time(seconds)
        script.gate.set()
        assert asked.get(timeout=5.0).status == 200
        world.state.record_outcome(second.upstream_id, "portal", Outcome.GOOD, 0.1)


def penalties_of(world: GatewayWorld) -> list[float]:
    """Return the penalties of the plain upstreams."""
    now = world.state.now()
    return [
        world.state.outcomes.penalty(upstream.upstream_id, "portal", now)
        for upstream in world.plain
    ]


@then("no plain upstream has a penalty")
def no_penalty(context: Any) -> None:
    """Check that neither upstream counts as an outlier."""
    assert max(penalties_of(world_of(context))) < 0.01, penalties_of(world_of(context))


@then("the first plain upstream has a penalty")
def first_has_penalty(context: Any) -> None:
    """Check that the first upstream counts as an outlier."""
    assert penalties_of(world_of(context))[0] > 0.1, penalties_of(world_of(context))


@then("100 calls are chosen as without the loads")
def calls_chosen_alike(context: Any) -> None:
    """Choose with and without the loads, at each of some numbers of running requests."""
    world = world_of(context)
    for seed in range(100):
        world.state.loads.set_load(f"r{seed}", RequestLoad(world.plain[seed % 3 > 0].upstream_id))
        options = world.state.options("portal")
        assert all(option.load is not None for option in options)
        bare = [replace(option, load=None) for option in options]
        chosen = [choose_call(each, Sampler(random.Random(seed))) for each in (options, bare)]
        assert chosen[0] and chosen[1] and chosen[0].upstream == chosen[1].upstream, chosen


@then("100 streams are chosen as without the loads")
def streams_chosen_alike(context: Any) -> None:
    """Choose an engine with and without loads of three figures."""
    world = world_of(context)
    for engine, load in zip(world.engines, ("60,9,64", "0,0,64", "3,0,64"), strict=True):
        set_load(engine, load)
        respond(world, engine)
    options = world.state.options("engines")
    assert all(option.load is not None for option in options)
    bare = [replace(option, load=None) for option in options]
    for seed in range(100):
        chosen = [
            choose_stream(each, ENGINE, NEED, "a", Sampler(random.Random(seed)))
            for each in (options, bare)
        ]
        assert chosen[0] and chosen[1] and chosen[0].upstream == chosen[1].upstream, chosen


def reject(world: GatewayWorld, upstream: RoutedUpstream, load: str) -> None:
    """Let an upstream reject a call with a load in its response."""
    set_load(upstream, load)
    upstream.rejected_share = 1.0
    number = 0
    while not upstream.arrivals:
        world.ask("/once/a", f"rejected-{number}")
        number += 1
        assert number < 50
    upstream.rejected_share = 0.0
    set_load(upstream, NOTHING)


@given('the first plain upstream has rejected a call with "{load}"')
def has_rejected(context: Any, load: str) -> None:
    """Let the first plain upstream reject a call."""
    reject(world_of(context), world_of(context).plain[0], load)


@given('the first plain upstream has rejected a call without a load, after reporting "{load}"')
def has_rejected_without_load(context: Any, load: str) -> None:
    """Let the first plain upstream reject a call just after a response with a load."""
    world = world_of(context)
    upstream = world.plain[0]
    set_load(upstream, load)
    respond(world, upstream)
    reject(world, upstream, NOTHING)


@given('all plain upstreams have rejected a call with "{load}"')
def all_have_rejected(context: Any, load: str) -> None:
    """Let each plain upstream reject a call, some seconds ago, and wait for their ejections."""
    world = world_of(context)
    world.pass_time(-5.0)
    for upstream in world.plain:
        reject(world, upstream, load)
        world.pass_time(EJECTION_S)
    context.load = load


def fill(context: Any, late_s: float) -> None:
    """Let all upstreams report that they are full, that many seconds after callers' clock."""
    world = world_of(context)
    world.pass_time(clock.now() + late_s - world.state.now())
    for upstream in world.plain:
        set_load(upstream, context.load)
        respond(world, upstream)
        set_load(upstream, NOTHING)


@given("its ejection is over")
def ejection_over(context: Any) -> None:
    """Advance the clock beyond the ejection of an upstream that has rejected a call."""
    world_of(context).pass_time(EJECTION_S)


@when('its next response reports "{load}"')
def next_response(context: Any, load: str) -> None:
    """Handle a response of the first plain upstream with a load."""
    upstream = world_of(context).plain[0]
    set_load(upstream, load)
    respond(world_of(context), upstream)
    set_load(upstream, NOTHING)


@then("the first plain upstream has received none of them")
def received_none(context: Any) -> None:
    """Check that no request arrived at the first upstream."""
    assert not world_of(context).plain[0].arrivals


@then("the first plain upstream has received some of them")
def received_some(context: Any) -> None:
    """Check that requests arrived at the first upstream."""
    assert len(world_of(context).plain[0].arrivals) >= 3


@then('"{request_id}" has reached no plain upstream, and the log tells by which loads')
def reached_none(context: Any, request_id: str) -> None:
    """Check the arrivals, and the log line of the refusal."""
    world = world_of(context)
    assert not any(upstream.arrivals for upstream in world.plain)
    (line,) = [line for line in context.logged if "all upstreams are full" in line["message"]]
    assert line["request"] == request_id, line
    assert set(line["loads"]) == {upstream.upstream_id for upstream in world.plain}, line


@when('"{path}" is asked as "{request_id}", and {seconds:g} s pass while it waits')
def ask_and_pass_time(context: Any, path: str, request_id: str, seconds: float) -> None:
    """Send a call that finds all upstreams full, and advance the clock meanwhile."""
    world = world_of(context)
    fill(context, 0.0)
    asked = world.ask_later(path, request_id)
    wait_for("the call is being served", lambda: world.state.open_requests == 1)
    assert not any(upstream.arrivals for upstream in world.plain)
    world.pass_time(seconds)
    context.answer = asked.get(timeout=5.0)


@when('"{path}" is asked as "{request_id}", {late_s:g} s after it arrived')
def ask_late(context: Any, path: str, request_id: str, late_s: float) -> None:
    """Send a call whose time to wait is over when it finds all upstreams full."""
    fill(context, late_s)
    context.answer = world_of(context).ask(path, request_id)


@when('the first engine reports "{first}" and the others "{others}"')
def engines_report(context: Any, first: str, others: str) -> None:
    """Handle a response of each engine."""
    world = world_of(context)
    for index, engine in enumerate(world.engines):
        set_load(engine, others if index else first)
        respond(world, engine)


@then("no stream of 100 is chosen for the first engine")
def not_the_first_engine(context: Any) -> None:
    """Choose an engine 100 times."""
    world = world_of(context)
    options = world.state.options("engines")
    for seed in range(100):
        chosen = choose_stream(options, ENGINE, NEED, "a", Sampler(random.Random(seed)))
        assert chosen is not None
        assert chosen.upstream.upstream_id != world.engines[0].upstream_id, seed
