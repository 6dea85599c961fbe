"""Recovery of entries that the platform's store lost when it was restored from an older copy.

Each instance rewrites its own entry, spread over time. Shared objects are rewritten by one
instance: the first by rendezvous hashing, and later by substitutes in case that one has failed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import gevent

from driftstall.const import PREFIX_CONFIGURATION
from driftstall.core import Instance
from driftstall.decisions.locate import weight
from driftstall.decisions.store_versions import INCOMPLETE_S, REMOVED_RETENTION_S
from driftstall.exceptions import PlatformUnavailable
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event

WRITES_PER_S: Final = 20.0
"""Entries that all instances together write in a second. Production stores take 100 to 400 writes a
second; a fleet of 195 is listed again within ten seconds."""
MIN_WRITE_DELAY_S: Final = 0.3
MIN_SPREAD_S: Final = 1.0
"""Shortest time over which writes are spread."""
MAX_WRITERS: Final = 3
"""Instances that rewrite a shared object one after another; later ones usually find it stored."""
SUBSTITUTE_AFTER_S: Final = 4.0
RETRY_PAUSE_S: Final = 1.0
MAX_ATTEMPTS: Final = 30
"""Attempts while the store is unavailable, half a minute in all."""


class StoreRecovery:
    """Rewrites lost entries when the store's era shows that it was restored."""

    def __init__(
        self,
        state: GatewayState,
        *,
        own_id: str,
        live: Callable[[], tuple[Instance, ...]],
        on_restored: Callable[[], None],
        on_settled: Callable[[], None],
    ) -> None:
        """Initialize with the shared state, a reader of the live instances, and the callbacks.

        The callable on_restored is called at once: the store may lack valid entries. The callable
        on_settled is called when entries that are still missing count as removed.
        """
        self._state = state
        self._own_id = own_id
        self._live = live
        self._on_restored = on_restored
        self._on_settled = on_settled
        self._own_writes: list[Callable[[], None]] = []
        self._shared_writes: dict[str, Callable[[], None]] = {}

    def register_own_write(self, write: Callable[[], None]) -> None:
        """Register a write of this instance's own entry; it may raise PlatformUnavailable."""
        self._own_writes.append(write)

    def register_shared_write(self, name: str, write: Callable[[], None]) -> None:
        """Register a write of an object that all instances hold, under the object's name.

        The write may raise PlatformUnavailable.
        """
        self._shared_writes[name] = write

    def handle_era(self, era: int) -> None:
        """Handle an era reported by the store or a peer; a new one starts the recovery."""
        before = self._state.eras.era
        if not self._state.eras.record_era(era, self._state.now()):
            return
        instances = self._state.instances.value
        log_event(
            PREFIX_CONFIGURATION,
            "The platform's store was restored from an older copy",
            era=era,
            before=before,
            instances=instances,
            writes_again=["instance", *self._shared_writes],
        )
        self._on_restored()
        for after_s in (INCOMPLETE_S, REMOVED_RETENTION_S):
            gevent.spawn_later(after_s, self._on_settled)
        spread_s = max(MIN_SPREAD_S, instances / WRITES_PER_S)
        for write in self._own_writes:
            self._schedule(
                MIN_WRITE_DELAY_S + spread_s * self._state.rng.random(), "instance", write
            )
        for name, write in self._shared_writes.items():
            position = self._writer_position(name)
            if position < MAX_WRITERS:
                self._schedule(INCOMPLETE_S + SUBSTITUTE_AFTER_S * position, name, write)

    def _writer_position(self, name: str) -> int:
        """Return how many instances come before this one as the writer of a shared object."""
        own = weight(name, self._own_id)
        staying = [instance for instance in self._live() if not instance.leaving]
        return sum(weight(name, instance.instance_id) > own for instance in staying)

    def _schedule(self, after_s: float, name: str, write: Callable[[], None]) -> None:
        """Schedule a write."""
        gevent.spawn_later(after_s, self._write_with_retries, name, write)

    def _write_with_retries(self, name: str, write: Callable[[], None]) -> None:
        """Write, and retry while the store is unavailable."""
        for _ in range(MAX_ATTEMPTS):
            if self._state.is_stopping:
                return
            try:
                write()
                log_event(PREFIX_CONFIGURATION, f"Rewritten to the store: {name}")
                return
            except PlatformUnavailable as error:
                log_event(PREFIX_CONFIGURATION, f"Not rewritten to the store yet: {name}: {error}")
                gevent.sleep(RETRY_PAUSE_S * (0.5 + self._state.rng.random()))
        log_event(PREFIX_CONFIGURATION, f"Not rewritten, the store stays unavailable: {name}")
