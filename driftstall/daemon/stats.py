"""Counters and gauges of one instance, for the metrics and status pages."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.formats import text

STALL_BUCKETS_S: Final = [0.01, 0.03, 0.1, 0.3, 1.0, 1.9, 5.0, 15.0, 60.0, float("inf")]


@dataclass(slots=True)
class Stats:
    """Counters as plain integers, which are cheap; metrics are built at each scrape."""

    requests: int = 0
    completed: int = 0
    refused: int = 0
    failed: int = 0
    callers_gone: int = 0
    tokens: int = 0
    resumes: int = 0
    retries: int = 0
    permits_denied: int = 0
    limited_sends: int = 0
    limited_refused: int = 0
    backoff_refused: int = 0
    yields: int = 0
    claims_granted: int = 0
    claims_repeated: int = 0
    messages_sent: int = 0
    messages_received: int = 0
    task_failures: int = 0
    open_requests: int = 0
    registry: Registry = field(default_factory=Registry)
    stall: Histogram = field(init=False)

    def __post_init__(self) -> None:
        """Register the histogram, which is observed directly at each request."""
        doc = "Seconds from a request to its first token."
        self.stall = Histogram(
            "driftstall_stall_seconds", doc, registry=self.registry, buckets=STALL_BUCKETS_S
        )


COUNTERS: Final = {
    "requests": "Requests received from callers.",
    "completed": "Requests answered whole.",
    "refused": "Requests refused with a time to come back.",
    "failed": "Requests that ended with a problem.",
    "callers_gone": "Callers that vanished before the end.",
    "tokens": "Tokens delivered.",
    "resumes": "Streams taken up again.",
    "retries": "Requests started again on another runner.",
    "permits_denied": "Calls not allowed now to runners that name a limit.",
    "limited_sends": "Calls sent to runners that name a limit.",
    "limited_refused": "Calls refused as all runners have reached their limits.",
    "backoff_refused": "Requests refused as all runners have requested a back-off.",
    "yields": "Generations paused by a yield.",
    "claims_granted": "Claims granted to calls that may not be repeated.",
    "claims_repeated": "Calls answered from a recorded claim.",
    "messages_sent": "Peer messages sent.",
    "messages_received": "Peer messages received.",
    "task_failures": "Failures of periodic tasks.",
}
GAUGES: Final = {
    "open_requests": "Requests served now.",
    "waiting_requests": "Requests that wait for a grant in groups owned here.",
    "memory_share": "Forecast share of engine memory in use, in groups owned here.",
    "live_instances": "Instances held for alive.",
    "config_generation": "Generation of the configuration in force.",
    "peer_dropped_messages": "Peer messages dropped.",
    "peer_rejected_messages": "Peer messages rejected.",
    "peer_sent_bytes": "Bytes sent to peers.",
}


def render(stats: Stats, gauges: dict[str, float]) -> bytes:
    """Return all metrics in the Prometheus text format."""
    registry = Registry()
    for name, doc in COUNTERS.items():
        counter = Counter(f"driftstall_{name}_total", doc, registry=registry)
        counter.set({}, getattr(stats, name))
    for name, doc in GAUGES.items():
        gauge = Gauge(f"driftstall_{name}", doc, registry=registry)
        gauge.set({}, gauges.get(name, getattr(stats, name, 0)))
    formatter = text.TextFormatter()
    return bytes(formatter.marshall(registry) + formatter.marshall(stats.registry))
