"""Test the placement of streams by one placer, and its failures."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import Any

from behave import given, then, when

from driftstall.decisions.placers import EXCLUSION_S, PlacerSelector
from driftstall.decisions.store_versions import StoreVersion
from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.fleet_events import UpstreamsListed
from driftstall.gateway.loads import Use
from driftstall.gateway.model import Bounds, GatewaySettings
from driftstall.gateway.routes import RouteTable
from driftstall.gateway.scheduling.stream_placer import StreamPlacer
from driftstall.gateway.state import GROWTH_SHARE, GatewayState
from driftstall.peers.gateway_messages import GatewayMessage, PlacementAsked, PlacementGiven
from driftstall.platform.dialect import PlatformDialect
from driftstall.platform.documents import read_routing
from driftstall.policy.default import default_policy
from features.worlds.gateway_world import document, runs, world_of
from features.worlds.upstream_samples import upstream_of
from measures import zone_placement

PLACER = "instance-0"
PROMPT_TOKENS = 3000
OUTPUT_TOKENS = 600
HELD_TOKENS = PROMPT_TOKENS + int(GROWTH_SHARE * OUTPUT_TOKENS)
MODEL_SECONDS = 40.0


def settings_of(name: str) -> GatewaySettings:
    """Return the settings of an instance in zone "a" that opens no sockets."""
    nowhere = "127.0.0.1:1"
    listen: dict[str, Any] = dict.fromkeys(
        ("caller_listen", "ready_listen", "locate_listen", "peer_listen", "metrics_listen"), nowhere
    )
    return GatewaySettings(
        instance_id=name,
        zone="a",
        link_mbps=100,
        platform_address=nowhere,
        seeds=(),
        bounds=Bounds(),
        peer_key="peer key for tests only",
        is_first_start=True,
        **listen,
    )


def asked_by(sender: str, request_id: str, **more: Any) -> PlacementAsked:
    """Return a placement request."""
    asked = PlacementAsked(
        sender, request_id, "engines", PROMPT_TOKENS, OUTPUT_TOKENS, False, (), False, "a"
    )
    return replace(asked, **more)


@given("an instance that places for its zone, with 5 engines there and 5 in another")
def placing_instance(context: Any) -> None:
    """Create a placer without any running streams."""
    context.at = 100.0
    context.sent = []
    state = context.state = GatewayState(settings_of(PLACER), PlatformDialect(), default_policy())
    state.now = lambda: context.at  # type: ignore[method-assign]
    state.route_table = RouteTable.from_document(read_routing(document()))
    engines = [upstream_of(f"near-{index}") for index in range(5)]
    engines += [upstream_of(f"far-{index}", zone="b") for index in range(5)]
    state.fleet.handle(UpstreamsListed(tuple(engines)), context.at)
    state.set_load_pooling(True)

    def send(_: str, message: GatewayMessage) -> None:
        context.sent.append(message)

    roles = FleetRoles(is_large=True, is_collector=True, placers=(PLACER, "instance-1"))
    context.placer = StreamPlacer(state, roles=lambda: roles, send=send)


@given("all engines are full")
def engines_full(context: Any) -> None:
    """Report from a peer that the engines are full."""
    uses = [Use(upstream.upstream_id, tokens=34_000) for upstream in context.state.fleet.upstreams]
    context.state.loads.record_peer("peer", uses, context.at)


def ask_at_once(context: Any, count: int, **more: Any) -> None:
    """Ask from several instances before any of them reports."""
    first = len(context.sent)
    for number in range(first, first + count):
        context.placer.handle_request(asked_by(f"member-{number}", f"r-{number}", **more))


@when("{count:d} instances ask it for a place at once")
@when("{count:d} more instances ask it for a place at once")
def some_ask(context: Any, count: int) -> None:
    """Ask for places without a replica."""
    ask_at_once(context, count)


@then("each engine of the zone was given 1 stream")
def spread_evenly(context: Any) -> None:
    """Count the placements."""
    given_to = Counter(placement.upstream_id for placement in context.sent)
    assert given_to == {f"near-{index}": 1 for index in range(5)}, given_to


@then("no engine of either zone was given more than {most:d} streams")
def spread_over_zones(context: Any, most: int) -> None:
    """Count the placements in both zones."""
    given_to = Counter(placement.upstream_id for placement in context.sent)
    assert len(given_to) == 10 and max(given_to.values()) <= most, given_to


@when("an instance asks again for a request that 4 engines have turned away")
def asks_again(context: Any) -> None:
    """Leave only one engine of the zone."""
    avoid = tuple(f"near-{index}" for index in range(4))
    context.placer.handle_request(asked_by("member-1", "r-1", avoid=avoid))


@then("the fifth one was given")
def fifth_given(context: Any) -> None:
    """Check the answer."""
    (given_place,) = context.sent
    assert given_place.upstream_id == "near-4", given_place


@when("an instance was given a place for 3000 tokens")
def given_place(context: Any) -> None:
    """Ask once."""
    context.placer.handle_request(asked_by("member-1", "r-1"))
    (context.given,) = context.sent


@when("that instance reports that it runs them")
def member_reports(context: Any) -> None:
    """Report the request with the load that its own instance counts."""
    context.at += 0.2
    use = Use(context.given.upstream_id, running=1, tokens=HELD_TOKENS, prefill=PROMPT_TOKENS)
    context.placer.handle_report("member-1")
    context.state.loads.record_peer("member-1", [use], context.at)


@then("these count on the engine given, for other zones too, but not as its own")
def counts_once(context: Any) -> None:
    """Check all totals."""
    loads, engine_id = context.state.loads, context.given.upstream_id
    expected = Use(engine_id, running=1, tokens=HELD_TOKENS, prefill=PROMPT_TOKENS)
    assert loads.use(engine_id, context.at) == expected, loads.use(engine_id, context.at)
    assert loads.sorted_totals(context.at, pooled=False) == (expected,)
    assert loads.own == ()


@then("nothing of it is left after {seconds:g} s")
def forgotten(context: Any, seconds: float) -> None:
    """Let the time pass; the next request removes expired placements."""
    context.at += seconds
    context.placer.handle_request(asked_by("member-2", "r-2", service="portal"))
    context.placer.handle_request(asked_by("member-2", "r-2"))
    loads = context.state.loads
    assert sum(use.running for use in loads.sorted_totals(context.at)) == 1


@when("{count:d} instances ask it for a place with a copy at once")
def some_ask_with_copy(context: Any, count: int) -> None:
    """Ask for long streams with a backup."""
    ask_at_once(context, count, wants_backup=True)


@then("each copy is kept on another engine of the zone than its stream's")
def copies_elsewhere(context: Any) -> None:
    """Compare the engines of streams and backups."""
    backups = [placement for placement in context.sent if placement.backup_id]
    assert len(backups) == len(context.sent), context.sent
    assert all(placement.backup_id != placement.upstream_id for placement in backups)
    assert all(placement.backup_id.startswith("near-") for placement in backups)


@when("an instance asks it for a place at once")
def one_asks(context: Any) -> None:
    """Ask without accepting an engine that has no room."""
    context.placer.handle_request(asked_by("member-1", "r-1"))


@when("an instance asks it for a place that it takes anyway")
def one_takes(context: Any) -> None:
    """Ask at the end of the maximum wait."""
    context.placer.handle_request(asked_by("member-1", "r-1", taken_anyway=True))


@then("it is told that there is no room, and {what} counts")
def answered_no_room(context: Any, what: str) -> None:
    """Check the latest answer and the totals."""
    assert not context.sent[-1].has_room
    counted = sum(use.running for use in context.state.loads.sorted_totals(context.at))
    assert counted == (what == "the place"), counted


@given("{count:d} engines more")
def more_engines(context: Any, count: int) -> None:
    """List additional engines."""
    more = tuple(upstream_of(f"more-{index}", 2) for index in range(count))
    context.state.fleet.handle(UpstreamsListed(more, StoreVersion(2)), context.at)
    assert len(context.state.options("engines", max_options=None)) == count


@then(
    "{asks:d} questions are answered with at least {least:d} engines,"
    " each from 64 that were compared"
)
def some_compared(context: Any, asks: int, least: int) -> None:
    """Ask, and count the compared engines."""
    compared: list[int] = []
    original = context.state.loads.use

    def use(upstream_id: str, now: float) -> Any:
        compared.append(1)
        return original(upstream_id, now)

    context.state.loads.use = use
    given_to = set()
    for number in range(asks):
        given = context.placer.place(asked_by(PLACER, f"many-{number}"))
        given_to.add(given.upstream_id)
    assert len(given_to) >= least, given_to
    assert len(compared) == 64 * asks, len(compared)


@given("two instances that place for a zone, of which the first is silent")
def two_placers(context: Any) -> None:
    """Create a selector for two placers."""
    context.selector = PlacerSelector()
    context.placers = ("first", "second")


@then("the first is asked, then the second for 1 s, then the first again")
def left_out(context: Any) -> None:
    """Select at several times."""
    selector, placers = context.selector, context.placers
    assert selector.select(placers, 5.0) == "first"
    selector.record_timeout("first", 5.0)
    assert selector.select(placers, 5.0) == "second"
    assert selector.select(placers, 5.0 + EXCLUSION_S - 0.01) == "second"
    assert selector.select(placers, 5.0 + EXCLUSION_S) == "first"
    selector.record_timeout("second", 6.0)
    selector.record_timeout("first", 6.0)
    assert selector.select(placers, 6.5) is None


@then("it is left out for longer each time that it is silent again, up to 8 s, and not for ever")
def left_out_longer(context: Any) -> None:
    """Let each request time out, then stop for a while."""
    selector, now, waits = PlacerSelector(), 0.0, []
    for _ in range(5):
        selector.record_timeout("first", now)
        selector.record_timeout("first", now + 0.01)
        began = now
        while selector.select(("first",), now) is None:
            now += 0.1
        waits.append(round(now - began))
    assert waits == [1, 2, 4, 8, 8], waits
    selector.record_timeout("first", now + 30.0)
    assert selector.select(("first",), now + 30.0 + EXCLUSION_S) == "first"


@given("its zone's placer gives no answer")
def silent_placer(context: Any) -> None:
    """Let another instance place for the zone, which receives nothing."""
    world = world_of(context)
    context.sent = []
    roles = FleetRoles(is_large=True, placers=(PLACER,))
    placer = StreamPlacer(
        world.state, roles=lambda: roles, send=lambda _, message: context.sent.append(message)
    )
    world.state.request_placement = placer.place


@then("the placer was asked once")
def asked_once(context: Any) -> None:
    """Count the requests."""
    assert len(context.sent) == 1, context.sent


@given("its zone's placer gives an engine that is leaving")
def stale_placer(context: Any) -> None:
    """Let the placer have older information than this instance."""
    world = world_of(context)
    leaving = context.leaving = world.engines[0]
    world.give_notice(leaving)

    def place(asked: PlacementAsked) -> PlacementGiven:
        return PlacementGiven(PLACER, asked.request_id, leaving.upstream_id, "", True)

    world.state.request_placement = place


@then('"{request_id}" did not run on the engine that is leaving')
def not_on_leaving(context: Any, request_id: str) -> None:
    """Check the engine of the run."""
    (engine,) = runs(world_of(context), request_id)
    assert engine is not context.leaving


@then("all instances know the same three placers in the same order, one of each zone")
def same_placers(context: Any) -> None:
    """Compare the placers that each instance computes."""
    (placers,) = {FleetRoles.from_fleet(own, context.fleet).placers for own in context.fleet}
    zones = {instance.instance_id: instance.zone for instance in context.fleet}
    assert sorted(zones[placer] for placer in placers) == sorted(set(zones.values())), placers
    collecting = [own for own in context.fleet if own.instance_id in placers]
    assert all(FleetRoles.from_fleet(own, context.fleet).is_collector for own in collecting)


@then("a small fleet has none")
def small_has_none(context: Any) -> None:
    """Compute the roles of a part of the fleet."""
    assert FleetRoles.from_fleet(context.fleet[0], context.fleet[:8]).placers == ()


@then(
    "of a model's streams under {few:d} in 100 start late with one placer for all,"
    " and over {many:d} without"
)
def model_shows_it(context: Any, few: int, many: int) -> None:
    """Run the model with and without a placer."""
    seed, late_s = 1, zone_placement.LATE_S
    alone = zone_placement.play(seed, knows_all=False, seconds=MODEL_SECONDS)
    placed = zone_placement.play(seed, knows_all=True, seconds=MODEL_SECONDS)
    late = [sum(wait > late_s for wait in row.waits) / len(row.waits) for row in (alone, placed)]
    assert late[0] > many / 100 and late[1] < few / 100, late
