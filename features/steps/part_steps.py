"""Check the pure parts, the settings and the command."""

from __future__ import annotations

import dataclasses
import io
import random
import shlex
import subprocess
import sys
import typing
from pathlib import Path
from typing import Any

import gevent
from behave import given, then, when

from driftstall.controllers.grant_messages import (
    Ask,
    Close,
    Granted,
    Progress,
    Refused,
    ResumeAsked,
    RunnersChanged,
    Tick,
    YieldAsked,
)
from driftstall.controllers.grants import GrantsController
from driftstall.controllers.membership import (
    MembershipController,
    Period,
    Seeds,
    SendTo,
)
from driftstall.controllers.placement import (
    LEASE_S,
    LONGEST_ORDER_S,
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
from driftstall.core import Instance, PrefixMark, Request, Verdict, Weights
from driftstall.decisions.fairness import FairQueue, Waiting
from driftstall.decisions.lengths import LearnedLengths
from driftstall.decisions.limits import TokenBucket
from driftstall.decisions.memory import NOTHING
from driftstall.decisions.prefixes import PrefixModel
from driftstall.decisions.retry import RetryBudget
from driftstall.decisions.survival import Survival, bucket_of
from driftstall.decisions.yielding import Candidate, choose_victim
from driftstall.exceptions import MessageError, PolicyError
from driftstall.helpers.trace import TraceRecorder, build_controller, replay
from driftstall.peers.codec import HEADER, decode, encode
from driftstall.peers.messages import Envelope, PeerMessage
from driftstall.policy.evaluate import explain
from driftstall.policy.model import Facts
from driftstall.policy.parse import parse_policy

KEY = b"a key for tests only"
FIRST = Verdict("first", 1, 0, 2.0, False, True, 1.0, 0.0)


def request_of(name: str, workspace: str = "w", tokens: int = 600) -> Request:
    """Return a request for tests."""
    return Request(name, workspace, "chat", "m", tokens, 1_000, (PrefixMark(len(name), tokens),))


@given("the policy text {text}")
def policy_text(context: Any, text: str) -> None:
    """Keep a policy's text."""
    context.policy_text = text


@given("a policy with {count:d} nested parentheses")
def nested_policy(context: Any, count: int) -> None:
    """Build a policy that nests deeply."""
    context.policy_text = (
        'policy "x" { rule a when ' + "(" * count + "load > 1" + ")" * count + " {} }"
    )


@then('it is refused at line {line:d}, column {column:d}, with "{fix}"')
def policy_refused(context: Any, line: int, column: int, fix: str) -> None:
    """Compare the fault."""
    try:
        parse_policy(context.policy_text)
    except PolicyError as fault:
        assert (fault.line, fault.column) == (line, column), str(fault)
        assert fix in fault.fix, str(fault)
        return
    raise AssertionError("the policy was accepted")


@then("each shipped policy is accepted and takes at most {steps:d} steps")
def shipped(context: Any, steps: int) -> None:
    """Parse the shipped policies."""
    paths = sorted(Path("examples").glob("*.policy"))
    assert len(paths) >= 3, paths
    for path in paths:
        assert parse_policy(path.read_text()).steps <= steps


@given('the shipped policy "{name}"')
def shipped_policy(context: Any, name: str) -> None:
    """Load one shipped policy."""
    context.policy = parse_policy(Path(f"examples/{name}.policy").read_text())


@when('a "{kind}" of {tokens:d} tokens is explained')
def explained(context: Any, kind: str, tokens: int) -> None:
    """Explain one request."""
    context.why = explain(context.policy, Facts(kind, "north", "base", tokens, 100, 0.0, 12))


@then('rule "{name}" decides with rank {rank:d} after rule "{other}" did not hold')
def decided(context: Any, name: str, rank: int, other: str) -> None:
    """Compare the explanation."""
    checks = [(one.rule, one.held) for one in context.why.checks]
    assert checks == [(other, False), (name, True)], checks
    assert context.why.verdict.rank == rank


@given("{ended:d} outputs of {short:d} tokens have ended and {running:d} run on past {long:d}")
def censored(context: Any, ended: int, short: int, running: int, long: int) -> None:
    """Observe outputs, some of them censored."""
    context.survival = Survival()
    for _ in range(ended):
        context.survival.enter(0, bucket_of(short))
        context.survival.finish(short)
    for _ in range(running):
        context.survival.enter(0, bucket_of(long))


@then("about half of new outputs are expected to outlive {tokens:d} tokens")
def about_half(context: Any, tokens: int) -> None:
    """Compare the forecast; without the running ones it would be near zero."""
    chance = context.survival.outlives(tokens)
    assert 0.35 <= chance <= 0.65, chance


@given("a kind whose outputs end at {tokens:d} tokens")
def kind_history(context: Any, tokens: int) -> None:
    """Teach one workspace of a kind."""
    context.lengths = LearnedLengths()
    for number in range(300):
        request = request_of(f"k{number}", "taught")
        context.lengths.progressed(request, 0, tokens)
        context.lengths.finished(request, tokens)


@then("a new workspace of that kind expects under {tokens:d} tokens")
def new_class(context: Any, tokens: int) -> None:
    """Ask for a class without history."""
    assert context.lengths.expected(request_of("new", "untaught")) < tokens
    assert LearnedLengths().expected(request_of("new", "untaught")) > tokens


@given('{count:d} requests of "{flood}" wait and then 1 of "{quiet}"')
def queue_up(context: Any, count: int, flood: str, quiet: str) -> None:
    """Fill a fair queue."""
    context.queue = FairQueue()
    for number in range(count):
        context.queue.push(_waiting(f"f{number}", flood, float(number)))
    context.queue.push(_waiting("q", quiet, 1e6))


def _waiting(name: str, workspace: str, since: float) -> Waiting:
    """Return a waiting request."""
    return Waiting("entry", request_of(name, workspace), FIRST, 700.0, since, 100.0, NOTHING)


@then('"{quiet}" is among the first two served')
def quiet_served(context: Any, quiet: str) -> None:
    """Serve twice."""
    served = []
    for _ in range(2):
        item = next(context.queue.candidates())
        context.queue.serve(item)
        served.append(item.request.workspace)
    assert quiet in served, served


@given("a limit of {rate:d} tokens a second")
def limit(context: Any, rate: int) -> None:
    """Fill a bucket."""
    context.bucket = TokenBucket.full(float(rate), 0.0)


@when("{reserved:d} tokens are reserved and {used:d} used")
def reserve(context: Any, reserved: int, used: int) -> None:
    """Reserve, then settle."""
    assert context.bucket.reserve(float(reserved), 0.0) == 0.0
    context.bucket.settle(float(reserved), float(used))


@then("{more:d} more can be reserved at once and {rest:d} more only {seconds:d} s later")
def reserve_more(context: Any, more: int, rest: int, seconds: int) -> None:
    """Reserve what is left, then wait."""
    assert context.bucket.reserve(float(more), 0.0) == 0.0
    assert context.bucket.reserve(float(rest), 0.0) == float(seconds)
    assert context.bucket.reserve(float(rest), float(seconds)) == 0.0


@given("{count:d} requests that all fail")
def failing(context: Any, count: int) -> None:
    """Spend a retry budget."""
    budget = RetryBudget()
    context.retries = 0
    for _ in range(count):
        budget.earn()
        context.retries += budget.spend()


@then("at most {count:d} retries are made")
def bounded(context: Any, count: int) -> None:
    """Compare."""
    assert 5 <= context.retries <= count, context.retries


@given("two conversations of one workspace are cached")
def conversations(context: Any) -> None:
    """Store two prefixes with a common part."""
    context.model = PrefixModel()
    context.one = (PrefixMark(1, 300), PrefixMark(2, 500))
    context.two = (PrefixMark(1, 300), PrefixMark(3, 700))
    context.model.store(context.one)
    context.model.store(context.two)


@then("their common instructions count once")
def counts_once(context: Any) -> None:
    """Compare the tokens held."""
    assert context.model.tokens == 300 + 200 + 400, context.model.tokens
    assert context.model.match((*context.one, PrefixMark(9, 900))) == 500


@then("a pinned conversation outlives the shrinking of the cache")
def pinned(context: Any) -> None:
    """Pin one, shrink to nothing, unpin, shrink again."""
    pin = context.model.pin(context.one)
    assert context.model.shrink(0) == [3]
    assert context.model.pinned == 500
    context.model.unpin(pin)
    assert context.model.shrink(0) == [2, 1]
    assert context.model.tokens == 0


@then("the right generation yields of four candidates")
def victim(context: Any) -> None:
    """Choose among candidates."""

    def candidate(name: str, rank: int, remaining: float, yields: int, may: bool) -> Candidate:
        return Candidate(name, rank, may, 1_000, 1_000, remaining, yields, 60.0)

    candidates = [
        candidate("better rank", 2, 500.0, 0, True),
        candidate("nearly done", 3, 10.0, 0, True),
        candidate("yielded before", 3, 500.0, 1, True),
        candidate("may not", 3, 500.0, 0, False),
        candidate("right", 3, 500.0, 0, True),
    ]
    chosen = choose_victim(candidates, 0)
    assert chosen is not None and chosen.grant_id == "right", chosen
    assert choose_victim(candidates, 3) is None


@given("a generation of a low rank has yielded to the first rank")
def has_yielded(context: Any) -> None:
    """Fill a runner with low ranks, then let the first rank wait."""
    context.controller = GrantsController("g", LearnedLengths(), random.Random(1))
    context.controller.handle(RunnersChanged("g", (("engine-1", 3_000, "z"),)), 0.0)
    low = dataclasses.replace(FIRST, rank=3, may_yield=True, wait_s=60.0)
    for number in range(8):
        context.controller.handle(Ask("g", "entry", request_of(f"low{number}"), low), 0.0)
    context.controller.handle(Ask("g", "entry", request_of("first"), FIRST), 6.0)
    actions = []
    for step in range(1, 15):
        actions += context.controller.handle(Tick(), 6.0 + 0.1 * step)
    context.yielded = [one.request_id for one in actions if isinstance(one, YieldAsked)]
    assert len(context.yielded) == 1, actions


@when("its runner leaves")
def its_runner_leaves(context: Any) -> None:
    """Take the runner out of the list."""
    context.actions = context.controller.handle(RunnersChanged("g", ()), 7.5)


@then("the generation is asked to go on at once")
def goes_on(context: Any) -> None:
    """Look for the resume."""
    resumed = [one.request_id for one in context.actions if isinstance(one, ResumeAsked)]
    assert resumed == context.yielded, context.actions


@given("a full runner that refuses with a time to come back")
def refused(context: Any) -> None:
    """Fill a runner, then ask until one is refused."""
    context.controller = GrantsController("g", LearnedLengths(), random.Random(1))
    context.controller.handle(RunnersChanged("g", (("engine-1", 3_000, "z"),)), 0.0)
    context.open = []
    context.refusal = None
    for number in range(40):
        event = Ask("g", "entry", request_of(f"r{number}"), FIRST)
        for action in context.controller.handle(event, number * 0.01):
            if isinstance(action, Granted):
                context.open.append(action.request_id)
    now = 0.4
    while context.refusal is None and now < 10:
        now += 0.1
        for action in context.controller.handle(Tick(), now):
            if isinstance(action, Refused) and context.refusal is None:
                context.refusal, context.refused_at = action, now
    assert context.refusal is not None


@then("the caller that comes back then is granted")
def comes_back(context: Any) -> None:
    """Let work end steadily, come back when told and wait for the grant."""
    refusal: Refused = context.refusal
    controller = context.controller
    back_at = context.refused_at + refusal.retry_after_s
    now, came, granted = context.refused_at, False, False
    while not granted and now < back_at + 2.0:
        now += 0.5
        actions = []
        if context.open:
            actions += controller.handle(Close("g", context.open.pop(0), 50, True), now)
        if now >= back_at and not came:
            came = True
            ask = Ask("g", "entry", request_of("back"), FIRST, refusal.ticket)
            actions += controller.handle(ask, now)
        actions += controller.handle(Tick(), now)
        for action in actions:
            if isinstance(action, Granted):
                context.open.append(action.request_id)
                granted = granted or action.request_id == "back"
            assert not (isinstance(action, Refused) and action.request_id == "back")
    assert granted, "the caller came back and was not granted"


@given("a holder whose lease has lapsed and a new one")
def lease_lapsed(context: Any) -> None:
    """Let one holder take the lease and another see it from the start."""
    context.old, context.new = PlacementController("old"), PlacementController("new")
    context.old.handle(LeaseRead(0, None), 0.0)
    context.old.handle(LeaseWritten(1), 0.1)
    lease = LeaseObject("old", 1, LEASE_S)
    assert context.new.handle(LeaseRead(1, lease), 0.2) == []
    assert context.new.handle(LeaseRead(1, lease), LEASE_S) == []
    actions = context.new.handle(LeaseRead(1, lease), LEASE_S + 0.3)
    assert [type(one) for one in actions] == [WriteLease], actions
    context.new.handle(LeaseWritten(2), LEASE_S + 0.4)


WANTED = (WantedModel("checking", "m2", "m1", True), WantedModel("trusting", "m2", "m1", False))


def _ordered(controller: PlacementController, at: float) -> list[str]:
    """Return which engines a holder orders at a time."""
    actions = controller.handle(PlacementPeriod(False, WANTED), at)
    return [one.runner_id for one in actions if isinstance(one, OrderLoad)]


@then("the new one orders the checking engine at once and the other 3 s later")
def orders_in_time(context: Any) -> None:
    """Compare the orders over time; the old holder's last order may still be on its way."""
    assert _ordered(context.new, LEASE_S + 0.5) == ["checking"]
    assert _ordered(context.new, LEASE_S + LONGEST_ORDER_S) == ["checking"]
    assert _ordered(context.new, LEASE_S + LONGEST_ORDER_S + 0.3) == ["checking", "trusting"]


@then("the old one orders nothing, even if it wakes up in between")
def old_is_quiet(context: Any) -> None:
    """Check the old holder right before and after its lease has run out."""
    assert _ordered(context.old, LEASE_S - WIRE_MARGIN_S - 0.1) == ["checking", "trusting"]
    assert _ordered(context.old, LEASE_S - WIRE_MARGIN_S + 0.1) == []
    assert _ordered(context.old, LEASE_S + 1.0) == []


def _run_members(
    nodes: dict[str, MembershipController], begin: float, end: float, cut: bool
) -> None:
    """Let members exchange messages, or lose them all."""
    now = begin
    while now < end:
        now += 0.1
        queue = [
            one
            for node in nodes.values()
            for one in node.handle(Period(), now)
            if isinstance(one, SendTo)
        ]
        while queue and not cut:
            action = queue.pop(0)
            answers = nodes[action.recipient].handle(action.message, now)
            queue += [one for one in answers if isinstance(one, SendTo)]


@given("two instances that are cut off from each other for an hour")
def cut_off(context: Any) -> None:
    """Let two instances meet, then cut them off."""
    both = [Instance(name, f"{name}:1", f"{name}:2", "z") for name in ("a", "b")]
    context.nodes = {
        one.instance_id: MembershipController(one, 1, random.Random(one.instance_id))
        for one in both
    }
    for node in context.nodes.values():
        node.handle(Seeds(tuple(both)), 0.0)
    _run_members(context.nodes, 0.0, 5.0, cut=False)
    assert all(len(node.live) == 2 for node in context.nodes.values())
    _run_members(context.nodes, 5.0, 3_605.0, cut=True)


@then("each holds the other for dead, and for live 5 s after the cut")
def join_again(context: Any) -> None:
    """Compare right after the cut and a little later."""
    assert all(len(node.live) == 1 for node in context.nodes.values())
    _run_members(context.nodes, 3_605.0, 3_610.0, cut=False)
    assert all(len(node.live) == 2 for node in context.nodes.values())


def sample(hint: Any, depth: int = 0) -> Any:
    """Return some value of a type hint."""
    if dataclasses.is_dataclass(hint) and isinstance(hint, type):
        hints = typing.get_type_hints(hint)
        return hint(*[sample(hints[one.name], depth + 1) for one in dataclasses.fields(hint)])
    if typing.get_origin(hint) is tuple:
        return tuple(sample(typing.get_args(hint)[0], depth + 1) for _ in range(2))
    if typing.get_args(hint):
        return sample(typing.get_args(hint)[0], depth + 1)
    return {str: "some text", int: 7, float: 2.5, bool: True}[hint]


@when("every kind of peer message is encoded in greenlets that switch")
def encode_all(context: Any) -> None:
    """Encode from nested calls in many greenlets."""
    context.sent = [sample(kind) for kind in typing.get_args(PeerMessage)]

    def work(message: Any, deep: int) -> bytes:
        if deep:
            gevent.sleep(0)
            return work(message, deep - 1)
        return encode(Envelope("a", "b", 1, message), KEY)

    jobs = [gevent.spawn(work, one, index % 5) for index, one in enumerate(context.sent * 4)]
    gevent.joinall(jobs, raise_error=True)
    context.frames = [one.value for one in jobs]


@then("all decode to what was sent")
def decode_all(context: Any) -> None:
    """Decode and compare."""
    for frame, message in zip(context.frames, context.sent * 4, strict=True):
        assert decode(frame[HEADER.size :], KEY).message == message


@then("a changed byte is rejected")
def tampered(context: Any) -> None:
    """Change each of some bytes."""
    frame = context.frames[0][HEADER.size :]
    for at in range(0, len(frame), 7):
        changed = bytearray(frame)
        changed[at] ^= 1
        try:
            decode(bytes(changed), KEY)
        except MessageError:
            continue
        raise AssertionError(f"a change at byte {at} was accepted")


@given("a trace recorded from a busy group")
def record(context: Any) -> None:
    """Record a group that grants, refuses and yields."""
    out = io.StringIO()
    recorder, controller = TraceRecorder(out), build_controller("g")
    controller.configure(Weights(6, 3, 1), 0.01)
    recorder.configured("g", Weights(6, 3, 1), 0.01)
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
        recorder.handled("g", event, at, controller.handle(event, at))
    context.lines = out.getvalue().splitlines()


@then("its replay gives the same actions")
def replays(context: Any) -> None:
    """Replay the trace."""
    assert '"Granted"' in "".join(context.lines) and '"Refused"' in "".join(context.lines)
    assert replay(context.lines) == []


@then("a changed outcome is found")
def changed_outcome(context: Any) -> None:
    """Change one stated outcome."""
    lines = [
        one.replace('"engine-1"', '"engine-2"') if '"Granted"' in one else one
        for one in context.lines
    ]
    assert replay(lines)


@when('the daemon is started with "{flags}"')
def start_daemon(context: Any, flags: str) -> None:
    """Start the daemon with wrong settings."""
    context.done = _run("driftstall", flags)


@when('the command runs "{arguments}"')
def run_command(context: Any, arguments: str) -> None:
    """Run the command."""
    context.done = _run("driftstall.cli.main", arguments)


def _run(module: str, arguments: str) -> subprocess.CompletedProcess[str]:
    """Run a module and collect its output."""
    command = [sys.executable, "-m", module, *shlex.split(arguments)]
    return subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)


@then('it ends with {code:d} and names "{words}"')
def ended(context: Any, code: int, words: str) -> None:
    """Compare the exit code and the output; there is never a traceback."""
    text = context.done.stdout + context.done.stderr
    assert context.done.returncode == code, (context.done.returncode, text)
    assert "Traceback" not in text, text
    for word in words.split(", "):
        assert word in text, (word, text)
