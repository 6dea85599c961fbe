"""Connect the services of one instance: clocks, listeners and peers."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

import gevent

from driftstall.controllers.configuration import ConfigDocument
from driftstall.core import Instance
from driftstall.daemon.settings import Settings
from driftstall.daemon.stats import Stats
from driftstall.helpers.log import log_event
from driftstall.peers.codec import message_types_of
from driftstall.peers.link import PeerLinks
from driftstall.peers.messages import DaemonMessage
from driftstall.platform.client import PlatformClient
from driftstall.util import clock

Handler = Callable[[str, Any], None]


class Hub:
    """Hold what all services of one instance share."""

    def __init__(self, settings: Settings) -> None:
        """Build the links to peers and to the platform."""
        self.settings = settings
        self.own = Instance(
            settings.instance_id, settings.listen, settings.peer_listen, settings.zone
        )
        self.rng = random.Random()
        self.platform = PlatformClient(settings.platform, settings.platform_token)
        self.key = settings.peer_key.encode()
        kinds = message_types_of(DaemonMessage)
        self.links = PeerLinks(
            settings.instance_id, settings.peer_listen, self.key, kinds, self._receive
        )
        self.stats = Stats()
        self._handlers: dict[type, Handler] = {}
        self._config_listeners: list[Callable[[ConfigDocument], None]] = []
        self._member_listeners: list[Callable[[], None]] = []
        self._address_of: Callable[[str], str | None] = lambda _: None

    @staticmethod
    def now() -> float:
        """Return the steady clock, in seconds; suspensions count."""
        return clock.now()

    @staticmethod
    def wall_time() -> float:
        """Return the wall clock, in seconds."""
        return time.time()

    def on_message(self, kind: type, handler: Handler) -> None:
        """Register who handles a kind of peer message."""
        self._handlers[kind] = handler

    def on_config(self, listener: Callable[[ConfigDocument], None]) -> None:
        """Register who wants to know of a new configuration."""
        self._config_listeners.append(listener)

    def on_members(self, listener: Callable[[], None]) -> None:
        """Register who wants to know of changes among instances."""
        self._member_listeners.append(listener)

    def set_address_lookup(self, address_of: Callable[[str], str | None]) -> None:
        """Take over how a peer's address is found."""
        self._address_of = address_of

    def notify_config(self, document: ConfigDocument) -> None:
        """Tell listeners of a new configuration."""
        for listener in self._config_listeners:
            listener(document)

    def notify_members(self) -> None:
        """Tell listeners of a change among instances."""
        for listener in self._member_listeners:
            listener()

    def send(self, recipient: str, message: DaemonMessage) -> bool:
        """Send to an instance by its id; return whether its address is known."""
        address = self._address_of(recipient)
        if address is None:
            return False
        self.stats.messages_sent += 1
        self.links.send(recipient, address, message)
        return True

    def _receive(self, sender: str, message: DaemonMessage) -> None:
        """Hand a peer's message to its handler."""
        self.stats.messages_received += 1
        self._handlers[type(message)](sender, message)

    def run_periodically(self, period_s: float, work: Callable[[], None], prefix: str) -> None:
        """Do something again and again in a greenlet; a fault is logged, not fatal."""
        gevent.spawn(self._loop, period_s, work, prefix)

    def _loop(self, period_s: float, work: Callable[[], None], prefix: str) -> None:
        """Run work periodically, with a little jitter."""
        while True:
            try:
                work()
            except Exception as fault:
                log_event(prefix, f"A periodic task failed with {type(fault).__name__}: {fault}")
                self.stats.task_failures += 1
            gevent.sleep(period_s * (0.9 + 0.2 * self.rng.random()))
