"""Test that stale updates do not bring back an upstream that has left."""

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
from driftstall.gateway.upstream_source import UpstreamSource
from driftstall.gateway.watch_delegation import DelegatedWatchPacing, WatchDelegation
from driftstall.platform.feeds import upstream_feed
from driftstall.platform.store import Listing, Store, StoredObject, WatchAnswer, WatchEvent
from features.worlds.fleet_world import NAMES, FleetWorld, Step, StepKind
from features.worlds.gateway_world import GatewayWorld
from features.worlds.upstream_samples import entry_spec, upstream_of

ORDERS = 1500
"""Number of generated orders of updates; each takes two milliseconds."""
MAX_WRITES = 6
MAX_UPDATES = 10
LISTED_AT = 10
WHOLE = entry_spec("127.0.0.1:1", slots=8)
FLAWS: dict[str, Any] = {
    "without an address": {"service": "engines", "slots": 8, "state": "draining"},
    "without a service": {"address": "127.0.0.1:1", "slots": 8, "state": "draining"},
    "whose slots are no number": WHOLE | {"slots": "many", "state": "draining"},
    "without any content": None,
    "that is a text": "draining",
}


class ScriptedStore(Store):
    """A store with a settable list and settable changes for the next watch."""

    def __init__(self) -> None:
        """Start with two valid entries."""
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
        """Return the changes, or raise PlatformUnavailable while the store is silent."""
        if self.is_silent:
            raise PlatformUnavailable("no answer")
        return WatchAnswer(self.events, StoreVersion(at + 1))


def entry(name: str, revision: int, spec: Any = WHOLE) -> StoredObject:
    """Return an upstream's stored entry."""
    return StoredObject(name, StoreVersion(revision), spec)


@given('an instance that follows the platform, which lists "u1" and "u2"')
def follows_platform(context: Any) -> None:
    """Start an instance that follows the upstreams of a scripted store."""
    context.store = ScriptedStore()
    start_instance(context)
    assert context.fleet.accepts_requests("u1")


def start_instance(context: Any) -> None:
    """Start an instance without any state, and let it read the platform's list."""
    world = context.world = GatewayWorld()
    context.add_cleanup(world.close)
    context.fleet = world.state.fleet
    context.published = []
    context.source = UpstreamSource(
        world.state,
        on_leaving=lambda _: None,
        publish_change=context.published.append,
        publish_action=lambda action, *, from_peer: context.published.append(action),
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
    """Apply a peer's list without it."""
    context.source.handle_peer_list((upstream_of("u2", 5),), LISTED_AT + 1)


@when('it learns that "u1" has left from a new list of its own')
def own_list_lacks(context: Any) -> None:
    """Restart the instance on a newer list without the upstream, which it never knew."""
    context.store.listing = Listing((entry("u2", 5),), StoreVersion(LISTED_AT + 1))
    start_instance(context)
    assert context.fleet.find("u1") is None


@when('a peer\'s older list still holds "u1"')
def older_list(context: Any) -> None:
    """Apply a peer's list from before it left."""
    context.source.handle_peer_list((upstream_of("u1", 5), upstream_of("u2", 5)), LISTED_AT)


@when('a peer\'s list as of revision {at:d} lacks "u1"')
def list_lacks(context: Any, at: int) -> None:
    """Apply a peer's newer list without it."""
    context.source.handle_peer_list((upstream_of("u2", 5),), at)


@when('a peer\'s news of revision {revision:d} say that "u1" is ready')
def late_news(context: Any, revision: int) -> None:
    """Apply a peer's delayed change."""
    context.source.handle_peer_change(ItemChange(upstream_of("u1", revision), False))


@when('a peer\'s list as of revision {at:d} names "u1" at revision {revision:d}')
def list_names(context: Any, at: int, revision: int) -> None:
    """Apply a still newer list of a peer that knows a newer entry."""
    context.source.handle_peer_list((upstream_of("u1", revision), upstream_of("u2", 5)), at)


@when('the entry of "u1" changes into one {flaw}')
def unreadable(context: Any, flaw: str) -> None:
    """Let the watch return a change to an entry that cannot be decoded."""
    context.store.events = (WatchEvent(entry("u1", LISTED_AT + 1, FLAWS[flaw]), False),)
    context.follower.step()


def watch_leaving(context: Any, name: str, revision: int) -> None:
    """Let the watch return the notice of an upstream."""
    leaving = entry(name, revision, WHOLE | {"state": "draining"})
    context.store.events = (WatchEvent(leaving, False),)
    context.follower.step()


@when('the platform says nothing for {seconds:g} s, then that "u1" leaves')
def silent_then_leaving(context: Any, seconds: float) -> None:
    """Leave one watch without an answer, and let the next one return the notice."""
    context.seconds = seconds
    context.store.is_silent = True
    context.world.pass_time(seconds)
    context.follower.step()
    context.store.is_silent = False
    watch_leaving(context, "u1", LISTED_AT + 1)


def serves(context: Any, name: str) -> bool:
    """Return True if an upstream may still serve requests that ran there before."""
    state = context.world.state
    return bool(context.fleet.can_still_serve(name, state.now(), state.settings.bounds.drain_s))


@then('"u1" may not be sent what has run there')
def serves_no_more(context: Any) -> None:
    """Check that the drain time is over; the notice may be as old as the store's last answer."""
    assert not serves(context, "u1")


@then('"u2", which leaves 2.3 s later and is told of at once, may be')
def serves_still(context: Any) -> None:
    """Apply a notice after an idle watch, which does not count as silence."""
    context.world.pass_time(context.seconds)
    watch_leaving(context, "u2", LISTED_AT + 2)
    assert serves(context, "u2")


@then("no drawn order of true words, old and new, revives what has left, from seed {number:d}")
def drawn_words(context: Any, number: int) -> None:
    """Generate orders of updates from the platform, peers and upstreams, and check each step."""

    def steps_of(kinds: list[StepKind], max_size: int) -> st.SearchStrategy[list[Step]]:
        names, booleans = st.sampled_from(NAMES), st.booleans()
        back, seconds = st.integers(0, MAX_WRITES), st.floats(0.0, 5.0)
        step = st.builds(Step, st.sampled_from(kinds), names, back, seconds, booleans)
        return st.lists(step, max_size=max_size)

    @seed(int(context.config.userdata.get("seed", number)))
    @settings(max_examples=ORDERS, deadline=None, database=None)
    @for_all(
        steps_of([StepKind.WRITE], MAX_WRITES),
        steps_of(list(StepKind), MAX_UPDATES),
        st.booleans(),
    )
    def check(past: list[Step], order: list[Step], knows_past: bool) -> None:
        world = FleetWorld(past, knows_past=knows_past)
        for step in order:
            world.run_step(step)

    check()
