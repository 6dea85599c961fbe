"""Check on real processes what becomes of requests that crash the upstreams that run them."""

from __future__ import annotations

import itertools
import time
from typing import Any, Final

import gevent
from behave import given, then, when

from driftstall.exceptions import UpstreamError
from driftstall.platform.names import KIND_CONFIG, KIND_UPSTREAMS, NAME_CONFIG
from driftstall.platform.store import Store
from features.steps.gateway_node_steps import start_node, wait_long
from features.worlds.gateway_world import HOST, Received, document
from features.worlds.upstream_samples import entry_spec
from measures.bench import Bench
from stand_ins.crashing import CrashingFleet, CrashingUpstream
from stand_ins.routed import Script, Seen

FATAL: Final = "/stream/fatal"
CONTACT_S: Final = 3.0
ASK_PAUSE_S: Final = 0.25
"""Pause of a caller that comes back after a failure."""
NUMBERS: Final = itertools.count(1)


def usual() -> Script:
    """Return what engines do with a request: a second of events."""
    return Script(events=20, event_pause_s=0.05)


class TimedFleet(CrashingFleet):
    """Remember when requests reached engines, and when engines crashed."""

    def __init__(self, count: int, store: Store) -> None:
        """List the engines in a store."""
        self.arrivals: list[tuple[float, str]] = []
        self.crashes: list[float] = []
        self._store = store
        super().__init__(count, usual, self._is_fatal, joined=self._list, lapsed=self._unlist)

    def sends_of(self, target: str) -> list[float]:
        """Return when a path's requests reached engines."""
        return [at for at, one in self.arrivals if one == target]

    def _is_fatal(self, seen: Seen) -> bool:
        """Note an arrival, and tell whether it is fatal."""
        self.arrivals.append((time.monotonic(), seen.target))
        return seen.target.startswith(FATAL)

    def _list(self, upstream: CrashingUpstream) -> None:
        """Write an engine's entry."""
        self._store.create(KIND_UPSTREAMS, upstream.upstream_id, entry_spec(upstream.address))

    def _unlist(self, upstream: CrashingUpstream) -> None:
        """Let an engine's entry lapse."""
        self._store.delete(KIND_UPSTREAMS, upstream.upstream_id)

    def _replace(self, crashed: CrashingUpstream) -> None:
        """Note a crash."""
        self.crashes.append(time.monotonic())
        super()._replace(crashed)


@given(
    "the store's stand-in with a routing configuration and {count:d} engines that some requests"
    " crash"
)
def start_store(context: Any, count: int) -> None:
    """Start the store and the engines."""
    bench = context.store_bench = Bench()
    context.add_cleanup(bench.close)
    context.store_address = bench.start_platform().address
    context.store = Store(context.store_address)
    context.store.create(KIND_CONFIG, NAME_CONFIG, document(3))
    context.engines = TimedFleet(count, context.store)
    context.add_cleanup(context.engines.stop)
    context.nodes = []


@given("{count:d} gateway processes that know each other")
def start_nodes(context: Any, count: int) -> None:
    """Start processes and wait until each serves and locates all."""
    for _ in range(count):
        seeds = [one.listen["control"] for one in context.nodes]
        bounds = {"contactMs": CONTACT_S * 1000, "drainMs": 2000, "graceS": 2, "ttl_max_s": 1}
        start_node(context, context.store_address, seeds=seeds, bounds=bounds)
    fronts = {one.listen["front"] for one in context.nodes}
    for node in context.nodes:
        wait_long(f"{node.name} is ready", node.ready)
        wait_long(f"{node.name} locates all", lambda one=node: one.located(HOST) == fronts)


def ask_again_and_again(context: Any, target: str, seconds: float) -> list[Received]:
    """Ask for one thing as a caller who comes back after each failure, at instances by turns."""
    answers = []
    until = time.monotonic() + seconds
    nodes = itertools.cycle(context.nodes)
    while time.monotonic() < until:
        try:
            answers.append(next(nodes).ask(target, f"again-{next(NUMBERS)}"))
        except (OSError, UpstreamError):
            # The instance was being killed: the next one is asked.
            continue
        finally:
            gevent.sleep(ASK_PAUSE_S)
    return answers


@when('a caller asks for "{target}" again and again at all instances by turns for {seconds:g} s')
def asks_again(context: Any, target: str, seconds: float) -> None:
    """Ask."""
    context.answers = ask_again_and_again(context, target, seconds)


@then("at most {most:d} sends of it reach engines later than {seconds:g} s after the third crash")
def few_sends_after(context: Any, most: int, seconds: float) -> None:
    """Count the sends after the third crash."""
    fleet = context.engines
    if len(fleet.crashes) < 3:
        return
    bound = sorted(fleet.crashes)[2] + seconds
    late = [at for at in fleet.sends_of(FATAL) if at > bound]
    assert len(late) <= most, f"{len(late)} sends after it; {len(fleet.crashes)} crashed in all"


@then("each answer without a run says so and tells when to come back")
def refusals_tell(context: Any) -> None:
    """Check the refusals, of which there are some."""
    refused = [one for one in context.answers if one.status == 503]
    assert refused, [one.status for one in context.answers]
    for one in refused:
        assert float(one.headers["retry-after"]) > 0, one
        assert b'"ran":"not run"' in one.body, one
