"""Keep brittle upstreams from having to reject requests.

A brittle upstream falls over if it has to reject more than a few requests a second for want of
room. Instances learn of a free place at the same moment and would all send to it, so a place that
few are left of belongs to one instance: each slot is owned by the instance with the highest
rendezvous weight. Where there are more places free than instances, all of them may send.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from driftstall.decisions.locate import weight

VALID_S: Final = 10.0
"""How long an upstream counts as brittle after it has signalled so; each response repeats it."""
REJECTION_BACKOFF_S: Final = 1.0
"""How long an instance sends nothing to a brittle upstream that has rejected a request: the time
over which its rejections count."""


class BrittleUpstreams:
    """Hold which upstreams are brittle, and which of their slots this instance owns."""

    def __init__(self, own_id: str, members: Callable[[], tuple[str, ...]]) -> None:
        """Initialize with the own id and a reader of the ids of all live instances."""
        self._own_id = own_id
        self._members = members
        self._signalled_at: dict[str, float] = {}
        self._owned: dict[tuple[str, int], int] = {}
        self._owned_among: tuple[str, ...] = ()

    def record_signal(self, upstream_id: str, now: float) -> bool:
        """Record that an upstream signals to be brittle; return True if that is new."""
        is_new = not self.is_brittle(upstream_id, now)
        self._signalled_at[upstream_id] = now
        return is_new

    def is_brittle(self, upstream_id: str, now: float) -> bool:
        """Return True if an upstream has signalled to be brittle lately."""
        return now - self._signalled_at.get(upstream_id, float("-inf")) <= VALID_S

    def is_full(
        self, upstream_id: str, slots: int, busy: float, own_running: int, now: float
    ) -> bool:
        """Return True if this instance may send no further request to a brittle upstream now.

        `busy` counts the requests there by all instances, `own_running` those of this one.
        """
        if not self.is_brittle(upstream_id, now):
            return False
        members = self._members() or (self._own_id,)
        if slots - busy >= len(members):
            return False
        if len(members) > slots:
            # Most instances own no slot; sums of a fleet of this size are out of date as well.
            return busy >= slots / 2
        return busy + 1 > slots or own_running + 1 > self._owned_slots(upstream_id, slots, members)

    def keep_only(self, upstream_ids: set[str]) -> None:
        """Discard all upstreams except the given ones."""
        self._signalled_at = {
            upstream_id: at
            for upstream_id, at in self._signalled_at.items()
            if upstream_id in upstream_ids
        }
        self._owned.clear()

    def _owned_slots(self, upstream_id: str, slots: int, members: tuple[str, ...]) -> int:
        """Return how many slots of an upstream this instance owns."""
        if members != self._owned_among:
            self._owned, self._owned_among = {}, members
        owned = self._owned.get((upstream_id, slots))
        if owned is None:
            owned = sum(
                _owner(f"{upstream_id}/{slot}", members) == self._own_id for slot in range(slots)
            )
            self._owned[(upstream_id, slots)] = owned
        return owned


def _owner(slot: str, members: tuple[str, ...]) -> str:
    """Return the instance that owns a slot."""
    return max(members, key=lambda member: weight(slot, member))
