"""Detect that this instance is partitioned from all upstreams of a service, and when that ends.

A crash and a partition look alike at one upstream. So after a failed connection, control
connections to other upstreams are opened at once; if all fail, the service is unreachable from
here. Then one connection at a time is tried until the first one succeeds.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

import gevent
from gevent.event import Event

from driftstall.const import PREFIX_ROUTING
from driftstall.decisions.reachability import ControlUpstreams, ReachabilityTracker, ServiceReach
from driftstall.gateway.model import Upstream
from driftstall.helpers.log import log_event
from driftstall.helpers.tasks import keep_running

RECONNECT_INTERVAL_S: Final = 0.4
"""Interval at which a connection to an unreachable service is tried; connections are billed."""

ServiceChanged = Callable[[str, frozenset[str]], None]
"""Called with a service and, if it has become unreachable, the upstreams that have failed."""


class PartitionDetector:
    """Tell partitions of this instance from failures of upstreams."""

    def __init__(
        self,
        reachability: ReachabilityTracker,
        now: Callable[[], float],
        *,
        upstreams: Callable[[], tuple[Upstream, ...]],
        connect: Callable[[Upstream], bool],
        source: random.Random,
    ) -> None:
        """Initialize with the tracker, the clock, a reader of all upstreams and a random source.

        The callable connect opens and closes a direct connection, and records whether it could.
        """
        self._reachability = reachability
        self._now = now
        self._upstreams = upstreams
        self._connect = connect
        self._source = source
        self._checks: dict[str, gevent.Greenlet] = {}
        self._has_partition = Event()
        self.on_changed: ServiceChanged = _ignore

    def start(self) -> None:
        """Start to look for the end of partitions."""
        keep_running(PREFIX_ROUTING, self._run)

    def check(self, failed: Upstream, since: float) -> ServiceReach:
        """Return whether a service is reachable, after a connection to it has failed.

        A connection to the service that was opened at or after `since` shows that it is. Requests
        that fail at the same time share one check.
        """
        service = failed.service
        if self._reachability.has_reached_since(service, since):
            return ServiceReach.REACHABLE
        check = self._checks.get(service)
        if check is None:
            check = self._checks[service] = gevent.spawn(self._check, failed)
        check.join()
        return self._reachability.reach(service)

    def handle_reachable(self, service: str) -> None:
        """Handle the first connection to a service that was unreachable."""
        log_event(PREFIX_ROUTING, f"Service {service} is reachable again from here")
        self.on_changed(service, frozenset())

    def _check(self, failed: Upstream) -> None:
        """Open control connections, and record if none of them can be opened."""
        service = failed.service
        try:
            started_at = self._now()
            controls = self._reachability.choose_controls(failed, self._upstreams(), self._source)
            reach = self._connect_all(controls)
            if reach is ServiceReach.REACHABLE or self._reachability.has_reached_since(
                service, started_at
            ):
                return
            was_reachable = not self._reachability.is_unreachable(service)
            upstream_ids = self._reachability.set_reach(service, reach)
            if was_reachable:
                log_event(
                    PREFIX_ROUTING,
                    f"Service {service} is unreachable from here",
                    reach=reach.value,
                    failed=failed.upstream_id,
                    controls=[upstream.upstream_id for upstream in controls.same_service],
                    check_ms=int((self._now() - started_at) * 1000),
                )
                self._has_partition.set()
                self.on_changed(service, upstream_ids)
        finally:
            del self._checks[service]

    def _connect_all(self, controls: ControlUpstreams) -> ServiceReach:
        """Try all control connections at once."""
        same = [gevent.spawn(self._connect, upstream) for upstream in controls.same_service]
        foreign = [gevent.spawn(self._connect, upstream) for upstream in controls.other_service]
        # The request waits for this, so the first success of the service ends it.
        for connect in gevent.iwait(same):
            if connect.value:
                return ServiceReach.REACHABLE
        gevent.joinall(foreign)
        if any(connect.value for connect in foreign):
            return ServiceReach.UNREACHABLE
        return ServiceReach.PARTITIONED

    def _run(self) -> None:
        """Try to reconnect to unreachable services."""
        while True:
            self._has_partition.wait()
            services = self._reachability.unreachable_services
            if not services:
                self._has_partition.clear()
                continue
            gevent.sleep(RECONNECT_INTERVAL_S * self._source.uniform(0.5, 1.5))
            gevent.joinall([gevent.spawn(self._reconnect, service) for service in services])

    def _reconnect(self, service: str) -> None:
        """Try a connection to a random upstream of a service."""
        upstreams = [each for each in self._upstreams() if each.service == service]
        if upstreams:
            self._connect(self._source.choice(upstreams))
        else:
            # Nothing is left that could be unreachable.
            self._reachability.set_reach(service, ServiceReach.REACHABLE)
            self.handle_reachable(service)


def _ignore(_: str, __: frozenset[str]) -> None:
    """Ignore a change until an observer is set."""
