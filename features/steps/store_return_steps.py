"""Test on real processes how instances recover when the store is restored from an older backup."""

from __future__ import annotations

import itertools
import re
import time
from collections.abc import Callable
from typing import Any, Final

import gevent
from behave import given, then, when

from driftstall.exceptions import PlatformUnavailable
from driftstall.platform.names import (
    KIND_CONFIG,
    KIND_INSTANCES,
    KIND_POLICY,
    KIND_UPSTREAMS,
    NAME_CONFIG,
    NAME_POLICY,
)
from driftstall.platform.policies import PolicyStore
from driftstall.platform.store import Store
from features.steps.gateway_node_steps import start_node, wait_for_processes
from features.worlds.gateway_world import HOST, document, route
from features.worlds.upstream_samples import entry_spec
from measures.bench import Bench
from stand_ins.routed import RoutedUpstream, Script

CONTACT_S: Final = 3.0
AT_ONCE: Final = 24
WORK_S: Final = 0.05
ASK_PAUSE_S: Final = 0.03
SETTLED_S: Final = 1.0
"""Time within which instances have read the store's changes if nothing fails."""
KEPT: Final = ("p-1", "p-2")
"""Upstreams that stay listed throughout."""
NUMBERS: Final = itertools.count(1)
POLICY: Final = (
    'policy "later" {\n  rule all {\n    rank 1;\n    wait at most 5s;\n    may refuse;\n  }\n}\n'
)
EARLIER: Final = POLICY.replace("later", "earlier")


@given("a store that can come back from a copy, with {count:d} upstreams and 4 gateway processes")
def start_all(context: Any, count: int) -> None:
    """Start the store, the upstreams and the instances; some upstreams are not listed yet."""
    bench = context.store_bench = Bench()
    context.add_cleanup(bench.close)
    context.store_address = bench.start_platform().address
    context.store = Store(context.store_address)
    context.version = 3
    context.store.create(KIND_CONFIG, NAME_CONFIG, document(context.version))
    names = [f"p-{n}" for n in range(1, count + 1)]
    context.upstreams = {name: RoutedUpstream(name, ordinary_call) for name in names}
    for upstream in context.upstreams.values():
        context.add_cleanup(upstream.stop)
    for name in (*KEPT, "p-3"):
        list_portal(context, name)
    context.nodes = []
    for _ in range(4):
        seeds = [node.listen["control"] for node in context.nodes]
        bounds = {"contactMs": CONTACT_S * 1000, "drainMs": 2000, "graceS": 2, "ttl_max_s": 1}
        start_node(context, context.store_address, seeds=seeds, bounds=bounds)
    fronts = {node.listen["front"] for node in context.nodes}
    for node in context.nodes:
        wait_for_processes(f"{node.name} is ready", node.is_ready)
        wait_for_processes(
            f"{node.name} locates all", lambda node=node: node.locate(HOST) == fronts
        )
    control(context, {"copy": True})


def control(context: Any, script: dict[str, Any]) -> None:
    """Send a script to the store's stand-in."""
    context.store_bench.platform.control(script)


def list_portal(context: Any, name: str) -> None:
    """List a portal."""
    spec = entry_spec(context.upstreams[name].address, "portal", slots=6)
    write_with_retries(lambda: context.store.create(KIND_UPSTREAMS, name, spec))


def write_with_retries(write: Callable[[], Any]) -> None:
    """Repeat a write until the store answers, for 5 s at most."""
    until = time.monotonic() + 5.0
    while True:
        try:
            write()
            return
        except PlatformUnavailable:
            assert time.monotonic() < until
            gevent.sleep(0.02)


def configure(context: Any) -> None:
    """Write a newer version of the configuration with one more route."""
    context.version += 1
    wanted = document(context.version)
    wanted["routes"].append(route("added", f"/added{context.version}/", "safe", "portal"))
    write_with_retries(lambda: context.store.replace(KIND_CONFIG, NAME_CONFIG, wanted))


def ordinary_call() -> Script:
    """Return the script of an upstream's call."""
    return Script(work_s=WORK_S)


def ask_together(node: Any) -> None:
    """Send so many concurrent calls to an instance that it uses all upstreams it knows."""
    asking = [gevent.spawn(node.ask, "/safe/a", f"era-{next(NUMBERS)}") for _ in range(AT_ONCE)]
    gevent.joinall(asking, raise_error=True)


def arrivals(context: Any, name: str) -> int:
    """Return the number of requests that an upstream received."""
    return len(context.upstreams[name].arrivals)


def probe_all(context: Any, path: str = "/safe/a", times: int = 1) -> list[int]:
    """Send calls to each instance and return the statuses."""
    return [
        node.ask(path, f"era-{next(NUMBERS)}").status
        for node in context.nodes
        for _ in range(times)
    ]


@given("{count:d} changes were made after the copy, a policy and an upstream's among them")
def changes_made(context: Any, count: int) -> None:
    """Change other objects, an entry, the policy and the configuration, and wait for them."""
    for number in range(count):
        context.store.create("other", f"o-{number}", {})
    change_entry(context)
    submit(context, EARLIER)
    has_policy_in(context, 5.0, "earlier")
    configure(context)
    wait_for_processes("it is in force", lambda: in_force(context))


def change_entry(context: Any) -> None:
    """Change an upstream's entry."""
    spec = entry_spec(context.upstreams["p-3"].address, "portal", slots=5)
    write_with_retries(lambda: context.store.replace(KIND_UPSTREAMS, "p-3", spec))


def in_force(context: Any) -> bool:
    """Return True if all instances serve the newest route."""
    return all(status == 200 for status in probe_all(context, f"/added{context.version}/x"))


@when("the store comes back from the copy after {away:g} s away")
def come_back(context: Any, away: float) -> None:
    """Restore the store, and write the configuration and an entry again as their writers do."""
    control(context, {"come_back": True, "down_s": away})
    gevent.sleep(away)
    context.back_at = time.monotonic()
    context.writes = context.store_bench.platform.stats()["writes"]
    wanted = document(context.version)
    wanted["routes"].append(route("added", f"/added{context.version}/", "safe", "portal"))
    write_with_retries(lambda: context.store.replace(KIND_CONFIG, NAME_CONFIG, wanted))
    change_entry(context)


@when(
    "the store comes back from the copy after {away:g} s away, and {count:d} changes are made at"
    " once"
)
def come_back_and_change(context: Any, away: float, count: int) -> None:
    """Restore the store, and reuse all revisions that were seen before instances can notice."""
    address = context.upstreams["p-4"].address
    spec = entry_spec(address, "portal", slots=6)
    written = [{"kind": KIND_UPSTREAMS, "name": "p-4", "spec": spec}]
    written += [{"kind": "other", "name": f"again-{n}", "spec": {}} for n in range(count)]
    control(context, {"come_back": True, "down_s": away, "written_at_once": written})
    context.back_at = time.monotonic()
    change_entry(context)
    gevent.sleep(SETTLED_S)


@then("a policy that is submitted then is in force at all instances within {seconds:g} s")
def policy_then(context: Any, seconds: float) -> None:
    """Submit a policy and wait for it."""
    gevent.sleep(SETTLED_S)
    submit(context, POLICY)
    has_policy_in(context, seconds, "later")


def submit(context: Any, text: str) -> None:
    """Submit a policy."""
    assert PolicyStore(context.store_address).submit(text, None) is not None


def policy_of(node: Any) -> str:
    """Return the name of the policy that an instance applied last, from its log."""
    found = re.findall(r"configuration: Policy '(\w+)' is in force", node.log.read_text())
    return found[-1] if found else ""


def has_policy_in(context: Any, seconds: float, name: str) -> None:
    """Wait until all instances have applied the policy."""
    until = time.monotonic() + seconds
    while any(policy_of(node) != name for node in context.nodes):
        assert time.monotonic() < until, [policy_of(node) for node in context.nodes]
        gevent.sleep(0.05)


@then("a configuration that is written then is in force at all instances within {seconds:g} s")
def configuration_then(context: Any, seconds: float) -> None:
    """Write a configuration and wait for it."""
    configure(context)
    until = time.monotonic() + seconds
    while not in_force(context):
        assert time.monotonic() < until
        gevent.sleep(0.05)


@then("an upstream that is listed then takes requests at all instances within {seconds:g} s")
def upstream_then(context: Any, seconds: float) -> None:
    """List an upstream and wait until all instances use it."""
    list_portal(context, "p-4")
    used_by_all(context, "p-4", time.monotonic() + seconds)


@then("an upstream that was listed at once takes requests at all instances within {seconds:g} s")
def upstream_at_once(context: Any, seconds: float) -> None:
    """Wait until all instances use the upstream."""
    used_by_all(context, "p-4", context.back_at + seconds)


def used_by_all(context: Any, name: str, until: float) -> None:
    """Wait until each instance has sent a request to the upstream."""
    for node in context.nodes:
        before = arrivals(context, name)
        while arrivals(context, name) == before:
            assert time.monotonic() < until, f"{node.name} does not use {name}"
            ask_together(node)


@then("an upstream that is removed then gets nothing from {seconds:g} s after that")
def removal_then(context: Any, seconds: float) -> None:
    """Remove an upstream, and check that it receives nothing after that time."""
    write_with_retries(lambda: context.store.delete(KIND_UPSTREAMS, "p-3"))
    ask_until(context, time.monotonic() + seconds)
    gets_nothing(context, "p-3")


def ask_until(context: Any, until: float) -> None:
    """Send calls to all instances until that time."""
    while time.monotonic() < until:
        asking = [gevent.spawn(ask_together, node) for node in context.nodes]
        gevent.joinall(asking, raise_error=True)
        gevent.sleep(ASK_PAUSE_S)


def gets_nothing(context: Any, name: str) -> None:
    """Send calls for two seconds, and check that the upstream receives none."""
    before = arrivals(context, name)
    ask_until(context, time.monotonic() + 2.0)
    assert arrivals(context, name) == before, arrivals(context, name) - before


@given("an upstream was removed after the copy")
def removed_after(context: Any) -> None:
    """Remove it, and wait until no instance uses it."""
    context.name = "p-3"
    context.store.delete(KIND_UPSTREAMS, "p-3")
    ask_until(context, time.monotonic() + 2.5)
    context.before = arrivals(context, "p-3")


@when("it is removed again {seconds:g} s later")
def removed_again(context: Any, seconds: float) -> None:
    """Send calls until that time, then remove the upstream again."""
    ask_until(context, time.monotonic() + seconds)
    write_with_retries(lambda: context.store.delete(KIND_UPSTREAMS, context.name))


@then("it gets nothing from now on")
def nothing_since(context: Any) -> None:
    """Check that it has received nothing since its first removal."""
    gets_nothing(context, context.name)
    assert arrivals(context, context.name) == context.before


@given("an upstream was listed after the copy")
def listed_after(context: Any) -> None:
    """List it, and wait until all instances use it."""
    list_portal(context, "p-4")
    used_by_all(context, "p-4", time.monotonic() + 3.0)


@when("it is listed again {seconds:g} s later")
def listed_again(context: Any, seconds: float) -> None:
    """Record which instances do not use it until then, and list it again."""
    context.unused = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        for node in context.nodes:
            before = arrivals(context, "p-4")
            ask_together(node)
            if arrivals(context, "p-4") == before:
                context.unused.append((node.name, time.monotonic() - context.back_at))
    list_portal(context, "p-4")


@then("all instances went on to use it")
def kept_using(context: Any) -> None:
    """Check that all instances have used it throughout and still do."""
    assert not context.unused, context.unused
    ask_until(context, time.monotonic() + 2.0)
    used_by_all(context, "p-4", time.monotonic() + 1.0)


@given("all 4 instances were listed, and a policy submitted, after the copy")
def copy_before(context: Any) -> None:
    """Take a backup of the store without the instances' entries and without the policy."""
    names = [node.name for node in context.nodes]
    for name in names:
        wait_for_processes(
            f"{name} is listed", lambda name=name: context.store.get(KIND_INSTANCES, name)
        )
    specs = {name: context.store.get(KIND_INSTANCES, name).spec for name in names}
    for name in names:
        context.store.delete(KIND_INSTANCES, name)
    control(context, {"copy": True})
    for name, spec in specs.items():
        context.store.create(KIND_INSTANCES, name, spec)
    submit(context, POLICY)
    has_policy_in(context, 5.0, "later")


@then("the store lists {count:d} instances within {seconds:g} s")
def lists_instances(context: Any, count: int, seconds: float) -> None:
    """Wait for the instances' entries."""
    until = context.back_at + seconds
    while len(context.store.list(KIND_INSTANCES).objects) < count:
        assert time.monotonic() < until, context.store.list(KIND_INSTANCES).objects
        gevent.sleep(0.1)


@then("it holds that policy within {seconds:g} s")
def holds_policy(context: Any, seconds: float) -> None:
    """Wait for the policy."""
    until = context.back_at + seconds
    while context.store.get(KIND_POLICY, NAME_POLICY) is None:
        assert time.monotonic() < until, "the policy is not stored"
        gevent.sleep(0.1)
    spec = context.store.get(KIND_POLICY, NAME_POLICY).spec
    assert spec == {"text": POLICY}


@then("that policy is in force at all instances")
def still_policy(context: Any) -> None:
    """Check the policy that each instance applied last."""
    assert all(policy_of(node) == "later" for node in context.nodes)


@then("at most {most:d} writes were made meanwhile")
def few_writes(context: Any, most: int) -> None:
    """Check the number of writes since the restore."""
    writes = context.store_bench.platform.stats()["writes"] - context.writes
    assert writes <= most, writes
