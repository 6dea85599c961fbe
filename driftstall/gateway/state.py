"""Hold what the parts of one gateway instance share."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Final

import gevent
from gevent.event import Event

from driftstall.const import PREFIX_ROUTING
from driftstall.core import Request
from driftstall.decisions.cold_starts import QUIET_START_S, UNTOLD_S, ColdPart, ColdStarts
from driftstall.decisions.instance_count import InstanceCount
from driftstall.decisions.lengths import LearnedLengths
from driftstall.decisions.placers import MAX_COMPARED_UPSTREAMS
from driftstall.decisions.poison_detection import PoisonTracker
from driftstall.decisions.store_versions import StoreEras
from driftstall.decisions.upstream_backoff import StaggeredRetries, UpstreamBackoff
from driftstall.gateway.cold_gate import ColdGate
from driftstall.gateway.cordons import CordonRegistry
from driftstall.gateway.dialect import Dialect
from driftstall.gateway.exchange import OpenExchanges, ResponseHead, UpstreamExchange
from driftstall.gateway.fleet import FleetController
from driftstall.gateway.loads import LoadTable, RequestLoad, Use
from driftstall.gateway.model import GatewaySettings, Service, Upstream
from driftstall.gateway.outcomes import Outcome, OutlierDetector
from driftstall.gateway.routes import RouteTable
from driftstall.gateway.runs import BrokenRun, RunRegistry, StreamRun
from driftstall.gateway.selection import SAMPLE_SIZE, Option, Sampler
from driftstall.gateway.shared_budget import RepeatCount, SharedRetryBudget
from driftstall.gateway.stats import GatewayStats
from driftstall.gateway.upstream_signals import UpstreamSignals
from driftstall.helpers.log import log_event
from driftstall.helpers.rate_limiting import RateLimiting
from driftstall.peers.gateway_messages import PlacementAsked, PlacementGiven
from driftstall.policy.model import Policy
from driftstall.util import clock

NO_LOAD: Final = 0.0
HINT_WEIGHT: Final = 0.33
"""Weight of a caller's estimate beside what was learned, on a log scale; it is often well off."""
NOTICE_AGE_S: Final = 0.5
"""An upstream that leaves may have given notice so long before this instance learns of it."""
GROWTH_SHARE: Final = 0.5
"""Share of a run's expected growth that is counted: others end while it grows."""


class GatewayState:
    """Share the books, the configuration in force and the clocks."""

    def __init__(self, settings: GatewaySettings, dialect: Dialect, policy: Policy) -> None:
        """Start with the settings and the default policy, and no configuration."""
        self.settings = settings
        self.dialect = dialect
        self.policy = policy
        self.route_table: RouteTable | None = None
        self.fleet = FleetController()
        self.cordons = CordonRegistry()
        self.eras = StoreEras()
        self.cold = ColdStarts()
        self.exchanges = OpenExchanges()
        self.loads = LoadTable()
        self.outcomes = OutlierDetector()
        self.lengths = LearnedLengths()
        self.runs = RunRegistry()
        self.poison_tracker = PoisonTracker()
        self.stats = GatewayStats()
        self.rng = random.Random()
        self.instances = InstanceCount()
        self.rate_limiting = RateLimiting(
            self.stats,
            instances=lambda: self.instances.value,
            now=lambda: self.now(),
            pause=gevent.sleep,
        )
        self.backoff = UpstreamBackoff()
        self.retry_schedule = StaggeredRetries()
        """Times at which refused callers of a service return."""
        self.signals = UpstreamSignals(
            self.stats, self.rate_limiting, self.fleet, self.backoff, lambda: self.now()
        )
        dialect.observe_signals = self.signals.handle_own_call
        self.fleet_changed = Event()
        self.configured = Event()
        """Set once there is a routing document and a list of upstreams."""
        self.loads_changed = Event()
        self.stopping_since: float | None = None
        self.notice_at = float("-inf")
        """When an upstream was last known to be leaving."""
        self.open_requests = 0
        self.request_placement: Callable[[PlacementAsked], PlacementGiven | None] = _place_here
        """Asks who places streams for the zone; None where this instance is to choose."""
        self.on_upstream_suspected: Callable[[Upstream], None] = _ignore
        """Takes an engine at which a stream broke off unexpectedly."""
        self.on_run_broken: Callable[[Upstream, BrokenRun], None] = _ignore_run
        """Takes a run that broke off though its upstream was to stay."""
        self.on_poison_evidence_changed: Callable[[], None] = _tell_nobody
        """Has peers told which requests ran beside crashes."""
        self.on_store_era: Callable[[int], None] = _ignore_era
        """Takes an era that a peer knows of the platform's store."""
        self.on_quarantine_cleared: Callable[[str], None] = _ignore_fingerprint
        """Takes a request that is held to have crashed upstreams no more."""
        self.sampler = Sampler(self.rng)
        self._started_at = self.now()
        self.cold_gate = ColdGate(self.cold, self.rng, self._cold_part, lambda: self.now())
        self._budgets: dict[str, SharedRetryBudget] = {}

    @staticmethod
    def now() -> float:
        """Return the steady clock, in seconds; suspensions count."""
        return clock.now()

    @staticmethod
    def wall() -> float:
        """Return the time of day, in seconds."""
        return time.time()

    @property
    def is_ready(self) -> bool:
        """Tell whether this instance takes requests."""
        return self.is_configured and self.stopping_since is None

    @property
    def is_configured(self) -> bool:
        """Tell whether there is something to decide by."""
        knows_cordons = self.cordons.is_loaded or not self.settings.bounds.cordon_s
        return self.route_table is not None and self.fleet.is_loaded and knows_cordons

    def notify_if_configured(self) -> None:
        """Let waiting requests go on once there is something to decide by."""
        if self.is_configured:
            self.configured.set()

    def budget(self, service: str) -> SharedRetryBudget:
        """Return the retry budget of a service."""
        found = self._budgets.get(service)
        if found is None:
            found = SharedRetryBudget(service, self.settings.bounds, self.instances)
            self._budgets[service] = found
        return found

    def set_load_pooling(self, pooled: bool) -> None:
        """Choose among a few upstreams only where the sums of a large fleet are pooled."""
        self.sampler = Sampler(self.rng, SAMPLE_SIZE if pooled else None)

    def notify_call_load_changed(self) -> None:
        """Have peers told of a plain call, unless it is over before pooled sums are made."""
        if self.sampler.sample_size is None:
            self.loads_changed.set()

    def forget_peers(self) -> None:
        """Forget what peers have told of their loads and repeats."""
        self.loads.forget_peers()
        for budget in self._budgets.values():
            budget.forget_peers()

    def try_take_retry(self, service: str, request_id: str) -> bool:
        """Take one repeat from the common budget; a refusal is logged with its inputs."""
        now = self.now()
        budget = self.budget(service)
        if budget.try_take(now):
            self.stats.repeats += 1
            return True
        own = budget.count(now)
        log_event(
            PREFIX_ROUTING,
            "The retry budget allows no further send",
            request=request_id,
            service=service,
            own_requests=own.requests,
            own_repeats=own.repeats,
            allowed=round(budget.allowed(now), 1),
            instances=self.instances.value,
        )
        return False

    def repeat_counts(self) -> tuple[RepeatCount, ...]:
        """Return what this instance has sent to each service, for its peers."""
        now = self.now()
        return tuple(budget.count(now) for budget in self._budgets.values())

    def options(
        self,
        service: str,
        avoid: frozenset[str] = frozenset(),
        most: int | None = MAX_COMPARED_UPSTREAMS,
        *,
        heeds_backoff: bool = True,
    ) -> list[Option]:
        """Return the upstreams of a service that may be chosen, with what runs there.

        Where there are more than the most wanted (None: all), so many are drawn by lot. Those that
        back off are left out, unless a peer is to send there or memory is summed up.
        """
        now = self.now()
        left_out = avoid | self.backoff.active(now) if heeds_backoff else avoid
        ready = [one for one in self.fleet.ready(service) if one.upstream_id not in left_out]
        if most is not None and len(ready) > most:
            drawn = self.rng.sample(ready, most)
            return [self._option(one, self.loads.use(one.upstream_id, now), now) for one in drawn]
        # All sums at once: who places for a fleet hears of a hundred instances.
        totals = self.loads.totals(now)
        return [
            self._option(one, totals.get(one.upstream_id) or Use(one.upstream_id), now)
            for one in ready
        ]

    def _option(self, upstream: Upstream, use: Use, now: float) -> Option:
        """Return what is known of an upstream that may be chosen."""
        upstream_id = upstream.upstream_id
        return Option(
            upstream,
            use,
            self.outcomes.penalty(upstream_id, upstream.service, now),
            self.outcomes.is_ejected(upstream_id, now),
            self.cold.ends_in_s(upstream_id, now),
            self.rate_limiting.is_limited(upstream_id),
        )

    def connect(self, upstream: Upstream, timeout_s: float) -> UpstreamExchange:
        """Open a connection to an upstream; raise UpstreamError if it does not come up.

        What the upstream signals with its responses is handled as they arrive.
        """
        exchange = UpstreamExchange.connect(upstream.address, timeout_s)

        def observe(head: ResponseHead) -> None:
            signals = self.dialect.read_answer(head.status, head.headers).signals
            self.signals.handle_response(upstream, signals, exchange.sent_at)

        exchange.observe = observe
        return exchange

    def draining_options(
        self, service: str, avoid: frozenset[str], for_s: float = 0.0
    ) -> list[Option]:
        """Return the upstreams that leave and serve for so much longer: the last resort."""
        now = self.now()
        return [
            self._option(one, self.loads.use(one.upstream_id, now), now)
            for one in self.fleet.draining(service, now + for_s, self.max_new_request_drain_s)
            if one.upstream_id not in avoid and not self.backoff_s(one)
        ]

    def backoff_s(self, upstream: Upstream) -> float:
        """Return for how long an upstream wants no requests of this instance; zero for none."""
        return self.backoff.remaining_s(upstream.upstream_id, self.now())

    def can_send(self, upstream: Upstream) -> bool:
        """Tell whether an upstream may be sent anything, just before it is."""
        serves = self.fleet.can_still_serve(
            upstream.upstream_id, self.now(), self.settings.bounds.drain_s
        )
        return serves and not self.backoff_s(upstream)

    def can_start_on(self, upstream: Upstream, tried: frozenset[str]) -> bool:
        """Tell whether an upstream may be sent something new, just before it is.

        One that leaves is a last resort, where no other one than those tried takes requests.
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
        """Return for how long an upstream that leaves is sent something new at most."""
        return self.settings.bounds.drain_s - NOTICE_AGE_S

    def cold_rate(self, service: str) -> float:
        """Return the requests a second that a cold upstream bears; zero where none is told."""
        found = self.route_table.service(service) if self.route_table else None
        return found.cold_rate if found else 0.0

    def _cold_part(self, service: str) -> ColdPart | None:
        """Return how often this instance may send to a cold upstream; None: unbounded."""
        rate = self.cold_rate(service)
        if not rate:
            return None
        if self.now() - self._started_at < QUIET_START_S:
            return ColdPart(0.0)
        placed = self.sampler.sample_size is not None
        return ColdPart.of_instance(rate, self.instances.value, placed=placed)

    def expected_tokens(self, request: Request, hint: int) -> int:
        """Forecast the whole output of a request, in tokens."""
        learned = self.lengths.expected(request)
        if hint:
            learned = learned ** (1 - HINT_WEIGHT) * hint**HINT_WEIGHT
        return int(learned)

    def record_run_load(self, run: StreamRun) -> None:
        """Tell the books, and soon the peers, what a stream takes now."""
        marks = run.admitted.marks
        left = max(0, self.expected_tokens(run.request, marks.length_hint) - run.tokens)
        holder = run.backup or run.replica_target
        covered = holder is not None and self.fleet.accepts_requests(holder.upstream_id)
        share = RequestLoad(
            run.upstream.upstream_id,
            run.held_tokens + int(GROWTH_SHARE * left),
            0 if run.events else marks.input_tokens,
            holder.upstream_id if holder else "",
            run.held_tokens if run.events and not covered else 0,
        )
        self.loads.set_load(run.request_id, share)
        self.loads_changed.set()

    def memory_load(self, service_name: str) -> float:
        """Return the share of a service's engine memory in use, from 0 to 1."""
        service = self.route_table.service(service_name) if self.route_table else None
        if service is None or service.engine is None:
            return NO_LOAD
        return self._memory_share(service)

    def _memory_share(self, service: Service) -> float:
        """Return the share of engine memory in use."""
        assert service.engine is not None
        options = self.options(service.name, heeds_backoff=False)
        total = service.engine.memory_tokens * len(options)
        if not total:
            return NO_LOAD
        return min(1.0, sum(one.use.tokens + one.use.copies for one in options) / total)

    def record_success(self, fingerprint: str) -> None:
        """Take in that a request has ended well, which clears it of crashes."""
        now = self.now()
        was_convicted = self.poison_tracker.verdict(fingerprint, now).is_poison
        if fingerprint and self.poison_tracker.record_success(fingerprint, now):
            self.on_poison_evidence_changed()
        if was_convicted:
            self.on_quarantine_cleared(fingerprint)

    def record_outcome(
        self, upstream_id: str, service: str, outcome: Outcome, seconds: float
    ) -> None:
        """Take in how a request to an upstream went."""
        if outcome is Outcome.UNREACHABLE:
            # It may be starting again, and is cold then before it can say so.
            self.cold.assume(upstream_id, UNTOLD_S, self.now())
        self.outcomes.record_outcome(upstream_id, service, outcome, self.now(), seconds)


def _ignore(_: Upstream) -> None:
    """Take an engine that nobody asks about."""


def _ignore_run(_: Upstream, __: BrokenRun) -> None:
    """Take a run that nobody asks about."""


def _ignore_fingerprint(_: str) -> None:
    """Keep nothing of it."""


def _ignore_era(_: int) -> None:
    """Take an era that nobody asks about."""


def _tell_nobody() -> None:
    """Tell nobody."""


def _place_here(_: PlacementAsked) -> PlacementGiven | None:
    """Ask nobody."""
    return None
