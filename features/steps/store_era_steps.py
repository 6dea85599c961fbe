"""Test the ordering of store versions across a restore of the store, without a network."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import orjson
from behave import given, then, when

from driftstall.decisions.store_versions import INCOMPLETE_S, StoreEras, StoreVersion
from driftstall.exceptions import HistoryUnavailable, PlatformUnavailable
from driftstall.gateway.cordons import Cordon, CordonRegistry, Cordons
from driftstall.gateway.fleet import FleetController
from driftstall.gateway.fleet_events import (
    FleetAction,
    FleetEvent,
    StoreRestored,
    TimerFired,
    UpstreamChanged,
    UpstreamLeaving,
    UpstreamsListed,
    UpstreamsListedByPeer,
)
from driftstall.gateway.model import PolicyText, Upstream, UpstreamState
from driftstall.gateway.policy_persistence import PolicyPersistence
from driftstall.gateway.sources import PolicySource
from driftstall.platform.names import KIND_POLICY, KIND_UPSTREAMS
from driftstall.platform.store import Store
from features.worlds.gateway_world import GatewayWorld
from features.worlds.upstream_samples import upstream_of
from stand_ins.http import serve

RETURNED_AT = 100.0


def version(text: str) -> StoreVersion:
    """Return the version of a text."""
    return StoreVersion.parse(text)


@then("2.5 follows 1.90, which follows 1.89, and a store without eras counts plainly")
def ordered(context: Any) -> None:
    """Compare versions, and record eras."""
    assert version("2.5") > version("1.90") > version("1.89") > version("120") > version("119")
    assert (version("2.5").era, version("2.5").revision) == (2, 5)
    eras = StoreEras()
    assert (
        not eras.record_era(3, 1.0) and not eras.record_era(3, 2.0) and not eras.is_incomplete(2.0)
    )
    assert eras.record_era(4, 3.0) and eras.is_incomplete(3.0 + INCOMPLETE_S - 0.1)
    assert (
        not eras.is_incomplete(3.0 + INCOMPLETE_S) and not eras.record_era(3, 4.0) and eras.era == 4
    )


@then("each version is read again as it is shown")
def shown(context: Any) -> None:
    """Convert each version to text and back."""
    for text in ("2.5", "1.0", "7", "0", "65000.12345678901234"):
        assert str(version(text)) == text


class EraStore:
    """Respond to each call with the era that is set."""

    def __init__(self) -> None:
        """Start to listen."""
        self.era: str | None = "3"
        self.calls = 0
        self._server = serve(0, self._answer)
        self.stop = self._server.stop

    @property
    def address(self) -> str:
        """Return the address of the store."""
        return f"127.0.0.1:{self._server.server_port}"

    def _answer(self, environ: dict[str, Any], start: Any) -> list[bytes]:
        """Respond to a list or a watch without items."""
        self.calls += 1
        body = orjson.dumps({"items": [], "events": [], "more": False, "at": 40})
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        if self.era is not None:
            headers.append(("Store-Era", self.era))
        start("200 OK", headers)
        return [body]


@given("a store whose answers have named the era 3")
def era_store(context: Any) -> None:
    """List once."""
    context.era_store = EraStore()
    context.add_cleanup(context.era_store.stop)
    context.store = Store(context.era_store.address)
    assert context.store.list(KIND_UPSTREAMS).at == version("3.40")


@when("an answer names the era {told}")
def names_era(context: Any, told: str) -> None:
    """Set the era of the next responses."""
    context.era_store.era = None if told == "none" else told


@then("it counts as no answer, and the era stays 3")
def not_believed(context: Any) -> None:
    """Check that a list fails and the era stays."""
    try:
        context.store.list(KIND_UPSTREAMS)
    except PlatformUnavailable:
        assert context.store.era == 3
        return
    raise AssertionError("the answer was accepted")


@when("a watch from the version 3.40 is answered in the era 4")
def watch_answered(context: Any) -> None:
    """Start a watch."""
    context.era_store.era = "4"
    context.history_unavailable = False
    try:
        context.store.watch(KIND_UPSTREAMS, version("3.40"), 0.1)
    except HistoryUnavailable:
        context.history_unavailable = True


@then("its history counts as gone, and the era is 4")
def history_gone(context: Any) -> None:
    """Check the failed watch and the era."""
    assert context.history_unavailable and context.store.era == 4


@then("to replace an object at 2.40 is refused, and the store gets no call")
def refused(context: Any) -> None:
    """Try to replace an object of an older era."""
    calls = context.era_store.calls
    assert context.store.replace(KIND_POLICY, "x", {}, version("2.40")) is None
    assert context.era_store.calls == calls


def entry(name: str, at: str, state: UpstreamState = UpstreamState.READY) -> Upstream:
    """Return an upstream's entry at a version."""
    return replace(upstream_of(name, state=state), revision=version(at))


def feed(context: Any, event: FleetEvent, now: float) -> None:
    """Pass an event to the fleet and collect its actions."""
    actions: list[FleetAction] = context.fleet.handle(event, now)
    context.actions += actions


@given('a fleet that knows "u1" and "u2" as of 1.100')
def known_fleet(context: Any) -> None:
    """List both upstreams; both entries are recent."""
    context.fleet, context.actions = FleetController(), []
    entries = (entry("u1", "1.90"), entry("u2", "1.95"))
    feed(context, UpstreamsListed(entries, version("1.100")), 1.0)


@given('a fleet that knows "u1" and "u2" as of 1.100, and that "u2" has left')
def one_left(context: Any) -> None:
    """Remove one upstream."""
    known_fleet(context)
    feed(context, UpstreamChanged(entry("u2", "1.101"), True), 2.0)


@when('the store has come back, and lists "u1" alone as of 2.50')
def lists_one(context: Any) -> None:
    """Process the restore and the list."""
    context.actions = []
    feed(context, StoreRestored(), RETURNED_AT)
    feed(context, UpstreamsListed((entry("u1", "2.40"),), version("2.50")), RETURNED_AT)
    feed(context, TimerFired(), RETURNED_AT + 0.5)


@when("the store has come back, and lists both as of 2.50")
def lists_both(context: Any) -> None:
    """Process the restore and the list."""
    context.actions = []
    feed(context, StoreRestored(), RETURNED_AT)
    both = (entry("u1", "2.40"), entry("u2", "2.45"))
    feed(context, UpstreamsListed(both, version("2.50")), RETURNED_AT)


def taking(context: Any) -> set[str]:
    """Return the upstreams that accept requests."""
    return {upstream.name for upstream in context.fleet.ready("engines")}


@then('"u1" and "u2" take requests')
def both_take(context: Any) -> None:
    """Check the upstreams that accept requests."""
    assert taking(context) == {"u1", "u2"}, taking(context)


@then('3 s later "u2" takes none, if it is not listed by then')
def goes_later(context: Any) -> None:
    """Process another list."""
    feed(context, UpstreamsListed((entry("u1", "2.40"),), version("2.60")), RETURNED_AT + 3.0)
    feed(context, TimerFired(), RETURNED_AT + 3.1)
    assert taking(context) == {"u1"}, taking(context)


@when('1 s later "u2" is listed as of 2.55')
def listed_again(context: Any) -> None:
    """Process the change."""
    feed(context, UpstreamChanged(entry("u2", "2.55"), False), RETURNED_AT + 1.0)


@then('3 s later "u1" and "u2" take requests, and nobody was told that one leaves')
def never_gone(context: Any) -> None:
    """Process another list, and check that no upstream was reported as leaving."""
    both = (entry("u1", "2.40"), entry("u2", "2.55"))
    feed(context, UpstreamsListed(both, version("2.60")), RETURNED_AT + 3.0)
    feed(context, TimerFired(), RETURNED_AT + 3.1)
    both_take(context)
    assert not [action for action in context.actions if isinstance(action, UpstreamLeaving)]


@then('"u1" takes requests, and "u2" none')
def one_takes(context: Any) -> None:
    """Check the upstreams that accept requests."""
    assert taking(context) == {"u1"}, taking(context)


def list_both_again(context: Any, seconds: float) -> None:
    """List both unchanged, some time after the return."""
    both = (entry("u1", "2.40"), entry("u2", "2.45"))
    feed(context, UpstreamsListed(both, version("2.60")), RETURNED_AT + seconds)
    feed(context, TimerFired(), RETURNED_AT + seconds + 0.1)


@then('3 s later "u2" takes none, though it is still listed then')
def not_revived(context: Any) -> None:
    """Process the list within the retention."""
    list_both_again(context, 3.0)
    one_takes(context)


@then('9 s later "u2" takes requests, if it is still listed then')
def outlasts(context: Any) -> None:
    """Process the list after the retention."""
    list_both_again(context, 9.0)
    both_take(context)


@when('a peer tells that "u3" has joined as of 1.103')
def peer_tells_of_joined(context: Any) -> None:
    """Process the peer's report."""
    feed(context, UpstreamChanged(entry("u3", "1.103"), False, from_peer=True), 2.0)


@when('a list as of 1.102 comes after it, with "u1" alone')
def late_list(context: Any) -> None:
    """Process a list that was read before the upstream joined and arrives after it."""
    feed(context, UpstreamsListed((entry("u1", "1.90"),), version("1.102")), 2.004)


@then('"u1" and "u3" take requests')
def joined_takes(context: Any) -> None:
    """Check the upstreams that accept requests."""
    assert taking(context) == {"u1", "u3"}, taking(context)


@then('"u3" takes none once a list as of 1.104 lacks it as well')
def newer_list(context: Any) -> None:
    """Process a list that was read after the upstream joined."""
    feed(context, UpstreamsListed((entry("u1", "1.90"),), version("1.104")), 3.0)
    assert taking(context) == {"u1"}, taking(context)


@when('1 s later "u2" is removed as of 2.52')
def removed(context: Any) -> None:
    """Process the change."""
    feed(context, UpstreamChanged(entry("u2", "2.52"), True), RETURNED_AT + 1.0)


@when('1 s later "u2" says as of 2.52 that it leaves')
def notice(context: Any) -> None:
    """Process the change."""
    leaving = entry("u2", "2.52", UpstreamState.LEAVING)
    feed(context, UpstreamChanged(leaving, False), RETURNED_AT + 1.0)


@when('a peer offers "u1" and "u2" as of 1.120')
def peer_offers(context: Any) -> None:
    """Process the list and the report of a peer."""
    both = (entry("u1", "1.90"), entry("u2", "1.119"))
    feed(context, UpstreamsListedByPeer(both, version("1.120")), RETURNED_AT + 1.1)
    feed(context, UpstreamChanged(both[1], False, from_peer=True), RETURNED_AT + 1.2)


@then('"u2" takes no requests at once')
def takes_none(context: Any) -> None:
    """Check the upstreams that accept requests."""
    one_takes(context)


@given('a book that knows zone "a" as cordoned at 1.90 of 1.100')
def cordoned(context: Any) -> None:
    """Record the cordon."""
    context.cordons = CordonRegistry()
    context.cordons.merge(Cordons(version("1.100"), (Cordon("a", version("1.90")),)))


@when("the store has come back and its list as of 2.50 names no zone")
def names_none(context: Any) -> None:
    """Process the list while the store may be incomplete."""
    context.cordons.merge(Cordons(version("2.50")), keeps_missing=True)


@then('zone "a" is cordoned')
def still_cordoned(context: Any) -> None:
    """Check the cordons."""
    assert context.cordons.zones == {"a"}


@then("the list after that ends it")
def lifted(context: Any) -> None:
    """Process the next list."""
    assert context.cordons.merge(Cordons(version("2.50"))).lifted == {"a"}


def policy_text(name: str) -> str:
    """Return the text of a policy."""
    return f'policy "{name}" {{ rule all {{ rank 1; wait at most 5s; may refuse; }} }}'


def stored(name: str, at: str) -> PolicyText:
    """Return a stored policy."""
    return PolicyText(version(at), policy_text(name))


class StubPolicyStore:
    """Hold one policy in place of the store."""

    def __init__(self, held: PolicyText | None) -> None:
        """Initialize with the stored policy."""
        self.held = held
        self.written: list[str] = []

    def read(self) -> PolicyText | None:
        """Return the stored policy."""
        return self.held

    def write(self, text: str, instead_of: PolicyText | None) -> bool:
        """Record the write if the expected policy is stored."""
        if instead_of != self.held:
            return False
        self.written.append(text)
        return True


@given('a policy "first" was in force as of 1.40, and "second" is as of 1.90')
def two_policies(context: Any) -> None:
    """List both policies."""
    context.world = GatewayWorld()
    context.add_cleanup(context.world.close)
    context.policies = PolicySource(context.world.state)
    context.policies.handle_list((stored("first", "1.40"),), version("1.50"))
    context.policies.handle_list((stored("second", "1.90"),), version("1.95"))


@when('the store holds "first" as of 2.40')
def holds_first(context: Any) -> None:
    """List the policy of the restored store, and compare it."""
    context.policy_store = StubPolicyStore(stored("first", "2.40"))
    context.policies.handle_list((context.policy_store.held,), version("2.41"))
    PolicyPersistence(context.policies, context.policy_store).rewrite_if_lost()


@then('"second" is in force, and is written again in its place')
def second_holds(context: Any) -> None:
    """Check the policy in force and the write."""
    assert context.world.state.policy.name == "second"
    assert context.policy_store.written == [policy_text("second")]


@then('"third", submitted as of 2.45, comes into force and is not overwritten')
def third_holds(context: Any) -> None:
    """List the submitted policy."""
    context.policy_store = StubPolicyStore(stored("third", "2.45"))
    PolicyPersistence(context.policies, context.policy_store).rewrite_if_lost()
    context.policies.handle_list((context.policy_store.held,), version("2.46"))
    assert context.world.state.policy.name == "third"
    PolicyPersistence(context.policies, context.policy_store).rewrite_if_lost()
    assert context.policy_store.written == []


@given('a policy "first" is in force as of 2.40, the first one known here')
def first_known(context: Any) -> None:
    """List the policy."""
    context.world = GatewayWorld()
    context.add_cleanup(context.world.close)
    context.policies = PolicySource(context.world.state)
    context.policies.handle_list((stored("first", "2.40"),), version("2.50"))


@then("nothing is written again, whatever the store holds")
def nothing_written(context: Any) -> None:
    """Compare with the same policy and with another one."""
    for held in (stored("first", "2.40"), stored("other", "2.70")):
        kept = StubPolicyStore(held)
        PolicyPersistence(context.policies, kept).rewrite_if_lost()
        assert kept.written == []
