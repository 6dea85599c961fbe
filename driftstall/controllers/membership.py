"""SWIM-style group membership and failure detection.

In each period an instance pings one random peer; changes are gossiped on pings and
acks. A peer that does not answer is pinged indirectly through others, then suspected,
then declared dead. A live instance refutes a suspicion with a higher incarnation. The
cost per instance does not grow with the fleet.
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
"""Time in which a suspected instance can refute the suspicion."""
DEAD_RETENTION_S: Final = 2 * 3600.0
"""How long a dead instance is kept and probed: a partition between regions may last an hour."""
INDIRECT_PROBERS: Final = 2
MAX_CHANGES: Final = 10
"""Maximum changes in one message."""
RETRANSMIT_FACTOR: Final = 6
"""A change is sent this many times the bit length of the number of members."""


class Health(StrEnum):
    """Health states of an instance."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


_ORDER: Final = {Health.ALIVE: 0, Health.SUSPECT: 1, Health.LEAVING: 2, Health.DEAD: 3}


@dataclass(frozen=True, slots=True)
class Change:
    """The state of one instance, as known to the sender."""

    instance_id: str
    address: str
    peer_address: str
    zone: str
    incarnation: int
    health: str
    link_mbps: int = 0


@dataclass(frozen=True, slots=True)
class Ping:
    """Probe a peer; on_behalf is the instance that requested an indirect probe, or empty."""

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
    """Request an indirect probe: the recipient pings the target."""

    sender: str
    number: int
    target: str
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Seeds:
    """Add instances from the platform's list, which lags behind."""

    instances: tuple[Instance, ...]


@dataclass(frozen=True, slots=True)
class Period:
    """Trigger the periodic work."""


@dataclass(frozen=True, slots=True)
class Leave:
    """Announce that this instance is leaving."""


MembershipEvent = Ping | Ack | PingRequest | Seeds | Period | Leave


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send a message to a peer."""

    recipient: str
    message: Ping | Ack | PingRequest


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Notify listeners that the health of an instance changed."""

    instance_id: str
    health: str


MembershipAction = SendTo | MembersChanged


@dataclass(slots=True)
class _Member:
    """A known instance, and since when it has its current state."""

    change: Change
    since: float


@dataclass(frozen=True, slots=True)
class _Probe:
    """A ping without an answer so far."""

    target: str
    sent_at: float
    indirect: bool


class MembershipController:
    """State machine for the member list of one instance."""

    def __init__(self, own: Instance, incarnation: int, source: random.Random) -> None:
        """Initialize with only this instance; the incarnation must grow with each start."""
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

        The same tuple object is returned until the list changes.
        """
        if self._live is None:
            self._live = self._list_live()
        return self._live

    def _list_live(self) -> tuple[Instance, ...]:
        """Build the list of instances that are not dead."""
        return tuple(
            Instance(
                member.change.instance_id,
                member.change.address,
                member.change.peer_address,
                member.change.zone,
                leaving=member.change.health == Health.LEAVING,
                link_mbps=member.change.link_mbps,
            )
            for member in self._members.values()
            if member.change.health != Health.DEAD
        )

    @property
    def changes(self) -> tuple[Change, ...]:
        """Return the state of all known instances, dead ones included."""
        return tuple(member.change for member in self._members.values())

    def address_of(self, instance_id: str) -> str | None:
        """Return the peer address of an instance, or None if it is unknown."""
        member = self._members.get(instance_id)
        return member.change.peer_address if member else None

    def handle(self, event: MembershipEvent, now: float) -> list[MembershipAction]:
        """Apply one event and return the resulting actions."""
        self._actions = []
        self._handle_event(event, now)
        return self._actions

    @singledispatchmethod
    def _handle_event(self, event: MembershipEvent, now: float) -> None:
        """Handle one event."""
        raise TypeError(f"no handler for {type(event).__name__}")

    @_handle_event.register
    def _(self, event: Ping, now: float) -> None:
        self._merge_all(event.changes, now)
        sender = self._members.get(event.sender)
        changes = self._changes_to_send(sender.change if sender else None)
        ack = Ack(self._own_id, event.number, event.on_behalf, changes)
        self._actions.append(SendTo(event.sender, ack))

    @_handle_event.register
    def _(self, event: Ack, now: float) -> None:
        self._merge_all(event.changes, now)
        if event.on_behalf and event.on_behalf != self._own_id:
            self._actions.append(SendTo(event.on_behalf, event))
            return
        probe = self._probes.pop(event.number, None)
        if probe is not None:
            self._clear_suspicion(probe.target, now)

    @_handle_event.register
    def _(self, event: PingRequest, now: float) -> None:
        self._merge_all(event.changes, now)
        ping = Ping(self._own_id, event.number, event.sender, self._changes_to_send())
        self._actions.append(SendTo(event.target, ping))

    @_handle_event.register
    def _(self, event: Seeds, now: float) -> None:
        for seed in event.instances:
            if seed.instance_id in self._members:
                continue
            change = Change(
                seed.instance_id, seed.address, seed.peer_address, seed.zone, 0, Health.ALIVE.value
            )
            self._members[seed.instance_id] = _Member(change, now)
            self._live = None
            self._actions.append(MembersChanged(seed.instance_id, Health.ALIVE.value))

    @_handle_event.register
    def _(self, event: Period, now: float) -> None:
        self._check_probes(now)
        self._check_suspects(now)
        if now - self._last_probe_at >= PROBE_PERIOD_S:
            self._last_probe_at = now
            self._probe(now)

    @_handle_event.register
    def _(self, event: Leave, now: float) -> None:
        own = self._members[self._own_id]
        self._store(replace(own.change, health=Health.LEAVING.value), now)
        for member in self._members.values():
            if member.change.instance_id != self._own_id and member.change.health != Health.DEAD:
                self._ping(member.change, now)

    def _probe(self, now: float) -> None:
        """Ping the next peer of the shuffled round, or shuffle the next round."""
        while self._round:
            member = self._members.get(self._round.pop())
            if member is not None:
                self._ping(member.change, now)
                return
        others = [
            peer for peer in self._members.values() if peer.change.instance_id != self._own_id
        ]
        dead = [peer for peer in others if peer.change.health == Health.DEAD]
        live = [peer for peer in others if peer.change.health != Health.DEAD]
        # The two sides of a partition consider each other dead; only a probe joins them again.
        dead_to_probe = self._source.sample(dead, min(1, len(dead)))
        self._round = [peer.change.instance_id for peer in (*live, *dead_to_probe)]
        self._source.shuffle(self._round)

    def _ping(self, target: Change, now: float) -> None:
        """Send a ping and record it until it is answered."""
        self._number += 1
        self._probes[self._number] = _Probe(target.instance_id, now, indirect=False)
        ping = Ping(self._own_id, self._number, "", self._changes_to_send(target))
        self._actions.append(SendTo(target.instance_id, ping))

    def _check_probes(self, now: float) -> None:
        """Request indirect probes for pings without an answer, then suspect their targets."""
        for number, probe in list(self._probes.items()):
            if now - probe.sent_at < ACK_TIMEOUT_S:
                continue
            if probe.indirect:
                del self._probes[number]
                self._suspect(probe.target, now)
                continue
            self._probes[number] = _Probe(probe.target, now, indirect=True)
            others = [
                member.change
                for member in self._members.values()
                if member.change.instance_id not in (self._own_id, probe.target)
                and member.change.health in (Health.ALIVE, Health.LEAVING)
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
        """Withdraw this instance's own suspicion after an answer."""
        member = self._members.get(instance_id)
        if member is not None and member.change.health == Health.SUSPECT:
            self._store(replace(member.change, health=Health.ALIVE.value), now)

    def _check_suspects(self, now: float) -> None:
        """Declare suspects dead that have not refuted in time, and remove old dead instances."""
        for member in list(self._members.values()):
            age = now - member.since
            if member.change.health == Health.SUSPECT and age >= SUSPECT_TIMEOUT_S:
                self._store(replace(member.change, health=Health.DEAD.value), now)
            elif member.change.health == Health.DEAD and age >= DEAD_RETENTION_S:
                del self._members[member.change.instance_id]
                self._live = None

    def _changes_to_send(self, target: Change | None = None) -> tuple[Change, ...]:
        """Return this instance's state and the changes that were sent least often."""
        limit = RETRANSMIT_FACTOR * max(1, len(self._members).bit_length())
        least_sent = sorted(self._transmissions.items(), key=lambda pair: pair[1])[
            : MAX_CHANGES - 1
        ]
        changes = [self._members[self._own_id].change]
        if target is not None and target.health in (Health.SUSPECT, Health.DEAD):
            # An instance can refute only a suspicion that it receives.
            changes.append(target)
        for instance_id, times in least_sent:
            if times >= limit or instance_id not in self._members:
                del self._transmissions[instance_id]
                continue
            self._transmissions[instance_id] = times + 1
            if instance_id != self._own_id:
                changes.append(self._members[instance_id].change)
        return tuple(changes)

    def _merge_all(self, changes: tuple[Change, ...], now: float) -> None:
        """Merge the changes of a peer's message."""
        for change in changes:
            self._merge(change, now)

    def _merge(self, change: Change, now: float) -> None:
        """Apply a change that supersedes the known state of its instance."""
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
        """Refute a suspicion of this instance by raising its incarnation."""
        own = self._members[self._own_id].change
        if change.health in (Health.SUSPECT, Health.DEAD) and (
            change.incarnation >= own.incarnation
        ):
            self._store(replace(own, incarnation=change.incarnation + 1), now)

    def _store(self, change: Change, now: float) -> None:
        """Store a change, queue it for gossip and notify listeners."""
        self._members[change.instance_id] = _Member(change, now)
        self._live = None
        self._transmissions[change.instance_id] = 0
        self._actions.append(MembersChanged(change.instance_id, change.health))
