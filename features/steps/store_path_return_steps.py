"""Test how soon an instance knows that its path to the store is back."""

from __future__ import annotations

import random
import time
from typing import Any, Final

import gevent
from behave import given, then, when
from gevent.server import StreamServer

from driftstall.decisions.store_following import StoreAnswers
from driftstall.decisions.store_versions import StoreVersion
from driftstall.exceptions import PlatformUnavailable
from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.feeds import Changes, Follower, ItemChange, Snapshot
from driftstall.gateway.fleet import LAPSE_GRACE_S
from driftstall.gateway.stats import GatewayStats
from driftstall.gateway.store_following import StoreFollowing
from driftstall.gateway.watch_delegation import (
    ROUTING_FEED,
    UPSTREAM_FEED,
    DelegatedWatchPacing,
    WatchDelegation,
)
from driftstall.platform.feeds import upstream_feed
from driftstall.platform.names import KIND_UPSTREAMS
from driftstall.platform.store import Store
from driftstall.util import clock
from features.worlds.gateway_world import wait_for
from measures.bench import Bench
from soak.plan import Fault, PartitionFault
from soak.proxy import Proxy

CONTACT_S: Final = 3.0
"""Time after the return of a path from which requests must go by the store's current state."""
IDLE_WATCH_S: Final = 0.3
MIN_CUT_S: Final = 3.0
"""Long enough for two failed calls: an idle watch, and a connection that is not established."""
MAX_CUT_S: Final = 4.0
CUTS: Final[dict[str, PartitionFault | Fault]] = {
    "silence": PartitionFault.HANG,
    "resets": PartitionFault.RESET,
    "refusals of new connections": PartitionFault.REFUSE_NEW,
    "silence of connections that open": Fault.SILENT,
}


class CutFeed:
    """A followed feed over a link that is cut for a while."""

    def __init__(self, store_address: str) -> None:
        """Follow the store's upstreams through a proxy."""
        self.link = Proxy(store_address)
        self.answers = 0
        self.lost = False
        self.returned_at = float("inf")
        self.answered_at = float("inf")
        delegation = WatchDelegation(random.Random(1))
        pacing = DelegatedWatchPacing(
            delegation,
            FleetRoles,
            clock.now,
            max_watch_s=lambda: IDLE_WATCH_S,
            name=UPSTREAM_FEED,
        )
        feed = upstream_feed(Store(self.link.address))
        self._follower = Follower(feed, self, random.Random(2), pacing)
        self._greenlet = gevent.spawn(self._follower.run)

    def cut(self, kind: PartitionFault | Fault, for_s: float) -> None:
        """Cut the link for a time."""
        if isinstance(kind, Fault):
            self.link.inject(kind)
        else:
            self.link.partition(kind)
        gevent.sleep(for_s)
        self.returned_at = clock.now()
        if isinstance(kind, Fault):
            self.link.end_fault()
        else:
            self.link.heal()

    def stop(self) -> None:
        """Stop following."""
        self._greenlet.kill()
        self.link.stop()

    def handle_list(self, items: tuple[Any, ...], at: StoreVersion) -> None:
        """Count a list."""
        self.answers += 1

    def handle_change(self, change: ItemChange[Any]) -> None:
        """Ignore changes."""

    def handle_platform_unreachable(self, cause: str) -> None:
        """Record the outage."""
        self.lost = True

    def handle_platform_reachable(self) -> None:
        """Record the first answer after the outage."""
        self.answered_at = clock.now()


@given("{count:d} feeds of upstreams, each over a link of its own")
def start_feeds(context: Any, count: int) -> None:
    """Start the store and the feeds, and wait for their first lists."""
    bench = Bench()
    context.add_cleanup(bench.close)
    address = bench.start_platform().address
    context.feeds = [CutFeed(address) for _ in range(count)]
    for feed in context.feeds:
        context.add_cleanup(feed.stop)
    wait_for("all feeds are read", lambda: all(feed.answers for feed in context.feeds))


@when("the links are cut by {cut} for 3 to 4 s")
def cut_links(context: Any, cut: str) -> None:
    """Cut all links at once; they return one after the other."""
    step_s = (MAX_CUT_S - MIN_CUT_S) / len(context.feeds)
    cuts = [
        gevent.spawn(feed.cut, CUTS[cut], MIN_CUT_S + step_s * index)
        for index, feed in enumerate(context.feeds)
    ]
    gevent.joinall(cuts, raise_error=True)


@then("each feed is answered early enough to await missing entries within 3 s")
def answered_early(context: Any) -> None:
    """Check the times from the return of each link to the first answer."""
    wait_for("all are answered", lambda: all(feed.answered_at < 1e9 for feed in context.feeds))
    assert all(feed.lost for feed in context.feeds)
    late_s = [round(feed.answered_at - feed.returned_at, 3) for feed in context.feeds]
    assert max(late_s) < CONTACT_S - LAPSE_GRACE_S, late_s


@given("a store that does not answer, and a client that has noticed")
def silent_store(context: Any) -> None:
    """Start a store that is silent, and let a read fail."""
    bench = Bench()
    context.add_cleanup(bench.close)
    context.platform = bench.start_platform()
    context.client = Store(context.platform.address)
    context.platform.control({"down_s": 60.0, "silent": True})
    assert not is_read(context.client)


@when("the store is back and takes {seconds:g} s for each answer")
def back_slowly(context: Any, seconds: float) -> None:
    """End the silence."""
    context.platform.control({"down_s": 0.0, "slow_s": seconds})


@then("the client's next read is answered")
def next_answered(context: Any) -> None:
    """Read once more."""
    assert is_read(context.client)


@given("a client whose store refuses connections")
def refusing_store(context: Any) -> None:
    """Use a port on which nothing listens."""
    server = StreamServer(("127.0.0.1", 0), lambda *_: None)
    server.start()
    context.client = Store(f"127.0.0.1:{server.server_port}")
    server.stop()


@then("its reads fail within {seconds:g} s, after one call each")
def fails_at_once(context: Any, seconds: float) -> None:
    """Read twice, so that the second read is made after a failure."""
    for calls in (1, 2):
        began_at = time.monotonic()
        assert not is_read(context.client)
        assert time.monotonic() - began_at < seconds
        assert context.client.calls == calls, context.client.calls


def is_read(client: Store) -> bool:
    """Read a kind of objects; return whether the store has answered."""
    try:
        client.list(KIND_UPSTREAMS)
    except PlatformUnavailable:
        return False
    return True


class TimedFeed:
    """A feed whose watches fail a number of times, each after a delay, and record their waits."""

    def __init__(self, failures: int, delay_s: float = 0.0) -> None:
        """Set the failures."""
        self.waits: list[float] = []
        self._failures = failures
        self._delay_s = delay_s

    def list(self) -> Snapshot[Any]:
        """Return an empty list."""
        return Snapshot((), StoreVersion(1))

    def watch(self, at: StoreVersion, wait_s: float) -> Changes[Any]:
        """Fail, or return no change."""
        self.waits.append(wait_s)
        if len(self.waits) <= self._failures:
            gevent.sleep(self._delay_s)
            raise PlatformUnavailable("no answer")
        return Changes((), at)


class IgnoringListener:
    """A listener that ignores everything."""

    def __getattr__(self, name: str) -> Any:
        """Return a handler that does nothing."""
        return lambda *_: None


def follow(context: Any, feed: TimedFeed, steps: int) -> None:
    """Follow a feed for some steps, and record the pauses."""
    context.feed, context.pauses = feed, []
    pacing = DelegatedWatchPacing(
        WatchDelegation(random.Random(1)), FleetRoles, clock.now, max_watch_s=lambda: 2.0
    )
    follower = Follower(
        feed, IgnoringListener(), random.Random(1), pacing, sleep=context.pauses.append
    )
    for _ in range(steps):
        follower.step()


@given("a feed whose watch fails 1 time")
def fails_once(context: Any) -> None:
    """Follow a list, a failed watch and two more."""
    follow(context, TimedFeed(1), 4)


@then("its watches wait for a change, but the one after the failure")
def waits_but_once(context: Any) -> None:
    """Check the waits."""
    first, second, third = context.feed.waits
    assert first > 0 and second == 0 and third > 0, context.feed.waits


@given("a feed whose calls fail after {seconds:g} s")
def fails_late(context: Any, seconds: float) -> None:
    """Follow a list and two failed watches."""
    follow(context, TimedFeed(2, seconds), 3)


@then("it pauses for {least:g} to {most:g} s after them")
def short_pauses(context: Any, least: float, most: float) -> None:
    """Check the pauses."""
    assert len(context.pauses) == 2, context.pauses
    assert all(least <= pause_s <= most for pause_s in context.pauses), context.pauses


@given("an instance whose calls to the store all fail")
def all_fail(context: Any) -> None:
    """Record a failed call of each feed."""
    context.following = StoreFollowing(
        "own",
        GatewayStats(),
        StoreAnswers(),
        now=clock.now,
        roles=FleetRoles,
        live=tuple,
        send=lambda *_: None,
        publish_age=lambda: None,
    )
    for feed in (ROUTING_FEED, UPSTREAM_FEED):
        context.following.record_failure(feed)
    context.sleeping = gevent.spawn(context.following.sleeper(ROUTING_FEED), 5.0)
    gevent.sleep(0)


@when("the store answers the feed of upstreams")
def answers_upstreams(context: Any) -> None:
    """Record the answer."""
    assert not context.sleeping.dead
    context.following.record_answer(UPSTREAM_FEED)


@then("the feed of the configuration is read at once")
def read_at_once(context: Any) -> None:
    """Check that the pause of its follower has ended."""
    context.sleeping.join(1.0)
    assert context.sleeping.dead
