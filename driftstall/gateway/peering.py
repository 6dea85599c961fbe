"""Keep in touch with the other instances: who is ready, what runs where, what is new.

Each instance tells its peers its own sums when they change, and at least each second.
A peer's word also carries its routing version; who lacks it asks. So an instance that
the platform does not answer still learns of configurations and of leaving upstreams.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import gevent

from driftstall.const import PREFIX_CONFIGURATION, PREFIX_MEMBERSHIP
from driftstall.controllers.membership import (
    Ack,
    MembershipController,
    MembershipEvent,
    Period,
    Ping,
    PingRequest,
    Seeds,
    SendTo,
)
from driftstall.core import Instance
from driftstall.gateway.feeds import ItemChange
from driftstall.gateway.model import Upstream, UpstreamState
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import say
from driftstall.peers.link import ANYONE, PeerLinks
from driftstall.peers.messages import (
    GatewayReport,
    PeerMessage,
    RoutingAsked,
    RoutingOffered,
    UpstreamNews,
)

PERIOD_S: Final = 0.1
REPORT_EVERY_S: Final = 1.0
REPORT_PAUSE_S: Final = 0.03
"""Changes within this time travel together."""
REPORT_VALID_S: Final = 2.3
"""A peer that has not reported for two periods is not located any more."""
RECENT_S: Final = 6.0
"""Changes are told again for so long; a cut is noticed within about four seconds."""
ASK_AFTER_S: Final = 0.25
"""The platform's own watch brings a new configuration sooner than this, if it works."""


@dataclass(frozen=True, slots=True)
class RoutingNotice:
    """Hold that a peer has a newer routing document."""

    peer: str
    version: int


@dataclass(slots=True)
class _Heard:
    """Hold a peer's newest report."""

    report: GatewayReport
    at: float


class Peering:
    """Exchange reports with the other instances."""

    def __init__(
        self,
        state: GatewayState,
        key: bytes,
        *,
        routing: Callable[[], tuple[int, str]],
        take_routing: Callable[[str], None],
        take_news: Callable[[ItemChange[Upstream]], None],
        platform_ok: Callable[[], bool],
    ) -> None:
        """Take the shared state, the peers' key, and how news are read and taken in."""
        settings = state.settings
        self._state = state
        self._routing = routing
        self._take_routing = take_routing
        self._take_news = take_news
        self._platform_ok = platform_ok
        self.own = Instance(
            settings.instance_id, settings.caller_listen, settings.peer_listen, settings.zone
        )
        incarnation = int(state.wall() * 1000)
        self._members = MembershipController(self.own, incarnation, state.source)
        self._links = PeerLinks(settings.instance_id, settings.peer_listen, key, self._receive)
        self._heard: dict[str, _Heard] = {}
        self._asked_at: dict[str, float] = {}
        self._reported_at = float("-inf")
        self._recent: list[tuple[float, ItemChange[Upstream]]] = []
        """Changes that a peer may have missed before it noticed that it is cut off."""

    def start(self) -> None:
        """Start to listen and to report."""
        self._links.start()
        gevent.spawn(self._run_periods)
        gevent.spawn(self._run_reports)
        for address in self._state.settings.seeds:
            if address != self.own.peer_address:
                ping = Ping(self.own.instance_id, 0, "", self._members.changes)
                self._links.send(ANYONE, address, ping)

    def found(self, instances: tuple[Instance, ...]) -> None:
        """Take in the instances that the platform lists."""
        self._apply(Seeds(instances))
        self._state.loads_changed.set()

    @property
    def newest_version(self) -> int:
        """Return the newest routing version that any peer has told of."""
        return max((one.report.routing_version for one in self._heard.values()), default=0)

    def located(self) -> tuple[Instance, ...]:
        """Return the instances that callers may use, this one included if it is ready."""
        now = self._state.now()
        ready = {
            peer
            for peer, heard in self._heard.items()
            if heard.report.ready and now - heard.at <= REPORT_VALID_S
        }
        if self._state.ready:
            ready.add(self.own.instance_id)
        return tuple(one for one in self._members.live if one.instance_id in ready)

    def pass_on(self, change: ItemChange[Upstream]) -> None:
        """Tell a change of an upstream to the peers that the platform does not answer."""
        now = self._state.now()
        self._recent = [(at, one) for at, one in self._recent if now - at <= RECENT_S]
        self._recent.append((now, change))
        for peer, heard in self._heard.items():
            if not heard.report.platform_ok:
                self._send(peer, _news(self.own.instance_id, change))

    def report_now(self) -> None:
        """Report at once."""
        self._reported_at = self._state.now()
        report = GatewayReport(
            self.own.instance_id,
            self._state.ready,
            self._platform_ok(),
            self._routing()[0],
            self._state.loads.own,
            self._state.repeat_counts(),
        )
        for one in self._members.live:
            if one.instance_id != self.own.instance_id:
                self._send(one.instance_id, report)

    def _run_periods(self) -> None:
        """Let time pass in the member list."""
        while True:
            self._apply(Period())
            self._state.instances.seen(len(self._members.live), self._state.now())
            gevent.sleep(PERIOD_S)

    def _run_reports(self) -> None:
        """Report when something changed, and at least once a period."""
        while True:
            left = self._reported_at + REPORT_EVERY_S - self._state.now()
            self._state.loads_changed.wait(max(0.0, left))
            gevent.sleep(REPORT_PAUSE_S)
            self._state.loads_changed.clear()
            self.report_now()

    def _receive(self, sender: str, message: PeerMessage) -> None:
        """Take in a peer's message."""
        if isinstance(message, Ping | Ack | PingRequest):
            self._apply(message)
        elif isinstance(message, GatewayReport):
            self._take_report(sender, message)
        elif isinstance(message, RoutingAsked):
            version, text = self._routing()
            if version > message.version:
                offer = RoutingOffered(self.own.instance_id, version, text)
                self._send(message.sender, offer)
        elif isinstance(message, RoutingOffered):
            if message.version > self._routing()[0]:
                say(
                    PREFIX_CONFIGURATION,
                    f"A peer passes routing version {message.version} on",
                    peer=sender,
                )
                self._take_routing(message.text)
        elif isinstance(message, UpstreamNews):
            self._take_news(_change(message))

    def _take_report(self, sender: str, report: GatewayReport) -> None:
        """Take in a peer's report."""
        now = self._state.now()
        before = self._heard.get(sender)
        self._heard[sender] = _Heard(report, now)
        if not report.platform_ok and (before is None or before.report.platform_ok):
            for _, change in self._recent:
                self._send(sender, _news(self.own.instance_id, change))
        self._state.loads.told(sender, report.uses, now)
        for count in report.repeats:
            self._state.budget(count.service).told(sender, count, now)
        if report.routing_version > self._routing()[0]:
            gevent.spawn_later(
                ASK_AFTER_S, self._ask, RoutingNotice(sender, report.routing_version)
            )

    def _ask(self, notice: RoutingNotice) -> None:
        """Ask for a newer routing document that has not come from the platform."""
        now = self._state.now()
        version = self._routing()[0]
        if version >= notice.version or now - self._asked_at.get(notice.peer, 0.0) < ASK_AFTER_S:
            return
        self._asked_at[notice.peer] = now
        self._send(notice.peer, RoutingAsked(self.own.instance_id, version))

    def _apply(self, event: MembershipEvent) -> None:
        """Hand an event to the member list and send what it wants sent."""
        for action in self._members.handle(event, self._state.now()):
            if isinstance(action, SendTo):
                self._send(action.recipient, action.message)
            elif action.instance_id != self.own.instance_id:
                say(PREFIX_MEMBERSHIP, f"Instance {action.instance_id} is {action.health}")

    def _send(self, recipient: str, message: PeerMessage) -> None:
        """Send to a known instance."""
        address = self._members.address_of(recipient)
        if address is not None:
            self._links.send(recipient, address, message)


def _news(sender: str, change: ItemChange[Upstream]) -> UpstreamNews:
    """Return the message that carries a change of an upstream."""
    upstream = change.item
    return UpstreamNews(
        sender,
        upstream.upstream_id,
        upstream.service,
        upstream.address,
        upstream.zone,
        upstream.slots,
        upstream.state is UpstreamState.LEAVING,
        upstream.revision,
        change.gone,
    )


def _change(news: UpstreamNews) -> ItemChange[Upstream]:
    """Return the change that a message carries."""
    state = UpstreamState.LEAVING if news.leaving else UpstreamState.READY
    upstream = Upstream(
        news.upstream_id, news.service, news.address, news.zone, news.slots, state, news.revision
    )
    return ItemChange(upstream, news.gone)
