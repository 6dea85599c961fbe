"""Check the retry budget against what upstreams have received, over sliding windows."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from driftstall.gateway.model import Bounds
from soak.ledger import ENGINE_SERVICE, PLAIN_SERVICE, STREAMS, Ledger


@dataclass(frozen=True, slots=True)
class BudgetWindow:
    """The retries within one window, and how many were allowed."""

    begins: float
    retries: int
    requests: int
    allowed: float

    @property
    def used_share(self) -> float:
        """Return the share of the allowed retries that was used."""
        return self.retries / self.allowed if self.allowed else float(self.retries > 0)


def find_worst_window(
    requests: Iterable[float], retries: Iterable[float], bounds: Bounds
) -> BudgetWindow:
    """Return the window with the largest used share, from the times of requests and retries.

    Requests count in the window itself, the one before it or the one half a window before it,
    whichever holds the most.
    """
    sent, again = sorted(requests), sorted(retries)
    width_s = bounds.retry_window_s

    def window(begins: float) -> BudgetWindow:
        """Return the window that begins at a time."""
        count = bisect_right(again, begins + width_s) - bisect_left(again, begins)
        starts = (begins, begins - width_s / 2, begins - width_s)
        most = max(_count_within(sent, start, start + width_s) for start in starts)
        return BudgetWindow(begins, count, most, bounds.retry_ratio * most + bounds.retry_extra)

    none = BudgetWindow(0.0, 0, 0, 1.0)
    return max(map(window, again), key=lambda found: found.used_share, default=none)


def check_retry_budget(ledger: Ledger) -> Iterator[str]:
    """Check each service's retries: arrivals past the first of each request, rejected ones too."""
    requests: dict[str, list[float]] = defaultdict(list)
    for request in ledger.requests.values():
        service = ENGINE_SERVICE if request.kind in STREAMS else PLAIN_SERVICE
        requests[service].append(request.sent_at)
    for service, retries in _retries_by_service(ledger).items():
        found = find_worst_window(requests[service], retries, ledger.bounds)
        if found.used_share > 1.0:
            yield (
                f"{found.retries} retries within {ledger.bounds.retry_window_s:g} s at {service} "
                f"for {found.requests} requests, {found.allowed:.1f} are allowed"
            )


def _retries_by_service(ledger: Ledger) -> dict[str, list[float]]:
    """Return the times of all arrivals past the first of their request, by service."""
    arrivals: dict[str, dict[str, list[float]]] = defaultdict(lambda: defaultdict(list))
    for upstream_id, records in ledger.received.items():
        for record in records:
            arrivals[ledger.services[upstream_id]][record.request_id].append(record.at)
    return {
        service: [at for times in by_id.values() for at in sorted(times)[1:]]
        for service, by_id in arrivals.items()
    }


def _count_within(times: Sequence[float], begins: float, ends: float) -> int:
    """Return how many sorted times lie within a span."""
    return bisect_right(times, ends) - bisect_left(times, begins)
