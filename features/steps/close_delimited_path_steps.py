"""Test close-delimited streams through peers, and those that their callers resume."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

from behave import then, when

from features.steps.gateway_stream_steps import full_engines
from features.worlds.ending_world import StreamCaller
from features.worlds.gateway_world import (
    WAIT_S,
    GatewayWorld,
    script_upstreams,
    wait_for,
    world_of,
)
from features.worlds.partition_world import PartitionWorld
from stand_ins.routed import Script, event_bytes

DEADLINE_MS: Final = 3_000
PAUSE_AFTER: Final = 3
LAST_EVENT: Final = 5


def _without_copies(world: GatewayWorld, script: Script) -> None:
    """Script the only run of a stream, and leave no memory for copies of it."""
    world.state.loads.record_peer("peer", full_engines(world), world.state.now())
    later = [Script(not_run=True) for _ in world.engines]
    script_upstreams(world, "r1", [script, *later])


def _no_fault(world: PartitionWorld) -> None:
    """Change nothing."""


def _peer_dies(world: PartitionWorld) -> None:
    """End the peer through which the stream comes."""
    next(peer for peer in world.peers if peer.server.open_tunnels).die()


def _all_die(world: PartitionWorld) -> None:
    """End all peers."""
    for peer in world.peers:
        peer.die()


FAULTS: Final[dict[str, tuple[Callable[[PartitionWorld], None], dict[str, Any]]]] = {
    "its upstream goes on": (_no_fault, {}),
    "its upstream closes it": (_no_fault, {"break_after": PAUSE_AFTER}),
    "its upstream closes it and ends": (
        _no_fault,
        {"break_after": PAUSE_AFTER, "ends_upstream": True},
    ),
    "its peer dies": (_peer_dies, {}),
    "all peers die as its upstream closes it": (_all_die, {"break_after": PAUSE_AFTER}),
}


@when("a stream without framing comes through a peer, and {fault} after event 3")
def through_peer(context: Any, fault: str) -> None:
    """Send a stream, let the fault happen at its pause, and read the rest."""
    world: PartitionWorld = context.world
    act, plan = FAULTS[fault]
    script = Script(events=LAST_EVENT, pause_after=PAUSE_AFTER, unframed=True, **plan)
    context.add_cleanup(script.gate.set)
    _without_copies(world, script)
    caller = StreamCaller.send(world.connect(), "r1", DEADLINE_MS)
    wait_for("event 3 has arrived", lambda: caller.has_event(PAUSE_AFTER))
    assert world.served, "the stream came through no peer"
    act(world)
    script.gate.set()
    context.answer = caller.received.get(timeout=WAIT_S)


RESTS: Final[dict[str, Script]] = {
    "sends the rest up to event 8": Script(events=8),
    "closes it after event 6": Script(events=8, break_after=6),
    "closes it after event 6, and ends": Script(events=8, break_after=6, ends_upstream=True),
    "closes it after its head": Script(events=5),
}


@when(
    "a caller that has received event 5 resumes a stream without framing, and its upstream {ends}"
)
def caller_resumes(context: Any, ends: str) -> None:
    """Request the rest of a stream."""
    world = world_of(context)
    script = RESTS[ends].with_new_events()
    script.unframed = True
    _without_copies(world, script)
    context.answer = world.ask("/stream/a", "r1", Last_Event_Id=str(LAST_EVENT))


@then("its caller got events {first:d} to {last:d} without framing, and its connection was {told}")
def told_unframed(context: Any, first: int, last: int, told: str) -> None:
    """Check the events, that no framing states an end, and how the connection ended."""
    answer = context.answer
    expected = b"".join(event_bytes(number) for number in range(first, last + 1))
    assert (answer.status, answer.body) == (200, expected), answer
    assert not answer.is_framed, answer
    assert answer.whole == (told == "closed in order"), answer
