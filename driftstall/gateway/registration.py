"""Keep this instance's entry in the platform, and read those of the others."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import gevent

from driftstall.const import PREFIX_DRAIN, PREFIX_MEMBERSHIP
from driftstall.core import Instance
from driftstall.exceptions import PlatformUnavailable
from driftstall.gateway.feeds import Feed
from driftstall.gateway.sources import InstanceSource
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event

REGISTER_PAUSE_S: Final = 0.3
RELIST_S: Final = 5.0
"""How often the list of instances is read again while fewer than two are known."""
SEEDS_ANSWER_S: Final = 0.4
"""Time in which seeds answer that start at about the same moment."""
LATE_LIST_S: Final = 5.0
"""When the list is read once more though peers are known; cheaply, as it may be old."""


@dataclass(frozen=True, slots=True)
class InstanceEntries:
    """Hold how the platform's entries of instances are read and written."""

    instances: Feed[Instance]
    old_instances: Feed[Instance]
    """The same as it was some seconds ago, at a low price."""
    register: Callable[[Instance], None]
    withdraw: Callable[[str], None]


class Registration:
    """Write the own entry once, and learn who else is there until peers are known."""

    def __init__(
        self,
        state: GatewayState,
        own: Instance,
        entries: InstanceEntries,
        found: Callable[[tuple[Instance, ...]], None],
    ) -> None:
        """Take the shared state, this instance, the platform's entries, and who hears of others."""
        self._state = state
        self._own = own
        self._entries = entries
        self._instances = InstanceSource(found)

    def write(self) -> None:
        """Write the own entry; raise PlatformUnavailable where it is not taken."""
        self._entries.register(self._own)

    def keep(self) -> None:
        """Write the own entry once, and read those of others until peers are known.

        Seeds usually name the peers at once. A late read all the same joins two parts of
        a fleet whose seeds do not know each other.
        """
        registered = False
        while self._state.stopping_since is None:
            try:
                if not registered:
                    self.write()
                    registered = True
                    gevent.sleep(SEEDS_ANSWER_S)
                if self._state.instances.value > 1:
                    gevent.sleep(LATE_LIST_S * (0.5 + self._state.source.random()))
                    self._instances.listed(self._entries.old_instances.list().items)
                    return
                self._instances.listed(self._entries.instances.list().items)
                gevent.sleep(RELIST_S)
            except PlatformUnavailable as fault:
                log_event(
                    PREFIX_MEMBERSHIP, f"The platform's list of instances is out of reach: {fault}"
                )
                gevent.sleep(REGISTER_PAUSE_S * (1 + self._state.source.random()))

    def withdraw(self) -> None:
        """Remove the own entry; a stale one does no harm, as peers ask who lives."""
        try:
            self._entries.withdraw(self._own.instance_id)
        except PlatformUnavailable as fault:
            log_event(PREFIX_DRAIN, f"The own entry is left behind: {fault}")
