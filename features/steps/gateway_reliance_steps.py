"""Check when an instance of a large fleet calls the platform by itself."""

from __future__ import annotations

import random
from typing import Any

from behave import given, then, when

from driftstall.decisions.store_versions import StoreVersion
from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.cordons import Cordons
from driftstall.gateway.fleet import FleetController
from driftstall.gateway.fleet_events import Changed, Listed, ListedByPeer
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
WORD_EVERY_S = 0.5
STEP_S = 0.05


class Clock:
    """Hold a time that tests set."""

    def __init__(self) -> None:
        """Start well after zero, as a steady clock does."""
        self.now = 1000.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now


class Follows:
    """Let one instance follow a feed that gives no answer, step by step."""

    def __init__(self, seed: int, roles: FleetRoles = MEMBER, settle_s: float = 0.0) -> None:
        """Start with the first read behind it."""
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
        """Let time pass; the age is what a collector says, None if none is heard."""
        until = self.clock.now + seconds
        spoke_at = float("-inf")
        while self.clock.now < until:
            if platform_age_s is not None and self.clock.now - spoke_at >= WORD_EVERY_S:
                spoke_at = self.clock.now
                self.delegation.record_collector_report(platform_age_s, self.clock.now)
            if self.pace.delay_s() <= 0:
                self.calls.append(self.clock.now)
            self.clock.now += STEP_S


@given("an instance of a large fleet that hears a collector twice a second")
def hears(context: Any) -> None:
    """Let some time pass with a good word."""
    context.follows = Follows(1)
    context.follows.delegation.record_collector_report(0.1, context.follows.clock.now)
    context.follows.run(10.0, 0.2)


@then("it makes no call to the platform")
def no_call(context: Any) -> None:
    """Count the calls."""
    assert context.follows.calls == []
    assert context.follows.pace.is_delegated


@given("an instance that starts and hears a collector after {seconds:g} s")
def starts_in_large_fleet(context: Any, seconds: float) -> None:
    """Start without knowing the fleet, then learn of it."""
    context.follows = Follows(1, roles=FleetRoles(), settle_s=STARTUP_SETTLE_S)
    context.follows.run(seconds, None)
    context.follows.roles = MEMBER
    context.follows.run(5.0, 0.2)


@given("an instance that starts and hears nobody")
def starts_alone(context: Any) -> None:
    """Start as the only one."""
    context.follows = Follows(1, roles=FleetRoles(), settle_s=STARTUP_SETTLE_S)
    context.silent_at = context.follows.clock.now
    context.follows.run(3.0, None)


@then("its first call comes after {seconds:g} s")
def first_call(context: Any, seconds: float) -> None:
    """Look at the first call."""
    waited_s = context.follows.calls[0] - context.silent_at
    assert seconds <= waited_s < seconds + 2 * STEP_S, waited_s


@when("the collector falls silent")
def falls_silent(context: Any) -> None:
    """Let no word come."""
    context.silent_at = context.follows.clock.now
    context.follows.run(3.0, None)


@when("the platform's last answer to the collector grows old")
def grows_old(context: Any) -> None:
    """Let the collector say each time how old the answer is."""
    follows = context.follows
    context.silent_at = follows.clock.now
    while follows.clock.now - context.silent_at < 4.0:
        follows.run(WORD_EVERY_S, 0.2 + follows.clock.now - context.silent_at)
    # A change must be in force everywhere within three seconds.
    assert not follows.pace.is_delegated


@then("it calls the platform within {seconds:g} s")
def calls_within(context: Any, seconds: float) -> None:
    """Look at the first call."""
    assert context.follows.calls
    assert context.follows.calls[0] - context.silent_at <= seconds, context.follows.calls[0]


@then("the instance calls the platform within {seconds:g} s")
def is_not_covered(context: Any, seconds: float) -> None:
    """Look at when the first call was made."""
    calls_within(context, seconds)


@given("70 instances of a large fleet whose collectors tell of an outage of 8 s")
def outage(context: Any) -> None:
    """Let each hear for 8 s that no collector gets an answer."""
    context.all = [Follows(seed) for seed in range(70)]
    for one in context.all:
        one.delegation.record_collector_report(0.1, one.clock.now)
        one.run(1.0, 0.2)
        one.run(8.0, 30.0)


@then("they make fewer than {most:d} calls to the platform in all")
def few_calls(context: Any, most: int) -> None:
    """Count the calls."""
    total = sum(len(one.calls) for one in context.all)
    assert total < most, total


@then("each of them calls at least once")
def each_calls(context: Any) -> None:
    """Count the calls of each."""
    assert all(one.calls for one in context.all)


@given("an instance of a large fleet whose collectors get no answer")
def no_answer(context: Any) -> None:
    """Let an outage be told."""
    context.follows = Follows(3)
    context.follows.run(6.0, 30.0)


@when("the platform answers its own call")
def answers(context: Any) -> None:
    """Note an answer."""
    context.follows.pace.record_answer(after_failure=False)


@then("its next call follows at once")
def at_once(context: Any) -> None:
    """Look at the pace."""
    context.follows.delegation.record_collector_report(30.0, context.follows.clock.now)
    assert context.follows.pace.delay_s() == 0.0


@given("a collector of a large fleet, and an instance of a small one")
def collector_and_small(context: Any) -> None:
    """Make both."""
    context.both = [Follows(1, FOLLOWER), Follows(1, FleetRoles())]


@then("both may call the platform at any time")
def any_time(context: Any) -> None:
    """Ask after a good word as well."""
    for one in context.both:
        assert one.pace.delay_s() == 0.0
        one.delegation.record_collector_report(0.1, one.clock.now)
        assert one.pace.delay_s() == 0.0
        assert not one.pace.is_delegated


@given("an instance of a large fleet with policy revision 7")
def with_policy(context: Any) -> None:
    """Make its pace."""
    context.told_revision = 7
    context.policy_pacing = RevisionWatchPacing(lambda: MEMBER, lambda: context.told_revision > 7)


@then("it leaves the policies alone until a collector tells of revision 9")
def until_newer(context: Any) -> None:
    """Compare before and after."""
    assert context.policy_pacing.delay_s() > 0
    context.told_revision = 9
    assert context.policy_pacing.delay_s() == 0.0


@given('the platform tells of an upstream "{name}" at revision {revision:d}')
def platform_tells(context: Any, name: str, revision: int) -> None:
    """Add an upstream."""
    apply_event(context, Changed(upstream_of(name, revision), False), 2.0)


@when('a collector that has seen revision {at:d} offers only "{first}" and "{second}"')
def offers(context: Any, at: int, first: str, second: str) -> None:
    """Take in the collector's list."""
    apply_event(
        context, ListedByPeer((upstream_of(first), upstream_of(second)), StoreVersion(at)), 3.0
    )


@then("another fleet that learned of them in another order has the same digest")
def same_digest(context: Any) -> None:
    """Compare the digests."""
    context.other = FleetController()
    listed = tuple(upstream_of(f"u{index}") for index in (3, 1, 2))
    context.other.handle(Listed(listed), 0.0)
    assert context.other.digest == context.fleet.digest


@then("its digest differs once one is leaving")
def other_digest(context: Any) -> None:
    """Let one be leaving."""
    leaving = upstream_of("u1", 9, UpstreamState.LEAVING)
    context.other.handle(Changed(leaving, False), 1.0)
    assert context.other.digest != context.fleet.digest


@given("a collector that does not follow the platform and knows 3 upstreams")
def missed_news(context: Any) -> None:
    """Put the sharing of one instance together, with what it sends kept."""
    world = context.world = GatewayWorld()
    context.add_cleanup(world.close)
    state = world.state
    context.sent = []
    known = tuple(upstream_of(f"u{index}", 3) for index in (1, 2, 3))
    state.fleet = FleetController()
    state.fleet.handle(Listed(known), 0.0)

    def take_fleet(upstreams: tuple[Upstream, ...], at: int) -> None:
        state.fleet.handle(ListedByPeer(upstreams, StoreVersion(at)), 1.0)

    intake = PeerUpdateHandlers(
        read_routing=lambda: (1, ""),
        apply_routing=lambda _: None,
        apply_upstream_change=lambda _: None,
        mark_suspected=lambda _: None,
        apply_fleet=take_fleet,
        apply_cordons=lambda _: None,
        record_leaving=lambda _: False,
    )
    roles = FleetRoles(is_large=True, is_collector=True, is_follower=False)
    context.sharing = PlatformDataSharing(
        state,
        intake,
        roles=lambda: roles,
        live=lambda: (),
        send=lambda peer, message: context.sent.append((peer, message)),
        broadcast=lambda peers, message: None,
    )


def other_zone(context: Any) -> None:
    """Tell of a fleet that only the follower knows."""
    context.followers = FleetController()
    context.followers.handle(Listed((upstream_of("u1", 3), upstream_of("u4", 8))), 0.0)
    digest = context.followers.digest
    summary = ZoneSummary("follower", "b", 1, 100, digest, 1, (), (), (), Cordons(), (), 0, ())
    context.sharing.compare_fleet(summary)


@when("a follower of another zone tells of other upstreams {times}")
def tells_of_others(context: Any, times: str) -> None:
    """Hand over one summary."""
    other_zone(context)


@then("it asks nobody, as news may be on their way")
def asks_nobody(context: Any) -> None:
    """Nothing was sent."""
    assert context.sent == [], context.sent


@then("it asks that follower, and takes over the list that it gets")
def asks_follower(context: Any) -> None:
    """Look at what was asked, and answer it."""
    assert context.sent == [("follower", FleetAsked("instance-1"))], context.sent
    offered = FleetOffered("follower", context.followers.at, context.followers.accepting)
    context.sharing.handle_fleet_offer(offered)
    fleet = context.world.state.fleet
    assert fleet.digest == context.followers.digest
    assert not fleet.accepts_requests("u2") and fleet.accepts_requests("u4")


@then("an answer of its own names the same upstreams")
def own_answer(context: Any) -> None:
    """Ask it in turn."""
    context.sent.clear()
    context.sharing.handle_fleet_request(FleetAsked("member"))
    ((peer, offered),) = context.sent
    names = {one.upstream_id for one in offered.upstreams}
    assert (peer, names, offered.at) == ("member", {"u1", "u4"}, 8), offered


@given("a collector that hears two instances of its zone and the sum of another zone")
def hears_sums(context: Any) -> None:
    """Fill the book."""
    book = context.book = LoadTable()
    book.set_load("r1", RequestLoad("u1", 100))
    book.record_peer("peer-1", (Use("u1", 1, 10),), 1.0)
    book.record_peer("peer-2", (Use("u2", 1, 20),), 1.0)
    book.record_peer(f"{POOLED_PREFIX}b", (Use("u1", 5, 1000),), 1.0)


@then("the sum for other zones holds only its own zone")
def own_zone(context: Any) -> None:
    """Compare the sums."""
    sums = context.book.sorted_totals(1.5, pooled=False)
    assert sums == (Use("u1", 2, 110), Use("u2", 1, 20)), sums


@then("the sum for its zone holds everything")
def everything(context: Any) -> None:
    """Compare the sums."""
    assert context.book.sorted_totals(1.5) == (Use("u1", 7, 1110), Use("u2", 1, 20))


@then("after a change of roles nothing is counted twice")
def after_change(context: Any) -> None:
    """Hear everything again from one collector."""
    context.book.forget_peers()
    context.book.record_peer(FLEET_KEY, (Use("u1", 6, 1010),), 2.0)
    assert context.book.use("u1", 2.1) == Use("u1", 7, 1110)
