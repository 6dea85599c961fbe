"""Shared facilities of one instance: clocks, timers, event listeners and links to peers."""

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
    """Shared state of an instance's services, with dispatch of messages and events."""

    def __init__(self, settings: Settings) -> None:
        """Create the links to peers and the platform's client."""
        self.settings = settings
        self.own = Instance(
            settings.instance_id, settings.listen, settings.peer_listen, settings.zone
        )
        self.rng = random.Random()
        self.platform = PlatformClient(settings.platform, settings.platform_token)
        self.key = settings.peer_key.encode()
        message_types = message_types_of(DaemonMessage)
        self.links = PeerLinks(
            settings.instance_id, settings.peer_listen, self.key, message_types, self._receive
        )
        self.stats = Stats()
        self._handlers: dict[type, Handler] = {}
        self._config_listeners: list[Callable[[ConfigDocument], None]] = []
        self._member_listeners: list[Callable[[], None]] = []
        self._address_of: Callable[[str], str | None] = lambda _: None

    @staticmethod
    def now() -> float:
        """Return the monotonic clock in seconds, which includes time spent in suspension."""
        return clock.now()

    @staticmethod
    def wall_time() -> float:
        """Return the wall clock in seconds."""
        return time.time()

    def on_message(self, message_type: type, handler: Handler) -> None:
        """Register the handler of a type of peer message."""
        self._handlers[message_type] = handler

    def on_config(self, listener: Callable[[ConfigDocument], None]) -> None:
        """Register a listener for new configurations."""
        self._config_listeners.append(listener)

    def on_members(self, listener: Callable[[], None]) -> None:
        """Register a listener for changes of instances or usable runners."""
        self._member_listeners.append(listener)

    def set_address_lookup(self, address_of: Callable[[str], str | None]) -> None:
        """Set the function that returns a peer's address by its instance id."""
        self._address_of = address_of

    def notify_config(self, document: ConfigDocument) -> None:
        """Notify the listeners of a new configuration."""
        for listener in self._config_listeners:
            listener(document)

    def notify_members(self) -> None:
        """Notify the listeners of a change of instances or usable runners."""
        for listener in self._member_listeners:
            listener()

    def send(self, recipient: str, message: DaemonMessage) -> bool:
        """Send a message to an instance; return whether its address is known."""
        address = self._address_of(recipient)
        if address is None:
            return False
        self.stats.messages_sent += 1
        self.links.send(recipient, address, message)
        return True

    def _receive(self, sender: str, message: DaemonMessage) -> None:
        """Dispatch a peer's message to its handler."""
        self.stats.messages_received += 1
        self._handlers[type(message)](sender, message)

    def run_periodically(self, period_s: float, work: Callable[[], None], prefix: str) -> None:
        """Run work periodically in a greenlet; exceptions are logged and counted, not fatal."""
        gevent.spawn(self._loop, period_s, work, prefix)

    def _loop(self, period_s: float, work: Callable[[], None], prefix: str) -> None:
        """Run work periodically, with a jitter of 10 percent."""
        while True:
            try:
                work()
            except Exception as fault:
                log_event(prefix, f"A periodic task failed with {type(fault).__name__}: {fault}")
                self.stats.task_failures += 1
            gevent.sleep(period_s * (0.9 + 0.2 * self.rng.random()))
