"""Check what an instance that follows the platform still takes for an upstream's standing."""

from __future__ import annotations

import random
from typing import Any

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import seed, settings
from hypothesis import strategies as st

from driftstall.decisions.store_versions import StoreVersion
from driftstall.exceptions import PlatformUnavailable
from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.feeds import Follower, ItemChange
from driftstall.gateway.sources import UpstreamSource
from driftstall.gateway.watch_delegation import DelegatedWatchPacing, WatchDelegation
from driftstall.platform.feeds import upstream_feed
from driftstall.platform.store import Listing, Store, StoredObject, WatchAnswer, WatchEvent
from features.worlds.fleet_world import NAMES, FleetWorld, Step, StepKind
from features.worlds.gateway_world import GatewayWorld
from features.worlds.upstream_samples import entry_spec, upstream_of

ORDERS = 1500
"""Drawn orders of words; each takes two milliseconds."""
MOST_WRITES = 6
MOST_TELLS = 10
LISTED_AT = 10
WHOLE = entry_spec("127.0.0.1:1", slots=8)
FLAWS: dict[str, Any] = {
    "without an address": {"service": "engines", "slots": 8, "state": "draining"},
    "without a service": {"address": "127.0.0.1:1", "slots": 8, "state": "draining"},
    "whose slots are no number": WHOLE | {"slots": "many", "state": "draining"},
    "without any content": None,
    "that is a text": "draining",
}


class TellingStore(Store):
    """Hold a list, and the changes that the next watch tells of."""

    def __init__(self) -> None:
        """Start with two whole entries."""
        super().__init__("127.0.0.1:1")
        self.listing = Listing(
            tuple(entry(name, 5) for name in ("u1", "u2")), StoreVersion(LISTED_AT)
        )
        self.events: tuple[WatchEvent, ...] = ()
        self.is_silent = False

    def list(self, kind: str, *, stale: bool = False) -> Listing:
        """Return the list."""
        return self.listing

    def watch(self, kind: str, at: int, wait_s: float) -> WatchAnswer:
        """Return the changes, or no answer."""
        if self.is_silent:
            raise PlatformUnavailable("no answer")
        return WatchAnswer(self.events, StoreVersion(at + 1))


def entry(name: str, revision: int, spec: Any = WHOLE) -> StoredObject:
    """Return an upstream's entry as it is stored."""
    return StoredObject(name, StoreVersion(revision), spec)


@given('an instance that follows the platform, which lists "u1" and "u2"')
def follows_platform(context: Any) -> None:
    """Put together what follows the upstreams, and let it read the list."""
    context.store = TellingStore()
    start_instance(context)
    assert context.fleet.accepts_requests("u1")


def start_instance(context: Any) -> None:
    """Start an instance that knows nothing yet, and let it read the platform's list."""
    world = context.world = GatewayWorld()
    context.add_cleanup(world.close)
    context.fleet = world.state.fleet
    context.source = UpstreamSource(
        world.state,
        on_leaving=lambda _: None,
        publish_change=lambda _: None,
        publish_action=lambda action, *, from_peer: None,
        announce=lambda: None,
        store_silence_s=lambda: context.pace.silence_s,
    )
    delegation = WatchDelegation(random.Random(1))
    context.pace = DelegatedWatchPacing(
        delegation, FleetRoles, world.state.now, max_watch_s=lambda: 1.6
    )
    feed = upstream_feed(context.store)
    context.follower = Follower(
        feed, context.source, random.Random(1), context.pace, sleep=lambda _: None
    )
    context.follower.step()


@when('it learns that "u1" has left from the list of another peer')
def peer_lacks(context: Any) -> None:
    """Take in a list without it."""
    context.source.handle_peer_list((upstream_of("u2", 5),), LISTED_AT + 1)


@when('it learns that "u1" has left from a new list of its own')
def own_list_lacks(context: Any) -> None:
    """Start it anew on a list without it: it never knew of it, but the list is newer."""
    context.store.listing = Listing((entry("u2", 5),), StoreVersion(LISTED_AT + 1))
    start_instance(context)
    assert context.fleet.find("u1") is None


@when('a peer\'s older list still holds "u1"')
def older_list(context: Any) -> None:
    """Take in a list of a time when it was there."""
    context.source.handle_peer_list((upstream_of("u1", 5), upstream_of("u2", 5)), LISTED_AT)


@when('a peer\'s list as of revision {at:d} lacks "u1"')
def list_lacks(context: Any, at: int) -> None:
    """Take in a newer list without it."""
    context.source.handle_peer_list((upstream_of("u2", 5),), at)


@when('a peer\'s news of revision {revision:d} say that "u1" is ready')
def late_news(context: Any, revision: int) -> None:
    """Take in news that come late."""
    context.source.handle_peer_change(ItemChange(upstream_of("u1", revision), False))


@when('a peer\'s list as of revision {at:d} names "u1" at revision {revision:d}')
def list_names(context: Any, at: int, revision: int) -> None:
    """Take in a still newer list, of one that knew more."""
    context.source.handle_peer_list((upstream_of("u1", revision), upstream_of("u2", 5)), at)


@when('the entry of "u1" changes into one {flaw}')
def unreadable(context: Any, flaw: str) -> None:
    """Tell of the change."""
    context.store.events = (WatchEvent(entry("u1", LISTED_AT + 1, FLAWS[flaw]), False),)
    context.follower.step()


def tell_leaving(context: Any, name: str, revision: int) -> None:
    """Tell of a notice."""
    leaving = entry(name, revision, WHOLE | {"state": "draining"})
    context.store.events = (WatchEvent(leaving, False),)
    context.follower.step()


@when('the platform says nothing for {seconds:g} s, then that "u1" leaves')
def silent_then_leaving(context: Any, seconds: float) -> None:
    """Let a question wait in vain, and the next one be answered."""
    context.seconds = seconds
    context.store.is_silent = True
    context.world.pass_time(seconds)
    context.follower.step()
    context.store.is_silent = False
    tell_leaving(context, "u1", LISTED_AT + 1)


def serves(context: Any, name: str) -> bool:
    """Ask whether an upstream may be sent what has run there."""
    state = context.world.state
    return bool(context.fleet.can_still_serve(name, state.now(), state.settings.bounds.drain_s))


@then('"u1" may not be sent what has run there')
def serves_no_more(context: Any) -> None:
    """Ask: the notice may be as old as the last word before it."""
    assert not serves(context, "u1")


@then('"u2", which leaves 2.3 s later and is told of at once, may be')
def serves_still(context: Any) -> None:
    """Tell of a notice after an idle question, which is no silence."""
    context.world.pass_time(context.seconds)
    tell_leaving(context, "u2", LISTED_AT + 2)
    assert serves(context, "u2")


@then("no drawn order of true words, old and new, revives what has left, from seed {number:d}")
def drawn_words(context: Any, number: int) -> None:
    """Draw orders of what the platform, peers and upstreams tell; the same seed draws the same."""

    def draws(tells: list[StepKind], most: int) -> st.SearchStrategy[list[Step]]:
        names, booleans = st.sampled_from(NAMES), st.booleans()
        back, seconds = st.integers(0, MOST_WRITES), st.floats(0.0, 5.0)
        drawn = st.builds(Step, st.sampled_from(tells), names, back, seconds, booleans)
        return st.lists(drawn, max_size=most)

    @seed(int(context.config.userdata.get("seed", number)))
    @settings(max_examples=ORDERS, deadline=None, database=None)
    @for_all(draws([StepKind.WRITE], MOST_WRITES), draws(list(StepKind), MOST_TELLS), st.booleans())
    def check(past: list[Step], order: list[Step], knows_past: bool) -> None:
        world = FleetWorld(past, knows_past=knows_past)
        for drawn in order:
            world.run_step(drawn)

    check()
