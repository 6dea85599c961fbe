"""Test responses whose status HTTP does not know."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial
from typing import Any, Final

import gevent
from behave import given, then, when

from driftstall.exceptions import PlatformUnavailable, UpstreamError
from driftstall.platform.process_probe import ProcessState, probe_process
from driftstall.runners.service import call_service
from driftstall.util.http import connect
from features.steps.kept_connection_steps import head_bytes, use_raw_upstreams
from features.steps.truncated_answer_steps import (
    READERS,
    Cut,
    CuttingPeer,
    Reader,
    _runner,
    _upstream,
)
from features.worlds.ending_world import ALL_EVENTS, EndingWorld
from features.worlds.gateway_world import world_of
from stand_ins.endings import Ending, EndingPlan, Framing
from stand_ins.raw import HEALTH_PATH, RawEnding, RawResponse
from stand_ins.routed import ReceivedRequest

SOON_S: Final = 1.0
"""Time within which a caller gets its response; its deadline is later."""
AT_ONCE_S: Final = 0.4
"""Time within which a reader of answers ends; the time-out of each of them is longer."""
CALL_S: Final = 5.0
SENT_EVENTS: Final = 7
LENGTH: Final = "Content-Length: 5"
NO_BODY: Final = "Content-Length: 0"
Build = Callable[[str, str], RawResponse]
"""Returns the response with a status to a request with an id."""


def _whole(name: str) -> bytes:
    """Return a whole response."""
    return head_bytes(name, LENGTH) + b"whole"


FORMS: Final[dict[str, Build]] = {
    "with a length": lambda name, status: RawResponse(
        head_bytes(name, LENGTH, status=f"{status} Status") + b"other"
    ),
    "closed after it": lambda name, status: RawResponse(
        head_bytes(name, status=f"{status} Status") + b"other", RawEnding.CLOSED
    ),
    "left open": lambda name, status: RawResponse(head_bytes(name, status=f"{status} Status")),
    "before a whole response": lambda name, status: RawResponse(
        head_bytes(name, NO_BODY, status=f"{status} Status") + _whole(name)
    ),
}
REQUESTS: Final = {
    "a safe call": ("/safe/a", "POST"),
    "a call that may run only once": ("/once/a", "POST"),
    "a HEAD request": ("/once/a", "HEAD"),
    "a stream": ("/stream/a", "POST"),
}


def _probe_health(address: str) -> ProcessState | None:
    """Return the state that a health check shows, or None if it is unknown."""
    state = probe_process(
        _upstream(address),
        HEALTH_PATH,
        lambda *_: None,
        lambda upstream: connect(upstream.address, CALL_S),
    )
    return None if state is ProcessState.UNKNOWN else state


STATUS_READERS: Final = READERS | {
    "a service call": Reader(
        READERS["a service call"].body,
        lambda address: call_service(_runner(address), "POST", "/x", {}, b"x", CALL_S).body,
    ),
    "a health check": Reader(b"{}", _probe_health),
}


def _ask_once(context: Any, request: str, first: Callable[[str], RawResponse]) -> None:
    """Send a request whose first response is given; further ones are whole."""
    firsts = [first]

    def respond(seen: ReceivedRequest) -> RawResponse:
        if firsts:
            return firsts.pop()(seen.request_id)
        return RawResponse(_whole(seen.request_id))

    use_raw_upstreams(context, respond)
    path, method = REQUESTS[request]
    begun_at = time.monotonic()
    context.answer = world_of(context).ask(path, "r1", method=method)
    context.answer_s = time.monotonic() - begun_at
    context.runs = sum(upstream.runs("r1") for upstream in context.raw)


@given("a gateway whose upstreams are reached through a peer")
def reached_through_peer(context: Any) -> None:
    """Start a gateway whose own connections to upstreams are reset."""
    context.execute_steps(
        """
        Given a gateway with two peers that reach its upstreams
        And its connections to upstreams reset
        """
    )


@when('{request} is first answered with status {status:w} "{form}"')
def first_answered(context: Any, request: str, status: str, form: str) -> None:
    """Send a request."""
    build = FORMS[form]
    _ask_once(context, request, lambda name: build(name, status))


@when(
    "a call that may run only once is answered whole after interim responses of status {status:w}"
)
def after_interim(context: Any, status: str) -> None:
    """Send two interim responses before the whole one."""
    interim = f"HTTP/1.1 {status} Status\r\nLink: a\r\n\r\n".encode() * 2
    first = partial(_answer_after, interim)
    _ask_once(context, "a call that may run only once", first)


def _answer_after(interim: bytes, name: str) -> RawResponse:
    """Return a whole response after interim ones."""
    return RawResponse(interim + _whole(name))


@then("it is repeated at once, and answered 200")
def is_repeated(context: Any) -> None:
    """Check that the whole response of the second run was received."""
    answer = context.answer
    assert (answer.status, answer.body, answer.whole) == (200, b"whole", True), answer
    assert context.runs == 2, context.runs
    assert context.answer_s < SOON_S, context.answer_s


@then("it is answered 502 at once, and has run once")
def is_refused(context: Any) -> None:
    """Check that the caller is told of a failed send."""
    answer = context.answer
    assert answer.status == 502, answer
    assert b'"ran":"unknown"' in answer.body or not answer.body, answer
    assert context.runs == 1, context.runs
    assert context.answer_s < SOON_S, context.answer_s


@then("it is answered {status:d} by its only run")
def is_answered(context: Any, status: int) -> None:
    """Check that the upstream's response was passed on."""
    assert (context.answer.status, context.answer.whole) == (status, True), context.answer
    assert context.runs == 1, context.runs


@when('a stream resumes at an engine that answers with status {status:w} "{form}"')
def resumed_stream(context: Any, status: str, form: str) -> None:
    """Break off the first run, and answer the second with an unknown status."""
    build = FORMS[form]
    world = EndingWorld()
    context.add_cleanup(world.close)
    second = EndingPlan(build_raw=lambda name: build(name, status))
    world.plans = [EndingPlan(ending=Ending.RESET), second]
    begun_at = time.monotonic()
    context.answer = world.stream("s1")
    context.answer_s = time.monotonic() - begun_at
    assert not world.plans, world.plans


@then("the stream is broken off at once, after the events of its first run")
def stream_broken_off(context: Any) -> None:
    """Check that the caller has the first events and no end."""
    answer = context.answer
    assert (answer.status, answer.whole) == (200, False), answer
    assert ALL_EVENTS.startswith(answer.body), answer
    assert answer.body.count(b"\n\n") == SENT_EVENTS, answer
    assert context.answer_s < SOON_S, context.answer_s


@given("a peer that answers an instance's own requests")
def answering_peer(context: Any) -> None:
    """Start the peer."""
    context.peer = CuttingPeer()
    context.add_cleanup(context.peer.stop)


def _read(context: Any, name: str, answer: bytes, ending: Ending) -> None:
    """Read an answer, and measure the time; the value is None if the answer is rejected."""
    context.peer.prepare(Cut(Framing.LENGTH, ending, len(answer), answer))
    begun_at = time.monotonic()
    with gevent.Timeout(CALL_S, AssertionError("the answer is waited for")):
        try:
            context.value = STATUS_READERS[name].read(context.peer.address)
        except (UpstreamError, PlatformUnavailable) as fault:
            assert fault.sent, fault
            context.value = None
    context.answer_s = time.monotonic() - begun_at


@when('{name} is read whose answer has status {status:w} "{form}"')
def read_unknown(context: Any, name: str, status: str, form: str) -> None:
    """Read an answer with a body that is sound."""
    body = STATUS_READERS[name].body
    first = f"HTTP/1.1 {status} Status\r\n".encode()
    sized = b"Content-Length: %d\r\n\r\n" % len(body) + body
    answers = {
        "with a length": (first + sized, Ending.SILENT),
        "closed after it": (first + b"\r\n" + body, Ending.CLOSED),
        "left open": (first + b"\r\n", Ending.SILENT),
        "before a whole response": (
            first + b"Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + sized,
            Ending.SILENT,
        ),
    }
    _read(context, name, *answers[form])


@when("{name} is read whose answer comes after interim responses of status {status:w}")
def read_after_interim(context: Any, name: str, status: str) -> None:
    """Read a whole answer after two interim responses."""
    body = STATUS_READERS[name].body
    interim = f"HTTP/1.1 {status} Status\r\nLink: a\r\n\r\n".encode() * 2
    sized = b"Content-Length: %d\r\n\r\n" % len(body) + body
    _read(context, name, interim + b"HTTP/1.1 200 OK\r\n" + sized, Ending.SILENT)


@then("the answer is rejected at once")
def rejected_at_once(context: Any) -> None:
    """Check that nothing was read, and that no time-out was waited for."""
    assert context.value is None, context.value
    assert context.answer_s < AT_ONCE_S, context.answer_s


@then("the answer is accepted")
def accepted(context: Any) -> None:
    """Check that a value was read."""
    assert context.value is not None
