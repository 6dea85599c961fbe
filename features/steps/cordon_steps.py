"""Test that cordoned zones receive no new requests."""

from __future__ import annotations

import itertools
import time
from dataclasses import replace
from typing import Any

import gevent
from behave import given, then, when
from gevent import socket
from hypothesis import given as for_all
from hypothesis import seed, settings
from hypothesis import strategies as st

from driftstall.decisions.store_versions import StoreVersion
from driftstall.gateway.cordon_source import CordonSource
from driftstall.gateway.cordons import Cordon, CordonRegistry, Cordons
from driftstall.gateway.fleet_events import CordonedZonesChanged, UpstreamsListed
from driftstall.platform.feeds import cordon_feed
from driftstall.platform.names import KIND_CORDONS, KIND_UPSTREAMS
from driftstall.platform.store import Listing, Store, StoredObject
from features.steps.gateway_node_steps import StoreProxy, start_node, wait_for_processes
from features.worlds.gateway_world import (
    GatewayWorld,
    assert_refused_with_retry_after,
    runs,
    script_upstreams,
    wait_for,
    world_of,
)
from features.worlds.upstream_samples import entry_spec
from stand_ins.routed import Script

ORDERS = 800
REGISTRIES = 3
ZONES = ("a", "b")
CORDON_S = 5.0
NUMBERS = itertools.count(1)


class CordonWorld:
    """The platform's cordons at each revision, and some instances' registries that follow them."""

    def __init__(self) -> None:
        """Start without cordons."""
        self._history: list[dict[str, int]] = [{}, {}]
        """The cordons by revision, each with the revision at which it was created."""
        self._registries = [CordonRegistry() for _ in range(REGISTRIES)]
        self._read_to = [0] * REGISTRIES

    def write(self, zone: str) -> None:
        """Create a zone's cordon, or lift it if it exists."""
        held = dict(self._history[-1])
        if held.pop(zone, None) is None:
            held[zone] = len(self._history)
        self._history.append(held)

    def list(self, number: int) -> None:
        """Merge the complete list into a registry."""
        at = len(self._history) - 1
        self._registries[number].merge(self._cordons_at(at))
        self._read_to[number] = at

    def watch(self, number: int) -> None:
        """Apply all changes since the list to a registry that has read one."""
        if not self._read_to[number]:
            return
        for at in range(self._read_to[number] + 1, len(self._history)):
            before, now = self._history[at - 1], self._history[at]
            for zone in before.keys() ^ now.keys():
                self._registries[number].apply_change(
                    Cordon(zone, StoreVersion(at)), lifted=zone not in now
                )
            self._read_to[number] = at

    def merge_stale(self, number: int, back: int) -> None:
        """Merge a peer's snapshot that is some revisions old."""
        self._registries[number].merge(self._cordons_at(max(1, len(self._history) - 1 - back)))

    def merge_registry(self, number: int, other: int) -> None:
        """Merge the snapshot of another registry."""
        self._registries[number].merge(self._registries[other].snapshot)

    def check(self) -> None:
        """Compare each registry with the history at its revision."""
        for registry in self._registries:
            held = self._history[registry.snapshot.at]
            assert registry.zones == held.keys(), (registry.snapshot, held)

    def _cordons_at(self, at: int) -> Cordons:
        held = sorted(self._history[at].items())
        return Cordons(
            StoreVersion(at), tuple(Cordon(zone, StoreVersion(revision)) for zone, revision in held)
        )


@then(
    "no drawn order of lists, changes and peers' words leaves a wrong cordon, from seed {number:d}"
)
def drawn_cordons(context: Any, number: int) -> None:
    """Generate orders of steps; a seed always generates the same."""
    registries = st.integers(0, REGISTRIES - 1)
    steps = st.one_of(
        st.tuples(st.just("write"), st.sampled_from(ZONES)),
        st.tuples(st.just("list"), registries),
        st.tuples(st.just("watch"), registries),
        st.tuples(st.just("merge_stale"), registries, st.integers(0, 6)),
        st.tuples(st.just("merge_registry"), registries, registries),
    )

    @seed(number)
    @settings(max_examples=ORDERS, deadline=None, database=None)
    @for_all(st.lists(steps, max_size=14))
    def check(order: list[tuple[Any, ...]]) -> None:
        world = CordonWorld()
        for name, *values in order:
            getattr(world, name)(*values)
            world.check()

    check()


@given('a book that knows of a cordon of "a" at revision 7')
def registry_with_cordon(context: Any) -> None:
    """Merge a list with the cordon."""
    context.cordons = CordonRegistry()
    context.cordons.merge(Cordons(StoreVersion(7), (Cordon("a", StoreVersion(7)),)))
    assert context.cordons.zones == {"a"}


@when("that cordon is told to be gone at revision 7")
def removed_at_same_revision(context: Any) -> None:
    """Apply its removal with its own revision, as a removed object may carry it."""
    context.cordons.apply_change(Cordon("a", StoreVersion(7)), lifted=True)


@when("a peer still holds it")
def peer_holds(context: Any) -> None:
    """Merge a peer's snapshot from before the removal."""
    context.cordons.merge(Cordons(StoreVersion(7), (Cordon("a", StoreVersion(7)),)))


@then("no zone is cordoned")
def none_cordoned(context: Any) -> None:
    """Check that no cordon remains."""
    assert context.cordons.zones == frozenset()


class CordonStore(Store):
    """A store with one cordon whose content cannot be decoded."""

    def list(self, kind: str, *, stale: bool = False) -> Listing:
        """Return the list."""
        return Listing((StoredObject("a", StoreVersion(3), "emptied"),), StoreVersion(5))


@given('a store that lists a cordon of "a" whose content is a text')
def unreadable_cordon(context: Any) -> None:
    """Read the list through the cordon feed."""
    context.cordons = CordonRegistry()
    listed = cordon_feed(CordonStore("127.0.0.1:1")).list()
    context.cordons.merge(Cordons(listed.at, listed.items))


@then('the zones "a" are cordoned')
def a_cordoned(context: Any) -> None:
    """Check that the zone is cordoned despite the unreadable content."""
    assert context.cordons.zones == {"a"}


# One gateway inside the test process.


def zone_of(world: GatewayWorld, upstream: Any) -> str:
    """Return the zone that the tests assign to a stand-in."""
    return "b" if upstream is world.engines[2] else "a"


@given('a gateway whose first two engines stand in zone "a", the third in zone "b"')
def two_zones(context: Any) -> None:
    """List all upstreams with their zones."""
    world = context.world = GatewayWorld()
    context.add_cleanup(world.close)
    upstreams = (*world.plain, *world.engines)
    entries = tuple(replace(world.entry(each), zone=zone_of(world, each)) for each in upstreams)
    world.state.fleet.handle(
        UpstreamsListed(entries, StoreVersion(world.revision)), world.state.now()
    )


def cordon(world: GatewayWorld, *zones: str) -> None:
    """Set the cordoned zones, and lift all other cordons."""
    before = world.state.cordons.zones
    event = CordonedZonesChanged(frozenset(zones), before - set(zones))
    world.state.fleet.handle(event, world.state.now())


@when('zone "{zone}" is cordoned before it comes')
def cordoned_before(context: Any, zone: str) -> None:
    """Cordon the zone before the request."""
    cordon(world_of(context), zone)


@when('zone "a" is cordoned while its connection is being opened')
def cordoned_while_opened(context: Any) -> None:
    """Cordon the zone after the upstream is chosen and before the request is sent."""
    world = world_of(context)
    original = world.state.connector.dial

    def dial(address: str, timeout_s: float) -> socket.socket:
        opened = original(address, timeout_s)
        cordon(world, "a")
        return opened

    world.state.connector.dial = dial
    # The engine in zone "b" is so full that zone "a" is chosen.
    world.state.loads.set_load("load", _share(world.engines[2].upstream_id))


def _share(upstream_id: str) -> Any:
    """Return the load of a request that fills most of an engine's memory."""
    from driftstall.gateway.loads import RequestLoad

    return RequestLoad(upstream_id, 25_000, 0)


@then('a new stream runs in zone "b"')
def runs_in_b(context: Any) -> None:
    """Request a stream, and check that the engine in zone "b" ran it."""
    world = world_of(context)
    answer = world.ask("/stream/a", "s1")
    assert (answer.status, answer.whole) == (200, True), answer
    assert runs(world, "s1") == [world.engines[2]], runs(world, "s1")


@given('a stream in zone "b" whose copy is kept in zone "a"')
def stream_in_b(context: Any) -> None:
    """Start a stream while zone "a" is busier, and let its backup become ready."""
    from driftstall.decisions.sends import BACKUP_READY_AFTER_S

    world = world_of(context)
    for number, engine in enumerate(world.engines[:2]):
        world.state.loads.set_load(f"load-{number}", _share(engine.upstream_id))
    (context.script,) = script_upstreams(
        world, "s1", [Script(events=8, pause_after=4, break_after=4)]
    )
    context.asked = world.ask_later("/stream/a", "s1", Length_Hint="1500")
    wait_for("four events", lambda: any(run.events >= 4 for run in world.state.runs.all))
    (run,) = world.state.runs.all
    assert run.upstream.zone == "b", run.upstream
    if run.backup is None:
        run.backup = world.state.fleet.find(world.engines[0].upstream_id)
    world.pass_time(BACKUP_READY_AFTER_S)


@when('zone "a" is cordoned and the engine of the stream breaks off')
def cordoned_and_broken(context: Any) -> None:
    """Cordon zone "a", then let the stream break off."""
    cordon(world_of(context), "a")
    context.script.gate.set()
    context.answer = context.asked.get(timeout=5.0)


@then('nothing was sent to zone "a"')
def nothing_to_a(context: Any) -> None:
    """Check that the engines in zone "a" received nothing."""
    world = world_of(context)
    assert [engine.seen for engine in world.engines[:2]] == [[], []]
    assert not context.answer.whole


@then('a new stream keeps its copy in zone "a"')
def copy_in_a(context: Any) -> None:
    """Request a long stream, and check the backup that its engine was given."""
    world = world_of(context)
    world.ask("/stream/a", "s1", Length_Hint="1500")
    (engine,) = runs(world, "s1")
    backups = {each.address for each in world.engines[:2]}
    (seen,) = engine.seen
    assert seen.headers["kv-backup"] in backups, seen.headers


@when('zones "a" and "b" are cordoned')
def all_cordoned(context: Any) -> None:
    """Cordon both zones."""
    cordon(world_of(context), "a", "b")


@then("a new stream is refused within {seconds:g} s with a time to come back")
def refused_at_once(context: Any, seconds: float) -> None:
    """Request a stream, and check the refusal and its time."""
    world, started_at = world_of(context), time.monotonic()
    answer = world.ask("/stream/a", "s1")
    assert time.monotonic() - started_at < seconds
    assert_refused_with_retry_after(answer)


@then('a call is still served once zone "a" is free again')
def served_again(context: Any) -> None:
    """Lift the cordon of zone "a", and send a call."""
    cordon(world_of(context), "b")
    assert world_of(context).ask("/safe/a", "c1").status == 200


@given("an instance of a site with cordons that has read routes and upstreams")
def fresh_with_cordons(context: Any) -> None:
    """Start a gateway of a site that uses cordons."""
    world = context.world = GatewayWorld()
    context.add_cleanup(world.close)
    bounds = replace(world.state.settings.bounds, cordon_s=CORDON_S)
    world.state.settings = replace(world.state.settings, bounds=bounds)


@then("it is not ready until a peer tells of cordons")
def ready_after_report(context: Any) -> None:
    """Check the readiness before and after a peer's report of cordons."""
    state = world_of(context).state
    assert not state.is_ready
    applied: list[Any] = []
    source = CordonSource(state, on_changed=applied.append, announce=lambda: None)
    source.handle_peer_report(Cordons(StoreVersion(4), (Cordon("a", StoreVersion(4)),)))
    assert state.is_ready
    (changed,) = applied
    assert changed.cordoned == {"a"}


# Real processes.


@given("two gateway processes of a site with cordons, the second behind a gate")
def two_with_cordons(context: Any) -> None:
    """Move the second upstream to another zone, and start two processes."""
    second = context.upstreams[1]
    spec = entry_spec(second.address, "portal", slots=6, zone="b")
    assert context.store.replace(KIND_UPSTREAMS, second.upstream_id, spec) is not None
    context.gate = StoreProxy(context.store_address)
    context.add_cleanup(context.gate.stop)
    context.bounds = {"graceS": 2, "ttl_max_s": 1, "evacuateMs": CORDON_S * 1000}
    start_node(context, context.store_address, bounds=context.bounds)
    seeds = [context.nodes[0].listen["control"]]
    start_node(context, context.gate.address, bounds=context.bounds, seeds=seeds)
    for node in context.nodes:
        wait_for_processes("it is ready", node.is_ready)
        wait_for_processes("it uses both", lambda node=node: used(context, node) == {"i-1", "i-2"})


def used(context: Any, node: Any) -> set[str]:
    """Send some calls and return the ids of the upstreams that ran them."""
    ids = [f"k-{next(NUMBERS)}" for _ in range(8)]
    gevent.joinall([gevent.spawn(node.ask, "/safe/a", request_id) for request_id in ids])
    return {
        upstream.upstream_id
        for upstream in context.upstreams
        for request_id in ids
        if upstream.runs(request_id)
    }


@when('the gate falls silent and zone "b" of "i-2" is cordoned')
def silent_and_cordoned(context: Any) -> None:
    """Silence the proxy, then create the cordon."""
    context.gate.silent = True
    assert context.store.create(KIND_CORDONS, "b", {}) is not None
    context.changed_at = time.monotonic()


def assert_all_use(context: Any, wanted: set[str], seconds: float) -> None:
    """Send calls to all instances until they use exactly these upstreams, and check the time."""
    for node in context.nodes:
        wait_for_processes(
            f"{node.name} uses {wanted}", lambda node=node: used(context, node) == wanted
        )
    took_s = time.monotonic() - context.changed_at
    assert took_s <= seconds, took_s


@then('within {seconds:g} s all send to "i-1" alone')
def all_use_first(context: Any, seconds: float) -> None:
    """Check the upstreams that all instances use."""
    assert_all_use(context, {"i-1"}, seconds)


@then("so does a third one that starts while the store cannot be reached from it")
def third_starts(context: Any) -> None:
    """Start an instance behind a closed proxy, and check the upstreams that it uses."""
    closed = StoreProxy(context.store_address)
    closed.shut_down()
    context.add_cleanup(closed.stop)
    seeds = [context.nodes[0].listen["control"]]
    start_node(context, closed.address, bounds=context.bounds, seeds=seeds)
    node = context.nodes[-1]
    wait_for_processes("it is ready", node.is_ready)
    assert used(context, node) == {"i-1"}


@then('within {seconds:g} s of the cordon\'s end all send to "i-2" again')
def lifted_again(context: Any, seconds: float) -> None:
    """Lift the cordon, and check the upstreams that all instances use."""
    context.store.delete(KIND_CORDONS, "b")
    context.changed_at = time.monotonic()
    assert_all_use(context, {"i-1", "i-2"}, seconds)
