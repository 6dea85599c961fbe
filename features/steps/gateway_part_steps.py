"""Check the gateway's pure parts."""

from __future__ import annotations

import contextlib
import io
import os
import random
import tempfile
from pathlib import Path
from typing import Any

import orjson
from behave import given, then, when

from driftstall.cli.explain import explain_request
from driftstall.exceptions import HistoryGone, PlatformUnavailable, SettingsError
from driftstall.gateway.feeds import Changes, Follower, ItemChange, Snapshot
from driftstall.gateway.fleet import (
    Changed,
    FleetAction,
    FleetController,
    Listed,
    Period,
    PlatformBack,
    PlatformLost,
    UpstreamLeaving,
)
from driftstall.gateway.loads import LoadBook, Share, Use
from driftstall.gateway.model import (
    Bounds,
    Engine,
    RoutingText,
    Upstream,
    UpstreamState,
)
from driftstall.gateway.outcomes import Outcome, OutcomeBook
from driftstall.gateway.selection import (
    Need,
    Option,
    choose_backup,
    choose_move,
    choose_stream,
)
from driftstall.gateway.shared_budget import InstanceCount, SharedRetryBudget
from driftstall.gateway.sources import RoutingSource
from driftstall.helpers.log import BoundedWriter
from driftstall.platform.documents import read_routing
from driftstall.platform.feeds import upstream_feed
from driftstall.platform.settings import read_settings
from driftstall.platform.store import Listing, Store, StoredObject, WatchAnswer, WatchEvent
from features.worlds.gateway_world import GatewayWorld, document

ENGINE = Engine(64, 34_545, 18_432, 337_500_000.0, True, True, 4)
NEED = Need(3_000, 500)


def upstream_of(
    name: str, revision: int = 1, state: UpstreamState = UpstreamState.READY, zone: str = "a"
) -> Upstream:
    """Return an upstream's entry."""
    return Upstream(name, "engines", "127.0.0.1:1", zone, 64, state, revision)


def tell(context: Any, event: Any, at: float) -> None:
    """Hand the fleet an event and keep what it tells."""
    context.told += context.fleet.handle(event, at)


@given("a fleet of 3 upstreams")
def fleet_of_three(context: Any) -> None:
    """Start a fleet."""
    context.fleet = FleetController()
    context.told = []
    tell(context, Listed(tuple(upstream_of(f"u{index}") for index in (1, 2, 3))), 0.0)


@when('upstream "{name}" gives notice twice')
def notice_twice(context: Any, name: str) -> None:
    """Tell of a notice twice."""
    for revision in (5, 6):
        leaving = upstream_of(name, revision, UpstreamState.LEAVING)
        tell(context, Changed(leaving, False), 1.0)


@when('the entry of "{name}" is removed')
def entry_removed(context: Any, name: str) -> None:
    """Remove an entry."""
    tell(context, Changed(upstream_of(name, 5), True), 1.0)


@when('old news say that "{name}" is ready')
def old_news(context: Any, name: str) -> None:
    """Tell what was true before."""
    tell(context, Changed(upstream_of(name, 4), False), 1.1)


@then('it is told once that "{name}" is leaving')
def told_once(context: Any, name: str) -> None:
    """Count the notices."""
    leaving: list[FleetAction] = [one for one in context.told if isinstance(one, UpstreamLeaving)]
    assert [one.upstream.upstream_id for one in leaving] == [name], leaving


@then('"{name}" takes no requests')
def takes_none(context: Any, name: str) -> None:
    """Look at the fleet."""
    assert not context.fleet.takes_requests(name)
    assert name not in {one.upstream_id for one in context.fleet.ready("engines")}


@then('"{name}" takes requests')
def takes_some(context: Any, name: str) -> None:
    """Look at the fleet."""
    assert context.fleet.takes_requests(name)


@when('the platform was away and lists only "{first}" and "{second}" on its return')
def lists_less(context: Any, first: str, second: str) -> None:
    """Let an outage end."""
    tell(context, PlatformLost(), 1.0)
    tell(context, PlatformBack(), 6.0)
    tell(context, Listed((upstream_of(first), upstream_of(second))), 6.0)
    context.back_at = 6.0


@when('the platform is away and a peer tells that "{name}" is gone')
def peer_tells(context: Any, name: str) -> None:
    """Let a peer pass a removal on during an outage."""
    tell(context, PlatformLost(), 1.0)
    tell(context, Changed(upstream_of(name, 5), True, from_peer=True), 1.5)


@when('the entry of "{name}" is back after {seconds:g} s')
def entry_back(context: Any, name: str, seconds: float) -> None:
    """List the entry again."""
    tell(context, Changed(upstream_of(name, 9), False), context.back_at + seconds)


@then('after {seconds:g} s without its entry "{name}" takes no requests')
def missed(context: Any, seconds: float, name: str) -> None:
    """Let the grace time pass."""
    tell(context, Period(), context.back_at + seconds)
    takes_none(context, name)


@then('after {seconds:g} s "{name}" takes requests')
def not_missed(context: Any, seconds: float, name: str) -> None:
    """Let the grace time pass."""
    tell(context, Period(), context.back_at + seconds)
    takes_some(context, name)


@given('a request of 1000 tokens on "u1" with a copy on "u2", and a peer\'s of 500 on "u1"')
def loads(context: Any) -> None:
    """Fill a book."""
    context.loads = LoadBook()
    context.loads.put("r1", Share("u1", 1000, 600, "u2"))
    context.loads.told("peer", (Use("u1", 1, 500, 0, 0, 500),), 10.0)


@then('"u1" has 1500 tokens running and "u2" has 1000 tokens of copies')
def sums(context: Any) -> None:
    """Compare the sums."""
    assert context.loads.use("u1", 10.5) == Use("u1", 2, 1500, 0, 600, 500)
    assert context.loads.use("u2", 10.5) == Use("u2", 0, 0, 1000)
    assert context.loads.exposed_at_peers("u1", 10.5) == {"peer": 500}


@then("the peer's sums count no more after 4 s")
def peer_silent(context: Any) -> None:
    """Let the report grow old."""
    assert context.loads.use("u1", 14.1).tokens == 1000
    assert context.loads.exposed_at_peers("u1", 14.1) == {}


@then("nothing is left once the request has ended")
def all_gone(context: Any) -> None:
    """End the request."""
    context.loads.drop("r1")
    assert context.loads.own == ()


def option(name: str, tokens: int, zone: str = "a") -> Option:
    """Return an engine to choose."""
    return Option(upstream_of(name, zone=zone), Use(name, 1, tokens), 0.0, False)


@then("of an engine with 30000 tokens in use and an empty one the empty one is chosen")
def with_room(context: Any) -> None:
    """Choose among two."""
    chosen = choose_stream(
        [option("u1", 30_000), option("u2", 0, "b")], ENGINE, NEED, "a", random.Random(1)
    )
    assert chosen is not None and chosen.upstream.upstream_id == "u2"


@then("a copy is kept on neither the own engine nor a full one")
def no_copy(context: Any) -> None:
    """Choose where there is no room."""
    options = [option("u1", 0), option("u2", 25_000)]
    chosen = choose_backup(options, ENGINE, NEED, options[0].upstream, random.Random(1))
    assert chosen is None, chosen


@then("of a far empty engine and a near one a quarter full the near one takes a move")
def near_move(context: Any) -> None:
    """Choose a move's target."""
    options = [option("far", 0, "b"), option("near", 8_600)]
    primary = upstream_of("u1")
    chosen = choose_move(options, ENGINE, NEED, primary, random.Random(1), most_memory=1.0)
    assert chosen is not None and chosen.upstream.upstream_id == "near"


@when('"{name}" could not be reached {count:d} times')
def unreachable(context: Any, name: str, count: int) -> None:
    """Let connections fail."""
    context.outcomes = OutcomeBook()
    context.rests = []
    for index in range(count):
        at = 100.0 * index
        context.outcomes.saw(name, "engines", Outcome.UNREACHABLE, at, 0.0)
        rest = next(n / 100 for n in range(1000) if not context.outcomes.rests(name, at + n / 100))
        context.rests.append(rest)


@then("it rests, longer than after the first time, and not for ever")
def rests(context: Any) -> None:
    """Compare the rests."""
    first, *_, last = context.rests
    assert 0 < first < last < 5, context.rests


@when('half of the answers of "u1" are failures and those of "u2" take twice as long')
def fail_and_slow(context: Any) -> None:
    """Let answers come."""
    context.outcomes = OutcomeBook()
    for index in range(60):
        outcome = Outcome.FAILED if index % 2 else Outcome.GOOD
        context.outcomes.saw("u1", "s", outcome, float(index), 0.1)
        context.outcomes.saw("u2", "s", Outcome.GOOD, float(index), 0.2)
        context.outcomes.saw("u3", "s", Outcome.GOOD, float(index), 0.1)


@then('both have a penalty and "u3" has none')
def penalties(context: Any) -> None:
    """Compare the penalties."""
    values = [context.outcomes.penalty(name, "s") for name in ("u1", "u2", "u3")]
    assert values[0] > 0.4 and values[1] > 0.1 and values[2] == 0.0, values


@given("8 instances that share a budget of 50 repeats and a fifth of the requests")
def shared_budget(context: Any) -> None:
    """Start the budgets."""
    context.budgets = []
    for _ in range(8):
        count = InstanceCount()
        count.seen(8, 0.0)
        bounds = Bounds(retry_ratio=0.2, retry_extra=50.0, retry_window_s=10.0)
        context.budgets.append(SharedRetryBudget("s", bounds, count))


def send_requests(context: Any) -> None:
    """Let each instance send ten requests."""
    for budget in context.budgets:
        for index in range(10):
            budget.request(float(index) / 2)


def hear(group: list[SharedRetryBudget], now: float) -> None:
    """Let each of a group hear of the others."""
    for listener in group:
        for index, budget in enumerate(group):
            if budget is not listener:
                listener.told(f"peer-{index}", budget.count(now), now)


@when("each has 10 requests and wants 100 repeats within 10 s, and none hears of others")
def want_repeats(context: Any) -> None:
    """Ask for more than is allowed."""
    send_requests(context)
    context.made = 0
    for budget in context.budgets:
        context.made += sum(budget.take(5.0 + index / 25) for index in range(100))


@when("each has 10 requests and hears of the others, and one wants 100 repeats")
def one_wants(context: Any) -> None:
    """Let one instance need all repeats."""
    send_requests(context)
    hear(context.budgets, 5.0)
    context.made = sum(context.budgets[0].take(5.1) for _ in range(100))


@then("it makes more than twice its even part")
def more_than_even(context: Any) -> None:
    """Compare with an eighth of the budget."""
    assert context.made > 2 * 66 / 8, context.made


@then("the others, once they hear of it, make no more than the budget in all")
def others_keep(context: Any) -> None:
    """Let the others ask in turn, each hearing of those before."""
    for budget in context.budgets[1:]:
        hear(context.budgets, 5.2)
        context.made += sum(budget.take(5.2) for _ in range(100))
    assert context.made <= 66, context.made


@when("each half hears only of itself and all want 100 repeats")
def halves(context: Any) -> None:
    """Cut the instances into two halves; within each, reports come after every repeat."""
    send_requests(context)
    context.made = 0
    for half in (context.budgets[:4], context.budgets[4:]):
        for index in range(100):
            for budget in half:
                hear(half, 5.0 + index / 25)
                context.made += budget.take(5.0 + index / 25)


@then("at most 66 repeats are made in all")
def repeats_bounded(context: Any) -> None:
    """Compare with a fifth of 80 requests and 50 besides."""
    assert 20 <= context.made <= 66, context.made


@given("8 instances are known and then 1")
def fewer_known(context: Any) -> None:
    """Let seven vanish."""
    context.count = InstanceCount()
    context.count.seen(8, 0.0)
    context.count.seen(1, 1.0)


@then("the budget is still divided by 8, and by 1 after 31 s")
def divided(context: Any) -> None:
    """Compare at both times."""
    assert context.count.value == 8
    context.count.seen(1, 31.0)
    assert context.count.value == 1


class ScriptedFeed:
    """Answer with what a script says, step by step."""

    def __init__(self, steps: list[Any]) -> None:
        """Take the answers; an exception is raised."""
        self._steps = steps

    def _next(self) -> Any:
        step = self._steps.pop(0)
        if isinstance(step, Exception):
            raise step
        return step

    def list(self) -> Snapshot[str]:
        """Return the next answer."""
        found: Snapshot[str] = self._next()
        return found

    def watch(self, at: int, wait_s: float) -> Changes[str]:
        """Return the next answer."""
        found: Changes[str] = self._next()
        return found


class Recorder:
    """Record what a follower tells."""

    def __init__(self) -> None:
        """Start with nothing."""
        self.told: list[str] = []

    def listed(self, items: tuple[str, ...]) -> None:
        """Record a list."""
        self.told.append("listed")

    def changed(self, change: ItemChange[str]) -> None:
        """Record a change."""
        self.told.append("changed")

    def platform_lost(self, cause: str) -> None:
        """Record an outage."""
        self.told.append("lost")

    def platform_back(self) -> None:
        """Record an outage's end."""
        self.told.append("back")


LIST = Snapshot(("a",), 5)
CHANGE = Changes((ItemChange("a", False),), 6)


def follow(context: Any, steps: list[Any]) -> None:
    """Follow a scripted feed to its end."""
    context.recorder = Recorder()
    feed = ScriptedFeed(list(steps))
    follower = Follower(feed, context.recorder, random.Random(1), sleep=lambda _: None)
    for _ in steps:
        follower.step()


@given("a feed whose watch is cut once")
def cut_once(context: Any) -> None:
    """Cut one watch."""
    follow(context, [LIST, CHANGE, PlatformUnavailable("cut"), CHANGE])


@then("it is listed once and no outage is told")
def listed_once(context: Any) -> None:
    """Compare what was told."""
    assert context.recorder.told == ["listed", "changed", "changed"], context.recorder.told


@given("a feed whose history is gone")
def history_gone(context: Any) -> None:
    """Forget the history."""
    follow(context, [LIST, HistoryGone(), LIST])


@then("it is listed twice and no outage is told")
def listed_twice(context: Any) -> None:
    """Compare what was told."""
    assert context.recorder.told == ["listed", "listed"], context.recorder.told


@given("a feed that fails 5 times and answers again")
def fails_and_answers(context: Any) -> None:
    """Let an outage begin and end."""
    failures = [PlatformUnavailable("down") for _ in range(5)]
    follow(context, [LIST, *failures, CHANGE])


@then("the outage is told once and its end before the next change")
def outage_told(context: Any) -> None:
    """Compare what was told."""
    assert context.recorder.told == ["listed", "lost", "back", "changed"], context.recorder.told


@given("a settings file with a wrong address and without a zone")
def wrong_settings(context: Any) -> None:
    """Write a wrong settings file."""
    listen = {"front": "nowhere", "ready": "127.0.0.1:1", "directory": "127.0.0.1:2"}
    listen["control"] = "127.0.0.1:3"
    raw = {"nodeName": "n", "ip": "127.0.0.1", "listen": listen}
    raw["platform"] = {"address": "127.0.0.1:4"}
    context.path = Path(tempfile.mkdtemp()) / "settings.json"
    context.path.write_bytes(orjson.dumps(raw))


@then("reading it names both faults")
def names_both(context: Any) -> None:
    """Read the file."""
    try:
        read_settings(context.path)
    except SettingsError as fault:
        text = "\n".join(fault.faults)
        assert "listen.front" in text and "zone" in text, text
        return
    raise AssertionError("wrong settings were taken")


class FixedStore(Store):
    """Hold a fixed list."""

    def list(self, kind: str) -> Listing:
        """Return the list."""
        whole = {"service": "s", "address": "127.0.0.1:1"}
        return Listing((StoredObject("a", 1, {"service": "s"}), StoredObject("b", 2, whole)), 3)


@given("a stored entry without an address and a whole one")
def one_broken(context: Any) -> None:
    """Take a list of two."""
    context.items = upstream_feed(FixedStore("127.0.0.1:1")).list().items


@then("only the whole one is listed")
def only_whole(context: Any) -> None:
    """Compare the list."""
    assert [one.upstream_id for one in context.items] == ["b"], context.items


class RemovingStore(Store):
    """Tell of one removed object."""

    def watch(self, kind: str, at: int, wait_s: float) -> WatchAnswer:
        """Return the removal."""
        return WatchAnswer((WatchEvent(StoredObject("a", 7, None), True),), 7)


@given("a watch that tells of a removed entry without its content")
def removed_entry(context: Any) -> None:
    """Watch once."""
    context.changes = upstream_feed(RemovingStore("127.0.0.1:1")).watch(1, 1.0).changes


@then("the change says which upstream is gone")
def says_which(context: Any) -> None:
    """Compare the change."""
    (change,) = context.changes
    assert change.gone and change.item.upstream_id == "a" and change.item.revision == 7


def routing_text(version: int) -> RoutingText:
    """Return a routing document of a version."""
    return RoutingText(read_routing(document(version)), "")


@given("routing version 7 is in force")
def version_seven(context: Any) -> None:
    """Start with a version."""
    context.world = GatewayWorld()
    context.add_cleanup(context.world.close)
    context.world.state.table = None
    context.routing = RoutingSource(context.world.state, lambda: None)
    context.routing.listed((routing_text(7),))


@when("versions 5, 9 and 8 arrive")
def versions_arrive(context: Any) -> None:
    """Let old and new versions arrive."""
    for version in (5, 9, 8):
        context.routing.changed(ItemChange(routing_text(version), False))


@then("version 9 is in force")
def version_nine(context: Any) -> None:
    """Compare the version."""
    assert context.routing.version == 9
    assert context.world.state.table.version == 9


@given("a log whose reader takes nothing")
def full_pipe(context: Any) -> None:
    """Fill a pipe."""
    context.reader, writer = os.pipe()
    os.set_blocking(writer, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(writer, b"x" * 4096)
    os.set_blocking(writer, True)
    context.log = BoundedWriter(writer, clock=lambda: 1.0, cap=1000)


@when("50 lines are written")
def write_lines(context: Any) -> None:
    """Write lines that nobody takes."""
    for number in range(50):
        context.log({"message": "m", "number": number})


@then("none has waited and the loss is counted")
def loss_counted(context: Any) -> None:
    """Having come here, none has waited."""
    assert context.log.dropped == 50, context.log.dropped


@then("once the reader takes lines again the next one tells of the loss")
def loss_told(context: Any) -> None:
    """Empty the pipe and write once more."""
    os.set_blocking(context.reader, False)
    with contextlib.suppress(BlockingIOError):
        while os.read(context.reader, 65_536):
            pass
    context.log({"message": "again"})
    assert orjson.loads(os.read(context.reader, 65_536))["dropped_before"] == 50
    assert context.log.dropped == 0


@given('logs of two instances that name request "r1"')
def two_logs(context: Any) -> None:
    """Write two logs; one as a collector writes it, with the instance before each line."""
    folder = Path(tempfile.mkdtemp())
    placed = {"timestamp": 2.0, "message": "placed on u1", "request": "r1", "upstream": "u1"}
    notice = {"timestamp": 2.5, "message": "Upstream u1 is leaving"}
    other = {"timestamp": 2.6, "message": "placed", "request": "r2"}
    (folder / "a.log").write_bytes(b"\n".join(orjson.dumps(one) for one in (notice, placed, other)))
    resumed = {"timestamp": 3.0, "message": "goes on", "request": "r1", "left": "u1"}
    (folder / "b.log").write_bytes(b" 3.0 instance-b " + orjson.dumps(resumed))
    context.files = [str(folder / "a.log"), str(folder / "b.log")]


@then('explaining "r1" shows its lines in order, and the notice of its upstream')
def explained(context: Any) -> None:
    """Run the command's part."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        assert explain_request("r1", context.files) == 0
    lines = output.getvalue().splitlines()
    words = [("placed on u1", "a"), ("is leaving", "a"), ("goes on", "instance-b")]
    assert len(lines) == 3, lines
    for line, (word, origin) in zip(lines, words, strict=True):
        assert word in line and origin in line, line
