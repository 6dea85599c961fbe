"""Test how the store's feeds are followed and how its objects are decoded."""

from __future__ import annotations

import random
import tempfile
from pathlib import Path
from typing import Any

import gevent
import orjson
from behave import given, then, when

from driftstall.decisions.store_versions import StoreVersion
from driftstall.decisions.watch_timeouts import ANSWER_MARGIN_S, max_watch_wait_s
from driftstall.exceptions import HistoryUnavailable, PlatformUnavailable, SettingsError
from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.feeds import INITIAL_BACKOFF_S, Changes, Follower, ItemChange, Snapshot
from driftstall.gateway.model import (
    RoutingText,
)
from driftstall.gateway.sources import RoutingSource
from driftstall.gateway.watch_delegation import DelegatedWatchPacing, WatchDelegation
from driftstall.platform.dialect import PlatformDialect
from driftstall.platform.documents import read_routing
from driftstall.platform.feeds import policy_feed, upstream_feed
from driftstall.platform.settings import read_settings
from driftstall.platform.store import (
    Listing,
    Store,
    StoredObject,
    WatchAnswer,
    WatchEvent,
    _Answer,
)
from features.worlds.gateway_world import WAIT_S, GatewayWorld, document, route, wait_for
from features.worlds.upstream_samples import entry_spec


class ScriptedFeed:
    """A feed whose list and watch calls return scripted answers in order."""

    def __init__(self, steps: list[Any]) -> None:
        """Set the answers; an exception among them is raised."""
        self._steps = steps

    def _next(self) -> Any:
        step = self._steps.pop(0)
        if isinstance(step, Exception):
            raise step
        return step

    def list(self) -> Snapshot[str]:
        """Return the next scripted answer."""
        found: Snapshot[str] = self._next()
        return found

    def watch(self, at: int, wait_s: float) -> Changes[str]:
        """Return the next scripted answer."""
        found: Changes[str] = self._next()
        return found


class Recorder:
    """Record the callbacks of a follower."""

    def __init__(self) -> None:
        """Start with no events."""
        self.events: list[str] = []

    def handle_list(self, items: tuple[str, ...], at: int) -> None:
        """Record a list."""
        self.events.append("listed")

    def handle_change(self, change: ItemChange[str]) -> None:
        """Record a change."""
        self.events.append("changed")

    def handle_platform_unreachable(self, cause: str) -> None:
        """Record an outage."""
        self.events.append("lost")

    def handle_platform_reachable(self) -> None:
        """Record an outage's end."""
        self.events.append("back")


SLOW_ANSWER_S = 0.1
LIST = Snapshot(("a",), StoreVersion(5))
CHANGE = Changes((ItemChange("a", False),), StoreVersion(6))


def follow(context: Any, steps: list[Any]) -> None:
    """Follow a scripted feed to its end."""
    context.recorder = Recorder()
    feed = ScriptedFeed(list(steps))
    pace = DelegatedWatchPacing(
        WatchDelegation(random.Random(1)), FleetRoles, lambda: 0.0, max_watch_s=lambda: 1.6
    )
    follower = Follower(feed, context.recorder, random.Random(1), pace, sleep=lambda _: None)
    for _ in steps:
        follower.step()


class EndingFeed(ScriptedFeed):
    """A scripted feed that blocks once its script is at its end."""

    def _next(self) -> Any:
        if not self._steps:
            gevent.sleep(WAIT_S)
        return super()._next()


@given("a feed that is listed, fails in a way that nobody expects, and is listed again")
def fails_unexpectedly(context: Any) -> None:
    """Script a list, an exception of an unexpected type, and a list."""
    context.steps = [LIST, KeyError("events"), LIST]


@when("it is followed")
def followed(context: Any) -> None:
    """Run the follower in its own greenlet, as instances do, until the script is at its end."""
    context.recorder = Recorder()
    feed = EndingFeed(context.steps)
    pace = DelegatedWatchPacing(
        WatchDelegation(random.Random(1)), FleetRoles, lambda: 0.0, max_watch_s=lambda: 1.6
    )
    context.follower = Follower(
        feed, context.recorder, random.Random(1), pace, sleep=lambda _: gevent.sleep(0)
    )
    running = gevent.spawn(context.follower.run)
    context.add_cleanup(running.kill)
    wait_for("all was read", lambda: len(context.recorder.events) == 2 or running.dead)


@then("it is current again")
def current_again(context: Any) -> None:
    """Check that the follower considers itself current."""
    assert context.follower.is_current


class AnsweringStore(Store):
    """A store that answers every call with the same body."""

    def __init__(self, body: Any) -> None:
        """Set the body."""
        super().__init__("127.0.0.1:1")
        self._body = body

    def _call(self, *_: Any, **__: Any) -> _Answer:
        return _Answer(200, self._body, 0)


@given("a store that answers {body}")
def answering(context: Any, body: str) -> None:
    """Create a store with that body."""
    context.store = AnsweringStore(orjson.loads(body))


@then("its list and its watch report that the platform gave no answer")
def reports_no_answer(context: Any) -> None:
    """Check that list and watch both raise PlatformUnavailable."""
    for call in (
        lambda: context.store.list("k"),
        lambda: context.store.watch("k", StoreVersion(1), 1.0),
    ):
        try:
            call()
        except PlatformUnavailable:
            continue
        raise AssertionError("the answer was accepted")


@given("a feed whose watch is cut once")
def cut_once(context: Any) -> None:
    """Follow a feed whose second watch fails."""
    follow(context, [LIST, CHANGE, PlatformUnavailable("cut"), CHANGE])


@then("it is listed once and no outage is told")
def listed_once(context: Any) -> None:
    """Check the callbacks."""
    assert context.recorder.events == ["listed", "changed", "changed"], context.recorder.events


@given("a feed whose history is gone")
def history_gone(context: Any) -> None:
    """Follow a feed whose store no longer has the watched revision."""
    follow(context, [LIST, HistoryUnavailable(), LIST])


@then("it is listed twice and no outage is told")
def listed_twice(context: Any) -> None:
    """Check the callbacks."""
    assert context.recorder.events == ["listed", "listed"], context.recorder.events


class ForgettingStore:
    """A store whose history begins at its newest version, and whose stale lists are older."""

    def __init__(self) -> None:
        """Start without calls."""
        self.calls: list[str] = []

    def list(self, kind: str, *, stale: bool = False) -> Listing:
        """Return an empty list, as of version 5 if it may be stale."""
        self.calls.append("stale list" if stale else "list")
        return Listing((), StoreVersion(5 if stale else 9))

    def watch(self, kind: str, at: StoreVersion, wait_s: float) -> WatchAnswer:
        """Return no change from the newest version on; the history before is gone."""
        self.calls.append("watch")
        if at < StoreVersion(9):
            raise HistoryUnavailable
        return WatchAnswer((), at)


@given("a store that forgets its history, whose lists on demand are older than that")
def forgetting_store(context: Any) -> None:
    """Create the store."""
    context.store = ForgettingStore()


@when("a feed of policies, which accepts old lists, is followed for {calls:d} calls")
def follows_policies(context: Any, calls: int) -> None:
    """Follow the feed without pauses."""
    pace = DelegatedWatchPacing(
        WatchDelegation(random.Random(1)), FleetRoles, lambda: 0.0, max_watch_s=lambda: 1.6
    )
    feed: Any = policy_feed(context.store)
    follower = Follower(feed, Recorder(), random.Random(1), pace, sleep=lambda _: None)
    while len(context.store.calls) < calls:
        follower.step()


@then("the old list was read once, a new one once, and all later calls are watches")
def listed_anew_once(context: Any) -> None:
    """Check the calls."""
    expected = ["stale list", "watch", "list", "watch", "watch", "watch"]
    assert context.store.calls == expected, context.store.calls


@given("a feed that fails 5 times and answers again")
def fails_and_answers(context: Any) -> None:
    """Follow a feed through an outage and its end."""
    failures = [PlatformUnavailable("down") for _ in range(5)]
    follow(context, [LIST, *failures, CHANGE])


@then("the outage is told once and its end before the next change")
def outage_reported(context: Any) -> None:
    """Check the callbacks."""
    assert context.recorder.events == ["listed", "lost", "back", "changed"], context.recorder.events


@then(
    "where an instance must have caught up after {seconds:g} s it has an answer {spare:g} s earlier"
)
def answered_in_time(context: Any, seconds: float, spare: float) -> None:
    """Add up the watch timeout, the backoff and a slow answer on another connection."""
    given_up_s = max_watch_wait_s(seconds) + ANSWER_MARGIN_S
    max_backoff_s = INITIAL_BACKOFF_S * 2 * 1.5
    assert given_up_s + max_backoff_s + SLOW_ANSWER_S <= seconds - spare


@given("a settings file with a wrong address and without a zone")
def wrong_settings(context: Any) -> None:
    """Write the settings file."""
    listen = {"front": "nowhere", "ready": "127.0.0.1:1", "directory": "127.0.0.1:2"}
    listen["control"] = "127.0.0.1:3"
    raw = {"nodeName": "n", "ip": "127.0.0.1", "listen": listen}
    raw["platform"] = {"address": "127.0.0.1:4"}
    context.path = Path(tempfile.mkdtemp()) / "settings.json"
    context.path.write_bytes(orjson.dumps(raw))


@then("reading it names both faults")
def names_both(context: Any) -> None:
    """Check that the error lists both settings."""
    try:
        read_settings(context.path)
    except SettingsError as fault:
        text = "\n".join(fault.faults)
        assert "listen.front" in text and "zone" in text, text
        return
    raise AssertionError("wrong settings were accepted")


class FixedStore(Store):
    """A store with a fixed list of one malformed and one valid entry."""

    def list(self, kind: str, *, stale: bool = False) -> Listing:
        """Return the list."""
        valid = entry_spec("127.0.0.1:1")
        malformed = {name: value for name, value in valid.items() if name != "address"}
        return Listing(
            (
                StoredObject("a", StoreVersion(1), malformed),
                StoredObject("b", StoreVersion(2), valid),
            ),
            StoreVersion(3),
        )


@then("at least {turns:d} turns of another greenlet pass while {count:d} routes are decoded")
def decoding_yields(context: Any, turns: int, count: int) -> None:
    """Count the turns of another greenlet while a large routing document is decoded."""
    raw = document(5)
    raw["routes"] = [route(f"r-{n}", f"/many{n}/", "safe", "portal") for n in range(count)]
    text = orjson.dumps(raw).decode()
    counted = [0]

    def count_turns() -> None:
        while True:
            counted[0] += 1
            gevent.sleep(0)

    other = gevent.spawn(count_turns)
    decoded = PlatformDialect().read_routing(text)
    other.kill()
    assert len(decoded.routes) == count and counted[0] >= turns, counted


@given("a stored entry without an address and a whole one")
def one_broken(context: Any) -> None:
    """Read the list through the upstream feed."""
    context.items = upstream_feed(FixedStore("127.0.0.1:1")).list().items


@then("only the whole one is listed")
def only_whole(context: Any) -> None:
    """Check that the malformed entry was left out."""
    assert [upstream.upstream_id for upstream in context.items] == ["b"], context.items


class RemovingStore(Store):
    """A store whose watch returns the removal of one object."""

    def watch(self, kind: str, at: int, wait_s: float) -> WatchAnswer:
        """Return the removal."""
        return WatchAnswer(
            (WatchEvent(StoredObject("a", StoreVersion(7), None), True),), StoreVersion(7)
        )


@given("a watch that tells of a removed entry without its content")
def removed_entry(context: Any) -> None:
    """Watch once and keep the changes."""
    context.changes = (
        upstream_feed(RemovingStore("127.0.0.1:1")).watch(StoreVersion(1), 1.0).changes
    )


@then("the change says which upstream is gone")
def says_which(context: Any) -> None:
    """Check the id and the revision of the removed upstream."""
    (change,) = context.changes
    assert change.removed and change.item.upstream_id == "a" and change.item.revision == 7


def routing_text(version: int) -> RoutingText:
    """Return a routing document with the given version."""
    return RoutingText(read_routing(document(version)), "")


@given("routing version 7 is in force")
def version_seven(context: Any) -> None:
    """Apply version 7 as the first list."""
    context.world = GatewayWorld()
    context.add_cleanup(context.world.close)
    context.world.state.route_table = None
    context.routing = RoutingSource(context.world.state, lambda *, from_peer: None)
    context.routing.handle_list((routing_text(7),), 1)


@when("versions 5, 9 and 8 arrive")
def versions_arrive(context: Any) -> None:
    """Apply changes with older and newer versions."""
    for version in (5, 9, 8):
        context.routing.handle_change(ItemChange(routing_text(version), False))


@then("version 9 is in force")
def version_nine(context: Any) -> None:
    """Check that the newest version is used."""
    assert context.routing.version == 9
    assert context.world.state.route_table.version == 9
