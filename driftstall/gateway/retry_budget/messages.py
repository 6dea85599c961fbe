"""Messages by which instances lend each other parts of their shares of a retry budget."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RetryLoanAsked:
    """Request a loan of retries for a service."""

    sender: str
    number: int
    """Identifies the request among those of its sender."""
    service: str
    retries: float


@dataclass(frozen=True, slots=True)
class RetryLoanGiven:
    """Lend retries; zero if the sender has none left."""

    sender: str
    number: int
    retries: float


RetryLoanMessage = RetryLoanAsked | RetryLoanGiven
