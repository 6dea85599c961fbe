"""Test leases, membership, the peers' codec and traces."""

from __future__ import annotations

import dataclasses
import io
import random
import typing
from enum import StrEnum
from typing import Any

import gevent
from behave import given, then, when

from driftstall.controllers.grant_messages import (
    Ask,
    Close,
    Progress,
    RunnersChanged,
    Tick,
)
from driftstall.controllers.membership import (
    MembershipController,
    Period,
    Seeds,
    SendTo,
)
from driftstall.controllers.placement import (
    LEASE_S,
    MAX_ORDER_DELAY_S,
    WIRE_MARGIN_S,
    LeaseObject,
    LeaseRead,
    LeaseWritten,
    OrderLoad,
    PlacementController,
    PlacementPeriod,
    WantedModel,
    WriteLease,
)
from driftstall.core import Instance, Weights
from driftstall.decisions.store_versions import StoreVersion
from driftstall.exceptions import MessageError
from driftstall.helpers.trace import TraceRecorder, build_controller, replay
from driftstall.peers.codec import HEADER, decode, encode, message_types_of
from driftstall.peers.envelope import Envelope
from driftstall.peers.gateway_messages import GatewayMessage, RoutingAsked, RoutingOffered
from driftstall.peers.messages import DaemonMessage
from features.worlds.samples import FIRST, KEY, request_of

KINDS = {**message_types_of(DaemonMessage), **message_types_of(GatewayMessage)}


@given("a holder whose lease has lapsed and a new one")
def lease_lapsed(context: Any) -> None:
    """Let one holder acquire the lease, and another acquire it once it has lapsed."""
    context.old, context.new = PlacementController("old"), PlacementController("new")
    context.old.handle(LeaseRead(0, None), 0.0)
    context.old.handle(LeaseWritten(1), 0.1)
    lease = LeaseObject("old", 1, LEASE_S)
    assert context.new.handle(LeaseRead(1, lease), 0.2) == []
    assert context.new.handle(LeaseRead(1, lease), LEASE_S) == []
    actions = context.new.handle(LeaseRead(1, lease), LEASE_S + 0.3)
    assert [type(action) for action in actions] == [WriteLease], actions
    context.new.handle(LeaseWritten(2), LEASE_S + 0.4)


WANTED = (WantedModel("checking", "m2", "m1", True), WantedModel("trusting", "m2", "m1", False))


def _ordered(controller: PlacementController, at: float) -> list[str]:
    """Return the engines to which a holder sends orders at that time."""
    actions = controller.handle(PlacementPeriod(False, WANTED), at)
    return [action.runner_id for action in actions if isinstance(action, OrderLoad)]


@then("the new one orders the checking engine at once and the other 3 s later")
def orders_in_time(context: Any) -> None:
    """Check the orders over time; the old holder's last order may still be in flight."""
    assert _ordered(context.new, LEASE_S + 0.5) == ["checking"]
    assert _ordered(context.new, LEASE_S + MAX_ORDER_DELAY_S) == ["checking"]
    assert _ordered(context.new, LEASE_S + MAX_ORDER_DELAY_S + 0.3) == ["checking", "trusting"]


@then("the old one orders nothing, even if it wakes up in between")
def old_is_quiet(context: Any) -> None:
    """Check the old holder right before and after the end of its lease."""
    assert _ordered(context.old, LEASE_S - WIRE_MARGIN_S - 0.1) == ["checking", "trusting"]
    assert _ordered(context.old, LEASE_S - WIRE_MARGIN_S + 0.1) == []
    assert _ordered(context.old, LEASE_S + 1.0) == []


def _run_members(
    nodes: dict[str, MembershipController], begin: float, end: float, cut: bool
) -> None:
    """Let members exchange messages, or lose all messages if `cut` is set."""
    now = begin
    while now < end:
        now += 0.1
        queue = [
            action
            for node in nodes.values()
            for action in node.handle(Period(), now)
            if isinstance(action, SendTo)
        ]
        while queue and not cut:
            action = queue.pop(0)
            answers = nodes[action.recipient].handle(action.message, now)
            queue += [answer for answer in answers if isinstance(answer, SendTo)]


@given("two instances that are cut off from each other for an hour")
def cut_off(context: Any) -> None:
    """Let two instances join, then lose all messages between them for an hour."""
    both = [Instance(name, f"{name}:1", f"{name}:2", "z") for name in ("a", "b")]
    context.nodes = {
        instance.instance_id: MembershipController(instance, 1, random.Random(instance.instance_id))
        for instance in both
    }
    for node in context.nodes.values():
        node.handle(Seeds(tuple(both)), 0.0)
    _run_members(context.nodes, 0.0, 5.0, cut=False)
    assert all(len(node.live) == 2 for node in context.nodes.values())
    _run_members(context.nodes, 5.0, 3_605.0, cut=True)


@then("each holds the other for dead, and for live 5 s after the cut")
def join_again(context: Any) -> None:
    """Check the members right after the cut and 5 s later."""
    assert all(len(node.live) == 1 for node in context.nodes.values())
    _run_members(context.nodes, 3_605.0, 3_610.0, cut=False)
    assert all(len(node.live) == 2 for node in context.nodes.values())


def sample(hint: Any, depth: int = 0) -> Any:
    """Return a sample value of a type hint."""
    if dataclasses.is_dataclass(hint) and isinstance(hint, type):
        hints = typing.get_type_hints(hint)
        return hint(*[sample(hints[field.name], depth + 1) for field in dataclasses.fields(hint)])
    if typing.get_origin(hint) is tuple:
        return tuple(sample(typing.get_args(hint)[0], depth + 1) for _ in range(2))
    if typing.get_args(hint):
        return sample(typing.get_args(hint)[0], depth + 1)
    if isinstance(hint, type) and issubclass(hint, StrEnum):
        return next(iter(hint))
    if hint is StoreVersion:
        return StoreVersion.of(2, 7)
    return {str: "some text", int: 7, float: 2.5, bool: True}[hint]


@when("every kind of peer message is encoded in greenlets that switch")
def encode_all(context: Any) -> None:
    """Encode from nested calls in many greenlets that switch in between."""
    context.sent = [
        sample(kind) for kind in {*typing.get_args(DaemonMessage), *typing.get_args(GatewayMessage)}
    ]

    def work(message: Any, deep: int) -> bytes:
        if deep:
            gevent.sleep(0)
            return work(message, deep - 1)
        return encode(Envelope("a", "b", 1, message), KEY)

    jobs = [gevent.spawn(work, sent, index % 5) for index, sent in enumerate(context.sent * 4)]
    gevent.joinall(jobs, raise_error=True)
    context.frames = [job.value for job in jobs]


@then("all decode to what was sent")
def decode_all(context: Any) -> None:
    """Decode the frames and compare the messages."""
    for frame, message in zip(context.frames, context.sent * 4, strict=True):
        assert decode(frame[HEADER.size :], KEY, KINDS).message == message


@when("routing documents of {size:d} characters are encoded in greenlets that switch")
def encode_large(context: Any, size: int) -> None:
    """Encode large and small messages in turn."""
    large = RoutingOffered("a", 9, "0123456789" * (size // 10))
    small = RoutingAsked("a", 8)

    def work() -> list[bool]:
        same = []
        for _ in range(20):
            frames = [encode(Envelope("a", "b", 1, message), KEY) for message in (large, small)]
            gevent.sleep(0)
            decoded = [decode(frame[HEADER.size :], KEY, KINDS).message for frame in frames]
            same.append(decoded == [large, small])
        return same

    jobs = [gevent.spawn(work) for _ in range(5)]
    context.same = [is_same for job in jobs for is_same in job.get()]


@then("all arrive as they were sent")
def large_arrived(context: Any) -> None:
    """Check that all messages were decoded unchanged."""
    assert len(context.same) == 100 and all(context.same)


@then("a changed byte is rejected")
def tampered(context: Any) -> None:
    """Check that a change of every seventh byte is detected."""
    frame = context.frames[0][HEADER.size :]
    for at in range(0, len(frame), 7):
        changed = bytearray(frame)
        changed[at] ^= 1
        try:
            decode(bytes(changed), KEY, KINDS)
        except MessageError:
            continue
        raise AssertionError(f"a change at byte {at} was accepted")


@given("a trace recorded from a busy group")
def record(context: Any) -> None:
    """Record the trace of a group that grants, refuses and yields."""
    out = io.StringIO()
    recorder, controller = TraceRecorder(out), build_controller("g")
    controller.configure(Weights(6, 3, 1), 0.01)
    recorder.record_weights("g", Weights(6, 3, 1), 0.01)
    low = dataclasses.replace(FIRST, rank=3, may_yield=True, wait_s=5.0)
    events: list[tuple[float, Any]] = [(0.0, RunnersChanged("g", (("engine-1", 4_000, "z"),)))]
    for number in range(60):
        verdict = low if number % 2 else FIRST
        at = number * 0.2
        events.append((at, Ask("g", "entry", request_of(f"r{number}"), verdict)))
        events.append((at + 0.05, Progress("g", f"r{number // 2}", 20 + number)))
        events.append((at + 0.1, Tick()))
        if number % 3 == 0:
            events.append((at + 0.15, Close("g", f"r{number // 3}", 60, True)))
    for at, event in events:
        recorder.record_event("g", event, at, controller.handle(event, at))
    context.lines = out.getvalue().splitlines()


@then("its replay gives the same actions")
def replays(context: Any) -> None:
    """Check that the trace contains grants and refusals and replays without a difference."""
    assert '"Granted"' in "".join(context.lines) and '"Refused"' in "".join(context.lines)
    assert replay(context.lines) == []


@then("a changed outcome is found")
def changed_outcome(context: Any) -> None:
    """Change the recorded grants, and check that the replay reports a difference."""
    lines = [
        line.replace('"engine-1"', '"engine-2"') if '"Granted"' in line else line
        for line in context.lines
    ]
    assert replay(lines)
