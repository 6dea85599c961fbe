"""Notice that the platform's store came back from an older copy, and write again what it lost.

Each instance writes its own entry, spread over time; what all hold, one of them writes: the first
by rendezvous hashing, and others later, in case that one does not live.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import gevent

from driftstall.const import PREFIX_CONFIGURATION
from driftstall.core import Instance
from driftstall.decisions.locate import weight
from driftstall.decisions.store_versions import DOUBT_S, LEFT_DOUBT_S
from driftstall.exceptions import PlatformUnavailable
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event

WRITES_PER_S: Final = 20.0
"""Entries that all instances together write in a second. Stores of the users take 100 to 400 writes
a second; a fleet of 195 is listed again within ten."""
SOONEST_S: Final = 0.3
SPREAD_S: Final = 1.0
"""The shortest time over which writes are spread."""
SUBSTITUTES: Final = 3
"""Instances that write what all hold, one after another; the later ones find it there."""
SUBSTITUTE_AFTER_S: Final = 4.0
TRY_AGAIN_S: Final = 1.0
TRIES: Final = 30
"""Tries while the store is away, half a minute in all."""


class StoreRecovery:
    """Do what follows from a new era of the store."""

    def __init__(
        self,
        state: GatewayState,
        *,
        own_id: str,
        live: Callable[[], tuple[Instance, ...]],
        doubts: Callable[[], None],
        settled: Callable[[], None],
    ) -> None:
        """Take the shared state and the instances that live.

        Doubts is called at once: what the store says may be less than is true. Settled is called
        once what it lacks counts as gone.
        """
        self._state = state
        self._own_id = own_id
        self._live = live
        self._doubts = doubts
        self._settled = settled
        self._own_writes: list[Callable[[], None]] = []
        self._common_writes: dict[str, Callable[[], None]] = {}

    def writes_again(self, write: Callable[[], None]) -> None:
        """Register what this instance alone has written; it may raise PlatformUnavailable."""
        self._own_writes.append(write)

    def register_shared_write(self, what: str, write: Callable[[], None]) -> None:
        """Register what all instances hold; it may raise PlatformUnavailable."""
        self._common_writes[what] = write

    def seen(self, era: int) -> None:
        """Take in an era that the store or a peer has named."""
        before = self._state.eras.era
        if not self._state.eras.seen(era, self._state.now()):
            return
        instances = self._state.instances.value
        log_event(
            PREFIX_CONFIGURATION,
            "The platform's store has come back from an older copy",
            era=era,
            before=before,
            instances=instances,
            writes_again=["instance", *self._common_writes],
        )
        self._doubts()
        for after_s in (DOUBT_S, LEFT_DOUBT_S):
            gevent.spawn_later(after_s, self._settled)
        spread_s = max(SPREAD_S, instances / WRITES_PER_S)
        for write in self._own_writes:
            self._later(SOONEST_S + spread_s * self._state.source.random(), "instance", write)
        for what, write in self._common_writes.items():
            place = self._place(what)
            if place < SUBSTITUTES:
                self._later(DOUBT_S + SUBSTITUTE_AFTER_S * place, what, write)

    def _place(self, what: str) -> int:
        """Return how many instances come before this one to write something."""
        own = weight(what, self._own_id)
        staying = [one for one in self._live() if not one.leaving]
        return sum(weight(what, one.instance_id) > own for one in staying)

    def _later(self, after_s: float, what: str, write: Callable[[], None]) -> None:
        """Have something written later."""
        gevent.spawn_later(after_s, self._try, what, write)

    def _try(self, what: str, write: Callable[[], None]) -> None:
        """Write, again and again while the store is away."""
        for _ in range(TRIES):
            if self._state.stopping_since is not None:
                return
            try:
                write()
                log_event(PREFIX_CONFIGURATION, f"Written again to the store: {what}")
                return
            except PlatformUnavailable as fault:
                log_event(PREFIX_CONFIGURATION, f"Not written again yet: {what}: {fault}")
                gevent.sleep(TRY_AGAIN_S * (0.5 + self._state.source.random()))
        log_event(PREFIX_CONFIGURATION, f"Not written again, the store stays away: {what}")
