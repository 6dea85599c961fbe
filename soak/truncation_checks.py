"""Check that no truncated response was told to a caller as a whole one.

What states that a response is whole is its framing. Without framing, callers take the orderly end
of a connection for the end of a stream, so a stream may only end so if its last event was sent. For
a call such an end states nothing, and may be passed on where an upstream has ended its response so.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from soak.disturbances import describe
from soak.ledger import STREAMS, Arrival, Ledger, ResponseEnd, SentRequest
from stand_ins.endings import BODY, CALL_PIECES, Framing
from stand_ins.routed import event_bytes

STATUSES: Final = range(100, 600)


def check_truncation(ledger: Ledger) -> Iterator[str]:
    """Compare what callers got with what upstreams have sent of it."""
    for request in ledger.requests.values():
        if (request.has_head or request.status) and request.status not in STATUSES:
            yield f"an answer with a status that HTTP does not know: {describe(request)}"
    if ledger.sent_pieces is None:
        return
    if not any(name.startswith(f"{Framing.CLOSE},") for name in ledger.truncations):
        yield "no close-delimited response has ended early, so the run shows nothing of them"
    ends = [end for each in ledger.response_ends.values() for end in each]
    if not any(map(ledger.living_close, ends)):
        yield "no living process has closed a response early, so the run shows nothing of that"
    if not any(map(ledger.living_close, _stream_ends(ledger))):
        yield "no living process has closed a stream early, so the run shows nothing of streams"
    last_runs = {arrival.request_id: arrival for arrival in ledger.arrivals}
    for request in ledger.requests.values():
        if request.status != 200:
            continue
        sent = set(ledger.sent_pieces.get(request.request_id, ()))
        check = _check_stream if request.kind in STREAMS else _check_call
        for line in check(ledger, request, sent):
            yield f"{line}: {describe(request)}"
        for line in _check_end(ledger, request, last_runs.get(request.request_id)):
            yield f"{line}: {describe(request)}"


def _stream_ends(ledger: Ledger) -> list[ResponseEnd]:
    """Return the ends of the responses to streams."""
    names = [name for name, request in ledger.requests.items() if request.kind in STREAMS]
    return [end for name in names for end in ledger.response_ends.get(name, [])]


def _check_stream(ledger: Ledger, request: SentRequest, sent: set[int]) -> Iterator[str]:
    """Check that a stream has only what was sent, and is complete only if its last event was."""
    if not set(request.events) <= sent:
        yield f"events that no upstream has sent: {sorted(set(request.events) - sent)}"
    whole = b"".join(event_bytes(number) for number in range(1, ledger.events + 1))
    if not whole.startswith(request.body):
        yield "a stream with other bytes than its upstreams'"
    if (request.complete or request.is_closed) and ledger.events not in sent:
        yield "complete though no upstream has sent the last event"


def _check_call(ledger: Ledger, request: SentRequest, sent: set[int]) -> Iterator[str]:
    """Check that a response has only what was sent, and is complete only if all of it was."""
    if not ledger.body.startswith(request.body):
        yield "a response with other bytes than its upstream's"
    if request.complete and len(sent) < CALL_PIECES:
        yield f"complete though upstreams have sent {len(sent)} pieces of {CALL_PIECES}"


def _check_end(ledger: Ledger, request: SentRequest, run: Arrival | None) -> Iterator[str]:
    """Check that the end of a response was stated in no stronger terms than an upstream's.

    What closes a call early is the end of its last run: earlier runs may end later, unseen.
    """
    ends = ledger.response_ends.get(request.request_id, [])
    if request.complete and not any(end.states_whole for end in ends):
        yield "complete though no upstream's framing has stated that"
    if not request.is_closed or ledger.is_whole(request):
        return
    if request.kind in STREAMS:
        yield "a stream closed in order before its end"
        return
    last = [end for end in ends if run and end.upstream_id == run.upstream_id and end.at >= run.at]
    if not last or not ledger.living_close(last[-1]):
        upstream_id = run.upstream_id if run else "no upstream"
        plans = [f"{end.upstream_id} {end.plan.framing}, {end.plan.ending}" for end in ends]
        yield (
            "closed early, and not by an upstream whose process lived on "
            f"(last run at {upstream_id}, ends {plans})"
        )
    elif len(request.body) < (last[-1].plan.sent_pieces or 0) * (len(BODY) // CALL_PIECES):
        yield "closed before all that was sent"


def describe_closes(ledger: Ledger) -> str:
    """Return how many responses living processes closed early, and how callers saw ends."""
    ends = [end for each in ledger.response_ends.values() for end in each]
    closed = [request for request in ledger.requests.values() if request.is_closed]
    whole = sum(map(ledger.is_whole, closed))
    streams = [request for request in closed if request.kind in STREAMS]
    return (
        f"closed early by living processes: {sum(map(ledger.living_close, ends))}, "
        f"{sum(map(ledger.living_close, _stream_ends(ledger)))} of them streams; callers saw "
        f"{len(closed)} closed in order, {whole} of them whole, {len(streams)} of them streams"
    )
