"""Check what holds after the machine was suspended, on a clock that is moved for the tests."""

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

STEADY_CLOCKS: Final = re.compile(r"\btime\.(monotonic|perf_counter)")
LEASE_AND_MORE_S: Final = 60.0


class Machine:
    """Hold for how long the machine was suspended: the clock since the start counts it."""

    def __init__(self, context: Any) -> None:
        """Move the clocks that go on in a suspension, and no others."""
        self._suspended_s = 0.0
        read_clock, read_day = time.clock_gettime, time.time
        time.clock_gettime = self._read(read_clock)  # type: ignore[assignment]
        time.time = lambda: read_day() + self._suspended_s
        context.add_cleanup(setattr, time, "clock_gettime", read_clock)
        context.add_cleanup(setattr, time, "time", read_day)

    def suspend(self, seconds: float) -> None:
        """Let time pass without the machine."""
        self._suspended_s += seconds

    def _read(self, usual: Any) -> Any:
        """Return a reader of clocks."""

        def read(clock: int) -> float:
            moved = self._suspended_s if clock == time.CLOCK_BOOTTIME else 0.0
            return float(usual(clock)) + moved

        return read


@given("a gateway on a machine that can be suspended")
def suspendable(context: Any) -> None:
    """Start a gateway that goes by the product's own clock."""
    context.machine = Machine(context)
    world = context.world = GatewayWorld()
    context.add_cleanup(world.close)
    world.state.now = GatewayState.now  # type: ignore[method-assign]


@given('the upstream of "r1" answers nothing more after {what}')
def answers_nothing_more(context: Any, what: str) -> None:
    """Script the silence."""
    script = Script(hang=True) if what == "the head" else Script(pause_after=2)
    script_upstreams(world_of(context), "r1", [script])
    context.script = script


@when('"{path}" is asked, and the machine is suspended for {seconds:g} s while it waits')
def suspended_while_waiting(context: Any, path: str, seconds: float) -> None:
    """Suspend once the upstream has it."""
    world = world_of(context)
    job = world.ask_later(path, "r1")
    with gevent.Timeout(WAIT_S, AssertionError("no upstream has it")):
        while not runs(world, "r1"):
            gevent.sleep(0.01)
    gevent.sleep(0.05)
    context.machine.suspend(seconds)
    began = time.monotonic()
    job.get(timeout=WAIT_S)
    context.took_s = time.monotonic() - began
    context.script.gate.set()


@then("its caller has the end of its answer within {seconds:g} s")
def ended_soon(context: Any, seconds: float) -> None:
    """Compare."""
    assert context.took_s <= seconds, f"{context.took_s:.2f} s"


@given("the machine is suspended for {seconds:g} s between the reading of a request and its send")
def suspended_before_send(context: Any, seconds: float) -> None:
    """Suspend while the upstream is chosen."""
    world = world_of(context)
    usual = world.state.options

    def options(*values: Any, **more: Any) -> Any:
        context.machine.suspend(seconds)
        world.state.options = usual  # type: ignore[method-assign]
        return usual(*values, **more)

    world.state.options = options  # type: ignore[method-assign]


@when('"{path}" is asked as "{request_id}", with {seconds:d} s until its deadline')
def asked_with_deadline(context: Any, path: str, request_id: str, seconds: int) -> None:
    """Ask."""
    more = {"X-Driftstall-Deadline-Ms": str(seconds * 1000)}
    world_of(context).ask(path, request_id, **more)
    context.request_id = request_id


@then("its upstream is told of at most {seconds:d} s")
def told_what_is_left(context: Any, seconds: int) -> None:
    """Read what the upstream got."""
    (upstream,) = runs(world_of(context), context.request_id)
    (seen,) = [one for one in upstream.seen if one.request_id == context.request_id]
    left_ms = int(seen.headers["x-driftstall-deadline-ms"])
    assert left_ms <= seconds * 1000, left_ms


@given("a peer has told the gateway that it is ready")
def peer_is_ready(context: Any) -> None:
    """Take in a peer's report."""
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
    """Suspend."""
    context.machine.suspend(seconds)


@then("callers are not sent to that peer")
def not_sent_there(context: Any) -> None:
    """Ask who is ready."""
    assert context.reporting.ready_peers() == set()


@given("an instance that has just renewed its lease of the runners' placement")
def lease_holder(context: Any) -> None:
    """Take the lease by the clock that the daemon goes by."""
    controller = context.controller = PlacementController("instance-1")
    for event in (LeaseRead(0, None), LeaseWritten(1)):
        controller.handle(event, Hub.now())
    assert controller.has_lease(Hub.now())


@when("the machine is suspended for longer than the lease lasts")
def suspended_beyond_lease(context: Any) -> None:
    """Suspend."""
    context.machine.suspend(LEASE_AND_MORE_S)


@then("it orders nothing")
def orders_nothing(context: Any) -> None:
    """Let it look at what is wanted."""
    wanted = (WantedModel("r1", "model", "another", True),)
    actions = context.controller.handle(PlacementPeriod(False, wanted), Hub.now())
    assert not any(isinstance(one, OrderLoad) for one in actions), actions


@then("no module of the product but the clock's reads the monotonic clock")
def no_other_clock(context: Any) -> None:
    """Search the sources."""
    found = [
        str(path)
        for path in sorted(Path("driftstall").rglob("*.py"))
        if path != Path("driftstall/util/clock.py") and STEADY_CLOCKS.search(path.read_text())
    ]
    assert not found, found
