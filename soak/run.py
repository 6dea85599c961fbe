"""Run one seed: start real gateway processes, send traffic, inject the plan's faults, then check.

The store, the upstreams and the callers run in this process; each instance is a process of its own
that reaches the store and the upstreams through fault-injecting proxies.
"""

from __future__ import annotations

import itertools
import random
import tempfile
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import gevent
import orjson

from driftstall.exceptions import PlatformUnavailable, UpstreamError
from driftstall.gateway.model import Bounds
from driftstall.platform.names import KIND_CONFIG, KIND_CORDONS, KIND_INSTANCES, NAME_CONFIG
from driftstall.platform.store import Store
from features.worlds.gateway_world import ENGINE, HOST, document, route
from measures.bench import Bench, BenchError
from measures.gateway_process import GatewayProcess
from soak.caller import CallerConnection, CallerConnections
from soak.checks import (
    APPLY_S,
    COLD_RATE,
    CONTACT_S,
    CORDON_S,
    DRAIN_S,
    FOLLOWED_APPLY_S,
    find_violations,
)
from soak.disturbed import DisturbedStarts
from soak.draw import draw_steps
from soak.fleet import EVENTS, FATAL, ZONES, UpstreamSlot
from soak.instance_faults import InstanceFaults
from soak.ledger import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    STORE,
    STREAMS,
    Ledger,
    RequestKind,
    SentRequest,
    UpstreamPeriod,
    Window,
)
from soak.partition import InstanceProxies, InstanceStoreLink, Partitions
from soak.plan import Fault, Kind, Plan, Step
from soak.proxy import Proxy
from soak.stop_checks import GRACE_S
from soak.truncation import HEALTH_PATH, STREAM_PAUSE_S, TruncatingSlot
from stand_ins import endings
from stand_ins.prompts import FATAL_PARTS, fatal_prompt, sound_prompt

TIMEOUTS_S: Final = {RequestKind.STREAM: 6.0, RequestKind.SHORT: 3.0}
CALL_TIMEOUT_S: Final = 2.0
LOCATION_TTL_S: Final = 1.0
"""Time for which instances say that located addresses may be kept (ttl_max_s)."""
MAX_KEPT_TTLS: Final = 3.0
"""Times the above for which some callers keep them."""
PROBE_INTERVAL_S: Final = 0.4
READY_TIMEOUT_S: Final = 40.0
"""Time until all instances are ready; they share few cores when they start at once."""
CALLERS_END_TIMEOUT_S: Final = 12.0
LINK_MBPS: Final = 100
PORTALS: Final = 2
ENGINES: Final = 3
RETRY_DELAY_S: Final = 0.05
SNAPSHOT_INTERVAL_S: Final = 2.5
UNRELATED_REVISIONS: Final = 200
"""Revisions that the store gives out after each snapshot for objects that nothing here reads; after
a restore it gives them out again."""
MAX_STORE_DOWN_S: Final = 1.0
REWRITE_S: Final = 1.0
"""Time within which operators and upstreams have written their entries again after a restore."""
UNSEEN_GAP_S: Final = 0.5
FATAL_CALLERS: Final = 2
"""Callers of fatal requests; each repeats a request of its own."""
FATAL_PART_CALLERS: Final = (FATAL_PARTS[0], *FATAL_PARTS)
"""The fatal parts in the prompts of further callers, whose requests are new each time."""
FATAL_FROM_S: Final = 3.0
"""Some ordinary streams have ended by then: they are all alike, and a success shows that they are
not poison."""
FATAL_PAUSE_S: Final = (0.2, 1.2)
BURST_STREAMS: Final = {Plan.CONTENDED: 60, Plan.REJECTING: 80}
"""Streams of a burst: several times as many as the contended engines hold, or more retries wanted
at once than the retry budget allows."""
SHORT_SHARE: Final = 0.6
"""Share of short streams in a burst."""
CONTENDED_TOKENS: Final = 6_000
"""Memory of an engine in the contended plan: room for a few streams."""
TOKEN_COUNTS: Final = {RequestKind.STREAM: "1000,400", RequestKind.SHORT: "1000,40"}
"""Prompt and output tokens that callers of the contended plan announce."""
SCARCE_RETRIES: Final = Bounds(retry_ratio=0.1, retry_extra=24.0)
"""The retry budget of the rejecting plan, which bursts exceed many times."""
MAX_RETRY_SHARE: Final = 1 / 3
"""Share of a request's time up to which a refused caller waits to send it once more."""


ORDINARY_KINDS: Final = (
    RequestKind.SAFE,
    RequestKind.ONCE,
    RequestKind.ONCE,
    RequestKind.STREAM,
)
CONTENDED_KINDS: Final = (RequestKind.SAFE, RequestKind.ONCE, *STREAMS)


QUEUED: Final = b"A stream waits for engine memory"
PACE_CHANGED: Final = b"The pace of upstream"


@dataclass(frozen=True, slots=True)
class Size:
    """The size and the plan of a run."""

    instances: int = 4
    callers: int = 12
    seconds: float = 20.0
    plan: Plan = Plan.MIXED


class Soak:
    """A run of one seed."""

    def __init__(self, seed: int, size: Size) -> None:
        """Start the store, the upstreams and the instances."""
        self._seed = seed
        self._size = size
        self._source = random.Random(seed)
        self._numbers = itertools.count(1)
        self._version = 1
        self._acked: tuple[int, float] = (1, 0.0)
        """The newest configuration that the store has acknowledged, and when."""
        self._cordons: set[str] = set()
        self._has_traffic = True
        self._bursts: list[gevent.Greenlet] = []
        self.folder = Path(tempfile.mkdtemp(prefix=f"driftstall-soak-{seed}-"))
        self.ledger = Ledger(EVENTS)
        if size.plan is Plan.REJECTING:
            self.ledger.bounds = SCARCE_RETRIES
        if size.plan is Plan.TRUNCATED:
            self.ledger.events, self.ledger.body = endings.EVENTS, endings.BODY
            self.ledger.is_engine_unframed = seed % 2 == 0
            self.ledger.sent_pieces, self.ledger.max_run_s = {}, STREAM_PAUSE_S * endings.EVENTS
        self._bench = Bench(self.folder)
        address = self._bench.start_platform().address
        self._store = Store(address)
        self._store.create(KIND_CONFIG, NAME_CONFIG, self._document())
        self._partitions = Partitions(size.instances) if size.plan is Plan.PARTITIONED else None
        services = [PLAIN_SERVICE] * PORTALS + [ENGINE_SERVICE] * ENGINES
        slot_class = TruncatingSlot if size.plan is Plan.TRUNCATED else UpstreamSlot
        self._fleet = [
            slot_class(
                place, service, self._store, self.ledger, self._source, size.plan, self._partitions
            )
            for place, service in enumerate(services, start=1)
        ]
        for slot in self._fleet:
            slot.all = [other for other in self._fleet if other.service == slot.service]
            slot.connect_peers()
        self._links = [
            InstanceStoreLink(address, place) if self._partitions else Proxy(address)
            for place in range(size.instances)
        ]
        self._instances = [self._start(number) for number in range(1, size.instances + 1)]
        self._faults = InstanceFaults(self._instances, self.ledger, lambda: self._has_traffic)
        assert self._bench.platform is not None
        control = self._bench.platform.control
        self._disturbed_starts = DisturbedStarts(
            self._instances, self._faults, self.ledger, self._store, control, self._fleet, seed
        )

    def close(self) -> None:
        """Kill all processes that this run has started."""
        self._faults.close()
        self._bench.close()
        for proxy in (*self._links, *(slot.proxy for slot in self._fleet)):
            proxy.stop()
        for slot in self._fleet:
            slot.upstream.stop()

    def play(self) -> list[str]:
        """Apply the plan under traffic and return a line for each violated guarantee."""
        self._await_ready()
        jobs = [gevent.spawn(self._call, number) for number in range(self._size.callers)]
        jobs.append(gevent.spawn(self._probe_configuration))
        if self._size.plan is Plan.RETURNING:
            gevent.spawn(self._take_snapshots)
        if self._size.plan is Plan.CRASHING:
            jobs += [gevent.spawn(self._call_fatal, number) for number in range(FATAL_CALLERS)]
            jobs += [gevent.spawn(self._call_fatal_part, part) for part in FATAL_PART_CALLERS]
        began = time.monotonic()
        steps = draw_steps(
            self._seed,
            instances=self._size.instances,
            upstreams=len(self._fleet),
            seconds=self._size.seconds,
            plan=self._size.plan,
        )
        for step in steps:
            gevent.sleep(max(0.0, began + step.at_s - time.monotonic()))
            self._apply(step)
        gevent.sleep(max(0.0, began + self._size.seconds - time.monotonic()))
        self._has_traffic = False
        gevent.joinall([*jobs, *self._bursts], timeout=CALLERS_END_TIMEOUT_S)
        self._record_final_state()
        return find_violations(self.ledger)

    def _await_ready(self) -> None:
        """Wait until all instances are ready, while the proxies in this process forward."""
        with gevent.Timeout(READY_TIMEOUT_S, BenchError("the instances do not become ready")):
            while not all(instance.is_ready() for instance in self._instances):
                gevent.sleep(RETRY_DELAY_S)

    def _start(self, number: int) -> GatewayProcess:
        """Start one instance."""
        seeds = [other.listen["control"] for other in getattr(self, "_instances", [])[:3]]
        bounds = {
            "graceS": GRACE_S,
            "ttl_max_s": LOCATION_TTL_S,
            "drainMs": DRAIN_S * 1000,
            "contactMs": CONTACT_S * 1000,
        }
        if self._size.plan is Plan.ZONES:
            bounds["evacuateMs"] = CORDON_S * 1000
        if self._size.plan is Plan.REJECTING:
            bounds["retryBudgetRatio"] = SCARCE_RETRIES.retry_ratio
            bounds["budgetExtra"] = SCARCE_RETRIES.retry_extra
        settings: dict[str, Any] = {
            "bounds": bounds,
            "seeds": seeds,
            "zone": ZONES[number % len(ZONES)],
            "limits": {"linkMbps": LINK_MBPS},
        }
        store = self._links[number - 1].address
        return GatewayProcess(f"instance-{number}", number, store, self.folder, settings)

    # Steps of the plan.

    def _apply(self, step: Step) -> None:
        """Start one step of the plan; it ends by itself."""
        handlers: dict[Kind, Callable[[Step], None]] = {
            **self._faults.handlers,
            **self._disturbed_starts.handlers,
            Kind.STORE_LINK: self._inject_into_store_link,
            Kind.UPSTREAM_LINK: self._inject_into_upstream_link,
            Kind.STORE_DOWN: lambda step: self._inject_into_store(step, {"down_s": step.for_s}),
            Kind.STORE_SILENT: lambda step: self._inject_into_store(
                step, {"down_s": step.for_s, "silent": True}
            ),
            Kind.STORE_SLOW: self._slow_store,
            Kind.STORE_FORGETS: lambda step: self._inject_into_store(step, {"forget": True}),
            Kind.STORE_LOSES: lambda step: self._inject_into_store(step, {"lose_answers": 2}),
            Kind.LEAVE: lambda step: self._change_fleet(step, "leave"),
            Kind.REMOVE: lambda step: self._change_fleet(step, "remove"),
            Kind.CRASH: lambda step: self._change_fleet(step, "crash"),
            Kind.BREAK_OFF: lambda step: self._fleet[step.target].break_off(step.for_s),
            Kind.CONFIGURE: lambda _: self._spawn(self._configure),
            Kind.CORDON: lambda step: self._spawn(self._cordon, step),
            Kind.START_AGAIN: lambda step: self._change_fleet(step, "restart"),
            Kind.STORE_RETURNS: lambda step: self._spawn(self._restore_store, step),
            Kind.LEAVE_UNSEEN: lambda step: self._spawn(self._leave_unseen, step),
            Kind.LIMIT: lambda step: self._spawn(self._fleet[step.target].limit, step.for_s),
            Kind.LEAVE_SIGNALLED: lambda step: self._spawn(
                self._fleet[step.target].leave_signalled, step.for_s
            ),
            Kind.REJECT: lambda step: self._spawn(self._fleet[step.target].reject, step.for_s),
            Kind.REJECT_ALL: self._reject_all,
            Kind.TURN_AWAY: self._turn_away,
            Kind.TRUNCATE: lambda step: self._change_fleet(step, "truncate", step.for_s),
            Kind.PARTITION: lambda step: self._spawn(self._partition, step),
            Kind.BURST: lambda step: self._spawn(self._burst, step),
            Kind.REJECT_FOLLOWERS: lambda step: self._spawn(self._reject_followers, step),
            Kind.SILENCE: lambda _: self._silence(range(len(self._instances))),
            Kind.SILENCE_ONE: lambda step: self._silence([step.target]),
        }
        handlers[step.kind](step)

    def _partition(self, step: Step) -> None:
        """Partition instances from all upstreams for the duration of a step."""
        assert self._partitions is not None
        names = [self._instances[target].name for target in step.targets]
        began = time.monotonic()
        self._partitions.begin(step.targets, step.partition_fault)
        gevent.sleep(step.for_s)
        for name in names:
            self.ledger.partitioned[name].append(Window(began, time.monotonic()))
        self._partitions.end(step.targets, step.partition_fault)

    def _partitioned_instances(self) -> list[GatewayProcess]:
        """Return the partitioned instances, which callers with an earlier answer still use."""
        if self._partitions is None:
            return []
        return [
            instance
            for place, instance in enumerate(self._instances)
            if self._partitions.fault_of(place) is not None
        ]

    def _reject_all(self, step: Step) -> None:
        """Let all upstreams of a service reject requests."""
        for slot in self._fleet[step.target].all:
            self._spawn(slot.reject, step.for_s)

    def _turn_away(self, step: Step) -> None:
        """Let all upstreams of a service turn requests away, in a burst of streams."""
        self._spawn(self._burst, step)
        for slot in self._fleet[step.target].all:
            self._spawn(slot.turn_away, step.for_s)

    def _reject_followers(self, step: Step) -> None:
        """Reset the calls of all instances that follow the store, and change the configuration."""
        with_links = list(zip(self._instances, self._links, strict=True))
        jobs = [gevent.spawn(_follows_store, instance) for instance, _ in with_links]
        gevent.joinall(jobs)
        rejected = [pair for pair, job in zip(with_links, jobs, strict=True) if job.value]
        if len(rejected) > len(with_links) // 2:
            # Soon after the start each instance takes itself for a follower, until it knows the
            # others' links. An outage of the whole store is in other plans.
            return
        for instance, link in rejected:
            self._disturb(instance.name, step.for_s)
            link.inject(Fault.RESET)
        self._configure()
        gevent.sleep(step.for_s)
        for _, link in rejected:
            link.end_fault()

    @staticmethod
    def _spawn(work: Callable[..., None], *values: Any) -> None:
        """Run a function in the background."""
        gevent.spawn(work, *values)

    def _disturb(self, name: str, for_s: float) -> None:
        """Record a disturbance that starts now."""
        now = time.monotonic()
        self.ledger.disturb(name, now, now + for_s)

    def _inject_into_store_link(self, step: Step) -> None:
        """Inject a fault into the link between an instance and the store."""
        self._disturb(self._instances[step.target].name, step.for_s)
        self._inject_into_proxy(self._links[step.target], step)

    def _silence(self, targets: Iterable[int]) -> None:
        """Silence the open connections between some instances and the store for good."""
        for target in targets:
            self._disturb(self._instances[target].name, 0.0)
            self._links[target].silence_open()

    def _inject_into_upstream_link(self, step: Step) -> None:
        """Inject a fault into the links of all instances to an upstream."""
        slot = self._fleet[step.target]
        for instance in self._instances:
            self._disturb(instance.name, step.for_s)
        self._inject_into_proxy(slot.proxy, step)

    @staticmethod
    def _inject_into_proxy(proxy: Proxy | InstanceProxies, step: Step) -> None:
        """Inject a fault into a proxy for the duration of a step."""
        proxy.inject(step.fault)
        gevent.spawn_later(step.for_s, proxy.end_fault)

    def _inject_into_store(self, step: Step, script: dict[str, Any]) -> None:
        """Inject a fault into the store; script is the control message of the stand-in."""
        self._disturb(STORE, step.for_s)
        assert self._bench.platform is not None
        self._spawn(self._bench.platform.control, script)

    def _slow_store(self, step: Step) -> None:
        """Slow the store down for the duration of a step."""
        self._inject_into_store(step, {"slow_s": 0.3})
        assert self._bench.platform is not None
        gevent.spawn_later(step.for_s, self._bench.platform.control, {"slow_s": 0.0})

    def _take_snapshots(self) -> None:
        """Have the store take a snapshot periodically."""
        assert self._bench.platform is not None
        while self._has_traffic:
            script = {
                "copy": True,
                "without": KIND_INSTANCES,
                "changed_elsewhere": UNRELATED_REVISIONS,
            }
            self._bench.platform.control(script)
            gevent.sleep(SNAPSHOT_INTERVAL_S)

    def _restore_store(self, step: Step) -> None:
        """Restore the store from its snapshot, and write the upstreams and configuration again."""
        assert self._bench.platform is not None
        down_s = min(step.for_s, MAX_STORE_DOWN_S)
        self._disturb(STORE, down_s + REWRITE_S)
        self._bench.platform.control({"come_back": True, "down_s": down_s})
        gevent.sleep(down_s + REWRITE_S / 2)
        for slot in self._fleet:
            self._spawn(slot.restore_entries)
        self._retry_write(lambda: self._store.replace(KIND_CONFIG, NAME_CONFIG, self._document()))

    def _change_fleet(self, step: Step, method: str, *values: Any) -> None:
        """Call a method of an upstream's slot; all of them may interrupt its requests."""
        self._spawn(getattr(self._fleet[step.target], method), *values)

    def _leave_unseen(self, step: Step) -> None:
        """Silence the store, and let all engines but one leave, one after another."""
        self._inject_into_store(step, {"down_s": step.for_s, "silent": True})
        engines = [slot for slot in self._fleet if slot.service == ENGINE_SERVICE]
        first = step.target % len(engines)
        for number in range(1, len(engines)):
            gevent.sleep(UNSEEN_GAP_S)
            slot = engines[(first + number) % len(engines)]
            if slot.upstream.upstream_id not in self.ledger.leaving_reports:
                self._spawn(slot.leave_unseen)

    def _cordon(self, step: Step) -> None:
        """Cordon a zone for the duration of a step, unless it is cordoned already."""
        zone = ZONES[step.target % len(ZONES)]
        if zone in self._cordons:
            return
        self._cordons.add(zone)
        self._retry_write(lambda: self._store.create(KIND_CORDONS, zone, {}))
        began = time.monotonic()
        gevent.sleep(step.for_s)
        window = Window(began, time.monotonic())
        # Upstreams started meanwhile under other ids have been cordoned since their start.
        ids = {slot.upstream.upstream_id for slot in self._fleet if slot.zone == zone}
        self.ledger.cordoned += [UpstreamPeriod(upstream_id, window) for upstream_id in ids]
        self._retry_write(lambda: self._store.delete(KIND_CORDONS, zone))
        self._cordons.discard(zone)

    @staticmethod
    def _retry_write(write: Callable[[], object]) -> None:
        """Call write until the store has taken it."""
        while True:
            try:
                write()
                return
            except PlatformUnavailable:
                gevent.sleep(RETRY_DELAY_S)

    def _configure(self) -> None:
        """Store a configuration with a new route and without the route added before."""
        self._version += 1
        version = self._version
        while True:
            try:
                self._store.replace(KIND_CONFIG, NAME_CONFIG, self._document())
                break
            except PlatformUnavailable:
                gevent.sleep(RETRY_DELAY_S)
        if version > self._acked[0]:
            self._acked = (version, time.monotonic())

    def _document(self) -> dict[str, Any]:
        """Return the configuration of the newest version."""
        return routing_document(self._size.plan, self._version)

    # Traffic.

    def _call(self, number: int) -> None:
        """Send ordinary requests as one caller until the traffic ends."""
        source = random.Random(f"{self._seed}-{number}")
        prompts = random.Random(f"{self._seed}-{number}-prompts")
        connections = CallerConnections()
        located: list[GatewayProcess] = []
        keep_until = float("-inf")
        while self._has_traffic:
            if time.monotonic() > keep_until or not located:
                located = self._locate(source) or located
                kept_s = LOCATION_TTL_S * source.uniform(1.0, MAX_KEPT_TTLS)
                keep_until = time.monotonic() + kept_s
            if not located:
                gevent.sleep(RETRY_DELAY_S)
                continue
            is_contended = self._size.plan is Plan.CONTENDED
            kind = source.choice(CONTENDED_KINDS if is_contended else ORDINARY_KINDS)
            kept = [each for each in self._instances if each.name in connections.open_names]
            instance = source.choice([*located, *kept, *self._partitioned_instances()])
            connection = connections.to(instance.name)
            has_prompt = self._size.plan is Plan.CRASHING and kind in STREAMS
            prompt = sound_prompt(prompts) if has_prompt else ""
            request = self._send(connection, instance, kind, f"/{kind}/x", prompt)
            gevent.sleep(source.uniform(0.0, 0.2) + (request.status != 200) * RETRY_DELAY_S)
        connections.close()

    def _burst(self, step: Step) -> None:
        """Send many streams within the duration of a step, each on a connection of its own."""
        source = random.Random(f"{self._seed}-burst-{step.at_s}")
        streams = BURST_STREAMS[self._size.plan]
        for number in range(streams):
            is_short = self._size.plan is Plan.CONTENDED and source.random() < SHORT_SHARE
            kind = RequestKind.SHORT if is_short else RequestKind.STREAM
            # A path of its own: a refused request's place is kept for one of the same content.
            path = f"/{kind}/{step.at_s:.3f}-{number}"
            instance = source.choice(self._instances)
            self._bursts.append(gevent.spawn(self._send_with_retry, instance, kind, path))
            gevent.sleep(step.for_s / streams)

    def _send_with_retry(self, instance: GatewayProcess, kind: RequestKind, path: str) -> None:
        """Send a stream, and once more if it is refused and may return in time."""
        connection = CallerConnection()
        request = self._send(connection, instance, kind, path)
        if request.status == 503 and request.complete:
            retry_after_s = orjson.loads(request.body).get("retry_after_s", 0.0)
            if retry_after_s <= TIMEOUTS_S[kind] * MAX_RETRY_SHARE:
                gevent.sleep(retry_after_s)
                self._send(connection, instance, kind, path)
        connection.close()

    def _call_fatal(self, number: int) -> None:
        """Send one fatal request repeatedly to random instances, as one caller."""
        source = random.Random(f"{self._seed}-fatal-{number}")
        gevent.sleep(FATAL_FROM_S)
        while self._has_traffic:
            connection = CallerConnection()
            instance = source.choice(self._instances)
            self._send(connection, instance, RequestKind.STREAM, f"{FATAL}-{number}")
            connection.close()
            gevent.sleep(source.uniform(*FATAL_PAUSE_S))

    def _call_fatal_part(self, part: str) -> None:
        """Send prompts with a fatal part to random instances, on connections that are kept."""
        source = random.Random(f"{self._seed}-{part}-{next(self._numbers)}")
        connections = CallerConnections()
        gevent.sleep(FATAL_FROM_S + source.uniform(*FATAL_PAUSE_S))
        while self._has_traffic:
            instance = source.choice(self._instances)
            path, prompt = f"/stream/p-{next(self._numbers)}", fatal_prompt(source, part)
            self._send(connections.to(instance.name), instance, RequestKind.STREAM, path, prompt)
            gevent.sleep(source.uniform(*FATAL_PAUSE_S))
        connections.close()

    def _locate(self, source: random.Random) -> list[GatewayProcess]:
        """Ask up to three instances which instances to use, and return those."""
        for instance in source.sample(self._instances, min(3, len(self._instances))):
            try:
                zone = source.choice(ZONES)
                status, body = instance.get("directory", f"/api/resolve?name={HOST}&zone={zone}")
            except UpstreamError:
                continue
            if status == 200:
                addresses = orjson.loads(body)["addresses"]
                return [
                    instance
                    for instance in self._instances
                    if instance.listen["front"] in addresses
                ]
        return []

    def _send(
        self,
        connection: CallerConnection,
        instance: GatewayProcess,
        kind: RequestKind,
        path: str,
        prompt: str = "",
    ) -> SentRequest:
        """Send one request, and return it with its result."""
        timeout_s = TIMEOUTS_S.get(kind, CALL_TIMEOUT_S)
        request_id = f"s{self._seed}-{next(self._numbers)}"
        request = SentRequest(
            request_id, kind, path, instance.name, time.monotonic(), timeout_s, prompt=prompt
        )
        self.ledger.requests[request_id] = request
        is_contended = self._size.plan is Plan.CONTENDED
        token_count = TOKEN_COUNTS.get(kind, "") if is_contended else ""
        connection.send(instance.listen["front"], request, token_count)
        return request

    def _probe_configuration(self) -> None:
        """Probe all instances periodically, once the newest configuration must be in force."""
        while self._has_traffic:
            gevent.sleep(PROBE_INTERVAL_S)
            version, acked_at = self._acked
            is_following = self._size.plan is Plan.FOLLOWING
            apply_s = FOLLOWED_APPLY_S if is_following else APPLY_S
            is_due = time.monotonic() - acked_at > apply_s and version == self._version
            if not is_due or version == 1:
                continue
            jobs = [
                gevent.spawn(self._probe_instance, instance, version)
                for instance in self._instances
            ]
            gevent.joinall(jobs)

    def _probe_instance(self, instance: GatewayProcess, version: int) -> None:
        """Send requests for the newest route and for the route removed last to one instance."""
        for kind, number in ((RequestKind.ADDED, version), (RequestKind.DROPPED, version - 1)):
            if self._version != version:
                return
            connection = CallerConnection()
            self._send(connection, instance, kind, f"/added{number}/x")
            connection.close()

    def _record_final_state(self) -> None:
        """Record which processes have exited unexpectedly, or are not ready or not listed."""
        if self._size.plan is Plan.CONTENDED:
            logs = b"".join(instance.log.read_bytes() for instance in self._instances)
            self.ledger.queue_waits = logs.count(QUEUED)
            self.ledger.pace_changes = logs.count(PACE_CHANGED)
        listed = {entry.name for entry in self._store.list(KIND_INSTANCES).objects}
        self._faults.record_exits()
        for instance in self._instances:
            if not instance.is_ready():
                self.ledger.not_ready.append(f"{instance.name} is not ready at the end")
            elif instance.name not in listed:
                self.ledger.not_ready.append(f"{instance.name} is not listed at the end")


def routing_document(plan: Plan, version: int) -> dict[str, Any]:
    """Return the configuration of a plan, with a route that only this version has."""
    config = document(version)
    for entry in config["routes"]:
        is_stream = entry["kind"] == "streaming"
        entry["timeoutMs"] = (
            TIMEOUTS_S[RequestKind.STREAM] if is_stream else CALL_TIMEOUT_S
        ) * 1000
    if plan is Plan.ZONES:
        config["services"] = [service | {"coldPerS": COLD_RATE} for service in config["services"]]
    if plan is Plan.CONTENDED:
        config["services"][1] = {
            "name": ENGINE_SERVICE,
            "engine": ENGINE | {"kvCacheTokens": CONTENDED_TOKENS},
        }
        timeout_ms = TIMEOUTS_S[RequestKind.SHORT] * 1000
        prefix = f"/{RequestKind.SHORT}/"
        short = route("short", prefix, "streaming", ENGINE_SERVICE, priority=0, gap_aim_ms=180)
        config["routes"].append(short | {"timeoutMs": timeout_ms})
    if plan is Plan.TRUNCATED:
        # Plain upstreams name their process there, as engines do in their reports.
        config["services"] = [{"healthPath": HEALTH_PATH} | each for each in config["services"]]
    added = route("added", f"/added{version}/", "safe", PLAIN_SERVICE)
    config["routes"].append(added | {"timeoutMs": CALL_TIMEOUT_S * 1000})
    return config


def _follows_store(instance: GatewayProcess) -> bool:
    """Return True if an instance's metrics state that it follows the store."""
    try:
        return b"driftstall_gateway_follows_store 1" in instance.get("metrics", "/metrics")[1]
    except UpstreamError:
        return False
