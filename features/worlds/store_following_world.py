"""A large fleet of gateway nodes with simulated time, network and store."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from functools import partial
from pathlib import Path
from types import SimpleNamespace
from typing import Any, Final

import orjson

from driftstall.core import Instance
from driftstall.decisions.store_versions import StoreVersion
from driftstall.exceptions import PlatformUnavailable
from driftstall.gateway import reports, sharing
from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.cordons import Cordon
from driftstall.gateway.feeds import Changes, ItemChange, Snapshot
from driftstall.gateway.model import (
    Bounds,
    GatewaySettings,
    RoutingDocument,
    RoutingText,
)
from driftstall.gateway.node import GatewayNode, PlatformAccess
from driftstall.platform.dialect import PlatformDialect
from driftstall.platform.documents import read_routing
from driftstall.policy.default import default_policy
from driftstall.util import clock
from features.worlds.gateway_world import document
from features.worlds.simulated_time import SimulatedEvent, SimulatedTime, Waiter
from features.worlds.upstream_samples import upstream_of

ROUTING: Final = "routing"
UPSTREAMS: Final = "upstreams"
CORDONS: Final = "cordons"
STORE_LATENCY_S: Final = 0.004
PEER_LATENCY_S: Final = 0.0014
ANSWER_MARGIN_S: Final = 0.7
"""How long a call waits for a late answer, as in the store's client."""
CALL_TIMEOUT_S: Final = 1.5


class Access(Enum):
    """How the store treats the calls of an instance."""

    ANSWERED = "answered"
    REJECTED = "rejected"
    SILENT = "silent"


@dataclass
class HeldWatch:
    """A watch that waits for a change."""

    instance_id: str
    kind: str
    waiter: Waiter
    is_reset: bool = False


@dataclass(frozen=True)
class Call:
    """One call to the store."""

    at: float
    instance_id: str
    kind: str


class SimulatedStore:
    """A store of three kinds of objects that rejects or ignores some instances."""

    def __init__(self, time: SimulatedTime) -> None:
        """Initialize with one routing document, one upstream and no cordon."""
        self.time = time
        self.calls: list[Call] = []
        self.revision = 3
        self._access: dict[str, Access] = {}
        self._held: list[HeldWatch] = []
        self._items: dict[str, list[tuple[int, Any]]] = {
            ROUTING: [(1, _routing_text(1))],
            UPSTREAMS: [(2, upstream_of("u1", 2))],
            CORDONS: [],
        }

    def set_access(
        self, instance_ids: Iterable[str], access: Access, *, resets: bool = True
    ) -> None:
        """Set how calls are treated from now on, and reset held watches of rejected instances."""
        ids = set(instance_ids)
        self._access |= dict.fromkeys(ids, access)
        if access is Access.REJECTED and resets:
            reset = [held for held in self._held if held.instance_id in ids]
            for held in reset:
                held.is_reset = True
            self._end_watches(reset)

    def change(self) -> int:
        """Store a newer configuration, a further upstream and a cordon; return their number."""
        self.revision += 1
        number = self.revision
        self._items[ROUTING] = [(number, _routing_text(number))]
        self._items[UPSTREAMS].append((number, upstream_of(f"u{number}", number)))
        self._items[CORDONS].append((number, Cordon(f"zone-{number}", StoreVersion(number))))
        self._end_watches(
            [held for held in self._held if self._access_of(held.instance_id) is not Access.SILENT]
        )
        return number

    def list(self, instance_id: str, kind: str) -> Snapshot[Any]:
        """Return all items of a kind."""
        self._call(instance_id, kind, CALL_TIMEOUT_S)
        return Snapshot(tuple(item for _, item in self._items[kind]), StoreVersion(self.revision))

    def watch(self, instance_id: str, kind: str, at: StoreVersion, wait_s: float) -> Changes[Any]:
        """Return the changes after a version, or wait for one."""
        self._call(instance_id, kind, wait_s + ANSWER_MARGIN_S)
        if not self._changes(kind, at) and wait_s > 0:
            held = HeldWatch(instance_id, kind, Waiter())
            self._held.append(held)
            self.time.block(held.waiter, wait_s)
            self._held = [other for other in self._held if other is not held]
            if held.is_reset:
                raise PlatformUnavailable("the connection was reset")
            if self._access_of(instance_id) is Access.SILENT:
                self.time.sleep(ANSWER_MARGIN_S)
                raise PlatformUnavailable("no answer in time")
        return Changes(self._changes(kind, at), StoreVersion(self.revision))

    def _changes(self, kind: str, at: StoreVersion) -> tuple[ItemChange[Any], ...]:
        """Return the changes of a kind after a version."""
        return tuple(
            ItemChange(item, False) for revision, item in self._items[kind] if revision > at
        )

    def _call(self, instance_id: str, kind: str, timeout_s: float) -> None:
        """Count a call, and fail it if the instance is not answered."""
        self.calls.append(Call(self.time.now(), instance_id, kind))
        self.time.sleep(STORE_LATENCY_S)
        if self._access_of(instance_id) is Access.REJECTED:
            raise PlatformUnavailable("the store answered 503")
        if self._access_of(instance_id) is Access.SILENT:
            self.time.sleep(timeout_s)
            raise PlatformUnavailable("no answer in time")

    def _access_of(self, instance_id: str) -> Access:
        """Return how the calls of an instance are treated."""
        return self._access.get(instance_id, Access.ANSWERED)

    def _end_watches(self, watches: Iterable[HeldWatch]) -> None:
        """End held watches."""
        for held in watches:
            self.time.call_later(STORE_LATENCY_S, partial(self.time.resume, held.waiter, True))


class StoreFeed:
    """The access of one instance to one kind."""

    def __init__(self, store: SimulatedStore, instance_id: str, kind: str) -> None:
        """Initialize with the store, the instance and the kind."""
        self._store = store
        self._instance_id = instance_id
        self._kind = kind

    def list(self) -> Snapshot[Any]:
        """Return all items."""
        return self._store.list(self._instance_id, self._kind)

    def watch(self, at: StoreVersion, wait_s: float) -> Changes[Any]:
        """Wait for changes after a version."""
        return self._store.watch(self._instance_id, self._kind, at, wait_s)


class PlainDialect(PlatformDialect):
    """Decodes documents without letting other greenlets run meanwhile."""

    def read_routing(self, text: str) -> RoutingDocument:
        """Decode a routing document."""
        return read_routing(orjson.loads(text))


class FleetLinks:
    """The links of one instance to the others."""

    def __init__(self, fleet: SimulatedFleet, own_id: str) -> None:
        """Initialize with the fleet and the sender."""
        self._fleet = fleet
        self._own_id = own_id

    def send(self, recipient: str, address: str, message: Any) -> None:
        """Send a message."""
        self._fleet.deliver(self._own_id, address, message)

    def broadcast(self, addresses: Iterable[str], message: Any) -> None:
        """Send a message to several addresses."""
        for address in addresses:
            self._fleet.deliver(self._own_id, address, message)


class SimulatedFleet:
    """Gateway nodes of which the store's followers, reports and messages run."""

    def __init__(self, count: int, zones: int, seed: int) -> None:
        """Start the nodes within half a second."""
        self.time = SimulatedTime()
        self._source = random.Random(seed)
        self.store = SimulatedStore(self.time)
        self.cut: set[str] = set()
        """Instances that reach no peer."""
        self.is_lost: Callable[[str, str, Any], bool] = lambda sender, recipient, message: False
        self.sent: list[tuple[float, str, str, Any]] = []
        self.number = 0
        """The number of the latest change."""
        self.since = self.time.now()
        """When the latest count of calls began."""
        self.dead: set[str] = set()
        """Instances that need not have the changes."""
        self._originals: list[tuple[Any, str, Any]] = [
            (clock, "now", clock.now),
            (reports, "gevent", reports.gevent),
            (sharing, "gevent", sharing.gevent),
        ]
        self.use()
        self.instances = tuple(
            Instance(
                f"instance-{index}",
                f"10.0.0.{index}:1",
                f"10.0.0.{index}:2",
                "abcde"[index % zones],
                link_mbps=100,
            )
            for index in range(count)
        )
        self.nodes: dict[str, Any] = {}
        self._names: dict[str, str] = {}
        for instance in self.instances:
            self._start(instance)

    def use(self) -> None:
        """Let the product use this fleet's time; only one fleet can run at a time."""
        replacements: list[tuple[Any, str, Any]] = [
            (clock, "now", self.time.now),
            (reports, "gevent", SimpleNamespace(sleep=self.time.sleep)),
            (sharing, "gevent", SimpleNamespace(spawn_later=self._spawn_later)),
        ]
        for module, name, value in replacements:
            setattr(module, name, value)

    def close(self) -> None:
        """Stop the nodes and restore what was replaced."""
        self.time.stop()
        for module, name, value in self._originals:
            setattr(module, name, value)

    @property
    def followers(self) -> tuple[str, ...]:
        """Return the instances that follow the store by their role."""
        return tuple(name for name, node in self.nodes.items() if node._roles().is_follower)

    @property
    def collectors(self) -> tuple[str, ...]:
        """Return the collectors."""
        return tuple(name for name, node in self.nodes.items() if node._roles().is_collector)

    @property
    def substitutes(self) -> tuple[str, ...]:
        """Return the instances that follow the store in place of others."""
        return tuple(
            name for name, node in self.nodes.items() if node._peering.following.follows_for_others
        )

    def deliver(self, sender: str, address: str, message: Any) -> None:
        """Deliver a message unless it is lost."""
        recipient = self._names[address]
        self.sent.append((self.time.now(), sender, recipient, message))
        if {sender, recipient} & self.cut or self.is_lost(sender, recipient, message):
            return
        node = self.nodes[recipient]
        self.time.call_later(PEER_LATENCY_S, lambda: node._peering._handle(message))

    def lag_s(self, number: int, longest_s: float, among: Iterable[str] | None = None) -> float:
        """Return how long it takes until a change just stored is in force at all instances."""
        began = self.time.now()
        names = self.nodes if among is None else tuple(among)
        while not all(self.is_in_force(name, number) for name in names):
            self.time.run(0.01)
            if self.time.now() - began > longest_s:
                return float("inf")
        return self.time.now() - began

    def is_in_force(self, name: str, number: int) -> bool:
        """Return True if a change of each kind is in force at an instance."""
        node = self.nodes[name]
        return (
            node._routing.version >= number
            and node.state.fleet.accepts_requests(f"u{number}")
            and f"zone-{number}" in node.state.cordons.zones
        )

    def calls(self, since: float) -> list[Call]:
        """Return the calls to the store since a time."""
        return [call for call in self.store.calls if call.at >= since]

    def _spawn_later(self, delay_s: float, work: Callable[..., None], *given: Any) -> None:
        """Call a function after a delay in simulated time."""
        self.time.call_later(delay_s, lambda: work(*given))

    def _start(self, instance: Instance) -> None:
        """Create the node of an instance and start its tasks."""
        name, time = instance.instance_id, self.time
        settings = GatewaySettings(
            instance_id=name,
            zone=instance.zone,
            caller_listen=instance.address,
            ready_listen="127.0.0.1:1",
            locate_listen="127.0.0.1:1",
            peer_listen=instance.peer_address,
            metrics_listen="127.0.0.1:1",
            link_mbps=100,
            platform_address="127.0.0.1:1",
            seeds=(),
            bounds=Bounds(cordon_s=5.0),
            peer_key="peer key for tests only",
            is_first_start=True,
        )
        unused: Any = SimpleNamespace(list=None, load=None)
        access = PlatformAccess(
            dialect=PlainDialect(),
            upstreams=StoreFeed(self.store, name, UPSTREAMS),
            cordons=StoreFeed(self.store, name, CORDONS),
            routing=StoreFeed(self.store, name, ROUTING),
            policies=unused,
            instances=unused,
            crashes=unused,
            policy=unused,
            subscribe_store_eras=lambda _: None,
            use_address=lambda _: None,
            call_count=lambda: 0,
            read_settings=lambda _: settings,
        )
        node: Any = GatewayNode(settings, Path("unused"), access, default_policy(), unused)
        node.state.rng.seed(self._source.random())
        node.state.loads_changed = SimulatedEvent(time)
        following = node._peering.following
        following._changed = SimulatedEvent(time)
        following._wake_ups = {feed: SimulatedEvent(time) for feed in following._wake_ups}
        node._peering._messenger._links = FleetLinks(self, name)
        node._peering.add_listed_instances(self.instances)
        node._peering._update_roles(FleetRoles.from_fleet(node._peering.own, self.instances))
        self.nodes[name] = node
        self._names[instance.peer_address] = name
        reporting = node._peering._reporting
        for work in (
            node._routing_follower.run,
            node._upstream_follower.run,
            node._cordon_follower.run,
            following.run,
            reporting._run_reports,
            reporting._run_summaries,
        ):
            time.call_later(0.5 * self._source.random(), partial(time.spawn, work))


def _routing_text(version: int) -> RoutingText:
    """Return a stored routing document."""
    raw = document(version)
    return RoutingText(read_routing(raw), orjson.dumps(raw).decode())
