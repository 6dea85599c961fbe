"""Test timeouts and leases across a suspension of the machine, with clocks moved by the test."""

from __future__ import annotations

import re
import time
from pathlib import Path
from typing import Any, Final

import gevent
from behave import given, then, when

from driftstall.controllers.placement import (
    LeaseRead,
    LeaseWritten,
    OrderLoad,
    PlacementController,
    PlacementPeriod,
    WantedModel,
)
from driftstall.core import Instance
from driftstall.daemon.hub import Hub
from driftstall.decisions.store_versions import StoreVersion
from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.cordons import Cordons
from driftstall.gateway.reports import PlatformStatus, Reporting
from driftstall.gateway.state import GatewayState
from driftstall.peers.gateway_messages import GatewayReport
from features.worlds.gateway_world import WAIT_S, GatewayWorld, runs, script_upstreams, world_of
from stand_ins.routed import Script

MONOTONIC_CLOCKS: Final = re.compile(r"\btime\.(monotonic|perf_counter)")
BEYOND_LEASE_S: Final = 60.0


class Machine:
    """A machine whose suspensions advance CLOCK_BOOTTIME and the time of day only."""

    def __init__(self, context: Any) -> None:
        """Replace the clocks that advance during a suspension."""
        self._suspended_s = 0.0
        clock_gettime, time_of_day = time.clock_gettime, time.time
        time.clock_gettime = self._shift_boottime(clock_gettime)  # type: ignore[assignment]
        time.time = lambda: time_of_day() + self._suspended_s
        context.add_cleanup(setattr, time, "clock_gettime", clock_gettime)
        context.add_cleanup(setattr, time, "time", time_of_day)

    def suspend(self, seconds: float) -> None:
        """Suspend the machine for that time."""
        self._suspended_s += seconds

    def _shift_boottime(self, original: Any) -> Any:
        """Return a clock_gettime whose CLOCK_BOOTTIME includes the suspensions."""

        def read(clock: int) -> float:
            offset_s = self._suspended_s if clock == time.CLOCK_BOOTTIME else 0.0
            return float(original(clock)) + offset_s

        return read


@given("a gateway on a machine that can be suspended")
def suspendable(context: Any) -> None:
    """Start a gateway that uses the product's own clock."""
    context.machine = Machine(context)
    world = context.world = GatewayWorld()
    context.add_cleanup(world.close)
    world.state.now = GatewayState.now  # type: ignore[method-assign]


@given('the upstream of "r1" answers nothing more after {what}')
def answers_nothing_more(context: Any, what: str) -> None:
    """Script an upstream that hangs before the response or in the middle of it."""
    script = Script(hang=True) if what == "the head" else Script(pause_after=2)
    script_upstreams(world_of(context), "r1", [script])
    context.script = script


@when('"{path}" is asked, and the machine is suspended for {seconds:g} s while it waits')
def suspended_while_waiting(context: Any, path: str, seconds: float) -> None:
    """Suspend the machine once the upstream has the request, and measure the time to its end."""
    world = world_of(context)
    job = world.ask_later(path, "r1")
    with gevent.Timeout(WAIT_S, AssertionError("no upstream received the request")):
        while not runs(world, "r1"):
            gevent.sleep(0.01)
    gevent.sleep(0.05)
    context.machine.suspend(seconds)
    resumed_at = time.monotonic()
    job.get(timeout=WAIT_S)
    context.took_s = time.monotonic() - resumed_at
    context.script.gate.set()


@then("its caller has the end of its answer within {seconds:g} s")
def ended_soon(context: Any, seconds: float) -> None:
    """Check the time from the suspension to the end of the response."""
    assert context.took_s <= seconds, f"{context.took_s:.2f} s"


@given("the machine is suspended for {seconds:g} s between the reading of a request and its send")
def suspended_before_send(context: Any, seconds: float) -> None:
    """Suspend the machine while the upstream is chosen."""
    world = world_of(context)
    original = world.state.options

    def options(*values: Any, **more: Any) -> Any:
        context.machine.suspend(seconds)
        world.state.options = original  # type: ignore[method-assign]
        return original(*values, **more)

    world.state.options = options  # type: ignore[method-assign]


@when('"{path}" is asked as "{request_id}", with {seconds:d} s until its deadline')
def asked_with_deadline(context: Any, path: str, request_id: str, seconds: int) -> None:
    """Send a request with that deadline."""
    headers = {"X-Driftstall-Deadline-Ms": str(seconds * 1000)}
    world_of(context).ask(path, request_id, **headers)
    context.request_id = request_id


@then("its upstream is told of at most {seconds:d} s")
def remaining_deadline_sent(context: Any, seconds: int) -> None:
    """Check the remaining deadline that the upstream received."""
    (upstream,) = runs(world_of(context), context.request_id)
    (seen,) = [request for request in upstream.seen if request.request_id == context.request_id]
    remaining_ms = int(seen.headers["x-driftstall-deadline-ms"])
    assert remaining_ms <= seconds * 1000, remaining_ms


@given("a peer has told the gateway that it is ready")
def peer_is_ready(context: Any) -> None:
    """Record a peer's report that it is ready."""
    world: GatewayWorld = world_of(context)
    reporting = context.reporting = Reporting(
        world.state,
        Instance("instance-1", "", "", "a"),
        roles=FleetRoles,
        live=tuple,
        platform_status=lambda: PlatformStatus(1, StoreVersion(1), True, 0.0),
        broadcast=lambda *_: None,
    )
    reporting.record_report(GatewayReport("peer", True, True, 1, (), (), 1, Cordons(), (), 0, ()))
    assert reporting.ready_peers() == {"peer"}


@when("the machine is suspended for {seconds:g} s")
def suspended(context: Any, seconds: float) -> None:
    """Suspend the machine."""
    context.machine.suspend(seconds)


@then("callers are not sent to that peer")
def not_sent_there(context: Any) -> None:
    """Check that the peer's report has expired."""
    assert context.reporting.ready_peers() == set()


@given("an instance that has just renewed its lease of the runners' placement")
def lease_holder(context: Any) -> None:
    """Acquire the lease on the clock that the daemon uses."""
    controller = context.controller = PlacementController("instance-1")
    for event in (LeaseRead(0, None), LeaseWritten(1)):
        controller.handle(event, Hub.now())
    assert controller.has_lease(Hub.now())


@when("the machine is suspended for longer than the lease lasts")
def suspended_beyond_lease(context: Any) -> None:
    """Suspend the machine beyond the lease's end."""
    context.machine.suspend(BEYOND_LEASE_S)


@then("it orders nothing")
def orders_nothing(context: Any) -> None:
    """Run a placement period with a wanted model, and check that no load is ordered."""
    wanted = (WantedModel("r1", "model", "another", True),)
    actions = context.controller.handle(PlacementPeriod(False, wanted), Hub.now())
    assert not any(isinstance(action, OrderLoad) for action in actions), actions


@then("no module of the product but the clock's reads the monotonic clock")
def no_other_clock(context: Any) -> None:
    """Search the sources for reads of the monotonic clock."""
    found = [
        str(path)
        for path in sorted(Path("driftstall").rglob("*.py"))
        if path != Path("driftstall/util/clock.py") and MONOTONIC_CLOCKS.search(path.read_text())
    ]
    assert not found, found
