"""Test length forecasts, fair queues, token buckets, prefix caches and the choice of victims."""

from __future__ import annotations

import dataclasses
import random
from typing import Any

from behave import given, then, when

from driftstall.controllers.grant_messages import (
    Ask,
    Close,
    Granted,
    Refused,
    ResumeAsked,
    RunnersChanged,
    Tick,
    YieldAsked,
)
from driftstall.controllers.grants import GrantsController
from driftstall.core import PrefixMark
from driftstall.decisions.fairness import FairQueue, WaitingRequest
from driftstall.decisions.lengths import LearnedLengths
from driftstall.decisions.limits import TokenBucket
from driftstall.decisions.memory import ZERO_FORECAST
from driftstall.decisions.prefixes import PrefixModel
from driftstall.decisions.retry import RetryBudget
from driftstall.decisions.survival import Survival, bucket_of
from driftstall.decisions.yielding import Candidate, choose_victim
from features.worlds.samples import FIRST, request_of


@given("{ended:d} outputs of {short:d} tokens have ended and {running:d} run on past {long:d}")
def censored(context: Any, ended: int, short: int, running: int, long: int) -> None:
    """Record outputs, some of them still running."""
    context.survival = Survival()
    for _ in range(ended):
        context.survival.enter(0, bucket_of(short))
        context.survival.finish(short)
    for _ in range(running):
        context.survival.enter(0, bucket_of(long))


@then("about half of new outputs are expected to outlive {tokens:d} tokens")
def about_half(context: Any, tokens: int) -> None:
    """Compare the forecast; without the running outputs it would be near zero."""
    probability = context.survival.survival_beyond(tokens)
    assert 0.35 <= probability <= 0.65, probability


@given("a kind whose outputs end at {tokens:d} tokens")
def kind_history(context: Any, tokens: int) -> None:
    """Record the outputs of one workspace of a kind."""
    context.lengths = LearnedLengths()
    for number in range(300):
        request = request_of(f"k{number}", "taught")
        context.lengths.record_progress(request, 0, tokens)
        context.lengths.record_finish(request, tokens)


@then("a new workspace of that kind expects under {tokens:d} tokens")
def new_class(context: Any, tokens: int) -> None:
    """Compare the expected output of a class without history."""
    assert context.lengths.expected_tokens(request_of("new", "untaught")) < tokens
    assert LearnedLengths().expected_tokens(request_of("new", "untaught")) > tokens


@given('{count:d} requests of "{flood}" wait and then 1 of "{quiet}"')
def queue_up(context: Any, count: int, flood: str, quiet: str) -> None:
    """Fill a fair queue."""
    context.queue = FairQueue()
    for number in range(count):
        context.queue.push(_waiting(f"f{number}", flood, float(number)))
    context.queue.push(_waiting("q", quiet, 1e6))


def _waiting(name: str, workspace: str, since: float) -> WaitingRequest:
    """Return a waiting request."""
    return WaitingRequest(
        "entry", request_of(name, workspace), FIRST, 700.0, since, 100.0, ZERO_FORECAST
    )


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
    """Create a full bucket."""
    context.bucket = TokenBucket.full(float(rate), 0.0)


@when("{reserved:d} tokens are reserved and {used:d} used")
def reserve(context: Any, reserved: int, used: int) -> None:
    """Reserve, then settle."""
    assert context.bucket.reserve(float(reserved), 0.0) == 0.0
    context.bucket.settle(float(reserved), float(used))


@then("{more:d} more can be reserved at once and {rest:d} more only {seconds:d} s later")
def reserve_more(context: Any, more: int, rest: int, seconds: int) -> None:
    """Reserve the remaining tokens, then wait for more."""
    assert context.bucket.reserve(float(more), 0.0) == 0.0
    assert context.bucket.reserve(float(rest), 0.0) == float(seconds)
    assert context.bucket.reserve(float(rest), float(seconds)) == 0.0


@given("{count:d} requests that all fail")
def failing(context: Any, count: int) -> None:
    """Spend a retry budget on requests that fail."""
    budget = RetryBudget()
    context.retries = 0
    for _ in range(count):
        budget.earn()
        context.retries += budget.spend()


@then("at most {count:d} retries are made")
def bounded(context: Any, count: int) -> None:
    """Check the number of retries."""
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
    """Check the tokens held."""
    assert context.model.tokens == 300 + 200 + 400, context.model.tokens
    assert context.model.match((*context.one, PrefixMark(9, 900))) == 500


@then("a pinned conversation outlives the shrinking of the cache")
def pinned(context: Any) -> None:
    """Pin one conversation, shrink to nothing, unpin it and shrink again."""
    pin = context.model.pin(context.one)
    assert context.model.shrink(0) == [3]
    assert context.model.pinned == 500
    context.model.unpin(pin)
    assert context.model.shrink(0) == [2, 1]
    assert context.model.tokens == 0


@then("the right generation yields of four candidates")
def victim(context: Any) -> None:
    """Choose among the candidates."""

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
    """Fill a runner with low ranks, then add a request of the first rank."""
    context.controller = GrantsController("g", LearnedLengths(), random.Random(1))
    context.controller.handle(RunnersChanged("g", (("engine-1", 3_000, "z"),)), 0.0)
    low = dataclasses.replace(FIRST, rank=3, may_yield=True, wait_s=60.0)
    for number in range(8):
        context.controller.handle(Ask("g", "entry", request_of(f"low{number}"), low), 0.0)
    context.controller.handle(Ask("g", "entry", request_of("first"), FIRST), 6.0)
    actions = []
    for step in range(1, 15):
        actions += context.controller.handle(Tick(), 6.0 + 0.1 * step)
    context.yielded = [action.request_id for action in actions if isinstance(action, YieldAsked)]
    assert len(context.yielded) == 1, actions


@when("its runner leaves")
def its_runner_leaves(context: Any) -> None:
    """Remove the runner from the list."""
    context.actions = context.controller.handle(RunnersChanged("g", ()), 7.5)


@then("the generation is asked to go on at once")
def goes_on(context: Any) -> None:
    """Check that the resume is requested."""
    resumed = [action.request_id for action in context.actions if isinstance(action, ResumeAsked)]
    assert resumed == context.yielded, context.actions


@given("a full runner that refuses with a time to come back")
def refused(context: Any) -> None:
    """Fill a runner until a request is refused."""
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
    """Close generations steadily, retry at the stated time and wait for the grant."""
    refusal: Refused = context.refusal
    controller = context.controller
    back_at = context.refused_at + refusal.retry_after_s
    now, has_returned, is_granted = context.refused_at, False, False
    while not is_granted and now < back_at + 2.0:
        now += 0.5
        actions = []
        if context.open:
            actions += controller.handle(Close("g", context.open.pop(0), 50, True), now)
        if now >= back_at and not has_returned:
            has_returned = True
            ask = Ask("g", "entry", request_of("back"), FIRST, refusal.ticket)
            actions += controller.handle(ask, now)
        actions += controller.handle(Tick(), now)
        for action in actions:
            if isinstance(action, Granted):
                context.open.append(action.request_id)
                is_granted = is_granted or action.request_id == "back"
            assert not (isinstance(action, Refused) and action.request_id == "back")
    assert is_granted, "the caller came back and was not granted"
