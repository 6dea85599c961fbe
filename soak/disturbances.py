"""Which parts of a run were undisturbed: bounds in time apply only to those."""

from __future__ import annotations

from typing import Final

from soak.ledger import STORE, Ledger, SentRequest

CONTACT_S: Final = 3.0
"""Time after a disturbance until its target counts as undisturbed again (contactMs)."""
MACHINE_SLACK_S: Final = 0.5
"""Added to all bounds in time, as many processes share few cores in a run."""
CALM_AFTER_S: Final = CONTACT_S + MACHINE_SLACK_S


def is_undisturbed(ledger: Ledger, request: SentRequest, until: float | None = None) -> bool:
    """Return True if a request's instance and the store were undisturbed around it.

    The time begins CALM_AFTER_S before the request and ends at until, or with the request.
    """
    begins, ends = request.sent_at - CALM_AFTER_S, request.ended_at if until is None else until
    return all(ledger.is_undisturbed(name, begins, ends) for name in (request.instance, STORE))


def is_instance_undisturbed(ledger: Ledger, instance: str, at: float) -> bool:
    """Return True if an instance was undisturbed for CALM_AFTER_S before a time."""
    return ledger.is_undisturbed(instance, at - CALM_AFTER_S, at)


def describe(request: SentRequest) -> str:
    """Return a description with which a request can be found in the logs."""
    return (
        f"request {request.request_id} ({request.kind}) to {request.instance} "
        f"at {request.sent_at:.2f} s, status {request.status}, complete {request.complete}, "
        f"closed {request.is_closed}, "
        f"took {request.ended_at - request.sent_at:.2f} s"
    )
