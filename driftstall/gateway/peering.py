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
from driftstall.gateway.collectors import OwnReports, collectors_of, is_large, summed
from driftstall.gateway.feeds import ItemChange
from driftstall.gateway.loads import FLEET
from driftstall.gateway.model import Upstream, UpstreamState
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import say
from driftstall.peers.link import ANYONE, PeerLinks
from driftstall.peers.messages import (
    FleetSummary,
    GatewayReport,
    PeerMessage,
    ReportAck,
    RoutingAsked,
    RoutingOffered,
    UpstreamNews,
)

PERIOD_S: Final = 0.1
REPORT_EVERY_S: Final = 1.0
REPORT_PAUSE_S: Final = 0.03
"""Changes within this time travel together."""
LARGE_PAUSE_S: Final = 0.1
"""The same in a large fleet, where sums are made several times a second anyway."""
SUMMARY_EVERY_S: Final = 0.25
"""How often a collector sends the sum of all reports."""
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
            settings.instance_id,
            settings.caller_listen,
            settings.peer_listen,
            settings.zone,
            link_mbps=settings.link_mbps,
        )
        incarnation = int(state.wall() * 1000)
        self._members = MembershipController(self.own, incarnation, state.source)
        self._links = PeerLinks(settings.instance_id, settings.peer_listen, key, self._receive)
        self._heard: dict[str, _Heard] = {}
        self._asked_at: dict[str, float] = {}
        self._reported_at = float("-inf")
        self._reports = OwnReports()
        self._summary: FleetSummary | None = None
        self._summary_at = float("-inf")
        self._recent: list[tuple[float, ItemChange[Upstream]]] = []
        """Changes that a peer may have missed before it noticed that it is cut off."""

    def start(self) -> None:
        """Start to listen and to report."""
        self._links.start()
        gevent.spawn(self._run_periods)
        gevent.spawn(self._run_reports)
        gevent.spawn(self._run_summaries)
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
        versions = [one.report.routing_version for one in self._heard.values()]
        if self._summary is not None:
            versions.append(self._summary.routing_version)
        return max(versions, default=0)

    def located(self) -> tuple[Instance, ...]:
        """Return the instances that callers may use, this one included if it is ready."""
        live = self._members.live
        ready = self._ready_peers()
        if ready is None:
            # Large, and no collector is heard: who answers probes is taken for ready.
            ready = {one.instance_id for one in live if not one.leaving}
            ready.discard(self.own.instance_id)
        if self._state.ready:
            ready.add(self.own.instance_id)
        return tuple(one for one in live if one.instance_id in ready)

    def _ready_peers(self) -> set[str] | None:
        """Return the peers that say they are ready; None where nobody can tell."""
        now = self._state.now()
        if is_large(self._members.live) and not self._collects():
            if self._summary is None or now - self._summary_at > REPORT_VALID_S:
                return None
            return set(self._summary.ready) - {self.own.instance_id}
        return {
            peer
            for peer, heard in self._heard.items()
            if heard.report.ready and now - heard.at <= REPORT_VALID_S
        }

    def _collects(self) -> bool:
        """Tell whether this instance is a collector of a large fleet."""
        live = self._members.live
        return is_large(live) and self.own.instance_id in {
            one.instance_id for one in collectors_of(live)
        }

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
        uses, repeats = self._state.loads.own, self._state.repeat_counts()
        number = self._reports.add(uses, repeats)
        report = GatewayReport(
            self.own.instance_id,
            self._state.ready,
            self._platform_ok(),
            self._routing()[0],
            uses,
            repeats,
            number,
        )
        live = self._members.live
        targets = collectors_of(live) if is_large(live) else live
        own_id = self.own.instance_id
        addresses = [one.peer_address for one in targets if one.instance_id != own_id]
        self._links.broadcast(addresses, report)

    def _summarize(self) -> None:
        """Send everyone the sum of all reports, if this instance collects them."""
        if not self._collects():
            return
        now = self._state.now()
        fresh = [one for one in self._heard.values() if now - one.at <= REPORT_VALID_S]
        counts = [count for one in fresh for count in one.report.repeats]
        ready = {one.report.sender for one in fresh if one.report.ready}
        if self._state.ready:
            ready.add(self.own.instance_id)
        summary = FleetSummary(
            self.own.instance_id,
            self._routing()[0],
            tuple(sorted(ready)),
            self._state.loads.all_sums(now),
            summed([*counts, *self._state.repeat_counts()]),
            tuple(ReportAck(one.report.sender, one.report.number) for one in fresh),
        )
        live = self._members.live
        collecting = {one.instance_id for one in collectors_of(live)}
        addresses = [one.peer_address for one in live if one.instance_id not in collecting]
        self._links.broadcast(addresses, summary)

    def _take_summary(self, sender: str, summary: FleetSummary) -> None:
        """Take in the sum of all reports; what is ours in it is known better here."""
        now = self._state.now()
        self._summary, self._summary_at = summary, now
        own_id = self.own.instance_id
        number = next((one.number for one in summary.acks if one.instance_id == own_id), 0)
        uses, repeats = self._reports.others(number, summary.uses, summary.repeats)
        self._state.loads.told(FLEET, uses, now)
        others = max(1, len(summary.acks))
        for count in repeats:
            budget = self._state.budget(count.service)
            budget.told(FLEET, count, now, instances=others)
        if summary.routing_version > self._routing()[0]:
            notice = RoutingNotice(sender, summary.routing_version)
            gevent.spawn_later(ASK_AFTER_S * (1 + self._state.source.random()), self._ask, notice)

    def _run_periods(self) -> None:
        """Let time pass in the member list."""
        while True:
            self._apply(Period())
            self._state.instances.seen(len(self._members.live), self._state.now())
            gevent.sleep(PERIOD_S)

    def _run_summaries(self) -> None:
        """Sum up again and again."""
        while True:
            gevent.sleep(SUMMARY_EVERY_S)
            self._summarize()

    def _run_reports(self) -> None:
        """Report when something changed, and at least once a period."""
        while True:
            left = self._reported_at + REPORT_EVERY_S - self._state.now()
            self._state.loads_changed.wait(max(0.0, left))
            gevent.sleep(LARGE_PAUSE_S if is_large(self._members.live) else REPORT_PAUSE_S)
            self._state.loads_changed.clear()
            self.report_now()

    def _receive(self, sender: str, message: PeerMessage) -> None:
        """Take in a peer's message."""
        if isinstance(message, Ping | Ack | PingRequest):
            self._apply(message)
        elif isinstance(message, GatewayReport):
            self._take_report(sender, message)
        elif isinstance(message, FleetSummary):
            self._take_summary(sender, message)
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
