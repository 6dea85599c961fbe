"""Test on real processes that requests which crash upstreams are quarantined."""

from __future__ import annotations

import itertools
import signal
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Final

import gevent
from behave import given, then, when

from driftstall.exceptions import PlatformUnavailable, UpstreamError
from driftstall.platform.names import KIND_CONFIG, KIND_UPSTREAMS, NAME_CONFIG
from driftstall.platform.store import Store
from features.steps.gateway_node_steps import start_node, wait_for_processes
from features.worlds.gateway_world import HOST, Received, document
from features.worlds.upstream_samples import entry_spec
from measures.bench import Bench
from measures.gateway_process import GatewayProcess
from stand_ins.crashing import CrashingFleet, CrashingUpstream
from stand_ins.routed import ReceivedRequest, Script

FATAL: Final = "/stream/fatal"
CONTACT_S: Final = 3.0
ASK_PAUSE_S: Final = 0.25
"""Pause of a caller between a failure and its retry."""
HEAD_START_S: Final = 2.5
"""Time within which the first ordinary streams end; each takes a second."""
NUMBERS: Final = itertools.count(1)


def ordinary_stream() -> Script:
    """Return the script of an ordinary stream: events for one second."""
    return Script(events=20, event_pause_s=0.05)


class TimedFleet(CrashingFleet):
    """A fleet of crashing engines that records the times of arrivals and crashes."""

    def __init__(
        self, count: int, store: Store, script: Callable[[], Script] = ordinary_stream
    ) -> None:
        """Start the engines and list them in the store."""
        self.arrivals: list[tuple[float, str]] = []
        self.crashes: list[float] = []
        self._store = store
        super().__init__(
            count, script, self._is_fatal, on_joined=self._list, on_removed=self._unlist
        )

    def sends_of(self, target: str) -> list[float]:
        """Return the arrival times of a path's requests at engines."""
        return [at for at, arrived in self.arrivals if arrived == target]

    def _is_fatal(self, seen: ReceivedRequest) -> bool:
        """Record an arrival, and return True if it crashes the engine."""
        self.arrivals.append((time.monotonic(), seen.target))
        return seen.target.startswith(FATAL)

    def _list(self, upstream: CrashingUpstream) -> None:
        """Create an engine's entry in the store."""
        with suppress(PlatformUnavailable):
            self._store.create(KIND_UPSTREAMS, upstream.upstream_id, entry_spec(upstream.address))

    def _unlist(self, upstream: CrashingUpstream) -> None:
        """Remove an engine's entry from the store."""
        with suppress(PlatformUnavailable):
            self._store.delete(KIND_UPSTREAMS, upstream.upstream_id)

    def _replace(self, crashed: CrashingUpstream) -> None:
        """Record a crash and replace the engine."""
        self.crashes.append(time.monotonic())
        super()._replace(crashed)


@given(
    "the store's stand-in with a routing configuration and {count:d} engines that some requests"
    " crash"
)
def start_store_and_engines(context: Any, count: int) -> None:
    """Start the store and the engines."""
    start_store(context)
    context.engines = TimedFleet(count, context.store)
    context.add_cleanup(context.engines.stop)


def start_store(context: Any) -> None:
    """Start the store with a routing configuration."""
    bench = context.store_bench = Bench()
    context.add_cleanup(bench.close)
    context.store_address = bench.start_platform().address
    context.store = Store(context.store_address)
    context.store.create(KIND_CONFIG, NAME_CONFIG, document(3))
    context.nodes = []


@given("{count:d} gateway processes that know each other")
def start_nodes(context: Any, count: int) -> None:
    """Start processes and wait until each serves and locates all."""
    for _ in range(count):
        seeds = [node.listen["control"] for node in context.nodes]
        bounds = {"contactMs": CONTACT_S * 1000, "drainMs": 2000, "graceS": 2, "ttl_max_s": 1}
        start_node(context, context.store_address, seeds=seeds, bounds=bounds)
    fronts = {node.listen["front"] for node in context.nodes}
    for node in context.nodes:
        wait_for_processes(f"{node.name} is ready", node.is_ready)
        wait_for_processes(
            f"{node.name} locates all", lambda node=node: node.locate(HOST) == fronts
        )


def ask_repeatedly(context: Any, target: str, seconds: float) -> list[Received]:
    """Send one request repeatedly to the instances in turn, as a caller that always retries."""
    answers = []
    until = time.monotonic() + seconds
    nodes = itertools.cycle(context.nodes)
    while time.monotonic() < until:
        try:
            answers.append(next(nodes).ask(target, f"again-{next(NUMBERS)}"))
        except (OSError, UpstreamError):
            # The instance was being killed; the next instance is used.
            continue
        finally:
            gevent.sleep(ASK_PAUSE_S)
    return answers


@when('a caller asks for "{target}" again and again at all instances by turns for {seconds:g} s')
def asks_again(context: Any, target: str, seconds: float) -> None:
    """Send the request repeatedly."""
    context.answers = ask_repeatedly(context, target, seconds)


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
    """Check that there are refusals and that each has Retry-After and states that nothing ran."""
    refused = [answer for answer in context.answers if answer.status == 503]
    assert refused, [answer.status for answer in context.answers]
    for answer in refused:
        assert float(answer.headers["retry-after"]) > 0, answer
        assert b'"ran":"not run"' in answer.body, answer


@when('{count:d} callers ask for "{target}" while one asks for "{fatal}" for {seconds:g} s')
def ask_beside(context: Any, count: int, target: str, fatal: str, seconds: float) -> None:
    """Request ordinary streams concurrently with the fatal one."""
    asking = [
        gevent.spawn(ask_repeatedly, context, target, seconds + HEAD_START_S) for _ in range(count)
    ]
    # Some of the identical ordinary requests have succeeded before the first fatal one.
    gevent.sleep(HEAD_START_S)
    context.answers = ask_repeatedly(context, fatal, seconds)
    gevent.joinall(asking, raise_error=True)
    context.ordinary = [answer for job in asking for answer in job.value]


@then('no answer to "/stream/same" refuses it, and at least {share:d} in 100 are whole')
def ordinary_served(context: Any, share: int) -> None:
    """Check that no ordinary stream was quarantined, and the share of complete ones."""
    refused = [answer for answer in context.ordinary if b"crashes_runners" in answer.body]
    assert not refused, refused[:2]
    whole = sum(answer.status == 200 and answer.whole for answer in context.ordinary)
    assert whole >= share / 100 * len(context.ordinary), (whole, len(context.ordinary))


@then("at most {most:d} engines have crashed")
def few_crashed(context: Any, most: int) -> None:
    """Check the number of crashes."""
    assert 0 < len(context.engines.crashes) <= most, len(context.engines.crashes)


def refuses(answer: Received) -> bool:
    """Return True if the response refuses a quarantined request."""
    return answer.status == 503 and b"crashes_runners" in answer.body


@given('"{target}" was asked for until all refuse it')
def asked_until_refused(context: Any, target: str) -> None:
    """Send the request to each instance until that instance refuses it."""
    for node in context.nodes:
        wait_for_processes(
            f"{node.name} refuses",
            lambda node=node: refuses(node.ask(target, f"until-{next(NUMBERS)}")),
        )
    assert len(context.engines.crashes) <= 3, len(context.engines.crashes)


def kill_and_restart(context: Any, nodes: list[GatewayProcess]) -> None:
    """Kill the instances at once and restart them."""
    context.restarted = nodes
    for node in nodes:
        node.signal(signal.SIGKILL)
    for node in nodes:
        node.restart()
        context.add_cleanup(node.process.wait)
        context.add_cleanup(node.process.kill)
    for node in nodes:
        wait_for_processes(f"{node.name} is ready again", node.is_ready)


@when("the first instance is killed and starts anew")
def kill_first(context: Any) -> None:
    """Kill and restart the first instance."""
    kill_and_restart(context, context.nodes[:1])


@when("all instances are killed at once and start anew")
def kill_all(context: Any) -> None:
    """Kill and restart all instances."""
    kill_and_restart(context, context.nodes)


@then('within {seconds:g} s of being ready it refuses "{target}", and sends it to no engine')
def refuses_soon(context: Any, seconds: float, target: str) -> None:
    """Send the request after that time; an earlier one would be sent to an engine."""
    before = len(context.engines.sends_of(target))
    gevent.sleep(seconds)
    for node in context.restarted:
        answer = node.ask(target, f"anew-{next(NUMBERS)}")
        assert refuses(answer), (node.name, answer)
    assert len(context.engines.sends_of(target)) == before


@then('within {seconds:g} s of being ready they refuse "{target}", and send it to no engine')
def refuse_soon(context: Any, seconds: float, target: str) -> None:
    """Check each restarted instance."""
    refuses_soon(context, seconds, target)


@given("the store is away")
def store_away(context: Any) -> None:
    """Stop the store's service for longer than the scenario."""
    context.store_bench.platform.control({"down_s": 60.0})
