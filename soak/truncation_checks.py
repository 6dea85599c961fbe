"""Check that no truncated response was told to a caller as a whole one."""

from __future__ import annotations

from collections.abc import Iterator

from soak.disturbances import describe
from soak.ledger import STREAMS, Ledger, SentRequest
from stand_ins.endings import CALL_PIECES, Framing
from stand_ins.routed import event_bytes


def check_truncation(ledger: Ledger) -> Iterator[str]:
    """Compare what callers got with what upstreams have sent of it."""
    if ledger.sent_pieces is None:
        return
    if not any(name.startswith(f"{Framing.CLOSE},") for name in ledger.truncations):
        yield "no close-delimited response has ended early, so the run shows nothing of them"
    for request in ledger.requests.values():
        if request.status != 200:
            continue
        sent = set(ledger.sent_pieces.get(request.request_id, ()))
        check = _check_stream if request.kind in STREAMS else _check_call
        for line in check(ledger, request, sent):
            yield f"{line}: {describe(request)}"


def _check_stream(ledger: Ledger, request: SentRequest, sent: set[int]) -> Iterator[str]:
    """Check that a stream has only what was sent, and is complete only if its last event was."""
    if not set(request.events) <= sent:
        yield f"events that no upstream has sent: {sorted(set(request.events) - sent)}"
    whole = b"".join(event_bytes(number) for number in range(1, ledger.events + 1))
    if not whole.startswith(request.body):
        yield "a stream with other bytes than its upstreams'"
    if request.complete and ledger.events not in sent:
        yield "complete though no upstream has sent the last event"


def _check_call(ledger: Ledger, request: SentRequest, sent: set[int]) -> Iterator[str]:
    """Check that a response has only what was sent, and is complete only if all of it was."""
    if not ledger.body.startswith(request.body):
        yield "a response with other bytes than its upstream's"
    if request.complete and len(sent) < CALL_PIECES:
        yield f"complete though upstreams have sent {len(sent)} pieces of {CALL_PIECES}"
