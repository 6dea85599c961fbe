"""Keep the list of live instances by probing random peers.

Each period an instance pings one random peer; changes travel on pings and acks.
A peer that does not answer is pinged through others, then suspected, then held
for dead; a live one refutes with a higher incarnation. The cost per instance
does not grow with the fleet (SWIM).
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from enum import StrEnum
from functools import singledispatchmethod
from typing import Final

from driftstall.core import Instance

PROBE_PERIOD_S: Final = 1.0
ACK_TIMEOUT_S: Final = 0.3
SUSPECT_TIMEOUT_S: Final = 2.0
"""How long a suspected instance has to refute."""
DEAD_RETENTION_S: Final = 2 * 3600.0
"""A cut between regions may last an hour; the dead are asked again until then."""
INDIRECT_PROBERS: Final = 2
MAX_CHANGES: Final = 10
"""Changes carried by one message."""
RETRANSMIT_FACTOR: Final = 6
"""Times that one change is passed on."""


class Health(StrEnum):
    """Name an instance's standing."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


_ORDER: Final = {Health.ALIVE: 0, Health.SUSPECT: 1, Health.LEAVING: 2, Health.DEAD: 3}


@dataclass(frozen=True, slots=True)
class Change:
    """Carry what is known of one instance."""

    instance_id: str
    address: str
    peer_address: str
    zone: str
    incarnation: int
    health: str
    link_mbps: int = 0


@dataclass(frozen=True, slots=True)
class Ping:
    """Probe a peer; on_behalf names who wants to know, if it is another."""

    sender: str
    number: int
    on_behalf: str
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Ack:
    """Answer a ping."""

    sender: str
    number: int
    on_behalf: str
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Ask a peer to ping another."""

    sender: str
    number: int
    target: str
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Seeds:
    """Take over instances from the platform's lagging list."""

    instances: tuple[Instance, ...]


@dataclass(frozen=True, slots=True)
class Period:
    """Let time pass."""


@dataclass(frozen=True, slots=True)
class Leave:
    """Say that this instance is leaving."""


MembershipEvent = Ping | Ack | PingRequest | Seeds | Period | Leave


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send a message to a peer."""

    recipient: str
    message: Ping | Ack | PingRequest


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Tell listeners that the list of live instances changed."""

    instance_id: str
    health: str


MembershipAction = SendTo | MembersChanged


@dataclass(slots=True)
class _Member:
    """Hold what is known of one instance."""

    change: Change
    since: float


@dataclass(frozen=True, slots=True)
class _Probe:
    """Hold one ping that is not answered yet."""

    target: str
    sent_at: float
    indirect: bool


class MembershipController:
    """Hold the member list of one instance."""

    def __init__(self, own: Instance, incarnation: int, source: random.Random) -> None:
        """Start knowing only oneself; the incarnation must grow with each start."""
        self._own_id = own.instance_id
        self._source = source
        change = Change(
            own.instance_id,
            own.address,
            own.peer_address,
            own.zone,
            incarnation,
            Health.ALIVE.value,
            own.link_mbps,
        )
        self._members = {own.instance_id: _Member(change, 0.0)}
        self._transmissions: dict[str, int] = {own.instance_id: 0}
        self._probes: dict[int, _Probe] = {}
        self._number = 0
        self._last_probe_at = -1e9
        self._round: list[str] = []
        self._actions: list[MembershipAction] = []
        self._live: tuple[Instance, ...] | None = None

    @property
    def live(self) -> tuple[Instance, ...]:
        """Return the instances that are not dead; leaving ones are marked.

        The same tuple is returned until the list changes.
        """
        if self._live is None:
            self._live = self._list_live()
        return self._live

    def _list_live(self) -> tuple[Instance, ...]:
        """Make the list of instances that are not dead."""
        return tuple(
            Instance(
                one.change.instance_id,
                one.change.address,
                one.change.peer_address,
                one.change.zone,
                leaving=one.change.health == Health.LEAVING,
                link_mbps=one.change.link_mbps,
            )
            for one in self._members.values()
            if one.change.health != Health.DEAD
        )

    @property
    def changes(self) -> tuple[Change, ...]:
        """Return all that is known."""
        return tuple(member.change for member in self._members.values())

    def address_of(self, instance_id: str) -> str | None:
        """Return the peer address of a known instance."""
        member = self._members.get(instance_id)
        return member.change.peer_address if member else None

    def handle(self, event: MembershipEvent, now: float) -> list[MembershipAction]:
        """Take one event and return the actions it leads to."""
        self._actions = []
        self._on(event, now)
        return self._actions

    @singledispatchmethod
    def _on(self, event: MembershipEvent, now: float) -> None:
        """Handle one event."""
        raise TypeError(f"no handler for {type(event).__name__}")

    @_on.register
    def _(self, event: Ping, now: float) -> None:
        self._merge_all(event.changes, now)
        sender = self._members.get(event.sender)
        news = self._changes_to_send(sender.change if sender else None)
        ack = Ack(self._own_id, event.number, event.on_behalf, news)
        self._actions.append(SendTo(event.sender, ack))

    @_on.register
    def _(self, event: Ack, now: float) -> None:
        self._merge_all(event.changes, now)
        if event.on_behalf and event.on_behalf != self._own_id:
            self._actions.append(SendTo(event.on_behalf, event))
            return
        probe = self._probes.pop(event.number, None)
        if probe is not None:
            self._clear_suspicion(probe.target, now)

    @_on.register
    def _(self, event: PingRequest, now: float) -> None:
        self._merge_all(event.changes, now)
        ping = Ping(self._own_id, event.number, event.sender, self._changes_to_send())
        self._actions.append(SendTo(event.target, ping))

    @_on.register
    def _(self, event: Seeds, now: float) -> None:
        for one in event.instances:
            if one.instance_id in self._members:
                continue
            change = Change(
                one.instance_id, one.address, one.peer_address, one.zone, 0, Health.ALIVE.value
            )
            self._members[one.instance_id] = _Member(change, now)
            self._live = None
            self._actions.append(MembersChanged(one.instance_id, Health.ALIVE.value))

    @_on.register
    def _(self, event: Period, now: float) -> None:
        self._check_probes(now)
        self._check_suspects(now)
        if now - self._last_probe_at >= PROBE_PERIOD_S:
            self._last_probe_at = now
            self._probe(now)

    @_on.register
    def _(self, event: Leave, now: float) -> None:
        own = self._members[self._own_id]
        self._store(replace(own.change, health=Health.LEAVING.value), now)
        for member in self._members.values():
            if member.change.instance_id != self._own_id and member.change.health != Health.DEAD:
                self._ping(member.change, now)

    def _probe(self, now: float) -> None:
        """Ping the next peer of a shuffled round."""
        while self._round:
            member = self._members.get(self._round.pop())
            if member is not None:
                self._ping(member.change, now)
                return
        others = [one for one in self._members.values() if one.change.instance_id != self._own_id]
        dead = [one for one in others if one.change.health == Health.DEAD]
        live = [one for one in others if one.change.health != Health.DEAD]
        # Two sides of a cut hold each other for dead; only asking again joins them.
        asked_again = self._source.sample(dead, min(1, len(dead)))
        self._round = [one.change.instance_id for one in (*live, *asked_again)]
        self._source.shuffle(self._round)

    def _ping(self, target: Change, now: float) -> None:
        """Send one ping and remember it."""
        self._number += 1
        self._probes[self._number] = _Probe(target.instance_id, now, indirect=False)
        ping = Ping(self._own_id, self._number, "", self._changes_to_send(target))
        self._actions.append(SendTo(target.instance_id, ping))

    def _check_probes(self, now: float) -> None:
        """Ask helpers, then suspect, where a ping was not answered."""
        for number, probe in list(self._probes.items()):
            if now - probe.sent_at < ACK_TIMEOUT_S:
                continue
            if probe.indirect:
                del self._probes[number]
                self._suspect(probe.target, now)
                continue
            self._probes[number] = _Probe(probe.target, now, indirect=True)
            others = [
                one.change
                for one in self._members.values()
                if one.change.instance_id not in (self._own_id, probe.target)
                and one.change.health in (Health.ALIVE, Health.LEAVING)
            ]
            for helper in self._source.sample(others, min(INDIRECT_PROBERS, len(others))):
                request = PingRequest(self._own_id, number, probe.target, self._changes_to_send())
                self._actions.append(SendTo(helper.instance_id, request))

    def _suspect(self, instance_id: str, now: float) -> None:
        """Suspect an instance that did not answer."""
        member = self._members.get(instance_id)
        if member is not None and member.change.health in (Health.ALIVE, Health.LEAVING):
            self._store(replace(member.change, health=Health.SUSPECT.value), now)

    def _clear_suspicion(self, instance_id: str, now: float) -> None:
        """Take back one's own suspicion after an answer."""
        member = self._members.get(instance_id)
        if member is not None and member.change.health == Health.SUSPECT:
            self._store(replace(member.change, health=Health.ALIVE.value), now)

    def _check_suspects(self, now: float) -> None:
        """Hold suspects for dead that did not refute, and forget the long dead."""
        for member in list(self._members.values()):
            age = now - member.since
            if member.change.health == Health.SUSPECT and age >= SUSPECT_TIMEOUT_S:
                self._store(replace(member.change, health=Health.DEAD.value), now)
            elif member.change.health == Health.DEAD and age >= DEAD_RETENTION_S:
                del self._members[member.change.instance_id]
                self._live = None

    def _changes_to_send(self, target: Change | None = None) -> tuple[Change, ...]:
        """Return the changes passed on least often, and oneself."""
        limit = RETRANSMIT_FACTOR * max(1, len(self._members).bit_length())
        fresh = sorted(self._transmissions.items(), key=lambda pair: pair[1])[: MAX_CHANGES - 1]
        news = [self._members[self._own_id].change]
        if target is not None and target.health in (Health.SUSPECT, Health.DEAD):
            # It can refute only what it hears.
            news.append(target)
        for instance_id, times in fresh:
            if times >= limit or instance_id not in self._members:
                del self._transmissions[instance_id]
                continue
            self._transmissions[instance_id] = times + 1
            if instance_id != self._own_id:
                news.append(self._members[instance_id].change)
        return tuple(news)

    def _merge_all(self, changes: tuple[Change, ...], now: float) -> None:
        """Learn from a peer's news."""
        for change in changes:
            self._merge(change, now)

    def _merge(self, change: Change, now: float) -> None:
        """Take over a change that is newer than what is known."""
        if change.instance_id == self._own_id:
            self._refute(change, now)
            return
        known = self._members.get(change.instance_id)
        if known is None:
            if change.health != Health.DEAD:
                self._store(change, now)
            return
        old = known.change
        newer = change.incarnation > old.incarnation
        worse = _ORDER[Health(change.health)] > _ORDER[Health(old.health)]
        if newer or (change.incarnation == old.incarnation and worse):
            self._store(change, now)

    def _refute(self, change: Change, now: float) -> None:
        """Answer a false report about oneself with a higher incarnation."""
        own = self._members[self._own_id].change
        if change.health in (Health.SUSPECT, Health.DEAD) and (
            change.incarnation >= own.incarnation
        ):
            self._store(replace(own, incarnation=change.incarnation + 1), now)

    def _store(self, change: Change, now: float) -> None:
        """Store a change, pass it on and tell listeners."""
        self._members[change.instance_id] = _Member(change, now)
        self._live = None
        self._transmissions[change.instance_id] = 0
        self._actions.append(MembersChanged(change.instance_id, change.health))
