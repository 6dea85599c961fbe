"""Check that the own interface heeds what runners signal with responses."""

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
    """Ask one instance again and again as one caller."""
    while time.monotonic() < until:
        began = time.monotonic()
        body = prompt() if path.startswith("/v1/") else {}
        reply = post(context.own.instances[0], path, body)
        context.timed.append(Timed(reply, time.monotonic() - began))
        gevent.sleep(PAUSE_S if reply.status == 200 else REFUSED_PAUSE_S)


@when(
    "{callers:d} callers {what} for {seconds:g} s, and from {after:g} s on {which} {kind} signals"
    " that it leaves"
)
def runner_leaves(
    context: Any, callers: int, what: str, seconds: float, after: float, which: str, kind: str
) -> None:
    """Have some runners signal that they leave."""
    play(context, callers, what, seconds, after, which, {"leaves": True})


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
    """Have some runners reject what they get."""
    context.backoff_s = for_s
    play(context, callers, what, seconds, after, which, {"backoff_s": for_s})


def play(
    context: Any,
    callers: int,
    what: str,
    seconds: float,
    after: float,
    which: str,
    script: dict[str, Any],
) -> None:
    """Have callers ask one instance, and some runners signal something meanwhile."""
    path, context.timed = PATHS[what], []
    until = time.monotonic() + seconds
    asking = [gevent.spawn(ask_on, context, path, until) for _ in range(callers)]
    runners = context.own.engines if path.startswith("/v1/") else context.own.services
    context.signalling = runners if which == "each" else runners[:1]
    gevent.sleep(after)
    for one in context.signalling:
        one.control(script)
    gevent.joinall(asking, raise_error=True)


@then("from {seconds:g} s after its first such response it gets nothing")
def nothing_after(context: Any, seconds: float) -> None:
    """Compare its arrivals with its first response that signalled leaving."""
    for runner in context.signalling:
        stats = runner.stats()
        since = stats["signalled_at"][0] + seconds
        late = [round(at - since, 2) for at in stats["arrivals"] if at > since]
        assert not late, (runner.name, len(late), late[:5])


@then("it gets nothing between {seconds:g} s after a rejection and the end of its back-off")
def backoff_kept(context: Any, seconds: float) -> None:
    """Compare its arrivals with its rejections."""
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
    """Look at the refusals."""
    found = [one for one in context.timed if one.reply.status != 200]
    assert found
    for one in found:
        assert one.reply.status == 503 and one.took_s <= seconds + SLACK_S, one
        assert 0 < float(one.reply.retry_after) <= most, one
        assert b'"ran":"not run"' in one.reply.body, one
    assert max(float(one.reply.retry_after) for one in found) > most / 2
