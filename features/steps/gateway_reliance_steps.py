"""Test when an instance of a large fleet watches the platform itself, not through a collector."""

from __future__ import annotations

import random
from typing import Any

from behave import given, then, when

from driftstall.decisions.store_versions import StoreVersion
from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.cordons import Cordons
from driftstall.gateway.fleet import FleetController
from driftstall.gateway.fleet_events import UpstreamChanged, UpstreamsListed, UpstreamsListedByPeer
from driftstall.gateway.loads import FLEET_KEY, POOLED_PREFIX, LoadTable, RequestLoad, Use
from driftstall.gateway.model import Upstream, UpstreamState
from driftstall.gateway.sharing import PeerUpdateHandlers, PlatformDataSharing
from driftstall.gateway.watch_delegation import (
    STARTUP_SETTLE_S,
    DelegatedWatchPacing,
    RevisionWatchPacing,
    WatchDelegation,
)
from driftstall.peers.gateway_messages import FleetAsked, FleetOffered, ZoneSummary
from features.steps.gateway_fleet_steps import apply_event
from features.worlds.gateway_world import GatewayWorld
from features.worlds.upstream_samples import upstream_of

MEMBER = FleetRoles(is_large=True, is_follower=False)
FOLLOWER = FleetRoles(is_large=True, is_collector=True, is_follower=True)
REPORT_INTERVAL_S = 0.5
STEP_S = 0.05


class Clock:
    """A monotonic clock that tests set."""

    def __init__(self) -> None:
        """Start well after zero, as a monotonic clock does."""
        self.now = 1000.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now


class SteppedFollower:
    """Step one instance through following a feed that never answers, and record its calls."""

    def __init__(self, seed: int, roles: FleetRoles = MEMBER, settle_s: float = 0.0) -> None:
        """Create the watch pacing of an instance that has read the feed once."""
        self.clock = Clock()
        self.delegation = WatchDelegation(random.Random(seed))
        self.roles = roles
        self.pace = DelegatedWatchPacing(
            self.delegation,
            lambda: self.roles,
            self.clock,
            max_watch_s=lambda: 1.6,
            settle_s=settle_s,
        )
        self.calls: list[float] = []

    def run(self, seconds: float, platform_age_s: float | None) -> None:
        """Advance the clock; a collector reports the platform's age, or nothing if it is None."""
        until = self.clock.now + seconds
        reported_at = float("-inf")
        while self.clock.now < until:
            if platform_age_s is not None and self.clock.now - reported_at >= REPORT_INTERVAL_S:
                reported_at = self.clock.now
                self.delegation.record_collector_report(platform_age_s, self.clock.now)
            if self.pace.delay_s() <= 0:
                self.calls.append(self.clock.now)
            self.clock.now += STEP_S


@given("an instance of a large fleet that hears a collector twice a second")
def hears(context: Any) -> None:
    """Advance 10 s with reports that the platform answers."""
    context.follows = SteppedFollower(1)
    context.follows.delegation.record_collector_report(0.1, context.follows.clock.now)
    context.follows.run(10.0, 0.2)


@then("it makes no call to the platform")
def no_call(context: Any) -> None:
    """Check that no call was made and that the watch is delegated."""
    assert context.follows.calls == []
    assert context.follows.pace.is_delegated


@given("an instance that starts and hears a collector after {seconds:g} s")
def starts_in_large_fleet(context: Any, seconds: float) -> None:
    """Start without knowing the fleet, then learn its size and receive reports."""
    context.follows = SteppedFollower(1, roles=FleetRoles(), settle_s=STARTUP_SETTLE_S)
    context.follows.run(seconds, None)
    context.follows.roles = MEMBER
    context.follows.run(5.0, 0.2)


@given("an instance that starts and hears nobody")
def starts_alone(context: Any) -> None:
    """Start without reports of any collector."""
    context.follows = SteppedFollower(1, roles=FleetRoles(), settle_s=STARTUP_SETTLE_S)
    context.silent_at = context.follows.clock.now
    context.follows.run(3.0, None)


@then("its first call comes after {seconds:g} s")
def first_call(context: Any, seconds: float) -> None:
    """Check the time from the start to the first call."""
    waited_s = context.follows.calls[0] - context.silent_at
    assert seconds <= waited_s < seconds + 2 * STEP_S, waited_s


@when("the collector falls silent")
def falls_silent(context: Any) -> None:
    """Advance 3 s without reports."""
    context.silent_at = context.follows.clock.now
    context.follows.run(3.0, None)


@when("the platform's last answer to the collector grows old")
def grows_old(context: Any) -> None:
    """Report an age of the platform's last answer that grows with the clock."""
    follows = context.follows
    context.silent_at = follows.clock.now
    while follows.clock.now - context.silent_at < 4.0:
        follows.run(REPORT_INTERVAL_S, 0.2 + follows.clock.now - context.silent_at)
    # A change must take effect at all instances within three seconds.
    assert not follows.pace.is_delegated


@then("it calls the platform within {seconds:g} s")
def calls_within(context: Any, seconds: float) -> None:
    """Check the time from the silence to the first call."""
    assert context.follows.calls
    assert context.follows.calls[0] - context.silent_at <= seconds, context.follows.calls[0]


@then("the instance calls the platform within {seconds:g} s")
def is_not_covered(context: Any, seconds: float) -> None:
    """Check the time of the first call."""
    calls_within(context, seconds)


@given("70 instances of a large fleet whose collectors tell of an outage of 8 s")
def outage(context: Any) -> None:
    """Report to each instance for 8 s that no collector gets an answer."""
    context.all = [SteppedFollower(seed) for seed in range(70)]
    for follower in context.all:
        follower.delegation.record_collector_report(0.1, follower.clock.now)
        follower.run(1.0, 0.2)
        follower.run(8.0, 30.0)


@then("they make fewer than {most:d} calls to the platform in all")
def few_calls(context: Any, most: int) -> None:
    """Check the number of calls of all instances together."""
    total = sum(len(follower.calls) for follower in context.all)
    assert total < most, total


@then("each of them calls at least once")
def each_calls(context: Any) -> None:
    """Check that every instance has called."""
    assert all(follower.calls for follower in context.all)


@given("an instance of a large fleet whose collectors get no answer")
def no_answer(context: Any) -> None:
    """Report an outage of the platform for 6 s."""
    context.follows = SteppedFollower(3)
    context.follows.run(6.0, 30.0)


@when("the platform answers its own call")
def answers(context: Any) -> None:
    """Record an answer to the instance's own call."""
    context.follows.pace.record_answer(after_failure=False)


@then("its next call follows at once")
def at_once(context: Any) -> None:
    """Check that the pacing allows the next call without delay."""
    context.follows.delegation.record_collector_report(30.0, context.follows.clock.now)
    assert context.follows.pace.delay_s() == 0.0


@given("a collector of a large fleet, and an instance of a small one")
def collector_and_small(context: Any) -> None:
    """Create a follower of a large fleet and an instance of a small fleet."""
    context.both = [SteppedFollower(1, FOLLOWER), SteppedFollower(1, FleetRoles())]


@then("both may call the platform at any time")
def any_time(context: Any) -> None:
    """Check the pacing before and after a report that the platform answers."""
    for follower in context.both:
        assert follower.pace.delay_s() == 0.0
        follower.delegation.record_collector_report(0.1, follower.clock.now)
        assert follower.pace.delay_s() == 0.0
        assert not follower.pace.is_delegated


@given("an instance of a large fleet with policy revision 7")
def with_policy(context: Any) -> None:
    """Create the pacing of its policy watch."""
    context.reported_revision = 7
    context.policy_pacing = RevisionWatchPacing(
        lambda: MEMBER, lambda: context.reported_revision > 7
    )


@then("it leaves the policies alone until a collector tells of revision 9")
def until_newer(context: Any) -> None:
    """Check the delay before and after the report of a newer revision."""
    assert context.policy_pacing.delay_s() > 0
    context.reported_revision = 9
    assert context.policy_pacing.delay_s() == 0.0


@given('the platform tells of an upstream "{name}" at revision {revision:d}')
def platform_tells(context: Any, name: str, revision: int) -> None:
    """Apply the platform's change of an upstream."""
    apply_event(context, UpstreamChanged(upstream_of(name, revision), False), 2.0)


@when('a collector that has seen revision {at:d} offers only "{first}" and "{second}"')
def offers(context: Any, at: int, first: str, second: str) -> None:
    """Apply the collector's list."""
    apply_event(
        context,
        UpstreamsListedByPeer((upstream_of(first), upstream_of(second)), StoreVersion(at)),
        3.0,
    )


@then("another fleet that learned of them in another order has the same digest")
def same_digest(context: Any) -> None:
    """Check that the digest does not depend on the order of the list."""
    context.other = FleetController()
    listed = tuple(upstream_of(f"u{index}") for index in (3, 1, 2))
    context.other.handle(UpstreamsListed(listed), 0.0)
    assert context.other.digest == context.fleet.digest


@then("its digest differs once one is leaving")
def other_digest(context: Any) -> None:
    """Mark one upstream as leaving and compare the digests."""
    leaving = upstream_of("u1", 9, UpstreamState.LEAVING)
    context.other.handle(UpstreamChanged(leaving, False), 1.0)
    assert context.other.digest != context.fleet.digest


@given("a collector that does not follow the platform and knows 3 upstreams")
def outdated_collector(context: Any) -> None:
    """Create the data sharing of one instance and record the messages that it sends."""
    world = context.world = GatewayWorld()
    context.add_cleanup(world.close)
    state = world.state
    context.sent = []
    known = tuple(upstream_of(f"u{index}", 3) for index in (1, 2, 3))
    state.fleet = FleetController()
    state.fleet.handle(UpstreamsListed(known), 0.0)

    def apply_fleet(upstreams: tuple[Upstream, ...], at: int) -> None:
        state.fleet.handle(UpstreamsListedByPeer(upstreams, StoreVersion(at)), 1.0)

    handlers = PeerUpdateHandlers(
        read_routing=lambda: (1, ""),
        apply_routing=lambda _: None,
        apply_upstream_change=lambda _: None,
        mark_suspected=lambda _: None,
        apply_fleet=apply_fleet,
        apply_cordons=lambda _: None,
        record_leaving=lambda _: False,
    )
    roles = FleetRoles(is_large=True, is_collector=True, is_follower=False)
    context.sharing = PlatformDataSharing(
        state,
        handlers,
        roles=lambda: roles,
        live=lambda: (),
        send=lambda peer, message: context.sent.append((peer, message)),
        broadcast=lambda peers, message: None,
    )


def send_zone_summary(context: Any) -> None:
    """Deliver a zone summary with the digest of a fleet that only the follower knows."""
    context.followers = FleetController()
    context.followers.handle(UpstreamsListed((upstream_of("u1", 3), upstream_of("u4", 8))), 0.0)
    digest = context.followers.digest
    summary = ZoneSummary("follower", "b", 1, 100, digest, 1, (), (), (), Cordons(), (), 0, ())
    context.sharing.compare_fleet(summary)


@when("a follower of another zone tells of other upstreams {times}")
def tells_of_others(context: Any, times: str) -> None:
    """Deliver one summary."""
    send_zone_summary(context)


@then("it asks nobody, as news may be on their way")
def asks_nobody(context: Any) -> None:
    """Check that no message was sent."""
    assert context.sent == [], context.sent


@then("it asks that follower, and takes over the list that it gets")
def asks_follower(context: Any) -> None:
    """Check the request to the follower, and deliver its answer."""
    assert context.sent == [("follower", FleetAsked("instance-1"))], context.sent
    offered = FleetOffered("follower", context.followers.at, context.followers.accepting)
    context.sharing.handle_fleet_offer(offered)
    fleet = context.world.state.fleet
    assert fleet.digest == context.followers.digest
    assert not fleet.accepts_requests("u2") and fleet.accepts_requests("u4")


@then("an answer of its own names the same upstreams")
def own_answer(context: Any) -> None:
    """Request the instance's own list."""
    context.sent.clear()
    context.sharing.handle_fleet_request(FleetAsked("member"))
    ((peer, offered),) = context.sent
    names = {upstream.upstream_id for upstream in offered.upstreams}
    assert (peer, names, offered.at) == ("member", {"u1", "u4"}, 8), offered


@given("a collector that hears two instances of its zone and the sum of another zone")
def hears_sums(context: Any) -> None:
    """Fill a load table with own requests, peers' reports and a zone's sum."""
    loads = context.loads = LoadTable()
    loads.set_load("r1", RequestLoad("u1", 100))
    loads.record_peer("peer-1", (Use("u1", 1, 10),), 1.0)
    loads.record_peer("peer-2", (Use("u2", 1, 20),), 1.0)
    loads.record_peer(f"{POOLED_PREFIX}b", (Use("u1", 5, 1000),), 1.0)


@then("the sum for other zones holds only its own zone")
def own_zone(context: Any) -> None:
    """Check that sums received from other zones are left out."""
    sums = context.loads.sorted_totals(1.5, pooled=False)
    assert sums == (Use("u1", 2, 110), Use("u2", 1, 20)), sums


@then("the sum for its zone holds everything")
def everything(context: Any) -> None:
    """Check that all reports and sums are included."""
    assert context.loads.sorted_totals(1.5) == (Use("u1", 7, 1110), Use("u2", 1, 20))


@then("after a change of roles nothing is counted twice")
def after_change(context: Any) -> None:
    """Replace all reports by the sum of one collector."""
    context.loads.forget_peers()
    context.loads.record_peer(FLEET_KEY, (Use("u1", 6, 1010),), 2.0)
    assert context.loads.use("u1", 2.1) == Use("u1", 7, 1110)
