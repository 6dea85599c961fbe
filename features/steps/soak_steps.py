"""Test that the soak's checks detect the violations that they are written for."""

from __future__ import annotations

import fcntl
import random
import subprocess
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from typing import Any, cast

import gevent
from behave import given, then, when
from gevent import socket
from gevent.lock import Semaphore
from gevent.server import StreamServer

from driftstall.decisions.store_versions import StoreVersion
from driftstall.gateway.routes import RouteTable
from driftstall.platform.documents import read_routing
from driftstall.platform.store import Store, StoredObject
from driftstall.util.addresses import split_address
from measures.bench import FIRST_PORT, SLICE_PORTS, free_port
from measures.gateway_process import GatewayProcess
from soak.caller import CallerConnections
from soak.checks import (
    COLD_KNOWN_S,
    COLD_RATE,
    COLD_RATE_FACTOR,
    COLD_SLACK,
    CONTACT_S,
    CORDON_S,
    LIMIT_RATE_FACTOR,
    LIMIT_SLACK,
    LIMIT_WINDOW_S,
    PARTITIONED_FAILURES,
    find_violations,
)
from soak.disturbances import CALM_AFTER_S
from soak.draw import CALM_LAST_S, draw_steps
from soak.fleet import FATAL, LOAD_QUEUE, LOAD_SLOTS, UpstreamSlot
from soak.instance_faults import InstanceFaults
from soak.ledger import (
    PLAIN_SERVICE,
    SHORT_EVENTS,
    Arrival,
    FatalCrash,
    Ledger,
    LimitPeriod,
    Notice,
    RequestKind,
    SentRequest,
    UpstreamPeriod,
    Window,
)
from soak.membership_checks import MIN_REQUESTS
from soak.plan import Kind, Plan
from soak.poison_checks import MAX_FALSE_REFUSALS, MAX_FATAL_SENDS, MIN_SOUND
from soak.proxy import Proxy
from soak.run import Size, Soak, routing_document
from stand_ins.prompts import FATAL_PARTS, fatal_prompt, sound_prompt
from stand_ins.routed import SignalRecord

EVENTS = 3
START = 1000.0
LATER = START + 50.0
"""A time well before the last seconds, in which nearly all requests must be served."""


def stream_body(*numbers: int) -> bytes:
    """Return a stream's body."""
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (number, number) for number in numbers)


def good(ledger: Ledger, name: str, kind: RequestKind, at: float, path: str = "") -> SentRequest:
    """Record a request that was served successfully, and its arrival."""
    body = stream_body(1, 2, 3) if kind is RequestKind.STREAM else b"whole"
    target = path or f"/{kind}/x"
    asked = SentRequest(name, kind, target, "instance-1", at, 2.0, at + 0.1, 200, True, True, body)
    ledger.requests[name] = asked
    ledger.arrivals.append(Arrival(name, "u1", target, at + 0.05, False))
    return asked


class SlowlyEnding:
    """A stand-in of a process that takes a moment to end."""

    def wait(self) -> None:
        """Let other greenlets run meanwhile."""
        gevent.sleep(0)


class CountingProcess(GatewayProcess):
    """A gateway process that counts its starts instead of starting."""

    def __init__(self) -> None:
        """Begin with a process that is about to end."""
        self._starting = Semaphore()
        self.starts = 0
        self.process = cast(Any, SlowlyEnding())

    def _spawn(self) -> Any:
        self.starts += 1
        gevent.sleep(0)
        return SlowlyEnding()


@given("an instance that ends slowly")
def slowly_ending(context: Any) -> None:
    """Create the stand-in of the instance."""
    context.instance = CountingProcess()


@when("two steps restart it at once")
def restart_twice(context: Any) -> None:
    """Restart it from two greenlets."""
    gevent.joinall([gevent.spawn(context.instance.restart) for _ in range(2)], raise_error=True)


@then("it was started once")
def started_once(context: Any) -> None:
    """Check the number of starts."""
    assert context.instance.starts == 1, context.instance.starts


@given("the record of a run in which all was well")
def all_well(context: Any) -> None:
    """Record successful requests of each kind and one refusal."""
    ledger = context.ledger = Ledger(EVENTS, services={"u1": PLAIN_SERVICE, "u2": PLAIN_SERVICE})
    for index in range(100):
        kind = (RequestKind.SAFE, RequestKind.ONCE, RequestKind.STREAM)[index % 3]
        good(ledger, f"r{index}", kind, START + index)
    context.once = good(ledger, "once", RequestKind.ONCE, LATER)
    context.stream = good(ledger, "stream", RequestKind.STREAM, LATER)
    refused = good(ledger, "refused", RequestKind.ONCE, LATER)
    refused.status, refused.body, refused.sealed = 503, b'{"retry_after_s": 0.4}', False
    ledger.arrivals.pop()
    context.refused = refused
    context.changed = context.once


def arrive(context: Any, name: str, upstream: str, target: str, at: float) -> None:
    """Record an arrival at an upstream."""
    context.ledger.arrivals.append(Arrival(name, upstream, target, at, False))


def late_arrival(context: Any) -> None:
    """Record an arrival at an upstream long after its notice."""
    context.ledger.notices["u9"] = Notice("u9", LATER - 3.0)
    arrive(context, "late", "u9", "/safe/x", LATER)
    context.ledger.requests["late"] = replace(
        context.once, request_id="late", kind=RequestKind.SAFE
    )
    context.ledger.requests["late"].path = "/safe/x"


def in_cordon(context: Any) -> None:
    """Record an arrival at an upstream long after its zone was cordoned."""
    window = Window(LATER - CORDON_S - 1.0, LATER + 1.0)
    context.ledger.cordoned.append(UpstreamPeriod("u9", window))
    arrive(context, "late", "u9", "/safe/x", LATER)
    context.ledger.requests["late"] = replace(
        context.once, request_id="late", kind=RequestKind.SAFE
    )
    context.ledger.requests["late"].path = "/safe/x"


def cold_burst(context: Any) -> None:
    """Record more arrivals at a cold upstream than its rate allows."""
    window = Window(LATER - COLD_KNOWN_S, LATER + 2.0)
    context.ledger.cold.append(UpstreamPeriod("u9", window))
    for index in range(int(COLD_RATE * COLD_RATE_FACTOR + COLD_SLACK) + 1):
        good(context.ledger, f"cold-{index}", RequestKind.SAFE, LATER)
        context.ledger.arrivals[-1] = replace(
            context.ledger.arrivals[-1], upstream_id="u9", at=LATER + index * 0.1
        )


def over_limit(context: Any) -> None:
    """Record more arrivals at an upstream with a limit than are allowed within four seconds."""
    window = Window(LATER - CONTACT_S - 1.0, LATER + LIMIT_WINDOW_S)
    context.ledger.limited.append(LimitPeriod("u9", 2.0, window, is_first=True))
    for index in range(int(2.0 * LIMIT_RATE_FACTOR * LIMIT_WINDOW_S) + LIMIT_SLACK + 1):
        at = LATER + index * 0.1
        good(context.ledger, f"limit-{index}", RequestKind.SAFE, at)
        arrival = replace(context.ledger.arrivals[-1], upstream_id="u9", at=at)
        context.ledger.arrivals[-1] = arrival


def sent_on(context: Any) -> None:
    """Record more sends of a request than are allowed after three crashes under it."""
    target = "/stream/fatal-0"
    context.ledger.fatal_crashes += [FatalCrash(f"u{n}", target, LATER - 9.0 + n) for n in range(3)]
    for index in range(MAX_FATAL_SENDS + 1):
        at = LATER + index * 0.1
        asked = good(context.ledger, f"fatal-{index}", RequestKind.STREAM, at, target)
        asked.status = 502


def part_sent_on(context: Any) -> None:
    """Record more sends of prompts with a fatal part than are allowed after five crashes."""
    part = FATAL_PARTS[0]
    context.ledger.fatal_crashes += [FatalCrash(f"u{n}", part, LATER - 9.0 + n) for n in range(5)]
    source = random.Random(1)
    for index in range(MAX_FATAL_SENDS + 1):
        at = LATER + index * 0.1
        asked = good(context.ledger, f"part-{index}", RequestKind.STREAM, at, f"/stream/{index}")
        asked.status, asked.prompt = 502, fatal_prompt(source, part)


def sound_refused(context: Any) -> None:
    """Record sound streams that are served before the first crash, and seldom after it."""
    source = random.Random(1)
    crash = FatalCrash("u1", FATAL_PARTS[0], LATER)
    context.ledger.fatal_crashes.append(crash)
    for index in range(2 * MIN_SOUND):
        is_before = index < MIN_SOUND
        at = LATER - 9.0 if is_before else LATER + 9.0
        asked = good(context.ledger, f"sound-{index}", RequestKind.STREAM, at)
        asked.prompt = sound_prompt(source)
        if not is_before and index % 3:
            asked.status, asked.complete = 502, False


def refused_wrongly(context: Any) -> None:
    """Record more false refusals of ordinary calls as poison than are allowed."""
    for index in range(MAX_FALSE_REFUSALS + 1):
        asked = good(context.ledger, f"wrongly-{index}", RequestKind.SAFE, LATER)
        asked.status, asked.body = 503, b'{"code":"crashes_runners","retry_after_s":30}'
        context.ledger.arrivals.pop()


def fatal_refused(context: Any) -> None:
    """Record refusals of a fatal request that has not ended an upstream itself."""
    for index in range(MAX_FALSE_REFUSALS + 1):
        asked = good(context.ledger, f"fatal-{index}", RequestKind.STREAM, LATER, f"{FATAL}-1")
        asked.status, asked.body = 503, b'{"code":"crashes_runners","retry_after_s":30}'
        context.ledger.arrivals.pop()


def short_stream(context: Any, body: bytes = b"") -> SentRequest:
    """Record a short stream, by default a complete one."""
    numbers = range(1, SHORT_EVENTS + 1)
    asked = good(context.ledger, "short", RequestKind.SHORT, LATER)
    asked.body = body or stream_body(*numbers)
    return asked


def refused_short(context: Any) -> None:
    """Record a short stream that is refused, though it has run."""
    asked = short_stream(context)
    asked.status, asked.body, asked.sealed = 503, b'{"retry_after_s": 0.4}', False


def probe(context: Any, kind: RequestKind, status: int) -> None:
    """Record a probe of the configuration."""
    asked = good(context.ledger, "probe", kind, LATER, "/added3/x")
    asked.status = status
    asked.sealed = status == 200
    if status != 200:
        context.ledger.arrivals.pop()


def unanswered(context: Any) -> None:
    """Delay the response to a call by 4 s."""
    context.once.ended_at = context.once.sent_at + 4.0


def break_off(context: Any, body: bytes) -> None:
    """Replace the stream's body and mark it as broken off."""
    context.stream.body, context.stream.complete = body, False


def partitioned_callers_unserved(context: Any) -> None:
    """Record requests that fail at a partitioned instance and are served at another one."""
    context.ledger.partitioned["instance-2"].append(Window(LATER - CONTACT_S, LATER + 10.0))
    for index in range(PARTITIONED_FAILURES + 5):
        good(context.ledger, f"others-{index}", RequestKind.SAFE, LATER + 1.0)
        failed = good(context.ledger, f"partitioned-{index}", RequestKind.SAFE, LATER + 1.0)
        failed.instance, failed.status, failed.body = "instance-2", 503, b'{"retry_after_s": 0.4}'
        context.ledger.arrivals.pop()


def last_unserved(context: Any) -> None:
    """Mark the last calls as broken off."""
    for index in range(97, 100):
        context.ledger.requests[f"r{index}"].status = 0


def sent_again_too_often(context: Any) -> None:
    """Record two arrivals of each of the last calls, more than the retry budget allows."""
    for index in range(100):
        for name in ("u1", "u2"):
            context.ledger.received[name].append(SignalRecord(LATER, f"r{index}"))


def joined_unused(context: Any) -> None:
    """Record requests for a service of which one upstream, which joined long before, gets none."""
    context.ledger.services["u9"] = PLAIN_SERVICE
    context.ledger.joined["u9"] = LATER - CALM_AFTER_S - 0.5
    context.ledger.replaced["u9"] = LATER + 0.5
    # Two of the ordinary requests arrive within this time as well.
    for index in range(MIN_REQUESTS - 3):
        good(context.ledger, f"joined-{index}", RequestKind.SAFE, LATER)


def cut(context: Any, *, sent_s: float, cut_s: float, is_run: bool = True) -> Window:
    """Record a call that is cut; times are counted from a planned stop, which is returned."""
    stop = Window(LATER, LATER + 7.0)
    context.ledger.disturbed["instance-1"].append(stop)
    context.ledger.planned_stops["instance-1"].append(stop)
    asked = good(context.ledger, "cut", RequestKind.ONCE, LATER + sent_s)
    asked.status, asked.sealed, asked.complete, asked.is_cut = 0, False, False, True
    asked.ended_at, asked.body = LATER + cut_s, b""
    if not is_run:
        context.ledger.arrivals.pop()
    return stop


def cut_by(context: Any, name: str) -> None:
    """Record a call that is cut in a planned stop, and a disturbance just before."""
    cut(context, sent_s=0.5, cut_s=1.0)
    context.ledger.disturb(name, LATER + 0.7, LATER + 0.8)


CHANGES: dict[str, Callable[[Any], Any]] = {
    "calls have been sent again too often": sent_again_too_often,
    "an upstream that joined got none of 80 requests": joined_unused,
    "a stopping instance cuts a call that it has sent on": lambda c: cut(c, sent_s=0.5, cut_s=1.0),
    "a stopping instance cuts a call 1 s after it was sent": lambda c: cut(
        c, sent_s=0.0, cut_s=1.0, is_run=False
    ),
    "a stopping instance cuts a call late that was sent late": lambda c: cut(
        c, sent_s=3.1, cut_s=3.9
    ),
    "a stopping instance cuts a call that its upstream broke off": lambda c: cut_by(c, "u1"),
    "a stopping instance cuts a call that was killed 0.3 s before": lambda c: cut_by(
        c, "instance-1"
    ),
    "a stopping instance cuts a call that has used its time": lambda c: cut(
        c, sent_s=0.0, cut_s=2.1
    ),
    "a stopping instance cuts a call that crosses the close": lambda c: cut(
        c, sent_s=0.5, cut_s=0.6, is_run=False
    ),
    "a stopping instance cuts a call that still runs at the end": lambda c: cut(
        c, sent_s=2.0, cut_s=3.0
    ),
    "another instance cuts a call": lambda c: (
        setattr(c.ledger.requests["cut"], "instance", "instance-2")
        if cut(c, sent_s=0.5, cut_s=1.0)
        else None
    ),
    "a process was not ready after its start": lambda c: c.ledger.not_ready.append(
        "x was not ready 8 s after its start"
    ),
    "a call that may run once has run twice": lambda c: arrive(
        c, "once", "u2", "/once/x", LATER + 0.2
    ),
    "a refused call has run": lambda c: arrive(c, "refused", "u1", "/once/x", LATER),
    "a refusal names no time to come back": lambda c: setattr(c.refused, "body", b"{}"),
    "a success has no mark of an upstream": lambda c: setattr(c.once, "sealed", False),
    "a success has another body": lambda c: setattr(c.once, "body", b"other"),
    "a stream lacks an event": lambda c: break_off(c, stream_body(1, 3)),
    "a stream repeats an event": lambda c: break_off(c, stream_body(1, 2, 2)),
    "a stream ends as complete too early": lambda c: setattr(c.stream, "body", stream_body(1, 2)),
    "a short stream ends as complete too early": lambda c: short_stream(c, stream_body(1)),
    "a short stream has run twice": lambda c: arrive(
        c, short_stream(c).request_id, "u2", "/stream/short/x", LATER
    ),
    "a short stream is denied": lambda c: setattr(short_stream(c), "status", 404),
    "a refused short stream has run": refused_short,
    "a short stream has no answer for 4 s": lambda c: setattr(
        short_stream(c), "ended_at", LATER + 4.0
    ),
    "streams should have waited for memory and none has": lambda c: setattr(
        c.ledger, "queue_waits", 0
    ),
    "a pace should have changed and no instance noticed": lambda c: setattr(
        c.ledger, "pace_changes", 0
    ),
    "a known route is denied": lambda c: setattr(c.once, "status", 404),
    "an upstream has run what nobody asked": lambda c: arrive(c, "x", "u1", "/safe/x", LATER),
    "an upstream has run another path": lambda c: setattr(c.once, "path", "/once/y"),
    "an upstream got a call 3 s after its notice": late_arrival,
    "an upstream got a call 3.5 s after its zone was cordoned": in_cordon,
    "a cold upstream got more calls than it bears": cold_burst,
    "an upstream got more calls than its limit allows": over_limit,
    "a request was sent on after three upstreams had ended under it": sent_on,
    "a prompt part was sent on after five upstreams had ended under it": part_sent_on,
    "streams beside a fatal prompt part are seldom served": sound_refused,
    "calls that end nothing are refused for it": refused_wrongly,
    "a fatal request that has ended nothing yet is refused": fatal_refused,
    "an added route is denied by a calm instance": lambda c: probe(c, RequestKind.ADDED, 404),
    "a dropped route is served by a calm instance": lambda c: probe(c, RequestKind.DROPPED, 200),
    "a calm instance gives no answer for 4 s": unanswered,
    "callers of a partitioned instance are not served": partitioned_callers_unserved,
    "the last calls were not served": last_unserved,
    "a process has ended by itself": lambda c: c.ledger.unexpected_exits.append(
        "x ended by itself with 139"
    ),
}


@when("in the record {what}")
def change(context: Any, what: str) -> None:
    """Apply the change that the step names to the record."""
    CHANGES[what](context)


@when("its instance was disturbed at that time")
def disturbed(context: Any) -> None:
    """Record a disturbance."""
    context.ledger.disturb("instance-1", LATER - 1.0, LATER + 1.0)


@when("its instance was disturbed 4 s before that")
def disturbed_before(context: Any) -> None:
    """Record a disturbance before the notice must be known and before the call's calm period."""
    context.ledger.disturb("instance-1", LATER - 5.0, LATER - 4.0)


@then("no promise is broken")
def none_broken(context: Any) -> None:
    """Check that no violation is found."""
    assert find_violations(context.ledger) == []


@then('a promise is broken: "{line}"')
def one_broken(context: Any, line: str) -> None:
    """Check that only the named violation is found."""
    found = find_violations(context.ledger)
    assert found and all(line in violation for violation in found), found


@then(
    "seed {first:d} gives one plan of overlapping faults, seed {second:d} another, both end early"
)
def plans(context: Any, first: int, second: int) -> None:
    """Check that plans depend on the seed alone, overlap, and end before the calm period."""
    plan, same, other = (
        draw_steps(seed, instances=4, upstreams=5, seconds=60.0) for seed in (first, first, second)
    )
    assert plan == same and plan != other
    assert all(step.at_s + step.for_s <= 60.0 - CALM_LAST_S + 0.5 for step in (*plan, *other))
    pairs = zip(plan, plan[1:], strict=False)
    assert any(after.at_s < before.at_s + before.for_s for before, after in pairs)


@then("seed 7 gives that plan notices, removals and connections that fall silent")
def leaving_plan(context: Any) -> None:
    """Check the kinds of steps in a plan of one minute."""
    steps = draw_steps(7, instances=4, upstreams=5, seconds=60.0, plan=Plan.LEAVING)
    kinds = {step.kind for step in steps}
    assert {Kind.LEAVE, Kind.REMOVE, Kind.SILENCE} <= kinds, kinds
    assert all(step.at_s + step.for_s <= 60.0 - CALM_LAST_S + 0.5 for step in steps)


@then(
    "seed 7 gives that plan signals in starts, addresses in use, spoiled settings and odd entries"
)
def disturbed_plan(context: Any) -> None:
    """Check the kinds of steps in a plan of one minute, and that all end before the calm period."""
    steps = draw_steps(7, instances=4, upstreams=5, seconds=60.0, plan=Plan.DISTURBED)
    kinds = {step.kind for step in steps}
    expected = {Kind.SIGNAL_START, Kind.HOLD_ADDRESS, Kind.RESTART_BESIDE, Kind.ODD_ENTRY}
    assert expected <= kinds, kinds
    assert kinds & {Kind.SPOIL_START, Kind.SPOIL_SETTINGS}, kinds
    assert all(step.at_s + step.for_s <= 60.0 - CALM_LAST_S + 0.5 for step in steps)


class Shell(GatewayProcess):
    """An instance whose processes are shells that end at once."""

    def __init__(self, code: int) -> None:
        """Start a process that waits for its input to end, and exits with a code."""
        self.name = "x"
        self._code = code
        self._starting = Semaphore()
        self.process = self._spawn()

    def _spawn(self) -> subprocess.Popen[bytes]:
        """Start a shell."""
        script = f"trap 'exit {self._code}' TERM; echo; read line; exit {self._code}"
        process = subprocess.Popen(
            ["sh", "-c", script], stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        assert process.stdout is not None
        process.stdout.readline()
        return process

    def end(self) -> None:
        """End the process's input, and wait for its end."""
        self.process.communicate()

    def is_ready(self) -> bool:
        """Return False: a shell serves nothing."""
        return False


@given("a watched process that {what} before its successor started")
def watched_process(context: Any, what: str) -> None:
    """End a process in the given way, and start its successor."""
    instance = Shell(int(what[-1]) if what[-1].isdigit() else 0)
    context.ledger = Ledger(EVENTS)
    context.faults = InstanceFaults([instance], context.ledger, lambda: True)
    context.add_cleanup(context.faults.close)
    process = instance.process
    if "stopped" in what:
        context.faults.terminate(process)
    if "killed" in what:
        context.faults.kill(process)
    else:
        instance.end()
    assert context.faults.restart(instance, process)


@then('the recorded exits are "{line}"')
@then('the recorded exits are ""')
def recorded_exits(context: Any, line: str = "") -> None:
    """Compare the lines."""
    context.faults.record_exits()
    assert context.ledger.unexpected_exits == ([line] if line else [])


@then("seed 7 gives that plan bursts, kills and notices, and always the same")
def contended_plan(context: Any) -> None:
    """Check the kinds of steps in a plan of one minute."""
    steps, same = (
        draw_steps(7, instances=4, upstreams=5, seconds=60.0, plan=Plan.CONTENDED) for _ in range(2)
    )
    kinds = {step.kind for step in steps}
    assert steps == same
    assert {Kind.BURST, Kind.KILL, Kind.LEAVE} <= kinds, kinds
    assert all(step.at_s + step.for_s <= 60.0 - CALM_LAST_S + 0.5 for step in steps)


@then('streams of the plan "contended" queue and those of the plan "mixed" do not')
def plan_queues(context: Any) -> None:
    """Check the switch by the plans' configurations."""
    for plan, queues in ((Plan.CONTENDED, True), (Plan.MIXED, False)):
        table = RouteTable.from_document(read_routing(routing_document(plan, 1)))
        assert table.queues("engines") is queues, plan


@given('a caller with open connections to "{first}" and "{second}"')
def open_caller(context: Any, first: str, second: str) -> None:
    """Open connections to two listeners, which stand for instances."""
    context.servers = {}
    context.caller = CallerConnections()
    for name in (first, second):
        server = StreamServer(("127.0.0.1", 0), answer_once_open)
        server.start()
        context.add_cleanup(server.stop, timeout=0)
        context.servers[name] = server
        send_to(context, name)


def answer_once_open(connection: socket.socket, _: tuple[str, int]) -> None:
    """Answer requests until a connection ends; a request to /close is answered by closing it."""
    while data := connection.recv(65_536):
        if b"/close" in data:
            return
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")


def send_to(context: Any, name: str, path: str = "/safe/x") -> None:
    """Send a request."""
    asked = SentRequest("r", RequestKind.SAFE, path, name, time.monotonic(), 2.0)
    context.caller.to(name).send(f"127.0.0.1:{context.servers[name].server_port}", asked)


@when('only "{name}" is located any more')
def located_only(context: Any, name: str) -> None:
    """Set the located instances."""
    context.located = {name}


@when('its connection to "{name}" has a descriptor of 1,100 or more')
def high_descriptor(context: Any, name: str) -> None:
    """Replace the descriptor of the connection by a duplicate."""
    caller = context.caller.to(name)
    descriptor = fcntl.fcntl(caller._connection.fileno(), fcntl.F_DUPFD, 1_100)
    caller._connection.close()
    caller._connection = socket.socket(fileno=descriptor)


@when('"{name}" closes the connection')
def closes(context: Any, name: str) -> None:
    """Have a request answered by the end of the connection."""
    send_to(context, name, "/close")


@then('it still sends to "{name}"')
def still_sends(context: Any, name: str) -> None:
    """Check the instances to which the caller may send."""
    assert name in context.located | context.caller.open_names, context.caller.open_names


@then('it sends to "{name}" alone')
def sends_alone(context: Any, name: str) -> None:
    """Check the instances to which the caller may send."""
    assert context.located | context.caller.open_names == {name}, context.caller.open_names


class RacedStore(Store):
    """A store where a concurrent step creates an entry right after its replacement has failed."""

    def __init__(self) -> None:
        """Start empty."""
        super().__init__("127.0.0.1:1")
        self.entries: dict[str, Any] = {}
        self.races = False

    def replace(
        self, kind: str, name: str, spec: Any, revision: int | None = None
    ) -> StoredObject | None:
        """Replace an entry; a missing one is created concurrently."""
        if name not in self.entries:
            if self.races:
                self.entries[name] = {"state": "ready"}
            return None
        self.entries[name] = spec
        return StoredObject(name, StoreVersion(1), spec)

    def create(self, kind: str, name: str, spec: Any) -> StoredObject | None:
        """Create an entry unless it exists."""
        if name in self.entries:
            return None
        self.entries[name] = spec
        return StoredObject(name, StoreVersion(1), spec)


@given("an upstream of the soak whose entry another step makes just before its notice is written")
def raced_upstream(context: Any) -> None:
    """Start an upstream, and remove its entry."""
    context.raced = RacedStore()
    context.listed = UpstreamSlot(1, "portal", context.raced, Ledger(EVENTS), random.Random(1))
    context.name = context.listed.upstream.upstream_id
    context.add_cleanup(context.listed.upstream.stop)
    context.raced.entries.clear()
    context.raced.races = True


@given('an upstream of the plan "{plan}" for plain calls')
def plain_upstream(context: Any, plan: str) -> None:
    """Start an upstream of the plain service."""
    store = RacedStore()
    slot = UpstreamSlot(1, PLAIN_SERVICE, store, Ledger(EVENTS), random.Random(1), Plan(plan))
    context.add_cleanup(slot.upstream.stop)
    context.add_cleanup(slot.proxy.stop)
    context.loaded = slot.upstream


@then("it reports its slots, and both a normal and a slow pace")
def reports_both_paces(context: Any) -> None:
    """Send reports until both paces were seen; slow periods begin every 4 s on average."""
    seen: set[bytes] = set()
    with gevent.Timeout(30.0):
        while seen != {b"0,0,2,100", b"0,0,2,250"}:
            with socket.create_connection(split_address(context.loaded.address)) as connection:
                connection.sendall(b"GET /api/report HTTP/1.1\r\nHost: a\r\n\r\n")
                answer = connection.makefile("rb").read()
            header = answer.partition(b"X-Driftstall-Server-Load: ")[2]
            seen.add(header.partition(b"\r\n")[0])
            gevent.sleep(0.05)


@then("it rejects a call beyond its queue")
def rejects_beyond_queue(context: Any) -> None:
    """Compare the scripts of the last call that fits and of the next one."""
    rejected = []
    for context.loaded.in_progress in (LOAD_SLOTS + LOAD_QUEUE - 1, LOAD_SLOTS + LOAD_QUEUE):
        rejected.append(context.loaded.script_for("/once/x").not_run)
    assert rejected == [False, True], rejected


@when("it leaves")
def leaves(context: Any) -> None:
    """Give notice."""
    old, proxy = context.listed.upstream, context.listed.proxy
    context.add_cleanup(proxy.stop)
    context.add_cleanup(old.stop)
    context.listed.leave()
    context.add_cleanup(context.listed.upstream.stop)
    context.add_cleanup(context.listed.proxy.stop)


@then("the store holds its notice")
def holds_notice(context: Any) -> None:
    """Check the state in the upstream's entry."""
    assert context.raced.entries[context.name]["state"] == "draining", context.raced.entries


def echo(connection: socket.socket, _: tuple[str, int]) -> None:
    """Echo received data until the connection ends, which the proxy may do by a reset."""
    with suppress(ConnectionResetError):
        while data := connection.recv(100):
            connection.sendall(data)


def passes(connection: socket.socket) -> bool:
    """Return True if a byte is echoed within 0.3 s."""
    connection.settimeout(0.3)
    connection.sendall(b"x")
    try:
        return bool(connection.recv(1) == b"x")
    except TimeoutError:
        return False


@given("a proxy with an open connection")
def open_proxy(context: Any) -> None:
    """Open a connection through a proxy, and check that it works."""
    server = StreamServer(("127.0.0.1", 0), echo)
    server.start()
    context.add_cleanup(server.stop, timeout=0)
    context.proxy = Proxy(f"127.0.0.1:{server.server_port}")
    context.add_cleanup(context.proxy.stop)
    context.open = socket.create_connection(split_address(context.proxy.address))
    assert passes(context.open)


@when("its open connections fall silent")
def silence(context: Any) -> None:
    """Silence the open connections."""
    context.proxy.silence_open()


@then("nothing passes on the open connection, which is not closed either")
def nothing_passes(context: Any) -> None:
    """Check that a byte is not echoed and that the connection stays open."""
    assert not passes(context.open)
    stays_open(context, 0.05)


@then("the open connection is not closed within {seconds:g} s")
def stays_open(context: Any, seconds: float) -> None:
    """Read from the connection; a closed one would return no data instead of timing out."""
    context.open.settimeout(seconds)
    try:
        closed = context.open.recv(1) == b""
    except TimeoutError:
        closed = False
    assert not closed


@then("a new connection passes everything")
def new_passes(context: Any) -> None:
    """Check a connection that is opened after the silence."""
    assert passes(socket.create_connection(split_address(context.proxy.address)))


@given("another run that has taken a port")
def another_run(context: Any) -> None:
    """Start a process that reserves a port and keeps running."""
    program = "from measures.bench import free_port; print(free_port(), flush=True); input()"
    command = [sys.executable, "-c", program]
    other = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    context.add_cleanup(other.communicate, b"\n")
    assert other.stdout is not None
    context.other_port = int(other.stdout.readline())


@then("none of {count:d} ports taken here is of its slice")
def disjoint(context: Any, count: int) -> None:
    """Check that both runs use different slices of ports."""
    other = (context.other_port - FIRST_PORT) // SLICE_PORTS
    own = {(free_port() - FIRST_PORT) // SLICE_PORTS for _ in range(count)}
    assert len(own) == 1 and other not in own, (own, other)


@given("a soak of seed {seed:d} with {instances:d} instances for {seconds:d} s")
def short_soak(context: Any, seed: int, instances: int, seconds: int) -> None:
    """Create the soak."""
    context.soak = Soak(seed, Size(instances=instances, callers=6, seconds=float(seconds)))
    context.add_cleanup(context.soak.close)


@given(
    'a soak of the plan "{plan}", seed {seed:d}, with {instances:d} instances and {callers:d} '
    "callers for {seconds:d} s"
)
def planned_soak(
    context: Any, plan: str, seed: int, instances: int, callers: int, seconds: int
) -> None:
    """Create the soak."""
    context.soak = Soak(seed, Size(instances, callers, float(seconds), Plan(plan)))
    context.add_cleanup(context.soak.close)


@then("it breaks no promise")
def breaks_none(context: Any) -> None:
    """Run the soak; it must find no violation and have served some requests under the faults."""
    broken = context.soak.play()
    assert not broken, (broken, context.soak.folder)
    served = [each for each in context.soak.ledger.requests.values() if each.status == 200]
    assert len(served) > 50, len(served)
