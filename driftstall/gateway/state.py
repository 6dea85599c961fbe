"""Hold the state that the components of one gateway instance share."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterable
from functools import partial
from http import HTTPStatus
from typing import Final

import gevent
from gevent.event import Event

from driftstall.const import PREFIX_RELAY
from driftstall.core import Request
from driftstall.decisions.brittle_upstreams import REJECTION_BACKOFF_S, BrittleUpstreams
from driftstall.decisions.buffer_budget import BufferBudget
from driftstall.decisions.cold_starts import ASSUMED_COLD_S, QUIET_START_S, ColdPart, ColdStarts
from driftstall.decisions.instance_count import InstanceCount
from driftstall.decisions.lengths import LearnedLengths
from driftstall.decisions.placers import MAX_COMPARED_UPSTREAMS
from driftstall.decisions.planned_stop import PlannedStop
from driftstall.decisions.response_ends import ProcessState
from driftstall.decisions.store_versions import StoreEras
from driftstall.decisions.upstream_backoff import StaggeredRetries, UpstreamBackoff
from driftstall.decisions.upstream_load import LoadSource, ReportedLoad, UpstreamLoads, mean_pace
from driftstall.gateway import unconnected
from driftstall.gateway.cordons import CordonRegistry
from driftstall.gateway.dialect import Dialect
from driftstall.gateway.exchange import ResponseHead, UpstreamExchange
from driftstall.gateway.fleet import FleetController
from driftstall.gateway.forwarding.connector import UpstreamConnector
from driftstall.gateway.loads import LoadTable, RequestLoad, Use
from driftstall.gateway.model import GatewaySettings, ResponseMetadata, Service, Upstream
from driftstall.gateway.outcomes import Outcome, OutlierDetector
from driftstall.gateway.poison.guard import PoisonGuard
from driftstall.gateway.response_buffers import ResponseBuffers
from driftstall.gateway.response_ends.open_exchanges import OpenExchanges
from driftstall.gateway.response_ends.records import record_response_end
from driftstall.gateway.response_ends.verification import EndVerifier
from driftstall.gateway.response_limits import record_oversized
from driftstall.gateway.retry_budget.budgets import RetryBudgets
from driftstall.gateway.routes import RouteTable
from driftstall.gateway.runs import BrokenRun, RunRegistry, StreamRun
from driftstall.gateway.scheduling.cold_gate import ColdGate
from driftstall.gateway.scheduling.queue_messages import (
    MemoryGranted,
    MemoryRefused,
    QueueAsked,
)
from driftstall.gateway.scheduling.selection import SAMPLE_SIZE, Option, Sampler
from driftstall.gateway.stats import GatewayStats
from driftstall.gateway.upstream_signals import UpstreamSignals
from driftstall.helpers.log import log_event
from driftstall.helpers.rate_limiting import RateLimiter
from driftstall.peers.gateway_messages import PlacementAsked, PlacementGiven
from driftstall.policy.model import Policy
from driftstall.util import clock
from driftstall.util.pacing import DenseInputPacer

AcquireMemory = Callable[[QueueAsked, Callable[[], bool]], MemoryGranted | MemoryRefused | None]
"""Waits for engine memory until it is granted or refused, or the given function returns True."""
NO_LOAD: Final = 0.0
HINT_WEIGHT: Final = 0.33
"""Weight of the caller's length hint against the learned length, on a log scale.

Callers' estimates are often far off.
"""
MAX_NOTICE_DELAY_S: Final = 0.5
"""Longest expected delay between an upstream's leaving notice and its arrival here."""
GROWTH_SHARE: Final = 0.5
"""Share of a run's expected growth that counts as load: other runs end while it grows."""


class GatewayState:
    """Hold the registries, the configuration in force, the clocks and the callbacks."""

    def __init__(self, settings: GatewaySettings, dialect: Dialect, policy: Policy) -> None:
        """Initialize with the settings and the default policy, without a configuration."""
        self.settings = settings
        self.dialect = dialect
        self.policy = policy
        self.route_table: RouteTable | None = None
        self.fleet = FleetController()
        self.cordons = CordonRegistry()
        self.eras = StoreEras()
        self.cold = ColdStarts()
        self.exchanges = OpenExchanges()
        self.response_buffers: ResponseBuffers[UpstreamExchange] = ResponseBuffers.from_memory(
            settings.memory_mb
        )
        self.loads = LoadTable()
        self.outcomes = OutlierDetector()
        self.lengths = LearnedLengths()
        self.runs = RunRegistry()
        self.stats = GatewayStats()
        self.pacer = DenseInputPacer()
        self.response_pacer = DenseInputPacer()
        self.buffers = BufferBudget.from_memory(settings.memory_mb)
        self.rng = random.Random()
        self.connector = UpstreamConnector(
            self.stats,
            lambda: self.now(),
            upstreams=lambda: self.fleet.accepting,
            source=self.rng,
        )
        self.connector.detector.on_changed = self._handle_reachability_changed
        dialect.connect = self.connector.connect
        dialect.connect_to_probe = self.connector.connect_to_probe
        self.instances = InstanceCount()
        self.rate_limiting = RateLimiter(
            self.stats,
            instances=lambda: self.instances.value,
            now=lambda: self.now(),
            pause=gevent.sleep,
        )
        self.backoff = UpstreamBackoff()
        self.retry_schedule = StaggeredRetries()
        """Spreads the Retry-After times of refused callers, per service."""
        self.upstream_loads = UpstreamLoads()
        self.live_instance_ids: Callable[[], tuple[str, ...]] = tuple
        """Returns the ids of all live instances; empty until peers are connected."""
        self.poison = PoisonGuard(
            settings.instance_id, lambda: self.live_instance_ids(), lambda: self.now()
        )
        self.end_verifier = EndVerifier(self._probe_process, lambda: self.now(), self.stats)
        self.connector.on_refused = self.end_verifier.record_refusal
        self.brittle = BrittleUpstreams(settings.instance_id, lambda: self.live_instance_ids())
        self.signals = UpstreamSignals(
            self.stats,
            self.rate_limiting,
            self.fleet,
            self.backoff,
            self.upstream_loads,
            self.brittle,
            lambda: self.now(),
            known_running=self._known_running,
        )
        dialect.on_signals = self.signals.handle_own_call
        self.fleet_changed = Event()
        self.configured = Event()
        """Set once there are a routing document, a list of upstreams and the cordons."""
        self.loads_changed = Event()
        self.runs_changed = Event()
        """Set when a stream starts, ends, moves or produces its first event."""
        self.planned_stop: PlannedStop | None = None
        """Set once this instance is stopping."""
        self.has_ready_peer: Callable[[], bool] = unconnected.has_no_peer
        """Returns whether another instance is ready to take callers."""
        self.notice_at = float("-inf")
        """When an upstream was last reported as leaving, on the monotonic clock."""
        self.open_requests = 0
        self.request_placement: Callable[[PlacementAsked], PlacementGiven | None] = (
            unconnected.place_locally
        )
        """Asks the zone's placer for an upstream; returns None if this instance is to choose."""
        self.acquire_memory: AcquireMemory = unconnected.acquire_nothing
        """Waits for engine memory in the fleet's queue; returns None if no placer answers."""
        self.leave_queue: Callable[[str, str], None] = unconnected.ignore_request
        """Called with a request that does not use the engine memory that was granted to it, and
        the placer that granted it."""
        self.on_upstream_suspected: Callable[[Upstream], None] = unconnected.ignore_upstream
        """Called with an upstream at which a stream broke off unexpectedly."""
        self.on_run_broken: Callable[[Upstream, BrokenRun], None] = unconnected.ignore_run
        """Called with a run that broke off although its upstream had not announced to leave."""
        self.on_reachability_changed: Callable[[], None] = unconnected.do_nothing
        """Called when a service has become unreachable from here, or reachable again."""
        self.on_store_era: Callable[[int], None] = unconnected.ignore_era
        """Called with the era of the platform's store that a peer reports."""
        self.sampler = Sampler(self.rng)
        self._started_at = self.now()
        self.cold_gate = ColdGate(self.cold, self.rng, self._cold_rate_part, lambda: self.now())
        self.retries = RetryBudgets(
            settings,
            self.stats,
            now=lambda: self.now(),
            peers=self._other_instance_ids,
            bounds=lambda: self.settings.bounds,
            source=self.rng,
        )

    @staticmethod
    def now() -> float:
        """Return the monotonic clock in seconds, including time in suspension."""
        return clock.now()

    @staticmethod
    def wall_time_s() -> float:
        """Return the wall-clock time as a Unix timestamp, in seconds."""
        return time.time()

    @property
    def is_ready(self) -> bool:
        """Return True if this instance accepts requests."""
        return self.is_configured and not self.is_stopping

    @property
    def is_configured(self) -> bool:
        """Return True if the routes, the upstreams and, where used, the cordons are known."""
        knows_cordons = self.cordons.is_loaded or not self.settings.bounds.cordon_s
        return self.route_table is not None and self.fleet.is_loaded and knows_cordons

    @property
    def is_stopping(self) -> bool:
        """Return True if a planned stop has begun."""
        return self.planned_stop is not None

    def unanswered_remaining_s(self, ends_at: float) -> float:
        """Return how long a request without a response may wait for one, in seconds.

        That is until its deadline, or until a planned stop writes the last responses.
        """
        until = ends_at if self.planned_stop is None else min(ends_at, self.planned_stop.answer_by)
        return until - self.now()

    def notify_if_configured(self) -> None:
        """Wake up waiting requests once this instance is configured."""
        if self.is_configured:
            self.configured.set()

    def _other_instance_ids(self) -> tuple[str, ...]:
        """Return the ids of the other live instances."""
        own_id = self.settings.instance_id
        return tuple(each for each in self.live_instance_ids() if each != own_id)

    def set_load_pooling(self, pooled: bool) -> None:
        """Sample a few upstreams per choice while loads arrive as sums of many instances.

        Choosing the best of all by the same delayed sums would send the whole fleet's requests to
        one upstream.
        """
        self.sampler = Sampler(self.rng, SAMPLE_SIZE if pooled else None)

    def notify_call_load_changed(self) -> None:
        """Trigger a report after a plain call has changed the load.

        With pooled loads nothing is triggered: the call ends before the sums are made.
        """
        if self.sampler.sample_size is None:
            self.loads_changed.set()

    def forget_peers(self) -> None:
        """Discard the loads and retry counts that peers have reported."""
        self.loads.forget_peers()
        self.retries.forget_peers()

    def options(
        self,
        service: str,
        avoid: frozenset[str] = frozenset(),
        max_options: int | None = MAX_COMPARED_UPSTREAMS,
        *,
        respects_backoff: bool = True,
        totals: dict[str, Use] | None = None,
    ) -> list[Option]:
        """Return the upstreams of a service that may be chosen, with their loads.

        If there are more than `max_options` (None: no bound), a random sample of that size is
        returned. Upstreams in back-off are excluded unless `respects_backoff` is False, which is
        for a placer that chooses for a peer and for totals of memory. The loads of all upstreams
        may be given as `totals`; otherwise they are the sums that the instances exchange.
        """
        now = self.now()
        excluded = avoid | self.backoff.active(now) if respects_backoff else avoid
        ready = [
            upstream
            for upstream in self.fleet.ready(service)
            if upstream.upstream_id not in excluded
        ]
        if max_options is not None and len(ready) > max_options:
            sampled = self.rng.sample(ready, max_options)
            return [
                self._option(upstream, self.loads.use(upstream.upstream_id, now), now)
                for upstream in sampled
            ]
        # One pass over all peers: a placer of a large fleet has reports of a hundred instances.
        if totals is None:
            totals = self.loads.totals(now)
        return [
            self._option(
                upstream, totals.get(upstream.upstream_id) or Use(upstream.upstream_id), now
            )
            for upstream in ready
        ]

    def _option(self, upstream: Upstream, use: Use, now: float) -> Option:
        """Return an upstream with the state that selection compares."""
        upstream_id = upstream.upstream_id
        load = self.upstream_loads.estimate(upstream_id, use.running, now)
        return Option(
            upstream,
            use,
            self.outcomes.penalty(upstream_id, upstream.service, now),
            self.outcomes.is_ejected(upstream_id, now),
            self.cold.remaining_s(upstream_id, now),
            self.rate_limiting.is_limited(upstream_id),
            load,
            self.brittle.is_full(
                upstream_id,
                upstream.slots,
                load.busy if load is not None else use.running,
                self.loads.own_running(upstream_id),
                now,
            ),
        )

    def _known_running(self, upstream_id: str) -> int:
        """Return the requests in progress at an upstream by the instances' sums."""
        return self.loads.use(upstream_id, self.now()).running

    def record_peer_loads(self, loads: Iterable[ReportedLoad], source: LoadSource) -> None:
        """Record the loads of upstreams that a peer reports."""
        self.upstream_loads.record_peer(loads, source, self._known_running, self.now())

    def connect(
        self, upstream: Upstream, timeout_s: float, request_id: str = ""
    ) -> UpstreamExchange:
        """Open an exchange with an upstream; raise UpstreamError if it can't be opened.

        The upstream's signals are handled as its response headers arrive.
        """
        connection = self.connector.connect(upstream, timeout_s, request_id)
        exchange = UpstreamExchange(connection, self.response_buffers, self.response_pacer)

        def observe(head: ResponseHead) -> None:
            metadata = self.dialect.read_response(head.status, head.headers)
            if metadata.defect is None:
                self.signals.handle_response(upstream, metadata.signals, exchange.sent_at)
            is_misdirected = head.status == HTTPStatus.MISDIRECTED_REQUEST
            if metadata.request_id == request_id and not is_misdirected:
                self.end_verifier.record_answer(upstream.upstream_id, exchange.sent_at)
            now = self.now()
            if metadata.is_not_executed and self.brittle.is_brittle(upstream.upstream_id, now):
                self.backoff.request(upstream.upstream_id, REJECTION_BACKOFF_S, now)
            if metadata.is_not_executed and metadata.states_load:
                # The rejected request still counts here, but not in the upstream's figures.
                known_running = max(0, self._known_running(upstream.upstream_id) - 1)
                self.upstream_loads.record_rejection(
                    upstream.upstream_id, known_running, self.now()
                )

        exchange.observe = observe
        exchange.on_oversized = partial(record_oversized, self.stats, upstream, request_id)
        exchange.on_ended = partial(record_response_end, self.stats, upstream, request_id)
        return exchange

    def _probe_process(self, upstream: Upstream) -> ProcessState:
        """Probe the process of an upstream; one in back-off only for whether it listens."""
        service = self.route_table.service(upstream.service) if self.route_table else None
        if service is None or self.backoff_s(upstream):
            return self.dialect.probe_process(upstream, "", is_engine=False)
        self.rate_limiting.charge(upstream.upstream_id)
        return self.dialect.probe_process(
            upstream, service.health_path, is_engine=service.engine is not None
        )

    def record_invalid(
        self, upstream: Upstream, head: ResponseHead, metadata: ResponseMetadata
    ) -> None:
        """Count and log a response that is not passed on to the caller."""
        self.stats.invalid_responses += 1
        log_event(
            PREFIX_RELAY,
            f"Invalid response of {upstream.upstream_id}: {metadata.defect}",
            request=metadata.request_id,
            upstream=upstream.upstream_id,
            status=head.status,
            revision=upstream.revision,
        )

    def draining_options(
        self, service: str, avoid: frozenset[str], for_s: float = 0.0
    ) -> list[Option]:
        """Return the leaving upstreams that still serve for at least `for_s` seconds.

        They are the last resort, when no other upstream accepts requests.
        """
        now = self.now()
        return [
            self._option(upstream, self.loads.use(upstream.upstream_id, now), now)
            for upstream in self.fleet.draining(service, now + for_s, self.max_new_request_drain_s)
            if upstream.upstream_id not in avoid and not self.backoff_s(upstream)
        ]

    def backoff_s(self, upstream: Upstream) -> float:
        """Return the remaining back-off of an upstream in seconds; zero if it requests none."""
        return self.backoff.remaining_s(upstream.upstream_id, self.now())

    def can_send(self, upstream: Upstream) -> bool:
        """Return True if an upstream may be sent a request; checked just before the send."""
        serves = self.fleet.can_still_serve(
            upstream.upstream_id, self.now(), self.settings.bounds.drain_s
        )
        return serves and not self.backoff_s(upstream)

    def can_start_on(self, upstream: Upstream, tried: frozenset[str]) -> bool:
        """Return True if an upstream may be sent a new run; checked just before the send.

        A leaving upstream is allowed only if no upstream except those already tried accepts
        requests.
        """
        if not self.can_send(upstream):
            return False
        upstream_id = upstream.upstream_id
        if self.fleet.accepts_requests(upstream_id):
            return True
        if self.options(upstream.service, tried | {upstream_id}):
            return False
        return self.fleet.can_still_serve(upstream_id, self.now(), self.max_new_request_drain_s)

    @property
    def max_new_request_drain_s(self) -> float:
        """Return how long after its notice a leaving upstream may get new runs, in seconds."""
        return self.settings.bounds.drain_s - MAX_NOTICE_DELAY_S

    def cold_rate(self, service: str) -> float:
        """Return the requests per second that a cold upstream can serve; zero if not set."""
        service_config = self.route_table.service(service) if self.route_table else None
        return service_config.cold_rate if service_config else 0.0

    def _cold_rate_part(self, service: str) -> ColdPart | None:
        """Return this instance's part of the rate to a cold upstream; None for no bound."""
        rate = self.cold_rate(service)
        if not rate:
            return None
        if self.now() - self._started_at < QUIET_START_S:
            return ColdPart(0.0)
        placed = self.sampler.sample_size is not None
        return ColdPart.of_instance(rate, self.instances.value, placed=placed)

    def expected_tokens(self, request: Request, hint: int) -> int:
        """Return the expected total output of a request, in tokens."""
        learned = self.lengths.expected_tokens(request)
        if hint:
            learned = learned ** (1 - HINT_WEIGHT) * hint**HINT_WEIGHT
        return int(learned)

    def record_run_load(self, run: StreamRun) -> None:
        """Record a stream's current load and schedule a report to peers."""
        metadata = run.admitted.metadata
        remaining = max(0, self.expected_tokens(run.request, metadata.length_hint) - run.tokens)
        holder = run.backup or run.replica_target
        has_replica = holder is not None and self.fleet.accepts_requests(holder.upstream_id)
        load = RequestLoad(
            run.upstream.upstream_id,
            run.held_tokens + int(GROWTH_SHARE * remaining),
            0 if run.events else metadata.input_tokens,
            holder.upstream_id if holder else "",
            run.held_tokens if run.events and not has_replica else 0,
        )
        self.loads.set_load(run.request_id, load)
        self.loads_changed.set()
        self.runs_changed.set()

    def memory_load(self, service_name: str) -> float:
        """Return the share of a service's engine memory in use, from 0 to 1."""
        service = self.route_table.service(service_name) if self.route_table else None
        if service is None or service.engine is None:
            return NO_LOAD
        return self._memory_share(service)

    def _memory_share(self, service: Service) -> float:
        """Return the share of a service's engine memory in use, given that it has engines."""
        assert service.engine is not None
        options = self.options(service.name, respects_backoff=False)
        total = service.engine.memory_tokens * len(options)
        if not total:
            return NO_LOAD
        return min(1.0, sum(option.use.tokens + option.use.copies for option in options) / total)

    def _handle_reachability_changed(self, service: str, failed: frozenset[str]) -> None:
        """Take back what connections that failed in a partition have said about upstreams."""
        self.outcomes.readmit(failed)
        self.cold.discard_assumed(failed)
        self.on_reachability_changed()

    def record_outcome(
        self,
        upstream_id: str,
        service: str,
        outcome: Outcome,
        seconds: float,
        started_pace: float | None = None,
    ) -> None:
        """Record the outcome of a request to an upstream and its duration in seconds.

        `started_pace` is the pace of the upstream when the request was sent; None if not known.
        """
        if outcome is Outcome.UNREACHABLE:
            if self.connector.reachability.is_unreachable(service):
                # Failures of a partitioned instance say nothing about the upstream.
                return
            # The upstream may be restarting, and is then cold before it can report so.
            self.cold.assume(upstream_id, ASSUMED_COLD_S, self.now())
        now = self.now()
        pace = self.upstream_loads.pace(upstream_id, now)
        if started_pace is not None:
            pace = mean_pace(started_pace, pace)
        self.outcomes.record_outcome(upstream_id, service, outcome, now, seconds, pace)
