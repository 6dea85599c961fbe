"""Test the queue for engine memory between instances, and its use in placement."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, Final

from behave import given, then, when

from driftstall.core import Verdict
from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.loads import FLEET_KEY, Use
from driftstall.gateway.routes import RouteTable
from driftstall.gateway.scheduling import queue_client, queue_service
from driftstall.gateway.scheduling.memory_queue import MemoryQueue
from driftstall.gateway.scheduling.queue_messages import (
    MemoryGranted,
    MemoryRefused,
    QueueAnswered,
    QueueAsked,
    QueueLeft,
    QueueOutcome,
    RunsReported,
)
from driftstall.platform.documents import read_routing
from driftstall.policy.evaluate import evaluate
from driftstall.policy.model import Facts
from driftstall.policy.parse import parse_policy
from features.worlds.gateway_world import (
    document,
    route,
    runs,
    script_upstreams,
    wait_for,
    world_of,
)
from features.worlds.queue_world import (
    ENGINE,
    ENGINE_TOKENS,
    FIRST,
    MEMBER,
    OTHER,
    RUN_TOKENS,
    SECOND,
    QueueWorld,
    Sent,
    held_run,
    question,
    queued_document,
    run_for_scenario,
)
from stand_ins.routed import Script

PLACERS: Final = {"first": FIRST, "second": SECOND}
EXPECTED_TOKENS: Final = 400
STREAM_TOKENS: Final = 1_000 + EXPECTED_TOKENS // 2
"""Engine memory that a stream of the small fleet is expected to need on average."""


def queues_of(context: Any) -> QueueWorld:
    """Return the scenario's instances."""
    world: QueueWorld = context.queues
    return world


def answers_with(outcome: QueueOutcome) -> Callable[[Sent], bool]:
    """Return a test for the placers' answers of one kind."""
    return lambda sent: isinstance(sent.message, QueueAnswered) and sent.message.outcome is outcome


@given("two placers and a member, and an engine for one generation")
def two_placers(context: Any) -> None:
    """Start the instances, and record the service's log lines."""
    run_for_scenario(context)
    context.logged = []
    context.add_cleanup(setattr, queue_service, "log_event", queue_service.log_event)
    queue_service.log_event = lambda _, text, **fields: context.logged.append(fields)
    context.queues = QueueWorld()


@given("the first question to the first placer is lost")
def question_lost(context: Any) -> None:
    """Lose one message."""
    queues = queues_of(context)

    def loses(sent: Sent) -> bool:
        is_first = len(queues.messages(QueueAsked, FIRST)) == 1
        return isinstance(sent.message, QueueAsked) and sent.recipient == FIRST and is_first

    queues.loses = loses


@given("a generation of another instance holds the engine")
def engine_held(context: Any) -> None:
    """Report a run."""
    queues_of(context).report(held_run("held"))


@when('the member asks for memory for "{request_id}"')
@given('the member asks for memory for "{request_id}"')
def member_asks(context: Any, request_id: str) -> None:
    """Ask, and wait until the question is answered."""
    queues = queues_of(context)
    queues.ask(request_id)
    wait_for(
        "an answer",
        lambda: (
            queues.outcomes[request_id].ready()
            or any(queue.waiting for queue in queues.queues.values())
        ),
    )


@when('the member asks for memory for two requests, "{first}" and "{second}"')
def member_asks_twice(context: Any, first: str, second: str) -> None:
    """Ask for two requests, of which the first is more urgent."""
    queues = queues_of(context)
    queues.ask(first)
    queues.ask(second)
    wait_for("both wait", lambda: queues.queues[FIRST].waiting == 2)


@when('the member asks for memory for a prompt of {tokens:d} tokens, "{request_id}"')
def member_asks_large(context: Any, request_id: str, tokens: int) -> None:
    """Ask for a generation of a certain size."""
    queues_of(context).ask(request_id, tokens)


@then('"{request_id}" is granted the engine once')
def granted_once(context: Any, request_id: str) -> None:
    """Check the outcome, and that the placers together count one run."""
    queues = queues_of(context)
    outcome = queues.outcome(request_id)
    assert isinstance(outcome, MemoryGranted) and outcome.upstream_id == ENGINE, outcome
    wait_for("one run", lambda: queues.running(FIRST) + queues.running(SECOND) == 1)


@then('"{request_id}" is granted the engine by the first placer at once')
def granted_at_once(context: Any, request_id: str) -> None:
    """Check the outcome of the first question."""
    queues = queues_of(context)
    outcome = queues.outcome(request_id)
    assert isinstance(outcome, MemoryGranted) and outcome.placer == FIRST, outcome
    assert {row.outcome for row in queues.messages(QueueAnswered)} == {QueueOutcome.GRANTED}


@when("the generation of the other instance ends, and the next answer is lost")
def held_ends_and_loss(context: Any) -> None:
    """Lose the first grant."""
    queues, is_grant = queues_of(context), answers_with(QueueOutcome.GRANTED)

    def loses(sent: Sent) -> bool:
        return is_grant(sent) and sum(map(is_grant, queues.sent)) == 1

    queues.loses = loses
    queues.report()


@then("the first placer has sent the same grant twice, and counts it once")
def same_grant(context: Any) -> None:
    """Compare the answers."""
    queues = queues_of(context)
    answers = queues.messages(QueueAnswered, sender=FIRST)
    first, second = [row for row in answers if row.outcome is QueueOutcome.GRANTED]
    assert first == second, (first, second)
    assert queues.running(FIRST) == 1
    assert queues.states[FIRST].stats.queue_granted == 1


@given("the first placer receives nothing")
def first_silent(context: Any) -> None:
    """Lose all messages to the first placer."""
    queues_of(context).loses = lambda sent: sent.recipient == FIRST


@given("no placer receives anything")
def both_silent(context: Any) -> None:
    """Lose all questions."""
    queues_of(context).loses = lambda sent: sent.recipient in (FIRST, SECOND)


@then('"{request_id}" is granted nothing, and the member chooses by itself')
def granted_nothing(context: Any, request_id: str) -> None:
    """Check the outcome and that each placer was asked once."""
    queues = queues_of(context)
    assert queues.outcome(request_id) is None
    assert len(queues.messages(QueueAsked, FIRST)) == 1
    assert len(queues.messages(QueueAsked, SECOND)) == 1


@then('"{request_id}" is granted the engine by the second placer')
def granted_by_second(context: Any, request_id: str) -> None:
    """Check the outcome; the member reports the run."""
    queues = queues_of(context)
    outcome = queues.outcome(request_id)
    assert isinstance(outcome, MemoryGranted), outcome
    assert (outcome.upstream_id, outcome.placer) == (ENGINE, SECOND), outcome
    assert queues.states[MEMBER].stats.queue_placer_changes >= 1
    queues.report(held_run(request_id), sender=MEMBER)


@then("a later question goes to the second placer at once")
def asks_second(context: Any) -> None:
    """Ask again; the first placer is excluded."""
    queues = queues_of(context)
    asked_before = len(queues.messages(QueueAsked, FIRST))
    queues.ask("later")
    wait_for("it waits", lambda: queues.queues[SECOND].waiting == 1)
    assert len(queues.messages(QueueAsked, FIRST)) == asked_before


@when("the first placer ends")
def first_ends(context: Any) -> None:
    """Lose all messages from and to the first placer."""
    queues_of(context).loses = lambda sent: FIRST in (sent.sender, sent.recipient)


@then('"{first}" and "{second}" wait at the second placer')
def wait_at_second(context: Any, first: str, second: str) -> None:
    """Wait for the repeated questions."""
    queues = queues_of(context)
    wait_for("both wait", lambda: queues.queues[SECOND].waiting == 2)
    assert not queues.outcomes[first].ready() and not queues.outcomes[second].ready()


@when("the generation of the other instance ends")
def held_ends(context: Any) -> None:
    """Report no runs."""
    queues_of(context).report()


@then('"{request_id}" waits on, as the engine is full')
def waits_on(context: Any, request_id: str) -> None:
    """Check that the request still waits after it has asked again."""
    queues = queues_of(context)
    queues.report(held_run("r1"), sender=MEMBER)
    asked = len(queues.messages(QueueAsked, SECOND))
    wait_for("a repeat", lambda: len(queues.messages(QueueAsked, SECOND)) > asked)
    assert not queues.outcomes[request_id].ready() and queues.queues[SECOND].waiting == 1


@given("the answers of the first placer are late")
def answers_late(context: Any) -> None:
    """Delay the answers."""
    queues_of(context).delays = lambda sent: sent.sender == FIRST


@then("once the late grant has arrived, the first placer counts nothing")
def late_grant(context: Any) -> None:
    """Deliver the answers; the member releases the grant."""
    queues = queues_of(context)
    wait_for("a grant", lambda: queues.states[FIRST].stats.queue_granted == 1)
    queues.report(held_run("r1"), sender=MEMBER)
    queues.deliver_delayed()
    wait_for("one run each", lambda: queues.running(FIRST) == queues.running(SECOND) == 1)
    runs_on = queues.queues[FIRST].ledger.runs_on(ENGINE)
    assert [row.run for row in runs_on] == [held_run("r1")], runs_on


@then("nothing waits at the first placer")
def nothing_waits(context: Any) -> None:
    """Wait until the request has left."""
    queues = queues_of(context)
    wait_for("nothing waits", lambda: queues.queues[FIRST].waiting == 0)


@given('that instance asks for memory for "{request_id}"')
def other_asks(context: Any, request_id: str) -> None:
    """Ask on behalf of an instance that does not repeat it."""
    queues = queues_of(context)
    queues.queues[FIRST].handle(question(request_id, OTHER))
    assert queues.queues[FIRST].waiting == 1


@when("the clock advances by {seconds:g} s")
@when("the clock advances by {seconds:g} s, without a pass")
def clock_advances(context: Any, seconds: float) -> None:
    """Let the time pass."""
    queues_of(context).pass_time(seconds)


@then("the engine is free at both placers")
def free_at_both(context: Any) -> None:
    """Check the ledgers; a report of another instance is enough to let old ones expire."""
    queues = queues_of(context)
    queues.report(sender=MEMBER)
    for name in (FIRST, SECOND):
        assert queues.running(name) == 0, name


@given("the reports of all instances ended 60 s ago, but the sums show the engine full")
def reports_ended(context: Any) -> None:
    """Let the reports expire, and set the exchanged sums."""
    queues = queues_of(context)
    queues.pass_time(60.0)
    sums = [Use(ENGINE, running=1, tokens=RUN_TOKENS)]
    queues.states[FIRST].loads.record_peer(FLEET_KEY, sums, queues.now())


@then('"{request_id}" waits at the first placer')
def waits_at_first(context: Any, request_id: str) -> None:
    """Check that the request waits, also after a repeated question."""
    queues = queues_of(context)
    wait_for("a repeat", lambda: len(queues.messages(QueueAsked, FIRST)) >= 2)
    assert not queues.outcomes[request_id].ready(), queues.outcomes[request_id].value
    assert queues.queues[FIRST].waiting == 1


@given("questions are repeated after a minute only")
def repeats_late(context: Any) -> None:
    """Set the interval of repeats: what happens now does not depend on one."""
    context.add_cleanup(setattr, queue_client, "REPEAT_INTERVAL_S", queue_client.REPEAT_INTERVAL_S)
    queue_client.REPEAT_INTERVAL_S = 60.0  # type: ignore[misc]


@when('the caller of "{request_id}" disconnects')
def caller_disconnects(context: Any, request_id: str) -> None:
    """Cancel a request."""
    queues_of(context).canceled.add(request_id)


@then("the placer is told before the question is repeated, and nothing waits there")
def told_at_once(context: Any) -> None:
    """Count the questions at the time of the message."""
    queues = queues_of(context)
    wait_for("it has left", lambda: bool(queues.messages(QueueLeft, FIRST)))
    assert len(queues.messages(QueueAsked, FIRST)) == 1, queues.sent
    wait_for("nothing waits", lambda: queues.queues[FIRST].waiting == 0)
    assert queues.outcome("r1") is None


@then("the engine is free at the first placer")
def free_at_first(context: Any) -> None:
    """Wait until the first placer counts no run."""
    queues = queues_of(context)
    wait_for("the engine is free", lambda: queues.running(FIRST) == 0)


@when('the first placer grants "{request_id}" to the member, whose request has left')
def grants_too_late(context: Any, request_id: str) -> None:
    """Ask on behalf of the member, which does not wait for the answer."""
    queues = queues_of(context)
    queues.queues[FIRST].handle(question(request_id, MEMBER))
    assert queues.running(FIRST) == 1


@when('"{request_id}" has run and ended, and is sent again while the engine is full')
def sent_again(context: Any, request_id: str) -> None:
    """Ask twice with the same id, as a caller that retries a stream that broke off."""
    queues = queues_of(context)
    queues.ask(request_id)
    assert isinstance(queues.outcome(request_id), MemoryGranted)
    queues.report(held_run(request_id), sender=MEMBER)
    queues.report(sender=MEMBER)
    queues.report(held_run("held"))
    queues.pass_time(0.3)
    queues.ask(request_id)


@when('the member asks for memory for "{request_id}" of two callers')
def two_callers_ask(context: Any, request_id: str) -> None:
    """Ask twice with the same id."""
    queues = queues_of(context)
    queues.ask(request_id)
    context.callers = [queues.outcomes[request_id]]
    queues.ask(request_id)
    context.callers.append(queues.outcomes[request_id])


@then("both wait at the first placer, and both ask again there")
def both_wait(context: Any) -> None:
    """Wait for the repeated questions; none of the answers is missed."""
    queues = queues_of(context)
    wait_for("both wait", lambda: queues.queues[FIRST].waiting == 2)
    wait_for("repeats", lambda: len(queues.messages(QueueAsked, FIRST)) >= 4)
    assert not queues.messages(QueueAsked, SECOND)


@then("one of the two is granted the engine, and the other one waits")
def one_granted(context: Any) -> None:
    """Check both outcomes."""
    queues = queues_of(context)
    wait_for("one outcome", lambda: any(caller.ready() for caller in context.callers))
    assert queues.queues[FIRST].waiting == 1
    (granted,) = [caller.get() for caller in context.callers if caller.ready()]
    assert isinstance(granted, MemoryGranted), granted


@then('the log line of "{request_id}" has its wait, its forecast and the age of the oldest report')
def logged_with_inputs(context: Any, request_id: str) -> None:
    """Check the fields of the grant: the forecast and the reports are as old as the clock says."""
    queues = queues_of(context)
    assert isinstance(queues.outcome(request_id), MemoryGranted)
    (line,) = [fields for fields in context.logged if fields["request"] == request_id]
    assert line["waited_ms"] >= 200 and line["report_age_ms"] >= 200, line
    assert line["forecast_s"] > 10.0 and line["free_tokens"] == ENGINE_TOKENS, line
    assert line["position"] == 0, line


@given("the first placer has no configuration")
def no_configuration(context: Any) -> None:
    """Remove the configuration."""
    queues_of(context).states[FIRST].route_table = None


@given("another engine is idle but ejected")
def other_ejected(context: Any) -> None:
    """List a second engine, which has failed."""
    queues = queues_of(context)
    queues.list_engines(ENGINE, "engine-2")
    for state in queues.states.values():
        state.outcomes.is_ejected = (  # type: ignore[method-assign]
            lambda upstream_id, now: upstream_id == "engine-2"
        )


@when("a run of the member has started and ended")
def member_runs(context: Any) -> None:
    """Let a run start, be reported, and end just after the reports."""
    queues = queues_of(context)
    state = queues.states[MEMBER]
    verdict = SimpleNamespace(waits_at_rank=0)
    metadata = SimpleNamespace(input_tokens=RUN_TOKENS, length_hint=0)
    run = SimpleNamespace(
        request_id="r1",
        upstream=SimpleNamespace(upstream_id=ENGINE, service="engines"),
        admitted=SimpleNamespace(metadata=metadata, verdict=verdict),
        request=None,
        held_tokens=RUN_TOKENS,
        generating_s=None,
        tokens=0,
        events=0,
        backup=None,
        replica_target=None,
    )
    state.expected_tokens = lambda *_: 0  # type: ignore[method-assign]
    state.runs = SimpleNamespace(all=(run,))  # type: ignore[assignment]
    state.runs_changed.set()
    wait_for("reports", lambda: queues.running(FIRST) == queues.running(SECOND) == 1)
    state.runs = SimpleNamespace(all=())  # type: ignore[assignment]
    state.runs_changed.set()


@then("both placers are told that nothing runs")
def both_told(context: Any) -> None:
    """Wait for the empty reports."""
    queues = queues_of(context)
    for name in (FIRST, SECOND):
        wait_for(
            f"an empty report at {name}",
            lambda name=name: any(  # type: ignore[misc]
                not report.runs for report in queues.messages(RunsReported, name, MEMBER)
            ),
        )
        wait_for("no run", lambda name=name: queues.running(name) == 0)  # type: ignore[misc]


@given("a gateway before two plain upstreams and three engines, whose streams wait in a queue")
def queued_gateway(context: Any) -> None:
    """Start a gateway whose document ranks short streams before long ones."""
    context.execute_steps("Given a gateway before two plain upstreams and three engines")
    world_of(context).use(queued_document())


def connect_queue(context: Any, roles: FleetRoles) -> MemoryQueue:
    """Connect the gateway to a queue of its own fleet."""
    run_for_scenario(context)
    state = world_of(context).state
    queue = MemoryQueue(
        state, roles=lambda: roles, send=lambda *_: None, placer_gate=state.cold_gate
    )
    queue.start()
    return queue


@given("the gateway's fleet is large and has no placer")
def no_placer(context: Any) -> None:
    """Connect a queue that nobody holds."""
    connect_queue(context, FleetRoles(is_large=True))


@given("each engine has memory for {count:d} streams")
def memory_for(context: Any, count: int) -> None:
    """Set the engines' memory, and stop the clock: grants do not expire in this scenario."""
    world = world_of(context)
    memory_tokens = int((count + 0.5) * STREAM_TOKENS)
    world.use(queued_document(kvCacheTokens=memory_tokens, backups=False))
    world.state.expected_tokens = lambda *_: EXPECTED_TOKENS  # type: ignore[method-assign]
    context.queue = connect_queue(context, FleetRoles())
    at = world.state.now()
    world.state.now = lambda: at  # type: ignore[method-assign]


@when("{count:d} streams are asked, and {some:d} of them run")
def streams_asked(context: Any, count: int, some: int) -> None:
    """Request streams that pause after their first event."""
    world = world_of(context)
    context.scripts = {f"s{number}": Script(pause_after=1) for number in range(count)}
    context.asked = []
    for request_id, script in context.scripts.items():
        script_upstreams(world, request_id, [script])
        context.asked.append(world.ask_later("/stream/a", request_id))
    wait_for(
        "they run",
        lambda: sum(len(runs(world, request_id)) for request_id in context.scripts) == some,
    )


@then("{count:d} wait in the instance's own queue until a stream ends")
def wait_until_end(context: Any, count: int) -> None:
    """Let one stream end, then all."""
    world, queue = world_of(context), context.queue
    wait_for("the others wait", lambda: queue.waiting == count)
    running = [name for name in context.scripts if runs(world, name)]
    context.scripts[running[0]].gate.set()
    wait_for("one is granted", lambda: queue.waiting == count - 1)
    for script in context.scripts.values():
        script.gate.set()
    answers = [greenlet.get(timeout=5.0) for greenlet in context.asked]
    assert all(answer.status == 200 and answer.whole for answer in answers), answers
    wait_for("no grant is counted", lambda: not list(queue.ledger.runs()))


@given("the fleet's queue must not be asked")
def queue_forbidden(context: Any) -> None:
    """Fail if the queue is asked."""

    def acquire(asked: QueueAsked, _: Callable[[], bool]) -> None:
        raise AssertionError(f"{asked.request_id} asked for memory")

    world_of(context).state.acquire_memory = acquire


@given("the placer grants an engine that has left, and then another one")
def grants_left(context: Any) -> None:
    """Answer with an engine that is not listed, then with a listed one."""
    world = world_of(context)
    context.questions, context.left = [], []

    def acquire(asked: QueueAsked, _: Callable[[], bool]) -> MemoryGranted:
        context.questions.append(asked)
        engine = "gone" if len(context.questions) == 1 else world.engines[1].upstream_id
        return MemoryGranted(engine, "", FIRST)

    world.state.acquire_memory = acquire
    world.state.leave_queue = lambda *left: context.left.append(left)


@then("the first grant was given back, and the engine that has left was not to be granted again")
def given_back(context: Any) -> None:
    """Check the questions and the released grant."""
    first, second = context.questions
    assert first.avoid == () and second.avoid == ("gone",), context.questions
    assert context.left == [("s1", FIRST)], context.left
    assert runs(world_of(context), "s1") == [world_of(context).engines[1]]


@given("the placer refuses for {seconds:g} s")
def placer_refuses(context: Any, seconds: float) -> None:
    """Answer with a refusal."""
    state = world_of(context).state
    state.acquire_memory = lambda *_: MemoryRefused(seconds, 20.0)


@given("the placer answers nothing until the caller would give up")
def no_answer_in_time(context: Any) -> None:
    """Let the time of the question pass."""
    world = world_of(context)

    def acquire(asked: QueueAsked, _: Callable[[], bool]) -> None:
        world.pass_time(asked.gives_up_s)

    world.state.acquire_memory = acquire


@then("it is refused with 503, to come back after {seconds:g} s, and was not run")
def refused_until(context: Any, seconds: float) -> None:
    """Check the answer and its time."""
    refused_not_run(context)
    assert float(context.answer.headers["retry-after"]) == seconds, context.answer


@then("it is refused with 503 and was not run")
def refused_not_run(context: Any) -> None:
    """Check the answer."""
    context.execute_steps("Then the answer is 503 and tells that nothing ran")


@then('no engine was sent "{request_id}"')
def nothing_sent(context: Any, request_id: str) -> None:
    """Check what the engines have received."""
    assert runs(world_of(context), request_id) == []


@then("a service is queued only if it has an engine and its urgent streams have shorter timeouts")
def queued_services(context: Any) -> None:
    """Compare documents with and without what calls for a queue."""

    def is_queued(raw: dict[str, Any]) -> bool:
        return RouteTable.from_document(read_routing(raw)).queues("engines")

    longer = document()
    longer["routes"].append(
        route("brief", "/brief/", "streaming", "engines", priority=0, timeoutMs=4000)
    )
    call = document()
    call["routes"].append(route("brief", "/brief/", "safe", "engines", priority=0, timeoutMs=2000))
    no_engine = queued_document()
    no_engine["services"][1].pop("engine")
    assert is_queued(queued_document())
    assert not any(is_queued(raw) for raw in (document(), longer, call, no_engine))


@given('a policy with "{clauses}" and one with "{others}"')
def two_policies(context: Any, clauses: str, others: str) -> None:
    """Parse two policies of one rule."""
    context.policies = [
        parse_policy(f'policy "x" {{ rule a {{ {text} }} }}') for text in (clauses, others)
    ]


@then(
    "requests wait at rank {first:d} by the first and at rank {second:d} by the second,"
    " and run at rank {rank:d}"
)
def wait_at_ranks(context: Any, first: int, second: int, rank: int) -> None:
    """Compare the verdicts."""
    facts = Facts("stream", "north", "base", 100, 100, 0.0, 12)
    verdicts: list[Verdict] = [evaluate(policy, facts) for policy in context.policies]
    assert [verdict.waits_at_rank for verdict in verdicts] == [first, second], verdicts
    assert [verdict.rank for verdict in verdicts] == [rank, rank], verdicts
