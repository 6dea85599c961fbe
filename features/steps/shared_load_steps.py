"""Test that instances share the loads of upstreams that state their pace."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from driftstall.core import Instance
from driftstall.decisions.store_versions import StoreVersion
from driftstall.decisions.upstream_load import ReportedLoad
from driftstall.decisions.upstream_signals import LoadSignal
from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.cordons import Cordons
from driftstall.gateway.loads import RequestLoad
from driftstall.gateway.reports import PlatformStatus, Reporting
from driftstall.peers.codec import HEADER, decode, encode, message_types_of
from driftstall.peers.envelope import Envelope
from driftstall.peers.gateway_messages import (
    FleetSummary,
    GatewayMessage,
    GatewayReport,
    ZoneSummary,
)
from features.worlds.gateway_world import GatewayWorld, world_of
from features.worlds.upstream_samples import upstream_of

KEY = b"key"


def start(context: Any, roles: FleetRoles) -> None:
    """Start a gateway whose clock stands still, and record the messages that it sends."""
    world = context.world = GatewayWorld()
    context.add_cleanup(world.close)
    world.stop_clock()
    context.sent = []
    context.reporting = Reporting(
        world.state,
        Instance("instance-1", "", "", "a"),
        roles=lambda: roles,
        live=tuple,
        platform_status=lambda: PlatformStatus(1, StoreVersion(1), True, 0.0),
        broadcast=lambda _, message: context.sent.append(message),
    )


@given("an instance with reports of its peers")
def small_fleet(context: Any) -> None:
    """Start an instance of a small fleet."""
    start(context, FleetRoles())


@given("an instance of a large fleet that collects for its zone")
def collector(context: Any) -> None:
    """Start a collector."""
    start(context, FleetRoles(is_large=True, is_collector=True))


def load_of(upstream_id: str, pace: float, age_ms: int) -> tuple[ReportedLoad, ...]:
    """Return the load of one upstream as peers report it."""
    return (ReportedLoad(upstream_id, 3, 1, 6, pace, age_ms),)


def report_with(loads: tuple[ReportedLoad, ...]) -> GatewayReport:
    """Return a peer's report with loads."""
    return GatewayReport(
        "peer", True, True, 1, (), (), 1, Cordons(), (), 0, (), upstream_loads=loads
    )


@when('a peer reports a pace of {pace:g} of "{upstream_id}", {age_ms:d} ms old')
def peer_reports(context: Any, pace: float, upstream_id: str, age_ms: int) -> None:
    """Record a peer's report."""
    context.reporting.record_report(report_with(load_of(upstream_id, pace, age_ms)))


@when('a zone summary holds a pace of {pace:g} of "{upstream_id}", {age_ms:d} ms old')
def zone_summary(context: Any, pace: float, upstream_id: str, age_ms: int) -> None:
    """Record the summary of another zone."""
    loads = load_of(upstream_id, pace, age_ms)
    context.reporting.record_zone_summary(
        ZoneSummary("other", "b", 1, 0, 0, 1, (), (), (), Cordons(), (), 0, (), loads)
    )


@when('a fleet summary holds a pace of {pace:g} of "{upstream_id}", {age_ms:d} ms old')
def fleet_summary(context: Any, pace: float, upstream_id: str, age_ms: int) -> None:
    """Record a collector's summary of the fleet."""
    loads = load_of(upstream_id, pace, age_ms)
    version = StoreVersion(1)
    context.reporting.record_fleet_summary(
        FleetSummary("c", 1, version, 0, 0, 2, (), (), (), (), Cordons(), (), 0, (), loads)
    )


def respond(context: Any, upstream_id: str, signal: LoadSignal) -> None:
    """Handle a response of an upstream with a load."""
    state = world_of(context).state
    state.signals.handle_response(upstream_of(upstream_id), (signal,), state.now())


@when('"{upstream_id}" responds with a pace of {pace:g}')
def responds(context: Any, upstream_id: str, pace: float) -> None:
    """Handle a response with a pace."""
    respond(context, upstream_id, LoadSignal(3, 1, 6, pace, reports_pace=True))


@when('"{upstream_id}" responds with a load without a pace')
def responds_without_pace(context: Any, upstream_id: str) -> None:
    """Handle a response with a load of three figures."""
    respond(context, upstream_id, LoadSignal(3, 1, 6))


@then('"{upstream_id}" is taken to work {pace:g} times as long')
def works_as_long(context: Any, upstream_id: str, pace: float) -> None:
    """Check the pace that selection uses now."""
    state = world_of(context).state
    found = state.upstream_loads.pace(upstream_id, state.now())
    assert abs(found - pace) < 1e-6, found


@then('{seconds:g} s later "{upstream_id}" is taken to work {pace:g} times as long')
def works_as_long_later(context: Any, seconds: float, upstream_id: str, pace: float) -> None:
    """Check the pace that selection uses later."""
    world_of(context).pass_time(seconds)
    works_as_long(context, upstream_id, pace)


@given('{count:d} requests in progress at "{upstream_id}"')
def requests_in_progress(context: Any, count: int, upstream_id: str) -> None:
    """Count requests of this instance."""
    context.own_requests = [f"own-{number}" for number in range(count)]
    for request_id in context.own_requests:
        world_of(context).state.loads.set_load(request_id, RequestLoad(upstream_id))


@when("{seconds:g} s later, when they have ended, a fleet summary holds that load, 2 ms less old")
def summary_repeats_load(context: Any, seconds: float) -> None:
    """End the requests, and record a summary whose transfer took 2 ms."""
    for request_id in context.own_requests:
        world_of(context).state.loads.remove_load(request_id)
    world_of(context).pass_time(seconds)
    fleet_summary(context, 2.5, "u1", round(seconds * 1000) - 2)


@then('"{upstream_id}" is taken to have {count:d} request')
def has_requests(context: Any, upstream_id: str, count: int) -> None:
    """Check the load that selection uses now."""
    state = world_of(context).state
    estimate = state.upstream_loads.estimate(upstream_id, 0, state.now())
    assert estimate is not None
    assert abs(estimate.busy - count) < 0.01, estimate


@when("it sends its report and its summaries")
def sends(context: Any) -> None:
    """Send all messages of a collector."""
    context.reporting.publish_now()


def check_loads(
    context: Any, kind: type[GatewayReport | ZoneSummary | FleetSummary], names: str
) -> None:
    """Check the upstreams whose loads a sent message holds."""
    (message,) = [message for message in context.sent if isinstance(message, kind)]
    found = [load.upstream_id for load in message.upstream_loads]
    assert found == names.split(), message


@then('its report holds the loads of "{names}"')
def report_holds(context: Any, names: str) -> None:
    """Check its report."""
    check_loads(context, GatewayReport, names)


@then('its zone summary holds the loads of "{names}"')
def zone_summary_holds(context: Any, names: str) -> None:
    """Check its summary of the zone."""
    check_loads(context, ZoneSummary, names)


@then('its fleet summary holds the loads of "{names}"')
def fleet_summary_holds(context: Any, names: str) -> None:
    """Check its summary of the fleet."""
    check_loads(context, FleetSummary, names)


@then("its messages hold no loads")
def hold_none(context: Any) -> None:
    """Check that no message holds a load."""
    assert len(context.sent) == 3, context.sent
    assert not any(message.upstream_loads for message in context.sent), context.sent


@then("a report with a load is decoded as it was sent")
def decoded_as_sent(_: Any) -> None:
    """Encode and decode a report."""
    report = report_with(load_of("u1", 2.5, 400))
    frame = encode(Envelope("peer", "instance-1", 1, report), KEY)
    decoded = decode(frame[HEADER.size :], KEY, message_types_of(GatewayMessage))
    assert decoded.message == report, decoded
