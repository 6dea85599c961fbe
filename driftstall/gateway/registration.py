"""Registration of this instance with the platform, and discovery of the other instances."""

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

RETRY_PAUSE_S: Final = 0.3
RELIST_INTERVAL_S: Final = 5.0
"""Interval at which the list of instances is read while fewer than two are known."""
SEED_ANSWER_TIMEOUT_S: Final = 0.4
"""Time within which seeds that start at about the same moment answer."""
FINAL_LIST_DELAY_S: Final = 5.0
"""Delay of one last read of the list after peers are known; a cheap read, as it may be stale."""


@dataclass(frozen=True, slots=True)
class InstanceEntries:
    """Access to the platform's entries of instances."""

    instances: Feed[Instance]
    stale_instances: Feed[Instance]
    """The list as of some seconds ago, which is cheaper to read."""
    register: Callable[[Instance], None]
    withdraw: Callable[[str], None]


class Registration:
    """Writes this instance's entry once, and reads those of others until peers are known."""

    def __init__(
        self,
        state: GatewayState,
        own: Instance,
        entries: InstanceEntries,
        on_listed: Callable[[tuple[Instance, ...]], None],
    ) -> None:
        """Initialize with the state, this instance, the entries and the callback for others."""
        self._state = state
        self._own = own
        self._entries = entries
        self._instances = InstanceSource(on_listed)

    def write(self) -> None:
        """Write this instance's entry; raise PlatformUnavailable if the platform rejects it."""
        self._entries.register(self._own)

    def maintain(self) -> None:
        """Write this instance's entry once, and read those of others until peers are known.

        Seeds usually name the peers at once. One final read joins two parts of a fleet whose seeds
        don't know each other.
        """
        is_registered = False
        while not self._state.is_stopping:
            try:
                if not is_registered:
                    self.write()
                    is_registered = True
                    gevent.sleep(SEED_ANSWER_TIMEOUT_S)
                if self._state.instances.value > 1:
                    gevent.sleep(FINAL_LIST_DELAY_S * (0.5 + self._state.rng.random()))
                    self._instances.handle_list(self._entries.stale_instances.list().items)
                    return
                self._instances.handle_list(self._entries.instances.list().items)
                gevent.sleep(RELIST_INTERVAL_S)
            except PlatformUnavailable as error:
                log_event(
                    PREFIX_MEMBERSHIP, f"The platform's list of instances is unreachable: {error}"
                )
                gevent.sleep(RETRY_PAUSE_S * (1 + self._state.rng.random()))

    def withdraw(self) -> None:
        """Remove this instance's entry; a stale entry is harmless, as peers check liveness."""
        try:
            self._entries.withdraw(self._own.instance_id)
        except PlatformUnavailable as error:
            log_event(PREFIX_DRAIN, f"Failed to remove this instance's entry: {error}")
