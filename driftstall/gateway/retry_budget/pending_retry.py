"""The retry that one request is about to send."""

from __future__ import annotations

from driftstall.gateway.retry_budget.budgets import RetryBudgets
from driftstall.gateway.retry_budget.shared_budget import RetryReservation


class PendingRetry:
    """Hold the reservation for a request's next send, if that is a retry."""

    def __init__(self, budgets: RetryBudgets, request_id: str) -> None:
        """Initialize without a reservation: the first send needs none."""
        self._budgets = budgets
        self._request_id = request_id
        self._reservation: RetryReservation | None = None

    def try_reserve(self, service: str) -> bool:
        """Reserve a retry; return False if the budget allows none."""
        self.release()
        self._reservation = self._budgets.try_reserve(service, self._request_id)
        return self._reservation is not None

    def confirm(self) -> None:
        """Count the reserved retry, just before it is sent."""
        if self._reservation is not None:
            self._budgets.confirm(self._reservation)
            self._reservation = None

    def release(self) -> None:
        """Give the reservation back if its send has not taken place."""
        if self._reservation is not None:
            self._budgets.release(self._reservation)
            self._reservation = None
