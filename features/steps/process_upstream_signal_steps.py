"""Test on real processes that instances act on the signals in runners' responses."""

from __future__ import annotations

import itertools
import time
from typing import Any, Final

import gevent
from behave import then, when

from features.steps.process_crash_steps import post
from features.steps.process_rate_limit_steps import (
    PAUSE_S,
    REFUSED_PAUSE_S,
    Timed,
    prompt,
)

SLACK_S: Final = 0.1
REJECTED_KNOWN_S: Final = 0.5
PATHS: Final = {
    "make calls at one instance": "/services/portal/x",
    "ask one instance for generations": "/v1/chat/completions",
}
NUMBERS: Final = itertools.count(1)


def ask_on(context: Any, path: str, until: float) -> None:
    """Send requests to one instance as one caller until that time."""
    while time.monotonic() < until:
        started_at = time.monotonic()
        body = prompt() if path.startswith("/v1/") else {}
        reply = post(context.own.instances[0], path, body)
        context.timed.append(Timed(reply, time.monotonic() - started_at))
        gevent.sleep(PAUSE_S if reply.status == 200 else REFUSED_PAUSE_S)


@when(
    "{callers:d} callers {what} for {seconds:g} s, and from {after:g} s on {which} {kind} signals"
    " that it leaves"
)
def runner_leaves(
    context: Any, callers: int, what: str, seconds: float, after: float, which: str, kind: str
) -> None:
    """Let some runners signal that they leave."""
    run_callers(context, callers, what, seconds, after, which, {"leaves": True})


@when(
    "{callers:d} callers {what} for {seconds:g} s, and from {after:g} s on {which} {kind} rejects"
    " all with a back-off of {for_s:g} s"
)
def runner_rejects(
    context: Any,
    callers: int,
    what: str,
    seconds: float,
    after: float,
    which: str,
    kind: str,
    for_s: float,
) -> None:
    """Let some runners reject their requests."""
    context.backoff_s = for_s
    run_callers(context, callers, what, seconds, after, which, {"backoff_s": for_s})


def run_callers(
    context: Any,
    callers: int,
    what: str,
    seconds: float,
    after: float,
    which: str,
    script: dict[str, Any],
) -> None:
    """Run callers against one instance, and script some runners meanwhile."""
    path, context.timed = PATHS[what], []
    until = time.monotonic() + seconds
    asking = [gevent.spawn(ask_on, context, path, until) for _ in range(callers)]
    runners = context.own.engines if path.startswith("/v1/") else context.own.services
    context.signalling = runners if which == "each" else runners[:1]
    gevent.sleep(after)
    for runner in context.signalling:
        runner.control(script)
    gevent.joinall(asking, raise_error=True)


@then("from {seconds:g} s after its first such response it gets nothing")
def nothing_after(context: Any, seconds: float) -> None:
    """Compare arrivals with the runner's first response that signalled leaving."""
    for runner in context.signalling:
        stats = runner.stats()
        since = stats["signalled_at"][0] + seconds
        late = [round(at - since, 2) for at in stats["arrivals"] if at > since]
        assert not late, (runner.name, len(late), late[:5])


@then("it gets nothing between {seconds:g} s after a rejection and the end of its back-off")
def backoff_kept(context: Any, seconds: float) -> None:
    """Compare arrivals with the runner's rejections."""
    for runner in context.signalling:
        stats = runner.stats()
        rejected = stats["signalled_at"]
        assert rejected
        sent = [
            round(at - rejection, 2)
            for rejection in rejected
            for at in stats["arrivals"]
            if rejection + seconds < at < rejection + context.backoff_s
        ]
        assert not sent, (runner.name, len(sent), sent[:5])


@then(
    "who is refused is told so within {seconds:g} s, with a time to come back of at most {most:g} s"
)
def refused(context: Any, seconds: float, most: float) -> None:
    """Check that there are refusals, their time and their content."""
    found = [timed for timed in context.timed if timed.reply.status != 200]
    assert found
    for timed in found:
        assert timed.reply.status == 503 and timed.took_s <= seconds + SLACK_S, timed
        assert 0 < float(timed.reply.retry_after) <= most, timed
        assert b'"ran":"not run"' in timed.reply.body, timed
    assert max(float(timed.reply.retry_after) for timed in found) > most / 2
