"""Count what a gateway instance does, for the metrics page."""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from typing import Final

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.formats import text

LATENCY_BUCKETS_S: Final = [0.01, 0.03, 0.1, 0.3, 0.6, 1.0, 1.8, 3.0, 6.0, 15.0, float("inf")]
GAP_BUCKETS_S: Final = [0.02, 0.05, 0.1, 0.18, 0.3, 0.6, 1.0, 2.0, float("inf")]


@dataclass(slots=True)
class GatewayStats:
    """Hold plain counters, from which metrics are built when a page is requested."""

    requests: int = 0
    completed: int = 0
    refused: int = 0
    failed: int = 0
    callers_gone: int = 0
    stop_refused: int = 0
    stop_expired: int = 0
    malformed: int = 0
    overload_refused: int = 0
    connections_evicted: int = 0
    repeats: int = 0
    repeats_released: int = 0
    retry_loans_asked: int = 0
    retries_borrowed: float = 0.0
    retries_lent: float = 0.0
    streams_moved: int = 0
    streams_resumed: int = 0
    streams_broken: int = 0
    crashes_seen: int = 0
    crashing_refused: int = 0
    permits_denied: int = 0
    limited_sends: int = 0
    limited_refused: int = 0
    leaving_signals: int = 0
    backoff_signals: int = 0
    backoff_refused: int = 0
    unreadable_signals: int = 0
    invalid_responses: int = 0
    oversized_responses: int = 0
    unknown_signals: int = 0
    moves_failed: int = 0
    platform_calls: int = 0
    queue_granted: int = 0
    queue_refused: int = 0
    queue_placer_changes: int = 0
    copies_ordered: int = 0
    copies_ended_moved: int = 0
    evacuations_alone: int = 0
    follow_requests: int = 0
    follow_accepted: int = 0
    follow_declined: int = 0
    follow_unanswered: int = 0
    follow_pauses: int = 0
    standby_starts: int = 0
    connections_failed: int = 0
    tunnels_opened: int = 0
    tunnels_failed: int = 0
    tunnels_served: int = 0
    tunnels_declined: int = 0
    tunnel_bytes: int = 0
    tunnel_send_errors: int = 0
    registry: Registry = field(default_factory=Registry)
    answer_s: Histogram = field(init=False)
    first_event_s: Histogram = field(init=False)
    gap_s: Histogram = field(init=False)
    queue_wait_s: Histogram = field(init=False)
    response_ends: Counter = field(init=False)
    relayed_ends: Counter = field(init=False)
    late_process_ends: Counter = field(init=False)
    end_checks: Counter = field(init=False)
    end_check_s: Histogram = field(init=False)

    def __post_init__(self) -> None:
        """Register the metrics with labels, which are updated during requests."""
        self.answer_s = self._histogram("answer", "Seconds to the answer of a plain call.")
        self.first_event_s = self._histogram("first_event", "Seconds to a stream's first event.")
        self.queue_wait_s = self._histogram(
            "queue_wait", "Seconds that a generation waited for engine memory, by rank."
        )
        self.gap_s = Histogram(
            "driftstall_gateway_gap_seconds",
            "Longest pause between the events of a stream, in seconds.",
            registry=self.registry,
            buckets=GAP_BUCKETS_S,
        )
        self.response_ends = Counter(
            "driftstall_gateway_response_ends_total",
            "Ends of upstreams' responses, by their framing and how they ended.",
            registry=self.registry,
        )
        self.relayed_ends = Counter(
            "driftstall_gateway_relayed_ends_total",
            "Ends of responses by framing, the process's state, and what callers were told.",
            registry=self.registry,
        )
        self.late_process_ends = Counter(
            "driftstall_gateway_late_process_ends_total",
            "Upstreams found ended soon after a close-delimited response whose process lived.",
            registry=self.registry,
        )
        self.end_checks = Counter(
            "driftstall_gateway_end_checks_total",
            "Checks of responses that ended with their connection, by the process's state.",
            registry=self.registry,
        )
        self.end_check_s = self._histogram(
            "end_check", "Seconds that the end of a response waited for such a check."
        )

    def _histogram(self, name: str, doc: str) -> Histogram:
        """Return a newly registered histogram of seconds."""
        return Histogram(
            f"driftstall_gateway_{name}_seconds",
            doc,
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )


COUNTER_HELP: Final = {
    "requests": "Requests read from callers.",
    "completed": "Requests answered with an upstream's answer.",
    "refused": "Requests refused with a time to come back.",
    "failed": "Requests that ended with a problem.",
    "callers_gone": "Callers that left before the end.",
    "stop_refused": "Requests refused as they may not end before this instance stops.",
    "stop_expired": "Requests that a planned stop has ended before their deadlines.",
    "malformed": "Requests that could not be read.",
    "overload_refused": "Requests refused unfinished for want of memory or connections.",
    "connections_evicted": "Connections of callers closed for new ones at the limit.",
    "repeats": "Sends beyond a request's first.",
    "repeats_released": "Retries taken from the budget and given back, as they were not sent.",
    "retry_loans_asked": "Requests to other instances for a loan of retries.",
    "retries_borrowed": "Retries that other instances have lent to this one.",
    "retries_lent": "Retries that this instance has lent to others.",
    "streams_moved": "Streams moved from an upstream that was leaving.",
    "streams_resumed": "Streams gone on with from a copy.",
    "streams_broken": "Streams that broke for good.",
    "crashes_seen": "Upstreams found crashed with runs of this instance.",
    "crashing_refused": "Sends refused as upstreams have crashed under the request.",
    "permits_denied": "Sends not allowed now to upstreams that name a limit.",
    "limited_sends": "Requests sent to upstreams that name a limit.",
    "limited_refused": "Requests refused as all upstreams have reached their limits.",
    "leaving_signals": "Responses by which an upstream signals that it leaves.",
    "backoff_signals": "Responses by which an upstream requests a back-off.",
    "backoff_refused": "Requests refused as all upstreams have requested a back-off.",
    "unreadable_signals": "Signals of upstreams that can't be decoded.",
    "invalid_responses": "Responses that were not the upstream's own, such as unsigned ones.",
    "oversized_responses": "Responses that exceed a limit and were not read any further.",
    "unknown_signals": "Headers of upstreams that look like signals and are not known.",
    "moves_failed": "Copies between engines that failed.",
    "platform_calls": "Calls to the platform's store.",
    "queue_granted": "Generations granted engine memory by this instance's queue.",
    "queue_refused": "Generations refused by this instance's queue, with a time to come back.",
    "queue_placer_changes": "Times that this instance asked another placer, as one gave no answer.",
    "copies_ordered": "Copies off leaving engines that this instance has ordered.",
    "copies_ended_moved": "Ordered copies after which the stream continues on another engine.",
    "evacuations_alone": "Evacuations that this instance continued alone, as no orders came.",
    "follow_requests": "Requests to other instances to follow the store, without repeats.",
    "follow_accepted": "Requests to follow the store that this instance accepted.",
    "follow_declined": "Requests to follow the store that this instance declined.",
    "follow_unanswered": "Requests to follow the store that got no answer in time.",
    "follow_pauses": "Pauses after no instance had accepted to follow the store.",
    "standby_starts": "Times that this collector followed the store in place of silent followers.",
    "connections_failed": "Connections to upstreams that could not be opened.",
    "tunnels_opened": "Connections to upstreams that this instance opened through peers.",
    "tunnels_failed": "Tunnels to upstreams that a peer did not open.",
    "tunnels_served": "Tunnels to upstreams that this instance opened for peers.",
    "tunnel_bytes": "Bytes of upstreams that this instance passed to peers.",
    "tunnel_send_errors": "Tunnels of peers whose upstream failed while it was sent to.",
    "tunnels_declined": "Tunnels that peers requested and this instance did not open.",
}


def render(stats: GatewayStats, gauges: dict[str, float]) -> bytes:
    """Return all metrics in the Prometheus text format."""
    registry = Registry()
    for stat in fields(stats):
        if stat.name in COUNTER_HELP:
            name = f"driftstall_gateway_{stat.name}_total"
            counter = Counter(name, COUNTER_HELP[stat.name], registry=registry)
            counter.set({}, getattr(stats, stat.name))
    for name, value in gauges.items():
        gauge = Gauge(f"driftstall_gateway_{name}", name.replace("_", " "), registry=registry)
        gauge.set({}, value)
    formatter = text.TextFormatter()
    return bytes(formatter.marshall(registry) + formatter.marshall(stats.registry))
