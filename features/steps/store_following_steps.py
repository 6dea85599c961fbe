"""Test that another instance follows the store in place of followers that it does not answer."""

from __future__ import annotations

from collections import Counter
from typing import Any

from behave import given, then, when

from driftstall.decisions.store_following import order_candidates
from driftstall.gateway.follow_messages import FollowAnswered, FollowRequested
from driftstall.gateway.watch_delegation import LARGE_FLEET_WATCH_S
from driftstall.peers.codec import HEADER, decode, encode, message_types_of
from driftstall.peers.envelope import Envelope
from driftstall.peers.gateway_messages import GatewayMessage, GatewayReport
from features.worlds.store_following_world import Access, SimulatedFleet

SEEDS = (1, 2, 3)
"""Phases of the periodic reports and watches differ by seed."""
SETTLE_S = 8.0
FEEDS = 3
MAX_LAG_S = 8.0
KEY = b"peer key for tests only"


@given("a fleet of {count:d} instances in {zones:d} zones, {following:d} of which follow the store")
def fleet_follows(context: Any, count: int, zones: int, following: int) -> None:
    """Run a fleet for each seed until it is settled."""
    context.fleets = []
    for seed in SEEDS:
        # Cleanups run in the reverse order, so the product's own clock is in use again at the end.
        fleet = SimulatedFleet(count, zones, seed)
        context.add_cleanup(fleet.close)
        context.fleets.append(fleet)
        fleet.time.run(SETTLE_S)
        assert len(fleet.followers) == following, fleet.followers


def each_fleet(context: Any) -> Any:
    """Yield the fleets, each with its own clock in use."""
    for fleet in context.fleets:
        fleet.use()
        yield fleet


def next_candidates(fleet: SimulatedFleet, count: int) -> tuple[str, ...]:
    """Return the first candidates that are no followers."""
    roles = fleet.nodes[fleet.followers[0]]._roles()
    ordered = order_candidates((roles.followers, roles.standbys, fleet.nodes))
    return tuple(name for name in ordered if name not in roles.followers)[:count]


@when("the store rejects the followers")
def rejects_followers(context: Any) -> None:
    """Reject the followers' calls, and reset their watches."""
    for fleet in each_fleet(context):
        fleet.store.set_access(fleet.followers, Access.REJECTED)


@when("the store rejects new calls of the followers")
def rejects_new_calls(context: Any) -> None:
    """Reject the followers' new calls, and let their watches end as usual."""
    for fleet in each_fleet(context):
        fleet.store.set_access(fleet.followers, Access.REJECTED, resets=False)


@when("the store rejects one follower")
def rejects_one(context: Any) -> None:
    """Reject the first follower."""
    for fleet in each_fleet(context):
        fleet.store.set_access(fleet.followers[:1], Access.REJECTED)


@then("{seconds:g} s later it has not started to follow for a second reason")
def no_second_reason(context: Any, seconds: float) -> None:
    """Check the counters of standbys, which would make further calls."""
    for fleet in each_fleet(context):
        fleet.time.run(seconds)
    no_standby(context)


@then("no collector has followed the store in place of silent followers")
def no_standby(context: Any) -> None:
    """Check the counters since the start."""
    for fleet in each_fleet(context):
        starts = {
            name: node.state.stats.standby_starts
            for name, node in fleet.nodes.items()
            if node.state.stats.standby_starts
        }
        assert not starts, starts


@when("the store does not answer the followers")
def ignores_followers(context: Any) -> None:
    """Leave the followers' calls and watches without an answer."""
    for fleet in each_fleet(context):
        fleet.store.set_access(fleet.followers, Access.SILENT)


@when("the store rejects the followers and the next {count:d} candidates")
def rejects_candidates(context: Any, count: int) -> None:
    """Reject the followers and the candidates after them."""
    for fleet in each_fleet(context):
        rejected = (*fleet.followers, *next_candidates(fleet, count))
        fleet.store.set_access(rejected, Access.REJECTED)


@when("the store rejects the followers and does not answer the next {count:d} candidates")
def ignores_candidates(context: Any, count: int) -> None:
    """Reject the followers, and ignore the candidates after them."""
    for fleet in each_fleet(context):
        fleet.store.set_access(next_candidates(fleet, count), Access.SILENT)
        fleet.store.set_access(fleet.followers, Access.REJECTED)


@when("the store rejects all collectors")
def rejects_collectors(context: Any) -> None:
    """Reject the calls of all collectors."""
    for fleet in each_fleet(context):
        fleet.store.set_access(fleet.collectors, Access.REJECTED)


@when("the store rejects all instances")
def rejects_all(context: Any) -> None:
    """Reject all calls."""
    for fleet in each_fleet(context):
        fleet.store.set_access(fleet.nodes, Access.REJECTED)


@given("each follower's first {count:d} requests to follow are lost")
def loses_requests(context: Any, count: int) -> None:
    """Lose the first requests of each sender."""
    for fleet in each_fleet(context):
        lost: Counter[str] = Counter()

        def is_lost(sender: str, recipient: str, message: Any, lost: Counter[str] = lost) -> bool:
            if not isinstance(message, FollowRequested):
                return False
            lost[sender] += 1
            return lost[sender] <= count

        fleet.is_lost = is_lost


@given("each candidate's first answer to a request to follow is lost")
def loses_answers(context: Any) -> None:
    """Lose the first answer of each candidate to each requester."""
    for fleet in each_fleet(context):
        lost: set[tuple[str, str]] = set()

        def is_lost(
            sender: str, recipient: str, message: Any, lost: set[tuple[str, str]] = lost
        ) -> bool:
            if not isinstance(message, FollowAnswered) or (sender, recipient) in lost:
                return False
            lost.add((sender, recipient))
            return True

        fleet.is_lost = is_lost


@when("the followers are cut off from the store and from all peers")
def cuts_off(context: Any) -> None:
    """Cut the followers off; nobody is told."""
    for fleet in each_fleet(context):
        fleet.dead = set(fleet.followers)
        fleet.cut |= fleet.dead
        fleet.store.set_access(fleet.dead, Access.SILENT)


@when("{seconds:g} s later the instance that follows in their place dies")
def substitute_dies(context: Any, seconds: float) -> None:
    """Cut off the substitutes from everything."""
    for fleet in each_fleet(context):
        fleet.time.run(seconds)
        fleet.dead = set(fleet.substitutes)
        assert fleet.dead
        fleet.cut |= fleet.dead
        fleet.store.set_access(fleet.dead, Access.SILENT)


@when("{seconds:g} s later the store rejects the instance that follows in their place")
def substitute_rejected(context: Any, seconds: float) -> None:
    """Reject the substitutes' calls."""
    for fleet in each_fleet(context):
        fleet.time.run(seconds)
        assert fleet.substitutes
        fleet.store.set_access(fleet.substitutes, Access.REJECTED)


@when("{seconds:g} s later the store answers all")
def answers_all(context: Any, seconds: float) -> None:
    """Answer all calls again."""
    for fleet in each_fleet(context):
        fleet.time.run(seconds)
        assert fleet.substitutes
        fleet.store.set_access(fleet.nodes, Access.ANSWERED)


@when("a change is stored {seconds:g} s later")
@when("another change is stored {seconds:g} s later")
def change_stored(context: Any, seconds: float) -> None:
    """Store a configuration, an upstream and a cordon."""
    for fleet in each_fleet(context):
        fleet.time.run(seconds)
        fleet.number = fleet.store.change()


@then("it is in force at all instances within {seconds:g} s")
@then("it is in force at all other instances within {seconds:g} s")
def in_force(context: Any, seconds: float) -> None:
    """Check the time until the change of each kind is in force."""
    lags = [
        fleet.lag_s(fleet.number, MAX_LAG_S, set(fleet.nodes) - fleet.dead)
        for fleet in each_fleet(context)
    ]
    assert max(lags) <= seconds, lags


@then("one instance follows in place of the followers")
def one_follows(context: Any) -> None:
    """Check the number of substitutes that are alive, once searches have ended."""
    for fleet in each_fleet(context):
        fleet.time.run(0.5)
        substitutes = set(fleet.substitutes) - fleet.dead
        assert len(substitutes) == 1, substitutes


@then("{seconds:g} s later no instance follows in place of others")
def none_follows(context: Any, seconds: float) -> None:
    """Check that substitutes have ended."""
    for fleet in each_fleet(context):
        fleet.time.run(seconds)
        assert fleet.substitutes == (), fleet.substitutes


@then("in {seconds:g} s only the followers call the store")
def only_followers(context: Any, seconds: float) -> None:
    """Check who calls the store."""
    for fleet in each_fleet(context):
        fleet.since = fleet.time.now()
        fleet.time.run(seconds)
        callers = {call.instance_id for call in fleet.calls(fleet.since)}
        assert callers == set(fleet.followers), callers


@then("they make no more calls than watches of 0.8 s need")
def no_more_calls(context: Any) -> None:
    """Check the number of calls since the step before."""
    for fleet in each_fleet(context):
        seconds = fleet.time.now() - fleet.since
        most = FEEDS * len(fleet.followers) * (seconds / LARGE_FLEET_WATCH_S + 1)
        assert len(fleet.calls(fleet.since)) <= most, (len(fleet.calls(fleet.since)), most)


@then("no request to follow is sent")
def no_request(context: Any) -> None:
    """Check the messages since the start."""
    for fleet in each_fleet(context):
        assert not [sent for sent in fleet.sent if isinstance(sent[3], FollowRequested)]


@then("in {seconds:g} s the store gets at most {most:d} calls")
def bounded_calls(context: Any, seconds: float, most: int) -> None:
    """Count the calls of all instances; without requests to follow there are about 270."""
    for fleet in each_fleet(context):
        since = fleet.time.now()
        fleet.time.run(seconds)
        assert len(fleet.calls(since)) <= most, len(fleet.calls(since))


@then("requests, answers and the age in a follower's report are decoded as they were encoded")
def decoded(context: Any) -> None:
    """Encode and decode one message of each kind."""
    kinds = message_types_of(GatewayMessage)
    for fleet in each_fleet(context):
        report = next(
            message
            for _, sender, _, message in reversed(fleet.sent)
            if isinstance(message, GatewayReport) and sender in fleet.followers
        )
        assert report.platform_age_ms > 0, report
        for message in (
            report,
            FollowRequested("instance-1", 7, ("instance-1", "instance-2")),
            FollowAnswered("instance-2", 7, False, ("instance-2",)),
        ):
            frame = encode(Envelope("instance-1", "instance-2", 1, message), KEY)
            assert decode(frame[HEADER.size :], KEY, kinds).message == message


@then("only reports of instances that follow the store carry an age")
def only_followers_report(context: Any) -> None:
    """Check the latest report of each instance."""
    for fleet in each_fleet(context):
        latest = {
            sender: message
            for _, sender, _, message in fleet.sent
            if isinstance(message, GatewayReport)
        }
        reporting = {name for name, report in latest.items() if report.platform_age_ms}
        assert reporting == set(fleet.followers), reporting
