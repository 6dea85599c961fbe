"""Test the verification of responses that end with their connection."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Final

import gevent
from behave import given, then, when
from gevent.event import Event

from driftstall.decisions.response_ends import ANSWERING_STATES, ProcessState
from driftstall.gateway.dialect import connect_directly, ignore_signals
from driftstall.gateway.exchange import ResponseHead
from driftstall.gateway.model import Upstream
from driftstall.gateway.response_ends.framing import ResponseFraming
from driftstall.gateway.response_ends.verification import SETTLE_S, EndVerifier
from driftstall.gateway.stats import GatewayStats
from driftstall.platform.dialect import PlatformDialect
from driftstall.platform.process_probe import probe_process
from driftstall.util import clock
from features.worlds.gateway_world import wait_for, world_of
from features.worlds.upstream_samples import upstream_of
from measures.bench import free_port
from stand_ins.probed import ProbedUpstream, ProbeReply

PATIENCE_S: Final = 5.0
BORN: Final = 7
OK: Final = b"HTTP/1.1 200 OK\r\n"
EMPTY: Final = b"Content-Length: 0\r\n\r\n"


def _answer(body: bytes) -> bytes:
    """Return a response with a JSON body."""
    return OK + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


REPLIES: Final[dict[str, bytes | ProbeReply | None]] = {
    "answers": _answer(b"{}"),
    "answers with its id": OK + b"X-Driftstall-Instance-Id: p-1\r\n" + EMPTY,
    "answers that it is full": b"HTTP/1.1 503 Full\r\nX-Driftstall-Not-Executed: 1\r\n" + EMPTY,
    "answers that it is unwell": b"HTTP/1.1 503 Draining\r\n" + EMPTY,
    "answers that its check failed": b"HTTP/1.1 500 Failed\r\n" + EMPTY,
    "answers through a proxy that can't reach it": b"HTTP/1.1 502 Bad Gateway\r\n" + EMPTY,
    "answers that it is draining": _answer(b'{"state":"draining"}'),
    "answers when it ends": _answer(b'{"state":"ready","leaves_ms":900}'),
    "signals that it leaves": OK + b"Server-Leaving: 1\r\n" + EMPTY,
    "answers with the same start": _answer(b'{"born":7}'),
    "answers 421": b"HTTP/1.1 421 Misdirected\r\n" + EMPTY,
    "answers with another id": OK + b"X-Driftstall-Instance-Id: p-2\r\n" + EMPTY,
    "answers with another start": _answer(b'{"born":8}'),
    "answers with bytes that are no HTTP": b"\x16\x03\x00\r\n\r\n",
    "answers with a part of its body": OK + b"Content-Length: 10\r\n\r\n{",
    "refuses connections": None,
} | {reply.value: reply for reply in ProbeReply}
HEADS: Final = {
    "with the request's id": (200, b"r1"),
    "with the id of another": (200, b"r2"),
    "without an id": (200, None),
    "with the id and status 421": (421, b"r1"),
}


class FakeProbe:
    """Probe of a process that is alive until a test ends it."""

    def __init__(self, states: list[ProcessState | Exception], *, waits: bool = False) -> None:
        """Initialize with the states that it finds, of which the last one stays."""
        self.states = states
        self.sent = 0
        self.gate = Event()
        if not waits:
            self.gate.set()

    def __call__(self, _: Upstream) -> ProcessState:
        """Return the state, once the gate is open."""
        self.sent += 1
        state = self.states.pop(0) if len(self.states) > 1 else self.states[0]
        self.gate.wait()
        if isinstance(state, Exception):
            raise state
        return state


def _use(context: Any, *states: ProcessState | Exception, waits: bool = False) -> None:
    """Create a verifier with a probe."""
    context.probe = FakeProbe(list(states), waits=waits)
    context.verifier = EndVerifier(context.probe, clock.now, GatewayStats())
    context.upstream = upstream_of("u-1")
    context.waiting = []


def _end(context: Any, count: int, remaining_s: float = PATIENCE_S) -> None:
    """Let responses end now."""
    check: Callable[..., ProcessState] = context.verifier.check
    ended_at = context.ended_at = clock.now()
    context.waiting += [
        gevent.spawn(check, context.upstream, ended_at, remaining_s) for _ in range(count)
    ]


@given("a verifier whose probes find the process {state:w}")
def probes_find(context: Any, state: str) -> None:
    """Use a probe with one result."""
    _use(context, ProcessState(state))


@given("a verifier whose probes wait")
def probes_wait(context: Any) -> None:
    """Use a probe that waits; the process is alive for the first one and ended for later ones."""
    _use(context, ProcessState.ALIVE, ProcessState.ENDED, waits=True)
    context.add_cleanup(context.probe.gate.set)


@given("a verifier whose probes wait, and find the process silent")
def probes_silent(context: Any) -> None:
    """Use a probe without an answer, as often as it is sent."""
    _use(context, ProcessState.SILENT, waits=True)
    context.add_cleanup(context.probe.gate.set)


@given("a verifier whose first probe finds the process silent, and later ones find it {state:w}")
def probe_silent(context: Any, state: str) -> None:
    """Use a probe that is answered when it is sent again."""
    _use(context, ProcessState.SILENT, ProcessState(state), waits=True)
    context.add_cleanup(context.probe.gate.set)


@given("a verifier whose first {count:d} probes find the process unknown, and the next one alive")
def probes_unknown(context: Any, count: int) -> None:
    """Use a probe that has no result at first."""
    _use(context, *[ProcessState.UNKNOWN] * count, ProcessState.ALIVE)


@given("a verifier whose first probe raises an error, and the next one finds it alive")
def probe_raises(context: Any) -> None:
    """Use a probe that fails once."""
    _use(context, ValueError("a fault of the probe"), ProcessState.ALIVE)


@when("{count:d} responses end at once")
def responses_end(context: Any, count: int) -> None:
    """Let several responses end."""
    _end(context, count)


@when("a response ends, and its process is found alive")
def end_and_find(context: Any) -> None:
    """Let one response end, and wait until its check is over."""
    _end(context, 1)
    gevent.joinall(context.waiting, raise_error=True)


@when("the check of another response that ended at the same time comes late")
def late_check(context: Any) -> None:
    """Check the end of another response, as an instance does that was held up."""
    check: Callable[..., ProcessState] = context.verifier.check
    ended_at = context.ended_at
    context.waiting.append(gevent.spawn(check, context.upstream, ended_at, PATIENCE_S))


@when("{count:d} more end while their probe is under way, and the process ends after it")
@when("{count:d} more ends while their probe is under way, and the process ends after it")
def end_during_probe(context: Any, count: int) -> None:
    """Let responses end after the first probe was sent, and open the gate once they wait."""
    wait_for("a probe is sent", lambda: context.probe.sent == 1)
    _end(context, count)
    wait_for("they wait", lambda: "u-1" in context.verifier._next)
    context.probe.gate.set()


@when("a request is answered that was sent {sent_s:g} s after the end of a response")
def request_answered(context: Any, sent_s: float) -> None:
    """Record an answer whose request was sent at a time relative to the end."""
    _end(context, 1)
    context.verifier.record_answer("u-1", context.ended_at + sent_s)


@when("a response ends, and a later request is answered while its probe waits")
def answered_during_probe(context: Any) -> None:
    """Record an answer while the probe is under way."""
    _end(context, 1)
    wait_for("a probe is sent", lambda: context.probe.sent == 1)
    context.verifier.record_answer("u-1", context.ended_at + SETTLE_S)
    assert context.waiting[0].get(timeout=PATIENCE_S) in ANSWERING_STATES
    assert not context.probe.gate.is_set()


@when("{count:d} responses end at once, and the first one's request is killed")
def first_killed(context: Any, count: int) -> None:
    """End one of the greenlets that wait for a probe."""
    _end(context, count)
    wait_for("a probe is sent", lambda: context.probe.sent == 1)
    context.waiting.pop(0).kill()


@when(
    "{count:d} responses end at once, and the instance is frozen for {frozen_s:g} s before it"
    " sends a probe"
)
def end_before_freeze(context: Any, count: int, frozen_s: float) -> None:
    """Let responses end, and the clock go on before their greenlets do."""
    ahead_s = 0.0
    context.verifier._now = lambda: clock.now() + ahead_s
    _end(context, count)
    gevent.sleep(0)
    assert context.probe.sent == 0
    ahead_s = frozen_s
    wait_for("a probe is sent", lambda: context.probe.sent == 1)
    gevent.idle()


@when("the probe finds the process alive")
def probe_ends(context: Any) -> None:
    """Let the probe end."""
    context.probe.gate.set()


@when("a response ends with {remaining_s:g} s left for its request")
def ends_late(context: Any, remaining_s: float) -> None:
    """Let a response end shortly before its request's deadline."""
    _end(context, 1, remaining_s)


@when("{upstreams:d} upstreams answer requests, and responses of {ends:d} end")
def many_upstreams(context: Any, upstreams: int, ends: int) -> None:
    """Record the answers of many upstreams, and verify ends at others."""
    for number in range(ends):
        context.upstream = upstream_of(f"u-{number}")
        _end(context, 1)
    gevent.joinall(context.waiting, timeout=PATIENCE_S, raise_error=True)
    for number in range(upstreams):
        context.verifier.record_answer(f"a-{number}", clock.now())
    context.latest = f"a-{upstreams - 1}"


@then("the verifier holds the latest {count:d} answers, and no probe")
def holds(context: Any, count: int) -> None:
    """Check the sizes of its tables."""
    verifier = context.verifier
    assert len(verifier._answers) == count and context.latest in verifier._answers
    assert not verifier._running and not verifier._next


@then("the process is known to live after {count:d} of them")
def known_to_live(context: Any, count: int) -> None:
    """Count the responses after whose ends the process lived."""
    results = [each.get(timeout=PATIENCE_S) for each in context.waiting]
    assert sum(state in ANSWERING_STATES for state in results) == count, results
    context.waiting = []


@then("the process is known to live after {count:d} of them within {limit_s:g} s")
def known_within(context: Any, count: int, limit_s: float) -> None:
    """Count them, and check the time that they waited."""
    began_at = time.monotonic()
    known_to_live(context, count)
    assert time.monotonic() - began_at < limit_s, time.monotonic() - began_at


@then("{count:d} probe was sent")
@then("{count:d} probes were sent")
def probes_sent(context: Any, count: int) -> None:
    """Count the probes."""
    assert context.probe.sent == count, context.probe.sent


@given("an upstream that {replies} to probes")
def replies_so(context: Any, replies: str) -> None:
    """Start an upstream, or name an address at which none listens."""
    reply, address = REPLIES[replies], f"127.0.0.1:{free_port()}"
    if reply is not None:
        probed = ProbedUpstream(reply)
        context.add_cleanup(probed.stop)
        address = probed.address
    context.upstream = replace(upstream_of("p-1"), address=address, born=BORN)


@given("an engine whose entry {entry}, whose report {report} and that {replies} to other probes")
def engine_replies_so(context: Any, entry: str, report: str, replies: str) -> None:
    """Start an engine with a report."""
    answer = REPLIES[report]
    reply = REPLIES[replies]
    assert isinstance(answer, bytes) and reply is not None
    probed = ProbedUpstream(reply, answer)
    context.add_cleanup(probed.stop)
    born = BORN if entry == "names a start" else 0
    context.upstream = replace(upstream_of("p-1"), address=probed.address, born=born)


@when("its process is probed as that of an engine")
def probe_engine(context: Any) -> None:
    """Probe the process of an engine whose service has a health path."""
    dialect = PlatformDialect()
    context.state = dialect.probe_process(context.upstream, "/health", is_engine=True)


@when("its process is probed")
def probe(context: Any) -> None:
    """Probe the process once."""
    context.state = probe_process(context.upstream, "/health", ignore_signals, connect_directly)


@when("its process is probed without a health path")
def probe_connection(context: Any) -> None:
    """Probe the process once; it gets no request."""
    context.state = probe_process(context.upstream, "", ignore_signals, connect_directly)


@then("it is found {state:w}")
def found(context: Any, state: str) -> None:
    """Check the state."""
    assert context.state is ProcessState(state), context.state


@given("its first plain upstream is in back-off")
def in_backoff(context: Any) -> None:
    """Let the upstream ask for a pause."""
    world = world_of(context)
    context.plain = world.plain[0]
    world.state.backoff.request(context.plain.upstream_id, 5.0, world.state.now())


@when("a response of it ends")
def response_ends(context: Any) -> None:
    """Verify an end."""
    state = world_of(context).state
    upstream = world_of(context).entry(context.plain)
    context.process = state.end_verifier.check(upstream, state.now(), PATIENCE_S, "r1")


@then("its process is known to live, and no request has come")
def connected_only(context: Any) -> None:
    """Check the result, and that no request was sent."""
    plain = context.plain
    assert context.process in ANSWERING_STATES and not plain.probes and not plain.seen


@when("the head of a response {head} arrives")
def head_arrives(context: Any, head: str) -> None:
    """Let an exchange receive a head."""
    world = world_of(context)
    upstream = world.entry(world.plain[0])
    exchange = world.state.connect(upstream, 1.0, "r1")
    context.add_cleanup(exchange.close)
    exchange.sent_at = clock.now()
    status, request_id = HEADS[head]
    headers = () if request_id is None else ((b"X-Driftstall-Request-Id", request_id),)
    exchange.observe(ResponseHead(status, headers, ResponseFraming.CLOSE))


@then("it {counts} that its upstream lives")
def head_counts(context: Any, counts: str) -> None:
    """Check the verifier's evidence."""
    assert bool(world_of(context).state.end_verifier._answers) == (counts == "shows")
