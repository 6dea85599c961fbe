"""Test the order of copies off a leaving engine, in a simulated fleet and part by part."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from behave import given, then, when

from driftstall.const import PREFIX_RELAY
from driftstall.decisions.evacuation_order import (
    MAX_ATTEMPTS,
    REPLICA_HEAD_START_S,
    CopyCandidate,
    choose_next,
)
from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.loads import Use
from driftstall.gateway.moves import Mover
from driftstall.gateway.routes import RouteTable
from driftstall.gateway.runs import Replica, ReplicaRef
from driftstall.gateway.scheduling.copy_performer import (
    FIRST_ORDER_TIMEOUT_S,
    ORDERS_TIMEOUT_S,
    CopyPerformer,
)
from driftstall.gateway.scheduling.engine_ledger import REPORT_VALID_S, EngineLedger
from driftstall.gateway.scheduling.evacuation_messages import (
    CopyEnded,
    CopyOrdered,
    EvacuationRequested,
)
from driftstall.gateway.scheduling.evacuation_orders import EvacuationOrders
from driftstall.gateway.scheduling.memory_queue import MemoryQueue
from driftstall.gateway.scheduling.queue_messages import (
    HeldRun,
    QueueAnswered,
    QueueAsked,
    QueueLeft,
    QueueOutcome,
    RunsReported,
)
from driftstall.gateway.scheduling.queue_service import TAKEOVER_S
from driftstall.gateway.state import GatewayState
from driftstall.platform.dialect import PlatformDialect
from driftstall.platform.documents import read_routing
from driftstall.policy.default import default_policy
from features.steps.placer_steps import settings_of
from features.worlds.evacuation_world import HOP_S, LEAVING, EvacuationWorld, Instance, routing
from features.worlds.gateway_world import document, route, wait_for, world_of

LENGTHS = [600, 400, 700, 500, 300, 650, 450]
"""Output tokens of the streams so far."""
HEARD_S = 0.05
"""Time after the notice at which instances learn of it."""
CANDIDATE = CopyCandidate("usual", 3_500, 5, 4.0, 0.2, has_events=True, has_replica=False)


def fleet_of(context: Any) -> EvacuationWorld:
    """Return the scenario's fleet."""
    fleet: EvacuationWorld = context.evacuating
    return fleet


def give_notice(context: Any, seconds: float, delays_s: dict[str, float]) -> None:
    """Give notice, and let the engine end."""
    fleet = fleet_of(context)
    context.notice_at = fleet.time.now
    fleet.give_notice(seconds, delays_s)
    fleet.pass_time(seconds)


@given("a large fleet with 7 streams of 7 instances on one engine, seed {seed:d}")
def large_fleet(context: Any, seed: int) -> None:
    """Create the fleet on virtual time."""
    fleet = context.evacuating = EvacuationWorld(seed)
    fleet.patch(context)
    fleet.add_streams(LENGTHS)
    fleet.pass_time(TAKEOVER_S)


@given('"{name}" is the emptiest, and rejects all copies')
def emptiest_rejects(context: Any, name: str) -> None:
    """Let other instances use the other engines of the zone."""
    fleet_of(context).links.rejecting = {name}
    is_emptier(context, name)


@given('"{name}" is emptier than the others')
def is_emptier(context: Any, name: str) -> None:
    """Let other instances use the other engines of the zone."""
    fleet = fleet_of(context)
    for number, engine in enumerate(fleet.engines):
        if engine.zone == "a" and engine not in fleet.leaving and engine.upstream_id != name:
            fleet.fill(number, 10_000)
    fleet.pass_time(0.05)


@given("no placer answers any instance")
def no_placer(context: Any) -> None:
    """Let the instances know that they have no placer, and take no time before their turn."""
    for instance in fleet_of(context).instances.values():
        instance.roles = FleetRoles(is_large=True)
        instance.state.rng.random = lambda: 0.0  # type: ignore[method-assign]


@given("all engines reject all copies")
def all_reject(context: Any) -> None:
    """Let no engine have room, other than the ledger tells."""
    fleet = fleet_of(context)
    fleet.links.rejecting = {engine.upstream_id for engine in fleet.engines}


@given("the first message of each order is lost")
def first_lost(context: Any) -> None:
    """Lose each order once."""
    fleet_of(context).loses = loses_first(CopyOrdered)


@given("the first report of each copy's end is lost")
def first_end_lost(context: Any) -> None:
    """Lose each report once."""
    fleet_of(context).loses = loses_first(CopyEnded)


def loses_first(kind: type) -> Callable[[str, str, Any], bool]:
    """Return a function that loses the first message of each content."""
    seen: set[Any] = set()

    def loses(_: str, __: str, message: Any) -> bool:
        if not isinstance(message, kind) or message in seen or not message.request_id:  # type: ignore[attr-defined]
            return False
        seen.add(message)
        return True

    return loses


@given('the reports of "{name}" are lost from the start')
def reports_lost(context: Any, name: str) -> None:
    """Lose the reports, and let those from before expire."""
    fleet = fleet_of(context)
    fleet.loses = lambda sender, _, message: sender == name and isinstance(message, RunsReported)
    fleet.pass_time(REPORT_VALID_S + 0.1)
    for placer in fleet.placers:
        fleet.instances[placer].queue.ledger.expire(fleet.time.now)


@given("no reports arrive from the notice on")
def no_reports(context: Any) -> None:
    """Lose all reports of runs."""
    fleet_of(context).loses = lambda _, __, message: isinstance(message, RunsReported)


@given("the placer has a stream there itself")
def placer_has_stream(context: Any) -> None:
    """Add a stream of the placer."""
    fleet = fleet_of(context)
    fleet.instances["placer-1"].add_run("s8", 500, fleet.engines[0], events=100)
    fleet.pass_time(0.05)


@given("another engine with {count:d} streams leaves at the same time")
def two_leave(context: Any, count: int) -> None:
    """Let members have streams on a second leaving engine."""
    fleet = fleet_of(context)
    fleet.leaving.append(fleet.engines[1])
    for number, member in zip(range(count), fleet.members, strict=False):
        member.add_run(f"t{number}", 500, fleet.engines[1], events=100)
    fleet.pass_time(0.05)


@given("the engines of its zone hold {held:d} tokens each, and those of the other zone {far:d}")
def engines_hold(context: Any, held: int, far: int) -> None:
    """Fill the engines that may become targets."""
    fleet = fleet_of(context)
    for number, engine in enumerate(fleet.engines[1:], 1):
        fleet.fill(number, held if engine.zone == "a" else far)
    fleet.pass_time(0.05)


@given('only "{name}" has room for one stream more, and {what}')
def one_has_room(context: Any, name: str, what: str) -> None:
    """Fill all engines, one of them a little less."""
    fleet = fleet_of(context)
    for number, engine in enumerate(fleet.engines[1:], 1):
        has_room = engine.upstream_id == name
        fleet.fill(number, 22_500 if has_room else 26_500)
    if what == "rejects it":
        fleet.links.rejecting = {name}
    fleet.pass_time(0.05)


@given('a periodic copy of the stream of "{name}" begins {before:g} s before the notice arrives')
def periodic_copy(context: Any, name: str, before: float) -> None:
    """Start a copy; the next report tells the placer."""
    fleet = fleet_of(context)
    member = fleet.instances[name]
    (run,) = member.state.runs.all
    mover = Mover(member.state)
    fleet.time.spawn_later(HEARD_S - before, mover.copy, run, fleet.engines[2])


@then('the stream of "{name}" is whole and was copied to one engine only')
def whole_at_one(context: Any, name: str) -> None:
    """Check the targets of the stream's steps, none of which overlapped another."""
    fleet, request_id = fleet_of(context), name.replace("member-", "s")
    assert request_id in fleet.links.whole, fleet.links.whole
    targets = {target for copied, target in fleet.links.steps if copied == request_id}
    assert targets == {"engine-2"}, targets
    assert not fleet.links.copied_twice_at_once


@then("it heard at once that orders are being given")
def heard_at_once(context: Any) -> None:
    """Check the time between its request and the first message to it."""
    sent = fleet_of(context).sent
    (asked_at,) = [
        at
        for at, _, message in sent
        if getattr(message, "sender", "") == "member-7" and isinstance(message, EvacuationRequested)
    ]
    heard_at = min(at for at, to, _ in sent if to == "member-7" and at > asked_at)
    assert heard_at <= asked_at + 2 * HOP_S, heard_at - asked_at


@then("at least {least:d} streams that the placer knows are whole when it ends")
def known_whole(context: Any, least: int) -> None:
    """Count the streams of all instances that report."""
    whole = [each for each in fleet_of(context).links.whole if each != "s7"]
    assert len(whole) >= least, whole


@then("the instance that the placer does not know did not copy before the others were whole")
def unknown_waited(context: Any) -> None:
    """Compare the start of its copy with the end of the ordered ones."""
    fleet = fleet_of(context)
    last_order = max(at for at, _, message in fleet.sent if isinstance(message, CopyOrdered))
    assert fleet.links.began_at["s7"] >= last_order + ORDERS_TIMEOUT_S


@then("no stream is copied to a leaving engine, and the first two targets differ")
def targets_differ(context: Any) -> None:
    """Check the orders of both evacuations."""
    fleet = fleet_of(context)
    orders = fleet.orders()
    leaving = {engine.upstream_id for engine in fleet.leaving}
    assert {order.upstream_id for order in orders[:2]} == leaving
    assert not leaving & {order.target_id for order in orders}
    assert orders[0].target_id != orders[1].target_id


@then("all copies were ordered to engines of {zone}")
def ordered_to_zone(context: Any, zone: str) -> None:
    """Check the targets' zones."""
    fleet = fleet_of(context)
    zones = {engine.upstream_id: engine.zone for engine in fleet.engines}
    ordered = {zones[order.target_id] for order in fleet.orders()}
    assert ordered == {"a" if zone == "its zone" else "b"}, ordered


@then("no stream was ordered there twice")
def not_there_twice(context: Any) -> None:
    """Check the orders to the only target."""
    ordered = Counter(order.request_id for order in fleet_of(context).orders())
    assert ordered and max(ordered.values()) == 1, ordered


@then("the queue grants that room to nobody while the copy is made, and again once it has failed")
def queue_respects_copy(context: Any) -> None:
    """Ask the placer's queue right after an order, and again after the copy's end."""
    fleet = fleet_of(context)
    placer = fleet.instances["placer-1"]
    fleet.give_notice(2.0)
    while not fleet.orders():
        fleet.pass_time(0.001)
    order = fleet.orders()[0]
    assert ask_queue(context, "during") is QueueOutcome.QUEUED
    placer.queue.handle(QueueLeft("member-1", ("during",)))
    placer.orders.orderer.advance = lambda upstream_id: None  # type: ignore[method-assign]
    ended = CopyEnded("member-1", order.number, order.request_id, moved=False)
    placer.orders.handle(ended)
    assert ask_queue(context, "after") is QueueOutcome.GRANTED


def ask_queue(context: Any, request_id: str) -> QueueOutcome:
    """Ask the placer for engine memory on behalf of a member; return its answer."""
    fleet = fleet_of(context)
    answers: list[QueueAnswered] = []

    def collect(_: str, __: str, message: Any) -> bool:
        if isinstance(message, QueueAnswered):
            answers.append(message)
        return False

    fleet.loses = collect
    fleet.instances["placer-1"].queue.handle(
        QueueAsked(
            sender="member-1",
            request_id=request_id,
            service="engines",
            workspace="north",
            rank=0,
            route_rank=0,
            share=1.0,
            prompt_tokens=2_200,
            output_tokens=8,
            hold_s=0.4,
            zone="a",
            avoid=(),
            wants_backup=False,
            waited_s=0.0,
            start_by_s=1.0,
            gives_up_s=5.0,
            may_refuse=True,
            ticket="",
        )
    )
    return answers[0].outcome


@given('all orders to "{name}" are lost')
def orders_lost(context: Any, name: str) -> None:
    """Lose the orders to one instance."""
    fleet_of(context).loses = lambda _, recipient, message: (
        recipient == name and isinstance(message, CopyOrdered)
    )


@given('no end of a copy is reported by "{name}"')
def ends_lost(context: Any, name: str) -> None:
    """Lose the reports of one instance about ended copies."""
    fleet_of(context).loses = lambda sender, _, message: (
        sender == name and isinstance(message, CopyEnded)
    )


@given('"{name}" fails just before the notice, with 3 streams more')
def fails_before(context: Any, name: str) -> None:
    """Let an instance report three streams more, then stop it."""
    fleet = fleet_of(context)
    member = fleet.instances[name]
    context.lost_streams = ["s4", *(f"more-{number}" for number in range(3))]
    for request_id in context.lost_streams[1:]:
        member.add_run(request_id, 500, fleet.engines[0], events=100, rank=0)
    fleet.pass_time(0.1)
    member.is_alive = False


@given("the placers have failed")
def placers_failed(context: Any) -> None:
    """Stop the placers; the others do not know yet."""
    for placer in fleet_of(context).placers:
        fleet_of(context).instances[placer].is_alive = False


@given("half of the instances take the second placer for the first")
def two_placers(context: Any) -> None:
    """Let instances see different roles for a moment."""
    fleet = fleet_of(context)
    swapped = FleetRoles(is_large=True, placers=fleet.placers[::-1])
    for name in ("placer-2", "member-2", "member-4", "member-6"):
        fleet.instances[name].roles = swapped


@given('the stream of "{name}" produces its first event {seconds:g} s after the notice')
def late_event(context: Any, name: str, seconds: float) -> None:
    """Let the engine prefill the stream's prompt until then."""
    prefill(context, fleet_of(context).instances[name], seconds)


@given("all streams produce their first event {seconds:g} s after the notice")
def late_events(context: Any, seconds: float) -> None:
    """Let the engine prefill all prompts until then."""
    for member in fleet_of(context).members:
        prefill(context, member, seconds)


def prefill(context: Any, member: Instance, seconds: float) -> None:
    """Take back a stream's events, and let the first one come some seconds later."""
    fleet = fleet_of(context)
    (run,) = member.state.runs.all
    run.events = run.tokens = 0
    fleet.pass_time(0.05)

    def produce() -> None:
        run.events, run.tokens = 1, 4
        member.state.record_run_load(run)

    fleet.time.spawn_later(seconds, produce)


@given('the stream of "{name}" has a replica that lacks {tokens:d} tokens')
def has_replica(context: Any, name: str, tokens: int) -> None:
    """Give the stream a recent replica on another engine."""
    fleet = fleet_of(context)
    (run,) = fleet.instances[name].state.runs.all
    holder, copied = fleet.engines[2], run.held_tokens - tokens
    run.replica_target = holder
    ref = ReplicaRef(holder, "copy", named_by=LEAVING)
    run.replica = Replica(ref, fleet.time.now, copied)
    fleet.links.copied[run.request_id, holder.upstream_id] = copied
    fleet.pass_time(0.05)


@given("the fleet counts as a small one")
def small_fleet(context: Any) -> None:
    """Give all instances the roles of a small fleet."""
    for instance in fleet_of(context).instances.values():
        instance.roles = FleetRoles()


@given("the service has no queue for engine memory")
def no_queue(context: Any) -> None:
    """Rank long streams before short ones."""
    raw = routing()
    raw["routes"][0]["priority"], raw["routes"][1]["priority"] = 5, 0
    table = RouteTable.from_document(read_routing(raw))
    for instance in fleet_of(context).instances.values():
        instance.state.route_table = table


@when("the engine gives {seconds:g} s of notice")
def gives_notice(context: Any, seconds: float) -> None:
    """Give notice; all instances learn of it soon."""
    give_notice(context, seconds, {})


@when("the engine gives {seconds:g} s of notice, which reaches instances up to {late:g} s late")
def reaches_late(context: Any, seconds: float, late: float) -> None:
    """Let the notice reach each member a little later than the one before."""
    members = fleet_of(context).members
    delays = {member.name: late * n / len(members) for n, member in enumerate(members, 1)}
    give_notice(context, seconds, delays)


@when(
    "the engine gives {seconds:g} s of notice, of which only the placer hears in the first second"
)
def only_placer_hears(context: Any, seconds: float) -> None:
    """Let the notice reach the members late."""
    fleet = fleet_of(context)
    fleet.time.spawn_later(0.999, record_first_second, context)
    give_notice(context, seconds, {member.name: 1.0 for member in fleet.members})


def record_first_second(context: Any) -> None:
    """Record what has happened when the members are about to hear of the notice."""
    fleet = fleet_of(context)
    context.whole_early = len(fleet.links.whole)
    context.paused_at = [member.state.notice_at for member in fleet.members]


@then("{least:d} streams were whole before their instances heard of the notice")
def whole_early(context: Any, least: int) -> None:
    """Check the copies completed in the first second."""
    assert context.whole_early >= least, context.whole_early


@then("the instances pause their periodic copies from the first order on")
def paused_early(context: Any) -> None:
    """Check that each member has taken the order for a notice."""
    assert min(context.paused_at) > context.notice_at, context.paused_at


@when("the engine gives {seconds:g} s of notice, of which the placers do not hear")
def placers_do_not_hear(context: Any, seconds: float) -> None:
    """Let the notice reach the placers after the engine's end."""
    give_notice(context, seconds, dict.fromkeys(fleet_of(context).placers, seconds + 1.0))


@when("the engine gives {seconds:g} s of notice, and the placers fail {after:g} s after it")
def placers_fail(context: Any, seconds: float, after: float) -> None:
    """Stop the placers during the evacuation."""
    fleet = fleet_of(context)
    context.failed_at = fleet.time.now + after

    def stop() -> None:
        for placer in fleet.placers:
            fleet.instances[placer].is_alive = False

    fleet.time.spawn_later(after, stop)
    give_notice(context, seconds, {})


@then("at least {least:d} streams are whole when it ends")
def streams_whole(context: Any, least: int) -> None:
    """Count the completed final copies."""
    whole = fleet_of(context).links.whole
    assert len(whole) >= least, whole


@then("no two copies overlapped on its link")
def none_overlapped(context: Any) -> None:
    """Check the largest number of copies at the same time."""
    assert fleet_of(context).links.most_active == {LEAVING: 1}


@then("the counters tell of as many copies ordered and moved, and of no instance alone")
def counters_tell(context: Any) -> None:
    """Compare the counters; the last copy may be cut off by the engine's end."""
    fleet = fleet_of(context)
    ordered, moved = fleet.counted("copies_ordered"), fleet.counted("copies_ended_moved")
    whole = len(fleet.links.whole)
    assert moved in (whole, whole - 1) and moved <= ordered <= 7, (ordered, moved, whole)
    assert fleet.counted("evacuations_alone") == 0


@then('the first stream was ordered to "{name}", then to another, where it was whole')
def whole_at_second(context: Any, name: str) -> None:
    """Check the first two orders and the first complete copy."""
    fleet = fleet_of(context)
    first, second = fleet.orders()[:2]
    assert first.request_id == second.request_id == fleet.links.whole[0]
    assert first.target_id == name != second.target_id


@then('no other stream was ordered to "{name}"')
def none_ordered_to(context: Any, name: str) -> None:
    """Check the targets of the other orders."""
    orders = fleet_of(context).orders()
    assert name not in {order.target_id for order in orders[1:]}, orders


@then("each order and each end has one log line, with what decided and its age")
def logged_once(context: Any) -> None:
    """Compare the lines with the counters."""
    fleet = fleet_of(context)
    lines = [(text, more) for prefix, text, more in fleet.logged if prefix == PREFIX_RELAY]
    ordered = [more for text, more in lines if text == f"A copy off {LEAVING} is ordered"]
    assert len(ordered) == fleet.counted("copies_ordered") == len(fleet.orders())
    asked = {"request", "target", "held_tokens", "rank", "ends_in_ms", "time_left_ms"}
    assert all(asked | {"report_age_ms"} <= more.keys() for more in ordered), ordered
    moved = [more for text, more in lines if text.endswith("has ended: moved")]
    assert len(moved) == fleet.counted("copies_ended_moved"), moved


@then("each stream was ordered to 2 targets")
def two_targets(context: Any) -> None:
    """Check that no order was given a third time, or to the same target."""
    orders = fleet_of(context).orders()
    by_request = Counter(order.request_id for order in orders)
    assert len(by_request) == 7 and set(by_request.values()) == {MAX_ATTEMPTS}, by_request
    assert len({(order.request_id, order.target_id) for order in orders}) == len(orders)


@then("each instance went on alone {seconds:g} s after the last order")
def alone_after_last(context: Any, seconds: float) -> None:
    """Check the steps after the orders have ended."""
    fleet = fleet_of(context)
    assert fleet.counted("evacuations_alone") == len(fleet.members)
    last_order = max(at for at, _, message in fleet.sent if isinstance(message, CopyOrdered))
    assert seconds == ORDERS_TIMEOUT_S
    assert not [at for at in fleet.links.step_times if last_order + 0.1 < at < last_order + seconds]


@then("each stream was moved at most once")
def moved_once(context: Any) -> None:
    """Check that no final copy was repeated."""
    whole = fleet_of(context).links.whole
    assert len(whole) == len(set(whole)), whole


@then("the streams of all other instances are whole when it ends")
def others_whole(context: Any) -> None:
    """Check the streams of the instances that are alive."""
    whole = set(fleet_of(context).links.whole)
    assert whole == {f"s{number}" for number in range(1, 8)} - set(context.lost_streams), whole


@then(
    "no copy began earlier than {seconds:g} s after the notice was known,"
    " and each instance went on alone"
)
def alone_after(context: Any, seconds: float) -> None:
    """Check the start of the first copy."""
    fleet = fleet_of(context)
    assert seconds in (FIRST_ORDER_TIMEOUT_S, REPLICA_HEAD_START_S)
    began = min(fleet.links.began_at.values()) - context.notice_at - HEARD_S
    assert began >= seconds, began
    assert fleet.counted("evacuations_alone") == len(fleet.members)


@then("instances that still had a stream went on alone {seconds:g} s after their last order")
def alone_midway(context: Any, seconds: float) -> None:
    """Check the copies after the placers' failure."""
    fleet = fleet_of(context)
    assert seconds == ORDERS_TIMEOUT_S
    last_order = max(at for at, _, message in fleet.sent if isinstance(message, CopyOrdered))
    later = [at for at in fleet.links.began_at.values() if at > context.failed_at]
    assert later and min(later) >= last_order + seconds, (later, last_order)
    ordered = {order.request_id for order in fleet.orders()}
    assert fleet.counted("evacuations_alone") == len(fleet.members) - len(ordered)


@then("both have ordered copies")
def both_ordered(context: Any) -> None:
    """Check the senders of the orders."""
    fleet = fleet_of(context)
    assert {order.sender for order in fleet.orders()} == set(fleet.placers)


@then("no stream was copied twice at once")
def not_twice(context: Any) -> None:
    """Check for overlapping steps of one stream."""
    twice = fleet_of(context).links.copied_twice_at_once
    assert not twice, twice


@then('the stream of "{name}" is whole when it ends')
def is_whole(context: Any, name: str) -> None:
    """Check one stream."""
    assert name.replace("member-", "s") in fleet_of(context).links.whole


@then('the stream of "{name}" is whole first, and its copy was not ordered')
def whole_first(context: Any, name: str) -> None:
    """Check that the stream's own instance has moved it."""
    fleet, request_id = fleet_of(context), name.replace("member-", "s")
    assert fleet.links.whole[0] == request_id, fleet.links.whole
    assert request_id not in {order.request_id for order in fleet.orders()}


@then("no message about its evacuation was sent")
def nothing_sent(context: Any) -> None:
    """Check that each instance decides alone, and still copies."""
    fleet = fleet_of(context)
    assert not fleet.sent and fleet.links.steps


@given('a ledger that knows a stream of {tokens:d} tokens on "{engine}"')
def ledger(context: Any, tokens: int, engine: str) -> None:
    """Report one stream without further growth."""
    context.ledger, context.tokens = EngineLedger(), tokens
    report(context, engine, "")


@when('its copy to "{engine}" is ordered')
def copy_ordered(context: Any, engine: str) -> None:
    """Count the copy on its target for a while."""
    context.ledger.add_copy("s1", engine, context.tokens, 10.5)


@when('its instance reports the copy to "{engine}"')
def copy_reported(context: Any, engine: str) -> None:
    """Report the copy's target as the holder of a replica."""
    report(context, LEAVING, engine)


@when('it is reported to run on "{engine}"')
def run_reported(context: Any, engine: str) -> None:
    """Report the stream after its move."""
    report(context, engine, "")


def report(context: Any, upstream_id: str, backup_id: str) -> None:
    """Report the stream's engine and the holder of its replica."""
    run = HeldRun("s1", upstream_id, context.tokens, 0, 0, backup_id, 5, 4.0, bool(backup_id))
    context.ledger.record_report(RunsReported("member-1", "a", (run,)), 10.0)


@then('{tokens:d} tokens count on "{engine}"')
def tokens_count(context: Any, tokens: int, engine: str) -> None:
    """Check the engine's load."""
    use = context.ledger.uses()[engine]
    assert use.tokens + use.copies == tokens, use


@then('none count on "{engine}" once the copy has ended, or its time has passed')
def none_count(context: Any, engine: str) -> None:
    """Release the copy in both ways."""
    context.ledger.expire(10.4)
    assert engine in context.ledger.uses()
    context.ledger.expire(10.5)
    assert engine not in context.ledger.uses()
    context.ledger.add_copy("s1", engine, context.tokens, 11.0)
    assert context.ledger.uses()[engine] == Use(engine, copies=context.tokens)
    context.ledger.remove_copy("s1")
    assert engine not in context.ledger.uses()


def first_of(time_left_s: float, *others: CopyCandidate) -> str:
    """Return the request id that is copied first, whatever the order of the candidates."""
    candidates = [CANDIDATE, *others]
    chosen = {choose_next(each, time_left_s) for each in (candidates, candidates[::-1])}
    (first,) = chosen
    assert first is not None
    return first.request_id


@then("with {left:g} s left a stream of rank 0 comes before one of rank 5")
def rank_first(context: Any, left: float) -> None:
    """Compare equal streams of two ranks."""
    assert first_of(left, replace(CANDIDATE, request_id="urgent", rank=0)) == "urgent"


@then(
    "with {left:g} s left a stream that runs {long:g} s more comes before one that ends in {s:g} s"
)
def longer_first(context: Any, left: float, long: float, s: float) -> None:
    """Compare with a stream that probably ends before its engine does."""
    assert CANDIDATE.ends_in_s == long
    assert first_of(left, replace(CANDIDATE, request_id="ending", ends_in_s=s)) == "usual"


@then(
    "with {left:g} s left a copy of {near:g} s in the zone comes before one of {far:g} s"
    " to another zone"
)
def near_first(context: Any, left: float, near: float, far: float) -> None:
    """Compare equal streams of which one has a target in another zone."""
    assert CANDIDATE.copy_s == near
    assert first_of(left, replace(CANDIDATE, request_id="far", copy_s=far)) == "usual"


@then("with {left:g} s left a copy of {short:g} s comes before a more valuable one of {long:g} s")
def completable_first(context: Any, left: float, short: float, long: float) -> None:
    """Compare with a copy that can't be completed."""
    valuable = replace(CANDIDATE, request_id="valuable", rank=0, copy_s=long)
    assert first_of(1.0, valuable) == "valuable" and CANDIDATE.copy_s == short
    assert first_of(left, valuable) == "usual"


@then("with {left:g} s left the shortest copy comes first, whatever its value")
def shortest_first(context: Any, left: float) -> None:
    """Compare with a more valuable stream when no copy can be completed for certain."""
    assert first_of(left, replace(CANDIDATE, request_id="v", rank=0, copy_s=0.21)) == "usual"


@then("with {left:g} s left a stream of an instance that let an order time out comes last")
def doubtful_last(context: Any, left: float) -> None:
    """Compare with a more valuable stream, then choose without an alternative."""
    timed_out = replace(CANDIDATE, request_id="timed out", rank=0, has_timed_out=True)
    assert first_of(left, timed_out) == "usual"
    assert choose_next([timed_out], left) == timed_out


@then("a stream with a replica, without an event, or that ends before its copy would is left out")
def left_out(context: Any) -> None:
    """Choose from streams that need no copy."""
    needless = [
        replace(CANDIDATE, has_replica=True),
        replace(CANDIDATE, has_events=False),
        replace(CANDIDATE, ends_in_s=CANDIDATE.copy_s),
    ]
    assert choose_next(needless, 1.0) is None


@given("the copies off its engine are ordered by another instance")
def ordered_elsewhere(context: Any) -> None:
    """Connect the orders; the messages to the placer are collected."""
    world = world_of(context)
    routes = [
        route("short", "/short/", "streaming", "engines", timeoutMs=1000, priority=0),
        route("chat", "/stream/", "streaming", "engines"),
    ]
    world.use(document(2, routes=routes))
    context.to_placer = []
    roles = FleetRoles(is_large=True, placers=("placer",))

    def send(_: str, message: Any) -> None:
        context.to_placer.append(message)

    queue = MemoryQueue(
        world.state, roles=lambda: roles, send=send, placer_gate=world.state.cold_gate
    )
    context.orders = EvacuationOrders(world.state, queue, roles=lambda: roles, send=send)
    world.evacuation.use_orders(context.orders)


@when('its engine gives notice, and the copy of "{request_id}" is ordered at once and again')
def ordered_copy(context: Any, request_id: str) -> None:
    """Wait for the request, then order the copy to an engine that is not leaving."""
    world = world_of(context)
    world.give_notice(context.engine)
    wait_for("the orders are requested", lambda: bool(context.to_placer))
    (request,) = context.to_placer
    assert request.upstream_id == context.engine.upstream_id and 0 <= request.notice_age_s < 1
    others = [engine for engine in world.engines if engine is not context.engine]
    context.target = others[-1]
    order = CopyOrdered(
        "placer", 7, request_id, context.engine.upstream_id, context.target.upstream_id
    )
    context.orders.handle(order)
    context.orders.handle(order)
    wait_for("the run is stopped", lambda: bool(context.engine.stopped))
    context.script.gate.set()
    wait_for("the end is reported", lambda: len(context.to_placer) > 1)


@then('the placer was told once that "{request_id}" moved, to the engine that it named')
def told_once(context: Any, request_id: str) -> None:
    """Check the report and the engine of the second run."""
    _, ended = context.to_placer
    assert ended == CopyEnded("instance-1", 7, request_id, moved=True), ended
    assert f"copy-{request_id}" in context.target.copies or context.target.runs(request_id)


@then("an instance that receives a sign for another engine each 20 s remembers one of them")
def forgets_orders(_: Any) -> None:
    """Count what is kept after signs for 50 engines."""
    at = 100.0
    state = GatewayState(settings_of("member"), PlatformDialect(), default_policy())
    state.now = lambda: at  # type: ignore[method-assign]
    performer = CopyPerformer(state, send=lambda recipient, message: None)
    for number in range(50):
        at += 20.0
        performer.handle_order(CopyOrdered("placer", 0, "", f"engine-{number}", ""))
    assert list(performer._last_order_at) == ["engine-49"], performer._last_order_at
    assert performer.waits_for_orders("engine-49")
