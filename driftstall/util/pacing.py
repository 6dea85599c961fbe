"""Bound the processor time spent on input that is costly to parse, such as tiny chunks."""

from __future__ import annotations

from typing import Final

import gevent
from gevent.lock import Semaphore

DENSE_EVENTS: Final = 256
"""Parser events in one read from which its input counts as dense; ordinary chunks cause few."""
REST_FACTOR: Final = 2.0
"""Time for other work as a multiple of the time spent on dense input."""


class DenseInputPacer:
    """Let the connections with dense input rest in turn, so that others get most of the time."""

    def __init__(self) -> None:
        """Start without a connection that rests."""
        self._turn = Semaphore()

    def rest(self, events: int, spent_s: float) -> None:
        """Wait for this connection's turn and rest, if its last input was dense."""
        if events < DENSE_EVENTS:
            return
        with self._turn:
            gevent.sleep(spent_s * REST_FACTOR)
