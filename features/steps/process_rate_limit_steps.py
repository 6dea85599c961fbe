"""Test on real processes that instances respect the rate limits that runners signal."""

from __future__ import annotations

import itertools
import time
from dataclasses import dataclass
from typing import Any, Final

import gevent
from behave import then, when

from features.steps.process_crash_steps import Reply, post
from features.steps.rate_limit_steps import CONTACT_S, most_in_window
from measures.bench import Process

PAUSE_S: Final = 0.05
REFUSED_PAUSE_S: Final = 0.25
NUMBERS: Final = itertools.count(1)


@dataclass(frozen=True, slots=True)
class Timed:
    """A response and its duration."""

    reply: Reply
    took_s: float


def prompt() -> dict[str, Any]:
    """Return the body of a short generation with a unique prompt."""
    content = f"please number {next(NUMBERS)} [length=12]"
    messages = [{"role": "user", "content": content}]
    return {"model": "base", "max_tokens": 50, "stream": True, "messages": messages}


def ask_on(context: Any, path: str, until: float) -> None:
    """Send requests as one caller until that time, to the instances in turn."""
    instances = itertools.cycle(context.own.instances)
    for _ in range(next(NUMBERS) % 3):
        next(instances)
    while time.monotonic() < until:
        started_at = time.monotonic()
        body = prompt() if path.startswith("/v1/") else {}
        reply = post(next(instances), path, body)
        context.timed.append(Timed(reply, time.monotonic() - started_at))
        gevent.sleep(PAUSE_S if reply.status == 200 else REFUSED_PAUSE_S)


def start_callers(context: Any, callers: int, path: str, seconds: float) -> None:
    """Start the callers."""
    context.timed = []
    context.ends_at = time.monotonic() + seconds
    context.asking = [gevent.spawn(ask_on, context, path, context.ends_at) for _ in range(callers)]


def name_limit(context: Any, runners: list[Process], after: float, per_s: float) -> None:
    """Let some runners signal a limit, and wait for the callers."""
    gevent.sleep(after)
    context.per_s, context.limited, context.since = per_s, runners, time.monotonic()
    for runner in runners:
        runner.control({"rate_limit": per_s})
    gevent.joinall(context.asking, raise_error=True)


@when(
    "{callers:d} callers make calls for {seconds:g} s, and from {after:g} s on {which} portal takes"
    " {per_s:g} a second"
)
def make_calls(
    context: Any, callers: int, seconds: float, after: float, which: str, per_s: float
) -> None:
    """Send calls to one service, some of whose runners signal a limit."""
    start_callers(context, callers, "/services/portal/x", seconds)
    portals = context.own.services
    name_limit(context, portals if which == "each" else portals[:1], after, per_s)


@when(
    "{callers:d} callers ask for generations for {seconds:g} s, and from {after:g} s on one engine"
    " takes {per_s:g} a second"
)
def ask_generations(context: Any, callers: int, seconds: float, after: float, per_s: float) -> None:
    """Request generations of one model, one of whose runners signals a limit."""
    start_callers(context, callers, "/v1/chat/completions", seconds)
    name_limit(context, context.own.engines[:1], after, per_s)


@then(
    "from {contact:g} s after it that runner gets at most {most:d} in any 4 s, and {share:g} of its"
    " limit"
)
def got(context: Any, contact: float, most: int, share: float) -> None:
    """Check the arrivals, whose times are on the machine's monotonic clock, too."""
    since = context.since + contact
    assert contact == CONTACT_S
    for runner in context.limited:
        times = [at for at in runner.stats()["arrivals"] if since <= at < context.ends_at]
        assert most_in_window(times) <= most, (runner.name, most_in_window(times), most)
        min_count = share * context.per_s * (context.ends_at - since)
        assert len(times) >= min_count, (runner.name, len(times), min_count)


@then("at least {share:d} in 100 of the answers are whole")
def whole(context: Any, share: int) -> None:
    """Check the share of successful responses."""
    bad = [timed for timed in context.timed if timed.reply.status != 200]
    assert len(bad) <= (1 - share / 100) * len(context.timed), (len(bad), bad[:3])


@then("who is refused is told so within {seconds:g} s, with a time to come back, and nothing ran")
def refused(context: Any, seconds: float) -> None:
    """Check that there are refusals, their time and their content."""
    found = [timed for timed in context.timed if timed.reply.status != 200]
    assert found
    for timed in found:
        assert timed.reply.status == 503 and timed.took_s <= seconds, timed
        assert float(timed.reply.retry_after) > 0 and b'"ran":"not run"' in timed.reply.body, timed
