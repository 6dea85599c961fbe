"""Check a gateway process beside real processes of engines that are killed."""

from __future__ import annotations

import contextlib
import os
import subprocess
import sys
import time
from dataclasses import dataclass, field
from typing import Any, Final

import gevent
from behave import given, then, when
from gevent import socket

from driftstall.platform.names import KIND_UPSTREAMS
from features.steps.gateway_node_steps import wait_for_processes
from features.worlds.ending_world import ALL_EVENTS
from features.worlds.gateway_world import Received, parse_answer, request_bytes
from features.worlds.upstream_samples import entry_spec
from stand_ins.endings import EVENTS, Framing
from stand_ins.routed import event_bytes

PAUSE_S: Final = 0.05
EVENT_BEFORE_KILL: Final = 5
DEADLINE_MS: Final = 5_000
FRAMINGS: Final = {
    "with a last chunk": Framing.CHUNKED,
    "with their connection": Framing.CLOSE,
}


@dataclass(slots=True)
class TimedCaller:
    """A caller that reads a stream, and keeps when its last event and its end came."""

    address: str
    request_id: str
    data: bytes = b""
    last_event_at: float = 0.0
    ended_at: float = 0.0
    is_closed: bool = False
    """Whether the connection was closed in order."""
    reading: gevent.Greenlet = field(init=False)

    def __post_init__(self) -> None:
        """Send the request."""
        self.reading = gevent.spawn(self._read)

    @property
    def received(self) -> Received:
        """Return the response, once it has ended."""
        self.reading.get(timeout=DEADLINE_MS / 1000 + 1)
        return parse_answer(self.data, is_closed=self.is_closed)

    def has_event(self, number: int) -> bool:
        """Return True if an event has arrived."""
        return event_bytes(number) in self.data

    def _read(self) -> None:
        """Read until the connection is closed."""
        host, port = self.address.split(":")
        with socket.create_connection((host, int(port)), DEADLINE_MS / 1000) as connection:
            more = {"X_Driftstall_Deadline_Ms": str(DEADLINE_MS)}
            connection.sendall(request_bytes("/stream/a", self.request_id, **more))
            with contextlib.suppress(ConnectionResetError):
                while piece := connection.recv(65_536):
                    self.data += piece
                    if not self.last_event_at and self.has_event(EVENTS):
                        self.last_event_at = time.monotonic()
                self.is_closed = True
        self.ended_at = time.monotonic()


@given("{count:d} engine processes whose streams end {framing}")
def start_engines(context: Any, count: int, framing: str) -> None:
    """Start processes, and register them in the store."""
    context.engine_processes = []
    for number in range(count):
        name = f"e-{os.getpid()}-{number}"
        command = [sys.executable, "-m", "stand_ins.stream_process"]
        command += [name, FRAMINGS[framing].value, str(PAUSE_S)]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        context.add_cleanup(process.wait)
        context.add_cleanup(process.kill)
        assert process.stdout is not None
        address = process.stdout.readline().strip()
        context.store.create(KIND_UPSTREAMS, name, entry_spec(address))
        context.engine_processes.append(process)


def _send(context: Any, count: int) -> None:
    """Send streams."""
    address = context.nodes[0].listen["front"]
    context.callers = [TimedCaller(address, f"s-{number}") for number in range(count)]


@when("{count:d} streams are sent")
def send_streams(context: Any, count: int) -> None:
    """Send streams to the gateway."""
    _send(context, count)


@when("{count:d} streams are under way, and {killed:d} of the engine processes are killed")
def kill_engines(context: Any, count: int, killed: int) -> None:
    """Kill processes once each stream has some events."""
    _send(context, count)
    wait_for_processes(
        "all streams have events",
        lambda: all(caller.has_event(EVENT_BEFORE_KILL) for caller in context.callers),
    )
    for process in context.engine_processes[:killed]:
        process.kill()


@then("each stream of a killed process has no end, and the others arrive whole")
def killed_have_no_end(context: Any) -> None:
    """Check that exactly the streams with all events are whole, and that there are others."""
    answers = [caller.received for caller in context.callers]
    for answer in answers:
        assert answer.status == 200 and ALL_EVENTS.startswith(answer.body), answer
        assert answer.whole == (answer.body == ALL_EVENTS), answer
    context.broken = [answer for answer in answers if not answer.whole]
    assert 0 < len(context.broken) < len(answers), len(context.broken)


@then("each stream is reset, those of a killed process early and the others after their last event")
def all_are_reset(context: Any) -> None:
    """Check that no stream ends in order, and that some have all events and others have not."""
    answers = [caller.received for caller in context.callers]
    for answer in answers:
        assert answer.status == 200 and ALL_EVENTS.startswith(answer.body), answer
        assert not answer.whole, answer
    context.broken = [answer for answer in answers if answer.body != ALL_EVENTS]
    assert 0 < len(context.broken) < len(answers), len(context.broken)


@then("the streams of the killed processes have no further event")
def no_further_event(context: Any) -> None:
    """Check that the streams have events up to the kill, and were not run anew."""
    numbers = [answer.body.count(b"\n\n") for answer in context.broken]
    assert all(EVENT_BEFORE_KILL <= number < EVENTS for number in numbers), numbers


@then("all of them arrive whole, and end within {limit_s:g} s after the last event")
def whole_soon(context: Any, limit_s: float) -> None:
    """Check all events, and the time from the last one to the end."""
    _check_ends(context, limit_s, is_whole=True)


@then("all of them arrive with every event, and are reset within {limit_s:g} s after the last one")
def reset_soon(context: Any, limit_s: float) -> None:
    """Check all events, that no stream ends in order, and the time from the last event to that."""
    _check_ends(context, limit_s, is_whole=False)


def _check_ends(context: Any, limit_s: float, *, is_whole: bool) -> None:
    """Check the events and the ends of all streams, and the time from their last events to them."""
    for caller in context.callers:
        answer = caller.received
        assert (answer.status, answer.body, answer.whole) == (200, ALL_EVENTS, is_whole), answer
    waits = sorted(caller.ended_at - caller.last_event_at for caller in context.callers)
    assert waits[-1] <= limit_s, waits
    context.end_waits = waits
