"""Simulation of a fleet whose streams leave an engine, on virtual time and without a network.

Evacuation, migration steps, the queue's ledger and reports are the product's. Engines are replaced
by a model of their links: copies that overlap share the link of their source.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, Final

from gevent import getcurrent
from gevent.hub import RawGreenlet

from driftstall.core import Request, Verdict
from driftstall.decisions.store_versions import StoreVersion
from driftstall.gateway import evacuation as evacuation_module
from driftstall.gateway.admission import AdmittedRequest
from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.dialect import MoveDone, MoveFailed, MoveResult
from driftstall.gateway.evacuation import Evacuation
from driftstall.gateway.fleet_events import UpstreamChanged, UpstreamsListed
from driftstall.gateway.loads import FLEET_KEY, Use
from driftstall.gateway.model import (
    Bounds,
    CallerMetadata,
    GatewaySettings,
    Upstream,
    UpstreamState,
)
from driftstall.gateway.moves import Mover
from driftstall.gateway.routes import RouteTable
from driftstall.gateway.runs import StreamRun
from driftstall.gateway.scheduling import copy_orderer, copy_performer
from driftstall.gateway.scheduling.evacuation_messages import (
    CopyEnded,
    CopyOrdered,
    EvacuationRequested,
)
from driftstall.gateway.scheduling.evacuation_orders import EvacuationOrders
from driftstall.gateway.scheduling.memory_queue import MemoryQueue
from driftstall.gateway.scheduling.queue_client import RunReporter
from driftstall.gateway.scheduling.queue_messages import RunsReported
from driftstall.gateway.state import GatewayState
from driftstall.peers.codec import HEADER, decode, encode, message_types_of
from driftstall.peers.envelope import Envelope
from driftstall.peers.gateway_messages import GatewayMessage
from driftstall.platform.dialect import PlatformDialect
from driftstall.platform.documents import read_routing
from driftstall.policy.default import default_policy
from features.worlds.gateway_world import document, route

LEAVING: Final = "engine-0"
MEMORY_TOKENS: Final = 26_900
TOKEN_BYTES: Final = 163_840
LINK_BYTES_PER_S: Final = 3e9
ENGINE: Final = {
    "slots": 24,
    "kvCacheTokens": MEMORY_TOKENS,
    "kvTokenBytes": TOKEN_BYTES,
    "linkMbps": 24_000.0,
    "moves": True,
    "backups": True,
    "stride": 4,
}
HOP_S: Final = 0.0014
STEP_S: Final = 0.003
"""Time of a migration step besides the transfer."""
SLICE_S: Final = 0.002
"""Time after which the rates of overlapping copies are computed anew."""
REPORT_S: Final = 0.03
PROMPT_TOKENS: Final = 3_000


class VirtualTime:
    """Run greenlets on a clock that advances to the next wake-up; stands in for gevent."""

    def __init__(self) -> None:
        """Start at an arbitrary time."""
        self.now = 100.0
        self._numbers = itertools.count()
        self._wakes: list[tuple[float, int, RawGreenlet]] = []

    def spawn(self, work: Callable[..., Any], *args: Any) -> None:
        """Start a greenlet at the current time."""
        self.spawn_later(0.0, work, *args)

    def spawn_later(self, seconds: float, work: Callable[..., Any], *args: Any) -> None:
        """Start a greenlet some seconds later."""
        self._wake(self.now + seconds, RawGreenlet(lambda: work(*args), parent=getcurrent()))

    def sleep(self, seconds: float = 0.0) -> None:
        """Let the current greenlet wait."""
        self._wake(self.now + seconds, getcurrent())
        self._hub.switch()

    def run_until(self, until: float) -> None:
        """Run everything up to a time."""
        self._hub = getcurrent()
        while self._wakes and self._wakes[0][0] <= until:
            at, _, woken = heapq.heappop(self._wakes)
            self.now = max(self.now, at)
            if not woken.dead:
                woken.parent = self._hub
                woken.switch()
        self.now = until

    def _wake(self, at: float, sleeper: RawGreenlet) -> None:
        """Schedule a greenlet."""
        heapq.heappush(self._wakes, (at, next(self._numbers), sleeper))


@dataclass(slots=True)
class Links:
    """Model the links of all engines."""

    time: VirtualTime
    ends_at: dict[str, float] = field(default_factory=dict)
    """When an engine terminates, by its id."""
    rejecting: set[str] = field(default_factory=set)
    """Engines that reject every copy."""
    active: dict[str, int] = field(default_factory=dict)
    most_active: dict[str, int] = field(default_factory=dict)
    whole: list[str] = field(default_factory=list)
    """Requests whose final copy is complete, in order."""
    steps: list[tuple[str, str]] = field(default_factory=list)
    """Request and target of each step begun."""
    copied: dict[tuple[str, str], int] = field(default_factory=dict)
    """Tokens copied, by request and target."""
    copying: set[str] = field(default_factory=set)
    copied_twice_at_once: list[str] = field(default_factory=list)
    """Requests of which a step began during another one."""
    step_times: list[float] = field(default_factory=list)
    began_at: dict[str, float] = field(default_factory=dict)
    """Time of the first step, by request."""

    def move(
        self, source: Upstream, request_id: str, target: Upstream, *, last: bool, held_tokens: int
    ) -> MoveResult:
        """Perform one migration step over the source's link."""
        if request_id in self.copying:
            self.copied_twice_at_once.append(request_id)
        self.copying.add(request_id)
        self.step_times.append(self.time.now)
        self.began_at.setdefault(request_id, self.time.now)
        try:
            return self._step(source, request_id, target, last=last, held_tokens=held_tokens)
        finally:
            self.copying.discard(request_id)

    def _step(
        self, source: Upstream, request_id: str, target: Upstream, *, last: bool, held_tokens: int
    ) -> MoveResult:
        """Perform the step: an answer of the target, and then the transfer."""
        source_id, target_id = source.upstream_id, target.upstream_id
        self.steps.append((request_id, target_id))
        failed = MoveFailed(False, False, "", "no answer")
        if self._has_ended(source_id):
            return failed
        self.time.sleep(STEP_S)
        if target_id in self.rejecting:
            return MoveFailed(False, False, "", "no room", target_rejected=True)
        factor = 1.0 if source.zone == target.zone else 0.5
        left = float(held_tokens - self.copied.get((request_id, target_id), 0)) * TOKEN_BYTES
        self.active[source_id] = self.active.get(source_id, 0) + 1
        try:
            while left > 0:
                count = self.active[source_id]
                self.most_active[source_id] = max(self.most_active.get(source_id, 0), count)
                self.time.sleep(SLICE_S)
                left -= SLICE_S * LINK_BYTES_PER_S * factor / count
                if self._has_ended(source_id):
                    return failed
        finally:
            self.active[source_id] -= 1
        self.copied[request_id, target_id] = held_tokens
        if last:
            self.whole.append(request_id)
        return MoveDone(f"copy-{request_id}")

    def _has_ended(self, upstream_id: str) -> bool:
        """Return True if an engine has terminated."""
        return self.time.now >= self.ends_at.get(upstream_id, float("inf"))


def routing() -> dict[str, Any]:
    """Return a document in which short streams have a more urgent rank than long ones."""
    routes = [
        route("short", "/short/", "streaming", "engines", timeoutMs=6_000, priority=0),
        route("long", "/long/", "streaming", "engines", timeoutMs=16_000, priority=5),
    ]
    return document(routes=routes, services=[{"name": "engines", "engine": ENGINE}], tenants=None)


def engine_of(number: int, zone: str) -> Upstream:
    """Return an engine's entry."""
    name = f"engine-{number}"
    return Upstream(name, "engines", "127.0.0.1:1", zone, 24, UpstreamState.READY, StoreVersion(1))


def settings_of(name: str, zone: str) -> GatewaySettings:
    """Return the settings of an instance that opens no sockets."""
    nowhere = "127.0.0.1:1"
    return GatewaySettings(
        instance_id=name,
        zone=zone,
        caller_listen=nowhere,
        ready_listen=nowhere,
        locate_listen=nowhere,
        peer_listen=nowhere,
        metrics_listen=nowhere,
        link_mbps=100,
        platform_address=nowhere,
        seeds=(),
        bounds=Bounds(),
        peer_key="peer key for tests only",
        is_first_start=True,
    )


def over_the_wire(sender: str, recipient: str, message: Any) -> Any:
    """Return a message as its recipient decodes it."""
    frame = encode(Envelope(sender, recipient, 1, message), b"key")
    return decode(frame[HEADER.size :], b"key", message_types_of(GatewayMessage)).message


class Instance:
    """One simulated instance."""

    def __init__(self, world: EvacuationWorld, name: str, zone: str = "a") -> None:
        """Create its parts, with the simulation's clock and links."""
        self.name, self._world = name, world
        self.is_alive = True
        self.roles = FleetRoles(is_large=True, placers=world.placers)
        state = self.state = GatewayState(
            settings_of(name, zone), PlatformDialect(), default_policy()
        )
        state.now = lambda: world.time.now  # type: ignore[method-assign]
        state.rng = random.Random(f"{world.seed} {name}")
        state.route_table = RouteTable.from_document(read_routing(routing()))
        state.fleet.handle(UpstreamsListed(world.engines), world.time.now)
        state.set_load_pooling(True)
        state.dialect = self  # type: ignore[assignment]
        mover = Mover(state)
        self.queue = MemoryQueue(
            state, roles=lambda: self.roles, send=self.send, placer_gate=state.cold_gate
        )
        self._reporter = RunReporter(
            state,
            self.queue._service,
            self.queue._client,
            roles=lambda: self.roles,
            send=self.send,
        )
        self.orders = EvacuationOrders(state, self.queue, roles=lambda: self.roles, send=self.send)
        self.evacuation = Evacuation(state, mover)
        self.evacuation.use_orders(self.orders)

    def send(self, recipient: str, message: Any) -> None:
        """Send a message to another instance, which receives it a hop later."""
        if not self.is_alive:
            return
        if isinstance(message, EvacuationRequested | CopyOrdered | CopyEnded):
            self._world.sent.append((self._world.time.now, recipient, message))
            message = over_the_wire(self.name, recipient, message)
        if not self._world.loses(self.name, recipient, message):
            self._world.time.spawn_later(HOP_S, self._world.instances[recipient].receive, message)

    def receive(self, message: Any) -> None:
        """Dispatch a message."""
        if not self.is_alive:
            return
        if isinstance(message, EvacuationRequested | CopyOrdered | CopyEnded):
            self.orders.handle(message)
        else:
            self.queue.handle(message)

    def move(
        self, source: Upstream, request_id: str, target: Upstream, *, last: bool
    ) -> MoveResult:
        """Perform a step in place of the dialect; a moved stream resumes a moment later."""
        (run,) = [run for run in self.state.runs.all if run.request_id == request_id]
        links = self._world.links
        result = links.move(source, request_id, target, last=last, held_tokens=run.held_tokens)
        if last and isinstance(result, MoveDone):
            self._world.time.spawn_later(STEP_S, self.resume, run, target)
        return result

    def resume(self, run: StreamRun, target: Upstream) -> None:
        """Continue a moved stream on its target, as the relay does."""
        run.has_ended = run.is_resumed_elsewhere = True
        moved = StreamRun(run.call, run.admitted, run.request, target)
        moved.events, moved.tokens = run.events, run.tokens
        self.state.runs.add(moved)
        self.state.record_run_load(moved)

    def add_run(
        self, request_id: str, tokens: int, upstream: Upstream, *, events: int, rank: int = 5
    ) -> StreamRun:
        """Let a stream run on an engine."""
        metadata = CallerMetadata(request_id, None, "", "m", PROMPT_TOKENS, 4_000, 0, (), "", ())
        table = self.state.route_table
        assert table is not None
        service = table.service("engines")
        assert service is not None
        long_route = next(each for each in table.document.routes if each.name == "long")
        verdict = Verdict("rule", 1, rank, 16.0, False, False, 1.0, 0.0)
        now = self._world.time.now
        admitted = AdmittedRequest(metadata, long_route, service, "north", verdict, now, now + 16)
        request = Request(request_id, "north", "long", "m", PROMPT_TOKENS, 4_000)
        call: Any = None
        run = StreamRun(call, admitted, request, upstream)
        run.events, run.tokens = events, tokens
        self.state.runs.add(run)
        self.state.record_run_load(run)
        return run

    def report(self) -> None:
        """Report the runs to the placers repeatedly, as after changes."""
        while self.is_alive:
            report: RunsReported = self._reporter.build_report()
            for placer in self._world.placers:
                if placer == self.name:
                    self.queue.handle(report)
                else:
                    self.send(placer, report)
            self._world.time.sleep(REPORT_S)

    def learn_of_notice(self) -> None:
        """Learn that the engine is leaving, and start its evacuation."""
        if not self.is_alive:
            return
        for engine in self._world.leaving:
            leaving = replace(engine, state=UpstreamState.LEAVING, revision=StoreVersion(2))
            self.state.fleet.handle(UpstreamChanged(leaving, False), self._world.time.now)
            self.evacuation.start(leaving)


class EvacuationWorld:
    """A fleet of which seven instances have a stream each on the engine that will leave."""

    def __init__(self, seed: int, *, placers: tuple[str, ...] = ("placer-1", "placer-2")) -> None:
        """Create the fleet; the engines' memory is mostly free."""
        self.seed = seed
        self.time = VirtualTime()
        self.links = Links(self.time)
        self.engines = tuple(engine_of(number, "a" if number < 6 else "b") for number in range(9))
        self.placers = placers
        self.leaving = [self.engines[0]]
        self.sent: list[tuple[float, str, Any]] = []
        """Times, recipients and contents of the messages about evacuations."""
        self.logged: list[tuple[str, str, dict[str, Any]]] = []
        """Log lines of the orders."""
        self.loses: Callable[[str, str, Any], bool] = lambda sender, recipient, message: False
        names = ("placer-1", "placer-2", *(f"member-{number}" for number in range(1, 8)))
        # This one is not among the members: its streams fill the other engines.
        self.instances = {name: Instance(self, name) for name in names}
        self.members = [self.instances[name] for name in names[2:]]
        self.instances["other"] = Instance(self, "other")

    def patch(self, context: Any) -> None:
        """Replace gevent in the modules under test until the scenario ends."""
        for module in (evacuation_module, copy_orderer, copy_performer):
            context.add_cleanup(setattr, module, "gevent", module.gevent)
            module.gevent = self.time  # type: ignore[attr-defined]
        log_event = copy_orderer.log_event
        context.add_cleanup(setattr, copy_orderer, "log_event", log_event)

        def record(prefix: str, sentence: str, **fields: Any) -> None:
            self.logged.append((prefix, sentence, fields))
            log_event(prefix, sentence, **fields)

        copy_orderer.log_event = record

    def add_streams(self, lengths: list[int]) -> None:
        """Give each member a stream that has produced some tokens, and let all report."""
        for number, (member, tokens) in enumerate(zip(self.members, lengths, strict=True), 1):
            member.add_run(f"s{number}", tokens, self.engines[0], events=tokens // 4)
        total = sum(PROMPT_TOKENS + tokens for tokens in lengths)
        for instance in self.instances.values():
            self.time.spawn(instance.report)
            pooled = Use(LEAVING, running=len(lengths), tokens=total, exposed=total)
            instance.state.loads.record_peer(FLEET_KEY, (pooled,), self.time.now)
        self.time.run_until(self.time.now + 0.1)

    def give_notice(self, ends_in_s: float, delays_s: dict[str, float] | None = None) -> None:
        """Let the engine announce its end; instances learn of it after their delays."""
        for engine in self.leaving:
            self.links.ends_at[engine.upstream_id] = self.time.now + ends_in_s
        for name, instance in self.instances.items():
            delay_s = (delays_s or {}).get(name, 0.05)
            self.time.spawn_later(delay_s, instance.learn_of_notice)

    def counted(self, counter: str) -> int:
        """Return the sum of a counter over all instances."""
        return sum(getattr(each.state.stats, counter) for each in self.instances.values())

    def orders(self) -> list[CopyOrdered]:
        """Return the orders of copies sent so far, without repeats."""
        return list(
            dict.fromkeys(
                message
                for _, _, message in self.sent
                if isinstance(message, CopyOrdered) and message.request_id
            )
        )

    def fill(self, engine: int, held_tokens: int) -> None:
        """Let a stream of another instance hold memory on an engine."""
        output = held_tokens - PROMPT_TOKENS
        other = self.instances["other"]
        other.add_run(f"fill-{engine}", output, self.engines[engine], events=output // 4)

    def pass_time(self, seconds: float) -> None:
        """Advance the simulation."""
        self.time.run_until(self.time.now + seconds)
