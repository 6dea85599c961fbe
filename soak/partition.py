"""Give each instance links of its own to the upstreams, so that single instances can be cut.

The store holds one address of each upstream. Each instance reads the store through a proxy that
replaces the host of these addresses by a loopback address of the instance's own, of equal length.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import gevent

from soak.plan import Fault, PartitionFault
from soak.proxy import Proxy

SHARED_HOST: Final = "127.0.0.100"
"""Host of the upstreams' addresses in the store."""
BIND_TRIES: Final = 20


def own_host(place: int) -> str:
    """Return the host at which the instance at a place reaches all upstreams."""
    return f"127.0.0.{101 + place}"


class Partitions:
    """Track which instances are partitioned, and apply that to all their links."""

    def __init__(self, instances: int) -> None:
        """Initialize without a partition."""
        self.instances = instances
        self._faults: dict[int, list[PartitionFault]] = {place: [] for place in range(instances)}
        self._groups: list[InstanceProxies] = []

    def fault_of(self, place: int) -> PartitionFault | None:
        """Return the fault of an instance's links; the newest one where several overlap."""
        return self._faults[place][-1] if self._faults[place] else None

    def add(self, group: InstanceProxies) -> None:
        """Add the links to an upstream."""
        self._groups.append(group)

    def begin(self, places: Iterable[int], fault: PartitionFault) -> None:
        """Partition instances from all upstreams."""
        cuts = []
        for place in places:
            self._faults[place].append(fault)
            for group in self._groups:
                cuts.append(gevent.spawn(_cut, group.links[place], fault))
        # Filling the queues of the listeners takes a while for each link.
        gevent.joinall(cuts)

    def end(self, places: Iterable[int], fault: PartitionFault) -> None:
        """End a partition; one that overlaps goes on."""
        for place in places:
            self._faults[place].remove(fault)
            if self._faults[place]:
                continue
            for group in self._groups:
                group.links[place].heal()


def _cut(link: Proxy, fault: PartitionFault) -> None:
    """Cut a link, which may be cut in another way already."""
    link.heal()
    link.partition(fault)


class InstanceProxies:
    """Proxies between all instances and one upstream, at one port of different hosts."""

    def __init__(self, target: str, partitions: Partitions) -> None:
        """Start to listen; target is the address to forward to."""
        self.links = self._open(target, partitions.instances)
        partitions.add(self)
        for place, link in enumerate(self.links):
            fault = partitions.fault_of(place)
            if fault is not None:
                link.partition(fault)

    @staticmethod
    def _open(target: str, instances: int) -> list[Proxy]:
        """Open the proxies at a port that is free at all hosts."""
        for _ in range(BIND_TRIES):
            links = [Proxy(target, (own_host(0), 0))]
            try:
                for place in range(1, instances):
                    links.append(Proxy(target, (own_host(place), links[0].port)))
            except OSError:
                for link in links:
                    link.stop()
                continue
            return links
        raise OSError("no port is free at all hosts")

    @property
    def address(self) -> str:
        """Return the upstream's address in the store."""
        return f"{SHARED_HOST}:{self.links[0].port}"

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return all addresses at which instances reach the upstream."""
        return (self.address, *(link.address for link in self.links))

    def inject(self, fault: Fault) -> None:
        """Start a fault of all links."""
        for link in self.links:
            link.inject(fault)

    def end_fault(self) -> None:
        """End the fault of all links."""
        for link in self.links:
            link.end_fault()

    def stop(self) -> None:
        """Stop all proxies."""
        for link in self.links:
            link.stop()


class InstanceStoreLink(Proxy):
    """Proxy between one instance and the store, with the instance's own addresses of upstreams."""

    def __init__(self, target: str, place: int) -> None:
        """Start to listen; target is the store's address."""
        self._shared = f"{SHARED_HOST}:".encode()
        self._own = f"{own_host(place)}:".encode()
        super().__init__(target)

    def _translate(self, data: bytes, direction: Fault) -> bytes:
        """Replace the shared host in the store's responses."""
        return data.replace(self._shared, self._own) if direction is Fault.CUT_BACK else data
